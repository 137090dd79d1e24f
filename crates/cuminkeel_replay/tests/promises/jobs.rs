//! Admission, refusal and end of jobs.

use std::{panic, sync::Arc, time};

use cuminkeel_dispatch::{job_model, leadership, pool_action, settings};
use cuminkeel_replay::{fake_server, load_pattern, pool_simulation};

use crate::fixtures;

#[test]
fn job_completes_when_all_its_tasks_are_done() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    simulation.submit(
        0,
        &fixtures::offer("job", 4, fixtures::SHORT_RUN),
        fixtures::task_profile(fixtures::SHORT_RUN),
    );
    simulation.run_until(fixtures::ms(250));
    assert_eq!(fixtures::job_ends(&simulation, "job"), []);
    simulation.run_until(fixtures::ms(1_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
    assert_eq!(simulation.violations, []);
}

#[test]
fn refused_job_has_not_run() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
    for number in 0..20 {
        simulation.submit(
            0,
            &fixtures::offer(&format!("job{number:02}"), 2, fixtures::SHORT_RUN),
            fixtures::task_profile(fixtures::SHORT_RUN),
        );
    }
    simulation.run_until(fixtures::ms(6_000));
    let refused = simulation
        .answers
        .iter()
        .filter(|answer| matches!(answer.end, job_model::JobEnd::Refused { .. }))
        .count();
    assert!(
        refused > 0,
        "expected a refusal: the server runs one of the 20 jobs at a time"
    );
    assert_eq!(simulation.answers.len(), 20);
    assert_eq!(simulation.violations, []);
}

#[test]
fn job_forecast_too_late_is_refused_at_once_with_retry_after() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
    for number in 0..20 {
        simulation.submit(
            0,
            &fixtures::offer(&format!("job{number:02}"), 2, fixtures::SHORT_RUN),
            fixtures::task_profile(fixtures::SHORT_RUN),
        );
    }
    let refusals: Vec<_> = simulation
        .answers
        .iter()
        .filter(|answer| answer.at == simulation.now())
        .collect();
    assert!(!refusals.is_empty());
    for answer in refusals {
        let job_model::JobEnd::Refused { retry_after, .. } = answer.end else {
            panic!("expected a refusal on arrival, got {answer:?}");
        };
        assert!(
            retry_after >= fixtures::SHORT_RUN,
            "capacity is free after one run at the earliest, got a retry after {retry_after:?}"
        );
    }
}

#[test]
fn job_that_fits_no_server_is_refused() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
    let mut job = fixtures::offer("job", 1, fixtures::SHORT_RUN);
    let mut spec = (*job.spec).clone();
    spec.steps[0].cpu_millis = 20_000;
    job.spec = Arc::new(spec);
    simulation.submit(0, &job, fixtures::task_profile(fixtures::SHORT_RUN));
    assert!(matches!(
        fixtures::job_ends(&simulation, "job")[..],
        [job_model::JobEnd::Refused {
            reason: job_model::RefusalReason::NoSuitableServer,
            ..
        }]
    ));
}

#[test]
fn offer_at_once_is_refused_if_the_job_would_wait() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
    simulation.submit(
        0,
        &fixtures::offer("first", 2, fixtures::SHORT_RUN),
        fixtures::task_profile(fixtures::SHORT_RUN),
    );
    let second = job_model::JobOffer {
        terms: job_model::OfferTerms::AtOnce,
        ..fixtures::offer("second", 1, fixtures::SHORT_RUN)
    };
    simulation.submit(0, &second, fixtures::task_profile(fixtures::SHORT_RUN));
    assert!(matches!(
        fixtures::job_ends(&simulation, "second")[..],
        [job_model::JobEnd::Refused { .. }]
    ));
    let waiting_job = fixtures::offer("second", 1, fixtures::SHORT_RUN);
    simulation.submit(0, &waiting_job, fixtures::task_profile(fixtures::SHORT_RUN));
    simulation.run_until(fixtures::ms(1_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "second").last(),
        Some(&job_model::JobEnd::Completed)
    );
}

#[test]
fn resubmitted_job_attaches_to_its_existing_runs() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    simulation.submit(
        0,
        &fixtures::offer("job", 2, fixtures::SHORT_RUN),
        fixtures::task_profile(fixtures::SHORT_RUN),
    );
    simulation.run_until(fixtures::ms(150));
    simulation.submit(
        0,
        &fixtures::offer("job", 2, fixtures::SHORT_RUN),
        fixtures::task_profile(fixtures::SHORT_RUN),
    );
    simulation.run_until(fixtures::ms(1_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed, job_model::JobEnd::Completed]
    );
    assert_eq!(
        fixtures::decision_count(&simulation, pool_action::DecisionKind::Placed),
        2
    );
}

#[test]
fn always_failing_task_fails_its_job_after_max_attempts() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2", "s3"]);
    let failing_profile = fake_server::TaskProfile {
        always_fails: true,
        ..fixtures::task_profile(fixtures::SHORT_RUN)
    };
    simulation.submit(
        0,
        &fixtures::offer("job", 1, fixtures::SHORT_RUN),
        failing_profile,
    );
    simulation.run_until(fixtures::ms(2_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Failed(
            job_model::FailureReason::AttemptsExhausted
        )]
    );
    assert_eq!(
        fixtures::decision_count(&simulation, pool_action::DecisionKind::Placed),
        2
    );
}

#[test]
fn withdrawn_job_is_stopped() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
    simulation.submit(
        0,
        &fixtures::offer("job", 2, fixtures::LONG_RUN),
        fixtures::task_profile(fixtures::LONG_RUN),
    );
    simulation.run_until(fixtures::ms(200));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 14_000);
    simulation.withdraw(0, "job");
    simulation.run_until(fixtures::ms(260));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 0);
}

#[test]
fn steps_run_in_dependency_order() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    let mut job = fixtures::offer("job", 2, fixtures::SHORT_RUN);
    let mut spec = (*job.spec).clone();
    let mut second = spec.steps[0].clone();
    second.depends_on = smallvec::smallvec![0];
    spec.steps.push(second);
    job.spec = Arc::new(spec);
    simulation.submit(0, &job, fixtures::task_profile(fixtures::SHORT_RUN));
    simulation.run_until(fixtures::ms(250));
    let started_early = simulation.decisions.iter().any(|(_, record)| {
        record.kind == pool_action::DecisionKind::Placed
            && record
                .request
                .as_deref()
                .is_some_and(|name| name.starts_with("job.0.1."))
    });
    assert!(!started_early);
    simulation.run_until(fixtures::ms(1_500));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
}

#[test]
fn same_seed_draws_the_same_number_of_jobs() {
    let spec = cuminkeel_replay::replay_report::worst_pattern_specs(11)[0];
    let (first, second) = (load_pattern::draw(&spec), load_pattern::draw(&spec));
    assert_eq!(first.arrivals.len(), second.arrivals.len());
}

/// A begun job can't meet its objective any more when its last tasks can start. Serving a fresh job
/// first would delay it further and could waste the work already done.
#[test]
fn begun_job_that_misses_its_objective_ends_before_a_fresh_one() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
    // Two of the four tasks fit at a time. When the others can start, 200 ms after the submission,
    // the job can't meet its objective of 380 ms any more.
    simulation.submit(
        0,
        &fixtures::offer("begun", 4, fixtures::SHORT_RUN),
        fixtures::task_profile(fixtures::SHORT_RUN),
    );
    simulation.run_until(fixtures::ms(250));
    simulation.submit(
        0,
        &fixtures::offer("fresh", 2, fixtures::SHORT_RUN),
        fixtures::task_profile(fixtures::SHORT_RUN),
    );
    simulation.run_until(fixtures::ms(3_000));
    let ended_at = |job: &str| {
        let answer = simulation.answers.iter().find(|answer| &*answer.job == job);
        let answer = answer.expect("the job has ended");
        assert_eq!(answer.end, job_model::JobEnd::Completed, "{job}");
        answer.at
    };
    assert!(
        ended_at("begun") < ended_at("fresh"),
        "expected the begun job to end first: begun at {:?}, fresh at {:?}",
        ended_at("begun"),
        ended_at("fresh")
    );
}

/// After a loss of all power, a new leader has claimed one of eight servers, and the others follow
/// within milliseconds. A forecast by the one server would send callers away for many seconds.
#[test]
fn partly_claimed_domain_sends_no_caller_away_for_long() {
    let names = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"];
    let servers = names.iter().map(|name| fixtures::server(name)).collect();
    let mut simulation =
        pool_simulation::PoolSimulation::new(1, servers, settings::PoolPolicies::default());
    let first_claimed = std::iter::once(Arc::from("s1")).collect();
    simulation.pools[0].reconcile_claims(
        &first_claimed,
        leadership::ShardSet::ALL,
        fixtures::ms(0),
    );
    simulation.run_until(fixtures::ms(20));
    for number in 0..12 {
        let id = format!("job{number}");
        simulation.submit(
            0,
            &fixtures::offer(&id, 2, fixtures::LONG_RUN),
            fixtures::task_profile(fixtures::LONG_RUN),
        );
    }
    simulation.lead(0);
    simulation.run_until(fixtures::ms(3_000));
    assert!(
        fixtures::longest_retry_after(&simulation) <= fixtures::ms(2_000),
        "longest Retry-After: {:?}",
        fixtures::longest_retry_after(&simulation)
    );
    let completed = simulation
        .answers
        .iter()
        .filter(|answer| answer.end == job_model::JobEnd::Completed)
        .count();
    assert!(completed >= 8, "{completed} of 12 jobs completed");
}

/// Forty jobs were admitted while the capacity was unknown, and one server turns out to be all that
/// there is. Most of them will expire in the queue, so a caller need not wait for all to run.
#[test]
fn retry_after_counts_on_the_expiry_of_queued_jobs() {
    let servers = vec![fixtures::server("s1"), fixtures::server("s2")];
    let mut simulation =
        pool_simulation::PoolSimulation::new(1, servers, settings::PoolPolicies::default());
    simulation.server_mut("s2").mode = fake_server::ServerMode::Unreachable;
    simulation.lead(0);
    simulation.run_until(fixtures::ms(1_380));
    for number in 0..40 {
        let id = format!("job{number}");
        simulation.submit(
            0,
            &fixtures::offer(&id, 1, fixtures::LONG_RUN),
            fixtures::task_profile(fixtures::LONG_RUN),
        );
    }
    simulation.run_until(fixtures::ms(1_420));
    simulation.submit(
        0,
        &fixtures::offer("late", 1, fixtures::LONG_RUN),
        fixtures::task_profile(fixtures::LONG_RUN),
    );
    let [job_model::JobEnd::Refused { retry_after, .. }] =
        fixtures::job_ends(&simulation, "late")[..]
    else {
        panic!(
            "job should be refused: {:?}",
            fixtures::job_ends(&simulation, "late")
        );
    };
    // The queued jobs expire 4.5 s after their arrival; jitter at most doubles the time.
    assert!(
        retry_after <= fixtures::ms(2 * 4_500),
        "Retry-After {retry_after:?}"
    );
}

/// The second after a loss of all power: every server is full, each has some free processor left, and
/// a hundred jobs are queued. If each event scanned all servers for each queued job, the leader's
/// processor would be busy with that alone, and answers of servers would time out unread.
#[test]
fn queue_of_a_full_pool_compares_no_servers() {
    let names: Vec<String> = (0..20).map(|number| format!("s{number:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut simulation = fixtures::simulation_with_leader(1, &names);
    for number in 0..120 {
        let mut job = fixtures::offer(&format!("job{number}"), 2, fixtures::LONG_RUN);
        let mut spec = (*job.spec).clone();
        spec.target_latency_ms = 60_000;
        job.spec = Arc::new(spec);
        job.time_to_deadline = fixtures::ms(60_000);
        simulation.submit(0, &job, fixtures::task_profile(fixtures::LONG_RUN));
    }
    assert_eq!(simulation.load(0).queued_jobs, 100);
    assert!(simulation.load(0).free_cpu_millis > 0);
    let reads_before = simulation.pools[0].placement_reads();
    simulation.run_until(fixtures::ms(600));
    assert_eq!(simulation.pools[0].placement_reads(), reads_before);
    simulation.run_until(fixtures::ms(10_000));
    assert_eq!(simulation.violations, []);
    assert_eq!(simulation.answers.len(), 120);
    // The runs of 200 tasks end one or a few at a time, and all other servers stay full.
    let reads = simulation.pools[0].placement_reads() - reads_before;
    assert!(reads < 200 * 4, "{reads} servers compared for 200 tasks");
}

/// A new leader can't reach one of its servers, so it starts nothing until the leases there have expired.
/// A short job could not end in time then; holding it until it expires would keep its caller from coming
/// back at once. A long job still has its value then.
#[test]
fn short_job_is_refused_at_once_while_a_takeover_waits_for_an_unreachable_server() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    simulation.pause(0);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Unreachable;
    simulation.lead(1);
    simulation.run_until(fixtures::ms(400));
    for (id, run_time) in [("short", fixtures::SHORT_RUN), ("long", fixtures::LONG_RUN)] {
        simulation.submit(
            1,
            &fixtures::offer(id, 1, run_time),
            fixtures::task_profile(run_time),
        );
    }
    let short_ends = fixtures::job_ends(&simulation, "short");
    assert!(
        matches!(
            short_ends[..],
            [job_model::JobEnd::Refused {
                reason: job_model::RefusalReason::NoPool,
                ..
            }]
        ),
        "{short_ends:?}"
    );
    simulation.run_until(fixtures::ms(4_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "long"),
        [job_model::JobEnd::Completed]
    );
}

/// An offer with times and factors at their limits, as from a damaged frame. An overflow in a sum of times
/// panics, which would end the pool's task and with it the process.
#[test]
fn offers_with_extreme_values_do_not_panic() {
    let usual = fixtures::offer("job", 1, fixtures::SHORT_RUN);
    let with_spec = |change: &dyn Fn(&mut job_model::JobSpec)| {
        let mut spec = (*usual.spec).clone();
        change(&mut spec);
        job_model::JobOffer {
            spec: Arc::new(spec),
            ..usual.clone()
        }
    };
    let offers = [
        job_model::JobOffer {
            time_to_deadline: time::Duration::MAX,
            ..usual.clone()
        },
        job_model::JobOffer {
            age: time::Duration::MAX,
            ..usual.clone()
        },
        with_spec(&|spec| spec.stretch_factor = f64::INFINITY),
        with_spec(&|spec| spec.stretch_factor = f64::NAN),
        with_spec(&|spec| spec.stretch_factor = f64::MAX),
        with_spec(&|spec| spec.target_latency_ms = u32::MAX),
        with_spec(&|spec| spec.steps[0].estimate_ms = u32::MAX),
        with_spec(&|spec| spec.steps[0].cpu_millis = u32::MAX),
        with_spec(&|spec| spec.steps[0].memory_mb = u32::MAX),
        with_spec(&|spec| spec.steps[0].depends_on.push(0)),
        with_spec(&|spec| spec.steps[0].depends_on.push(u16::MAX)),
        with_spec(&|spec| spec.steps.clear()),
    ];
    for (number, offer) in offers.into_iter().enumerate() {
        let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
        let result = panic::catch_unwind(panic::AssertUnwindSafe(|| {
            simulation.submit(0, &offer, fixtures::task_profile(fixtures::SHORT_RUN));
            simulation.run_until(fixtures::ms(3_000));
        }));
        assert!(result.is_ok(), "offer {number} should not panic");
    }
}
