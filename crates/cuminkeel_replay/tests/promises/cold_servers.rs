//! Servers that are slow for some time after their start, as their registry entries say.

use std::time;

use cuminkeel_dispatch::{pool, settings};
use cuminkeel_replay::{fake_server, load_pattern, pool_simulation, replay_report};

use crate::fixtures;

/// Time for which a cold server stays slow.
const COLD_TIME: time::Duration = time::Duration::from_secs(3);

fn register_cold(
    simulation: &mut pool_simulation::PoolSimulation,
    id: &str,
    remaining: time::Duration,
) {
    let server = simulation.server_mut(id);
    server.entry.cold_remaining = remaining;
    server.entry.sequence += 1;
    simulation.update_registry_entry(0, id);
}

/// Returns the largest number of runs that a server had at once and that were started from `since` until
/// `until`.
fn peak_run_count(
    simulation: &pool_simulation::PoolSimulation,
    [since, until]: [time::Duration; 2],
) -> usize {
    let peak = |server: &fake_server::FakeServer| {
        let runs: Vec<_> = server.history.iter().collect();
        let counted = runs
            .iter()
            .filter(|run| (since..until).contains(&run.started_at));
        counted
            .map(|run| {
                let at = run.started_at;
                runs.iter()
                    .filter(|other| other.started_at <= at && at < other.ended_at)
                    .count()
            })
            .max()
            .unwrap_or(0)
    };
    simulation.servers.values().map(peak).max().unwrap_or(0)
}

/// A domain at full load is taken back after an evacuation with all servers cold. Without a limit, each
/// server got all tasks that fit, two or three, and ran them slowly.
#[test]
fn cold_servers_run_one_task_each_until_they_are_warm() {
    let pattern = load_pattern::draw(&replay_report::worst_pattern_specs(1)[1]);
    let policies = settings::PoolPolicies::default();
    let servers = load_pattern::domain_servers(1);
    let mut simulation = pool_simulation::PoolSimulation::new(1, servers, policies);
    simulation.lead(0);
    simulation.run_until(fixtures::ms(100));
    simulation.set_evacuation(0, Some(pool::EvacuationStart::LearntAt(simulation.now())));
    let taken_back_at = fixtures::ms(5_000);
    simulation.run_until(taken_back_at);
    let ids: Vec<_> = simulation.servers.keys().cloned().collect();
    for id in &ids {
        simulation.server_mut(id).mode = fake_server::ServerMode::Slow(3.0);
        register_cold(&mut simulation, id, COLD_TIME);
    }
    simulation.set_evacuation(0, None);
    let warm_at = taken_back_at + COLD_TIME;
    for arrival in pattern
        .arrivals
        .iter()
        .filter(|arrival| arrival.at >= fixtures::ms(4_000))
    {
        let arrives_at = fixtures::ms(1_000) + arrival.at;
        if simulation.now() < warm_at && arrives_at >= warm_at {
            simulation.run_until(warm_at);
            for id in &ids {
                simulation.server_mut(id).mode = fake_server::ServerMode::Healthy;
            }
        }
        simulation.run_until(arrives_at);
        simulation.submit(0, &arrival.offer, arrival.task_profile);
    }
    simulation.run_until(fixtures::ms(18_000));
    assert_eq!(peak_run_count(&simulation, [taken_back_at, warm_at]), 1);
    assert!(peak_run_count(&simulation, [warm_at, simulation.now()]) > 1);
    assert_eq!(simulation.violations, []);
}

/// Without the preference, the cold server would come first, as it has the lower id.
#[test]
fn warm_server_is_preferred_to_a_cold_one() {
    let mut simulation = fixtures::simulation_with_leader(1, &["s1", "s2"]);
    register_cold(&mut simulation, "s1", COLD_TIME);
    for (id, on_cold, on_warm) in [("a", 0, 1), ("b", 0, 2), ("c", 1, 2), ("d", 1, 2)] {
        let offer = fixtures::offer(id, 1, fixtures::LONG_RUN);
        simulation.submit(0, &offer, fixtures::task_profile(fixtures::LONG_RUN));
        simulation.run_until(simulation.now() + fixtures::ms(5));
        let counts = ["s1", "s2"].map(|server| simulation.server_mut(server).runs.len());
        assert_eq!(counts, [on_cold, on_warm], "after job {id}");
    }
}

/// An entry that is read again says that the server is cold for longer than it is, so that the server would
/// be limited for as long as its entry is read. A new entry counts.
#[test]
fn entry_that_is_read_again_does_not_make_a_server_cold() {
    for (is_new, expected) in [(false, 2), (true, 1)] {
        let mut simulation = fixtures::simulation_with_leader(1, &["s1"]);
        register_cold(&mut simulation, "s1", fixtures::ms(500));
        simulation.run_until(fixtures::ms(700));
        if is_new {
            register_cold(&mut simulation, "s1", fixtures::ms(500));
        } else {
            simulation.update_registry_entry(0, "s1");
        }
        simulation.run_until(fixtures::ms(720));
        let offer = fixtures::offer("job", 2, fixtures::SHORT_RUN);
        simulation.submit(0, &offer, fixtures::task_profile(fixtures::SHORT_RUN));
        simulation.run_until(fixtures::ms(740));
        assert_eq!(
            simulation.server_mut("s1").runs.len(),
            expected,
            "new entry: {is_new}"
        );
    }
}

/// Servers whose cold time is over are treated as servers that never had one.
#[test]
fn warm_servers_are_treated_as_before() {
    for spec in replay_report::worst_pattern_specs(2) {
        let pattern = load_pattern::draw(&spec);
        let policies = settings::PoolPolicies::default();
        let decisions = [time::Duration::ZERO, fixtures::ms(900)].map(|cold_remaining| {
            let mut servers = load_pattern::domain_servers(1);
            for server in &mut servers {
                server.entry.cold_remaining = cold_remaining;
            }
            let mut simulation = pool_simulation::PoolSimulation::new(1, servers, policies);
            simulation.lead(0);
            simulation.run_until(fixtures::ms(1_000));
            for arrival in &pattern.arrivals {
                simulation.run_until(fixtures::ms(1_000) + arrival.at);
                simulation.submit(0, &arrival.offer, arrival.task_profile);
            }
            simulation.run_until(fixtures::ms(18_000));
            simulation.decisions
        });
        assert!(
            decisions[0] == decisions[1],
            "pattern {}: the decisions differ",
            spec.name
        );
    }
}
