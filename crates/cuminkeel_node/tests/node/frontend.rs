//! What callers see.

use crate::test_platform;

const JOB: &str = "00000000000000aa";

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_answered_when_it_is_done() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let node = site.ready_node("n1", "north").await;
    let (status, body) = node.submit(JOB, "30", 3).await;
    assert_eq!((status, &body[..]), (200, &br#"{"state":"completed"}"#[..]));
    let expected: Vec<String> = (0..3).map(|index| format!("{JOB}.0.0.{index}")).collect();
    assert_eq!(site.started_tasks(), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_task_always_fails_is_shown_as_failed() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let node = site.ready_node("n1", "north").await;
    let (status, body) = node.submit(JOB, "10!", 1).await;
    assert_eq!((status, &body[..]), (200, &br#"{"state":"failed"}"#[..]));
    assert_eq!(site.started_tasks().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_are_answered_by_table() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let node = site.ready_node("n1", "north").await;
    let job = test_platform::job_body("10", 1);
    let long = format!(r#"{{"spec":"{}"}}"#, "x".repeat(5_000));
    let stored = r#"{"spec":"1","job_steps":[{"count":1,"cpu":1}]}"#;
    let gang = r#"{"spec":"1","best_effort":true,"job_steps":[{"count":2,"cpu":1,"gang":true}]}"#;
    let later = r#"{"best_effort":true,"job_steps":[{"count":1,"depends_on":[1]},{"count":1}]}"#;
    let huge = r#"{"best_effort":true,"job_steps":[{"count":1,"cpu":999999}]}"#;
    let cases = [
        (
            "an unknown route",
            "POST",
            "/other/00000000000000aa",
            &*job,
            404,
        ),
        ("an unknown count", "GET", "/other/", "", 404),
        ("a count", "GET", "/orders/", "", 200),
        ("an unknown job", "GET", "/orders/00000000000000aa", "", 410),
        (
            "a cancel of an unknown job",
            "DELETE",
            "/orders/00000000000000aa",
            "",
            410,
        ),
        ("a short id", "POST", "/orders/aa", &*job, 400),
        (
            "an id that is no number",
            "POST",
            "/orders/00000000000000zz",
            &*job,
            400,
        ),
        ("no JSON", "POST", "/orders/00000000000000a1", "{", 400),
        (
            "a body over the limit",
            "POST",
            "/orders/00000000000000a2",
            &*long,
            400,
        ),
        (
            "a stored job",
            "POST",
            "/orders/00000000000000a3",
            stored,
            503,
        ),
        ("a gang", "POST", "/orders/00000000000000a4", gang, 503),
        (
            "a step that depends on a later one",
            "POST",
            "/orders/00000000000000a5",
            later,
            503,
        ),
        (
            "a task that fits nowhere",
            "POST",
            "/orders/00000000000000a6",
            huge,
            503,
        ),
    ];
    for (name, method, path, body, expected) in cases {
        let (status, _) = node.call(method, path, body).await;
        assert_eq!(status, expected, "{name}");
    }
    assert_eq!(site.started_tasks(), [""; 0], "nothing of these ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_configuration_a_process_is_not_ready_and_refuses() {
    let site = test_platform::TestSite::unconfigured(&["north"]).await;
    let node = test_platform::TestNode::start(site.settings("n1", "north"));
    test_platform::eventually("a listener", async || {
        node.submit(JOB, "10", 1).await.0 == 503
    })
    .await;
    assert_eq!(node.readiness().await, 503);
    site.configure(1, test_platform::PREFIX);
    node.ready().await;
    assert_eq!(node.submit(JOB, "10", 1).await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_counters_are_served() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let node = site.ready_node("n1", "north").await;
    node.submit(JOB, "10", 1).await;
    let text = node.metrics().await;
    assert!(
        text.contains(r#"cuminkeel_answers_total{route="orders",outcome="completed"} 1"#),
        "{text}"
    );
}
