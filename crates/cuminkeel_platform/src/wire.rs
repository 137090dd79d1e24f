//! JSON bodies of the platform's HTTP protocol.

use std::sync;

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/streams/{name}/records`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendBody {
    /// The record in standard base64 with padding.
    pub payload: String,
}

/// Answer 201 to an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendAnswer {
    /// Offset of the new record.
    pub offset: u64,
}

/// One record in an answer to a read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordBody {
    /// Position in the stream.
    pub offset: u64,
    /// The record in standard base64 with padding.
    pub payload: String,
}

/// Answer 200 to a read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadAnswer {
    /// Records without gaps, from the offset asked for.
    pub records: Vec<RecordBody>,
    /// Offset of the oldest record kept.
    pub head: u64,
    /// Offset that the next append gets.
    pub tail: u64,
}

/// One row of the answer to `GET /v1/usage`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageBody {
    /// Name of the VM.
    pub name: sync::Arc<str>,
    /// Tasks running when the report was made.
    pub busy_slots: u32,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// Answer 200 to `GET /v1/usage`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageAnswer {
    /// One row for each backend server.
    pub usage: Vec<UsageBody>,
}

/// Reason in an error answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// 400: the request breaks the protocol; nothing was written.
    BadRequest,
    /// 413: the record is too large; nothing was written.
    TooLarge,
    /// 429: too many appends; nothing was written.
    RateLimited,
    /// 410: the offset is older than the oldest record kept.
    Trimmed,
    /// 404: no such path.
    NotFound,
    /// 503: the service is down; an append may have been written.
    Unavailable,
}

/// Body of each answer other than 200 and 201.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// Typed reason.
    pub code: ErrorCode,
    /// For a person.
    pub detail: String,
    /// With [`ErrorCode::Trimmed`]: offset of the oldest record kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head: Option<u64>,
}
