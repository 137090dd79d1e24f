//! Requests that reach a process while it is frozen.

use std::time;

use platform_emulator::emulated_server;
use rustix::process::Signal;
use tokio::{io::AsyncReadExt, io::AsyncWriteExt, net};

use crate::{callers, parameters, run_lock, site};

/// Time that callers wait for an answer.
const DEADLINE: time::Duration = time::Duration::from_millis(1_500);
/// Number of requests of each kind that are sent to each process.
const ROUNDS: usize = 4;

/// What the caller does while the process is frozen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallerBehaviour {
    /// It closes its connection before its deadline.
    Leaves,
    /// It leaves its connection open, as a balancer may, and the process goes on after its deadline.
    StaysBeyondDeadline,
}

fn request(id: &str) -> String {
    let body = r#"{"spec":"300:1000","best_effort":true,"job_steps":[{"count":1,"cpu":1000,"mem_mb":1,"estimate_ms":300}]}"#;
    format!(
        "POST {}{id} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\nX-Cuminkeel-Deadline-Ms: {}\r\n\r\n{body}",
        site::ROUTE_PREFIX,
        site::ROUTE_HOST,
        body.len(),
        DEADLINE.as_millis()
    )
}

/// Sends a request to a frozen process, and returns the start of its answer, which is empty without one.
async fn call_frozen_process(
    node: &site::SoakNode,
    id: &str,
    behaviour: CallerBehaviour,
) -> String {
    node.signal(Signal::STOP);
    let mut stream = net::TcpStream::connect(&*node.caller_address)
        .await
        .expect("kernel should accept the connection");
    stream
        .write_all(request(id).as_bytes())
        .await
        .expect("kernel should take the request");
    let mut answer = vec![0; 1_024];
    let length = match behaviour {
        CallerBehaviour::Leaves => {
            tokio::time::sleep(time::Duration::from_millis(100)).await;
            drop(stream);
            tokio::time::sleep(time::Duration::from_millis(100)).await;
            node.signal(Signal::CONT);
            0
        }
        CallerBehaviour::StaysBeyondDeadline => {
            tokio::time::sleep(DEADLINE + time::Duration::from_millis(100)).await;
            node.signal(Signal::CONT);
            let read = tokio::time::timeout(DEADLINE, stream.read(&mut answer)).await;
            read.expect("process should answer")
                .expect("answer should be read")
        }
    };
    answer.truncate(length);
    String::from_utf8(answer).expect("answer should be UTF-8")
}

/// Guards against tasks of requests that a frozen process reads after their callers have left or their deadlines have
/// passed: the callers may have their jobs run elsewhere by then.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_a_frozen_process_reads_late_start_no_task() {
    let _run = run_lock().await;
    let site = site::SoakSite::start(&parameters::SoakParameters::of_one_domain()).await;
    assert!(callers::all_nodes_serve(&site).await);
    let mut ids = Vec::new();
    for round in 0..ROUNDS {
        for (node, number) in site.nodes.iter().zip(0..) {
            for behaviour in [
                CallerBehaviour::Leaves,
                CallerBehaviour::StaysBeyondDeadline,
            ] {
                let id = format!("{round:08x}{number:04x}{:04x}", behaviour as u8);
                let answer = call_frozen_process(node, &id, behaviour).await;
                let expected = match behaviour {
                    CallerBehaviour::Leaves => "",
                    CallerBehaviour::StaysBeyondDeadline => "HTTP/1.1 503",
                };
                assert!(
                    answer.starts_with(expected),
                    "round {round}, process {number}, {behaviour:?}: {answer}"
                );
                ids.push(id);
            }
            assert!(callers::all_nodes_serve(&site).await);
        }
    }
    let started: Vec<(String, u64)> = site
        .servers
        .iter()
        .flat_map(emulated_server::EmulatedServer::started_runs)
        .filter(|(task, _)| ids.iter().any(|id| task.starts_with(&**id)))
        .collect();
    if !started.is_empty() {
        site.keep_logs();
    }
    assert!(started.is_empty(), "tasks started: {started:?}");
}
