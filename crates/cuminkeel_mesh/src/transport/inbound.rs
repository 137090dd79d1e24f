//! Receives frames, proves their senders and hands their messages on.

use std::{io, net, sync, time};

use cuminkeel_types::names;
use tokio::{io::AsyncReadExt, net as sockets, sync as tasks};

use super::{counters, state};
use crate::{border, frame, membership};

const DATAGRAM_BYTES: usize = 64 * 1024;
const MAX_CONNECTIONS: usize = 512;
const PROOF_TIMEOUT: time::Duration = time::Duration::from_secs(5);
const IDLE_TIMEOUT: time::Duration = time::Duration::from_mins(2);
const RECEIVE_RETRY: time::Duration = time::Duration::from_millis(1);
const ACCEPT_RETRY: time::Duration = time::Duration::from_millis(50);

/// Receives datagrams until the task is aborted.
pub(super) async fn receive_datagrams(
    shared: sync::Arc<state::MeshShared>,
    socket: sync::Arc<sockets::UdpSocket>,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, address)) => {
                take_frame(&shared, address, &buffer[..length]);
            }
            // The system may report the error of an earlier send here.
            Err(_) => tokio::time::sleep(RECEIVE_RETRY).await,
        }
    }
}

/// Accepts connections until the task is aborted.
pub(super) async fn accept_connections(
    shared: sync::Arc<state::MeshShared>,
    listener: sockets::TcpListener,
) {
    let permits = sync::Arc::new(tasks::Semaphore::new(MAX_CONNECTIONS));
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, address)) => {
                let shared = shared.clone();
                connections.spawn(async move {
                    // A broken connection is made again by its sender.
                    let _ = receive_stream(&shared, stream, address).await;
                    drop(permit);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn receive_stream(
    shared: &sync::Arc<state::MeshShared>,
    mut stream: sockets::TcpStream,
    address: net::SocketAddr,
) -> io::Result<()> {
    let mut limit = frame::MAX_UDP_FRAME_BYTES;
    let mut patience = PROOF_TIMEOUT;
    let mut buffer = Vec::new();
    loop {
        let reading = read_frame(&mut stream, limit, &mut buffer);
        tokio::time::timeout(patience, reading).await??;
        if !take_frame(shared, address, &buffer) {
            return Ok(());
        }
        buffer.shrink_to(frame::MAX_UDP_FRAME_BYTES);
        limit = frame::MAX_TCP_FRAME_BYTES;
        patience = IDLE_TIMEOUT;
    }
}

async fn read_frame(
    stream: &mut sockets::TcpStream,
    limit: usize,
    buffer: &mut Vec<u8>,
) -> io::Result<()> {
    let length = stream.read_u32().await?;
    let wanted = usize::try_from(length).map_err(|_| io::ErrorKind::InvalidData)?;
    if wanted > limit {
        return Err(io::ErrorKind::InvalidData.into());
    }
    buffer.clear();
    let read = stream.take(u64::from(length)).read_to_end(buffer).await?;
    match read {
        whole if whole == wanted => Ok(()),
        _ => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Handles one frame. False if its sender is not proved.
fn take_frame(
    shared: &sync::Arc<state::MeshShared>,
    address: net::SocketAddr,
    bytes: &[u8],
) -> bool {
    match frame::decode(&shared.keys, shared.local, bytes) {
        Ok(proved) => {
            let outcome = dispatch(shared, address, &proved, bytes.len());
            outcome.unwrap_or_else(|cause| shared.counters.dropped(cause));
            true
        }
        Err(error) => {
            shared.counters.dropped(error.into());
            matches!(error, frame::FrameError::UnknownKind { .. })
        }
    }
}

fn dispatch(
    shared: &sync::Arc<state::MeshShared>,
    address: net::SocketAddr,
    proved: &frame::ProvedFrame<'_>,
    length: usize,
) -> Result<(), counters::DropCause> {
    if !shared.lock().sequences.accept(proved) {
        return Err(counters::DropCause::Replayed);
    }
    let now = shared.clock.now();
    let mut sender = membership::decision::SenderStanding::Stranger;
    shared.decide(|core| {
        let (standing, actions) = core.on_contact(now, proved.from, address);
        sender = standing;
        actions
    });
    match (proved.kind, sender) {
        (_, membership::decision::SenderStanding::Gone) => Err(counters::DropCause::GoneSender),
        (frame::FrameKind::Topic(topic), membership::decision::SenderStanding::Member) => {
            shared.counters.received(topic, length);
            hand_on(shared, proved.from, topic, proved.body)
        }
        (frame::FrameKind::Topic(_), membership::decision::SenderStanding::Stranger) => {
            Err(counters::DropCause::Stranger)
        }
        (frame::FrameKind::Membership | frame::FrameKind::Introduction, _) => {
            let message = membership::message::MembershipMessage::decode(proved.body)?;
            let topic = border::MeshTopic::Membership;
            shared.counters.received(topic, length);
            shared.decide(|core| core.on_message(now, proved.from, message));
            Ok(())
        }
    }
}

fn hand_on(
    shared: &sync::Arc<state::MeshShared>,
    from: names::IncarnationId,
    topic: border::MeshTopic,
    body: &[u8],
) -> Result<(), counters::DropCause> {
    let record = shared.lock().core.member(from).cloned();
    let record = record.ok_or(counters::DropCause::Stranger)?;
    let listener = shared.listener(topic);
    let listener = listener.ok_or(counters::DropCause::NoListener)?;
    listener.on_message(&record, body);
    Ok(())
}
