//! Callers that keep their connections open until the process is gone.

use std::{sync::Arc, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{net, sync::watch, task};

use crate::site;

/// Callers of each process.
const CALLERS: u64 = 3;
/// Time that a caller waits for an answer.
const PATIENCE: time::Duration = time::Duration::from_secs(4);
/// Longest time for all processes to serve again after the faults.
const RECOVERY_TIME: time::Duration = time::Duration::from_secs(30);

/// A call and its answer.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Id of the job.
    pub job: String,
    /// Tasks of the job.
    pub tasks: u16,
    /// Position of the process that was asked.
    pub node: usize,
    /// Whether the connection stayed open and the answer didn't come.
    pub timed_out: bool,
    /// Status; 0 for no answer.
    pub status: u16,
    /// Body of the answer.
    pub body: Bytes,
}

impl CallRecord {
    pub fn is_completed(&self) -> bool {
        self.status == 200 && self.body.starts_with(br#"{"state":"completed""#)
    }

    pub fn is_failed(&self) -> bool {
        self.status == 200 && !self.is_completed()
    }

    pub fn is_refused(&self) -> bool {
        self.status == 503
    }
}

pub struct RunningCalls {
    stop: watch::Sender<bool>,
    callers: task::JoinSet<Vec<CallRecord>>,
}

impl RunningCalls {
    pub async fn stop(self) -> Vec<CallRecord> {
        self.stop.send_replace(true);
        self.callers
            .join_all()
            .await
            .into_iter()
            .flatten()
            .collect()
    }
}

pub fn start(site: &site::SoakSite, seed: u64) -> RunningCalls {
    let (stop, stopping) = watch::channel(false);
    let mut callers = task::JoinSet::new();
    for (number, node) in site.nodes.iter().enumerate() {
        for caller in 0..CALLERS {
            let seed = seed * 1_000 + number as u64 * 10 + caller;
            callers.spawn(call_on(
                number,
                Arc::clone(&node.callers),
                seed,
                stopping.clone(),
            ));
        }
    }
    RunningCalls { stop, callers }
}

async fn call_on(
    node: usize,
    address: Arc<str>,
    seed: u64,
    stopping: watch::Receiver<bool>,
) -> Vec<CallRecord> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut answers = Vec::new();
    let mut connection = None;
    let mut number = 0_u64;
    while !*stopping.borrow() {
        number += 1;
        let job = format!("{seed:08x}{number:08x}");
        let tasks = random.random_range(1..5);
        let work_ms = random.random_range(20..400);
        let poisoned = random.random_bool(0.03);
        let mark = if poisoned { "!" } else { "" };
        let body = format!(
            r#"{{"spec":"{work_ms}:7000{mark}","best_effort":true,"job_steps":[{{"count":{tasks},"cpu":7000,"mem_mb":1,"estimate_ms":{work_ms}}}]}}"#
        );
        let pause = time::Duration::from_millis(random.random_range(5..120));
        tokio::time::sleep(pause).await;
        if connection
            .as_ref()
            .is_none_or(http1::SendRequest::is_closed)
        {
            connection = connect(&address).await;
        }
        if connection.is_none() {
            continue;
        }
        let answer = tokio::time::timeout(PATIENCE, submit(&mut connection, &address, &job, body));
        let answer = answer.await;
        let timed_out = answer.is_err();
        let (status, body) = answer.unwrap_or_default();
        if status == 0 {
            connection = None;
        }
        answers.push(CallRecord {
            job,
            tasks,
            node,
            timed_out,
            status,
            body,
        });
    }
    answers
}

type Connection = http1::SendRequest<Full<Bytes>>;

async fn submit(
    connection: &mut Option<Connection>,
    address: &str,
    job: &str,
    body: String,
) -> (u16, Bytes) {
    if connection
        .as_ref()
        .is_none_or(http1::SendRequest::is_closed)
    {
        *connection = connect(address).await;
    }
    let Some(sender) = connection else {
        return (0, Bytes::new());
    };
    if sender.ready().await.is_err() {
        return (0, Bytes::new());
    }
    let request = http::Request::post(format!("{}{job}", site::PREFIX))
        .header(http::header::HOST, site::HOST)
        .header("X-Cuminkeel-Deadline-Ms", PATIENCE.as_millis().to_string())
        .body(Full::new(Bytes::from(body)))
        .expect("a request");
    match sender.send_request(request).await {
        Ok(response) => {
            let status = response.status().as_u16();
            match response.into_body().collect().await {
                Ok(body) => (status, body.to_bytes()),
                Err(_) => (0, Bytes::new()),
            }
        }
        Err(_) => (0, Bytes::new()),
    }
}

async fn connect(address: &str) -> Option<Connection> {
    let stream = net::TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Whether every process serves a job again.
pub async fn serves_again(site: &site::SoakSite) -> bool {
    let until = tokio::time::Instant::now() + RECOVERY_TIME;
    for (number, node) in site.nodes.iter().enumerate() {
        let mut tries = 0_u64;
        loop {
            tries += 1;
            let job = format!("ff{number:06x}{tries:08x}");
            let body = r#"{"spec":"20:1000","best_effort":true,"job_steps":[{"count":1,"cpu":1000,"estimate_ms":20}]}"#;
            let call = submit(&mut None, &node.callers, &job, body.to_owned()).await;
            if call.0 == 200 {
                break;
            }
            if tokio::time::Instant::now() > until {
                return false;
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    }
    true
}
