//! Why a deployment on loopback could not start.

use std::io;

use cuminkeel_config::record;
use cuminkeel_kernel::error;
use cuminkeel_platform::border;
use derive_more::{Display, Error, From};

/// Failure of a deployment on loopback.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    /// A stand-in can't listen.
    #[display("stand-in can't listen: {_0}")]
    Standin(io::Error),
    /// An entry did not start.
    #[display("entry did not start: {_0}")]
    Entry(error::KernelError),
    /// The platform refused the lists.
    #[display("lists were not written: {_0}")]
    Platform(border::PlatformError),
    /// An edit can't be encoded.
    #[display("edit can't be encoded: {_0}")]
    Edit(record::EncodeError),
    /// The entries did not see what they should in time.
    #[display("the entries were not ready in time")]
    #[from(skip)]
    NotReady,
}
