//! ## What it does
//! Refuses names that are empty, longer than [`MAX_NAME_BYTES`], or hold other characters than `a-z`, `0-9`, `-`, `_` and `.`.
//!
//! ## Why is this bad?
//! Names appear in metrics, logs and commands. Look-alike or invisible characters would let two customers pass for one.
//!
//! ## Example
//! `customer set 'Wire Mill'` is refused, `customer set wire-mill` is accepted.

use crate::{edit, lists};

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Whether the rule is broken.
pub(super) fn broken(edit: &edit::ListEdit, _: &lists::ConfigLists) -> bool {
    match edit {
        edit::ListEdit::PutPlan(draft) => {
            let mut classes = draft.classes.iter();
            !valid(draft.name.as_str()) || classes.any(|class| !valid(class.as_str()))
        }
        edit::ListEdit::PutCustomer(draft) => {
            !valid(draft.name.as_str()) || !valid(draft.plan.as_str())
        }
        edit::ListEdit::RemovePlan(_) | edit::ListEdit::RemoveCustomer(_) => false,
    }
}

fn valid(name: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}
