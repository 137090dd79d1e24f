//! Deployment on loopback for load tests: processes, a store and backend servers.

use std::{collections::BTreeMap, fs, io::Write, path, sync::Arc, time};

use cuminkeel_dispatch::machine_limits;
use cuminkeel_node::{embedded_process, process_log};
use cuminkeel_replay::{fake_server, load_pattern};
use platform_adapter::settings;
use platform_emulator::{emulated_server, emulated_store, job_submission, loopback};

use super::{LoadTestError, LoadTestPlan};

/// Host name of all routes.
pub(super) const HOST: &str = "desk.example";
/// Service that all backend servers offer.
const SERVICE: &str = "order-desk";
/// Failure domain of all processes and backend servers.
const FAILURE_DOMAIN: &str = "here";
/// Time-out for all processes to become ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Interval between readiness probes of a process.
const READY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Share of a processor core that each process may use.
const CPU_SHARE: f64 = 0.5;
/// Memory and descriptors of each process.
const MACHINE_SIZE: machine_limits::MachineSize = machine_limits::MachineSize {
    memory_mb: 260,
    descriptors: 4_100,
};
/// Interval at which due faults are injected and the log files written; short enough that a log
/// buffer does not fill up.
const STEP_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Runs and processor use of a backend server.
#[derive(Clone, Debug)]
pub(super) struct ServerRecord {
    pub(super) name: String,
    pub(super) cpu_millis: u32,
    pub(super) runs: Vec<fake_server::RunRecord>,
    pub(super) peak_cpu_millis: u32,
}

/// Process with its log buffer, and its log file if logs are written.
#[derive(Debug)]
struct LoggedProcess {
    embedded: embedded_process::EmbeddedProcess,
    log: Arc<process_log::LogBuffer>,
    log_path: Option<path::PathBuf>,
}

/// Running deployment on loopback.
#[derive(Debug)]
pub(super) struct LocalDeployment {
    _store: emulated_store::EmulatedStore,
    /// Emulated servers, each with a copy of the `FakeServer` that it was started with.
    servers: Vec<(fake_server::FakeServer, emulated_server::EmulatedServer)>,
    /// Processes in the order of their names `entry-1`, `entry-2` and so on.
    processes: Vec<LoggedProcess>,
}

impl LocalDeployment {
    pub(super) async fn start(plan: &LoadTestPlan) -> Result<Self, LoadTestError> {
        let start_error = |component| move |source| LoadTestError::Start { component, source };
        let store = emulated_store::EmulatedStore::start()
            .await
            .map_err(start_error("the store"))?;
        job_submission::publish_routes(&store, HOST, SERVICE, &load_pattern::JOB_CLASSES);
        let mut servers = Vec::new();
        for server in &plan.pattern.servers {
            let emulated =
                emulated_server::EmulatedServer::start_with_server(server.clone(), FAILURE_DOMAIN)
                    .await
                    .map_err(start_error("a backend server"))?;
            emulated.register(&store);
            servers.push((server.clone(), emulated));
        }
        let mut processes = Vec::new();
        for number in 1..=plan.process_count {
            let settings = process_settings(&format!("entry-{number}"), &store);
            let log = Arc::new(process_log::LogBuffer::default());
            let log_path = plan
                .log_directory
                .as_ref()
                .map(|directory| directory.join(format!("{}.log", settings.node_name)));
            let logger = match log_path {
                Some(_) => process_log::buffered_logger(&log, &settings.node_name),
                None => slog::Logger::root(slog::Discard, slog::o!()),
            };
            processes.push(LoggedProcess {
                embedded: embedded_process::EmbeddedProcess::start(settings, logger)
                    .map_err(start_error("a process"))?,
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

    /// Waits until all processes are ready.
    pub(super) async fn wait_until_ready(&self) -> Result<(), LoadTestError> {
        let timeout_at = tokio::time::Instant::now() + READY_TIMEOUT;
        for process in &self.processes {
            while !process.embedded.is_ready().await {
                if tokio::time::Instant::now() > timeout_at {
                    return Err(LoadTestError::NotReady {
                        timeout: READY_TIMEOUT,
                    });
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    pub(super) fn caller_addresses(&self) -> Vec<Arc<str>> {
        self.processes
            .iter()
            .map(|process| Arc::clone(&process.embedded.settings.caller_address))
            .collect()
    }

    /// Returns the processor time that each process has used so far.
    pub(super) fn processor_times(&self) -> Vec<time::Duration> {
        self.processes
            .iter()
            .map(|process| process.embedded.processor_time())
            .collect()
    }

    pub(super) fn server_records(&self) -> Vec<ServerRecord> {
        self.servers
            .iter()
            .map(|(server, emulated)| {
                let (runs, peak_cpu_millis) = emulated.runs_and_peak_cpu();
                ServerRecord {
                    name: String::from(&*server.entry.id),
                    cpu_millis: server.entry.cpu_millis,
                    runs,
                    peak_cpu_millis,
                }
            })
            .collect()
    }

    /// Appends the buffered log lines to the log files.
    pub(super) fn flush_logs(&self) -> Result<(), LoadTestError> {
        for process in &self.processes {
            let Some(path) = &process.log_path else {
                continue;
            };
            let lines = process.log.take_lines();
            let result = fs::File::options()
                .append(true)
                .create(true)
                .open(path)
                .and_then(|mut file| file.write_all(&lines));
            result.map_err(|source| LoadTestError::Log {
                path: path.clone(),
                source,
            })?;
        }
        Ok(())
    }

    /// Kills the leader, which is the first process: among equal processes, the first by name
    /// leads.
    fn kill_leader(&self) {
        if let Some(leader) = self.processes.first() {
            leader.embedded.kill();
        }
    }
}

/// Injects the faults of a load pattern at their times and kills the leader at `kill_leader_at`,
/// both counted from `started_at`. Flushes the logs at each step. Runs until it is aborted.
pub(super) async fn inject_faults(
    deployment: Arc<LocalDeployment>,
    mode_changes: Vec<load_pattern::ServerModeChange>,
    kill_leader_at: Option<time::Duration>,
    started_at: tokio::time::Instant,
) {
    let mut mode_changes = mode_changes.into_iter().peekable();
    let mut kill_leader_at = kill_leader_at.map(|at| started_at + at);
    loop {
        let now = tokio::time::Instant::now();
        while let Some(change) = mode_changes.next_if(|change| started_at + change.at <= now) {
            if let Some((_, emulated)) = deployment.servers.get(change.server) {
                emulated.set_mode(change.mode);
            }
        }
        if kill_leader_at.take_if(|at| *at <= now).is_some() {
            deployment.kill_leader();
        }
        if let Err(error) = deployment.flush_logs() {
            eprintln!("cuminkeel: {error}");
        }
        tokio::time::sleep(STEP_INTERVAL).await;
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
        failure_domain: Arc::from(FAILURE_DOMAIN),
        caller_address,
        ready_address,
        link_address,
        ip: Arc::from(ip.to_string()),
        seeds: Vec::new(),
        cpu_share: CPU_SHARE,
        machine_size: MACHINE_SIZE,
        store_address: Arc::from(store.address()),
        max_lease: time::Duration::from_secs(1),
        resend_delay: time::Duration::from_millis(1_300),
        stop_time: time::Duration::from_millis(50),
        stop_grace: time::Duration::from_secs(3),
        config_apply: time::Duration::from_secs(2),
        regions: BTreeMap::new(),
        evacuation_bound: None,
    }
}
