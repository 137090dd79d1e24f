//! Command line arguments.

use argh::FromArgs;

use crate::commands;

/// Load tests, simulations and reports of the dispatcher for sub-second tasks.
#[derive(Debug, FromArgs)]
pub(crate) struct Arguments {
    #[argh(subcommand)]
    pub(crate) command: commands::Command,
}
