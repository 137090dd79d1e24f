//! What the backend servers of one run really started, for checks against
//! what callers were told.

use std::{collections, sync, time};

use crate::sync_lock;

use super::wire;

/// How a started task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartEnding {
    /// Still running.
    Running,
    /// Ran to its end.
    Done,
    /// Ran and failed.
    Failed,
    /// Stopped on request.
    Stopped,
    /// The server ended.
    Dropped,
}

/// One start of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartRecord {
    /// Identity of the task.
    pub task: sync::Arc<str>,
    /// Digest of its payload.
    pub digest: sync::Arc<str>,
    /// Server that started it.
    pub server: sync::Arc<str>,
    /// Time since the ledger was made.
    pub started: time::Duration,
    /// Time since the ledger was made; none while it runs.
    pub ended: Option<time::Duration>,
    /// How it ended.
    pub ending: StartEnding,
}

/// Messages between entries and backend servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerCounts {
    /// Task requests received.
    pub requests: u64,
    /// Answers 200 and 500: a task's one answer.
    pub answers: u64,
    /// Refusals for full slots.
    pub refused_full: u64,
    /// Refusals as leaving.
    pub refused_leaving: u64,
    /// Refusals as too large.
    pub refused_large: u64,
    /// Refusals of a task that started before.
    pub duplicates: u64,
    /// Requests to stop a task.
    pub stops: u64,
    /// Requests for usage.
    pub usage_reads: u64,
    /// Requests that were neither answered nor started.
    pub lost_requests: u64,
}

impl LedgerCounts {
    /// Refusals before the start.
    pub fn refusals(&self) -> u64 {
        self.refused_full + self.refused_leaving + self.refused_large
    }

    /// Messages that are neither a task's one request nor its one answer: a
    /// refusal wastes its request and itself, as do stops and usage reads
    /// with their answers.
    pub fn wasted_messages(&self) -> u64 {
        2 * (self.refusals() + self.duplicates + self.stops + self.usage_reads) + self.lost_requests
    }
}

/// All starts and counts, shared by the backend servers of one run.
#[derive(Debug)]
pub struct StartLedger {
    origin: tokio::time::Instant,
    book: sync::Mutex<LedgerBook>,
}

#[derive(Debug, Default)]
struct LedgerBook {
    starts: Vec<StartRecord>,
    counts: LedgerCounts,
}

/// Names one start for its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartNumber(usize);

impl Default for StartLedger {
    fn default() -> Self {
        Self {
            origin: tokio::time::Instant::now(),
            book: sync::Mutex::default(),
        }
    }
}

impl StartLedger {
    /// Notes the start of a task.
    pub fn start(
        &self,
        server: &sync::Arc<str>,
        task: &sync::Arc<str>,
        payload: &str,
    ) -> StartNumber {
        let record = StartRecord {
            task: task.clone(),
            digest: wire::payload_digest(payload).into(),
            server: server.clone(),
            started: self.origin.elapsed(),
            ended: None,
            ending: StartEnding::Running,
        };
        let mut book = sync_lock::lock(&self.book);
        book.starts.push(record);
        StartNumber(book.starts.len() - 1)
    }

    /// Notes the end of a task, once.
    pub fn end(&self, number: StartNumber, ending: StartEnding) {
        let ended = self.origin.elapsed();
        let mut book = sync_lock::lock(&self.book);
        let record = book.starts.get_mut(number.0);
        if let Some(record) = record.filter(|record| record.ended.is_none()) {
            record.ended = Some(ended);
            record.ending = ending;
        }
    }

    /// Changes the counts.
    pub fn count(&self, change: impl FnOnce(&mut LedgerCounts)) {
        change(&mut sync_lock::lock(&self.book).counts);
    }

    /// Counts so far.
    pub fn counts(&self) -> LedgerCounts {
        sync_lock::lock(&self.book).counts
    }

    /// Time since the ledger was made.
    pub fn elapsed(&self) -> time::Duration {
        self.origin.elapsed()
    }

    /// All starts, in order.
    pub fn starts(&self) -> Vec<StartRecord> {
        sync_lock::lock(&self.book).starts.clone()
    }

    /// Starts by payload digest.
    pub fn starts_by_digest(&self) -> collections::HashMap<sync::Arc<str>, u32> {
        let mut starts = collections::HashMap::new();
        for record in &sync_lock::lock(&self.book).starts {
            *starts.entry(record.digest.clone()).or_insert(0) += 1;
        }
        starts
    }

    /// Tasks that started more than once under the same identity, on any server.
    pub fn duplicate_tasks(&self) -> Vec<sync::Arc<str>> {
        let mut seen = collections::HashSet::new();
        let mut twice = Vec::new();
        for record in &sync_lock::lock(&self.book).starts {
            if !seen.insert(record.task.clone()) {
                twice.push(record.task.clone());
            }
        }
        twice
    }
}
