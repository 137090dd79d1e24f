//! Health of backend servers: failures, stalled runs and slowness.
//!
//! A server is ejected for a while after consecutive failures, a stalled run, a start that it
//! rejected as unhealthy or full, or a response of another server at its address. Then it is
//! tried with one run at a time until a run succeeds (on probation).
//!
//! A slowdown factor is the run time as a multiple of the nominal one. Past runs give one for
//! each kind of server (its first label), and one for each server relative to its kind.

use std::time;

/// Consecutive failures after which a server is ejected. One run in five hundred fails
/// without a fault of its server, so two in a row point to the server.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 2;
/// Duration of a server's first ejection; doubled each time, up to `MAX_EJECTION_TIME`.
const MIN_EJECTION_TIME: time::Duration = time::Duration::from_secs(1);
/// Longest ejection: short, so that a recovered server is soon used again.
const MAX_EJECTION_TIME: time::Duration = time::Duration::from_secs(6);
/// Weight of a new sample in a server's deviation from the slowdown of its kind.
const SERVER_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the slowdown of a kind of server.
const KIND_SAMPLE_WEIGHT: f64 = 0.03;
/// Bound of the logarithm of a slowdown, so that one badly wrong nominal run time does not
/// dominate: e^2.5 is about 12.
const MAX_LOG_SLOWDOWN: f64 = 2.5;
/// Half-life of a server's deviation from the slowdown of its kind.
const DEVIATION_HALF_LIFE: time::Duration = time::Duration::from_secs(4);

/// Slowdown of a kind of server: run times relative to the nominal ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindSlowdown {
    log_slowdown: f64,
    /// Number of recorded runs, up to 255: from the 34th on, the weight of a new one is constant.
    samples: u8,
}

impl KindSlowdown {
    /// Returns the expected run time as a multiple of the nominal one.
    pub fn slowdown_factor(&self) -> f64 {
        self.log_slowdown.exp()
    }

    /// Records a run that took `actual` and whose nominal run time is `nominal`.
    pub fn record(&mut self, actual: time::Duration, nominal: time::Duration) {
        let log_slowdown = log_ratio(actual, nominal);
        self.samples = self.samples.saturating_add(1);
        // An arithmetic mean at first, then an exponential moving average.
        let weight = KIND_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.log_slowdown += weight * (log_slowdown - self.log_slowdown);
    }
}

/// Health of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerHealth {
    consecutive_failures: u32,
    /// Hash of the id of the job whose run failed last; `None` after a success.
    last_failed_job: Option<u64>,
    ejection_count: u32,
    ejected_until: time::Duration,
    /// Whether there was no successful run since the last ejection.
    on_probation: bool,
    /// Logarithm of the server's slowdown relative to that of its kind, at
    /// `deviation_updated_at`.
    log_deviation: f64,
    deviation_updated_at: time::Duration,
}

impl ServerHealth {
    /// Records a successful run that took `actual` and whose nominal run time is `nominal`.
    pub fn record_success(
        &mut self,
        now: time::Duration,
        actual: time::Duration,
        nominal: time::Duration,
        kind_slowdown: &KindSlowdown,
    ) {
        self.consecutive_failures = 0;
        self.last_failed_job = None;
        self.on_probation = false;
        self.ejection_count = 0;
        let sample = log_ratio(actual, nominal) - kind_slowdown.log_slowdown;
        let current = self.decayed_deviation(now);
        self.log_deviation = current + SERVER_SAMPLE_WEIGHT * (sample - current);
        self.deviation_updated_at = now;
    }

    /// Records a failed run of the job whose id has this hash; returns whether the server was ejected.
    ///
    /// Tasks of one job fail together if the job is the cause, so only its first failure on the server counts.
    pub fn record_failure(&mut self, job_hash: u64, now: time::Duration) -> bool {
        if self.last_failed_job.replace(job_hash) == Some(job_hash) {
            return false;
        }
        self.consecutive_failures += 1;
        match () {
            () if self.on_probation
                || self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT =>
            {
                self.eject(now);
                true
            }
            () => false,
        }
    }

    /// Ejects the server for a while, and then puts it on probation.
    pub fn eject(&mut self, now: time::Duration) {
        let ejection_time = MIN_EJECTION_TIME * 2_u32.saturating_pow(self.ejection_count.min(8));
        self.ejected_until = now + ejection_time.min(MAX_EJECTION_TIME);
        self.ejection_count += 1;
        self.on_probation = true;
    }

    /// Whether the server may start one more run beside `running` others.
    pub fn accepts_run(&self, now: time::Duration, running: usize) -> bool {
        now >= self.ejected_until && !(self.on_probation && running > 0)
    }

    /// Whether the server was ejected and has had no successful run since.
    pub fn is_on_probation(&self) -> bool {
        self.on_probation
    }

    /// Returns the expected run time as a multiple of the nominal one.
    pub fn slowdown_factor(&self, now: time::Duration, kind_slowdown: &KindSlowdown) -> f64 {
        (kind_slowdown.log_slowdown + self.decayed_deviation(now))
            .clamp(-MAX_LOG_SLOWDOWN, MAX_LOG_SLOWDOWN)
            .exp()
    }

    fn decayed_deviation(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.deviation_updated_at);
        self.log_deviation * 0.5_f64.powf(age.as_secs_f64() / DEVIATION_HALF_LIFE.as_secs_f64())
    }
}

fn log_ratio(actual: time::Duration, nominal: time::Duration) -> f64 {
    let actual = actual.as_secs_f64().max(1e-3);
    let nominal = nominal.as_secs_f64().max(1e-3);
    (actual / nominal)
        .ln()
        .clamp(-MAX_LOG_SLOWDOWN, MAX_LOG_SLOWDOWN)
}
