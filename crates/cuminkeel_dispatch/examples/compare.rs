//! Compares the policies on fake servers in simulated time.
//!
//! `cargo run --release -p cuminkeel_dispatch --example compare -- [SCENARIO] [SEED]`

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::{collections, env, time};

use cuminkeel_dispatch::{event, factory};
use cuminkeel_types::{outcome, time as clock};
use rand::{RngExt, SeedableRng, rngs};

const SERVERS: usize = 17;
const SLOTS: u32 = 8;
const SECONDS: f64 = 40.0;
/// Time after which goodput is counted.
const WARM_UP_SECS: f64 = 5.0;
const SLOWNESS: [f64; 3] = [1.0, 2.5 / 1.5, 2.5];
/// Classes with their mean run time on the fastest server, in seconds.
const CLASSES: [(&str, f64); 3] = [("stock", 0.06), ("price", 0.2), ("reserve", 0.5)];

/// One scenario of the comparison.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    name: &'static str,
    load: f64,
    /// Share of the arrivals at the first entry.
    first_entry_share: f64,
    customers: usize,
    /// Tasks in the large jobs of one customer; zero for none.
    large_tasks: usize,
    fault: harness::Fault,
    deadline: f64,
    poison_share: f64,
    declared: f64,
}

const STEADY: Scenario = Scenario {
    name: "steady-60",
    load: 0.6,
    first_entry_share: 1.0 / 3.0,
    customers: 6,
    large_tasks: 0,
    fault: harness::Fault::None,
    deadline: 5.0,
    poison_share: 0.0,
    declared: 1.0,
};

const SCENARIOS: [Scenario; 14] = [
    STEADY,
    Scenario {
        name: "single-60",
        ..STEADY
    },
    Scenario {
        name: "single-85",
        load: 0.85,
        ..STEADY
    },
    Scenario {
        name: "steady-85",
        load: 0.85,
        ..STEADY
    },
    Scenario {
        name: "overload",
        load: 2.0,
        ..STEADY
    },
    Scenario {
        name: "skewed",
        first_entry_share: 0.8,
        ..STEADY
    },
    Scenario {
        name: "skewed-85",
        load: 0.85,
        first_entry_share: 0.6,
        ..STEADY
    },
    Scenario {
        name: "rival-desks",
        load: 2.0,
        customers: 4,
        deadline: 8.0,
        ..STEADY
    },
    Scenario {
        name: "large-jobs",
        load: 0.5,
        large_tasks: 400,
        deadline: 20.0,
        ..STEADY
    },
    Scenario {
        name: "black-hole",
        fault: harness::Fault::FailsAll,
        ..STEADY
    },
    Scenario {
        name: "swallow",
        fault: harness::Fault::SwallowsAll,
        ..STEADY
    },
    Scenario {
        name: "straggler",
        fault: harness::Fault::SlowsDown {
            from_secs: 10.0,
            factor: 10.0,
        },
        ..STEADY
    },
    Scenario {
        name: "poison",
        poison_share: 0.1,
        ..STEADY
    },
    Scenario {
        name: "false-sizes",
        declared: 10.0,
        ..STEADY
    },
];

/// Draws the jobs of a scenario.
#[derive(Debug)]
struct JobSource {
    random: rngs::SmallRng,
    next_id: u128,
}

impl JobSource {
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    /// A run time around the mean of a class, now and then several times longer.
    fn work(&mut self, mean: f64) -> f64 {
        let spread = 0.6 + 0.8 * self.random.random::<f64>();
        let long = if self.random.random::<f64>() < 0.02 {
            4.0
        } else {
            1.0
        };
        mean * spread * long
    }

    fn task_count(&mut self) -> usize {
        match self.random.random::<f64>() {
            draw if draw < 0.7 => 1,
            draw if draw < 0.95 => self.random.random_range(2..=8),
            _ => self.random.random_range(9..=30),
        }
    }

    fn job(&mut self, scenario: &Scenario, at: f64) -> harness::TrueJob {
        let customer = self.random.random_range(0..scenario.customers);
        let rivals = scenario.name == "rival-desks";
        let count = match customer {
            0 if rivals => self.random.random_range(40..=80),
            1 if rivals => 1,
            _ => self.task_count(),
        };
        self.sized_job(scenario, at, customer, count)
    }

    fn sized_job(
        &mut self,
        scenario: &Scenario,
        at: f64,
        customer: usize,
        count: usize,
    ) -> harness::TrueJob {
        self.next_id += 1;
        let mut classes = Vec::with_capacity(count);
        let mut work = Vec::with_capacity(count);
        for _ in 0..count {
            let (class, mean) = CLASSES[self.random.random_range(0..CLASSES.len())];
            classes.push(class);
            work.push(self.work(mean));
        }
        let name = format!("customer-{customer}");
        let declared = if customer == 0 {
            scenario.declared
        } else {
            1.0
        };
        let deadline = scenario.deadline;
        let request = harness::request(self.next_id, &name, &classes, &work, deadline, declared);
        let first = self.random.random::<f64>() < scenario.first_entry_share;
        let entry = if first {
            0
        } else {
            self.random.random_range(1..entry_count().max(2)) % entry_count()
        };
        harness::TrueJob {
            at: point(at),
            entry,
            request,
            work,
            poison: self.random.random::<f64>() < scenario.poison_share,
        }
    }

    /// Jobs at the scenario's load; at `rival-desks` each customer offers the same work.
    fn jobs(&mut self, scenario: &Scenario, capacity: f64) -> Vec<harness::TrueJob> {
        let mut jobs = Vec::new();
        let per_customer = scenario.load * capacity / scenario.customers as f64;
        for customer in 0..scenario.customers {
            let mut at = 0.0;
            while at < SECONDS {
                let template = self.job(scenario, at);
                let count = match customer {
                    0 if scenario.name == "rival-desks" => self.random.random_range(40..=80),
                    1 if scenario.name == "rival-desks" => 1,
                    _ if scenario.name.starts_with("single") => 1,
                    _ => template.work.len(),
                };
                let job = self.sized_job(scenario, at, customer, count);
                let gap = job.work.iter().sum::<f64>() / per_customer;
                at += self.exponential(gap);
                jobs.push(job);
            }
        }
        let mut at = 2.0;
        while scenario.large_tasks > 0 && at < SECONDS {
            jobs.push(self.sized_job(scenario, at, 0, scenario.large_tasks));
            at += 5.0;
        }
        jobs
    }
}

/// Entries of the domain; 1 shows what undivided slots would give.
fn entry_count() -> usize {
    env::var("ENTRIES")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(3)
}

fn servers(scenario: &Scenario) -> Vec<(event::ServerRecord, f64, harness::Fault)> {
    let server = |at: usize| {
        let fault = if at == 0 {
            scenario.fault
        } else {
            harness::Fault::None
        };
        (harness::record(at, SLOTS), SLOWNESS[at % 3], fault)
    };
    (0..SERVERS).map(server).collect()
}

fn ideal_secs(job: &harness::TrueJob) -> f64 {
    let longest = job.work.iter().copied().fold(0.0, f64::max);
    longest + 2.0 * harness::SERVER_DELAY.as_secs_f64()
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
    let tasks: usize = jobs.iter().map(|job| job.work.len()).sum();
    let count = jobs.len();
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
    for result in &domain.results {
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
