//! Errors of commands and their exit status.

use std::{io, path, process};

use cuminkeel::{bench_report, load_test, policy_experiment};
use derive_more::{Display, Error, From};

/// Exit status for an unknown pattern, a plan that can't be used, any error of a report, and for a page that can't be
/// written.
const USAGE_STATUS: u8 = 2;

/// Error that ends a command.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CommandError {
    /// The async runtime can't be created.
    #[display("can't create the async runtime: {_0}")]
    Runtime(io::Error),
    /// A load test can't be run.
    #[display("{_0}")]
    LoadTest(load_test::LoadTestError),
    /// The plan of an experiment can't be used.
    #[display("{_0}")]
    Experiment(policy_experiment::ExperimentError),
    /// A report can't be created.
    #[display("{_0}")]
    Report(bench_report::ReportError),
    /// A result can't be encoded as JSON.
    #[display("can't encode the result as JSON: {_0}")]
    Json(serde_json::Error),
    /// The page of a report can't be written.
    #[display("can't write {}: {source}", path.display())]
    #[from(skip)]
    Unwritable {
        /// Path of the page.
        path: path::PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// No kind of crowd has the requested name.
    #[display("unknown kind of crowd `{name}`; `cuminkeel crowd --help` lists the kinds")]
    #[from(skip)]
    UnknownCrowd {
        /// Name as given on the command line.
        #[error(not(source))]
        name: String,
    },
    /// No load pattern has the requested name.
    #[display("unknown load pattern `{name}`; `cuminkeel bench list` lists the patterns")]
    #[from(skip)]
    UnknownPattern {
        /// Name as given on the command line.
        #[error(not(source))]
        name: String,
    },
}

impl CommandError {
    pub(crate) fn exit_code(&self) -> process::ExitCode {
        match self {
            Self::Experiment(_)
            | Self::Report(_)
            | Self::UnknownCrowd { .. }
            | Self::UnknownPattern { .. }
            | Self::Unwritable { .. } => USAGE_STATUS.into(),
            Self::LoadTest(_) | Self::Json(_) | Self::Runtime(_) => process::ExitCode::FAILURE,
        }
    }
}
