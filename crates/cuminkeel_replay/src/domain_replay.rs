//! Replays of several failure domains at once, to measure what spillover between them is worth.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time,
};

use cuminkeel_dispatch::{job_model, leadership, offer_plan, settings};
use smallvec::SmallVec;

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

/// Time between two checks for the ends of jobs.
const STEP_TIME: time::Duration = time::Duration::from_millis(2);
/// Maximum time that a job waits for a leader of its failure domain, as in a process by default.
const LEADER_WAIT: time::Duration = time::Duration::from_millis(1_500);

/// A job with the plan of its offers.
struct OfferedJob {
    arrival: load_pattern::JobArrival,
    local_domain: usize,
    plan: offer_plan::OfferPlan,
    /// Domain whose pool has admitted the job and not ended it.
    offered_to: Option<usize>,
    /// Whether a remote domain has admitted the job.
    is_remote: bool,
    answer: Option<pool_simulation::CallerAnswer>,
}

/// Pools of all domains, as the coordinators of one domain see them.
struct DomainDirectory<'a> {
    simulations: &'a [pool_simulation::PoolSimulation],
    names: &'a [Arc<str>],
    local_domain: usize,
    spillover_policy: SpilloverPolicy,
}

impl offer_plan::PoolDirectory for DomainDirectory<'_> {
    fn home_pool(&self, _id: &str) -> Option<offer_plan::HomePool> {
        Some(offer_plan::HomePool {
            process: Arc::clone(&self.names[self.local_domain]),
            shards: leadership::ShardSet::ALL,
        })
    }

    fn other_pools(&self) -> SmallVec<[offer_plan::OtherPool; 4]> {
        if self.spillover_policy == SpilloverPolicy::LocalOnly {
            return SmallVec::new();
        }
        let domains = self.simulations.iter().zip(self.names).enumerate();
        domains
            .filter(|(domain, _)| *domain != self.local_domain)
            .map(|(_, (simulation, name))| {
                let load = simulation.load(0);
                offer_plan::OtherPool {
                    process: Arc::clone(name),
                    failure_domain: Arc::clone(name),
                    is_local: false,
                    is_near: true,
                    shards: leadership::ShardSet::ALL,
                    free_cpu_millis: load.free_cpu_millis,
                    total_cpu_millis: load.total_cpu_millis,
                    queued_jobs: load.queued_jobs,
                }
            })
            .collect()
    }
}

/// Pools of all domains and their jobs.
struct DomainSimulation {
    simulations: Vec<pool_simulation::PoolSimulation>,
    /// Names of the domains, each also that of its only process.
    names: Vec<Arc<str>>,
    spillover_policy: SpilloverPolicy,
    jobs: Vec<OfferedJob>,
    /// Positions in `jobs` by id.
    job_positions: HashMap<Arc<str>, usize>,
    /// Times at which the plans of waiting jobs are asked again, with the positions of the jobs.
    wake_ups: BTreeSet<(time::Duration, usize)>,
    /// Number of answers of each simulation that have been passed to the plans.
    read_answers: Vec<usize>,
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
    let jobs = offered_jobs(patterns);
    let mut domains = DomainSimulation {
        names: (0..patterns.len())
            .map(|domain| Arc::from(format!("domain-{domain}")))
            .collect(),
        spillover_policy,
        job_positions: jobs
            .iter()
            .enumerate()
            .map(|(position, job)| (Arc::clone(&job.arrival.offer.spec.id), position))
            .collect(),
        jobs,
        wake_ups: BTreeSet::new(),
        read_answers: vec![0; simulations.len()],
        simulations,
    };
    for position in 0..domains.jobs.len() {
        domains.run_until(WARM_UP_TIME + domains.jobs[position].arrival.at);
        domains.advance_job(position);
    }
    domains.run_until(WARM_UP_TIME + load_pattern::PATTERN_DURATION + COOL_DOWN_TIME);
    domains.summarise()
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
                let limits = offer_plan::PlanLimits {
                    answer_deadline: WARM_UP_TIME + arrival.at + arrival.offer.time_to_deadline,
                    leader_wait: LEADER_WAIT,
                };
                let spec = Arc::clone(&arrival.offer.spec);
                OfferedJob {
                    arrival,
                    local_domain,
                    plan: offer_plan::OfferPlan::new(spec, limits),
                    offered_to: None,
                    is_remote: false,
                    answer: None,
                }
            })
        })
        .collect();
    jobs.sort_by_key(|job| job.arrival.at);
    jobs
}

impl DomainSimulation {
    /// Returns the virtual time, which is the same in all domains.
    fn now(&self) -> time::Duration {
        self.simulations[0].now()
    }

    /// Runs all domains until the time `until`, and passes the ends of jobs to their plans.
    fn run_until(&mut self, until: time::Duration) {
        while self.now() < until {
            let next = until.min(self.now() + STEP_TIME);
            for simulation in &mut self.simulations {
                simulation.run_until(next);
            }
            for domain in 0..self.simulations.len() {
                self.apply_answers(domain);
            }
            while let Some((at, position)) = self.wake_ups.first().copied()
                && at <= next
            {
                self.wake_ups.pop_first();
                self.advance_job(position);
            }
        }
    }

    /// Passes the answers of one domain's pool to the plans of the jobs that it has admitted.
    fn apply_answers(&mut self, domain: usize) {
        while let Some(answer) = self.simulations[domain]
            .answers
            .get(self.read_answers[domain])
            .cloned()
        {
            self.read_answers[domain] += 1;
            let Some(position) = self.job_positions.get(&answer.job).copied() else {
                continue;
            };
            let job = &mut self.jobs[position];
            if job.offered_to != Some(domain) {
                continue;
            }
            job.offered_to = None;
            // The caller receives only the last refusal, and the job may run in this domain until then.
            if matches!(answer.end, job_model::JobEnd::Refused { .. }) {
                self.read_answers[domain] -= 1;
                let unread = self.read_answers[domain];
                self.simulations[domain].answers.remove(unread);
            }
            job.plan.record_end(Some(&answer.end), answer.at);
            self.advance_job(position);
        }
    }

    /// Carries out the actions of a job's plan until the job is in a pool, waits or is answered.
    fn advance_job(&mut self, position: usize) {
        let now = self.now();
        loop {
            let directory = DomainDirectory {
                simulations: &self.simulations,
                names: &self.names,
                local_domain: self.jobs[position].local_domain,
                spillover_policy: self.spillover_policy,
            };
            match self.jobs[position].plan.next_action(&directory, now) {
                offer_plan::OfferAction::Offer { process, terms } => {
                    let domain = self.names.iter().position(|name| *name == process);
                    let end = domain.map_or(Some(job_model::JobEnd::NotLeader), |domain| {
                        self.submit_offer(domain, position, terms)
                    });
                    let job = &mut self.jobs[position];
                    if end.is_none() {
                        job.offered_to = domain;
                        job.is_remote |= domain != Some(job.local_domain);
                        return;
                    }
                    job.plan.record_end(end.as_ref(), now);
                }
                offer_plan::OfferAction::Wait(pause) => {
                    self.wake_ups.insert((now + pause, position));
                    return;
                }
                offer_plan::OfferAction::Answer(answer) => {
                    self.record_answer(position, answer, now);
                    return;
                }
            }
        }
    }

    /// Offers a job to one pool and returns its end if the pool ends it at once. A refusal on arrival is
    /// among the pool's answers when `submit` returns; it is removed, as the job may be offered to the
    /// pool again.
    fn submit_offer(
        &mut self,
        domain: usize,
        position: usize,
        terms: job_model::OfferTerms,
    ) -> Option<job_model::JobEnd> {
        let now = self.now();
        let job = &self.jobs[position];
        let arrived_at = WARM_UP_TIME + job.arrival.at;
        let age = now.saturating_sub(arrived_at);
        let offer = job_model::JobOffer {
            terms,
            age,
            time_to_deadline: job.arrival.offer.time_to_deadline.saturating_sub(age),
            may_have_started: job.plan.may_have_started(),
            source: Arc::clone(&self.names[job.local_domain]),
            ..job.arrival.offer.clone()
        };
        let simulation = &mut self.simulations[domain];
        let answers_before = simulation.answers.len();
        simulation.submit(0, &offer, job.arrival.task_profile);
        let ended = simulation.answers[answers_before..]
            .iter()
            .position(|answer| answer.job == offer.spec.id)?;
        Some(simulation.answers.remove(answers_before + ended).end)
    }

    /// Stores the answer to a job's caller. A refusal is shown to all pools, as no task of the job may
    /// start in any of them from then on.
    fn record_answer(
        &mut self,
        position: usize,
        answer: offer_plan::JobAnswer,
        now: time::Duration,
    ) {
        let end = match answer {
            offer_plan::JobAnswer::Completed => job_model::JobEnd::Completed,
            offer_plan::JobAnswer::CopyElsewhere => {
                job_model::JobEnd::Failed(job_model::FailureReason::PoolLost)
            }
            offer_plan::JobAnswer::Failed(reason) => job_model::JobEnd::Failed(reason),
            offer_plan::JobAnswer::Refused {
                reason,
                retry_after,
            } => job_model::JobEnd::Refused {
                reason,
                retry_after,
            },
        };
        let caller_answer = pool_simulation::CallerAnswer {
            job: Arc::clone(&self.jobs[position].arrival.offer.spec.id),
            end,
            at: now,
        };
        if matches!(answer, offer_plan::JobAnswer::Refused { .. }) {
            for simulation in &mut self.simulations {
                simulation.answers.push(caller_answer.clone());
            }
        }
        self.jobs[position].answer = Some(caller_answer);
    }

    fn summarise(&self) -> DomainReport {
        let mut offered = vec![0.0; self.simulations.len()];
        let mut earned = vec![0.0; self.simulations.len()];
        for job in &self.jobs {
            offered[job.local_domain] += job.arrival.worth;
            earned[job.local_domain] += job.answer.as_ref().map_or(0.0, |answer| {
                replay_report::earned_worth(&job.arrival, answer, WARM_UP_TIME)
            });
        }
        DomainReport {
            worth_shares: earned
                .iter()
                .zip(&offered)
                .map(|(earned, offered)| earned / offered.max(f64::MIN_POSITIVE))
                .collect(),
            remote_jobs: self.jobs.iter().filter(|job| job.is_remote).count(),
            violations: self
                .simulations
                .iter()
                .flat_map(|simulation| simulation.violations.iter().cloned())
                .collect(),
        }
    }
}
