//! What to do about a run that takes longer than expected.
//!
//! Load pattern: servers on which runs stand still or take several times as long,
//! beside tasks whose estimates are far too short. A run without progress tells of
//! its server; a slow one may be either, so a task is moved for slowness only once.

use std::time;

/// Progress, in percent, up to which an overdue run counts as standing still.
const STALLED_PERCENT: u8 = 1;
/// Moves of a task away from servers on which it stood still.
const MAX_STALL_MOVES: u32 = 2;
/// Moves of a task away from servers on which it was slow.
const MAX_SLOW_MOVES: u32 = 1;
/// A move has to save this many times what a new start costs.
const WORTHWHILE: u32 = 2;

/// A run past its expected end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverdueRun {
    /// Time since its start was ordered.
    pub elapsed: time::Duration,
    /// Its progress.
    pub percent: u8,
    /// Stop and new run elsewhere, as expected.
    pub restart_time: time::Duration,
    /// Time in which its job's answer is of use.
    pub time_left: time::Duration,
    /// Times that its task was moved before.
    pub reschedules: u32,
}

/// What to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OverdueAction {
    /// Let it run.
    Wait,
    /// Start its task elsewhere.
    Reschedule,
    /// Start its task elsewhere, and give the server no more for a while.
    RescheduleAndEject,
}

impl OverdueRun {
    /// Decides on the run.
    pub fn action(&self) -> OverdueAction {
        let percent = u32::from(self.percent.clamp(1, 100));
        let left = self.elapsed * (100 - percent) / percent;
        let stalled = self.percent <= STALLED_PERCENT;
        match () {
            () if left <= self.restart_time * WORTHWHILE || self.restart_time >= self.time_left => {
                OverdueAction::Wait
            }
            () if stalled && self.reschedules < MAX_STALL_MOVES => {
                OverdueAction::RescheduleAndEject
            }
            () if !stalled && self.reschedules < MAX_SLOW_MOVES => OverdueAction::Reschedule,
            () => OverdueAction::Wait,
        }
    }
}
