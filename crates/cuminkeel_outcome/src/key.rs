//! Submission keys: which process may open them, and the proof that the mesh issued them.

use std::{fmt, iter, sync};

use base64::Engine;
use cuminkeel_types::{names, time};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Longest key text that is looked at, in bytes.
pub const MAX_KEY_TEXT_BYTES: usize = 512;

const KEY_VERSION: u8 = 1;
const MAC_BYTES: usize = blake3::OUT_LEN;
const KEY_CONTEXT: &str = "cuminkeel 2026 submission key v1";
const TEXT_CODEC: base64::engine::GeneralPurpose = base64::engine::general_purpose::URL_SAFE_NO_PAD;

/// Identifies a submission key over all processes.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{authority}/{sequence}")]
pub struct KeyId {
    /// The process that issued the key and alone may open it.
    pub authority: names::IncarnationId,
    /// Position among the authority's keys, from 1.
    pub sequence: u64,
}

/// What a submission key says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubmissionKey {
    /// Identity of the key.
    pub id: KeyId,
    /// The process that must acknowledge the opening; none if the authority
    /// had no peer.
    pub witness: Option<names::IncarnationId>,
    /// The only customer that may use it.
    pub customer: names::CustomerName,
    /// When the authority stops opening it, on the authority's clock.
    pub expires_at: time::TimePoint,
}

/// Why a key's text is not accepted.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum KeyError {
    /// Longer than [`MAX_KEY_TEXT_BYTES`].
    #[display("key text is too long")]
    TooLong,
    /// Not base64url, or too short.
    #[display("key text is malformed")]
    Malformed,
    /// Of a release that this one does not know.
    #[display("key version {version} is unknown")]
    UnknownVersion {
        /// The version found.
        version: u8,
    },
    /// The authentication code does not match.
    #[display("key is not authentic")]
    Forged,
}

impl KeyError {
    /// Whether no mesh, of whatever secret or release, issued such a text.
    /// Otherwise another process may know the key, and its job may have run.
    pub fn is_never_issued(self) -> bool {
        match self {
            Self::TooLong | Self::Malformed => true,
            Self::UnknownVersion { .. } | Self::Forged => false,
        }
    }
}

/// Key of an authentication code.
type MacKey = [u8; blake3::KEY_LEN];

/// Seals keys into text and opens them again, with keys derived from the mesh's.
#[derive(Clone)]
pub struct KeySealer {
    mac_key: MacKey,
    accepted: smallvec::SmallVec<[MacKey; 1]>,
}

impl KeySealer {
    /// Derives the sealing key from the mesh key of the settings.
    pub fn new(mesh_key: &[u8]) -> Self {
        Self {
            mac_key: blake3::derive_key(KEY_CONTEXT, mesh_key),
            accepted: smallvec::SmallVec::new(),
        }
    }

    /// Opens keys sealed with another mesh key too, while the mesh changes keys.
    #[must_use]
    pub fn accept(mut self, mesh_key: &[u8]) -> Self {
        self.accepted
            .push(blake3::derive_key(KEY_CONTEXT, mesh_key));
        self
    }

    fn is_authentic(&self, sealed: &[u8], mac: [u8; MAC_BYTES]) -> bool {
        let mac = blake3::Hash::from_bytes(mac);
        // `blake3::Hash` compares in constant time.
        iter::once(&self.mac_key)
            .chain(&self.accepted)
            .any(|mac_key| blake3::keyed_hash(mac_key, sealed) == mac)
    }

    /// The key as text for the caller.
    pub fn seal(&self, key: &SubmissionKey) -> sync::Arc<str> {
        let mut bytes = vec![KEY_VERSION];
        if let Ok(body) = postcard::to_stdvec(key) {
            bytes.extend_from_slice(&body);
        }
        let mac = blake3::keyed_hash(&self.mac_key, &bytes);
        bytes.extend_from_slice(mac.as_bytes());
        TEXT_CODEC.encode(bytes).into()
    }

    /// Reads a key's text and checks that this mesh sealed it.
    ///
    /// # Errors
    /// The text is no key, or of another mesh.
    pub fn open(&self, text: &str) -> Result<SubmissionKey, KeyError> {
        if text.len() > MAX_KEY_TEXT_BYTES {
            return Err(KeyError::TooLong);
        }
        let bytes = TEXT_CODEC.decode(text).map_err(|_| KeyError::Malformed)?;
        let (sealed, mac) = bytes
            .split_last_chunk::<MAC_BYTES>()
            .ok_or(KeyError::Malformed)?;
        let (version, body) = sealed.split_first().ok_or(KeyError::Malformed)?;
        if *version != KEY_VERSION {
            return Err(KeyError::UnknownVersion { version: *version });
        }
        if !self.is_authentic(sealed, *mac) {
            return Err(KeyError::Forged);
        }
        postcard::from_bytes(body).map_err(|_| KeyError::Malformed)
    }
}

impl fmt::Debug for KeySealer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("KeySealer").finish_non_exhaustive()
    }
}
