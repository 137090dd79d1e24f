//! The commands, one file each.

mod bench;
mod check;
mod demo;
mod entry;
mod lists;
mod openapi;
mod standin;
mod status;
mod submit;

use std::process;

use argh::FromArgs;
use cuminkeel::operator;

use crate::{args, error};

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Bench(bench::BenchCommand),
    Check(check::CheckCommand),
    Customer(operator::customer::CustomerCommand),
    Demo(demo::DemoCommand),
    Entry(entry::EntryCommand),
    Openapi(openapi::OpenapiCommand),
    Plan(operator::plan::PlanCommand),
    Standin(standin::StandinCommand),
    Status(status::StatusCommand),
    Submit(submit::SubmitCommand),
}

/// Runs one command.
pub(crate) fn run(arguments: args::Arguments) -> Result<process::ExitCode, error::CommandError> {
    let platform = arguments.platform;
    match arguments.command {
        Command::Bench(command) => bench::run(&command),
        Command::Customer(command) => lists::run_customer(command, platform),
        Command::Plan(command) => lists::run_plan(command, platform),
        Command::Check(command) => check::run(&command),
        Command::Demo(command) => demo::run(&command),
        Command::Entry(command) => entry::run(&command),
        Command::Openapi(command) => openapi::run(&command),
        Command::Standin(command) => standin::run(&command),
        Command::Status(command) => status::run(&command),
        Command::Submit(command) => submit::run(&command),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, error::CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    Ok(runtime)
}
