//! `cuminkeel load`: runs a load test.

use std::{path, process, time};

use argh::FromArgs;
use cuminkeel::load_test;
use cuminkeel_replay::replay_report;

use crate::error;

/// Run a load pattern or a shortage of one failure domain in `bench list` in real time through processes, a store and backend
/// servers over sockets on loopback; each process is a thread of this program with its own runtime.
/// The worth is not comparable with that of `bench`.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct LoadCommand {
    /// name of the load pattern
    #[argh(positional)]
    pattern: String,
    /// seed of the random generator
    #[argh(option, default = "1")]
    seed: u64,
    /// size of the failure domain in units of 16 servers with their arrivals, 1 by default; 7 is a domain
    /// of the users' enlarged sites
    #[argh(option, default = "1")]
    size: usize,
    /// number of processes, all in one failure domain
    #[argh(option, default = "3")]
    processes: u16,
    /// seconds for which jobs arrive, at most 12
    #[argh(option, default = "12")]
    seconds: u64,
    /// second at which the leader is killed
    #[argh(option)]
    kill_leader_at: Option<u64>,
    /// existing directory for one log file per process, for `cuminkeel-node explain`
    #[argh(option)]
    logs: Option<path::PathBuf>,
    /// print one JSON object instead of a table
    #[argh(switch)]
    json: bool,
}

pub(crate) fn run(command: &LoadCommand) -> Result<process::ExitCode, error::CommandError> {
    let size = command.size.max(1);
    let Some(pattern) = replay_report::draw_named(&command.pattern, command.seed, size) else {
        return Err(error::CommandError::UnknownPattern {
            name: command.pattern.clone(),
        });
    };
    let plan = load_test::LoadTestPlan {
        pattern,
        seed: command.seed,
        process_count: command.processes.max(1),
        arrival_duration: time::Duration::from_secs(command.seconds),
        kill_leader_at: command.kill_leader_at.map(time::Duration::from_secs),
        log_directory: command.logs.clone(),
    };
    run_plan(&plan, command.json)
}

/// Runs a load test and prints its result. Returns a failure status if an invariant was
/// violated.
pub(super) fn run_plan(
    plan: &load_test::LoadTestPlan,
    json: bool,
) -> Result<process::ExitCode, error::CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(load_test::run(plan))?;
    if json {
        println!("{}", serde_json::to_string_pretty(&result)?);
    } else {
        print!("{}", result.render_table());
    }
    Ok(if result.violations.is_empty() {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    })
}
