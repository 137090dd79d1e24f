//! Offers of a caller's job to server pools: to which pool it is offered next, on which terms, when
//! it waits, and with which answer it ends.
//!
//! The home pool of a job leads the shard of its id in the failure domain where the caller came in.
//! It is asked first; other pools are asked only after it has refused the job.

use std::{cmp, sync::Arc, time};

use smallvec::SmallVec;

use crate::{job_model, leadership};

/// Pause before a job is offered again after the home pool was lost or no leader was found.
const OFFER_RETRY_PAUSE: time::Duration = time::Duration::from_millis(25);
/// Maximum number of other pools that a job is offered to on the terms `AtOnce`.
const MAX_SPILLOVER_OFFERS: usize = 2;
/// Number of different hashes from which a draw is made.
const DRAW_RANGE: f64 = (1_u64 << 32) as f64;
/// Units in which queued jobs for each thousandth of a core are compared: a core has a thousand of
/// them, and tasks of up to a hundred cores should still make a difference of several units.
const QUEUE_LENGTH_UNITS: u64 = 1_000_000;

/// Answer to the caller of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobAnswer {
    /// All tasks of the job have completed.
    Completed,
    /// The job failed; some of its tasks may have run.
    Failed(job_model::FailureReason),
    /// The job was refused: none of its tasks has run or will run.
    Refused {
        /// Reason of the refusal.
        reason: job_model::RefusalReason,
        /// Time after which the caller may submit the job again.
        retry_after: time::Duration,
    },
    /// A copy of the job may be running on behalf of another process, so it was offered nowhere else.
    CopyElsewhere,
}

/// Pool of the process that leads the job's shard in the local failure domain or, if none does, of
/// the likely next leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HomePool {
    /// Name of the VM whose process runs the pool.
    pub process: Arc<str>,
    /// Shards of the failure domain that the pool leads; empty until its process reports them.
    pub shards: leadership::ShardSet,
}

impl HomePool {
    /// Returns the reported shards, or all shards if none are reported: it is then assumed that
    /// the process is the next leader of a failure domain with a single leader.
    fn assumed_shards(&self) -> leadership::ShardSet {
        if self.shards.is_empty() {
            leadership::ShardSet::ALL
        } else {
            self.shards
        }
    }
}

/// Pool of another connected process that holds servers and is not about to stop. Its failure domain
/// is not evacuated.
#[derive(Clone, Debug, PartialEq)]
pub struct OtherPool {
    /// Name of the VM whose process runs the pool.
    pub process: Arc<str>,
    /// Failure domain of the pool.
    pub failure_domain: Arc<str>,
    /// Whether that is the local failure domain.
    pub is_local: bool,
    /// Whether the failure domain of the pool is in the region of the local one.
    pub is_near: bool,
    /// Shards of its failure domain that the pool leads.
    pub shards: leadership::ShardSet,
    /// Free processor capacity of the pool, in thousandths of a core.
    pub free_cpu_millis: u32,
    /// Total processor capacity of the pool, in thousandths of a core.
    pub total_cpu_millis: u32,
    /// Number of queued jobs in the pool.
    pub queued_jobs: u32,
}

/// Pools that a process can offer jobs to.
pub trait PoolDirectory {
    /// Returns the home pool of the job `id`, or `None` if there is no link to its process.
    fn home_pool(&self, id: &str) -> Option<HomePool>;

    /// Returns the pools of other processes, in the order of their names. A pool that leads the job's
    /// shard in the local failure domain may be among them.
    fn other_pools(&self) -> SmallVec<[OtherPool; 4]>;
}

/// What the coordinator of a job has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferAction {
    /// Offer the job to the pool of `process` and pass its end to [`OfferPlan::record_end`].
    Offer {
        /// Name of the VM whose process runs the pool.
        process: Arc<str>,
        /// Terms of the offer.
        terms: job_model::OfferTerms,
    },
    /// Wait for this time, then ask again.
    Wait(time::Duration),
    /// Answer the caller.
    Answer(JobAnswer),
}

/// Limits of the time that a job may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanLimits {
    /// Latest time at which the answer can be sent so that it reaches the caller before the deadline.
    pub answer_deadline: time::Duration,
    /// Maximum time that a job waits for a leader of its failure domain.
    pub leader_wait: time::Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct JobRefusal {
    reason: job_model::RefusalReason,
    retry_after: time::Duration,
}

impl JobRefusal {
    fn answer(self) -> JobAnswer {
        JobAnswer::Refused {
            reason: self.reason,
            retry_after: self.retry_after,
        }
    }
}

#[derive(Clone, Debug)]
enum OfferStage {
    /// The plan has not decided anything yet.
    New,
    /// The home pool is asked on these terms.
    Home(job_model::OfferTerms),
    /// Other pools are asked on the terms `AtOnce`, the last one first.
    Others(SmallVec<[Arc<str>; MAX_SPILLOVER_OFFERS]>),
    /// The home domain is evacuated or has no pool, and other pools are asked on the terms `Useful`, the
    /// last one first.
    UsefulOthers(SmallVec<[Arc<str>; MAX_SPILLOVER_OFFERS]>),
    Answered(JobAnswer),
}

/// State machine that decides on the offers of one job.
#[derive(Debug)]
pub struct OfferPlan {
    spec: Arc<job_model::JobSpec>,
    limits: PlanLimits,
    stage: OfferStage,
    /// Assumed shards of the home pool that the job was last offered to.
    offered_shards: leadership::ShardSet,
    /// Shards of the home pools that were lost while they had the job.
    lost_shards: leadership::ShardSet,
    /// Whether a home pool that was lost may have started tasks of the job.
    may_have_started: bool,
    /// Whether the last attempt to reach the home pool failed, so that a pause precedes the next one.
    has_failed_attempt: bool,
    /// Time of the first attempt in this stage that found no home pool or lost it.
    home_missing_since: Option<time::Duration>,
    /// Refusal with which the home pool last ended the job.
    home_refusal: Option<JobRefusal>,
    /// Refusal of another pool, because of its queue, with the shortest `retry_after`.
    other_refusal: Option<JobRefusal>,
}

impl OfferPlan {
    /// Creates a plan for a job that has not been offered to any pool.
    pub fn new(spec: Arc<job_model::JobSpec>, limits: PlanLimits) -> Self {
        Self {
            spec,
            limits,
            stage: OfferStage::New,
            has_failed_attempt: false,
            offered_shards: leadership::ShardSet::default(),
            lost_shards: leadership::ShardSet::default(),
            may_have_started: false,
            home_missing_since: None,
            home_refusal: None,
            other_refusal: None,
        }
    }

    /// Returns the job.
    pub fn spec(&self) -> &Arc<job_model::JobSpec> {
        &self.spec
    }

    /// Returns whether a lost pool may have started tasks of the job.
    pub fn may_have_started(&self) -> bool {
        self.may_have_started
    }

    /// Returns what to do next at `now`. After [`OfferAction::Offer`], it may only be called again when
    /// the end of the offer has been recorded.
    pub fn next_action(&mut self, pools: &dyn PoolDirectory, now: time::Duration) -> OfferAction {
        loop {
            match &mut self.stage {
                OfferStage::New => {
                    let has_others = !self.spillover_pools(pools).is_empty();
                    self.stage = OfferStage::Home(if has_others {
                        job_model::OfferTerms::AtOnce
                    } else {
                        job_model::OfferTerms::Useful
                    });
                }
                OfferStage::Home(terms) => {
                    let terms = *terms;
                    if let Some(action) = self.next_home_action(terms, pools, now) {
                        return action;
                    }
                    self.leave_home(terms, pools, now);
                }
                OfferStage::Others(processes) => match processes.pop() {
                    Some(process) => {
                        return OfferAction::Offer {
                            process,
                            terms: job_model::OfferTerms::AtOnce,
                        };
                    }
                    None => self.leave_others(pools),
                },
                OfferStage::UsefulOthers(processes) => match processes.pop() {
                    Some(process) => {
                        return OfferAction::Offer {
                            process,
                            terms: job_model::OfferTerms::Useful,
                        };
                    }
                    None => self.leave_useful_others(),
                },
                OfferStage::Answered(answer) => return OfferAction::Answer(*answer),
            }
        }
    }

    /// Records the end of the last offer at `now`, or `None` if the connection to the pool was lost, so
    /// that the job's end is unknown.
    pub fn record_end(&mut self, end: Option<&job_model::JobEnd>, now: time::Duration) {
        let is_home = matches!(self.stage, OfferStage::Home(_));
        match end {
            Some(job_model::JobEnd::Completed) => self.answer(JobAnswer::Completed),
            Some(job_model::JobEnd::Failed(reason)) => self.answer(JobAnswer::Failed(*reason)),
            Some(job_model::JobEnd::PoolLost) | None if is_home => {
                self.may_have_started = true;
                self.lost_shards = self.lost_shards.union(self.offered_shards);
                self.record_missing_home(now);
            }
            // Runs of the job may continue on servers of the lost pool, which other pools don't hold.
            Some(job_model::JobEnd::PoolLost) | None => {
                self.answer(JobAnswer::Failed(job_model::FailureReason::PoolLost));
            }
            Some(job_model::JobEnd::Refused {
                reason: job_model::RefusalReason::CopyElsewhere,
                ..
            }) => self.answer(JobAnswer::CopyElsewhere),
            // The leader may soon know the servers, and find runs of the job on them.
            Some(job_model::JobEnd::Refused {
                reason: job_model::RefusalReason::NoPool,
                ..
            }) if is_home && self.may_have_started => self.record_missing_home(now),
            Some(job_model::JobEnd::Refused {
                reason,
                retry_after,
            }) if is_home => {
                self.home_refusal = Some(JobRefusal {
                    reason: *reason,
                    retry_after: *retry_after,
                });
            }
            Some(job_model::JobEnd::NotLeader) if is_home => self.record_missing_home(now),
            Some(job_model::JobEnd::Refused {
                reason,
                retry_after,
            }) => self.record_other_refusal(JobRefusal {
                reason: *reason,
                retry_after: *retry_after,
            }),
            Some(job_model::JobEnd::NotLeader) => {}
        }
    }

    fn answer(&mut self, answer: JobAnswer) {
        self.stage = OfferStage::Answered(answer);
    }

    /// Keeps the refusal of another pool if it shows when there is capacity, and earlier than those
    /// before.
    fn record_other_refusal(&mut self, refusal: JobRefusal) {
        let shows_capacity = refusal.reason == job_model::RefusalReason::QueueTooLong;
        let is_earliest = self
            .other_refusal
            .is_none_or(|earliest| refusal.retry_after < earliest.retry_after);
        if shows_capacity && is_earliest {
            self.other_refusal = Some(refusal);
        }
    }

    /// Returns what to do next while the home pool is asked on `terms`, or `None` if it has refused the
    /// job or is not waited for any longer.
    fn next_home_action(
        &mut self,
        terms: job_model::OfferTerms,
        pools: &dyn PoolDirectory,
        now: time::Duration,
    ) -> Option<OfferAction> {
        if self.home_refusal.is_some() {
            return None;
        }
        if !self.has_failed_attempt {
            match pools.home_pool(&self.spec.id) {
                // A leader that has not reported its shards may share those of the lost pool with others.
                Some(home) if home.shards.covers(self.lost_shards) => {
                    self.offered_shards = home.assumed_shards();
                    return Some(OfferAction::Offer {
                        process: home.process,
                        terms,
                    });
                }
                // Runs of the job may be on servers whose shards now have different leaders.
                Some(home) if home.shards.contains_id(&self.spec.id) => {
                    let answer = JobAnswer::Failed(job_model::FailureReason::PoolLost);
                    self.answer(answer);
                    return Some(OfferAction::Answer(answer));
                }
                // No process leads the job's shard yet, or there is no link to its leader.
                Some(_) | None => self.record_missing_home(now),
            }
        }
        self.has_failed_attempt = false;
        let missing_since = self.home_missing_since.unwrap_or(now);
        if now > missing_since + self.limits.leader_wait
            || now + OFFER_RETRY_PAUSE > self.limits.answer_deadline
        {
            return None;
        }
        Some(OfferAction::Wait(OFFER_RETRY_PAUSE))
    }

    fn record_missing_home(&mut self, now: time::Duration) {
        self.has_failed_attempt = true;
        self.home_missing_since.get_or_insert(now);
    }

    /// Decides what follows after the home pool was asked on `terms`. Only the reason `QueueTooLong`
    /// depends on the terms, so only after it the pool is asked again.
    fn leave_home(
        &mut self,
        terms: job_model::OfferTerms,
        pools: &dyn PoolDirectory,
        now: time::Duration,
    ) {
        let is_last = terms == job_model::OfferTerms::Useful && !self.is_home_evacuated();
        match self.home_refusal {
            // Runs of the job may continue on servers of the lost pool, which other pools may not hold.
            _ if self.may_have_started => {
                self.answer(JobAnswer::Failed(job_model::FailureReason::PoolLost));
            }
            // A copy that the caller sent earlier may run on servers of the home pool.
            Some(refusal) if is_last || refusal.reason == job_model::RefusalReason::NoPool => {
                self.answer(refusal.answer());
            }
            Some(_) => self.stage = OfferStage::Others(self.spillover_pools(pools)),
            None if now + OFFER_RETRY_PAUSE > self.limits.answer_deadline => {
                self.answer(self.no_pool_refusal().answer());
            }
            None => self.stage = OfferStage::UsefulOthers(self.rendezvous_pools(pools)),
        }
    }

    /// Returns whether the home pool refused the job because its failure domain is evacuated.
    fn is_home_evacuated(&self) -> bool {
        self.home_refusal
            .is_some_and(|refusal| refusal.reason == job_model::RefusalReason::Evacuated)
    }

    /// Decides what follows after other pools have refused the job on the terms `AtOnce`.
    fn leave_others(&mut self, pools: &dyn PoolDirectory) {
        match self.home_refusal {
            Some(refusal) if refusal.reason == job_model::RefusalReason::QueueTooLong => {
                self.home_refusal = None;
                self.home_missing_since = None;
                self.stage = OfferStage::Home(job_model::OfferTerms::Useful);
            }
            Some(refusal) if refusal.reason == job_model::RefusalReason::Evacuated => {
                self.stage = OfferStage::UsefulOthers(self.shortest_queues(pools));
            }
            Some(refusal) => self.answer(refusal.answer()),
            None => self.answer(self.no_pool_refusal().answer()),
        }
    }

    /// Refuses the job after the other pools have refused it on all terms. The home pool starts
    /// nothing or was not found, so its refusal does not say when there is capacity.
    fn leave_useful_others(&mut self) {
        let refusal = self
            .other_refusal
            .or(self.home_refusal)
            .unwrap_or_else(|| self.no_pool_refusal());
        self.answer(refusal.answer());
    }

    fn no_pool_refusal(&self) -> JobRefusal {
        JobRefusal {
            reason: job_model::RefusalReason::NoPool,
            retry_after: self.limits.leader_wait,
        }
    }

    /// Returns up to `MAX_SPILLOVER_OFFERS` other pools that could start the job at once, the first
    /// choice last: pools that have no queued jobs and whose free processor is enough for the largest
    /// task of the job. The most free processor comes first or, if the home domain is evacuated, near
    /// pools, and equally near ones in proportion to their free processor by a hash of the job's id.
    fn spillover_pools(
        &self,
        pools: &dyn PoolDirectory,
    ) -> SmallVec<[Arc<str>; MAX_SPILLOVER_OFFERS]> {
        let needed_cpu_millis = self.largest_task_cpu_millis();
        let mut others = pools.other_pools();
        others.retain(|pool| {
            self.is_other_pool(pool)
                && pool.free_cpu_millis >= needed_cpu_millis
                && pool.queued_jobs == 0
        });
        if self.is_home_evacuated() {
            others.sort_by_cached_key(|pool| {
                let room = f64::from(pool.free_cpu_millis / needed_cpu_millis);
                (!pool.is_near, self.draw_rank(&pool.process, room))
            });
        } else {
            others.sort_by_key(|pool| cmp::Reverse(pool.free_cpu_millis));
        }
        last_choice_first(others)
    }

    /// Returns up to `MAX_SPILLOVER_OFFERS` other pools with the shortest queues for their capacity, the
    /// shortest last, and near ones before others of the same length.
    fn shortest_queues(
        &self,
        pools: &dyn PoolDirectory,
    ) -> SmallVec<[Arc<str>; MAX_SPILLOVER_OFFERS]> {
        let mut others = pools.other_pools();
        others.retain(|pool| self.is_other_pool(pool));
        others.sort_by_cached_key(|pool| {
            let queue_length = u64::from(pool.queued_jobs) * QUEUE_LENGTH_UNITS
                / u64::from(pool.total_cpu_millis.max(1));
            let capacity = f64::from(pool.total_cpu_millis);
            (
                queue_length,
                !pool.is_near,
                self.draw_rank(&pool.process, capacity),
            )
        });
        last_choice_first(others)
    }

    /// Returns up to `MAX_SPILLOVER_OFFERS` pools of other failure domains, one in each, that lead the
    /// job's shard there, the first choice last. They are in the order of a rendezvous hash of the job's
    /// id, so that copies of the job meet in the same pool, which then decides for the id.
    fn rendezvous_pools(
        &self,
        pools: &dyn PoolDirectory,
    ) -> SmallVec<[Arc<str>; MAX_SPILLOVER_OFFERS]> {
        let mut others = pools.other_pools();
        others.retain(|pool| !pool.is_local && pool.shards.contains_id(&self.spec.id));
        others.sort_by_cached_key(|pool| self.draw_rank(&pool.failure_domain, 1.0));
        last_choice_first(others)
    }

    /// Returns the rank of `candidate` in a draw in which each one comes first with a probability in
    /// proportion to its `weight`; the lowest rank is first. The draw is a function of the job's id, so
    /// all processes draw alike.
    fn draw_rank(&self, candidate: &str, weight: f64) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.spec.id.as_bytes());
        hasher.update(b"/");
        hasher.update(candidate.as_bytes());
        let [a, b, c, d, ..] = *hasher.finalize().as_bytes();
        let uniform = (f64::from(u32::from_be_bytes([a, b, c, d])) + 0.5) / DRAW_RANGE;
        // The first of several exponential variables is each of them in proportion to their rates.
        let variable = -uniform.ln() / weight.max(f64::MIN_POSITIVE);
        // The bits of positive numbers are in the order of the numbers.
        variable.to_bits()
    }

    fn largest_task_cpu_millis(&self) -> u32 {
        self.spec
            .steps
            .iter()
            .map(|step| step.cpu_millis)
            .max()
            .unwrap_or(0)
            .max(1)
    }

    /// Returns whether `pool` is certainly not the home pool of the job.
    fn is_other_pool(&self, pool: &OtherPool) -> bool {
        !pool.is_local || (!pool.shards.is_empty() && !pool.shards.contains_id(&self.spec.id))
    }
}

fn last_choice_first(
    pools: SmallVec<[OtherPool; 4]>,
) -> SmallVec<[Arc<str>; MAX_SPILLOVER_OFFERS]> {
    let mut processes: SmallVec<[Arc<str>; MAX_SPILLOVER_OFFERS]> = pools
        .into_iter()
        .take(MAX_SPILLOVER_OFFERS)
        .map(|pool| pool.process)
        .collect();
    processes.reverse();
    processes
}
