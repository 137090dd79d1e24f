//! Tests of servers that a process would not know, although another leader may have used them.

use platform_emulator::emulated_server;

use crate::test_platform;

/// Returns whether the log of `node` since the last call has a line with `message` about `server`.
fn has_line(node: &test_platform::TestNode, message: &str, server: &str) -> bool {
    let log = String::from_utf8(node.take_log()).expect("log should be UTF-8");
    log.lines().any(|line| {
        let line: serde_json::Value = serde_json::from_str(line).expect("each line should be JSON");
        line["msg"] == message && line["server"] == server
    })
}

/// A leader that read between the two records may have started runs there, which a takeover by this process would
/// not find.
#[tokio::test(flavor = "multi_thread")]
async fn server_whose_entry_comes_and_goes_between_two_reads_is_asked_for_its_runs() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let brief = emulated_server::EmulatedServer::start("brief", "north", 16_000)
        .await
        .expect("server should start");
    brief.register(&platform.store);
    platform.store.put("keyed.servers", "brief", "");
    test_platform::wait_until("the server to be claimed", async || {
        has_line(&node, "held", "brief")
    })
    .await;
}

/// Entries that lapsed before a snapshot are not in it, whether it is the first one or replaces records that the store
/// has deleted.
#[tokio::test(flavor = "multi_thread")]
async fn history_is_read_again_when_the_store_has_deleted_records_that_were_not_read() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    drop(node.take_log());
    test_platform::wait_until("the missing history to be noticed", async || {
        platform.servers[0].register(&platform.store);
        platform.store.compact("keyed.servers");
        let log = String::from_utf8(node.take_log()).expect("log should be UTF-8");
        log.contains("registry_history_unread")
    })
    .await;
}
