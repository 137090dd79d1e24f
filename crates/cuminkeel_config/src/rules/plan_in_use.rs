//! ## What it does
//! Refuses the removal of a plan that a customer still has.
//!
//! ## Why is this bad?
//! The customer would be left without terms.
//!
//! ## Example
//! `plan remove gold` is refused until its customers have moved to another plan.

use crate::{edit, lists};

/// Whether the rule is broken.
pub(super) fn broken(edit: &edit::ListEdit, lists: &lists::ConfigLists) -> bool {
    match edit {
        edit::ListEdit::RemovePlan(name) => lists.customers.values().any(|row| row.plan == *name),
        _ => false,
    }
}
