//! The command line.

use argh::FromArgs;

use crate::commands;

/// Dispatcher for sub-second tasks: load runs, replays and reports.
#[derive(Debug, FromArgs)]
pub(crate) struct Arguments {
    #[argh(subcommand)]
    pub(crate) command: commands::Command,
}
