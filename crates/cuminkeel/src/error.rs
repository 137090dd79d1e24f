//! Failures of commands and their exit status.

use std::{io, process, sync};

use cuminkeel::operator;
use cuminkeel_entry::{api, settings, telemetry};
use cuminkeel_kernel::error;
use cuminkeel_standin::{fleet, load};
use derive_more::{Display, Error, From};

/// Exit status when the command line or a file is at fault.
const USAGE_STATUS: u8 = 2;
/// Exit status of any other failure.
const FAILURE_STATUS: u8 = 1;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CommandError {
    /// A file can't be read.
    #[display("can't read {path}: {source}")]
    #[from(skip)]
    File {
        /// Its path.
        path: sync::Arc<str>,
        /// The failure.
        source: io::Error,
    },
    /// Settings are wrong.
    #[display("{path}:\n{source}")]
    #[from(skip)]
    Settings {
        /// Path of the file.
        path: sync::Arc<str>,
        /// The errors.
        source: settings::error::SettingsError,
    },
    /// The runtime or a signal handler can't be had.
    #[display("the system refused: {_0}")]
    System(io::Error),
    /// The platform's address is missing.
    #[display("give the platform's address: cuminkeel --platform IP:PORT …")]
    #[from(skip)]
    NoPlatform,
    /// An edit was not accepted, or not in force.
    #[display("{_0}")]
    Operator(operator::error::OperatorError),
    /// The entry can't start.
    #[display("{_0}")]
    Kernel(error::KernelError),
    /// The interface can't be described.
    #[display("{_0}")]
    Api(api::ApiServerError),
    /// Traces can't be exported.
    #[display("{_0}")]
    Traces(telemetry::TraceError),
    /// Metrics can't be exported.
    #[display("{_0}")]
    Metrics(telemetry::MetricsError),
    /// The deployment on loopback can't start.
    #[display("{_0}")]
    Fleet(fleet::FleetError),
    /// An entry can't be asked.
    #[display("{_0}")]
    Call(fleet::CallError),
    /// JSON can't be read or written.
    #[display("JSON is at fault: {_0}")]
    Json(serde_json::Error),
    /// A load run can't be made.
    #[display("{_0}")]
    Load(load::error::LoadError),
}

impl CommandError {
    pub(crate) fn exit_code(&self) -> process::ExitCode {
        match self {
            Self::File { .. } | Self::Settings { .. } | Self::NoPlatform => USAGE_STATUS.into(),
            Self::Operator(failure) => failure.exit_status().into(),
            _ => FAILURE_STATUS.into(),
        }
    }
}
