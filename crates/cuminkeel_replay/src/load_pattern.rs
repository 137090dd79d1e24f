//! Load patterns drawn from a seed: arrivals of jobs and faults of servers.

use std::{ops, sync::Arc, time};

use cuminkeel_dispatch::job_model;
use rand::{RngExt, SeedableRng, rngs};
use smallvec::SmallVec;

use crate::fake_server;

/// A class of jobs; its means are those of the users' site files.
#[derive(Clone, Copy, Debug)]
pub struct JobClass {
    /// Name of the route.
    pub route: &'static str,
    /// Share of the class in all arrivals.
    pub arrival_share: f64,
    /// Mean number of tasks of a job.
    pub mean_task_count: f64,
    /// Maximum number of tasks of a job.
    pub max_task_count: f64,
    /// Mean nominal run time of a task, in ms.
    pub mean_run_time_ms: f64,
    /// Worth of a job with mean work that is answered within its objective.
    pub worth: f64,
    /// Priority of the route; 0 comes first.
    pub priority: u32,
}

/// The three job classes of the users' sites.
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

/// Arrival of a job.
#[derive(Clone, Debug)]
pub struct JobArrival {
    /// Time of the arrival, from the start of the pattern.
    pub at: time::Duration,
    /// The job and the terms of its offer.
    pub offer: job_model::JobOffer,
    /// Actual resource use and result of the job's tasks.
    pub task_profile: fake_server::TaskProfile,
    /// Worth of the job if it is answered within its objective.
    pub worth: f64,
    /// Index of the job's class in [`JOB_CLASSES`].
    pub class: usize,
}

/// A change of a server's mode.
#[derive(Clone, Debug)]
pub struct ServerModeChange {
    /// Time of the change, from the start of the pattern.
    pub at: time::Duration,
    /// Index of the server in the result of [`domain_servers`].
    pub server: usize,
    /// Mode of the server from then on.
    pub mode: fake_server::ServerMode,
}

/// A change of a server's capacity.
#[derive(Clone, Copy, Debug)]
pub struct CapacityChange {
    /// Time of the change, from the start of the pattern.
    pub at: time::Duration,
    /// Index of the server in [`LoadPattern::servers`].
    pub server: usize,
    /// Processor of the server from then on, in thousandths of a core.
    pub cpu_millis: u32,
}

/// Arrivals and faults of one simulated period.
#[derive(Clone, Debug)]
pub struct LoadPattern {
    /// Name shown in reports.
    pub name: &'static str,
    /// Arrivals in order of time.
    pub arrivals: Vec<JobArrival>,
    /// Changes of servers' modes in order of time.
    pub mode_changes: Vec<ServerModeChange>,
    /// Changes of servers' capacities in order of time.
    pub capacity_changes: Vec<CapacityChange>,
    /// Servers of the failure domain.
    pub servers: Vec<fake_server::FakeServer>,
}

/// Mix of the jobs that arrive.
#[derive(Clone, Copy, Debug)]
pub struct LoadMix {
    /// Share of each class of [`JOB_CLASSES`] in all arrivals.
    pub arrival_shares: [f64; 3],
    /// Mean processor of a task, in thousandths of a core.
    pub mean_cpu_millis: f64,
}

/// Mix of the order desk of the users' first sites.
pub const ORDER_DESK_MIX: LoadMix = LoadMix {
    arrival_shares: [
        JOB_CLASSES[0].arrival_share,
        JOB_CLASSES[1].arrival_share,
        JOB_CLASSES[2].arrival_share,
    ],
    mean_cpu_millis: 6_800.0,
};

/// Mix of the order desk some months on: more long jobs, and tasks of half a server.
pub const SHIFTED_MIX: LoadMix = LoadMix {
    arrival_shares: [0.236, 0.075, 0.689],
    mean_cpu_millis: 8_000.0,
};

/// Parameters from which a pattern is drawn.
#[derive(Clone, Copy, Debug)]
pub struct PatternSpec {
    /// Name shown in reports.
    pub name: &'static str,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Mean arrivals per second outside the burst, for each [`SERVERS_PER_UNIT`] servers.
    pub jobs_per_s: f64,
    /// Size of the failure domain, in units of [`SERVERS_PER_UNIT`] servers with their arrivals and faults.
    pub size: usize,
    /// Mix of the jobs.
    pub mix: LoadMix,
    /// Class with a burst (`None` for all classes) and the factor on its arrivals, from 4 s to
    /// 8 s.
    pub burst: Option<(Option<usize>, f64)>,
    /// Number of faulty servers in each unit of the size, and their mode, from 3 s to 9 s.
    pub faulty_servers: Option<(usize, fake_server::ServerMode)>,
    /// Share of the jobs whose tasks always fail.
    pub always_failing_share: f64,
}

/// Number of servers of a failure domain of size 1.
pub const SERVERS_PER_UNIT: usize = 16;
/// Duration of a pattern.
pub const PATTERN_DURATION: time::Duration = time::Duration::from_secs(12);
/// Standard deviation of the logarithm of task counts, of run times, and of the ratio of an
/// estimate to its run time.
const LOG_STD_DEV: f64 = 0.4;
/// Largest processor of a task relative to the mean.
const MAX_CPU_FACTOR: f64 = 1.47;
const BURST_START_S: f64 = 4.0;
const BURST_END_S: f64 = 8.0;
const FAULTS_START: time::Duration = time::Duration::from_secs(3);
const FAULTS_END: time::Duration = time::Duration::from_secs(9);

/// Returns the servers of a failure domain of this size, as on the users' sites: one in three has 24
/// cores and a slowdown factor of 1.7, the others have 16 cores and a factor of 0.7. The label
/// tells the two kinds apart; pools learn a slowdown factor for each kind.
pub fn domain_servers(size: usize) -> Vec<fake_server::FakeServer> {
    (0..SERVERS_PER_UNIT * size)
        .map(|number| {
            let name = format!("s{number:02}");
            match number % 3 {
                2 => fake_server::FakeServer::new(&name, 24_000, 1.7, "b"),
                _ => fake_server::FakeServer::new(&name, 16_000, 0.7, "a"),
            }
        })
        .collect()
}

/// Draws a pattern; the same `spec` gives the same pattern each time.
pub fn draw(spec: &PatternSpec) -> LoadPattern {
    let mut rng = rngs::StdRng::seed_from_u64(spec.seed);
    let mut arrivals = Vec::new();
    let mut elapsed_s = 0.0;
    while elapsed_s < PATTERN_DURATION.as_secs_f64() {
        let in_burst = (BURST_START_S..BURST_END_S).contains(&elapsed_s);
        let usual_shares = spec.mix.arrival_shares.into_iter().enumerate();
        let shares: SmallVec<[f64; 3]> = usual_shares
            .map(|(class, share)| match spec.burst {
                Some((None, factor)) if in_burst => share * factor,
                Some((Some(burst_class), factor)) if in_burst && burst_class == class => {
                    share * factor
                }
                _ => share,
            })
            .collect();
        let total_share: f64 = shares.iter().sum();
        let jobs_per_s = spec.jobs_per_s * spec.size as f64 * total_share;
        elapsed_s += -rng.random::<f64>().max(1e-9).ln() / jobs_per_s;
        let mut remaining_share = rng.random::<f64>() * total_share;
        let class = shares
            .iter()
            .position(|share| {
                remaining_share -= share;
                remaining_share < 0.0
            })
            .unwrap_or(0);
        arrivals.push(draw_job(
            &mut rng,
            arrivals.len(),
            class,
            time::Duration::from_secs_f64(elapsed_s),
            spec,
        ));
    }
    let mode_changes = spec
        .faulty_servers
        .map(|(count, mode)| {
            // Steps of five reach servers of both kinds.
            let server_count = SERVERS_PER_UNIT * spec.size;
            let failures = (0..count * spec.size).map(move |number| ServerModeChange {
                at: FAULTS_START,
                server: number * 5 % server_count,
                mode,
            });
            let recoveries = (0..count * spec.size).map(|number| ServerModeChange {
                at: FAULTS_END,
                server: number * 5 % server_count,
                mode: fake_server::ServerMode::Healthy,
            });
            failures.chain(recoveries).collect()
        })
        .unwrap_or_default();
    LoadPattern {
        name: spec.name,
        arrivals,
        mode_changes,
        capacity_changes: Vec::new(),
        servers: domain_servers(spec.size),
    }
}

/// Parameters of a shortage, which lasts for the whole pattern. They change the pattern of `base`,
/// which has no faults of its own.
#[derive(Clone, Copy, Debug)]
pub struct ShortageSpec {
    /// Arrivals and their seed.
    pub base: PatternSpec,
    /// Number of servers that are unreachable in each unit of the size.
    pub lost_servers: usize,
    /// Whether tasks use [`WIDE_TASK_CPU_MILLIS`] and servers have four times the usual processor.
    pub wide_tasks: bool,
    /// Share of the runs that take [`LONG_RUN_FACTOR`](fake_server::LONG_RUN_FACTOR) times as long.
    pub long_run_share: f64,
    /// Divisor of the callers' estimates.
    pub estimate_divisor: u32,
}

/// Range of the processor of wide tasks, in thousandths of a core. One to three fit on a server.
pub const WIDE_TASK_CPU_MILLIS: ops::RangeInclusive<u32> = 26_000..=38_000;
/// Factor on the processor of the servers of [`domain_servers`] when tasks are wide: 64 and 96 cores.
const WIDE_SERVER_FACTOR: u32 = 4;

/// Draws a pattern with a shortage; the same `spec` gives the same pattern each time.
pub fn draw_shortage(spec: &ShortageSpec) -> LoadPattern {
    let mut pattern = draw(&spec.base);
    let mut rng = rngs::StdRng::seed_from_u64(spec.base.seed);
    for arrival in &mut pattern.arrivals {
        let mut job_spec = (*arrival.offer.spec).clone();
        let wide_cpu_millis = rng.random_range(WIDE_TASK_CPU_MILLIS);
        for step in &mut job_spec.steps {
            step.estimate_ms = (step.estimate_ms / spec.estimate_divisor).max(1);
            if spec.wide_tasks {
                step.cpu_millis = wide_cpu_millis;
                arrival.task_profile.cpu_millis = wide_cpu_millis;
            }
        }
        arrival.offer.spec = Arc::new(job_spec);
    }
    for server in &mut pattern.servers {
        server.long_run_share = spec.long_run_share;
        if spec.wide_tasks {
            server.entry.cpu_millis *= WIDE_SERVER_FACTOR;
        }
    }
    pattern
        .mode_changes
        .extend(
            (0..spec.lost_servers * spec.base.size).map(|number| ServerModeChange {
                at: time::Duration::ZERO,
                server: number * 5 % (SERVERS_PER_UNIT * spec.base.size),
                mode: fake_server::ServerMode::Unreachable,
            }),
        );
    pattern
}

fn draw_job(
    rng: &mut rngs::StdRng,
    number: usize,
    class: usize,
    at: time::Duration,
    spec: &PatternSpec,
) -> JobArrival {
    let job_class = JOB_CLASSES[class];
    let task_count = (job_class.mean_task_count * log_normal_factor(rng, LOG_STD_DEV))
        .round()
        .clamp(1.0, job_class.max_task_count);
    let run_time_ms = (job_class.mean_run_time_ms * log_normal_factor(rng, LOG_STD_DEV))
        .min(job_class.mean_run_time_ms * 4.0);
    let estimate_ms = run_time_ms * log_normal_factor(rng, LOG_STD_DEV);
    let mean_cpu_millis = spec.mix.mean_cpu_millis;
    let cpu_millis = (mean_cpu_millis * log_normal_factor(rng, 0.2))
        .clamp(3_000.0, mean_cpu_millis * MAX_CPU_FACTOR);
    let job_spec = job_model::JobSpec {
        id: Arc::from(format!("{number:016x}")),
        route: Arc::from(job_class.route),
        service: Arc::from("order-desk"),
        payload: Arc::from(""),
        steps: vec![job_model::StepSpec {
            task_count: u16::try_from(round_to_u32(task_count)).unwrap_or(u16::MAX),
            cpu_millis: round_to_u32(cpu_millis),
            memory_mb: 64,
            gpus: 0,
            estimate_ms: round_to_u32(estimate_ms).max(1),
            depends_on: SmallVec::new(),
            required_label: None,
            data_rack: None,
            max_per_server: None,
        }],
        priority: job_class.priority,
        max_attempts: 2,
        stretch_factor: 1.6,
        target_latency_ms: 60,
    };
    let relative_work =
        task_count * run_time_ms / (job_class.mean_task_count * job_class.mean_run_time_ms);
    JobArrival {
        at,
        offer: job_model::JobOffer {
            spec: Arc::new(job_spec),
            age: time::Duration::ZERO,
            time_to_deadline: time::Duration::from_millis(2_500),
            may_have_started: false,
            terms: job_model::OfferTerms::Useful,
            sent_at: time::Duration::ZERO,
            source: Arc::from("vm"),
            session: job_model::OfferSession::default(),
            is_resumed: false,
        },
        task_profile: fake_server::TaskProfile {
            cpu_millis: round_to_u32(cpu_millis),
            nominal_run_time: time::Duration::from_secs_f64(run_time_ms / 1e3),
            always_fails: rng.random::<f64>() < spec.always_failing_share,
        },
        worth: (job_class.worth * (0.3 + 0.7 * relative_work)).min(job_class.worth * 4.0),
        class,
    }
}

/// Draws a log-normal factor with a mean of 1, by the Box-Muller transform.
fn log_normal_factor(rng: &mut rngs::StdRng, log_std_dev: f64) -> f64 {
    let (first_uniform, second_uniform): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * first_uniform.max(1e-12).ln()).sqrt()
        * (std::f64::consts::TAU * second_uniform).cos();
    (normal * log_std_dev - log_std_dev * log_std_dev / 2.0).exp()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to 0 to 1e6"
)]
fn round_to_u32(value: f64) -> u32 {
    value.round().clamp(0.0, 1e6) as u32
}
