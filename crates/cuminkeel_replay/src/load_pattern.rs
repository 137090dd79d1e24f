//! Seeded load patterns: arrivals, and faults of servers.

use std::{sync::Arc, time};

use cuminkeel_dispatch::job_model;
use rand::{RngExt, SeedableRng, rngs};
use smallvec::SmallVec;

use crate::fake_server;

/// A class of jobs, with the means of the users' site files.
#[derive(Clone, Copy, Debug)]
pub struct JobClass {
    /// Name of the route.
    pub route: &'static str,
    /// Share of the arrivals.
    pub arrival_share: f64,
    /// Mean number of tasks.
    pub mean_task_count: f64,
    /// Most tasks.
    pub max_task_count: f64,
    /// Mean work of a task, in ms.
    pub mean_run_time_ms: f64,
    /// Worth of a job that is answered in time.
    pub worth: f64,
    /// Rank of the route.
    pub priority: u32,
}

/// The three classes of the users' sites.
pub const JOB_CLASSES: [JobClass; 3] = [
    JobClass {
        route: "check",
        arrival_share: 0.245,
        mean_task_count: 8.0,
        max_task_count: 32.0,
        mean_run_time_ms: 60.0,
        worth: 0.0291,
        priority: 0,
    },
    JobClass {
        route: "price",
        arrival_share: 0.0445,
        mean_task_count: 4.0,
        max_task_count: 16.0,
        mean_run_time_ms: 900.0,
        worth: 0.16,
        priority: 2,
    },
    JobClass {
        route: "slot",
        arrival_share: 0.7105,
        mean_task_count: 2.0,
        max_task_count: 8.0,
        mean_run_time_ms: 200.0,
        worth: 0.01,
        priority: 1,
    },
];

/// A job that arrives.
#[derive(Clone, Debug)]
pub struct JobArrival {
    /// When.
    pub at: time::Duration,
    /// The job.
    pub ticket: job_model::JobTicket,
    /// What its tasks really take.
    pub task_profile: fake_server::TaskProfile,
    /// What it is worth in time.
    pub worth: f64,
    /// Position of its class.
    pub class: usize,
}

/// A server whose mode changes.
#[derive(Clone, Debug)]
pub struct ServerFault {
    /// When.
    pub at: time::Duration,
    /// Position of the server.
    pub server: usize,
    /// Its mode from then on.
    pub mode: fake_server::ServerMode,
}

/// A load pattern.
#[derive(Clone, Debug)]
pub struct LoadPattern {
    /// Name, as the reports show it.
    pub name: &'static str,
    /// Arrivals in order of time.
    pub arrivals: Vec<JobArrival>,
    /// Faults in order of time.
    pub faults: Vec<ServerFault>,
}

/// How a pattern is drawn.
#[derive(Clone, Copy, Debug)]
pub struct PatternSpec {
    /// Name, as the reports show it.
    pub name: &'static str,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Jobs a second before any burst.
    pub jobs_per_s: f64,
    /// Factor on the arrivals of a class (or of all) from 4 s to 8 s.
    pub burst: Option<(Option<usize>, f64)>,
    /// Servers, by position, that change their mode from 3 s to 9 s.
    pub faulty_servers: Option<(usize, fake_server::ServerMode)>,
    /// Share of the jobs that can never be done.
    pub always_failing_share: f64,
}

/// Length of a pattern.
pub const PATTERN_DURATION: time::Duration = time::Duration::from_secs(12);
/// Spread of work, width and estimates around their means.
const SPREAD: f64 = 0.4;
const BURST_FROM_S: f64 = 4.0;
const BURST_UNTIL_S: f64 = 8.0;
const SICK_FROM: time::Duration = time::Duration::from_secs(3);
const SICK_UNTIL: time::Duration = time::Duration::from_secs(9);

/// Sixteen servers of a failure domain, as the users' sites have them.
pub fn domain_servers() -> Vec<fake_server::FakeServer> {
    (0..16)
        .map(|number| {
            let name = format!("s{number:02}");
            match number % 3 {
                2 => fake_server::FakeServer::new(&name, 24_000, 1.7, "b"),
                _ => fake_server::FakeServer::new(&name, 16_000, 0.7, "a"),
            }
        })
        .collect()
}

/// Draws a pattern.
pub fn draw(spec: &PatternSpec) -> LoadPattern {
    let mut random = rngs::StdRng::seed_from_u64(spec.seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    while at < PATTERN_DURATION.as_secs_f64() {
        let bursting = (BURST_FROM_S..BURST_UNTIL_S).contains(&at);
        let shares: SmallVec<[f64; 3]> = JOB_CLASSES
            .iter()
            .enumerate()
            .map(|(class, spec_class)| match spec.burst {
                Some((None, times)) if bursting => spec_class.arrival_share * times,
                Some((Some(only), times)) if bursting && only == class => {
                    spec_class.arrival_share * times
                }
                _ => spec_class.arrival_share,
            })
            .collect();
        let total: f64 = shares.iter().sum();
        at += -random.random::<f64>().max(1e-9).ln() / (spec.jobs_per_s * total);
        let mut pick = random.random::<f64>() * total;
        let class = shares
            .iter()
            .position(|share| {
                pick -= share;
                pick < 0.0
            })
            .unwrap_or(0);
        arrivals.push(draw_job(
            &mut random,
            arrivals.len(),
            class,
            time::Duration::from_secs_f64(at),
            spec.always_failing_share,
        ));
    }
    let faults = spec
        .faulty_servers
        .map(|(count, mode)| {
            let fall = (0..count).map(move |number| ServerFault {
                at: SICK_FROM,
                server: number * 5 % 16,
                mode,
            });
            let rise = (0..count).map(|number| ServerFault {
                at: SICK_UNTIL,
                server: number * 5 % 16,
                mode: fake_server::ServerMode::Healthy,
            });
            fall.chain(rise).collect()
        })
        .unwrap_or_default();
    LoadPattern {
        name: spec.name,
        arrivals,
        faults,
    }
}

fn draw_job(
    random: &mut rngs::StdRng,
    number: usize,
    class: usize,
    at: time::Duration,
    poisoned: f64,
) -> JobArrival {
    let spec = JOB_CLASSES[class];
    let width = (spec.mean_task_count * spread(random, SPREAD))
        .round()
        .clamp(1.0, spec.max_task_count);
    let work_ms = (spec.mean_run_time_ms * spread(random, SPREAD)).min(spec.mean_run_time_ms * 4.0);
    let estimate_ms = work_ms * spread(random, SPREAD);
    let cpu_millis = (6_800.0 * spread(random, 0.2)).clamp(3_000.0, 10_000.0);
    let job = job_model::JobSpec {
        id: Arc::from(format!("{number:016x}")),
        route: Arc::from(spec.route),
        service: Arc::from("order-desk"),
        payload: Arc::from(""),
        steps: vec![job_model::StepSpec {
            task_count: u16::try_from(whole(width)).unwrap_or(u16::MAX),
            cpu_millis: whole(cpu_millis),
            memory_mb: 64,
            gpus: 0,
            estimate_ms: whole(estimate_ms).max(1),
            depends_on: SmallVec::new(),
            required_label: None,
            data_rack: None,
            max_per_server: None,
        }],
        priority: spec.priority,
        max_attempts: 2,
        stretch_factor: 1.6,
        target_latency_ms: 60,
    };
    let relative = width * work_ms / (spec.mean_task_count * spec.mean_run_time_ms);
    JobArrival {
        at,
        ticket: job_model::JobTicket {
            spec: Arc::new(job),
            age: time::Duration::ZERO,
            time_to_deadline: time::Duration::from_millis(2_500),
            may_have_started: false,
            terms: job_model::OfferTerms::Useful,
        },
        task_profile: fake_server::TaskProfile {
            cpu_millis: whole(cpu_millis),
            nominal_run_time: time::Duration::from_secs_f64(work_ms / 1e3),
            always_fails: random.random::<f64>() < poisoned,
        },
        worth: (spec.worth * (0.3 + 0.7 * relative)).min(spec.worth * 4.0),
        class,
    }
}

/// A factor with a mean of 1, log-normal.
fn spread(random: &mut rngs::StdRng, deviation: f64) -> f64 {
    let (first, second): (f64, f64) = (random.random(), random.random());
    let normal = (-2.0 * first.max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * second).cos();
    (normal * deviation - deviation * deviation / 2.0).exp()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range"
)]
fn whole(value: f64) -> u32 {
    value.round().clamp(0.0, 1e6) as u32
}
