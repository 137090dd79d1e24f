//! ## What it does
//! Refuses an edit in a format of a newer release.
//!
//! ## Why is this bad?
//! During a rolling replacement old and new releases fold the same stream. An edit that only some understand would make their lists differ.
//!
//! ## Example
//! Format 2 is refused by a release that knows format 1, with the edit's id, so its operator sees it. A later release may accept a new format only from an offset that the log itself names.

use crate::record;

/// Whether the rule is broken.
pub(super) fn broken(fault: &record::RecordFault) -> bool {
    matches!(fault, record::RecordFault::NewerFormat { .. })
}
