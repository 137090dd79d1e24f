//! Backend servers as the registry describes them, orders to them and the outcomes of orders.

use std::{sync::Arc, time};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::job_model;

/// Registry entry of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Id of the server.
    pub id: Arc<str>,
    /// Service that the server provides.
    pub service: Arc<str>,
    /// `IP:PORT` that orders are sent to.
    pub address: Arc<str>,
    /// Failure domain of the server.
    pub failure_domain: Arc<str>,
    /// Whether the server is about to stop.
    pub draining: bool,
    /// Processor capacity, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory capacity, in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub gpus: u32,
    /// Labels of the server: its kind, then its rack.
    pub labels: SmallVec<[Arc<str>; 2]>,
    /// Start time of the server, in Unix ms; tells a restarted server from its previous
    /// incarnation. 0 if the registry entry does not have it.
    pub incarnation: u64,
    /// Sequence number of the entry within the incarnation.
    pub sequence: u64,
    /// Time for which the server was still slow after its start when it wrote the entry; zero if it was
    /// warm or the entry does not have it.
    pub cold_remaining: time::Duration,
}

/// How a process reads the registry of backend servers; goes into log records only.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RegistryView {
    /// Time at which the process read its first snapshot; `None` before that.
    pub first_read_at: Option<time::Duration>,
    /// Number of records before that snapshot that it asked for.
    pub history_asked: usize,
    /// Number of records before that snapshot that it got.
    pub history_read: usize,
    /// Number of servers whose entries were removed, but which still count as registered.
    pub held_removals: usize,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The run failed, through a fault of the task or of the server.
    Failed,
    /// A stop order ended the run.
    Stopped,
    /// The run was lost: its lease expired, its server restarted, or a hold report no longer
    /// has it.
    Lost,
    /// Another run of the gang (tasks that run only at the same time) ended, or did not start in
    /// time. Jobs with gangs are unsupported.
    GangBroken,
}

/// Run that a hold report lists as running.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedRun {
    /// Task of the run.
    pub task: job_model::TaskName,
    /// Id of the run, unique for its task.
    pub run_id: u64,
    /// Progress in percent.
    pub percent: u8,
}

/// Run that a hold report lists as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedEnd {
    /// Sequence number of the end within the server's incarnation, from 1.
    pub sequence: u64,
    /// Task of the run.
    pub task: job_model::TaskName,
    /// Id of the run, unique for its task.
    pub run_id: u64,
    /// Outcome of the run.
    pub end: RunEnd,
}

/// Contents of a hold's response: the server's runs and ended runs at a time of its own clock.
#[derive(Clone, Debug, PartialEq)]
pub struct HoldReport {
    /// The server's monotonic clock, in ms.
    pub clock_ms: u64,
    /// Start time of the server, in Unix ms, if the response has it.
    pub incarnation: Option<u64>,
    /// Runs in progress.
    pub running: Vec<ReportedRun>,
    /// Ended runs that were not acknowledged before.
    pub finished: Vec<ReportedEnd>,
    /// Number of unreadable rows in both lists.
    pub unreadable_count: usize,
}

/// Outcome of a hold order.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldOutcome {
    /// The server reported its runs.
    Reported(HoldReport),
    /// The server has seen a higher token.
    Fenced {
        /// The server's monotonic clock, in ms, if the response has it.
        clock_ms: Option<u64>,
    },
    /// Another server responded at this address.
    OtherServer,
    /// No process accepts connections at the server's address, so the order was not sent. The server has
    /// crashed, or the network rejects connections to it while its runs go on.
    Refused,
    /// No response, or an unreadable or unexpected one; the order may still take effect later.
    Unanswered,
}

/// Outcome of a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The server has the run.
    Started {
        /// The server's monotonic clock, in ms.
        clock_ms: u64,
    },
    /// The server has seen a higher token; nothing was started.
    Fenced,
    /// The server rejected the run id as too old for its task; nothing was started.
    StaleRunId,
    /// The order arrived after its lease had expired; nothing was started.
    ArrivedLate,
    /// The server enforces its capacity and has too little left; nothing was started.
    NoCapacity,
    /// The server is unhealthy; nothing was started.
    Unhealthy,
    /// Another server responded at this address; nothing was started.
    OtherServer,
    /// The server rejected the order as malformed or for an unknown reason; nothing was started.
    Malformed,
    /// No response, or an unreadable or unexpected one; the order may still take effect later.
    Unanswered,
}

/// Outcome of a stop order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOutcome {
    /// The server accepted the order and stops the run.
    Accepted,
    /// No response, or a rejection.
    Unconfirmed,
}

/// Order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Id of the server that receives the order.
    pub server: Arc<str>,
    /// `IP:PORT` of the server.
    pub address: Arc<str>,
    /// Task to run.
    pub task: job_model::TaskName,
    /// Id of the run, unique for its task.
    pub run_id: u64,
    /// Payload of the task, as text.
    pub payload: Arc<str>,
    /// Expiry of the run's lease on the server's clock, in ms.
    pub lease_expiry_ms: u64,
    /// Fencing token of the pool's claim on the server.
    pub token: u64,
}

/// Order to renew all leases on a server and to report its runs and ended runs. A token higher
/// than all that the server has seen claims the server.
#[derive(Clone, Debug, PartialEq)]
pub struct HoldOrder {
    /// Number of the order in its pool; 0 if it does not matter which order an outcome belongs to.
    pub number: u64,
    /// Id of the server that receives the order.
    pub server: Arc<str>,
    /// `IP:PORT` of the server.
    pub address: Arc<str>,
    /// Fencing token of the pool's claim on the server.
    pub token: u64,
    /// Sequence number up to which reported ends are acknowledged.
    pub acknowledged_end_sequence: u64,
    /// Expiry of all leases on the server's clock, in ms; without it, leases are not renewed.
    pub lease_expiry_ms: Option<u64>,
    /// Longest time for which the server delays its response until a run ends.
    pub wait: time::Duration,
    /// Whether the order must be sent on a new connection, as all claims are.
    pub fresh_connection: bool,
    /// Time before the order is sent, in which more runs may end: a report lists all runs of the server.
    pub pause: time::Duration,
}

/// Order to stop a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// Id of the server that receives the order.
    pub server: Arc<str>,
    /// `IP:PORT` of the server.
    pub address: Arc<str>,
    /// Task of the run.
    pub task: job_model::TaskName,
    /// Id of the run, unique for its task.
    pub run_id: u64,
    /// Fencing token of the pool's claim on the server.
    pub token: u64,
}
