//! Changes of the leader: claims, pauses, inherited runs and offers that are read late.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{job_model, pool_action, server_slot};
use cuminkeel_replay::fake_server;

use crate::fixtures;

/// A second pool claims servers that the first one still holds. If the servers kept obeying the
/// first pool, two leaders would fill the same capacity.
#[test]
fn later_claim_fences_the_previous_leader() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    simulation.lead(1);
    simulation.run_until(fixtures::ms(1_500));
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
        let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2", "s3"]);
        for number in 0..5 {
            let id = format!("job{number}");
            simulation.submit(
                0,
                &fixtures::offer(&id, 1, fixtures::SHORT_RUN),
                fixtures::task_profile(fixtures::SHORT_RUN),
            );
        }
        simulation.run_until(fixtures::ms(100) + time::Duration::from_micros(latency_steps * 300));
        simulation.lead(1);
        for number in 0..5 {
            let job = job_model::JobOffer {
                may_have_started: true,
                ..fixtures::offer(&format!("job{number}"), 1, fixtures::SHORT_RUN)
            };
            simulation.submit(1, &job, fixtures::task_profile(fixtures::SHORT_RUN));
        }
        simulation.run_until(fixtures::ms(4_000));
        assert_eq!(simulation.violations, [], "{latency_steps} latency steps");
        for number in 0..5 {
            let ends = fixtures::job_ends(&simulation, &format!("job{number}"));
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
    let mut simulation = fixtures::simulation_with_leader(2, &["s1"]);
    simulation.submit(
        0,
        &fixtures::offer("job", 2, fixtures::LONG_RUN),
        fixtures::task_profile(fixtures::LONG_RUN),
    );
    simulation.run_until(fixtures::ms(300));
    simulation.pause(0);
    simulation.lead(1);
    let job = job_model::JobOffer {
        may_have_started: true,
        ..fixtures::offer("job", 2, fixtures::LONG_RUN)
    };
    // The claim is not answered yet, so the hold report comes to a pool that has the job in its
    // queue.
    simulation.submit(1, &job, fixtures::task_profile(fixtures::LONG_RUN));
    simulation.run_until(fixtures::ms(1_100));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
    assert_eq!(simulation.violations, []);
    let placements = simulation
        .decisions
        .iter()
        .filter(|(_, record)| record.kind == pool_action::DecisionKind::Placed)
        .count();
    assert_eq!(placements, 2, "no task is started again");
}

/// A pool runs a task on s2 and finds, on a server that it learns of later, an inherited run of the
/// same task with the same run id. It stops that run, whose end must not count as the end of its own.
#[test]
fn end_of_an_inherited_run_does_not_end_the_run_of_its_task_on_another_server() {
    let run_time = fixtures::ms(3_000);
    let offer = fixtures::offer("job", 1, run_time);
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    simulation.submit(0, &offer, fixtures::task_profile(run_time));
    simulation.run_until(fixtures::ms(200));
    assert_eq!(simulation.server_mut("s1").runs.len(), 1);
    simulation.pools[1].remove_registry_entry("s1");
    simulation.lead(1);
    simulation.run_until(fixtures::ms(300));
    simulation.submit(1, &offer, fixtures::task_profile(run_time));
    simulation.run_until(fixtures::ms(400));
    assert_eq!(simulation.server_mut("s2").runs.len(), 1);
    simulation.update_registry_entry(1, "s1");
    simulation.lead(1);
    simulation.run_until(fixtures::ms(5_000));
    assert_eq!(simulation.server_mut("s1").history.len(), 1);
    assert_eq!(simulation.server_mut("s2").history.len(), 1);
}

/// A paused leader has a job in its queue, which the next leader starts meanwhile. The paused
/// leader resumes and leads again while that run goes on. If it kept its old queue, it would start
/// the job a second time before the server with the run has reported it.
#[test]
fn returning_leader_starts_no_task_that_the_next_leader_runs() {
    for delay_steps in 0..20 {
        let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
        // Both servers are full, so the job stays in the queue of pool 0.
        simulation.submit(
            0,
            &fixtures::offer("filling", 4, fixtures::LONG_RUN),
            fixtures::task_profile(fixtures::LONG_RUN),
        );
        let mut queued_job = fixtures::offer("job", 1, fixtures::LONG_RUN);
        let mut spec = (*queued_job.spec).clone();
        spec.target_latency_ms = 10_000;
        queued_job.spec = Arc::new(spec);
        queued_job.time_to_deadline = fixtures::ms(20_000);
        simulation.submit(0, &queued_job, fixtures::task_profile(fixtures::LONG_RUN));
        simulation.run_until(fixtures::ms(120));
        simulation.pause(0);
        simulation.run_until(fixtures::ms(2_300));
        simulation.lead(1);
        let resubmitted = job_model::JobOffer {
            may_have_started: true,
            ..queued_job
        };
        // The blocker fills s1, whose claim is granted first, so the job runs on s2.
        simulation.submit(
            1,
            &fixtures::offer("blocker", 2, fixtures::LONG_RUN),
            fixtures::task_profile(fixtures::SHORT_RUN),
        );
        simulation.submit(1, &resubmitted, fixtures::task_profile(fixtures::LONG_RUN));
        simulation.run_until(fixtures::ms(2_500 + delay_steps * 10));
        simulation.resume(0);
        let until = simulation.now() + fixtures::ms(30);
        simulation.run_until(until);
        simulation.step_down(1);
        simulation.lead(0);
        simulation.submit(0, &resubmitted, fixtures::task_profile(fixtures::LONG_RUN));
        simulation.run_until(fixtures::ms(9_000));
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
        let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2", "s3"]);
        let given_up = job_model::JobOffer {
            sent_at: simulation.now(),
            ..fixtures::offer("job", 1, fixtures::LONG_RUN)
        };
        simulation.pause(0);
        simulation.run_until(fixtures::ms(800));
        simulation.lead(1);
        let resubmitted = job_model::JobOffer {
            may_have_started: true,
            ..fixtures::offer("job", 1, fixtures::LONG_RUN)
        };
        // The blocker fills s1 for a while, so the job runs on another server than the one whose
        // claim is granted first to the resumed leader.
        simulation.submit(
            1,
            &fixtures::offer("blocker", 2, fixtures::LONG_RUN),
            fixtures::task_profile(fixtures::SHORT_RUN),
        );
        simulation.submit(1, &resubmitted, fixtures::task_profile(fixtures::LONG_RUN));
        simulation.run_until(fixtures::ms(1_100));
        simulation.resume(0);
        simulation.pools[0].tick(fixtures::ms(1_100));
        simulation.lead(0);
        simulation.run_until(fixtures::ms(1_100) + time::Duration::from_micros(delay_steps * 100));
        simulation.deliver_offer(0, &given_up, fixtures::task_profile(fixtures::LONG_RUN));
        simulation.run_until(fixtures::ms(5_000));
        assert_eq!(
            simulation.violations,
            [],
            "offer read {delay_steps} steps of 100 us after the claims"
        );
        let first_end = fixtures::job_ends(&simulation, "job").into_iter().next();
        assert_eq!(first_end, Some(job_model::JobEnd::NotLeader));
    }
}

/// The registry entry of the server that runs the job is missing when the leader changes, so the
/// next leader does not know of the run. Starting the job at once on the other server would give
/// overlapping runs.
#[test]
fn incomplete_registry_causes_no_overlapping_runs() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    simulation.submit(
        0,
        &fixtures::offer("job", 1, fixtures::LONG_RUN),
        fixtures::task_profile(fixtures::LONG_RUN),
    );
    simulation.run_until(fixtures::ms(200));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 7_000);
    simulation.pause(0);
    // The registry entry of the server that runs the job has expired and is not renewed yet.
    simulation.pools[1].remove_registry_entry("s1");
    simulation.pools[1].mark_registry_incomplete(fixtures::ms(2_800));
    simulation.lead(1);
    let resubmitted = job_model::JobOffer {
        may_have_started: true,
        ..fixtures::offer("job", 1, fixtures::LONG_RUN)
    };
    simulation.submit(1, &resubmitted, fixtures::task_profile(fixtures::LONG_RUN));
    simulation.run_until(fixtures::ms(5_000));
    assert_eq!(simulation.violations, []);
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
}

/// No caller resubmits the job of a previous leader. The next leader's holds renew the leases of
/// the job's runs, so these would use capacity until they end by themselves.
#[test]
fn inherited_runs_without_a_job_are_stopped() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1"]);
    simulation.submit(
        0,
        &fixtures::offer("job", 2, fixtures::LONG_RUN),
        fixtures::task_profile(time::Duration::from_secs(4)),
    );
    simulation.run_until(fixtures::ms(300));
    simulation.pause(0);
    simulation.lead(1);
    simulation.run_until(fixtures::ms(1_000));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 0);
}

/// Leaders that can't reach each other claim a server in turn, each before the grace period for runs
/// without a job has passed. If their claims renewed the lease, the run would outlive the time after which
/// callers send the job again.
#[test]
fn run_without_a_job_is_not_kept_by_leaders_that_claim_its_server_in_turn() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1"]);
    simulation.submit(
        0,
        &fixtures::offer("job", 1, fixtures::LONG_RUN),
        fixtures::task_profile(time::Duration::from_secs(9)),
    );
    simulation.run_until(fixtures::ms(200));
    simulation.step_down(0);
    for turn in 1..5 {
        simulation.lead(turn % 2);
        simulation
            .run_until(fixtures::ms(200) + fixtures::ms(300) * u32::try_from(turn).unwrap_or(0));
    }
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 0);
}

/// A process is paused for longer than its peers wait for an unresponsive leader, and another pool
/// claims its servers. It must not act on its old claims when it resumes.
#[test]
fn resumed_leader_gives_up_servers_that_another_pool_claimed() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    simulation.submit(
        0,
        &fixtures::offer("job", 1, fixtures::SHORT_RUN),
        fixtures::task_profile(fixtures::SHORT_RUN),
    );
    simulation.run_until(fixtures::ms(150));
    simulation.pause(0);
    simulation.run_until(fixtures::ms(900));
    simulation.lead(1);
    simulation.submit(
        1,
        &fixtures::offer("other", 2, fixtures::SHORT_RUN),
        fixtures::task_profile(fixtures::SHORT_RUN),
    );
    simulation.run_until(fixtures::ms(3_500));
    simulation.resume(0);
    simulation.submit(
        0,
        &fixtures::offer("stale", 1, fixtures::SHORT_RUN),
        fixtures::task_profile(fixtures::SHORT_RUN),
    );
    simulation.run_until(fixtures::ms(6_000));
    assert_eq!(simulation.violations, []);
    assert_eq!(
        fixtures::job_ends(&simulation, "other"),
        [job_model::JobEnd::Completed]
    );
    // Pool 0 no longer claims the servers.
    for server in ["s1", "s2"] {
        let state = simulation.pools[0].claim_state(server);
        assert_eq!(state, Some(server_slot::ClaimState::Unclaimed));
    }
}

/// A pool that steps down leaves its runs on the servers. If the next leader did not adopt them, it
/// would start the task a second time.
#[test]
fn next_leader_adopts_the_runs_of_a_pool_that_stepped_down() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1"]);
    simulation.submit(
        0,
        &fixtures::offer("job", 1, fixtures::LONG_RUN),
        fixtures::task_profile(fixtures::LONG_RUN),
    );
    simulation.run_until(fixtures::ms(200));
    simulation.step_down(0);
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::PoolLost]
    );
    simulation.lead(1);
    let job = job_model::JobOffer {
        may_have_started: true,
        ..fixtures::offer("job", 1, fixtures::LONG_RUN)
    };
    simulation.submit(1, &job, fixtures::task_profile(fixtures::LONG_RUN));
    simulation.run_until(fixtures::ms(1_200));
    assert_eq!(
        fixtures::job_ends(&simulation, "job").last(),
        Some(&job_model::JobEnd::Completed)
    );
    assert_eq!(
        fixtures::decision_count(&simulation, pool_action::DecisionKind::Placed),
        1
    );
    assert_eq!(simulation.violations, []);
}

/// A leader that is cut off from its server keeps claiming it and raises its epoch, the high bits
/// of the fencing token, by single steps. The first claim of the next leader must raise the epoch
/// by more than these steps, so that the server fences the previous leader and not the next one.
#[test]
fn reconnected_leader_is_fenced_by_the_next_leader() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1"]);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Unreachable;
    simulation.run_until(fixtures::ms(2_000));
    let epoch = simulation.pools[0].epoch();
    simulation.pools[1].observe_epoch(epoch);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Healthy;
    simulation.lead(1);
    simulation.run_until(fixtures::ms(3_500));
    let state_in = |pool: usize| simulation.pools[pool].claim_state("s1");
    assert_eq!(state_in(0), Some(server_slot::ClaimState::Unclaimed));
    assert_eq!(state_in(1), Some(server_slot::ClaimState::Held));
    assert!(simulation.lost_servers.iter().any(|(pool, _)| *pool == 0));
    // A server that the next leader holds is none that rejects claims.
    assert_eq!(simulation.pools[0].rejecting_server_count(), 0);
}

/// The address of a server changes while the first claim on it is unanswered. Its runs are still
/// unknown, so the job of one of them must not start on another server.
#[test]
fn changed_address_during_the_first_claim_causes_no_overlapping_runs() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    simulation.submit(
        0,
        &fixtures::offer("job", 1, fixtures::LONG_RUN),
        fixtures::task_profile(fixtures::LONG_RUN),
    );
    simulation.run_until(fixtures::ms(200));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 7_000);
    simulation.pause(0);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Unreachable;
    simulation.lead(1);
    simulation.run_until(fixtures::ms(210));
    let entry = &mut simulation.server_mut("s1").entry;
    entry.address = Arc::from("s1-moved:1");
    entry.sequence += 1;
    simulation.update_registry_entry(1, "s1");
    let resubmitted = job_model::JobOffer {
        may_have_started: true,
        ..fixtures::offer("job", 1, fixtures::LONG_RUN)
    };
    simulation.submit(1, &resubmitted, fixtures::task_profile(fixtures::LONG_RUN));
    simulation.run_until(fixtures::ms(6_000));
    assert_eq!(simulation.violations, []);
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
}

/// Two adopted runs fill the only server for almost a second. If they counted as about to end, a job
/// that another domain could start at once would be admitted and wait for them.
#[test]
fn forecast_includes_the_remaining_time_of_adopted_runs() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1"]);
    let job = fixtures::offer("job", 2, fixtures::LONG_RUN);
    simulation.submit(0, &job, fixtures::task_profile(fixtures::LONG_RUN));
    simulation.run_until(fixtures::ms(150));
    simulation.pause(0);
    simulation.lead(1);
    simulation.run_until(fixtures::ms(160));
    let resubmitted = job_model::JobOffer {
        may_have_started: true,
        ..job
    };
    simulation.submit(1, &resubmitted, fixtures::task_profile(fixtures::LONG_RUN));
    let second = job_model::JobOffer {
        terms: job_model::OfferTerms::AtOnce,
        ..fixtures::offer("second", 1, fixtures::LONG_RUN)
    };
    simulation.submit(1, &second, fixtures::task_profile(fixtures::LONG_RUN));
    assert!(matches!(
        fixtures::job_ends(&simulation, "second")[..],
        [job_model::JobEnd::Refused { .. }]
    ));
    simulation.run_until(fixtures::ms(3_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
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

/// A caller sends a job again while its first copy runs, and the second copy reaches the next
/// leader as a job that has started nowhere, before the server with the run has reported it.
#[test]
fn resent_job_is_not_started_beside_the_run_of_the_previous_leader() {
    for delay_steps in 0..20 {
        let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2", "s3"]);
        // The blocker fills s1, whose claim the next leader is granted first.
        simulation.submit(
            0,
            &fixtures::offer("blocker", 2, fixtures::SHORT_RUN),
            fixtures::task_profile(fixtures::SHORT_RUN),
        );
        let job = fixtures::offer("job", 1, fixtures::LONG_RUN);
        simulation.submit(0, &job, fixtures::task_profile(fixtures::LONG_RUN));
        simulation.run_until(fixtures::ms(400));
        simulation.pause(0);
        simulation.lead(1);
        simulation.run_until(fixtures::ms(400) + time::Duration::from_micros(delay_steps * 100));
        simulation.submit(1, &job, fixtures::task_profile(fixtures::LONG_RUN));
        simulation.run_until(fixtures::ms(5_000));
        assert_eq!(
            simulation.violations,
            [],
            "job sent again {delay_steps} steps of 100 us after the claims"
        );
        assert_eq!(
            fixtures::job_ends(&simulation, "job"),
            [job_model::JobEnd::Completed]
        );
    }
}
