//! `cuminkeel demo`: a deployment on loopback that loses its leader.

use std::{process, time};

use argh::FromArgs;
use cuminkeel::load_test;
use cuminkeel_replay::replay_report;

use crate::error;

/// Processes of the demo.
const PROCESSES: u16 = 3;
/// When the leader is killed.
const LOSS_AT: time::Duration = time::Duration::from_secs(3);
/// How long jobs arrive.
const LENGTH: time::Duration = time::Duration::from_secs(6);

/// Run a whole deployment on loopback for some seconds, and kill the process that leads.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoCommand {}

pub(crate) fn run(_command: &DemoCommand) -> Result<process::ExitCode, error::CommandError> {
    println!(
        "{PROCESSES} processes, a store and 16 backend servers on loopback; the process that \
         leads is killed after {} s.",
        LOSS_AT.as_secs()
    );
    let plan = load_test::LoadTestPlan {
        pattern: replay_report::worst_pattern_specs(1)[0],
        process_count: PROCESSES,
        arrival_duration: LENGTH,
        kill_leader_at: Some(LOSS_AT),
        log_directory: None,
    };
    super::load::run_plan(&plan, false)
}
