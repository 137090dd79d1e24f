//! Runs the mesh.

use std::{net, sync, time};

use cuminkeel_kernel::{error, registry, service};
use cuminkeel_mesh::{border, frame, membership, transport};
use tokio::sync as tokio_sync;

use super::names;
use crate::{clock, settings};

/// Takes the addresses at which other entries may be found.
pub trait SeedSink: std::fmt::Debug + Send + Sync {
    /// Replaces the addresses.
    fn set_seeds(&self, seeds: Vec<net::SocketAddr>);
}

impl SeedSink for transport::service::MeshService {
    fn set_seeds(&self, seeds: Vec<net::SocketAddr>) {
        Self::set_seeds(self, seeds);
    }
}

/// Shows the mesh's traffic and cuts its links in fault drills.
pub trait MeshProbe: std::fmt::Debug + Send + Sync {
    /// Counts since the start.
    fn traffic(&self) -> transport::counters::MeshCounters;

    /// Loses all frames to these addresses and to no other.
    fn cut_links(&self, addresses: Vec<net::SocketAddr>);
}

impl MeshProbe for transport::service::MeshService {
    fn traffic(&self) -> transport::counters::MeshCounters {
        self.counters()
    }

    fn cut_links(&self, addresses: Vec<net::SocketAddr>) {
        Self::cut_links(self, addresses);
    }
}

/// The service.
#[derive(Debug)]
pub struct MeshNode {
    settings: sync::Arc<settings::EntrySettings>,
    incarnation: cuminkeel_types::names::IncarnationId,
    clock: clock::MonotonicClock,
    seed: u64,
    log: slog::Logger,
    running: tokio_sync::Mutex<Option<sync::Arc<transport::service::MeshService>>>,
}

impl MeshNode {
    /// A service that is not started.
    pub fn new(
        settings: sync::Arc<settings::EntrySettings>,
        incarnation: cuminkeel_types::names::IncarnationId,
        clock: clock::MonotonicClock,
        seed: u64,
        log: slog::Logger,
    ) -> Self {
        Self {
            settings,
            incarnation,
            clock,
            seed,
            log,
            running: tokio_sync::Mutex::default(),
        }
    }

    fn record(&self) -> border::MemberRecord {
        border::MemberRecord {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            domain: self.settings.failure_domain.clone(),
            rack: self.settings.rack.clone(),
            address: self.settings.mesh.address,
            leaving: false,
        }
    }
}

#[async_trait::async_trait]
impl service::KernelService for MeshNode {
    fn name(&self) -> service::ServiceName {
        names::MESH.into()
    }

    async fn start(&self, registry: &registry::ServiceRegistry) -> Result<(), error::ServiceError> {
        let secrets = self.settings.mesh.secrets.iter();
        let keys = secrets.map(|secret| frame::MeshKey::from_secret(secret));
        let keys = frame::KeyRing::new(keys).map_err(error::ServiceError::new)?;
        let settings = transport::service::MeshSettings {
            record: self.record(),
            bind: None,
            keys,
            membership: membership::settings::MembershipSettings::default(),
            seed: self.seed,
            clock: sync::Arc::new(transport::clock::SystemClock::new(self.clock.origin())),
            logger: self.log.clone(),
        };
        let mesh = transport::service::MeshService::start(settings)
            .await
            .map_err(error::ServiceError::new)?;
        let mesh = sync::Arc::new(mesh);
        let port: sync::Arc<dyn border::MeshPort> = sync::Arc::clone(&mesh) as _;
        registry
            .publish(names::MESH, port)
            .map_err(error::ServiceError::new)?;
        let sink: sync::Arc<dyn SeedSink> = sync::Arc::clone(&mesh) as _;
        registry
            .publish(names::SEEDS, sink)
            .map_err(error::ServiceError::new)?;
        let probe: sync::Arc<dyn MeshProbe> = sync::Arc::clone(&mesh) as _;
        registry
            .publish(names::MESH_PROBE, probe)
            .map_err(error::ServiceError::new)?;
        *self.running.lock().await = Some(mesh);
        Ok(())
    }

    async fn drain(&self, _limit: time::Duration) -> service::DrainReport {
        service::DrainReport::default()
    }

    async fn stop(&self) {
        if let Some(mesh) = self.running.lock().await.take() {
            mesh.stop();
        }
    }
}
