//! Failure domains that the operator has evacuated: no task may start on their backend servers.

use std::{collections::BTreeSet, sync::Arc, time};

use serde::{Deserialize, Serialize};

use crate::pool;

/// Evacuated failure domains as of an offset of the operator's log.
///
/// The offsets order all states: a state with a higher one is newer, wherever it comes from.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationState {
    /// Offset of the log up to which all records are included; 0 if the log was not read.
    pub as_of: u64,
    /// Names of the evacuated failure domains.
    pub domains: BTreeSet<Arc<str>>,
}

/// Record of the operator's log that evacuates a failure domain or cancels its evacuation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationRecord {
    /// Offset of the record in the log.
    pub offset: u64,
    /// Name of the failure domain.
    pub domain: Arc<str>,
    /// Whether the failure domain is evacuated from this record on.
    pub is_evacuated: bool,
    /// Whether the value could be decoded. It decides nothing: the key alone evacuates the domain.
    pub is_decodable: bool,
}

/// Difference between two states for one failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainChange {
    /// Name of the failure domain.
    pub domain: Arc<str>,
    /// Whether the failure domain is evacuated in the newer state.
    pub is_evacuated: bool,
}

impl EvacuationState {
    /// Returns the state of a snapshot of the log, which has the newest record of each key.
    ///
    /// A snapshot is read in pages, so it may have records from `as_of`, the end of the log at its
    /// first page, on. They are included: the domain was evacuated at some time after `as_of`, and
    /// the records from there on are applied next.
    pub fn from_snapshot(as_of: u64, records: &[EvacuationRecord]) -> Self {
        let mut state = Self::default();
        for record in records {
            state.apply_record(record);
        }
        state.as_of = as_of;
        state
    }

    /// Returns the state after `records`, which were read up to before `next_offset`. Records that
    /// the state already includes change nothing, so a read that starts before `as_of` does no
    /// harm.
    #[must_use]
    pub fn with_records(&self, records: &[EvacuationRecord], next_offset: u64) -> Self {
        let mut state = self.clone();
        for record in records {
            if record.offset >= self.as_of {
                state.apply_record(record);
            }
        }
        state.as_of = self.as_of.max(next_offset);
        state
    }

    /// Returns the failure domains for which `newer` differs from this state, by name.
    pub fn changes_to(&self, newer: &Self) -> Vec<DomainChange> {
        self.domains
            .symmetric_difference(&newer.domains)
            .map(|domain| DomainChange {
                domain: Arc::clone(domain),
                is_evacuated: newer.contains(domain),
            })
            .collect()
    }

    /// Whether `failure_domain` is evacuated.
    pub fn contains(&self, failure_domain: &str) -> bool {
        self.domains.contains(failure_domain)
    }

    fn apply_record(&mut self, record: &EvacuationRecord) {
        if record.is_evacuated {
            self.domains.insert(Arc::clone(&record.domain));
        } else {
            self.domains.remove(&record.domain);
        }
    }
}

/// Newest evacuation state that a process knows, and the start of the evacuation of its own failure
/// domain.
#[derive(Debug)]
pub struct EvacuationTracker {
    local_domain: Arc<str>,
    state: EvacuationState,
    /// Whether the process has read the log, or received the state of a peer that has.
    is_initialized: bool,
    local_start: Option<pool::EvacuationStart>,
}

impl EvacuationTracker {
    /// Creates the tracker of a process of `local_domain` that has not read the log.
    pub fn new(local_domain: Arc<str>) -> Self {
        Self {
            local_domain,
            state: EvacuationState::default(),
            is_initialized: false,
            local_start: None,
        }
    }

    /// Returns the newest known state.
    pub fn state(&self) -> &EvacuationState {
        &self.state
    }

    /// Returns the start of the evacuation of the local failure domain, if it is evacuated.
    pub fn local_start(&self) -> Option<pool::EvacuationStart> {
        self.local_start
    }

    /// Adopts the state of a snapshot of the log, read at `now`, if it is newer than the known one.
    /// Returns what has changed.
    pub fn apply_snapshot(
        &mut self,
        as_of: u64,
        records: &[EvacuationRecord],
        now: time::Duration,
    ) -> Vec<DomainChange> {
        let changes = self.adopt(EvacuationState::from_snapshot(as_of, records), now);
        self.is_initialized = true;
        changes
    }

    /// Applies records of the log that were read at `now`, up to before `next_offset`. Returns what
    /// has changed.
    pub fn apply_records(
        &mut self,
        records: &[EvacuationRecord],
        next_offset: u64,
        now: time::Duration,
    ) -> Vec<DomainChange> {
        self.adopt(self.state.with_records(records, next_offset), now)
    }

    /// Adopts the state that a peer sent, read at `now`, if it is newer than the known one. Returns
    /// what has changed.
    pub fn apply_peer_state(
        &mut self,
        state: EvacuationState,
        now: time::Duration,
    ) -> Vec<DomainChange> {
        self.adopt(state, now)
    }

    fn adopt(&mut self, candidate: EvacuationState, now: time::Duration) -> Vec<DomainChange> {
        if candidate.as_of <= self.state.as_of {
            return Vec::new();
        }
        let changes = self.state.changes_to(&candidate);
        self.state = candidate;
        self.local_start = match self.local_start {
            _ if !self.state.contains(&self.local_domain) => None,
            Some(start) => Some(start),
            None if self.is_initialized => Some(pool::EvacuationStart::LearntAt(now)),
            None => Some(pool::EvacuationStart::Unknown),
        };
        self.is_initialized = true;
        changes
    }
}
