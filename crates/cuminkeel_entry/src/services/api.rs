//! Serves callers.

use std::{net, sync, sync::atomic, time};

use cuminkeel_kernel::{error, registry, service};
use cuminkeel_mesh::border;
use tokio::sync as tokio_sync;

use super::names;
use crate::{api, clock, config_feed, core, job_relay, settings, telemetry};

/// Time for which a leaving entry still takes jobs, so that the balancer sees
/// its health first.
const HEALTH_LEAD: time::Duration = time::Duration::from_millis(500);

/// Time for the open requests of a stopping entry to be answered.
const CLOSE_LIMIT: time::Duration = time::Duration::from_millis(500);

/// Address that callers reach.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddress(pub net::SocketAddr);

/// The service.
#[derive(Debug)]
pub struct ApiService {
    settings: sync::Arc<settings::EntrySettings>,
    clock: clock::MonotonicClock,
    traces: telemetry::TraceSource,
    metrics: telemetry::MetricsSource,
    messages: sync::Arc<telemetry::MessageCounters>,
    log: slog::Logger,
    running: tokio_sync::Mutex<Option<RunningApi>>,
}

#[derive(Debug)]
struct RunningApi {
    context: sync::Arc<api::ApiContext>,
    server: api::ApiServer,
}

impl ApiService {
    /// A service that is not started.
    pub fn new(
        settings: sync::Arc<settings::EntrySettings>,
        clock: clock::MonotonicClock,
        traces: telemetry::TraceSource,
        metrics: telemetry::MetricsSource,
        messages: sync::Arc<telemetry::MessageCounters>,
        log: slog::Logger,
    ) -> Self {
        Self {
            settings,
            clock,
            traces,
            metrics,
            messages,
            log,
            running: tokio_sync::Mutex::default(),
        }
    }

    fn context(
        &self,
        registry: &registry::ServiceRegistry,
    ) -> Result<api::ApiContext, error::KernelError> {
        let core = registry.find::<core::CoreHandle>(names::CORE)?;
        let mesh = registry.find::<dyn border::MeshPort>(names::MESH)?;
        let jobs = job_relay::JobRelay::start(&mesh, (*core).clone());
        Ok(api::ApiContext {
            settings: self.settings.api.clone(),
            core: (*core).clone(),
            config: registry.find::<dyn config_feed::ConfigSource>(names::CONFIG)?,
            jobs,
            mesh,
            mesh_probe: registry.find::<dyn super::mesh::MeshProbe>(names::MESH_PROBE)?,
            messages: sync::Arc::clone(&self.messages),
            traces: self.traces.clone(),
            metrics: self.metrics.clone(),
            allowance: registry.find(names::ALLOWANCE)?,
            clock: self.clock,
            permits: tokio_sync::Semaphore::new(self.settings.api.max_concurrent_requests),
            accepting: atomic::AtomicBool::new(true),
        })
    }
}

#[async_trait::async_trait]
impl service::KernelService for ApiService {
    fn name(&self) -> service::ServiceName {
        names::API.into()
    }

    async fn start(&self, registry: &registry::ServiceRegistry) -> Result<(), error::ServiceError> {
        let context = self.context(registry).map_err(error::ServiceError::new)?;
        let context = sync::Arc::new(context);
        let server = api::ApiServer::start(sync::Arc::clone(&context), &self.log)
            .map_err(error::ServiceError::new)?;
        let address = sync::Arc::new(BoundAddress(server.address()));
        registry
            .publish(names::API, address)
            .map_err(error::ServiceError::new)?;
        *self.running.lock().await = Some(RunningApi { context, server });
        Ok(())
    }

    async fn drain(&self, limit: time::Duration) -> service::DrainReport {
        if let Some(running) = self.running.lock().await.as_ref() {
            running
                .context
                .accepting
                .store(false, atomic::Ordering::Release);
        }
        tokio::time::sleep(HEALTH_LEAD.min(limit)).await;
        service::DrainReport::default()
    }

    async fn stop(&self) {
        if let Some(running) = self.running.lock().await.take() {
            // Requests that are still open were given up by the drain.
            let _ = tokio::time::timeout(CLOSE_LIMIT, running.server.close()).await;
        }
    }
}
