//! ## What it does
//! Refuses a new row beyond [`MAX_PLANS`] or [`MAX_CUSTOMERS`].
//!
//! ## Why is this bad?
//! The lists are held in memory by each entry and passed on whole; they must stay bounded.
//!
//! ## Example
//! `customer set` of customer 2001 is refused until another is removed.

use crate::{edit, lists};

/// Most rows of the plans' list.
pub const MAX_PLANS: usize = 500;
/// Most rows of the customers' list.
pub const MAX_CUSTOMERS: usize = 2_000;

/// Whether the rule is broken.
pub(super) fn broken(edit: &edit::ListEdit, lists: &lists::ConfigLists) -> bool {
    match edit {
        edit::ListEdit::PutPlan(draft) => {
            lists.plans.len() >= MAX_PLANS && !lists.plans.contains_key(&draft.name)
        }
        edit::ListEdit::PutCustomer(draft) => {
            lists.customers.len() >= MAX_CUSTOMERS && !lists.customers.contains_key(&draft.name)
        }
        edit::ListEdit::RemovePlan(_) | edit::ListEdit::RemoveCustomer(_) => false,
    }
}
