//! Callers that submit random jobs and keep their connections open until the process closes them.

use std::{sync::Arc, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{net, sync::watch, task};

use crate::site;

/// Number of callers per process.
const CALLERS_PER_NODE: u64 = 3;
/// Time that a caller waits for an answer, sent as the deadline of its jobs.
const CALLER_TIMEOUT: time::Duration = time::Duration::from_secs(4);
/// Timeout for all processes to serve after the end of all faults.
const RECOVERY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Submitted job and its answer.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Id of the job.
    pub job: String,
    /// Number of tasks of the job.
    pub task_count: u16,
    /// Index of the process that received the job.
    pub node: usize,
    /// Whether no answer arrived within `CALLER_TIMEOUT` although the connection stayed open.
    pub timed_out: bool,
    /// HTTP status of the answer; 0 if there is none.
    pub status: u16,
    /// Body of the answer; empty if there is none.
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

/// Callers, each of which is a tokio task.
pub struct RunningCallers {
    stop_sender: watch::Sender<bool>,
    callers: task::JoinSet<Vec<CallRecord>>,
}

impl RunningCallers {
    /// Stops the callers after their current calls and returns the records of all calls.
    pub async fn stop(self) -> Vec<CallRecord> {
        self.stop_sender.send_replace(true);
        self.callers
            .join_all()
            .await
            .into_iter()
            .flatten()
            .collect()
    }
}

/// Starts `CALLERS_PER_NODE` callers for each process.
pub fn start_callers(site: &site::SoakSite, seed: u64) -> RunningCallers {
    let (stop_sender, stop_receiver) = watch::channel(false);
    let mut callers = task::JoinSet::new();
    for (node_index, node) in site.nodes.iter().enumerate() {
        for caller in 0..CALLERS_PER_NODE {
            let seed = seed * 1_000 + node_index as u64 * 10 + caller;
            callers.spawn(submit_until_stopped(
                node_index,
                Arc::clone(&node.caller_address),
                seed,
                stop_receiver.clone(),
            ));
        }
    }
    RunningCallers {
        stop_sender,
        callers,
    }
}

async fn submit_until_stopped(
    node: usize,
    address: Arc<str>,
    seed: u64,
    stop_receiver: watch::Receiver<bool>,
) -> Vec<CallRecord> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut records = Vec::new();
    let mut connection = None;
    let mut job_number = 0_u64;
    while !*stop_receiver.borrow() {
        job_number += 1;
        // A job id has 16 hexadecimal digits; the seeds of the callers differ, so the ids do too.
        let job = format!("{seed:08x}{job_number:08x}");
        let task_count = random.random_range(1..5);
        let work_ms = random.random_range(20..400);
        let always_fails = random.random_bool(0.03);
        // The payload is `MS:CPU`, with `!` for a task that always fails.
        let failure_suffix = if always_fails { "!" } else { "" };
        let body = format!(
            r#"{{"spec":"{work_ms}:7000{failure_suffix}","best_effort":true,"job_steps":[{{"count":{task_count},"cpu":7000,"mem_mb":1,"estimate_ms":{work_ms}}}]}}"#
        );
        let delay = time::Duration::from_millis(random.random_range(5..120));
        tokio::time::sleep(delay).await;
        if connection
            .as_ref()
            .is_none_or(http1::SendRequest::is_closed)
        {
            connection = connect(&address).await;
        }
        if connection.is_none() {
            continue;
        }
        let answer = tokio::time::timeout(
            CALLER_TIMEOUT,
            submit(&mut connection, &address, &job, body),
        );
        let answer = answer.await;
        let timed_out = answer.is_err();
        let (status, body) = answer.unwrap_or_default();
        if status == 0 {
            connection = None;
        }
        records.push(CallRecord {
            job,
            task_count,
            node,
            timed_out,
            status,
            body,
        });
    }
    records
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
    let request = http::Request::post(format!("{}{job}", site::ROUTE_PREFIX))
        .header(http::header::HOST, site::ROUTE_HOST)
        .header(
            "X-Cuminkeel-Deadline-Ms",
            CALLER_TIMEOUT.as_millis().to_string(),
        )
        .body(Full::new(Bytes::from(body)))
        .expect("request should be valid");
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

/// Waits until every process answers a job with status 200, which a completed or a failed job has;
/// returns whether all did within `RECOVERY_TIMEOUT`.
pub async fn all_nodes_serve(site: &site::SoakSite) -> bool {
    let deadline = tokio::time::Instant::now() + RECOVERY_TIMEOUT;
    for (node_index, node) in site.nodes.iter().enumerate() {
        let mut attempt = 0_u64;
        loop {
            attempt += 1;
            // The prefix `ff` keeps these ids apart from those of the callers.
            let job = format!("ff{node_index:06x}{attempt:08x}");
            let body = r#"{"spec":"20:1000","best_effort":true,"job_steps":[{"count":1,"cpu":1000,"estimate_ms":20}]}"#;
            let answer = submit(&mut None, &node.caller_address, &job, body.to_owned()).await;
            if answer.0 == 200 {
                break;
            }
            if tokio::time::Instant::now() > deadline {
                return false;
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    }
    true
}
