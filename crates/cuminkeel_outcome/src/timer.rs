//! Wake-up times of the ledger's parts.

use std::collections;

use cuminkeel_types::{names, time};

use crate::{event, key};

/// What a timer is for. A timer that comes after its matter is settled is ignored.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum TimerTopic {
    /// The opening of a key.
    Opening(key::KeyId),
    /// A request that another entry serves.
    Relay(event::TicketId),
    /// The last moment to answer a request that this entry serves.
    Ticket(event::TicketId),
    /// The hand-over to a witness.
    Handover(names::IncarnationId),
    /// The farewell to all other entries.
    Farewell,
    /// Removal of old records.
    Purge,
}

/// Pending timers, the earliest first.
#[derive(Debug, Default)]
pub struct TimerQueue {
    timers: collections::BTreeSet<(time::TimePoint, TimerTopic)>,
}

impl TimerQueue {
    /// Adds a timer.
    pub fn set(&mut self, at: time::TimePoint, topic: TimerTopic) {
        self.timers.insert((at, topic));
    }

    /// Takes the next timer that is due.
    pub fn pop_due(&mut self, now: time::TimePoint) -> Option<TimerTopic> {
        match self.timers.first() {
            Some((at, _)) if *at <= now => self.timers.pop_first().map(|(_, topic)| topic),
            Some(_) | None => None,
        }
    }

    /// When the next timer is due.
    pub fn next(&self) -> Option<time::TimePoint> {
        self.timers.first().map(|(at, _)| *at)
    }
}
