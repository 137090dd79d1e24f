//! Frames of the links between processes.
//!
//! A frame is its length (4 bytes, big-endian), a format number (1 byte) and a
//! postcard body. Frames of an unknown format are skipped, so that two releases
//! can talk during a rolling replacement.

use std::{io, sync::Arc};

use cuminkeel_dispatch::{job_model, leadership};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Format of the frames' bodies.
const FRAME_FORMAT: u8 = 2;
/// Largest frame: a configuration in full beside its header.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Who is at an end of a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerHello {
    /// Name of the VM.
    pub name: Arc<str>,
    /// Failure domain of the VM.
    pub failure_domain: Arc<str>,
    /// `IP:PORT` at which it takes links.
    pub link_address: Arc<str>,
    /// Share of a core that it has, in thousandths.
    pub cpu_millis: u32,
    /// Number drawn at the start of the process.
    pub boot: u64,
}

/// State of a process, sent at intervals.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Servers that its pool holds.
    pub held_servers: u32,
    /// Shards of its failure domain that its pool has.
    pub shards: leadership::ShardSet,
    /// Servers of its failure domain that the registry lists.
    pub registered_servers: u32,
    /// Free processor of its pool, in thousandths of a core.
    pub free_cpu_millis: u32,
    /// Processor of its pool, in thousandths of a core.
    pub total_cpu_millis: u32,
    /// Jobs with tasks that wait for room in its pool.
    pub queued_jobs: u32,
    /// Highest epoch of tokens that it knows.
    pub epoch: u64,
    /// Version of its configuration; 0 for none.
    pub config_version: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// Peers that hold servers, beside those of the change before on the same link.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LeaderChange {
    /// Peers that hold servers now, new or started again.
    pub added: Vec<PeerHello>,
    /// VMs of those that hold none any more.
    pub removed: Vec<Arc<str>>,
}

/// A message on a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LinkFrame {
    /// First frame in each direction.
    Hello(PeerHello),
    /// State of the sender; the dialling side sends it, the other side answers.
    Status(PeerStatus),
    /// A job for the receiver's pool.
    Submit {
        /// Number of the request on this link.
        request_id: u64,
        /// The job.
        ticket: job_model::JobTicket,
    },
    /// Nobody waits for that job any more.
    Withdraw {
        /// Number of the request on this link.
        request_id: u64,
    },
    /// How a submitted job ended.
    End {
        /// Number of the request on this link.
        request_id: u64,
        /// How it ended.
        end: job_model::JobEnd,
    },
    /// The operator's configuration as the store holds it.
    Config {
        /// The value of its key.
        body: Vec<u8>,
    },
    /// How the peers that hold servers have changed, as the sender heard from them.
    Leaders(LeaderChange),
}

/// Why a link can't be used any more.
#[derive(Debug, Display, Error)]
pub enum LinkError {
    /// The socket failed or was closed.
    #[display("link broke: {source}")]
    Socket {
        /// Error of the socket.
        source: io::Error,
    },
    /// The peer announced a frame that is too large.
    #[display("frame of {bytes} bytes is over the limit")]
    Oversized {
        /// Announced size.
        bytes: usize,
    },
    /// A frame can't be decoded.
    #[display("unreadable frame: {source}")]
    Unreadable {
        /// Error of the codec.
        source: postcard::Error,
    },
    /// The first frame didn't say who is there.
    #[display("peer sent no hello")]
    NoHello,
    /// Nobody needs the link any more.
    #[display("link is not needed any more")]
    Unwanted,
    /// Nothing came for too long.
    #[display("peer is silent")]
    Silent,
}

impl From<io::Error> for LinkError {
    fn from(source: io::Error) -> Self {
        Self::Socket { source }
    }
}

impl From<postcard::Error> for LinkError {
    fn from(source: postcard::Error) -> Self {
        Self::Unreadable { source }
    }
}

/// Appends `frame` to `buffer`.
///
/// # Errors
///
/// Fails when the codec does.
pub fn encode_frame(frame: &LinkFrame, buffer: &mut Vec<u8>) -> Result<(), LinkError> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0, 0, 0, 0, FRAME_FORMAT]);
    let body = postcard::to_allocvec(frame)?;
    buffer.extend_from_slice(&body);
    let length = buffer.len() - start - 4;
    let length = u32::try_from(length).map_err(|_| LinkError::Oversized { bytes: length })?;
    buffer[start..start + 4].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Reads the next frame of a known format.
///
/// # Errors
///
/// Fails when the link broke or the peer sent something unreadable.
pub async fn read_frame<R>(reader: &mut R) -> Result<LinkFrame, LinkError>
where
    R: tokio::io::AsyncRead + Unpin,
{
    loop {
        let bytes = usize::try_from(reader.read_u32().await?).unwrap_or(usize::MAX);
        if bytes == 0 || bytes > MAX_FRAME_BYTES {
            return Err(LinkError::Oversized { bytes });
        }
        let mut body = vec![0; bytes];
        reader.read_exact(&mut body).await?;
        if body[0] == FRAME_FORMAT {
            return Ok(postcard::from_bytes(&body[1..])?);
        }
    }
}

/// Writes `frames` in one go.
///
/// # Errors
///
/// Fails when the link broke.
pub async fn write_frames<W>(writer: &mut W, frames: &[LinkFrame]) -> Result<(), LinkError>
where
    W: tokio::io::AsyncWrite + Unpin,
{
    let mut buffer = Vec::with_capacity(256);
    for frame in frames {
        encode_frame(frame, &mut buffer)?;
    }
    writer.write_all(&buffer).await?;
    Ok(())
}
