//! Evidence on a backend server: failing, hanging, slow.

use std::time;

/// Failures in a row after which a server is taken out.
/// One in five hundred runs fails by itself, so two in a row are no accident.
const EJECT_FAILURES: u32 = 2;
/// First time for which a server is taken out; doubled each time, up to `MAX_EJECTION`.
const MIN_EJECTION: time::Duration = time::Duration::from_secs(1);
/// Longest time for which a server is taken out: a tenth of a minute, so that it is soon tried again.
const MAX_EJECTION: time::Duration = time::Duration::from_secs(6);
/// Weight of a new run time in a server's pace.
const PACE_WEIGHT: f64 = 0.2;
/// Weight of a new run time in the pace of a kind of server.
const KIND_WEIGHT: f64 = 0.03;
/// Largest logarithm of a pace, so that one wild estimate doesn't decide: e^2.5 is about 12.
const MAX_LOG_PACE: f64 = 2.5;
/// Time after which half of a server's deviation from its kind is forgotten.
const PACE_HALF_LIFE: time::Duration = time::Duration::from_secs(4);

/// Run times relative to the callers' estimates, for a kind of server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindSlowdown {
    log_pace: f64,
    samples: u32,
}

impl KindSlowdown {
    /// Run time as a multiple of the expected one.
    pub fn slowdown_factor(&self) -> f64 {
        self.log_pace.exp()
    }

    /// Takes in a run of `actual` that was estimated at `estimate`.
    pub fn record(&mut self, actual: time::Duration, estimate: time::Duration) {
        let log_pace = log_ratio(actual, estimate);
        self.samples += 1;
        // The plain mean at first, then a moving one.
        let weight = KIND_WEIGHT.max(1.0 / f64::from(self.samples));
        self.log_pace += weight * (log_pace - self.log_pace);
    }
}

/// What is known of one server's health.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerHealth {
    failures_in_row: u32,
    ejections: u32,
    ejected_until: time::Duration,
    on_trial: bool,
    deviation: f64,
    deviation_at: time::Duration,
}

impl ServerHealth {
    /// A run ended well after `actual`.
    pub fn record_success(
        &mut self,
        now: time::Duration,
        actual: time::Duration,
        estimate: time::Duration,
        kind: &KindSlowdown,
    ) {
        self.failures_in_row = 0;
        self.on_trial = false;
        self.ejections = 0;
        let deviation = log_ratio(actual, estimate) - kind.log_pace;
        let current = self.deviation(now);
        self.deviation = current + PACE_WEIGHT * (deviation - current);
        self.deviation_at = now;
    }

    /// A run failed; returns whether the server was taken out.
    pub fn record_failure(&mut self, now: time::Duration) -> bool {
        self.failures_in_row += 1;
        match () {
            () if self.on_trial || self.failures_in_row >= EJECT_FAILURES => {
                self.eject(now);
                true
            }
            () => false,
        }
    }

    /// A run made no progress, or the server turned an order away.
    pub fn eject(&mut self, now: time::Duration) {
        let pause = MIN_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = now + pause.min(MAX_EJECTION);
        self.ejections += 1;
        self.on_trial = true;
    }

    /// Whether the server may take one more run beside `running` others.
    pub fn accepts_run(&self, now: time::Duration, running: usize) -> bool {
        now >= self.ejected_until && !(self.on_trial && running > 0)
    }

    /// Whether the server has to show that it works.
    pub fn is_on_probation(&self) -> bool {
        self.on_trial
    }

    /// Expected run time as a multiple of the estimate.
    pub fn slowdown_factor(&self, now: time::Duration, kind: &KindSlowdown) -> f64 {
        (kind.log_pace + self.deviation(now))
            .clamp(-MAX_LOG_PACE, MAX_LOG_PACE)
            .exp()
    }

    fn deviation(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.deviation_at);
        self.deviation * 0.5_f64.powf(age.as_secs_f64() / PACE_HALF_LIFE.as_secs_f64())
    }
}

fn log_ratio(actual: time::Duration, estimate: time::Duration) -> f64 {
    let actual = actual.as_secs_f64().max(1e-3);
    let estimate = estimate.as_secs_f64().max(1e-3);
    (actual / estimate).ln().clamp(-MAX_LOG_PACE, MAX_LOG_PACE)
}
