//! What the log shows of a run that no job uses, so that overlapping runs of a task can be traced.

use std::time;

/// Interval between log lines on a run that its server reports after it was ordered to stop.
const STOPPED_RUN_LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Times and logged lines of a run that no job uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunEvidence {
    /// Time since which no job has used the run.
    unused_since: Option<time::Duration>,
    /// Time of the first stop order.
    stopped_at: Option<time::Duration>,
    /// Number of stop orders.
    stop_count: u32,
    is_inherited: bool,
    has_logged_lease: bool,
    reported_log_due: time::Duration,
}

impl RunEvidence {
    /// Returns the evidence of an inherited run, which was reported first at `now`.
    pub fn inherited(now: time::Duration) -> Self {
        Self {
            unused_since: Some(now),
            is_inherited: true,
            ..Self::default()
        }
    }

    /// Records that no job uses the run from `now` on, if it had one.
    pub fn record_unused(&mut self, now: time::Duration) {
        self.unused_since.get_or_insert(now);
    }

    /// Records a stop order; returns how many there were before.
    pub fn record_stop(&mut self, now: time::Duration) -> u32 {
        self.record_unused(now);
        self.stopped_at.get_or_insert(now);
        self.stop_count += 1;
        self.stop_count - 1
    }

    /// Whether this pool did not start the run, and no job has adopted it.
    pub fn is_inherited(&self) -> bool {
        self.is_inherited
    }

    /// Returns the number of stop orders.
    pub fn stop_count(&self) -> u32 {
        self.stop_count
    }

    /// Returns the time since the first stop order, if there was one.
    pub fn time_since_stop(&self, now: time::Duration) -> Option<time::Duration> {
        self.stopped_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the time for which no job has used the run.
    pub fn unused_time(&self, now: time::Duration) -> time::Duration {
        self.unused_since
            .map_or(time::Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns whether a renewal of the run's lease is to be logged: the first one is.
    pub fn take_lease_log(&mut self) -> bool {
        !std::mem::replace(&mut self.has_logged_lease, true)
    }

    /// Returns the time since the first stop order if it is to be logged that the run was reported in
    /// the response to a hold sent at `sent_at`: a stop takes effect within `stop_time`, and the lines
    /// are `STOPPED_RUN_LOG_INTERVAL` apart.
    pub fn take_reported_log(
        &mut self,
        sent_at: time::Duration,
        stop_time: time::Duration,
        now: time::Duration,
    ) -> Option<time::Duration> {
        let stopped_at = self.stopped_at?;
        if sent_at <= stopped_at + stop_time || now < self.reported_log_due {
            return None;
        }
        self.reported_log_due = now + STOPPED_RUN_LOG_INTERVAL;
        Some(now.saturating_sub(stopped_at))
    }
}
