//! `cuminkeel demo`: a whole deployment on loopback, for a first look.

use std::process;

use argh::FromArgs;
use cuminkeel_standin::demo;

use crate::error;

/// Run a whole deployment on loopback: jobs of two customers, one entry drained
/// under load, one plan edited.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoCommand {
    /// print one JSON object instead of text
    #[argh(switch)]
    json: bool,
    /// seed of everything drawn at random
    #[argh(option, default = "1")]
    seed: u64,
}

pub(crate) fn run(command: &DemoCommand) -> Result<process::ExitCode, error::CommandError> {
    let progress: &dyn Fn(&str) = if command.json {
        &|_line| {}
    } else {
        &|line| println!("{line}")
    };
    let report = super::runtime()?.block_on(demo::run(command.seed, progress))?;
    if command.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        println!("{report}");
    }
    if report.is_clean() {
        Ok(process::ExitCode::SUCCESS)
    } else {
        Ok(process::ExitCode::FAILURE)
    }
}
