//! Routes of the platform's HTTP protocol.

use std::{future, sync, time};

use base64::Engine;
use base64::engine::general_purpose;
use cuminkeel_platform::{border, wire};
use http_body_util::BodyExt;
use hyper::body;

use super::{PlatformState, faults};
use crate::{
    http_listener::{self, ConnectionReset, Reply},
    sync_lock,
};

/// Records in one answer at most.
const MAX_READ_RECORDS: usize = 1_000;
/// Longest wait of a read.
const MAX_READ_WAIT: time::Duration = time::Duration::from_secs(30);
/// Largest request body: the largest record in base64 with room for the JSON.
const MAX_BODY_BYTES: usize = border::MAX_RECORD_BYTES * 2;

/// Answers the requests of all gates.
#[derive(Debug)]
pub(super) struct PlatformService {
    state: sync::Arc<PlatformState>,
}

/// A read as its query says.
#[derive(Debug, Default)]
struct ReadQuery {
    offset: u64,
    limit: usize,
    wait: time::Duration,
}

impl PlatformService {
    pub(super) fn new(state: sync::Arc<PlatformState>) -> Self {
        Self { state }
    }

    pub(super) async fn answer(
        &self,
        request: http::Request<body::Incoming>,
    ) -> Result<Reply, ConnectionReset> {
        let faults = sync_lock::lock(&self.state.faults).get();
        tokio::time::sleep(faults.delay).await;
        match () {
            () if faults.silent => future::pending().await,
            () if faults.outage => Ok(error_reply(wire::ErrorCode::Unavailable, "outage")),
            () => self.route(request).await,
        }
    }

    async fn route(
        &self,
        request: http::Request<body::Incoming>,
    ) -> Result<Reply, ConnectionReset> {
        let path = request.uri().path().to_owned();
        let stream = path
            .strip_prefix("/v1/streams/")
            .and_then(|rest| rest.strip_suffix("/records"));
        match (request.method(), stream, path.as_str()) {
            (&http::Method::POST, Some(stream), _) => self.append(stream, request).await,
            (&http::Method::GET, Some(stream), _) => Ok(self
                .read(stream, request.uri().query().unwrap_or_default())
                .await),
            (&http::Method::GET, None, "/v1/vms") => Ok(self.vms()),
            (&http::Method::GET, None, "/v1/usage") => Ok(self.usage()),
            _ => Ok(error_reply(wire::ErrorCode::NotFound, "no such path")),
        }
    }

    fn vms(&self) -> Reply {
        sync_lock::lock(&self.state.counts).lists += 1;
        let list = sync_lock::lock(&self.state.vms).visible(self.state.now());
        self.spoiled(http_listener::json_reply(http::StatusCode::OK, &list))
    }

    fn usage(&self) -> Reply {
        sync_lock::lock(&self.state.counts).lists += 1;
        let answer = sync_lock::lock(&self.state.usage).report(self.state.now());
        self.spoiled(http_listener::json_reply(http::StatusCode::OK, &answer))
    }

    async fn append(
        &self,
        stream: &str,
        request: http::Request<body::Incoming>,
    ) -> Result<Reply, ConnectionReset> {
        sync_lock::lock(&self.state.counts).appends += 1;
        let body = http_body_util::Limited::new(request.into_body(), MAX_BODY_BYTES)
            .collect()
            .await;
        let Ok(body) = body else {
            return Ok(error_reply(wire::ErrorCode::TooLarge, "body too large"));
        };
        let payload = match decoded_payload(&body.to_bytes()) {
            Ok(payload) => payload,
            Err(code) => return Ok(error_reply(code, "payload")),
        };
        let now = self.state.now();
        if sync_lock::lock(&self.state.log).take_token(now).is_err() {
            return Ok(error_reply(wire::ErrorCode::RateLimited, "append rate"));
        }
        let fault = sync_lock::lock(&self.state.faults).next_append();
        self.write_with(fault, stream, payload)
    }

    fn write_with(
        &self,
        fault: Option<faults::AppendFault>,
        stream: &str,
        payload: sync::Arc<[u8]>,
    ) -> Result<Reply, ConnectionReset> {
        match fault {
            None => Ok(self.ack(write(&self.state, stream, payload))),
            Some(faults::AppendFault::AckLostBeforeWrite) => Err(ConnectionReset),
            Some(faults::AppendFault::AckLostAfterWrite) => {
                write(&self.state, stream, payload);
                Err(ConnectionReset)
            }
            Some(faults::AppendFault::WrittenTwice) => {
                let offset = write(&self.state, stream, payload.clone());
                write(&self.state, stream, payload);
                Ok(self.ack(offset))
            }
            Some(faults::AppendFault::WrittenLate { delay }) => {
                let state = self.state.clone();
                let stream = stream.to_owned();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    write(&state, &stream, payload);
                });
                Err(ConnectionReset)
            }
        }
    }

    fn ack(&self, offset: u64) -> Reply {
        let answer = wire::AppendAnswer { offset };
        self.spoiled(http_listener::json_reply(
            http::StatusCode::CREATED,
            &answer,
        ))
    }

    async fn read(&self, stream: &str, query: &str) -> Reply {
        sync_lock::lock(&self.state.counts).reads += 1;
        let Some(query) = parsed_query(query) else {
            return error_reply(wire::ErrorCode::BadRequest, "query");
        };
        let deadline = tokio::time::Instant::now() + query.wait;
        loop {
            let appended = self.state.appended.notified();
            let batch = match self.batch(stream, &query) {
                Ok(batch) => batch,
                Err(head) => return trimmed_reply(head),
            };
            let expired = tokio::time::Instant::now() >= deadline;
            if expired || !batch.records.is_empty() {
                return self.batch_reply(&batch);
            }
            // Both outcomes lead to another look at the stream.
            let _woken = tokio::time::timeout_at(deadline, appended).await;
        }
    }

    fn batch(&self, stream: &str, query: &ReadQuery) -> Result<border::LogBatch, u64> {
        let stale = sync_lock::lock(&self.state.faults).get().stale_records;
        sync_lock::lock(&self.state.log)
            .read(self.state.now(), stream, query.offset, query.limit, stale)
            .map_err(|trimmed| trimmed.head)
    }

    fn batch_reply(&self, batch: &border::LogBatch) -> Reply {
        let mut answer = wire::ReadAnswer {
            records: batch.records.iter().map(record_body).collect(),
            head: batch.head,
            tail: batch.tail,
        };
        match sync_lock::lock(&self.state.faults).get().answer {
            Some(faults::AnswerFault::OffsetGap) if !answer.records.is_empty() => {
                answer.records.remove(0);
            }
            Some(faults::AnswerFault::NotBase64) => {
                for record in &mut answer.records {
                    record.payload.push('!');
                }
            }
            Some(faults::AnswerFault::HeadPastTail) => answer.head = answer.tail + 1,
            _ => {}
        }
        self.spoiled(http_listener::json_reply(http::StatusCode::OK, &answer))
    }

    /// The answer, or a body in its place that no reader can take.
    fn spoiled(&self, reply: Reply) -> Reply {
        match sync_lock::lock(&self.state.faults).get().answer {
            Some(faults::AnswerFault::NotJson) => {
                http_listener::raw_reply(reply.status(), "{\"records\": [")
            }
            Some(faults::AnswerFault::Oversize { bytes }) => {
                http_listener::raw_reply(reply.status(), vec![b' '; bytes])
            }
            _ => reply,
        }
    }
}

fn write(state: &PlatformState, stream: &str, payload: sync::Arc<[u8]>) -> u64 {
    let offset = sync_lock::lock(&state.log).write(state.now(), stream, payload);
    state.appended.notify_waiters();
    offset
}

fn decoded_payload(body: &[u8]) -> Result<sync::Arc<[u8]>, wire::ErrorCode> {
    let body: wire::AppendBody =
        serde_json::from_slice(body).map_err(|_| wire::ErrorCode::BadRequest)?;
    let payload = general_purpose::STANDARD
        .decode(body.payload)
        .map_err(|_| wire::ErrorCode::BadRequest)?;
    match payload.len() {
        bytes if bytes > border::MAX_RECORD_BYTES => Err(wire::ErrorCode::TooLarge),
        _ => Ok(payload.into()),
    }
}

fn record_body(record: &border::LogRecord) -> wire::RecordBody {
    wire::RecordBody {
        offset: record.offset,
        payload: general_purpose::STANDARD.encode(&record.payload),
    }
}

fn parsed_query(query: &str) -> Option<ReadQuery> {
    let mut parsed = ReadQuery {
        limit: MAX_READ_RECORDS,
        ..ReadQuery::default()
    };
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (key, value) = pair.split_once('=')?;
        let value: u64 = value.parse().ok()?;
        match key {
            "offset" => parsed.offset = value,
            "limit" => parsed.limit = usize::try_from(value).ok()?.min(MAX_READ_RECORDS),
            "wait_ms" => parsed.wait = time::Duration::from_millis(value).min(MAX_READ_WAIT),
            _ => return None,
        }
    }
    Some(parsed)
}

fn trimmed_reply(head: u64) -> Reply {
    let body = wire::ErrorBody {
        code: wire::ErrorCode::Trimmed,
        detail: format!("the stream starts at {head}"),
        head: Some(head),
    };
    http_listener::json_reply(http::StatusCode::GONE, &body)
}

fn error_reply(code: wire::ErrorCode, detail: &str) -> Reply {
    let status = match code {
        wire::ErrorCode::BadRequest => http::StatusCode::BAD_REQUEST,
        wire::ErrorCode::TooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
        wire::ErrorCode::RateLimited => http::StatusCode::TOO_MANY_REQUESTS,
        wire::ErrorCode::Trimmed => http::StatusCode::GONE,
        wire::ErrorCode::NotFound => http::StatusCode::NOT_FOUND,
        wire::ErrorCode::Unavailable => http::StatusCode::SERVICE_UNAVAILABLE,
    };
    let body = wire::ErrorBody {
        code,
        detail: detail.to_owned(),
        head: None,
    };
    http_listener::json_reply(status, &body)
}
