//! Failures made on purpose, and their causes as found from the log lines by id.

use std::{fs, path::PathBuf};

use cuminkeel_node::{explain, request_cause};
use cuminkeel_replay::fake_server;

use crate::test_platform;

/// The cause of the request `id` by the lines that `nodes` have logged.
fn cause(test: &str, id: &str, nodes: &[&test_platform::TestNode]) -> request_cause::RequestCause {
    let folder = std::env::temp_dir().join(format!("cuminkeel-{test}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let files: Vec<PathBuf> = nodes
        .iter()
        .map(|node| {
            let path = folder.join(format!("{}.log", node.settings.node_name));
            fs::write(&path, node.take_log()).expect("a log file");
            path
        })
        .collect();
    let lines = explain::explain(id, &files).expect("lines");
    fs::remove_dir_all(&folder).expect("the folder");
    println!("{}", explain::render_table(&lines));
    request_cause::find_cause(&lines)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_is_traced_to_the_full_queue_of_a_pool() {
    let site = test_platform::TestSite::start(&["north"]).await;
    site.configure_target(2, test_platform::PREFIX, 50);
    let leader = site.ready_node("n1", "north").await;
    let other = site.ready_node("n2", "north").await;
    let filling = leader.submit("00000000000000a1", "1500", 32);
    let beside = async {
        test_platform::eventually("a full domain", async || site.started_tasks().len() == 32).await;
        other.submit("00000000000000a2", "100", 1).await
    };
    let (filling, refused) = tokio::join!(filling, beside);
    assert_eq!((filling.0, refused.0), (200, 503));
    assert_eq!(
        cause("refusal", "00000000000000a2", &[&leader, &other]),
        request_cause::RequestCause::Refused {
            node: String::from("n1"),
            reason: String::from("queue_too_long"),
        }
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_is_traced_to_the_loss_of_its_leader() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let mut leader = site.ready_node("n1", "north").await;
    let other = site.ready_node("n2", "north").await;
    let job = other.submit("00000000000000b1", "600", 4);
    let loss = async {
        test_platform::eventually("four starts", async || site.started_tasks().len() == 4).await;
        leader.kill();
    };
    let ((status, _), ()) = tokio::join!(job, loss);
    assert_eq!(status, 200);
    assert_eq!(
        cause("leader", "00000000000000b1", &[&leader, &other]),
        request_cause::RequestCause::PoolLost {
            pool: String::from("n1"),
        }
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_is_traced_to_the_server_that_was_cut_off() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let leader = site.ready_node("n1", "north").await;
    let job = leader.submit("00000000000000c1", "1200", 1);
    let cut = async {
        test_platform::eventually("a start", async || site.started_tasks().len() == 1).await;
        let server = site
            .servers
            .iter()
            .find(|server| !server.started_runs().is_empty())
            .expect("the server that runs it");
        server.set_mode(fake_server::ServerMode::Unreachable);
    };
    let ((status, _), ()) = tokio::join!(job, cut);
    assert_eq!(status, 200);
    let found = cause("server", "00000000000000c1", &[&leader]);
    let request_cause::RequestCause::RunIncomplete { server, end, .. } = found else {
        panic!("{found}");
    };
    assert!(server.starts_with("north-server-"), "{server}");
    assert_eq!(end, "lapsed");
}

#[test]
fn causes_are_found_by_table() {
    let line = |text: &str| {
        let fields: serde_json::Value = serde_json::from_str(text).expect("a line");
        let text = |key: &str| fields[key].as_str().unwrap_or_default().to_owned();
        explain::ExplainedLine {
            at_ms: 0,
            node: text("node"),
            message: text("msg"),
            outcome: text("outcome"),
            fields: fields.clone(),
        }
    };
    let answered = r#"{"msg":"answered","node":"n1","outcome":"completed"}"#;
    let cases: [(&str, &[&str], &str); 6] = [
        ("no line", &[], "no process wrote a line"),
        (
            "no answer",
            &[r#"{"msg":"received","node":"n1"}"#],
            "n1 took it and wrote no answer",
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
            "a slow server",
            &[
                r#"{"msg":"run_ended","outcome":"done","server":"s1","elapsed_ms":900,"expected_ms":300}"#,
                answered,
            ],
            "a run on s1 took 900 ms where 300 were expected",
        ),
        (
            "a full pool",
            &[
                r#"{"msg":"placed","outcome":"ordered","wait_ms":500}"#,
                r#"{"msg":"run_ended","outcome":"done","elapsed_ms":300,"expected_ms":300}"#,
                answered,
            ],
            "it waited 500 ms for room",
        ),
        (
            "nothing",
            &[
                r#"{"msg":"placed","outcome":"ordered","wait_ms":5}"#,
                r#"{"msg":"run_ended","outcome":"done","elapsed_ms":300,"expected_ms":300}"#,
                answered,
            ],
            "served without a hitch",
        ),
    ];
    for (name, texts, expected) in cases {
        let lines: Vec<explain::ExplainedLine> = texts.iter().map(|text| line(text)).collect();
        let found = request_cause::find_cause(&lines).to_string();
        assert!(found.starts_with(expected), "{name}: {found}");
    }
}
