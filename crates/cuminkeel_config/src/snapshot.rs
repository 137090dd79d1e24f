//! Snapshots of the fold: their codec, and putting their parts together.
//!
//! A snapshot outlives the retention of the edit stream. It is a function of
//! the offset only, so the parts of two entries that write the same snapshot at
//! once stand in for each other. A snapshot without all of its parts is ignored.

use std::collections;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{fold, frame};

/// Newest format of snapshots that this release reads, and the one it writes.
pub const SNAPSHOT_FORMAT: u16 = 1;
/// Most parts of one snapshot.
pub const MAX_PARTS: u16 = 512;
/// Largest snapshot, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;

const MAGIC: [u8; 4] = *b"CKSP";
/// Room in a part for its frame and the numbers of its body, in bytes.
const PART_OVERHEAD_BYTES: usize = frame::HEADER_BYTES + 32;
/// Incomplete snapshots kept at the same time.
const MAX_OPEN_SNAPSHOTS: usize = 4;

/// Why a snapshot can't be written.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum SnapshotError {
    /// The snapshot is larger than [`MAX_SNAPSHOT_BYTES`] or [`MAX_PARTS`] allow.
    #[display("the snapshot takes {bytes} bytes, too many for parts of {limit}")]
    TooLarge {
        /// Its size.
        bytes: usize,
        /// Largest record.
        limit: usize,
    },
    /// The codec failed.
    #[display("the snapshot can't be encoded")]
    Codec,
}

/// Why bytes are not a part of a snapshot that can be used.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum PartFault {
    /// Not a part, damaged, or cut short.
    #[display("damaged snapshot part")]
    Damaged,
    /// A format of a newer release.
    #[display("snapshot format {format}, this release reads {SNAPSHOT_FORMAT}")]
    NewerFormat {
        /// Its format.
        format: u16,
    },
}

/// One part of a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotPart {
    /// Which snapshot.
    pub key: SnapshotKey,
    index: u16,
    count: u16,
    bytes: Vec<u8>,
}

/// Identity of a snapshot.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SnapshotKey {
    /// Offset of the fold.
    pub offset: u64,
    /// Digest of the whole.
    digest: u128,
}

#[derive(Serialize)]
struct BodyRef<'a> {
    offset: u64,
    index: u16,
    count: u16,
    bytes: &'a [u8],
}

#[derive(Deserialize)]
struct BodyOwned {
    offset: u64,
    index: u16,
    count: u16,
    bytes: Vec<u8>,
}

/// Encodes the fold in records of up to `limit` bytes.
///
/// # Errors
/// [`SnapshotError::TooLarge`] beyond the bounds on size and parts.
pub fn encode_snapshot(
    fold: &fold::ConfigFold,
    limit: usize,
) -> Result<Vec<Vec<u8>>, SnapshotError> {
    let whole = postcard::to_stdvec(fold).map_err(|_| SnapshotError::Codec)?;
    let bytes = whole.len();
    let too_large = SnapshotError::TooLarge { bytes, limit };
    let room = limit.saturating_sub(PART_OVERHEAD_BYTES);
    if room == 0 || bytes > MAX_SNAPSHOT_BYTES {
        return Err(too_large);
    }
    let count = u16::try_from(bytes.div_ceil(room)).map_err(|_| too_large)?;
    if count > MAX_PARTS {
        return Err(too_large);
    }
    let digest = whole_digest(&whole);
    let offset = fold.offset();
    let parts = (0..count).zip(whole.chunks(room)).map(|(index, bytes)| {
        let body = BodyRef {
            offset,
            index,
            count,
            bytes,
        };
        let body = postcard::to_stdvec(&body).map_err(|_| SnapshotError::Codec)?;
        Ok(frame::seal(MAGIC, SNAPSHOT_FORMAT, digest, &body))
    });
    parts.collect()
}

/// Decodes any bytes found where a part is expected.
///
/// # Errors
/// Every input that is not a whole part of a known format.
pub fn decode_part(bytes: &[u8]) -> Result<SnapshotPart, PartFault> {
    let frame = frame::open(MAGIC, bytes).ok_or(PartFault::Damaged)?;
    if frame.format > SNAPSHOT_FORMAT {
        let format = frame.format;
        return Err(PartFault::NewerFormat { format });
    }
    let body: BodyOwned = frame::decode_body(frame.body).ok_or(PartFault::Damaged)?;
    if body.index >= body.count || body.count > MAX_PARTS {
        return Err(PartFault::Damaged);
    }
    Ok(SnapshotPart {
        key: SnapshotKey {
            offset: body.offset,
            digest: frame.id,
        },
        index: body.index,
        count: body.count,
        bytes: body.bytes,
    })
}

#[derive(Debug)]
struct OpenSnapshot {
    count: u16,
    parts: collections::BTreeMap<u16, Vec<u8>>,
}

/// Puts parts together, in any order, doubled or interleaved.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    open: collections::BTreeMap<SnapshotKey, OpenSnapshot>,
}

impl SnapshotAssembler {
    /// Takes one part; returns the fold once its snapshot is complete.
    pub fn insert(&mut self, part: SnapshotPart) -> Option<fold::ConfigFold> {
        let key = part.key;
        let count = part.count;
        let open = self.open.entry(key).or_insert_with(|| OpenSnapshot {
            count,
            parts: collections::BTreeMap::new(),
        });
        if open.count == count {
            open.parts.insert(part.index, part.bytes);
        }
        if open.parts.len() == usize::from(open.count) {
            let complete = self.open.remove(&key)?;
            return join_parts(key, complete);
        }
        while self.open.len() > MAX_OPEN_SNAPSHOTS {
            self.open.pop_first();
        }
        None
    }
}

fn join_parts(key: SnapshotKey, complete: OpenSnapshot) -> Option<fold::ConfigFold> {
    let whole: Vec<u8> = complete.parts.into_values().flatten().collect();
    if whole.len() > MAX_SNAPSHOT_BYTES || whole_digest(&whole) != key.digest {
        return None;
    }
    let fold: fold::ConfigFold = frame::decode_body(&whole)?;
    (fold.offset() == key.offset).then_some(fold)
}

fn whole_digest(whole: &[u8]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(whole);
    let mut digest = [0; 16];
    hasher.finalize_xof().fill(&mut digest);
    u128::from_le_bytes(digest)
}
