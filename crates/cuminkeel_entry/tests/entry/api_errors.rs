//! Malformed, oversized, slow and unauthorised requests get a typed error, run
//! nothing, and leave the entry serving.

use std::net;

use cuminkeel_standin::fleet;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::support;

const GOOD_TASK: &str =
    r#"{"class":"price","size_millicores":1,"declared_ms":1,"payload":"{\"work_ms\":1}"}"#;

fn good_body() -> String {
    format!(r#"{{"idempotent":true,"deadline_ms":5000,"tasks":[{GOOD_TASK}]}}"#)
}

fn request(headers: &str, body: &str) -> String {
    format!(
        "POST /v1/jobs HTTP/1.1\r\nhost: entry\r\ncontent-type: application/json\r\n\
         connection: close\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn authorized(body: &str) -> String {
    request(
        &format!("authorization: Bearer {}\r\n", support::API_KEY),
        body,
    )
}

/// Sends bytes, closes the sending half, and reads the whole answer.
async fn exchange(entry: net::SocketAddr, sent: &str, half_close: bool) -> (u16, String) {
    let mut stream = tokio::net::TcpStream::connect(entry)
        .await
        .expect("the entry listens");
    stream
        .write_all(sent.as_bytes())
        .await
        .expect("the entry reads");
    if half_close {
        stream.shutdown().await.expect("the socket is open");
    }
    let mut answer = Vec::new();
    // A reset after the answer is as good as a close.
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or(0);
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or("").to_owned();
    (status, body)
}

fn assert_refused(case: &str, answer: &(u16, String), status: u16, code: &str, detail: &str) {
    let (got, body) = answer;
    assert_eq!(*got, status, "{case}: {body}");
    let body: serde_json::Value = serde_json::from_str(body)
        .unwrap_or_else(|failure| panic!("{case}: not JSON ({failure}): {body}"));
    assert_eq!(body["code"], code, "{case}: {body}");
    assert_eq!(body["ran"], "not_run", "{case}: {body}");
    let text = body["detail"].as_str().unwrap_or("");
    assert!(text.contains(detail), "{case}: {text}");
}

async fn assert_serves(site: &fleet::LoopbackSite) {
    let (status, body) = exchange(site.entries[0].api, &authorized(&good_body()), false).await;
    assert_eq!(status, 200, "{body}");
}

/// Name, request, status, code, and a part of the detail.
type CaseRow = (&'static str, String, u16, &'static str, &'static str);

fn key_cases() -> Vec<CaseRow> {
    let good = good_body();
    let key = format!("authorization: Bearer {}\r\n", support::API_KEY);
    vec![
        (
            "no key",
            request("", &good),
            401,
            "unauthorized",
            "exactly one header",
        ),
        (
            "wrong key",
            request("authorization: Bearer wrong\r\n", &good),
            401,
            "unauthorized",
            "matches no customer",
        ),
        (
            "wrong scheme",
            request("authorization: Basic abc\r\n", &good),
            401,
            "unauthorized",
            "Bearer KEY",
        ),
        (
            "two keys",
            request(&format!("{key}{key}"), &good),
            401,
            "unauthorized",
            "exactly one header",
        ),
        (
            "key missing",
            authorized(&good.replacen("true", "false", 1)),
            400,
            "key_required",
            "",
        ),
        (
            "key forged",
            authorized(&good.replacen("true", "false,\"submission_key\":\"abc\"", 1)),
            400,
            "key_invalid",
            "",
        ),
    ]
}

fn body_cases() -> Vec<CaseRow> {
    let good = good_body();
    vec![
        (
            "malformed JSON",
            authorized("{\"tasks\": ["),
            400,
            "bad_request",
            "unable to parse JSON body",
        ),
        (
            "not an object",
            authorized("7"),
            400,
            "bad_request",
            "unable to parse JSON body",
        ),
        (
            "unknown field",
            authorized(&good.replacen("idempotent", "idempotentt", 1)),
            400,
            "bad_request",
            "unknown field",
        ),
        (
            "unknown task field",
            authorized(&good.replacen("declared_ms", "declared", 1)),
            400,
            "bad_request",
            "unknown field",
        ),
        (
            "wrong type",
            authorized(&good.replacen("5000", "\"soon\"", 1)),
            400,
            "bad_request",
            "deadline_ms",
        ),
        (
            "other content type",
            authorized(&good).replacen("application/json", "text/plain", 1),
            400,
            "bad_request",
            "unsupported content-type",
        ),
        (
            "oversized body",
            authorized(&"x".repeat(5 * 1024 * 1024)),
            400,
            "bad_request",
            "exceeded maximum size",
        ),
    ]
}

fn job_cases() -> Vec<CaseRow> {
    let good = good_body();
    let many = vec![GOOD_TASK; 851].join(",");
    vec![
        (
            "no tasks",
            authorized(r#"{"idempotent":true,"deadline_ms":5000,"tasks":[]}"#),
            400,
            "bad_request",
            "tasks must hold 1 to 850",
        ),
        (
            "too many tasks",
            authorized(&format!(
                r#"{{"idempotent":true,"deadline_ms":5000,"tasks":[{many}]}}"#
            )),
            400,
            "bad_request",
            "not 851",
        ),
        (
            "no deadline",
            authorized(&good.replacen("5000", "0", 1)),
            400,
            "bad_request",
            "deadline_ms must be",
        ),
        (
            "empty class",
            authorized(&good.replacen("price", "", 1)),
            400,
            "bad_request",
            "tasks[0].class",
        ),
        (
            "zero size",
            authorized(&good.replacen("\"size_millicores\":1", "\"size_millicores\":0", 1)),
            400,
            "bad_request",
            "tasks[0].size_millicores",
        ),
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faulty_requests_get_typed_errors_and_run_nothing() {
    let site = support::start(support::site_plan(1)).await;
    let entry = site.entries[0].api;
    let cases = [key_cases(), body_cases(), job_cases()].concat();
    for (case, sent, status, code, detail) in cases {
        let answer = exchange(entry, &sent, false).await;
        assert_refused(case, &answer, status, code, detail);
    }
    assert_eq!(
        support::starts(&site),
        0,
        "a refused request started a task"
    );
    assert_serves(&site).await;
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_does_not_arrive_is_given_up() {
    let site = support::start(support::site_plan(1)).await;
    let entry = site.entries[0].api;
    let whole = authorized(&good_body());
    let half = &whole[..whole.len() - 10];
    let answer = exchange(entry, half, false).await;
    assert_refused(
        "slow sender",
        &answer,
        408,
        "bad_request",
        "did not arrive within",
    );
    let (status, _) = exchange(entry, half, true).await;
    assert!(
        status == 0 || status == 400,
        "a half-closed connection is answered or closed, not {status}"
    );
    assert_eq!(support::starts(&site), 0, "half a request started a task");
    assert_serves(&site).await;
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_hangs_up_does_not_cut_its_job() {
    let site = support::start(support::site_plan(1)).await;
    let body = good_body().replacen(r#"\"work_ms\":1"#, r#"\"work_ms\":200"#, 1);
    let mut stream = tokio::net::TcpStream::connect(site.entries[0].api)
        .await
        .expect("the entry listens");
    stream
        .write_all(authorized(&body).as_bytes())
        .await
        .expect("the entry reads");
    support::until(|| support::starts(&site) > 0).await;
    drop(stream);
    support::until(|| site.ledger.counts().answers > 0).await;
    assert_eq!(site.ledger.counts().stops, 0);
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_is_not_shown_to_another_customer() {
    let mut plan = support::site_plan(2);
    plan.customers.push(fleet::SiteCustomer {
        name: "rival".into(),
        api_key: "key of rival".into(),
        ..plan.customers[0].clone()
    });
    let site = support::start(plan).await;
    let limit = std::time::Duration::from_secs(10);
    let owner = fleet::JobCaller::new(support::API_KEY);
    let mut submission = support::submission(2, 100, None);
    submission.wait = false;
    let submitted = owner.submit(site.entries[0].api, &submission, limit).await;
    let Ok(fleet::JobResult::Answered(body)) = submitted else {
        panic!("not accepted: {submitted:?}");
    };
    let job = body
        .job
        .expect("a job that was not awaited has an identity");
    let wait = std::time::Duration::from_secs(5);
    for entry in site.api_addresses() {
        let rival = fleet::JobCaller::new("key of rival");
        let seen = rival.fetch(entry, &job, wait, limit).await;
        assert!(
            matches!(&seen, Ok(fleet::JobResult::Refused(body)) if body.code == "not_found"),
            "{seen:?}"
        );
        let cancelled = rival.cancel(entry, &job, limit).await;
        assert!(matches!(cancelled, Ok(false)), "{cancelled:?}");
        let fetched = owner.fetch(entry, &job, wait, limit).await;
        let Ok(fleet::JobResult::Answered(body)) = fetched else {
            panic!("not fetched: {fetched:?}");
        };
        assert_eq!(body.outputs.map(|outputs| outputs.len()), Some(2));
    }
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_before_the_key_was_looked_at_is_unknown() {
    let site = support::start(support::site_plan(1)).await;
    let keyed = r#"false,"submission_key":"abc""#;
    let body = good_body().replacen("true", keyed, 1);
    let cases = [
        (
            "wrong key",
            request("authorization: Bearer wrong\r\n", &body),
            "unauthorized",
        ),
        (
            "no tasks",
            authorized(&body.replacen(GOOD_TASK, "", 1)),
            "bad_request",
        ),
    ];
    for (case, sent, code) in cases {
        let (_, answer) = exchange(site.entries[0].api, &sent, false).await;
        let answer: serde_json::Value = serde_json::from_str(&answer).expect("a typed answer");
        assert_eq!(answer["code"], code, "{case}: {answer}");
        assert_eq!(answer["ran"], "unknown", "{case}: {answer}");
    }
    site.stop().await;
}
