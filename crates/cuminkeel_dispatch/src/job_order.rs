//! The order in which queued jobs are served.
//!
//! Load pattern: bursts in which short jobs with little slack arrive beside long
//! jobs with much. The job that has to start first to meet its objective goes
//! first; jobs that can't meet it any more are served when nothing else waits, but for
//! those of which tasks have started: a job half done helps nobody.

use std::{sync::Arc, time};

/// Position of a job in the queue; the smallest is served first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    /// Whether the objective is already missed.
    pub late: bool,
    /// Latest time at which the work can start to meet the objective.
    pub latest_start: time::Duration,
    /// Rank of the route; 0 comes first.
    pub priority: u32,
    /// Order of arrival.
    pub arrival: u64,
    /// The job.
    pub job: Arc<str>,
}

impl QueuePosition {
    /// The position of the same job once its objective is missed.
    #[must_use]
    pub fn demoted(&self) -> Self {
        Self {
            late: true,
            ..self.clone()
        }
    }
}
