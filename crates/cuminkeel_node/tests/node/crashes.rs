//! Tests of tasks that crash their servers, across processes.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{crash_ledger, job_model, server_model};
use cuminkeel_node::{link_frame, loss_news, sent_state};
use platform_adapter::server_client;

use crate::{peers, test_platform};

const JOB: &str = "00000000000000c1";

fn lost_run(run_id: u64) -> crash_ledger::LostRun {
    crash_ledger::LostRun {
        task: job_model::TaskName {
            job: Arc::from(JOB),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run_id,
        server: Arc::from("s1"),
        incarnation: 1,
        neighbours: 2,
        evidence: crash_ledger::LossEvidence::Refused,
    }
}

/// The leader is lost after a task has crashed a server. If its successor knew nothing of that, the task
/// would crash two servers more. The caller learns that the job has failed.
#[tokio::test(flavor = "multi_thread")]
async fn task_crashes_two_servers_although_the_leader_is_lost_after_the_first() {
    let platform = test_platform::TestPlatform::start_with_servers(&["north"], 4).await;
    let mut leader = platform.start_ready_node("n1", "north").await;
    let standby = platform.start_ready_node("n2", "north").await;
    let job = standby.submit(JOB, "1000~", 1);
    let faults = async {
        test_platform::wait_until("a lost run", async || {
            String::from_utf8_lossy(&leader.take_log()).contains("loss_evidence")
        })
        .await;
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        leader.kill();
        test_platform::wait_until("a second start", async || {
            platform.started_tasks().len() == 2
        })
        .await;
        tokio::time::sleep(time::Duration::from_millis(1_500)).await;
        for server in &platform.servers {
            if !server.started_runs().is_empty() {
                server.restart(&platform.store);
            }
        }
    };
    let ((status, body), ()) = tokio::join!(job, faults);
    assert_eq!((status, &body[..]), (200, &br#"{"state":"failed"}"#[..]));
    assert_eq!(platform.started_tasks().len(), 2);
}

/// Guards against losses that a peer misses or gets twice, and against processes that pass on to all what
/// only leaders have to.
#[tokio::test]
async fn peers_are_told_of_each_loss_once() {
    let node = peers::idle_node().await;
    let mut to_peer = sent_state::SentState::default();
    let frame = |run_ids: &[u64]| {
        let losses = run_ids.iter().map(|run_id| lost_run(*run_id)).collect();
        Some(link_frame::LinkFrame::LostRuns(losses))
    };
    assert_eq!(to_peer.new_losses(&node, "n2"), frame(&[]));
    assert_eq!(to_peer.new_losses(&node, "n2"), None);
    let now = time::Duration::from_secs(1);
    node.loss_news().push(lost_run(1), None, now);
    node.loss_news()
        .push(lost_run(2), Some(&Arc::from("n3")), now);
    assert_eq!(to_peer.new_losses(&node, "n2"), frame(&[1]));
    node.set_pool_status(link_frame::PeerStatus {
        held_servers: 2,
        shards: cuminkeel_dispatch::leadership::ShardSet::ALL,
        ..link_frame::PeerStatus::default()
    });
    node.loss_news()
        .push(lost_run(3), Some(&Arc::from("n2")), now);
    assert_eq!(to_peer.new_losses(&node, "n2"), frame(&[2]));
    assert_eq!(to_peer.new_losses(&node, "n2"), None);
}

/// Guards against a frame that grows with the number of losses, and against losses that are left out of it
/// for good.
#[test]
fn many_losses_are_sent_in_several_frames() {
    let mut news = loss_news::LossNews::default();
    for run_id in 0..1_200 {
        news.push(lost_run(run_id), None, time::Duration::ZERO);
    }
    let mut position = loss_news::NewsPosition::default();
    let mut sent = Vec::new();
    let mut frame_count = 0;
    loop {
        let losses = news.next_losses(&mut position, "n2", true);
        if losses.is_empty() {
            break;
        }
        frame_count += 1;
        sent.extend(losses.into_iter().map(|lost_run| lost_run.run_id));
    }
    assert_eq!(frame_count, 3);
    assert!(sent.into_iter().eq(0..1_200));
}

/// Guards against a cost of the losses that grows unnoticed: each goes to all processes.
#[test]
fn loss_frame_is_small() {
    let mut buffer = Vec::new();
    let loss = crash_ledger::LostRun {
        server: Arc::from("i-48aa677580"),
        incarnation: 1_796_387_065_686,
        ..lost_run(1)
    };
    let frame = link_frame::LinkFrame::LostRuns(vec![loss; 2]);
    link_frame::encode_frame(&frame, &mut buffer).expect("frame should be encoded");
    assert_eq!(buffer.len(), 91);
}

/// A release that does not know the end closes the connection when it reads it.
#[test]
fn end_for_crashed_servers_is_replaced_for_an_earlier_release() {
    let end = |reason| link_frame::LinkFrame::End {
        submission_id: 1,
        end: job_model::JobEnd::Failed(reason),
    };
    let crashed = job_model::FailureReason::ServersCrashed;
    let release = link_frame::PeerRelease::default();
    let job_end = job_model::JobEnd::Failed(crashed);
    let exhausted = job_model::FailureReason::AttemptsExhausted;
    assert_eq!(release.end_frame(1, job_end.clone()), end(exhausted));
    release.record_frame(&link_frame::LinkFrame::LostRuns(Vec::new()));
    assert_eq!(release.end_frame(1, job_end), end(crashed));
}

/// Guards against a crash that is taken for silence.
#[tokio::test]
async fn hold_of_a_server_that_accepts_no_connections_is_refused() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port should be free");
    let address: Arc<str> = listener
        .local_addr()
        .expect("the listener has an address")
        .to_string()
        .into();
    drop(listener);
    let id: Arc<str> = Arc::from("s1");
    let client = server_client::ServerClient::new(&id, &address);
    let order = server_model::HoldOrder {
        number: 0,
        server: id,
        address,
        token: 1,
        acknowledged_end_sequence: 0,
        lease_expiry_ms: None,
        wait: time::Duration::ZERO,
        fresh_connection: true,
        pause: time::Duration::ZERO,
    };
    let outcome = client.hold(&order, time::Duration::from_secs(1)).await;
    assert_eq!(outcome, server_model::HoldOutcome::Refused);
}

/// Guards against emulated servers that obey a process of another test, which knows their address from a server that was
/// there before.
#[tokio::test(flavor = "multi_thread")]
async fn emulated_server_rejects_orders_for_another_server() {
    let server = platform_emulator::emulated_server::EmulatedServer::start("s1", "north", 16_000)
        .await
        .expect("server should start");
    let order = server_model::HoldOrder {
        number: 0,
        server: Arc::from("s2"),
        address: server.address(),
        token: 1,
        acknowledged_end_sequence: 0,
        lease_expiry_ms: None,
        wait: time::Duration::ZERO,
        fresh_connection: true,
        pause: time::Duration::ZERO,
    };
    let client = server_client::ServerClient::new(&order.server, &order.address);
    let outcome = client.hold(&order, time::Duration::from_secs(1)).await;
    assert_eq!(outcome, server_model::HoldOutcome::OtherServer);
}
