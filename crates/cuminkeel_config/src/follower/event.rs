//! What a follower is told and what it asks its shell to do.

use std::{sync, time};

use cuminkeel_types::names;
use derive_more::{Display, Error};

use crate::{fold, lists, page};

/// Fixed settings of a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowerSettings {
    /// Largest record of the log, in bytes.
    pub max_record_bytes: usize,
    /// Time for which the log keeps records; none to write no snapshots.
    pub retention: Option<time::Duration>,
}

/// Another live entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerEntry {
    /// Its process.
    pub incarnation: names::IncarnationId,
    /// Whether it stands in this entry's failure domain.
    pub same_domain: bool,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerEvent {
    /// The time named by [`super::ConfigFollower::next_wakeup`] has come.
    Tick,
    /// Answer to [`FollowerAction::ReadLog`].
    LogRead(page::LogPage),
    /// Answer to [`FollowerAction::ReadLog`].
    LogFailed(page::ReadFault),
    /// Answer to [`FollowerAction::ReadSnapshots`].
    SnapshotsRead(page::LogPage),
    /// Answer to [`FollowerAction::ReadSnapshots`].
    SnapshotsFailed(page::ReadFault),
    /// Every part of [`FollowerAction::AppendSnapshot`] was acknowledged.
    SnapshotAppended {
        /// Offset of the fold that was written.
        offset: u64,
        /// Offset of the last part in the snapshot stream.
        position: u64,
    },
    /// Some part of [`FollowerAction::AppendSnapshot`] was not acknowledged.
    SnapshotAppendFailed,
    /// The live entries of all failure domains without this one.
    PeersChanged(Vec<PeerEntry>),
    /// A message of a peer on the topic of configuration.
    PeerMessage {
        /// Sender.
        from: names::IncarnationId,
        /// Encoded message.
        payload: Vec<u8>,
    },
}

/// Something that the shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerAction {
    /// Read [`crate::EDIT_STREAM`] from `offset`.
    ReadLog {
        /// First offset wanted.
        offset: u64,
        /// Whether to wait for a record past the tail.
        wait: bool,
    },
    /// Read [`crate::SNAPSHOT_STREAM`] from `offset`, without waiting.
    ReadSnapshots {
        /// First offset wanted.
        offset: u64,
    },
    /// Append these records to [`crate::SNAPSHOT_STREAM`], one after the other,
    /// and stop at the first that is not acknowledged.
    AppendSnapshot {
        /// Offset of the fold that they hold.
        offset: u64,
        /// The records.
        parts: Vec<Vec<u8>>,
    },
    /// Send a message on the topic of configuration.
    SendPeer {
        /// Receiver.
        to: names::IncarnationId,
        /// Encoded message.
        payload: Vec<u8>,
    },
    /// One record was folded.
    Folded(fold::FoldedRecord),
    /// These lists are in force from now on.
    InForce(sync::Arc<lists::ConfigLists>),
    /// Something is wrong and was kept out.
    Report(FollowerFault),
}

/// What was kept out.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum FollowerFault {
    /// The log answered as if records that were read did not exist.
    #[display("the log ends at {tail}, {offset} was read before")]
    LogBehind {
        /// Tail that it named.
        tail: u64,
        /// Offset read before.
        offset: u64,
    },
    /// A page did not continue where it should.
    #[display("the log skips from {expected} to {found}")]
    OffsetGap {
        /// Next offset.
        expected: u64,
        /// Offset that came.
        found: u64,
    },
    /// Records or states of one offset differ.
    #[display("another history before offset {offset}")]
    Diverged {
        /// The offset.
        offset: u64,
    },
    /// Older records are trimmed and no snapshot reaches to the head.
    #[display("the log starts at {head} and no snapshot reaches it")]
    NoStart {
        /// Oldest offset kept.
        head: u64,
    },
    /// The snapshot can't be written.
    #[display("the snapshot is too large to write")]
    SnapshotTooLarge,
    /// A peer sent something unreadable.
    #[display("unreadable message of a peer")]
    BadPeerMessage,
}

/// A follower as shown to people.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowerStatus {
    /// Offset of the lists in force; none if there are none.
    pub offset: Option<u64>,
    /// Time since the offset was known to be the log's tail.
    pub age: Option<time::Duration>,
    /// Whether the last read of the log was answered.
    pub log_reachable: bool,
    /// Faults reported since the start.
    pub fault_count: u64,
}
