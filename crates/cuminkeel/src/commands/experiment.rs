//! `cuminkeel experiment`: compares variants of the policies in virtual time.

use std::{fs, path, process};

use argh::FromArgs;
use cuminkeel::{experiment_page, policy_experiment};

use crate::error;

/// Compare variants of the policies on the load scenarios of `bench list`, paired by seed: a table for each
/// scenario with mean differences and their 95 % intervals, and an HTML page with plots.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub(crate) struct ExperimentCommand {
    /// YAML file with seeds, scenarios and variants
    #[argh(positional)]
    plan: path::PathBuf,
    /// path of the HTML page to write
    #[argh(option)]
    output: Option<path::PathBuf>,
}

pub(crate) fn run(command: &ExperimentCommand) -> Result<process::ExitCode, error::CommandError> {
    let plan = policy_experiment::ExperimentPlan::read(&command.plan)?;
    let progress = indicatif::ProgressBar::new(policy_experiment::task_count(&plan));
    let tables = policy_experiment::run(&plan, &|| progress.inc(1));
    progress.finish_and_clear();
    print!("{}", experiment_page::render_text(&tables));
    if let Some(output) = &command.output {
        let page = experiment_page::render(&tables)?;
        fs::write(output, page).map_err(|source| error::CommandError::Unwritable {
            path: output.clone(),
            source,
        })?;
        println!("page written to {}", output.display());
    }
    let violations: usize = tables
        .iter()
        .flat_map(|table| &table.rows)
        .map(|row| row.violations)
        .sum();
    Ok(if violations == 0 {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    })
}
