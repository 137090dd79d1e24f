//! Tests that the cause of a failure or a delay is found from the log lines of the request.

use std::{fs, path::PathBuf};

use cuminkeel_node::{explain, request_cause};
use cuminkeel_replay::fake_server;

use crate::test_platform;

/// Returns the cause of request `id` as found from the logs of `nodes`.
fn cause_from_logs(
    test: &str,
    id: &str,
    nodes: &[&test_platform::TestNode],
) -> request_cause::RequestCause {
    let log_dir = std::env::temp_dir().join(format!("cuminkeel-{test}-{}", std::process::id()));
    fs::create_dir_all(&log_dir).expect("log directory should be created");
    let log_files: Vec<PathBuf> = nodes
        .iter()
        .map(|node| {
            let path = log_dir.join(format!("{}.log", node.settings.node_name));
            fs::write(&path, node.take_log()).expect("log file should be written");
            path
        })
        .collect();
    let lines = explain::explain(id, &log_files).expect("log files should be read");
    fs::remove_dir_all(&log_dir).expect("log directory should be removed");
    println!("{}", explain::render_table(&lines));
    request_cause::find_cause(&lines)
}

#[tokio::test(flavor = "multi_thread")]
async fn cause_of_a_refusal_is_the_queue_length_of_the_pool() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    platform.write_config_with_target(2, test_platform::PREFIX, 50);
    let leader = platform.start_ready_node("n1", "north").await;
    let standby = platform.start_ready_node("n2", "north").await;
    let filling_job = leader.submit("00000000000000a1", "1500", 32);
    let refused_job = async {
        test_platform::wait_until("all capacity of the domain to be in use", async || {
            platform.started_tasks().len() == 32
        })
        .await;
        standby.submit("00000000000000a2", "100", 1).await
    };
    let (filling_answer, refused_answer) = tokio::join!(filling_job, refused_job);
    assert_eq!((filling_answer.0, refused_answer.0), (200, 503));
    assert_eq!(
        cause_from_logs("refusal", "00000000000000a2", &[&leader, &standby]),
        request_cause::RequestCause::Refused {
            node: String::from("n1"),
            reason: String::from("queue_too_long"),
        }
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn cause_after_the_loss_of_the_leader_is_its_lost_pool() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut leader = platform.start_ready_node("n1", "north").await;
    let standby = platform.start_ready_node("n2", "north").await;
    let job = standby.submit("00000000000000b1", "600", 4);
    let leader_loss = async {
        test_platform::wait_until("four runs to start", async || {
            platform.started_tasks().len() == 4
        })
        .await;
        leader.kill();
    };
    let ((status, _), ()) = tokio::join!(job, leader_loss);
    assert_eq!(status, 200);
    assert_eq!(
        cause_from_logs("leader", "00000000000000b1", &[&leader, &standby]),
        request_cause::RequestCause::PoolLost {
            pool: String::from("n1"),
        }
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn cause_after_the_loss_of_a_server_is_its_incomplete_run() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let leader = platform.start_ready_node("n1", "north").await;
    let job = leader.submit("00000000000000c1", "1200", 1);
    let server_loss = async {
        test_platform::wait_until("a run to start", async || {
            platform.started_tasks().len() == 1
        })
        .await;
        let server = platform
            .servers
            .iter()
            .find(|server| !server.started_runs().is_empty())
            .expect("one server should run the task");
        server.set_mode(fake_server::ServerMode::Unreachable);
    };
    let ((status, _), ()) = tokio::join!(job, server_loss);
    assert_eq!(status, 200);
    let found = cause_from_logs("server", "00000000000000c1", &[&leader]);
    let request_cause::RequestCause::RunIncomplete {
        server, outcome, ..
    } = found
    else {
        panic!("expected an incomplete run as the cause, got: {found}");
    };
    assert!(
        server.starts_with("north-server-"),
        "expected a server of the north, got {server}"
    );
    assert_eq!(outcome, "lapsed");
}

const ANSWERED: &str = r#"{"msg":"answered","node":"n1","outcome":"completed"}"#;

/// Name of each case, its log lines, and the start of the cause that is found in them.
const CAUSE_CASES: [(&str, &[&str], &str); 20] = [
    (
        "no log line",
        &[],
        "no log line shows that a process received the request",
    ),
    (
        "no answer logged",
        &[r#"{"msg":"received","node":"n1"}"#],
        "the process on n1 received the request and logged no answer",
    ),
    (
        "no leader",
        &[
            r#"{"msg":"received","node":"n1"}"#,
            r#"{"msg":"answered","node":"n1","outcome":"Refused { reason: NoPool }"}"#,
        ],
        "refused by n1: Refused { reason: NoPool }",
    ),
    (
        "run elsewhere because of an evacuation",
        &[
            r#"{"msg":"refused","outcome":"evacuated","node":"n2"}"#,
            r#"{"msg":"run_ended","outcome":"done","server":"s1","elapsed_ms":900,"expected_ms":300}"#,
            ANSWERED,
        ],
        "refused or ended by n2 because its failure domain was evacuated; answer or last refusal: completed",
    ),
    (
        "ended because of an evacuation",
        &[
            r#"{"msg":"placed","outcome":"ordered","wait_ms":5}"#,
            r#"{"msg":"job_ended","outcome":"evacuated","node":"n2"}"#,
            r#"{"msg":"run_ended","outcome":"stopped","server":"s1"}"#,
            r#"{"msg":"answered","node":"n1","outcome":"Failed(OutOfTime)"}"#,
        ],
        "refused or ended by n2 because its failure domain was evacuated; answer or last refusal: Failed(OutOfTime)",
    ),
    (
        "refused by all pools during an evacuation, without the log of the evacuated one",
        &[
            r#"{"msg":"offered","node":"n1","pool":"n2","outcome":"Some(Refused { reason: Evacuated, retry_after: 1s })"}"#,
            r#"{"msg":"refused","outcome":"queue_too_long","node":"n3"}"#,
            r#"{"msg":"answered","node":"n1","outcome":"Refused { reason: QueueTooLong }"}"#,
        ],
        "refused or ended by n2 because its failure domain was evacuated; answer or last refusal: queue_too_long",
    ),
    (
        "slow server",
        &[
            r#"{"msg":"run_ended","outcome":"done","server":"s1","elapsed_ms":900,"expected_ms":300}"#,
            ANSWERED,
        ],
        "a run on s1 took 900 ms instead of the expected 300 ms",
    ),
    (
        "task placed late",
        &[
            r#"{"msg":"placed","outcome":"ordered","wait_ms":500}"#,
            r#"{"msg":"run_ended","outcome":"done","elapsed_ms":300,"expected_ms":300}"#,
            ANSWERED,
        ],
        "a task was placed 500 ms after the job arrived, longer than any run took",
    ),
    (
        "out of time before any task was placed",
        &[
            r#"{"msg":"queued","outcome":"accepted","node":"n2"}"#,
            r#"{"msg":"job_ended","outcome":"out_of_time","node":"n2"}"#,
            r#"{"msg":"answered","node":"n1","outcome":"Failed(OutOfTime)"}"#,
        ],
        "none of its tasks was placed on a server before n2 ended the job as out_of_time",
    ),
    (
        "out of time without a pool",
        &[
            r#"{"msg":"received","node":"n1"}"#,
            r#"{"msg":"answered","node":"n1","outcome":"Failed(OutOfTime)"}"#,
        ],
        "none of its tasks was placed on a server before n1 ended the job as Failed(OutOfTime)",
    ),
    (
        "out of time with a run in progress",
        &[
            r#"{"msg":"placed","outcome":"ordered","wait_ms":5}"#,
            r#"{"msg":"placed","outcome":"ordered","wait_ms":5}"#,
            r#"{"msg":"run_ended","outcome":"done","elapsed_ms":300,"expected_ms":300}"#,
            r#"{"msg":"job_ended","outcome":"out_of_time","node":"n2"}"#,
            r#"{"msg":"answered","node":"n1","outcome":"Failed(OutOfTime)"}"#,
        ],
        "n2 ended the job as out_of_time while 1 of its runs went on",
    ),
    (
        "withdrawn after all runs",
        &[
            r#"{"msg":"placed","outcome":"ordered","wait_ms":5}"#,
            r#"{"msg":"run_ended","outcome":"done","elapsed_ms":300,"expected_ms":300}"#,
            r#"{"msg":"answered","node":"n1","outcome":"Failed(Withdrawn)"}"#,
        ],
        "n1 ended the job as Failed(Withdrawn), and no log line shows why",
    ),
    (
        "second run of a task during the first",
        &[
            r#"{"msg":"received","request":"a","node":"n1"}"#,
            r#"{"msg":"placed","outcome":"ordered","request":"a.0.0.0","server":"s1","node":"n1"}"#,
            r#"{"msg":"received","request":"a","node":"n2"}"#,
            r#"{"msg":"placed","outcome":"ordered","request":"a.0.0.0","server":"s2","node":"n2","unreported":1}"#,
            r#"{"msg":"run_ended","outcome":"done","request":"a.0.0.0","server":"s1","node":"n2"}"#,
            ANSWERED,
        ],
        "no log line shows that the run of a.0.0.0 on s1 ended before n2 placed it on s2 0 ms later; servers whose runs it did not know: 1; copies of the request received: 2; start allowed by: ordered; stop of the first run: not ordered",
    ),
    (
        "second run of a task after a stop of the first that got no response",
        &[
            r#"{"msg":"placed","outcome":"servers_reported","request":"a.0.0.0","server":"s1","node":"n1"}"#,
            r#"{"msg":"stopping","outcome":"job_ended","request":"a.0.0.0","server":"s1","node":"n1"}"#,
            r#"{"msg":"stop_unconfirmed","outcome":"unanswered","request":"a.0.0.0","server":"s1","node":"n1"}"#,
            r#"{"msg":"placed","outcome":"leases_expired","request":"a.0.0.0","server":"s2","node":"n2","unreported":1}"#,
            ANSWERED,
        ],
        "no log line shows that the run of a.0.0.0 on s1 ended before n2 placed it on s2 0 ms later; servers whose runs it did not know: 1; copies of the request received: 0; start allowed by: leases_expired; stop of the first run: unconfirmed",
    ),
    (
        "second run of a task after a stop of the first, and a failed stop of another run",
        &[
            r#"{"msg":"stop_unconfirmed","outcome":"unanswered","request":"a.0.0.0","server":"s1","node":"n1"}"#,
            r#"{"msg":"placed","outcome":"servers_reported","request":"a.0.0.0","server":"s1","node":"n1"}"#,
            r#"{"msg":"stopping","outcome":"job_ended","request":"a.0.0.0","server":"s1","node":"n1"}"#,
            r#"{"msg":"stop_unconfirmed","outcome":"unanswered","request":"a.0.0.1","server":"s1","node":"n1"}"#,
            r#"{"msg":"placed","outcome":"servers_reported","request":"a.0.0.0","server":"s2","node":"n2"}"#,
            r#"{"msg":"stop_unconfirmed","outcome":"still_running","request":"a.0.0.0","server":"s1","node":"n1"}"#,
            ANSWERED,
        ],
        "no log line shows that the run of a.0.0.0 on s1 ended before n2 placed it on s2 0 ms later; servers whose runs it did not know: 0; copies of the request received: 0; start allowed by: servers_reported; stop of the first run: ordered",
    ),
    (
        "second run of a task after the first, and a run of another task",
        &[
            r#"{"msg":"placed","outcome":"ordered","request":"a.0.0.0","server":"s1"}"#,
            r#"{"msg":"placed","outcome":"ordered","request":"a.0.0.1","server":"s2"}"#,
            r#"{"msg":"run_ended","outcome":"failed","request":"a.0.0.0","server":"s1"}"#,
            r#"{"msg":"placed","outcome":"ordered","request":"a.0.0.0","server":"s2"}"#,
            ANSWERED,
        ],
        "a run on s1 ended with outcome failed",
    ),
    (
        "second run of a task after a rejected start",
        &[
            r#"{"msg":"placed","outcome":"ordered","request":"a.0.0.0","server":"s1"}"#,
            r#"{"msg":"start_denied","outcome":"unhealthy_or_full","request":"a.0.0.0","server":"s1"}"#,
            r#"{"msg":"placed","outcome":"ordered","request":"a.0.0.0","server":"s2"}"#,
            r#"{"msg":"run_ended","outcome":"done","request":"a.0.0.0","server":"s2"}"#,
            ANSWERED,
        ],
        "no log line shows a loss or a delay",
    ),
    (
        "second run of a task after its end on a third server",
        &[
            r#"{"msg":"placed","outcome":"ordered","request":"a.0.0.0","server":"s1","node":"n1"}"#,
            r#"{"msg":"run_ended","outcome":"lapsed","request":"a.0.0.0","server":"s3","node":"n1"}"#,
            r#"{"msg":"placed","outcome":"ordered","request":"a.0.0.0","server":"s2","node":"n2"}"#,
            ANSWERED,
        ],
        "no log line shows that the run of a.0.0.0 on s1 ended before n2 placed it on s2",
    ),
    (
        "given up after crashes, with a run that was lost beside",
        &[
            r#"{"msg":"placed","outcome":"ordered","request":"a.0.0.0","server":"s1"}"#,
            r#"{"msg":"run_lost","outcome":"refused","request":"a.0.0.0","server":"s1","losses":1}"#,
            r#"{"msg":"run_ended","outcome":"lapsed","request":"a.0.0.0","server":"s1","elapsed_ms":930}"#,
            r#"{"msg":"placed","outcome":"ordered","request":"a.0.0.0","server":"s2"}"#,
            r#"{"msg":"run_lost","outcome":"refused","request":"a.0.0.0","server":"s2","losses":2}"#,
            r#"{"msg":"run_ended","outcome":"lapsed","request":"a.0.0.0","server":"s2","elapsed_ms":930}"#,
            r#"{"msg":"job_ended","outcome":"servers_crashed","request":"a","node":"n2"}"#,
            r#"{"msg":"answered","node":"n1","outcome":"Failed(ServersCrashed)"}"#,
        ],
        "given up by n2, as servers crashed under one of its tasks: s1, s2",
    ),
    (
        "nothing unusual",
        &[
            r#"{"msg":"placed","outcome":"ordered","wait_ms":5}"#,
            r#"{"msg":"run_ended","outcome":"done","elapsed_ms":300,"expected_ms":300}"#,
            ANSWERED,
        ],
        "no log line shows a loss or a delay",
    ),
];

#[test]
fn each_pattern_of_log_lines_has_its_cause() {
    let parse_line = |text: &str| {
        let fields: serde_json::Value =
            serde_json::from_str(text).expect("log line should be JSON");
        let text = |key: &str| fields[key].as_str().unwrap_or_default().to_owned();
        explain::ExplainedLine {
            at_ms: 0,
            node: text("node"),
            message: text("msg"),
            outcome: text("outcome"),
            fields: fields.clone(),
        }
    };
    for (name, texts, expected) in CAUSE_CASES {
        let lines: Vec<explain::ExplainedLine> =
            texts.iter().map(|text| parse_line(text)).collect();
        let found = request_cause::find_cause(&lines).to_string();
        assert!(found.starts_with(expected), "{name}: {found}");
    }
}
