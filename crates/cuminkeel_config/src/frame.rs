//! Common frame of everything that this crate writes to the log.
//!
//! `magic (4) | format (2, LE) | id (16, LE) | digest (8) | body`. The digest is
//! the start of the BLAKE3 hash of all other bytes. Later formats keep this
//! layout up to the body, so an older reader can tell a newer record from a
//! damaged one and still knows its id.

/// Bytes before the body.
pub(crate) const HEADER_BYTES: usize = MAGIC_BYTES + FORMAT_BYTES + ID_BYTES + DIGEST_BYTES;

const MAGIC_BYTES: usize = 4;
const FORMAT_BYTES: usize = 2;
const ID_BYTES: usize = 16;
const DIGEST_BYTES: usize = 8;

/// A frame whose digest is right.
pub(crate) struct OpenFrame<'a> {
    /// Format version of the body.
    pub(crate) format: u16,
    /// Identity of the record.
    pub(crate) id: u128,
    /// The rest.
    pub(crate) body: &'a [u8],
}

/// Writes a frame.
pub(crate) fn seal(magic: [u8; MAGIC_BYTES], format: u16, id: u128, body: &[u8]) -> Vec<u8> {
    let format = format.to_le_bytes();
    let id = id.to_le_bytes();
    let digest = digest(&magic, &format, &id, body);
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&magic);
    bytes.extend_from_slice(&format);
    bytes.extend_from_slice(&id);
    bytes.extend_from_slice(&digest);
    bytes.extend_from_slice(body);
    bytes
}

/// Reads a frame; none if the bytes are not a whole frame with this magic.
pub(crate) fn open(magic: [u8; MAGIC_BYTES], bytes: &[u8]) -> Option<OpenFrame<'_>> {
    let (found_magic, rest) = bytes.split_first_chunk::<MAGIC_BYTES>()?;
    let (format, rest) = rest.split_first_chunk::<FORMAT_BYTES>()?;
    let (id, rest) = rest.split_first_chunk::<ID_BYTES>()?;
    let (found_digest, body) = rest.split_first_chunk::<DIGEST_BYTES>()?;
    let whole = *found_magic == magic && *found_digest == digest(&magic, format, id, body);
    whole.then(|| OpenFrame {
        format: u16::from_le_bytes(*format),
        id: u128::from_le_bytes(*id),
        body,
    })
}

/// Decodes a postcard body and refuses trailing bytes.
pub(crate) fn decode_body<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Some(value),
        _ => None,
    }
}

fn digest(magic: &[u8], format: &[u8], id: &[u8], body: &[u8]) -> [u8; DIGEST_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(magic);
    hasher.update(format);
    hasher.update(id);
    hasher.update(body);
    let mut digest = [0; DIGEST_BYTES];
    hasher.finalize_xof().fill(&mut digest);
    digest
}
