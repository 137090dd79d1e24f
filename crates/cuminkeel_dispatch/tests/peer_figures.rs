//! Tests of offers, rooms, clocks and waits with figures over the whole range of their types, as peers and callers
//! may send them: nothing overflows, and each job gets an answer.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{
    job_model, leadership, message_delay, offer_plan, overdue_run, pool_room, retry_advice,
    room_ledger,
};
use proptest::{
    prelude::{Just, ProptestConfig, Strategy, any},
    prop_oneof,
};
use smallvec::SmallVec;

/// Most steps of a job in a body of the default size of 256 KiB: each takes about 46 bytes.
const MOST_STEPS: u16 = 5_700;

/// Pools that a process can offer jobs to.
struct TestPools(Vec<offer_plan::OtherPool>);

impl offer_plan::PoolDirectory for TestPools {
    fn home_pool(&self, _id: &str) -> Option<offer_plan::HomePool> {
        Some(offer_plan::HomePool {
            process: Arc::from("home"),
            shards: leadership::ShardSet::ALL,
        })
    }

    fn other_pools(&self) -> SmallVec<[offer_plan::OtherPool; 4]> {
        self.0.iter().cloned().collect()
    }
}

fn other_pool(number: usize) -> offer_plan::OtherPool {
    let name: Arc<str> = Arc::from(format!("pool{number}"));
    offer_plan::OtherPool {
        process: Arc::clone(&name),
        failure_domain: name,
        is_local: false,
        is_near: true,
        shards: leadership::ShardSet::ALL,
        free_cpu_millis: 16_000,
        total_cpu_millis: 16_000,
        queued_jobs: 0,
        room: Some(pool_room::PoolRoom {
            largest_cpu_millis: 16_000,
            server_counts: [0; pool_room::BIN_COUNT],
            queue_wait_ms: 10,
        }),
        room_age: time::Duration::ZERO,
        sent_cpu_millis: 0,
    }
}

fn step(position: u16, figures: (u16, u32, u32)) -> job_model::StepSpec {
    let (task_count, cpu_millis, estimate_ms) = figures;
    job_model::StepSpec {
        task_count,
        cpu_millis,
        memory_mb: 1,
        gpus: 0,
        estimate_ms,
        depends_on: position.checked_sub(1).into_iter().collect(),
        required_label: None,
        data_rack: None,
        max_per_server: None,
    }
}

fn job_spec(steps: Vec<job_model::StepSpec>, stretch_factor: f64) -> Arc<job_model::JobSpec> {
    Arc::new(job_model::JobSpec {
        id: Arc::from("job"),
        route: Arc::from("orders"),
        service: Arc::from("desk"),
        payload: Arc::from(""),
        steps,
        priority: 0,
        max_attempts: 2,
        stretch_factor,
        target_latency_ms: u32::MAX,
    })
}

/// Returns the answer of a job that all pools refuse because of their queue, after `retry_after`.
fn answer_of(
    spec: Arc<job_model::JobSpec>,
    pools: Vec<offer_plan::OtherPool>,
    retry_after: time::Duration,
) -> offer_plan::JobAnswer {
    let pools = TestPools(pools);
    let limits = offer_plan::PlanLimits {
        answer_deadline: time::Duration::from_secs(8),
        leader_wait: time::Duration::from_secs(1),
    };
    let mut plan = offer_plan::OfferPlan::new(spec, limits);
    let mut now = time::Duration::ZERO;
    for _ in 0..100 {
        match plan.next_action(&pools, now) {
            offer_plan::OfferAction::Offer { .. } => {
                now += time::Duration::from_millis(1);
                let end = job_model::JobEnd::Refused {
                    reason: job_model::RefusalReason::QueueTooLong,
                    retry_after,
                };
                plan.record_end(Some(&end), now);
            }
            offer_plan::OfferAction::Wait(pause) => now += pause,
            offer_plan::OfferAction::Answer(answer) => return answer,
        }
    }
    panic!("the plan should end");
}

/// Guards against a caller whose connection closes without an answer: the task that offers its job ended.
#[test]
fn job_of_the_longest_estimates_gets_an_answer() {
    let steps = (0..MOST_STEPS).map(|position| step(position, (1, 1_000, u32::MAX)));
    let spec = job_spec(steps.collect(), 1.5);
    let pool = offer_plan::OtherPool {
        sent_cpu_millis: u32::MAX,
        ..other_pool(0)
    };
    let retry_after = time::Duration::from_secs(1);
    let answer = answer_of(spec, vec![pool], retry_after);
    let expected = offer_plan::JobAnswer::Refused {
        reason: job_model::RefusalReason::QueueTooLong,
        retry_after,
    };
    assert_eq!(answer, expected);
}

/// Guards against a caller whose connection closes without an answer, because of a peer's wait.
#[test]
fn job_refused_for_the_longest_wait_gets_an_answer() {
    let spec = job_spec(vec![step(0, (1, 1_000, 100))], 1.5);
    let retry_after = time::Duration::MAX;
    assert!(matches!(
        answer_of(spec, vec![other_pool(0)], retry_after),
        offer_plan::JobAnswer::Refused { .. }
    ));
}

/// Guards against an objective that overflows, from the largest job and route that a caller and the operator can write.
#[test]
fn objective_of_the_largest_job_is_a_time() {
    let steps = (0..MOST_STEPS).map(|position| step(position, (u16::MAX, u32::MAX, u32::MAX)));
    let spec = job_spec(steps.collect(), f64::MAX);
    let run_times: Vec<time::Duration> = spec
        .steps
        .iter()
        .map(job_model::StepSpec::estimate)
        .collect();
    let objective = spec.objective(spec.critical_path(&run_times));
    assert!(objective.checked_mul(3).is_some());
    assert_eq!(spec.ready_cpu_millis(), u32::MAX);
}

/// Numbers over the whole range, with a mark for the bounds.
fn any_figure() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(u32::MAX), 1_u32..100_000, any::<u32>()]
}

/// Durations over the whole range.
fn any_duration() -> impl Strategy<Value = time::Duration> {
    prop_oneof![
        Just(time::Duration::MAX),
        any::<u64>().prop_map(time::Duration::from_nanos),
        any::<u64>().prop_map(time::Duration::from_secs),
    ]
}

fn any_pool(number: usize) -> impl Strategy<Value = offer_plan::OtherPool> {
    let room = (
        any_figure(),
        any::<[u16; pool_room::BIN_COUNT]>(),
        any_figure(),
    );
    let capacity = (any_figure(), any_figure(), any_figure(), any_figure());
    (
        proptest::option::of(room),
        capacity,
        any::<u64>(),
        any::<bool>(),
    )
        .prop_map(
            move |(room, (free, total, queued, sent), room_age, is_near)| offer_plan::OtherPool {
                is_near,
                free_cpu_millis: free,
                total_cpu_millis: total,
                queued_jobs: queued,
                sent_cpu_millis: sent,
                room: room.map(|(largest_cpu_millis, server_counts, queue_wait_ms)| {
                    pool_room::PoolRoom {
                        largest_cpu_millis,
                        server_counts,
                        queue_wait_ms,
                    }
                }),
                room_age: time::Duration::from_nanos(room_age),
                ..other_pool(number)
            },
        )
}

proptest::proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    #[test]
    fn each_job_gets_an_answer_from_any_pools(
        pools in (any_pool(0), any_pool(1), any_pool(2)),
        steps in proptest::collection::vec((any::<u16>(), any_figure(), any_figure()), 0..4),
        stretch_factor in proptest::num::f64::ANY,
        retry_after in any_duration(),
    ) {
        let (first, second, third) = pools;
        let steps = (0..).zip(steps).map(|(position, figures)| step(position, figures)).collect();
        let _answer = answer_of(job_spec(steps, stretch_factor), vec![first, second, third], retry_after);
    }

    #[test]
    fn waits_and_clocks_of_any_length_do_not_overflow(
        one in any_duration(),
        other in any_duration(),
        percent in any::<u8>(),
    ) {
        let retry_after = retry_advice::jittered_retry_after("job", one);
        proptest::prop_assert!(retry_after >= one);
        proptest::prop_assert!(retry_advice::wait_before_jitter("job", one) <= one);
        let clock = message_delay::PeerClock::new(one, other / 2);
        proptest::prop_assert!(clock.estimate(other) >= one);
        let run = overdue_run::OverdueRun {
            elapsed: one,
            percent,
            reschedule_time: other,
            time_to_expiry: one,
            reschedules: 0,
        };
        let _action = run.action();
    }

    #[test]
    fn room_of_any_servers_holds_no_more_than_they_have(
        servers in proptest::collection::vec((any_figure(), any_figure()), 0..8),
        queue_wait in any_duration(),
        cpu_millis in any_figure(),
    ) {
        let servers: Vec<(u32, u32)> = servers
            .into_iter()
            .map(|(one, other)| (one.min(other), one.max(other)))
            .collect();
        let room = pool_room::PoolRoom::from_servers(servers.iter().copied(), queue_wait);
        let free: u64 = servers.iter().map(|(free, _)| u64::from(*free)).sum();
        let startable = u64::from(room.startable_tasks(cpu_millis));
        proptest::prop_assert!(startable <= free / u64::from(cpu_millis.max(1)));
    }

    #[test]
    fn sent_jobs_of_any_size_add_up_without_overflow(sizes in proptest::collection::vec(any_figure(), 0..8)) {
        let mut ledger = room_ledger::RoomLedger::default();
        let process: Arc<str> = Arc::from("pool");
        let now = time::Duration::from_secs(1);
        for size in &sizes {
            ledger.record_sent(&process, *size, now);
        }
        let sum: u64 = sizes.iter().map(|size| u64::from(*size)).sum();
        let expected = u32::try_from(sum).unwrap_or(u32::MAX);
        proptest::prop_assert_eq!(ledger.sent_cpu_millis("pool", now), expected);
        for size in &sizes {
            ledger.record_ended("pool", *size, now);
        }
        proptest::prop_assert_eq!(ledger.sent_cpu_millis("pool", now), 0);
    }

    /// Guards against a domain without a leader because of the numbers of servers that its members report.
    #[test]
    fn each_shard_has_a_leader_whatever_members_report(
        figures in proptest::collection::vec((any_figure(), any_figure(), any::<bool>()), 1..6),
        registered_servers in any::<usize>(),
        acting_leaders in any::<usize>(),
    ) {
        let members: Vec<leadership::DomainMember> = (0..)
            .zip(figures)
            .map(|(number, (cpu_millis, held_servers, leaving))| leadership::DomainMember {
                name: Arc::from(format!("vm{number}")),
                cpu_millis,
                reachable: true,
                leaving,
                held_servers,
                shards: leadership::ShardSet::default(),
            })
            .collect();
        let count = leadership::required_leader_count(registered_servers, acting_leaders);
        let led = members
            .iter()
            .map(|member| leadership::shards_to_lead(&members, count, &member.name))
            .fold(leadership::ShardSet::default(), leadership::ShardSet::union);
        proptest::prop_assert_eq!(led, leadership::ShardSet::ALL);
    }
}
