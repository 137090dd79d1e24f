//! Tests of a pool and of offers with figures over the whole range of their types, as other writers of the
//! registry, peers and callers may send them: no sum overflows, and one record changes nothing for the others.

use std::{collections::BTreeSet, sync::Arc, time};

use cuminkeel_dispatch::{
    capacity_forecast, job_model, leadership, pool, pool_action, server_model, settings,
};
use proptest::prelude::{ProptestConfig, any};
use smallvec::SmallVec;

fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

/// Capacity of a server: thousandths of a core, MB of memory and accelerators.
type Capacity = (u32, u32, u32);

/// Returns a pool that holds an idle server for each of `capacities`, named by its position.
fn held_pool(capacities: &[Capacity]) -> pool::ServerPool {
    let pool_settings = settings::PoolSettings::new(ms(1_000), ms(50), ms(1_300));
    let mut pool = pool::ServerPool::new(pool_settings, 1);
    let mut ids = BTreeSet::new();
    for (number, (cpu_millis, memory_mb, gpus)) in capacities.iter().enumerate() {
        let id: Arc<str> = Arc::from(format!("s{number}"));
        let entry = server_model::ServerEntry {
            id: Arc::clone(&id),
            service: Arc::from("desk"),
            address: Arc::from(format!("s{number}:1")),
            failure_domain: Arc::from("here"),
            draining: false,
            cpu_millis: *cpu_millis,
            memory_mb: *memory_mb,
            gpus: *gpus,
            labels: SmallVec::new(),
            incarnation: 1,
            sequence: 1,
            cold_remaining: time::Duration::ZERO,
        };
        pool.apply_registry_entry(entry, ms(1));
        ids.insert(id);
    }
    pool.reconcile_claims(&ids, leadership::ShardSet::ALL, ms(1));
    pool.record_registry_read(ms(1));
    for action in pool.take_actions(ms(1)) {
        if let pool_action::PoolAction::Hold(order) = action {
            let report = server_model::HoldReport {
                clock_ms: 1_000,
                incarnation: Some(1),
                running: Vec::new(),
                finished: Vec::new(),
                unreadable_count: 0,
            };
            let outcome = server_model::HoldOutcome::Reported(report);
            pool.apply_hold_outcome(&order, outcome, ms(2));
        }
    }
    pool
}

fn step(task_count: u16, cpu_millis: u32) -> job_model::StepSpec {
    job_model::StepSpec {
        task_count,
        cpu_millis,
        memory_mb: 64,
        gpus: 0,
        estimate_ms: 100,
        depends_on: SmallVec::new(),
        required_label: None,
        data_rack: None,
        max_per_server: None,
    }
}

fn offer(id: &str, steps: Vec<job_model::StepSpec>) -> job_model::JobOffer {
    job_model::JobOffer {
        spec: Arc::new(job_model::JobSpec {
            id: Arc::from(id),
            route: Arc::from("route"),
            service: Arc::from("desk"),
            payload: Arc::from(""),
            steps,
            priority: 0,
            max_attempts: 2,
            stretch_factor: 1.6,
            target_latency_ms: 5_000,
        }),
        age: time::Duration::ZERO,
        time_to_deadline: ms(5_000),
        may_have_started: false,
        terms: job_model::OfferTerms::Useful,
        sent_at: ms(10),
        source: Arc::from("vm"),
        session: job_model::OfferSession::default(),
        is_resumed: false,
    }
}

/// Submits `offer` and returns the number of starts and the ends that follow at once.
fn submit(
    pool: &mut pool::ServerPool,
    offer: &job_model::JobOffer,
) -> (usize, Vec<job_model::JobEnd>) {
    pool.submit(offer, pool_action::WaiterId(1), ms(10));
    let (mut starts, mut ends) = (0, Vec::new());
    for action in pool.take_actions(ms(10)) {
        match action {
            pool_action::PoolAction::Start(_) => starts += 1,
            pool_action::PoolAction::AnswerWaiter { end, .. } => ends.push(end),
            _ => {}
        }
    }
    (starts, ends)
}

/// Other processes would offer no jobs to a pool whose reported capacity is the rest of an overflow.
#[test]
fn capacities_of_all_servers_add_up_without_overflow() {
    let pool = held_pool(&[(u32::MAX, 32_768, 0), (16_000, 32_768, 0), (u32::MAX, 1, 0)]);
    let load = pool.load(ms(3));
    assert_eq!(load.held_servers, 3);
    assert_eq!(
        (load.free_cpu_millis, load.total_cpu_millis),
        (u32::MAX, u32::MAX)
    );
}

/// The process would end, or rank servers by the rest of an overflow, once a job of large tasks was admitted.
#[test]
fn processor_of_large_tasks_is_averaged_without_overflow() {
    let mut pool = held_pool(&[(u32::MAX, 32_768, 0)]);
    let steps = vec![step(1, 2_000_000_000), step(1, 2_000_000_000)];
    assert_eq!(submit(&mut pool, &offer("large", steps)), (2, Vec::new()));
}

/// Guards against callers that are refused as `queue_too_long` while servers idle, as a job with many steps is ahead: only
/// one of its tasks can run at a time.
#[test]
fn job_of_dependent_steps_keeps_no_servers_from_others() {
    let mut pool = held_pool(&[(16_000, 32_768, 0), (16_000, 32_768, 0)]);
    let hour_ms = 3_600_000;
    let steps = (0..100_u16).map(|position| job_model::StepSpec {
        estimate_ms: hour_ms,
        depends_on: position.checked_sub(1).into_iter().collect(),
        ..step(1, 1_000)
    });
    let mut chain = offer("chain", steps.collect());
    chain.time_to_deadline = ms(u64::from(hour_ms) * 24);
    let mut other = offer("other", vec![step(1, 1_000)]);
    for (id, offer) in [("chain", &mut chain), ("other", &mut other)] {
        // The other job is served behind the first.
        Arc::make_mut(&mut offer.spec).stretch_factor = 1.0;
        assert_eq!(submit(&mut pool, offer), (1, Vec::new()), "{id}");
    }
}

/// Capacities of servers over the whole range, with a mark for the bounds and for usual ones.
fn any_capacity() -> impl proptest::strategy::Strategy<Value = Capacity> {
    let any_figure = || {
        proptest::prop_oneof![
            proptest::strategy::Just(0),
            proptest::strategy::Just(u32::MAX),
            1_000_u32..100_000,
            any::<u32>(),
        ]
    };
    (any_figure(), any_figure(), any_figure())
}

/// Numbers of a server, with the bounds of the decoder.
fn any_number() -> impl proptest::strategy::Strategy<Value = u64> {
    const MAX_NUMBER: u64 = (1 << 53) - 1;
    proptest::prop_oneof![
        0..10_u64,
        0..=MAX_NUMBER,
        proptest::strategy::Just(MAX_NUMBER)
    ]
}

fn task_name(index: u16) -> job_model::TaskName {
    job_model::TaskName {
        job: Arc::from("job"),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// Without it, a pool at a huge server would be busy with its forecast for so long that it takes itself for paused,
/// and a task that needs no processor would do the same at any server.
#[test]
fn forecast_costs_no_more_for_a_huge_server_or_a_tiny_task() {
    let mut pool = held_pool(&[(u32::MAX, 32_768, 0), (16_000, 32_768, 0)]);
    for (id, cpu_millis) in [("tiny", 0), ("small", 1), ("usual", 5_000)] {
        let (starts, ends) = submit(&mut pool, &offer(id, vec![step(3, cpu_millis)]));
        assert_eq!((starts, &*ends), (3, &[][..]), "{id}");
        assert_eq!(pool.room(ms(10)).queue_wait_ms, 0);
    }
}

proptest::proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Guards against a forecast with equal times that differs from one with each time by itself.
    #[test]
    fn equal_capacities_are_reserved_like_single_ones(
        capacities in proptest::collection::vec((0_u64..6, 0_u64..4), 0..5),
        works in proptest::collection::vec((0_usize..9, 0_u64..4), 1..6),
        latest in 0_u64..12,
    ) {
        let mut equal = capacity_forecast::CapacityForecast::default();
        let mut single = Vec::new();
        for (task_count, free_in) in capacities {
            equal.add_equal_capacities(task_count, ms(free_in));
            single.extend((0..task_count).map(|_| ms(free_in)));
        }
        for (number, (task_count, run_time)) in works.into_iter().enumerate() {
            let work = capacity_forecast::QueuedWork { task_count, run_time: ms(run_time) };
            let unchanged = single.clone();
            let mut expected = Some(time::Duration::ZERO);
            for _ in 0..task_count {
                single.sort();
                match single.first_mut() {
                    Some(earliest) => {
                        expected = expected.max(Some(*earliest));
                        *earliest += work.run_time;
                    }
                    None => expected = None,
                }
            }
            if number % 2 == 0 {
                proptest::prop_assert_eq!(equal.reserve(work), expected);
            } else {
                proptest::prop_assert_eq!(equal.reserve_by(work, ms(latest)), expected);
                if expected.is_none_or(|start| start > ms(latest)) {
                    single = unchanged;
                }
            }
            proptest::prop_assert_eq!(equal.is_empty(), single.is_empty());
        }
    }

    /// Guards against sums of figures that overflow, or that cost time and memory in proportion to a figure.
    #[test]
    fn pool_takes_any_capacity_and_any_job(
        capacities in proptest::collection::vec(any_capacity(), 0..4),
        jobs in proptest::collection::vec(
            proptest::collection::vec((1_u16..4, any::<u32>(), any::<u32>(), any::<u32>(), any::<u32>()), 1..4),
            1..5,
        ),
        (stretch_factor, target_latency_ms) in (proptest::num::f64::ANY, any::<u32>()),
        (age, time_to_deadline) in (any::<u64>(), any::<u64>()),
        is_at_once in any::<bool>(),
    ) {
        let mut pool = held_pool(&capacities);
        let held_count = u32::try_from(capacities.len()).expect("few servers");
        for (number, steps) in jobs.into_iter().enumerate() {
            let steps = steps
                .into_iter()
                .map(|(task_count, cpu_millis, memory_mb, gpus, estimate_ms)| job_model::StepSpec {
                    memory_mb,
                    gpus,
                    estimate_ms,
                    ..step(task_count, cpu_millis)
                })
                .collect();
            let mut offer = offer(&format!("job{number}"), steps);
            let spec = Arc::make_mut(&mut offer.spec);
            spec.stretch_factor = stretch_factor;
            spec.target_latency_ms = target_latency_ms;
            offer.age = time::Duration::from_nanos(age);
            offer.time_to_deadline = time::Duration::from_secs(time_to_deadline);
            if is_at_once {
                offer.terms = job_model::OfferTerms::AtOnce;
            }
            let _ends = submit(&mut pool, &offer);
        }
        for now in (10..300).step_by(20).map(ms) {
            pool.tick(now);
            let _actions = pool.take_actions(now);
            let (load, room) = (pool.load(now), pool.room(now));
            proptest::prop_assert_eq!(load.held_servers, held_count);
            proptest::prop_assert!(load.free_cpu_millis <= load.total_cpu_millis);
            let _tasks = room.startable_tasks(0);
        }
    }

    /// Guards against sums with a server's clock, runs and ends that overflow. The bound is that of the decoder.
    #[test]
    fn pool_takes_any_numbers_of_a_server(
        reports in proptest::collection::vec(
            (
                any_number(),
                proptest::option::of(0..=7_258_118_400_000_u64),
                proptest::collection::vec((0_u16..3, any_number(), 0_u8..=100), 0..3),
                proptest::collection::vec((any_number(), 0_u16..3, any_number()), 0..3),
            ),
            1..6,
        ),
        may_have_started in any::<bool>(),
    ) {
        let mut pool = held_pool(&[(16_000, 32_768, 0)]);
        let mut offer = offer("job", vec![step(3, 1_000)]);
        offer.may_have_started = may_have_started;
        let mut now = ms(10);
        let mut holds = Vec::new();
        pool.submit(&offer, pool_action::WaiterId(1), now);
        for (clock_ms, incarnation, running, finished) in reports {
            pool.tick(now);
            holds.extend(pool.take_actions(now).into_iter().filter_map(|action| match action {
                pool_action::PoolAction::Hold(order) => Some(order),
                _ => None,
            }));
            let report = server_model::HoldReport {
                clock_ms,
                incarnation,
                running: running
                    .into_iter()
                    .map(|(index, run_id, percent)| server_model::ReportedRun {
                        task: task_name(index),
                        run_id,
                        percent,
                    })
                    .collect(),
                finished: finished
                    .into_iter()
                    .map(|(sequence, index, run_id)| server_model::ReportedEnd {
                        sequence,
                        task: task_name(index),
                        run_id,
                        end: server_model::RunEnd::Failed,
                    })
                    .collect(),
                unreadable_count: 0,
            };
            now += ms(25);
            if let Some(order) = holds.last() {
                let outcome = server_model::HoldOutcome::Reported(report);
                pool.apply_hold_outcome(order, outcome, now);
            }
        }
        pool.tick(now + ms(300));
        let _load = pool.load(now + ms(300));
    }
}
