//! Keys that authenticate customers.

use derive_more::{Debug, Display};

/// Bytes of randomness in a key.
const KEY_BYTES: usize = 32;

/// A customer's API key. Only its digest is written anywhere.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct ApiKey(#[debug("…")] String);

impl ApiKey {
    /// Draws a key from the system's randomness.
    pub fn generate() -> Self {
        let bytes: [u8; KEY_BYTES] = rand::random();
        let digits = bytes.iter().map(|byte| format!("{byte:02x}"));
        Self(digits.collect())
    }

    /// BLAKE3 digest of the key's text, in lower-case hex.
    pub fn digest(&self) -> String {
        blake3::hash(self.0.as_bytes()).to_hex().to_string()
    }
}
