//! Keys that this process has opened or closed itself, with their jobs.

use std::{collections, sync};

use cuminkeel_types::{job, names, outcome, time};

use crate::{answer, digest, event, key, message};

/// Who waits for the answer of a key's job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyWaiter {
    /// A request on this entry.
    Local(event::TicketId),
    /// A request on another entry.
    Remote {
        /// The entry.
        entry: names::IncarnationId,
        /// Its request.
        ticket: event::TicketId,
        /// Digest that the request came with.
        digest: Option<digest::JobDigest>,
    },
}

/// How far a key's job is.
#[derive(Debug)]
pub enum KeyState {
    /// The witness was asked and has not answered.
    Opening(KeyOpening),
    /// The job was started.
    Running {
        /// The job.
        job: names::JobId,
        /// How many outputs a complete answer has.
        tasks: usize,
    },
    /// The job has its final answer.
    Finished(answer::KeptAnswer),
    /// Nothing ran, and nothing ever will.
    Closed(outcome::RefusalCode),
}

/// An opening that waits for the witness.
#[derive(Debug)]
pub struct KeyOpening {
    /// The process asked.
    pub witness: names::IncarnationId,
    /// The job to start.
    pub spec: sync::Arc<job::JobSpec>,
    /// When the caller's deadline passes.
    pub deadline: time::TimePoint,
    /// When the key is closed if the witness stays silent.
    pub give_up: time::TimePoint,
    /// When to ask again.
    pub next_send: time::TimePoint,
    /// Interval after the next transmission.
    pub interval: std::time::Duration,
}

/// What is known of one key.
#[derive(Debug)]
pub struct KeyRecord {
    /// Digest of the job that the key was used for; none if it was cancelled unused.
    pub digest: Option<digest::JobDigest>,
    /// The witness that the key names.
    pub witness: Option<names::IncarnationId>,
    /// How far the job is.
    pub state: KeyState,
    /// Who waits for its answer.
    pub waiters: Vec<KeyWaiter>,
    /// Whether the dispatch policy was asked to cancel the job.
    pub cancelled: bool,
    /// When the job got its answer, or the key was closed.
    pub settled_at: Option<time::TimePoint>,
}

impl KeyRecord {
    /// What the key's fate is, as a leaving process tells it.
    pub fn fate(&self) -> message::KeyFate {
        match &self.state {
            KeyState::Opening(_) | KeyState::Running { .. } => message::KeyFate::Opened,
            KeyState::Finished(kept) => message::KeyFate::Ended(kept.ran()),
            KeyState::Closed(_) => message::KeyFate::Closed,
        }
    }
}

/// All keys opened or closed by this process.
#[derive(Debug, Default)]
pub struct RecordTable {
    records: collections::BTreeMap<key::KeyId, KeyRecord>,
    jobs: collections::HashMap<names::JobId, key::KeyId>,
}

impl RecordTable {
    /// The record of a key.
    pub fn get(&self, key: key::KeyId) -> Option<&KeyRecord> {
        self.records.get(&key)
    }

    /// The record of a key, to be changed.
    pub fn get_mut(&mut self, key: key::KeyId) -> Option<&mut KeyRecord> {
        self.records.get_mut(&key)
    }

    /// Adds a record.
    pub fn insert(&mut self, key: key::KeyId, record: KeyRecord) {
        self.records.insert(key, record);
    }

    /// Marks a key's job as started.
    pub fn run(&mut self, key: key::KeyId, job: names::JobId, tasks: usize) {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = KeyState::Running { job, tasks };
            self.jobs.insert(job, key);
        }
    }

    /// The key of a running job; the job is no longer running.
    pub fn finish(&mut self, job: names::JobId) -> Option<key::KeyId> {
        self.jobs.remove(&job)
    }

    /// Whether a job runs or a key is being opened.
    pub fn is_busy(&self) -> bool {
        !self.jobs.is_empty()
            || self
                .records
                .values()
                .any(|record| matches!(record.state, KeyState::Opening(_)))
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records of one authority, by position.
    pub fn of(
        &self,
        authority: names::IncarnationId,
    ) -> impl Iterator<Item = (key::KeyId, &KeyRecord)> {
        let first = key::KeyId {
            authority,
            sequence: 0,
        };
        let last = key::KeyId {
            authority,
            sequence: u64::MAX,
        };
        self.records
            .range(first..=last)
            .map(|(key, record)| (*key, record))
    }

    /// Removes the settled records that `forget` names.
    pub fn purge(&mut self, forget: impl Fn(key::KeyId, time::TimePoint) -> bool) {
        self.records.retain(|key, record| {
            record
                .settled_at
                .is_none_or(|settled_at| !forget(*key, settled_at))
        });
    }

    /// The first settled key.
    pub fn first_settled(&self) -> Option<key::KeyId> {
        self.records
            .iter()
            .find(|(_, record)| record.settled_at.is_some())
            .map(|(key, _)| *key)
    }

    /// Removes one record if it is settled.
    pub fn remove_settled(&mut self, key: key::KeyId) {
        if self
            .records
            .get(&key)
            .is_some_and(|record| record.settled_at.is_some())
        {
            self.records.remove(&key);
        }
    }
}
