//! Limit on log lines that callers can cause at any rate.

use std::{collections::HashMap, hash, time};

/// Minimum time between two lines with the same cause.
const LINE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Counts events by cause between the lines that tell of them.
#[derive(Debug)]
pub struct LogLimiter<C> {
    causes: HashMap<C, CauseCount>,
}

#[derive(Debug, Default)]
struct CauseCount {
    last_line_at: Option<time::Duration>,
    unlogged: u64,
}

impl<C> Default for LogLimiter<C> {
    fn default() -> Self {
        Self {
            causes: HashMap::new(),
        }
    }
}

impl<C: Eq + hash::Hash> LogLimiter<C> {
    /// Counts an event. If a line is due, returns the number of events since the last one, including this one.
    pub fn record(&mut self, cause: C, now: time::Duration) -> Option<u64> {
        let count = self.causes.entry(cause).or_default();
        count.unlogged += 1;
        let is_due = count
            .last_line_at
            .is_none_or(|last_line_at| now.saturating_sub(last_line_at) >= LINE_INTERVAL);
        if !is_due {
            return None;
        }
        count.last_line_at = Some(now);
        Some(std::mem::take(&mut count.unlogged))
    }
}
