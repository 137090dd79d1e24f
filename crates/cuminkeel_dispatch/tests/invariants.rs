//! Rules that hold for every policy over arbitrary schedules of jobs, faults,
//! cancels, membership changes and lost messages.

mod harness;

use std::time;

use cuminkeel_dispatch::{event, factory, policy};
use cuminkeel_types::{names, outcome, time as clock};
use proptest::{prelude::*, test_runner::RngSeed};

const DEADLINE_SECS: f64 = 2.0;
const CLASSES: [&str; 3] = ["stock", "price", "reserve"];

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Submit {
        entry: usize,
        customer: usize,
        millis: Vec<u64>,
        poison: bool,
    },
    Cancel {
        job: usize,
    },
    Drain {
        entry: usize,
    },
    Leave {
        server: usize,
    },
    Lose {
        server: usize,
    },
    Split {
        entry: usize,
    },
    Wait {
        millis: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let millis = prop::collection::vec(5_u64..900, 1..12);
    prop_oneof![
        12 => (0..3_usize, 0..3_usize, millis, prop::bool::weighted(0.05)).prop_map(
            |(entry, customer, millis, poison)| Step::Submit { entry, customer, millis, poison }
        ),
        2 => (0..64_usize).prop_map(|job| Step::Cancel { job }),
        1 => (0..3_usize).prop_map(|entry| Step::Drain { entry }),
        1 => (0..4_usize).prop_map(|server| Step::Leave { server }),
        1 => (0..4_usize).prop_map(|server| Step::Lose { server }),
        1 => (0..3_usize).prop_map(|entry| Step::Split { entry }),
        8 => (1_u64..300).prop_map(|millis| Step::Wait { millis }),
    ]
}

fn fault() -> impl Strategy<Value = harness::Fault> {
    prop_oneof![
        6 => Just(harness::Fault::None),
        1 => Just(harness::Fault::FailsAll),
        1 => Just(harness::Fault::SwallowsAll),
        1 => Just(harness::Fault::SlowsDown { from_secs: 0.5, factor: 8.0 }),
    ]
}

fn servers(faults: &[harness::Fault]) -> Vec<(event::ServerRecord, f64, harness::Fault)> {
    let server = |(at, fault): (usize, &harness::Fault)| {
        (harness::record(at, 3), 1.0 + at as f64 * 0.5, *fault)
    };
    faults.iter().enumerate().map(server).collect()
}

fn apply(domain: &mut harness::FakeDomain, step: &Step, next_id: &mut u128) {
    match step {
        Step::Submit {
            entry,
            customer,
            millis,
            poison,
        } => {
            *next_id += 1;
            let work: Vec<f64> = millis.iter().map(|millis| *millis as f64 / 1e3).collect();
            let classes: Vec<&str> = (0..work.len()).map(|at| CLASSES[at % 3]).collect();
            let name = format!("customer-{customer}");
            let request = harness::request(*next_id, &name, &classes, DEADLINE_SECS, &work);
            let (at, entry, poison) = (domain.now, *entry, *poison);
            domain.submit(harness::TrueJob {
                at,
                entry,
                request,
                work,
                poison,
            });
            domain.run_until(at);
        }
        Step::Cancel { job } => {
            let open = domain
                .open
                .values()
                .nth(*job)
                .map(|job| (job.entry, job.request.id));
            if let Some((entry, id)) = open {
                domain.tell(entry, event::DispatchEvent::JobCancelled(id));
            }
        }
        Step::Drain { entry } => domain.tell(*entry, event::DispatchEvent::DrainStarted),
        Step::Leave { server } | Step::Lose { server } => {
            let mut records: Vec<_> = domain
                .servers
                .iter()
                .map(|server| server.record.clone())
                .collect();
            match step {
                Step::Leave { .. } => records[*server].leaving = true,
                _ => drop(records.remove(*server)),
            }
            for entry in 0..domain.entries.len() {
                domain.tell(entry, event::DispatchEvent::ServersChanged(records.clone()));
            }
        }
        Step::Split { entry } => {
            domain.tell(*entry, event::DispatchEvent::SiblingsChanged(Vec::new()));
        }
        Step::Wait { millis } => {
            domain.run_until(domain.now + time::Duration::from_millis(*millis));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_job_gets_one_whole_answer_and_no_task_a_second_start(
        name in prop::sample::select(factory::POLICY_NAMES.to_vec()),
        faults in prop::collection::vec(fault(), 4),
        steps in prop::collection::vec(step(), 1..120),
        loss_period in 0_u64..5,
        reports in any::<bool>(),
        seed in 0_u64..1_000,
    ) {
        let mut domain =
            harness::FakeDomain::new(name, (1.0, 1.0), 3, servers(&faults), &[], seed);
        domain.loss_period = loss_period;
        domain.reports = reports;
        domain.check_slots = name == "cuminkeel";
        let mut next_id = 0;
        for step in &steps {
            apply(&mut domain, step, &mut next_id);
        }
        domain.run_until(domain.now + time::Duration::from_secs_f64(2.0 * DEADLINE_SECS));
        prop_assert_eq!(&domain.counts.broken_rules, &Vec::<String>::new());
        prop_assert!(domain.open.is_empty(), "unanswered: {:?}", domain.open.keys());
        for result in &domain.results {
            let spent = result.finished.since(result.job.at).as_secs_f64();
            prop_assert!(spent <= DEADLINE_SECS + 1e-6, "answered after {spent} s");
        }
    }

    #[test]
    fn the_same_events_give_the_same_actions(
        name in prop::sample::select(factory::POLICY_NAMES.to_vec()),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let run = || {
            let faults = [harness::Fault::None; 4];
            let mut domain =
                harness::FakeDomain::new(name, (1.0, 1.0), 3, servers(&faults), &[], 9);
            let mut next_id = 0;
            for step in &steps {
                apply(&mut domain, step, &mut next_id);
            }
            domain.run_until(domain.now + time::Duration::from_secs(5));
            let answers = domain.results.iter().map(|result| {
                (result.job.request.id, result.finished, result.answer.clone())
            });
            (answers.collect::<Vec<_>>(), domain.counts.starts, domain.counts.wasted_messages)
        };
        prop_assert_eq!(run(), run());
    }
}

/// Submits single tasks of `millis` for each customer at a steady pace.
fn offer_load(domain: &mut harness::FakeDomain, millis: &[u64], pace_millis: u64, secs: u64) {
    let mut id = 0;
    for at in (0..secs * 1_000).step_by(usize::try_from(pace_millis).unwrap()) {
        for (customer, run) in millis.iter().enumerate() {
            id += 1;
            let work = [*run as f64 / 1e3];
            let name = format!("customer-{customer}");
            let request = harness::request(id, &name, &[CLASSES[customer]], 1.5, &work);
            domain.submit(harness::TrueJob {
                at: clock::TimePoint::from_millis(at + 1),
                entry: usize::try_from(id).unwrap() % domain.entries.len(),
                request,
                work: work.to_vec(),
                poison: false,
            });
        }
    }
}

fn terms(customer: usize, weight: u32, max_concurrent: Option<u32>) -> event::CustomerTerms {
    event::CustomerTerms {
        customer: names::CustomerName::new(format!("customer-{customer}")),
        weight,
        max_concurrent,
        max_starts_per_second: None,
    }
}

#[test]
fn backlogged_customers_get_slot_time_by_weight_whatever_their_run_times() {
    let faults = [harness::Fault::None; 4];
    let weights = [terms(0, 1, None), terms(1, 1, None), terms(2, 2, None)];
    let mut domain =
        harness::FakeDomain::new("cuminkeel", (1.0, 1.0), 2, servers(&faults), &weights, 3);
    offer_load(&mut domain, &[20, 100, 300], 10, 12);
    domain.run_until(clock::TimePoint::from_millis(12_000));
    let secs: Vec<f64> = domain.counts.slot_secs.values().copied().collect();
    let all: f64 = secs.iter().sum();
    for (share, wanted) in secs.iter().zip([0.25, 0.25, 0.5]) {
        let share = share / all;
        assert!(
            (share - wanted).abs() < 0.03,
            "{secs:?}: {share} is not {wanted}"
        );
    }
}

#[test]
fn no_customer_starves_behind_another_ones_flood() {
    let faults = [harness::Fault::None; 4];
    let mut domain = harness::FakeDomain::new("cuminkeel", (1.0, 1.0), 2, servers(&faults), &[], 3);
    offer_load(&mut domain, &[300, 300, 300], 5, 8);
    for at in 0..8 {
        let request = harness::request(1_000_000 + at, "quiet", &["price"], 1.5, &[0.1]);
        domain.submit(harness::TrueJob {
            at: clock::TimePoint::from_millis(u64::try_from(at).unwrap() * 1_000 + 500),
            entry: 0,
            request,
            work: vec![0.1],
            poison: false,
        });
    }
    domain.run_until(clock::TimePoint::from_millis(12_000));
    let quiet = |result: &&harness::JobResult| result.job.request.id.0 >= 1_000_000;
    let answers: Vec<_> = domain.results.iter().filter(quiet).collect();
    assert_eq!(answers.len(), 8);
    for result in answers {
        let whole = matches!(result.answer, outcome::JobAnswer::Complete { .. });
        assert!(whole, "{:?}", result.answer);
    }
}

#[test]
fn a_customer_stays_within_its_concurrency_limit() {
    let faults = [harness::Fault::None; 4];
    let limits = [terms(0, 1, Some(2))];
    let mut domain =
        harness::FakeDomain::new("cuminkeel", (1.0, 1.0), 1, servers(&faults), &limits, 3);
    offer_load(&mut domain, &[200], 20, 4);
    for at in 1..400 {
        domain.run_until(clock::TimePoint::from_millis(at * 10));
        let status = domain.entries[0].status(domain.now);
        let running: usize = status.customers.iter().map(|line| line.running).sum();
        assert!(running <= 2, "{running} tasks run");
    }
    assert!(domain.counts.starts > 30, "{}", domain.counts.starts);
}

#[test]
fn a_black_hole_is_ejected_and_a_poisonous_job_ejects_no_server() {
    let cases = [
        (harness::Fault::FailsAll, false),
        (harness::Fault::None, true),
    ];
    for (fault, poison) in cases {
        let mut faults = [harness::Fault::None; 6];
        faults[0] = fault;
        let mut domain =
            harness::FakeDomain::new("cuminkeel", (1.0, 1.0), 1, servers(&faults), &[], 3);
        offer_load(&mut domain, &[50, 50], 25, 6);
        for at in 0..400_u64 {
            let request = harness::request(
                1_000_000 + u128::from(at),
                "poisoner",
                &["bad"],
                1.5,
                &[0.05],
            );
            domain.submit(harness::TrueJob {
                at: clock::TimePoint::from_millis(at * 10 + 1_000),
                entry: 0,
                request,
                work: vec![0.05],
                poison,
            });
        }
        domain.run_until(clock::TimePoint::from_millis(6_000));
        let failed = |result: &&harness::JobResult| match &result.answer {
            outcome::JobAnswer::Failed(refusal) => {
                refusal.code == outcome::RefusalCode::TaskFailed && !result.job.poison
            }
            outcome::JobAnswer::Complete { .. } => false,
        };
        let lost = domain.results.iter().filter(failed).count();
        assert!(lost <= 5, "{fault:?}: {lost} jobs lost");
        let status = domain.entries[0].status(domain.now);
        let not_live = |line: &&policy::ServerStatus| line.state != policy::ServerState::Live;
        let out = status.servers.iter().filter(not_live).count();
        assert_eq!(out, usize::from(!poison), "{fault:?}: {:?}", status.servers);
    }
}

#[test]
fn a_leaving_server_gets_nothing_new() {
    let faults = [harness::Fault::None; 4];
    let mut domain = harness::FakeDomain::new("cuminkeel", (1.0, 1.0), 2, servers(&faults), &[], 3);
    offer_load(&mut domain, &[50, 50], 10, 4);
    domain.run_until(clock::TimePoint::from_millis(1_000));
    let mut records: Vec<_> = domain
        .servers
        .iter()
        .map(|server| server.record.clone())
        .collect();
    records[0].leaving = true;
    for entry in 0..2 {
        domain.tell(entry, event::DispatchEvent::ServersChanged(records.clone()));
    }
    domain.run_until(clock::TimePoint::from_millis(2_000));
    for entry in 0..2 {
        let status = domain.entries[entry].status(domain.now);
        let line = status
            .servers
            .iter()
            .find(|line| line.server == records[0].name)
            .unwrap();
        assert_eq!((line.running, line.usable_slots), (0, 0));
    }
    let busy: u32 = domain
        .entries
        .iter()
        .map(|entry| {
            entry
                .status(domain.now)
                .servers
                .iter()
                .map(|line| line.running)
                .sum::<u32>()
        })
        .sum();
    assert!(busy > 0);
}

#[test]
fn a_server_that_works_again_is_brought_back_whatever_the_size_of_jobs() {
    for tasks in [1, 3] {
        let mut faults = [harness::Fault::None; 4];
        faults[0] = harness::Fault::FailsAll;
        let mut domain =
            harness::FakeDomain::new("cuminkeel", (1.0, 1.0), 1, servers(&faults), &[], 3);
        for at in 0..1_000_u64 {
            let work = vec![0.05; tasks];
            let classes = vec!["price"; tasks];
            let id = u128::from(at) + 1;
            domain.submit(harness::TrueJob {
                at: clock::TimePoint::from_millis(at * 30 + 1),
                entry: 0,
                request: harness::request(id, "mill", &classes, DEADLINE_SECS, &work),
                work,
                poison: false,
            });
        }
        let state = |domain: &harness::FakeDomain| {
            let status = domain.entries[0].status(domain.now);
            let line = status
                .servers
                .into_iter()
                .find(|line| line.server.as_str() == "server-0");
            line.map(|line| line.state)
        };
        domain.run_until(clock::TimePoint::from_millis(1_500));
        assert_eq!(
            state(&domain),
            Some(policy::ServerState::Ejected),
            "{tasks} tasks"
        );
        domain.servers[0].fault = harness::Fault::None;
        domain.run_until(clock::TimePoint::from_millis(30_000));
        assert_eq!(
            state(&domain),
            Some(policy::ServerState::Live),
            "{tasks} tasks"
        );
    }
}
