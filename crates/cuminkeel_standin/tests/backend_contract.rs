//! The backend contract against the stand-in, with its faults switched on one
//! by one: what a client sees and what the ledger holds.

use std::{net, sync, time};

use cuminkeel_standin::backend::{self, faults::BackendFault, ledger, wire};
use http_body_util::BodyExt;
use hyper_util::{client::legacy, rt};

const PATIENCE: time::Duration = time::Duration::from_secs(30);
const SILENCE: time::Duration = time::Duration::from_millis(300);
const LONG_WORK_MILLIS: u64 = 600_000;

type RequestBody = http_body_util::Full<bytes::Bytes>;

#[derive(Clone, Debug, Eq, PartialEq)]
enum Seen {
    Done,
    Crossed,
    Refused(wire::RefusalReason),
    Failure(wire::FailureReason),
    Malformed,
    Broken,
    Refusing,
    Silent,
}

struct Caller {
    client: legacy::Client<legacy::connect::HttpConnector, RequestBody>,
}

impl Caller {
    fn new() -> Self {
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self { client }
    }

    async fn send(
        &self,
        method: &str,
        address: net::SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(http::StatusCode, Vec<u8>), Seen> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(RequestBody::from(body))
            .expect("a request");
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                Seen::Refusing
            } else {
                Seen::Broken
            }
        })?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|_| Seen::Broken)?.to_bytes().to_vec();
        Ok((status, body))
    }

    async fn submit(&self, address: net::SocketAddr, task: &str, payload: &str) -> Seen {
        let body = wire::TaskBody {
            task: task.into(),
            class: "price".into(),
            size_millicores: 500,
            time_left_ms: 1_000,
            payload: payload.into(),
        };
        self.submit_body(address, &body, PATIENCE).await
    }

    async fn submit_body(
        &self,
        address: net::SocketAddr,
        body: &wire::TaskBody,
        patience: time::Duration,
    ) -> Seen {
        let bytes = serde_json::to_vec(body).expect("json");
        let exchange = self.send("POST", address, "/v1/tasks", bytes);
        match tokio::time::timeout(patience, exchange).await {
            Err(_) => Seen::Silent,
            Ok(Err(seen)) => seen,
            Ok(Ok((status, answer))) => seen_answer(status, &answer, body),
        }
    }
}

fn seen_answer(status: http::StatusCode, answer: &[u8], body: &wire::TaskBody) -> Seen {
    match status.as_u16() {
        200 => match serde_json::from_slice::<wire::DoneBody>(answer) {
            Ok(done) if done.task != body.task => Seen::Crossed,
            Ok(done) => {
                let digest = wire::payload_digest(&body.payload);
                assert_eq!(wire::output_digest(&done.output), digest);
                Seen::Done
            }
            Err(_) => Seen::Malformed,
        },
        503 => Seen::Refused(
            serde_json::from_slice::<wire::RefusalBody>(answer)
                .expect("503")
                .reason,
        ),
        409 | 500 => Seen::Failure(
            serde_json::from_slice::<wire::FailureBody>(answer)
                .expect("5xx")
                .reason,
        ),
        other => panic!("status {other}"),
    }
}

fn start(
    settings: backend::BackendSettings,
) -> (backend::BackendStandin, sync::Arc<ledger::StartLedger>) {
    let ledger = sync::Arc::<ledger::StartLedger>::default();
    let server = backend::BackendStandin::start(settings, ledger.clone()).expect("a free port");
    (server, ledger)
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

fn work(millis: u64) -> String {
    format!("{{\"work_ms\": {millis}, \"output_bytes\": 4}}")
}

/// Name, fault, what the client sees, tasks started.
type FaultCase = (&'static str, Option<BackendFault>, Seen, usize);

fn fault_cases() -> Vec<FaultCase> {
    let refuse = |reason| BackendFault::Refuse(reason);
    let late = BackendFault::AnswerLate {
        delay: time::Duration::from_millis(5),
    };
    vec![
        ("none", None, Seen::Done, 1),
        (
            "fail all",
            Some(BackendFault::FailAll),
            Seen::Failure(wire::FailureReason::Failed),
            1,
        ),
        (
            "slow",
            Some(BackendFault::Slow { factor: 3.0 }),
            Seen::Done,
            1,
        ),
        (
            "reset before read",
            Some(BackendFault::ResetBeforeRead),
            Seen::Broken,
            0,
        ),
        (
            "reset while reading",
            Some(BackendFault::ResetWhileReading),
            Seen::Broken,
            0,
        ),
        (
            "reset after read",
            Some(BackendFault::ResetAfterRead),
            Seen::Broken,
            0,
        ),
        (
            "reset after start",
            Some(BackendFault::ResetAfterStart),
            Seen::Broken,
            1,
        ),
        (
            "full",
            Some(refuse(wire::RefusalReason::SlotsFull)),
            Seen::Refused(wire::RefusalReason::SlotsFull),
            0,
        ),
        (
            "leaving",
            Some(refuse(wire::RefusalReason::Leaving)),
            Seen::Refused(wire::RefusalReason::Leaving),
            0,
        ),
        (
            "large",
            Some(refuse(wire::RefusalReason::TooLarge)),
            Seen::Refused(wire::RefusalReason::TooLarge),
            0,
        ),
        ("late", Some(late), Seen::Done, 1),
        ("twice", Some(BackendFault::AnswerTwice), Seen::Done, 1),
        (
            "crossed",
            Some(BackendFault::AnswerCrossed),
            Seen::Crossed,
            1,
        ),
        (
            "malformed",
            Some(BackendFault::AnswerMalformed),
            Seen::Malformed,
            1,
        ),
    ]
}

#[tokio::test]
async fn each_fault_is_seen_and_the_ledger_holds_the_truth() {
    for (name, fault, expected, starts) in fault_cases() {
        for reused in [false, true] {
            let (server, ledger) = start(backend::BackendSettings::default());
            let caller = Caller::new();
            if reused {
                assert_eq!(
                    caller.submit(server.address(), "before", &work(0)).await,
                    Seen::Done
                );
            }
            let before = ledger.starts().len();
            server.set_fault(fault, 1);
            let seen = caller.submit(server.address(), "task", &work(1)).await;
            assert_eq!(seen, expected, "{name}, reused {reused}");
            assert_eq!(
                ledger.starts().len() - before,
                starts,
                "{name}, reused {reused}"
            );
            server.set_fault(None, 1);
            let next = caller.submit(server.address(), "next", &work(0)).await;
            let garbled = name == "twice" && next == Seen::Broken;
            assert!(
                next == Seen::Done || garbled,
                "{name}, reused {reused}: {next:?}"
            );
            assert_eq!(
                ledger.duplicate_tasks(),
                Vec::<sync::Arc<str>>::new(),
                "{name}"
            );
        }
    }
}

#[tokio::test]
async fn a_silent_server_never_answers() {
    let cases = [
        ("without a start", BackendFault::SilentWithoutStart, 0),
        ("after the start", BackendFault::SilentAfterStart, 1),
    ];
    for (name, fault, starts) in cases {
        let (server, ledger) = start(backend::BackendSettings::default());
        server.set_fault(Some(fault), 1);
        let body = wire::TaskBody {
            task: "task".into(),
            class: "price".into(),
            size_millicores: 500,
            time_left_ms: 1_000,
            payload: work(0).into(),
        };
        let seen = Caller::new()
            .submit_body(server.address(), &body, SILENCE)
            .await;
        assert_eq!(seen, Seen::Silent, "{name}");
        until(|| ledger.counts().requests == 1).await;
        assert_eq!(ledger.starts().len(), starts, "{name}");
    }
}

#[tokio::test]
async fn full_slots_refuse_and_a_stop_frees_them() {
    let settings = backend::BackendSettings {
        slots: 1,
        ..backend::BackendSettings::default()
    };
    let (server, ledger) = start(settings);
    let address = server.address();
    let long = tokio::spawn(async move {
        Caller::new()
            .submit(address, "long", &work(LONG_WORK_MILLIS))
            .await
    });
    until(|| server.busy_slots() == 1).await;
    let caller = Caller::new();
    let full = Seen::Refused(wire::RefusalReason::SlotsFull);
    assert_eq!(caller.submit(address, "second", &work(0)).await, full);
    for task in ["long", "unknown"] {
        let path = format!("/v1/tasks/{task}");
        let stopped = caller.send("DELETE", address, &path, Vec::new()).await;
        assert_eq!(stopped.expect("up").0, http::StatusCode::NO_CONTENT);
    }
    let stopped = Seen::Failure(wire::FailureReason::Stopped);
    assert_eq!(long.await.expect("joined"), stopped);
    assert_eq!(caller.submit(address, "third", &work(0)).await, Seen::Done);
    let counts = ledger.counts();
    assert_eq!(
        (
            counts.requests,
            counts.answers,
            counts.refused_full,
            counts.stops
        ),
        (3, 2, 1, 2)
    );
    assert_eq!(counts.wasted_messages(), 6);
    assert_eq!(ledger.starts()[0].ending, ledger::StartEnding::Stopped);
}

#[tokio::test]
async fn a_second_task_of_the_same_identity_is_a_duplicate() {
    let (server, ledger) = start(backend::BackendSettings::default());
    let caller = Caller::new();
    assert_eq!(
        caller.submit(server.address(), "task", &work(0)).await,
        Seen::Done
    );
    let duplicate = Seen::Failure(wire::FailureReason::Duplicate);
    assert_eq!(
        caller.submit(server.address(), "task", &work(0)).await,
        duplicate
    );
    assert_eq!((ledger.starts().len(), ledger.counts().duplicates), (1, 1));
}

#[tokio::test]
async fn a_leaving_server_finishes_what_it_started() {
    let (server, _ledger) = start(backend::BackendSettings::default());
    let address = server.address();
    let running =
        tokio::spawn(async move { Caller::new().submit(address, "first", &work(200)).await });
    until(|| server.busy_slots() == 1).await;
    server.set_leaving(true);
    let leaving = Seen::Refused(wire::RefusalReason::Leaving);
    assert_eq!(
        Caller::new().submit(address, "second", &work(0)).await,
        leaving
    );
    assert_eq!(running.await.expect("joined"), Seen::Done);
}

#[tokio::test]
async fn a_dead_server_refuses_connections_until_it_is_revived() {
    let (server, ledger) = start(backend::BackendSettings::default());
    let address = server.address();
    let running = tokio::spawn(async move {
        Caller::new()
            .submit(address, "first", &work(LONG_WORK_MILLIS))
            .await
    });
    until(|| server.busy_slots() == 1).await;
    server.die();
    assert_eq!(running.await.expect("joined"), Seen::Broken);
    assert_eq!(
        Caller::new().submit(address, "second", &work(0)).await,
        Seen::Refusing
    );
    assert_eq!(ledger.starts()[0].ending, ledger::StartEnding::Dropped);
    server.revive().expect("the port is free");
    assert_eq!(
        Caller::new().submit(address, "first", &work(0)).await,
        Seen::Done
    );
    assert_eq!(
        ledger.duplicate_tasks(),
        ["first".into()],
        "seen over all servers"
    );
}

#[tokio::test]
async fn a_run_goes_on_when_the_client_hangs_up() {
    let (server, ledger) = start(backend::BackendSettings::default());
    let address = server.address();
    let client =
        tokio::spawn(async move { Caller::new().submit(address, "task", &work(100)).await });
    until(|| server.busy_slots() == 1).await;
    client.abort();
    until(|| server.busy_slots() == 0).await;
    assert_eq!(ledger.starts()[0].ending, ledger::StartEnding::Done);
}

#[tokio::test]
async fn connections_over_the_limit_are_reset() {
    let settings = backend::BackendSettings {
        max_connections: 1,
        ..backend::BackendSettings::default()
    };
    let (server, _ledger) = start(settings);
    let first = Caller::new();
    assert_eq!(
        first.submit(server.address(), "first", &work(0)).await,
        Seen::Done
    );
    assert_eq!(
        Caller::new()
            .submit(server.address(), "second", &work(0))
            .await,
        Seen::Broken
    );
    assert_eq!(server.connection_peak(), (1, 1));
}

#[tokio::test]
async fn payloads_decide_the_run() {
    let (server, ledger) = start(backend::BackendSettings {
        slowness: 2.0,
        ..backend::BackendSettings::default()
    });
    let caller = Caller::new();
    let failed = Seen::Failure(wire::FailureReason::Failed);
    let cases = [
        ("fails", "{\"fail\": true}", failed.clone()),
        ("no json", "glue", failed),
        ("slow", "{\"work_ms\": 20}", Seen::Done),
        ("unknown fields", "{\"colour\": \"red\"}", Seen::Done),
    ];
    for (name, payload, expected) in cases {
        assert_eq!(
            caller.submit(server.address(), name, payload).await,
            expected,
            "{name}"
        );
    }
    let slow = &ledger.starts()[2];
    let run = slow.ended.expect("ended").saturating_sub(slow.started);
    assert!(run >= time::Duration::from_millis(40), "{run:?}");
}

#[tokio::test]
async fn a_fault_strikes_only_each_nth_task() {
    let (server, _ledger) = start(backend::BackendSettings::default());
    server.set_fault(Some(BackendFault::FailAll), 2);
    let caller = Caller::new();
    let mut seen = Vec::new();
    for number in 0..4 {
        seen.push(
            caller
                .submit(server.address(), &format!("t{number}"), &work(0))
                .await,
        );
    }
    let failed = Seen::Failure(wire::FailureReason::Failed);
    assert_eq!(seen, [Seen::Done, failed.clone(), Seen::Done, failed]);
}
