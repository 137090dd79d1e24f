//! Tests of the decisions to which pools a job is offered.

use std::{cell::RefCell, sync::Arc, time};

use cuminkeel_dispatch::{job_model, leadership, offer_plan};
use smallvec::{SmallVec, smallvec};

const LEADER_WAIT: time::Duration = time::Duration::from_millis(1_500);
const ANSWER_DEADLINE: time::Duration = time::Duration::from_secs(8);
/// Processor of a task of the jobs in these tests.
const TASK_CPU_MILLIS: u32 = 1_000;
const HOME: &str = "home";

/// Pools that each answer their offers in turn with the ends given for them.
struct TestPools {
    home: Option<offer_plan::HomePool>,
    others: RefCell<Vec<offer_plan::OtherPool>>,
}

impl offer_plan::PoolDirectory for TestPools {
    fn home_pool(&self, _id: &str) -> Option<offer_plan::HomePool> {
        self.home.clone()
    }

    fn other_pools(&self) -> SmallVec<[offer_plan::OtherPool; 4]> {
        self.others.borrow().iter().cloned().collect()
    }
}

fn pools_with(others: Vec<offer_plan::OtherPool>) -> TestPools {
    TestPools {
        home: Some(offer_plan::HomePool {
            process: Arc::from(HOME),
            shards: leadership::ShardSet::ALL,
        }),
        others: RefCell::new(others),
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

/// Guards against refusals in a full domain while another has room, and against offers after which a
/// job could run twice.
#[test]
fn end_at_the_home_pool_decides_which_pools_are_asked_next() {
    use job_model::{
        OfferTerms::{AtOnce, Useful},
        RefusalReason::{NoPool, NoSuitableServer, QueueTooLong},
    };
    let lost = offer_plan::JobAnswer::Failed(job_model::FailureReason::PoolLost);
    let cases = [
        (
            "completed at home",
            Some(job_model::JobEnd::Completed),
            vec![(HOME, AtOnce)],
            offer_plan::JobAnswer::Completed,
        ),
        (
            "queue too long at home",
            Some(refused(QueueTooLong, 700)),
            vec![(HOME, AtOnce), ("a", AtOnce), ("b", AtOnce), (HOME, Useful)],
            answer_of(QueueTooLong, 700),
        ),
        (
            "no suitable server at home",
            Some(refused(NoSuitableServer, 700)),
            vec![(HOME, AtOnce), ("a", AtOnce), ("b", AtOnce)],
            answer_of(NoSuitableServer, 700),
        ),
        (
            "home pool that may have runs of the job",
            Some(refused(NoPool, 700)),
            vec![(HOME, AtOnce)],
            answer_of(NoPool, 700),
        ),
    ];
    for (name, home_end, expected_offers, expected_answer) in cases {
        let pools = pools_with(vec![
            other_pool("a", true, 50),
            other_pool("b", true, 40),
            other_pool("c", true, 30),
        ]);
        let (offers, _, answer) = run_plan(&mut new_plan("00f1"), &pools, |process, _| {
            if process == HOME {
                home_end.clone()
            } else {
                Some(refused(QueueTooLong, 900))
            }
        });
        let expected_offers: Vec<_> = expected_offers
            .into_iter()
            .map(|(process, terms)| (process.to_owned(), terms))
            .collect();
        assert_eq!(
            (offers, answer),
            (expected_offers, expected_answer),
            "{name}"
        );
    }
    let pools = pools_with(vec![other_pool("a", true, 50)]);
    let (offers, wait_count, answer) = run_plan(&mut new_plan("00f1"), &pools, |_, _| None);
    assert!(offers.iter().all(|(process, _)| process == HOME));
    assert_eq!((wait_count > 0, answer), (true, lost));
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
    let cases = [("at home", HOME, 1), ("at another pool", "a", 2)];
    for (name, refusing, expected_count) in cases {
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
            (offers.len(), wait_count, answer),
            (expected_count, 0, offer_plan::JobAnswer::CopyElsewhere),
            "{name}"
        );
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
