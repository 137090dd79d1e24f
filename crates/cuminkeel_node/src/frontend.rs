//! HTTP server for callers.

use std::{convert, future, io, sync::Arc, time};

use cuminkeel_dispatch::{job_model, offer_plan};
use hyper::{body, service};
use hyper_util::rt;
use platform_adapter::{caller_api, routing};
use tokio::{net, sync::watch, task};

use crate::{caller_stream, connection_gate, coordinator, http_server, node_state, request_body};

/// Pause after a failed accept, for example with too many open file descriptors.
const ACCEPT_RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Time to the deadline of a request without a readable deadline header on a route without a time
/// limit.
const DEFAULT_TIME_TO_DEADLINE: time::Duration = time::Duration::from_secs(2);
/// `Retry-After` of a job that needs an unsupported feature or exceeds a limit.
const UNSUPPORTED_RETRY_AFTER: time::Duration = time::Duration::from_mins(1);
/// `Retry-After` of a request whose deadline may have passed before it was read. The process serves again.
const OUTDATED_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
/// `Retry-After` of a request for whose body there is no room. Another process may have room at once, and this one
/// once it has closed connections that hold others.
const OVERLOADED_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
/// Answer to a new connection while all others have a request in progress. No request was read from it.
const NO_PLACE_ANSWER: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\
    Retry-After: 1\r\nContent-Length: 22\r\nConnection: close\r\n\r\n{\"error\":\"overloaded\"}";
/// `Retry-After` of a process that has no configuration yet.
const UNCONFIGURED_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Serves callers until the task is aborted. Once `stop` is true, each open connection closes
/// after its current request.
pub async fn serve_callers(
    node: Arc<node_state::NodeState>,
    listener: net::TcpListener,
    stop: watch::Receiver<bool>,
) {
    loop {
        let stream = match accept(&node, &listener).await {
            Ok(stream) => stream,
            Err(error) => {
                slog::warn!(node.logger, "caller_accept_failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        // Without TCP_NODELAY a response may wait for the caller's next acknowledgement.
        let _nodelay_result = stream.set_nodelay(true);
        let Some(seat) = node.gates.callers.open(|| node.now()).await else {
            // A caller that has left needs no answer.
            let _sent = stream.try_write(NO_PLACE_ANSWER);
            continue;
        };
        let seat = Arc::new(seat);
        tokio::spawn(serve_connection(
            Arc::clone(&node),
            stream,
            seat,
            stop.clone(),
        ));
    }
}

/// Accepts the next connection, and records whether more may wait behind it.
async fn accept(
    node: &node_state::NodeState,
    listener: &net::TcpListener,
) -> io::Result<net::TcpStream> {
    future::poll_fn(|context| {
        let accepted = listener.poll_accept(context);
        // A task without budget has to yield before it has seen the end of the queue.
        node.record_accept(accepted.is_ready() || !task::coop::has_budget_remaining());
        accepted.map_ok(|(stream, _)| stream)
    })
    .await
}

async fn serve_connection(
    node: Arc<node_state::NodeState>,
    stream: net::TcpStream,
    seat: Arc<connection_gate::ConnectionSeat>,
    mut stop: watch::Receiver<bool>,
) {
    let connection_guard = node.metrics.track_connection();
    let stream = caller_stream::CallerStream::new(stream, Arc::clone(&node), Arc::clone(&seat));
    let end_watch = stream.end_watch();
    let caller = CallerConnection {
        node: Arc::clone(&node),
        arrivals: stream.arrivals(),
        seat: Arc::clone(&seat),
    };
    let handler = service::service_fn(move |request| {
        let caller = caller.clone();
        async move { Ok::<_, convert::Infallible>(handle_request(&caller, request).await) }
    });
    let connection = http_server::builder(&node.request_limits())
        .serve_connection(rt::TokioIo::new(stream), handler);
    tokio::pin!(connection);
    let served = async {
        tokio::select! {
            result = connection.as_mut() => result,
            () = wait_for_stop(&mut stop) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let result = tokio::select! {
        // First, so that a request whose body is refused for want of room is answered.
        biased;
        result = served => result,
        () = seat.wait_until_closed() => Ok(()),
        () = end_watch.wait_until_left() => {
            // Ends the handler, which withdraws the job.
            slog::debug!(node.logger, "caller_left");
            Ok(())
        }
    };
    if let Err(error) = result {
        slog::debug!(node.logger, "caller_connection_broke"; "error" => %error);
    }
    drop(connection_guard);
}

/// Connection of a caller, as the handler of its requests knows it.
#[derive(Clone, Debug)]
struct CallerConnection {
    node: Arc<node_state::NodeState>,
    arrivals: caller_stream::RequestArrivals,
    seat: Arc<connection_gate::ConnectionSeat>,
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped because the process ends.
    let _ended = stop.wait_for(|stop| *stop).await;
}

async fn handle_request(
    caller: &CallerConnection,
    request: http::Request<body::Incoming>,
) -> http_server::Response {
    let CallerConnection { node, seat, .. } = caller;
    seat.record_head(node.now());
    let response = route_request(caller, request).await;
    seat.record_answer(node.now());
    response
}

async fn route_request(
    caller: &CallerConnection,
    request: http::Request<body::Incoming>,
) -> http_server::Response {
    let node = &caller.node;
    let arrived_at = caller.arrivals.request_arrival();
    let Some(config) = node.config() else {
        node.metrics.count_rejection("unconfigured");
        return retry_later_response(
            http::StatusCode::SERVICE_UNAVAILABLE,
            "unconfigured",
            UNCONFIGURED_RETRY_AFTER,
        );
    };
    let host = request
        .headers()
        .get(http::header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let path = request.uri().path();
    let Some(route) = find_route(&config.config, host, path) else {
        node.metrics.count_rejection("unknown_route");
        return http_server::json_response(
            http::StatusCode::NOT_FOUND,
            caller_api::encode_error("unknown_route"),
        );
    };
    let id = path.get(route.path_prefix.len()..).unwrap_or_default();
    match (request.method(), id) {
        (&http::Method::GET, "") => {
            let pending = node.pool.pending_job_count(&route.name).await;
            http_server::json_response(
                http::StatusCode::OK,
                caller_api::encode_pending_count(pending),
            )
        }
        (&http::Method::POST, id) if caller_api::is_job_id(id) => {
            let (id, route) = (Arc::from(id), route.clone());
            let job_request = JobRequest {
                id,
                arrived_at,
                http_request: request,
            };
            submit(caller, &config.config, &route, job_request).await
        }
        // The outcome of a job is sent in the response to its submission and never stored.
        (&http::Method::GET | &http::Method::DELETE, _) => http_server::json_response(
            http::StatusCode::GONE,
            caller_api::encode_error("unknown_job"),
        ),
        _ => http_server::json_response(
            http::StatusCode::BAD_REQUEST,
            caller_api::encode_error("malformed_id"),
        ),
    }
}

fn find_route<'a>(
    config: &'a routing::RoutingConfig,
    host: &str,
    path: &str,
) -> Option<&'a routing::JobRoute> {
    let host = host.split(':').next().unwrap_or_default();
    config
        .routes
        .iter()
        .filter(|route| route.host.eq_ignore_ascii_case(host))
        .filter(|route| path.starts_with(&*route.path_prefix))
        .max_by_key(|route| route.path_prefix.len())
}

/// Submission of a job of which the headers have been read.
struct JobRequest {
    id: Arc<str>,
    /// Time at which it may have arrived at the earliest.
    arrived_at: time::Duration,
    http_request: http::Request<body::Incoming>,
}

async fn submit(
    caller: &CallerConnection,
    config: &routing::RoutingConfig,
    route: &routing::JobRoute,
    request: JobRequest,
) -> http_server::Response {
    let node = &caller.node;
    let JobRequest {
        id,
        arrived_at,
        http_request: request,
    } = request;
    // A caller that waits longer than the route's time limit still wants its answer.
    let time_to_deadline = request
        .headers()
        .get(caller_api::DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim().parse().ok())
        .map(time::Duration::from_millis)
        .or(route.timeout)
        .unwrap_or(DEFAULT_TIME_TO_DEADLINE);
    // A caller that has not sent its job after the time for which it waits does not wait any more.
    let reading = read_job(caller, config, route, &id, request);
    let job = match tokio::time::timeout(time_to_deadline, reading).await {
        Ok(Ok(job)) => job,
        Ok(Err(response)) => return response,
        // Not a refusal, as tasks of the copy may run.
        Err(_) if node.jobs.contains(&id) => {
            return job_response(&offer_plan::JobAnswer::CopyElsewhere);
        }
        Err(_) => return outdated_response(node, &id, route, arrived_at, time_to_deadline),
    };
    caller.seat.record_message();
    let spec = Arc::new(job_model::JobSpec {
        id: Arc::clone(&id),
        route: Arc::clone(&route.name),
        service: Arc::clone(&route.service),
        payload: job.payload,
        steps: job.steps,
        priority: route.priority,
        max_attempts: route.max_attempts,
        stretch_factor: route.stretch_factor,
        target_latency_ms: route.target_latency_ms,
    });
    slog::debug!(node.logger, "received"; "request" => &*id, "route" => &*route.name,
        "config_version" => config.version, "tasks" => spec.task_count(),
        "patience_ms" => whole_ms(time_to_deadline));
    caller.arrivals.check_end().await;
    // The caller waits since it sent the head; the job is there since the body is.
    let received_at = caller.arrivals.request_arrival();
    let answer_deadline = arrived_at + time_to_deadline.saturating_sub(coordinator::ANSWER_MARGIN);
    if node.now() >= answer_deadline && !node.jobs.contains(&id) {
        return outdated_response(node, &id, route, arrived_at, time_to_deadline);
    }
    let waiting = caller.arrivals.record_waiting_job();
    let (answer, pool) = coordinator::run_job(node, spec, received_at, answer_deadline).await;
    drop(waiting);
    let elapsed = node.now().saturating_sub(received_at);
    if answer == offer_plan::JobAnswer::Completed {
        slog::debug!(node.logger, "answered"; "request" => &*id, "route" => &*route.name,
            "outcome" => "completed", "took_ms" => whole_ms(elapsed));
    } else {
        slog::info!(node.logger, "answered"; "request" => &*id, "route" => &*route.name,
            "outcome" => ?answer, "pool" => pool.as_deref().map(String::from),
            "took_ms" => whole_ms(elapsed));
    }
    node.metrics.count_answer(&route.name, &answer, elapsed);
    job_response(&answer)
}

/// Returns the response to a request that was read after its deadline. Nothing of it has run.
fn outdated_response(
    node: &node_state::NodeState,
    id: &str,
    route: &routing::JobRoute,
    arrived_at: time::Duration,
    time_to_deadline: time::Duration,
) -> http_server::Response {
    let age = node.now().saturating_sub(arrived_at);
    slog::info!(node.logger, "request_outdated"; "request" => id, "route" => &*route.name,
        "age_ms" => whole_ms(age), "patience_ms" => whole_ms(time_to_deadline));
    node.metrics.count_rejection("outdated");
    retry_later_response(
        http::StatusCode::SERVICE_UNAVAILABLE,
        "outdated",
        OUTDATED_RETRY_AFTER,
    )
}

/// Returns the job in the body of `request`, or the response that rejects it.
async fn read_job(
    caller: &CallerConnection,
    config: &routing::RoutingConfig,
    route: &routing::JobRoute,
    id: &str,
    request: http::Request<body::Incoming>,
) -> Result<caller_api::SubmittedJob, http_server::Response> {
    let node = &caller.node;
    let bad_request = |reason| {
        http_server::json_response(
            http::StatusCode::BAD_REQUEST,
            caller_api::encode_error(reason),
        )
    };
    let max_bytes = config.limits.max_body_bytes;
    let body = request_body::read_body(request.into_body(), max_bytes, &caller.seat, || node.now())
        .await
        .map_err(|error| match error {
            // Not a refusal, as tasks of the copy may run.
            request_body::BodyError::NoRoom { .. } if node.jobs.contains(id) => {
                job_response(&offer_plan::JobAnswer::CopyElsewhere)
            }
            request_body::BodyError::NoRoom { .. } => {
                node.log_unreadable("overloaded", id, &error, node.now());
                node.metrics.count_rejection("overloaded");
                retry_later_response(
                    http::StatusCode::SERVICE_UNAVAILABLE,
                    "overloaded",
                    OVERLOADED_RETRY_AFTER,
                )
            }
            error => {
                node.log_unreadable("unreadable_body", id, &error, node.now());
                bad_request("unreadable_body")
            }
        })?;
    let limits = node.tuning.job_limits();
    let job = caller_api::decode_job(&body, &limits).map_err(|error| match error {
        caller_api::SubmissionError::TooLarge { source } => {
            slog::info!(node.logger, "job_too_large"; "request" => id, "bytes" => body.len(), "error" => %source);
            node.metrics.count_rejection(source.reason());
            // No process will ever admit it.
            retry_later_response(
                http::StatusCode::SERVICE_UNAVAILABLE,
                source.reason(),
                UNSUPPORTED_RETRY_AFTER,
            )
        }
        error => {
            node.log_unreadable("unreadable_job", id, &error, node.now());
            bad_request("unreadable_job")
        }
    })?;
    let unsupported = job
        .unsupported
        .first()
        .map(ToString::to_string)
        .or_else(|| {
            route
                .needs_recommendation
                .then(|| String::from("recommendation"))
        });
    match unsupported {
        Some(feature) => {
            slog::info!(node.logger, "job_unsupported"; "request" => id, "feature" => &*feature);
            node.metrics.count_rejection("unsupported");
            Err(retry_later_response(
                http::StatusCode::SERVICE_UNAVAILABLE,
                &feature,
                UNSUPPORTED_RETRY_AFTER,
            ))
        }
        None => Ok(job),
    }
}

fn job_response(answer: &offer_plan::JobAnswer) -> http_server::Response {
    match answer {
        offer_plan::JobAnswer::Completed => {
            http_server::json_response(http::StatusCode::OK, caller_api::encode_job_end(true))
        }
        offer_plan::JobAnswer::Failed(
            job_model::FailureReason::AttemptsExhausted | job_model::FailureReason::ServersCrashed,
        ) => http_server::json_response(http::StatusCode::OK, caller_api::encode_job_end(false)),
        // Not a refusal, as tasks may have run; not a failed job, as no task has used up its
        // attempts.
        offer_plan::JobAnswer::Failed(
            job_model::FailureReason::OutOfTime | job_model::FailureReason::Withdrawn,
        ) => http_server::json_response(
            http::StatusCode::GATEWAY_TIMEOUT,
            caller_api::encode_error("out_of_time"),
        ),
        offer_plan::JobAnswer::Failed(job_model::FailureReason::PoolLost) => {
            http_server::json_response(
                http::StatusCode::BAD_GATEWAY,
                caller_api::encode_error("pool_lost"),
            )
        }
        // Not a refusal, as tasks of the copy may run.
        offer_plan::JobAnswer::CopyElsewhere => http_server::json_response(
            http::StatusCode::BAD_GATEWAY,
            caller_api::encode_error("copy_elsewhere"),
        ),
        offer_plan::JobAnswer::Refused {
            reason,
            retry_after,
        } => retry_later_response(
            http::StatusCode::SERVICE_UNAVAILABLE,
            &reason.to_string(),
            *retry_after,
        ),
    }
}

fn whole_ms(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn retry_later_response(
    status: http::StatusCode,
    reason: &str,
    retry_after: time::Duration,
) -> http_server::Response {
    let mut response = http_server::json_response(status, caller_api::encode_error(reason));
    let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
    if let Ok(value) = http::HeaderValue::from_str(&seconds.to_string()) {
        response
            .headers_mut()
            .insert(http::header::RETRY_AFTER, value);
    }
    response
}
