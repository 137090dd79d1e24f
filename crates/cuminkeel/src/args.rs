//! The command line.

use std::net;

use argh::FromArgs;

use crate::commands;

/// Dispatcher for sub-second tasks.
#[derive(Debug, FromArgs)]
pub(crate) struct Arguments {
    /// address of the platform, such as 127.0.0.1:9000; needed to edit the lists
    #[argh(option)]
    pub(crate) platform: Option<net::SocketAddr>,
    #[argh(subcommand)]
    pub(crate) command: commands::Command,
}
