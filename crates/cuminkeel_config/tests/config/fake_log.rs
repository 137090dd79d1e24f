//! A log of two streams in memory.

use std::sync;

use cuminkeel_config::page;

/// Records that one read returns at most.
const PAGE_RECORDS: usize = 5;

#[derive(Clone, Debug, Default)]
pub struct FakeStream {
    records: Vec<sync::Arc<[u8]>>,
    head: usize,
}

impl FakeStream {
    pub fn append(&mut self, payload: &[u8]) -> u64 {
        self.records.push(payload.into());
        self.tail() - 1
    }

    pub fn tail(&self) -> u64 {
        self.records.len() as u64
    }

    pub fn record(&self, offset: u64) -> &[u8] {
        &self.records[usize::try_from(offset).expect("small")]
    }

    pub fn trim(&mut self, head: u64) {
        let head = usize::try_from(head).expect("small");
        self.head = self.head.max(head.min(self.records.len()));
    }

    pub fn head(&self) -> u64 {
        self.head as u64
    }

    /// Reads as if the stream ended at `tail`.
    pub fn read_until(&self, offset: u64, tail: u64) -> Result<page::LogPage, page::ReadFault> {
        let head = self.head();
        if offset < head {
            return Err(page::ReadFault::Trimmed { head });
        }
        let offsets = (offset..tail.min(self.tail())).take(PAGE_RECORDS);
        let records = offsets.map(|offset| page::PageRecord {
            offset,
            payload: self.record(offset).into(),
        });
        Ok(page::LogPage {
            records: records.collect(),
            head,
            tail: tail.min(self.tail()),
        })
    }

    pub fn read(&self, offset: u64) -> Result<page::LogPage, page::ReadFault> {
        self.read_until(offset, self.tail())
    }
}

#[derive(Clone, Debug, Default)]
pub struct FakeLog {
    pub edits: FakeStream,
    pub snapshots: FakeStream,
}
