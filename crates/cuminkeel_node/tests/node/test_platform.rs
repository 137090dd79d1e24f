//! Processes, a store and backend servers for a test.

use std::{sync::Arc, time};

use bytes::Bytes;
use cuminkeel_node::{decision_log, embedded_process};
use platform_adapter::{http_client, settings};
use platform_emulator::{emulated_server, emulated_store, loopback};

/// Longest time that anything in these tests may take.
pub const PATIENCE: time::Duration = time::Duration::from_secs(20);
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(20);
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/orders/";

/// A process under test.
pub struct TestNode {
    pub settings: settings::ProcessSettings,
    process: Arc<embedded_process::EmbeddedProcess>,
    log: Arc<decision_log::LogBuffer>,
}

impl TestNode {
    /// Starts a process.
    pub fn start(settings: settings::ProcessSettings) -> Self {
        let log = Arc::new(decision_log::LogBuffer::default());
        let logger = decision_log::buffered_logger(&log, &settings.node_name);
        let process = embedded_process::EmbeddedProcess::start(settings.clone(), logger);
        Self {
            settings,
            process: Arc::new(process.expect("a process")),
            log,
        }
    }

    /// What it has logged since the last call.
    pub fn take_log(&self) -> Vec<u8> {
        self.log.take()
    }

    /// Ends the process at once, as SIGKILL would.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Asks the process to stop, as SIGTERM would.
    pub async fn stop(&self) {
        self.process.stop().await;
    }

    /// Waits for the end of a process that was asked to stop.
    pub async fn ended(&mut self) {
        let process = Arc::clone(&self.process);
        let ended = tokio::task::spawn_blocking(move || process.join()).await;
        ended.expect("it ends").expect("it serves");
    }

    /// Makes a call to it as a client.
    pub async fn call(&self, method: &str, path: &str, body: &str) -> (u16, Bytes) {
        let peer = http_client::HttpClient::new(&self.settings.caller_address);
        call(&peer, method, path, body).await
    }

    /// Submits a job of `tasks` tasks that run as `payload` says.
    pub async fn submit(&self, id: &str, payload: &str, tasks: u32) -> (u16, Bytes) {
        self.call("POST", &format!("{PREFIX}{id}"), &job_body(payload, tasks))
            .await
    }

    /// Status of the readiness probe; 0 for no answer.
    pub async fn readiness(&self) -> u16 {
        let peer = http_client::HttpClient::new(&self.settings.ready_address);
        let call = http_client::HttpRequest {
            method: http::Method::GET,
            path: "/v1/readyz",
            header: None,
            body: Bytes::new(),
            timeout: time::Duration::from_secs(1),
            fresh_connection: true,
        };
        peer.send(call)
            .await
            .map_or(0, |answer| answer.status.as_u16())
    }

    /// Its counters in the text format.
    pub async fn metrics(&self) -> String {
        let peer = http_client::HttpClient::new(&format!("{}:9464", self.settings.ip));
        let call = http_client::HttpRequest {
            method: http::Method::GET,
            path: "/metrics",
            header: None,
            body: Bytes::new(),
            timeout: PATIENCE,
            fresh_connection: true,
        };
        let answer = peer.send(call).await.expect("counters");
        String::from_utf8(answer.body.to_vec()).expect("text")
    }

    /// What the gauge `name` shows.
    pub async fn gauge(&self, name: &str) -> Option<u32> {
        let text = self.metrics().await;
        let prefix = format!("cuminkeel_{name} ");
        text.lines()
            .find_map(|line| line.strip_prefix(&prefix))
            .and_then(|value| value.parse().ok())
    }

    /// Waits until the process is ready.
    pub async fn ready(&self) {
        eventually("a ready process", async || self.readiness().await == 200).await;
    }
}

/// Submits jobs of `tasks` tasks at once, and returns the statuses of their answers.
pub async fn submit_all(node: &TestNode, ids: &[String], payload: &str, tasks: u32) -> Vec<u16> {
    let mut calls = tokio::task::JoinSet::new();
    for id in ids {
        let peer = http_client::HttpClient::new(&node.settings.caller_address);
        let (path, body) = (format!("{PREFIX}{id}"), job_body(payload, tasks));
        calls.spawn(async move { call(&peer, "POST", &path, &body).await.0 });
    }
    calls.join_all().await
}

async fn call(
    peer: &http_client::HttpClient,
    method: &str,
    path: &str,
    body: &str,
) -> (u16, Bytes) {
    // The adapter's client names its peer as host; callers name the route's.
    let address = peer.address().to_owned();
    let stream = tokio::net::TcpStream::connect(&address).await;
    let Ok(stream) = stream else {
        return (0, Bytes::new());
    };
    let handshake =
        hyper::client::conn::http1::handshake(hyper_util::rt::TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.expect("a connection");
    tokio::spawn(connection);
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, HOST)
        .header("X-Cuminkeel-Deadline-Ms", "8000")
        .body(http_body_util::Full::new(Bytes::from(body.to_owned())))
        .expect("a request");
    match sender.send_request(request).await {
        Ok(response) => {
            let status = response.status().as_u16();
            let body = http_body_util::BodyExt::collect(response.into_body()).await;
            (
                status,
                body.map_or_else(|_| Bytes::new(), http_body_util::Collected::to_bytes),
            )
        }
        Err(_) => (0, Bytes::new()),
    }
}

/// Body of a job of one step, with an exact estimate.
pub fn job_body(payload: &str, tasks: u32) -> String {
    let estimate_ms = payload.trim_end_matches('!');
    format!(
        r#"{{"spec":"{payload}","best_effort":true,"job_steps":[{{"count":{tasks},"cpu":1000,"mem_mb":1,"estimate_ms":{estimate_ms}}}]}}"#
    )
}

/// An id that no other job has.
pub fn random_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Waits until `condition` holds.
pub async fn eventually<F>(what: &str, mut condition: F)
where
    F: AsyncFnMut() -> bool,
{
    let until = tokio::time::Instant::now() + PATIENCE;
    while !condition().await {
        assert!(
            tokio::time::Instant::now() < until,
            "waited in vain for {what}"
        );
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// A store, two backend servers in each of some domains, and no processes yet.
pub struct TestSite {
    pub store: emulated_store::EmulatedStore,
    pub servers: Vec<emulated_server::EmulatedServer>,
}

impl TestSite {
    /// A site with a configuration in force.
    pub async fn start(domains: &[&str]) -> Self {
        let site = Self::unconfigured(domains).await;
        site.configure(1, PREFIX);
        site
    }

    /// A site without a configuration.
    pub async fn unconfigured(domains: &[&str]) -> Self {
        Self::unconfigured_with(domains, 2).await
    }

    /// A site with `count` servers in each domain and a configuration in force.
    pub async fn with_servers(domains: &[&str], count: usize) -> Self {
        let site = Self::unconfigured_with(domains, count).await;
        site.configure(1, PREFIX);
        site
    }

    async fn unconfigured_with(domains: &[&str], count: usize) -> Self {
        let store = emulated_store::EmulatedStore::start()
            .await
            .expect("a store");
        let mut servers = Vec::new();
        for domain in domains {
            for number in 0..count {
                let name = format!("{domain}-server-{number}");
                let server = emulated_server::EmulatedServer::start(&name, domain, 16_000)
                    .await
                    .expect("a server");
                server.register(&store);
                servers.push(server);
            }
        }
        Self { store, servers }
    }

    /// Writes a configuration of one route with a generous objective.
    pub fn configure(&self, version: u64, prefix: &str) {
        self.configure_target(version, prefix, 5_000);
    }

    /// Writes a configuration of one route that allows `target_ms` on top of the work.
    pub fn configure_target(&self, version: u64, prefix: &str, target_ms: u64) {
        let config = serde_json::json!({
            "version": version,
            "routes": [{
                "name": "orders", "host": HOST, "path_prefix": prefix, "type": "non_idempotent",
                "timeout_ms": 1500, "target_latency_ms": target_ms, "priority": 0,
                "service": "order-desk", "max_attempts": 2, "stretch_factor": 1.6,
            }],
            "services": [],
            "limits": {"max_body_bytes": 4096},
        });
        self.store.put("keyed.op", "config", config.to_string());
    }

    /// Settings of one more process.
    pub fn settings(&self, name: &str, domain: &str) -> settings::ProcessSettings {
        let ip = loopback::unique_ip();
        let [caller_address, ready_address, link_address]: [Arc<str>; 3] =
            loopback::free_ports(ip).map(|port| Arc::from(format!("{ip}:{port}")));
        settings::ProcessSettings {
            node_name: Arc::from(name),
            failure_domain: Arc::from(domain),
            caller_address,
            ready_address,
            link_address,
            ip: Arc::from(ip.to_string()),
            seeds: Vec::new(),
            cpu_share: 0.5,
            store_address: Arc::from(self.store.address()),
            max_lease: time::Duration::from_secs(1),
            stop_time: time::Duration::from_millis(50),
            stop_grace: time::Duration::from_secs(3),
            config_apply: time::Duration::from_secs(2),
        }
    }

    /// Starts a process and waits until it is ready.
    pub async fn ready_node(&self, name: &str, domain: &str) -> TestNode {
        let node = TestNode::start(self.settings(name, domain));
        node.ready().await;
        node
    }

    /// Tasks that were started, over all servers.
    pub fn started_tasks(&self) -> Vec<String> {
        let mut tasks: Vec<String> = self
            .servers
            .iter()
            .flat_map(emulated_server::EmulatedServer::started_runs)
            .map(|(task, _)| task)
            .collect();
        tasks.sort();
        tasks
    }
}
