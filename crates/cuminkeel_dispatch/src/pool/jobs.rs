//! Jobs entering and leaving the pool.

use std::{sync::Arc, time};

use smallvec::{SmallVec, smallvec};

use super::{JobEntry, NO_INPUTS, ServerPool, TaskEntry, TaskPhase, claims};
use crate::{job_model, job_order, pool_action, retry_advice, server_model, settings};

/// Answers later than this many objectives are worth nothing to the caller.
const USELESS_OBJECTIVES: u32 = 3;
/// Numbers skipped for a task's runs when a job comes from another pool, which
/// may have used some of them at a server.
const RUNS_PER_POOL: u64 = 16;
/// Weight of a new task in the typical size of tasks.
const TYPICAL_SHARE: u32 = 32;

impl ServerPool {
    /// Takes `ticket` into the queue or turns it away; `waiter` learns how it ends.
    pub fn submit(
        &mut self,
        ticket: &job_model::JobTicket,
        waiter: pool_action::WaiterId,
        now: time::Duration,
    ) {
        let id = Arc::clone(&ticket.spec.id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.waiters.push(waiter);
            job.maybe_elsewhere |= ticket.may_have_started;
            self.note(
                pool_action::DecisionKind::Attached,
                Some(id),
                None,
                "already_here",
                NO_INPUTS,
            );
            return;
        }
        let job = self.new_job(ticket, waiter, now);
        let adopted = job
            .tasks
            .iter()
            .any(|task| task.phase != TaskPhase::Waiting);
        if !adopted && let Some((reason, wait)) = self.foretell_refusal(&job, ticket.terms, now) {
            self.refuse(ticket, waiter, reason, wait);
            return;
        }
        self.note_sizes(&ticket.spec);
        let inputs = [
            ("tasks", claims::as_count(job.tasks.len())),
            ("queued", claims::as_count(self.queue.len())),
            (
                "slack_ms",
                pool_action::whole_ms(job.position.latest_start.saturating_sub(now)),
            ),
        ];
        let outcome = if adopted { "adopted" } else { "accepted" };
        self.note(
            pool_action::DecisionKind::Queued,
            Some(Arc::clone(&id)),
            None,
            outcome,
            inputs,
        );
        self.queue.insert(job.position.clone());
        self.jobs.insert(Arc::clone(&id), job);
        self.finish_if_done(&id, now);
        self.schedule(now);
    }

    fn refuse(
        &mut self,
        ticket: &job_model::JobTicket,
        waiter: pool_action::WaiterId,
        reason: job_model::RefusalReason,
        wait: time::Duration,
    ) {
        let inputs = [
            ("queued", claims::as_count(self.queue.len())),
            ("start_in_ms", pool_action::whole_ms(wait)),
            ("age_ms", pool_action::whole_ms(ticket.age)),
        ];
        self.note(
            pool_action::DecisionKind::Refused,
            Some(Arc::clone(&ticket.spec.id)),
            None,
            refusal_text(reason),
            inputs,
        );
        let end = job_model::JobEnd::Refused {
            reason,
            retry_after: retry_advice::jittered_retry_after(&ticket.spec.id, wait),
        };
        self.actions
            .push(pool_action::PoolAction::AnswerWaiter { waiter, end });
    }

    /// Takes in the sizes of a job's tasks.
    fn note_sizes(&mut self, spec: &job_model::JobSpec) {
        for step in &spec.steps {
            let weighted = self.typical_cpu * (TYPICAL_SHARE - 1) + step.cpu_millis;
            self.typical_cpu = match self.typical_cpu {
                0 => step.cpu_millis,
                _ => weighted / TYPICAL_SHARE,
            };
        }
    }

    fn new_job(
        &mut self,
        ticket: &job_model::JobTicket,
        waiter: pool_action::WaiterId,
        now: time::Duration,
    ) -> JobEntry {
        let spec = &ticket.spec;
        let arrived = now.saturating_sub(ticket.age);
        let learnt = self.estimates.get(&spec.route).copied().unwrap_or_default();
        let run_times: SmallVec<[time::Duration; 1]> = spec
            .steps
            .iter()
            .map(|step| learnt.expected_run_time(step.estimate()))
            .collect();
        let chain = spec.critical_path(&run_times);
        let objective = spec.objective(chain);
        let objective_at = arrived + objective;
        let deadline_at = now + ticket.time_to_deadline;
        let useless_at = (arrived + objective * USELESS_OBJECTIVES).min(deadline_at);
        self.arrivals += 1;
        let position = job_order::QueuePosition {
            late: false,
            latest_start: match self.settings.policies.queue {
                settings::QueuePolicy::LeastSlack => objective_at.saturating_sub(chain),
                settings::QueuePolicy::Arrival => arrived,
            },
            priority: spec.priority,
            arrival: self.arrivals,
            job: Arc::clone(&spec.id),
        };
        let first_run = if ticket.may_have_started {
            RUNS_PER_POOL
        } else {
            1
        };
        let mut tasks = Vec::with_capacity(spec.task_count());
        for (step, position) in spec.steps.iter().zip(0_u16..) {
            for index in 0..step.task_count {
                let name = job_model::TaskName {
                    job: Arc::clone(&spec.id),
                    occurrence: 0,
                    step: position,
                    index,
                };
                tasks.push(self.adopt_task(name, step, first_run));
            }
        }
        let started = tasks.iter().any(|task| task.phase != TaskPhase::Waiting);
        JobEntry {
            spec: Arc::clone(spec),
            waiters: smallvec![waiter],
            tasks,
            position,
            run_times,
            chain,
            arrived,
            objective_at,
            useless_at,
            deadline_at,
            started,
            maybe_elsewhere: ticket.may_have_started,
        }
    }

    /// A task as it stands: with the run that is already on a server, if there is one.
    fn adopt_task(
        &mut self,
        name: job_model::TaskName,
        step: &job_model::StepSpec,
        first_run: u64,
    ) -> TaskEntry {
        let mut task = TaskEntry {
            phase: TaskPhase::Waiting,
            failures: 0,
            moves: 0,
            next_run: first_run,
            avoid: SmallVec::new(),
            name,
        };
        if let Some((server_model::RunEnd::Done, _)) = self.foreign_ends.get(&task.name) {
            task.phase = TaskPhase::Done;
            return task;
        }
        let Some(server) = self.run_places.get(&task.name) else {
            return task;
        };
        let run = self
            .servers
            .get_mut(server)
            .and_then(|slot| slot.runs.get_mut(&task.name));
        if let Some(run) = run {
            run.has_job = true;
            run.cpu_millis = step.cpu_millis;
            run.memory_mb = step.memory_mb;
            run.gpus = step.gpus;
            run.estimate = step.estimate();
            run.nominal_run_time = step.estimate();
            task.next_run = run.run_id + 1;
            task.phase = TaskPhase::Placed {
                server: Arc::clone(server),
                run_id: run.run_id,
            };
        }
        task
    }

    /// Gives a run that was found on a server to the job that waits for its task.
    pub(super) fn adopt_listed_run(&mut self, name: &job_model::TaskName) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return false;
        };
        let spec = Arc::clone(&job.spec);
        let position = job
            .tasks
            .iter()
            .position(|task| task.name == *name && task.phase == TaskPhase::Waiting);
        let (Some(position), Some(step)) = (position, spec.steps.get(usize::from(name.step)))
        else {
            return false;
        };
        let task = self.adopt_task(name.clone(), step, 1);
        if let Some(job) = self.jobs.get_mut(&name.job)
            && let Some(waiting) = job.tasks.get_mut(position)
        {
            waiting.next_run = waiting.next_run.max(task.next_run);
            waiting.phase = task.phase;
            job.started = true;
        }
        true
    }

    /// `waiter` doesn't wait any more; without another, its job is dropped.
    pub fn withdraw(&mut self, job: &Arc<str>, waiter: pool_action::WaiterId, now: time::Duration) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        entry.waiters.retain(|other| *other != waiter);
        if entry.waiters.is_empty() {
            self.end_job(
                job,
                &job_model::JobEnd::Failed(job_model::FailureReason::Withdrawn),
                now,
            );
            self.schedule(now);
        }
    }

    /// Drops a job without stopping its runs; they are the next owner's.
    pub(super) fn abandon_job(&mut self, id: &Arc<str>, now: time::Duration) {
        if let Some(job) = self.jobs.get(id) {
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
                    run.ordered_at = now;
                }
            }
        }
        self.remove_job(id, &job_model::JobEnd::PoolLost, now);
    }

    /// Ends a job and stops what runs of it.
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
        self.queue.remove(&job.position);
        let done = job
            .tasks
            .iter()
            .filter(|task| task.phase == TaskPhase::Done)
            .count();
        let inputs = [
            (
                "age_ms",
                pool_action::whole_ms(now.saturating_sub(job.arrived)),
            ),
            (
                "objective_ms",
                pool_action::whole_ms(job.objective_at.saturating_sub(job.arrived)),
            ),
            ("done_tasks", claims::as_count(done)),
        ];
        self.note(
            pool_action::DecisionKind::JobEnded,
            Some(Arc::clone(id)),
            None,
            end_text(end),
            inputs,
        );
        for waiter in &job.waiters {
            self.actions.push(pool_action::PoolAction::AnswerWaiter {
                waiter: *waiter,
                end: end.clone(),
            });
        }
    }

    /// Ends jobs that can't help their callers any more.
    pub(super) fn expire_jobs(&mut self, now: time::Duration) {
        let mut hopeless = Vec::new();
        let mut late = Vec::new();
        for job in self.jobs.values() {
            let waiting = job
                .tasks
                .iter()
                .any(|task| task.phase == TaskPhase::Waiting);
            let hopeless_now = if waiting {
                now + job.chain >= job.useless_at
            } else {
                now >= job.deadline_at
            };
            match () {
                () if hopeless_now => {
                    hopeless.push((Arc::clone(&job.spec.id), job.started || job.maybe_elsewhere));
                }
                // What ran of a job is wasted unless the rest follows.
                () if waiting
                    && !job.started
                    && !job.position.late
                    && now > job.position.latest_start =>
                {
                    late.push(job.position.clone());
                }
                () => {}
            }
        }
        for (id, started) in hopeless {
            let end = if started {
                job_model::JobEnd::Failed(job_model::FailureReason::OutOfTime)
            } else {
                job_model::JobEnd::Refused {
                    reason: job_model::RefusalReason::ExpiredInQueue,
                    retry_after: retry_advice::jittered_retry_after(&id, time::Duration::ZERO),
                }
            };
            self.end_job(&id, &end, now);
        }
        for position in late {
            self.queue.remove(&position);
            let demoted = position.demoted();
            if let Some(job) = self.jobs.get_mut(&position.job) {
                job.position = demoted.clone();
                self.queue.insert(demoted);
            }
        }
    }

    pub(super) fn finish_if_done(&mut self, id: &Arc<str>, now: time::Duration) {
        let done = self
            .jobs
            .get(id)
            .is_some_and(|job| job.tasks.iter().all(|task| task.phase == TaskPhase::Done));
        if done {
            self.end_job(id, &job_model::JobEnd::Completed, now);
        }
    }
}

fn refusal_text(reason: job_model::RefusalReason) -> &'static str {
    match reason {
        job_model::RefusalReason::QueueTooLong => "queue_too_long",
        job_model::RefusalReason::NoSuitableServer => "no_suitable_server",
        job_model::RefusalReason::ExpiredInQueue => "expired_in_queue",
        job_model::RefusalReason::NoPool => "no_pool",
    }
}

fn end_text(end: &job_model::JobEnd) -> &'static str {
    match end {
        job_model::JobEnd::Completed => "completed",
        job_model::JobEnd::Failed(job_model::FailureReason::AttemptsExhausted) => {
            "attempts_exhausted"
        }
        job_model::JobEnd::Failed(job_model::FailureReason::OutOfTime) => "out_of_time",
        job_model::JobEnd::Failed(job_model::FailureReason::PoolLost)
        | job_model::JobEnd::PoolLost => "pool_lost",
        job_model::JobEnd::Failed(job_model::FailureReason::Withdrawn) => "withdrawn",
        job_model::JobEnd::NotLeader => "not_leader",
        job_model::JobEnd::Refused { reason, .. } => refusal_text(*reason),
    }
}
