//! Processes that end, servers that fall silent, a store that is away.

use std::collections::BTreeSet;

use cuminkeel_replay::fake_server;
use platform_emulator::emulated_store;

use crate::test_platform;

#[tokio::test(flavor = "multi_thread")]
async fn a_job_survives_the_loss_of_the_leader() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let mut leader = site.ready_node("n1", "north").await;
    let second = site.ready_node("n2", "north").await;
    let job = second.submit("00000000000000a1", "600", 4);
    let loss = async {
        test_platform::eventually("four starts", async || site.started_tasks().len() == 4).await;
        leader.kill();
    };
    let ((status, body), ()) = tokio::join!(job, loss);
    assert_eq!((status, &body[..]), (200, &br#"{"state":"completed"}"#[..]));
    let tasks: BTreeSet<String> = site.started_tasks().into_iter().collect();
    assert_eq!(tasks.len(), 4);
    assert_eq!(site.started_tasks().len(), 4, "its runs were taken over");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_leader_cuts_no_request() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let mut leader = site.ready_node("n1", "north").await;
    let second = site.ready_node("n2", "north").await;
    let own = leader.submit("00000000000000a1", "700", 2);
    let others = second.submit("00000000000000a2", "700", 2);
    let stop = async {
        test_platform::eventually("four starts", async || site.started_tasks().len() == 4).await;
        leader.stop().await;
        test_platform::eventually("not ready", async || leader.readiness().await != 200).await;
        // What still arrives is served by the next leader.
        leader.submit("00000000000000a3", "20", 1).await
    };
    let (own, others, late) = tokio::join!(own, others, stop);
    assert_eq!((own.0, others.0, late.0), (200, 200, 200));
    leader.ended().await;
    assert_eq!(site.started_tasks().len(), 5);
    assert_eq!(second.submit("00000000000000a4", "20", 1).await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_stops_alone_serves_what_still_arrives() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let mut node = site.ready_node("n1", "north").await;
    node.stop().await;
    test_platform::eventually("not ready", async || node.readiness().await != 200).await;
    let (status, body) = node.submit("00000000000000a1", "20", 1).await;
    assert_eq!((status, &body[..]), (200, &br#"{"state":"completed"}"#[..]));
    node.ended().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_processes_are_lost_at_once_and_serve_again() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let mut first = site.ready_node("n1", "north").await;
    let mut second = site.ready_node("n2", "north").await;
    assert_eq!(first.submit("00000000000000a1", "20", 1).await.0, 200);
    first.kill();
    second.kill();
    let third = test_platform::TestNode::start(first.settings.clone());
    let fourth = test_platform::TestNode::start(second.settings.clone());
    third.ready().await;
    fourth.ready().await;
    assert_eq!(third.submit("00000000000000a2", "20", 1).await.0, 200);
    assert_eq!(fourth.submit("00000000000000a3", "20", 1).await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_serves_while_the_store_is_away() {
    let modes = [
        emulated_store::StoreMode::Unavailable,
        emulated_store::StoreMode::Unresponsive,
        emulated_store::StoreMode::DropsResponses,
    ];
    let site = test_platform::TestSite::start(&["north"]).await;
    let mut leader = site.ready_node("n1", "north").await;
    let second = site.ready_node("n2", "north").await;
    for (number, mode) in modes.into_iter().enumerate() {
        site.store.set_mode(mode);
        let id = format!("{number:016x}");
        assert_eq!(second.submit(&id, "20", 1).await.0, 200, "{mode:?}");
    }
    // Not even a change of the leader needs the store.
    leader.kill();
    test_platform::eventually("another leader", async || {
        second.submit("00000000000000a1", "20", 1).await.0 == 200
    })
    .await;
    site.store.set_mode(emulated_store::StoreMode::Up);
    site.configure(7, "/later/");
    test_platform::eventually("the store again", async || {
        second.call("GET", "/later/", "").await.0 == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_server_holds_up_no_job() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let node = site.ready_node("n1", "north").await;
    site.servers[0].set_mode(fake_server::ServerMode::Unreachable);
    for number in 0..4 {
        let id = format!("{number:016x}");
        assert_eq!(node.submit(&id, "20", 2).await.0, 200);
    }
    site.servers[0].set_mode(fake_server::ServerMode::Healthy);
    let before = site.servers[0].started_runs().len();
    test_platform::eventually("starts on the server that is back", async || {
        node.submit(&test_platform::random_id(), "20", 32).await.0 == 200
            && site.servers[0].started_runs().len() > before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_server_gets_no_new_task() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let node = site.ready_node("n1", "north").await;
    site.servers[0].drain(&site.store);
    let mut number = 0_u64;
    test_platform::eventually("no starts on the draining server", async || {
        let before = site.servers[0].started_runs().len();
        for _ in 0..3 {
            number += 1;
            assert_eq!(node.submit(&format!("{number:016x}"), "5", 4).await.0, 200);
        }
        site.servers[0].started_runs().len() == before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_compacted_store_loses_nothing_that_counts() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let node = site.ready_node("n1", "north").await;
    // While the process can't read, its place in the history is deleted.
    site.store.set_mode(emulated_store::StoreMode::Unavailable);
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    site.configure(2, "/newer/");
    for server in &site.servers {
        server.register(&site.store);
    }
    for topic in ["keyed.op", "keyed.servers", "keyed.peers"] {
        site.store.compact(topic);
    }
    site.store.set_mode(emulated_store::StoreMode::Up);
    test_platform::eventually("the new route", async || {
        node.call("GET", "/newer/", "").await.0 == 200
    })
    .await;
}
