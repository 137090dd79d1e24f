//! Counts of traffic and of dropped frames.

use std::sync::atomic;

use crate::{border, frame, membership};

/// Topics, in the order of [`TopicTraffic`] in a [`MeshCounters`].
pub const TOPICS: [border::MeshTopic; 6] = [
    border::MeshTopic::Membership,
    border::MeshTopic::Config,
    border::MeshTopic::Dispatch,
    border::MeshTopic::Outcome,
    border::MeshTopic::Allowance,
    border::MeshTopic::Jobs,
];

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DropCause {
    /// Shorter than the smallest frame or larger than the largest.
    Size,
    /// Written by a release that is not next to this one.
    Version,
    /// Not authenticated, or for another receiver.
    Unproved,
    /// Does not decode.
    Malformed,
    /// Of a kind that this release does not know.
    UnknownKind,
    /// Received before, or too old to tell.
    Replayed,
    /// From a process that is gone.
    GoneSender,
    /// From a process that is not known.
    Stranger,
    /// Nobody listens to its topic.
    NoListener,
    /// The outgoing queue or the socket's buffer was full.
    QueueFull,
    /// The socket refused it.
    SendFailed,
}

/// All causes, in the order of [`MeshCounters::drops`].
pub const DROP_CAUSES: [DropCause; 11] = [
    DropCause::Size,
    DropCause::Version,
    DropCause::Unproved,
    DropCause::Malformed,
    DropCause::UnknownKind,
    DropCause::Replayed,
    DropCause::GoneSender,
    DropCause::Stranger,
    DropCause::NoListener,
    DropCause::QueueFull,
    DropCause::SendFailed,
];

impl From<frame::FrameError> for DropCause {
    fn from(error: frame::FrameError) -> Self {
        match error {
            frame::FrameError::TooShort | frame::FrameError::TooLarge => Self::Size,
            frame::FrameError::Version { .. } => Self::Version,
            frame::FrameError::Unproved => Self::Unproved,
            frame::FrameError::Malformed => Self::Malformed,
            frame::FrameError::UnknownKind { .. } => Self::UnknownKind,
        }
    }
}

impl From<membership::message::MessageError> for DropCause {
    fn from(error: membership::message::MessageError) -> Self {
        match error {
            membership::message::MessageError::UnknownVariant { .. } => Self::UnknownKind,
            membership::message::MessageError::Malformed => Self::Malformed,
        }
    }
}

/// Traffic of one topic since the start. Bytes are those of whole frames,
/// without the headers of UDP, TCP and IP.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TopicTraffic {
    /// Bytes sent.
    pub bytes_out: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes received and accepted.
    pub bytes_in: u64,
    /// Messages received and accepted.
    pub messages_in: u64,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MeshCounters {
    /// Traffic by topic, in the order of [`TOPICS`].
    pub topics: [TopicTraffic; TOPICS.len()],
    /// Dropped frames, in the order of [`DROP_CAUSES`].
    pub drops: [u64; DROP_CAUSES.len()],
    /// Decisions of membership.
    pub membership: membership::decision::MembershipCounters,
}

impl MeshCounters {
    /// Traffic of a topic.
    pub const fn topic(&self, topic: border::MeshTopic) -> TopicTraffic {
        self.topics[topic as usize]
    }

    /// Frames dropped for a cause.
    pub const fn dropped(&self, cause: DropCause) -> u64 {
        self.drops[cause as usize]
    }
}

#[derive(Debug, Default)]
struct TopicCells {
    bytes_out: atomic::AtomicU64,
    messages_out: atomic::AtomicU64,
    bytes_in: atomic::AtomicU64,
    messages_in: atomic::AtomicU64,
}

/// Counters that the mesh's tasks share.
#[derive(Debug, Default)]
pub(super) struct CounterCells {
    topics: [TopicCells; TOPICS.len()],
    drops: [atomic::AtomicU64; DROP_CAUSES.len()],
}

impl CounterCells {
    pub(super) fn sent(&self, topic: border::MeshTopic, bytes: usize) {
        let cells = &self.topics[topic as usize];
        add(&cells.bytes_out, bytes);
        add(&cells.messages_out, 1);
    }

    pub(super) fn received(&self, topic: border::MeshTopic, bytes: usize) {
        let cells = &self.topics[topic as usize];
        add(&cells.bytes_in, bytes);
        add(&cells.messages_in, 1);
    }

    pub(super) fn dropped(&self, cause: DropCause) {
        add(&self.drops[cause as usize], 1);
    }

    pub(super) fn snapshot(&self) -> MeshCounters {
        let mut counters = MeshCounters::default();
        for (traffic, cells) in counters.topics.iter_mut().zip(&self.topics) {
            *traffic = TopicTraffic {
                bytes_out: cells.bytes_out.load(atomic::Ordering::Relaxed),
                messages_out: cells.messages_out.load(atomic::Ordering::Relaxed),
                bytes_in: cells.bytes_in.load(atomic::Ordering::Relaxed),
                messages_in: cells.messages_in.load(atomic::Ordering::Relaxed),
            };
        }
        for (count, cell) in counters.drops.iter_mut().zip(&self.drops) {
            *count = cell.load(atomic::Ordering::Relaxed);
        }
        counters
    }
}

fn add(cell: &atomic::AtomicU64, amount: usize) {
    cell.fetch_add(amount as u64, atomic::Ordering::Relaxed);
}
