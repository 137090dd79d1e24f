//! How long a takeover keeps all jobs of a domain waiting, whatever single backend servers do.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{job_model, settings};
use cuminkeel_replay::{fake_server, pool_simulation};

use crate::fixtures;

/// Time by which the leases have expired that unknown claimants of silent servers can have granted before a takeover.
const WAIT_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Interval between the events that concern one server.
const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(500);
const SILENT_SERVER: &str = "s1";

/// Returns a simulation in which a process takes over some servers, one of which is silent.
fn takeover_beside_a_silent_server() -> pool_simulation::PoolSimulation {
    let servers = [SILENT_SERVER, "s2", "s3"].map(fixtures::server).to_vec();
    let policies = settings::PoolPolicies::default();
    let mut simulation = pool_simulation::PoolSimulation::new(1, servers, policies);
    simulation.server_mut(SILENT_SERVER).mode = fake_server::ServerMode::Unreachable;
    simulation.lead(0);
    simulation
}

/// Plays `event` at an interval, and checks that jobs are served once the takeover has waited for the silent server.
fn check_jobs_are_served(event: impl Fn(&mut pool_simulation::PoolSimulation, u32)) {
    let mut simulation = takeover_beside_a_silent_server();
    for round in 0..12 {
        event(&mut simulation, round);
        simulation.lead(0);
        let begin = simulation.now();
        if begin >= WAIT_TIME {
            let id = format!("job-{round}");
            let offer = fixtures::offer(&id, 1, fixtures::SHORT_RUN);
            simulation.submit(0, &offer, fixtures::task_profile(fixtures::SHORT_RUN));
        }
        simulation.run_until(begin + EVENT_INTERVAL);
        if begin >= WAIT_TIME {
            let ends = fixtures::job_ends(&simulation, &format!("job-{round}"));
            assert_eq!(ends, [job_model::JobEnd::Completed], "round {round}");
        }
    }
    assert_eq!(simulation.violations, []);
}

/// Registers a new server with a pool.
fn add_server(simulation: &mut pool_simulation::PoolSimulation, server: fake_server::FakeServer) {
    let now = simulation.now();
    simulation.pools[0].apply_registry_entry(server.entry.clone(), now);
    let id = Arc::clone(&server.entry.id);
    simulation.servers.insert(id, server);
}

/// Guards against a domain that waits for a silent server for good, as each server that registers renews that wait.
#[test]
fn takeover_ends_while_servers_register() {
    check_jobs_are_served(|simulation, round| {
        add_server(simulation, fixtures::server(&format!("new-{round}")));
    });
}

/// Guards against the same by entries at whose address nothing listens.
#[test]
fn takeover_ends_while_entries_of_silent_servers_are_added() {
    check_jobs_are_served(|simulation, round| {
        let mut server = fixtures::server(&format!("silent-{round}"));
        server.mode = fake_server::ServerMode::Unreachable;
        add_server(simulation, server);
    });
}

/// Guards against the same by the entry of one server that comes and goes.
#[test]
fn takeover_ends_while_an_entry_comes_and_goes() {
    check_jobs_are_served(|simulation, round| {
        if round % 2 == 0 {
            simulation.pools[0].remove_registry_entry("s3");
        } else {
            simulation.server_mut("s3").entry.sequence += 1;
            simulation.update_registry_entry(0, "s3");
        }
    });
}

/// Guards against the same by a server that restarts again and again.
#[test]
fn takeover_ends_while_a_server_restarts() {
    check_jobs_are_served(|simulation, _| {
        let now = simulation.now();
        simulation.server_mut("s3").restart(now);
        simulation.update_registry_entry(0, "s3");
    });
}
