//! HTTP servers for readiness probes and metrics.

use std::{convert, sync::Arc, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body, service};
use hyper_util::rt;
use platform_adapter::{caller_api, routing};
use tokio::net;

use crate::{connection_gate, http_server, node_state};

/// Pause after a failed accept, for example with too many open file descriptors.
const ACCEPT_RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Serves the readiness probe.
pub async fn serve_readiness(node: Arc<node_state::NodeState>, listener: net::TcpListener) {
    let gate = Arc::clone(&node.gates.readiness);
    let probed_node = Arc::clone(&node);
    serve_by_path(node, gate, listener, move |path| match path {
        caller_api::READY_PATH if is_ready(&probed_node) => {
            http_server::json_response(http::StatusCode::OK, Bytes::new())
        }
        caller_api::READY_PATH => {
            http_server::json_response(http::StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
        }
        _ => http_server::json_response(http::StatusCode::NOT_FOUND, Bytes::new()),
    })
    .await;
}

/// Serves the metrics in the Prometheus text format, on any path.
pub async fn serve_metrics(node: Arc<node_state::NodeState>, listener: net::TcpListener) {
    let gate = Arc::clone(&node.gates.metrics);
    let measured_node = Arc::clone(&node);
    serve_by_path(node, gate, listener, move |_| {
        let progress = *measured_node.registry().progress();
        measured_node
            .metrics
            .set_registry_gauges(&progress, measured_node.now());
        let text = Bytes::from(measured_node.metrics.encode());
        let mut response = http::Response::new(Full::new(text));
        response.headers_mut().insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("text/plain; version=0.0.4"),
        );
        response
    })
    .await;
}

/// Returns whether the load balancer should send callers to this process: it is configured, not
/// leaving, and a reachable process of its failure domain holds servers.
fn is_ready(node: &node_state::NodeState) -> bool {
    let now = node.now();
    let has_servers = node
        .domain_members(now)
        .iter()
        .any(|member| member.reachable && member.held_servers > 0);
    node.config().is_some() && !node.is_leaving() && has_servers
}

/// Serves requests without bodies, of which `respond` knows the answer to a path.
async fn serve_by_path<F>(
    node: Arc<node_state::NodeState>,
    gate: Arc<connection_gate::ConnectionGate>,
    listener: net::TcpListener,
    respond: F,
) where
    F: Clone + Fn(&str) -> http_server::Response + Send + Sync + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                slog::warn!(node.logger, "probe_accept_failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        // Each request is answered at once, so that there is always a connection to close.
        let Some(seat) = gate.open(|| node.now()).await else {
            continue;
        };
        tokio::spawn(serve_probes(
            Arc::clone(&node),
            stream,
            seat,
            respond.clone(),
        ));
    }
}

async fn serve_probes<F>(
    node: Arc<node_state::NodeState>,
    stream: net::TcpStream,
    seat: connection_gate::ConnectionSeat,
    respond: F,
) where
    F: Fn(&str) -> http_server::Response,
{
    let handler = service::service_fn(|request: http::Request<body::Incoming>| {
        let response = respond(request.uri().path());
        seat.record_answer(node.now());
        async move { Ok::<_, convert::Infallible>(response) }
    });
    let connection = http_server::builder(&routing::RequestLimits::default())
        .serve_connection(rt::TokioIo::new(stream), handler);
    // An error means that the connection broke, so no response is due.
    tokio::select! {
        _broken = connection => {}
        () = seat.wait_until_closed() => {}
    }
}
