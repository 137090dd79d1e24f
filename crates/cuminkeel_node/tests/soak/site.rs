//! Test site: processes of the real program, an emulated store and emulated backend servers.
//!
//! Each emulated server exposes a fake server, which does no I/O itself, on a port of its own.

use std::{
    fs,
    path::{Path, PathBuf},
    process,
    sync::Arc,
    time,
};

use cuminkeel_replay::fake_server;
use platform_emulator::{emulated_server, emulated_store, loopback, loopback_proxy};
use rustix::process::{Pid, Signal, kill_process};

pub const ROUTE_HOST: &str = "desk.example";
pub const ROUTE_PREFIX: &str = "/orders/";
/// Names of the processes' VMs, with their failure domains.
const NODES: [(&str, &str); 5] = [
    ("north-1", "north"),
    ("north-2", "north"),
    ("north-3", "north"),
    ("south-1", "south"),
    ("south-2", "south"),
];
/// Number of backend servers per failure domain.
const SERVERS_PER_DOMAIN: usize = 3;
/// Time after which a process that does not exit is killed.
const EXIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Process of the real program.
pub struct SoakNode {
    pub name: &'static str,
    pub caller_address: Arc<str>,
    /// Proxy in front of the listener for links from other processes.
    pub link_proxy: loopback_proxy::LoopbackProxy,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<process::Child>,
}

impl SoakNode {
    pub fn start(&mut self) {
        let log_file = fs::File::options()
            .append(true)
            .create(true)
            .open(&self.log_path)
            .expect("log file should be opened");
        let child = process::Command::new(env!("CARGO_BIN_EXE_cuminkeel-node"))
            .arg("serve")
            .arg("--settings")
            .arg(&self.settings_path)
            .arg("--advertise")
            .arg(&*self.link_proxy.address)
            .stdout(log_file)
            .stderr(process::Stdio::inherit())
            .spawn()
            .expect("process should start");
        self.child = Some(child);
    }

    /// Sends a signal to the child process, if there is one.
    pub fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok())
            .and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // Failure means that the process has just exited.
            let _result = kill_process(pid, signal);
        }
    }

    /// Waits until the process has exited, and kills it after `EXIT_TIMEOUT`.
    pub async fn wait_for_exit(&mut self) {
        let deadline = time::Instant::now() + EXIT_TIMEOUT;
        if let Some(mut child) = self.child.take() {
            while child
                .try_wait()
                .expect("exit status should be readable")
                .is_none()
            {
                if time::Instant::now() > deadline {
                    child.kill().expect("process should be killed");
                }
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
        }
    }
}

impl Drop for SoakNode {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // SIGKILL also ends a paused process. Failure means that it has exited already.
            let _result = child.kill();
            let _status = child.wait();
        }
    }
}

/// Store, backend servers and processes of one seed, with proxies between them.
pub struct SoakSite {
    pub store: emulated_store::EmulatedStore,
    /// Proxy in front of the store.
    pub store_proxy: loopback_proxy::LoopbackProxy,
    pub servers: Vec<emulated_server::EmulatedServer>,
    /// Proxies in front of the servers, in their order.
    pub server_proxies: Vec<loopback_proxy::LoopbackProxy>,
    pub nodes: Vec<SoakNode>,
    directory: PathBuf,
}

impl SoakSite {
    pub async fn start() -> Self {
        let store = emulated_store::EmulatedStore::start()
            .await
            .expect("store should start");
        let store_proxy = start_proxy(&store.address()).await;
        let mut servers = Vec::new();
        let mut server_proxies = Vec::new();
        for domain in ["north", "south"] {
            for number in 0..SERVERS_PER_DOMAIN {
                let name = format!("{domain}-server-{number}");
                let server = emulated_server::EmulatedServer::start(&name, domain, 16_000)
                    .await
                    .expect("server should start");
                let server_proxy = start_proxy(&server.address()).await;
                server.set_address(&server_proxy.address);
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
            store,
            store_proxy,
            servers,
            server_proxies,
            directory,
        };
        site.write_config(1);
        for (name, domain) in NODES {
            let mut node = site.create_node(name, domain).await;
            node.start();
            site.nodes.push(node);
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

    async fn create_node(&self, name: &'static str, domain: &str) -> SoakNode {
        let ip = loopback::unique_ip();
        let [caller_address, ready_address, link_address]: [Arc<str>; 3] =
            loopback::free_ports(ip).map(|port| Arc::from(format!("{ip}:{port}")));
        let settings = serde_json::json!({
            "node_name": name, "ip": ip.to_string(), "zone": domain,
            "bind_addrs": {"frontend": caller_address, "ready": ready_address, "control_plane": link_address},
            "seed_nodes": [], "limits": {"cpu_share": 0.5},
            "bounds": {"max_hold_ms": 1000, "stop_timeout_ms": 50, "grace_s": 3, "config_apply_ms": 2000},
            "platform": {"address": self.store_proxy.address},
        });
        let settings_path = self.directory.join(format!("{name}.json"));
        fs::write(&settings_path, settings.to_string()).expect("settings file should be written");
        SoakNode {
            name,
            caller_address,
            link_proxy: start_proxy(&link_address).await,
            settings_path,
            log_path: self.directory.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Returns all proxies: those of the store, the servers and the links, in this order.
    pub fn proxies(&self) -> impl Iterator<Item = &loopback_proxy::LoopbackProxy> {
        let link_proxies = self.nodes.iter().map(|node| &node.link_proxy);
        [&self.store_proxy]
            .into_iter()
            .chain(&self.server_proxies)
            .chain(link_proxies)
    }

    /// Ends all faults and starts the processes that have exited.
    pub fn end_all_faults(&mut self) {
        self.store.set_mode(emulated_store::StoreMode::Up);
        for proxy in self.proxies() {
            proxy.set_mode(loopback_proxy::ProxyMode::Forward);
        }
        for server in &self.servers {
            server.set_mode(fake_server::ServerMode::Healthy);
            server.set_draining(false, &self.store);
        }
        for node in &mut self.nodes {
            node.signal(Signal::CONT);
            let running = match &mut node.child {
                Some(child) => child
                    .try_wait()
                    .expect("exit status should be readable")
                    .is_none(),
                None => false,
            };
            if !running {
                node.start();
            }
        }
    }

    /// Returns the ended runs of each server, and its peak processor use in thousandths of a core.
    pub fn server_histories(&self) -> Vec<(Vec<fake_server::RunRecord>, u32)> {
        self.servers
            .iter()
            .map(emulated_server::EmulatedServer::runs_and_peak_cpu)
            .collect()
    }

    /// Keeps the directory with the logs when the site is dropped.
    pub fn keep_logs(&mut self) {
        println!("logs are kept in {}", self.directory.display());
        self.directory = PathBuf::new();
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
        if self.directory != Path::new("") {
            // A directory that remains does not affect later runs.
            let _result = fs::remove_dir_all(&self.directory);
        }
    }
}
