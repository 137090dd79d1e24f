//! ## What it does
//! Refuses the removal of a row that does not exist.
//!
//! ## Why is this bad?
//! The operator most likely mistyped the name.
//!
//! ## Example
//! `plan remove glod` is refused.

use crate::{edit, lists};

/// Whether the rule is broken.
pub(super) fn broken(edit: &edit::ListEdit, lists: &lists::ConfigLists) -> bool {
    match edit {
        edit::ListEdit::RemovePlan(name) => !lists.plans.contains_key(name),
        edit::ListEdit::RemoveCustomer(name) => !lists.customers.contains_key(name),
        edit::ListEdit::PutPlan(_) | edit::ListEdit::PutCustomer(_) => false,
    }
}
