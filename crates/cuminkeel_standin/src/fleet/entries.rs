//! Real entries, each with ports of its own.

use std::{net, sync, time};

use cuminkeel_entry::{daemon, services, settings, telemetry};
use cuminkeel_platform::{border, client};
use cuminkeel_types::names;

use super::error;

/// Which entry to start.
#[derive(Clone, Debug)]
pub struct EntryPlan {
    /// Name of the VM.
    pub vm: sync::Arc<str>,
    /// Failure domain of the VM.
    pub domain: sync::Arc<str>,
    /// Rack of the VM.
    pub rack: sync::Arc<str>,
    /// Name of the dispatch policy.
    pub policy: sync::Arc<str>,
    /// Weight of response time.
    pub response_weight: u32,
    /// Weight of messages.
    pub message_weight: u32,
    /// Entries in each failure domain.
    pub seats_per_domain: u32,
    /// All failure domains.
    pub domains: Vec<sync::Arc<str>>,
    /// Address of the platform as this entry reaches it.
    pub platform: net::SocketAddr,
    /// Seed of the process.
    pub seed: u64,
}

/// Secret of the mesh of a deployment on loopback.
const MESH_SECRET: &str = "loopback deployment";
/// Largest request body of a deployment on loopback, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

fn any_port() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

impl EntryPlan {
    fn settings(&self) -> settings::EntrySettings {
        settings::EntrySettings {
            vm: names::VmName::new(sync::Arc::clone(&self.vm)),
            failure_domain: names::FailureDomain::new(sync::Arc::clone(&self.domain)),
            rack: names::RackName::new(sync::Arc::clone(&self.rack)),
            api: settings::ApiSettings {
                address: any_port(),
                tls: None,
                max_body_bytes: MAX_BODY_BYTES,
                max_concurrent_requests: 4_096,
                body_timeout: time::Duration::from_secs(5),
                max_deadline: time::Duration::from_mins(2),
                max_keys_per_batch: 100,
            },
            mesh: settings::MeshSettings {
                address: any_port(),
                secrets: vec![MESH_SECRET.into()],
            },
            platform: settings::PlatformSettings {
                address: self.platform,
                timeout: time::Duration::from_secs(2),
                vm_list_interval: time::Duration::from_millis(200),
                log_retention: Some(time::Duration::from_hours(1)),
            },
            dispatch: settings::DispatchSettings {
                policy: sync::Arc::clone(&self.policy),
                response_weight: self.response_weight,
                message_weight: self.message_weight,
                seats_per_domain: self.seats_per_domain,
                failure_domains: self
                    .domains
                    .iter()
                    .map(|domain| names::FailureDomain::new(sync::Arc::clone(domain)))
                    .collect(),
            },
            backend: settings::BackendSettings {
                connect_timeout: time::Duration::from_millis(500),
                idle_timeout: time::Duration::from_secs(30),
                max_task_time: time::Duration::from_secs(10),
                answer_grace: time::Duration::from_secs(1),
            },
            drain_limit: time::Duration::from_secs(20),
            log: settings::LogSettings {
                format: settings::LogFormat::Terminal,
                level: settings::LogLevel::Warning,
            },
            telemetry: None,
        }
    }
}

/// A running entry.
#[derive(Debug)]
pub struct FleetEntry {
    /// What it was started from.
    pub plan: EntryPlan,
    /// The entry.
    pub daemon: daemon::EntryDaemon,
    /// Address that callers reach.
    pub api: net::SocketAddr,
    /// Address that other entries reach.
    pub mesh: net::SocketAddr,
}

impl FleetEntry {
    /// Starts an entry.
    ///
    /// # Errors
    /// [`error::FleetError::Entry`].
    pub async fn start(
        plan: EntryPlan,
        traces: telemetry::TraceSource,
        log: slog::Logger,
    ) -> Result<Self, error::FleetError> {
        let platform = client::PlatformSettings::new(plan.platform);
        let platform = sync::Arc::new(client::HttpPlatform::new(platform));
        let parts = daemon::EntryParts {
            settings: plan.settings(),
            log_store: sync::Arc::clone(&platform) as sync::Arc<dyn border::LogStore>,
            directory: platform as sync::Arc<dyn border::VmDirectory>,
            outcomes: sync::Arc::new(services::core::LedgerFactory),
            traces,
            metrics: telemetry::MetricsSource::off(),
            messages: sync::Arc::default(),
            seed: *blake3::hash(&plan.seed.to_le_bytes()).as_bytes(),
            log,
        };
        let daemon = daemon::EntryDaemon::start(parts).await?;
        let api = daemon.api_address()?;
        let mesh = daemon.mesh_address()?;
        Ok(Self {
            plan,
            daemon,
            api,
            mesh,
        })
    }

    /// The entry's row in the VM list.
    pub fn vm_record(&self) -> border::VmRecord {
        border::VmRecord {
            name: sync::Arc::clone(&self.plan.vm),
            domain: names::FailureDomain::new(sync::Arc::clone(&self.plan.domain)),
            rack: names::RackName::new(sync::Arc::clone(&self.plan.rack)),
            partner: names::PartnerName::new("own"),
            state: border::VmState::Live,
            role: border::VmRole::Entry {
                mesh: self.mesh,
                api: self.api,
            },
        }
    }
}
