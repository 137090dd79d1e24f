//! Decision on a run that takes longer than expected.
//!
//! Runs can stall or take several times as long because of their server, or last longer
//! because their estimate was far too short. A run without progress points to a fault of its
//! server. A slow run may be due to the server or to the estimate, so a task is rescheduled
//! for slowness only once.

use std::time;

/// Progress, in percent, up to which an overdue run counts as stalled.
const MAX_STALLED_PERCENT: u8 = 1;
/// Number of reschedules of a task after which a stalled run is left to run.
const MAX_STALL_RESCHEDULES: u32 = 2;
/// Number of reschedules of a task after which a slow run is left to run.
const MAX_SLOW_RESCHEDULES: u32 = 1;
/// A run is rescheduled only if its remaining time exceeds `reschedule_time` by this factor.
const MIN_GAIN_FACTOR: u32 = 2;

/// Run whose check for progress is due, some time past its expected end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverdueRun {
    /// Time since the start of the run was ordered.
    pub elapsed: time::Duration,
    /// Progress of the run, in percent.
    pub percent: u8,
    /// Time to stop the run plus the task's nominal run time.
    pub reschedule_time: time::Duration,
    /// Time until the expiry of the job's answer.
    pub time_to_expiry: time::Duration,
    /// Number of earlier reschedules of the task.
    pub reschedules: u32,
}

/// Action on an overdue run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OverdueAction {
    /// Let the run continue.
    Wait,
    /// Stop the run and place its task anew, possibly on the same server.
    Reschedule,
    /// Stop the run, eject its server and place its task anew.
    RescheduleAndEject,
}

impl OverdueRun {
    /// Returns the action on the run.
    pub fn action(&self) -> OverdueAction {
        // Extrapolates the progress so far; a run without progress counts as 1 % done.
        let percent = u32::from(self.percent.clamp(1, 100));
        let remaining = self.elapsed.saturating_mul(100 - percent) / percent;
        let is_stalled = self.percent <= MAX_STALLED_PERCENT;
        match () {
            () if remaining <= self.reschedule_time.saturating_mul(MIN_GAIN_FACTOR)
                || self.reschedule_time >= self.time_to_expiry =>
            {
                OverdueAction::Wait
            }
            () if is_stalled && self.reschedules < MAX_STALL_RESCHEDULES => {
                OverdueAction::RescheduleAndEject
            }
            () if !is_stalled && self.reschedules < MAX_SLOW_RESCHEDULES => {
                OverdueAction::Reschedule
            }
            () => OverdueAction::Wait,
        }
    }
}
