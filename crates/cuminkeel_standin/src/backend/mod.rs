//! Stand-in of a backend server that keeps `docs/BACKEND_CONTRACT.md`.

pub mod faults;
pub mod ledger;
pub mod server_state;
mod task_service;
pub mod wire;

use std::{io, net, sync, time};

use cuminkeel_platform::border;

use crate::{http_listener, platform, sync_lock};

/// What a backend server is and how fast.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSettings {
    /// Name of its VM.
    pub name: sync::Arc<str>,
    /// Tasks at once.
    pub slots: u32,
    /// Connections at once.
    pub max_connections: usize,
    /// Largest task, in thousandths of a core.
    pub max_size_millicores: u32,
    /// Run time of a task relative to its work; 2 is twice as slow.
    pub slowness: f64,
    /// Delay added to each request and again to each answer.
    pub one_way_latency: time::Duration,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            name: "server".into(),
            slots: 8,
            max_connections: 60,
            max_size_millicores: 16_000,
            slowness: 1.0,
            one_way_latency: time::Duration::ZERO,
        }
    }
}

/// A backend server. Dropping it ends it.
#[derive(Debug)]
pub struct BackendStandin {
    settings: BackendSettings,
    address: net::SocketAddr,
    state: sync::Arc<server_state::ServerState>,
    listener: sync::Mutex<Option<http_listener::HttpListener>>,
}

impl BackendStandin {
    /// Starts the server on a free port. What it starts is noted in `ledger`.
    ///
    /// # Errors
    /// No port can be bound.
    pub fn start(
        settings: BackendSettings,
        ledger: sync::Arc<ledger::StartLedger>,
    ) -> io::Result<Self> {
        let state = sync::Arc::new(server_state::ServerState::new(&settings, ledger));
        let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let listener = listen(&settings, address, &state)?;
        Ok(Self {
            address: listener.address(),
            settings,
            state,
            listener: sync::Mutex::new(Some(listener)),
        })
    }

    /// Address of its HTTP service; stays the same when it is revived.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// What it was started with.
    pub fn settings(&self) -> &BackendSettings {
        &self.settings
    }

    /// Sets or clears the fault that strikes each `every`-th task; 0 and 1 mean each.
    pub fn set_fault(&self, fault: Option<faults::BackendFault>, every: u64) {
        self.state.set_fault(fault, every);
        let reset = matches!(fault, Some(faults::BackendFault::ResetBeforeRead));
        if let Some(listener) = sync_lock::lock(&self.listener).as_ref() {
            listener.set_reset_before_read(reset);
        }
    }

    /// Changes the run time relative to the work.
    pub fn set_slowness(&self, slowness: f64) {
        self.state.set_slowness(slowness);
    }

    /// Refuses new tasks as leaving and finishes the started, or ends that.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.set_leaving(leaving);
    }

    /// Ends the server as a crash would: closes its port and connections and
    /// drops what it runs.
    pub fn die(&self) {
        sync_lock::lock(&self.listener).take();
        self.state.drop_tasks();
    }

    /// Starts the server again at the same address, without memory of before.
    ///
    /// # Errors
    /// The port is taken by another process.
    pub fn revive(&self) -> io::Result<()> {
        let mut listener = sync_lock::lock(&self.listener);
        if listener.is_none() {
            *listener = Some(listen(&self.settings, self.address, &self.state)?);
        }
        Ok(())
    }

    /// Tasks running now.
    pub fn busy_slots(&self) -> u32 {
        self.state.busy_slots()
    }

    /// Most connections that were open at once, and how many were refused for the limit.
    pub fn connection_peak(&self) -> (usize, u64) {
        sync_lock::lock(&self.listener)
            .as_ref()
            .map_or((0, 0), |listener| {
                let counts = listener.counts();
                (counts.peak(), counts.over_limit())
            })
    }

    /// Its usage for the platform's reports.
    pub fn usage_source(&self) -> sync::Arc<dyn platform::UsageSource> {
        self.state.clone()
    }

    /// Its row in the VM list.
    pub fn vm_record(&self, domain: &str, rack: &str, partner: &str) -> border::VmRecord {
        let max_connections = u32::try_from(self.settings.max_connections).unwrap_or(u32::MAX);
        border::VmRecord {
            name: self.settings.name.clone(),
            domain: domain.into(),
            rack: rack.into(),
            partner: partner.into(),
            state: border::VmState::Live,
            role: border::VmRole::BackendServer {
                http: self.address,
                slots: self.settings.slots,
                max_connections,
                max_size_millicores: self.settings.max_size_millicores,
            },
        }
    }
}

fn listen(
    settings: &BackendSettings,
    address: net::SocketAddr,
    state: &sync::Arc<server_state::ServerState>,
) -> io::Result<http_listener::HttpListener> {
    let settings = http_listener::ListenerSettings {
        address,
        max_connections: settings.max_connections,
        one_way_latency: settings.one_way_latency,
    };
    let service = task_service::TaskService::new(state.clone());
    http_listener::HttpListener::start(settings, sync::Arc::new(service))
}
