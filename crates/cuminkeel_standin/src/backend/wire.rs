//! JSON bodies of the backend contract, as the server sees them.

use std::sync;

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/tasks`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskBody {
    /// Identity of the task.
    pub task: sync::Arc<str>,
    /// Class of the task.
    pub class: sync::Arc<str>,
    /// Declared size, in thousandths of a core.
    pub size_millicores: u32,
    /// Time until the job's deadline.
    pub time_left_ms: u64,
    /// Input of the task; the stand-in reads it as [`WorkPayload`].
    pub payload: sync::Arc<str>,
}

/// What the stand-in does for a task: the JSON text of its payload.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct WorkPayload {
    /// Run time on a server of slowness 1, in milliseconds.
    pub work_ms: u64,
    /// Length of the padding in the output.
    pub output_bytes: usize,
    /// Whether the task fails at its end.
    pub fail: bool,
    /// Sets the payloads of different tasks apart.
    pub token: sync::Arc<str>,
}

/// Answer 200: done.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DoneBody {
    /// The task as in the request.
    pub task: sync::Arc<str>,
    /// Digest of the payload, a colon and padding.
    pub output: String,
    /// Run time, in milliseconds.
    pub run_ms: u64,
    /// Tasks that still run on the server.
    #[serde(default)]
    pub busy: u32,
}

/// Why a task was refused before its start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// All slots are taken.
    SlotsFull,
    /// The server is leaving.
    Leaving,
    /// The task never fits.
    TooLarge,
}

/// Answer 503: refused before the start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalBody {
    /// The task as in the request.
    pub task: sync::Arc<str>,
    /// Why.
    pub reason: RefusalReason,
    /// Tasks that still run on the server.
    #[serde(default)]
    pub busy: u32,
}

/// Why a started task gave no output, or was not started again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// 409: a task of that id started before.
    Duplicate,
    /// 500: it ran and failed.
    Failed,
    /// 500: it was stopped on request.
    Stopped,
}

/// Answer 409 or 500.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FailureBody {
    /// The task as in the request.
    pub task: sync::Arc<str>,
    /// Why.
    pub reason: FailureReason,
    /// For a person.
    #[serde(default)]
    pub detail: String,
    /// Tasks that still run on the server.
    #[serde(default)]
    pub busy: u32,
}

/// Answer to `GET /v1/usage`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageBody {
    /// Tasks at once.
    pub slots: u32,
    /// Tasks running.
    pub busy: u32,
    /// Whether the server refuses new tasks.
    pub leaving: bool,
}

/// Digest of a payload as the output carries it.
pub fn payload_digest(payload: &str) -> String {
    blake3::hash(payload.as_bytes()).to_hex().to_string()
}

/// Digest that an output carries.
pub fn output_digest(output: &str) -> &str {
    output.split(':').next().unwrap_or_default()
}
