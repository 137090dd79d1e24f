//! Load tests through processes in threads of this program, on loopback.

use std::{fs, path, time};

use cuminkeel::load_test;
use cuminkeel_node::explain;
use cuminkeel_replay::replay_report;

/// Duration for which jobs arrive.
const ARRIVAL_DURATION: time::Duration = time::Duration::from_secs(2);

fn plan(name: &str) -> load_test::LoadTestPlan {
    load_test::LoadTestPlan {
        pattern: replay_report::draw_named(name, 1, 1).expect("the load pattern exists"),
        seed: 1,
        process_count: 3,
        arrival_duration: ARRIVAL_DURATION,
        kill_leader_at: None,
        log_directory: None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn load_test_completes_jobs_and_writes_logs_for_explain() {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("load-logs");
    // Log files are appended to, so files of an earlier run are removed; there may be none.
    let _none = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("the log directory is created");
    let plan = load_test::LoadTestPlan {
        log_directory: Some(directory.clone()),
        ..plan("ordinary second")
    };
    let result = load_test::run(&plan).await.expect("the load test runs");
    assert_eq!(result.violations, []);
    let jobs: usize = result.classes.iter().map(|row| row.jobs).sum();
    let completed: usize = result
        .classes
        .iter()
        .map(|row| row.in_time + row.late)
        .sum();
    assert!(jobs > 50, "expected more than 50 jobs, got {jobs}");
    assert!(completed > 0, "expected completed jobs: {result:?}");
    assert!(result.render_table().contains("0 invariant violations"));
    let files: Vec<path::PathBuf> = (1..=3)
        .map(|number| directory.join(format!("entry-{number}.log")))
        .collect();
    let lines = explain::explain("0000000000000000", &files).expect("the log files are readable");
    let table = explain::render_table(&lines);
    assert!(
        table.contains("answered"),
        "expected an answer of the first job: {table}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_loss_violates_no_invariant() {
    let plan = load_test::LoadTestPlan {
        kill_leader_at: Some(ARRIVAL_DURATION / 2),
        ..plan("ordinary second")
    };
    let result = load_test::run(&plan).await.expect("the load test runs");
    assert_eq!(result.violations, []);
}
