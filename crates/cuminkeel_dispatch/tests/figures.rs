//! Tests of a pool and of offers with figures over the whole range of their types, as other writers of the
//! registry, peers and callers may send them: no sum overflows, and one record changes nothing for the others.

use std::{collections::BTreeSet, sync::Arc, time};

use cuminkeel_dispatch::{job_model, leadership, pool, pool_action, server_model, settings};
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
