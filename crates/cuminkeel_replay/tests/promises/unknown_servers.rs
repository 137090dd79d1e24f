//! A leader may use servers that the next one does not know. What the next one starts must not depend on its own
//! list of servers.

use std::{sync::Arc, time};

use cuminkeel_dispatch::job_model;
use cuminkeel_replay::pool_simulation;

use crate::fixtures;

/// Run of the job, longer than all leases.
const RUN_TIME: time::Duration = time::Duration::from_secs(6);
/// Time by which the leases of a lost leader have ended, after the offer to the next one.
const LEASES_END: time::Duration = time::Duration::from_millis(1_400);
/// Time of the loss of the leader.
const LOST_AT: time::Duration = time::Duration::from_secs(1);

fn long_offer() -> job_model::JobOffer {
    job_model::JobOffer {
        time_to_deadline: fixtures::ms(12_000),
        ..fixtures::offer("job", 1, RUN_TIME)
    }
}

/// Starts a job on one of two servers and loses its leader. The next leader knows only the other server, as it
/// has started since the registry lost the entry.
fn lose_leader_with_unknown_server() -> pool_simulation::PoolSimulation {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    simulation.submit(0, &long_offer(), fixtures::task_profile(RUN_TIME));
    simulation.run_until(LOST_AT);
    let known_server = ["s1", "s2"]
        .into_iter()
        .find(|server| simulation.server_mut(server).runs.is_empty())
        .expect("one of two servers should have no run");
    simulation.restart_pool(1, &[known_server]);
    simulation.pause(0);
    simulation
}

fn offer_again(simulation: &mut pool_simulation::PoolSimulation) {
    let offer = job_model::JobOffer {
        may_have_started: true,
        ..long_offer()
    };
    simulation.submit(1, &offer, fixtures::task_profile(RUN_TIME));
}

/// Returns the times at which runs of the job began.
fn start_times(simulation: &pool_simulation::PoolSimulation) -> Vec<time::Duration> {
    let servers = simulation.servers.values();
    let mut times: Vec<time::Duration> = servers
        .flat_map(|server| {
            let ended = server.history.iter().map(|run| run.started_at);
            ended.chain(server.runs.values().map(|run| run.started_at))
        })
        .collect();
    times.sort_unstable();
    times
}

/// The next leader would start a task at once although a server that it does not know runs it.
#[test]
fn job_of_a_lost_leader_does_not_run_beside_its_run_on_a_server_that_the_next_leader_does_not_know()
{
    let mut failed_cases = Vec::new();
    for offered_after_ms in [5, 100, 400, 700, 950] {
        let mut simulation = lose_leader_with_unknown_server();
        simulation.run_until(LOST_AT + fixtures::ms(5));
        simulation.lead(1);
        simulation.run_until(LOST_AT + fixtures::ms(offered_after_ms));
        offer_again(&mut simulation);
        simulation.run_until(LOST_AT + fixtures::ms(12_000));
        if !simulation.violations.is_empty() {
            failed_cases.push(offered_after_ms);
        }
    }
    assert_eq!(
        failed_cases,
        [],
        "offers in ms after the loss with overlapping runs"
    );
}

/// A server that registers anew with the next leader alone, or whose entry it loses after the takeover, changes the
/// list of servers that have to report, but not the leases that the lost leader has given.
#[test]
fn job_of_a_lost_leader_waits_for_its_leases_when_the_list_of_servers_changes_after_the_takeover() {
    for has_new_entry in [false, true] {
        let mut simulation = lose_leader_with_unknown_server();
        simulation.run_until(LOST_AT + fixtures::ms(5));
        simulation.lead(1);
        offer_again(&mut simulation);
        simulation.run_until(LOST_AT + fixtures::ms(50));
        let listed: Arc<str> = simulation.pools[1]
            .registered_servers()
            .next()
            .cloned()
            .expect("the next leader should know a server");
        if has_new_entry {
            simulation.update_registry_entry(1, &listed);
        } else {
            simulation.pools[1].remove_registry_entry(&listed);
            simulation.update_registry_entry(1, &listed);
        }
        simulation.run_until(LOST_AT + fixtures::ms(12_000));
        assert!(
            simulation.violations.is_empty(),
            "new entry {has_new_entry}: {:?}",
            simulation.violations
        );
    }
}

/// Waiting for leases must not lose a job whose caller waits longer than they last.
#[test]
fn job_of_a_lost_leader_starts_when_all_leases_of_that_leader_have_ended() {
    let mut simulation = lose_leader_with_unknown_server();
    simulation.run_until(LOST_AT + fixtures::ms(5));
    simulation.lead(1);
    offer_again(&mut simulation);
    let offered_at = simulation.now();
    simulation.run_until(LOST_AT + fixtures::ms(12_000));
    let starts = start_times(&simulation);
    assert_eq!(starts.len(), 2, "runs began at {starts:?}");
    let waited = starts[1].saturating_sub(offered_at);
    assert!(
        waited >= LEASES_END && waited < LEASES_END + fixtures::ms(100),
        "started {waited:?} after the offer"
    );
}

/// A caller whose deadline passes before the leases end would wait for nothing.
#[test]
fn job_of_a_lost_leader_that_can_not_start_in_time_fails_as_soon_as_all_servers_have_reported() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    // The lost leader has not started the job, or a server has reported its end to that leader.
    simulation.pause(0);
    simulation.run_until(LOST_AT);
    simulation.lead(1);
    let offer = job_model::JobOffer {
        may_have_started: true,
        time_to_deadline: fixtures::ms(1_200),
        ..fixtures::offer("job", 2, fixtures::SHORT_RUN)
    };
    simulation.submit(1, &offer, fixtures::task_profile(fixtures::SHORT_RUN));
    simulation.run_until(LOST_AT + fixtures::ms(100));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Failed(
            job_model::FailureReason::PoolLost
        )]
    );
    simulation.run_until(LOST_AT + fixtures::ms(3_000));
    assert_eq!(
        start_times(&simulation),
        [],
        "a failed job should not start"
    );
}

/// A copy of a queued job comes from a coordinator whose pool was lost. The queued job must not start beside the run
/// of that pool either.
#[test]
fn queued_job_waits_for_the_leases_of_a_lost_leader_once_its_copy_comes() {
    let mut simulation = lose_leader_with_unknown_server();
    simulation.run_until(LOST_AT + fixtures::ms(5));
    simulation.lead(1);
    let copy = long_offer();
    simulation.submit(1, &copy, fixtures::task_profile(RUN_TIME));
    offer_again(&mut simulation);
    simulation.run_until(LOST_AT + fixtures::ms(12_000));
    assert_eq!(simulation.violations, []);
}

/// Waiting for leases must not delay a job whose runs the servers report.
#[test]
fn reported_run_of_a_lost_leader_is_adopted_without_a_wait() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    let offer = fixtures::offer("job", 1, fixtures::LONG_RUN);
    simulation.submit(0, &offer, fixtures::task_profile(fixtures::LONG_RUN));
    simulation.run_until(fixtures::ms(300));
    simulation.pause(0);
    simulation.lead(1);
    let again = job_model::JobOffer {
        may_have_started: true,
        ..offer
    };
    simulation.submit(1, &again, fixtures::task_profile(fixtures::LONG_RUN));
    simulation.run_until(fixtures::ms(1_100));
    assert_eq!(
        fixtures::job_ends(&simulation, "job"),
        [job_model::JobEnd::Completed]
    );
    assert_eq!(start_times(&simulation).len(), 1);
}

/// A leader that is replaced knows which of its jobs it has not started. They need not wait for leases.
#[test]
fn queued_job_of_a_leader_that_steps_down_may_start_at_once_at_the_next_leader() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1"]);
    let profile = fixtures::task_profile(fixtures::LONG_RUN);
    let running = fixtures::offer("running", 2, fixtures::LONG_RUN);
    let queued = fixtures::offer("queued", 1, fixtures::LONG_RUN);
    for offer in [&running, &queued] {
        simulation.submit(0, offer, profile);
    }
    simulation.run_until(fixtures::ms(300));
    assert!(fixtures::job_ends(&simulation, "queued").is_empty());
    simulation.step_down(0);
    assert_eq!(
        fixtures::job_ends(&simulation, "running"),
        [job_model::JobEnd::PoolLost]
    );
    assert_eq!(
        fixtures::job_ends(&simulation, "queued"),
        [job_model::JobEnd::NotLeader]
    );
}
