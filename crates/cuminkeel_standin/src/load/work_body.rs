//! Payloads of the tasks: what the backend stand-in is to do, and a token that
//! no other task has.

use std::time;

use crate::backend::wire;

use super::{caller, workload};

/// One task of a request.
pub(super) fn submit_task(
    run_token: u64,
    job_position: usize,
    attempt: usize,
    task_position: usize,
    job: &workload::JobPlan,
) -> caller::SubmitTask {
    let task = &job.tasks[task_position];
    let payload = wire::WorkPayload {
        work_ms: millis(task.work),
        output_bytes: workload::OUTPUT_BYTES,
        fail: false,
        token: format!("{run_token:x}-{job_position}-{attempt}-{task_position}").into(),
    };
    caller::SubmitTask {
        class: job.class,
        size_millicores: task.size_millicores,
        declared_ms: millis(task.declared),
        payload: serde_json::to_string(&payload).unwrap_or_default().into(),
    }
}

fn millis(span: time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
