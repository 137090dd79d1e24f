//! Offers of a caller's job to server pools: to which pool it is offered next, on which terms, when
//! it waits, and with which answer it ends.
//!
//! The home pool of a job leads the shard of its id in the failure domain where the caller came in.
//! It is asked first; other pools are asked only after it has refused the job.

use std::{sync::Arc, time};

use smallvec::SmallVec;

use crate::{job_model, leadership, pool_room, retry_advice};

/// Pause before a job is offered again after the home pool was lost or no leader was found.
const OFFER_RETRY_PAUSE: time::Duration = time::Duration::from_millis(25);
/// Maximum number of other pools that a job is offered to on the same terms.
const MAX_SPILLOVER_OFFERS: usize = 2;
/// Time after its offer from which a refusal shows that the job was queued in the pool. A refusal on
/// arrival takes a round trip.
const MIN_QUEUED_TIME: time::Duration = time::Duration::from_millis(50);
/// Age of a room update up to which it counts in full; the room counts in inverse proportion to the age
/// beyond that.
const ROOM_VALIDITY: time::Duration = time::Duration::from_millis(500);
/// Difference up to which forecast waits count as equal: they change by about as much between two
/// updates of a pool that is in use, which are 0.25 s apart.
const WAIT_TOLERANCE: time::Duration = time::Duration::from_millis(100);
/// Assumed wait in a pool with queued jobs that sends no room, as processes of earlier releases.
const UNKNOWN_QUEUE_WAIT: time::Duration = time::Duration::from_secs(1);
/// Number of different hashes from which a draw is made.
const DRAW_RANGE: f64 = (1_u64 << 32) as f64;

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
    /// Room that the pool has last sent, or `None` if its release sends none.
    pub room: Option<pool_room::PoolRoom>,
    /// Time since the pool sent the room, or a status that confirms it.
    pub room_age: time::Duration,
    /// Processor of the jobs that this process has sent to the pool since then, in thousandths of a
    /// core.
    pub sent_cpu_millis: u32,
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

/// Processes of pools, the first choice last.
type ProcessStack = SmallVec<[Arc<str>; MAX_SPILLOVER_OFFERS]>;

#[derive(Clone, Debug)]
enum OfferStage {
    /// The plan has not decided anything yet.
    New,
    /// The home pool is asked on these terms.
    Home(job_model::OfferTerms),
    /// Other pools are asked on these terms.
    Others(job_model::OfferTerms, ProcessStack),
    /// The job was refused after it had been queued in a pool, and is to be offered to others.
    Moving,
    Answered(JobAnswer),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HomeStep {
    /// Offer the job to the home pool.
    Offer,
    /// Pause after an attempt that found no home pool or lost it, unless it was waited for long enough.
    Pause,
    /// Ask other pools or answer, as the home pool has refused the job.
    Leave,
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
    /// What follows while the home pool is asked.
    home_step: HomeStep,
    /// Time of the first attempt in this stage that found no home pool or lost it.
    home_missing_since: Option<time::Duration>,
    /// Refusal with which the home pool last ended the job.
    home_refusal: Option<JobRefusal>,
    /// Whether the home pool may be asked on the terms `Useful`: it was not, and has not refused the job
    /// after it had been queued there.
    may_ask_home_usefully: bool,
    /// Process of another pool that was asked on the terms `Useful` because of its shorter wait.
    usefully_asked: Option<Arc<str>>,
    /// Refusal of another pool, because of its queue, with the shortest `retry_after`.
    other_refusal: Option<JobRefusal>,
    /// Process of the pool that the job was last offered to, with the time of the offer.
    last_offer: Option<(Arc<str>, time::Duration)>,
    /// Process of the pool that refused the job after it had been queued there.
    left_process: Option<Arc<str>>,
}

impl OfferPlan {
    /// Creates a plan for a job that has not been offered to any pool.
    pub fn new(spec: Arc<job_model::JobSpec>, limits: PlanLimits) -> Self {
        Self {
            spec,
            limits,
            stage: OfferStage::New,
            home_step: HomeStep::Offer,
            offered_shards: leadership::ShardSet::default(),
            lost_shards: leadership::ShardSet::default(),
            may_have_started: false,
            home_missing_since: None,
            home_refusal: None,
            may_ask_home_usefully: true,
            usefully_asked: None,
            other_refusal: None,
            last_offer: None,
            left_process: None,
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
        let action = self.decide(pools, now);
        if let OfferAction::Offer { process, .. } = &action {
            self.last_offer = Some((Arc::clone(process), now));
        }
        action
    }

    fn decide(&mut self, pools: &dyn PoolDirectory, now: time::Duration) -> OfferAction {
        loop {
            match &mut self.stage {
                OfferStage::New => {
                    let terms = if self.has_alternative(pools, now) {
                        job_model::OfferTerms::AtOnce
                    } else {
                        job_model::OfferTerms::Useful
                    };
                    self.stage = OfferStage::Home(terms);
                }
                OfferStage::Home(terms) => {
                    let terms = *terms;
                    if let Some(action) = self.next_home_action(terms, pools, now) {
                        return action;
                    }
                    self.leave_home(terms, pools, now);
                }
                OfferStage::Others(terms, processes) => {
                    let terms = *terms;
                    if let Some(process) = processes.pop() {
                        return OfferAction::Offer { process, terms };
                    }
                    self.leave_others(terms, pools, now);
                }
                OfferStage::Moving => {
                    let processes = self.drawn_pools(pools);
                    self.stage = OfferStage::Others(job_model::OfferTerms::AtOnce, processes);
                }
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
            }) => {
                let refusal = JobRefusal {
                    reason: *reason,
                    retry_after: *retry_after,
                };
                if is_home {
                    self.home_step = HomeStep::Leave;
                    self.home_refusal = Some(refusal);
                } else {
                    self.record_other_refusal(refusal);
                }
                self.move_if_queued(is_home, *reason, now);
            }
            Some(job_model::JobEnd::NotLeader) if is_home => self.record_missing_home(now),
            Some(job_model::JobEnd::NotLeader) => {}
        }
    }

    fn answer(&mut self, answer: JobAnswer) {
        self.stage = OfferStage::Answered(answer);
    }

    /// Offers the job to other pools, once, if its last pool had queued it before it refused it.
    fn move_if_queued(
        &mut self,
        is_home: bool,
        reason: job_model::RefusalReason,
        now: time::Duration,
    ) {
        let may_run_in_others = matches!(
            reason,
            job_model::RefusalReason::Evacuated | job_model::RefusalReason::QueueTooLong
        );
        match &self.last_offer {
            Some((process, offered_at))
                if may_run_in_others
                    && !self.may_have_started
                    && self.left_process.is_none()
                    && now >= *offered_at + MIN_QUEUED_TIME =>
            {
                self.left_process = Some(Arc::clone(process));
                self.may_ask_home_usefully &= !is_home;
                self.stage = OfferStage::Moving;
            }
            _ => {}
        }
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
        if self.home_step == HomeStep::Leave {
            return None;
        }
        if self.home_step == HomeStep::Offer {
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
        self.home_step = HomeStep::Offer;
        let missing_since = self.home_missing_since.unwrap_or(now);
        if now > missing_since + self.limits.leader_wait
            || now + OFFER_RETRY_PAUSE > self.limits.answer_deadline
        {
            return None;
        }
        Some(OfferAction::Wait(OFFER_RETRY_PAUSE))
    }

    fn record_missing_home(&mut self, now: time::Duration) {
        self.home_step = HomeStep::Pause;
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
        let is_useful = terms == job_model::OfferTerms::Useful;
        self.may_ask_home_usefully &= !is_useful;
        match self.home_refusal {
            // Runs of the job may continue on servers of the lost pool, which other pools may not hold.
            _ if self.may_have_started => {
                self.answer(JobAnswer::Failed(job_model::FailureReason::PoolLost));
            }
            // A copy that the caller sent earlier may run on servers of the home pool.
            Some(refusal) if refusal.reason == job_model::RefusalReason::NoPool => {
                self.answer(JobAnswer::Refused {
                    reason: refusal.reason,
                    retry_after: refusal.retry_after,
                });
            }
            // The home pool is full, as others may be. All of them refuse some jobs then, and a job that
            // is offered to others shares the loss with their callers.
            Some(refusal)
                if is_useful && refusal.reason == job_model::RefusalReason::QueueTooLong =>
            {
                let processes = self.drawn_full_pools(pools, now);
                self.stage = OfferStage::Others(job_model::OfferTerms::Useful, processes);
            }
            Some(_) if is_useful && !self.is_home_evacuated() => self.refuse(),
            Some(_) => {
                let processes = self.drawn_pools(pools);
                self.stage = OfferStage::Others(job_model::OfferTerms::AtOnce, processes);
            }
            None if now + OFFER_RETRY_PAUSE > self.limits.answer_deadline => self.refuse(),
            None => {
                let processes = self.rendezvous_pools(pools);
                self.stage = OfferStage::Others(job_model::OfferTerms::Useful, processes);
            }
        }
    }

    /// Returns whether the home pool refused the job because its failure domain is evacuated.
    fn is_home_evacuated(&self) -> bool {
        self.home_refusal
            .is_some_and(|refusal| refusal.reason == job_model::RefusalReason::Evacuated)
    }

    /// Decides what follows after other pools have refused the job on `terms`: the pool with the shortest
    /// wait is asked on the terms `Useful`, and the home pool last, if its refusal depends on the terms.
    fn leave_others(
        &mut self,
        terms: job_model::OfferTerms,
        pools: &dyn PoolDirectory,
        now: time::Duration,
    ) {
        let may_ask_home = self.may_ask_home_usefully
            && self
                .home_refusal
                .is_some_and(|refusal| refusal.reason == job_model::RefusalReason::QueueTooLong);
        let has_expired = self
            .home_refusal
            .is_some_and(|refusal| refusal.reason == job_model::RefusalReason::ExpiredInQueue);
        // A job that is moved because of a queue has little time left: late in another pool, it would take
        // capacity that a job in time needs there.
        let is_moved_too_late = self.left_process.is_some() && !self.is_home_evacuated();
        match terms {
            _ if is_moved_too_late => self.refuse(),
            job_model::OfferTerms::AtOnce if !has_expired => {
                let home_wait = self.home_refusal.filter(|_| may_ask_home).map(|refusal| {
                    retry_advice::wait_before_jitter(&self.spec.id, refusal.retry_after)
                });
                let processes = self.shortest_waits(pools, home_wait, now);
                self.usefully_asked = processes.last().cloned();
                self.stage = OfferStage::Others(job_model::OfferTerms::Useful, processes);
            }
            job_model::OfferTerms::AtOnce | job_model::OfferTerms::Useful if may_ask_home => {
                self.home_step = HomeStep::Offer;
                self.home_missing_since = None;
                self.stage = OfferStage::Home(job_model::OfferTerms::Useful);
            }
            job_model::OfferTerms::AtOnce | job_model::OfferTerms::Useful => self.refuse(),
        }
    }

    /// Refuses the job with the shortest `retry_after` of the pools' refusals. A home pool that has no
    /// suitable server, or starts nothing, does not say when there is capacity.
    fn refuse(&mut self) {
        let home_refusal = self.home_refusal.filter(|refusal| {
            let shows_capacity = !matches!(
                refusal.reason,
                job_model::RefusalReason::Evacuated | job_model::RefusalReason::NoSuitableServer
            );
            shows_capacity || self.other_refusal.is_none()
        });
        let refusal = [home_refusal, self.other_refusal]
            .into_iter()
            .flatten()
            .min_by_key(|refusal| refusal.retry_after)
            .unwrap_or(JobRefusal {
                reason: job_model::RefusalReason::NoPool,
                retry_after: self.limits.leader_wait,
            });
        self.answer(JobAnswer::Refused {
            reason: refusal.reason,
            retry_after: refusal.retry_after,
        });
    }

    /// Returns whether a pool other than the home pool might start the job, now or later.
    fn has_alternative(&self, pools: &dyn PoolDirectory, now: time::Duration) -> bool {
        pools.other_pools().iter().any(|pool| {
            self.is_candidate(pool)
                && (self.startable_jobs(pool) >= 1.0
                    || (pool.room.is_some() && self.useful_wait(pool, now).is_some()))
        })
    }

    /// Returns up to `MAX_SPILLOVER_OFFERS` other pools that have room for the job, the first choice last.
    /// They are drawn in proportion to their room by a hash of the job's id. If the home domain is
    /// evacuated, near ones come first, and pools without room for the whole job follow: they may start
    /// it almost at once, which the home pool can't.
    fn drawn_pools(&self, pools: &dyn PoolDirectory) -> ProcessStack {
        let is_evacuated = self.is_home_evacuated();
        let mut ranked: SmallVec<[_; 4]> = pools
            .other_pools()
            .into_iter()
            .filter(|pool| self.is_candidate(pool))
            .map(|pool| (self.startable_jobs(&pool), pool))
            .filter(|(room, _)| *room >= 1.0 || is_evacuated)
            .map(|(room, pool)| {
                let rank = self.draw_rank(&pool.process, room);
                let lacks_room = room < 1.0;
                (
                    lacks_room,
                    is_evacuated && !pool.is_near,
                    rank,
                    pool.process,
                )
            })
            .collect();
        ranked.sort_unstable();
        first_choices(ranked.into_iter().map(|(.., process)| process))
    }

    /// Returns up to `MAX_SPILLOVER_OFFERS` other pools that are forecast to start the job while it is
    /// useful, the one with the shortest wait last. With the wait `home_wait` in the home pool, returns
    /// at most one, whose wait is shorter. Pools with equal waits are drawn in proportion to their
    /// capacity by a hash of the job's id; if the home domain is evacuated, near ones come first.
    fn shortest_waits(
        &self,
        pools: &dyn PoolDirectory,
        home_wait: Option<time::Duration>,
        now: time::Duration,
    ) -> ProcessStack {
        let is_evacuated = self.is_home_evacuated();
        let mut waits: SmallVec<[_; 4]> = pools
            .other_pools()
            .into_iter()
            .filter(|pool| self.is_candidate(pool))
            .filter_map(|pool| Some((self.useful_wait(&pool, now)?, pool)))
            .filter(|(wait, pool)| {
                home_wait.is_none_or(|home_wait| {
                    pool.room.is_some() && *wait + WAIT_TOLERANCE < home_wait
                })
            })
            .collect();
        let shortest = waits
            .iter()
            .map(|(wait, _)| *wait)
            .min()
            .unwrap_or_default();
        waits.sort_by_cached_key(|(wait, pool)| {
            let excess = wait.saturating_sub(shortest + WAIT_TOLERANCE);
            let rank = self.draw_rank(&pool.process, f64::from(pool.total_cpu_millis));
            (excess, is_evacuated && !pool.is_near, rank)
        });
        let max_count = match home_wait {
            Some(_) => 1,
            None => MAX_SPILLOVER_OFFERS,
        };
        first_choices(
            waits
                .into_iter()
                .map(|(_, pool)| pool.process)
                .take(max_count),
        )
    }

    /// Returns up to `MAX_SPILLOVER_OFFERS` other pools that were not asked on the terms `Useful`, drawn in
    /// proportion to capacity by a hash of the job's id, the first choice last.
    fn drawn_full_pools(&self, pools: &dyn PoolDirectory, now: time::Duration) -> ProcessStack {
        let mut others = pools.other_pools();
        others.retain(|pool| {
            self.is_candidate(pool)
                && pool.room.is_some()
                && self.usefully_asked.as_ref() != Some(&pool.process)
                && self.useful_wait(pool, now).is_some()
        });
        others.sort_by_cached_key(|pool| {
            self.draw_rank(&pool.process, f64::from(pool.total_cpu_millis))
        });
        first_choices(others.into_iter().map(|pool| pool.process))
    }

    /// Returns up to `MAX_SPILLOVER_OFFERS` pools of other failure domains, one in each, that lead the
    /// job's shard there, the first choice last. They are in the order of a rendezvous hash of the job's
    /// id, so that copies of the job meet in the same pool, which then decides for the id.
    fn rendezvous_pools(&self, pools: &dyn PoolDirectory) -> ProcessStack {
        let mut others = pools.other_pools();
        others.retain(|pool| !pool.is_local && pool.shards.contains_id(&self.spec.id));
        others.sort_by_cached_key(|pool| self.draw_rank(&pool.failure_domain, 1.0));
        first_choices(others.into_iter().map(|pool| pool.process))
    }

    /// Returns how many jobs like this one the pool could start now, each with all its ready tasks.
    fn startable_jobs(&self, pool: &OtherPool) -> f64 {
        let Some(room) = pool.room else {
            // Earlier releases send only the sum of free processor: the job has to fit as before.
            let largest = self.largest_task_cpu_millis();
            return match pool.queued_jobs {
                0 => f64::from(pool.free_cpu_millis / largest),
                _ => 0.0,
            };
        };
        let age = pool.room_age.max(ROOM_VALIDITY);
        let validity = ROOM_VALIDITY.as_secs_f64() / age.as_secs_f64();
        let used_share: f64 = self
            .spec
            .steps
            .iter()
            .filter(|step| step.depends_on.is_empty())
            .map(|step| {
                let sent_tasks = pool.sent_cpu_millis / step.cpu_millis.max(1);
                let startable = room
                    .startable_tasks(step.cpu_millis)
                    .saturating_sub(sent_tasks);
                f64::from(step.task_count.max(1)) / (f64::from(startable) * validity)
            })
            .sum();
        1.0 / used_share
    }

    /// Returns the forecast wait of the job in the pool, or `None` if the pool could not run it or the
    /// job would end after its deadline.
    fn useful_wait(&self, pool: &OtherPool, now: time::Duration) -> Option<time::Duration> {
        let run_times: SmallVec<[time::Duration; 4]> = self
            .spec
            .steps
            .iter()
            .map(job_model::StepSpec::estimate)
            .collect();
        let critical_path = self.spec.critical_path(&run_times);
        let wait = match pool.room {
            Some(room) if room.largest_cpu_millis < self.largest_task_cpu_millis() => return None,
            Some(room) => {
                // Callers declare the run times of their jobs, and the pool its capacity.
                let sent_wait = critical_path.saturating_mul(pool.sent_cpu_millis)
                    / pool.total_cpu_millis.max(1);
                let stale_wait = pool.room_age.saturating_sub(ROOM_VALIDITY);
                time::Duration::from_millis(u64::from(room.queue_wait_ms))
                    .saturating_add(sent_wait)
                    .saturating_add(stale_wait)
            }
            None if pool.queued_jobs == 0 => time::Duration::ZERO,
            None => UNKNOWN_QUEUE_WAIT,
        };
        let end = now.saturating_add(wait).saturating_add(critical_path);
        (end <= self.limits.answer_deadline).then_some(wait)
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

    /// Returns whether the job may be offered to `pool`, which is not its home pool.
    fn is_candidate(&self, pool: &OtherPool) -> bool {
        self.is_other_pool(pool) && self.left_process.as_ref() != Some(&pool.process)
    }

    /// Returns whether `pool` is certainly not the home pool of the job.
    fn is_other_pool(&self, pool: &OtherPool) -> bool {
        !pool.is_local || (!pool.shards.is_empty() && !pool.shards.contains_id(&self.spec.id))
    }
}

fn first_choices(processes: impl Iterator<Item = Arc<str>>) -> ProcessStack {
    let mut stack: ProcessStack = processes.take(MAX_SPILLOVER_OFFERS).collect();
    stack.reverse();
    stack
}
