//! Streams of the log, apart from HTTP and clocks.

use std::{collections, sync, time};

use cuminkeel_platform::border;
use cuminkeel_types::time as point;

/// Retention and append rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogLimits {
    /// Records kept in each stream.
    pub max_records: usize,
    /// Time for which a record is kept.
    pub max_age: time::Duration,
    /// Appends per second over all streams; also the largest burst.
    pub appends_per_second: u32,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            max_records: 100_000,
            max_age: time::Duration::from_hours(24),
            appends_per_second: 500,
        }
    }
}

/// The append rate is used up; nothing was written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimited;

/// The offset is older than `head`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrimmedOffset {
    /// Oldest offset kept.
    pub head: u64,
}

#[derive(Debug)]
struct StoredRecord {
    payload: sync::Arc<[u8]>,
    appended: point::TimePoint,
}

#[derive(Debug, Default)]
struct StreamState {
    head: u64,
    records: collections::VecDeque<StoredRecord>,
}

impl StreamState {
    fn tail(&self) -> u64 {
        self.head + self.records.len() as u64
    }

    fn drop_oldest(&mut self) {
        self.records.pop_front();
        self.head += 1;
    }

    fn expire(&mut self, now: point::TimePoint, limits: &LogLimits) {
        while self.records.len() > limits.max_records {
            self.drop_oldest();
        }
        while self
            .records
            .front()
            .is_some_and(|record| now.since(record.appended) > limits.max_age)
        {
            self.drop_oldest();
        }
    }
}

/// All streams.
#[derive(Debug)]
pub struct LogState {
    limits: LogLimits,
    streams: collections::HashMap<sync::Arc<str>, StreamState>,
    tokens: f64,
    refilled: point::TimePoint,
}

impl LogState {
    /// A log without streams.
    pub fn new(limits: LogLimits) -> Self {
        Self {
            limits,
            streams: collections::HashMap::new(),
            tokens: f64::from(limits.appends_per_second),
            refilled: point::TimePoint::ZERO,
        }
    }

    /// Takes one append from the rate.
    ///
    /// # Errors
    /// The rate is used up.
    pub fn take_token(&mut self, now: point::TimePoint) -> Result<(), RateLimited> {
        let rate = f64::from(self.limits.appends_per_second);
        let gained = now.since(self.refilled).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(rate);
        self.refilled = now;
        if self.tokens < 1.0 {
            return Err(RateLimited);
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Writes a record and gives its offset.
    pub fn write(&mut self, now: point::TimePoint, stream: &str, payload: sync::Arc<[u8]>) -> u64 {
        let state = self.streams.entry(stream.into()).or_default();
        let offset = state.tail();
        state.records.push_back(StoredRecord {
            payload,
            appended: now,
        });
        state.expire(now, &self.limits);
        offset
    }

    /// Reads up to `limit` records from `offset`, without the newest `hidden`.
    ///
    /// # Errors
    /// The offset is trimmed.
    pub fn read(
        &mut self,
        now: point::TimePoint,
        stream: &str,
        offset: u64,
        limit: usize,
        hidden: u64,
    ) -> Result<border::LogBatch, TrimmedOffset> {
        let Some(state) = self.streams.get_mut(stream) else {
            return Ok(empty_batch());
        };
        state.expire(now, &self.limits);
        let head = state.head;
        if offset < head {
            return Err(TrimmedOffset { head });
        }
        let tail = state.tail().saturating_sub(hidden).max(head);
        let end = offset.saturating_add(limit as u64).min(tail);
        let records = (offset..end)
            .filter_map(|offset| record_at(state, offset))
            .collect();
        Ok(border::LogBatch {
            records,
            head,
            tail,
        })
    }

    /// Drops all records before `head`.
    pub fn trim(&mut self, stream: &str, head: u64) {
        let Some(state) = self.streams.get_mut(stream) else {
            return;
        };
        while state.head < head && !state.records.is_empty() {
            state.drop_oldest();
        }
    }

    /// Time since a record was written; none if it is not kept.
    pub fn record_age(
        &self,
        now: point::TimePoint,
        stream: &str,
        offset: u64,
    ) -> Option<time::Duration> {
        let state = self.streams.get(stream)?;
        let index = usize::try_from(offset.checked_sub(state.head)?).ok()?;
        let record = state.records.get(index)?;
        Some(now.since(record.appended))
    }

    /// Every record now kept in a stream.
    pub fn records(&self, stream: &str) -> Vec<border::LogRecord> {
        self.streams.get(stream).map_or_else(Vec::new, |state| {
            (state.head..state.tail())
                .filter_map(|offset| record_at(state, offset))
                .collect()
        })
    }
}

fn empty_batch() -> border::LogBatch {
    border::LogBatch {
        records: Vec::new(),
        head: 0,
        tail: 0,
    }
}

fn record_at(state: &StreamState, offset: u64) -> Option<border::LogRecord> {
    let index = usize::try_from(offset.checked_sub(state.head)?).ok()?;
    let record = state.records.get(index)?;
    Some(border::LogRecord {
        offset,
        payload: record.payload.clone(),
    })
}
