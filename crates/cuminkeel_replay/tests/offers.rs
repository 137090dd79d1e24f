//! Replays of several failure domains under loads that they can only carry together.

use std::{sync::Arc, time};

use cuminkeel_dispatch::settings;
use cuminkeel_replay::{domain_replay, load_pattern, replay_report};

const SEEDS: [u64; 3] = [1, 2, 3];
/// Lowest share of the callers of a domain that is served, as a part of the mean of all domains, while
/// the whole has room.
const MIN_FAIRNESS: f64 = 0.93;
/// Factor on the processor of the usual tasks and servers: tasks of 26 to 38 of 64 or 96 cores.
const WIDE_TASK_FACTOR: u32 = 4;

fn domain(seed: u64, jobs_per_s: f64) -> domain_replay::DomainSpec {
    let ordinary = replay_report::worst_pattern_specs(seed)[0];
    domain_replay::DomainSpec {
        pattern: load_pattern::draw(&load_pattern::PatternSpec {
            jobs_per_s,
            ..ordinary
        }),
        evacuated_at: None,
    }
}

/// Returns the domain with tasks that take about half of a server.
fn with_wide_tasks(mut domain: domain_replay::DomainSpec) -> domain_replay::DomainSpec {
    for arrival in &mut domain.pattern.arrivals {
        let mut spec = (*arrival.offer.spec).clone();
        for step in &mut spec.steps {
            step.cpu_millis *= WIDE_TASK_FACTOR;
        }
        arrival.offer.spec = Arc::new(spec);
        arrival.task_profile.cpu_millis *= WIDE_TASK_FACTOR;
    }
    for server in &mut domain.pattern.servers {
        server.entry.cpu_millis *= WIDE_TASK_FACTOR;
    }
    domain
}

fn without_servers(
    mut domain: domain_replay::DomainSpec,
    count: usize,
) -> domain_replay::DomainSpec {
    domain.pattern.servers.drain(..count);
    domain
}

/// Replays the domains and prints the shares of callers that are served.
fn replay(name: &str, seed: u64, domains: &[domain_replay::DomainSpec]) -> Vec<f64> {
    let policy = domain_replay::SpilloverPolicy::RemoteWhenFull;
    let pool_policies = settings::PoolPolicies::default();
    let report = domain_replay::replay_domains(domains, pool_policies, policy);
    assert_eq!(report.replay.violations, [], "{name}, seed {seed}");
    println!(
        "{name}, seed {seed}: served {:.3?}, worth {:.3?}, {} of {} jobs remote",
        report.replay.domain_served_shares,
        report.replay.domain_worth_shares,
        report.remote_jobs,
        domains
            .iter()
            .map(|domain| domain.pattern.arrivals.len())
            .sum::<usize>(),
    );
    assert!(
        report.late_starts.iter().all(|count| *count == 0),
        "{name}, seed {seed}: {:?} tasks started in evacuated domains",
        report.late_starts
    );
    report.replay.domain_served_shares
}

/// Returns the lowest share as a part of the mean.
fn fairness(shares: &[f64]) -> f64 {
    let mean = shares.iter().sum::<f64>() / f64::from(u32::try_from(shares.len()).unwrap_or(1));
    shares.iter().copied().fold(f64::MAX, f64::min) / mean
}

/// Guards against a domain whose callers are refused or answered late while others have room.
#[test]
fn callers_of_a_domain_with_more_load_are_served_like_others_while_there_is_room() {
    for seed in SEEDS {
        let domains =
            [(0, 122.0, 2), (100, 42.0, 0), (200, 42.0, 0)].map(|(offset, load, lost)| {
                without_servers(with_wide_tasks(domain(seed + offset, load)), lost)
            });
        let shares = replay("one domain at 2.6 times the load", seed, &domains);
        assert!(fairness(&shares) >= MIN_FAIRNESS, "seed {seed}: {shares:?}");
    }
}

/// Guards against a shortage that the callers of the domain with the fewest servers pay alone.
#[test]
fn loss_is_shared_in_a_shortage() {
    for seed in SEEDS {
        let domains = [(0, 4), (100, 1), (200, 0), (300, 0)].map(|(offset, lost)| {
            without_servers(with_wide_tasks(domain(seed + offset, 103.0)), lost)
        });
        let shares = replay("all at 2.2 times the load", seed, &domains);
        assert!(fairness(&shares) >= MIN_FAIRNESS, "seed {seed}: {shares:?}");
    }
}

/// Guards against callers of an evacuated domain that are served worse than others while there is
/// room, and against tasks that start in it.
#[test]
fn callers_of_an_evacuated_domain_are_served_like_others() {
    for seed in SEEDS {
        let mut domains = [0, 100, 200, 300].map(|offset| domain(seed + offset, 45.0));
        domains[0].evacuated_at = Some(time::Duration::from_secs(4));
        let shares = replay("one of four domains evacuated", seed, &domains);
        let others = shares[1..].iter().sum::<f64>() / 3.0;
        assert!(shares[0] >= 0.95 * others, "seed {seed}: {shares:?}");
    }
}
