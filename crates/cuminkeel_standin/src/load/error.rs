//! Why a run could not be made.

use std::{io, sync};

use cuminkeel_config::record;
use cuminkeel_platform::border;
use derive_more::{Display, Error, From};

use super::fleet;

/// Why a run could not be made.
#[derive(Debug, Display, Error, From)]
pub enum LoadError {
    /// A stand-in could not listen.
    #[display("a stand-in could not start: {_0}")]
    Listen(io::Error),
    /// The entries could not be started.
    #[display("{_0}")]
    Fleet(fleet::FleetError),
    /// The first lists could not be published.
    #[display("the lists could not be published: {_0}")]
    Publish(border::PlatformError),
    /// An edit does not fit into a record.
    #[display("{_0}")]
    Encode(record::EncodeError),
    /// No scenario has this name.
    #[display("unknown scenario {name}; `bench list` names them")]
    #[from(skip)]
    UnknownScenario {
        /// The name.
        name: sync::Arc<str>,
    },
}
