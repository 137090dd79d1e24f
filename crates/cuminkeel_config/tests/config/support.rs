//! Edits for tests.

use cuminkeel_config::{edit, record};

/// Largest log record in tests.
pub const LIMIT: usize = 64 * 1024;

pub fn plan(name: &str, weight: u32) -> edit::ListEdit {
    edit::ListEdit::PutPlan(edit::PlanDraft {
        name: name.into(),
        weight,
        max_concurrent_tasks: 10,
        max_task_starts_per_second: 100,
        classes: Vec::new(),
    })
}

pub fn customer(name: &str, plan: &str) -> edit::ListEdit {
    keyed_customer(name, plan, &[])
}

pub fn keyed_customer(name: &str, plan: &str, keys: &[&str]) -> edit::ListEdit {
    edit::ListEdit::PutCustomer(edit::CustomerDraft {
        name: name.into(),
        plan: plan.into(),
        key_digests: keys.iter().map(|key| (*key).to_owned()).collect(),
    })
}

pub fn bytes(id: u128, based_on: u64, edit: edit::ListEdit) -> Vec<u8> {
    let record = edit::EditRecord {
        id: edit::EditId(id),
        based_on: edit::RowVersion(based_on),
        edit,
    };
    record::encode_edit(&record, LIMIT).expect("test edits are small")
}
