//! One attempt: one request, one answer, and the evidence that they give.

use std::time;

use bytes::Bytes;
use cuminkeel_outcome::attempt;
use cuminkeel_types::outcome;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body, client::conn};

use super::{TaskCall, pool, wire};

/// Largest answer of a backend server, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Makes one attempt.
pub(super) async fn run(
    pool: &pool::ConnectionPool,
    call: &TaskCall,
    traceparent: Option<&str>,
    grace: time::Duration,
) -> AttemptEnd {
    let name = wire::task_name(&call.task);
    let limit = call.time_left + grace;
    let request = wire::task_body(&name, &call.spec, call.time_left)
        .ok()
        .and_then(|body| task_request(pool, body, traceparent).ok());
    let evidence = match request {
        None => attempt::AttemptEvidence::NotSent,
        Some(request) => match tokio::time::timeout(limit, exchange(pool, request)).await {
            Ok(Ok(evidence) | Err(evidence)) => evidence,
            Err(_) => attempt::AttemptEvidence::TimedOut,
        },
    };
    AttemptEnd {
        outcome: evidence.outcome(&name),
        busy: busy_of(&evidence),
    }
}

/// What an attempt showed.
#[derive(Clone, Debug)]
pub(super) struct AttemptEnd {
    /// How it ended.
    pub(super) outcome: outcome::TaskOutcome,
    /// Tasks that the server still runs, if it told.
    pub(super) busy: Option<u32>,
}

fn busy_of(evidence: &attempt::AttemptEvidence) -> Option<u32> {
    match evidence {
        attempt::AttemptEvidence::Answered { body, .. } => body.as_ref()?.busy,
        _ => None,
    }
}

async fn exchange(
    pool: &pool::ConnectionPool,
    request: http::Request<Full<Bytes>>,
) -> Result<attempt::AttemptEvidence, attempt::AttemptEvidence> {
    let (connection, response) = send(pool, request).await?;
    let status = response.status().as_u16();
    let read = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await;
    let Ok(collected) = read else {
        return Err(failed(
            attempt::ConnectionPhase::AfterWrite,
            "the answer broke off",
        ));
    };
    pool.give_back(connection);
    let body = serde_json::from_slice(&collected.to_bytes()).ok();
    Ok(attempt::AttemptEvidence::Answered { status, body })
}

/// Sends a request on an idle connection or, if that one closed before it took
/// the request, on a new one. hyper hands a request back only if no byte of it
/// was written, so the second sending is no second attempt.
async fn send(
    pool: &pool::ConnectionPool,
    request: http::Request<Full<Bytes>>,
) -> Result<(pool::PooledConnection, http::Response<body::Incoming>), attempt::AttemptEvidence> {
    let mut connection = pool.take().await.map_err(|failure| unconnected(&failure))?;
    let mut failure = match connection.sender.try_send_request(request).await {
        Ok(response) => return Ok((connection, response)),
        Err(failure) => failure,
    };
    drop(connection);
    let Some(request) = failure.take_message() else {
        return Err(broken(&failure));
    };
    let mut connection = pool
        .take_new()
        .await
        .map_err(|failure| unconnected(&failure))?;
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok((connection, response)),
        Err(failure) => Err(broken(&failure)),
    }
}

fn unconnected(failure: &pool::ConnectError) -> attempt::AttemptEvidence {
    failed(attempt::ConnectionPhase::BeforeWrite, &failure.to_string())
}

/// A failure after the connection may have taken the request.
fn broken<T>(failure: &conn::TrySendError<T>) -> attempt::AttemptEvidence {
    let detail = failure.error().to_string();
    failed(attempt::ConnectionPhase::DuringWrite, &detail)
}

fn failed(phase: attempt::ConnectionPhase, detail: &str) -> attempt::AttemptEvidence {
    attempt::AttemptEvidence::ConnectionFailed {
        phase,
        detail: detail.into(),
    }
}

fn task_request(
    pool: &pool::ConnectionPool,
    body: Vec<u8>,
    traceparent: Option<&str>,
) -> Result<http::Request<Full<Bytes>>, http::Error> {
    let mut builder = http::Request::post("/v1/tasks")
        .header(http::header::HOST, pool.address().to_string())
        .header(http::header::CONTENT_TYPE, "application/json");
    if let Some(traceparent) = traceparent {
        builder = builder.header("traceparent", traceparent);
    }
    builder.body(Full::new(Bytes::from(body)))
}
