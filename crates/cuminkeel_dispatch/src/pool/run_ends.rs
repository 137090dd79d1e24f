//! Runs that are over, and what becomes of their tasks.

use std::{sync::Arc, time};

use super::{ServerPool, TaskPhase};
use crate::{health, job_model, pool_action, server_model, server_slot};

impl ServerPool {
    /// A run that used room on `id` is over.
    pub(super) fn end_run(
        &mut self,
        id: &Arc<str>,
        task: &job_model::TaskName,
        run: &server_slot::ServerRun,
        end: server_model::RunEnd,
        now: time::Duration,
    ) {
        self.run_places.remove(task);
        let elapsed = now.saturating_sub(run.ordered_at);
        let inputs = [
            ("elapsed_ms", pool_action::whole_ms(elapsed)),
            ("expected_ms", pool_action::whole_ms(run.expected_run_time)),
            ("run", i64::try_from(run.run_id).unwrap_or(i64::MAX)),
        ];
        let request = Some(Arc::from(task.to_string()));
        self.note(
            pool_action::DecisionKind::RunEnded,
            request,
            Some(Arc::clone(id)),
            run_end_text(end),
            inputs,
        );
        match end {
            server_model::RunEnd::Done => {
                if run.has_job && !run.estimate.is_zero() {
                    self.learn_pace(id, task, run, elapsed, now);
                }
                self.task_done(task, run.run_id, now);
            }
            server_model::RunEnd::Failed => self.task_failed(id, task, run.run_id, now),
            server_model::RunEnd::Stopped
            | server_model::RunEnd::LeaseExpired
            | server_model::RunEnd::GangBroken => {
                self.requeue(task, run.run_id, 0);
            }
        }
    }

    fn learn_pace(
        &mut self,
        id: &Arc<str>,
        task: &job_model::TaskName,
        run: &server_slot::ServerRun,
        actual: time::Duration,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        let kind: &mut health::KindSlowdown = self.kinds.entry(slot.kind()).or_default();
        let usual = actual.div_f64(kind.slowdown_factor());
        if !run.nominal_run_time.is_zero() {
            kind.record(actual, run.nominal_run_time);
            slot.health
                .record_success(now, actual, run.nominal_run_time, kind);
        }
        if let Some(job) = self.jobs.get(&task.job) {
            self.estimates
                .entry(Arc::clone(&job.spec.route))
                .or_default()
                .record(run.estimate, usual);
        }
    }

    fn task_done(&mut self, name: &job_model::TaskName, run_id: u64, now: time::Duration) {
        if let Some(task) = self.placed_task(name, run_id) {
            task.phase = TaskPhase::Done;
            self.finish_if_done(&name.job, now);
        }
    }

    pub(super) fn task_failed(
        &mut self,
        server: &Arc<str>,
        name: &job_model::TaskName,
        run_id: u64,
        now: time::Duration,
    ) {
        let Some(task) = self.placed_task(name, run_id) else {
            return;
        };
        task.failures += 1;
        task.avoid.push(Arc::clone(server));
        let failures = task.failures;
        // A task that failed elsewhere before is itself the likelier cause.
        if failures == 1
            && let Some(slot) = self.servers.get_mut(server)
            && slot.health.record_failure(now)
        {
            let inputs = [("", 0), ("", 0), ("", 0)];
            self.note(
                pool_action::DecisionKind::Ejected,
                None,
                Some(Arc::clone(server)),
                "failures",
                inputs,
            );
        }
        let exhausted = self
            .jobs
            .get(&name.job)
            .is_some_and(|job| failures >= job.spec.max_attempts);
        if exhausted {
            self.end_job(
                &name.job,
                &job_model::JobEnd::Failed(job_model::FailureReason::AttemptsExhausted),
                now,
            );
        } else {
            self.requeue(name, run_id, 0);
        }
    }

    /// Puts a task whose run is over back into the queue.
    pub(super) fn requeue(&mut self, name: &job_model::TaskName, run_id: u64, skipped_runs: u64) {
        let Some(task) = self.placed_task(name, run_id) else {
            return;
        };
        task.phase = TaskPhase::Waiting;
        task.next_run += skipped_runs;
        if let Some(job) = self.jobs.get(&name.job) {
            self.queue.insert(job.position.clone());
        }
    }

    fn placed_task(
        &mut self,
        name: &job_model::TaskName,
        run_id: u64,
    ) -> Option<&mut super::TaskEntry> {
        let job = self.jobs.get_mut(&name.job)?;
        job.tasks.iter_mut().find(|task| {
            task.name == *name
                && matches!(&task.phase, TaskPhase::Placed { run_id: placed, .. } if *placed == run_id)
        })
    }
}

fn run_end_text(end: server_model::RunEnd) -> &'static str {
    match end {
        server_model::RunEnd::Done => "done",
        server_model::RunEnd::Failed => "failed",
        server_model::RunEnd::Stopped => "stopped",
        server_model::RunEnd::LeaseExpired => "lapsed",
        server_model::RunEnd::GangBroken => "gang_broken",
    }
}
