//! What happens next in model time.

use std::{cmp, collections};

use cuminkeel_types::time;

#[derive(Debug)]
struct QueuedEvent<E> {
    at: time::TimePoint,
    order: u64,
    event: E,
}

impl<E> QueuedEvent<E> {
    const fn key(&self) -> (time::TimePoint, u64) {
        (self.at, self.order)
    }
}

impl<E> PartialEq for QueuedEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for QueuedEvent<E> {}

impl<E> PartialOrd for QueuedEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for QueuedEvent<E> {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        other.key().cmp(&self.key())
    }
}

/// Events in the order of their times, and of their insertion at equal times.
#[derive(Debug)]
pub(super) struct EventQueue<E> {
    events: collections::BinaryHeap<QueuedEvent<E>>,
    inserted: u64,
}

impl<E> EventQueue<E> {
    pub(super) const fn new() -> Self {
        Self {
            events: collections::BinaryHeap::new(),
            inserted: 0,
        }
    }

    pub(super) fn push(&mut self, at: time::TimePoint, event: E) {
        self.inserted += 1;
        self.events.push(QueuedEvent {
            at,
            order: self.inserted,
            event,
        });
    }

    pub(super) fn pop_until(&mut self, end: time::TimePoint) -> Option<(time::TimePoint, E)> {
        let due = self.events.peek().is_some_and(|next| next.at <= end);
        due.then(|| self.events.pop())
            .flatten()
            .map(|next| (next.at, next.event))
    }
}
