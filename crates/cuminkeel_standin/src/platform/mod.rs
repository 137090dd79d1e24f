//! Stand-in of the platform: log, VM list and usage reports over HTTP/JSON.

pub mod faults;
pub mod gate;
mod log_service;
pub mod log_state;
pub mod vm_table;

use std::{fmt, io, sync, time};

use cuminkeel_platform::border;
use cuminkeel_types::time as point;

use crate::{http_listener, sync_lock};

/// Limits and lags of the stand-in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Retention and append rate of the log.
    pub log: log_state::LogLimits,
    /// Age of the VM list that is shown.
    pub list_lag: time::Duration,
    /// Time between two usage reports.
    pub usage_period: time::Duration,
    /// Delay added to each request and again to each answer.
    pub one_way_latency: time::Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            log: log_state::LogLimits::default(),
            list_lag: time::Duration::from_millis(500),
            usage_period: time::Duration::from_secs(1),
            one_way_latency: time::Duration::ZERO,
        }
    }
}

/// Reports usage of one VM.
pub trait UsageSource: fmt::Debug + Send + Sync {
    /// Name of the VM.
    fn name(&self) -> sync::Arc<str>;

    /// Tasks running now.
    fn busy_slots(&self) -> u32;
}

/// Requests answered so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformCounts {
    /// Appends received.
    pub appends: u64,
    /// Reads received.
    pub reads: u64,
    /// Requests for the VM list and usage.
    pub lists: u64,
}

/// What all gates of one platform share.
#[derive(Debug)]
pub(crate) struct PlatformState {
    origin: tokio::time::Instant,
    pub(crate) log: sync::Mutex<log_state::LogState>,
    pub(crate) appended: tokio::sync::Notify,
    pub(crate) faults: sync::Mutex<faults::FaultState>,
    pub(crate) vms: sync::Mutex<vm_table::VmTable>,
    pub(crate) usage: sync::Mutex<vm_table::UsageTable>,
    pub(crate) counts: sync::Mutex<PlatformCounts>,
}

impl PlatformState {
    pub(crate) fn now(&self) -> point::TimePoint {
        point::TimePoint::ZERO + self.origin.elapsed()
    }
}

/// A running platform with one gate; more can be opened.
#[derive(Debug)]
pub struct PlatformStandin {
    state: sync::Arc<PlatformState>,
    settings: PlatformSettings,
    main_gate: gate::PlatformGate,
}

impl PlatformStandin {
    /// Starts the platform on a free port.
    ///
    /// # Errors
    /// No port can be bound.
    pub fn start(settings: PlatformSettings) -> io::Result<Self> {
        let state = sync::Arc::new(PlatformState {
            origin: tokio::time::Instant::now(),
            log: sync::Mutex::new(log_state::LogState::new(settings.log)),
            appended: tokio::sync::Notify::new(),
            faults: sync::Mutex::default(),
            vms: sync::Mutex::new(vm_table::VmTable::new(settings.list_lag)),
            usage: sync::Mutex::new(vm_table::UsageTable::new(settings.usage_period)),
            counts: sync::Mutex::default(),
        });
        let main_gate = gate::PlatformGate::open(&settings, state.clone())?;
        Ok(Self {
            state,
            settings,
            main_gate,
        })
    }

    /// Address of the first gate.
    pub fn address(&self) -> std::net::SocketAddr {
        self.main_gate.address()
    }

    /// The first gate.
    pub fn main_gate(&self) -> &gate::PlatformGate {
        &self.main_gate
    }

    /// Opens another address of the same platform, which can be cut off on its
    /// own, such as one for each failure domain.
    ///
    /// # Errors
    /// No port can be bound.
    pub fn open_gate(&self) -> io::Result<gate::PlatformGate> {
        gate::PlatformGate::open(&self.settings, self.state.clone())
    }

    /// Sets the faults of all gates.
    pub fn set_faults(&self, faults: faults::PlatformFaults) {
        sync_lock::lock(&self.state.faults).set(faults);
    }

    /// Drops all records before `head`, as retention would.
    pub fn trim(&self, stream: &str, head: u64) {
        sync_lock::lock(&self.state.log).trim(stream, head);
    }

    /// Every record now kept in a stream.
    pub fn records(&self, stream: &str) -> Vec<border::LogRecord> {
        sync_lock::lock(&self.state.log).records(stream)
    }

    /// Time since a record was written; none if it is not kept.
    pub fn record_age(&self, stream: &str, offset: u64) -> Option<time::Duration> {
        let now = self.state.now();
        sync_lock::lock(&self.state.log).record_age(now, stream, offset)
    }

    /// Replaces the VM list; it is shown after the lag.
    pub fn set_vms(&self, vms: Vec<border::VmRecord>) {
        let now = self.state.now();
        sync_lock::lock(&self.state.vms).set(now, vms);
    }

    /// Changes the VM list as last set.
    pub fn edit_vms(&self, edit: impl FnOnce(&mut Vec<border::VmRecord>)) {
        let now = self.state.now();
        let mut table = sync_lock::lock(&self.state.vms);
        let mut vms = table.latest();
        edit(&mut vms);
        table.set(now, vms);
    }

    /// Sets the age of the VM list that is shown.
    pub fn set_list_lag(&self, lag: time::Duration) {
        sync_lock::lock(&self.state.vms).set_lag(lag);
    }

    /// Shows the VM list as it is shown now until told otherwise.
    pub fn freeze_list(&self, frozen: bool) {
        let now = self.state.now();
        sync_lock::lock(&self.state.vms).freeze(now, frozen);
    }

    /// The VM list as it is shown now.
    pub fn visible_vms(&self) -> border::VmList {
        let now = self.state.now();
        sync_lock::lock(&self.state.vms).visible(now)
    }

    /// Adds a VM to the usage reports.
    pub fn add_usage_source(&self, source: sync::Arc<dyn UsageSource>) {
        sync_lock::lock(&self.state.usage).add(source);
    }

    /// Requests answered so far.
    pub fn counts(&self) -> PlatformCounts {
        *sync_lock::lock(&self.state.counts)
    }

    /// Settings of a new HTTP listener of this platform.
    pub(crate) fn listener_settings(
        settings: &PlatformSettings,
    ) -> http_listener::ListenerSettings {
        http_listener::ListenerSettings {
            one_way_latency: settings.one_way_latency,
            ..http_listener::ListenerSettings::default()
        }
    }
}
