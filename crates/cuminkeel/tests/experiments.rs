//! Load runs through real processes.

use std::{fs, path, time};

use cuminkeel::load_test;
use cuminkeel_node::explain;
use cuminkeel_replay::replay_report;

/// How long jobs arrive.
const LENGTH: time::Duration = time::Duration::from_secs(2);

fn plan(name: &str) -> load_test::LoadTestPlan {
    let pattern = replay_report::worst_pattern_specs(1)
        .into_iter()
        .find(|pattern| pattern.name == name)
        .expect("a pattern");
    load_test::LoadTestPlan {
        pattern,
        process_count: 3,
        arrival_duration: LENGTH,
        kill_leader_at: None,
        log_directory: None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_pattern_runs_through_processes_and_leaves_their_logs() {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("load-logs");
    // Logs of an earlier run would be appended to; there may be none.
    let _none = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("a directory");
    let plan = load_test::LoadTestPlan {
        log_directory: Some(directory.clone()),
        ..plan("ordinary second")
    };
    let result = load_test::run(&plan).await.expect("a result");
    assert_eq!(result.violations, []);
    let jobs: usize = result.classes.iter().map(|row| row.jobs).sum();
    let completed: usize = result
        .classes
        .iter()
        .map(|row| row.in_time + row.late)
        .sum();
    assert!(jobs > 50, "{jobs} jobs");
    assert!(completed > 0, "{result:?}");
    assert!(result.render_table().contains("0 promises broken"));
    let files: Vec<path::PathBuf> = (1..=3)
        .map(|number| directory.join(format!("entry-{number}.log")))
        .collect();
    let lines = explain::explain("0000000000000000", &files).expect("logs");
    let way = explain::render_table(&lines);
    assert!(way.contains("answered"), "{way}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_the_leader_breaks_no_promise() {
    let plan = load_test::LoadTestPlan {
        kill_leader_at: Some(LENGTH / 2),
        ..plan("ordinary second")
    };
    let result = load_test::run(&plan).await.expect("a result");
    assert_eq!(result.violations, []);
}
