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
    /// Processor of the job's smallest task, in thousandths of a core.
    pub min_cpu_millis: u32,
}

/// Smallest weight that a job's id gives to its size. The largest is as far above 1 as this is below: a job of
/// seven times the usual size can come before one of the usual size.
const MIN_SIZE_WEIGHT: f64 = 0.25;

/// Order of jobs while their service is short of servers; the smallest key is served first. Keys are
/// compared field by field, in the order of the fields.
///
/// Load pattern: for seconds, more work arrives than all servers can do. In the order of the latest start,
/// each job then starts at the last moment, and so does each of its tasks: most of the work is done for
/// answers that come too late. Jobs in progress are therefore finished first. Of the others, small ones come
/// first, as more callers are answered for the same work. Sizes are relative to the usual size of the route, so
/// that no route is preferred, and weighted by a lottery, so that large jobs are served too.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct ShortageKey {
    /// Whether the job was demoted because it can no longer meet its objective.
    pub late: bool,
    /// Whether no task of the job has started.
    pub is_unstarted: bool,
    /// Size relative to the route's usual one, weighted by [`size_weight`]; 0 for jobs in progress.
    pub weighted_size: f64,
}

/// Returns the weight of a job's size in a shortage, 1 on average. It is a function of the job's id, so that
/// copies of a job draw the same weight in all pools.
pub fn size_weight(job: &str) -> f64 {
    // The first byte decides on the jitter of the caller's return.
    let [_, draw, ..] = *blake3::hash(job.as_bytes()).as_bytes();
    let whole_range = 2.0 * (1.0 - MIN_SIZE_WEIGHT);
    MIN_SIZE_WEIGHT + whole_range * f64::from(draw) / f64::from(u8::MAX)
}

/// Mean size of the jobs of a route, in core seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsualSize {
    mean: f64,
}

/// Weight of a new job in the usual size of its route: about the last fifty jobs dominate.
const SIZE_SAMPLE_WEIGHT: f64 = 0.02;

impl UsualSize {
    /// Records a job of `size` core seconds, and returns its size relative to the usual one.
    pub fn record(&mut self, size: f64) -> f64 {
        if self.mean <= 0.0 {
            self.mean = size;
        }
        self.mean += SIZE_SAMPLE_WEIGHT * (size - self.mean);
        size / self.mean.max(f64::MIN_POSITIVE)
    }
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
