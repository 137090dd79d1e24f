//! The two lists of a run: one plan and one API key for each customer.

use std::sync;

use cuminkeel_config::{edit, record};
use cuminkeel_platform::border;
use rand::{RngExt, rngs};

use super::plan;

/// Edits that create the plans, then the customers.
pub(super) fn first_edits(
    customers: &[plan::CustomerPlan],
    api_keys: &[sync::Arc<str>],
    rng: &mut rngs::StdRng,
) -> Vec<edit::EditRecord> {
    let plans = customers.iter().map(plan_edit);
    let rows = customers
        .iter()
        .zip(api_keys)
        .map(|(customer, key)| customer_edit(customer, key));
    plans
        .chain(rows)
        .map(|edit| edit::EditRecord {
            id: edit::EditId(rng.random()),
            based_on: edit::RowVersion(0),
            edit,
        })
        .collect()
}

/// An API key for each customer.
pub(super) fn draw_api_keys(
    customers: &[plan::CustomerPlan],
    rng: &mut rngs::StdRng,
) -> Vec<sync::Arc<str>> {
    customers
        .iter()
        .map(|customer| format!("{}-{:032x}", customer.name, rng.random::<u128>()).into())
        .collect()
}

/// The edit as a record of the log.
pub(super) fn encoded(edit: &edit::EditRecord) -> Result<Vec<u8>, record::EncodeError> {
    record::encode_edit(edit, border::MAX_RECORD_BYTES)
}

fn plan_edit(customer: &plan::CustomerPlan) -> edit::ListEdit {
    edit::ListEdit::PutPlan(edit::PlanDraft {
        name: customer.name.into(),
        weight: customer.weight,
        max_concurrent_tasks: customer.max_concurrent,
        max_task_starts_per_second: customer.max_starts_per_second,
        classes: Vec::new(),
    })
}

fn customer_edit(customer: &plan::CustomerPlan, api_key: &str) -> edit::ListEdit {
    edit::ListEdit::PutCustomer(edit::CustomerDraft {
        name: customer.name.into(),
        plan: customer.name.into(),
        key_digests: vec![blake3::hash(api_key.as_bytes()).to_hex().to_string()],
    })
}
