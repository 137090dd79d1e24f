//! `cuminkeel bench`: simulates load patterns in virtual time, without processes or sockets.

use std::{process, time};

use argh::FromArgs;
use cuminkeel_replay::{load_scenario, replay_report};

use crate::error;

/// Simulate load patterns in virtual time and print the worth that the server pool's default
/// policies and baseline policies earn, with an upper bound; `bench worst-load` simulates
/// all patterns, `bench list` also lists the scenarios of several domains for `experiment`.
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
    let patterns = replay_report::draw_all(
        &replay_report::worst_pattern_specs(command.seed),
        &replay_report::shortage_specs(command.seed),
    );
    let selected: Vec<_> = match &*command.pattern {
        "list" => {
            for scenario in load_scenario::all_scenarios(command.seed) {
                println!("{}", scenario.name);
            }
            return Ok(process::ExitCode::SUCCESS);
        }
        "worst-load" => patterns,
        name => patterns
            .into_iter()
            .filter(|pattern| pattern.name == name)
            .collect(),
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
    let rows = replay_report::compare(&selected);
    for row in &rows {
        print!("{:20}", row.pattern);
        for worth_share in &row.worth_shares {
            print!("  {worth_share:>13.3}");
        }
        println!("  {:>13.3}", row.bound);
    }
    println!();
    println!(
        "{:20}  {:>8}  {:>8}  {:>8}  {:>8}  {:>8}  {:>8}  {:>8}  {:>17}",
        "jobs (cuminkeel)",
        "in time",
        "late",
        "refused",
        "of them*",
        "held",
        "held s",
        "given up",
        "worth by class"
    );
    for row in &rows {
        let counts = &row.end_counts;
        println!(
            "{:20}  {:>8}  {:>8}  {:>8}  {:>8}  {:>8}  {:>8.1}  {:>8}  {:>5.3} {:>5.3} {:>5.3}",
            row.pattern,
            counts.in_time,
            counts.late,
            counts.refused,
            counts.refused_with_room,
            counts.held,
            time::Duration::from_millis(counts.held_ms).as_secs_f64(),
            counts.given_up,
            row.class_worth_shares[0],
            row.class_worth_shares[1],
            row.class_worth_shares[2]
        );
    }
    println!("* while healthy servers had room for all of their tasks");
    Ok(process::ExitCode::SUCCESS)
}
