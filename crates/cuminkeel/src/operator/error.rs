//! Failures of operators' commands and their exit status.

use cuminkeel_config::{edit, rules, session, verdict};
use derive_more::{Display, Error, From};

use super::in_force;

/// Exit status when nothing was changed.
const UNCHANGED_STATUS: u8 = 1;
/// Exit status when it is unknown whether the edit took effect.
const UNKNOWN_STATUS: u8 = 3;
/// Exit status when the edit was accepted but is not known to be in force.
const NOT_IN_FORCE_STATUS: u8 = 4;

/// Why a command failed.
#[derive(Clone, Debug, Display, Error, From)]
pub enum OperatorError {
    /// The verdict is not known, or nothing was sent.
    #[display("{_0}")]
    Session(session::SessionError),
    /// Another edit of the row came first.
    #[display("edit {id} lost to another one: {}", describe(winner))]
    Conflict {
        /// The edit.
        id: edit::EditId,
        /// The row as it stands.
        winner: verdict::RowState,
    },
    /// A rule refuses the edit.
    #[display("edit {id} refused: {reason}")]
    Refused {
        /// The edit.
        id: edit::EditId,
        /// The rule.
        reason: rules::RefusalReason,
    },
    /// A new key was asked for while an earlier try is to be settled.
    #[display("give --key-digest of the key shown before, not --new-key; nothing was changed")]
    NewKeyForOldEdit,
    /// The lists can't be read.
    #[display("the log could not be read in time")]
    LogUnreadable,
    /// Accepted, but some entries do not show it.
    #[display("{_0}")]
    NotInForce(in_force::WaitError),
}

impl OperatorError {
    /// Exit status of the command.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Session(session::SessionError::Unknown { .. }) => UNKNOWN_STATUS,
            Self::NotInForce(_) => NOT_IN_FORCE_STATUS,
            _ => UNCHANGED_STATUS,
        }
    }
}

fn describe(row: &verdict::RowState) -> String {
    match row {
        verdict::RowState::Plan(row) => super::plan::describe(row),
        verdict::RowState::Customer(row) => super::customer::describe(row),
        verdict::RowState::Absent { version } => format!("the row was removed, version {version}"),
    }
}
