//! Assembles an entry from its services.

use std::{net, sync};

use cuminkeel_kernel::{error, runner};
use cuminkeel_platform::border as platform;
use cuminkeel_types::names as types;
use rand::SeedableRng;
use tokio::sync::watch;

use crate::{clock, services, settings, telemetry};

/// What an entry is made of besides its settings.
#[derive(Debug)]
pub struct EntryParts {
    /// Checked settings.
    pub settings: settings::EntrySettings,
    /// The platform's log.
    pub log_store: sync::Arc<dyn platform::LogStore>,
    /// The platform's VM list.
    pub directory: sync::Arc<dyn platform::VmDirectory>,
    /// Makes the outcome policy.
    pub outcomes: sync::Arc<dyn services::core::OutcomeFactory>,
    /// Makes spans.
    pub traces: telemetry::TraceSource,
    /// Records metrics.
    pub metrics: telemetry::MetricsSource,
    /// Counts messages to backend servers.
    pub messages: sync::Arc<telemetry::MessageCounters>,
    /// Seed of the process's identity and choices. A daemon draws it from the
    /// system's randomness.
    pub seed: services::core::EntrySeed,
    /// Logger.
    pub log: slog::Logger,
}

/// A running entry.
#[derive(Debug)]
pub struct EntryDaemon {
    kernel: runner::ServiceKernel,
    settings: sync::Arc<settings::EntrySettings>,
    incarnation: types::IncarnationId,
}

impl EntryDaemon {
    /// Starts all services.
    ///
    /// # Errors
    /// [`error::KernelError`] of the service that did not start.
    pub async fn start(parts: EntryParts) -> Result<Self, error::KernelError> {
        let settings = sync::Arc::new(parts.settings);
        let mut random = rand::rngs::StdRng::from_seed(parts.seed);
        let incarnation = types::IncarnationId(rand::Rng::next_u64(&mut random));
        let mut core_seed = services::core::EntrySeed::default();
        rand::Rng::fill_bytes(&mut random, &mut core_seed);
        let mut draw = || rand::Rng::next_u64(&mut random);
        let mut kernel = runner::ServiceKernel::new(parts.log.clone());
        let clock = clock::MonotonicClock::start();
        let registry = kernel.registry();
        registry.publish(services::names::LOG_STORE, parts.log_store)?;
        registry.publish(services::names::DIRECTORY, parts.directory)?;
        kernel.add(sync::Arc::new(services::mesh::MeshNode::new(
            sync::Arc::clone(&settings),
            incarnation,
            clock,
            draw(),
            parts.log.clone(),
        )))?;
        kernel.add(sync::Arc::new(services::config::ConfigService::new(
            clock,
            &settings.platform,
            draw(),
            parts.log.clone(),
        )))?;
        kernel.add(sync::Arc::new(services::allowance::AllowanceService::new(
            sync::Arc::clone(&settings),
            clock,
            draw(),
        )))?;
        kernel.add(sync::Arc::new(services::core::CoreService::new(
            sync::Arc::clone(&settings),
            clock,
            parts.traces.clone(),
            sync::Arc::clone(&parts.messages),
            parts.outcomes,
            core_seed,
        )))?;
        kernel.add(sync::Arc::new(services::directory::DirectoryService::new(
            sync::Arc::clone(&settings),
            parts.log.clone(),
        )))?;
        kernel.add(sync::Arc::new(services::api::ApiService::new(
            sync::Arc::clone(&settings),
            clock,
            parts.traces,
            parts.metrics,
            parts.messages,
            parts.log,
        )))?;
        kernel.start().await?;
        Ok(Self {
            kernel,
            settings,
            incarnation,
        })
    }

    /// Identity of this process start.
    pub fn incarnation(&self) -> types::IncarnationId {
        self.incarnation
    }

    /// Address that callers reach.
    ///
    /// # Errors
    /// [`error::KernelError::NotFound`] if the interface is not up.
    pub fn api_address(&self) -> Result<net::SocketAddr, error::KernelError> {
        let address = self
            .kernel
            .registry()
            .find::<services::api::BoundAddress>(services::names::API)?;
        Ok(address.0)
    }

    /// Address that other entries reach.
    ///
    /// # Errors
    /// [`error::KernelError::NotFound`] if the mesh is not up.
    pub fn mesh_address(&self) -> Result<net::SocketAddr, error::KernelError> {
        let mesh = self
            .kernel
            .registry()
            .find::<dyn cuminkeel_mesh::border::MeshPort>(services::names::MESH)?;
        Ok(mesh.local().address)
    }

    /// Counts of the mesh's traffic, and fault drills.
    ///
    /// # Errors
    /// [`error::KernelError::NotFound`] if the mesh is not up.
    pub fn mesh_probe(
        &self,
    ) -> Result<sync::Arc<dyn services::mesh::MeshProbe>, error::KernelError> {
        self.kernel.registry().find(services::names::MESH_PROBE)
    }

    /// Returns once the other entries have declared this process gone, as they do
    /// with one that was paused for long. It must then drain and start anew.
    ///
    /// # Errors
    /// [`error::KernelError::NotFound`] if the decision loop is not up.
    pub async fn rejected(&self) -> Result<(), error::KernelError> {
        let rejection = self
            .kernel
            .registry()
            .find::<watch::Receiver<bool>>(services::names::REJECTION)?;
        let mut rejection = (*rejection).clone();
        if rejection.wait_for(|rejected| *rejected).await.is_err() {
            // The mesh has stopped, so nobody rejects this process any more.
            std::future::pending::<()>().await;
        }
        Ok(())
    }

    /// Jobs and requests that wait for an answer.
    pub async fn unfinished(&self) -> usize {
        let core = self
            .kernel
            .registry()
            .find::<crate::core::CoreHandle>(services::names::CORE);
        let Ok(core) = core else {
            return 0;
        };
        let status = core.status().await.unwrap_or_default();
        status.dispatch.jobs.max(status.waiting_requests)
    }

    /// Stops being offered, finishes the accepted within the drain limit, and
    /// stops. Returns what each service left.
    pub async fn drain(&self) -> Vec<runner::ServiceReport> {
        let reports = self.kernel.drain(self.settings.drain_limit).await;
        self.kernel.stop().await;
        reports
    }

    /// Stops at once, as a crash would but for the open sockets.
    pub async fn stop(&self) {
        self.kernel.stop().await;
    }
}
