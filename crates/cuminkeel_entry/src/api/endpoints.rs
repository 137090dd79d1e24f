//! The endpoints.

use std::{sync, time};

use cuminkeel_types::{names, outcome};
use dropshot::{HttpResponseAccepted, HttpResponseOk, Path, Query, RequestContext};
use schemars::JsonSchema;
use serde::Deserialize;

use super::{body, error, extract, server};
use crate::{core, telemetry};

/// Time past a job's deadline after which a request stops waiting for the
/// decision loop, which answers by the deadline itself.
const ANSWER_MARGIN: time::Duration = time::Duration::from_secs(2);
/// Longest wait of one request for a job's answer.
const MAX_WAIT: time::Duration = time::Duration::from_mins(1);

type Context = RequestContext<server::SharedContext>;

/// Identity of a job in a path.
#[derive(Deserialize, JsonSchema)]
pub(super) struct JobPath {
    /// 32 hex digits, as answered by `POST /v1/jobs`.
    job: String,
}

/// How long to wait.
#[derive(Deserialize, JsonSchema)]
pub(super) struct WaitQuery {
    /// Longest wait for the answer, in milliseconds; 60,000 at most.
    wait_ms: Option<u64>,
}

impl JobPath {
    fn parse(&self) -> Result<names::JobId, outcome::Refusal> {
        let parsed = u128::from_str_radix(&self.job, 16);
        match parsed {
            Ok(job) if self.job.len() == 32 => Ok(names::JobId(job)),
            _ => Err(outcome::Refusal::not_run(
                outcome::RefusalCode::BadRequest,
                "the job's identity is 32 hex digits",
            )),
        }
    }
}

/// Submit a job and, unless `wait` is false, await its whole answer.
#[dropshot::endpoint { method = POST, path = "/v1/jobs" }]
pub(super) async fn submit_job(
    rqctx: Context,
    submission: extract::TimedBody<body::JobSubmission>,
) -> Result<HttpResponseOk<body::JobBody>, error::ApiError> {
    let context = sync::Arc::clone(rqctx.context());
    let received = time::Instant::now();
    let result = submit(&context, &rqctx, submission.0).await;
    context.metrics.record_response(received.elapsed());
    if let Err((refusal, job)) = &result {
        context.metrics.count_refusal(refusal);
        slog::debug!(rqctx.log, "job refused or failed";
            "code" => %refusal.code, "ran" => %refusal.ran, "job" => ?job);
    }
    result
        .map(HttpResponseOk)
        .map_err(|(refusal, job)| error::ApiError::new(&refusal, job))
}

type JobFailure = (outcome::Refusal, Option<names::JobId>);

async fn submit(
    context: &server::ApiContext,
    rqctx: &Context,
    submission: body::JobSubmission,
) -> Result<body::JobBody, JobFailure> {
    let without_job = |refusal: outcome::Refusal| (refusal, None);
    let _permit = context.admit("submit_job").map_err(without_job)?;
    let customer = context
        .authenticate(rqctx.request.headers())
        .map_err(without_job)?;
    let wait = submission.wait;
    let key = submission.submission_key.as_deref().map(sync::Arc::from);
    let spec = submission
        .into_spec(customer, context.settings.max_deadline)
        .map_err(without_job)?;
    context.view().check_plan(&spec).map_err(without_job)?;
    let caller = rqctx
        .request
        .headers()
        .get("traceparent")
        .and_then(|value| value.to_str().ok());
    let span = context.traces.receive_span("receive", caller);
    let limit = spec.deadline + ANSWER_MARGIN;
    let pending = context
        .core
        .submit(key, sync::Arc::new(spec), span.clone())
        .await
        .map_err(|stopped| (stopped.into(), None))?;
    let result = if wait {
        await_reply(pending.reply, limit).await
    } else {
        await_start(pending, limit).await
    };
    telemetry::end_span(&span);
    result
}

async fn await_reply(
    reply: tokio::sync::oneshot::Receiver<core::JobReply>,
    limit: time::Duration,
) -> Result<body::JobBody, JobFailure> {
    match tokio::time::timeout(limit, reply).await {
        Ok(Ok(reply)) => job_body(reply.job, reply.answer),
        Ok(Err(_)) => Err((core::CoreStopped.into(), None)),
        Err(_) => Err((overdue(), None)),
    }
}

/// Waits until the job was started here or was refused.
async fn await_start(
    pending: core::PendingJob,
    limit: time::Duration,
) -> Result<body::JobBody, JobFailure> {
    let core::PendingJob { started, reply } = pending;
    tokio::select! {
        biased;
        Ok(job) = started => Ok(running_body(job)),
        answered = await_reply(reply, limit) => answered,
    }
}

fn overdue() -> outcome::Refusal {
    outcome::Refusal {
        code: outcome::RefusalCode::DeadlineExceeded,
        ran: outcome::RunStatus::Unknown,
        retry_after: None,
        detail: "the entry gave no answer by the deadline".into(),
    }
}

fn running_body(job: names::JobId) -> body::JobBody {
    body::JobBody {
        job: Some(job.to_string()),
        state: body::JobStateWord::Running,
        outputs: None,
    }
}

fn job_body(
    job: Option<names::JobId>,
    answer: outcome::JobAnswer,
) -> Result<body::JobBody, JobFailure> {
    match answer {
        outcome::JobAnswer::Complete { outputs } => Ok(body::JobBody {
            job: job.map(|job| job.to_string()),
            state: body::JobStateWord::Complete,
            outputs: Some(outputs.iter().map(ToString::to_string).collect()),
        }),
        outcome::JobAnswer::Failed(refusal) => Err((refusal, job)),
    }
}

/// Fetch a job's state, or await its whole answer.
#[dropshot::endpoint { method = GET, path = "/v1/jobs/{job}" }]
pub(super) async fn fetch_job(
    rqctx: Context,
    path: Path<JobPath>,
    query: Query<WaitQuery>,
) -> Result<HttpResponseOk<body::JobBody>, error::ApiError> {
    let context = sync::Arc::clone(rqctx.context());
    let _permit = context.admit("fetch_job")?;
    let customer = context.authenticate(rqctx.request.headers())?;
    let job = path.into_inner().parse()?;
    let wait = time::Duration::from_millis(query.into_inner().wait_ms.unwrap_or(0)).min(MAX_WAIT);
    let (view, answer) = context
        .core
        .look(customer, job)
        .await
        .map_err(outcome::Refusal::from)?;
    let fetched = match view {
        None => Err((no_such_job(), None)),
        Some(core::JobView::Finished(answer)) => job_body(Some(job), answer),
        Some(core::JobView::Running) => match tokio::time::timeout(wait, answer).await {
            Ok(Ok(answer)) => job_body(Some(job), answer),
            Ok(Err(_)) => Err((core::CoreStopped.into(), Some(job))),
            Err(_) => Ok(running_body(job)),
        },
    };
    fetched
        .map(HttpResponseOk)
        .map_err(|(refusal, job)| error::ApiError::new(&refusal, job))
}

fn no_such_job() -> outcome::Refusal {
    outcome::Refusal {
        code: outcome::RefusalCode::NotFound,
        ran: outcome::RunStatus::Unknown,
        retry_after: None,
        detail: "this entry keeps no such job of yours; send the job again with its \
                 submission key to learn its answer through any entry"
            .into(),
    }
}

/// Cancel a job: what has not started never starts, what has is asked to stop.
#[dropshot::endpoint { method = DELETE, path = "/v1/jobs/{job}" }]
pub(super) async fn cancel_job(
    rqctx: Context,
    path: Path<JobPath>,
) -> Result<HttpResponseAccepted<body::CancelBody>, error::ApiError> {
    let context = sync::Arc::clone(rqctx.context());
    let _permit = context.admit("cancel_job")?;
    let customer = context.authenticate(rqctx.request.headers())?;
    let job = path.into_inner().parse()?;
    let found = context
        .core
        .cancel(customer, job)
        .await
        .map_err(outcome::Refusal::from)?;
    if found {
        let job = job.to_string();
        Ok(HttpResponseAccepted(body::CancelBody { job }))
    } else {
        Err(no_such_job().into())
    }
}

/// Get submission keys for jobs that must run at most once.
#[dropshot::endpoint { method = POST, path = "/v1/keys" }]
pub(super) async fn issue_keys(
    rqctx: Context,
    request: extract::TimedBody<body::KeyRequest>,
) -> Result<HttpResponseOk<body::KeysBody>, error::ApiError> {
    let context = sync::Arc::clone(rqctx.context());
    let _permit = context.admit("issue_keys")?;
    let customer = context.authenticate(rqctx.request.headers())?;
    let count = request.0.count;
    let most = context.settings.max_keys_per_batch;
    if count == 0 || count > most {
        let detail = format!("count must be from 1 to {most}, not {count}");
        let refusal = outcome::Refusal::not_run(outcome::RefusalCode::BadRequest, detail);
        return Err(refusal.into());
    }
    let keys = context.core.request_keys(customer, count).await?;
    let keys = keys.iter().map(ToString::to_string).collect();
    Ok(HttpResponseOk(body::KeysBody { keys }))
}

/// Whether the balancer should offer this entry.
#[dropshot::endpoint { method = GET, path = "/v1/health" }]
pub(super) async fn health(
    rqctx: Context,
) -> Result<HttpResponseOk<body::HealthBody>, error::ApiError> {
    if rqctx.context().is_accepting() {
        Ok(HttpResponseOk(body::HealthBody { accepting: true }))
    } else {
        let refusal =
            outcome::Refusal::not_run(outcome::RefusalCode::Draining, "this entry is leaving");
        Err(refusal.into())
    }
}

/// What this entry sees: members, servers, queues, configuration.
#[dropshot::endpoint { method = GET, path = "/v1/status" }]
pub(super) async fn status(
    rqctx: Context,
) -> Result<HttpResponseOk<body::StatusBody>, error::ApiError> {
    let context = sync::Arc::clone(rqctx.context());
    let core = context
        .core
        .status()
        .await
        .map_err(outcome::Refusal::from)?;
    Ok(HttpResponseOk(context.status_body(&core)))
}
