//! ## What it does
//! Refuses limits of zero or above [`MAX_CONCURRENT_TASKS`] and [`MAX_STARTS_PER_SECOND`].
//!
//! ## Why is this bad?
//! Sums of limits must not overflow, and a customer that may start nothing is removed rather than set to zero.
//!
//! ## Example
//! `plan set gold --max-concurrent 4294967295` is refused.

use crate::{edit, lists};

/// Largest number of concurrent tasks that a plan may grant.
pub const MAX_CONCURRENT_TASKS: u32 = 1_000_000;
/// Largest number of task starts per second that a plan may grant.
pub const MAX_STARTS_PER_SECOND: u32 = 1_000_000;

/// Whether the rule is broken.
pub(super) fn broken(edit: &edit::ListEdit, _: &lists::ConfigLists) -> bool {
    match edit {
        edit::ListEdit::PutPlan(draft) => {
            !(1..=MAX_CONCURRENT_TASKS).contains(&draft.max_concurrent_tasks)
                || !(1..=MAX_STARTS_PER_SECOND).contains(&draft.max_task_starts_per_second)
        }
        _ => false,
    }
}
