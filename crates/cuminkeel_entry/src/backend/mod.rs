//! Sends tasks to backend servers and reports what became of each attempt.

mod attempt;
mod client;
mod pool;
mod wire;

use std::{fmt, net, time};

use cuminkeel_types::{job, names, outcome};
use opentelemetry::Context;

pub use client::BackendClient;

use crate::core;

/// One attempt to run a task.
#[derive(Clone, Debug)]
pub struct TaskCall {
    /// The task.
    pub task: outcome::TaskKey,
    /// Where to.
    pub server: names::ServerName,
    /// What to run.
    pub spec: job::TaskSpec,
    /// Time left until the job's deadline.
    pub time_left: time::Duration,
    /// Trace of the job.
    pub trace: Context,
    /// Wall time at which the job was queued, for the trace.
    pub queued_since: time::SystemTime,
}

/// Where a backend server is reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerAddress {
    /// Address of its HTTP service.
    pub http: net::SocketAddr,
    /// Most connections of this entry to it.
    pub max_connections: usize,
}

/// Sends tasks. Each call makes at most one attempt.
pub trait TaskSender: fmt::Debug + Send + Sync {
    /// Makes one attempt in the background and reports its end to `core`.
    fn start(&self, call: TaskCall, core: core::CoreHandle);

    /// Asks a server once, in the background, to stop a task.
    fn stop(&self, task: &outcome::TaskKey, server: &names::ServerName);

    /// Asks a server in the background how many tasks it runs, and reports to `core`.
    fn probe(&self, probe: u64, server: &names::ServerName, core: core::CoreHandle);
}
