//! Age of input that a process reads after it was paused or starved.
//!
//! While a process is frozen, or has no processor time, requests lie in its sockets and in the queue of new
//! connections. They look new when it reads them, but their callers may have left, and may have sent them again to
//! other processes. The process notes the time of each turn of its event loop. What it reads after a long gap
//! between two turns may have come at any time in the gap, so it counts as having come at the start of the gap.

use std::time;

/// Longest time between two turns after which input still counts as read when it came. Turns are at most 100 ms
/// apart in an idle process, and a quota of processor time can withhold the processor for another 100 ms.
pub const MAX_TURN_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Turns in time after a gap, after which all input from the gap has been read. The event loop has looked for input
/// on all connections between any two.
const TURNS_TO_CATCH_UP: u32 = 2;

/// Estimates when input arrived from the turns of the event loop.
#[derive(Clone, Copy, Debug, Default)]
pub struct InputClock {
    turned_at: time::Duration,
    /// Start of the gap of which input may still be unread.
    unread_since: Option<time::Duration>,
    turns_in_time: u32,
    /// Whether more new connections may wait than have been accepted.
    is_accepting: bool,
}

impl InputClock {
    /// Records a turn of the event loop, which is called at intervals.
    pub fn record_turn(&mut self, now: time::Duration) {
        if now.saturating_sub(self.turned_at) > MAX_TURN_INTERVAL {
            self.unread_since.get_or_insert(self.turned_at);
            self.turns_in_time = 0;
        } else if self.is_accepting {
            self.turns_in_time = 0;
        } else {
            self.turns_in_time += 1;
        }
        if self.turns_in_time >= TURNS_TO_CATCH_UP {
            self.unread_since = None;
        }
        self.turned_at = now;
    }

    /// Records whether more new connections may wait.
    pub fn record_accept(&mut self, more_may_wait: bool) {
        self.is_accepting = more_may_wait;
    }

    /// Returns the time since which input that is read at `now` may have waited.
    pub fn earliest_arrival(&self, now: time::Duration) -> time::Duration {
        let is_late = now.saturating_sub(self.turned_at) > MAX_TURN_INTERVAL;
        self.unread_since
            .or(is_late.then_some(self.turned_at))
            .unwrap_or(now)
    }
}
