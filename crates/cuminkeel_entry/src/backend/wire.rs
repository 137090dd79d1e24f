//! Bodies of the contract with backend servers (`docs/BACKEND_CONTRACT.md`).

use cuminkeel_types::{job, outcome};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/tasks`.
#[derive(Debug, Serialize)]
pub(super) struct TaskBody<'a> {
    pub(super) task: &'a str,
    pub(super) class: &'a str,
    pub(super) size_millicores: u32,
    pub(super) time_left_ms: u64,
    pub(super) payload: &'a str,
}

/// Body of `GET /v1/usage`.
#[derive(Debug, Deserialize)]
pub(super) struct UsageBody {
    pub(super) busy: u32,
}

/// Identity of a task on the wire.
pub(super) fn task_name(task: &outcome::TaskKey) -> String {
    format!("{}-{}", task.job, task.task)
}

/// Encodes the body of an attempt.
pub(super) fn task_body(
    name: &str,
    spec: &job::TaskSpec,
    time_left: std::time::Duration,
) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(&TaskBody {
        task: name,
        class: spec.class.as_str(),
        size_millicores: spec.size_millicores,
        time_left_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
        payload: &spec.payload,
    })
}
