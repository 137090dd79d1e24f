//! Send times of the frames that a process receives over one connection, and those that it attaches
//! to its own frames.

use std::time;

use cuminkeel_dispatch::message_delay;

use crate::link_frame;

/// What a process knows of the clock of its peer at the other end of one connection.
#[derive(Debug, Default)]
pub struct SendTimes {
    peer_clock: Option<message_delay::PeerClock>,
    /// Time, on the clock of this process, at which the peer sent the frames that are being read.
    frames_sent_at: Option<time::Duration>,
}

impl SendTimes {
    /// Applies the send time of the next frames, read at `now`.
    pub fn apply(
        &mut self,
        sender_clock: time::Duration,
        receiver_clock: Option<time::Duration>,
        now: time::Duration,
    ) {
        self.peer_clock = Some(message_delay::PeerClock::new(sender_clock, now));
        self.frames_sent_at = receiver_clock;
    }

    /// Returns the time at which the frame that is read at `now` was sent. Without a send time, as
    /// from a release that sends none, it counts as sent just now.
    pub fn sent_at(&self, now: time::Duration) -> time::Duration {
        self.frames_sent_at.map_or(now, |sent_at| sent_at.min(now))
    }

    /// Returns the frame that dates the frames which this process sends at `now`.
    pub fn frame(&self, now: time::Duration) -> link_frame::LinkFrame {
        link_frame::LinkFrame::SendTime {
            sender_clock: now,
            receiver_clock: self.peer_clock.map(|clock| clock.estimate(now)),
        }
    }
}
