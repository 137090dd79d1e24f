//! Attempts that were proved not started, and the budget for repeating them.

use std::{collections, time};

use cuminkeel_types::{outcome, time as clock};

use super::SlotPolicy;
use crate::{event, fair_queue};

/// Retries that each start pays for.
const RETRIES_PER_START: f64 = 0.1;
/// Most retries that are saved up.
const MAX_RETRIES: f64 = 50.0;
/// Pause before a retry without budget, for each attempt so far.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Longest such pause.
const MAX_RETRY_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Tokens for retries, and the retries that wait without one.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    waiting: collections::BTreeMap<(clock::TimePoint, outcome::TaskKey), time::Duration>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: MAX_RETRIES,
            waiting: collections::BTreeMap::new(),
        }
    }
}

impl RetryBudget {
    pub(super) fn on_start(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_START).min(MAX_RETRIES);
    }

    fn take_token(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    pub(super) fn next_due(&self) -> Option<clock::TimePoint> {
        self.waiting.first_key_value().map(|((due, _), _)| *due)
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}

impl SlotPolicy {
    /// Queues a task again, at once within the budget, else after a pause.
    pub(super) fn retry(
        &mut self,
        now: clock::TimePoint,
        key: &outcome::TaskKey,
        size: u32,
        charged_secs: f64,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        if size > self.pool.max_size() {
            let code = outcome::RefusalCode::NeverRunnable;
            self.table
                .fail(key.job, code, "a task fits no backend server", actions);
            self.forget_job(key.job);
            return;
        }
        let charged = time::Duration::from_secs_f64(charged_secs);
        if self.retries.take_token() {
            self.requeue(key, charged);
            return;
        }
        let attempts = self
            .table
            .job(key.job)
            .map_or(1, |job| job.attempts(key.task));
        let pause = (RETRY_PAUSE * u32::from(attempts)).min(MAX_RETRY_PAUSE);
        self.retries
            .waiting
            .insert((now + pause, key.clone()), charged);
    }

    /// Queues the retries whose pause is over.
    pub(super) fn resume_retries(&mut self, now: clock::TimePoint) {
        while let Some(entry) = self.retries.waiting.first_entry()
            && entry.key().0 <= now
        {
            let ((_, key), charged) = entry.remove_entry();
            self.requeue(&key, charged);
        }
    }

    fn requeue(&mut self, key: &outcome::TaskKey, charged: time::Duration) {
        if let Some(place) = self.places.get(&key.job) {
            let task = fair_queue::QueuedTask {
                task: key.task,
                secs: charged.as_secs_f64(),
            };
            self.queue.put_back(place.customer, place.rank, task);
        }
    }
}
