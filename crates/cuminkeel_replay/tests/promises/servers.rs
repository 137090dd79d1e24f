//! Faults and replacements of backend servers.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{job_model, pool_action, server_model, server_slot, settings};
use cuminkeel_replay::{fake_server, pool_simulation, run_audit};

use crate::fixtures;

/// A start times out, and the server carries it out two seconds later. By then the task has been
/// started again, so the old order must be fenced by the token of a new claim.
#[test]
fn unanswered_start_takes_no_effect_after_a_new_claim() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    for name in ["s1", "s2"] {
        simulation.server_mut(name).mode =
            fake_server::ServerMode::DelayedStarts(fixtures::ms(2_000));
    }
    simulation.submit(
        0,
        &fixtures::offer("job", 1, fixtures::SHORT_RUN),
        fixtures::task_profile(fixtures::SHORT_RUN),
    );
    simulation.run_until(fixtures::ms(5_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
    assert_eq!(simulation.violations, []);
    assert!(fixtures::decision_count(&simulation, pool_action::DecisionKind::Suspect) >= 1);
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
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    simulation.server_mut("s2").entry.draining = true;
    simulation.update_registry_entry(0, "s2");
    simulation.submit(
        0,
        &fixtures::offer("job", 1, fixtures::LONG_RUN),
        fixtures::task_profile(fixtures::LONG_RUN),
    );
    simulation.run_until(fixtures::ms(200));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 7_000);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Unreachable;
    let entry = &mut simulation.server_mut("s2").entry;
    entry.draining = false;
    entry.sequence += 1;
    simulation.update_registry_entry(0, "s2");
    simulation.run_until(fixtures::ms(700));
    assert_eq!(
        simulation.server_mut("s2").used_cpu_millis(),
        0,
        "no start before the lease expires"
    );
    simulation.run_until(fixtures::ms(4_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
    assert_eq!(simulation.violations, []);
    assert_eq!(
        fixtures::decision_count(&simulation, pool_action::DecisionKind::LeasesExpired),
        1
    );
}

/// A server restarts and loses its runs without reporting their ends. The pool must notice the new
/// incarnation and retry the tasks, or the job never ends.
#[test]
fn tasks_lost_in_a_server_restart_are_retried() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    simulation.submit(
        0,
        &fixtures::offer("job", 3, fixtures::LONG_RUN),
        fixtures::task_profile(fixtures::LONG_RUN),
    );
    simulation.run_until(fixtures::ms(300));
    let now = simulation.now();
    simulation.server_mut("s1").restart(now);
    simulation.run_until(fixtures::ms(5_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
    assert_eq!(
        fixtures::decision_count(&simulation, pool_action::DecisionKind::Restarted),
        1
    );
    assert_eq!(simulation.violations, []);
}

#[test]
fn draining_server_gets_no_new_task() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    let entry = &mut simulation.server_mut("s1").entry;
    entry.draining = true;
    entry.sequence += 1;
    simulation.update_registry_entry(0, "s1");
    simulation.submit(
        0,
        &fixtures::offer("job", 4, fixtures::SHORT_RUN),
        fixtures::task_profile(fixtures::SHORT_RUN),
    );
    simulation.run_until(fixtures::ms(250));
    assert_eq!(simulation.server_mut("s1").used_cpu_millis(), 0);
    assert_eq!(simulation.server_mut("s2").used_cpu_millis(), 14_000);
}

/// An older registry entry arrives after a newer one. If the pool applied it, it would place tasks
/// on a draining server.
#[test]
fn stale_registry_entry_does_not_undo_draining() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
    let entry = &mut simulation.server_mut("s1").entry;
    entry.draining = true;
    entry.sequence += 2;
    simulation.update_registry_entry(0, "s1");
    let entry = &mut simulation.server_mut("s1").entry;
    entry.draining = false;
    entry.sequence -= 1;
    simulation.update_registry_entry(0, "s1");
    simulation.submit(
        0,
        &fixtures::offer("job", 1, fixtures::SHORT_RUN),
        fixtures::task_profile(fixtures::SHORT_RUN),
    );
    simulation.run_until(fixtures::ms(400));
    assert_eq!(
        fixtures::decision_count(&simulation, pool_action::DecisionKind::Placed),
        0
    );
}

#[test]
fn server_that_fails_all_runs_is_ejected_and_jobs_complete() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2", "s3"]);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Failing;
    for number in 0..30 {
        simulation.submit(
            0,
            &fixtures::offer(&format!("job{number}"), 1, fixtures::SHORT_RUN),
            fixtures::task_profile(fixtures::SHORT_RUN),
        );
        let until = simulation.now() + fixtures::ms(120);
        simulation.run_until(until);
    }
    simulation.run_until(fixtures::ms(8_000));
    assert!(fixtures::decision_count(&simulation, pool_action::DecisionKind::Ejected) >= 1);
    let completed = simulation
        .answers
        .iter()
        .filter(|answer| answer.end == job_model::JobEnd::Completed)
        .count();
    assert_eq!(completed, 30, "{:?}", simulation.answers);
}

#[test]
fn hanging_run_is_rescheduled() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Hanging;
    simulation.submit(
        0,
        &fixtures::offer("job", 1, fixtures::SHORT_RUN),
        fixtures::task_profile(fixtures::SHORT_RUN),
    );
    simulation.run_until(fixtures::ms(4_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
    assert_eq!(simulation.violations, []);
}

/// A slow server is free while a fast one is busy for a short time. A pool that always took the
/// free server would end the long task later.
#[test]
fn long_task_waits_for_a_faster_server() {
    let mut slow = fixtures::server("slow");
    slow.slowdown_factor = 1.7;
    slow.entry.labels = smallvec::smallvec![Arc::from("b")];
    let mut fast = fixtures::server("fast");
    fast.slowdown_factor = 0.7;
    let mut simulation = pool_simulation::PoolSimulation::new(
        1,
        vec![fast, slow],
        settings::PoolPolicies::default(),
    );
    simulation.lead(0);
    simulation.run_until(fixtures::ms(100));
    // The pool learns the slowdown factors of both servers from short tasks.
    for number in 0..60 {
        simulation.submit(
            0,
            &fixtures::offer(&format!("warm{number}"), 4, fixtures::ms(50)),
            fixtures::task_profile(fixtures::ms(50)),
        );
        let until = simulation.now() + fixtures::ms(130);
        simulation.run_until(until);
    }
    simulation.submit(
        0,
        &fixtures::offer("first", 2, fixtures::LONG_RUN),
        fixtures::task_profile(fixtures::LONG_RUN),
    );
    let until = simulation.now() + fixtures::ms(50);
    simulation.run_until(until);
    simulation.submit(
        0,
        &fixtures::offer("second", 1, fixtures::LONG_RUN),
        fixtures::task_profile(fixtures::LONG_RUN),
    );
    let submitted_at = simulation.now();
    simulation.run_until(submitted_at + fixtures::ms(3_000));
    assert_eq!(
        fixtures::job_ends(&simulation, "second"),
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

/// Servers carry out starts whose answers are lost. A pool that started the tasks again would run
/// them twice, and one that gave the runs up would lose their work.
#[test]
fn runs_whose_start_was_not_answered_are_kept() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    for name in ["s1", "s2"] {
        simulation.server_mut(name).mode = fake_server::ServerMode::StartAnswersLost;
    }
    for number in 0..6 {
        let id = format!("job{number}");
        simulation.submit(
            0,
            &fixtures::offer(&id, 2, fixtures::LONG_RUN),
            fixtures::task_profile(fixtures::LONG_RUN),
        );
    }
    simulation.run_until(fixtures::ms(6_000));
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
    let mut simulation = fixtures::simulation_with_leader(1, &names);
    let mut submitted = 0;
    let mut submit_for = |simulation: &mut pool_simulation::PoolSimulation, duration| {
        let until = simulation.now() + duration;
        while simulation.now() < until {
            let id = format!("job{submitted}");
            simulation.submit(
                0,
                &fixtures::offer(&id, 2, fixtures::SHORT_RUN),
                fixtures::task_profile(fixtures::SHORT_RUN),
            );
            submitted += 1;
            let next = simulation.now() + fixtures::ms(100);
            simulation.run_until(next);
        }
    };
    for name in names {
        let entry = &mut simulation.server_mut(name).entry;
        entry.draining = true;
        entry.sequence += 1;
        simulation.update_registry_entry(0, name);
        submit_for(&mut simulation, fixtures::ms(1_000));
        let now = simulation.now();
        let server = simulation.server_mut(name);
        assert_eq!(server.used_cpu_millis(), 0, "{name} should be drained");
        server.restart(now);
        server.entry.draining = false;
        simulation.update_registry_entry(0, name);
        submit_for(&mut simulation, fixtures::ms(500));
    }
    let until = simulation.now() + fixtures::ms(2_000);
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
    let mut simulation = fixtures::simulation_with_leader(1, &names);
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
        let phase_end = simulation.now() + fixtures::ms(6_000);
        while simulation.now() < phase_end {
            let id = format!("job{number}");
            let job = fixtures::offer(&id, task_count, fixtures::SHORT_RUN);
            simulation.submit(0, &job, fixtures::task_profile(fixtures::SHORT_RUN));
            number += 1;
            let next = simulation.now() + fixtures::ms(250);
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

/// A hold report has shown a restart before the registry does, and the registry still brings a late
/// heartbeat of the previous incarnation. The claim on the new one must not be given up for it.
#[test]
fn heartbeat_of_a_previous_incarnation_does_not_disturb_the_claim() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
    let mut late_heartbeat = simulation.server_mut("s1").entry.clone();
    late_heartbeat.sequence += 1;
    simulation.server_mut("s1").restart(fixtures::ms(100));
    simulation.run_until(fixtures::ms(700));
    assert_eq!(
        fixtures::decision_count(&simulation, pool_action::DecisionKind::Restarted),
        1
    );
    simulation.pools[0].apply_registry_entry(late_heartbeat, fixtures::ms(700));
    assert_eq!(
        simulation.pools[0].claim_state("s1"),
        Some(server_slot::ClaimState::Held)
    );
    assert_eq!(
        fixtures::decision_count(&simulation, pool_action::DecisionKind::Restarted),
        1
    );
}

/// A server that nobody asked while it was cut off restarts long after its run has ended. The run is
/// recorded with the time of its end: one that seemed to last until the restart would overlap with the
/// next run of its task.
#[test]
fn restart_does_not_prolong_the_record_of_an_earlier_run() {
    let mut server = fixtures::server("s1");
    let order = server_model::StartOrder {
        server: Arc::from("s1"),
        address: Arc::from("s1:1"),
        task: job_model::TaskName::parse("job.0.0.0").expect("task name should be valid"),
        run_id: 1,
        payload: Arc::from("payload"),
        lease_expiry_ms: 800,
        token: 1,
    };
    let profile = fixtures::task_profile(fixtures::SHORT_RUN);
    server.start(&order, profile, fixtures::ms(0));
    server.restart(fixtures::ms(1_500));
    assert_eq!(server.history.len(), 1);
    assert_eq!(server.history[0].ended_at, fixtures::SHORT_RUN);
    assert_eq!(server.history[0].end, Some(server_model::RunEnd::Done));
}

/// A server that doesn't respond is added in the middle of a leader's term. It can have no runs from before,
/// so jobs that another domain could start at once need not wait for the leases there.
#[test]
fn added_server_that_does_not_respond_stops_no_other_server() {
    let names: Vec<String> = (0..20).map(|number| format!("s{number:02}")).collect();
    let servers: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut simulation = fixtures::simulation_with_leader(1, &servers);
    simulation.run_until(fixtures::ms(3_000));
    simulation.server_mut("s19").mode = fake_server::ServerMode::Unreachable;
    simulation.pools[0].remove_registry_entry("s19");
    simulation.update_registry_entry(0, "s19");
    simulation.lead(0);
    for number in 0..40 {
        simulation.run_until(fixtures::ms(3_010 + number * 50));
        let job = job_model::JobOffer {
            terms: job_model::OfferTerms::AtOnce,
            ..fixtures::offer(&format!("job{number}"), 1, fixtures::SHORT_RUN)
        };
        simulation.submit(0, &job, fixtures::task_profile(fixtures::SHORT_RUN));
    }
    simulation.run_until(fixtures::ms(8_000));
    for number in 0..40 {
        let ends = fixtures::job_ends(&simulation, &format!("job{number}"));
        assert_eq!(ends, [job_model::JobEnd::Completed], "job {number}");
    }
}

/// A server has not responded since a takeover, and servers are added one after the other. The claims of
/// these must not make the leader wait for the first one again, whose leases have expired long ago.
#[test]
fn added_servers_do_not_prolong_the_wait_for_a_server_that_does_not_respond() {
    let names = ["s1", "s2", "s3", "s4"];
    let mut simulation = fixtures::simulation_with_leader(2, &names);
    simulation.pause(0);
    simulation.server_mut("s1").mode = fake_server::ServerMode::Unreachable;
    for added in ["s3", "s4"] {
        simulation.pools[1].remove_registry_entry(added);
    }
    simulation.lead(1);
    simulation.run_until(fixtures::ms(1_600));
    for (added, at) in [("s3", 1_700), ("s4", 2_100)] {
        simulation.update_registry_entry(1, added);
        simulation.lead(1);
        simulation.run_until(fixtures::ms(at));
        let job = format!("job beside {added}");
        let offer = fixtures::offer(&job, 1, fixtures::SHORT_RUN);
        simulation.submit(1, &offer, fixtures::task_profile(fixtures::SHORT_RUN));
        simulation.run_until(fixtures::ms(at + 300));
        assert_eq!(
            fixtures::job_ends(&simulation, &job),
            [job_model::JobEnd::Completed]
        );
    }
}

/// A server does not respond for less than its leases last. Its running task would be started a second time
/// elsewhere, or its job given up, if silence counted as the loss of the server.
#[test]
fn run_of_a_server_that_is_silent_for_a_while_goes_on() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    let run_time = fixtures::ms(2_000);
    let job = fixtures::offer("job", 1, run_time);
    simulation.submit(0, &job, fixtures::task_profile(run_time));
    simulation.run_until(fixtures::ms(700));
    simulation.server_mut("s1").mode = fake_server::ServerMode::Unreachable;
    simulation.run_until(fixtures::ms(1_100));
    simulation.server_mut("s1").mode = fake_server::ServerMode::Healthy;
    simulation.run_until(fixtures::ms(5_000));
    assert_eq!(simulation.violations, []);
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
    assert_eq!(
        fixtures::decision_count(&simulation, pool_action::DecisionKind::Placed),
        1
    );
}

/// A server rejects a start that the stop of its run overtook. One that runs it shows overlaps that the
/// platform's servers don't have.
#[test]
fn start_that_its_stop_overtook_is_rejected() {
    let mut server = fake_server::FakeServer::new("s1", 16_000, 1.0, "a");
    let task = job_model::TaskName::parse("job.0.0.0").expect("task name should be valid");
    let (id, address) = (
        Arc::clone(&server.entry.id),
        Arc::clone(&server.entry.address),
    );
    let stop = server_model::StopOrder {
        server: Arc::clone(&id),
        address: Arc::clone(&address),
        task: task.clone(),
        run_id: 2,
        token: 7,
    };
    let start = |run_id, token| server_model::StartOrder {
        server: Arc::clone(&id),
        address: Arc::clone(&address),
        task: task.clone(),
        run_id,
        payload: Arc::from(""),
        lease_expiry_ms: 1_000,
        token,
    };
    let profile = fixtures::task_profile(fixtures::LONG_RUN);
    let now = fixtures::ms(1);
    assert!(server.stop(&stop, now));
    for (run_id, token, outcome) in [
        (2, 7, server_model::StartOutcome::StaleRunId),
        (3, 6, server_model::StartOutcome::Fenced),
        (3, 7, server_model::StartOutcome::Started { clock_ms: 1 }),
    ] {
        assert_eq!(server.start(&start(run_id, token), profile, now), outcome);
    }
}

/// A server shortens each lease to the longest one that it grants, from its present time. Without that, a hold for its
/// earlier incarnation, dated on the earlier clock, keeps the runs of the next one alive beyond all leases that were asked for.
#[test]
fn lease_is_shortened_to_the_longest_one_of_the_server() {
    let mut server = fake_server::FakeServer::new("s1", 16_000, 1.0, "a");
    let task = job_model::TaskName::parse("job.0.0.0").expect("task name should be valid");
    let (id, address) = (
        Arc::clone(&server.entry.id),
        Arc::clone(&server.entry.address),
    );
    let start = |server: &mut fake_server::FakeServer, lease_expiry_ms, now| {
        let order = server_model::StartOrder {
            server: Arc::clone(&id),
            address: Arc::clone(&address),
            task: task.clone(),
            run_id: 1,
            payload: Arc::from(""),
            lease_expiry_ms,
            token: 7,
        };
        let profile = fixtures::task_profile(4 * fake_server::MAX_LEASE);
        server.start(&order, profile, now)
    };
    let earlier_clock_ms = 400_000;
    let max_lease = fake_server::MAX_LEASE;
    let restarted_at = fixtures::ms(earlier_clock_ms);
    server.restart(restarted_at);
    start(&mut server, earlier_clock_ms, restarted_at);
    server.advance(restarted_at + max_lease);
    assert_eq!(server.runs.len(), 1);
    server.advance(restarted_at + max_lease + fixtures::ms(1));
    assert_eq!(server.runs.len(), 0);

    let restarted_at = fixtures::ms(2 * earlier_clock_ms);
    server.restart(restarted_at);
    start(&mut server, 100, restarted_at);
    let hold = server_model::HoldOrder {
        number: 0,
        server: Arc::clone(&id),
        address: Arc::clone(&address),
        token: 7,
        acknowledged_end_sequence: 0,
        lease_expiry_ms: Some(earlier_clock_ms),
        wait: time::Duration::ZERO,
        fresh_connection: true,
        pause: time::Duration::ZERO,
    };
    assert!(server.apply_hold(&hold, restarted_at));
    server.advance(restarted_at + max_lease + fixtures::ms(1));
    assert_eq!(server.runs.len(), 0);
}

/// Guards against overlaps that no replay and no soak sees: two runs of a task on one server, of which the stand-in kept
/// only the second.
#[test]
fn two_runs_of_a_task_on_one_server_are_seen() {
    let mut server = fixtures::server("s1");
    let task = job_model::TaskName {
        job: Arc::from("a"),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    for run_id in [1, 2] {
        let order = server_model::StartOrder {
            server: Arc::clone(&server.entry.id),
            address: Arc::clone(&server.entry.address),
            task: task.clone(),
            run_id,
            payload: Arc::from("payload"),
            lease_expiry_ms: 1_000,
            token: 1,
        };
        let profile = fixtures::task_profile(fixtures::SHORT_RUN);
        let outcome = server.start(&order, profile, fixtures::ms(10 * run_id));
        assert!(matches!(
            outcome,
            server_model::StartOutcome::Started { .. }
        ));
    }
    assert_eq!(server.overlapping_tasks, [task]);
    server.advance(fixtures::ms(500));
    let mut audit = run_audit::RunAudit::default();
    audit.add(server.history.clone());
    assert_eq!(audit.overlapping_runs().len(), 1);
}

/// Guards against tasks on a server of the wrong kind, or beyond its capacity: after a restart, the labels and the capacity
/// of the earlier incarnation counted until the next read of the registry. The other servers go on.
#[test]
fn restarted_server_starts_nothing_until_its_entry_is_read() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    let restarted_at = simulation.now();
    simulation.server_mut("s1").restart(restarted_at);
    simulation.reset_connections("s1");
    simulation.run_until(restarted_at + fixtures::ms(700));
    let held = Some(server_slot::ClaimState::Held);
    assert_eq!(simulation.pools[0].claim_state("s1"), held);
    let submit = |simulation: &mut pool_simulation::PoolSimulation, jobs: [&str; 4]| {
        for job in jobs {
            let offer = fixtures::offer(job, 1, fixtures::SHORT_RUN);
            let profile = fixtures::task_profile(fixtures::SHORT_RUN);
            simulation.submit(0, &offer, profile);
        }
        let end = simulation.now() + fixtures::ms(600);
        simulation.run_until(end);
        for job in jobs {
            let ends = fixtures::job_ends(simulation, job);
            assert_eq!(ends, [job_model::JobEnd::Completed], "{job}");
        }
    };
    submit(&mut simulation, ["a", "b", "c", "d"]);
    assert_eq!(simulation.server_mut("s1").history, []);
    simulation.update_registry_entry(0, "s1");
    simulation.run_until(restarted_at + fixtures::ms(1_600));
    submit(&mut simulation, ["e", "f", "g", "h"]);
    assert_ne!(simulation.server_mut("s1").history, []);
    assert_eq!(simulation.violations, []);
}
