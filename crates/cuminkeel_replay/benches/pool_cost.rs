//! Cost of submitting jobs to a server pool, by the number of servers.

use std::time;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use cuminkeel_dispatch::settings;
use cuminkeel_replay::{fake_server, load_pattern, pool_simulation};

/// Servers in a failure domain: today, on the users' enlarged site, and at their target.
const SERVER_COUNTS: [usize; 3] = [16, 117, 650];
/// Jobs submitted in each measured batch.
const JOBS_PER_BATCH: usize = 20;

fn submit_jobs(criterion: &mut Criterion) {
    let spec = cuminkeel_replay::replay_report::worst_pattern_specs(1)[0];
    let pattern = load_pattern::draw(&spec);
    let mut group = criterion.benchmark_group("20 jobs, with the fake servers");
    for count in SERVER_COUNTS {
        let led_simulation = || {
            let servers = (0..count)
                .map(|number| {
                    fake_server::FakeServer::new(&format!("s{number:03}"), 16_000, 1.0, "a")
                })
                .collect();
            let mut simulation =
                pool_simulation::PoolSimulation::new(1, servers, settings::PoolPolicies::default());
            simulation.lead(0);
            simulation.run_until(time::Duration::from_millis(100));
            simulation
        };
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |bencher, _| {
            bencher.iter_batched(
                led_simulation,
                |mut simulation| {
                    for arrival in pattern.arrivals.iter().take(JOBS_PER_BATCH) {
                        simulation.submit(0, &arrival.offer, arrival.task_profile);
                    }
                    simulation
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, submit_jobs);
criterion_main!(benches);
