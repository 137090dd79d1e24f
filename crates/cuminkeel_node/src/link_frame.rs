//! Frames that processes exchange over links.
//!
//! A frame consists of a length (4 bytes, big-endian), a format number (1 byte) and a
//! body in postcard encoding; the length covers the format number and the body. Frames
//! of an unknown format are skipped, so that two releases can communicate during a
//! rolling update.

use std::{
    io,
    sync::{Arc, atomic},
    time,
};

use cuminkeel_dispatch::{
    connection_budget, crash_ledger, evacuation, job_model, leadership, pool_room, registry_replica,
};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::connection_gate;

/// Format number of all frames without a format number of their own.
const FRAME_FORMAT: u8 = 2;
/// Format number of [`LinkFrame::SendTime`], which releases that don't know it skip.
const SEND_TIME_FORMAT: u8 = 3;
/// Format number of [`LinkFrame::Evacuations`] and [`LinkFrame::Room`], which releases that don't know
/// them skip.
const DOMAIN_NEWS_FORMAT: u8 = 4;
/// Format number of [`LinkFrame::LostRuns`], which releases that don't know it skip.
const LOSS_NEWS_FORMAT: u8 = 5;
/// Format number of [`LinkFrame::Resumed`], which releases that don't know it skip: they take the job for one that any
/// process may have started.
const RESUMED_FORMAT: u8 = 6;
/// Format number of [`LinkFrame::RegistryRequest`] and [`LinkFrame::RegistryAnswer`], which releases that don't know
/// them skip.
const REGISTRY_FORMAT: u8 = 7;
/// Maximum length of a frame, which has to fit a complete configuration and its header.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Maximum length of a hello, which has two names and an address.
const MAX_HELLO_BYTES: usize = 4 * 1024;
/// Memory that a longer frame gets before its first byte has come, in bytes. It doubles as bytes come.
const MIN_FRAME_MEMORY: usize = connection_budget::FREE_BYTES;

/// Identity of a process: the first frame that it sends over a connection, and its record in
/// the store's peer list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerHello {
    /// Name of the VM.
    pub name: Arc<str>,
    /// Failure domain of the VM.
    pub failure_domain: Arc<str>,
    /// `IP:PORT` at which peers open links to the process.
    pub link_address: Arc<str>,
    /// Processor share of the process, in thousandths of a core.
    pub cpu_millis: u32,
    /// Random number drawn at the start of the process, by which peers recognise a
    /// restart.
    pub boot: u64,
}

/// Status of a process, sent at intervals.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Number of servers that its pool holds.
    pub held_servers: u32,
    /// Shards of its failure domain that its pool leads.
    pub shards: leadership::ShardSet,
    /// Number of servers of its failure domain in the registry.
    pub registered_servers: u32,
    /// Free processor capacity of its pool, in thousandths of a core.
    pub free_cpu_millis: u32,
    /// Total processor capacity of its pool, in thousandths of a core.
    pub total_cpu_millis: u32,
    /// Number of queued jobs in its pool: jobs with at least one task that has no run.
    pub queued_jobs: u32,
    /// Highest epoch of fencing tokens that it has observed.
    pub epoch: u64,
    /// Version of its configuration, or 0 if it has none.
    pub config_version: u64,
    /// Whether the process is about to stop.
    pub leaving: bool,
}

/// Change of the sender's known leaders since its last `LeaderChange` on the same connection.
/// These are its peers whose own current status says that they hold servers, not those that only
/// other peers reported.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LeaderChange {
    /// Peers that now hold servers, and leaders that have restarted.
    pub added: Vec<PeerHello>,
    /// VM names of peers that no longer hold servers, or whose status is out of date.
    pub removed: Vec<Arc<str>>,
}

/// Message between two linked processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LinkFrame {
    /// Identity of the sender, the first frame in each direction.
    Hello(PeerHello),
    /// Status of the sender. The dialling side sends it at intervals, and the accepting side
    /// responds with its own.
    Status(PeerStatus),
    /// Job submitted to the receiver's pool.
    Submit {
        /// Number of the submission, counted by the submitter for each link.
        submission_id: u64,
        /// Job to run, with the terms of the offer.
        offer: job_model::JobOffer,
    },
    /// Withdrawal of a submitted job because nobody waits for its end any more.
    Withdraw {
        /// Number of the submission to withdraw.
        submission_id: u64,
    },
    /// Outcome of a submitted job.
    End {
        /// Number of the submission that has ended.
        submission_id: u64,
        /// Outcome of the job in the pool of the sender.
        end: job_model::JobEnd,
    },
    /// Operator's configuration in its stored form.
    Config {
        /// Value of the configuration's key in the store.
        body: Vec<u8>,
    },
    /// Change of the leaders known to the sender.
    Leaders(LeaderChange),
    /// Time at which the frames behind it were sent, up to the next frame of this kind.
    SendTime {
        /// Clock of the sender.
        sender_clock: time::Duration,
        /// Clock of the receiver, as the sender estimates it; `None` before the sender has received
        /// a reading of it over the same connection.
        receiver_clock: Option<time::Duration>,
    },
    /// Evacuated failure domains, as the sender knows them.
    Evacuations(evacuation::EvacuationState),
    /// Room in the pool of the sender, which leads shards.
    Room(pool_room::PoolRoom),
    /// Runs that were lost with their servers, or new evidence on such losses.
    LostRuns(Vec<crash_ledger::LostRun>),
    /// The receiver, in its present incarnation, is the only process that may have started the job of the submission
    /// which follows.
    Resumed {
        /// Number of the submission.
        submission_id: u64,
    },
    /// Request for what the receiver has read of the registry of backend servers, as the store turns the sender away.
    RegistryRequest {
        /// Number of the request, counted by the sender for each link.
        request_id: u64,
        /// Failure domain of the servers.
        failure_domain: Arc<str>,
        /// Offset up to which the sender knows all records; `None` if it knows none.
        from_offset: Option<u64>,
    },
    /// Answer to a request for the registry.
    RegistryAnswer {
        /// Number of the request.
        request_id: u64,
        /// What the receiver did not know; `None` if the sender can't tell.
        news: Option<registry_replica::RegistryNews>,
    },
}

/// Which ends of jobs the peer at the other end of a connection can decode, which it shows by a frame of the
/// format that came with them.
#[derive(Debug, Default)]
pub struct PeerRelease {
    knows_new_reasons: atomic::AtomicBool,
    knows_crashes: atomic::AtomicBool,
}

impl PeerRelease {
    /// Records a frame that the peer has sent over the connection.
    pub fn record_frame(&self, frame: &LinkFrame) {
        if matches!(frame, LinkFrame::Evacuations(_) | LinkFrame::Room(_)) {
            self.knows_new_reasons
                .store(true, atomic::Ordering::Relaxed);
        }
        if matches!(frame, LinkFrame::LostRuns(_)) {
            self.knows_crashes.store(true, atomic::Ordering::Relaxed);
        }
    }

    /// Returns the frame that tells the peer the end of its job.
    pub fn end_frame(&self, submission_id: u64, end: job_model::JobEnd) -> LinkFrame {
        let end = match end {
            // The caller gets the same answer.
            job_model::JobEnd::Failed(job_model::FailureReason::ServersCrashed)
                if !self.knows_crashes.load(atomic::Ordering::Relaxed) =>
            {
                job_model::JobEnd::Failed(job_model::FailureReason::AttemptsExhausted)
            }
            end if self.knows_new_reasons.load(atomic::Ordering::Relaxed) => end,
            end => end_for_earlier_release(end),
        };
        LinkFrame::End { submission_id, end }
    }
}

/// Returns the end of a job in a form that releases before [`LinkFrame::Evacuations`] can decode. Its
/// reason makes them treat the job as the original one would.
pub fn end_for_earlier_release(end: job_model::JobEnd) -> job_model::JobEnd {
    match end {
        job_model::JobEnd::Refused {
            reason: job_model::RefusalReason::Evacuated,
            retry_after,
        } => job_model::JobEnd::Refused {
            reason: job_model::RefusalReason::NoSuitableServer,
            retry_after,
        },
        job_model::JobEnd::Refused {
            reason: job_model::RefusalReason::CopyElsewhere,
            retry_after,
        } => job_model::JobEnd::Refused {
            reason: job_model::RefusalReason::NoPool,
            retry_after,
        },
        other => other,
    }
}

/// Error that ends a connection of a link, or a dial.
#[derive(Debug, Display, Error)]
pub enum LinkError {
    /// The socket failed or was closed.
    #[display("link socket failed: {source}")]
    Socket {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The length of a frame is zero or exceeds the limit.
    #[display("invalid frame length: {bytes} bytes, expected 1 to {limit}")]
    Oversized {
        /// Length of the frame in bytes.
        bytes: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// There is no room for the frame, or another connection got the place of this one.
    #[display("{source}")]
    NoRoom {
        /// Error of the gate.
        source: connection_gate::NoRoomError,
    },
    /// A frame can't be encoded or decoded.
    #[display("can't encode or decode frame: {source}")]
    Unreadable {
        /// Error of the codec.
        source: postcard::Error,
    },
    /// The peer's first frame is not a hello, or is the hello of another VM than the dialled one.
    #[display(
        "peer's first frame is not a hello, or is the hello of another VM than the dialled one"
    )]
    NoHello,
    /// The peer sends frames, and does not read those that it is sent.
    #[display("peer does not read the frames that it is sent")]
    UnreadAnswers,
    /// This process no longer needs the link.
    #[display("link is no longer needed")]
    Unwanted,
    /// The peer did not respond within the time limit: `peer_link::DIAL_TIMEOUT` for a dial,
    /// otherwise `peer_link::MAX_MISSED_INTERVALS` status intervals for a frame or a write.
    #[display("peer did not respond within the time limit")]
    Silent,
}

impl From<io::Error> for LinkError {
    fn from(source: io::Error) -> Self {
        Self::Socket { source }
    }
}

impl From<connection_gate::NoRoomError> for LinkError {
    fn from(source: connection_gate::NoRoomError) -> Self {
        Self::NoRoom { source }
    }
}

impl From<postcard::Error> for LinkError {
    fn from(source: postcard::Error) -> Self {
        Self::Unreadable { source }
    }
}

/// Appends the encoded `frame` to `buffer`.
///
/// # Errors
///
/// Returns an error if the frame can't be encoded or its length exceeds `u32`.
pub fn encode_frame(frame: &LinkFrame, buffer: &mut Vec<u8>) -> Result<(), LinkError> {
    let start = buffer.len();
    let format = match frame {
        LinkFrame::SendTime { .. } => SEND_TIME_FORMAT,
        LinkFrame::Evacuations(_) | LinkFrame::Room(_) => DOMAIN_NEWS_FORMAT,
        LinkFrame::LostRuns(_) => LOSS_NEWS_FORMAT,
        LinkFrame::Resumed { .. } => RESUMED_FORMAT,
        LinkFrame::RegistryRequest { .. } | LinkFrame::RegistryAnswer { .. } => REGISTRY_FORMAT,
        _ => FRAME_FORMAT,
    };
    buffer.extend_from_slice(&[0, 0, 0, 0, format]);
    let body = postcard::to_allocvec(frame)?;
    buffer.extend_from_slice(&body);
    let length = buffer.len() - start - 4;
    let length = u32::try_from(length).map_err(|_| LinkError::Oversized {
        bytes: length,
        limit: MAX_FRAME_BYTES,
    })?;
    buffer[start..start + 4].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Room that a frame of a peer gets while it is read.
#[derive(Clone, Copy, Debug)]
pub struct FrameRoom<'a> {
    /// Maximum length of the frame.
    max_bytes: usize,
    /// Seat of the connection, which grants the memory; `None` for a connection that this process has opened.
    seat: Option<&'a connection_gate::ConnectionSeat>,
}

impl<'a> FrameRoom<'a> {
    /// Returns the room for the first frame of an accepted connection.
    pub fn of_hello(seat: &'a connection_gate::ConnectionSeat) -> Self {
        Self {
            max_bytes: MAX_HELLO_BYTES,
            seat: Some(seat),
        }
    }

    /// Returns the room for each later frame of an accepted connection.
    pub fn of_frame(seat: &'a connection_gate::ConnectionSeat) -> Self {
        Self {
            max_bytes: MAX_FRAME_BYTES,
            seat: Some(seat),
        }
    }
}

/// Reads the next frame of a known format from a peer that this process has dialled, skipping others.
///
/// # Errors
///
/// Returns an error if the socket fails, the frame length is invalid or the body can't be
/// decoded.
pub async fn read_frame<R>(reader: &mut R) -> Result<LinkFrame, LinkError>
where
    R: tokio::io::AsyncRead + Unpin,
{
    let room = FrameRoom {
        max_bytes: MAX_FRAME_BYTES,
        seat: None,
    };
    read_frame_within(reader, room, time::Duration::default).await
}

/// Reads the next frame of a known format, as far as `room` allows, skipping others. `clock` returns the time.
///
/// # Errors
///
/// Returns the errors of [`read_frame`], and one if there is no room for the frame.
pub async fn read_frame_within<R>(
    reader: &mut R,
    room: FrameRoom<'_>,
    clock: impl Fn() -> time::Duration,
) -> Result<LinkFrame, LinkError>
where
    R: tokio::io::AsyncRead + Unpin,
{
    loop {
        let bytes = usize::try_from(reader.read_u32().await?).unwrap_or(usize::MAX);
        if bytes == 0 || bytes > room.max_bytes {
            return Err(LinkError::Oversized {
                bytes,
                limit: room.max_bytes,
            });
        }
        let body = read_frame_body(reader, bytes, room, &clock).await?;
        if matches!(
            body[0],
            FRAME_FORMAT
                | SEND_TIME_FORMAT
                | DOMAIN_NEWS_FORMAT
                | LOSS_NEWS_FORMAT
                | RESUMED_FORMAT
                | REGISTRY_FORMAT
        ) {
            return Ok(postcard::from_bytes(&body[1..])?);
        }
    }
}

/// Reads `byte_count` bytes. The memory for them grows with what has come, as a peer may announce more than it
/// sends.
async fn read_frame_body<R>(
    reader: &mut R,
    byte_count: usize,
    room: FrameRoom<'_>,
    clock: impl Fn() -> time::Duration,
) -> Result<Vec<u8>, LinkError>
where
    R: tokio::io::AsyncRead + Unpin,
{
    if let Some(seat) = room.seat {
        seat.record_read(0, clock());
    }
    let mut body = Vec::new();
    while body.len() < byte_count {
        let received = body.len();
        let memory = (2 * received).max(MIN_FRAME_MEMORY).min(byte_count);
        if let Some(seat) = room.seat {
            seat.reserve(memory, &clock).await?;
        }
        body.reserve_exact(memory - received);
        body.resize(memory, 0);
        reader.read_exact(&mut body[received..]).await?;
    }
    if let Some(seat) = room.seat {
        seat.record_answer(clock());
    }
    Ok(body)
}

/// Encodes `frames` into one buffer and writes it.
///
/// # Errors
///
/// Returns an error if a frame can't be encoded or the socket fails.
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
