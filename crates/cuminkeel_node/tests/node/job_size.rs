//! Tests of jobs that are too large.

use crate::test_platform;

/// Guards against processes that are blocked, or exceed the memory of their VM, by jobs of few bytes that stand for
/// many tasks, starts or dependencies.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_that_exceed_a_limit_are_refused_for_good() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    // Bodies of up to 262,144 bytes, as on the users' deployments.
    platform.write_config_with_body_limit(2, 262_144);
    let node = platform.start_ready_node("n1", "north").await;
    let job = |payload: &str, steps: &str| {
        format!(r#"{{"spec":"{payload}","best_effort":true,"job_steps":[{steps}]}}"#)
    };
    let repeated = |step: &str, count: usize| vec![step; count].join(",");
    let dependent_steps: Vec<String> = (0..280)
        .map(|position: usize| {
            let earlier: Vec<String> = (0..position).map(|earlier| earlier.to_string()).collect();
            format!(r#"{{"depends_on":[{}]}}"#, earlier.join(","))
        })
        .collect();
    let wide_step = r#"{"count":60000,"cpu":1000,"mem_mb":64,"estimate_ms":60}"#;
    let cases = [
        (
            "millions of tasks",
            job("60", &repeated(wide_step, 40)),
            "too_many_tasks",
        ),
        (
            "one wide step",
            job("60", r#"{"count":65535}"#),
            "too_many_tasks",
        ),
        (
            "a count above all types",
            job("60", r#"{"count":18446744073709551615}"#),
            "too_many_tasks",
        ),
        (
            "steps of 850 tasks",
            job("60", &repeated(r#"{"count":850}"#, 40)),
            "too_many_tasks",
        ),
        (
            "empty steps",
            job("60", &repeated("{}", 80_000)),
            "too_many_tasks",
        ),
        (
            "dependencies",
            job("60", &dependent_steps.join(",")),
            "too_many_dependencies",
        ),
        (
            "a payload for each task",
            job(&"x".repeat(250_000), r#"{"count":850}"#),
            "payload_too_long",
        ),
    ];
    for (number, (name, body, reason)) in cases.iter().enumerate() {
        let path = format!("{}{number:016x}", test_platform::PREFIX);
        let (status, answer) = node.send("POST", &path, body).await;
        let expected = format!(r#"{{"error":"{reason}"}}"#);
        assert_eq!((status, &answer[..]), (503, expected.as_bytes()), "{name}");
        assert_eq!(
            node.submit("00000000000000ff", "10", 1).await.0,
            200,
            "{name}"
        );
    }
    assert!(
        platform
            .started_tasks()
            .iter()
            .all(|task| task.starts_with("00000000000000ff")),
        "no task of the refused jobs should have started"
    );
    let metrics = node.metrics_text().await;
    assert!(
        metrics.contains(r#"cuminkeel_turned_away_total{reason="too_many_tasks"} 5"#),
        "expected five rejections in the metrics: {metrics}"
    );
}

/// Guards against a limit below the target scale.
#[tokio::test(flavor = "multi_thread")]
async fn job_of_850_tasks_is_completed() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let body = r#"{"spec":"10","best_effort":true,"job_steps":[{"count":850,"cpu":1,"mem_mb":1,"estimate_ms":10}]}"#;
    let path = format!("{}00000000000000aa", test_platform::PREFIX);
    let (status, answer) = node.send("POST", &path, body).await;
    assert_eq!(
        (status, &answer[..]),
        (200, &br#"{"state":"completed"}"#[..])
    );
    let mut started = platform.started_tasks();
    started.sort_unstable();
    started.dedup();
    assert_eq!(started.len(), 850);
}

/// Guards against small calls that fail beside jobs of the largest size at the target scale, for which there is room: the
/// starts of such jobs, sent all at once, took longer than their timeouts, and the servers were claimed again.
#[tokio::test(flavor = "multi_thread")]
async fn small_calls_are_served_beside_jobs_of_850_tasks() {
    let platform = test_platform::TestPlatform::start_with_servers(&["north"], 4).await;
    let node = platform.start_ready_node("n1", "north").await;
    let body = r#"{"spec":"60","best_effort":true,"job_steps":[{"count":850,"cpu":1,"mem_mb":1,"estimate_ms":60}]}"#;
    let large_ids: Vec<String> = (1_000..1_005)
        .map(|number| format!("{number:016x}"))
        .collect();
    let large_calls = test_platform::submit_bodies_concurrently(&node, &large_ids, body);
    let small_calls = async {
        let mut statuses = Vec::new();
        for number in 0..40 {
            statuses.push(node.submit(&format!("{number:016x}"), "20", 1).await.0);
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        statuses
    };
    let (large_statuses, small_statuses) = tokio::join!(large_calls, small_calls);
    assert_eq!(
        (large_statuses, small_statuses),
        (vec![200; 5], vec![200; 40])
    );
}
