//! Ends of runs: completes, retries or fails their tasks.

use std::{sync::Arc, time};

use super::{ServerPool, TaskPhase};
use crate::{job_model, leadership, pool_action, server_model, server_slot};

impl ServerPool {
    /// Applies the end of a run on server `id`. The run must already be removed from the slot of
    /// the server, so that its capacity is free.
    pub(super) fn end_run(
        &mut self,
        id: &Arc<str>,
        task: &job_model::TaskName,
        run: &server_slot::ServerRun,
        end: server_model::RunEnd,
        now: time::Duration,
    ) {
        self.remove_run_server(id, task);
        let elapsed = now.saturating_sub(run.ordered_at);
        let inputs = [
            ("elapsed_ms", pool_action::whole_ms(elapsed)),
            ("expected_ms", pool_action::whole_ms(run.expected_run_time)),
            ("run", i64::try_from(run.run_id).unwrap_or(i64::MAX)),
        ];
        let request = Some(Arc::from(task.to_string()));
        self.record_decision(
            pool_action::DecisionKind::RunEnded,
            request,
            Some(Arc::clone(id)),
            run_end_label(end),
            inputs,
        );
        match end {
            server_model::RunEnd::Done => {
                if run.has_job && run.is_start_known {
                    self.record_run_time(id, task, run, elapsed, now);
                }
                self.complete_task(id, task, run.run_id, now);
            }
            server_model::RunEnd::Failed => self.fail_task(id, task, run.run_id, now),
            server_model::RunEnd::Lost => {
                self.requeue(id, task, run.run_id, 0);
                self.end_given_up_job(&task.job, now);
            }
            server_model::RunEnd::Stopped | server_model::RunEnd::GangBroken => {
                self.requeue(id, task, run.run_id, 0);
            }
        }
    }

    /// Updates the slowdown of the server and its kind and the run time model of the route.
    fn record_run_time(
        &mut self,
        id: &Arc<str>,
        task: &job_model::TaskName,
        run: &server_slot::ServerRun,
        actual: time::Duration,
        now: time::Duration,
    ) {
        let Some(normalized_run_time) = self.record_speed(id, actual, run.nominal_run_time, now)
        else {
            return;
        };
        if let Some(job) = self.jobs.get(&task.job) {
            self.run_time_models
                .entry(Arc::clone(&job.spec.route))
                .or_default()
                .record(run.estimate, normalized_run_time);
        }
    }

    fn complete_task(
        &mut self,
        server: &Arc<str>,
        name: &job_model::TaskName,
        run_id: u64,
        now: time::Duration,
    ) {
        if let Some(task) = self.placed_task(server, name, run_id) {
            task.phase = TaskPhase::Done;
            self.complete_if_done(&name.job, now);
        }
    }

    pub(super) fn fail_task(
        &mut self,
        server: &Arc<str>,
        name: &job_model::TaskName,
        run_id: u64,
        now: time::Duration,
    ) {
        let Some(task) = self.placed_task(server, name, run_id) else {
            return;
        };
        task.failures += 1;
        task.avoided_servers.push(Arc::clone(server));
        let failures = task.failures;
        // Only the first failure of a task counts against the server: if the task has failed on
        // another one before, the task itself is the likelier cause.
        if failures == 1
            && self.settings.policies.ejection.is_enabled()
            && let Some(slot) = self.servers.get_mut(server)
            && slot
                .health
                .record_failure(leadership::id_hash(&name.job), now)
        {
            let inputs = [("", 0), ("", 0), ("", 0)];
            self.record_decision(
                pool_action::DecisionKind::Ejected,
                None,
                Some(Arc::clone(server)),
                "failures",
                inputs,
            );
        }
        let is_exhausted = self
            .jobs
            .get(&name.job)
            .is_some_and(|job| failures >= job.spec.max_attempts);
        if is_exhausted {
            self.end_job(
                &name.job,
                &job_model::JobEnd::Failed(job_model::FailureReason::AttemptsExhausted),
                now,
            );
        } else {
            self.requeue(server, name, run_id, 0);
        }
    }

    /// Removes the record that `server` has the run of `task`. Another server may have reported a run of
    /// the task meanwhile, which stays recorded.
    pub(super) fn remove_run_server(&mut self, server: &Arc<str>, task: &job_model::TaskName) {
        if self.run_servers.get(task) == Some(server) {
            self.run_servers.remove(task);
        }
    }

    /// Puts a task whose run has ended or whose start was rejected back into the queue, and skips
    /// `skipped_run_ids` run ids. If another server has reported a run of the task, which another pool
    /// started, the task gets that run instead.
    pub(super) fn requeue(
        &mut self,
        server: &Arc<str>,
        name: &job_model::TaskName,
        run_id: u64,
        skipped_run_ids: u64,
    ) {
        let Some(task) = self.placed_task(server, name, run_id) else {
            return;
        };
        task.phase = TaskPhase::Waiting;
        task.next_run_id += skipped_run_ids;
        if let Some(job) = self.jobs.get(&name.job) {
            self.queue.insert(job.queue_position.clone());
        }
        self.adopt_reported_run(name);
    }

    /// Returns the task if its present run is `run_id` on `server`. Pools that don't know of each
    /// other's runs use the same run ids.
    fn placed_task(
        &mut self,
        server: &Arc<str>,
        name: &job_model::TaskName,
        run_id: u64,
    ) -> Option<&mut super::TaskEntry> {
        let placed = TaskPhase::Placed {
            server: Arc::clone(server),
            run_id,
        };
        let job = self.jobs.get_mut(&name.job)?;
        job.task_mut(name).filter(|task| task.phase == placed)
    }
}

fn run_end_label(end: server_model::RunEnd) -> &'static str {
    match end {
        server_model::RunEnd::Done => "done",
        server_model::RunEnd::Failed => "failed",
        server_model::RunEnd::Stopped => "stopped",
        server_model::RunEnd::Lost => "lapsed",
        server_model::RunEnd::GangBroken => "gang_broken",
    }
}
