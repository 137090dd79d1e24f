//! Messages that entries pass to each other about the configuration.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::chain;

/// Newest format of peer messages that this release reads.
pub const PEER_FORMAT: u8 = 1;
/// Largest encoded message, in bytes.
pub const MAX_PEER_BYTES: usize = 16 * 1024;
/// Room in a message for all but the records or the part, in bytes.
pub const PEER_OVERHEAD_BYTES: usize = 64;

/// A position in the edit stream, with the digest of what stands before it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChainPoint {
    /// Next offset.
    pub offset: u64,
    /// Digest of all records before it.
    pub chain: chain::ChainDigest,
}

/// One message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Where the sender is.
    Announce {
        /// Its position.
        at: ChainPoint,
        /// Milliseconds since the log confirmed that this is its tail; none if never.
        age_millis: Option<u64>,
    },
    /// Asks for what comes after the sender's position; none if it has nothing.
    Ask {
        /// Its position.
        at: Option<ChainPoint>,
    },
    /// Records of the log, in order.
    Records {
        /// Position before the first record.
        at: ChainPoint,
        /// Their bytes.
        records: Vec<Vec<u8>>,
    },
    /// A part of a snapshot, as on the log.
    StatePart(Vec<u8>),
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum PeerError {
    /// Not a message, cut short, or too long.
    #[display("malformed peer message")]
    Malformed,
    /// A format of a newer release.
    #[display("peer message of format {format}, this release reads {PEER_FORMAT}")]
    NewerFormat {
        /// Its format.
        format: u8,
    },
}

/// Encodes a message; none if it exceeds [`MAX_PEER_BYTES`].
pub fn encode_peer(message: &PeerMessage) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(message, vec![PEER_FORMAT]).ok()?;
    (bytes.len() <= MAX_PEER_BYTES).then_some(bytes)
}

/// Decodes any bytes.
///
/// # Errors
/// Every input that is not a whole message of a known format.
pub fn decode_peer(bytes: &[u8]) -> Result<PeerMessage, PeerError> {
    match bytes.split_first() {
        Some((&PEER_FORMAT, body)) if bytes.len() <= MAX_PEER_BYTES => {
            crate::frame::decode_body(body).ok_or(PeerError::Malformed)
        }
        Some((&format, _)) if format > PEER_FORMAT => Err(PeerError::NewerFormat { format }),
        _ => Err(PeerError::Malformed),
    }
}
