//! Refusals as HTTP answers.

use cuminkeel_types::outcome;
use derive_more::Display;
use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use schemars::JsonSchema;
use serde::Serialize;

use super::body;
use crate::job_handle;

/// An answer that is not a result: an [`body::ErrorBody`] with its status.
#[derive(Debug, Display, JsonSchema, Serialize)]
#[display("{}: {}", body.code, body.detail)]
pub struct ApiError {
    #[serde(flatten)]
    body: body::ErrorBody,
    #[serde(skip)]
    #[schemars(skip)]
    status: StatusWord,
}

/// HTTP status of an error.
#[derive(Clone, Copy, Debug)]
struct StatusWord(ErrorStatusCode);

impl Default for StatusWord {
    fn default() -> Self {
        Self(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

impl ApiError {
    /// The answer for a refusal, with the job's identity if it has one.
    pub fn new(refusal: &outcome::Refusal, job: Option<job_handle::JobHandle>) -> Self {
        let retry_after_ms = refusal
            .retry_after
            .map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
        Self {
            body: body::ErrorBody {
                code: refusal.code.to_string(),
                ran: refusal.ran.to_string(),
                retry_after_ms,
                detail: refusal.detail.to_string(),
                job: job.map(|job| job.to_string()),
            },
            status: StatusWord(status_of(refusal.code)),
        }
    }
}

impl From<outcome::Refusal> for ApiError {
    fn from(refusal: outcome::Refusal) -> Self {
        Self::new(&refusal, None)
    }
}

impl From<HttpError> for ApiError {
    fn from(error: HttpError) -> Self {
        let code = match error.status_code.as_u16() {
            400..=499 => outcome::RefusalCode::BadRequest,
            _ => outcome::RefusalCode::Internal,
        };
        let refusal = outcome::Refusal::not_run(code, error.external_message);
        Self {
            status: StatusWord(error.status_code),
            ..Self::new(&refusal, None)
        }
    }
}

impl HttpResponseError for ApiError {
    fn status_code(&self) -> ErrorStatusCode {
        self.status.0
    }
}

fn status_of(code: outcome::RefusalCode) -> ErrorStatusCode {
    use outcome::RefusalCode as Code;
    match code {
        Code::BadRequest | Code::KeyRequired | Code::KeyInvalid => ErrorStatusCode::BAD_REQUEST,
        Code::Unauthorized => ErrorStatusCode::UNAUTHORIZED,
        Code::NotInPlan => ErrorStatusCode::FORBIDDEN,
        Code::NotFound => ErrorStatusCode::NOT_FOUND,
        Code::KeyReused | Code::KeyClosed | Code::Cancelled => ErrorStatusCode::CONFLICT,
        Code::NeverRunnable => ErrorStatusCode::UNPROCESSABLE_ENTITY,
        Code::AllowanceExhausted => ErrorStatusCode::TOO_MANY_REQUESTS,
        Code::Overloaded
        | Code::Draining
        | Code::NoConfiguration
        | Code::Busy
        | Code::KeyUnresolved => ErrorStatusCode::SERVICE_UNAVAILABLE,
        Code::DeadlineExceeded => ErrorStatusCode::GATEWAY_TIMEOUT,
        Code::TaskFailed | Code::TaskLost => ErrorStatusCode::BAD_GATEWAY,
        Code::Internal => ErrorStatusCode::INTERNAL_SERVER_ERROR,
    }
}
