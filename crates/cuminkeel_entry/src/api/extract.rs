//! Extractors with limits that dropshot does not set itself.

use cuminkeel_types::outcome;
use dropshot::{
    ExclusiveExtractor, ExtractorMetadata, HttpError, RequestContext, ServerContext, TypedBody,
};
use schemars::JsonSchema;
use serde::de;

/// A JSON body that must arrive within the time that the settings allow.
#[derive(Debug)]
pub(super) struct TimedBody<T>(pub(super) T);

/// Settings that an extractor needs from the server's context.
pub(super) trait BodyLimits {
    /// Longest time for a body to arrive.
    fn body_timeout(&self) -> std::time::Duration;
}

#[async_trait::async_trait]
impl<T> ExclusiveExtractor for TimedBody<T>
where
    T: JsonSchema + de::DeserializeOwned + Send + Sync + 'static,
{
    async fn from_request<Context: ServerContext>(
        rqctx: &RequestContext<Context>,
        request: hyper::Request<dropshot::Body>,
    ) -> Result<Self, HttpError> {
        let context: &dyn std::any::Any = rqctx.context();
        let limit = context
            .downcast_ref::<super::server::SharedContext>()
            .map_or(std::time::Duration::MAX, BodyLimits::body_timeout);
        let reading = TypedBody::<T>::from_request(rqctx, request);
        match tokio::time::timeout(limit, reading).await {
            Ok(body) => body.map(|body| Self(body.into_inner())),
            Err(_) => Err(HttpError::for_client_error(
                None,
                dropshot::ClientErrorStatusCode::REQUEST_TIMEOUT,
                format!("the body did not arrive within {} ms", limit.as_millis()),
            )),
        }
    }

    fn metadata(content_type: dropshot::ApiEndpointBodyContentType) -> ExtractorMetadata {
        TypedBody::<T>::metadata(content_type)
    }
}

/// Reads the API key from the headers.
pub(super) fn api_key(headers: &http::HeaderMap) -> Result<&str, outcome::Refusal> {
    let mut values = headers.get_all(http::header::AUTHORIZATION).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(unauthorized(
            "send exactly one header `authorization: Bearer KEY`",
        ));
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix("Bearer "))
        .ok_or_else(|| unauthorized("the header must read `authorization: Bearer KEY`"))
}

fn unauthorized(detail: &str) -> outcome::Refusal {
    outcome::Refusal::not_run(outcome::RefusalCode::Unauthorized, detail)
}
