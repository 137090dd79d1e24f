//! Submission, adoption, expiry and end of jobs.

use std::{sync::Arc, time};

use smallvec::{SmallVec, smallvec};

use super::{
    JobEntry, ServerPool, TaskEntry, TaskPhase, claims, crashes, inherited_runs, released_jobs,
};
use crate::{
    crash_ledger, job_model, job_order, pool_action, retry_advice, run_evidence, server_model,
    settings,
};

/// Multiple of the response time objective after which an answer has no value to the caller.
const EXPIRY_OBJECTIVE_FACTOR: u32 = 3;
/// Longest time to a deadline that counts, so that a sum of times from a damaged offer does not overflow.
const MAX_TIME_TO_DEADLINE: time::Duration = time::Duration::from_hours(24);
/// First run id of a task that another pool may have started with lower ones. If a server rejects
/// it as stale, `starts::SKIPPED_RUN_IDS` more are skipped.
const FIRST_RUN_ID_AFTER_OTHER_POOL: u64 = 16;
/// Window of the moving average `typical_cpu_millis`: the weight of a new step is the reciprocal.
const TYPICAL_CPU_SAMPLES: u32 = 32;

impl ServerPool {
    /// Admits the job of `offer` or refuses it; `waiter` is told how the job ends. If the job is
    /// already in the pool, only adds `waiter`. An outdated offer, and one that shows that the process
    /// was paused, gets the end `NotLeader`, after which its sender may offer the job again.
    pub fn submit(
        &mut self,
        offer: &job_model::JobOffer,
        waiter: pool_action::WaiterId,
        now: time::Duration,
    ) {
        let id = Arc::clone(&offer.spec.id);
        let was_paused = self.step_down_after_pause(now);
        let earlier_runs_end_at = self.earlier_runs_end_at(offer, now);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.waiters
                .push(released_jobs::JobWaiter::new(waiter, offer));
            job.may_run_elsewhere |= offer.may_have_started;
            job.earlier_runs_end_at = job.earlier_runs_end_at.max(earlier_runs_end_at);
            self.record_decision(
                pool_action::DecisionKind::Attached,
                Some(id),
                None,
                "already_here",
                [("may_have_started", i64::from(offer.may_have_started))],
            );
            return;
        }
        if was_paused || offer.is_outdated(now) {
            self.turn_away_outdated(offer, waiter, now);
            return;
        }
        if self
            .released_jobs
            .is_with_another_source(&id, &offer.source, now)
        {
            let reason = job_model::RefusalReason::CopyElsewhere;
            self.refuse(offer, waiter, reason, time::Duration::ZERO, now);
            return;
        }
        // An earlier release offers jobs of any size, which it tries elsewhere after another reason.
        if self.settings.job_limits.check(&offer.spec).is_err() {
            let reason = job_model::RefusalReason::NoSuitableServer;
            self.refuse(offer, waiter, reason, time::Duration::ZERO, now);
            return;
        }
        self.update_speeds(now);
        let job = self.new_job(offer, waiter, now);
        if crashes::is_given_up(&job) {
            // Runs of its other tasks are stopped.
            self.jobs.insert(Arc::clone(&id), job);
            self.end_given_up_job(&id, now);
            return;
        }
        let has_adopted_tasks = job
            .tasks
            .iter()
            .any(|task| task.phase != TaskPhase::Waiting);
        let refusal = match () {
            () if has_adopted_tasks => None,
            () if self.evacuation.is_some() => self.refusal_while_evacuated(&job, now),
            () => self.predicted_refusal(&job, offer.terms, now),
        };
        if let Some((reason, wait)) = refusal {
            self.refuse(offer, waiter, reason, wait, now);
            return;
        }
        self.released_jobs.remove(&id);
        self.record_cpu_demand(&offer.spec);
        let inputs = [
            ("tasks", claims::count_input(job.tasks.len())),
            ("queued", claims::count_input(self.queue.len())),
            (
                "slack_ms",
                pool_action::whole_ms(job.queue_position.latest_start.saturating_sub(now)),
            ),
            ("may_have_started", i64::from(offer.may_have_started)),
            (
                "earlier_runs_ms",
                pool_action::whole_ms(job.earlier_runs_end_at.saturating_sub(now)),
            ),
        ];
        let outcome = if has_adopted_tasks {
            "adopted"
        } else {
            "accepted"
        };
        self.record_decision(
            pool_action::DecisionKind::Queued,
            Some(Arc::clone(&id)),
            None,
            outcome,
            inputs,
        );
        self.queue.insert(job.queue_position.clone());
        self.jobs.insert(Arc::clone(&id), job);
        self.complete_if_done(&id, now);
        self.needs_placement = true;
    }

    fn refuse(
        &mut self,
        offer: &job_model::JobOffer,
        waiter: pool_action::WaiterId,
        reason: job_model::RefusalReason,
        wait: time::Duration,
        now: time::Duration,
    ) {
        let inputs = [
            ("queued", claims::count_input(self.queue.len())),
            ("start_in_ms", pool_action::whole_ms(wait)),
            ("age_ms", pool_action::whole_ms(offer.age)),
        ];
        self.record_decision(
            pool_action::DecisionKind::Refused,
            Some(Arc::clone(&offer.spec.id)),
            None,
            refusal_label(reason),
            inputs,
        );
        let end = job_model::JobEnd::Refused {
            reason,
            retry_after: retry_advice::jittered_retry_after(&offer.spec.id, wait),
        };
        let end = self.release_job(&offer.spec.id, &offer.source, end, now);
        self.actions
            .push(pool_action::PoolAction::AnswerWaiter { waiter, end });
    }

    fn turn_away_outdated(
        &mut self,
        offer: &job_model::JobOffer,
        waiter: pool_action::WaiterId,
        now: time::Duration,
    ) {
        let delay = now.saturating_sub(offer.sent_at);
        let inputs = [
            ("delay_ms", pool_action::whole_ms(delay)),
            ("age_ms", pool_action::whole_ms(offer.age)),
            ("", 0),
        ];
        self.record_decision(
            pool_action::DecisionKind::OfferOutdated,
            Some(Arc::clone(&offer.spec.id)),
            None,
            "not_admitted",
            inputs,
        );
        self.actions.push(pool_action::PoolAction::AnswerWaiter {
            waiter,
            end: job_model::JobEnd::NotLeader,
        });
    }

    /// Updates `typical_cpu_millis` with the steps of a job; each counts once, whatever its number of
    /// tasks.
    fn record_cpu_demand(&mut self, spec: &job_model::JobSpec) {
        for step in &spec.steps {
            let earlier = u64::from(self.typical_cpu_millis) * u64::from(TYPICAL_CPU_SAMPLES - 1);
            let average = (earlier + u64::from(step.cpu_millis)) / u64::from(TYPICAL_CPU_SAMPLES);
            self.typical_cpu_millis = match self.typical_cpu_millis {
                0 => step.cpu_millis,
                _ => u32::try_from(average).unwrap_or(u32::MAX),
            };
        }
    }

    fn new_job(
        &mut self,
        offer: &job_model::JobOffer,
        waiter: pool_action::WaiterId,
        now: time::Duration,
    ) -> JobEntry {
        let spec = &offer.spec;
        let arrived_at = offer.sent_at.saturating_sub(offer.age);
        let run_time_model = self
            .run_time_models
            .get(&spec.route)
            .copied()
            .unwrap_or_default();
        let nominal_run_times: SmallVec<[time::Duration; 1]> = spec
            .steps
            .iter()
            .map(|step| match self.settings.policies.learned_run_times {
                settings::MechanismState::Enabled => {
                    run_time_model.nominal_run_time(step.estimate())
                }
                settings::MechanismState::Disabled => step.estimate(),
            })
            .collect();
        let critical_path = spec.critical_path(&nominal_run_times);
        let objective_time = spec.objective(critical_path);
        let objective_at = arrived_at + objective_time;
        let deadline_at = offer.sent_at + offer.time_to_deadline.min(MAX_TIME_TO_DEADLINE);
        let expires_at = (arrived_at + objective_time * EXPIRY_OBJECTIVE_FACTOR).min(deadline_at);
        self.arrival_count += 1;
        let queue_position = job_order::QueuePosition {
            late: false,
            latest_start: match self.settings.policies.queue {
                settings::QueuePolicy::LeastSlack => objective_at.saturating_sub(critical_path),
                // A sort key for the order of arrival, not a latest start.
                settings::QueuePolicy::Arrival => arrived_at,
            },
            priority: spec.priority,
            arrival: self.arrival_count,
            job: Arc::clone(&spec.id),
            min_cpu_millis: spec.min_cpu_millis(),
        };
        let first_run_id = if offer.may_have_started {
            FIRST_RUN_ID_AFTER_OTHER_POOL
        } else {
            1
        };
        let mut tasks = Vec::with_capacity(spec.task_count());
        for ((step, nominal_run_time), step_index) in
            spec.steps.iter().zip(&nominal_run_times).zip(0_u16..)
        {
            for index in 0..step.task_count {
                let name = job_model::TaskName {
                    job: Arc::clone(&spec.id),
                    occurrence: 0,
                    step: step_index,
                    index,
                };
                tasks.push(self.adopt_task(name, step, *nominal_run_time, first_run_id));
            }
        }
        let has_started = tasks.iter().any(|task| task.phase != TaskPhase::Waiting);
        let weighted_size = self.weighted_size(spec, &nominal_run_times);
        JobEntry {
            spec: Arc::clone(spec),
            waiters: smallvec![released_jobs::JobWaiter::new(waiter, offer)],
            tasks,
            queue_position,
            nominal_run_times,
            critical_path,
            admitted_at: now,
            arrived_at,
            objective_at,
            expires_at,
            deadline_at,
            has_started,
            may_run_elsewhere: offer.may_have_started,
            earlier_runs_end_at: self.earlier_runs_end_at(offer, now),
            weighted_size,
        }
    }

    /// Returns the size of a job relative to the usual one of its route, weighted by the lottery.
    fn weighted_size(
        &mut self,
        spec: &job_model::JobSpec,
        nominal_run_times: &[time::Duration],
    ) -> f64 {
        let core_seconds = spec
            .steps
            .iter()
            .zip(nominal_run_times)
            .map(|(step, run_time)| {
                let cores = f64::from(step.cpu_millis) / 1e3;
                run_time.as_secs_f64() * f64::from(step.task_count) * cores
            });
        let usual_size = self.usual_sizes.entry(Arc::clone(&spec.route)).or_default();
        usual_size.record(core_seconds.sum()) * job_order::size_weight(&spec.id)
    }

    /// Creates the entry of a task and adopts its inherited run or reported end, if there is one.
    fn adopt_task(
        &mut self,
        name: job_model::TaskName,
        step: &job_model::StepSpec,
        nominal_run_time: time::Duration,
        first_run_id: u64,
    ) -> TaskEntry {
        let mut task = TaskEntry {
            phase: TaskPhase::Waiting,
            failures: 0,
            verdict: self.crash_ledger.verdict(&name),
            reschedules: 0,
            next_run_id: first_run_id,
            avoided_servers: SmallVec::new(),
            name,
        };
        if let Some((server_model::RunEnd::Done, _)) = self.inherited_ends.get(&task.name) {
            task.phase = TaskPhase::Done;
            return task;
        }
        let Some(server) = self.run_servers.get(&task.name) else {
            return task;
        };
        let slowdown = self
            .servers
            .get(server)
            .map_or(1.0, |slot| slot.slowdown_factor);
        let run = self
            .servers
            .get_mut(server)
            .and_then(|slot| slot.runs.get_mut(&task.name));
        if let Some(run) = run {
            run.has_job = true;
            run.evidence = run_evidence::RunEvidence::default();
            run.is_isolated = task.verdict != crash_ledger::TaskVerdict::Unsuspected;
            run.nominal_run_time = nominal_run_time;
            let share_left = f64::from(100 - run.initial_percent.min(100)) / 100.0;
            run.expected_run_time = nominal_run_time.mul_f64(slowdown * share_left);
            run.cpu_millis = step.cpu_millis;
            run.memory_mb = step.memory_mb;
            run.gpus = step.gpus;
            run.estimate = step.estimate();
            task.next_run_id = run.run_id + 1;
            task.phase = TaskPhase::Placed {
                server: Arc::clone(server),
                run_id: run.run_id,
            };
        }
        task
    }

    /// Adopts a reported run for the job that waits for its task; returns whether there is one.
    pub(super) fn adopt_reported_run(&mut self, name: &job_model::TaskName) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return false;
        };
        let spec = Arc::clone(&job.spec);
        let nominal_run_time = job
            .nominal_run_times
            .get(usize::from(name.step))
            .copied()
            .unwrap_or_default();
        let task_index = job.task_position(name).filter(|index| {
            let task = job.tasks.get(*index);
            task.is_some_and(|task| task.phase == TaskPhase::Waiting)
        });
        let (Some(task_index), Some(step)) = (task_index, spec.steps.get(usize::from(name.step)))
        else {
            return false;
        };
        let task = self.adopt_task(name.clone(), step, nominal_run_time, 1);
        if let Some(job) = self.jobs.get_mut(&name.job)
            && let Some(waiting) = job.tasks.get_mut(task_index)
        {
            waiting.next_run_id = waiting.next_run_id.max(task.next_run_id);
            waiting.phase = task.phase;
            job.has_started = true;
        }
        true
    }

    /// Removes `waiter` from a job; ends the job if no other waiter is left.
    pub fn withdraw(&mut self, job: &Arc<str>, waiter: pool_action::WaiterId, now: time::Duration) {
        self.step_down_after_pause(now);
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        entry.waiters.retain(|other| other.id != waiter);
        if entry.waiters.is_empty() {
            self.end_job(
                job,
                &job_model::JobEnd::Failed(job_model::FailureReason::Withdrawn),
                now,
            );
            self.needs_placement = true;
        }
    }

    /// Removes a job with the end `PoolLost`, or `NotLeader` if no task of it may have started: its coordinator
    /// then offers it as a new one. Its runs on servers that are still claimed go on for `INHERITED_RUN_GRACE`, so
    /// that a resubmitted job can adopt them.
    pub(super) fn abandon_job(&mut self, id: &Arc<str>, now: time::Duration) {
        let mut end = job_model::JobEnd::PoolLost;
        if let Some(job) = self.jobs.get(id) {
            if !job.has_started && !job.may_run_elsewhere {
                end = job_model::JobEnd::NotLeader;
            }
            for task in &job.tasks {
                let TaskPhase::Placed { server, .. } = &task.phase else {
                    continue;
                };
                let run = self
                    .servers
                    .get_mut(server)
                    .and_then(|slot| slot.runs.get_mut(&task.name));
                if let Some(run) = run {
                    run.has_job = false;
                    run.evidence.record_unused(now);
                    // Restarts `INHERITED_RUN_GRACE`.
                    run.ordered_at = now;
                    run.is_start_known = false;
                }
            }
        }
        self.remove_job(id, &end, now);
    }

    /// Ends a job and stops its runs.
    pub(super) fn end_job(&mut self, id: &Arc<str>, end: &job_model::JobEnd, now: time::Duration) {
        let placed: Vec<(Arc<str>, job_model::TaskName)> = self
            .jobs
            .get(id)
            .map(|job| {
                job.tasks
                    .iter()
                    .filter_map(|task| match &task.phase {
                        TaskPhase::Placed { server, .. } => {
                            Some((Arc::clone(server), task.name.clone()))
                        }
                        TaskPhase::Waiting | TaskPhase::Done => None,
                    })
                    .collect()
            })
            .unwrap_or_default();
        self.remove_job(id, end, now);
        for (server, task) in placed {
            self.stop_run(&server, &task, "job_ended");
        }
    }

    fn remove_job(&mut self, id: &Arc<str>, end: &job_model::JobEnd, now: time::Duration) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        self.queue.remove(&job.queue_position);
        let done_count = job
            .tasks
            .iter()
            .filter(|task| task.phase == TaskPhase::Done)
            .count();
        let inputs = [
            (
                "age_ms",
                pool_action::whole_ms(now.saturating_sub(job.arrived_at)),
            ),
            (
                "objective_ms",
                pool_action::whole_ms(job.objective_at.saturating_sub(job.arrived_at)),
            ),
            ("done_tasks", claims::count_input(done_count)),
        ];
        self.record_decision(
            pool_action::DecisionKind::JobEnded,
            Some(Arc::clone(id)),
            None,
            job_end_label(end),
            inputs,
        );
        // After a refusal, one of the coordinators may offer the job to other pools. A second one could
        // start a copy in another pool.
        let mut waiters = job.waiters.iter();
        if let Some(first) = waiters.next() {
            let end = self.release_job(id, &first.source, end.clone(), now);
            self.actions.push(pool_action::PoolAction::AnswerWaiter {
                waiter: first.id,
                end,
            });
        }
        for waiter in waiters {
            self.actions.push(pool_action::PoolAction::AnswerWaiter {
                waiter: waiter.id,
                end: released_jobs::end_for_other_waiters(end),
            });
        }
    }

    /// Ends expired jobs, and demotes jobs that have missed their latest start. A job with waiting
    /// tasks has expired when its whole critical path, completed steps included, no longer fits
    /// before `expires_at`; any other job at its deadline, also one whose runs an evacuation keeps.
    pub(super) fn expire_jobs(&mut self, now: time::Duration) {
        let mut expired = Vec::new();
        let mut outlasted = Vec::new();
        let mut late = Vec::new();
        // Reads all servers, so only if a job needs it.
        let mut run_knowledge = None;
        for job in self.jobs.values() {
            let has_waiting_tasks = job
                .tasks
                .iter()
                .any(|task| task.phase == TaskPhase::Waiting);
            let is_expired = if has_waiting_tasks && !self.keeps_runs(job) {
                now + job.critical_path >= job.expires_at
            } else {
                now >= job.deadline_at
            };
            match () {
                () if is_expired => {
                    expired.push((
                        Arc::clone(&job.spec.id),
                        job.has_started || job.may_run_elsewhere,
                    ));
                }
                () if has_waiting_tasks
                    && is_outlasted_by_earlier_runs(job, now)
                    && *run_knowledge.get_or_insert_with(|| self.run_knowledge(now))
                        == inherited_runs::RunKnowledge::Complete =>
                {
                    outlasted.push(Arc::clone(&job.spec.id));
                }
                // A job with started tasks keeps its position: their runs are wasted unless its
                // other tasks run too.
                () if self.settings.policies.demotion.is_enabled()
                    && has_waiting_tasks
                    && !job.has_started
                    && !job.queue_position.late
                    && now > job.queue_position.latest_start =>
                {
                    late.push((job.queue_position.clone(), Arc::clone(&job.spec.service)));
                }
                () => {}
            }
        }
        // While a copy of the job may run here, no other pool is to be tried.
        let expiry_reason = if self.takeover_resolved(now) && !self.is_divided() {
            job_model::RefusalReason::ExpiredInQueue
        } else {
            job_model::RefusalReason::NoPool
        };
        for (id, may_have_run) in expired {
            let end = if may_have_run {
                job_model::JobEnd::Failed(job_model::FailureReason::OutOfTime)
            } else {
                job_model::JobEnd::Refused {
                    reason: expiry_reason,
                    retry_after: retry_advice::jittered_retry_after(&id, time::Duration::ZERO),
                }
            };
            if may_have_run {
                self.record_evacuation_failure(&id, now);
            }
            self.end_job(&id, &end, now);
        }
        for id in outlasted {
            let end = job_model::JobEnd::Failed(job_model::FailureReason::PoolLost);
            self.end_job(&id, &end, now);
        }
        for (position, service) in late {
            self.record_missed_start(&service, now);
            self.queue.remove(&position);
            let demoted = position.demoted();
            if let Some(job) = self.jobs.get_mut(&position.job) {
                job.queue_position = demoted.clone();
                self.queue.insert(demoted);
            }
        }
    }

    pub(super) fn complete_if_done(&mut self, id: &Arc<str>, now: time::Duration) {
        let is_done = self
            .jobs
            .get(id)
            .is_some_and(|job| job.tasks.iter().all(|task| task.phase == TaskPhase::Done));
        if is_done {
            self.end_job(id, &job_model::JobEnd::Completed, now);
        }
    }
}

/// Whether runs that an earlier pool of `job` may have started can last so long that no waiting task ends in time
/// after them. If all servers have reported, no run will be adopted instead.
fn is_outlasted_by_earlier_runs(job: &JobEntry, now: time::Duration) -> bool {
    let latest_end = job
        .tasks
        .iter()
        .filter(|task| task.phase == TaskPhase::Waiting)
        .filter_map(|task| job.nominal_run_times.get(usize::from(task.name.step)))
        .map(|run_time| job.earlier_runs_end_at + *run_time)
        .max();
    now < job.earlier_runs_end_at && latest_end.is_some_and(|end| end >= job.expires_at)
}

fn refusal_label(reason: job_model::RefusalReason) -> &'static str {
    match reason {
        job_model::RefusalReason::QueueTooLong => "queue_too_long",
        job_model::RefusalReason::NoSuitableServer => "no_suitable_server",
        job_model::RefusalReason::ExpiredInQueue => "expired_in_queue",
        job_model::RefusalReason::NoPool => "no_pool",
        job_model::RefusalReason::Evacuated => "evacuated",
        job_model::RefusalReason::CopyElsewhere => "copy_elsewhere",
    }
}

fn job_end_label(end: &job_model::JobEnd) -> &'static str {
    match end {
        job_model::JobEnd::Completed => "completed",
        job_model::JobEnd::Failed(job_model::FailureReason::AttemptsExhausted) => {
            "attempts_exhausted"
        }
        job_model::JobEnd::Failed(job_model::FailureReason::ServersCrashed) => "servers_crashed",
        job_model::JobEnd::Failed(job_model::FailureReason::OutOfTime) => "out_of_time",
        job_model::JobEnd::Failed(job_model::FailureReason::PoolLost)
        | job_model::JobEnd::PoolLost => "pool_lost",
        job_model::JobEnd::Failed(job_model::FailureReason::Withdrawn) => "withdrawn",
        job_model::JobEnd::NotLeader => "not_leader",
        job_model::JobEnd::Refused { reason, .. } => refusal_label(*reason),
    }
}
