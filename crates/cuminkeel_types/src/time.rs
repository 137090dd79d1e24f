//! Points in time as decision code sees them.

use std::{ops, time};

use serde::{Deserialize, Serialize};

/// A reading of one process's monotonic clock, in microseconds since an origin
/// that only that process knows.
///
/// Readings of two processes must never be compared. Durations may cross the
/// wire, points may not.
///
/// ```
/// use std::time::Duration;
/// use cuminkeel_types::time::TimePoint;
///
/// let start = TimePoint::from_micros(1_000);
/// assert_eq!((start + Duration::from_millis(2)).since(start), Duration::from_millis(2));
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct TimePoint(u64);

impl TimePoint {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);
    /// A point later than every reading.
    pub const MAX: Self = Self(u64::MAX);

    /// Makes a point from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Makes a point from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to `self`; zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for TimePoint {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl ops::Sub<time::Duration> for TimePoint {
    type Output = Self;

    fn sub(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// A reading of the wall clock, in milliseconds since the Unix epoch.
///
/// Wall time may step. It is shown to people and written to the log; no
/// decision on safety rests on it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct WallTime(pub u64);
