//! Pieces of a log stream as they are read.

use std::sync;

/// One record of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PageRecord {
    /// Position in the stream.
    pub offset: u64,
    /// The bytes as appended.
    pub payload: sync::Arc<[u8]>,
}

/// Consecutive records of a stream, from the offset asked for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogPage {
    /// The records in order.
    pub records: Vec<PageRecord>,
    /// Offset of the oldest record still kept.
    pub head: u64,
    /// Offset that the next append gets.
    pub tail: u64,
}

/// Why a page could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadFault {
    /// The log is down or slow, or its answer does not follow the protocol.
    Unavailable,
    /// The offset is older than the oldest record kept.
    Trimmed {
        /// Oldest offset kept.
        head: u64,
    },
}
