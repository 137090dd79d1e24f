//! When an entry writes a snapshot.
//!
//! Each entry waits an eighth of the retention since the last snapshot that it
//! saw, plus a random delay of up to another eighth, and looks at the snapshot
//! stream again before it writes. So the first entry whose delay is over
//! writes, and the others see its snapshot.

use std::time;

use cuminkeel_types::time::TimePoint;
use rand::{RngExt, SeedableRng, rngs};

/// Shares of the retention that pass between two snapshots, at least.
const PAUSE_SHARES: u32 = 8;
/// Shares of the retention over which the entries spread.
const SPREAD_SHARES: u32 = 8;
/// Shares of the retention over which the entries spread when no snapshot is known.
const FIRST_SPREAD_SHARES: u32 = 64;
/// Records since the last snapshot after which the pause is cut to its spread.
const MAX_RECORDS_BETWEEN: u64 = 2_048;

/// Decides when to look for a newer snapshot and write one if there is none.
#[derive(Debug)]
pub struct SnapshotSchedule {
    retention: time::Duration,
    rng: rngs::StdRng,
    last_offset: Option<u64>,
    seen_at: TimePoint,
    due: TimePoint,
}

impl SnapshotSchedule {
    /// Starts with no snapshot known. `retention` is the time for which the log
    /// keeps records.
    pub fn new(now: TimePoint, retention: time::Duration, seed: u64) -> Self {
        let mut schedule = Self {
            retention,
            rng: rngs::StdRng::seed_from_u64(seed),
            last_offset: None,
            seen_at: now,
            due: now,
        };
        schedule.due = now + schedule.draw(FIRST_SPREAD_SHARES);
        schedule
    }

    /// Notes that a snapshot of `offset` stands on the log.
    pub fn snapshot_seen(&mut self, now: TimePoint, offset: u64) {
        self.last_offset = Some(self.last_offset.map_or(offset, |last| last.max(offset)));
        self.seen_at = now;
        self.due = now + self.retention / PAUSE_SHARES + self.draw(SPREAD_SHARES);
    }

    /// Notes that a snapshot could not be written; the next try is delayed.
    pub fn write_failed(&mut self, now: TimePoint) {
        self.due = now + self.draw(FIRST_SPREAD_SHARES);
    }

    /// Whether to look for a newer snapshot now, at fold offset `offset`.
    pub fn is_due(&self, now: TimePoint, offset: u64) -> bool {
        now >= self.due(offset)
    }

    /// When [`Self::is_due`] turns true.
    pub fn due(&self, offset: u64) -> TimePoint {
        let pending = offset.saturating_sub(self.last_offset.unwrap_or(offset));
        match pending {
            0..MAX_RECORDS_BETWEEN => self.due,
            _ => self.due - self.retention / PAUSE_SHARES,
        }
    }

    /// When the last snapshot was seen.
    pub fn seen_at(&self) -> TimePoint {
        self.seen_at
    }

    fn draw(&mut self, shares: u32) -> time::Duration {
        let spread = self.retention / shares;
        spread.mul_f64(self.rng.random_range(0.0..1.0))
    }
}
