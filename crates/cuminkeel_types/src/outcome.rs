//! What became of a task or a job, and why a request was refused.

use std::{sync, time};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::names;

/// Whether any task of a request started on a backend server.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// Proved: nothing started, and nothing will start.
    #[display("not_run")]
    NotRun,
    /// It can't be proved whether something started.
    #[display("unknown")]
    Unknown,
    /// Proved: at least one task started.
    #[display("ran")]
    Ran,
}

/// Why a request was refused or a job failed. The code is part of the API.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request breaks the API's rules; the message says where.
    #[display("bad_request")]
    BadRequest,
    /// The caller's key is missing or matches no customer.
    #[display("unauthorized")]
    Unauthorized,
    /// No such job, or it belongs to another customer.
    #[display("not_found")]
    NotFound,
    /// A non-idempotent job came without a submission key.
    #[display("key_required")]
    KeyRequired,
    /// The submission key is malformed, forged or another customer's.
    #[display("key_invalid")]
    KeyInvalid,
    /// The submission key came before with a different job.
    #[display("key_reused")]
    KeyReused,
    /// The submission key has expired or was closed; fetch a new one.
    #[display("key_closed")]
    KeyClosed,
    /// The authority or witness of the key can't be reached or proved.
    #[display("key_unresolved")]
    KeyUnresolved,
    /// The plan does not allow this class or size of task.
    #[display("not_in_plan")]
    NotInPlan,
    /// The plan's allowance is used up for now.
    #[display("allowance_exhausted")]
    AllowanceExhausted,
    /// No backend server can ever run one of the tasks.
    #[display("never_runnable")]
    NeverRunnable,
    /// The deadline can't be met with the work already queued.
    #[display("overloaded")]
    Overloaded,
    /// The deadline passed before the job was complete.
    #[display("deadline_exceeded")]
    DeadlineExceeded,
    /// A task ran and failed.
    #[display("task_failed")]
    TaskFailed,
    /// A backend server was lost with a task that may have started.
    #[display("task_lost")]
    TaskLost,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
    /// The entry is leaving; another will serve the request.
    #[display("draining")]
    Draining,
    /// The entry has no configuration yet.
    #[display("no_configuration")]
    NoConfiguration,
    /// Too many requests at once on this entry.
    #[display("busy")]
    Busy,
    /// A fault of the entry itself.
    #[display("internal")]
    Internal,
}

/// A final answer that is not a result.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{code} ({ran}): {detail}")]
pub struct Refusal {
    /// Typed reason.
    pub code: RefusalCode,
    /// Whether anything ran.
    pub ran: RunStatus,
    /// When to try again; none if trying again is of no use.
    pub retry_after: Option<time::Duration>,
    /// What, where and how to mend it, for a person.
    pub detail: sync::Arc<str>,
}

impl Refusal {
    /// A refusal that proves nothing ran, without a retry time.
    pub fn not_run(code: RefusalCode, detail: impl Into<sync::Arc<str>>) -> Self {
        Self {
            code,
            ran: RunStatus::NotRun,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// The same refusal with a time to try again.
    #[must_use]
    pub fn retry_after(mut self, delay: time::Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl std::error::Error for Refusal {}

/// What became of one attempt to run a task on a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskOutcome {
    /// The server's whole answer.
    Done {
        /// Opaque output.
        output: sync::Arc<str>,
        /// Run time that the server reports.
        run_time: time::Duration,
    },
    /// Proved not started: refused before start, or no connection was made.
    NotStarted {
        /// Why.
        cause: NotStartedCause,
    },
    /// Started, and the server says it failed.
    Failed {
        /// The server's message.
        detail: sync::Arc<str>,
    },
    /// The connection broke or timed out after the request may have been read.
    Lost {
        /// What was seen.
        detail: sync::Arc<str>,
    },
}

/// Proofs that an attempt did not start a task.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum NotStartedCause {
    /// The server answered that all its slots are taken.
    SlotsFull,
    /// The server answered that it is leaving.
    Leaving,
    /// The server answered that the task can never fit.
    TooLarge,
    /// No connection could be made, so no byte of the request was sent.
    NoConnection,
    /// The entry never sent the request.
    NotSent,
}

/// The answer to a job: whole, or a reason why there is none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobAnswer {
    /// One output for each task, in the order of the job's tasks.
    Complete {
        /// The outputs.
        outputs: Vec<sync::Arc<str>>,
    },
    /// No answer.
    Failed(Refusal),
}

/// A job together with the identity under which an entry runs it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// The job.
    pub job: names::JobId,
    /// The task within it.
    pub task: names::TaskIndex,
}
