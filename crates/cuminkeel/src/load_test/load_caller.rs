//! Callers that submit each job of a pattern at its time.

use std::{sync::Arc, time};

use bytes::Bytes;
use cuminkeel_replay::load_pattern;
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy, rt};
use platform_adapter::caller_api;
use platform_emulator::job_submission;
use serde::Serialize;
use tokio::task;

use super::local_site;

/// Time after its patience at which a caller gives up.
const GIVE_UP_MARGIN: time::Duration = time::Duration::from_millis(200);

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// All tasks are done.
    Completed,
    /// The job failed, or runs of it may have.
    Failed,
    /// Refused; nothing has run.
    Refused,
    /// No answer came.
    Unanswered,
}

/// A job and what its caller got.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The job.
    pub arrival: load_pattern::JobArrival,
    /// How the call ended.
    pub outcome: CallOutcome,
    /// Time from the call to its end.
    pub response_time: time::Duration,
}

type Client = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

/// Submits each job at its time and waits for all answers.
pub(super) async fn submit_all(
    addresses: &[Arc<str>],
    arrivals: impl Iterator<Item = load_pattern::JobArrival>,
    begun: tokio::time::Instant,
) -> Vec<CallRecord> {
    let client: Client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let addresses: Arc<[Arc<str>]> = Arc::from(addresses);
    let mut calls = task::JoinSet::new();
    for (number, arrival) in arrivals.enumerate() {
        tokio::time::sleep_until(begun + arrival.at).await;
        calls.spawn(submit(
            client.clone(),
            Arc::clone(&addresses),
            number,
            arrival,
        ));
    }
    calls.join_all().await
}

/// Submits a job to one process after another until one takes the connection.
async fn submit(
    client: Client,
    addresses: Arc<[Arc<str>]>,
    number: usize,
    arrival: load_pattern::JobArrival,
) -> CallRecord {
    let begun = tokio::time::Instant::now();
    let patience = arrival.ticket.time_to_deadline;
    let calls = async {
        for tries in 0..addresses.len() {
            let address = &addresses[(number + tries) % addresses.len()];
            match client.request(request(address, &arrival)).await {
                Ok(response) => return read_outcome(response).await,
                Err(failure) if failure.is_connect() => {}
                Err(_) => return CallOutcome::Unanswered,
            }
        }
        CallOutcome::Unanswered
    };
    let outcome = tokio::time::timeout(patience + GIVE_UP_MARGIN, calls).await;
    CallRecord {
        arrival,
        outcome: outcome.unwrap_or(CallOutcome::Unanswered),
        response_time: begun.elapsed(),
    }
}

fn request(address: &str, arrival: &load_pattern::JobArrival) -> http::Request<Full<Bytes>> {
    let spec = &arrival.ticket.spec;
    let mut request =
        http::Request::new(Full::new(Bytes::from(job_submission::encode_job(arrival))));
    *request.method_mut() = http::Method::POST;
    let path = format!("http://{address}/{}/{}", spec.route, spec.id);
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    let patience = arrival.ticket.time_to_deadline.as_millis().to_string();
    let headers = [
        (http::header::HOST, local_site::HOST.to_owned()),
        (
            http::HeaderName::from_static(caller_api::DEADLINE_HEADER),
            patience,
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
