//! Jobs that this pool has refused and that their coordinators may be offering to other pools.
//!
//! A balancer may send one request to two processes at the same instant. If the pool refused one copy,
//! which another pool then runs, and admitted the other, two runs of a task would overlap. The pool
//! therefore decides for the id: for a while, only the source of the refused offer may offer the job.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time,
};

use super::ServerPool;
use crate::{job_model, pool_action};

/// Maximum number of recorded refusals: the longest recorded time of a pool that refuses 30,000 offers a
/// second. Further jobs are refused with a reason after which no other pool is tried.
const MAX_RECORDED_REFUSALS: usize = 32_768;

/// Caller's coordinator that waits for the end of a job.
#[derive(Clone, Debug)]
pub(super) struct JobWaiter {
    pub(super) id: pool_action::WaiterId,
    /// Name of the VM whose process offered the job.
    pub(super) source: Arc<str>,
    /// Connection over which the job was offered.
    pub(super) session: job_model::OfferSession,
    /// Time at which the offer was sent.
    pub(super) offered_at: time::Duration,
}

impl JobWaiter {
    /// Creates the waiter `id` for the coordinator that sent `offer`.
    pub(super) fn new(id: pool_action::WaiterId, offer: &job_model::JobOffer) -> Self {
        Self {
            id,
            source: Arc::clone(&offer.source),
            session: offer.session,
            offered_at: offer.sent_at,
        }
    }
}

/// Refusal that is still recorded.
#[derive(Clone, Debug)]
struct RecordedRefusal {
    /// Name of the VM whose process may offer the job to other pools.
    source: Arc<str>,
    recorded_until: time::Duration,
}

/// Refusals of jobs that may be offered to other pools, by job id.
#[derive(Clone, Debug, Default)]
pub(super) struct ReleasedJobs {
    refusals: HashMap<Arc<str>, RecordedRefusal>,
    /// Ids of `refusals` in the order of `recorded_until`. A job that is refused again has one entry
    /// for each refusal.
    expiries: VecDeque<(time::Duration, Arc<str>)>,
}

impl ReleasedJobs {
    /// Records that `source` may offer `job` to other pools. Returns false if there are too many records.
    fn record(
        &mut self,
        job: &Arc<str>,
        source: &Arc<str>,
        recorded_until: time::Duration,
        now: time::Duration,
    ) -> bool {
        self.prune(now);
        if self.expiries.len() >= MAX_RECORDED_REFUSALS {
            return false;
        }
        self.expiries.push_back((recorded_until, Arc::clone(job)));
        let refusal = RecordedRefusal {
            source: Arc::clone(source),
            recorded_until,
        };
        self.refusals.insert(Arc::clone(job), refusal);
        true
    }

    /// Whether a process other than `source` may be offering `job` to other pools.
    pub(super) fn is_with_another_source(
        &self,
        job: &str,
        source: &str,
        now: time::Duration,
    ) -> bool {
        self.refusals
            .get(job)
            .is_some_and(|refusal| now < refusal.recorded_until && &*refusal.source != source)
    }

    /// Removes the record of `job`, which its source has offered here again.
    pub(super) fn remove(&mut self, job: &str) {
        self.refusals.remove(job);
    }

    /// Removes expired records.
    pub(super) fn prune(&mut self, now: time::Duration) {
        while let Some((_, job)) = self.expiries.pop_front_if(|(until, _)| *until <= now) {
            let is_expired = self
                .refusals
                .get(&job)
                .is_some_and(|refusal| refusal.recorded_until <= now);
            if is_expired {
                self.refusals.remove(&job);
            }
        }
    }
}

impl ServerPool {
    /// Returns the end to tell to the only coordinator that may offer `job` to other pools after `end`,
    /// and records its `source` if `end` permits that.
    pub(super) fn release_job(
        &mut self,
        job: &Arc<str>,
        source: &Arc<str>,
        end: job_model::JobEnd,
        now: time::Duration,
    ) -> job_model::JobEnd {
        let recorded_until = now + self.settings.release_time;
        match end {
            job_model::JobEnd::Refused {
                reason,
                retry_after,
            } if lets_other_pools_be_tried(reason)
                && !self.released_jobs.record(job, source, recorded_until, now) =>
            {
                job_model::JobEnd::Refused {
                    reason: job_model::RefusalReason::NoPool,
                    retry_after,
                }
            }
            other => other,
        }
    }
}

/// Returns the end to tell to all but one of the coordinators that wait for a job, of which only one may
/// offer it to other pools after `end`.
pub(super) fn end_for_other_waiters(end: &job_model::JobEnd) -> job_model::JobEnd {
    match end {
        job_model::JobEnd::Refused {
            reason,
            retry_after,
        } if lets_other_pools_be_tried(*reason) => job_model::JobEnd::Refused {
            reason: job_model::RefusalReason::CopyElsewhere,
            retry_after: *retry_after,
        },
        // They may be offered to different pools from here on.
        job_model::JobEnd::NotLeader => job_model::JobEnd::PoolLost,
        other => other.clone(),
    }
}

/// Whether coordinators offer a job to other pools after a refusal with `reason`.
fn lets_other_pools_be_tried(reason: job_model::RefusalReason) -> bool {
    match reason {
        job_model::RefusalReason::QueueTooLong
        | job_model::RefusalReason::NoSuitableServer
        | job_model::RefusalReason::ExpiredInQueue
        | job_model::RefusalReason::Evacuated => true,
        job_model::RefusalReason::NoPool | job_model::RefusalReason::CopyElsewhere => false,
    }
}
