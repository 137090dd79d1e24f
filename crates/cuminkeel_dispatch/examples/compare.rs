//! Compares the policies on fake servers in simulated time.
//!
//! `cargo run --release -p cuminkeel_dispatch --example compare -- [SCENARIO] [SEED]`

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::{collections, env, ops, time};

use cuminkeel_dispatch::{event, factory};
use cuminkeel_types::{outcome, time as clock};
use rand::{RngExt, SeedableRng, rngs};

const SLOTS: u32 = 8;
const SECONDS: f64 = 30.0;
/// Time after which jobs and goodput are counted.
const WARM_UP_SECS: f64 = 3.0;
/// Run time of each server relative to the fastest.
const SLOWNESS: [f64; 4] = [1.0, 1.0, 1.6, 2.5];

/// One kind of job.
#[derive(Clone, Debug)]
struct JobShape {
    class: &'static str,
    share: u32,
    tasks: ops::RangeInclusive<usize>,
    millis: ops::RangeInclusive<u64>,
    deadline: f64,
}

/// One scenario of the comparison.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    name: &'static str,
    load: f64,
    /// Share of the arrivals at the first entry.
    first_entry_share: f64,
    /// Demand of each customer.
    customers: &'static [u32],
    large_jobs: bool,
    fault: harness::Fault,
    poison_share: f64,
    /// Largest factor between declared and true run time, either way.
    declared_factor: f64,
}

const STEADY: Scenario = Scenario {
    name: "mixed-60",
    load: 0.6,
    first_entry_share: 1.0 / 3.0,
    customers: &[1, 1, 1],
    large_jobs: false,
    fault: harness::Fault::None,
    poison_share: 0.0,
    declared_factor: 2.0,
};

const SCENARIOS: [Scenario; 11] = [
    STEADY,
    Scenario {
        name: "mixed-85",
        load: 0.85,
        ..STEADY
    },
    Scenario {
        name: "skewed",
        load: 0.8,
        first_entry_share: 0.8,
        ..STEADY
    },
    Scenario {
        name: "overload",
        load: 2.0,
        ..STEADY
    },
    Scenario {
        name: "rival-desks",
        load: 2.0,
        customers: &[2, 1, 1, 1],
        ..STEADY
    },
    Scenario {
        name: "large-jobs",
        load: 0.5,
        large_jobs: true,
        ..STEADY
    },
    Scenario {
        name: "black-hole",
        load: 0.5,
        fault: harness::Fault::FailsAll,
        ..STEADY
    },
    Scenario {
        name: "swallow",
        load: 0.5,
        fault: harness::Fault::SwallowsAll,
        ..STEADY
    },
    Scenario {
        name: "straggler",
        load: 0.5,
        fault: harness::Fault::SlowsDown {
            from_secs: 10.0,
            factor: 10.0,
        },
        ..STEADY
    },
    Scenario {
        name: "poison",
        load: 0.5,
        poison_share: 0.1,
        ..STEADY
    },
    Scenario {
        name: "false-sizes",
        declared_factor: 20.0,
        ..STEADY
    },
];

fn shapes(scenario: &Scenario) -> Vec<JobShape> {
    let shape = |class, share, tasks, millis| JobShape {
        class,
        share,
        tasks,
        millis,
        deadline: 3.0,
    };
    let mut shapes = vec![
        shape("price", 100, 1..=6, 50..=200),
        shape("reservation", 40, 1..=1, 50..=150),
        shape("stock", 60, 2..=8, 80..=300),
    ];
    if scenario.large_jobs {
        let mut large = shape("catalogue", 1, 100..=850, 50..=100);
        large.deadline = 20.0;
        shapes.push(large);
    }
    shapes
}

/// Draws the jobs of a scenario.
#[derive(Debug)]
struct JobSource {
    random: rngs::SmallRng,
    next_id: u128,
}

impl JobSource {
    fn pick(&mut self, shares: &[u32]) -> usize {
        let mut rest = self.random.random_range(0..shares.iter().sum());
        for (at, share) in shares.iter().enumerate() {
            if rest < *share {
                return at;
            }
            rest -= share;
        }
        0
    }

    fn job(&mut self, scenario: &Scenario, shapes: &[JobShape], at: f64) -> harness::TrueJob {
        self.next_id += 1;
        let weights: Vec<u32> = shapes.iter().map(|shape| shape.share).collect();
        let shape = &shapes[self.pick(&weights)];
        let count = self.random.random_range(shape.tasks.clone());
        let mut work = Vec::with_capacity(count);
        let mut declared = Vec::with_capacity(count);
        for _ in 0..count {
            let secs = self.random.random_range(shape.millis.clone()) as f64 / 1e3;
            let exponent = self.random.random::<f64>() * 2.0 - 1.0;
            work.push(secs);
            declared.push(secs * scenario.declared_factor.powf(exponent));
        }
        let customer = format!("customer-{}", self.pick(scenario.customers));
        let classes = vec![shape.class; count];
        let request =
            harness::request(self.next_id, &customer, &classes, shape.deadline, &declared);
        let first = self.random.random::<f64>() < scenario.first_entry_share;
        let other = self.random.random_range(1..entry_count().max(2)) % entry_count();
        harness::TrueJob {
            at: point(at),
            entry: if first { 0 } else { other },
            request,
            work,
            poison: self.random.random::<f64>() < scenario.poison_share,
        }
    }

    /// Poisson arrivals at the scenario's load.
    fn jobs(&mut self, scenario: &Scenario, capacity: f64) -> Vec<harness::TrueJob> {
        let shapes = shapes(scenario);
        let mean = |shape: &JobShape| {
            let tasks = (shape.tasks.start() + shape.tasks.end()) as f64 / 2.0;
            let millis = (shape.millis.start() + shape.millis.end()) as f64 / 2.0;
            f64::from(shape.share) * tasks * millis / 1e3
        };
        let all: f64 = shapes.iter().map(|shape| f64::from(shape.share)).sum();
        let mean_work = shapes.iter().map(mean).sum::<f64>() / all;
        let rate = scenario.load * capacity / mean_work;
        let mut jobs = Vec::new();
        let mut at = 0.0;
        while at < SECONDS {
            jobs.push(self.job(scenario, &shapes, at));
            at -= (1.0 - self.random.random::<f64>()).ln() / rate;
        }
        jobs
    }
}

/// Entries of the domain, from the environment variable `ENTRIES`; with `REPORTS`
/// set, servers report their busy slots with each answer. 1 shows what undivided slots would give.
fn entry_count() -> usize {
    env::var("ENTRIES")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(3)
}

fn servers(scenario: &Scenario) -> Vec<(event::ServerRecord, f64, harness::Fault)> {
    let server = |(at, slowness): (usize, &f64)| {
        let fault = if at == 0 {
            scenario.fault
        } else {
            harness::Fault::None
        };
        (harness::record(at, SLOTS), *slowness, fault)
    };
    SLOWNESS.iter().enumerate().map(server).collect()
}

/// Response of a job that has all slots to itself, longest tasks first.
fn ideal_secs(job: &harness::TrueJob) -> f64 {
    let mut work = job.work.clone();
    work.sort_by(|a, b| b.total_cmp(a));
    let slots = SLOWNESS
        .iter()
        .flat_map(|slowness| vec![*slowness; SLOTS as usize]);
    let mut slots: Vec<(f64, f64)> = slots.map(|slowness| (slowness, 0.0)).collect();
    let mut last = 0.0_f64;
    for secs in work {
        let finish = |slot: &(f64, f64)| slot.1 + secs * slot.0;
        let best = slots
            .iter_mut()
            .min_by(|a, b| finish(a).total_cmp(&finish(b)));
        if let Some(slot) = best {
            slot.1 += secs * slot.0;
            last = last.max(slot.1);
        }
    }
    last + 2.0 * harness::SERVER_DELAY.as_secs_f64()
}

fn point(secs: f64) -> clock::TimePoint {
    clock::TimePoint::ZERO + time::Duration::from_secs_f64(secs)
}

fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let at = sorted.len() * percent / 100;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}

fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    sum * sum / (shares.len() as f64 * squares)
}

fn run(scenario: &Scenario, policy: &str, weights: (f64, f64), seed: u64) {
    let capacity = servers(scenario)
        .iter()
        .map(|(record, slowness, _)| f64::from(record.slots) / slowness)
        .sum::<f64>();
    let random = rngs::SmallRng::seed_from_u64(seed);
    let jobs = JobSource { random, next_id: 0 }.jobs(scenario, capacity);
    let terms: Vec<event::CustomerTerms> = Vec::new();
    let mut domain = harness::FakeDomain::new(
        policy,
        weights,
        entry_count(),
        servers(scenario),
        &terms,
        seed,
    );
    domain.reports = env::var("REPORTS").is_ok();
    let tasks: usize = jobs.iter().map(|job| job.work.len()).sum();
    let count = jobs
        .iter()
        .filter(|job| job.at >= point(WARM_UP_SECS))
        .count();
    for job in jobs {
        domain.submit(job);
    }
    domain.run_until(point(WARM_UP_SECS));
    let early_secs = domain.counts.useful_secs;
    let early_done = domain.counts.done_secs;
    domain.run_until(point(SECONDS));
    let slot_secs: Vec<f64> = domain.counts.slot_secs.values().copied().collect();
    let goodput = (domain.counts.useful_secs - early_secs) / (capacity * (SECONDS - WARM_UP_SECS));
    let busy = (domain.counts.done_secs - early_done) / (capacity * (SECONDS - WARM_UP_SECS));
    domain.run_until(point(SECONDS + 30.0));
    report(
        scenario,
        policy,
        &domain,
        (count, tasks),
        (goodput, jain(&slot_secs), busy),
    );
}

fn report(
    scenario: &Scenario,
    policy: &str,
    domain: &harness::FakeDomain,
    (jobs, tasks): (usize, usize),
    (goodput, fairness, busy): (f64, f64, f64),
) {
    let mut ratios = Vec::new();
    let mut large = Vec::new();
    let mut refusals: collections::BTreeMap<outcome::RefusalCode, usize> =
        collections::BTreeMap::new();
    let measured = |result: &&harness::JobResult| result.job.at >= point(WARM_UP_SECS);
    for result in domain.results.iter().filter(measured) {
        let spent = result.finished.since(result.job.at).as_secs_f64();
        match &result.answer {
            outcome::JobAnswer::Complete { .. } if result.job.work.len() >= 100 => {
                large.push(spent);
            }
            outcome::JobAnswer::Complete { .. } => ratios.push(spent / ideal_secs(&result.job)),
            outcome::JobAnswer::Failed(refusal) => *refusals.entry(refusal.code).or_default() += 1,
        }
    }
    ratios.sort_by(f64::total_cmp);
    large.sort_by(f64::total_cmp);
    let starts = domain.counts.starts.max(1) as f64;
    let late = domain
        .counts
        .failed_at
        .iter()
        .filter(|at| at.as_micros() > 1_000_000)
        .count();
    println!(
        "{:12} {:17} p50 {:6.3} p90 {:6.3} p99 {:6.3} large {:6.3} waste {:6.3} full {:6.3} sib {:6.3} \
         jain {:5.3} goodput {:5.3} busy {:5.3} complete {:6.3} failed-tasks-after-1s {:7.4} open {} broken {} {:?}",
        scenario.name,
        policy,
        percentile(&ratios, 50),
        percentile(&ratios, 90),
        percentile(&ratios, 99),
        percentile(&large, 50),
        domain.counts.wasted_messages as f64 / starts,
        domain.counts.refused_full as f64 / starts,
        domain.counts.sibling_messages as f64 / starts,
        fairness,
        goodput,
        busy,
        (ratios.len() + large.len()) as f64 / jobs as f64,
        late as f64 / tasks as f64,
        domain.open.len(),
        domain.counts.broken_rules.len(),
        refusals,
    );
}

fn main() {
    let wanted = env::args().nth(1).unwrap_or_else(|| "all".to_owned());
    let seed = env::args()
        .nth(2)
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    let only = env::args().nth(3);
    let names = factory::POLICY_NAMES
        .iter()
        .filter(|name| only.as_deref().is_none_or(|only| only == **name));
    let names: Vec<_> = names.collect();
    for scenario in SCENARIOS
        .iter()
        .filter(|scenario| wanted == "all" || wanted == scenario.name)
    {
        for name in &names {
            if **name == "cuminkeel" {
                run(scenario, name, (4.0, 1.0), seed);
                print!("(perekat) ");
                run(scenario, name, (1.0, 4.0), seed);
            } else {
                run(scenario, name, (1.0, 1.0), seed);
            }
        }
    }
}
