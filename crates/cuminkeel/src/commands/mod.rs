//! The commands, one file each.

mod bench;
mod check;
mod demo;
mod entry;
mod status;

use std::process;

use argh::FromArgs;

use crate::error;

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Bench(bench::BenchCommand),
    Check(check::CheckCommand),
    Demo(demo::DemoCommand),
    Entry(entry::EntryCommand),
    Status(status::StatusCommand),
}

/// Runs one command.
pub(crate) fn run(command: Command) -> Result<process::ExitCode, error::CommandError> {
    match command {
        Command::Bench(command) => bench::run(&command),
        Command::Check(command) => check::run(&command),
        Command::Demo(command) => demo::run(&command),
        Command::Entry(command) => entry::run(&command),
        Command::Status(command) => status::run(&command),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, error::CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    Ok(runtime)
}
