//! Load test: runs a load pattern in real time through processes, a store and backend servers
//! over sockets on loopback.
//!
//! All of them are in this program. A process runs the code of `cuminkeel-node` in a thread with a
//! runtime of its own; killing it closes its sockets abruptly, as SIGKILL would.

mod load_caller;
mod load_result;
mod local_deployment;

use std::{io, path, sync::Arc, time};

use cuminkeel_replay::load_pattern;
use derive_more::{Display, Error};

pub use load_caller::{CallOutcome, CallRecord};
pub use load_result::{ClassRow, InvariantViolation, LoadResult};

/// Parameters of a load test.
#[derive(Clone, Debug)]
pub struct LoadTestPlan {
    /// Load pattern, which gives the arrivals, the servers and their faults.
    pub pattern: load_pattern::LoadPattern,
    /// Seed of the load pattern.
    pub seed: u64,
    /// Number of processes, all in one failure domain.
    pub process_count: u16,
    /// Duration for which jobs arrive; at most the duration of a pattern.
    pub arrival_duration: time::Duration,
    /// Time after the start of the arrivals at which the leader is killed; `None` for no kill.
    pub kill_leader_at: Option<time::Duration>,
    /// Existing directory for one log file per process; no logs are written without it.
    pub log_directory: Option<path::PathBuf>,
}

/// Error that prevents a load test or its result.
#[derive(Debug, Display, Error)]
pub enum LoadTestError {
    /// A component can't be started: no port, thread or runtime is available.
    #[display("can't start {component}: {source}")]
    Start {
        /// Component, with its article.
        component: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A log file can't be written.
    #[display("can't write log file {}: {source}", path.display())]
    Log {
        /// Path of the file.
        path: path::PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// Not all of the processes were ready before the time-out.
    #[display("not all processes were ready within {} s", timeout.as_secs())]
    NotReady {
        /// Time-out for all processes.
        timeout: time::Duration,
    },
}

/// Runs the load test that `plan` describes, and returns its result.
///
/// # Errors
///
/// Returns an error if a component can't be started, if the processes don't become ready in
/// time, or if a log file can't be written.
pub async fn run(plan: &LoadTestPlan) -> Result<LoadResult, LoadTestError> {
    let deployment = Arc::new(local_deployment::LocalDeployment::start(plan).await?);
    deployment.wait_until_ready().await?;
    let started_at = tokio::time::Instant::now();
    let faults = tokio::spawn(local_deployment::inject_faults(
        Arc::clone(&deployment),
        plan.pattern.mode_changes.clone(),
        plan.kill_leader_at,
        started_at,
    ));
    let used_before = deployment.processor_times();
    let arrivals = plan.pattern.arrivals.iter().cloned();
    let call_records = load_caller::submit_all(
        &deployment.caller_addresses(),
        arrivals.take_while(|arrival| arrival.at < plan.arrival_duration),
        started_at,
    )
    .await;
    // Faults after the last answer can't affect the result.
    faults.abort();
    let processor_times = deployment.processor_times().into_iter();
    let processor_times: Vec<time::Duration> = processor_times
        .zip(used_before)
        .map(|(used, before)| used.saturating_sub(before))
        .collect();
    let result = load_result::evaluate(
        plan,
        &call_records,
        &deployment.server_records(),
        &processor_times,
    );
    deployment.flush_logs()?;
    Ok(result)
}
