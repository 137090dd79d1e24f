//! Invariants of pools and answers to their callers, with and without faults, simulated in virtual
//! time.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{job_model, pool_action, server_slot, settings};
use cuminkeel_replay::{fake_server, load_pattern, pool_simulation};
use smallvec::SmallVec;

const SHORT_RUN: time::Duration = time::Duration::from_millis(200);
const LONG_RUN: time::Duration = time::Duration::from_millis(900);

fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

fn task_profile(run_time: time::Duration) -> fake_server::TaskProfile {
    fake_server::TaskProfile {
        cpu_millis: 7_000,
        nominal_run_time: run_time,
        always_fails: false,
    }
}

fn offer(id: &str, task_count: u16, run_time: time::Duration) -> job_model::JobOffer {
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
    }
}

fn server(name: &str) -> fake_server::FakeServer {
    fake_server::FakeServer::new(name, 16_000, 1.0, "a")
}

/// Creates a simulation and advances it to 100 ms, when pool 0 holds all servers.
fn simulation_with_leader(pool_count: usize, servers: &[&str]) -> pool_simulation::PoolSimulation {
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

fn job_ends(simulation: &pool_simulation::PoolSimulation, job: &str) -> Vec<job_model::JobEnd> {
    simulation
        .answers
        .iter()
        .filter(|answer| &*answer.job == job)
        .map(|answer| answer.end.clone())
        .collect()
}

fn decision_count(
    simulation: &pool_simulation::PoolSimulation,
    kind: pool_action::DecisionKind,
) -> usize {
    simulation
        .decisions
        .iter()
        .filter(|(_, record)| record.kind == kind)
        .count()
}

#[test]
fn job_completes_when_all_its_tasks_are_done() {
    let mut simulation = simulation_with_leader(1, &["s1", "s2"]);
    simulation.submit(0, &offer("job", 4, SHORT_RUN), task_profile(SHORT_RUN));
    simulation.run_until(ms(250));
    assert_eq!(job_ends(&simulation, "job"), []);
    simulation.run_until(ms(1_000));
    assert_eq!(job_ends(&simulation, "job"), [job_model::JobEnd::Completed]);
    assert_eq!(simulation.violations, []);
}

/// A second pool claims servers that the first one still holds. If the servers kept obeying the
/// first pool, two leaders would fill the same capacity.
#[test]
fn later_claim_fences_the_previous_leader() {
    let mut simulation = simulation_with_leader(2, &["s1", "s2"]);
    simulation.lead(1);
    simulation.run_until(ms(1_500));
    assert_eq!(simulation.lost_servers.len(), 2);
    assert!(simulation.lost_servers.iter().all(|(pool, _)| *pool == 0));
    for name in ["s1", "s2"] {
        assert_eq!(
            simulation.pools[0].claim_state(name),
            Some(server_slot::ClaimState::Unclaimed)
        );
        assert_eq!(
            simulation.pools[1].claim_state(name),
            Some(server_slot::ClaimState::Held)
        );
    }
}

/// A second pool claims the servers while starts of the first one are on the way, after 0 to 19
/// one-way latencies of 300 us. A pool that did not learn of such a start would run the task again.
#[test]
fn concurrent_claims_cause_no_overlapping_runs() {
    for latency_steps in 0..20 {
        let mut simulation = simulation_with_leader(2, &["s1", "s2", "s3"]);
        for number in 0..5 {
            let id = format!("job{number}");
            simulation.submit(0, &offer(&id, 1, SHORT_RUN), task_profile(SHORT_RUN));
        }
        simulation.run_until(ms(100) + time::Duration::from_micros(latency_steps * 300));
        simulation.lead(1);
        for number in 0..5 {
            let job = job_model::JobOffer {
                may_have_started: true,
                ..offer(&format!("job{number}"), 1, SHORT_RUN)
            };
            simulation.submit(1, &job, task_profile(SHORT_RUN));
        }
        simulation.run_until(ms(4_000));
        assert_eq!(simulation.violations, [], "{latency_steps} latency steps");
        for number in 0..5 {
            let ends = job_ends(&simulation, &format!("job{number}"));
            assert!(
                ends.contains(&job_model::JobEnd::Completed),
                "{latency_steps} latency steps: expected job {number} to complete, got {ends:?}"
            );
        }
    }
}

/// The leader is paused while its runs go on, and the job is resubmitted to the next leader. A pool
/// that ignored the reported runs would start the tasks again.
#[test]
fn resubmitted_job_adopts_the_runs_of_the_previous_leader() {
    let mut simulation = simulation_with_leader(2, &["s1"]);
    simulation.submit(0, &offer("job", 2, LONG_RUN), task_profile(LONG_RUN));
    simulation.run_until(ms(300));
    simulation.pause(0);
    simulation.lead(1);
    let job = job_model::JobOffer {
        may_have_started: true,
        ..offer("job", 2, LONG_RUN)
    };
    // The claim is not answered yet, so the hold report comes to a pool that has the job in its
    // queue.
    simulation.submit(1, &job, task_profile(LONG_RUN));
    simulation.run_until(ms(1_100));
    assert_eq!(job_ends(&simulation, "job"), [job_model::JobEnd::Completed]);
    assert_eq!(simulation.violations, []);
    let placements = simulation
        .decisions
        .iter()
        .filter(|(_, record)| record.kind == pool_action::DecisionKind::Placed)
        .count();
    assert_eq!(placements, 2, "no task is started again");
}

/// A paused leader has a job in its queue, which the next leader starts meanwhile. The paused
/// leader resumes and leads again while that run goes on. If it kept its old queue, it would start
/// the job a second time before the server with the run has reported it.
#[test]
fn returning_leader_starts_no_task_that_the_next_leader_runs() {
    for delay_steps in 0..20 {
        let mut simulation = simulation_with_leader(2, &["s1", "s2"]);
        // Both servers are full, so the job stays in the queue of pool 0.
        simulation.submit(0, &offer("filling", 4, LONG_RUN), task_profile(LONG_RUN));
        let mut queued_job = offer("job", 1, LONG_RUN);
        let mut spec = (*queued_job.spec).clone();
        spec.target_latency_ms = 10_000;
        queued_job.spec = Arc::new(spec);
        queued_job.time_to_deadline = ms(20_000);
        simulation.submit(0, &queued_job, task_profile(LONG_RUN));
        simulation.run_until(ms(120));
        simulation.pause(0);
        simulation.run_until(ms(2_300));
        simulation.lead(1);
        let resubmitted = job_model::JobOffer {
            may_have_started: true,
            ..queued_job
        };
        // The blocker fills s1, whose claim is granted first, so the job runs on s2.
        simulation.submit(1, &offer("blocker", 2, LONG_RUN), task_profile(SHORT_RUN));
        simulation.submit(1, &resubmitted, task_profile(LONG_RUN));
        simulation.run_until(ms(2_500 + delay_steps * 10));
        simulation.resume(0);
        let until = simulation.now() + ms(30);
        simulation.run_until(until);
        simulation.step_down(1);
        simulation.lead(0);
        simulation.submit(0, &resubmitted, task_profile(LONG_RUN));
        simulation.run_until(ms(9_000));
        assert_eq!(
            simulation.violations,
            [],
            "leader resumed {delay_steps} steps of 10 ms after 2500 ms"
        );
    }
}

/// An offer stays in the socket of a paused leader. Its sender gives it up, and the next leader runs
/// the job. The first leader resumes, leads again and reads the offer, which says that no other pool
/// has the job: placing it before the servers have reported their runs would start a second run.
#[test]
fn offer_that_is_read_after_a_pause_starts_nothing() {
    for delay_steps in 0..20 {
        let mut simulation = simulation_with_leader(2, &["s1", "s2", "s3"]);
        let given_up = job_model::JobOffer {
            sent_at: simulation.now(),
            ..offer("job", 1, LONG_RUN)
        };
        simulation.pause(0);
        simulation.run_until(ms(800));
        simulation.lead(1);
        let resubmitted = job_model::JobOffer {
            may_have_started: true,
            ..offer("job", 1, LONG_RUN)
        };
        // The blocker fills s1 for a while, so the job runs on another server than the one whose
        // claim is granted first to the resumed leader.
        simulation.submit(1, &offer("blocker", 2, LONG_RUN), task_profile(SHORT_RUN));
        simulation.submit(1, &resubmitted, task_profile(LONG_RUN));
        simulation.run_until(ms(1_100));
        simulation.resume(0);
        simulation.pools[0].tick(ms(1_100));
        simulation.lead(0);
        simulation.run_until(ms(1_100) + time::Duration::from_micros(delay_steps * 100));
        simulation.deliver_offer(0, &given_up, task_profile(LONG_RUN));
        simulation.run_until(ms(5_000));
        assert_eq!(
            simulation.violations,
            [],
            "offer read {delay_steps} steps of 100 us after the claims"
        );
        let first_end = job_ends(&simulation, "job").into_iter().next();
        assert_eq!(first_end, Some(job_model::JobEnd::NotLeader));
    }
}

/// The registry entry of the server that runs the job is missing when the leader changes, so the
/// next leader does not know of the run. Starting the job at once on the other server would give
/// overlapping runs.
#[test]
fn incomplete_registry_causes_no_overlapping_runs() {
    let mut simulation = simulation_with_leader(2, &["s1", "s2"]);
    simulation.submit(0, &offer("job", 1, LONG_RUN), task_profile(LONG_RUN));
    simulation.run_until(ms(200));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 7_000);
    simulation.pause(0);
    // The registry entry of the server that runs the job has expired and is not renewed yet.
    simulation.pools[1].remove_registry_entry("s1");
    simulation.pools[1].mark_registry_incomplete(ms(2_800));
    simulation.lead(1);
    let resubmitted = job_model::JobOffer {
        may_have_started: true,
        ..offer("job", 1, LONG_RUN)
    };
    simulation.submit(1, &resubmitted, task_profile(LONG_RUN));
    simulation.run_until(ms(5_000));
    assert_eq!(simulation.violations, []);
    assert_eq!(job_ends(&simulation, "job"), [job_model::JobEnd::Completed]);
}

/// No caller resubmits the job of a previous leader. The next leader's holds renew the leases of
/// the job's runs, so these would use capacity until they end by themselves.
#[test]
fn inherited_runs_without_a_job_are_stopped() {
    let mut simulation = simulation_with_leader(2, &["s1"]);
    simulation.submit(
        0,
        &offer("job", 2, LONG_RUN),
        task_profile(time::Duration::from_secs(4)),
    );
    simulation.run_until(ms(300));
    simulation.pause(0);
    simulation.lead(1);
    simulation.run_until(ms(1_000));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 0);
}

/// A process is paused for longer than its peers wait for an unresponsive leader, and another pool
/// claims its servers. It must not act on its old claims when it resumes.
#[test]
fn resumed_leader_gives_up_servers_that_another_pool_claimed() {
    let mut simulation = simulation_with_leader(2, &["s1", "s2"]);
    simulation.submit(0, &offer("job", 1, SHORT_RUN), task_profile(SHORT_RUN));
    simulation.run_until(ms(150));
    simulation.pause(0);
    simulation.run_until(ms(900));
    simulation.lead(1);
    simulation.submit(1, &offer("other", 2, SHORT_RUN), task_profile(SHORT_RUN));
    simulation.run_until(ms(3_500));
    simulation.resume(0);
    simulation.submit(0, &offer("stale", 1, SHORT_RUN), task_profile(SHORT_RUN));
    simulation.run_until(ms(6_000));
    assert_eq!(simulation.violations, []);
    assert_eq!(
        job_ends(&simulation, "other"),
        [job_model::JobEnd::Completed]
    );
    // Pool 0 no longer claims the servers.
    for server in ["s1", "s2"] {
        let state = simulation.pools[0].claim_state(server);
        assert_eq!(state, Some(server_slot::ClaimState::Unclaimed));
    }
}

/// A start times out, and the server carries it out two seconds later. By then the task has been
/// started again, so the old order must be fenced by the token of a new claim.
#[test]
fn unanswered_start_takes_no_effect_after_a_new_claim() {
    let mut simulation = simulation_with_leader(1, &["s1", "s2"]);
    for name in ["s1", "s2"] {
        simulation.server_mut(name).mode = fake_server::ServerMode::DelayedStarts(ms(2_000));
    }
    simulation.submit(0, &offer("job", 1, SHORT_RUN), task_profile(SHORT_RUN));
    simulation.run_until(ms(5_000));
    assert_eq!(job_ends(&simulation, "job"), [job_model::JobEnd::Completed]);
    assert_eq!(simulation.violations, []);
    assert!(decision_count(&simulation, pool_action::DecisionKind::Suspect) >= 1);
    // The old order arrives after the job has ended, so a run of it would overlap with none.
    let run_count: usize = simulation
        .servers
        .values()
        .map(|server| server.history.len() + server.runs.len())
        .sum();
    assert_eq!(run_count, 1);
}

/// A server that is cut off keeps its runs until their leases expire. Starting a task elsewhere
/// before that gives overlapping runs.
#[test]
fn task_of_an_unresponsive_server_starts_elsewhere_only_after_lease_expiry() {
    let mut simulation = simulation_with_leader(1, &["s1", "s2"]);
    simulation.server_mut("s2").entry.draining = true;
    simulation.update_registry_entry(0, "s2");
    simulation.submit(0, &offer("job", 1, LONG_RUN), task_profile(LONG_RUN));
    simulation.run_until(ms(200));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 7_000);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Unreachable;
    let entry = &mut simulation.server_mut("s2").entry;
    entry.draining = false;
    entry.sequence += 1;
    simulation.update_registry_entry(0, "s2");
    simulation.run_until(ms(700));
    assert_eq!(
        simulation.server_mut("s2").used_cpu_millis(),
        0,
        "no start before the lease expires"
    );
    simulation.run_until(ms(4_000));
    assert_eq!(job_ends(&simulation, "job"), [job_model::JobEnd::Completed]);
    assert_eq!(simulation.violations, []);
    assert_eq!(
        decision_count(&simulation, pool_action::DecisionKind::LeasesExpired),
        1
    );
}

/// A server restarts and loses its runs without reporting their ends. The pool must notice the new
/// incarnation and retry the tasks, or the job never ends.
#[test]
fn tasks_lost_in_a_server_restart_are_retried() {
    let mut simulation = simulation_with_leader(1, &["s1", "s2"]);
    simulation.submit(0, &offer("job", 3, LONG_RUN), task_profile(LONG_RUN));
    simulation.run_until(ms(300));
    let now = simulation.now();
    simulation.server_mut("s1").restart(now);
    simulation.run_until(ms(5_000));
    assert_eq!(job_ends(&simulation, "job"), [job_model::JobEnd::Completed]);
    assert_eq!(
        decision_count(&simulation, pool_action::DecisionKind::Restarted),
        1
    );
    assert_eq!(simulation.violations, []);
}

#[test]
fn draining_server_gets_no_new_task() {
    let mut simulation = simulation_with_leader(1, &["s1", "s2"]);
    let entry = &mut simulation.server_mut("s1").entry;
    entry.draining = true;
    entry.sequence += 1;
    simulation.update_registry_entry(0, "s1");
    simulation.submit(0, &offer("job", 4, SHORT_RUN), task_profile(SHORT_RUN));
    simulation.run_until(ms(250));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 0);
    assert_eq!(simulation.server_mut("s2").used_cpu_millis(), 14_000);
}

/// An older registry entry arrives after a newer one. If the pool applied it, it would place tasks
/// on a draining server.
#[test]
fn stale_registry_entry_does_not_undo_draining() {
    let mut simulation = simulation_with_leader(1, &["s1"]);
    let entry = &mut simulation.server_mut("s1").entry;
    entry.draining = true;
    entry.sequence += 2;
    simulation.update_registry_entry(0, "s1");
    let entry = &mut simulation.server_mut("s1").entry;
    entry.draining = false;
    entry.sequence -= 1;
    simulation.update_registry_entry(0, "s1");
    simulation.submit(0, &offer("job", 1, SHORT_RUN), task_profile(SHORT_RUN));
    simulation.run_until(ms(400));
    assert_eq!(
        decision_count(&simulation, pool_action::DecisionKind::Placed),
        0
    );
}

#[test]
fn refused_job_has_not_run() {
    let mut simulation = simulation_with_leader(1, &["s1"]);
    for number in 0..20 {
        simulation.submit(
            0,
            &offer(&format!("job{number:02}"), 2, SHORT_RUN),
            task_profile(SHORT_RUN),
        );
    }
    simulation.run_until(ms(6_000));
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
    let mut simulation = simulation_with_leader(1, &["s1"]);
    for number in 0..20 {
        simulation.submit(
            0,
            &offer(&format!("job{number:02}"), 2, SHORT_RUN),
            task_profile(SHORT_RUN),
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
            retry_after >= SHORT_RUN,
            "capacity is free after one run at the earliest, got a retry after {retry_after:?}"
        );
    }
}

#[test]
fn job_that_fits_no_server_is_refused() {
    let mut simulation = simulation_with_leader(1, &["s1"]);
    let mut job = offer("job", 1, SHORT_RUN);
    let mut spec = (*job.spec).clone();
    spec.steps[0].cpu_millis = 20_000;
    job.spec = Arc::new(spec);
    simulation.submit(0, &job, task_profile(SHORT_RUN));
    assert!(matches!(
        job_ends(&simulation, "job")[..],
        [job_model::JobEnd::Refused {
            reason: job_model::RefusalReason::NoSuitableServer,
            ..
        }]
    ));
}

#[test]
fn offer_at_once_is_refused_if_the_job_would_wait() {
    let mut simulation = simulation_with_leader(1, &["s1"]);
    simulation.submit(0, &offer("first", 2, SHORT_RUN), task_profile(SHORT_RUN));
    let second = job_model::JobOffer {
        terms: job_model::OfferTerms::AtOnce,
        ..offer("second", 1, SHORT_RUN)
    };
    simulation.submit(0, &second, task_profile(SHORT_RUN));
    assert!(matches!(
        job_ends(&simulation, "second")[..],
        [job_model::JobEnd::Refused { .. }]
    ));
    let waiting_job = offer("second", 1, SHORT_RUN);
    simulation.submit(0, &waiting_job, task_profile(SHORT_RUN));
    simulation.run_until(ms(1_000));
    assert_eq!(
        job_ends(&simulation, "second").last(),
        Some(&job_model::JobEnd::Completed)
    );
}

#[test]
fn resubmitted_job_attaches_to_its_existing_runs() {
    let mut simulation = simulation_with_leader(1, &["s1", "s2"]);
    simulation.submit(0, &offer("job", 2, SHORT_RUN), task_profile(SHORT_RUN));
    simulation.run_until(ms(150));
    simulation.submit(0, &offer("job", 2, SHORT_RUN), task_profile(SHORT_RUN));
    simulation.run_until(ms(1_000));
    assert_eq!(
        job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed, job_model::JobEnd::Completed]
    );
    assert_eq!(
        decision_count(&simulation, pool_action::DecisionKind::Placed),
        2
    );
}

#[test]
fn always_failing_task_fails_its_job_after_max_attempts() {
    let mut simulation = simulation_with_leader(1, &["s1", "s2", "s3"]);
    let failing_profile = fake_server::TaskProfile {
        always_fails: true,
        ..task_profile(SHORT_RUN)
    };
    simulation.submit(0, &offer("job", 1, SHORT_RUN), failing_profile);
    simulation.run_until(ms(2_000));
    assert_eq!(
        job_ends(&simulation, "job"),
        [job_model::JobEnd::Failed(
            job_model::FailureReason::AttemptsExhausted
        )]
    );
    assert_eq!(
        decision_count(&simulation, pool_action::DecisionKind::Placed),
        2
    );
}

#[test]
fn server_that_fails_all_runs_is_ejected_and_jobs_complete() {
    let mut simulation = simulation_with_leader(1, &["s1", "s2", "s3"]);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Failing;
    for number in 0..30 {
        simulation.submit(
            0,
            &offer(&format!("job{number}"), 1, SHORT_RUN),
            task_profile(SHORT_RUN),
        );
        let until = simulation.now() + ms(120);
        simulation.run_until(until);
    }
    simulation.run_until(ms(8_000));
    assert!(decision_count(&simulation, pool_action::DecisionKind::Ejected) >= 1);
    let completed = simulation
        .answers
        .iter()
        .filter(|answer| answer.end == job_model::JobEnd::Completed)
        .count();
    assert_eq!(completed, 30, "{:?}", simulation.answers);
}

#[test]
fn hanging_run_is_rescheduled() {
    let mut simulation = simulation_with_leader(1, &["s1", "s2"]);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Hanging;
    simulation.submit(0, &offer("job", 1, SHORT_RUN), task_profile(SHORT_RUN));
    simulation.run_until(ms(4_000));
    assert_eq!(job_ends(&simulation, "job"), [job_model::JobEnd::Completed]);
    assert_eq!(simulation.violations, []);
}

#[test]
fn withdrawn_job_is_stopped() {
    let mut simulation = simulation_with_leader(1, &["s1"]);
    simulation.submit(0, &offer("job", 2, LONG_RUN), task_profile(LONG_RUN));
    simulation.run_until(ms(200));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 14_000);
    simulation.withdraw(0, "job");
    simulation.run_until(ms(260));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 0);
}

/// A pool that steps down leaves its runs on the servers. If the next leader did not adopt them, it
/// would start the task a second time.
#[test]
fn next_leader_adopts_the_runs_of_a_pool_that_stepped_down() {
    let mut simulation = simulation_with_leader(2, &["s1"]);
    simulation.submit(0, &offer("job", 1, LONG_RUN), task_profile(LONG_RUN));
    simulation.run_until(ms(200));
    simulation.step_down(0);
    assert_eq!(job_ends(&simulation, "job"), [job_model::JobEnd::PoolLost]);
    simulation.lead(1);
    let job = job_model::JobOffer {
        may_have_started: true,
        ..offer("job", 1, LONG_RUN)
    };
    simulation.submit(1, &job, task_profile(LONG_RUN));
    simulation.run_until(ms(1_200));
    assert_eq!(
        job_ends(&simulation, "job").last(),
        Some(&job_model::JobEnd::Completed)
    );
    assert_eq!(
        decision_count(&simulation, pool_action::DecisionKind::Placed),
        1
    );
    assert_eq!(simulation.violations, []);
}

/// A slow server is free while a fast one is busy for a short time. A pool that always took the
/// free server would end the long task later.
#[test]
fn long_task_waits_for_a_faster_server() {
    let mut slow = server("slow");
    slow.slowdown_factor = 1.7;
    slow.entry.labels = smallvec::smallvec![Arc::from("b")];
    let mut fast = server("fast");
    fast.slowdown_factor = 0.7;
    let mut simulation = pool_simulation::PoolSimulation::new(
        1,
        vec![fast, slow],
        settings::PoolPolicies::default(),
    );
    simulation.lead(0);
    simulation.run_until(ms(100));
    // The pool learns the slowdown factors of both servers from short tasks.
    for number in 0..60 {
        simulation.submit(
            0,
            &offer(&format!("warm{number}"), 4, ms(50)),
            task_profile(ms(50)),
        );
        let until = simulation.now() + ms(130);
        simulation.run_until(until);
    }
    simulation.submit(0, &offer("first", 2, LONG_RUN), task_profile(LONG_RUN));
    let until = simulation.now() + ms(50);
    simulation.run_until(until);
    simulation.submit(0, &offer("second", 1, LONG_RUN), task_profile(LONG_RUN));
    let submitted_at = simulation.now();
    simulation.run_until(submitted_at + ms(3_000));
    assert_eq!(
        job_ends(&simulation, "second"),
        [job_model::JobEnd::Completed]
    );
    let placed_on_slow = simulation.decisions.iter().any(|(at, record)| {
        *at >= submitted_at
            && record.kind == pool_action::DecisionKind::Placed
            && record.request.as_deref() == Some("second.0.0.0")
            && record.server.as_deref() == Some("slow")
    });
    assert!(!placed_on_slow);
}

#[test]
fn steps_run_in_dependency_order() {
    let mut simulation = simulation_with_leader(1, &["s1", "s2"]);
    let mut job = offer("job", 2, SHORT_RUN);
    let mut spec = (*job.spec).clone();
    let mut second = spec.steps[0].clone();
    second.depends_on = smallvec::smallvec![0];
    spec.steps.push(second);
    job.spec = Arc::new(spec);
    simulation.submit(0, &job, task_profile(SHORT_RUN));
    simulation.run_until(ms(250));
    let started_early = simulation.decisions.iter().any(|(_, record)| {
        record.kind == pool_action::DecisionKind::Placed
            && record
                .request
                .as_deref()
                .is_some_and(|name| name.starts_with("job.0.1."))
    });
    assert!(!started_early);
    simulation.run_until(ms(1_500));
    assert_eq!(job_ends(&simulation, "job"), [job_model::JobEnd::Completed]);
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
    let mut simulation = simulation_with_leader(1, &["s1"]);
    // Two of the four tasks fit at a time. When the others can start, 200 ms after the submission,
    // the job can't meet its objective of 380 ms any more.
    simulation.submit(0, &offer("begun", 4, SHORT_RUN), task_profile(SHORT_RUN));
    simulation.run_until(ms(250));
    simulation.submit(0, &offer("fresh", 2, SHORT_RUN), task_profile(SHORT_RUN));
    simulation.run_until(ms(3_000));
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

/// A leader that is cut off from its server keeps claiming it and raises its epoch, the high bits
/// of the fencing token, by single steps. The first claim of the next leader must raise the epoch
/// by more than these steps, so that the server fences the previous leader and not the next one.
#[test]
fn reconnected_leader_is_fenced_by_the_next_leader() {
    let mut simulation = simulation_with_leader(2, &["s1"]);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Unreachable;
    simulation.run_until(ms(2_000));
    let epoch = simulation.pools[0].epoch();
    simulation.pools[1].observe_epoch(epoch);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Healthy;
    simulation.lead(1);
    simulation.run_until(ms(3_500));
    let state_in = |pool: usize| simulation.pools[pool].claim_state("s1");
    assert_eq!(state_in(0), Some(server_slot::ClaimState::Unclaimed));
    assert_eq!(state_in(1), Some(server_slot::ClaimState::Held));
    assert!(simulation.lost_servers.iter().any(|(pool, _)| *pool == 0));
}

/// The address of a server changes while the first claim on it is unanswered. Its runs are still
/// unknown, so the job of one of them must not start on another server.
#[test]
fn changed_address_during_the_first_claim_causes_no_overlapping_runs() {
    let mut simulation = simulation_with_leader(2, &["s1", "s2"]);
    simulation.submit(0, &offer("job", 1, LONG_RUN), task_profile(LONG_RUN));
    simulation.run_until(ms(200));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 7_000);
    simulation.pause(0);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Unreachable;
    simulation.lead(1);
    simulation.run_until(ms(210));
    let entry = &mut simulation.server_mut("s1").entry;
    entry.address = Arc::from("s1-moved:1");
    entry.sequence += 1;
    simulation.update_registry_entry(1, "s1");
    let resubmitted = job_model::JobOffer {
        may_have_started: true,
        ..offer("job", 1, LONG_RUN)
    };
    simulation.submit(1, &resubmitted, task_profile(LONG_RUN));
    simulation.run_until(ms(6_000));
    assert_eq!(simulation.violations, []);
    assert_eq!(job_ends(&simulation, "job"), [job_model::JobEnd::Completed]);
}

/// Two adopted runs fill the only server for almost a second. If they counted as about to end, a job
/// that another domain could start at once would be admitted and wait for them.
#[test]
fn forecast_includes_the_remaining_time_of_adopted_runs() {
    let mut simulation = simulation_with_leader(2, &["s1"]);
    let job = offer("job", 2, LONG_RUN);
    simulation.submit(0, &job, task_profile(LONG_RUN));
    simulation.run_until(ms(150));
    simulation.pause(0);
    simulation.lead(1);
    simulation.run_until(ms(160));
    let resubmitted = job_model::JobOffer {
        may_have_started: true,
        ..job
    };
    simulation.submit(1, &resubmitted, task_profile(LONG_RUN));
    let second = job_model::JobOffer {
        terms: job_model::OfferTerms::AtOnce,
        ..offer("second", 1, LONG_RUN)
    };
    simulation.submit(1, &second, task_profile(LONG_RUN));
    assert!(matches!(
        job_ends(&simulation, "second")[..],
        [job_model::JobEnd::Refused { .. }]
    ));
    simulation.run_until(ms(3_000));
    assert_eq!(job_ends(&simulation, "job"), [job_model::JobEnd::Completed]);
    let expected_ms: Vec<i64> = simulation
        .decisions
        .iter()
        .filter(|(_, record)| record.kind == pool_action::DecisionKind::RunEnded)
        .map(|(_, record)| record.inputs[1].1)
        .collect();
    assert!(
        expected_ms.iter().all(|expected| *expected > 500),
        "expected run times of the adopted runs: {expected_ms:?} ms"
    );
}

/// Returns the longest `Retry-After` that the simulation has answered.
fn longest_retry_after(simulation: &pool_simulation::PoolSimulation) -> time::Duration {
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

/// After a loss of all power, a new leader has claimed one of eight servers, and the others follow
/// within milliseconds. A forecast by the one server would send callers away for many seconds.
#[test]
fn partly_claimed_domain_sends_no_caller_away_for_long() {
    let names = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"];
    let servers = names.iter().map(|name| server(name)).collect();
    let mut simulation =
        pool_simulation::PoolSimulation::new(1, servers, settings::PoolPolicies::default());
    let first_claimed = std::iter::once(Arc::from("s1")).collect();
    simulation.pools[0].reconcile_claims(
        &first_claimed,
        cuminkeel_dispatch::leadership::ShardSet::ALL,
        ms(0),
    );
    simulation.run_until(ms(20));
    for number in 0..12 {
        let id = format!("job{number}");
        simulation.submit(0, &offer(&id, 2, LONG_RUN), task_profile(LONG_RUN));
    }
    simulation.lead(0);
    simulation.run_until(ms(3_000));
    assert!(
        longest_retry_after(&simulation) <= ms(2_000),
        "longest Retry-After: {:?}",
        longest_retry_after(&simulation)
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
    let servers = vec![server("s1"), server("s2")];
    let mut simulation =
        pool_simulation::PoolSimulation::new(1, servers, settings::PoolPolicies::default());
    simulation.server_mut("s2").mode = fake_server::ServerMode::Unreachable;
    simulation.lead(0);
    simulation.run_until(ms(1_380));
    for number in 0..40 {
        let id = format!("job{number}");
        simulation.submit(0, &offer(&id, 1, LONG_RUN), task_profile(LONG_RUN));
    }
    simulation.run_until(ms(1_420));
    simulation.submit(0, &offer("late", 1, LONG_RUN), task_profile(LONG_RUN));
    let [job_model::JobEnd::Refused { retry_after, .. }] = job_ends(&simulation, "late")[..] else {
        panic!("job should be refused: {:?}", job_ends(&simulation, "late"));
    };
    // The queued jobs expire 4.5 s after their arrival; jitter at most doubles the time.
    assert!(retry_after <= ms(2 * 4_500), "Retry-After {retry_after:?}");
}

/// Servers carry out starts whose answers are lost. A pool that started the tasks again would run
/// them twice, and one that gave the runs up would lose their work.
#[test]
fn runs_whose_start_was_not_answered_are_kept() {
    let mut simulation = simulation_with_leader(1, &["s1", "s2"]);
    for name in ["s1", "s2"] {
        simulation.server_mut(name).mode = fake_server::ServerMode::StartAnswersLost;
    }
    for number in 0..6 {
        let id = format!("job{number}");
        simulation.submit(0, &offer(&id, 2, LONG_RUN), task_profile(LONG_RUN));
    }
    simulation.run_until(ms(6_000));
    assert_eq!(simulation.violations, []);
    let completed = simulation
        .answers
        .iter()
        .filter(|answer| answer.end == job_model::JobEnd::Completed)
        .count();
    let run_count: usize = simulation
        .servers
        .values()
        .map(|server| server.history.len())
        .sum();
    assert!(completed >= 2, "{completed} jobs completed");
    assert_eq!(
        run_count,
        completed * 2,
        "runs of {completed} jobs of two tasks"
    );
}

/// The servers of a service are replaced one after the other: each drains, leaves when its runs have
/// ended, and returns as a new incarnation. Jobs arrive all the while and none loses a run.
#[test]
fn servers_are_replaced_one_after_the_other_without_a_lost_run() {
    let names = ["s1", "s2", "s3", "s4"];
    let mut simulation = simulation_with_leader(1, &names);
    let mut submitted = 0;
    let mut submit_for = |simulation: &mut pool_simulation::PoolSimulation, duration| {
        let until = simulation.now() + duration;
        while simulation.now() < until {
            let id = format!("job{submitted}");
            simulation.submit(0, &offer(&id, 2, SHORT_RUN), task_profile(SHORT_RUN));
            submitted += 1;
            let next = simulation.now() + ms(100);
            simulation.run_until(next);
        }
    };
    for name in names {
        let entry = &mut simulation.server_mut(name).entry;
        entry.draining = true;
        entry.sequence += 1;
        simulation.update_registry_entry(0, name);
        submit_for(&mut simulation, ms(1_000));
        let now = simulation.now();
        let server = simulation.server_mut(name);
        assert_eq!(server.used_cpu_millis(), 0, "{name} should be drained");
        server.restart(now);
        server.entry.draining = false;
        simulation.update_registry_entry(0, name);
        submit_for(&mut simulation, ms(500));
    }
    let until = simulation.now() + ms(2_000);
    simulation.run_until(until);
    assert_eq!(simulation.violations, []);
    assert_eq!(simulation.answers.len(), submitted);
    for answer in &simulation.answers {
        assert_eq!(answer.end, job_model::JobEnd::Completed, "{}", answer.job);
    }
    let run_count: usize = simulation
        .servers
        .values()
        .map(|server| server.history.len())
        .sum();
    assert_eq!(run_count, submitted * 2);
}

/// One of three servers becomes several times slower for a while. Jobs run on the others, and it is
/// used again when they don't suffice.
#[test]
fn servers_that_turn_slow_are_avoided_and_used_again() {
    let names = ["s1", "s2", "s3"];
    let mut simulation = simulation_with_leader(1, &names);
    let mut runs_on_slow = Vec::new();
    let mut number = 0;
    // The fast servers have room for four tasks.
    for (phase, (mode, task_count)) in [
        (fake_server::ServerMode::Healthy, 5),
        (fake_server::ServerMode::Slow(6.0), 3),
        (fake_server::ServerMode::Healthy, 5),
    ]
    .into_iter()
    .enumerate()
    {
        simulation.server_mut("s1").mode = mode;
        let history_before = simulation.server_mut("s1").history.len();
        let phase_end = simulation.now() + ms(6_000);
        while simulation.now() < phase_end {
            let id = format!("job{number}");
            let job = offer(&id, task_count, SHORT_RUN);
            simulation.submit(0, &job, task_profile(SHORT_RUN));
            number += 1;
            let next = simulation.now() + ms(250);
            simulation.run_until(next);
        }
        runs_on_slow.push(simulation.server_mut("s1").history.len() - history_before);
        let late = simulation
            .answers
            .iter()
            .filter(|answer| answer.end != job_model::JobEnd::Completed)
            .count();
        assert_eq!(late, 0, "jobs not completed after phase {phase}");
    }
    let [before, during, after] = runs_on_slow[..] else {
        panic!("three phases, got {runs_on_slow:?}");
    };
    assert!(during * 4 < before, "runs on s1 by phase: {runs_on_slow:?}");
    assert!(after * 2 > before, "runs on s1 by phase: {runs_on_slow:?}");
}

/// The second after a loss of all power: every server is full, each has some free processor left, and
/// a hundred jobs are queued. If each event scanned all servers for each queued job, the leader's
/// processor would be busy with that alone, and answers of servers would time out unread.
#[test]
fn queue_of_a_full_pool_costs_no_scans_of_the_servers() {
    let names: Vec<String> = (0..20).map(|number| format!("s{number:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut simulation = simulation_with_leader(1, &names);
    for number in 0..120 {
        let mut job = offer(&format!("job{number}"), 2, LONG_RUN);
        let mut spec = (*job.spec).clone();
        spec.target_latency_ms = 60_000;
        job.spec = Arc::new(spec);
        job.time_to_deadline = ms(60_000);
        simulation.submit(0, &job, task_profile(LONG_RUN));
    }
    assert_eq!(simulation.load(0).queued_jobs, 100);
    assert!(simulation.load(0).free_cpu_millis > 0);
    let scans_before = simulation.pools[0].placement_scans();
    simulation.run_until(ms(600));
    assert_eq!(simulation.pools[0].placement_scans(), scans_before);
    simulation.run_until(ms(10_000));
    assert_eq!(simulation.violations, []);
    assert_eq!(simulation.answers.len(), 120);
}

/// A hold report has shown a restart before the registry does, and the registry still brings a late
/// heartbeat of the previous incarnation. The claim on the new one must not be given up for it.
#[test]
fn heartbeat_of_a_previous_incarnation_does_not_disturb_the_claim() {
    let mut simulation = simulation_with_leader(1, &["s1"]);
    let mut late_heartbeat = simulation.server_mut("s1").entry.clone();
    late_heartbeat.sequence += 1;
    simulation.server_mut("s1").restart(ms(100));
    simulation.run_until(ms(700));
    assert_eq!(
        decision_count(&simulation, pool_action::DecisionKind::Restarted),
        1
    );
    simulation.pools[0].apply_registry_entry(late_heartbeat, ms(700));
    assert_eq!(
        simulation.pools[0].claim_state("s1"),
        Some(server_slot::ClaimState::Held)
    );
    assert_eq!(
        decision_count(&simulation, pool_action::DecisionKind::Restarted),
        1
    );
}
