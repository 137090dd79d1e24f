//! Connections to one backend server, bounded in number.
//!
//! A pool of this crate's own, because the bound is shared with other entries
//! and because a request that never left must be told from one that may have.

use std::{net, sync, time};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::sync as tokio_sync;

pub(super) type RequestSender = http1::SendRequest<Full<Bytes>>;

/// Why there is no connection. In each case nothing was sent.
#[derive(Debug, Display, Error)]
pub(super) enum ConnectError {
    /// The server refused, or the network failed.
    #[display("can't connect: {source}")]
    Refused {
        /// The failure.
        source: std::io::Error,
    },
    /// No connection within the time for it.
    #[display("connecting timed out")]
    TimedOut,
    /// The HTTP handshake failed.
    #[display("handshake failed: {source}")]
    Handshake {
        /// The failure.
        source: hyper::Error,
    },
    /// All connections of this entry to the server are in use.
    #[display("no free connection")]
    Exhausted,
}

/// An idle connection and since when.
#[derive(Debug)]
struct IdleConnection {
    sender: RequestSender,
    since: time::Instant,
}

/// A connection in use, counted against the bound until it is dropped.
#[derive(Debug)]
pub(super) struct PooledConnection {
    pub(super) sender: RequestSender,
    permit: tokio_sync::OwnedSemaphorePermit,
}

/// Connections of this entry to one server.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    address: net::SocketAddr,
    connect_timeout: time::Duration,
    idle_timeout: time::Duration,
    bound: sync::Arc<tokio_sync::Semaphore>,
    idle: sync::Mutex<Vec<IdleConnection>>,
}

impl ConnectionPool {
    pub(super) fn new(
        address: net::SocketAddr,
        max_connections: usize,
        connect_timeout: time::Duration,
        idle_timeout: time::Duration,
    ) -> Self {
        Self {
            address,
            connect_timeout,
            idle_timeout,
            bound: sync::Arc::new(tokio_sync::Semaphore::new(max_connections.max(1))),
            idle: sync::Mutex::default(),
        }
    }

    pub(super) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Takes an idle connection or makes one.
    pub(super) async fn take(&self) -> Result<PooledConnection, ConnectError> {
        let Ok(permit) = sync::Arc::clone(&self.bound).try_acquire_owned() else {
            return Err(ConnectError::Exhausted);
        };
        let sender = match self.take_idle() {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        Ok(PooledConnection { sender, permit })
    }

    /// Makes a connection that was never used before.
    pub(super) async fn take_new(&self) -> Result<PooledConnection, ConnectError> {
        let Ok(permit) = sync::Arc::clone(&self.bound).try_acquire_owned() else {
            return Err(ConnectError::Exhausted);
        };
        let sender = self.connect().await?;
        Ok(PooledConnection { sender, permit })
    }

    /// Gives a connection back after a whole answer was read from it.
    pub(super) fn give_back(&self, connection: PooledConnection) {
        let PooledConnection { sender, permit } = connection;
        if !sender.is_closed() {
            let idle = IdleConnection {
                sender,
                since: time::Instant::now(),
            };
            self.lock_idle().push(idle);
        }
        drop(permit);
    }

    fn take_idle(&self) -> Option<RequestSender> {
        let mut idle = self.lock_idle();
        idle.retain(|connection| {
            !connection.sender.is_closed() && connection.since.elapsed() < self.idle_timeout
        });
        idle.pop().map(|connection| connection.sender)
    }

    fn lock_idle(&self) -> sync::MutexGuard<'_, Vec<IdleConnection>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    async fn connect(&self) -> Result<RequestSender, ConnectError> {
        let connecting = tokio::net::TcpStream::connect(self.address);
        let stream = tokio::time::timeout(self.connect_timeout, connecting)
            .await
            .map_err(|_| ConnectError::TimedOut)?
            .map_err(|source| ConnectError::Refused { source })?;
        stream
            .set_nodelay(true)
            .map_err(|source| ConnectError::Refused { source })?;
        let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|source| ConnectError::Handshake { source })?;
        tokio::spawn(async move {
            // The failure shows at the request that uses the connection.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
