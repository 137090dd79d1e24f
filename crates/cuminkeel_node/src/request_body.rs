//! Reading of request bodies.

use std::time;

use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::{self, Body};

use crate::connection_gate;

/// Size of the blocks in which a body is kept while it is read, in bytes. Blocks of one size leave no gaps in the
/// heap that only smaller bodies could use, and nothing is copied as a body grows.
const BLOCK_BYTES: usize = 4_096;

/// Error while reading the body of a request. Nothing of it has been processed.
#[derive(Debug, Display, Error)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[display("the body has over {limit} bytes")]
    TooLong {
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The connection broke, or the body is malformed.
    #[display("{source}")]
    Unreadable {
        /// Error of the HTTP connection.
        source: hyper::Error,
    },
    /// The process holds too much of other bodies.
    #[display("{source}")]
    NoRoom {
        /// Error of the gate.
        source: connection_gate::NoRoomError,
    },
}

/// Part of a body that has been read, in order.
#[derive(Debug, Default)]
struct BodyBlocks {
    blocks: Vec<Vec<u8>>,
    length: usize,
}

impl BodyBlocks {
    /// Returns the memory of the body with `byte_count` bytes more.
    fn held_bytes_with(&self, byte_count: usize) -> usize {
        (self.length + byte_count).next_multiple_of(BLOCK_BYTES)
    }

    fn append(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let block = match self.blocks.last_mut() {
                Some(block) if block.len() < BLOCK_BYTES => block,
                _ => self.blocks.push_mut(Vec::with_capacity(BLOCK_BYTES)),
            };
            let (part, rest) = bytes.split_at(bytes.len().min(BLOCK_BYTES - block.len()));
            block.extend_from_slice(part);
            bytes = rest;
        }
    }

    fn into_bytes(mut self) -> Vec<u8> {
        match self.blocks.len() {
            0 | 1 => self.blocks.pop().unwrap_or_default(),
            _ => self.blocks.concat(),
        }
    }
}

/// Reads a body of up to `limit` bytes, as far as the seat of its connection grants it room. `clock` returns the
/// time.
///
/// # Errors
///
/// Returns an error if the body is too long or unreadable, or if there is no room for it.
pub async fn read_body(
    mut body: body::Incoming,
    limit: usize,
    seat: &connection_gate::ConnectionSeat,
    clock: impl Fn() -> time::Duration,
) -> Result<Vec<u8>, BodyError> {
    let too_long = || BodyError::TooLong { limit };
    if body.size_hint().lower() > u64::try_from(limit).unwrap_or(u64::MAX) {
        return Err(too_long());
    }
    let no_room = |source| BodyError::NoRoom { source };
    let mut blocks = BodyBlocks::default();
    let mut reserved_bytes = 0;
    let closed = seat.wait_until_closed();
    tokio::pin!(closed);
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = closed.as_mut() => return Err(no_room(connection_gate::NoRoomError)),
        };
        let Some(frame) = frame else {
            return Ok(blocks.into_bytes());
        };
        let frame = frame.map_err(|source| BodyError::Unreadable { source })?;
        // Trailer fields are not used.
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if blocks.length + data.len() > limit {
            return Err(too_long());
        }
        let held_bytes = blocks.held_bytes_with(data.len());
        if held_bytes > reserved_bytes {
            seat.reserve(held_bytes, &clock).await.map_err(no_room)?;
            reserved_bytes = held_bytes;
        }
        blocks.append(data);
    }
}
