//! A caller of the entries' interface.

use std::{net, time};

use bytes::Bytes;
use cuminkeel_entry::api;
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy, rt};
use serde::{Serialize, de};

/// Why a call gave neither a result nor a typed refusal.
#[derive(Debug, Display, Error, From)]
pub enum CallError {
    /// The request can't be made.
    #[display("request can't be made: {_0}")]
    Request(http::Error),
    /// No connection, or it broke.
    #[display("call failed: {_0}")]
    Transport(legacy::Error),
    /// The answer broke off.
    #[display("answer broke off: {_0}")]
    Body(hyper::Error),
    /// The answer is not what the interface promises.
    #[display("answer is malformed: {_0}")]
    Malformed(serde_json::Error),
    /// No answer in time.
    #[display("no answer in time")]
    #[from(skip)]
    TimedOut,
}

/// What became of a submission.
#[derive(Clone, Debug)]
pub enum JobResult {
    /// The job, with its outputs if it is complete.
    Answered(api::JobBody),
    /// A typed refusal or failure.
    Refused(api::ErrorBody),
}

/// Calls the entries' interface with one API key.
#[derive(Clone, derive_more::Debug)]
pub struct JobCaller {
    api_key: String,
    #[debug(skip)]
    client: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

impl JobCaller {
    /// A caller with an API key.
    pub fn new(api_key: impl Into<String>) -> Self {
        let mut builder = legacy::Client::builder(rt::TokioExecutor::new());
        // A request that may have arrived is the caller's to send again.
        builder.retry_canceled_requests(false);
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            api_key: api_key.into(),
            client: builder.build(connector),
        }
    }

    /// Submits a job.
    ///
    /// # Errors
    /// [`CallError`]; whether the job ran is then not known.
    pub async fn submit(
        &self,
        entry: net::SocketAddr,
        submission: &api::JobSubmission,
        limit: time::Duration,
    ) -> Result<JobResult, CallError> {
        let sent = self.send(
            http::Method::POST,
            entry,
            "/v1/jobs",
            Some(submission),
            limit,
        );
        let (status, body) = sent.await?;
        job_result(status, &body)
    }

    /// Gets submission keys.
    ///
    /// # Errors
    /// [`CallError`]; a refusal is [`CallError::Malformed`].
    pub async fn keys(
        &self,
        entry: net::SocketAddr,
        count: u32,
        limit: time::Duration,
    ) -> Result<Vec<String>, CallError> {
        let request = api::KeyRequest { count };
        let sent = self.send(http::Method::POST, entry, "/v1/keys", Some(&request), limit);
        let (_, body) = sent.await?;
        let keys: api::KeysBody = serde_json::from_slice(&body)?;
        Ok(keys.keys)
    }

    /// Fetches a job, waiting for its answer up to `wait`.
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn fetch(
        &self,
        entry: net::SocketAddr,
        job: &str,
        wait: time::Duration,
        limit: time::Duration,
    ) -> Result<JobResult, CallError> {
        let path = format!("/v1/jobs/{job}?wait_ms={}", wait.as_millis());
        let sent = self.send::<()>(http::Method::GET, entry, &path, None, limit);
        let (status, body) = sent.await?;
        job_result(status, &body)
    }

    /// Cancels a job. Returns whether the entry knew it.
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn cancel(
        &self,
        entry: net::SocketAddr,
        job: &str,
        limit: time::Duration,
    ) -> Result<bool, CallError> {
        let path = format!("/v1/jobs/{job}");
        let sent = self.send::<()>(http::Method::DELETE, entry, &path, None, limit);
        let (status, _) = sent.await?;
        Ok(status.is_success())
    }

    /// Reads what an entry sees.
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn status(
        &self,
        entry: net::SocketAddr,
        limit: time::Duration,
    ) -> Result<api::StatusBody, CallError> {
        let sent = self.send::<()>(http::Method::GET, entry, "/v1/status", None, limit);
        let (_, body) = sent.await?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn send<T: Serialize>(
        &self,
        method: http::Method,
        entry: net::SocketAddr,
        path: &str,
        body: Option<&T>,
        limit: time::Duration,
    ) -> Result<(http::StatusCode, Bytes), CallError> {
        let bytes = match body {
            Some(body) => serde_json::to_vec(body)?,
            None => Vec::new(),
        };
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header(
                http::header::AUTHORIZATION,
                format!("Bearer {}", self.api_key),
            )
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))?;
        let exchange = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            Ok((status, body))
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(CallError::TimedOut),
        }
    }
}

fn job_result(status: http::StatusCode, body: &[u8]) -> Result<JobResult, CallError> {
    if status.is_success() {
        parse(body).map(JobResult::Answered)
    } else {
        parse(body).map(JobResult::Refused)
    }
}

fn parse<T: de::DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    Ok(serde_json::from_slice(body)?)
}
