//! The endpoints.

use std::{sync, time};

use cuminkeel_types::outcome;
use dropshot::{HttpResponseAccepted, HttpResponseOk, Path, Query, RequestContext};
use schemars::JsonSchema;
use serde::Deserialize;

use super::{body, error, extract, server, submit};
use crate::{job_handle, job_relay};

/// Longest wait of one request for a job's answer.
const MAX_WAIT: time::Duration = time::Duration::from_mins(1);

/// Wait for the answer of a cancelled job, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 5_000;

type Context = RequestContext<server::SharedContext>;

/// Identity of a job in a path.
#[derive(Deserialize, JsonSchema)]
pub(super) struct JobPath {
    /// 48 hex digits, as answered by `POST /v1/jobs`.
    job: String,
}

/// A submission key in a path.
#[derive(Deserialize, JsonSchema)]
pub(super) struct KeyPath {
    /// The key as answered by `POST /v1/keys`.
    key: String,
}

/// How long to wait.
#[derive(Deserialize, JsonSchema)]
pub(super) struct WaitQuery {
    /// Longest wait for the answer, in milliseconds; 60,000 at most.
    wait_ms: Option<u64>,
}

impl JobPath {
    fn parse(&self) -> Result<job_handle::JobHandle, outcome::Refusal> {
        self.job
            .parse()
            .map_err(|failure: job_handle::JobHandleError| {
                outcome::Refusal::not_run(outcome::RefusalCode::BadRequest, failure.to_string())
            })
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
    let result = submit::submit(&context, rqctx.request.headers(), submission.0).await;
    context.metrics.record_response(received.elapsed());
    finish(&context, &rqctx.log, result)
}

/// Counts a failure and makes it an answer.
fn finish(
    context: &server::ApiContext,
    log: &slog::Logger,
    result: Result<body::JobBody, submit::JobFailure>,
) -> Result<HttpResponseOk<body::JobBody>, error::ApiError> {
    result.map(HttpResponseOk).map_err(|(refusal, job)| {
        context.metrics.count_refusal(&refusal);
        slog::debug!(log, "job refused or failed"; "code" => %refusal.code, "ran" => %refusal.ran);
        error::ApiError::new(&refusal, job)
    })
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
    let handle = path.into_inner().parse()?;
    let wait = time::Duration::from_millis(query.into_inner().wait_ms.unwrap_or(0)).min(MAX_WAIT);
    let inquiry = job_relay::JobInquiry::Fetch(wait);
    let finding = context.jobs.ask(customer, handle, inquiry).await;
    finish(&context, &rqctx.log, found_body(handle, finding))
}

fn found_body(
    handle: job_handle::JobHandle,
    finding: job_relay::JobFinding,
) -> Result<body::JobBody, submit::JobFailure> {
    use job_relay::JobFinding as Finding;
    match finding {
        Finding::Running | Finding::Cancelling => Ok(submit::running_body(handle)),
        Finding::Complete(outputs) => {
            submit::job_body(Some(handle), outcome::JobAnswer::Complete { outputs })
        }
        Finding::Failed(refusal) => Err((refusal, Some(handle))),
        Finding::Unknown => Err((no_such_job(), None)),
    }
}

fn no_such_job() -> outcome::Refusal {
    outcome::Refusal {
        code: outcome::RefusalCode::NotFound,
        ran: outcome::RunStatus::Unknown,
        retry_after: None,
        detail: "no entry that can be reached keeps such a job of yours; send the job again \
                 with its submission key to learn its answer"
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
    let handle = path.into_inner().parse()?;
    let inquiry = job_relay::JobInquiry::Cancel;
    match context.jobs.ask(customer, handle, inquiry).await {
        job_relay::JobFinding::Unknown => Err(no_such_job().into()),
        job_relay::JobFinding::Failed(refusal) => Err(refusal.into()),
        _ => Ok(HttpResponseAccepted(body::CancelBody {
            job: handle.to_string(),
        })),
    }
}

/// Cancel the job of a submission key, through any entry, and await its final
/// answer, which is the whole answer if the job was done before.
#[dropshot::endpoint { method = DELETE, path = "/v1/keys/{key}" }]
pub(super) async fn cancel_key(
    rqctx: Context,
    path: Path<KeyPath>,
    query: Query<WaitQuery>,
) -> Result<HttpResponseOk<body::JobBody>, error::ApiError> {
    let context = sync::Arc::clone(rqctx.context());
    let _permit = context.admit("cancel_key")?;
    let customer = context.authenticate(rqctx.request.headers())?;
    let wait = time::Duration::from_millis(query.into_inner().wait_ms.unwrap_or(DEFAULT_WAIT_MS));
    let key = path.into_inner().key.into();
    let result = submit::cancel_key(&context, customer, key, wait.min(MAX_WAIT)).await;
    finish(&context, &rqctx.log, result)
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
        let refusal = outcome::Refusal::not_run(
            outcome::RefusalCode::Draining,
            "this entry is leaving or has no lists yet",
        );
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
