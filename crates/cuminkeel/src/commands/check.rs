//! `cuminkeel check`: validates a settings file.

use std::process;

use argh::FromArgs;
use cuminkeel_entry::settings;

use crate::error;

/// Validate a settings file; every error is shown with its line and column.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckCommand {
    /// path of the file
    #[argh(positional)]
    file: String,
}

pub(crate) fn run(command: &CheckCommand) -> Result<process::ExitCode, error::CommandError> {
    let settings = read_settings(&command.file)?;
    println!(
        "{}: settings of {} in {} are valid",
        command.file, settings.vm, settings.failure_domain
    );
    Ok(process::ExitCode::SUCCESS)
}

/// Reads and checks a settings file.
pub(crate) fn read_settings(path: &str) -> Result<settings::EntrySettings, error::CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| error::CommandError::File {
        path: path.into(),
        source,
    })?;
    settings::parse(&text).map_err(|source| error::CommandError::Settings {
        path: path.into(),
        source,
    })
}
