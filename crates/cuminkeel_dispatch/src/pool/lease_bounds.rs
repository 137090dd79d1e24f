//! Bounds of leases: a run is over before its caller can send the job to another pool.
//!
//! A caller sends its job again `resend_delay` after it lost the connection to its coordinator or got an answer
//! that leaves the end of the job open, to a process of any failure domain. That pool can't see the runs on
//! the servers of this one. So this pool renews leases only up to `resend_delay` after the last sign
//! that the coordinator waited for the job. The bound needs no further message: it holds if a stop is not answered,
//! and if this process, its links or its successor are lost or paused, as the server itself ends the run.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time,
};

use super::{JobEntry, ServerPool, released_jobs};
use crate::{job_model, pool_action, server_slot};

/// Latest signs of coordinators in other processes, by the connection over which they offer jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct SessionSigns {
    seen_at: HashMap<job_model::OfferSession, time::Duration>,
}

impl SessionSigns {
    fn record(&mut self, session: job_model::OfferSession, sent_at: time::Duration) {
        let seen_at = self.seen_at.entry(session).or_insert(sent_at);
        *seen_at = (*seen_at).max(sent_at);
    }

    /// Returns the latest time at which the coordinator is known to have waited.
    fn last_sign(&self, waiter: &released_jobs::JobWaiter, now: time::Duration) -> time::Duration {
        if waiter.session.is_own_process() {
            return now;
        }
        let seen_at = self.seen_at.get(&waiter.session).copied();
        seen_at.map_or(waiter.offered_at, |at| at.max(waiter.offered_at))
    }

    /// Removes connections whose last sign is older than `retention`, so that they bound no lease.
    fn prune(&mut self, retention: time::Duration, now: time::Duration) {
        self.seen_at.retain(|_, at| now < *at + retention);
    }
}

impl ServerPool {
    /// Records that the process which offers jobs over `session` sent a frame at `sent_at`: it waited for
    /// all of them that it has not withdrawn before.
    pub fn record_session_sign(
        &mut self,
        session: job_model::OfferSession,
        sent_at: time::Duration,
    ) {
        self.session_signs.record(session, sent_at);
    }

    /// Removes the signs of connections that can bound no lease any more.
    pub(super) fn prune_session_signs(&mut self, now: time::Duration) {
        self.session_signs.prune(self.settings.resend_delay, now);
    }

    /// Returns the time by which the runs of the job `id` have to be over unless a later sign confirms
    /// that one of its coordinators waits. `None` for an unknown job.
    pub(super) fn lease_bound(&self, id: &Arc<str>, now: time::Duration) -> Option<time::Duration> {
        self.job_bounds().bound(id, now)
    }

    fn job_bounds(&self) -> JobBounds<'_> {
        JobBounds {
            jobs: &self.jobs,
            session_signs: &self.session_signs,
            resend_delay: self.settings.resend_delay,
            latest: None,
        }
    }

    /// Whether no run on the server has to end within `time`, so that the leases there can be renewed for as
    /// long.
    pub(super) fn can_renew_leases(
        &self,
        slot: &server_slot::ServerSlot,
        time: time::Duration,
        now: time::Duration,
    ) -> bool {
        let min_expiry_ms = slot.next_lease_expiry_ms(now, time);
        let mut bounds = self.job_bounds();
        slot.runs.iter().all(|(task, run)| {
            let job_bound = run.has_job.then(|| bounds.bound(&task.job, now)).flatten();
            job_bound
                .or(run.lease_bound)
                .is_some_and(|bound| slot.lease_expiry_before_ms(bound) >= min_expiry_ms)
        })
    }

    /// Returns the expiry of a renewed lease of server `id`, on the server's clock, in ms, or `None` if the lease
    /// can't be renewed: the server's clock is unknown, or a run that no job uses has to end.
    pub(super) fn renewed_lease_expiry_ms(
        &mut self,
        id: &Arc<str>,
        now: time::Duration,
    ) -> Option<u64> {
        let mut bounds = JobBounds {
            jobs: &self.jobs,
            session_signs: &self.session_signs,
            resend_delay: self.settings.resend_delay,
            latest: None,
        };
        let unlisted_time = self.settings.unlisted_lease_time();
        let slot = self
            .servers
            .get_mut(id)
            .filter(|slot| slot.may_renew_leases(unlisted_time, now))?;
        for (task, run) in slot.runs.iter_mut().filter(|(_, run)| run.has_job) {
            run.lease_bound = bounds.bound(&task.job, now).or(run.lease_bound);
        }
        let lease = self.settings.lease;
        let expiry_ms = slot.bounded_lease_expiry_ms(now, lease);
        let is_full = expiry_ms >= slot.next_lease_expiry_ms(now, lease);
        self.record_withheld_lease(id, is_full, now);
        expiry_ms
    }

    /// Logs the beginning of a time in which the lease of server `id` is not renewed in full because of a run
    /// without a job.
    fn record_withheld_lease(&mut self, id: &Arc<str>, is_full: bool, now: time::Duration) {
        let full_lease_until = now + self.settings.lease;
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        let withholding_run = if is_full {
            None
        } else {
            slot.runs.iter().find(|(_, run)| {
                let is_short = run.lease_bound.is_none_or(|bound| bound < full_lease_until);
                !run.has_job && is_short
            })
        };
        let Some((task, run)) = withholding_run else {
            slot.lease_withheld_since = None;
            return;
        };
        if slot.lease_withheld_since.is_some() {
            return;
        }
        let time_left = run.lease_bound.unwrap_or_default().saturating_sub(now);
        let inputs = [
            ("run", i64::try_from(run.run_id).unwrap_or(i64::MAX)),
            ("left_ms", pool_action::whole_ms(time_left)),
            ("runs", super::claims::count_input(slot.runs.len())),
        ];
        let request = Some(Arc::from(task.to_string()));
        slot.lease_withheld_since = Some(now);
        self.record_decision(
            pool_action::DecisionKind::LeaseWithheld,
            request,
            Some(Arc::clone(id)),
            "run_without_job",
            inputs,
        );
    }
}

/// What the bounds of jobs are derived from.
struct JobBounds<'a> {
    jobs: &'a BTreeMap<Arc<str>, JobEntry>,
    session_signs: &'a SessionSigns,
    resend_delay: time::Duration,
    /// Latest job that was looked up, and its bound. The runs of a server are in the order of their jobs.
    latest: Option<(Arc<str>, Option<time::Duration>)>,
}

impl JobBounds<'_> {
    fn bound(&mut self, id: &Arc<str>, now: time::Duration) -> Option<time::Duration> {
        match &self.latest {
            Some((latest_id, bound)) if latest_id == id => *bound,
            _ => {
                let bound = self.look_up(id, now);
                self.latest = Some((Arc::clone(id), bound));
                bound
            }
        }
    }

    fn look_up(&self, id: &Arc<str>, now: time::Duration) -> Option<time::Duration> {
        let signs = self
            .jobs
            .get(id)?
            .waiters
            .iter()
            .map(|waiter| self.session_signs.last_sign(waiter, now));
        signs.max().map(|sign| sign + self.resend_delay)
    }
}

impl server_slot::ServerSlot {
    /// Returns the expiry of a lease that lasts `lease` from now on, on the server's clock, in ms, but at
    /// most until the earliest bound of the runs. `None` if it would have expired, or without a clock reading.
    fn bounded_lease_expiry_ms(&self, now: time::Duration, lease: time::Duration) -> Option<u64> {
        let unbounded_ms = self.next_lease_expiry_ms(now, lease)?;
        let bound = self
            .runs
            .values()
            .map(|run| run.lease_bound.unwrap_or_default())
            .min();
        let expiry_ms = match bound {
            Some(bound) => unbounded_ms.min(self.lease_expiry_before_ms(bound)?),
            None => unbounded_ms,
        };
        (expiry_ms > self.next_lease_expiry_ms(now, time::Duration::ZERO)?).then_some(expiry_ms)
    }
}
