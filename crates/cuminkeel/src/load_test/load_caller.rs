//! Callers that submit each job of a load pattern at its arrival time.

use std::{sync::Arc, time};

use bytes::Bytes;
use cuminkeel_replay::load_pattern;
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy, rt};
use platform_adapter::caller_api;
use platform_emulator::job_submission;
use serde::Serialize;
use tokio::task;

use super::local_deployment;

/// Time for which a caller waits beyond the deadline that it sent with the job.
const CALLER_TIMEOUT_MARGIN: time::Duration = time::Duration::from_millis(200);

/// Outcome of a job for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The job completed: all of its tasks are done.
    Completed,
    /// The job failed or its request was rejected; some of its tasks may have run.
    Failed,
    /// The response was 503: the job was refused or can't be served. A run of one of its tasks would
    /// violate an invariant.
    Refused,
    /// The caller got no answer: the connection failed, or the caller stopped waiting.
    Unanswered,
}

/// A submitted job with its outcome and response time.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Job as drawn from the load pattern.
    pub arrival: load_pattern::JobArrival,
    /// Outcome of the job for its caller.
    pub outcome: CallOutcome,
    /// Time from the submission to the answer, or until the caller stopped waiting.
    pub response_time: time::Duration,
}

type HttpClient = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

/// Submits each job at its arrival time, counted from `started_at`, and waits for all outcomes.
pub(super) async fn submit_all(
    addresses: &[Arc<str>],
    arrivals: impl Iterator<Item = load_pattern::JobArrival>,
    started_at: tokio::time::Instant,
) -> Vec<CallRecord> {
    let client: HttpClient = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let addresses: Arc<[Arc<str>]> = Arc::from(addresses);
    let mut calls = task::JoinSet::new();
    for (job_number, arrival) in arrivals.enumerate() {
        tokio::time::sleep_until(started_at + arrival.at).await;
        calls.spawn(submit(
            client.clone(),
            Arc::clone(&addresses),
            job_number,
            arrival,
        ));
    }
    calls.join_all().await
}

/// Submits a job to one process after another until one accepts the connection; `job_number`
/// selects the first.
async fn submit(
    client: HttpClient,
    addresses: Arc<[Arc<str>]>,
    job_number: usize,
    arrival: load_pattern::JobArrival,
) -> CallRecord {
    let started_at = tokio::time::Instant::now();
    let time_to_deadline = arrival.offer.time_to_deadline;
    let attempts = async {
        for attempt in 0..addresses.len() {
            let address = &addresses[(job_number + attempt) % addresses.len()];
            match client.request(build_request(address, &arrival)).await {
                Ok(response) => return read_outcome(response).await,
                Err(error) if error.is_connect() => {}
                Err(_) => return CallOutcome::Unanswered,
            }
        }
        CallOutcome::Unanswered
    };
    let outcome = tokio::time::timeout(time_to_deadline + CALLER_TIMEOUT_MARGIN, attempts).await;
    CallRecord {
        arrival,
        outcome: outcome.unwrap_or(CallOutcome::Unanswered),
        response_time: started_at.elapsed(),
    }
}

fn build_request(address: &str, arrival: &load_pattern::JobArrival) -> http::Request<Full<Bytes>> {
    let spec = &arrival.offer.spec;
    let mut request =
        http::Request::new(Full::new(Bytes::from(job_submission::encode_job(arrival))));
    *request.method_mut() = http::Method::POST;
    let url = format!("http://{address}/{}/{}", spec.route, spec.id);
    if let Ok(uri) = url.parse() {
        *request.uri_mut() = uri;
    }
    let deadline_ms = arrival.offer.time_to_deadline.as_millis().to_string();
    let headers = [
        (http::header::HOST, local_deployment::HOST.to_owned()),
        (
            http::HeaderName::from_static(caller_api::DEADLINE_HEADER),
            deadline_ms,
        ),
    ];
    for (name, value) in headers {
        if let Ok(value) = http::HeaderValue::from_str(&value) {
            request.headers_mut().insert(name, value);
        }
    }
    request
}

async fn read_outcome(response: http::Response<hyper::body::Incoming>) -> CallOutcome {
    let status = response.status();
    let Ok(body) = response.into_body().collect().await else {
        return CallOutcome::Unanswered;
    };
    match status {
        http::StatusCode::OK if job_submission::is_completed(&body.to_bytes()) => {
            CallOutcome::Completed
        }
        http::StatusCode::SERVICE_UNAVAILABLE => CallOutcome::Refused,
        _ => CallOutcome::Failed,
    }
}
