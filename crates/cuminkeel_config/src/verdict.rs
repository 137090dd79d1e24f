//! What the fold decided about a record.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{edit, lists, rules};

/// A row as it stood when an edit lost against it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RowState {
    /// The plan that stands.
    Plan(lists::PlanRow),
    /// The customer that stands.
    Customer(lists::CustomerRow),
    /// No such row; `version` counts its removal, zero if it never existed.
    Absent {
        /// Version that an edit must be based on.
        version: edit::RowVersion,
    },
}

impl RowState {
    /// The version that the next edit must be based on.
    pub fn version(&self) -> edit::RowVersion {
        match self {
            Self::Plan(row) => edit::RowVersion(row.version),
            Self::Customer(row) => edit::RowVersion(row.version),
            Self::Absent { version } => *version,
        }
    }
}

/// What became of one record of the edit stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EditVerdict {
    /// The edit is in force from the next offset on.
    Accepted {
        /// Version that the row has now.
        version: edit::RowVersion,
    },
    /// The edit was based on another version of the row.
    Conflict {
        /// The row that stands.
        winner: RowState,
    },
    /// A rule refuses the edit.
    Refused {
        /// The rule.
        reason: rules::RefusalReason,
    },
    /// The edit stood on the log before; this record has no effect.
    Duplicate {
        /// Where it stood first.
        offset: u64,
        /// What became of it there.
        first: VerdictSummary,
    },
}

/// A verdict without the row, as kept for recent edits.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum VerdictSummary {
    /// See [`EditVerdict::Accepted`].
    #[display("accepted as version {version}")]
    Accepted {
        /// Version that the row got.
        version: edit::RowVersion,
    },
    /// See [`EditVerdict::Conflict`].
    #[display("in conflict with version {version}")]
    Conflict {
        /// Version that stood.
        version: edit::RowVersion,
    },
    /// See [`EditVerdict::Refused`].
    #[display("refused: {reason}")]
    Refused {
        /// The rule.
        reason: rules::RefusalReason,
    },
}

impl EditVerdict {
    /// The verdict without the row.
    pub fn summary(&self) -> VerdictSummary {
        match self {
            Self::Accepted { version } => VerdictSummary::Accepted { version: *version },
            Self::Conflict { winner } => VerdictSummary::Conflict {
                version: winner.version(),
            },
            Self::Refused { reason } => VerdictSummary::Refused { reason: *reason },
            Self::Duplicate { first, .. } => *first,
        }
    }
}
