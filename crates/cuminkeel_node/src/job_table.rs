//! Jobs that this process is running for callers, so that copies of a job share one run of its offers.
//!
//! Otherwise one copy could be offered to another pool after a refusal while the home pool admits the
//! other.

use std::{
    collections::HashMap,
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
};

use cuminkeel_dispatch::{job_model, offer_plan};
use tokio::{sync::watch, task};

/// Jobs in progress by id.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: Mutex<HashMap<Arc<str>, Weak<SharedJob>>>,
}

/// Pool to which a job was offered last.
#[derive(Clone, Debug, Default)]
pub struct LastPool(Arc<Mutex<Option<Arc<str>>>>);

impl LastPool {
    /// Records that the job is offered to the pool of `process`.
    pub fn set(&self, process: &Arc<str>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(process));
    }

    /// Returns the name of the process whose pool the job was offered to last.
    pub fn get(&self) -> Option<Arc<str>> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Job in progress. It is aborted when the last of its callers has left and dropped it.
#[derive(Debug)]
pub struct SharedJob {
    table: Arc<JobTable>,
    id: Arc<str>,
    answer: watch::Receiver<Option<offer_plan::JobAnswer>>,
    last_pool: LastPool,
    task: task::AbortHandle,
}

impl JobTable {
    /// Returns the job `id`, which `run` runs in a task of its own unless a copy is in progress. `run` sets
    /// `last_pool`.
    pub fn join_or_start<F>(
        self: &Arc<Self>,
        id: &Arc<str>,
        last_pool: LastPool,
        run: F,
    ) -> Arc<SharedJob>
    where
        F: Future<Output = offer_plan::JobAnswer> + Send + 'static,
    {
        let mut jobs = self.lock();
        if let Some(job) = jobs.get(id).and_then(Weak::upgrade) {
            return job;
        }
        let (answer_sender, answer) = watch::channel(None);
        let task = tokio::spawn(async move {
            let answer = run.await;
            answer_sender.send_replace(Some(answer));
        });
        let job = Arc::new(SharedJob {
            table: Arc::clone(self),
            id: Arc::clone(id),
            answer,
            last_pool,
            task: task.abort_handle(),
        });
        jobs.insert(Arc::clone(id), Arc::downgrade(&job));
        job
    }

    /// Whether a copy of the job `id` is in progress.
    pub fn contains(&self, id: &str) -> bool {
        self.lock()
            .get(id)
            .is_some_and(|job| job.strong_count() > 0)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Weak<SharedJob>>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SharedJob {
    /// Returns the name of the process whose pool the job was offered to last.
    pub fn last_pool(&self) -> Option<Arc<str>> {
        self.last_pool.get()
    }

    /// Waits until the job is answered, and returns its answer.
    pub async fn wait_for_answer(&self) -> offer_plan::JobAnswer {
        let mut answer = self.answer.clone();
        let has_answer = answer.wait_for(Option::is_some).await;
        has_answer
            .ok()
            .and_then(|answer| *answer)
            // The task has panicked, and the job may have started.
            .unwrap_or(offer_plan::JobAnswer::Failed(
                job_model::FailureReason::PoolLost,
            ))
    }
}

impl Drop for SharedJob {
    fn drop(&mut self) {
        self.task.abort();
        let mut jobs = self.table.lock();
        // A caller that came after the last one had left may have started the job again.
        if jobs
            .get(&self.id)
            .is_some_and(|job| job.strong_count() == 0)
        {
            jobs.remove(&self.id);
        }
    }
}
