//! Jobs of which a lost pool may have runs, on servers that this pool need not know.
//!
//! The servers end such runs by themselves, as their leases are bounded by the last sign of the coordinator, which no
//! longer waits at the lost pool. Until then no task of the job is started, unless it was reported.

use std::{collections::HashMap, sync::Arc, time};

use super::{JobEntry, ServerPool, TaskPhase};
use crate::job_model;

/// Times by which the runs of lost pools have ended, by job. Kept when a job ends here, as a copy of it may come.
#[derive(Clone, Debug, Default)]
pub(super) struct EarlierRuns {
    end_at: HashMap<Arc<str>, time::Duration>,
}

impl EarlierRuns {
    /// Returns the time by which all runs of the job `id` have ended that lost pools may have started, or `None` if
    /// they have.
    pub(super) fn end_at(&self, id: &str, now: time::Duration) -> Option<time::Duration> {
        self.end_at.get(id).copied().filter(|end_at| now < *end_at)
    }

    /// Removes the jobs whose earlier runs have ended.
    pub(super) fn prune(&mut self, now: time::Duration) {
        self.end_at.retain(|_, end_at| now < *end_at);
    }
}

impl ServerPool {
    /// Records by when the runs have ended that lost pools may have started of the job of `offer`. Its coordinator
    /// does not wait there any more, so leases on whichever servers end `resend_delay` later. A second coordinator that
    /// waits at a lost pool, which lives, is not known here.
    pub(super) fn record_earlier_runs(&mut self, offer: &job_model::JobOffer, now: time::Duration) {
        if !offer.may_have_started {
            return;
        }
        let end_at = self
            .inherited_expiry(now)
            .max(now + self.settings.resend_delay);
        self.earlier_runs
            .end_at
            .insert(Arc::clone(&offer.spec.id), end_at);
    }

    /// Whether `job` waits for the end of runs that a lost pool may have started.
    pub(super) fn waits_for_earlier_runs(&self, job: &JobEntry, now: time::Duration) -> bool {
        job.may_run_elsewhere && self.earlier_runs.end_at(&job.spec.id, now).is_some()
    }

    /// Whether runs that a lost pool of `job` may have started can last so long that no waiting task ends in time
    /// after them. If all known servers have reported, only an unknown one could still report a run.
    pub(super) fn is_outlasted_by_earlier_runs(&self, job: &JobEntry, now: time::Duration) -> bool {
        if !job.may_run_elsewhere {
            return false;
        }
        let longest_run = job
            .tasks
            .iter()
            .filter(|task| task.phase == TaskPhase::Waiting)
            .filter_map(|task| job.nominal_run_times.get(usize::from(task.name.step)))
            .max();
        match (self.earlier_runs.end_at(&job.spec.id, now), longest_run) {
            (Some(end_at), Some(run_time)) => end_at + *run_time >= job.expires_at,
            _ => false,
        }
    }
}
