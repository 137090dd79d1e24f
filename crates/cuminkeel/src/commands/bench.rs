//! `cuminkeel bench`: scenarios of load and faults against real entries.

use std::{process, time};

use argh::FromArgs;
use cuminkeel_dispatch::factory;
use cuminkeel_entry::{settings, telemetry};
use cuminkeel_replay::replay_report;
use cuminkeel_standin::{
    capacity,
    load::{
        catalog, deployment, entry_fleet, error as load_error, plan, report, run, scenarios::base,
        table,
    },
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
    if command.scenario == "worst-load" {
        replay_worst_load(command.seed);
        return Ok(process::ExitCode::SUCCESS);
    }
    if command.scenario == "capacity" {
        return measure_capacity(command);
    }
    let report = super::runtime()?.block_on(measure(command))?;
    if command.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        println!("{}", table::table(&report));
    }
    Ok(process::ExitCode::SUCCESS)
}

/// Measures the slopes of each role's cost.
fn measure_capacity(command: &BenchCommand) -> Result<process::ExitCode, error::CommandError> {
    let report = capacity::measure(command.seed);
    if command.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(process::ExitCode::SUCCESS);
    }
    println!("machine busy {:.0}%", report.machine_busy_share * 100.0);
    for series in &report.series {
        println!("{}: {} by {}", series.role, series.figure, series.size_unit);
        for point in &series.points {
            println!("  {:>6}  {:.2}", point.size, point.value);
        }
        let fit = &series.fit;
        println!(
            "  fit {:.2} + {:.4} n, rms residual {:.2}",
            fit.base, fit.slope, fit.rms_residual
        );
    }
    Ok(process::ExitCode::SUCCESS)
}

/// Prints the worth of each load pattern under the pool's rules and the baselines.
fn replay_worst_load(seed: u64) {
    print!("{:20}", "pattern");
    for (name, _) in replay_report::compared_rules() {
        print!("  {name:>13}");
    }
    println!("  {:>13}", "bound");
    for row in replay_report::compare(seed) {
        print!("{:20}", row.pattern);
        for worth in &row.worth {
            print!("  {worth:>13.3}");
        }
        println!("  {:>13.3}", row.bound);
    }
}

fn list_scenarios() {
    println!(
        "{:16} load patterns through the decisions of a pool, in virtual time",
        "worst-load"
    );
    println!("{:16} slopes of each role's cost", "capacity");
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
