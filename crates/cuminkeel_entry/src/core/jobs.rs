//! Jobs of this entry, running and lately finished.

use std::{collections, sync, time};

use cuminkeel_types::{job, names, outcome, time as points};
use opentelemetry::Context;
use tokio::sync::oneshot;

use super::message;

/// Time for which a finished job's answer can be fetched.
const ANSWER_RETENTION: time::Duration = time::Duration::from_mins(1);
/// Most finished jobs whose answers are kept.
const MAX_FINISHED_JOBS: usize = 10_000;

/// One job of this entry.
#[derive(Debug)]
pub(super) struct JobRecord {
    pub(super) spec: sync::Arc<job::JobSpec>,
    pub(super) trace: Context,
    pub(super) forwarded: bool,
    pub(super) received: time::SystemTime,
    answer: Option<outcome::JobAnswer>,
    watchers: Vec<oneshot::Sender<outcome::JobAnswer>>,
}

/// All jobs of this entry by their identity.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    jobs: collections::HashMap<names::JobId, JobRecord>,
    finished: collections::VecDeque<(points::TimePoint, names::JobId)>,
}

impl JobTable {
    pub(super) fn insert(
        &mut self,
        job: names::JobId,
        spec: sync::Arc<job::JobSpec>,
        trace: Context,
        forwarded: bool,
    ) {
        let record = JobRecord {
            spec,
            trace,
            forwarded,
            received: time::SystemTime::now(),
            answer: None,
            watchers: Vec::new(),
        };
        self.jobs.insert(job, record);
    }

    pub(super) fn get(&self, job: names::JobId) -> Option<&JobRecord> {
        self.jobs.get(&job)
    }

    /// Whether the job is this customer's.
    pub(super) fn belongs_to(&self, job: names::JobId, customer: &names::CustomerName) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|record| record.spec.customer == *customer)
    }

    /// Stores the final answer and tells those who watch.
    pub(super) fn finish(
        &mut self,
        now: points::TimePoint,
        job: names::JobId,
        answer: &outcome::JobAnswer,
    ) {
        let Some(record) = self.jobs.get_mut(&job) else {
            return;
        };
        record.answer = Some(answer.clone());
        for watcher in record.watchers.drain(..) {
            // A watcher that is gone has stopped waiting.
            let _ = watcher.send(answer.clone());
        }
        self.finished.push_back((now, job));
        self.forget_old(now);
    }

    /// Shows a job to its owner and lets it watch for the answer.
    pub(super) fn look(
        &mut self,
        customer: &names::CustomerName,
        job: names::JobId,
        watcher: oneshot::Sender<outcome::JobAnswer>,
    ) -> Option<message::JobView> {
        if !self.belongs_to(job, customer) {
            return None;
        }
        let record = self.jobs.get_mut(&job)?;
        if let Some(answer) = &record.answer {
            Some(message::JobView::Finished(answer.clone()))
        } else {
            record.watchers.push(watcher);
            Some(message::JobView::Running)
        }
    }

    fn forget_old(&mut self, now: points::TimePoint) {
        while let Some(&(finished_at, job)) = self.finished.front() {
            let is_old = now.since(finished_at) > ANSWER_RETENTION;
            if !is_old && self.finished.len() <= MAX_FINISHED_JOBS {
                return;
            }
            self.finished.pop_front();
            self.jobs.remove(&job);
        }
    }
}
