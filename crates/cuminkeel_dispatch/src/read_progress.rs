//! Progress of the reads of the registry of backend servers, and the age of what was read.

use std::time;

/// Age from which on a process counts what it read of the registry as out of date: a server must get no more work
/// two seconds after it starts draining.
pub const STALE_AGE: time::Duration = time::Duration::from_secs(2);

/// Change of whether what was read of the registry is out of date.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AgeChange {
    /// It has reached [`STALE_AGE`].
    Stale {
        /// Its age.
        age: time::Duration,
    },
    /// It is up to date again.
    Regained {
        /// Time between the last read before and the read that regained it.
        gap: time::Duration,
    },
}

/// How far a process has read the log of the registry, and when.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReadProgress {
    next_offset: Option<u64>,
    /// Start of the last read that reached the end of the log.
    read_at: Option<time::Duration>,
    /// Time of the first look at the age, from which it counts before the first read.
    first_checked_at: Option<time::Duration>,
    /// Start of the last read before the one that is missed, while what was read is out of date.
    stale_since: Option<time::Duration>,
}

impl ReadProgress {
    /// Returns the offset up to which all records were read; `None` before the first read.
    pub fn next_offset(&self) -> Option<u64> {
        self.next_offset
    }

    /// Returns the age of what was read; `None` before the first read.
    pub fn age(&self, now: time::Duration) -> Option<time::Duration> {
        self.read_at.map(|read_at| now.saturating_sub(read_at))
    }

    /// Records that all records before `next_offset` were read; `None` if the log has to be read anew.
    pub fn set_next_offset(&mut self, next_offset: Option<u64>) {
        self.next_offset = next_offset;
    }

    /// Records that a read which began at `started_at` reached the end of the log.
    pub fn record_read(&mut self, started_at: time::Duration) {
        self.read_at = self.read_at.max(Some(started_at));
    }

    /// Returns whether what was read has become out of date, or is up to date again, since the last call.
    pub fn check_age(&mut self, now: time::Duration) -> Option<AgeChange> {
        let first_checked_at = *self.first_checked_at.get_or_insert(now);
        let read_at = self.read_at.unwrap_or(first_checked_at);
        let age = now.saturating_sub(read_at);
        match self.stale_since {
            None if age >= STALE_AGE => {
                self.stale_since = Some(read_at);
                Some(AgeChange::Stale { age })
            }
            Some(since) if age < STALE_AGE => {
                self.stale_since = None;
                let gap = read_at.saturating_sub(since);
                Some(AgeChange::Regained { gap })
            }
            Some(_) | None => None,
        }
    }
}
