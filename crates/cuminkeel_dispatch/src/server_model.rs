//! Backend servers as the registry lists them, and what they answer.

use std::{sync::Arc, time};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::job_model;

/// A backend server as its registry entry describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Id of the server.
    pub id: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// `IP:PORT` for orders.
    pub address: Arc<str>,
    /// Failure domain that it stands in.
    pub failure_domain: Arc<str>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Processor, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory, in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub gpus: u32,
    /// Kind and rack.
    pub labels: SmallVec<[Arc<str>; 2]>,
    /// Start of this life of the server, in Unix ms; tells a reborn server from its predecessor.
    pub incarnation: u64,
    /// Number of the report within this life.
    pub sequence: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// It failed, by its own fault or the server's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// It ended with another member of its gang, or waited for it in vain.
    GangBroken,
}

/// A run in a server's list of what runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedRun {
    /// Task of the run.
    pub task: job_model::TaskName,
    /// Number of the run.
    pub run_id: u64,
    /// Progress in percent.
    pub percent: u8,
}

/// A run in a server's list of what ended.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedEnd {
    /// Number of the end within this life of the server, from 1.
    pub sequence: u64,
    /// Task of the run.
    pub task: job_model::TaskName,
    /// Number of the run.
    pub run_id: u64,
    /// How it ended.
    pub end: RunEnd,
}

/// A server's lists, as of its own clock.
#[derive(Clone, Debug, PartialEq)]
pub struct HoldReport {
    /// The server's steady clock, in ms.
    pub clock_ms: u64,
    /// Start of this life of the server, in Unix ms, where it says so.
    pub incarnation: Option<u64>,
    /// What runs.
    pub running: Vec<ReportedRun>,
    /// What ended and was not acknowledged before.
    pub finished: Vec<ReportedEnd>,
    /// Rows of either list that can't be read.
    pub unreadable_count: usize,
}

/// What became of a hold.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldOutcome {
    /// The server's lists.
    Reported(HoldReport),
    /// The server has seen a higher token.
    Fenced,
    /// Another server answered at this address.
    OtherServer,
    /// No answer, or one that makes no sense; the order may act later.
    Unanswered,
}

/// What became of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The run is there.
    Started {
        /// The server's steady clock, in ms.
        clock_ms: u64,
    },
    /// The server has seen a higher token; nothing was started.
    Fenced,
    /// The run's number was used up at this server; nothing was started.
    StaleRunId,
    /// The order arrived after its own deadline; nothing was started.
    DeadlinePassed,
    /// The server guards its capacity and has no room; nothing was started.
    NoCapacity,
    /// The server is unhealthy; nothing was started.
    Unhealthy,
    /// Another server answered at this address; nothing was started.
    OtherServer,
    /// The server finds the order malformed; nothing was started.
    Malformed,
    /// No answer; the order may act later.
    Unanswered,
}

/// What became of a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOutcome {
    /// The server stops the run.
    Accepted,
    /// No answer, or a refusal.
    Unanswered,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Server that it goes to.
    pub server: Arc<str>,
    /// `IP:PORT` of the server.
    pub address: Arc<str>,
    /// Task to run.
    pub task: job_model::TaskName,
    /// Number of the run.
    pub run_id: u64,
    /// Text for the task.
    pub payload: Arc<str>,
    /// End of the lease on the server's clock, in ms.
    pub lease_deadline_ms: u64,
    /// The pool's token on this server.
    pub token: u64,
}

/// An order to extend all leases on a server and to list its runs.
#[derive(Clone, Debug, PartialEq)]
pub struct HoldOrder {
    /// Server that it goes to.
    pub server: Arc<str>,
    /// `IP:PORT` of the server.
    pub address: Arc<str>,
    /// The pool's token on this server.
    pub token: u64,
    /// Ends up to this number are acknowledged.
    pub acknowledged_end_sequence: u64,
    /// End of all leases on the server's clock, in ms.
    pub lease_deadline_ms: Option<u64>,
    /// How long the server may wait for an end before it answers.
    pub wait: time::Duration,
    /// Whether the order must not use a connection that was used before.
    pub fresh_connection: bool,
}

/// An order to stop a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// Server that it goes to.
    pub server: Arc<str>,
    /// `IP:PORT` of the server.
    pub address: Arc<str>,
    /// Task of the run.
    pub task: job_model::TaskName,
    /// Number of the run.
    pub run_id: u64,
    /// The pool's token on this server.
    pub token: u64,
}
