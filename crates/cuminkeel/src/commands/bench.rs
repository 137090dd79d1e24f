//! `cuminkeel bench`: simulates load patterns in virtual time, without processes or sockets.

use std::process;

use argh::FromArgs;
use cuminkeel_replay::replay_report;

use crate::error;

/// Simulate load patterns in virtual time and print the worth that the server pool's default
/// policies and baseline policies earn, with an upper bound; `bench list` lists the patterns,
/// `bench worst-load` simulates all of them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub(crate) struct BenchCommand {
    /// name of a load pattern, `worst-load` or `list`
    #[argh(positional)]
    pattern: String,
    /// seed of the random generator
    #[argh(option, default = "1")]
    seed: u64,
}

pub(crate) fn run(command: &BenchCommand) -> Result<process::ExitCode, error::CommandError> {
    let specs = replay_report::worst_pattern_specs(command.seed);
    let selected: Vec<_> = match &*command.pattern {
        "list" => {
            for spec in specs {
                println!("{}", spec.name);
            }
            return Ok(process::ExitCode::SUCCESS);
        }
        "worst-load" => specs,
        name => specs.into_iter().filter(|spec| spec.name == name).collect(),
    };
    if selected.is_empty() {
        return Err(error::CommandError::UnknownPattern {
            name: command.pattern.clone(),
        });
    }
    print!("{:20}", "pattern");
    for (name, _) in replay_report::compared_policies() {
        print!("  {name:>13}");
    }
    println!("  {:>13}", "bound");
    for row in replay_report::compare(&selected) {
        print!("{:20}", row.pattern);
        for worth_share in &row.worth_shares {
            print!("  {worth_share:>13.3}");
        }
        println!("  {:>13.3}", row.bound);
    }
    Ok(process::ExitCode::SUCCESS)
}
