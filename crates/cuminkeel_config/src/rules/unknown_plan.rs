//! ## What it does
//! Refuses a customer whose plan is not in the plans' list.
//!
//! ## Why is this bad?
//! An entry would not know what the customer may use.
//!
//! ## Example
//! `customer set wire-mill --plan gold` is refused before `plan set gold`.

use crate::{edit, lists};

/// Whether the rule is broken.
pub(super) fn broken(edit: &edit::ListEdit, lists: &lists::ConfigLists) -> bool {
    match edit {
        edit::ListEdit::PutCustomer(draft) => !lists.plans.contains_key(&draft.plan),
        _ => false,
    }
}
