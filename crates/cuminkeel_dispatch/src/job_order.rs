//! Order in which queued jobs are served.
//!
//! Load pattern: bursts in which short jobs with little slack arrive together with
//! long jobs with much slack. The job that must start first to meet its objective is
//! served first. Jobs that can no longer meet their objective are served when no other
//! job waits. Jobs with started tasks are exempt and keep their position, because a
//! half-completed job has no value to its caller.

use std::{sync::Arc, time};

/// Position of a job in the queue; the smallest position is served first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    /// Whether the job can no longer meet its objective.
    pub late: bool,
    /// Latest time at which the work can start to meet the objective.
    pub latest_start: time::Duration,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Arrival number; breaks ties in favour of the earlier job.
    pub arrival: u64,
    /// Id of the job.
    pub job: Arc<str>,
}

impl QueuePosition {
    /// Returns the position of the job once it can no longer meet its objective.
    #[must_use]
    pub fn demoted(&self) -> Self {
        Self {
            late: true,
            ..self.clone()
        }
    }
}
