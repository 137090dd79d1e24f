//! Replays of several failure domains at once, to measure what spillover between them is worth.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time,
};

use cuminkeel_dispatch::{
    job_model, leadership, offer_plan, pool, pool_action, pool_room, room_ledger, settings,
};
use serde::Deserialize;
use smallvec::SmallVec;

use crate::{fault_schedule, load_pattern, pool_simulation, replay_tally};

/// Time before the first arrival, in which each pool claims its servers.
const WARM_UP_TIME: time::Duration = time::Duration::from_secs(1);
/// Time after the end of the patterns, in which the remaining jobs end.
const COOL_DOWN_TIME: time::Duration = time::Duration::from_secs(6);

/// Policy on the failure domains to which a job is offered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum SpilloverPolicy {
    /// Offers a job to its local domain only; the baseline.
    LocalOnly,
    /// Offers a job to remote domains if it would have to wait in the local one, as the
    /// coordinator does.
    #[default]
    RemoteWhenFull,
}

/// Result of a replay of several domains.
#[derive(Clone, Debug)]
pub struct DomainReport {
    /// What the callers of all domains got.
    pub replay: replay_tally::ReplayReport,
    /// Number of jobs that were admitted in a remote domain.
    pub remote_jobs: usize,
    /// Number of tasks that each domain started when its evacuation had been known to its pool for longer
    /// than jobs in progress may go on.
    pub late_starts: Vec<usize>,
}

/// Time between two checks for the ends of jobs.
const STEP_TIME: time::Duration = time::Duration::from_millis(2);
/// Maximum time that a job waits for a leader of its failure domain, as in a process by default.
const LEADER_WAIT: time::Duration = time::Duration::from_millis(1_500);

/// Interval at which a process receives the room of pools of other domains while it sends them jobs.
const ROOM_UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Number of processes in a domain that offer jobs; each knows only what it has sent itself.
const PROCESSES_PER_DOMAIN: usize = 3;

/// Time for which a pool whose domain is evacuated may start further tasks of jobs in progress: a quarter
/// of the bound of 5 s.
const EVACUATION_GRACE: time::Duration = time::Duration::from_millis(1_250);

/// Failure domain with its callers and servers.
#[derive(Clone, Debug)]
pub struct DomainSpec {
    /// Arrivals of the domain's callers, and the domain's servers with their faults.
    pub pattern: load_pattern::LoadPattern,
    /// Start of the evacuation of the domain, from the start of the pattern; it doesn't end.
    pub evacuated_at: Option<time::Duration>,
}

/// A job with the plan of its offers.
struct OfferedJob {
    arrival: load_pattern::JobArrival,
    local_domain: usize,
    /// Position of the process that the caller reached, among those of its domain.
    process: usize,
    plan: offer_plan::OfferPlan,
    /// Domain whose pool has admitted the job and not ended it, with the time of the offer.
    offered_to: Option<(usize, time::Duration)>,
    /// Whether a remote domain has admitted the job.
    is_remote: bool,
    answer: Option<pool_simulation::CallerAnswer>,
}

/// What a process knows of the pools of all domains.
#[derive(Clone, Debug, Default)]
struct ProcessView {
    updated_at: time::Duration,
    next_update_at: time::Duration,
    /// Load and room of each domain's pool.
    pools: Vec<(pool::PoolLoad, pool_room::PoolRoom)>,
}

/// Pools of all domains, as a process of one domain sees them.
struct DomainDirectory<'a> {
    view: &'a ProcessView,
    ledger: &'a room_ledger::RoomLedger,
    names: &'a [Arc<str>],
    is_evacuated: &'a [bool],
    local_domain: usize,
    spillover_policy: SpilloverPolicy,
    now: time::Duration,
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
        let domains = self.view.pools.iter().zip(self.names).enumerate();
        domains
            .filter(|(domain, _)| *domain != self.local_domain && !self.is_evacuated[*domain])
            .map(|(_, ((load, room), name))| offer_plan::OtherPool {
                process: Arc::clone(name),
                failure_domain: Arc::clone(name),
                is_local: false,
                is_near: true,
                shards: leadership::ShardSet::ALL,
                free_cpu_millis: load.free_cpu_millis,
                total_cpu_millis: load.total_cpu_millis,
                queued_jobs: load.queued_jobs,
                room: Some(*room),
                room_age: self.now.saturating_sub(self.view.updated_at),
                sent_cpu_millis: self.ledger.sent_cpu_millis(name, self.view.updated_at),
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
    /// Views and ledgers of the processes of each domain.
    views: Vec<[ProcessView; PROCESSES_PER_DOMAIN]>,
    ledgers: Vec<[room_ledger::RoomLedger; PROCESSES_PER_DOMAIN]>,
    /// Times at which domains are evacuated.
    evacuations: Vec<Option<time::Duration>>,
    /// Whether each domain is evacuated at present.
    is_evacuated: Vec<bool>,
    /// Number of answers of each simulation that have been passed to the plans.
    read_answers: Vec<usize>,
    /// Faults of the servers of each domain.
    faults: Vec<fault_schedule::FaultSchedule>,
    /// Number of jobs refused while healthy servers of any domain had room for all of their tasks.
    refused_with_room: usize,
}

/// Replays one pattern for each domain, all at the same time.
pub fn replay(
    patterns: &[load_pattern::LoadPattern],
    spillover_policy: SpilloverPolicy,
) -> DomainReport {
    let domains: Vec<DomainSpec> = patterns
        .iter()
        .map(|pattern| DomainSpec {
            pattern: pattern.clone(),
            evacuated_at: None,
        })
        .collect();
    replay_domains(
        &domains,
        settings::PoolPolicies::default(),
        spillover_policy,
    )
}

/// Replays all domains at the same time.
pub fn replay_domains(
    specs: &[DomainSpec],
    pool_policies: settings::PoolPolicies,
    spillover_policy: SpilloverPolicy,
) -> DomainReport {
    let mut simulations: Vec<_> = specs
        .iter()
        .map(|spec| {
            pool_simulation::PoolSimulation::new(1, spec.pattern.servers.clone(), pool_policies)
        })
        .collect();
    for simulation in &mut simulations {
        simulation.lead_all(0);
    }
    let jobs = offered_jobs(specs);
    let mut domains = DomainSimulation {
        names: (0..specs.len())
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
        views: specs.iter().map(|_| Default::default()).collect(),
        ledgers: specs.iter().map(|_| Default::default()).collect(),
        evacuations: specs
            .iter()
            .map(|spec| spec.evacuated_at.map(|at| WARM_UP_TIME + at))
            .collect(),
        is_evacuated: vec![false; specs.len()],
        read_answers: vec![0; simulations.len()],
        faults: specs
            .iter()
            .map(|spec| fault_schedule::FaultSchedule::new(&spec.pattern))
            .collect(),
        refused_with_room: 0,
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
fn offered_jobs(specs: &[DomainSpec]) -> Vec<OfferedJob> {
    let mut jobs: Vec<OfferedJob> = specs
        .iter()
        .enumerate()
        .flat_map(|(local_domain, spec)| {
            let arrivals = spec.pattern.arrivals.iter().enumerate();
            arrivals.map(move |(number, arrival)| {
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
                    process: number % PROCESSES_PER_DOMAIN,
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
            self.start_evacuations();
            self.start_faults();
            self.update_views();
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

    fn start_evacuations(&mut self) {
        let now = self.now();
        for (domain, evacuated_at) in self.evacuations.iter().enumerate() {
            if !self.is_evacuated[domain] && evacuated_at.is_some_and(|at| at <= now) {
                self.is_evacuated[domain] = true;
                self.simulations[domain].evacuate(0);
            }
        }
    }

    fn start_faults(&mut self) {
        let Some(elapsed) = self.now().checked_sub(WARM_UP_TIME) else {
            return;
        };
        for (faults, simulation) in self.faults.iter_mut().zip(&mut self.simulations) {
            faults.apply_due(simulation, elapsed);
        }
    }

    /// Updates what the processes know of the pools. The updates of a domain's processes are spread over
    /// the interval.
    fn update_views(&mut self) {
        let now = self.now();
        for views in &mut self.views {
            for (view, number) in views.iter_mut().zip(1..) {
                if now < view.next_update_at {
                    continue;
                }
                let interval = match view.pools.len() {
                    0 => ROOM_UPDATE_INTERVAL * number / 3,
                    _ => ROOM_UPDATE_INTERVAL,
                };
                *view = ProcessView {
                    updated_at: now,
                    next_update_at: now + interval,
                    pools: self
                        .simulations
                        .iter()
                        .map(|simulation| (simulation.load(0), simulation.pools[0].room(now)))
                        .collect(),
                };
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
            let Some((_, offered_at)) = job
                .offered_to
                .take_if(|(admitting_domain, _)| *admitting_domain == domain)
            else {
                continue;
            };
            self.ledgers[job.local_domain][job.process].record_ended(
                &self.names[domain],
                job.arrival.offer.spec.ready_cpu_millis(),
                offered_at,
            );
            // The caller receives only the last refusal, and the job may run in this domain until then.
            if matches!(answer.end, job_model::JobEnd::Refused { .. }) {
                self.read_answers[domain] -= 1;
                let unread = self.read_answers[domain];
                self.simulations[domain].remove_answer(unread);
            }
            job.plan.record_end(Some(&answer.end), answer.at);
            self.advance_job(position);
        }
    }

    /// Carries out the actions of a job's plan until the job is in a pool, waits or is answered.
    fn advance_job(&mut self, position: usize) {
        let now = self.now();
        loop {
            let (local_domain, caller_process) = (
                self.jobs[position].local_domain,
                self.jobs[position].process,
            );
            let directory = DomainDirectory {
                view: &self.views[local_domain][caller_process],
                ledger: &self.ledgers[local_domain][caller_process],
                names: &self.names,
                is_evacuated: &self.is_evacuated,
                local_domain,
                spillover_policy: self.spillover_policy,
                now,
            };
            match self.jobs[position].plan.next_action(&directory, now) {
                offer_plan::OfferAction::Offer { process, terms } => {
                    let domain = self.names.iter().position(|name| *name == process);
                    let end = domain.map_or(Some(job_model::JobEnd::NotLeader), |domain| {
                        self.submit_offer(domain, position, terms)
                    });
                    let job = &mut self.jobs[position];
                    if end.is_none() {
                        job.offered_to = domain.map(|domain| (domain, now));
                        job.is_remote |= domain != Some(job.local_domain);
                        if let Some(domain) = domain.filter(|domain| *domain != local_domain) {
                            self.ledgers[local_domain][caller_process].record_sent(
                                &self.names[domain],
                                job.arrival.offer.spec.ready_cpu_millis(),
                                now,
                            );
                        }
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
            source: Arc::from(format!("{}-{}", self.names[job.local_domain], job.process)),
            ..job.arrival.offer.clone()
        };
        let simulation = &mut self.simulations[domain];
        let answers_before = simulation.answers.len();
        simulation.submit(0, &offer, job.arrival.task_profile);
        let ended = simulation.answers[answers_before..]
            .iter()
            .position(|answer| answer.job == offer.spec.id)?;
        Some(simulation.remove_answer(answers_before + ended).end)
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
            let arrival = &self.jobs[position].arrival;
            let free_tasks: usize = self
                .simulations
                .iter()
                .map(|simulation| simulation.free_task_count(arrival.task_profile.cpu_millis))
                .sum();
            if free_tasks >= arrival.offer.spec.task_count() {
                self.refused_with_room += 1;
            }
            for simulation in &mut self.simulations {
                simulation.push_answer(caller_answer.clone());
            }
        }
        self.jobs[position].answer = Some(caller_answer);
    }

    fn late_starts(&self, domain: usize) -> usize {
        let Some(evacuated_at) = self.evacuations[domain] else {
            return 0;
        };
        self.simulations[domain]
            .decisions
            .iter()
            .filter(|(at, decision)| {
                decision.kind == pool_action::DecisionKind::Placed
                    && *at > evacuated_at + EVACUATION_GRACE
            })
            .count()
    }

    fn summarise(&self) -> DomainReport {
        let mut tally = replay_tally::ReplayTally::new(self.simulations.len(), WARM_UP_TIME);
        for simulation in &self.simulations {
            tally.add_history(simulation.servers.values());
        }
        for job in &self.jobs {
            tally.add_job(job.local_domain, &job.arrival, job.answer.as_ref());
        }
        DomainReport {
            replay: tally.report(
                self.refused_with_room,
                self.simulations
                    .iter()
                    .flat_map(|simulation| simulation.violations.iter().cloned())
                    .collect(),
            ),
            remote_jobs: self.jobs.iter().filter(|job| job.is_remote).count(),
            late_starts: (0..self.simulations.len())
                .map(|domain| self.late_starts(domain))
                .collect(),
        }
    }
}
