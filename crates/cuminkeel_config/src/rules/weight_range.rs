//! ## What it does
//! Refuses weights outside 1 to [`MAX_WEIGHT`].
//!
//! ## Why is this bad?
//! A weight of zero would starve the customer; a huge one would starve all others.
//!
//! ## Example
//! `plan set gold --weight 0` is refused.

use crate::{edit, lists};

/// Largest weight of a plan.
pub const MAX_WEIGHT: u32 = 1_000;

/// Whether the rule is broken.
pub(super) fn broken(edit: &edit::ListEdit, _: &lists::ConfigLists) -> bool {
    match edit {
        edit::ListEdit::PutPlan(draft) => !(1..=MAX_WEIGHT).contains(&draft.weight),
        _ => false,
    }
}
