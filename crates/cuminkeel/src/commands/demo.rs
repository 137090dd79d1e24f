//! `cuminkeel demo`: runs a deployment on loopback and kills its leader.

use std::{process, time};

use argh::FromArgs;
use cuminkeel::load_test;
use cuminkeel_replay::{load_pattern, replay_report};

use crate::error;

/// Seed of the load pattern.
const SEED: u64 = 1;
/// Number of processes, all in one failure domain.
const PROCESS_COUNT: u16 = 3;
/// Time after the start of the arrivals at which the leader is killed.
const KILL_LEADER_AT: time::Duration = time::Duration::from_secs(3);
/// Duration for which jobs arrive.
const ARRIVAL_DURATION: time::Duration = time::Duration::from_secs(6);

/// Run a complete deployment on loopback, with all processes in this program, for a few seconds and
/// kill its leader.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoCommand {}

pub(crate) fn run(_command: &DemoCommand) -> Result<process::ExitCode, error::CommandError> {
    println!(
        "{PROCESS_COUNT} processes, a store and 16 backend servers on loopback; the leader is \
         killed after {} s.",
        KILL_LEADER_AT.as_secs()
    );
    let plan = load_test::LoadTestPlan {
        pattern: load_pattern::draw(&replay_report::worst_pattern_specs(SEED)[0]),
        seed: SEED,
        process_count: PROCESS_COUNT,
        arrival_duration: ARRIVAL_DURATION,
        kill_leader_at: Some(KILL_LEADER_AT),
        log_directory: None,
    };
    super::load::run_plan(&plan, false)
}
