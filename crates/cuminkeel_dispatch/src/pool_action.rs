//! What a pool asks its process to do.

use std::{sync::Arc, time};

use derive_more::Display;

use crate::{job_model, server_model};

/// Whoever waits for the end of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaiterId(pub u64);

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolAction {
    /// Send a start.
    Start(server_model::StartOrder),
    /// Send a hold.
    Hold(server_model::HoldOrder),
    /// Send a stop.
    Stop(server_model::StopOrder),
    /// Tell a waiter how its job ended.
    AnswerWaiter {
        /// Who waits.
        waiter: WaiterId,
        /// How the job ended.
        end: job_model::JobEnd,
    },
    /// Another process has claimed a server that this pool held.
    LostServer {
        /// The server.
        server: Arc<str>,
    },
    /// Something was decided or learnt; for the log.
    LogDecision(DecisionRecord),
}

/// Kind of a decision or belief.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A job was taken into the queue.
    Queued,
    /// A job was turned away.
    Refused,
    /// A job that is already there got another waiter.
    Attached,
    /// A task was ordered to start.
    Placed,
    /// A start was turned away or not answered.
    StartDenied,
    /// A run ended.
    RunEnded,
    /// A run was ordered to stop.
    Stopping,
    /// A job ended.
    JobEnded,
    /// A server is being claimed.
    Claiming,
    /// A server's claim was granted.
    Held,
    /// A server stopped answering.
    Suspect,
    /// A server was claimed by another process.
    Fenced,
    /// A server was taken out for its failures.
    Ejected,
    /// A server started a new life.
    #[display("reborn")]
    Restarted,
    /// All leases on a silent server have run out.
    #[display("leases_over")]
    LeasesExpired,
    /// A run of another process was found.
    ForeignRun,
    /// A server appeared in the registry or changed.
    ServerListed,
    /// A server left the registry.
    ServerGone,
    /// The pool gave up its servers.
    Released,
}

/// A line for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct DecisionRecord {
    /// What was decided.
    pub kind: DecisionKind,
    /// Job or task that it touches.
    pub request: Option<Arc<str>>,
    /// Server that it touches.
    pub server: Option<Arc<str>>,
    /// Outcome or cause.
    pub outcome: &'static str,
    /// Numbers that decided it.
    pub inputs: [(&'static str, i64); 3],
}

/// A duration in whole ms, for a note.
pub fn whole_ms(duration: time::Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}
