//! Hash chain over the records of the edit stream.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Length of a chain digest, in bytes.
pub const CHAIN_BYTES: usize = 16;

/// Digest of every record before an offset. Two processes with the same offset
/// and chain have folded the same records.
#[derive(Clone, Copy, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ChainDigest([u8; CHAIN_BYTES]);

impl ChainDigest {
    /// The digest after one more record.
    #[must_use]
    pub fn extend(self, offset: u64, payload: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(&offset.to_le_bytes());
        hasher.update(payload);
        let mut digest = [0; CHAIN_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }
}

impl fmt::Debug for ChainDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl fmt::Display for ChainDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}
