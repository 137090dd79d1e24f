//! Tests of faults that come from the platform: lost answers, connections that are reset, false health
//! checks, configurations in quick succession.

use std::time;

use cuminkeel_replay::fake_server;
use platform_emulator::{emulated_server, loopback_proxy};

use crate::test_platform;

/// Asserts that no two runs of one task overlapped and that each task was done once.
fn assert_each_task_was_done_once(platform: &test_platform::TestPlatform, task_count: usize) {
    let runs = platform.ended_runs_without_overlap();
    let done_count = runs
        .iter()
        .filter(|run| run.end == Some(cuminkeel_dispatch::server_model::RunEnd::Done))
        .count();
    assert_eq!(done_count, task_count);
}

fn job_ids(first: u64, count: u64) -> Vec<String> {
    (first..first + count)
        .map(|number| format!("{number:016x}"))
        .collect()
}

/// Each server carries out what it is told to start, and its answers are lost.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_whose_start_answer_is_lost_run_once() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    for server in &platform.servers {
        server.set_mode(fake_server::ServerMode::StartAnswersLost);
    }
    let statuses = test_platform::submit_concurrently(&node, &job_ids(0, 4), "400", 2).await;
    assert_eq!(statuses, [200; 4]);
    assert_each_task_was_done_once(&platform, 8);
}

/// All connections to the servers and to the store are reset, again and again, while jobs run.
#[tokio::test(flavor = "multi_thread")]
async fn reset_connections_lose_no_job() {
    let mut platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut proxies = Vec::new();
    for server in &mut platform.servers {
        let proxy = loopback_proxy::LoopbackProxy::start(&server.address())
            .await
            .expect("a port should be free");
        server.set_address(&proxy.address);
        server.register(&platform.store);
        proxies.push(proxy);
    }
    let store_proxy = loopback_proxy::LoopbackProxy::start(&platform.store.address())
        .await
        .expect("a port should be free");
    let settings = platform_adapter::settings::ProcessSettings {
        store_address: std::sync::Arc::clone(&store_proxy.address),
        ..platform.node_settings("n1", "north")
    };
    proxies.push(store_proxy);
    let node = test_platform::TestNode::start(settings);
    node.wait_until_ready().await;
    let resets = async {
        for _ in 0..5 {
            tokio::time::sleep(time::Duration::from_millis(150)).await;
            for mode in [
                loopback_proxy::ProxyMode::Reset,
                loopback_proxy::ProxyMode::Forward,
            ] {
                for proxy in &proxies {
                    proxy.set_mode(mode);
                }
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
    };
    let ids = job_ids(0, 6);
    let (statuses, ()) = tokio::join!(
        test_platform::submit_concurrently(&node, &ids, "500", 2),
        resets
    );
    assert_eq!(statuses, [200; 6]);
    assert_each_task_was_done_once(&platform, 12);
}

/// One server fails all its runs and its health check is good; the other one is sound and its health
/// check is bad. Servers are judged by what becomes of their runs.
#[tokio::test(flavor = "multi_thread")]
async fn false_health_checks_mislead_no_placement() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let [failing, sound] = &platform.servers[..] else {
        panic!("the domain should have two servers");
    };
    failing.set_mode(fake_server::ServerMode::Failing);
    failing.set_health_status(200);
    sound.set_health_status(503);
    let mut failed_jobs = 0;
    for id in job_ids(0, 12) {
        if node.submit(&id, "100", 2).await.0 != 200 {
            failed_jobs += 1;
        }
    }
    assert_eq!(failed_jobs, 0);
    let runs_on = |server: &emulated_server::EmulatedServer| server.started_runs().len();
    assert!(
        runs_on(sound) > 2 * runs_on(failing),
        "{} runs on the sound server, {} on the failing one",
        runs_on(sound),
        runs_on(failing)
    );
}

/// Forty configurations within a second, while jobs arrive at two processes. No process adopts an
/// older one after a newer one, and both end with the last.
#[tokio::test(flavor = "multi_thread")]
async fn configurations_in_quick_succession_never_go_back() {
    const LAST_VERSION: u32 = 40;
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let first = platform.start_ready_node("n1", "north").await;
    let second = platform.start_ready_node("n2", "north").await;
    let storm = async {
        for version in 2..=u64::from(LAST_VERSION) {
            platform.write_config_with_target(version, test_platform::PREFIX, 5_000 + version);
            tokio::time::sleep(time::Duration::from_millis(25)).await;
        }
    };
    let watch_versions = async |node: &test_platform::TestNode| {
        let mut versions = Vec::new();
        test_platform::wait_until("last version to be in force", async || {
            versions.extend(node.gauge_value("config_version").await);
            versions.last() == Some(&LAST_VERSION)
        })
        .await;
        versions
    };
    let ids = job_ids(0, 8);
    let (statuses, first_versions, second_versions, ()) = tokio::join!(
        test_platform::submit_concurrently(&first, &ids, "300", 1),
        watch_versions(&first),
        watch_versions(&second),
        storm
    );
    assert_eq!(statuses, [200; 8]);
    assert!(first_versions.is_sorted(), "{first_versions:?}");
    assert!(second_versions.is_sorted(), "{second_versions:?}");
}
