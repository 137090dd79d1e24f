//! Memory that jobs take before they are refused. Alone in its program, as the memory of the whole process counts.

use std::{fs, sync::Arc, time};

use cuminkeel_dispatch::{job_model, pool, pool_action, settings};
use smallvec::SmallVec;

/// A fifth of the memory of the users' smallest VM.
const MAX_GROWTH_KB: u64 = 195_000 / 5;

/// Returns the highest resident memory of this process so far, in kB.
fn peak_memory_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("status should be readable");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("peak memory should be listed");
    let figure = line
        .split_whitespace()
        .next()
        .and_then(|text| text.parse().ok());
    figure.expect("peak memory should be a number")
}

fn offer(steps: Vec<job_model::StepSpec>) -> job_model::JobOffer {
    job_model::JobOffer {
        spec: Arc::new(job_model::JobSpec {
            id: Arc::from("00000000000000aa"),
            route: Arc::from("route"),
            service: Arc::from("desk"),
            payload: Arc::from("60"),
            steps,
            priority: 0,
            max_attempts: 2,
            stretch_factor: 1.0,
            target_latency_ms: 60,
        }),
        age: time::Duration::ZERO,
        time_to_deadline: time::Duration::from_millis(1_500),
        may_have_started: false,
        terms: job_model::OfferTerms::AtOnce,
        sent_at: time::Duration::from_millis(1),
        source: Arc::from("n1"),
        session: job_model::OfferSession::default(),
        is_resumed: false,
    }
}

/// Guards against processes that exceed the memory of their VM, one after the other, because of a job of a few
/// bytes that stands for millions of tasks: an earlier release offers it to pools over links.
#[test]
fn pool_refuses_a_job_of_millions_of_tasks_before_it_takes_memory() {
    let step = job_model::StepSpec {
        task_count: 60_000,
        cpu_millis: 1_000,
        memory_mb: 64,
        gpus: 0,
        estimate_ms: 60,
        depends_on: SmallVec::new(),
        required_label: None,
        data_rack: None,
        max_per_server: None,
    };
    let now = time::Duration::from_millis(1);
    let pool_settings = settings::PoolSettings::new(
        time::Duration::from_secs(1),
        time::Duration::from_millis(50),
        time::Duration::from_millis(1_300),
    );
    let mut pool = pool::ServerPool::new(pool_settings, 1);
    let before = peak_memory_kb();
    pool.submit(&offer(vec![step; 40]), pool_action::WaiterId(1), now);
    let growth = peak_memory_kb() - before;
    assert!(growth <= MAX_GROWTH_KB, "grew by {growth} kB");
    let is_refused = pool.take_actions(now).iter().any(|action| {
        matches!(
            action,
            pool_action::PoolAction::AnswerWaiter {
                end: job_model::JobEnd::Refused { .. },
                ..
            }
        )
    });
    assert!(is_refused, "job should be refused");
}
