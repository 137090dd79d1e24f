//! Takes a job from a caller and awaits its answer.

use std::{sync, time};

use cuminkeel_types::{names, outcome};

use super::{body, server};
use crate::{core, job_handle, telemetry};

/// Time past a job's deadline after which a request stops waiting for the
/// decision loop, which answers by the deadline itself.
const ANSWER_MARGIN: time::Duration = time::Duration::from_secs(2);

/// Why a job has no result, and its identity if it was started here.
pub(super) type JobFailure = (outcome::Refusal, Option<job_handle::JobHandle>);

fn without_job(refusal: outcome::Refusal) -> JobFailure {
    (refusal, None)
}

/// A refusal made before the key was looked at. This request did not run, but an
/// earlier one with the same key may have, so a request with a key is `unknown`.
fn unseen(refusal: outcome::Refusal, has_key: bool) -> JobFailure {
    let ran = if has_key {
        outcome::RunStatus::Unknown
    } else {
        refusal.ran
    };
    without_job(outcome::Refusal { ran, ..refusal })
}

/// Checks a submission, hands it to the decision loop and awaits what the
/// caller asked to wait for.
pub(super) async fn submit(
    context: &server::ApiContext,
    headers: &http::HeaderMap,
    submission: body::JobSubmission,
) -> Result<body::JobBody, JobFailure> {
    let has_key = submission.submission_key.is_some();
    let unseen = |refusal| unseen(refusal, has_key);
    let _permit = context.admit("submit_job").map_err(unseen)?;
    let customer = context.authenticate(headers).map_err(unseen)?;
    let wait = submission.wait;
    let key = submission.submission_key.as_deref().map(sync::Arc::from);
    let mut spec = submission
        .into_spec(customer, context.settings.max_deadline)
        .map_err(unseen)?;
    context.view().check_plan(&spec).map_err(unseen)?;
    let span = context
        .traces
        .receive_span("receive", trace_parent(headers));
    spec.trace_parent = telemetry::traceparent(&span).map(Into::into);
    let limit = spec.deadline + ANSWER_MARGIN;
    let pending = context
        .core
        .submit(key, sync::Arc::new(spec), span.clone())
        .await
        .map_err(|stopped| without_job(stopped.into()))?;
    let owner = context.mesh.local().incarnation;
    let result = if wait {
        await_reply(owner, pending.reply, limit).await
    } else {
        await_start(owner, pending, limit).await
    };
    telemetry::end_span(&span);
    result
}

fn trace_parent(headers: &http::HeaderMap) -> Option<&str> {
    headers
        .get("traceparent")
        .and_then(|value| value.to_str().ok())
}

async fn await_reply(
    owner: names::IncarnationId,
    reply: tokio::sync::oneshot::Receiver<core::JobReply>,
    limit: time::Duration,
) -> Result<body::JobBody, JobFailure> {
    match tokio::time::timeout(limit, reply).await {
        Ok(Ok(reply)) => {
            let handle = reply.job.map(|job| job_handle::JobHandle { owner, job });
            job_body(handle, reply.answer)
        }
        Ok(Err(_)) => Err(without_job(core::CoreStopped.into())),
        Err(_) => Err(without_job(overdue())),
    }
}

/// Waits until the job was started here or was answered.
async fn await_start(
    owner: names::IncarnationId,
    pending: core::PendingJob,
    limit: time::Duration,
) -> Result<body::JobBody, JobFailure> {
    let core::PendingJob { started, reply } = pending;
    tokio::select! {
        biased;
        Ok(job) = started => Ok(running_body(job_handle::JobHandle { owner, job })),
        answered = await_reply(owner, reply, limit) => answered,
    }
}

/// Cancels the job of a submission key and awaits its final answer.
pub(super) async fn cancel_key(
    context: &server::ApiContext,
    customer: names::CustomerName,
    key: sync::Arc<str>,
    deadline: time::Duration,
) -> Result<body::JobBody, JobFailure> {
    let reply = context
        .core
        .cancel_key(customer, key, deadline)
        .await
        .map_err(|stopped| without_job(stopped.into()))?;
    let owner = context.mesh.local().incarnation;
    await_reply(owner, reply, deadline + ANSWER_MARGIN).await
}

fn overdue() -> outcome::Refusal {
    outcome::Refusal {
        code: outcome::RefusalCode::DeadlineExceeded,
        ran: outcome::RunStatus::Unknown,
        retry_after: None,
        detail: "the entry gave no answer by the deadline".into(),
    }
}

/// A job that is not answered yet.
pub(super) fn running_body(handle: job_handle::JobHandle) -> body::JobBody {
    body::JobBody {
        job: Some(handle.to_string()),
        state: body::JobStateWord::Running,
        outputs: None,
    }
}

/// A job's final answer.
pub(super) fn job_body(
    handle: Option<job_handle::JobHandle>,
    answer: outcome::JobAnswer,
) -> Result<body::JobBody, JobFailure> {
    match answer {
        outcome::JobAnswer::Complete { outputs } => Ok(body::JobBody {
            job: handle.map(|handle| handle.to_string()),
            state: body::JobStateWord::Complete,
            outputs: Some(outputs.iter().map(ToString::to_string).collect()),
        }),
        outcome::JobAnswer::Failed(refusal) => Err((refusal, handle)),
    }
}
