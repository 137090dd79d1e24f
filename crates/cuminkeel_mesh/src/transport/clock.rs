//! Clocks that the mesh reads.

use std::{fmt, time};

use cuminkeel_types::time as clock;

/// Reads the time for the mesh's tasks.
pub trait MeshClock: fmt::Debug + Send + Sync {
    /// The monotonic clock.
    fn now(&self) -> clock::TimePoint;

    /// The wall clock. A gap in it shows a suspended VM whose monotonic clock
    /// stood still; nothing else rests on it.
    fn wall(&self) -> clock::WallTime;
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: time::Instant,
}

impl SystemClock {
    /// A clock that counts from `origin`, which should be shared by all parts of a process.
    pub const fn new(origin: time::Instant) -> Self {
        Self { origin }
    }
}

impl MeshClock for SystemClock {
    fn now(&self) -> clock::TimePoint {
        clock::TimePoint::ZERO + self.origin.elapsed()
    }

    fn wall(&self) -> clock::WallTime {
        let elapsed = time::UNIX_EPOCH.elapsed().unwrap_or_default();
        clock::WallTime(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}
