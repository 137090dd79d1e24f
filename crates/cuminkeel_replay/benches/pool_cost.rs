//! Cost of a job's way through the decisions, by the number of servers.

use std::time;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use cuminkeel_dispatch::settings;
use cuminkeel_replay::{fake_server, load_pattern, pool_simulation};

/// Servers of a domain today, on the grown site, and at the users' target.
const SERVERS: [usize; 3] = [16, 117, 650];
/// Jobs of a measured batch.
const JOBS: usize = 20;

fn job_way(criterion: &mut Criterion) {
    let spec = cuminkeel_replay::replay_report::worst_pattern_specs(1)[0];
    let pattern = load_pattern::draw(&spec);
    let mut group = criterion.benchmark_group("20 jobs, with the fake servers");
    for count in SERVERS {
        let world = || {
            let servers = (0..count)
                .map(|number| {
                    fake_server::FakeServer::new(&format!("s{number:03}"), 16_000, 1.0, "a")
                })
                .collect();
            let mut world =
                pool_simulation::PoolSimulation::new(1, servers, settings::PoolPolicies::default());
            world.lead(0);
            world.run_until(time::Duration::from_millis(100));
            world
        };
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |bencher, _| {
            bencher.iter_batched(
                world,
                |mut world| {
                    for arrival in pattern.arrivals.iter().take(JOBS) {
                        world.submit(0, &arrival.ticket, arrival.task_profile);
                    }
                    world
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, job_way);
criterion_main!(benches);
