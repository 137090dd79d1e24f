//! Tests of callers that send a further request before the answer to the one before.

use std::time;

use cuminkeel_dispatch::server_model;
use cuminkeel_replay::fake_server;
use platform_emulator::client_crowd;
use tokio::{io::AsyncWriteExt, net};

use crate::test_platform;

/// Time after which a caller whose connection broke sends its job again, to any process.
const RESEND_DELAY: time::Duration = time::Duration::from_millis(1_300);
const WORK_MS: u64 = 3_000;

/// How a caller leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LeavingWay {
    Resets,
    Closes,
    ClosesItsSide,
}

fn request(id: &str, work_ms: u64) -> String {
    let (host, prefix) = (test_platform::HOST, test_platform::PREFIX);
    let body = test_platform::job_body(&work_ms.to_string(), 1);
    let length = body.len();
    format!(
        "POST {prefix}{id} HTTP/1.1\r\nHost: {host}\r\nX-Cuminkeel-Deadline-Ms: 8000\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Lets a caller send a job and `further` bytes, as many as the connection takes, and leave while the job runs. Returns
/// the run, which must be the only one, and the time after which the caller may send the job again, from its start.
async fn leave_behind(further: &str, way: LeavingWay) -> (fake_server::RunRecord, time::Duration) {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let sent_at = time::Instant::now();
    let mut stream = net::TcpStream::connect(&*node.settings.caller_address)
        .await
        .expect("process should accept callers");
    let message = request("00000000000000f1", WORK_MS) + further;
    let sending = stream.write_all(message.as_bytes());
    // Without an end, as more may be sent than is received.
    let _unsent = tokio::time::timeout(time::Duration::from_millis(200), sending).await;
    test_platform::wait_until("the run to start", async || {
        platform.started_tasks().len() == 1
    })
    .await;
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    let mut kept = None;
    match way {
        LeavingWay::Resets => {
            stream.set_zero_linger().expect("connection is open");
            drop(stream);
        }
        LeavingWay::Closes => drop(stream),
        LeavingWay::ClosesItsSide => {
            stream.shutdown().await.expect("connection is open");
            kept = Some(stream);
        }
    }
    let bound = sent_at.elapsed() + RESEND_DELAY;
    test_platform::wait_until("the run to end", async || {
        platform.ended_runs_without_overlap().len() == 1
    })
    .await;
    drop(kept);
    assert_eq!(platform.started_tasks().len(), 1);
    (platform.ended_runs_without_overlap().remove(0), bound)
}

/// A job whose caller has gone must not run on while the caller sends it again elsewhere, whatever lies unread in the
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn job_of_a_caller_that_left_behind_a_further_request_ends_before_the_caller_returns() {
    let further = [
        String::new(),
        String::from("\r\n"),
        String::from("POST /orders/"),
        request("00000000000000f2", WORK_MS),
        request("00000000000000f2", WORK_MS).repeat(40),
    ];
    let ways = [
        LeavingWay::Resets,
        LeavingWay::Closes,
        LeavingWay::ClosesItsSide,
    ];
    for further in &further {
        for way in ways {
            let (run, bound) = leave_behind(further, way).await;
            let length = run.ended_at.saturating_sub(run.started_at);
            let shown = further.len();
            assert!(length < bound, "{way:?}, {shown} bytes behind: {length:?}");
            assert_ne!(run.end, Some(server_model::RunEnd::Done), "{way:?}");
        }
    }
}

/// The end of a connection that has more to send than the process receives lies behind what was not sent.
#[tokio::test(flavor = "multi_thread")]
async fn job_of_a_caller_that_left_behind_more_than_is_received_ends_before_the_caller_returns() {
    let further = request("00000000000000f2", WORK_MS).repeat(4_000);
    for way in [LeavingWay::Resets, LeavingWay::Closes] {
        let (run, bound) = leave_behind(&further, way).await;
        let length = run.ended_at.saturating_sub(run.started_at);
        assert!(length < bound, "{way:?}: {length:?}");
    }
}

/// Pipelined requests are served in turn, each answered behind the one before.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_are_sent_before_the_answer_to_the_one_before_are_served_in_turn() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let mut stream = net::TcpStream::connect(&*node.settings.caller_address)
        .await
        .expect("process should accept callers");
    let ids = ["00000000000000f1", "00000000000000f2", "00000000000000f3"];
    let message: String = ids.iter().map(|id| request(id, 100)).collect();
    stream
        .write_all(message.as_bytes())
        .await
        .expect("connection is open");
    for _ in ids {
        let status = client_crowd::read_status(&mut stream).await;
        assert_eq!(status, Some(200));
    }
    let started = platform.started_tasks();
    let tasks = ids.map(|id| format!("{id}.0.0.0"));
    assert_eq!(started, tasks);
}
