//! What the outcome policy is told and what it asks its shell to do.

use std::{fmt, sync};

use cuminkeel_types::{job, names, outcome, time};
use serde::{Deserialize, Serialize};

/// Names one waiting HTTP request on this entry; never reused by a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TicketId(pub u64);

/// A live entry of the same failure domain.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PeerEntry {
    /// Name of its VM.
    pub vm: names::VmName,
    /// Its process.
    pub incarnation: names::IncarnationId,
    /// Rack that it stands in.
    pub rack: names::RackName,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum OutcomeEvent {
    /// A caller asks for submission keys; answered at once by
    /// [`OutcomeAction::KeysIssued`] or [`OutcomeAction::Reply`].
    KeysRequested {
        /// The waiting request.
        ticket: TicketId,
        /// Who asks.
        customer: names::CustomerName,
        /// How many keys.
        count: u32,
    },
    /// A caller submitted a job. Idempotent jobs without a key pass straight through.
    Submitted {
        /// The waiting request.
        ticket: TicketId,
        /// The key as the caller sent it.
        key: Option<sync::Arc<str>>,
        /// The job.
        spec: sync::Arc<job::JobSpec>,
    },
    /// A caller cancels the job of a submission key, through any entry. What
    /// has not started never starts. Answered like a submission, with the
    /// job's final answer or a refusal.
    CancelRequested {
        /// The waiting request.
        ticket: TicketId,
        /// Who asks; must be the key's customer.
        customer: names::CustomerName,
        /// The key as the caller sent it.
        key: sync::Arc<str>,
        /// Time from receipt after which an answer is of no use.
        deadline: std::time::Duration,
    },
    /// A job admitted by [`OutcomeAction::StartJob`] got its final answer.
    JobFinished {
        /// The job.
        job: names::JobId,
        /// Its answer.
        answer: outcome::JobAnswer,
    },
    /// A message of another entry's outcome policy. May come late, twice or crossed.
    PeerMessage {
        /// Sender; proved by the mesh.
        from: names::IncarnationId,
        /// Encoded message, the policy's own format.
        payload: Vec<u8>,
    },
    /// The live entries of this failure domain without this one, after any
    /// change. Leaving ones are left out: they become no witness.
    PeersChanged(Vec<PeerEntry>),
    /// All live entries of all failure domains, leaving ones too, after any
    /// change. Shortens the wait for lost entries and prolongs that for slow
    /// ones; without it only the peers count as live.
    MembersChanged(Vec<names::IncarnationId>),
    /// This entry was told to leave: hand the authority over.
    DrainStarted,
    /// The time named by [`OutcomePolicy::next_wakeup`] has come.
    WakeupDue,
}

/// Something that the shell must do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum OutcomeAction {
    /// Keys for a caller.
    KeysIssued {
        /// The waiting request.
        ticket: TicketId,
        /// The keys, as text to be sent back unchanged.
        keys: Vec<sync::Arc<str>>,
    },
    /// Start a job: it may be dispatched on this entry, exactly once.
    StartJob {
        /// Identity drawn for the submission.
        job: names::JobId,
        /// The job.
        spec: sync::Arc<job::JobSpec>,
        /// The local request that waits for it, if any.
        ticket: Option<TicketId>,
    },
    /// Cancel a job started earlier by [`OutcomeAction::StartJob`]; its answer
    /// still comes as [`OutcomeEvent::JobFinished`].
    CancelJob {
        /// The job.
        job: names::JobId,
    },
    /// The final answer for a waiting request.
    Reply {
        /// The waiting request.
        ticket: TicketId,
        /// The answer.
        answer: outcome::JobAnswer,
    },
    /// Send a message to another entry's outcome policy. May be lost.
    SendPeer {
        /// Receiving process.
        to: names::IncarnationId,
        /// Encoded message.
        payload: Vec<u8>,
    },
    /// The hand-over that [`OutcomeEvent::DrainStarted`] began is complete.
    DrainFinished,
}

/// Decides what to do about each event. Without I/O; the same events, times
/// and seed give the same actions.
pub trait OutcomePolicy: fmt::Debug + Send {
    /// Takes in one event and appends what follows from it to `actions`.
    fn handle(
        &mut self,
        now: time::TimePoint,
        event: OutcomeEvent,
        actions: &mut Vec<OutcomeAction>,
    );

    /// When [`OutcomeEvent::WakeupDue`] is wanted next, if at all.
    fn next_wakeup(&self) -> Option<time::TimePoint>;
}
