//! Order in which queued jobs are served.
//!
//! In a burst, short jobs with little slack arrive together with long jobs with much
//! slack. The job that must start first to meet its objective is served first. Jobs that
//! can no longer meet their objective are demoted: they are served after all other jobs.
//! Jobs with started tasks are not demoted, because a half-completed job has no
//! value to its caller.

use std::{sync::Arc, time};

/// Position of a job in the queue; the smallest position is served first. Positions are
/// compared field by field, in the order of the fields.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    /// Whether the job was demoted because it can no longer meet its objective.
    pub late: bool,
    /// Latest time at which the work can start to meet the objective; the arrival time under
    /// `QueuePolicy::Arrival`.
    pub latest_start: time::Duration,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Arrival number; breaks ties in favour of the earlier job.
    pub arrival: u64,
    /// Id of the job.
    pub job: Arc<str>,
}

impl QueuePosition {
    /// Returns the position of the job after its demotion.
    #[must_use]
    pub fn demoted(&self) -> Self {
        Self {
            late: true,
            ..self.clone()
        }
    }
}
