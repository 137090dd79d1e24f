//! Processes, a store and backend servers on loopback.

use std::{fs, io::Write, path, sync::Arc, time};

use cuminkeel_node::{decision_log, embedded_process};
use cuminkeel_replay::{fake_server, load_pattern};
use platform_adapter::settings;
use platform_emulator::{emulated_server, emulated_store, job_submission, loopback};

use super::{LoadTestError, LoadTestPlan};

/// Host of all routes.
pub(super) const HOST: &str = "desk.example";
/// Service of all backend servers.
const SERVICE: &str = "order-desk";
/// Failure domain of everything.
const DOMAIN: &str = "here";
/// Longest time for all processes to be ready.
const READY_TIME: time::Duration = time::Duration::from_secs(10);
/// Pause between looks whether they are.
const READY_POLL: time::Duration = time::Duration::from_millis(20);
/// Share of a core of each process.
const CPU_SHARE: f64 = 0.5;
/// Time between two writes to the log files: well before a log's buffer is full.
const LOG_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// What a backend server recorded.
#[derive(Clone, Debug)]
pub(super) struct ServerRecord {
    pub(super) name: String,
    pub(super) cpu_millis: u32,
    pub(super) runs: Vec<fake_server::RunRecord>,
    pub(super) peak_cpu_millis: u32,
}

#[derive(Debug)]
struct LocalProcess {
    process: embedded_process::EmbeddedProcess,
    log: Arc<decision_log::LogBuffer>,
    log_path: Option<path::PathBuf>,
}

/// A running site.
#[derive(Debug)]
pub(super) struct LocalSite {
    _store: emulated_store::EmulatedStore,
    servers: Vec<(fake_server::FakeServer, emulated_server::EmulatedServer)>,
    processes: Vec<LocalProcess>,
}

impl LocalSite {
    pub(super) async fn start(plan: &LoadTestPlan) -> Result<Self, LoadTestError> {
        let system = |part| move |source| LoadTestError::System { part, source };
        let store = emulated_store::EmulatedStore::start()
            .await
            .map_err(system("the store"))?;
        job_submission::publish_routes(&store, HOST, SERVICE, &load_pattern::JOB_CLASSES);
        let mut servers = Vec::new();
        for server in load_pattern::domain_servers() {
            let host = emulated_server::EmulatedServer::start_with_server(server.clone(), DOMAIN)
                .await
                .map_err(system("a backend server"))?;
            host.register(&store);
            servers.push((server, host));
        }
        let mut processes = Vec::new();
        for number in 1..=plan.process_count {
            let own = process_settings(&format!("entry-{number}"), &store);
            let log = Arc::new(decision_log::LogBuffer::default());
            let log_path = plan
                .log_directory
                .as_ref()
                .map(|directory| directory.join(format!("{}.log", own.node_name)));
            let logger = match log_path {
                Some(_) => decision_log::buffered_logger(&log, &own.node_name),
                None => slog::Logger::root(slog::Discard, slog::o!()),
            };
            processes.push(LocalProcess {
                process: embedded_process::EmbeddedProcess::start(own, logger)
                    .map_err(system("a process"))?,
                log,
                log_path,
            });
        }
        Ok(Self {
            _store: store,
            servers,
            processes,
        })
    }

    /// Waits until all processes serve.
    pub(super) async fn ready(&self) -> Result<(), LoadTestError> {
        let until = tokio::time::Instant::now() + READY_TIME;
        for process in &self.processes {
            while !process.process.is_ready().await {
                if tokio::time::Instant::now() > until {
                    return Err(LoadTestError::NotReady { waited: READY_TIME });
                }
                tokio::time::sleep(READY_POLL).await;
            }
        }
        Ok(())
    }

    pub(super) fn caller_addresses(&self) -> Vec<Arc<str>> {
        self.processes
            .iter()
            .map(|process| Arc::clone(&process.process.settings.caller_address))
            .collect()
    }

    pub(super) fn records(&self) -> Vec<ServerRecord> {
        self.servers
            .iter()
            .map(|(server, host)| {
                let (runs, most_cpu) = host.runs_and_peak_cpu();
                ServerRecord {
                    name: String::from(&*server.entry.id),
                    cpu_millis: server.entry.cpu_millis,
                    runs,
                    peak_cpu_millis: most_cpu,
                }
            })
            .collect()
    }

    /// Appends what is left of the logs to their files.
    pub(super) fn finish_logs(&self) -> Result<(), LoadTestError> {
        for process in &self.processes {
            let Some(path) = &process.log_path else {
                continue;
            };
            let lines = process.log.take();
            let written = fs::File::options()
                .append(true)
                .create(true)
                .open(path)
                .and_then(|mut file| file.write_all(&lines));
            written.map_err(|source| LoadTestError::Log {
                path: path.clone(),
                source,
            })?;
        }
        Ok(())
    }

    /// Kills the process that leads: equals lead in the order of their names.
    fn kill_leader(&self) {
        if let Some(leader) = self.processes.first() {
            leader.process.kill();
        }
    }
}

/// Carries out the faults of a pattern at their times, and keeps the logs flowing.
pub(super) async fn carry_out_faults(
    site: Arc<LocalSite>,
    faults: Vec<load_pattern::ServerFault>,
    leader_loss: Option<time::Duration>,
    begun: tokio::time::Instant,
) {
    let mut faults = faults.into_iter().peekable();
    let mut leader_loss = leader_loss.map(|at| begun + at);
    loop {
        let now = tokio::time::Instant::now();
        while let Some(fault) = faults.next_if(|fault| begun + fault.at <= now) {
            if let Some((_, host)) = site.servers.get(fault.server) {
                host.set_mode(fault.mode);
            }
        }
        if leader_loss.take_if(|at| *at <= now).is_some() {
            site.kill_leader();
        }
        if let Err(failure) = site.finish_logs() {
            eprintln!("cuminkeel: {failure}");
        }
        tokio::time::sleep(LOG_INTERVAL).await;
    }
}

fn process_settings(
    name: &str,
    store: &emulated_store::EmulatedStore,
) -> settings::ProcessSettings {
    let ip = loopback::unique_ip();
    let [caller_address, ready_address, link_address]: [Arc<str>; 3] =
        loopback::free_ports(ip).map(|port| Arc::from(format!("{ip}:{port}")));
    settings::ProcessSettings {
        node_name: Arc::from(name),
        failure_domain: Arc::from(DOMAIN),
        caller_address,
        ready_address,
        link_address,
        ip: Arc::from(ip.to_string()),
        seeds: Vec::new(),
        cpu_share: CPU_SHARE,
        store_address: Arc::from(store.address()),
        max_lease: time::Duration::from_secs(1),
        stop_time: time::Duration::from_millis(50),
        stop_grace: time::Duration::from_secs(3),
        config_apply: time::Duration::from_secs(2),
    }
}
