//! ## What it does
//! Refuses a record that is no whole edit: cut short, altered, or with a body that does not decode.
//!
//! ## Why is this bad?
//! Anyone who can append may write anything. Such a record must not stall the fold, and every entry must judge it alike.
//!
//! ## Example
//! A record cut in half gets `damaged_record`, and the fold goes on behind it.

use crate::record;

/// Whether the rule is broken.
pub(super) fn broken(fault: &record::RecordFault) -> bool {
    matches!(
        fault,
        record::RecordFault::Damaged | record::RecordFault::BadBody { .. }
    )
}
