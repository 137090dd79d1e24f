//! Replays of several failure domains at once, to measure what spillover between them is worth.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{job_model, settings};

use crate::{load_pattern, pool_simulation, replay_report};

/// Time before the first arrival, in which each pool claims its servers.
const WARM_UP_TIME: time::Duration = time::Duration::from_secs(1);
/// Time after the end of the patterns, in which the remaining jobs end.
const COOL_DOWN_TIME: time::Duration = time::Duration::from_secs(6);

/// Policy on the failure domains to which a job is offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpilloverPolicy {
    /// Offers a job to its local domain only; the baseline.
    LocalOnly,
    /// Offers a job to remote domains if it would have to wait in the local one, as the
    /// coordinator does.
    RemoteWhenFull,
}

/// Result of a replay of several domains.
#[derive(Clone, Debug)]
pub struct DomainReport {
    /// Worth earned as a share of the worth offered by all jobs, for the callers of each domain.
    pub worth_shares: Vec<f64>,
    /// Number of jobs that were admitted in a remote domain.
    pub remote_jobs: usize,
    /// Invariant violations in all domains.
    pub violations: Vec<pool_simulation::InvariantViolation>,
}

/// A job and the domain that admitted it.
struct OfferedJob {
    arrival: load_pattern::JobArrival,
    local_domain: usize,
    admitted_by: Option<usize>,
}

/// Replays the arrivals of one pattern for each domain, all at the same time. Ignores the patterns'
/// changes of server modes.
pub fn replay(
    patterns: &[load_pattern::LoadPattern],
    spillover_policy: SpilloverPolicy,
) -> DomainReport {
    let pool_policies = settings::PoolPolicies::default();
    let mut simulations: Vec<_> = patterns
        .iter()
        .map(|_| {
            pool_simulation::PoolSimulation::new(1, load_pattern::domain_servers(), pool_policies)
        })
        .collect();
    for simulation in &mut simulations {
        simulation.lead(0);
    }
    let mut jobs = offered_jobs(patterns);
    for job in &mut jobs {
        for simulation in &mut simulations {
            simulation.run_until(WARM_UP_TIME + job.arrival.at);
        }
        job.admitted_by = offer_to_domains(&mut simulations, job, spillover_policy);
    }
    for simulation in &mut simulations {
        simulation.run_until(WARM_UP_TIME + load_pattern::PATTERN_DURATION + COOL_DOWN_TIME);
    }
    summarise(&simulations, &jobs, patterns.len())
}

/// Returns the arrivals of all domains in order of time. Job ids are prefixed with the domain's
/// index, because the patterns of two domains may use the same ids.
fn offered_jobs(patterns: &[load_pattern::LoadPattern]) -> Vec<OfferedJob> {
    let mut jobs: Vec<OfferedJob> = patterns
        .iter()
        .enumerate()
        .flat_map(|(local_domain, pattern)| {
            pattern.arrivals.iter().map(move |arrival| {
                let mut arrival = arrival.clone();
                let mut spec = (*arrival.offer.spec).clone();
                spec.id = Arc::from(format!("{local_domain}-{}", spec.id));
                arrival.offer.spec = Arc::new(spec);
                OfferedJob {
                    arrival,
                    local_domain,
                    admitted_by: None,
                }
            })
        })
        .collect();
    jobs.sort_by_key(|job| job.arrival.at);
    jobs
}

/// Offers a job to one pool after another and returns the domain that admitted it. Remote
/// domains without queued jobs are tried in descending order of free processor.
fn offer_to_domains(
    simulations: &mut [pool_simulation::PoolSimulation],
    job: &OfferedJob,
    spillover_policy: SpilloverPolicy,
) -> Option<usize> {
    let mut offers = Vec::new();
    if spillover_policy == SpilloverPolicy::RemoteWhenFull {
        offers.push((job.local_domain, job_model::OfferTerms::AtOnce));
        let mut remote_domains: Vec<(u32, usize)> = simulations
            .iter()
            .enumerate()
            .filter(|(domain, _)| *domain != job.local_domain)
            .map(|(domain, simulation)| (simulation.load(0), domain))
            .filter(|(load, _)| load.queued_jobs == 0)
            .map(|(load, domain)| (load.free_cpu_millis, domain))
            .collect();
        remote_domains.sort_unstable();
        let by_free_cpu = remote_domains.into_iter().rev();
        offers.extend(by_free_cpu.map(|(_, domain)| (domain, job_model::OfferTerms::AtOnce)));
    }
    offers.push((job.local_domain, job_model::OfferTerms::Useful));
    offers
        .into_iter()
        .find(|(domain, terms)| submit_offer(&mut simulations[*domain], job, *terms))
        .map(|(domain, _)| domain)
}

/// Offers a job to one pool and returns whether the pool admits it. A refusal on arrival is
/// among the pool's answers when `submit` returns.
fn submit_offer(
    simulation: &mut pool_simulation::PoolSimulation,
    job: &OfferedJob,
    terms: job_model::OfferTerms,
) -> bool {
    let offer = job_model::JobOffer {
        terms,
        ..job.arrival.offer.clone()
    };
    let answers_before = simulation.answers.len();
    simulation.submit(0, &offer, job.arrival.task_profile);
    let refusal = simulation.answers[answers_before..]
        .iter()
        .position(|answer| {
            answer.job == offer.spec.id && matches!(answer.end, job_model::JobEnd::Refused { .. })
        });
    // The caller receives only the refusal of the last offer.
    if let (Some(position), job_model::OfferTerms::AtOnce) = (refusal, terms) {
        simulation.answers.remove(answers_before + position);
    }
    refusal.is_none()
}

fn summarise(
    simulations: &[pool_simulation::PoolSimulation],
    jobs: &[OfferedJob],
    domain_count: usize,
) -> DomainReport {
    let mut offered = vec![0.0; domain_count];
    let mut earned = vec![0.0; domain_count];
    for job in jobs {
        offered[job.local_domain] += job.arrival.worth;
        let answer = job.admitted_by.and_then(|domain| {
            let answers = &simulations[domain].answers;
            answers
                .iter()
                .rfind(|answer| answer.job == job.arrival.offer.spec.id)
        });
        earned[job.local_domain] += answer.map_or(0.0, |answer| {
            replay_report::earned_worth(&job.arrival, answer, WARM_UP_TIME)
        });
    }
    DomainReport {
        worth_shares: earned
            .iter()
            .zip(&offered)
            .map(|(earned, offered)| earned / offered.max(f64::MIN_POSITIVE))
            .collect(),
        remote_jobs: jobs
            .iter()
            .filter(|job| {
                job.admitted_by
                    .is_some_and(|domain| domain != job.local_domain)
            })
            .count(),
        violations: simulations
            .iter()
            .flat_map(|simulation| simulation.violations.iter().cloned())
            .collect(),
    }
}
