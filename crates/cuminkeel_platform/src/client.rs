//! Client of the platform's HTTP/JSON protocol.
//!
//! No request is ever repeated here: the caller settles a lost answer, for an
//! append by reading the stream back.

use std::{net, time};

use base64::Engine;
use base64::engine::general_purpose;

use crate::border::{LogStore, VmDirectory};
use crate::{border, http_call, wire};

/// Default for [`PlatformSettings::connect_timeout`].
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Default for [`PlatformSettings::request_timeout`].
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Default for [`PlatformSettings::idle_timeout`].
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Default for [`PlatformSettings::max_idle_connections`].
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Default for [`PlatformSettings::max_answer_bytes`].
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Longest name of a stream, in bytes.
const MAX_STREAM_NAME_BYTES: usize = 64;

/// Where the platform is and how long to wait for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Address of the platform's HTTP service.
    pub address: net::SocketAddr,
    /// Longest wait for a connection.
    pub connect_timeout: time::Duration,
    /// Longest wait for a whole answer; a read's own waiting time comes on top.
    pub request_timeout: time::Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: time::Duration,
    /// Unused connections kept open.
    pub max_idle_connections: usize,
    /// Largest answer taken, in bytes.
    pub max_answer_bytes: usize,
}

impl PlatformSettings {
    /// Default times and limits for a platform at `address`.
    pub const fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            connect_timeout: CONNECT_TIMEOUT,
            request_timeout: REQUEST_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            max_idle_connections: MAX_IDLE_CONNECTIONS,
            max_answer_bytes: MAX_ANSWER_BYTES,
        }
    }
}

/// The platform over HTTP/JSON.
#[derive(Debug)]
pub struct HttpPlatform {
    settings: PlatformSettings,
    caller: http_call::HttpCaller,
}

impl HttpPlatform {
    /// Makes a client. Connects when first used.
    pub fn new(settings: PlatformSettings) -> Self {
        let caller = http_call::HttpCaller::new(&settings);
        Self { settings, caller }
    }

    fn request(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<http::Request<http_call::RequestBody>, border::PlatformError> {
        http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.settings.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(http_call::RequestBody::from(body))
            .map_err(|error| http_call::malformed(error.to_string()))
    }

    async fn get<Answer: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        limit: time::Duration,
    ) -> Result<Answer, border::PlatformError> {
        let request = self.request(http::Method::GET, path, Vec::new())?;
        let answer = self.caller.call(request, limit).await?;
        match answer.status {
            http::StatusCode::OK => serde_json::from_slice(&answer.body)
                .map_err(|error| http_call::malformed(error.to_string())),
            status if status.is_server_error() => {
                Err(http_call::unavailable(format!("status {status}")))
            }
            status => Err(http_call::malformed(format!("status {status}"))),
        }
    }
}

#[async_trait::async_trait]
impl LogStore for HttpPlatform {
    async fn append(&self, stream: &str, payload: &[u8]) -> Result<u64, border::PlatformError> {
        check_append(stream, payload)?;
        let body = wire::AppendBody {
            payload: general_purpose::STANDARD.encode(payload),
        };
        let body =
            serde_json::to_vec(&body).map_err(|error| http_call::refused(error.to_string()))?;
        let path = format!("/v1/streams/{stream}/records");
        let request = self
            .request(http::Method::POST, &path, body)
            .map_err(|error| http_call::refused(error.to_string()))?;
        self.caller
            .call(request, self.settings.request_timeout)
            .await
            .map_err(unsettled)
            .and_then(|answer| append_offset(&answer))
    }

    async fn read(
        &self,
        stream: &str,
        offset: u64,
        limit: usize,
        wait: time::Duration,
    ) -> Result<border::LogBatch, border::PlatformError> {
        if !is_stream_name(stream) {
            return Err(http_call::malformed("stream name"));
        }
        let wait_ms = wait.as_millis();
        let path =
            format!("/v1/streams/{stream}/records?offset={offset}&limit={limit}&wait_ms={wait_ms}");
        let request = self.request(http::Method::GET, &path, Vec::new())?;
        let time_limit = self.settings.request_timeout.saturating_add(wait);
        let answer = self.caller.call(request, time_limit).await?;
        read_batch(&answer, offset, limit)
    }
}

#[async_trait::async_trait]
impl VmDirectory for HttpPlatform {
    async fn list(&self) -> Result<border::VmList, border::PlatformError> {
        self.get("/v1/vms", self.settings.request_timeout).await
    }

    async fn usage(&self) -> Result<Vec<border::UsageRecord>, border::PlatformError> {
        let answer: wire::UsageAnswer =
            self.get("/v1/usage", self.settings.request_timeout).await?;
        Ok(answer.usage.into_iter().map(usage_record).collect())
    }
}

fn usage_record(body: wire::UsageBody) -> border::UsageRecord {
    border::UsageRecord {
        name: body.name,
        busy_slots: body.busy_slots,
        age: time::Duration::from_millis(body.age_ms),
    }
}

/// Whether the name can stand in a path as it is.
fn is_stream_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_STREAM_NAME_BYTES && name.bytes().all(allowed)
}

fn check_append(stream: &str, payload: &[u8]) -> Result<(), border::PlatformError> {
    match payload.len() {
        _ if !is_stream_name(stream) => Err(http_call::refused("stream name")),
        bytes if bytes > border::MAX_RECORD_BYTES => Err(http_call::refused(format!(
            "record of {bytes} bytes, at most {}",
            border::MAX_RECORD_BYTES
        ))),
        _ => Ok(()),
    }
}

/// After an append was sent, a malformed answer proves nothing about the write.
fn unsettled(error: border::PlatformError) -> border::PlatformError {
    match error {
        border::PlatformError::Malformed { detail } => {
            border::PlatformError::Unavailable { detail }
        }
        other => other,
    }
}

fn append_offset(answer: &http_call::HttpAnswer) -> Result<u64, border::PlatformError> {
    match answer.status {
        http::StatusCode::CREATED => serde_json::from_slice::<wire::AppendAnswer>(&answer.body)
            .map(|body| body.offset)
            .map_err(|error| http_call::unavailable(format!("malformed ack: {error}"))),
        status if status.is_client_error() => Err(append_refusal(status, &answer.body)),
        status => Err(http_call::unavailable(format!("status {status}"))),
    }
}

/// Only a well-formed refusal with a code for it proves that nothing was written.
fn append_refusal(status: http::StatusCode, body: &[u8]) -> border::PlatformError {
    match serde_json::from_slice::<wire::ErrorBody>(body) {
        Ok(wire::ErrorBody {
            code:
                wire::ErrorCode::BadRequest | wire::ErrorCode::TooLarge | wire::ErrorCode::RateLimited,
            detail,
            ..
        }) => http_call::refused(detail),
        _ => http_call::unavailable(format!("status {status} without a known reason")),
    }
}

fn read_batch(
    answer: &http_call::HttpAnswer,
    offset: u64,
    limit: usize,
) -> Result<border::LogBatch, border::PlatformError> {
    match answer.status {
        http::StatusCode::OK => {
            let body: wire::ReadAnswer = serde_json::from_slice(&answer.body)
                .map_err(|error| http_call::malformed(error.to_string()))?;
            checked_batch(body, offset, limit)
        }
        http::StatusCode::GONE => Err(trimmed(&answer.body, offset)),
        status if status.is_server_error() => {
            Err(http_call::unavailable(format!("status {status}")))
        }
        status => Err(http_call::malformed(format!("status {status}"))),
    }
}

fn trimmed(body: &[u8], asked: u64) -> border::PlatformError {
    match serde_json::from_slice::<wire::ErrorBody>(body) {
        Ok(wire::ErrorBody {
            head: Some(head), ..
        }) if head > asked => border::PlatformError::Trimmed { asked, head },
        _ => http_call::malformed("status 410 without a later head"),
    }
}

/// Decodes the records and checks that they follow one another from `offset`.
fn checked_batch(
    body: wire::ReadAnswer,
    offset: u64,
    limit: usize,
) -> Result<border::LogBatch, border::PlatformError> {
    let mut expected = offset;
    let mut records = Vec::with_capacity(body.records.len());
    for record in body.records {
        if record.offset != expected {
            let found = record.offset;
            return Err(http_call::malformed(format!(
                "offset {found} where {expected} was due"
            )));
        }
        records.push(decoded_record(record)?);
        expected = expected
            .checked_add(1)
            .ok_or_else(|| http_call::malformed("offset overflow"))?;
    }
    match () {
        () if records.len() > limit => Err(http_call::malformed("more records than asked for")),
        () if body.head > body.tail => Err(http_call::malformed("head past the tail")),
        () if !records.is_empty() && (body.head > offset || body.tail < expected) => {
            Err(http_call::malformed("records outside head and tail"))
        }
        () => Ok(border::LogBatch {
            records,
            head: body.head,
            tail: body.tail,
        }),
    }
}

fn decoded_record(record: wire::RecordBody) -> Result<border::LogRecord, border::PlatformError> {
    let payload = general_purpose::STANDARD
        .decode(record.payload)
        .map_err(|error| http_call::malformed(error.to_string()))?;
    Ok(border::LogRecord {
        offset: record.offset,
        payload: payload.into(),
    })
}
