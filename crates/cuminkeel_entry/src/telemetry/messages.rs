//! Counts of messages to backend servers, for the share of wasted ones.

use std::sync::atomic;

use cuminkeel_types::outcome;
use serde::{Deserialize, Serialize};

/// Counters that only grow.
#[derive(Debug, Default)]
pub struct MessageCounters {
    attempts: atomic::AtomicU64,
    not_started: atomic::AtomicU64,
    lost: atomic::AtomicU64,
    stops: atomic::AtomicU64,
    probes: atomic::AtomicU64,
}

/// Readings of [`MessageCounters`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MessageCounts {
    /// Attempts to run a task.
    pub attempts: u64,
    /// Attempts that were refused before start or never sent.
    pub not_started: u64,
    /// Attempts without a usable answer.
    pub lost: u64,
    /// Requests to stop a task.
    pub stops: u64,
    /// Questions for a server's load.
    pub probes: u64,
}

impl MessageCounters {
    /// Counts an attempt that ended.
    pub fn count_attempt(&self, outcome: &outcome::TaskOutcome) {
        add_one(&self.attempts);
        match outcome {
            outcome::TaskOutcome::NotStarted { .. } => add_one(&self.not_started),
            outcome::TaskOutcome::Lost { .. } => add_one(&self.lost),
            outcome::TaskOutcome::Done { .. } | outcome::TaskOutcome::Failed { .. } => {}
        }
    }

    /// Counts a request to stop a task.
    pub fn count_stop(&self) {
        add_one(&self.stops);
    }

    /// Counts a question for a server's load.
    pub fn count_probe(&self) {
        add_one(&self.probes);
    }

    /// Reads all counters.
    pub fn read(&self) -> MessageCounts {
        MessageCounts {
            attempts: self.attempts.load(atomic::Ordering::Relaxed),
            not_started: self.not_started.load(atomic::Ordering::Relaxed),
            lost: self.lost.load(atomic::Ordering::Relaxed),
            stops: self.stops.load(atomic::Ordering::Relaxed),
            probes: self.probes.load(atomic::Ordering::Relaxed),
        }
    }
}

fn add_one(counter: &atomic::AtomicU64) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}
