//! Replica of the registry of backend servers, from which a process tells its peers what they could not read
//! themselves.
//!
//! The registry is a log. Its offsets order all that is known of it, from wherever it was learnt: a process that has
//! all records before an offset knows what the store knew there. So records of the store and of peers need no other
//! order between them, and a record is never applied after a newer one of the same server.

use std::{collections::BTreeMap, sync::Arc, time};

use serde::{Deserialize, Serialize};

use crate::read_progress;

/// Maximum number of removed servers that the replica remembers: more than the target scale replaces in a month. A
/// peer that has not learnt of earlier removals gets a snapshot.
const MAX_REMOVED_SERVERS: usize = 1_024;

/// Record of the registry's log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegistryRecord {
    /// Offset in the log.
    pub offset: u64,
    /// Id of the server.
    pub server: Arc<str>,
    /// Entry in its stored form; `None` if the entry was removed.
    pub value: Option<Arc<[u8]>>,
}

impl RegistryRecord {
    /// Returns the size of the record in a frame, in bytes, at most.
    fn frame_bytes(&self) -> usize {
        /// Offset, two lengths and the mark of an optional value.
        const FIXED_BYTES: usize = 21;
        FIXED_BYTES + self.server.len() + self.value.as_ref().map_or(0, |value| value.len())
    }
}

/// What a process tells a peer of the registry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegistryNews {
    /// Whether `records` has the newest entry of each server. If not, it has the newest records since the offset that
    /// the peer asked for.
    pub is_snapshot: bool,
    /// Records of one failure domain, oldest first.
    pub records: Vec<RegistryRecord>,
    /// Offset up to which all records are known.
    pub next_offset: u64,
    /// Time since the start of the last read that reached the end of the log.
    pub read_age: time::Duration,
}

impl RegistryNews {
    /// Returns the size of the news in a frame, in bytes, at most.
    pub fn frame_bytes(&self) -> usize {
        self.records.iter().map(RegistryRecord::frame_bytes).sum()
    }
}

/// Newest records of one server.
#[derive(Clone, Debug)]
struct ServerRecords {
    failure_domain: Arc<str>,
    entry: RegistryRecord,
    /// Offset of the record that removed the entry.
    removed_at: Option<u64>,
}

impl ServerRecords {
    fn last_offset(&self) -> u64 {
        self.removed_at.unwrap_or(self.entry.offset)
    }

    /// Returns the records that are known, oldest first.
    fn iter(&self) -> impl Iterator<Item = RegistryRecord> {
        let removal = self.removed_at.map(|offset| RegistryRecord {
            offset,
            server: Arc::clone(&self.entry.server),
            value: None,
        });
        [Some(self.entry.clone()), removal].into_iter().flatten()
    }
}

/// Newest readable entries of all servers, and the removals of late.
#[derive(Clone, Debug, Default)]
pub struct RegistryReplica {
    servers: BTreeMap<Arc<str>, ServerRecords>,
    /// Offset from which on no removal is forgotten.
    complete_from: u64,
    progress: read_progress::ReadProgress,
}

impl RegistryReplica {
    /// Returns how far the log was read, and when.
    pub fn progress(&self) -> &read_progress::ReadProgress {
        &self.progress
    }

    /// Returns how far the log was read, and when, for changes.
    pub fn progress_mut(&mut self) -> &mut read_progress::ReadProgress {
        &mut self.progress
    }

    /// Forgets all records before those of a snapshot, which has all records before `next_offset`.
    pub fn begin_snapshot(&mut self, next_offset: u64) {
        self.servers.clear();
        self.complete_from = next_offset;
        self.progress.set_next_offset(None);
    }

    /// Whether the record of `server` at `offset`, or a newer one, is included. A snapshot may have records from its
    /// end on, as it is read in pages.
    pub fn includes(&self, server: &str, offset: u64) -> bool {
        let is_before_end = self
            .progress
            .next_offset()
            .is_some_and(|next_offset| offset < next_offset);
        is_before_end
            || self
                .servers
                .get(server)
                .is_some_and(|records| records.last_offset() >= offset)
    }

    /// Whether more is known than all records before `next_offset`, so that a peer which knows those has nothing to tell.
    pub fn is_ahead_of(&self, next_offset: u64) -> bool {
        self.progress
            .next_offset()
            .is_some_and(|known_offset| next_offset < known_offset)
    }

    /// Includes an entry, which is readable and names `failure_domain`.
    pub fn apply_entry(&mut self, record: RegistryRecord, failure_domain: &Arc<str>) {
        let server = Arc::clone(&record.server);
        let records = ServerRecords {
            failure_domain: Arc::clone(failure_domain),
            entry: record,
            removed_at: None,
        };
        self.servers.insert(server, records);
    }

    /// Includes the removal of the entry of `server` at `offset`.
    pub fn apply_removal(&mut self, server: &str, offset: u64) {
        if let Some(records) = self.servers.get_mut(server) {
            records.removed_at = Some(offset);
        }
        let removed = self.servers.values().filter_map(|records| {
            let removed_at = records.removed_at?;
            Some((removed_at, Arc::clone(&records.entry.server)))
        });
        if removed.clone().count() <= MAX_REMOVED_SERVERS {
            return;
        }
        if let Some((removed_at, earliest)) = removed.min() {
            self.servers.remove(&earliest);
            self.complete_from = self.complete_from.max(removed_at + 1);
        }
    }

    /// Returns what a peer that knows all records before `from_offset`, or none, has not learnt of the servers of
    /// `failure_domain`; `None` before the first read.
    pub fn news_from(
        &self,
        from_offset: Option<u64>,
        failure_domain: &str,
        now: time::Duration,
    ) -> Option<RegistryNews> {
        let next_offset = self.progress.next_offset()?;
        let read_age = self.progress.age(now)?;
        let first_offset = from_offset.filter(|offset| *offset >= self.complete_from);
        let local = self
            .servers
            .values()
            .filter(|records| *records.failure_domain == *failure_domain);
        let mut records: Vec<RegistryRecord> = match first_offset {
            Some(first_offset) => local
                .flat_map(ServerRecords::iter)
                .filter(|record| record.offset >= first_offset)
                .collect(),
            None => local
                .filter(|records| records.removed_at.is_none())
                .map(|records| records.entry.clone())
                .collect(),
        };
        records.sort_by_key(|record| record.offset);
        Some(RegistryNews {
            is_snapshot: first_offset.is_none(),
            records,
            next_offset,
            read_age,
        })
    }
}
