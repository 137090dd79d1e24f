//! Expected run times from callers' estimates and from what past runs took.
//!
//! Load pattern: estimates that are off by two fifths, of jobs whose run times
//! spread as much around their route's mean. Neither tells enough alone; the line
//! that best fits past pairs of estimate and run time weighs one against the other.

use std::time;

/// Runs of a route that are needed before its line is trusted: fewer leave the slope to chance.
const MIN_SAMPLES: u32 = 20;
/// Weight of a new run once there are many: the last hundred runs count most.
const SAMPLE_WEIGHT: f64 = 0.01;
/// Shortest time that is told apart from none, in seconds.
const MIN_SECONDS: f64 = 1e-3;

/// Line through the logarithms of estimates and run times of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunTimeModel {
    samples: u32,
    mean_estimate: f64,
    mean_actual: f64,
    variance: f64,
    covariance: f64,
}

impl RunTimeModel {
    /// Takes in a run of `actual`, on a server of usual pace, that was estimated at `estimate`.
    pub fn record(&mut self, estimate: time::Duration, actual: time::Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let (x, y) = (log_seconds(estimate), log_seconds(actual));
        let (dx, dy) = (x - self.mean_estimate, y - self.mean_actual);
        self.mean_estimate += weight * dx;
        self.mean_actual += weight * dy;
        self.variance = (1.0 - weight) * (self.variance + weight * dx * dx);
        self.covariance = (1.0 - weight) * (self.covariance + weight * dx * dy);
    }

    /// Expected run time of a task that is estimated at `estimate`.
    pub fn expected_run_time(&self, estimate: time::Duration) -> time::Duration {
        if self.samples < MIN_SAMPLES {
            return estimate;
        }
        let slope = if self.variance > 0.0 {
            (self.covariance / self.variance).clamp(0.0, 1.0)
        } else {
            1.0
        };
        let log = self.mean_actual + slope * (log_seconds(estimate) - self.mean_estimate);
        time::Duration::from_secs_f64(log.exp())
    }
}

fn log_seconds(duration: time::Duration) -> f64 {
    duration.as_secs_f64().max(MIN_SECONDS).ln()
}
