//! What is known of one sibling.

use std::time;

use cuminkeel_types::time as clock;

use crate::event;

/// Pause after a sibling lent nothing; doubles with each further time.
const EMPTY_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Most doublings of [`EMPTY_PAUSE`].
const MAX_PAUSE_DOUBLINGS: u32 = 2;
/// Longest time for which a sibling's told number of free slots is believed.
const FREE_BELIEVED: time::Duration = time::Duration::from_secs(2);

#[derive(Debug)]
pub(super) struct PeerState {
    pub(super) entry: event::SiblingEntry,
    free: Option<u32>,
    heard: clock::TimePoint,
    pub(super) ask_after: clock::TimePoint,
    pub(super) empty_answers: u32,
    pub(super) last_request: u64,
}

impl PeerState {
    pub(super) fn new(entry: event::SiblingEntry) -> Self {
        Self {
            entry,
            free: None,
            heard: clock::TimePoint::ZERO,
            ask_after: clock::TimePoint::ZERO,
            empty_answers: 0,
            last_request: 0,
        }
    }

    pub(super) fn hear(&mut self, now: clock::TimePoint, free: u32) {
        self.free = Some(free);
        self.heard = now;
    }

    /// Free slots as far as known; an unknown number ranks before a known zero.
    pub(super) fn likely_free(&self, now: clock::TimePoint) -> u32 {
        match self.free {
            Some(free) if now.since(self.heard) < FREE_BELIEVED => free,
            _ => 1,
        }
    }

    /// Leaves the sibling alone for a while, since it lent nothing.
    pub(super) fn note_empty(&mut self, now: clock::TimePoint) {
        let doublings = self.empty_answers.min(MAX_PAUSE_DOUBLINGS);
        self.ask_after = now + EMPTY_PAUSE * (1 << doublings);
        self.empty_answers += 1;
    }
}
