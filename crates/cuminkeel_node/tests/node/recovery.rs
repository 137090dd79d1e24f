//! Tests of lost and stopping processes, unresponsive servers, and outages of the store.

use std::{collections::BTreeSet, sync::Arc};

use cuminkeel_replay::fake_server;
use platform_adapter::settings;
use platform_emulator::emulated_store;

use crate::test_platform;

#[tokio::test(flavor = "multi_thread")]
async fn job_completes_after_the_loss_of_the_leader() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut leader = platform.start_ready_node("n1", "north").await;
    let standby = platform.start_ready_node("n2", "north").await;
    let job = standby.submit("00000000000000a1", "600", 4);
    let leader_loss = async {
        test_platform::wait_until("four runs to start", async || {
            platform.started_tasks().len() == 4
        })
        .await;
        leader.kill();
    };
    let ((status, body), ()) = tokio::join!(job, leader_loss);
    assert_eq!((status, &body[..]), (200, &br#"{"state":"completed"}"#[..]));
    let tasks: BTreeSet<String> = platform.started_tasks().into_iter().collect();
    assert_eq!(tasks.len(), 4);
    assert_eq!(
        platform.started_tasks().len(),
        4,
        "the next leader should adopt the runs and start none again"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_leader_completes_its_requests() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut leader = platform.start_ready_node("n1", "north").await;
    let standby = platform.start_ready_node("n2", "north").await;
    let leader_job = leader.submit("00000000000000a1", "700", 2);
    let standby_job = standby.submit("00000000000000a2", "700", 2);
    let late_job = async {
        test_platform::wait_until("four runs to start", async || {
            platform.started_tasks().len() == 4
        })
        .await;
        leader.stop().await;
        test_platform::wait_until("process not to be ready", async || {
            leader.readiness_status().await != 200
        })
        .await;
        // The next leader runs the jobs that still arrive at the stopping process.
        leader.submit("00000000000000a3", "20", 1).await
    };
    let (leader_answer, standby_answer, late_answer) =
        tokio::join!(leader_job, standby_job, late_job);
    assert_eq!(
        (leader_answer.0, standby_answer.0, late_answer.0),
        (200, 200, 200)
    );
    leader.wait_for_exit().await;
    assert_eq!(platform.started_tasks().len(), 5);
    assert_eq!(standby.submit("00000000000000a4", "20", 1).await.0, 200);
}

/// A planned stop cut the connections of callers that still waited, without an answer (review/4).
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_wait_when_a_process_exits_are_answered() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut node = platform.start_ready_node("n1", "north").await;
    let body = test_platform::job_body("8000", 1);
    let job = node.submit_with_deadline("00000000000000a1", &body, "20000");
    let stop = async {
        test_platform::wait_until("the task to start", async || {
            platform.started_tasks().len() == 1
        })
        .await;
        node.stop().await;
    };
    let ((status, _), ()) = tokio::join!(job, stop);
    assert_eq!(status, 504);
    node.wait_for_exit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn sole_process_of_a_domain_runs_jobs_that_arrive_while_it_stops() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut node = platform.start_ready_node("n1", "north").await;
    node.stop().await;
    test_platform::wait_until("process not to be ready", async || {
        node.readiness_status().await != 200
    })
    .await;
    let (status, body) = node.submit("00000000000000a1", "20", 1).await;
    assert_eq!((status, &body[..]), (200, &br#"{"state":"completed"}"#[..]));
    node.wait_for_exit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_processes_run_jobs_after_the_loss_of_all() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut first = platform.start_ready_node("n1", "north").await;
    let mut second = platform.start_ready_node("n2", "north").await;
    assert_eq!(first.submit("00000000000000a1", "20", 1).await.0, 200);
    first.kill();
    second.kill();
    let restarted_first = test_platform::TestNode::start(first.settings.clone());
    let restarted_second = test_platform::TestNode::start(second.settings.clone());
    restarted_first.wait_until_ready().await;
    restarted_second.wait_until_ready().await;
    assert_eq!(
        restarted_first.submit("00000000000000a2", "20", 1).await.0,
        200
    );
    assert_eq!(
        restarted_second.submit("00000000000000a3", "20", 1).await.0,
        200
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn domain_runs_jobs_during_a_store_outage() {
    let modes = [
        emulated_store::StoreMode::Unavailable,
        emulated_store::StoreMode::Unresponsive,
        emulated_store::StoreMode::DropsResponses,
    ];
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut leader = platform.start_ready_node("n1", "north").await;
    let standby = platform.start_ready_node("n2", "north").await;
    for (number, mode) in modes.into_iter().enumerate() {
        platform.store.set_mode(mode);
        let id = format!("{number:016x}");
        assert_eq!(standby.submit(&id, "20", 1).await.0, 200, "{mode:?}");
    }
    // The choice of another leader doesn't need the store either.
    leader.kill();
    test_platform::wait_until("another leader to run jobs", async || {
        standby.submit("00000000000000a1", "20", 1).await.0 == 200
    })
    .await;
    platform.store.set_mode(emulated_store::StoreMode::Up);
    platform.write_config(7, "/later/");
    test_platform::wait_until("configuration from the restored store", async || {
        standby.send("GET", "/later/", "").await.0 == 200
    })
    .await;
}

/// A part of a job's runs are on a server that becomes unresponsive, so the job completes only if they
/// are started again on the other server, and not before they have ended.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_complete_while_a_server_is_unresponsive() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let server = &platform.servers[0];
    let job = node.submit("00000000000000a1", "1000", 24);
    let server_loss = async {
        test_platform::wait_until("runs on both servers", async || {
            platform.started_tasks().len() == 24
        })
        .await;
        server.set_mode(fake_server::ServerMode::Unreachable);
    };
    let ((status, _), ()) = tokio::join!(job, server_loss);
    assert_eq!(status, 200);
    let lost_runs = server.started_runs().len();
    assert!((1..24).contains(&lost_runs), "{lost_runs} runs were lost");
    assert_eq!(platform.started_tasks().len(), 24 + lost_runs);
    platform.ended_runs_without_overlap();
    server.set_mode(fake_server::ServerMode::Healthy);
    let starts_before = server.started_runs().len();
    test_platform::wait_until("runs on the restored server", async || {
        node.submit(&test_platform::random_id(), "20", 32).await.0 == 200
            && server.started_runs().len() > starts_before
    })
    .await;
}

/// A process that never reaches the store gets the configuration from its peers, later versions
/// included, and runs jobs through the leader.
#[tokio::test(flavor = "multi_thread")]
async fn process_cut_off_from_the_store_serves_through_its_peers() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let leader = platform.start_ready_node("n1", "north").await;
    let cut_off = test_platform::TestNode::start(settings::ProcessSettings {
        store_address: Arc::from("127.0.0.1:1"),
        seeds: vec![Arc::clone(&leader.settings.link_address)],
        ..platform.node_settings("n2", "north")
    });
    cut_off.wait_until_ready().await;
    assert_eq!(cut_off.submit("00000000000000b1", "20", 2).await.0, 200);
    platform.write_config(2, "/newer/");
    test_platform::wait_until("new route to be served", async || {
        cut_off.send("GET", "/newer/", "").await.0 == 200
    })
    .await;
    assert_eq!(cut_off.send("GET", test_platform::PREFIX, "").await.0, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_server_starts_no_new_tasks() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    platform.servers[0].drain(&platform.store);
    let mut number = 0_u64;
    test_platform::wait_until("no more runs on the draining server", async || {
        let starts_before = platform.servers[0].started_runs().len();
        for _ in 0..3 {
            number += 1;
            assert_eq!(node.submit(&format!("{number:016x}"), "5", 4).await.0, 200);
        }
        platform.servers[0].started_runs().len() == starts_before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn process_resumes_reading_after_compaction_of_the_store() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    // Compaction deletes the offset from which the process would resume reading after the outage.
    platform
        .store
        .set_mode(emulated_store::StoreMode::Unavailable);
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    platform.write_config(2, "/newer/");
    for server in &platform.servers {
        server.register(&platform.store);
    }
    for topic in ["keyed.op", "keyed.servers", "keyed.peers"] {
        platform.store.compact(topic);
    }
    platform.store.set_mode(emulated_store::StoreMode::Up);
    test_platform::wait_until("new route to be served", async || {
        node.send("GET", "/newer/", "").await.0 == 200
    })
    .await;
}

/// A server leaves the registry and still responds. A process that starts later must not take its old
/// entries in the history of the store for a server that is there.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_left_is_not_used_after_a_restart() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut node = platform.start_ready_node("n1", "north").await;
    platform.servers[0].drain(&platform.store);
    platform.store.put("keyed.servers", "north-server-0", "");
    node.kill();
    let starts_before = platform.servers[0].started_runs().len();
    let restarted = test_platform::TestNode::start(node.settings.clone());
    restarted.wait_until_ready().await;
    for number in 0..10_u64 {
        let answer = restarted.submit(&format!("{number:016x}"), "5", 4).await;
        assert_eq!(answer.0, 200);
    }
    assert_eq!(platform.servers[0].started_runs().len(), starts_before);
}
