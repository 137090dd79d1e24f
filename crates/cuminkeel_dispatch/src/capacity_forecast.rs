//! Admission control: forecasts when a queued job could start.
//!
//! Load pattern: more work than the servers can do, for seconds. A queue that
//! admits everything makes every job late. Refusing a job on arrival when the
//! forecast says that it will miss its objective keeps the other jobs in time and
//! lets the caller try elsewhere at once.

use std::{cmp, collections::BinaryHeap, time};

/// Remaining work of one queued job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedWork {
    /// Number of tasks that have not started.
    pub task_count: usize,
    /// Expected run time of each task.
    pub run_time: time::Duration,
}

/// Times from now at which capacity for one more task becomes free.
#[derive(Clone, Debug, Default)]
pub struct CapacityForecast {
    slot_free_times: BinaryHeap<cmp::Reverse<time::Duration>>,
}

impl CapacityForecast {
    /// Adds capacity for one task at a time, free from `free_in` on.
    pub fn add_capacity(&mut self, free_in: time::Duration) {
        self.slot_free_times.push(cmp::Reverse(free_in));
    }

    /// Whether there is no capacity for any task.
    pub fn is_empty(&self) -> bool {
        self.slot_free_times.is_empty()
    }

    /// Reserves capacity for `work` after all work before. Returns the time from now
    /// at which its last task starts, or `None` if there is no capacity at all.
    pub fn reserve(&mut self, work: QueuedWork) -> Option<time::Duration> {
        let mut last_start = time::Duration::ZERO;
        for _ in 0..work.task_count {
            let cmp::Reverse(start) = self.slot_free_times.pop()?;
            last_start = last_start.max(start);
            self.slot_free_times
                .push(cmp::Reverse(start + work.run_time));
        }
        Some(last_start)
    }
}
