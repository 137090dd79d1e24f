//! Jobs, servers and simulations that the tests share.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{job_model, pool_action, settings};
use cuminkeel_replay::{fake_server, pool_simulation};
use smallvec::SmallVec;

pub const SHORT_RUN: time::Duration = time::Duration::from_millis(200);

pub const LONG_RUN: time::Duration = time::Duration::from_millis(900);

pub fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

pub fn task_profile(run_time: time::Duration) -> fake_server::TaskProfile {
    fake_server::TaskProfile {
        cpu_millis: 7_000,
        nominal_run_time: run_time,
        always_fails: false,
    }
}

pub fn offer(id: &str, task_count: u16, run_time: time::Duration) -> job_model::JobOffer {
    let step = job_model::StepSpec {
        task_count,
        cpu_millis: 7_000,
        memory_mb: 64,
        gpus: 0,
        estimate_ms: u32::try_from(run_time.as_millis())
            .expect("the run time in ms fits into 32 bits"),
        depends_on: SmallVec::new(),
        required_label: None,
        data_rack: None,
        max_per_server: None,
    };
    job_model::JobOffer {
        spec: Arc::new(job_model::JobSpec {
            id: Arc::from(id),
            route: Arc::from("route"),
            service: Arc::from("order-desk"),
            payload: Arc::from("payload"),
            steps: vec![step],
            priority: 0,
            max_attempts: 2,
            stretch_factor: 1.6,
            target_latency_ms: 60,
        }),
        age: time::Duration::ZERO,
        time_to_deadline: ms(5_000),
        may_have_started: false,
        terms: job_model::OfferTerms::Useful,
        sent_at: time::Duration::ZERO,
        source: Arc::from("vm"),
        session: job_model::OfferSession::default(),
        is_resumed: false,
    }
}

pub fn server(name: &str) -> fake_server::FakeServer {
    fake_server::FakeServer::new(name, 16_000, 1.0, "a")
}

/// Creates a simulation and advances it to 100 ms, when pool 0 holds all servers.
pub fn simulation_with_leader(
    pool_count: usize,
    servers: &[&str],
) -> pool_simulation::PoolSimulation {
    let servers = servers.iter().map(|name| server(name)).collect();
    let mut simulation = pool_simulation::PoolSimulation::new(
        pool_count,
        servers,
        settings::PoolPolicies::default(),
    );
    simulation.lead(0);
    simulation.run_until(ms(100));
    simulation
}

pub fn job_ends(simulation: &pool_simulation::PoolSimulation, job: &str) -> Vec<job_model::JobEnd> {
    simulation
        .answers
        .iter()
        .filter(|answer| &*answer.job == job)
        .map(|answer| answer.end.clone())
        .collect()
}

pub fn decision_count(
    simulation: &pool_simulation::PoolSimulation,
    kind: pool_action::DecisionKind,
) -> usize {
    simulation
        .decisions
        .iter()
        .filter(|(_, record)| record.kind == kind)
        .count()
}

/// Returns the longest `Retry-After` that the simulation has answered.
pub fn longest_retry_after(simulation: &pool_simulation::PoolSimulation) -> time::Duration {
    simulation
        .answers
        .iter()
        .filter_map(|answer| match answer.end {
            job_model::JobEnd::Refused { retry_after, .. } => Some(retry_after),
            _ => None,
        })
        .max()
        .unwrap_or_default()
}
