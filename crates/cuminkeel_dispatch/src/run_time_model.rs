//! Nominal run times from callers' estimates and past run times. The nominal run time of a
//! task is the expected one on a server with the slowdown factor 1.
//!
//! Estimates are off by two fifths, and run times vary as much around the mean of their
//! route, so neither the estimate nor the mean is accurate enough alone. A linear
//! regression over past pairs of estimate and run time weighs one against the other.

use std::time;

/// Number of runs of a route before its regression is used: with fewer, the slope is random.
const MIN_SAMPLES: u32 = 20;
/// Weight of a new run once there are many: about the last hundred runs dominate.
const SAMPLE_WEIGHT: f64 = 0.01;
/// Lower bound of durations whose logarithm is taken, in seconds.
const MIN_DURATION_SECONDS: f64 = 1e-3;

/// Linear regression of a route's run times on its estimates, in logarithms, with exponential
/// forgetting.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunTimeModel {
    samples: u32,
    mean_log_estimate: f64,
    mean_log_run_time: f64,
    log_estimate_variance: f64,
    covariance: f64,
}

impl RunTimeModel {
    /// Records a run that the caller estimated at `estimate`. `normalized_run_time` is the time
    /// that it took, divided by the slowdown factor of the server's kind.
    pub fn record(&mut self, estimate: time::Duration, normalized_run_time: time::Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let (x, y) = (log_seconds(estimate), log_seconds(normalized_run_time));
        let (dx, dy) = (x - self.mean_log_estimate, y - self.mean_log_run_time);
        self.mean_log_estimate += weight * dx;
        self.mean_log_run_time += weight * dy;
        self.log_estimate_variance =
            (1.0 - weight) * (self.log_estimate_variance + weight * dx * dx);
        self.covariance = (1.0 - weight) * (self.covariance + weight * dx * dy);
    }

    /// Returns the nominal run time of a task that the caller estimated at `estimate`. Without
    /// enough runs, it is the estimate.
    pub fn nominal_run_time(&self, estimate: time::Duration) -> time::Duration {
        if self.samples < MIN_SAMPLES {
            return estimate;
        }
        let slope = if self.log_estimate_variance > 0.0 {
            (self.covariance / self.log_estimate_variance).clamp(0.0, 1.0)
        } else {
            1.0
        };
        let log_nominal =
            self.mean_log_run_time + slope * (log_seconds(estimate) - self.mean_log_estimate);
        time::Duration::from_secs_f64(log_nominal.exp())
    }
}

fn log_seconds(duration: time::Duration) -> f64 {
    duration.as_secs_f64().max(MIN_DURATION_SECONDS).ln()
}
