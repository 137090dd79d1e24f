//! ## What it does
//! Refuses a plan with more than [`MAX_CLASSES`] classes, or with one class twice.
//!
//! ## Why is this bad?
//! The size of the lists, of their snapshots and of peers' messages must stay bounded.
//!
//! ## Example
//! `plan set gold --class price --class price` is refused.

use std::collections;

use crate::{edit, lists};

/// Most classes of one plan.
pub const MAX_CLASSES: usize = 64;

/// Whether the rule is broken.
pub(super) fn broken(edit: &edit::ListEdit, _: &lists::ConfigLists) -> bool {
    match edit {
        edit::ListEdit::PutPlan(draft) => {
            let distinct: collections::BTreeSet<_> = draft.classes.iter().collect();
            draft.classes.len() > MAX_CLASSES || distinct.len() < draft.classes.len()
        }
        _ => false,
    }
}
