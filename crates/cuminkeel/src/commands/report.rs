//! `cuminkeel report`: writes an HTML page with plots of the benchmark tool's journal.

use std::{fs, path, process};

use argh::FromArgs;
use cuminkeel::bench_report;

use crate::error;

/// Write an HTML page with plots and tables of the runs in the journal of the platform's benchmark
/// tool (not of `cuminkeel bench`): worth by day, parts and prices.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub(crate) struct ReportCommand {
    /// directory with the journal entries
    #[argh(positional)]
    journal: path::PathBuf,
    /// path of the page to write
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
    println!(
        "report on a journal of {} entries written to {}",
        runs.len(),
        command.output.display()
    );
    Ok(process::ExitCode::SUCCESS)
}
