//! ## What it does
//! Refuses a key digest that belongs to another customer.
//!
//! ## Why is this bad?
//! A key must name one customer, or one caller's answers could be shown to another.
//!
//! ## Example
//! `customer set b --key-digest D` is refused while customer `a` has `D`.

use crate::{edit, lists};

/// Whether the rule is broken.
pub(super) fn broken(edit: &edit::ListEdit, lists: &lists::ConfigLists) -> bool {
    match edit {
        edit::ListEdit::PutCustomer(draft) => {
            let mut others = lists
                .customers
                .values()
                .filter(|row| row.name != draft.name);
            others.any(|row| {
                row.key_digests
                    .iter()
                    .any(|digest| draft.key_digests.contains(digest))
            })
        }
        _ => false,
    }
}
