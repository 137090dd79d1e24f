//! A small deployment on loopback for the tests of the entry.

use std::{sync, time};

use cuminkeel_entry::{api, telemetry};
use cuminkeel_standin::{backend, fleet, platform};

/// API key of the one customer.
pub const API_KEY: &str = "key of mill";

/// A plan with one customer, `entries` entries in one failure domain and two servers.
pub fn site_plan(entries: u32) -> fleet::SitePlan {
    let servers = (0..2).map(|position| fleet::ServerPlan {
        domain: "gebze".into(),
        rack: format!("rack-{position}").into(),
        partner: "partner".into(),
        settings: backend::BackendSettings {
            name: format!("server-{position}").into(),
            slots: 8,
            ..backend::BackendSettings::default()
        },
    });
    fleet::SitePlan {
        platform: platform::PlatformSettings::default(),
        domains: vec!["gebze".into()],
        entries_per_domain: entries,
        servers: servers.collect(),
        customers: vec![fleet::SiteCustomer {
            name: "mill".into(),
            api_key: API_KEY.into(),
            weight: 1,
            max_concurrent_tasks: 100,
            max_task_starts_per_second: 10_000,
        }],
        policy: "cuminkeel".into(),
        response_weight: 1,
        message_weight: 1,
        seed: 7,
    }
}

/// Starts a deployment without traces or logs.
pub async fn start(plan: fleet::SitePlan) -> fleet::LoopbackSite {
    start_traced(plan, telemetry::TraceSource::off()).await
}

/// Starts a deployment whose entries make spans.
pub async fn start_traced(
    plan: fleet::SitePlan,
    traces: telemetry::TraceSource,
) -> fleet::LoopbackSite {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    fleet::LoopbackSite::start(plan, traces, log)
        .await
        .expect("the deployment starts")
}

/// A job of `tasks` tasks, each of `work_ms` milliseconds on a server of speed one.
pub fn submission(tasks: usize, work_ms: u64, key: Option<String>) -> api::JobSubmission {
    let tasks = (0..tasks).map(|number| api::TaskSubmission {
        class: "price".into(),
        size_millicores: 100,
        declared_ms: work_ms,
        payload: format!(r#"{{"work_ms": {work_ms}, "number": {number}}}"#),
    });
    api::JobSubmission {
        idempotent: key.is_none(),
        submission_key: key,
        deadline_ms: 10_000,
        wait: true,
        tasks: tasks.collect(),
    }
}

/// Starts of tasks on all servers of a deployment.
pub fn starts(site: &fleet::LoopbackSite) -> usize {
    sync::Arc::clone(&site.ledger).starts().len()
}

/// Longest time for something to come about that must come about.
const PATIENCE: time::Duration = time::Duration::from_secs(30);

/// Waits until a condition holds.
pub async fn until(holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting)
        .await
        .expect("the condition never came to hold");
}
