//! Actions that a pool asks its process to perform.

use std::{sync::Arc, time};

use derive_more::Display;

use crate::{crash_ledger, job_model, server_model};

/// Id of a waiter for the end of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaiterId(pub u64);

/// Action for the process to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolAction {
    /// Send a start order.
    Start(server_model::StartOrder),
    /// Send a hold order.
    Hold(server_model::HoldOrder),
    /// Send a stop order.
    Stop(server_model::StopOrder),
    /// Tell a waiter how its job ended.
    AnswerWaiter {
        /// Id of the waiter.
        waiter: WaiterId,
        /// Outcome of the job.
        end: job_model::JobEnd,
    },
    /// Record that another process has claimed a server that this pool held or was claiming, so
    /// that this process does not claim it again at once.
    LostServer {
        /// Id of the server.
        server: Arc<str>,
    },
    /// Read the registry now, as this pool takes over servers: some may have registered since the last
    /// read.
    ReadRegistry,
    /// Tell the leaders of all failure domains, and the processes that may lead next, of a loss of a run or
    /// of new evidence on one.
    ShareLoss(crash_ledger::LostRun),
    /// Log a decision or an observation.
    LogDecision(DecisionRecord),
}

/// Kind of a decision or observation.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A job was admitted to the queue.
    Queued,
    /// A job was refused.
    Refused,
    /// An offer was read so late after it was sent that the job was not admitted.
    OfferOutdated,
    /// A waiter was added to a job that the pool already has.
    Attached,
    /// A task was ordered to start.
    Placed,
    /// A server rejected a start.
    #[display("start_denied")]
    StartRejected,
    /// A run ended.
    RunEnded,
    /// A run was lost: its server crashed, stopped responding or restarted, or does not have it any more.
    RunLost,
    /// A run may be lost with its server, or it became known whether that server has crashed.
    LossEvidence,
    /// A run was ordered to stop.
    Stopping,
    /// A run was ordered to stop again.
    StopRepeated,
    /// A stop got no response or was rejected, or its run is still reported.
    StopUnconfirmed,
    /// The leases on a server were renewed for other runs, and with them that of a run without a job.
    LeaseExtended,
    /// The leases on a server were not renewed in full although a job uses a run there: a run that no
    /// job uses has to end.
    LeaseWithheld,
    /// A job ended.
    JobEnded,
    /// A server is being claimed.
    Claiming,
    /// The claim on a server was granted.
    Held,
    /// A server rejects the tokens of its own time, or all tokens.
    ClaimRejected,
    /// A server rejected orders falsely and gets no run for a while.
    Distrusted,
    /// An order to a held server went unanswered, another server responded, or a stop was rejected.
    Suspect,
    /// A server was lost to another process or released, also when the pool steps down.
    Fenced,
    /// A server was ejected for failures or a stalled run.
    Ejected,
    /// A server restarted; it has a new incarnation.
    #[display("reborn")]
    Restarted,
    /// All leases on an unresponsive server have expired.
    #[display("leases_over")]
    LeasesExpired,
    /// A run that this pool did not start was reported.
    #[display("foreign_run")]
    InheritedRun,
    /// A server appeared in the registry, or started or ceased to drain.
    #[display("server_listed")]
    ServerRegistered,
    /// A server left the registry.
    #[display("server_gone")]
    ServerUnregistered,
    /// A server that left the registry still has a run.
    RunUnlisted,
    /// The pool takes over servers.
    Takeover,
    /// All jobs wait, as a server may have runs that the pool does not know.
    TakeoverWaiting,
    /// The pool stepped down and released its servers.
    Released,
    /// The evacuation of the pool's failure domain began or ended.
    Evacuation,
    /// Because of an evacuation, a job was refused so that another pool can have it, or failed.
    JobEvacuated,
    /// A shortage of servers began or ended.
    Shortage,
}

/// Number of places for the inputs of a decision.
pub const INPUT_COUNT: usize = 10;

/// Log record of a decision or observation.
#[derive(Clone, Debug, PartialEq)]
pub struct DecisionRecord {
    /// Kind of the decision.
    pub kind: DecisionKind,
    /// Job or task concerned.
    pub request: Option<Arc<str>>,
    /// Server concerned.
    pub server: Option<Arc<str>>,
    /// Outcome or cause of the decision.
    pub outcome: &'static str,
    /// Names and values of the decision's inputs; unused places have an empty name.
    pub inputs: [(&'static str, i64); INPUT_COUNT],
}

/// Returns a duration in whole ms, as an input of a decision record.
pub fn whole_ms(duration: time::Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}
