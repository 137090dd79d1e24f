//! Tests of the decisions to which pools a job is offered.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{job_model, leadership, offer_plan, pool_room, retry_advice, room_ledger};
use smallvec::{SmallVec, smallvec};

const LEADER_WAIT: time::Duration = time::Duration::from_millis(1_500);
const ANSWER_DEADLINE: time::Duration = time::Duration::from_secs(8);
/// Processor of a task of the jobs in these tests.
const TASK_CPU_MILLIS: u32 = 1_000;
const HOME: &str = "home";

/// Pools that a process can offer jobs to.
struct TestPools {
    home: Option<offer_plan::HomePool>,
    others: Vec<offer_plan::OtherPool>,
}

impl offer_plan::PoolDirectory for TestPools {
    fn home_pool(&self, _id: &str) -> Option<offer_plan::HomePool> {
        self.home.clone()
    }

    fn other_pools(&self) -> SmallVec<[offer_plan::OtherPool; 4]> {
        self.others.iter().cloned().collect()
    }
}

fn pools_with(others: Vec<offer_plan::OtherPool>) -> TestPools {
    TestPools {
        home: Some(offer_plan::HomePool {
            process: Arc::from(HOME),
            shards: leadership::ShardSet::ALL,
        }),
        others,
    }
}

/// Returns the room of servers that can each start one task, and of none that wait.
fn room_for(free_tasks: u32) -> pool_room::PoolRoom {
    let servers = (0..free_tasks).map(|_| (TASK_CPU_MILLIS, TASK_CPU_MILLIS));
    pool_room::PoolRoom {
        largest_cpu_millis: TASK_CPU_MILLIS,
        ..pool_room::PoolRoom::from_servers(servers, time::Duration::ZERO)
    }
}

/// Returns a pool of another domain, which has the name of its process.
fn other_pool(name: &str, is_near: bool, free_tasks: u32) -> offer_plan::OtherPool {
    offer_plan::OtherPool {
        process: Arc::from(name),
        failure_domain: Arc::from(name),
        is_local: false,
        is_near,
        shards: leadership::ShardSet::ALL,
        free_cpu_millis: free_tasks * TASK_CPU_MILLIS,
        total_cpu_millis: 100 * TASK_CPU_MILLIS,
        queued_jobs: 0,
        room: Some(room_for(free_tasks)),
        room_age: time::Duration::ZERO,
        sent_cpu_millis: 0,
    }
}

/// Returns a pool of another domain that has no room now.
fn full_pool(name: &str, queue_wait_ms: u32) -> offer_plan::OtherPool {
    offer_plan::OtherPool {
        room: Some(pool_room::PoolRoom {
            queue_wait_ms,
            ..room_for(0)
        }),
        queued_jobs: 9,
        ..other_pool(name, true, 0)
    }
}

/// Returns the refusal of a home pool that has capacity for the job `id` in `wait_ms`.
fn refused_with_wait(id: &str, wait_ms: u64) -> job_model::JobEnd {
    job_model::JobEnd::Refused {
        reason: job_model::RefusalReason::QueueTooLong,
        retry_after: retry_advice::jittered_retry_after(id, time::Duration::from_millis(wait_ms)),
    }
}

fn job_spec(id: &str) -> Arc<job_model::JobSpec> {
    Arc::new(job_model::JobSpec {
        id: Arc::from(id),
        route: Arc::from("orders"),
        service: Arc::from("desk"),
        payload: Arc::from(""),
        steps: vec![job_model::StepSpec {
            task_count: 4,
            cpu_millis: TASK_CPU_MILLIS,
            memory_mb: 1,
            gpus: 0,
            estimate_ms: 100,
            depends_on: smallvec![],
            required_label: None,
            data_rack: None,
            max_per_server: None,
        }],
        priority: 0,
        max_attempts: 2,
        stretch_factor: 1.5,
        target_latency_ms: 50,
    })
}

fn new_plan(id: &str) -> offer_plan::OfferPlan {
    let limits = offer_plan::PlanLimits {
        answer_deadline: ANSWER_DEADLINE,
        leader_wait: LEADER_WAIT,
    };
    offer_plan::OfferPlan::new(job_spec(id), limits)
}

fn refused(reason: job_model::RefusalReason, retry_ms: u64) -> job_model::JobEnd {
    job_model::JobEnd::Refused {
        reason,
        retry_after: time::Duration::from_millis(retry_ms),
    }
}

fn answer_of(reason: job_model::RefusalReason, retry_ms: u64) -> offer_plan::JobAnswer {
    offer_plan::JobAnswer::Refused {
        reason,
        retry_after: time::Duration::from_millis(retry_ms),
    }
}

/// Runs the plan against pools whose ends `end_of` returns for the pool's process and the terms.
/// Returns the offers in order, the number of waits and the answer.
fn run_plan(
    plan: &mut offer_plan::OfferPlan,
    pools: &TestPools,
    mut end_of: impl FnMut(&str, job_model::OfferTerms) -> Option<job_model::JobEnd>,
) -> (
    Vec<(String, job_model::OfferTerms)>,
    usize,
    offer_plan::JobAnswer,
) {
    let mut now = time::Duration::ZERO;
    let mut offers = Vec::new();
    let mut wait_count = 0;
    loop {
        match plan.next_action(pools, now) {
            offer_plan::OfferAction::Offer { process, terms } => {
                let end = end_of(&process, terms);
                offers.push((process.to_string(), terms));
                now += time::Duration::from_millis(1);
                plan.record_end(end.as_ref(), now);
            }
            offer_plan::OfferAction::Wait(pause) => {
                wait_count += 1;
                now += pause;
            }
            offer_plan::OfferAction::Answer(answer) => return (offers, wait_count, answer),
        }
        assert!(offers.len() < 1_000, "the plan should end: {offers:?}");
    }
}

fn owned(offers: &[(&str, job_model::OfferTerms)]) -> Vec<(String, job_model::OfferTerms)> {
    offers
        .iter()
        .map(|(process, terms)| ((*process).to_owned(), *terms))
        .collect()
}

/// Guards against offers after which a job could run twice, and against refusals while another domain
/// has room.
#[test]
fn end_at_the_home_pool_decides_which_pools_are_asked_next() {
    use job_model::{
        OfferTerms::{AtOnce, Useful},
        RefusalReason::{ExpiredInQueue, NoPool, NoSuitableServer, QueueTooLong},
    };
    let cases = [
        (
            "completed at home",
            job_model::JobEnd::Completed,
            vec![(HOME, AtOnce)],
            offer_plan::JobAnswer::Completed,
        ),
        (
            "queue too long at home",
            refused(QueueTooLong, 2_500),
            vec![(HOME, AtOnce), ("a", AtOnce), ("a", Useful), (HOME, Useful)],
            answer_of(QueueTooLong, 900),
        ),
        (
            "no suitable server at home",
            refused(NoSuitableServer, 700),
            vec![(HOME, AtOnce), ("a", AtOnce), ("a", Useful)],
            answer_of(QueueTooLong, 900),
        ),
        (
            "expired at home",
            refused(ExpiredInQueue, 700),
            vec![(HOME, AtOnce), ("a", AtOnce)],
            answer_of(ExpiredInQueue, 700),
        ),
        (
            "home pool that may have runs of the job",
            refused(NoPool, 700),
            vec![(HOME, AtOnce)],
            answer_of(NoPool, 700),
        ),
    ];
    for (name, home_end, expected_offers, expected_answer) in cases {
        let pools = pools_with(vec![other_pool("a", true, 50)]);
        let (offers, _, answer) = run_plan(&mut new_plan("00f1"), &pools, |process, _| {
            Some(if process == HOME {
                home_end.clone()
            } else {
                refused(QueueTooLong, 900)
            })
        });
        assert_eq!(
            (offers, answer),
            (owned(&expected_offers), expected_answer),
            "{name}"
        );
    }
}

/// Guards against a job that runs in two domains: the lost pool's servers may have runs of it.
#[test]
fn job_of_a_lost_home_pool_is_offered_to_no_other_domain() {
    let pools = pools_with(vec![other_pool("a", true, 50)]);
    let (offers, wait_count, answer) = run_plan(&mut new_plan("00f1"), &pools, |_, _| None);
    assert!(offers.iter().all(|(process, _)| process == HOME));
    assert!(wait_count > 0, "the job should wait for the next leader");
    assert_eq!(
        answer,
        offer_plan::JobAnswer::Failed(job_model::FailureReason::PoolLost)
    );
}

/// Guards against offers that a pool can only refuse: its free processor is scattered over servers,
/// used by what was sent to it, or known from long ago.
#[test]
fn job_is_offered_at_once_only_where_all_its_ready_tasks_fit() {
    use job_model::RefusalReason::QueueTooLong;
    let scattered = pool_room::PoolRoom::from_servers(
        (0..50).map(|_| (TASK_CPU_MILLIS - 1, TASK_CPU_MILLIS)),
        time::Duration::ZERO,
    );
    let fitting = || other_pool("a", true, 8);
    let cases = [
        ("fits twice", fitting(), true),
        ("fits once", other_pool("a", true, 4), true),
        ("all tasks but one fit", other_pool("a", true, 3), false),
        (
            "fits no task",
            offer_plan::OtherPool {
                free_cpu_millis: 50_000,
                room: Some(scattered),
                ..fitting()
            },
            false,
        ),
        (
            "half of the room is used by sent jobs",
            offer_plan::OtherPool {
                sent_cpu_millis: 4 * TASK_CPU_MILLIS,
                ..fitting()
            },
            true,
        ),
        (
            "more than half of the room is used by sent jobs",
            offer_plan::OtherPool {
                sent_cpu_millis: 5 * TASK_CPU_MILLIS,
                ..fitting()
            },
            false,
        ),
        (
            "update of the last half second",
            offer_plan::OtherPool {
                room_age: time::Duration::from_millis(500),
                ..fitting()
            },
            true,
        ),
        (
            "update from two seconds ago",
            offer_plan::OtherPool {
                room_age: time::Duration::from_secs(2),
                ..fitting()
            },
            false,
        ),
        (
            "earlier release without queued jobs",
            offer_plan::OtherPool {
                room: None,
                ..fitting()
            },
            true,
        ),
        (
            "earlier release with queued jobs",
            offer_plan::OtherPool {
                room: None,
                queued_jobs: 1,
                ..fitting()
            },
            false,
        ),
    ];
    for (name, pool, is_expected) in cases {
        let pools = pools_with(vec![pool]);
        let (offers, ..) = run_plan(&mut new_plan("00f1"), &pools, |_, _| {
            Some(refused(QueueTooLong, 100))
        });
        let is_offered = offers.contains(&(String::from("a"), job_model::OfferTerms::AtOnce));
        assert_eq!(is_offered, is_expected, "{name}");
    }
}

/// Guards against a queue at home that is longer than elsewhere, and against moves that gain nothing.
#[test]
fn job_waits_in_the_pool_with_the_shortest_wait_and_at_home_if_waits_are_equal() {
    use job_model::OfferTerms::{AtOnce, Useful};
    let elsewhere = [(HOME, AtOnce), ("a", Useful), (HOME, Useful)];
    let at_home = [(HOME, AtOnce), (HOME, Useful), ("a", Useful)];
    let cases = [
        ("shorter elsewhere", 900, 300, &elsewhere[..]),
        ("equal", 350, 300, &at_home[..]),
        ("shorter at home", 300, 900, &at_home[..]),
        (
            "shorter elsewhere than a time beyond the jitter",
            4_900,
            4_000,
            &elsewhere[..],
        ),
        (
            "too long elsewhere to be useful",
            300,
            9_000,
            &[(HOME, Useful)],
        ),
    ];
    for (name, home_wait, other_wait, expected) in cases {
        let pools = pools_with(vec![full_pool("a", other_wait)]);
        let (offers, ..) = run_plan(&mut new_plan("00f1"), &pools, |process, _| {
            Some(if process == HOME {
                refused_with_wait("00f1", home_wait)
            } else {
                refused(job_model::RefusalReason::QueueTooLong, 100)
            })
        });
        assert_eq!(offers, owned(expected), "{name}");
    }
}

/// Guards against a refusal that tells the caller to wait for longer than any pool needs.
#[test]
fn refused_job_gets_the_shortest_retry_time() {
    use job_model::RefusalReason::QueueTooLong;
    for (home_ms, other_ms, expected_ms) in [(700, 900, 700), (900, 400, 400)] {
        let pools = pools_with(vec![other_pool("a", true, 50)]);
        let (_, _, answer) = run_plan(&mut new_plan("00f1"), &pools, |process, _| {
            let retry_ms = if process == HOME { home_ms } else { other_ms };
            Some(refused(QueueTooLong, retry_ms))
        });
        assert_eq!(answer, answer_of(QueueTooLong, expected_ms));
    }
}

/// Guards against a job that is held until it is late, against one that moves without end, and against one
/// that takes capacity in another pool when it is late already.
#[test]
fn job_that_was_queued_and_refused_is_offered_to_others_once() {
    use job_model::{
        OfferTerms::{AtOnce, Useful},
        RefusalReason::{Evacuated, QueueTooLong},
    };
    let queued_time = time::Duration::from_millis(400);
    let usefully_offered: &[_] = &[("a", Useful)];
    for (name, reason, later_offers, retry_ms) in [
        ("queue review", QueueTooLong, &[][..], 700),
        ("evacuation", Evacuated, usefully_offered, 600),
    ] {
        let pools = pools_with(vec![other_pool("a", true, 50)]);
        let mut plan = new_plan("00f1");
        let first = plan.next_action(&pools, time::Duration::ZERO);
        assert_eq!(
            first,
            offer_plan::OfferAction::Offer {
                process: Arc::from(HOME),
                terms: AtOnce
            }
        );
        plan.record_end(Some(&refused(reason, 800)), queued_time);
        let second = plan.next_action(&pools, queued_time);
        assert_eq!(
            second,
            offer_plan::OfferAction::Offer {
                process: Arc::from("a"),
                terms: AtOnce
            },
            "{name}"
        );
        plan.record_end(Some(&refused(QueueTooLong, 700)), queued_time * 2);
        // The pool that had queued the job is not asked again.
        let (offers, _, answer) =
            run_plan(&mut plan, &pools, |_, _| Some(refused(QueueTooLong, 600)));
        assert_eq!(offers, owned(later_offers), "{name}");
        assert_eq!(answer, answer_of(QueueTooLong, retry_ms), "{name}");
    }
}

/// Guards against changes for deployments of one domain: its pool is asked once, on the terms that it
/// was always asked on, and its end is the answer.
#[test]
fn single_domain_is_asked_once_and_its_end_is_the_answer() {
    use job_model::RefusalReason::{ExpiredInQueue, NoPool, NoSuitableServer, QueueTooLong};
    let refusals = [ExpiredInQueue, NoPool, NoSuitableServer, QueueTooLong]
        .map(|reason| (refused(reason, 700), answer_of(reason, 700)));
    let others = [
        (
            job_model::JobEnd::Completed,
            offer_plan::JobAnswer::Completed,
        ),
        (
            job_model::JobEnd::Failed(job_model::FailureReason::OutOfTime),
            offer_plan::JobAnswer::Failed(job_model::FailureReason::OutOfTime),
        ),
    ];
    for (end, expected_answer) in refusals.into_iter().chain(others) {
        for queued_ms in [1, 400] {
            let pools = pools_with(vec![]);
            let mut plan = new_plan("00f1");
            let offer = plan.next_action(&pools, time::Duration::ZERO);
            let expected_offer = offer_plan::OfferAction::Offer {
                process: Arc::from(HOME),
                terms: job_model::OfferTerms::Useful,
            };
            assert_eq!(offer, expected_offer);
            let ended_at = time::Duration::from_millis(queued_ms);
            plan.record_end(Some(&end), ended_at);
            let answer = offer_plan::OfferAction::Answer(expected_answer);
            assert_eq!(plan.next_action(&pools, ended_at), answer, "{end:?}");
        }
    }
}

/// Guards against all jobs between two updates going to the pool that had room at the first one.
#[test]
fn ledger_counts_what_an_update_may_not_show() {
    let ms = time::Duration::from_millis;
    let process: Arc<str> = Arc::from("a");
    let mut ledger = room_ledger::RoomLedger::default();
    ledger.record_sent(&process, 1_000, ms(1_000));
    ledger.record_sent(&process, 2_000, ms(1_200));
    ledger.record_sent(&process, 4_000, ms(1_300));
    let cases = [
        ("update before all jobs", "a", 900, 7_000),
        (
            "update computed just before the first job came",
            "a",
            1_050,
            7_000,
        ),
        ("update between the jobs", "a", 1_150, 6_000),
        ("update after all jobs", "a", 1_400, 0),
        ("another pool", "b", 900, 0),
    ];
    for (name, pool, room_sent_ms, expected) in cases {
        assert_eq!(
            ledger.sent_cpu_millis(pool, ms(room_sent_ms)),
            expected,
            "{name}"
        );
    }
    ledger.record_ended("a", 2_000, ms(1_200));
    assert_eq!(ledger.sent_cpu_millis("a", ms(900)), 5_000);
    ledger.record_sent(&process, 8_000, ms(3_200));
    // The first job was sent over two seconds before.
    assert_eq!(ledger.sent_cpu_millis("a", ms(900)), 12_000);
}

#[test]
fn wait_is_found_from_the_retry_time() {
    for wait_ms in [0, 1, 400, 999, 1_000, 1_001, 4_000] {
        for id in ["00f1", "a", "zz"] {
            let wait = time::Duration::from_millis(wait_ms);
            let retry_after = retry_advice::jittered_retry_after(id, wait);
            let found = retry_advice::wait_before_jitter(id, retry_after);
            assert!(
                found.abs_diff(wait) <= time::Duration::from_micros(1),
                "{wait:?} {found:?}"
            );
        }
    }
}

/// Guards against jobs of an evacuated domain that wait there, that all go to one domain, or that go
/// to a far one while a near one has room.
#[test]
fn jobs_of_an_evacuated_domain_go_to_the_others_in_proportion_to_room() {
    use job_model::{
        OfferTerms::{AtOnce, Useful},
        RefusalReason::{Evacuated, QueueTooLong},
    };
    let pools = pools_with(vec![
        other_pool("far", false, 90),
        other_pool("near-large", true, 60),
        other_pool("near-small", true, 20),
    ]);
    let mut first_counts = [0; 3];
    for number in 0..1_000 {
        let mut plan = new_plan(&format!("{number:016x}"));
        let (offers, wait_count, answer) =
            run_plan(&mut plan, &pools, |process, terms| match (process, terms) {
                (HOME, _) => Some(refused(Evacuated, 100)),
                (_, AtOnce) => Some(refused(QueueTooLong, 800)),
                (_, Useful) => Some(job_model::JobEnd::Completed),
            });
        assert_eq!(offers.len(), 4);
        assert_eq!((wait_count, answer), (0, offer_plan::JobAnswer::Completed));
        assert_eq!(offers[0].0, HOME);
        assert!(offers[1..].iter().all(|(process, _)| process != HOME));
        let position = ["near-large", "near-small", "far"]
            .iter()
            .position(|name| *name == offers[1].0);
        first_counts[position.expect("a pool of the test")] += 1;
    }
    assert_eq!(first_counts[2], 0, "near pools should come first");
    // 750 and 250 are expected, with a standard deviation of 14.
    assert!(
        (680..=820).contains(&first_counts[0]),
        "expected three of four jobs in the larger pool, got {first_counts:?}"
    );
}

/// Guards against jobs of an evacuated domain that are only offered on the terms for late jobs, because
/// no pool has room for all their tasks at the moment.
#[test]
fn job_of_an_evacuated_domain_is_offered_at_once_also_where_a_part_of_it_fits() {
    use job_model::{
        OfferTerms::AtOnce,
        RefusalReason::{Evacuated, QueueTooLong},
    };
    let pools = pools_with(vec![
        other_pool("part", true, 3),
        other_pool("whole", false, 4),
    ]);
    let (offers, ..) = run_plan(&mut new_plan("00f1"), &pools, |process, _| {
        let reason = if process == HOME {
            Evacuated
        } else {
            QueueTooLong
        };
        Some(refused(reason, 100))
    });
    let expected = owned(&[(HOME, AtOnce), ("whole", AtOnce), ("part", AtOnce)]);
    assert_eq!(offers[..3], expected);
}

/// Guards against callers that wait while nothing can start anywhere.
#[test]
fn job_is_refused_at_once_if_all_domains_are_evacuated() {
    use job_model::RefusalReason::Evacuated;
    let cases = [
        ("no other pool", vec![]),
        ("not known yet", vec![other_pool("a", true, 50)]),
    ];
    for (name, others) in cases {
        let (_, wait_count, answer) =
            run_plan(&mut new_plan("00f1"), &pools_with(others), |_, _| {
                Some(refused(Evacuated, 300))
            });
        assert_eq!(
            (wait_count, answer),
            (0, answer_of(Evacuated, 300)),
            "{name}"
        );
    }
}

/// Guards against a refusal that names the evacuation as its cause while the other domains are full.
#[test]
fn refusal_of_a_job_of_an_evacuated_domain_says_when_another_has_room() {
    use job_model::RefusalReason::{Evacuated, QueueTooLong};
    let others = vec![other_pool("a", true, 50), other_pool("b", true, 50)];
    let (_, _, answer) = run_plan(&mut new_plan("00f1"), &pools_with(others), |process, _| {
        Some(match process {
            HOME => refused(Evacuated, 100),
            "a" => refused(QueueTooLong, 900),
            _ => refused(QueueTooLong, 600),
        })
    });
    assert_eq!(answer, answer_of(QueueTooLong, 600));
}

/// Guards against two runs of a task: a copy that another process offers elsewhere may run there.
#[test]
fn job_with_a_copy_elsewhere_is_offered_nowhere_else() {
    use job_model::RefusalReason::{CopyElsewhere, QueueTooLong};
    for refusing in [HOME, "a"] {
        let others = vec![other_pool("a", true, 50), other_pool("b", true, 40)];
        let (offers, wait_count, answer) =
            run_plan(&mut new_plan("00f1"), &pools_with(others), |process, _| {
                Some(if process == refusing {
                    refused(CopyElsewhere, 100)
                } else {
                    refused(QueueTooLong, 100)
                })
            });
        assert_eq!(
            (wait_count, answer),
            (0, offer_plan::JobAnswer::CopyElsewhere)
        );
        let last = offers.last().map(|(process, _)| process.as_str());
        assert_eq!(last, Some(refusing));
    }
}

/// Guards against copies that run in two domains while the home domain has no pool: each copy's
/// process sees other room, so only the id may decide.
#[test]
fn copies_of_a_job_without_a_home_pool_meet_in_the_same_pool() {
    let mut first_pools = std::collections::BTreeSet::new();
    for number in 0..50 {
        let id = format!("{number:016x}");
        let first_offers = [[50, 0, 7], [1, 40, 90], [0, 0, 0]].map(|free_tasks| {
            let mut pools = pools_with(
                ["a", "b", "c"]
                    .into_iter()
                    .zip(free_tasks)
                    .map(|(name, free_tasks)| other_pool(name, name == "b", free_tasks))
                    .collect(),
            );
            pools.home = None;
            let (offers, wait_count, answer) = run_plan(&mut new_plan(&id), &pools, |_, _| {
                Some(job_model::JobEnd::Completed)
            });
            assert!(wait_count >= 60, "it should wait for `LEADER_WAIT` first");
            assert_eq!(answer, offer_plan::JobAnswer::Completed);
            offers
        });
        assert_eq!(first_offers[0], first_offers[1]);
        assert_eq!(first_offers[0], first_offers[2]);
        first_pools.insert(first_offers[0][0].0.clone());
    }
    assert_eq!(first_pools.len(), 3, "the ids should be spread");
}

/// Guards against an offer that outlives its caller.
#[test]
fn job_without_a_home_pool_is_refused_if_its_deadline_is_near() {
    let mut pools = pools_with(vec![other_pool("a", true, 50)]);
    pools.home = None;
    let limits = offer_plan::PlanLimits {
        answer_deadline: time::Duration::from_secs(1),
        leader_wait: LEADER_WAIT,
    };
    let mut plan = offer_plan::OfferPlan::new(job_spec("00f1"), limits);
    let (offers, _, answer) = run_plan(&mut plan, &pools, |_, _| None);
    assert_eq!(
        (offers, answer),
        (vec![], answer_of(job_model::RefusalReason::NoPool, 1_500))
    );
}
