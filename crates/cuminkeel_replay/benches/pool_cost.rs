//! Cost of submitting jobs to a server pool, by the number of servers, and of scheduling while the
//! pool is full, by the number of queued jobs.

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
            simulation.lead_all(0);
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

/// Servers in a failure domain of the users' enlarged site.
const FULL_DOMAIN_SERVERS: usize = 117;
/// Numbers of queued jobs, up to that of the worst second after a loss of all power.
const QUEUE_LENGTHS: [usize; 4] = [0, 35, 140, 1_000];

/// Jobs submitted at most to fill the pool and its queue.
const MAX_SUBMITTED_JOBS: usize = 5_000;

fn schedule_full_pool(criterion: &mut Criterion) {
    let spec = cuminkeel_replay::replay_report::worst_pattern_specs(1)[0];
    let pattern = load_pattern::draw(&spec);
    let mut group = criterion.benchmark_group("tick of a full pool");
    for queue_length in QUEUE_LENGTHS {
        let servers = (0..FULL_DOMAIN_SERVERS)
            .map(|number| fake_server::FakeServer::new(&format!("s{number:03}"), 16_000, 1.0, "a"))
            .collect();
        let policies = settings::PoolPolicies {
            admission: settings::AdmissionPolicy::AdmitAll,
            ..settings::PoolPolicies::default()
        };
        let mut simulation = pool_simulation::PoolSimulation::new(1, servers, policies);
        simulation.lead_all(0);
        simulation.run_until(time::Duration::from_millis(100));
        let arrivals = pattern.arrivals.iter().cycle();
        for (number, arrival) in arrivals.take(MAX_SUBMITTED_JOBS).enumerate() {
            if simulation.load(0).queued_jobs >= u32::try_from(queue_length).unwrap_or(u32::MAX) {
                break;
            }
            let mut offer = arrival.offer.clone();
            let mut job_spec = (*offer.spec).clone();
            // Nothing expires or becomes late during the measurement.
            job_spec.target_latency_ms = 3_600_000;
            job_spec.id = std::sync::Arc::from(format!("{number:016x}"));
            offer.spec = std::sync::Arc::new(job_spec);
            offer.time_to_deadline = time::Duration::from_hours(1);
            simulation.submit(0, &offer, arrival.task_profile);
        }
        let now = simulation.now();
        group.bench_with_input(
            BenchmarkId::from_parameter(queue_length),
            &queue_length,
            |bencher, _| bencher.iter(|| simulation.pools[0].tick(now)),
        );
        if queue_length == 0 {
            continue;
        }
        // A job without any slack misses its latest start, so that a shortage begins.
        let mut offer = pattern.arrivals[0].offer.clone();
        let mut job_spec = (*offer.spec).clone();
        job_spec.id = std::sync::Arc::from("late");
        (job_spec.target_latency_ms, job_spec.stretch_factor) = (0, 1.0);
        offer.spec = std::sync::Arc::new(job_spec);
        simulation.submit(0, &offer, pattern.arrivals[0].task_profile);
        let now = now + time::Duration::from_millis(20);
        simulation.pools[0].tick(now);
        group.bench_with_input(
            BenchmarkId::new("in a shortage", queue_length),
            &queue_length,
            |bencher, _| bencher.iter(|| simulation.pools[0].tick(now)),
        );
    }
    group.finish();
}

criterion_group!(benches, submit_jobs, schedule_full_pool);
criterion_main!(benches);
