//! Jobs of a pool whose failure domain is evacuated: which tasks may still start, and which jobs move to
//! other pools or fail.
//!
//! Claims, holds, leases and the adoption of inherited runs go on as before, so that runs in progress
//! end normally.

use std::{sync::Arc, time};

use super::{EvacuationStart, JobEntry, ServerPool, TaskPhase, claims};
use crate::{job_model, pool_action, retry_advice};

/// Divisor of the bound within which starts must cease: for this part of it, jobs with a started task
/// may start their others. A process learns of an evacuation within 1.9 s of the request, and an
/// order can take effect until its lease expires, 0.8 s later; 1.25 s of 5 s leave 1 s to spare.
const CONTINUATION_DIVISOR: u32 = 4;

/// Treatment of a queued job while the failure domain is evacuated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EvacuatedJob {
    /// No task waits any more.
    Placed,
    /// Its tasks may still start, or its runs are unknown or in progress.
    Kept,
    /// Nothing of it has started anywhere, so that another pool can have it.
    Moved,
    /// It can't be completed here, and runs of it may have ended elsewhere.
    Failed,
}

impl ServerPool {
    /// Sets the start of the evacuation of the pool's failure domain, or `None` when it ends. The start of
    /// an evacuation in force only changes to one that allows less.
    pub fn set_evacuation(&mut self, evacuation: Option<EvacuationStart>, now: time::Duration) {
        self.step_down_after_pause(now);
        let evacuation = match (self.evacuation, evacuation) {
            (Some(EvacuationStart::LearntAt(before)), Some(EvacuationStart::LearntAt(at))) => {
                Some(EvacuationStart::LearntAt(before.min(at)))
            }
            (Some(_), Some(_)) => Some(EvacuationStart::Unknown),
            (_, evacuation) => evacuation,
        };
        let outcome = match (self.evacuation, evacuation) {
            (None, Some(_)) => Some("began"),
            (Some(_), None) => Some("ended"),
            _ => None,
        };
        self.evacuation = evacuation;
        if let Some(outcome) = outcome {
            let inputs = [
                ("queued", claims::count_input(self.queue.len())),
                ("jobs", claims::count_input(self.jobs.len())),
                ("since_ms", self.evacuated_ms(now)),
            ];
            self.record_decision(
                pool_action::DecisionKind::Evacuation,
                None,
                None,
                outcome,
                inputs,
            );
        }
        self.needs_placement = true;
    }

    /// Returns why an offered job of which no run is known here has to be refused while the failure domain
    /// is evacuated, and the wait to advise, or `None` if it is admitted: it waits until the runs on all
    /// servers are known.
    pub(super) fn refusal_while_evacuated(
        &self,
        job: &JobEntry,
        now: time::Duration,
    ) -> Option<(job_model::RefusalReason, time::Duration)> {
        match () {
            // A copy of the job may run here, so that it must not move yet.
            () if !self.takeover_resolved(now) => self.refusal_during_takeover(job, now),
            () if job.may_run_elsewhere => None,
            // Another failure domain is asked at once.
            () => Some((job_model::RefusalReason::Evacuated, time::Duration::ZERO)),
        }
    }

    /// Whether tasks of `job` may start, as far as an evacuation is concerned.
    pub(super) fn may_start_tasks(&self, job: &JobEntry, now: time::Duration) -> bool {
        match self.evacuation {
            None => true,
            Some(EvacuationStart::Unknown) => false,
            Some(EvacuationStart::LearntAt(learnt_at)) => {
                let bound = self.settings.evacuation_bound.unwrap_or_default();
                job.has_started
                    && !job.may_run_elsewhere
                    && now < learnt_at + bound / CONTINUATION_DIVISOR
            }
        }
    }

    /// Whether the runs of `job` in progress are kept until they end, although its waiting tasks are late
    /// or can't start any more: an evacuation stops no run.
    pub(super) fn keeps_runs(&self, job: &JobEntry) -> bool {
        self.evacuation.is_some() && has_placed_task(job)
    }

    /// Moves or fails the queued jobs that the evacuation keeps from starting. Without an evacuation, it
    /// does nothing.
    pub(super) fn end_evacuated_jobs(&mut self, now: time::Duration) {
        // Until the takeover is resolved, copies of any job may run here.
        if self.evacuation.is_none() || self.queue.is_empty() || !self.takeover_resolved(now) {
            return;
        }
        let reviewed: Vec<(Arc<str>, EvacuatedJob)> = self
            .queue
            .iter()
            .filter_map(|position| self.jobs.get(&position.job))
            .map(|job| (Arc::clone(&job.spec.id), self.review_evacuated(job, now)))
            .collect();
        for (id, treatment) in reviewed {
            match treatment {
                EvacuatedJob::Kept => {}
                EvacuatedJob::Placed => {
                    if let Some(job) = self.jobs.get(&id) {
                        self.queue.remove(&job.queue_position);
                    }
                }
                EvacuatedJob::Moved => self.move_job(&id, now),
                EvacuatedJob::Failed => {
                    self.record_evacuation_failure(&id, now);
                    let end = job_model::JobEnd::Failed(job_model::FailureReason::OutOfTime);
                    self.end_job(&id, &end, now);
                }
            }
        }
    }

    fn review_evacuated(&self, job: &JobEntry, now: time::Duration) -> EvacuatedJob {
        match () {
            () if !has_waiting_task(job) => EvacuatedJob::Placed,
            () if job.may_run_elsewhere
                && !self.lost_job_resolved(self.run_knowledge(now), job.admitted_at, now) =>
            {
                EvacuatedJob::Kept
            }
            () if !job.has_started && !job.may_run_elsewhere => EvacuatedJob::Moved,
            () if self.may_start_tasks(job, now) || has_placed_task(job) => EvacuatedJob::Kept,
            () => EvacuatedJob::Failed,
        }
    }

    /// Refuses a job of which nothing has started, so that its coordinator offers it to other pools.
    fn move_job(&mut self, id: &Arc<str>, now: time::Duration) {
        self.record_evacuated_job(id, "moved", now);
        let end = job_model::JobEnd::Refused {
            reason: job_model::RefusalReason::Evacuated,
            retry_after: retry_advice::jittered_retry_after(id, time::Duration::ZERO),
        };
        self.end_job(id, &end, now);
    }

    /// Records that a job fails because the evacuation keeps its waiting tasks from starting, if it does.
    pub(super) fn record_evacuation_failure(&mut self, id: &Arc<str>, now: time::Duration) {
        let is_prevented = self
            .jobs
            .get(id)
            .is_some_and(|job| has_waiting_task(job) && !self.may_start_tasks(job, now));
        if is_prevented {
            self.record_evacuated_job(id, "failed", now);
        }
    }

    fn record_evacuated_job(&mut self, id: &Arc<str>, outcome: &'static str, now: time::Duration) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let waiting_count = job
            .tasks
            .iter()
            .filter(|task| task.phase == TaskPhase::Waiting)
            .count();
        let inputs = [
            (
                "age_ms",
                pool_action::whole_ms(now.saturating_sub(job.arrived_at)),
            ),
            ("waiting_tasks", claims::count_input(waiting_count)),
            ("started", i64::from(job.has_started)),
            ("may_have_started", i64::from(job.may_run_elsewhere)),
            ("since_ms", self.evacuated_ms(now)),
        ];
        self.record_decision(
            pool_action::DecisionKind::JobEvacuated,
            Some(Arc::clone(id)),
            None,
            outcome,
            inputs,
        );
    }

    /// Returns the time since this process learnt of the evacuation, in ms, as an input of a decision
    /// record; -1 if it is unknown or there is none.
    fn evacuated_ms(&self, now: time::Duration) -> i64 {
        match self.evacuation {
            Some(EvacuationStart::LearntAt(at)) => pool_action::whole_ms(now.saturating_sub(at)),
            Some(EvacuationStart::Unknown) | None => -1,
        }
    }
}

fn has_waiting_task(job: &JobEntry) -> bool {
    job.tasks
        .iter()
        .any(|task| task.phase == TaskPhase::Waiting)
}

fn has_placed_task(job: &JobEntry) -> bool {
    job.tasks
        .iter()
        .any(|task| matches!(task.phase, TaskPhase::Placed { .. }))
}
