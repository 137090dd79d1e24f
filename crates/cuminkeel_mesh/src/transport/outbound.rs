//! Sends frames: datagrams at once, larger frames through a bounded queue and
//! one TCP connection for each peer.

use std::{collections, io, net, sync, sync::atomic, time};

use cuminkeel_types::names;
use tokio::{io::AsyncWriteExt, net as sockets, runtime, sync::mpsc};

use super::{counters, state};

const QUEUE_FRAMES: usize = 256;
const QUEUE_BYTES: usize = 8 * 1024 * 1024;
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(50);
const LAST_BACKOFF: time::Duration = time::Duration::from_secs(2);

#[derive(Debug)]
struct PeerQueue {
    sender: mpsc::Sender<Vec<u8>>,
    queued_bytes: sync::Arc<atomic::AtomicUsize>,
}

/// Ways to all peers.
#[derive(Debug)]
pub(super) struct OutboundPaths {
    socket: sync::Arc<sockets::UdpSocket>,
    runtime: runtime::Handle,
    queues: sync::Mutex<collections::HashMap<names::IncarnationId, PeerQueue>>,
}

impl OutboundPaths {
    pub(super) fn new(socket: sync::Arc<sockets::UdpSocket>, runtime: runtime::Handle) -> Self {
        Self {
            socket,
            runtime,
            queues: sync::Mutex::default(),
        }
    }

    pub(super) fn send_datagram(
        &self,
        address: net::SocketAddr,
        bytes: &[u8],
    ) -> Result<(), counters::DropCause> {
        match self.socket.try_send_to(bytes, address) {
            Ok(_) => Ok(()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                Err(counters::DropCause::QueueFull)
            }
            Err(_) => Err(counters::DropCause::SendFailed),
        }
    }

    pub(super) fn queue_stream(
        &self,
        shared: &sync::Arc<state::MeshShared>,
        to: names::IncarnationId,
        address: net::SocketAddr,
        bytes: Vec<u8>,
    ) -> Result<(), counters::DropCause> {
        let mut queues = self.lock();
        if queues.get(&to).is_none_or(|queue| queue.sender.is_closed()) {
            queues.insert(to, self.open(shared, to, address));
        }
        let queue = queues.get(&to).ok_or(counters::DropCause::QueueFull)?;
        let length = bytes.len();
        let before = queue
            .queued_bytes
            .fetch_add(length, atomic::Ordering::Relaxed);
        let accepted = before + length <= QUEUE_BYTES && queue.sender.try_send(bytes).is_ok();
        if !accepted {
            queue
                .queued_bytes
                .fetch_sub(length, atomic::Ordering::Relaxed);
            return Err(counters::DropCause::QueueFull);
        }
        Ok(())
    }

    /// Ends the connection to a peer once its queue is written.
    pub(super) fn close(&self, to: names::IncarnationId) {
        self.lock().remove(&to);
    }

    /// Ends all connections once their queues are written.
    pub(super) fn close_all(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<names::IncarnationId, PeerQueue>> {
        self.queues
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn open(
        &self,
        shared: &sync::Arc<state::MeshShared>,
        to: names::IncarnationId,
        address: net::SocketAddr,
    ) -> PeerQueue {
        let (sender, receiver) = mpsc::channel(QUEUE_FRAMES);
        let queued_bytes = sync::Arc::new(atomic::AtomicUsize::new(0));
        let stream = PeerStream {
            shared: sync::Arc::downgrade(shared),
            to,
            address,
            queued_bytes: queued_bytes.clone(),
        };
        self.runtime.spawn(stream.run(receiver));
        PeerQueue {
            sender,
            queued_bytes,
        }
    }
}

/// Writes one peer's queue to a connection that is made again as needed.
#[derive(Debug)]
struct PeerStream {
    shared: sync::Weak<state::MeshShared>,
    to: names::IncarnationId,
    address: net::SocketAddr,
    queued_bytes: sync::Arc<atomic::AtomicUsize>,
}

impl PeerStream {
    async fn run(self, mut receiver: mpsc::Receiver<Vec<u8>>) {
        let mut connection: Option<sockets::TcpStream> = None;
        loop {
            let next = tokio::time::timeout(IDLE_TIMEOUT, receiver.recv()).await;
            let frame = match next {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(_) if receiver.is_empty() => {
                    receiver.close();
                    continue;
                }
                Err(_) => continue,
            };
            self.deliver(&mut connection, &frame, &receiver).await;
            self.queued_bytes
                .fetch_sub(frame.len(), atomic::Ordering::Relaxed);
        }
    }

    /// Writes a frame, on a new connection if the present one is broken. Gives up
    /// once the peer is gone.
    async fn deliver(
        &self,
        connection: &mut Option<sockets::TcpStream>,
        frame: &[u8],
        receiver: &mpsc::Receiver<Vec<u8>>,
    ) {
        let mut backoff = FIRST_BACKOFF;
        loop {
            if connection.is_none() {
                *connection = self.connect().await.ok();
            }
            if let Some(stream) = connection.as_mut() {
                match write_frame(stream, frame).await {
                    Ok(()) => return,
                    Err(_) => *connection = None,
                }
            }
            if receiver.is_closed() || self.shared.strong_count() == 0 {
                return;
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(LAST_BACKOFF);
        }
    }

    async fn connect(&self) -> io::Result<sockets::TcpStream> {
        let connecting = sockets::TcpStream::connect(self.address);
        let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        stream.set_nodelay(true)?;
        let greeting = self
            .shared
            .upgrade()
            .and_then(|shared| shared.greeting(self.to).ok());
        let greeting = greeting.ok_or(io::ErrorKind::NotConnected)?;
        write_frame(&mut stream, &greeting).await?;
        Ok(stream)
    }
}

async fn write_frame(stream: &mut sockets::TcpStream, frame: &[u8]) -> io::Result<()> {
    let length = u32::try_from(frame.len()).map_err(|_| io::ErrorKind::InvalidInput)?;
    let writing = async {
        stream.write_all(&length.to_be_bytes()).await?;
        stream.write_all(frame).await
    };
    tokio::time::timeout(WRITE_TIMEOUT, writing).await?
}
