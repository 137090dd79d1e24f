//! Test site: processes of the real program, an emulated store and emulated backend servers.
//!
//! Each emulated server exposes a fake server, which does no I/O itself, on a port of its own.

use std::{
    collections::BTreeMap,
    fs,
    path::PathBuf,
    process,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic},
    time,
};

use cuminkeel_replay::fake_server;
use platform_emulator::{emulated_server, emulated_store, loopback, loopback_proxy};
use rustix::process::{Pid, Signal, kill_process};

use crate::parameters;

pub const ROUTE_HOST: &str = "desk.example";
pub const ROUTE_PREFIX: &str = "/orders/";
/// Processor capacity of each backend server until it shrinks, in thousandths of a core.
pub const SERVER_CPU_MILLIS: u32 = 16_000;
/// Names of the failure domains.
const DOMAIN_NAMES: [&str; parameters::MAX_DOMAIN_COUNT] =
    ["north", "south", "east", "west", "centre", "coast"];
/// Time from the crash of a server until it has restarted.
const RESTART_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Time after which a process that does not exit is killed.
const EXIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Time in which a process was paused.
#[derive(Clone, Copy, Debug)]
struct NodePause {
    started_at: time::Instant,
    /// `None` while the pause lasts.
    ended_at: Option<time::Instant>,
}

/// Process of the real program.
pub struct SoakNode {
    pub name: String,
    /// Index of its failure domain.
    pub domain: usize,
    pub caller_address: Arc<str>,
    /// Proxy in front of the listener for links from other processes.
    pub link_proxy: loopback_proxy::LoopbackProxy,
    /// Proxy between this process and the store.
    pub store_proxy: loopback_proxy::LoopbackProxy,
    /// Proxies between this process alone and the servers of its domain.
    pub server_paths: Vec<loopback_proxy::LoopbackProxy>,
    program: String,
    /// Program of an earlier release that the process runs until it is started again.
    earlier_program: Mutex<Option<String>>,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Mutex<Option<process::Child>>,
    pauses: Mutex<Vec<NodePause>>,
    /// Store with the addresses of `server_paths`, if the process has paths of its own.
    pub store_view: emulated_store::EmulatedStore,
}

impl SoakNode {
    /// Starts the process unless it runs.
    pub fn start(&self) {
        let mut child = lock(&self.child);
        if running_child(&mut child).is_some() {
            return;
        }
        self.end_pause();
        let log_file = fs::File::options()
            .append(true)
            .create(true)
            .open(&self.log_path)
            .expect("log file should be opened");
        let earlier_program = lock(&self.earlier_program).take();
        let program = earlier_program.as_ref().unwrap_or(&self.program);
        let started = process::Command::new(program)
            .arg("serve")
            .arg("--settings")
            .arg(&self.settings_path)
            .arg("--advertise")
            .arg(&*self.link_proxy.address)
            .stdout(log_file)
            .stderr(process::Stdio::inherit())
            .spawn()
            .expect("process should start");
        *child = Some(started);
    }

    /// Sends a signal to the child process, if there is one.
    pub fn signal(&self, signal: Signal) {
        let mut child = lock(&self.child);
        let Some(child) = running_child(&mut child) else {
            return;
        };
        if signal == Signal::STOP {
            lock(&self.pauses).push(NodePause {
                started_at: time::Instant::now(),
                ended_at: None,
            });
        }
        if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
            // Failure means that the process has just exited.
            let _result = kill_process(pid, signal);
        }
        if signal == Signal::CONT {
            self.end_pause();
        }
    }

    fn end_pause(&self) {
        let now = time::Instant::now();
        for pause in lock(&self.pauses).iter_mut() {
            pause.ended_at.get_or_insert(now);
        }
    }

    /// Returns whether the process was paused at any time between `from` and `until`.
    pub fn was_paused_between(&self, from: time::Instant, until: time::Instant) -> bool {
        lock(&self.pauses).iter().any(|pause| {
            pause.started_at <= until && pause.ended_at.is_none_or(|ended_at| ended_at >= from)
        })
    }

    /// Waits until the process that runs now has exited, and kills it after `EXIT_TIMEOUT`.
    pub async fn wait_for_exit(&self) {
        let running_id = || running_child(&mut lock(&self.child)).map(|child| child.id());
        let deadline = time::Instant::now() + EXIT_TIMEOUT;
        let Some(first_id) = running_id() else {
            return;
        };
        while running_id() == Some(first_id) {
            if time::Instant::now() > deadline {
                self.signal(Signal::KILL);
            }
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }

    /// Returns whether the process runs and leads shards of its domain, by the lines of its log since its start.
    pub fn leads_now(&self) -> bool {
        let log = fs::read_to_string(&self.log_path).unwrap_or_default();
        let is_change = |line: &&str| {
            line.contains(r#""msg":"leadership""#) || line.contains(r#""msg":"started""#)
        };
        running_child(&mut lock(&self.child)).is_some()
            && log
                .lines()
                .rfind(is_change)
                .is_some_and(|line| line.contains(r#""leads":true"#))
    }

    /// Returns whether the process leads shards of its domain, by the last line of its log on that.
    pub fn is_leader(&self) -> bool {
        let log = fs::read_to_string(&self.log_path).unwrap_or_default();
        let line = log
            .lines()
            .rfind(|line| line.contains(r#""msg":"leadership""#));
        line.is_some_and(|line| line.contains(r#""leads":true"#))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn running_child(child: &mut Option<process::Child>) -> Option<&mut process::Child> {
    let child = child.as_mut()?;
    let status = child.try_wait().expect("exit status should be readable");
    status.is_none().then_some(child)
}

impl Drop for SoakNode {
    fn drop(&mut self) {
        if let Some(child) = lock(&self.child).as_mut() {
            // SIGKILL also ends a paused process. Failure means that it has exited already.
            let _result = child.kill();
            let _status = child.wait();
        }
    }
}

/// Store, backend servers and processes of one seed, with proxies between them.
pub struct SoakSite {
    pub store: emulated_store::EmulatedStore,
    pub servers: Vec<emulated_server::EmulatedServer>,
    /// Proxies in front of the servers, in their order.
    pub server_proxies: Vec<loopback_proxy::LoopbackProxy>,
    pub nodes: Vec<SoakNode>,
    pub domain_count: usize,
    /// Whether each process reaches the servers over paths of its own.
    has_own_paths: bool,
    directory: PathBuf,
    keeps_logs: atomic::AtomicBool,
}

impl SoakSite {
    pub async fn start(parameters: &parameters::SoakParameters) -> Self {
        let store = emulated_store::EmulatedStore::start()
            .await
            .expect("store should start");
        let mut servers = Vec::new();
        let mut server_proxies = Vec::new();
        for domain in &DOMAIN_NAMES[..parameters.domain_count] {
            for number in 0..parameters.servers_per_domain {
                let name = format!("{domain}-server-{number}");
                let server =
                    emulated_server::EmulatedServer::start(&name, domain, SERVER_CPU_MILLIS)
                        .await
                        .expect("server should start");
                let server_proxy = start_proxy(&server.address()).await;
                server.set_address(&server_proxy.address);
                server.record_orders();
                server.register(&store);
                servers.push(server);
                server_proxies.push(server_proxy);
            }
        }
        let directory = std::env::temp_dir().join(format!(
            "cuminkeel-soak-{}-{:08x}",
            process::id(),
            rand::random::<u32>()
        ));
        fs::create_dir_all(&directory).expect("directory should be created");
        let mut site = Self {
            nodes: Vec::new(),
            domain_count: parameters.domain_count,
            has_own_paths: parameters.turned_away_series == 0,
            store,
            servers,
            server_proxies,
            directory,
            keeps_logs: atomic::AtomicBool::new(false),
        };
        site.write_config(1);
        for domain in 0..parameters.domain_count {
            // The first domains get the processes that remain after an even division.
            let remainder = parameters.node_count % parameters.domain_count;
            let count =
                parameters.node_count / parameters.domain_count + usize::from(domain < remainder);
            for number in 1..=count {
                let node = site.create_node(number, domain).await;
                node.start();
                site.nodes.push(node);
            }
        }
        site
    }

    /// Writes a configuration of one route.
    pub fn write_config(&self, version: u64) {
        let config = serde_json::json!({
            "version": version,
            "routes": [{
                "name": "orders", "host": ROUTE_HOST, "path_prefix": ROUTE_PREFIX, "type": "non_idempotent",
                "timeout_ms": 1500, "target_latency_ms": 500, "priority": 0,
                "service": "order-desk", "max_attempts": 2, "stretch_factor": 1.6,
            }],
            "services": [], "limits": {},
        });
        self.store.put("keyed.op", "config", config.to_string());
    }

    async fn create_node(&self, number: usize, domain: usize) -> SoakNode {
        let domain_name = DOMAIN_NAMES[domain];
        let name = format!("{domain_name}-{number}");
        let ip = loopback::unique_ip();
        let [caller_address, ready_address, link_address]: [Arc<str>; 3] =
            loopback::free_ports(ip).map(|port| Arc::from(format!("{ip}:{port}")));
        let servers_per_domain = self.servers.len() / self.domain_count;
        let mut server_paths = Vec::new();
        let mut replacements = BTreeMap::new();
        for proxy in &self.server_proxies[domain * servers_per_domain..][..servers_per_domain] {
            let server_path = start_proxy(&proxy.address).await;
            // Processes tell each other the addresses that they have read.
            if self.has_own_paths {
                replacements.insert(proxy.address.to_string(), server_path.address.to_string());
            }
            server_paths.push(server_path);
        }
        let store_view = self
            .store
            .start_view(replacements)
            .await
            .expect("store view should start");
        let store_proxy = start_proxy(&store_view.address()).await;
        let settings = serde_json::json!({
            "node_name": name, "ip": ip.to_string(), "zone": domain_name,
            "bind_addrs": {"frontend": caller_address, "ready": ready_address, "control_plane": link_address},
            "seed_nodes": [], "limits": {"cpu_share": 0.5},
            "bounds": {"max_hold_ms": fake_server::MAX_LEASE.as_millis(), "stop_timeout_ms": 50, "grace_s": 3, "config_apply_ms": 2000},
            "platform": {"address": store_proxy.address},
        });
        let settings_path = self.directory.join(format!("{name}.json"));
        fs::write(&settings_path, settings.to_string()).expect("settings file should be written");
        SoakNode {
            domain,
            caller_address,
            link_proxy: start_proxy(&link_address).await,
            store_proxy,
            server_paths,
            program: std::env::var("SOAK_PROGRAM")
                .unwrap_or_else(|_| String::from(env!("CARGO_BIN_EXE_cuminkeel-node"))),
            earlier_program: Mutex::new(std::env::var("SOAK_EARLIER_PROGRAM").ok()),
            settings_path,
            log_path: self.directory.join(format!("{name}.log")),
            name,
            child: Mutex::new(None),
            pauses: Mutex::new(Vec::new()),
            store_view,
        }
    }

    /// Returns the indexes of the processes of a failure domain.
    pub fn domain_nodes(&self, domain: usize) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].domain == domain)
            .collect()
    }

    /// Returns the proxies between single processes and the server with this index.
    pub fn paths_to_server(
        &self,
        server: usize,
    ) -> impl Iterator<Item = &loopback_proxy::LoopbackProxy> {
        let servers_per_domain = self.servers.len() / self.domain_count;
        let domain = server / servers_per_domain;
        let nodes = self.nodes.iter().filter(move |node| node.domain == domain);
        nodes.map(move |node| &node.server_paths[server % servers_per_domain])
    }

    /// Returns the number of fault points that [`Self::set_proxy_mode`] distinguishes.
    pub fn proxy_count(&self) -> usize {
        1 + self.server_proxies.len() + self.nodes.len()
    }

    /// Sets the mode of a fault point by its index: 0 is the store with all its proxies, then the
    /// servers, then the links.
    pub fn set_proxy_mode(&self, proxy_index: usize, mode: loopback_proxy::ProxyMode) {
        let server_count = self.server_proxies.len();
        match proxy_index {
            0 => {
                for node in &self.nodes {
                    node.store_proxy.set_mode(mode);
                }
            }
            index if index <= server_count => self.server_proxies[index - 1].set_mode(mode),
            index => self.nodes[index - 1 - server_count]
                .link_proxy
                .set_mode(mode),
        }
    }

    /// Sets the mode of all proxies.
    pub fn set_all_proxy_modes(&self, mode: loopback_proxy::ProxyMode) {
        for proxy_index in 0..self.proxy_count() {
            self.set_proxy_mode(proxy_index, mode);
        }
        for server_path in self.nodes.iter().flat_map(|node| &node.server_paths) {
            server_path.set_mode(mode);
        }
    }

    /// Restarts crashed servers, each [`RESTART_TIME`] after its crash was noticed, until the task is aborted.
    pub async fn restart_crashed_servers(self: Arc<Self>) {
        let mut noticed_at: BTreeMap<usize, time::Instant> = BTreeMap::new();
        loop {
            for (index, server) in self.servers.iter().enumerate() {
                if !server.has_crashed() {
                    noticed_at.remove(&index);
                } else if noticed_at
                    .entry(index)
                    .or_insert_with(time::Instant::now)
                    .elapsed()
                    >= RESTART_TIME
                {
                    server.restart(&self.store);
                }
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Ends all faults and starts the processes that have exited.
    pub fn end_all_faults(&self) {
        self.store.set_mode(emulated_store::StoreMode::Up);
        self.set_all_proxy_modes(loopback_proxy::ProxyMode::Forward);
        for server in &self.servers {
            server.set_mode(fake_server::ServerMode::Healthy);
            server.set_late_orders(0.0, 0);
            server.set_reaches_store(true, &self.store);
            server.set_draining(false, &self.store);
            if !server.capacity_changes().is_empty() {
                server.set_capacity(SERVER_CPU_MILLIS, &self.store);
            }
        }
        for node in &self.nodes {
            node.store_view.set_view_mode(emulated_store::StoreMode::Up);
            node.signal(Signal::CONT);
            node.start();
        }
    }

    /// Returns the ended runs of each server, and its peak processor use in thousandths of a core.
    pub fn server_histories(&self) -> Vec<(Vec<fake_server::RunRecord>, u32)> {
        self.servers
            .iter()
            .map(emulated_server::EmulatedServer::runs_and_peak_cpu)
            .collect()
    }

    /// Ends all processes, and waits until no run has a lease, so that each run has a record.
    pub async fn end_all_runs(&self) {
        for node in &self.nodes {
            node.signal(Signal::KILL);
        }
        tokio::time::sleep(fake_server::MAX_LEASE + time::Duration::from_millis(200)).await;
    }

    /// Keeps the directory with the logs when the site is dropped, and adds the orders that each server
    /// received.
    pub fn keep_logs(&self) {
        for server in &self.servers {
            let log_path = self.directory.join(format!("{}.log", server.id()));
            fs::write(log_path, server.recorded_orders().join("\n"))
                .expect("log file should be written");
        }
        println!("logs are kept in {}", self.directory.display());
        self.keeps_logs.store(true, atomic::Ordering::Relaxed);
    }
}

async fn start_proxy(target: &str) -> loopback_proxy::LoopbackProxy {
    loopback_proxy::LoopbackProxy::start(target)
        .await
        .expect("a loopback port should be free")
}

impl Drop for SoakSite {
    fn drop(&mut self) {
        self.nodes.clear();
        if !self.keeps_logs.load(atomic::Ordering::Relaxed) {
            // A directory that remains does not affect later runs.
            let _result = fs::remove_dir_all(&self.directory);
        }
    }
}
