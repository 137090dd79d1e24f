//! Forecast wait of a task that would be queued last.

use std::time;

use super::ServerPool;
use crate::{capacity_forecast, server_slot};

/// Longest wait that is forecast; no caller waits for longer.
const MAX_QUEUE_WAIT: time::Duration = time::Duration::from_mins(1);

impl ServerPool {
    /// Returns the forecast time until a task of typical size would start if it were queued at `now`.
    /// Each end of a run is counted as capacity for one more task.
    pub(super) fn typical_wait(&self, now: time::Duration) -> time::Duration {
        let typical_cpu_millis = self.typical_cpu_millis.max(1);
        let has_room = |slot: &server_slot::ServerSlot| {
            slot.is_usable(now) && slot.startable_tasks(typical_cpu_millis, now) > 0
        };
        if self.queue.is_empty() && self.servers.values().any(has_room) {
            return time::Duration::ZERO;
        }
        let mut forecast = capacity_forecast::CapacityForecast::default();
        for slot in self.servers.values().filter(|slot| slot.is_usable(now)) {
            let startable_tasks = slot.startable_tasks(typical_cpu_millis, now);
            forecast.add_equal_capacities(u64::from(startable_tasks), time::Duration::ZERO);
            for run in slot.runs.values().filter(|run| run.has_job) {
                forecast.add_capacity(run.expected_remaining(now));
            }
        }
        for position in &self.queue {
            if let Some(job) = self.jobs.get(&position.job)
                && !self.waits_for_earlier_runs(job, now)
            {
                let _start = forecast.reserve(super::admission::queued_work(job));
            }
        }
        forecast
            .reserve(capacity_forecast::QueuedWork {
                task_count: 1,
                run_time: time::Duration::ZERO,
            })
            .map_or(MAX_QUEUE_WAIT, |start| start.min(MAX_QUEUE_WAIT))
    }
}
