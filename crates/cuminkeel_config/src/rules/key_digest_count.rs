//! ## What it does
//! Refuses a customer with more than [`MAX_KEY_DIGESTS`] key digests, or with one twice.
//!
//! ## Why is this bad?
//! A few keys are enough to replace one without a gap; the lists must stay bounded.
//!
//! ## Example
//! A ninth `--key-digest` is refused until an old one is dropped.

use std::collections;

use crate::{edit, lists};

/// Most key digests of one customer.
pub const MAX_KEY_DIGESTS: usize = 8;

/// Whether the rule is broken.
pub(super) fn broken(edit: &edit::ListEdit, _: &lists::ConfigLists) -> bool {
    match edit {
        edit::ListEdit::PutCustomer(draft) => {
            let distinct: collections::BTreeSet<_> = draft.key_digests.iter().collect();
            draft.key_digests.len() > MAX_KEY_DIGESTS || distinct.len() < draft.key_digests.len()
        }
        _ => false,
    }
}
