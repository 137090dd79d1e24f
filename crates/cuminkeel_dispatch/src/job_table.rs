//! Accepted jobs, their tasks' states and the rules that every policy keeps:
//! one start per task unless the attempt is proved not started, and one final
//! answer per job, whole or failed.

use std::{collections, mem, sync, time};

use cuminkeel_types::{job, names, outcome, time as clock};
use smallvec::SmallVec;

use crate::event;

/// Attempts after which a task that never starts fails its job.
const MAX_ATTEMPTS: u16 = 64;

/// How far one task has come.
#[derive(Clone, Debug, Eq, PartialEq)]
enum TaskProgress {
    Waiting { attempts: u16 },
    Running { attempts: u16 },
    Done { output: sync::Arc<str> },
}

/// One accepted job without a final answer.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// The job as submitted.
    pub spec: sync::Arc<job::JobSpec>,
    /// When it was accepted.
    pub submitted: clock::TimePoint,
    /// When an answer is of no use any more.
    pub deadline: clock::TimePoint,
    progress: Vec<TaskProgress>,
    done: usize,
    running: usize,
    proved_run: bool,
}

impl JobRecord {
    /// Tasks sent and not yet ended.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Tasks neither sent nor done.
    pub fn waiting(&self) -> usize {
        self.progress.len() - self.done - self.running
    }

    /// Whether any task may have started.
    pub fn run_status(&self) -> outcome::RunStatus {
        match (self.proved_run, self.running) {
            (true, _) => outcome::RunStatus::Ran,
            (false, 0) => outcome::RunStatus::NotRun,
            (false, _) => outcome::RunStatus::Unknown,
        }
    }

    /// Earlier attempts of a task, all proved not started.
    pub fn attempts(&self, task: names::TaskIndex) -> u16 {
        match self.progress.get(task.0 as usize) {
            Some(TaskProgress::Waiting { attempts } | TaskProgress::Running { attempts }) => {
                *attempts
            }
            _ => 0,
        }
    }
}

/// One task on a server. Outlives its job's answer until the attempt ends.
#[derive(Clone, Debug)]
pub struct RunningTask {
    /// Where it runs.
    pub server: names::ServerName,
    /// When it was sent.
    pub started: clock::TimePoint,
    /// The job it belongs to.
    pub spec: sync::Arc<job::JobSpec>,
    /// The customer's slot time that was charged at the start.
    pub charged: time::Duration,
}

/// What became of an attempt, for the policy's own accounts.
#[derive(Clone, Debug)]
pub struct EndedTask {
    /// The attempt.
    pub running: RunningTask,
    /// What the job needs next.
    pub verdict: EndVerdict,
}

/// What a job needs after one of its attempts ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndVerdict {
    /// Queue the task again: it is proved not started.
    Retry,
    /// The job goes on with its other tasks.
    Continue,
    /// The job got its final answer by this end.
    Finished,
    /// The job had its final answer before this end.
    Orphaned,
}

/// All accepted jobs and all running tasks of one entry.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: collections::HashMap<names::JobId, JobRecord>,
    running: collections::HashMap<outcome::TaskKey, RunningTask>,
    deadlines: collections::BTreeSet<(clock::TimePoint, names::JobId)>,
}

impl JobTable {
    /// Accepts a job. Returns false if its id is in use.
    pub fn accept(&mut self, now: clock::TimePoint, request: &event::JobRequest) -> bool {
        if self.jobs.contains_key(&request.id) {
            return false;
        }
        let deadline = now + request.spec.deadline;
        let waiting = TaskProgress::Waiting { attempts: 0 };
        let record = JobRecord {
            spec: sync::Arc::clone(&request.spec),
            submitted: now,
            deadline,
            progress: vec![waiting; request.spec.tasks.len()],
            done: 0,
            running: 0,
            proved_run: false,
        };
        self.jobs.insert(request.id, record);
        self.deadlines.insert((deadline, request.id));
        true
    }

    /// The job, unless it has its final answer.
    pub fn job(&self, job: names::JobId) -> Option<&JobRecord> {
        self.jobs.get(&job)
    }

    /// Jobs without a final answer.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is without a final answer.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Tasks sent and not yet ended.
    pub fn running_tasks(&self) -> usize {
        self.running.len()
    }

    /// A running task.
    pub fn running(&self, task: &outcome::TaskKey) -> Option<&RunningTask> {
        self.running.get(task)
    }

    /// Whether a task may be sent: its job is open and no attempt of it is
    /// running or done.
    pub fn is_waiting(&self, key: &outcome::TaskKey) -> bool {
        let progress = self
            .jobs
            .get(&key.job)
            .and_then(|job| job.progress.get(key.task.0 as usize));
        matches!(progress, Some(TaskProgress::Waiting { .. }))
    }

    /// Sends a waiting task to a server. Returns false, and does nothing, if
    /// the task is not waiting.
    pub fn start(
        &mut self,
        now: clock::TimePoint,
        key: &outcome::TaskKey,
        server: &names::ServerName,
        charged: time::Duration,
        actions: &mut Vec<event::DispatchAction>,
    ) -> bool {
        let Some(record) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        let Some(progress) = record.progress.get_mut(key.task.0 as usize) else {
            return false;
        };
        let TaskProgress::Waiting { attempts } = *progress else {
            return false;
        };
        *progress = TaskProgress::Running { attempts };
        record.running += 1;
        let running = RunningTask {
            server: server.clone(),
            started: now,
            spec: sync::Arc::clone(&record.spec),
            charged,
        };
        self.running.insert(key.clone(), running);
        actions.push(event::DispatchAction::StartTask {
            task: key.clone(),
            server: server.clone(),
            time_left: record.deadline.since(now),
        });
        true
    }

    /// Takes in the end of an attempt. None if no such attempt is running.
    pub fn end(
        &mut self,
        key: &outcome::TaskKey,
        server: &names::ServerName,
        outcome: &outcome::TaskOutcome,
        actions: &mut Vec<event::DispatchAction>,
    ) -> Option<EndedTask> {
        if self.running.get(key)?.server != *server {
            return None;
        }
        let running = self.running.remove(key)?;
        let verdict = self.settle(key, outcome, actions);
        Some(EndedTask { running, verdict })
    }

    fn settle(
        &mut self,
        key: &outcome::TaskKey,
        outcome: &outcome::TaskOutcome,
        actions: &mut Vec<event::DispatchAction>,
    ) -> EndVerdict {
        let Some(record) = self.jobs.get_mut(&key.job) else {
            return EndVerdict::Orphaned;
        };
        let attempts = record.attempts(key.task) + 1;
        record.running -= 1;
        let progress = &mut record.progress[key.task.0 as usize];
        match outcome {
            outcome::TaskOutcome::Done { output, .. } => {
                *progress = TaskProgress::Done {
                    output: sync::Arc::clone(output),
                };
                record.done += 1;
                record.proved_run = true;
                self.complete_if_done(key.job, actions)
            }
            outcome::TaskOutcome::NotStarted { .. } if attempts < MAX_ATTEMPTS => {
                *progress = TaskProgress::Waiting { attempts };
                EndVerdict::Retry
            }
            outcome::TaskOutcome::NotStarted { cause } => {
                *progress = TaskProgress::Waiting { attempts };
                let detail = format!("task {} found no slot: {cause}", key.task.0);
                self.fail(key.job, outcome::RefusalCode::Overloaded, &detail, actions);
                EndVerdict::Finished
            }
            outcome::TaskOutcome::Failed { detail } => {
                record.proved_run = true;
                self.fail(key.job, outcome::RefusalCode::TaskFailed, detail, actions);
                EndVerdict::Finished
            }
            outcome::TaskOutcome::Lost { detail } => {
                // The lost attempt counts as running, so that the answer can't say `not_run`.
                record.running += 1;
                *progress = TaskProgress::Running { attempts };
                self.fail(key.job, outcome::RefusalCode::TaskLost, detail, actions);
                EndVerdict::Finished
            }
        }
    }

    fn complete_if_done(
        &mut self,
        job: names::JobId,
        actions: &mut Vec<event::DispatchAction>,
    ) -> EndVerdict {
        let complete = |record: &JobRecord| record.done == record.progress.len();
        if !self.jobs.get(&job).is_some_and(complete) {
            return EndVerdict::Continue;
        }
        let Some(mut record) = self.remove(job) else {
            return EndVerdict::Orphaned;
        };
        let outputs = mem::take(&mut record.progress)
            .into_iter()
            .filter_map(|progress| match progress {
                TaskProgress::Done { output } => Some(output),
                TaskProgress::Running { .. } | TaskProgress::Waiting { .. } => None,
            })
            .collect();
        actions.push(event::DispatchAction::FinishJob {
            job,
            answer: outcome::JobAnswer::Complete { outputs },
        });
        EndVerdict::Finished
    }

    /// Answers a job with a failure and asks for one stop of each running task.
    /// Returns its record, or none if it had its answer before.
    pub fn fail(
        &mut self,
        job: names::JobId,
        code: outcome::RefusalCode,
        detail: &str,
        actions: &mut Vec<event::DispatchAction>,
    ) -> Option<JobRecord> {
        self.fail_for(job, outcome::Refusal::not_run(code, detail), actions)
    }

    /// As [`JobTable::fail`], with a refusal whose `ran` is set to the truth.
    pub fn fail_for(
        &mut self,
        job: names::JobId,
        mut refusal: outcome::Refusal,
        actions: &mut Vec<event::DispatchAction>,
    ) -> Option<JobRecord> {
        let record = self.remove(job)?;
        refusal.ran = record.run_status();
        actions.push(event::DispatchAction::FinishJob {
            job,
            answer: outcome::JobAnswer::Failed(refusal),
        });
        self.stop_running(job, &record, actions);
        Some(record)
    }

    fn stop_running(
        &self,
        job: names::JobId,
        record: &JobRecord,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        if record.running == 0 {
            return;
        }
        for index in 0..record.progress.len() {
            let task = names::TaskIndex(u32::try_from(index).unwrap_or(u32::MAX));
            let key = outcome::TaskKey { job, task };
            if let Some(running) = self.running.get(&key) {
                let server = running.server.clone();
                actions.push(event::DispatchAction::StopTask { task: key, server });
            }
        }
    }

    fn remove(&mut self, job: names::JobId) -> Option<JobRecord> {
        let record = self.jobs.remove(&job)?;
        self.deadlines.remove(&(record.deadline, job));
        Some(record)
    }

    /// Jobs whose deadline is `now` or earlier, earliest first.
    pub fn expired(&self, now: clock::TimePoint) -> SmallVec<[names::JobId; 4]> {
        self.deadlines
            .iter()
            .take_while(|(deadline, _)| *deadline <= now)
            .map(|(_, job)| *job)
            .collect()
    }

    /// The earliest deadline of any open job.
    pub fn next_deadline(&self) -> Option<clock::TimePoint> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }
}

/// Refuses a job that was not accepted.
pub fn refuse(
    job: names::JobId,
    refusal: outcome::Refusal,
    actions: &mut Vec<event::DispatchAction>,
) {
    let answer = outcome::JobAnswer::Failed(refusal);
    actions.push(event::DispatchAction::FinishJob { job, answer });
}
