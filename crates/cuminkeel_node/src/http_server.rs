//! HTTP connections and responses of all listeners.

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use platform_adapter::routing;

/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8_192;

/// Complete response.
pub type Response = http::Response<Full<Bytes>>;

/// Returns a server of HTTP connections that reads no longer heads than `limits` allow.
pub fn builder(limits: &routing::RequestLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .keep_alive(true)
        .max_header_size(limits.max_head_bytes)
        .max_buf_size(limits.max_head_bytes.max(MIN_READ_BUFFER_BYTES));
    builder
}

/// Returns a response with a JSON body.
pub fn json_response(status: http::StatusCode, body: Bytes) -> Response {
    let mut response = http::Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}
