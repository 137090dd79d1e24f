//! Verdicts of the fold, case by case.

use crate::support::{bytes, customer, keyed_customer, plan};
use cuminkeel_config::{edit, fold, record, rules, verdict};
use rules::RefusalReason;

const KEY: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    Accepted(u64),
    Conflict(u64),
    Refused(RefusalReason),
    DuplicateOf(u64),
}

fn summarize(verdict: &verdict::EditVerdict) -> Expected {
    match verdict {
        verdict::EditVerdict::Accepted { version } => Expected::Accepted(version.0),
        verdict::EditVerdict::Conflict { winner } => Expected::Conflict(winner.version().0),
        verdict::EditVerdict::Refused { reason } => Expected::Refused(*reason),
        verdict::EditVerdict::Duplicate { offset, .. } => Expected::DuplicateOf(*offset),
    }
}

/// Plan `gold` in version 2 and customer `mill` in version 1 with a key.
fn seeded_fold() -> fold::ConfigFold {
    let mut fold = fold::ConfigFold::default();
    let records = [
        bytes(1, 0, plan("gold", 1)),
        bytes(2, 1, plan("gold", 2)),
        bytes(3, 0, keyed_customer("mill", "gold", &[KEY])),
    ];
    for (offset, record) in (0..).zip(records) {
        let folded = fold.apply(offset, &record).expect("in order");
        assert!(matches!(
            folded.verdict,
            verdict::EditVerdict::Accepted { .. }
        ));
    }
    fold
}

fn check(name: &str, record: &[u8], expected: Expected) {
    let mut fold = seeded_fold();
    let before = fold.lists().clone();
    let folded = fold.apply(3, record).expect("in order");
    assert_eq!(summarize(&folded.verdict), expected, "{name}");
    assert_eq!(fold.offset(), 4, "{name}: the fold goes on");
    let after = fold.lists();
    let changed = after.plans != before.plans || after.customers != before.customers;
    assert_eq!(changed, matches!(expected, Expected::Accepted(_)), "{name}");
}

#[test]
fn each_version_gets_its_verdict() {
    let silver = || plan("silver", 1);
    let gold = || plan("gold", 3);
    let remove_mill = edit::ListEdit::RemoveCustomer("mill".into());
    let cases = [
        ("new plan", bytes(9, 0, silver()), Expected::Accepted(1)),
        ("next version", bytes(9, 2, gold()), Expected::Accepted(3)),
        ("removal", bytes(9, 1, remove_mill), Expected::Accepted(2)),
        ("stale version", bytes(9, 1, gold()), Expected::Conflict(2)),
        ("version ahead", bytes(9, 3, gold()), Expected::Conflict(2)),
        (
            "create over existing",
            bytes(9, 0, gold()),
            Expected::Conflict(2),
        ),
        (
            "same id again",
            bytes(2, 1, plan("gold", 2)),
            Expected::DuplicateOf(1),
        ),
        (
            "same id, other edit",
            bytes(2, 2, gold()),
            Expected::DuplicateOf(1),
        ),
    ];
    for (name, record, expected) in cases {
        check(name, &record, expected);
    }
}

#[test]
fn each_bad_record_is_refused() {
    let whole = bytes(9, 0, plan("silver", 1));
    let mut altered = whole.clone();
    altered[40] ^= 1;
    let cases = [
        ("damaged", altered, RefusalReason::DamagedRecord),
        (
            "cut short",
            whole[..20].to_vec(),
            RefusalReason::DamagedRecord,
        ),
        ("empty", Vec::new(), RefusalReason::DamagedRecord),
        (
            "trailing byte",
            reseal(&[whole.clone(), vec![0]].concat(), record::EDIT_FORMAT),
            RefusalReason::DamagedRecord,
        ),
        (
            "newer format",
            reseal(&whole, record::EDIT_FORMAT + 1),
            RefusalReason::NewerFormat,
        ),
    ];
    for (name, record, reason) in cases {
        check(name, &record, Expected::Refused(reason));
    }
}

#[test]
fn each_bad_edit_is_refused() {
    let keys: Vec<String> = (0..9).map(|n| format!("{n:064x}")).collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    let remove = |name: &str| edit::ListEdit::RemovePlan(name.into());
    let cases = [
        (
            "name with space",
            0,
            plan("a b", 1),
            RefusalReason::NameSyntax,
        ),
        ("empty name", 0, plan("", 1), RefusalReason::NameSyntax),
        (
            "weight zero",
            0,
            plan("silver", 0),
            RefusalReason::WeightRange,
        ),
        (
            "weight too large",
            0,
            plan("silver", 1001),
            RefusalReason::WeightRange,
        ),
        ("limit zero", 0, limits(0, 1), RefusalReason::LimitsRange),
        (
            "limit overflows",
            0,
            limits(1, u32::MAX),
            RefusalReason::LimitsRange,
        ),
        (
            "class twice",
            0,
            classes(&["price", "price"]),
            RefusalReason::ClassCount,
        ),
        (
            "too many keys",
            0,
            keyed_customer("b", "gold", &keys),
            RefusalReason::KeyDigestCount,
        ),
        (
            "key twice",
            1,
            keyed_customer("mill", "gold", &[KEY, KEY]),
            RefusalReason::KeyDigestCount,
        ),
        (
            "key in clear",
            0,
            keyed_customer("b", "gold", &["secret"]),
            RefusalReason::KeyDigestSyntax,
        ),
        (
            "key of another",
            0,
            keyed_customer("b", "gold", &[KEY]),
            RefusalReason::KeyDigestTaken,
        ),
        (
            "unknown plan",
            0,
            customer("b", "tin"),
            RefusalReason::UnknownPlan,
        ),
        ("plan in use", 2, remove("gold"), RefusalReason::PlanInUse),
        ("unknown row", 0, remove("tin"), RefusalReason::UnknownRow),
    ];
    for (name, based_on, edit, reason) in cases {
        check(name, &bytes(9, based_on, edit), Expected::Refused(reason));
    }
}

fn limits(max_concurrent_tasks: u32, max_task_starts_per_second: u32) -> edit::ListEdit {
    edit::ListEdit::PutPlan(edit::PlanDraft {
        name: "silver".into(),
        weight: 1,
        max_concurrent_tasks,
        max_task_starts_per_second,
        classes: Vec::new(),
    })
}

fn classes(names: &[&str]) -> edit::ListEdit {
    edit::ListEdit::PutPlan(edit::PlanDraft {
        name: "silver".into(),
        weight: 1,
        max_concurrent_tasks: 1,
        max_task_starts_per_second: 1,
        classes: names.iter().map(|name| (*name).into()).collect(),
    })
}

#[test]
fn versions_go_on_after_a_removal() {
    let mut fold = seeded_fold();
    let remove = edit::ListEdit::RemoveCustomer("mill".into());
    let records = [
        (bytes(10, 1, remove), Expected::Accepted(2)),
        (
            bytes(11, 0, customer("mill", "gold")),
            Expected::Conflict(2),
        ),
        (
            bytes(12, 2, customer("mill", "gold")),
            Expected::Accepted(3),
        ),
    ];
    for (offset, (record, expected)) in (3..).zip(records) {
        let folded = fold.apply(offset, &record).expect("in order");
        assert_eq!(summarize(&folded.verdict), expected);
    }
}

#[test]
fn a_duplicate_outside_the_window_has_no_effect() {
    let mut fold = seeded_fold();
    let create = bytes(10, 0, plan("silver", 1));
    fold.apply(3, &create).expect("in order");
    let remove = bytes(11, 1, edit::ListEdit::RemovePlan("silver".into()));
    fold.apply(4, &remove).expect("in order");
    for n in 0..fold::RECENT_EDITS as u64 {
        let edit = bytes(1_000 + u128::from(n), n + 2, plan("gold", 1));
        fold.apply(5 + n, &edit).expect("in order");
    }
    let folded = fold.apply(fold.offset(), &create).expect("in order");
    assert_eq!(summarize(&folded.verdict), Expected::Conflict(2));
}

#[test]
fn a_record_out_of_order_changes_nothing() {
    let mut fold = seeded_fold();
    let before = fold.clone();
    for offset in [0, 2, 4, u64::MAX] {
        let refused = fold.apply(offset, &bytes(9, 0, plan("silver", 1)));
        let expected = fold::OrderError {
            expected: 3,
            found: offset,
        };
        assert_eq!(refused, Err(expected));
        assert_eq!(fold, before);
    }
}

/// The same frame with another format number and a right digest.
fn reseal(bytes: &[u8], format: u16) -> Vec<u8> {
    let (header, body) = bytes.split_at(30);
    let mut header = header.to_vec();
    header[4..6].copy_from_slice(&format.to_le_bytes());
    let mut hasher = blake3::Hasher::new();
    hasher.update(&header[..22]);
    hasher.update(body);
    header[22..30].copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    [header, body.to_vec()].concat()
}
