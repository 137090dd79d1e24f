//! ## What it does
//! Refuses key digests that are not 64 lower-case hexadecimal digits.
//!
//! ## Why is this bad?
//! A digest written differently would never match a caller's key, and the customer would be locked out.
//!
//! ## Example
//! `customer set wire-mill --plan gold --key-digest secret` is refused.

use crate::{edit, lists};

const DIGEST_CHARS: usize = 64;

/// Whether the rule is broken.
pub(super) fn broken(edit: &edit::ListEdit, _: &lists::ConfigLists) -> bool {
    match edit {
        edit::ListEdit::PutCustomer(draft) => !draft.key_digests.iter().all(|digest| valid(digest)),
        _ => false,
    }
}

fn valid(digest: &str) -> bool {
    let hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    digest.len() == DIGEST_CHARS && digest.bytes().all(hex)
}
