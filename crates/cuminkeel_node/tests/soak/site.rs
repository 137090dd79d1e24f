//! Processes of the real program, a store and backend servers.

use std::{
    fs,
    path::{Path, PathBuf},
    process,
    sync::Arc,
    time,
};

use cuminkeel_replay::fake_server;
use platform_emulator::{emulated_server, emulated_store, loopback};
use rustix::process::{Pid, Signal, kill_process};

use crate::proxy;

pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/orders/";
/// Processes, by failure domain.
const NODES: [(&str, &str); 5] = [
    ("north-1", "north"),
    ("north-2", "north"),
    ("north-3", "north"),
    ("south-1", "south"),
    ("south-2", "south"),
];
/// Backend servers in each failure domain.
const SERVERS: usize = 3;
/// Longest time for a process to start or to stop.
const PROCESS_TIME: time::Duration = time::Duration::from_secs(20);

/// A process of the real program.
pub struct SoakNode {
    pub name: &'static str,
    pub callers: Arc<str>,
    /// In front of its links.
    pub links: proxy::Proxy,
    settings: PathBuf,
    log: PathBuf,
    child: Option<process::Child>,
}

impl SoakNode {
    pub fn start(&mut self) {
        let log = fs::File::options()
            .append(true)
            .create(true)
            .open(&self.log)
            .expect("a log file");
        let child = process::Command::new(env!("CARGO_BIN_EXE_cuminkeel-node"))
            .arg("serve")
            .arg("--settings")
            .arg(&self.settings)
            .arg("--advertise")
            .arg(&*self.links.address)
            .stdout(log)
            .stderr(process::Stdio::inherit())
            .spawn()
            .expect("the program starts");
        self.child = Some(child);
    }

    /// Sends a signal to the process, which this test started.
    pub fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok())
            .and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // A process that has just ended can't be signalled.
            let _ended = kill_process(pid, signal);
        }
    }

    /// Waits for the end of the process.
    pub async fn ended(&mut self) {
        let until = time::Instant::now() + PROCESS_TIME;
        if let Some(mut child) = self.child.take() {
            while child.try_wait().expect("a status").is_none() {
                if time::Instant::now() > until {
                    child.kill().expect("it ends");
                }
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
        }
    }
}

impl Drop for SoakNode {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // A paused process is killed as well.
            let _ended = child.kill();
            let _status = child.wait();
        }
    }
}

pub struct SoakSite {
    pub store: emulated_store::EmulatedStore,
    /// In front of the store.
    pub store_proxy: proxy::Proxy,
    pub servers: Vec<emulated_server::EmulatedServer>,
    /// In front of each server.
    pub server_proxies: Vec<proxy::Proxy>,
    pub nodes: Vec<SoakNode>,
    folder: PathBuf,
}

impl SoakSite {
    pub async fn start() -> Self {
        let store = emulated_store::EmulatedStore::start()
            .await
            .expect("a store");
        let store_proxy = proxy::Proxy::start(&store.address()).await;
        let mut servers = Vec::new();
        let mut server_proxies = Vec::new();
        for domain in ["north", "south"] {
            for number in 0..SERVERS {
                let name = format!("{domain}-server-{number}");
                let server = emulated_server::EmulatedServer::start(&name, domain, 16_000)
                    .await
                    .expect("a server");
                let server_proxy = proxy::Proxy::start(&server.address()).await;
                server.set_address(&server_proxy.address);
                server.register(&store);
                servers.push(server);
                server_proxies.push(server_proxy);
            }
        }
        let folder = std::env::temp_dir().join(format!(
            "cuminkeel-soak-{}-{:08x}",
            process::id(),
            rand::random::<u32>()
        ));
        fs::create_dir_all(&folder).expect("a folder");
        let mut site = Self {
            nodes: Vec::new(),
            store,
            store_proxy,
            servers,
            server_proxies,
            folder,
        };
        site.configure(1);
        for (name, domain) in NODES {
            let mut node = site.node(name, domain).await;
            node.start();
            site.nodes.push(node);
        }
        site
    }

    pub fn configure(&self, version: u64) {
        let config = serde_json::json!({
            "version": version,
            "routes": [{
                "name": "orders", "host": HOST, "path_prefix": PREFIX, "type": "non_idempotent",
                "timeout_ms": 1500, "target_latency_ms": 500, "priority": 0,
                "service": "order-desk", "max_attempts": 2, "stretch_factor": 1.6,
            }],
            "services": [], "limits": {},
        });
        self.store.put("keyed.op", "config", config.to_string());
    }

    async fn node(&self, name: &'static str, domain: &str) -> SoakNode {
        let ip = loopback::unique_ip();
        let [callers, ready, links]: [Arc<str>; 3] =
            loopback::free_ports(ip).map(|port| Arc::from(format!("{ip}:{port}")));
        let settings = serde_json::json!({
            "node_name": name, "ip": ip.to_string(), "zone": domain,
            "bind_addrs": {"frontend": callers, "ready": ready, "control_plane": links},
            "seed_nodes": [], "limits": {"cpu_share": 0.5},
            "bounds": {"max_hold_ms": 1000, "stop_timeout_ms": 50, "grace_s": 3, "config_apply_ms": 2000},
            "platform": {"address": self.store_proxy.address},
        });
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("a settings file");
        SoakNode {
            name,
            callers,
            links: proxy::Proxy::start(&links).await,
            settings: path,
            log: self.folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// All proxies: of the store, the servers and the links.
    pub fn proxies(&self) -> impl Iterator<Item = &proxy::Proxy> {
        let links = self.nodes.iter().map(|node| &node.links);
        [&self.store_proxy]
            .into_iter()
            .chain(&self.server_proxies)
            .chain(links)
    }

    /// Ends all faults and starts what is down.
    pub fn heal(&mut self) {
        self.store.set_mode(emulated_store::StoreMode::Up);
        for proxy in self.proxies() {
            proxy.set_mode(proxy::ProxyMode::Pass);
        }
        for server in &self.servers {
            server.set_mode(fake_server::ServerMode::Healthy);
            server.register(&self.store);
        }
        for node in &mut self.nodes {
            node.signal(Signal::CONT);
            let running = match &mut node.child {
                Some(child) => child.try_wait().expect("a status").is_none(),
                None => false,
            };
            if !running {
                node.start();
            }
        }
    }

    /// Runs of each server that are over, with the most processor in use at a time.
    pub fn histories(&self) -> Vec<(Vec<fake_server::RunRecord>, u32)> {
        self.servers
            .iter()
            .map(emulated_server::EmulatedServer::runs_and_peak_cpu)
            .collect()
    }

    /// Leaves the logs in place.
    pub fn keep_logs(&mut self) {
        println!("logs are kept in {}", self.folder.display());
        self.folder = PathBuf::new();
    }
}

impl Drop for SoakSite {
    fn drop(&mut self) {
        self.nodes.clear();
        if self.folder != Path::new("") {
            // A folder that is left over does no harm.
            let _left = fs::remove_dir_all(&self.folder);
        }
    }
}
