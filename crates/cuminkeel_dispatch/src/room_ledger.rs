//! Jobs that this process has sent to other pools, which their last room updates don't show yet.

use std::{collections::HashMap, sync::Arc, time};

use smallvec::SmallVec;

/// Time before a room update was sent within which offers may not be included in it: the pool computes
/// its room at most every 50 ms, and an offer takes some milliseconds to reach it.
const UPDATE_LAG: time::Duration = time::Duration::from_millis(60);
/// Time for which a sent job is kept without an update: the longest interval between statuses.
const MAX_ENTRY_AGE: time::Duration = time::Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct SentJob {
    sent_at: time::Duration,
    cpu_millis: u32,
}

/// Processor of the jobs that were sent to each pool, by the name of its process.
#[derive(Debug, Default)]
pub struct RoomLedger {
    pools: HashMap<Arc<str>, SmallVec<[SentJob; 4]>>,
}

impl RoomLedger {
    /// Records that a job whose ready tasks use `cpu_millis` is sent to the pool of `process`.
    pub fn record_sent(&mut self, process: &Arc<str>, cpu_millis: u32, now: time::Duration) {
        let sent_jobs = self.pools.entry(Arc::clone(process)).or_default();
        sent_jobs.retain(|job| now < job.sent_at + MAX_ENTRY_AGE);
        sent_jobs.push(SentJob {
            sent_at: now,
            cpu_millis,
        });
    }

    /// Records that a job that was sent at `sent_at` has ended or was refused.
    pub fn record_ended(&mut self, process: &str, cpu_millis: u32, sent_at: time::Duration) {
        let Some(sent_jobs) = self.pools.get_mut(process) else {
            return;
        };
        let position = sent_jobs
            .iter()
            .position(|job| (job.sent_at, job.cpu_millis) == (sent_at, cpu_millis));
        if let Some(position) = position {
            sent_jobs.swap_remove(position);
        }
        if sent_jobs.is_empty() {
            self.pools.remove(process);
        }
    }

    /// Returns the processor of the jobs that a room update of `process`, sent at `room_sent_at`, may
    /// not show, in thousandths of a core.
    pub fn sent_cpu_millis(&self, process: &str, room_sent_at: time::Duration) -> u32 {
        self.pools.get(process).map_or(0, |sent_jobs| {
            sent_jobs
                .iter()
                .filter(|job| job.sent_at + UPDATE_LAG > room_sent_at)
                .fold(0, |sum, job| sum.saturating_add(job.cpu_millis))
        })
    }
}
