//! Tests of backend servers that reject orders for their fencing token: for no reason, or because processes of an earlier
//! release have used up its tokens.

use std::time;

use cuminkeel_replay::fake_server;

use crate::test_platform;

/// Time by which a domain goes on without a server that rejects orders: two longest leases.
const RECOVERY_TIME: time::Duration = time::Duration::from_secs(2);
/// Highest token of releases that took tokens for epochs.
const LAST_EPOCH_TOKEN: u64 = (1 << 53) - 1;

/// Submits calls for a second and checks that each is served.
async fn check_calls(node: &test_platform::TestNode, situation: &str) {
    for call in 0..20 {
        let (status, body) = node.submit(&test_platform::random_id(), "20", 2).await;
        assert_eq!(status, 200, "{situation}, call {call}: {body:?}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Checks that calls are served beside a server that behaves as `rejection` says: under a sound leader, and after a
/// restart of all processes. Returns the log of the last process.
async fn check_domain(rejection: fake_server::OrderRejection) -> String {
    let platform = test_platform::TestPlatform::start_with_servers(&["north"], 4).await;
    let mut node = platform.start_ready_node("n1", "north").await;
    platform.servers[0].set_rejection(rejection);
    tokio::time::sleep(RECOVERY_TIME).await;
    check_calls(&node, "under a sound leader").await;
    node.kill();
    let node = platform.start_ready_node("n2", "north").await;
    tokio::time::sleep(RECOVERY_TIME).await;
    check_calls(&node, "after a restart").await;
    platform.ended_runs_without_overlap();
    assert_eq!(node.gauge_value("rejecting_servers").await, Some(1));
    String::from_utf8(node.take_log()).expect("log lines should be UTF-8")
}

/// Guards against a server that rejects all orders and stops its whole failure domain, while the others idle.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_served_beside_a_server_that_rejects_all_orders() {
    let log = check_domain(fake_server::OrderRejection::All).await;
    let names_server =
        |line: &str| line.contains("claim_rejected") && line.contains("north-server-0");
    assert!(log.lines().any(names_server), "{log}");
}

/// Guards against a server that grants claims, rejects starts and stops its whole failure domain.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_served_beside_a_server_that_rejects_starts() {
    let log = check_domain(fake_server::OrderRejection::Starts).await;
    let names_server = |line: &str| line.contains("distrusted") && line.contains("north-server-0");
    assert!(log.lines().any(names_server), "{log}");
}

/// Guards against callers that get no answer from other domains when no server of their own domain can be claimed.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_served_elsewhere_if_all_servers_of_a_domain_reject_orders() {
    let platform = test_platform::TestPlatform::start(&["north", "south"]).await;
    let north = platform.start_ready_node("n1", "north").await;
    let _south = platform.start_ready_node("s1", "south").await;
    for server in &platform.servers[..2] {
        server.set_rejection(fake_server::OrderRejection::All);
    }
    tokio::time::sleep(RECOVERY_TIME).await;
    check_calls(&north, "no server of the north can be claimed").await;
    test_platform::wait_until(
        "the process to say that its domain holds no server",
        async || north.readiness_status().await != 200,
    )
    .await;
}

/// Guards against an upgrade that serves nothing, as processes of an earlier release have used up the tokens of all servers.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_served_by_servers_whose_tokens_an_earlier_release_has_used_up() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    for server in &platform.servers {
        server.set_highest_token(LAST_EPOCH_TOKEN);
    }
    for name in ["n1", "n2"] {
        let mut node = platform.start_ready_node(name, "north").await;
        tokio::time::sleep(RECOVERY_TIME).await;
        check_calls(&node, name).await;
        node.kill();
    }
    platform.ended_runs_without_overlap();
}

/// Guards against tokens that run out over restarts of all processes, which made ever more calls fail from the 56th on.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_served_after_a_hundred_restarts_of_all_processes() {
    let platform = test_platform::TestPlatform::start_with_servers(&["north"], 4).await;
    for restart in 0..100 {
        let mut node = platform
            .start_ready_node(&format!("n{restart}"), "north")
            .await;
        for call in 0..4 {
            let (status, body) = node.submit(&test_platform::random_id(), "20", 2).await;
            assert_eq!(status, 200, "restart {restart}, call {call}: {body:?}");
        }
        node.kill();
    }
    platform.ended_runs_without_overlap();
}
