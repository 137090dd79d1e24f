//! `cuminkeel bench`: load patterns through the decisions alone.

use std::process;

use argh::FromArgs;
use cuminkeel_replay::replay_report;

use crate::error;

/// Replay load patterns through the decisions of a pool, in virtual time, beside baseline
/// policies and a bound; `bench list` names the patterns, `bench worst-load` replays all.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub(crate) struct BenchCommand {
    /// name of a pattern, `worst-load` or `list`
    #[argh(positional)]
    pattern: String,
    /// seed of everything drawn at random
    #[argh(option, default = "1")]
    seed: u64,
}

pub(crate) fn run(command: &BenchCommand) -> Result<process::ExitCode, error::CommandError> {
    let all = replay_report::worst_pattern_specs(command.seed);
    let chosen: Vec<_> = match &*command.pattern {
        "list" => {
            for pattern in all {
                println!("{}", pattern.name);
            }
            return Ok(process::ExitCode::SUCCESS);
        }
        "worst-load" => all,
        name => all
            .into_iter()
            .filter(|pattern| pattern.name == name)
            .collect(),
    };
    if chosen.is_empty() {
        return Err(error::CommandError::UnknownPattern {
            name: command.pattern.clone(),
        });
    }
    print!("{:20}", "pattern");
    for (name, _) in replay_report::compared_policies() {
        print!("  {name:>13}");
    }
    println!("  {:>13}", "bound");
    for row in replay_report::compare(&chosen) {
        print!("{:20}", row.pattern);
        for worth in &row.worth_shares {
            print!("  {worth:>13.3}");
        }
        println!("  {:>13.3}", row.bound);
    }
    Ok(process::ExitCode::SUCCESS)
}
