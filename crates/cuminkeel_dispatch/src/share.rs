//! The border to the allowance: which customer may start one more task here.

use std::{collections, fmt, time};

use cuminkeel_types::{names, time as clock};

use crate::event;

/// Decides whether this entry's share of a customer's allowance permits one
/// more task now.
pub trait AllowanceGate: fmt::Debug + Send {
    /// Takes one start out of the share. False, and nothing taken, if the
    /// share is used up.
    fn try_start(&mut self, now: clock::TimePoint, customer: &names::CustomerName) -> bool;

    /// Gives back the concurrency of one task that ended.
    fn on_end(&mut self, now: clock::TimePoint, customer: &names::CustomerName);

    /// When a start may succeed again; none if only an end can make room.
    fn next_ready(
        &self,
        now: clock::TimePoint,
        customer: &names::CustomerName,
    ) -> Option<clock::TimePoint>;

    /// Concurrent tasks that the share permits; none if unlimited.
    fn share(&self, customer: &names::CustomerName) -> Option<u32>;

    /// Concurrent tasks that the share may come to permit soon, while units are
    /// still being sought; none if unlimited.
    fn expected_share(&self, customer: &names::CustomerName) -> Option<u32> {
        self.share(customer)
    }

    /// Takes in all customers' terms after a change.
    fn set_terms(&mut self, now: clock::TimePoint, terms: &[event::CustomerTerms]) {
        let _ = (now, terms);
    }
}

/// Longest time for which unused starts are saved up.
const START_BURST: time::Duration = time::Duration::from_secs(1);

/// A fixed concurrency limit and a token bucket for each customer.
#[derive(Debug, Default)]
pub struct LocalGate {
    buckets: collections::HashMap<names::CustomerName, StartBucket>,
}

#[derive(Debug)]
struct StartBucket {
    max_concurrent: Option<u32>,
    starts_per_second: Option<u32>,
    running: u32,
    tokens: f64,
    refilled: clock::TimePoint,
}

impl StartBucket {
    fn unlimited() -> Self {
        Self {
            max_concurrent: None,
            starts_per_second: None,
            running: 0,
            tokens: 0.0,
            refilled: clock::TimePoint::ZERO,
        }
    }

    fn capacity(&self) -> f64 {
        let rate = f64::from(self.starts_per_second.unwrap_or(0));
        (rate * START_BURST.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: clock::TimePoint) {
        let rate = f64::from(self.starts_per_second.unwrap_or(0));
        let gained = rate * now.since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + gained).min(self.capacity());
        self.refilled = now;
    }

    fn has_room(&self) -> bool {
        self.max_concurrent.is_none_or(|limit| self.running < limit)
    }

    fn try_start(&mut self, now: clock::TimePoint) -> bool {
        self.refill(now);
        match self.starts_per_second {
            _ if !self.has_room() => return false,
            Some(_) if self.tokens < 1.0 => return false,
            Some(_) => self.tokens -= 1.0,
            None => {}
        }
        self.running += 1;
        true
    }
}

impl AllowanceGate for LocalGate {
    fn try_start(&mut self, now: clock::TimePoint, customer: &names::CustomerName) -> bool {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            return bucket.try_start(now);
        }
        let mut bucket = StartBucket::unlimited();
        bucket.running = 1;
        self.buckets.insert(customer.clone(), bucket);
        true
    }

    fn on_end(&mut self, _now: clock::TimePoint, customer: &names::CustomerName) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.running = bucket.running.saturating_sub(1);
        }
    }

    fn next_ready(
        &self,
        now: clock::TimePoint,
        customer: &names::CustomerName,
    ) -> Option<clock::TimePoint> {
        let bucket = self.buckets.get(customer)?;
        let rate = bucket.starts_per_second.filter(|rate| *rate > 0)?;
        if !bucket.has_room() {
            return None;
        }
        let missing = (1.0 - bucket.tokens).max(0.0);
        let ready = bucket.refilled + time::Duration::from_secs_f64(missing / f64::from(rate));
        Some(ready.max(now))
    }

    fn share(&self, customer: &names::CustomerName) -> Option<u32> {
        self.buckets.get(customer)?.max_concurrent
    }

    fn set_terms(&mut self, now: clock::TimePoint, terms: &[event::CustomerTerms]) {
        for bucket in self.buckets.values_mut() {
            bucket.max_concurrent = None;
            bucket.starts_per_second = None;
        }
        for row in terms {
            let bucket = self
                .buckets
                .entry(row.customer.clone())
                .or_insert_with(StartBucket::unlimited);
            let fresh = bucket.refilled == clock::TimePoint::ZERO;
            bucket.max_concurrent = row.max_concurrent;
            bucket.starts_per_second = row.max_starts_per_second;
            bucket.tokens = if fresh {
                bucket.capacity()
            } else {
                bucket.tokens
            };
            bucket.refilled = if fresh { now } else { bucket.refilled };
        }
    }
}
