//! Delay of messages between processes.
//!
//! A message can be read long after it was sent: it stays in the socket of a paused process, or in
//! the network while that is partitioned. Processes share no clock, so each sends its own reading
//! along with its messages. The receiver returns its estimate of that clock with its own messages,
//! which shows the first process, on its own clock, when they were sent. The clocks only have to
//! advance alike for some seconds, and have to count the time for which a VM is suspended.

use std::time;

use crate::job_model;

/// Longest delay with which an offer is still considered. For this long after a connection was lost,
/// its peer counts as reachable, so until then the sender offers the job to no other pool.
pub const MAX_OFFER_DELAY: time::Duration = time::Duration::from_millis(250);

/// Reading of a peer's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerClock {
    reading: time::Duration,
    received_at: time::Duration,
}

impl PeerClock {
    /// Records that the peer's clock showed `reading` in a message that was read at `received_at`.
    pub fn new(reading: time::Duration, received_at: time::Duration) -> Self {
        Self {
            reading,
            received_at,
        }
    }

    /// Returns what the peer's clock shows at `now`, less the delay of the message with the reading.
    /// A message that is dated by it therefore never seems newer than it is.
    pub fn estimate(&self, now: time::Duration) -> time::Duration {
        let elapsed = now.saturating_sub(self.received_at);
        self.reading.saturating_add(elapsed)
    }
}

impl job_model::JobOffer {
    /// Whether the offer is read at `now` too late to be admitted: its sender may have given it up
    /// meanwhile, and the job may run in another pool.
    pub fn is_outdated(&self, now: time::Duration) -> bool {
        now.saturating_sub(self.sent_at) > MAX_OFFER_DELAY
    }
}
