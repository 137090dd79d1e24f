//! Messages to the decision loop and its replies.

use std::{sync, time};

use cuminkeel_dispatch::{event, policy};
use cuminkeel_outcome::event as outcome_event;
use cuminkeel_types::{job, names, outcome};
use opentelemetry::Context;
use tokio::sync::oneshot;

/// The answer to one waiting request.
#[derive(Clone, Debug)]
pub struct JobReply {
    /// The job, if one was started on this entry.
    pub job: Option<names::JobId>,
    /// The answer.
    pub answer: outcome::JobAnswer,
}

/// A job as its owner may see it.
#[derive(Clone, Debug)]
pub enum JobView {
    /// Not answered yet.
    Running,
    /// Its final answer.
    Finished(outcome::JobAnswer),
}

/// State of the loop for `status` and metrics.
#[derive(Clone, Debug, Default)]
pub struct CoreStatus {
    /// State of the dispatch policy.
    pub dispatch: policy::DispatchStatus,
    /// Requests that wait for an answer.
    pub waiting_requests: usize,
    /// Whether new jobs are refused.
    pub draining: bool,
}

/// Anything that the loop is told.
#[derive(Debug)]
pub enum CoreMessage {
    /// A caller asks for submission keys.
    RequestKeys {
        /// Who asks.
        customer: names::CustomerName,
        /// How many.
        count: u32,
        /// Where the keys go.
        reply: oneshot::Sender<Result<Vec<sync::Arc<str>>, outcome::Refusal>>,
    },
    /// A caller submits a job.
    Submit {
        /// Submission key, if any.
        key: Option<sync::Arc<str>>,
        /// The job.
        spec: sync::Arc<job::JobSpec>,
        /// Trace of the receiving hop.
        trace: Context,
        /// Told once the job was started here under an identity.
        started: oneshot::Sender<names::JobId>,
        /// Told the final answer.
        reply: oneshot::Sender<JobReply>,
    },
    /// A caller cancels the job of a submission key.
    CancelKey {
        /// Who asks.
        customer: names::CustomerName,
        /// The key.
        key: sync::Arc<str>,
        /// Time after which an answer is of no use.
        deadline: time::Duration,
        /// Told the job's final answer.
        reply: oneshot::Sender<JobReply>,
    },
    /// A caller looks at its job.
    Look {
        /// Who asks.
        customer: names::CustomerName,
        /// The job.
        job: names::JobId,
        /// Told the final answer when there is one.
        finished: oneshot::Sender<outcome::JobAnswer>,
        /// Told at once; none if there is no such job of this customer.
        reply: oneshot::Sender<Option<JobView>>,
    },
    /// A caller cancels its job.
    Cancel {
        /// Who asks.
        customer: names::CustomerName,
        /// The job.
        job: names::JobId,
        /// Told whether there is such a job of this customer.
        reply: oneshot::Sender<bool>,
    },
    /// An attempt on a backend server ended.
    TaskEnded {
        /// The task.
        task: outcome::TaskKey,
        /// Where it was sent.
        server: names::ServerName,
        /// How it ended.
        outcome: outcome::TaskOutcome,
        /// Tasks that the server still runs, if it told.
        busy: Option<u32>,
    },
    /// A load probe was answered; none if it failed.
    ServerProbed {
        /// Number of the probe.
        probe: u64,
        /// The server.
        server: names::ServerName,
        /// Tasks running on it.
        busy: Option<u32>,
    },
    /// The usable backend servers changed.
    ServersChanged(Vec<event::ServerRecord>),
    /// The customers' terms changed.
    TermsChanged(Vec<event::CustomerTerms>),
    /// The live entries of this failure domain changed.
    PeersChanged(Vec<outcome_event::PeerEntry>),
    /// The live entries of all failure domains changed.
    MembersChanged(Vec<names::IncarnationId>),
    /// A message of another entry's dispatch policy.
    SiblingMessage {
        /// Sender.
        from: event::SiblingEntry,
        /// Payload.
        payload: Vec<u8>,
    },
    /// A message of another entry's outcome policy.
    OutcomeMessage {
        /// Sender.
        from: names::IncarnationId,
        /// Payload.
        payload: Vec<u8>,
    },
    /// Refuse new jobs, finish the accepted.
    Drain {
        /// Told when nothing is left.
        finished: oneshot::Sender<()>,
    },
    /// Look at the state.
    Status {
        /// Where it goes.
        reply: oneshot::Sender<CoreStatus>,
    },
}
