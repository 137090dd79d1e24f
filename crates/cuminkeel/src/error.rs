//! Failures of commands and their exit status.

use std::{io, path, process};

use cuminkeel::{bench_report, load_test};
use derive_more::{Display, Error, From};

/// Exit status when the command line or a file is at fault.
const USAGE_STATUS: u8 = 2;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CommandError {
    /// The runtime can't be had.
    #[display("the system gives no runtime: {_0}")]
    Runtime(io::Error),
    /// A load run can't be made.
    #[display("{_0}")]
    LoadTest(load_test::LoadTestError),
    /// A report can't be made.
    #[display("{_0}")]
    Report(bench_report::ReportError),
    /// A result can't be written as JSON.
    #[display("can't write JSON: {_0}")]
    Json(serde_json::Error),
    /// A file can't be written.
    #[display("can't write {}: {source}", path.display())]
    #[from(skip)]
    Unwritable {
        /// Its path.
        path: path::PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// No pattern has that name.
    #[display("no load pattern `{name}`; `cuminkeel bench list` names them")]
    #[from(skip)]
    UnknownPattern {
        /// The name.
        #[error(not(source))]
        name: String,
    },
}

impl CommandError {
    pub(crate) fn exit_code(&self) -> process::ExitCode {
        match self {
            Self::Report(_) | Self::UnknownPattern { .. } | Self::Unwritable { .. } => {
                USAGE_STATUS.into()
            }
            Self::LoadTest(_) | Self::Json(_) | Self::Runtime(_) => process::ExitCode::FAILURE,
        }
    }
}
