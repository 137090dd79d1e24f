//! Tests of the log buffer and of `explain`.

use std::{fs, path::PathBuf, sync::Arc};

use cuminkeel_node::{explain, node_tuning, process_log};
use cuminkeel_replay::fake_server;

use crate::test_platform;

/// More log lines than the buffer holds: 100 times those of one second at the usual load of a
/// leader (50 jobs and 300 decisions on their tasks, one line each).
const OVERLOAD_LINES: u64 = 35_000;
/// Maximum size of the unwritten lines: the capacity of the buffer and one line.
const MAX_BUFFERED_BYTES: usize = 2 * 1024 * 1024 + 1024;

fn logger(buffer: &Arc<process_log::LogBuffer>) -> slog::Logger {
    process_log::buffered_logger(buffer, &Arc::from("n1"))
}

fn take_lines(buffer: &process_log::LogBuffer) -> Vec<serde_json::Value> {
    String::from_utf8(buffer.take_lines())
        .expect("log should be UTF-8")
        .lines()
        .map(|line| serde_json::from_str(line).expect("each line should be JSON"))
        .collect()
}

#[test]
fn line_has_times_message_and_fields() {
    let buffer = Arc::new(process_log::LogBuffer::default());
    slog::info!(logger(&buffer), "refused"; "request" => "a1", "queued" => 3);
    let lines = take_lines(&buffer);
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["msg"], "refused");
    assert_eq!(lines[0]["node"], "n1");
    assert_eq!(lines[0]["request"], "a1");
    assert_eq!(lines[0]["queued"], 3);
    assert!(lines[0]["at_ms"].is_u64() && lines[0]["t_ms"].is_u64());
}

// While standard output is closed or blocked, lines on routine decisions must neither exhaust the
// memory nor displace lines on failures.
#[test]
fn full_buffer_keeps_failures_and_counts_dropped_lines() {
    let buffer = Arc::new(process_log::LogBuffer::default());
    let logger = logger(&buffer);
    for number in 0..OVERLOAD_LINES {
        slog::debug!(logger, "placed"; "request" => number, "outcome" => "ordered", "expected_ms" => 60);
    }
    slog::info!(logger, "refused"; "request" => "the one that failed");
    let bytes = buffer.take_lines();
    assert!(
        bytes.len() <= MAX_BUFFERED_BYTES,
        "expected at most {MAX_BUFFERED_BYTES} bytes, got {}",
        bytes.len()
    );
    let text = String::from_utf8(bytes).expect("log should be UTF-8");
    assert!(text.contains("the one that failed"));
    assert!(
        text.contains("lines_dropped"),
        "dropped lines should be counted"
    );
}

#[test]
fn lines_below_the_configured_level_are_not_logged() {
    let tuning = node_tuning::NodeTuning {
        log_level: node_tuning::LogLevel::Info,
        ..node_tuning::NodeTuning::default()
    };
    let buffer = Arc::new(process_log::LogBuffer::new(&tuning));
    let logger = logger(&buffer);
    slog::debug!(logger, "placed");
    slog::info!(logger, "refused");
    let lines = take_lines(&buffer);
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["msg"], "refused");
}

/// The lines must tell apart a second start by a pool that did not know all runs, one of a job that
/// was offered as new, and one under an earlier claim.
#[tokio::test(flavor = "multi_thread")]
async fn lines_of_a_start_have_its_epoch_and_what_the_pool_knew() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    assert_eq!(node.submit("00000000000000a1", "20", 1).await.0, 200);
    let log = String::from_utf8(node.take_log()).expect("log should be UTF-8");
    let line = |message: &str| -> serde_json::Value {
        log.lines()
            .map(|line| serde_json::from_str(line).expect("each line should be JSON"))
            .find(|line: &serde_json::Value| line["msg"] == message)
            .unwrap_or_else(|| panic!("no line {message}"))
    };
    assert_eq!(line("received")["request"], "00000000000000a1");
    assert_eq!(line("queued")["may_have_started"], 0);
    assert_eq!(line("placed")["outcome"], "servers_reported");
    assert_eq!(line("placed")["unreported"], 0);
    assert!(line("placed")["epoch"].as_u64() >= line("claiming")["epoch"].as_u64());
    assert_eq!(line("leadership")["leads"], true);
}

/// Returns the first line of `node` with `message` once there is one.
async fn wait_for_line(node: &test_platform::TestNode, message: &str) -> serde_json::Value {
    let mut found = None;
    test_platform::wait_until("the log line", async || {
        let log = String::from_utf8(node.take_log()).expect("log should be UTF-8");
        found = log
            .lines()
            .map(|line| serde_json::from_str(line).expect("each line should be JSON"))
            .find(|line: &serde_json::Value| line["msg"] == message);
        found.is_some()
    })
    .await;
    found.expect("the line was found")
}

/// A job that its pool drops because the process that sent it was lost must not look like one whose caller left.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_after_a_lost_connection_names_the_peer() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let leader = platform.start_ready_node("n1", "north").await;
    let mut standby = platform.start_ready_node("n2", "north").await;
    let caller_settings = standby.settings.clone();
    let loss = async {
        test_platform::wait_until("a run to start", async || {
            platform.started_tasks().len() == 1
        })
        .await;
        standby.kill();
    };
    let caller = test_platform::submit_from_caller(&caller_settings, "00000000000000d1", "6000");
    let ((status, _), ()) = tokio::join!(caller, loss);
    assert_eq!(status, 0);
    let line = wait_for_line(&leader, "orphan_withdrawn").await;
    assert_eq!(line["request"], "00000000000000d1");
    assert_eq!(line["peer"], "n2");
    assert_eq!(line["jobs"], 1);
    assert!(line["silent_ms"].as_u64() >= Some(500), "{line}");
    assert_eq!(
        leader.gauge_value("orphaned_jobs_withdrawn_total").await,
        Some(1)
    );
}

/// Without the line, nothing shows when the pool of a job was told that its caller had left.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_for_a_caller_that_left_names_the_pool() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let _leader = platform.start_ready_node("n1", "north").await;
    let standby = platform.start_ready_node("n2", "north").await;
    let start = test_platform::wait_until("a run to start", async || {
        platform.started_tasks().len() == 1
    });
    tokio::select! {
        _ = standby.submit("00000000000000d2", "6000", 1) => panic!("the job should still run"),
        () = start => {}
    }
    let line = wait_for_line(&standby, "withdrawn").await;
    assert_eq!(line["request"], "00000000000000d2");
    assert_eq!(line["pool"], "n1");
    assert!(line["offered_for_ms"].is_u64() && line["age_ms"].is_u64());
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_to_a_job_that_ran_out_of_time_names_its_pool() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    for server in &platform.servers {
        server.set_mode(fake_server::ServerMode::Slow(100.0));
    }
    let _leader = platform.start_ready_node("n1", "north").await;
    let standby = platform.start_ready_node("n2", "north").await;
    let (status, _) = standby
        .submit_without_deadline("00000000000000d3", "200", 1)
        .await;
    assert_eq!(status, 504);
    let line = wait_for_line(&standby, "answered").await;
    assert_eq!(line["outcome"], "Failed(OutOfTime)");
    assert_eq!(line["pool"], "n1");
}

struct LogFile(PathBuf);

impl Drop for LogFile {
    fn drop(&mut self) {
        // A file that can't be removed does not affect other tests.
        let _removed = fs::remove_file(&self.0);
    }
}

fn write_log_file(name: &str, text: &str) -> LogFile {
    let path = std::env::temp_dir().join(format!("{name}-{}.log", std::process::id()));
    fs::write(&path, text).expect("log file should be written");
    LogFile(path)
}

#[test]
fn explain_merges_the_lines_of_a_request_from_all_files_by_time() {
    let first = write_log_file(
        "explain-first",
        concat!(
            r#"{"at_ms":5,"node":"n1","msg":"received","request":"aa"}"#,
            "\nno object at all\n",
            r#"{"at_ms":30,"node":"n1","msg":"answered","request":"aa","outcome":"refused"}"#,
            "\n",
            r#"{"at_ms":9,"node":"n1","msg":"received","request":"aab"}"#,
        ),
    );
    let second = write_log_file(
        "explain-second",
        concat!(
            r#"  12.25 n2 {"at_ms":20,"node":"n2","msg":"placed","request":"aa.0.0.1","server":"s1","wait_ms":15}"#,
            "\n",
        ),
    );
    let lines = explain::explain("aa", &[first.0.clone(), second.0.clone()])
        .expect("log files should be read");
    let messages: Vec<&str> = lines.iter().map(|line| &*line.message).collect();
    assert_eq!(messages, ["received", "placed", "answered"]);
    let table = explain::render_table(&lines);
    assert!(table.contains("aa.0.0.1 s1 wait_ms=15"), "{table}");
    let missing_file = explain::explain("aa", &[PathBuf::from("/nonexistent/log")]);
    assert!(
        missing_file
            .expect_err("a missing file should be an error")
            .to_string()
            .contains("/nonexistent/log")
    );
}
