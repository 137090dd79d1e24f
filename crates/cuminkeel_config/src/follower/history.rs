//! The last records that a follower has folded.

use std::{collections, sync};

use crate::{chain, peer};

/// Positions whose digest is kept, to compare with the log and with peers.
const MAX_POINTS: usize = 4_096;
/// Records kept to pass on.
const MAX_RECORDS: usize = 1_024;
/// Bytes of records kept to pass on.
const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Digests and records just before the fold's offset. Both are consecutive and
/// end at the fold's offset.
#[derive(Debug, Default)]
pub(super) struct RecordHistory {
    points: collections::VecDeque<peer::ChainPoint>,
    records: collections::VecDeque<sync::Arc<[u8]>>,
    record_bytes: usize,
}

impl RecordHistory {
    /// Starts anew at a position.
    pub(super) fn restart(&mut self, at: peer::ChainPoint) {
        *self = Self::default();
        self.points.push_back(at);
    }

    /// Adds a record and the position after it.
    pub(super) fn push(&mut self, record: sync::Arc<[u8]>, after: peer::ChainPoint) {
        self.record_bytes += record.len();
        self.records.push_back(record);
        self.points.push_back(after);
        while self.points.len() > MAX_POINTS {
            self.points.pop_front();
        }
        while self.records.len() > MAX_RECORDS || self.record_bytes > MAX_RECORD_BYTES {
            let dropped = self.records.pop_front();
            self.record_bytes -= dropped.map_or(0, |record| record.len());
        }
    }

    /// Digest before `offset`, if still kept.
    pub(super) fn chain_at(&self, offset: u64) -> Option<chain::ChainDigest> {
        let first = self.points.front()?.offset;
        let index = usize::try_from(offset.checked_sub(first)?).ok()?;
        self.points.get(index).map(|point| point.chain)
    }

    /// As many records from `offset` on as fit into `limit` bytes; none if the
    /// first is not kept or does not fit.
    pub(super) fn records_from(&self, offset: u64, limit: usize) -> Option<Vec<Vec<u8>>> {
        let end = self.points.back()?.offset;
        let count = usize::try_from(end.checked_sub(offset)?).ok()?;
        let start = self.records.len().checked_sub(count)?;
        let mut room = limit;
        let mut records = Vec::new();
        for record in self.records.iter().skip(start) {
            // A length prefix takes up to three bytes at these sizes.
            let needed = record.len() + 3;
            if needed > room {
                break;
            }
            room -= needed;
            records.push(record.to_vec());
        }
        (!records.is_empty()).then_some(records)
    }
}
