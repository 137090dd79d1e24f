//! One HTTP request to the platform, bounded in time and in answer size.

use std::{error, fmt, sync, time};

use http_body_util::BodyExt;
use hyper_util::{client::legacy, rt};

use crate::{border, client};

/// Body of the requests.
pub(crate) type RequestBody = http_body_util::Full<bytes::Bytes>;

/// Status and whole body of an answer.
#[derive(Debug)]
pub(crate) struct HttpAnswer {
    pub(crate) status: http::StatusCode,
    pub(crate) body: bytes::Bytes,
}

/// Pooled client for one platform address.
pub(crate) struct HttpCaller {
    client: legacy::Client<legacy::connect::HttpConnector, RequestBody>,
    max_answer_bytes: usize,
}

impl fmt::Debug for HttpCaller {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("HttpCaller")
            .field("max_answer_bytes", &self.max_answer_bytes)
            .finish_non_exhaustive()
    }
}

impl HttpCaller {
    pub(crate) fn new(settings: &client::PlatformSettings) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(settings.connect_timeout));
        connector.set_nodelay(true);
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_idle_timeout(settings.idle_timeout)
            .pool_max_idle_per_host(settings.max_idle_connections)
            // A request sent again could append a record twice.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            max_answer_bytes: settings.max_answer_bytes,
        }
    }

    /// Sends one request, once.
    pub(crate) async fn call(
        &self,
        request: http::Request<RequestBody>,
        limit: time::Duration,
    ) -> Result<HttpAnswer, border::PlatformError> {
        tokio::time::timeout(limit, self.exchange(request))
            .await
            .map_err(|_elapsed| unavailable(format!("no answer within {limit:?}")))?
    }

    async fn exchange(
        &self,
        request: http::Request<RequestBody>,
    ) -> Result<HttpAnswer, border::PlatformError> {
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| unavailable(cause_chain(&error)))?;
        let status = response.status();
        let body = http_body_util::Limited::new(response.into_body(), self.max_answer_bytes)
            .collect()
            .await
            .map_err(|error| self.body_error(error.as_ref()))?
            .to_bytes();
        Ok(HttpAnswer { status, body })
    }

    fn body_error(&self, error: &(dyn error::Error + 'static)) -> border::PlatformError {
        if error.is::<http_body_util::LengthLimitError>() {
            malformed(format!("more than {} bytes", self.max_answer_bytes))
        } else {
            unavailable(cause_chain(error))
        }
    }
}

pub(crate) fn unavailable(detail: impl Into<sync::Arc<str>>) -> border::PlatformError {
    border::PlatformError::Unavailable {
        detail: detail.into(),
    }
}

pub(crate) fn malformed(detail: impl Into<sync::Arc<str>>) -> border::PlatformError {
    border::PlatformError::Malformed {
        detail: detail.into(),
    }
}

pub(crate) fn refused(detail: impl Into<sync::Arc<str>>) -> border::PlatformError {
    border::PlatformError::AppendRefused {
        detail: detail.into(),
    }
}

/// The error and its causes, from the outermost inwards.
fn cause_chain(error: &(dyn error::Error + 'static)) -> String {
    let mut chain = error.to_string();
    let mut next = error.source();
    while let Some(cause) = next {
        chain.push_str(": ");
        chain.push_str(&cause.to_string());
        next = cause.source();
    }
    chain
}
