//! Single parts of the policy: division of slots, loans, reports, admission.

use std::time;

use cuminkeel_dispatch::{admission, event, server_pool, slot_division, slot_lending, speed_model};
use cuminkeel_types::{names, outcome, time as clock};
use proptest::{prelude::*, test_runner::RngSeed};

fn vm(at: usize) -> names::VmName {
    names::VmName::new(format!("entry-{at}"))
}

fn sibling(at: usize) -> event::SiblingEntry {
    event::SiblingEntry {
        vm: vm(at),
        incarnation: names::IncarnationId(at as u64 + 1),
    }
}

fn record(at: usize, slots: u32) -> event::ServerRecord {
    event::ServerRecord {
        name: names::ServerName::new(format!("server-{at}")),
        domain: "gebze".into(),
        rack: "rack".into(),
        slots,
        max_size_millicores: 4_000,
        leaving: false,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn entries_with_the_same_view_share_out_each_slot_once(
        entries in 1..10_usize,
        slots in 0..40_u32,
        server in 0..1_000_usize,
    ) {
        let names: Vec<_> = (0..entries).map(vm).collect();
        let server = names::ServerName::new(format!("server-{server}"));
        let share = |local| slot_division::local_share(&server, slots, local, &names);
        let shares: Vec<u32> = names.iter().map(share).collect();
        prop_assert_eq!(shares.iter().sum::<u32>(), slots);
        let (least, most) = (shares.iter().min().unwrap(), shares.iter().max().unwrap());
        prop_assert!(most - least <= 1, "{:?}", shares);
    }
}

/// One side of a loan: its servers and its loans.
struct Side {
    pool: server_pool::ServerPool,
    lending: slot_lending::SlotLending,
}

impl Side {
    fn new(local: usize) -> Self {
        let mut pool = server_pool::ServerPool::default();
        let entries = [vm(0), vm(1)];
        let records = (0..4).map(|at| record(at, 8)).collect();
        pool.set_servers(clock::TimePoint::ZERO, records, &vm(local), &entries);
        let mut lending = slot_lending::SlotLending::new(0.16);
        for _ in 0..100 {
            lending.on_start();
        }
        lending.set_peers(clock::TimePoint::ZERO, vec![sibling(1 - local)], &mut pool);
        Self { pool, lending }
    }

    fn usable(&self) -> u32 {
        self.pool.buckets().usable()
    }

    fn ask(&mut self, now: clock::TimePoint, wanted: u32) -> Vec<event::DispatchAction> {
        let mut actions = Vec::new();
        self.lending.ask(now, wanted, &mut actions);
        actions
    }

    fn hear(
        &mut self,
        now: clock::TimePoint,
        from: usize,
        message: &event::DispatchAction,
    ) -> Vec<event::DispatchAction> {
        let event::DispatchAction::SendSibling { payload, .. } = message else {
            panic!("not a message: {message:?}");
        };
        let mut own = slot_lending::LendingView {
            pool: &mut self.pool,
            queued: 0,
            mean_run_secs: 0.2,
        };
        let mut actions = Vec::new();
        self.lending
            .on_message(now, &sibling(from), payload, &mut own, &mut actions);
        actions
    }
}

fn at(millis: u64) -> clock::TimePoint {
    clock::TimePoint::from_millis(millis)
}

#[test]
fn the_borrower_of_slots_stops_before_the_lender_resumes() {
    let (mut borrower, mut lender) = (Side::new(0), Side::new(1));
    let ask = borrower.ask(at(100), 6);
    // The lender's clock has another origin.
    let grant = lender.hear(at(5_000), 0, &ask[0]);
    borrower.hear(at(102), 1, &grant[0]);
    assert_eq!((borrower.usable(), lender.usable()), (22, 10));
    let mut borrowed_for = 0;
    while borrower.usable() > 16 {
        borrowed_for += 1;
        borrower
            .lending
            .on_time(at(100 + borrowed_for), &mut borrower.pool);
        lender
            .lending
            .on_time(at(5_000 + borrowed_for), &mut lender.pool);
        assert!(borrower.usable() + lender.usable() <= 32);
    }
    assert_eq!(lender.usable(), 10, "after {borrowed_for} ms");
    lender.lending.on_time(at(60_000), &mut lender.pool);
    assert_eq!((borrower.usable(), lender.usable()), (16, 16));
}

#[test]
fn doubled_late_and_strange_messages_lend_nothing_twice() {
    let (mut borrower, mut lender) = (Side::new(0), Side::new(1));
    let ask = borrower.ask(at(100), 6);
    let grant = lender.hear(at(101), 0, &ask[0]);
    assert_eq!(lender.hear(at(102), 0, &ask[0]), vec![]);
    assert_eq!(lender.usable(), 10);
    borrower.hear(at(103), 1, &grant[0]);
    borrower.hear(at(104), 1, &grant[0]);
    assert_eq!(borrower.usable(), 22);
    let garbage = event::DispatchAction::SendSibling {
        to: sibling(0),
        payload: vec![0xff; 40],
    };
    assert_eq!(borrower.hear(at(105), 1, &garbage), vec![]);
    let mut late = Side::new(0);
    let ask = late.ask(at(100), 6);
    let grant = Side::new(1).hear(at(101), 0, &ask[0]);
    late.lending.on_time(at(900), &mut late.pool);
    late.hear(at(901), 1, &grant[0]);
    assert_eq!(late.usable(), 16, "an answer after the timeout is not used");
}

#[test]
fn a_loan_ends_with_its_partner() {
    let (mut borrower, mut lender) = (Side::new(0), Side::new(1));
    let ask = borrower.ask(at(100), 6);
    let grant = lender.hear(at(101), 0, &ask[0]);
    borrower.hear(at(102), 1, &grant[0]);
    borrower
        .lending
        .set_peers(at(103), Vec::new(), &mut borrower.pool);
    lender
        .lending
        .set_peers(at(103), Vec::new(), &mut lender.pool);
    assert_eq!((borrower.usable(), lender.usable()), (16, 16));
}

#[test]
fn a_report_opens_free_slots_beyond_the_share_while_it_is_believed() {
    let cases = [
        (0, 1, 7),
        (3, 1, 4),
        (3, 0, 5),
        (5, 2, 3),
        (7, 1, 1),
        (8, 1, 0),
    ];
    for (busy, margin, usable) in cases {
        let mut side = Side::new(0);
        let report = server_pool::BusyReport {
            busy,
            margin,
            believed_for: time::Duration::from_millis(100),
        };
        side.pool.on_report(at(10), &record(0, 8).name, report);
        assert_eq!(side.usable(), 12 + usable, "busy {busy}, margin {margin}");
        side.pool.on_time(at(110));
        assert_eq!(side.usable(), 16, "busy {busy}, margin {margin}");
    }
}

#[test]
fn speed_is_learnt_per_server_and_shared_between_classes() {
    let mut model = speed_model::SpeedModel::default();
    let (fast, slow) = (model.class(&"price".into()), model.class(&"stock".into()));
    let mut servers = [
        speed_model::ServerSpeed::default(),
        speed_model::ServerSpeed::default(),
    ];
    for _ in 0..200 {
        for (server, factor) in servers.iter_mut().zip([1, 2]) {
            model.observe(fast, server, time::Duration::from_millis(100 * factor), 0.0);
        }
    }
    let ratio = |class| model.run_secs(class, &servers[1]) / model.run_secs(class, &servers[0]);
    assert!((ratio(fast) - 2.0).abs() < 0.1, "{}", ratio(fast));
    assert!((ratio(slow) - 2.0).abs() < 0.2, "{}", ratio(slow));
}

/// What a case changes of a job and servers with time to spare.
type Change = fn(&mut admission::JobOutlook, &mut admission::PoolOutlook);

#[test]
fn jobs_that_cannot_be_answered_in_time_are_refused_with_the_right_code() {
    let pool = admission::PoolOutlook {
        capacity: 10.0,
        usable: 10,
        max_size: 4_000,
    };
    let job = admission::JobOutlook {
        deadline_secs: 2.0,
        work_secs: 0.1,
        longest_secs: 0.1,
        size: 500,
        impossible_secs: None,
        ahead_secs: 0.1,
        own_ahead_secs: 0.1,
        share: None,
    };
    let cases: [(&str, Change, Option<outcome::RefusalCode>); 8] = [
        ("in time", |_, _| {}, None),
        (
            "no server known",
            |_, pool| pool.max_size = 0,
            Some(outcome::RefusalCode::Overloaded),
        ),
        (
            "no usable slot",
            |_, pool| pool.usable = 0,
            Some(outcome::RefusalCode::Overloaded),
        ),
        (
            "too large",
            |job, _| job.size = 4_001,
            Some(outcome::RefusalCode::NeverRunnable),
        ),
        (
            "deadline below any run",
            |job, _| job.impossible_secs = Some(2.1),
            Some(outcome::RefusalCode::NeverRunnable),
        ),
        (
            "long queue",
            |job, _| job.ahead_secs = 15.0,
            Some(outcome::RefusalCode::Overloaded),
        ),
        (
            "no share of the allowance",
            |job, _| job.share = Some(0),
            Some(outcome::RefusalCode::AllowanceExhausted),
        ),
        (
            "own queue beyond the allowance",
            |job, _| (job.share, job.own_ahead_secs) = (Some(1), 2.0),
            Some(outcome::RefusalCode::AllowanceExhausted),
        ),
    ];
    for (name, change, code) in cases {
        let (mut job, mut pool) = (job, pool);
        change(&mut job, &mut pool);
        let refusal = admission::refusal(&job, &pool);
        assert_eq!(refusal.as_ref().map(|refusal| refusal.code), code, "{name}");
        let not_run = refusal.is_none_or(|refusal| refusal.ran == outcome::RunStatus::NotRun);
        assert!(not_run, "{name}");
    }
}
