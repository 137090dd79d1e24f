//! The client of all backend servers.

use std::{collections, sync};

use bytes::Bytes;
use cuminkeel_types::{names, outcome};
use http_body_util::{BodyExt, Full};

use super::{ServerAddress, TaskCall, TaskSender, attempt, pool, wire};
use crate::{core, settings, telemetry};

/// Time for a stop or a probe, which nobody waits for.
const SIDE_CALL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

type PoolMap = collections::HashMap<names::ServerName, sync::Arc<pool::ConnectionPool>>;

/// Sends tasks to backend servers over HTTP/1.1.
#[derive(Debug)]
pub struct BackendClient {
    settings: settings::BackendSettings,
    traces: telemetry::TraceSource,
    messages: sync::Arc<telemetry::MessageCounters>,
    pools: sync::RwLock<PoolMap>,
}

impl BackendClient {
    /// A client that knows no servers yet.
    pub fn new(
        settings: settings::BackendSettings,
        traces: telemetry::TraceSource,
        messages: sync::Arc<telemetry::MessageCounters>,
    ) -> Self {
        Self {
            settings,
            traces,
            messages,
            pools: sync::RwLock::default(),
        }
    }

    /// Replaces the known servers; connections to unchanged ones are kept.
    pub fn set_servers(&self, servers: &collections::BTreeMap<names::ServerName, ServerAddress>) {
        let mut pools = self
            .pools
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        pools.retain(|name, pool| {
            servers
                .get(name)
                .is_some_and(|server| server.http == pool.address())
        });
        for (name, server) in servers {
            pools.entry(name.clone()).or_insert_with(|| {
                sync::Arc::new(pool::ConnectionPool::new(
                    server.http,
                    server.max_connections,
                    self.settings.connect_timeout,
                    self.settings.idle_timeout,
                ))
            });
        }
    }

    fn pool(&self, server: &names::ServerName) -> Option<sync::Arc<pool::ConnectionPool>> {
        self.pools
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .get(server)
            .cloned()
    }
}

impl TaskSender for BackendClient {
    fn start(&self, mut call: TaskCall, core: core::CoreHandle) {
        call.time_left = call.time_left.min(self.settings.max_task_time);
        let pool = self.pool(&call.server);
        let grace = self.settings.answer_grace;
        let traces = self.traces.clone();
        let messages = sync::Arc::clone(&self.messages);
        tokio::spawn(async move {
            traces.record_queue_span(&call.trace, call.queued_since);
            let span = traces.backend_span(&call);
            let traceparent = telemetry::traceparent(&span);
            let attempt::AttemptEnd { outcome, busy } = match &pool {
                Some(pool) => attempt::run(pool, &call, traceparent.as_deref(), grace).await,
                None => attempt::AttemptEnd {
                    outcome: outcome::TaskOutcome::NotStarted {
                        cause: outcome::NotStartedCause::NotSent,
                    },
                    busy: None,
                },
            };
            messages.count_attempt(&outcome);
            telemetry::end_backend_span(&span, &outcome);
            let ended = core::CoreMessage::TaskEnded {
                task: call.task,
                server: call.server,
                outcome,
                busy,
            };
            // A stopped loop has nobody left to tell.
            let _ = core.send(ended).await;
        });
    }

    fn stop(&self, task: &outcome::TaskKey, server: &names::ServerName) {
        let Some(pool) = self.pool(server) else {
            return;
        };
        self.messages.count_stop();
        let path = format!("/v1/tasks/{}", wire::task_name(task));
        tokio::spawn(async move {
            let _ = side_call(&pool, http::Method::DELETE, &path).await;
        });
    }

    fn probe(&self, probe: u64, server: &names::ServerName, core: core::CoreHandle) {
        let pool = self.pool(server);
        self.messages.count_probe();
        let server = server.clone();
        tokio::spawn(async move {
            let body = match &pool {
                Some(pool) => side_call(pool, http::Method::GET, "/v1/usage").await,
                None => None,
            };
            let busy = body
                .and_then(|body| serde_json::from_slice::<wire::UsageBody>(&body).ok())
                .map(|usage| usage.busy);
            let probed = core::CoreMessage::ServerProbed {
                probe,
                server,
                busy,
            };
            let _ = core.send(probed).await;
        });
    }
}

/// Makes a call whose failure is of no consequence.
async fn side_call(pool: &pool::ConnectionPool, method: http::Method, path: &str) -> Option<Bytes> {
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, pool.address().to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let exchange = async {
        let mut connection = pool.take().await.ok()?;
        let response = connection.sender.send_request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        pool.give_back(connection);
        Some(body)
    };
    tokio::time::timeout(SIDE_CALL_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
}
