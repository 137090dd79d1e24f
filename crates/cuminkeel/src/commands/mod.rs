//! Commands of the program, one module per command.

mod bench;
mod crowd;
mod demo;
mod experiment;
mod load;
mod report;

use std::process;

use argh::FromArgs;

use crate::error;

/// Command to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Bench(bench::BenchCommand),
    Crowd(crowd::CrowdCommand),
    Demo(demo::DemoCommand),
    Experiment(experiment::ExperimentCommand),
    Load(load::LoadCommand),
    Report(report::ReportCommand),
}

/// Runs a command and returns its exit status.
pub(crate) fn run(command: Command) -> Result<process::ExitCode, error::CommandError> {
    match command {
        Command::Bench(command) => bench::run(&command),
        Command::Crowd(command) => crowd::run(&command),
        Command::Demo(command) => demo::run(&command),
        Command::Experiment(command) => experiment::run(&command),
        Command::Load(command) => load::run(&command),
        Command::Report(command) => report::run(&command),
    }
}
