//! Authenticated frames that carry every message between entries.
//!
//! Layout: one version byte, a `postcard` header, the body, and a MAC of
//! [`MAC_BYTES`]. The MAC also covers the receiver's incarnation, which is not
//! sent, so a frame is valid at one receiver only. The header keeps its layout
//! from one release to the next; bodies grow by appended fields.

use std::fmt;

use cuminkeel_types::names;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::border;

/// Version that this release writes.
pub const FRAME_VERSION: u8 = 1;
/// Newest version that this release reads: its own and the next one's.
pub const NEWEST_READABLE_VERSION: u8 = FRAME_VERSION + 1;
/// Largest frame sent in one UDP datagram, in bytes.
pub const MAX_UDP_FRAME_BYTES: usize = 1_200;
/// Largest frame sent over TCP, in bytes.
pub const MAX_TCP_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Length of the message authentication code, in bytes.
pub const MAC_BYTES: usize = 16;
/// Most keys that are accepted at a time during a key change.
pub const MAX_KEYS: usize = 4;

const KEY_CONTEXT: &str = "cuminkeel mesh frame key v1";
const KEY_BYTES: usize = 32;
const UNKNOWN_RECEIVER: names::IncarnationId = names::IncarnationId(0);

/// A secret that all entries share.
#[derive(Clone, Eq, PartialEq)]
pub struct MeshKey([u8; KEY_BYTES]);

impl MeshKey {
    /// Derives a key from a secret in the settings.
    pub fn from_secret(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }
}

impl fmt::Debug for MeshKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("MeshKey(..)")
    }
}

/// Why a set of keys can't be used.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum KeyError {
    /// There is no key to sign with.
    #[display("no mesh key")]
    Empty,
    /// More than [`MAX_KEYS`] keys.
    #[display("more than {MAX_KEYS} mesh keys")]
    TooMany,
}

/// The keys in use. The first one signs, and any of them proves a frame.
#[derive(Clone, Debug)]
pub struct KeyRing(smallvec::SmallVec<[MeshKey; 2]>);

impl KeyRing {
    /// Makes a key ring.
    ///
    /// # Errors
    /// There are no keys or more than [`MAX_KEYS`].
    pub fn new(keys: impl IntoIterator<Item = MeshKey>) -> Result<Self, KeyError> {
        let keys: smallvec::SmallVec<[MeshKey; 2]> = keys.into_iter().collect();
        match keys.len() {
            0 => Err(KeyError::Empty),
            count if count > MAX_KEYS => Err(KeyError::TooMany),
            _ => Ok(Self(keys)),
        }
    }

    /// A ring of one key.
    pub fn single(key: MeshKey) -> Self {
        Self(smallvec::smallvec![key])
    }

    fn sign(&self, bytes: &[u8], to: names::IncarnationId) -> [u8; MAC_BYTES] {
        mac(&self.0[0], bytes, to)
    }

    fn proves(&self, bytes: &[u8], to: names::IncarnationId, code: &[u8]) -> bool {
        self.0
            .iter()
            .any(|key| equal_in_constant_time(&mac(key, bytes, to), code))
    }
}

fn mac(key: &MeshKey, bytes: &[u8], to: names::IncarnationId) -> [u8; MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(bytes);
    hasher.update(&to.0.to_le_bytes());
    let mut code = [0; MAC_BYTES];
    hasher.finalize_xof().fill(&mut code);
    code
}

fn equal_in_constant_time(left: &[u8; MAC_BYTES], right: &[u8]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |sum, (left, right)| sum | (left ^ right));
    right.len() == MAC_BYTES && difference == 0
}

/// What a frame carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameKind {
    /// A membership message for one process.
    Membership,
    /// A membership message for whichever process has the address.
    Introduction,
    /// A message of a service.
    Topic(border::MeshTopic),
}

impl FrameKind {
    const fn code(self) -> u8 {
        match self {
            Self::Membership => 1,
            Self::Introduction => 2,
            Self::Topic(border::MeshTopic::Membership) => 16,
            Self::Topic(border::MeshTopic::Config) => 17,
            Self::Topic(border::MeshTopic::Dispatch) => 18,
            Self::Topic(border::MeshTopic::Outcome) => 19,
            Self::Topic(border::MeshTopic::Allowance) => 20,
            Self::Topic(border::MeshTopic::Jobs) => 21,
        }
    }

    const fn from_code(code: u8) -> Option<Self> {
        match code {
            1 => Some(Self::Membership),
            2 => Some(Self::Introduction),
            16 => Some(Self::Topic(border::MeshTopic::Membership)),
            17 => Some(Self::Topic(border::MeshTopic::Config)),
            18 => Some(Self::Topic(border::MeshTopic::Dispatch)),
            19 => Some(Self::Topic(border::MeshTopic::Outcome)),
            20 => Some(Self::Topic(border::MeshTopic::Allowance)),
            21 => Some(Self::Topic(border::MeshTopic::Jobs)),
            _ => None,
        }
    }
}

#[derive(Deserialize, Serialize)]
struct FrameHeader {
    kind: u8,
    from: [u8; 8],
    sequence: u64,
}

/// A frame whose sender is proved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProvedFrame<'bytes> {
    /// What it carries.
    pub kind: FrameKind,
    /// The process that signed it.
    pub from: names::IncarnationId,
    /// Position among the sender's frames to this receiver, from 1.
    pub sequence: u64,
    /// The message.
    pub body: &'bytes [u8],
}

/// Why bytes are not an acceptable frame.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum FrameError {
    /// Shorter than the smallest frame.
    #[display("frame too short")]
    TooShort,
    /// Larger than [`MAX_TCP_FRAME_BYTES`].
    #[display("frame too large")]
    TooLarge,
    /// Written by a release that is not next to this one.
    #[display("frame version {version} is not readable")]
    Version {
        /// The version byte.
        version: u8,
    },
    /// The MAC matches no key, or the frame is for another receiver.
    #[display("frame not authenticated")]
    Unproved,
    /// The header does not decode.
    #[display("malformed frame header")]
    Malformed,
    /// Authenticated, but of a kind that this release does not know.
    #[display("unknown frame kind {code}")]
    UnknownKind {
        /// The kind's code.
        code: u8,
    },
}

/// Writes a frame.
///
/// # Errors
/// [`FrameError::TooLarge`], or [`FrameError::Malformed`] if the header can't be written.
pub fn encode(
    keys: &KeyRing,
    kind: FrameKind,
    from: names::IncarnationId,
    to: names::IncarnationId,
    sequence: u64,
    body: &[u8],
) -> Result<Vec<u8>, FrameError> {
    let header = FrameHeader {
        kind: kind.code(),
        from: from.0.to_le_bytes(),
        sequence,
    };
    let mut bytes = Vec::with_capacity(body.len() + 48);
    bytes.push(FRAME_VERSION);
    let mut bytes = postcard::to_extend(&header, bytes).map_err(|_| FrameError::Malformed)?;
    bytes.extend_from_slice(body);
    let code = keys.sign(&bytes, receiver(kind, to));
    bytes.extend_from_slice(&code);
    match bytes.len() {
        length if length > MAX_TCP_FRAME_BYTES => Err(FrameError::TooLarge),
        _ => Ok(bytes),
    }
}

/// Reads a frame that reached the process `local`.
///
/// # Errors
/// Any [`FrameError`]; kinds are told apart only once the sender is proved.
pub fn decode<'bytes>(
    keys: &KeyRing,
    local: names::IncarnationId,
    bytes: &'bytes [u8],
) -> Result<ProvedFrame<'bytes>, FrameError> {
    let (signed, code) = match bytes.len().checked_sub(MAC_BYTES) {
        None | Some(0) => return Err(FrameError::TooShort),
        Some(_) if bytes.len() > MAX_TCP_FRAME_BYTES => return Err(FrameError::TooLarge),
        Some(at) => bytes.split_at(at),
    };
    match signed[0] {
        FRAME_VERSION..=NEWEST_READABLE_VERSION => {}
        version => return Err(FrameError::Version { version }),
    }
    let (header, body) = postcard::take_from_bytes::<FrameHeader>(&signed[1..])
        .map_err(|_| FrameError::Malformed)?;
    let kind = FrameKind::from_code(header.kind);
    let to = kind.map_or(local, |kind| receiver(kind, local));
    if !keys.proves(signed, to, code) {
        return Err(FrameError::Unproved);
    }
    Ok(ProvedFrame {
        kind: kind.ok_or(FrameError::UnknownKind { code: header.kind })?,
        from: names::IncarnationId(u64::from_le_bytes(header.from)),
        sequence: header.sequence,
        body,
    })
}

const fn receiver(kind: FrameKind, to: names::IncarnationId) -> names::IncarnationId {
    match kind {
        FrameKind::Introduction => UNKNOWN_RECEIVER,
        FrameKind::Membership | FrameKind::Topic(_) => to,
    }
}
