//! Replays of several failure domains, of which one may have a burst.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{job_model, settings};

use crate::{load_pattern, pool_simulation, replay_report};

/// Time before the first arrival in which each pool claims its servers.
const LEAD_TIME: time::Duration = time::Duration::from_secs(1);
/// Time after the last arrival in which jobs end.
const CLEARING_TIME: time::Duration = time::Duration::from_secs(6);

/// Where a job is offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpilloverPolicy {
    /// To its own domain only; a baseline.
    LocalOnly,
    /// To the other domains where its own would let it wait, as a coordinator does.
    RemoteWhenFull,
}

/// Result of a replay.
#[derive(Clone, Debug)]
pub struct DomainReport {
    /// Worth earned as a share of the worth offered, for each domain's callers.
    pub worth_share: Vec<f64>,
    /// Jobs that were served in another domain.
    pub remote_jobs: usize,
    /// Broken promises.
    pub violations: Vec<pool_simulation::InvariantViolation>,
}

/// A job that was offered.
struct OfferedJob {
    arrival: load_pattern::JobArrival,
    from: usize,
    taken_by: Option<usize>,
}

/// Replays a pattern for each domain, all at once.
pub fn replay(patterns: &[load_pattern::LoadPattern], rule: SpilloverPolicy) -> DomainReport {
    let rules = settings::PoolPolicies::default();
    let mut worlds: Vec<_> = patterns
        .iter()
        .map(|_| pool_simulation::PoolSimulation::new(1, load_pattern::domain_servers(), rules))
        .collect();
    for world in &mut worlds {
        world.lead(0);
    }
    let mut jobs = arrivals(patterns);
    for job in &mut jobs {
        for world in &mut worlds {
            world.run_until(LEAD_TIME + job.arrival.at);
        }
        job.taken_by = place(&mut worlds, job, rule);
    }
    for world in &mut worlds {
        world.run_until(LEAD_TIME + load_pattern::PATTERN_DURATION + CLEARING_TIME);
    }
    report(&worlds, &jobs, patterns.len())
}

/// Arrivals of all domains in order of time, with ids that differ.
fn arrivals(patterns: &[load_pattern::LoadPattern]) -> Vec<OfferedJob> {
    let mut jobs: Vec<OfferedJob> = patterns
        .iter()
        .enumerate()
        .flat_map(|(from, pattern)| {
            pattern.arrivals.iter().map(move |arrival| {
                let mut arrival = arrival.clone();
                let mut spec = (*arrival.ticket.spec).clone();
                spec.id = Arc::from(format!("{from}-{}", spec.id));
                arrival.ticket.spec = Arc::new(spec);
                OfferedJob {
                    arrival,
                    from,
                    taken_by: None,
                }
            })
        })
        .collect();
    jobs.sort_by_key(|job| job.arrival.at);
    jobs
}

/// Offers a job to one pool after another; returns the domain that took it.
fn place(
    worlds: &mut [pool_simulation::PoolSimulation],
    job: &OfferedJob,
    rule: SpilloverPolicy,
) -> Option<usize> {
    let mut offers = Vec::new();
    if rule == SpilloverPolicy::RemoteWhenFull {
        offers.push((job.from, job_model::OfferTerms::AtOnce));
        let mut others: Vec<(u32, usize)> = worlds
            .iter()
            .enumerate()
            .filter(|(domain, _)| *domain != job.from)
            .map(|(domain, world)| (world.load(0), domain))
            .filter(|(load, _)| load.queued_jobs == 0)
            .map(|(load, domain)| (load.free_cpu_millis, domain))
            .collect();
        others.sort_unstable();
        let most_room = others.into_iter().rev();
        offers.extend(most_room.map(|(_, domain)| (domain, job_model::OfferTerms::AtOnce)));
    }
    offers.push((job.from, job_model::OfferTerms::Useful));
    offers
        .into_iter()
        .find(|(domain, terms)| takes(&mut worlds[*domain], job, *terms))
        .map(|(domain, _)| domain)
}

/// Whether a pool takes the job; a refusal comes at once.
fn takes(
    world: &mut pool_simulation::PoolSimulation,
    job: &OfferedJob,
    terms: job_model::OfferTerms,
) -> bool {
    let ticket = job_model::JobTicket {
        terms,
        ..job.arrival.ticket.clone()
    };
    let before = world.outcomes.len();
    world.submit(0, &ticket, job.arrival.task_profile);
    let refused = world.outcomes[before..].iter().position(|outcome| {
        outcome.job == ticket.spec.id && matches!(outcome.end, job_model::JobEnd::Refused { .. })
    });
    // The caller hears of the last refusal only.
    if let (Some(position), job_model::OfferTerms::AtOnce) = (refused, terms) {
        world.outcomes.remove(before + position);
    }
    refused.is_none()
}

fn report(
    worlds: &[pool_simulation::PoolSimulation],
    jobs: &[OfferedJob],
    domains: usize,
) -> DomainReport {
    let mut owed = vec![0.0; domains];
    let mut earned = vec![0.0; domains];
    for job in jobs {
        owed[job.from] += job.arrival.worth;
        let outcome = job.taken_by.and_then(|domain| {
            let outcomes = &worlds[domain].outcomes;
            outcomes
                .iter()
                .rfind(|outcome| outcome.job == job.arrival.ticket.spec.id)
        });
        earned[job.from] += outcome.map_or(0.0, |outcome| {
            replay_report::earned_worth(&job.arrival, outcome, LEAD_TIME)
        });
    }
    DomainReport {
        worth_share: earned
            .iter()
            .zip(&owed)
            .map(|(earned, owed)| earned / owed.max(f64::MIN_POSITIVE))
            .collect(),
        remote_jobs: jobs
            .iter()
            .filter(|job| job.taken_by.is_some_and(|domain| domain != job.from))
            .count(),
        violations: worlds
            .iter()
            .flat_map(|world| world.violations.iter().cloned())
            .collect(),
    }
}
