//! The process's clock. The only place of this crate that reads one for decisions.

use std::time;

use cuminkeel_types::time as points;

/// Monotonic clock whose origin is its making.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: time::Instant,
}

impl MonotonicClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            origin: time::Instant::now(),
        }
    }

    /// The instant at which it started.
    pub fn origin(&self) -> time::Instant {
        self.origin
    }

    /// The present time.
    pub fn now(&self) -> points::TimePoint {
        let micros = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        points::TimePoint::from_micros(micros)
    }

    /// The runtime's instant at which a point is reached.
    pub fn instant_of(&self, point: points::TimePoint) -> tokio::time::Instant {
        let instant = self.origin + time::Duration::from_micros(point.as_micros());
        tokio::time::Instant::from_std(instant)
    }
}
