//! Jobs whose earlier runs may still have leases: copies of them, offers to the pool that still has them, and other jobs
//! beside them.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{job_model, server_model};
use cuminkeel_replay::pool_simulation;
use smallvec::smallvec;

use crate::fixtures;

/// Run of a job that is longer than all leases.
const RUN_TIME: time::Duration = time::Duration::from_secs(6);
/// Time at which the leader starts the job.
const STARTED_AT: time::Duration = time::Duration::from_millis(900);
/// Time of the loss of the leader.
const LOST_AT: time::Duration = time::Duration::from_secs(1);

fn long_offer() -> job_model::JobOffer {
    job_model::JobOffer {
        time_to_deadline: fixtures::ms(12_000),
        ..fixtures::offer("job", 1, RUN_TIME)
    }
}

fn offer_of_lost_pool(offer: &job_model::JobOffer) -> job_model::JobOffer {
    job_model::JobOffer {
        may_have_started: true,
        ..offer.clone()
    }
}

/// Starts the job of `offer` on one of two servers, loses the leader at [`LOST_AT`], and lets another pool lead, which
/// knows only the other server.
fn lose_leader(
    offer: &job_model::JobOffer,
    run_time: time::Duration,
) -> pool_simulation::PoolSimulation {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    simulation.run_until(STARTED_AT);
    simulation.submit(0, offer, fixtures::task_profile(run_time));
    simulation.run_until(LOST_AT);
    let known_server = ["s1", "s2"]
        .into_iter()
        .find(|server| simulation.server_mut(server).runs.is_empty())
        .expect("one of two servers should have no run");
    simulation.restart_pool(1, &[known_server]);
    simulation.pause(0);
    simulation.run_until(LOST_AT + fixtures::ms(5));
    simulation.lead(1);
    simulation
}

/// Two copies of a job arrive at the same instant. The coordinator of one has lost the leader that started it; that
/// of the other had no link to that leader, and offers the job to the next one as new.
#[test]
fn copy_of_a_job_of_a_lost_leader_does_not_run_beside_its_run_on_a_server_that_the_next_leader_does_not_know()
 {
    let mut failed_cases = Vec::new();
    for copied_after_ms in [7, 50, 200, 400] {
        for offered_again_after_ms in [1, 50] {
            let offer = long_offer();
            let profile = fixtures::task_profile(RUN_TIME);
            let mut simulation = lose_leader(&offer, RUN_TIME);
            simulation.run_until(LOST_AT + fixtures::ms(copied_after_ms));
            simulation.submit(1, &offer, profile);
            let offered_again_at = fixtures::ms(copied_after_ms + offered_again_after_ms);
            simulation.run_until(LOST_AT + offered_again_at);
            simulation.submit(1, &offer_of_lost_pool(&offer), profile);
            simulation.run_until(LOST_AT + fixtures::ms(12_000));
            if !simulation.violations.is_empty() {
                failed_cases.push((copied_after_ms, offered_again_after_ms));
            }
        }
    }
    assert_eq!(
        failed_cases,
        [],
        "copies in ms after the loss, and offers of the lost job in ms after them, with overlapping runs"
    );
}

/// The next leader knows that runs of the job may be left, fails it as it can't end in time after them, and then
/// starts a copy.
#[test]
fn copy_of_a_job_that_failed_early_does_not_run_beside_the_run_of_the_lost_leader() {
    let mut failed_cases = Vec::new();
    for copied_after_ms in [30, 100, 300] {
        let run_time = fixtures::ms(1_000);
        let profile = fixtures::task_profile(run_time);
        let offer = job_model::JobOffer {
            time_to_deadline: fixtures::ms(2_000),
            ..fixtures::offer("job", 1, run_time)
        };
        let mut simulation = lose_leader(&offer, run_time);
        simulation.run_until(LOST_AT + fixtures::ms(20));
        simulation.submit(1, &offer_of_lost_pool(&offer), profile);
        simulation.run_until(LOST_AT + fixtures::ms(20 + copied_after_ms));
        simulation.submit(1, &offer, profile);
        simulation.run_until(LOST_AT + fixtures::ms(5_000));
        if !simulation.violations.is_empty() {
            failed_cases.push(copied_after_ms);
        }
    }
    assert_eq!(
        failed_cases,
        [],
        "copies in ms after the offer of the lost job with overlapping runs"
    );
}

/// The connection of a coordinator to the leader breaks and is dialled again, so that it offers its jobs there again.
/// They would fail although their only pool still has them.
#[test]
fn job_that_is_offered_again_to_the_leader_that_has_it_is_not_failed() {
    let run_time = fixtures::ms(400);
    let profile = fixtures::task_profile(run_time);
    let mut dependent = fixtures::offer("two steps", 1, run_time);
    let mut spec = (*dependent.spec).clone();
    let mut second_step = spec.steps[0].clone();
    second_step.depends_on = smallvec![0];
    spec.steps.push(second_step);
    dependent.spec = Arc::new(spec);
    let queued = fixtures::offer("queued", 1, run_time);
    for (name, is_server_busy, offer) in [
        ("a step waits for another one", false, dependent),
        ("a task waits for capacity", true, queued),
    ] {
        let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
        if is_server_busy {
            let running = fixtures::offer("running", 2, fixtures::ms(300));
            simulation.submit(0, &running, fixtures::task_profile(fixtures::ms(300)));
        }
        let offer = job_model::JobOffer {
            time_to_deadline: fixtures::ms(1_470),
            ..offer
        };
        simulation.submit(0, &offer, profile);
        simulation.run_until(fixtures::ms(200));
        let again = job_model::JobOffer {
            time_to_deadline: fixtures::ms(1_370),
            ..offer_of_lost_pool(&offer)
        };
        simulation.submit(0, &again, profile);
        simulation.run_until(fixtures::ms(3_000));
        assert_eq!(
            fixtures::job_ends(&simulation, &offer.spec.id),
            [job_model::JobEnd::Completed, job_model::JobEnd::Completed],
            "{name}"
        );
    }
}

/// An evacuation stops no run. Runs that the next leader adopts would be stopped, as the other tasks of their job can't
/// end in time.
#[test]
fn adopted_runs_in_an_evacuated_domain_are_not_stopped_when_other_tasks_of_their_job_are_too_late()
{
    let profile = fixtures::task_profile(fixtures::LONG_RUN);
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    let offer = fixtures::offer("job", 8, fixtures::LONG_RUN);
    simulation.submit(0, &offer, profile);
    simulation.run_until(fixtures::ms(200));
    simulation.evacuate(0);
    simulation.evacuate(1);
    simulation.pause(0);
    simulation.lead(1);
    simulation.run_until(fixtures::ms(300));
    let again = job_model::JobOffer {
        time_to_deadline: fixtures::ms(2_000),
        ..offer_of_lost_pool(&offer)
    };
    simulation.submit(1, &again, profile);
    simulation.run_until(fixtures::ms(5_000));
    let servers = simulation.servers.values();
    let ends: Vec<_> = servers
        .flat_map(|server| server.history.iter().map(|run| run.end))
        .collect();
    assert_eq!(ends, [Some(server_model::RunEnd::Done); 4]);
}

/// A job that waits for leases uses no server until then, but counts in the forecast of jobs that could use them.
#[test]
fn job_is_not_refused_for_servers_that_a_job_of_a_lost_leader_can_not_use_yet() {
    let mut simulation = fixtures::simulation_with_leader(2, &["s1", "s2"]);
    simulation.pause(0);
    simulation.run_until(LOST_AT);
    simulation.lead(1);
    simulation.run_until(LOST_AT + fixtures::ms(50));
    let profile = fixtures::task_profile(fixtures::LONG_RUN);
    let lost = fixtures::offer("lost", 4, fixtures::LONG_RUN);
    simulation.submit(1, &offer_of_lost_pool(&lost), profile);
    simulation.run_until(LOST_AT + fixtures::ms(100));
    let new = job_model::JobOffer {
        time_to_deadline: fixtures::ms(1_470),
        ..fixtures::offer("new", 1, fixtures::LONG_RUN)
    };
    simulation.submit(1, &new, profile);
    simulation.run_until(LOST_AT + fixtures::ms(4_000));
    assert!(
        simulation.refused_with_room.is_empty(),
        "refused while servers were idle: {:?}",
        fixtures::job_ends(&simulation, "new")
    );
}
