//! `cuminkeel report`: a page with plots of the bench's journal.

use std::{fs, path, process};

use argh::FromArgs;
use cuminkeel::bench_report;

use crate::error;

/// Write a page with plots of the runs in a journal: worth by day, parts, and prices.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub(crate) struct ReportCommand {
    /// directory with the journal's entries
    #[argh(positional)]
    journal: path::PathBuf,
    /// file to be written
    #[argh(option, default = "path::PathBuf::from(\"report.html\")")]
    output: path::PathBuf,
}

pub(crate) fn run(command: &ReportCommand) -> Result<process::ExitCode, error::CommandError> {
    let runs = bench_report::read_journal(&command.journal)?;
    let page = bench_report::render(&runs)?;
    fs::write(&command.output, page).map_err(|source| error::CommandError::Unwritable {
        path: command.output.clone(),
        source,
    })?;
    println!("{} runs in {}", runs.len(), command.output.display());
    Ok(process::ExitCode::SUCCESS)
}
