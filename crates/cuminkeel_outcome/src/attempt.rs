//! What an attempt to run a task proves, after the contract with backend servers.
//!
//! The tables of `docs/BACKEND_CONTRACT.md` are the source.

use std::{sync, time};

use cuminkeel_types::outcome;
use serde::Deserialize;

const STATUS_DONE: u16 = 200;
const STATUS_DUPLICATE: u16 = 409;
const STATUS_FAILED: u16 = 500;
const STATUS_REFUSED: u16 = 503;

/// How far the request had come when its connection failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// No connection was made, so no byte of the request left.
    BeforeWrite,
    /// Some bytes of the request may have left.
    DuringWrite,
    /// The whole request may have left.
    AfterWrite,
    /// The connection had carried other requests before. How much of this one
    /// left can't be told.
    Reused,
}

/// Body of a backend server's answer to `POST /v1/tasks`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct AnswerBody {
    /// The task that the answer is for.
    pub task: sync::Arc<str>,
    /// Why the task was refused or failed.
    #[serde(default)]
    pub reason: Option<sync::Arc<str>>,
    /// Message of a failed task.
    #[serde(default)]
    pub detail: Option<sync::Arc<str>>,
    /// Output of a completed task.
    #[serde(default)]
    pub output: Option<sync::Arc<str>>,
    /// Run time of a completed task, in milliseconds.
    #[serde(default)]
    pub run_ms: Option<u64>,
    /// Tasks that the server still runs, without this one.
    #[serde(default)]
    pub busy: Option<u32>,
}

/// What was seen of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEvidence {
    /// The request was never handed to a connection.
    NotSent,
    /// The connection failed or could not be made.
    ConnectionFailed {
        /// How far the request had come.
        phase: ConnectionPhase,
        /// What was seen, for a person.
        detail: sync::Arc<str>,
    },
    /// No answer came in time although a connection was made.
    TimedOut,
    /// An answer came.
    Answered {
        /// HTTP status.
        status: u16,
        /// The body; none if it is malformed.
        body: Option<AnswerBody>,
    },
}

impl AttemptEvidence {
    /// What the evidence proves of an attempt to run `task`. In doubt the
    /// attempt is lost.
    pub fn outcome(&self, task: &str) -> outcome::TaskOutcome {
        match self {
            Self::NotSent => not_started(outcome::NotStartedCause::NotSent),
            Self::ConnectionFailed {
                phase: ConnectionPhase::BeforeWrite,
                ..
            } => not_started(outcome::NotStartedCause::NoConnection),
            Self::ConnectionFailed { detail, .. } => outcome::TaskOutcome::Lost {
                detail: detail.clone(),
            },
            Self::TimedOut => lost("no answer in time"),
            Self::Answered { body: None, .. } => lost("the answer's body is malformed"),
            Self::Answered {
                body: Some(body), ..
            } if &*body.task != task => lost("the answer is for another task"),
            Self::Answered {
                status,
                body: Some(body),
            } => read_answer(*status, body),
        }
    }
}

fn read_answer(status: u16, body: &AnswerBody) -> outcome::TaskOutcome {
    match (status, body.reason.as_deref(), &body.output) {
        (STATUS_DONE, None, Some(output)) => outcome::TaskOutcome::Done {
            output: output.clone(),
            run_time: time::Duration::from_millis(body.run_ms.unwrap_or(0)),
        },
        (STATUS_REFUSED, Some("slots_full"), _) => not_started(outcome::NotStartedCause::SlotsFull),
        (STATUS_REFUSED, Some("leaving"), _) => not_started(outcome::NotStartedCause::Leaving),
        (STATUS_REFUSED, Some("too_large"), _) => not_started(outcome::NotStartedCause::TooLarge),
        (STATUS_FAILED, Some(reason @ ("failed" | "stopped")), _) => outcome::TaskOutcome::Failed {
            detail: body.detail.clone().unwrap_or_else(|| reason.into()),
        },
        (STATUS_DUPLICATE, _, _) => lost("a task of this identity started before"),
        (_, _, _) => lost("the answer is not one of the contract"),
    }
}

fn not_started(cause: outcome::NotStartedCause) -> outcome::TaskOutcome {
    outcome::TaskOutcome::NotStarted { cause }
}

fn lost(detail: &str) -> outcome::TaskOutcome {
    outcome::TaskOutcome::Lost {
        detail: detail.into(),
    }
}

/// How far one task of a job is when the job is refused.
#[derive(Clone, Copy, Debug)]
pub enum TaskProgress<'a> {
    /// No attempt was made.
    NeverSent,
    /// An attempt is under way.
    InFlight,
    /// The last attempt has ended. Earlier ones were proved not started.
    Ended(&'a outcome::TaskOutcome),
}

impl TaskProgress<'_> {
    fn ran(self) -> outcome::RunStatus {
        match self {
            Self::NeverSent | Self::Ended(outcome::TaskOutcome::NotStarted { .. }) => {
                outcome::RunStatus::NotRun
            }
            Self::InFlight | Self::Ended(outcome::TaskOutcome::Lost { .. }) => {
                outcome::RunStatus::Unknown
            }
            Self::Ended(
                outcome::TaskOutcome::Done { .. } | outcome::TaskOutcome::Failed { .. },
            ) => outcome::RunStatus::Ran,
        }
    }
}

/// Whether anything of a refused job ran: `not_run` only if it is proved for
/// every task, `ran` if it is proved for one. The caller must make sure that
/// no further attempt is made.
pub fn job_run_status<'a>(tasks: impl IntoIterator<Item = TaskProgress<'a>>) -> outcome::RunStatus {
    tasks
        .into_iter()
        .map(TaskProgress::ran)
        .max()
        .unwrap_or(outcome::RunStatus::NotRun)
}
