//! Tests of the HTTP interface for callers.

use crate::test_platform;

const JOB: &str = "00000000000000aa";

#[tokio::test(flavor = "multi_thread")]
async fn job_is_completed_after_its_tasks_have_run() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let (status, body) = node.submit(JOB, "30", 3).await;
    assert_eq!((status, &body[..]), (200, &br#"{"state":"completed"}"#[..]));
    let expected: Vec<String> = (0..3).map(|index| format!("{JOB}.0.0.{index}")).collect();
    assert_eq!(platform.started_tasks(), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn job_is_failed_after_two_failed_attempts_of_its_task() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let (status, body) = node.submit(JOB, "10!", 1).await;
    assert_eq!((status, &body[..]), (200, &br#"{"state":"failed"}"#[..]));
    assert_eq!(platform.started_tasks().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_run_no_job_get_the_expected_status() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let valid_body = test_platform::job_body("10", 1);
    let oversized_body = format!(r#"{{"spec":"{}"}}"#, "x".repeat(5_000));
    let stored_job = r#"{"spec":"1","job_steps":[{"count":1,"cpu":1}]}"#;
    let gang_job =
        r#"{"spec":"1","best_effort":true,"job_steps":[{"count":2,"cpu":1,"gang":true}]}"#;
    let forward_dependency =
        r#"{"best_effort":true,"job_steps":[{"count":1,"depends_on":[1]},{"count":1}]}"#;
    let unsuitable_job = r#"{"best_effort":true,"job_steps":[{"count":1,"cpu":999999}]}"#;
    let cases = [
        (
            "job on an unknown route",
            "POST",
            "/other/00000000000000aa",
            &*valid_body,
            404,
        ),
        ("job count of an unknown route", "GET", "/other/", "", 404),
        ("job count of a route", "GET", "/orders/", "", 200),
        (
            "state of an unknown job",
            "GET",
            "/orders/00000000000000aa",
            "",
            410,
        ),
        (
            "cancellation of an unknown job",
            "DELETE",
            "/orders/00000000000000aa",
            "",
            410,
        ),
        (
            "id with too few digits",
            "POST",
            "/orders/aa",
            &*valid_body,
            400,
        ),
        (
            "id that is not hexadecimal",
            "POST",
            "/orders/00000000000000zz",
            &*valid_body,
            400,
        ),
        (
            "body that is not JSON",
            "POST",
            "/orders/00000000000000a1",
            "{",
            400,
        ),
        (
            "body above the size limit",
            "POST",
            "/orders/00000000000000a2",
            &*oversized_body,
            400,
        ),
        (
            "job to be stored, as it is not marked `best_effort`",
            "POST",
            "/orders/00000000000000a3",
            stored_job,
            503,
        ),
        (
            "gang step",
            "POST",
            "/orders/00000000000000a4",
            gang_job,
            503,
        ),
        (
            "step that depends on a later step",
            "POST",
            "/orders/00000000000000a5",
            forward_dependency,
            503,
        ),
        (
            "task that no server can run",
            "POST",
            "/orders/00000000000000a6",
            unsuitable_job,
            503,
        ),
    ];
    for (name, method, path, body, expected) in cases {
        let (status, _) = node.send(method, path, body).await;
        assert_eq!(status, expected, "{name}");
    }
    assert_eq!(
        platform.started_tasks(),
        [""; 0],
        "no task of these jobs should have started"
    );
}

/// The route's time limit is 1.5 s.
#[tokio::test(flavor = "multi_thread")]
async fn time_limit_of_the_route_holds_for_callers_without_a_deadline() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let (limited, unlimited) = tokio::join!(
        node.submit_without_deadline("00000000000000f1", "1900", 1),
        node.submit("00000000000000f2", "1900", 1),
    );
    assert_eq!((limited.0, unlimited.0), (504, 200));
}

#[tokio::test(flavor = "multi_thread")]
async fn unconfigured_process_is_not_ready_and_rejects_jobs() {
    let platform = test_platform::TestPlatform::start_unconfigured(&["north"]).await;
    let node = test_platform::TestNode::start(platform.node_settings("n1", "north"));
    test_platform::wait_until("process to listen", async || {
        node.submit(JOB, "10", 1).await.0 == 503
    })
    .await;
    assert_eq!(node.readiness_status().await, 503);
    platform.write_config(1, test_platform::PREFIX);
    node.wait_until_ready().await;
    assert_eq!(node.submit(JOB, "10", 1).await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_answers() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    node.submit(JOB, "10", 1).await;
    let text = node.metrics_text().await;
    assert!(
        text.contains(r#"cuminkeel_answers_total{route="orders",outcome="completed"} 1"#),
        "expected one completed answer in the metrics: {text}"
    );
}

/// Returns a request for a job of one task, as its headers and its body.
fn raw_request(id: &str, payload: &str, deadline_ms: u64) -> (String, String) {
    let body = test_platform::job_body(payload, 1);
    let head = format!(
        "POST {}{id} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\nX-Cuminkeel-Deadline-Ms: {deadline_ms}\r\n\r\n",
        test_platform::PREFIX,
        test_platform::HOST,
        body.len()
    );
    (head, body)
}

/// Reads from `stream` until the process closes it or sends nothing for a second.
async fn read_answers(stream: &mut tokio::net::TcpStream) -> String {
    let mut answers = Vec::new();
    let mut buffer = [0; 4_096];
    let limit = std::time::Duration::from_secs(1);
    while let Ok(Ok(length @ 1..)) =
        tokio::time::timeout(limit, tokio::io::AsyncReadExt::read(stream, &mut buffer)).await
    {
        answers.extend_from_slice(&buffer[..length]);
    }
    String::from_utf8(answers).expect("answers should be UTF-8")
}

/// Guards against tasks of requests whose bodies come after the deadline, which callers count from their headers.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_body_comes_after_its_deadline_starts_no_task() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let (head, body) = raw_request(JOB, "10", 300);
    let mut stream = tokio::net::TcpStream::connect(&*node.settings.caller_address)
        .await
        .expect("process should accept callers");
    tokio::io::AsyncWriteExt::write_all(&mut stream, head.as_bytes())
        .await
        .expect("headers should be sent");
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    tokio::io::AsyncWriteExt::write_all(&mut stream, body.as_bytes())
        .await
        .expect("body should be sent");
    let answers = read_answers(&mut stream).await.to_lowercase();
    assert!(answers.starts_with("http/1.1 503"), "{answers}");
    assert!(answers.contains("retry-after: 1\r\n"), "{answers}");
    assert_eq!(platform.started_tasks(), [""; 0]);
}

/// Guards against tasks of requests that lay behind another one of their connection until their deadline had passed.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_request_that_waits_beyond_its_deadline_starts_no_task() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let (first_head, first_body) = raw_request(JOB, "700", 1_500);
    let (second_head, second_body) = raw_request("00000000000000ab", "10", 400);
    for parts in [
        vec![format!(
            "{first_head}{first_body}{second_head}{second_body}"
        )],
        vec![
            format!("{first_head}{first_body}"),
            format!("{second_head}{second_body}"),
        ],
    ] {
        let mut stream = tokio::net::TcpStream::connect(&*node.settings.caller_address)
            .await
            .expect("process should accept callers");
        for part in parts {
            tokio::io::AsyncWriteExt::write_all(&mut stream, part.as_bytes())
                .await
                .expect("requests should be sent");
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        let answers = read_answers(&mut stream).await;
        let statuses: Vec<&str> = answers
            .match_indices("HTTP/1.1 ")
            .filter_map(|(at, prefix)| answers.get(at + prefix.len()..at + prefix.len() + 3))
            .collect();
        assert_eq!(statuses, ["200", "503"], "{answers}");
    }
    let started = platform.started_tasks();
    assert!(
        started.iter().all(|task| task.starts_with(JOB)),
        "{started:?}"
    );
}

/// Guards against requests on open connections that count as old because the connection was idle, also if the body of the
/// request before came in a read of its own.
#[tokio::test(flavor = "multi_thread")]
async fn request_on_a_connection_that_was_idle_is_served() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let mut stream = tokio::net::TcpStream::connect(&*node.settings.caller_address)
        .await
        .expect("process should accept callers");
    for number in 0..4 {
        let (head, body) = raw_request(&format!("{number:016x}"), "10", 300);
        for part in [head, body] {
            tokio::io::AsyncWriteExt::write_all(&mut stream, part.as_bytes())
                .await
                .expect("request should be sent");
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        // Waits for a second after the answer.
        let answers = read_answers(&mut stream).await;
        assert!(answers.starts_with("HTTP/1.1 200"), "{number}: {answers}");
    }
}
