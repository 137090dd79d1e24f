//! `cuminkeel bench`: scenarios of load and faults against real entries.

use std::{process, time};

use argh::FromArgs;
use cuminkeel_dispatch::factory;
use cuminkeel_entry::{settings, telemetry};
use cuminkeel_standin::load::{
    catalog, deployment, entry_fleet, error as load_error, plan, report, run, scenarios::base,
    table,
};

use crate::error;

/// Run a scenario with the product's policy and the baselines, one after the
/// other; `bench list` names the scenarios.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub(crate) struct BenchCommand {
    /// name of the scenario, or `list`
    #[argh(positional)]
    scenario: String,
    /// seed of everything drawn at random
    #[argh(option, default = "1")]
    seed: u64,
    /// anadolu or perekat
    #[argh(option, default = "deployment::Deployment::Anadolu")]
    deployment: deployment::Deployment,
    /// seconds for which jobs arrive, for each policy
    #[argh(option, default = "6")]
    seconds: u64,
    /// run this policy only; may be given more than once
    #[argh(option)]
    policy: Vec<String>,
    /// print one JSON object instead of a table
    #[argh(switch)]
    json: bool,
}

pub(crate) fn run(command: &BenchCommand) -> Result<process::ExitCode, error::CommandError> {
    if command.scenario == "list" {
        list_scenarios();
        return Ok(process::ExitCode::SUCCESS);
    }
    let report = super::runtime()?.block_on(measure(command))?;
    if command.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        println!("{}", table::table(&report));
    }
    Ok(process::ExitCode::SUCCESS)
}

fn list_scenarios() {
    for scenario in catalog::SCENARIOS {
        println!("{:16} {}", scenario.name, scenario.summary);
    }
}

async fn measure(command: &BenchCommand) -> Result<report::ScenarioReport, load_error::LoadError> {
    let options = plan::LoadOptions {
        deployment: command.deployment,
        seed: command.seed,
        span: time::Duration::from_secs(command.seconds),
    };
    let fleets = entry_fleet::LoopbackFactory {
        deployment: command.deployment,
        seats_per_domain: u32::try_from(base::ENTRIES_PER_DOMAIN).unwrap_or(u32::MAX),
        log: telemetry::root_logger(&settings::LogSettings {
            format: settings::LogFormat::Terminal,
            level: settings::LogLevel::Error,
        }),
    };
    let chosen: Vec<&str> = match command.policy.as_slice() {
        [] => factory::POLICY_NAMES.to_vec(),
        chosen => chosen.iter().map(String::as_str).collect(),
    };
    run::run_policies(&command.scenario, options, &fleets, &chosen).await
}
