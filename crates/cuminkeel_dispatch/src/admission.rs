//! Whether a job is taken into the queue.
//!
//! Load pattern: more work than the servers can do, for seconds. A queue that
//! takes everything makes every job late; one that turns a job away on arrival,
//! when it can be foretold to miss its objective, serves the others in time and
//! lets the caller ask elsewhere at once.

use std::{cmp, collections::BinaryHeap, time};

/// Tasks of one queued job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedWork {
    /// Tasks that have not started.
    pub tasks: usize,
    /// Expected run time of each.
    pub run_time: time::Duration,
}

/// Times from now at which room for one more task becomes free.
#[derive(Clone, Debug, Default)]
pub struct CapacityForecast {
    lanes: BinaryHeap<cmp::Reverse<time::Duration>>,
}

impl CapacityForecast {
    /// Room for one more task at a time, from `free_in` on.
    pub fn add_task_slot(&mut self, free_in: time::Duration) {
        self.lanes.push(cmp::Reverse(free_in));
    }

    /// Whether no task ever fits.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Plans `work` behind everything planned before; returns the time from now
    /// at which its last task starts, or `None` without any room.
    pub fn schedule(&mut self, work: QueuedWork) -> Option<time::Duration> {
        let mut last_start = time::Duration::ZERO;
        for _ in 0..work.tasks {
            let cmp::Reverse(start) = self.lanes.pop()?;
            last_start = last_start.max(start);
            self.lanes.push(cmp::Reverse(start + work.run_time));
        }
        Some(last_start)
    }
}
