//! Configuration: the fold's time and the lists' size by the number of customers.

use cuminkeel_config::{edit, fold, record, snapshot};
use cuminkeel_platform::border;
use cuminkeel_types::names;

use super::{CapacityPoint, CapacitySeries, micros_each};

const SIZES: [usize; 3] = [110, 330, 990];
const EDITS: usize = 2_500;
const PLANS: usize = 10;

pub(super) fn measure() -> Vec<CapacitySeries> {
    let mut fold_points = Vec::new();
    let mut size_points = Vec::new();
    for size in SIZES {
        let mut fold = filled_fold(size);
        let edits: Vec<_> = (0..EDITS)
            .map(|number| edit_bytes(&fold, number, size))
            .collect();
        let value = micros_each(EDITS, || {
            for bytes in &edits {
                apply(&mut fold, bytes);
            }
        });
        fold_points.push(CapacityPoint { size, value });
        let parts = snapshot::encode_snapshot(&fold, border::MAX_RECORD_BYTES);
        let bytes: usize = parts.map_or(0, |parts| parts.iter().map(Vec::len).sum());
        size_points.push(CapacityPoint {
            size,
            value: bytes as f64,
        });
    }
    vec![
        CapacitySeries::new(
            "configuration",
            "µs per edit folded",
            "customers",
            fold_points,
        ),
        CapacitySeries::new("configuration", "snapshot bytes", "customers", size_points),
    ]
}

fn apply(fold: &mut fold::ConfigFold, bytes: &[u8]) {
    let offset = fold.offset();
    // The offset is the fold's own, so the record is the next one.
    let _ = fold.apply(offset, bytes);
}

fn filled_fold(customers: usize) -> fold::ConfigFold {
    let mut fold = fold::ConfigFold::default();
    for number in 0..PLANS {
        let edit = edit::ListEdit::PutPlan(plan_draft(number, 1));
        apply(&mut fold, &encode(number, 0, edit));
    }
    for number in 0..customers {
        let digest = blake3::hash(&number.to_le_bytes()).to_hex().to_string();
        let edit = edit::ListEdit::PutCustomer(edit::CustomerDraft {
            name: names::CustomerName::new(format!("customer-{number}")),
            plan: names::PlanName::new(format!("plan-{}", number % PLANS)),
            key_digests: vec![digest],
        });
        apply(&mut fold, &encode(PLANS + number, 0, edit));
    }
    fold
}

/// An edit of a plan in turn, based on the version that stands by then.
fn edit_bytes(fold: &fold::ConfigFold, number: usize, customers: usize) -> Vec<u8> {
    let plan = number % PLANS;
    let key = edit::RowKey::Plan(names::PlanName::new(format!("plan-{plan}")));
    let rounds = u64::try_from(number / PLANS).unwrap_or(0);
    let version = fold.row(&key).version().0 + rounds;
    let weight = u32::try_from(1 + number % 1_000).unwrap_or(1);
    let edit = edit::ListEdit::PutPlan(plan_draft(plan, weight));
    encode(PLANS + customers + number, version, edit)
}

fn plan_draft(number: usize, weight: u32) -> edit::PlanDraft {
    edit::PlanDraft {
        name: names::PlanName::new(format!("plan-{number}")),
        weight,
        max_concurrent_tasks: 100,
        max_task_starts_per_second: 1_000,
        classes: Vec::new(),
    }
}

fn encode(id: usize, based_on: u64, edit: edit::ListEdit) -> Vec<u8> {
    let record = edit::EditRecord {
        id: edit::EditId(u128::try_from(id).unwrap_or(0) + 1),
        based_on: edit::RowVersion(based_on),
        edit,
    };
    record::encode_edit(&record, border::MAX_RECORD_BYTES).unwrap_or_default()
}
