//! A load pattern in real time through processes, a store and backend servers on loopback.

mod load_caller;
mod load_result;
mod local_site;

use std::{io, path, sync::Arc, time};

use cuminkeel_replay::load_pattern;
use derive_more::{Display, Error};

pub use load_caller::{CallOutcome, CallRecord};
pub use load_result::{ClassRow, InvariantViolation, LoadResult};

/// What to play.
#[derive(Clone, Debug)]
pub struct LoadTestPlan {
    /// The load.
    pub pattern: load_pattern::PatternSpec,
    /// Processes, all in one failure domain.
    pub process_count: u16,
    /// How long jobs arrive; at most the length of a pattern.
    pub arrival_duration: time::Duration,
    /// When the process that leads is killed.
    pub kill_leader_at: Option<time::Duration>,
    /// Directory for a log file of each process.
    pub log_directory: Option<path::PathBuf>,
}

/// Why an experiment can't be made.
#[derive(Debug, Display, Error)]
pub enum LoadTestError {
    /// No port, thread or runtime is left.
    #[display("the system has nothing left for {part}: {source}")]
    System {
        /// What it was for.
        part: &'static str,
        /// Error of the system.
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
    /// The processes don't serve in time.
    #[display("the processes were not ready after {} s", waited.as_secs())]
    NotReady {
        /// How long they were waited for.
        waited: time::Duration,
    },
}

/// Plays a plan.
///
/// # Errors
///
/// Fails when the system gives too little, or the processes don't become ready.
pub async fn run(plan: &LoadTestPlan) -> Result<LoadResult, LoadTestError> {
    let site = Arc::new(local_site::LocalSite::start(plan).await?);
    site.ready().await?;
    let pattern = load_pattern::draw(&plan.pattern);
    let begun = tokio::time::Instant::now();
    let faults = tokio::spawn(local_site::carry_out_faults(
        Arc::clone(&site),
        pattern.faults.clone(),
        plan.kill_leader_at,
        begun,
    ));
    let arrivals = pattern.arrivals.into_iter();
    let answers = load_caller::submit_all(
        &site.caller_addresses(),
        arrivals.take_while(|arrival| arrival.at < plan.arrival_duration),
        begun,
    )
    .await;
    // Faults that are later than the last answer have nothing left to disturb.
    faults.abort();
    let result = load_result::evaluate(plan, &answers, &site.records());
    site.finish_logs()?;
    Ok(result)
}
