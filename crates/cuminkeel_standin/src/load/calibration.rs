//! Measures what the harness itself adds to a task's run time.

use std::time;

use http_body_util::BodyExt;
use hyper_util::{client::legacy, rt};

use crate::backend::{self, ledger, wire};

/// Calls made.
const CALLS: usize = 30;
/// Run time of each call.
const WORK: time::Duration = time::Duration::from_millis(20);

/// Median time that a call of a server takes beyond its run time, without an
/// entry in between. Uses a server of its own, so that no run's ledger sees it.
pub(super) async fn direct_overhead(like: &backend::BackendStandin) -> time::Duration {
    let settings = backend::BackendSettings {
        slowness: 1.0,
        ..like.settings().clone()
    };
    let ledger = std::sync::Arc::<ledger::StartLedger>::default();
    let Ok(server) = backend::BackendStandin::start(settings, ledger) else {
        return time::Duration::ZERO;
    };
    let client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let mut overheads = Vec::with_capacity(CALLS);
    for number in 0..CALLS {
        let begin = tokio::time::Instant::now();
        if call(&client, &server, number).await.is_some() {
            overheads.push(begin.elapsed().saturating_sub(WORK));
        }
    }
    overheads.sort_unstable();
    overheads
        .get(overheads.len() / 2)
        .copied()
        .unwrap_or_default()
}

async fn call(
    client: &legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>,
    server: &backend::BackendStandin,
    number: usize,
) -> Option<()> {
    let payload = wire::WorkPayload {
        work_ms: u64::try_from(WORK.as_millis()).ok()?,
        ..wire::WorkPayload::default()
    };
    let body = wire::TaskBody {
        task: format!("calibration-{number}").into(),
        class: "calibration".into(),
        size_millicores: 1,
        time_left_ms: 1_000,
        payload: serde_json::to_string(&payload).ok()?.into(),
    };
    let request = http::Request::post(format!("http://{}/v1/tasks", server.address()))
        .body(http_body_util::Full::from(serde_json::to_vec(&body).ok()?))
        .ok()?;
    let response = client.request(request).await.ok()?;
    response.into_body().collect().await.ok()?;
    Some(())
}
