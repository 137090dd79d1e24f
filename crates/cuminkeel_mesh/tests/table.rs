//! Views of membership merge to the same result in any order.

use std::net;

use cuminkeel_mesh::{
    border,
    membership::{message, table},
};
use cuminkeel_types::{names, time};
use proptest::{prelude::*, test_runner};

const VMS: [&str; 3] = ["vm-0", "vm-1", "vm-2"];

/// Process `incarnation` always runs on the same VM, with a generation of its own.
fn state(incarnation: u64, status: message::MemberStatus) -> message::MemberState {
    let vm = VMS[usize::try_from(incarnation).unwrap() % VMS.len()];
    message::MemberState {
        record: border::MemberRecord {
            vm: vm.into(),
            incarnation: names::IncarnationId(incarnation),
            domain: names::FailureDomain::from("gebze"),
            rack: names::RackName::from("r1"),
            address: net::SocketAddr::from(([10, 0, 0, 1], 7_000)),
            leaving: status == message::MemberStatus::Leaving,
        },
        generation: table::mix(incarnation) % 4,
        status,
    }
}

fn arbitrary_state() -> impl Strategy<Value = message::MemberState> {
    let status = prop_oneof![
        Just(message::MemberStatus::Live),
        Just(message::MemberStatus::Leaving),
        Just(message::MemberStatus::Gone),
    ];
    (1_u64..13, status).prop_map(|(incarnation, status)| state(incarnation, status))
}

fn merged<'a>(states: impl IntoIterator<Item = &'a message::MemberState>) -> table::MemberTable {
    let mut table = table::MemberTable::default();
    for state in states {
        table.merge(time::TimePoint::ZERO, state.clone());
    }
    table
}

fn live(table: &table::MemberTable) -> Vec<message::MemberState> {
    table.iter().cloned().collect()
}

/// Exchanges what two tables would send each other until nothing changes.
fn synchronise(left: &mut table::MemberTable, right: &mut table::MemberTable) {
    let domain = table::domain_key(&names::FailureDomain::from("gebze"));
    for _ in 0..4 {
        for (from, to) in [(0, 1), (1, 0)] {
            let tables = [&mut *left, &mut *right];
            let mut states = tables[from].domain_states(domain);
            while let Some(state) = states.pop() {
                let outcome = tables[to].merge(time::TimePoint::ZERO, state);
                if let table::MergeOutcome::Outdated { newer } = outcome {
                    tables[from].merge(time::TimePoint::ZERO, newer);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_gone_process_never_returns(states in proptest::collection::vec(arbitrary_state(), 0..40)) {
        let mut table = table::MemberTable::default();
        let mut gone = Vec::new();
        for state in states {
            let incarnation = state.record.incarnation;
            let status = state.status;
            table.merge(time::TimePoint::ZERO, state);
            if status == message::MemberStatus::Gone {
                gone.push(incarnation);
            }
            prop_assert!(gone.iter().all(|gone| table.get(*gone).is_none()));
            for vm in VMS {
                let count = table.iter().filter(|state| state.record.vm.as_str() == vm).count();
                prop_assert!(count <= 1, "{} processes of {}", count, vm);
            }
        }
    }

    #[test]
    fn two_views_agree_after_an_exchange(
        left in proptest::collection::vec(arbitrary_state(), 0..20),
        right in proptest::collection::vec(arbitrary_state(), 0..20),
    ) {
        let mut left = merged(&left);
        let mut right = merged(&right);
        synchronise(&mut left, &mut right);
        prop_assert_eq!(live(&left), live(&right));
        prop_assert_eq!(left.digests(), right.digests());
    }

    #[test]
    fn merging_again_changes_nothing(states in proptest::collection::vec(arbitrary_state(), 0..40)) {
        let once = merged(&states);
        let twice = merged(states.iter().chain(&states));
        prop_assert_eq!(live(&once), live(&twice));
    }
}
