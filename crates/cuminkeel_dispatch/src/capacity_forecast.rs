//! Forecast of the capacity for queued jobs, on which admission control is based.
//!
//! For seconds at a time, the load can exceed what the servers can do. A queue that
//! admits everything then makes every job miss its objective. Refusing a job on arrival
//! when it is forecast to end too late for the terms of its offer lets the other jobs
//! meet their objectives and the caller try elsewhere at once.

use std::{cmp, collections::BinaryHeap, time};

/// Remaining work of one queued job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedWork {
    /// Number of tasks that have not started.
    pub task_count: usize,
    /// Mean nominal run time of the tasks.
    pub run_time: time::Duration,
}

/// Times from now at which capacity for one more task becomes free.
#[derive(Clone, Debug, Default)]
pub struct CapacityForecast {
    free_times: BinaryHeap<cmp::Reverse<time::Duration>>,
}

impl CapacityForecast {
    /// Adds capacity for one task at a time, free from `free_in` on.
    pub fn add_capacity(&mut self, free_in: time::Duration) {
        self.free_times.push(cmp::Reverse(free_in));
    }

    /// Whether there is no capacity for any task.
    pub fn is_empty(&self) -> bool {
        self.free_times.is_empty()
    }

    /// Reserves the earliest capacity for `work`, after what is reserved already. Returns the
    /// time from now at which its last task starts, or `None` if there is no capacity at all.
    pub fn reserve(&mut self, work: QueuedWork) -> Option<time::Duration> {
        let mut last_start = time::Duration::ZERO;
        for _ in 0..work.task_count {
            let cmp::Reverse(start) = self.free_times.pop()?;
            last_start = last_start.max(start);
            self.free_times.push(cmp::Reverse(start + work.run_time));
        }
        Some(last_start)
    }

    /// Reserves as [`Self::reserve`] does if the last task starts by `latest`, and nothing otherwise.
    /// Returns the time of its start in both cases.
    pub fn reserve_by(
        &mut self,
        work: QueuedWork,
        latest: time::Duration,
    ) -> Option<time::Duration> {
        let unchanged = self.free_times.clone();
        let start = self.reserve(work);
        if start.is_none_or(|start| start > latest) {
            self.free_times = unchanged;
        }
        start
    }
}
