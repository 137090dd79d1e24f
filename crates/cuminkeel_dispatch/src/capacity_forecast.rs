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

/// Capacity for some tasks that becomes free at the same time. Ordered by that time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EqualCapacity {
    /// Time from now at which it becomes free.
    free_in: time::Duration,
    task_count: u64,
}

/// Times from now at which capacity for more tasks becomes free.
///
/// Equal times are kept as one with their number: how often a task fits on a server depends on figures that the
/// server and the caller declare, and must not decide what a forecast costs.
#[derive(Clone, Debug, Default)]
pub struct CapacityForecast {
    capacities: BinaryHeap<cmp::Reverse<EqualCapacity>>,
}

impl CapacityForecast {
    /// Adds capacity for one task at a time, free from `free_in` on.
    pub fn add_capacity(&mut self, free_in: time::Duration) {
        self.add_equal_capacities(1, free_in);
    }

    /// Adds capacity for `task_count` tasks at a time, free from `free_in` on.
    pub fn add_equal_capacities(&mut self, task_count: u64, free_in: time::Duration) {
        if task_count > 0 {
            self.capacities.push(cmp::Reverse(EqualCapacity {
                free_in,
                task_count,
            }));
        }
    }

    /// Whether there is no capacity for any task.
    pub fn is_empty(&self) -> bool {
        self.capacities.is_empty()
    }

    /// Reserves the earliest capacity for `work`, after what is reserved already. Returns the
    /// time from now at which its last task starts, or `None` if there is no capacity at all.
    pub fn reserve(&mut self, work: QueuedWork) -> Option<time::Duration> {
        let mut last_start = time::Duration::ZERO;
        let mut waiting = u64::try_from(work.task_count).unwrap_or(u64::MAX);
        while waiting > 0 {
            let cmp::Reverse(earliest) = self.capacities.pop()?;
            let started = earliest.task_count.min(waiting);
            waiting -= started;
            last_start = last_start.max(earliest.free_in);
            self.add_equal_capacities(earliest.task_count - started, earliest.free_in);
            let ends_in = earliest.free_in.saturating_add(work.run_time);
            self.add_equal_capacities(started, ends_in);
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
        let unchanged = self.capacities.clone();
        let start = self.reserve(work);
        if start.is_none_or(|start| start > latest) {
            self.capacities = unchanged;
        }
        start
    }
}
