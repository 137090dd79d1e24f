//! An HTTP/1.1 listener on the loopback device whose connections can be
//! broken at chosen points.

mod fault_stream;

use std::{fmt, io, net, sync, sync::atomic, time};

use bytes::Bytes;
use hyper::{body, server::conn, service};
use hyper_util::rt;
use tokio::task;

pub use fault_stream::ConnectionSwitch;

/// Whole answer of a stand-in.
pub type Reply = http::Response<http_body_util::Full<Bytes>>;

/// Connections waiting for `accept`.
const BACKLOG: u32 = 1024;
/// Limit of connections of a listener that sets none.
pub const UNLIMITED_CONNECTIONS: usize = usize::MAX;

/// Tells the listener to break the connection with a TCP reset, without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionReset;

/// Answers the requests of a listener.
#[async_trait::async_trait]
pub trait RequestHandler: fmt::Debug + Send + Sync {
    /// Answers one request, or breaks its connection.
    ///
    /// # Errors
    /// [`ConnectionReset`] if the connection is to be broken.
    async fn handle(
        &self,
        request: http::Request<body::Incoming>,
        switch: &ConnectionSwitch,
    ) -> Result<Reply, ConnectionReset>;
}

/// What a listener does with its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerSettings {
    /// Where to listen; port 0 takes a free one.
    pub address: net::SocketAddr,
    /// Connections at once; further ones are reset when accepted.
    pub max_connections: usize,
    /// Delay added before a request is handled and again before its answer leaves.
    pub one_way_latency: time::Duration,
}

impl Default for ListenerSettings {
    fn default() -> Self {
        Self {
            address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            max_connections: UNLIMITED_CONNECTIONS,
            one_way_latency: time::Duration::ZERO,
        }
    }
}

/// Counts of a listener's connections.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    open: atomic::AtomicUsize,
    peak: atomic::AtomicUsize,
    accepted: atomic::AtomicU64,
    over_limit: atomic::AtomicU64,
}

impl ConnectionCounts {
    /// Connections open now.
    pub fn open(&self) -> usize {
        self.open.load(atomic::Ordering::Relaxed)
    }

    /// Most connections that were open at once.
    pub fn peak(&self) -> usize {
        self.peak.load(atomic::Ordering::Relaxed)
    }

    /// Connections accepted so far, without those over the limit.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(atomic::Ordering::Relaxed)
    }

    /// Connections reset because the limit was reached.
    pub fn over_limit(&self) -> u64 {
        self.over_limit.load(atomic::Ordering::Relaxed)
    }

    fn opened(&self) {
        let open = self.open.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        self.peak.fetch_max(open, atomic::Ordering::Relaxed);
        self.accepted.fetch_add(1, atomic::Ordering::Relaxed);
    }
}

/// A running listener. Dropping it closes the port and all connections.
#[derive(Debug)]
pub struct HttpListener {
    address: net::SocketAddr,
    counts: sync::Arc<ConnectionCounts>,
    reset_before_read: sync::Arc<atomic::AtomicBool>,
    accept_task: task::JoinHandle<()>,
}

impl HttpListener {
    /// Starts to listen.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn start(
        settings: ListenerSettings,
        handler: sync::Arc<dyn RequestHandler>,
    ) -> io::Result<Self> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(settings.address)?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let accept_loop = AcceptLoop {
            settings,
            handler,
            counts: sync::Arc::default(),
            reset_before_read: sync::Arc::default(),
        };
        Ok(Self {
            address,
            counts: accept_loop.counts.clone(),
            reset_before_read: accept_loop.reset_before_read.clone(),
            accept_task: tokio::spawn(accept_loop.run(listener)),
        })
    }

    /// Address that was bound.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Counts of connections.
    pub fn counts(&self) -> &ConnectionCounts {
        &self.counts
    }

    /// Whether connections are reset as soon as a request arrives on them.
    pub fn set_reset_before_read(&self, reset: bool) {
        self.reset_before_read
            .store(reset, atomic::Ordering::SeqCst);
    }
}

impl Drop for HttpListener {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

#[derive(Debug)]
struct AcceptLoop {
    settings: ListenerSettings,
    handler: sync::Arc<dyn RequestHandler>,
    counts: sync::Arc<ConnectionCounts>,
    reset_before_read: sync::Arc<atomic::AtomicBool>,
}

impl AcceptLoop {
    async fn run(self, listener: tokio::net::TcpListener) {
        // Dropped with this future, which ends every connection.
        let mut connections = task::JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _peer)) => self.admit(stream, &mut connections),
                    Err(_transient) => task::yield_now().await,
                },
                Some(_ended) = connections.join_next() => {}
            }
        }
    }

    fn admit(&self, stream: tokio::net::TcpStream, connections: &mut task::JoinSet<()>) {
        if self.counts.open() >= self.settings.max_connections {
            self.counts
                .over_limit
                .fetch_add(1, atomic::Ordering::Relaxed);
            // Fails only on a stream that is already closed.
            let _closed = stream.set_zero_linger();
            return;
        }
        // Fails only on a stream that is already closed.
        let _closed = stream.set_nodelay(true);
        let guard = OpenConnection::new(self.counts.clone());
        let switch = ConnectionSwitch::new(self.reset_before_read.clone());
        let stream = fault_stream::FaultStream::new(stream, switch.clone());
        let handler = self.handler.clone();
        let latency = self.settings.one_way_latency;
        connections.spawn(async move {
            serve_connection(stream, switch, handler, latency).await;
            drop(guard);
        });
    }
}

/// Keeps the count of open connections right, however the connection ends.
#[derive(Debug)]
struct OpenConnection {
    counts: sync::Arc<ConnectionCounts>,
}

impl OpenConnection {
    fn new(counts: sync::Arc<ConnectionCounts>) -> Self {
        counts.opened();
        Self { counts }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.counts.open.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

async fn serve_connection(
    stream: fault_stream::FaultStream,
    switch: ConnectionSwitch,
    handler: sync::Arc<dyn RequestHandler>,
    latency: time::Duration,
) {
    let service = service::service_fn(|request| {
        let handler = handler.clone();
        let switch = switch.clone();
        async move { exchange(&*handler, request, &switch, latency).await }
    });
    // An error here is a broken connection, which the peer sees by itself.
    let _broken = conn::http1::Builder::new()
        .serve_connection(rt::TokioIo::new(stream), service)
        .await;
}

async fn exchange(
    handler: &dyn RequestHandler,
    request: http::Request<body::Incoming>,
    switch: &ConnectionSwitch,
    latency: time::Duration,
) -> Result<Reply, io::Error> {
    delay(latency).await;
    let reply = handler.handle(request, switch).await;
    delay(latency).await;
    reply.map_err(|ConnectionReset| {
        switch.reset();
        io::Error::from(io::ErrorKind::ConnectionReset)
    })
}

async fn delay(latency: time::Duration) {
    if !latency.is_zero() {
        tokio::time::sleep(latency).await;
    }
}

/// An answer with a JSON body.
pub fn json_reply<Body: serde::Serialize>(status: http::StatusCode, body: &Body) -> Reply {
    let body = serde_json::to_vec(body).unwrap_or_default();
    raw_reply(status, body)
}

/// An answer with any body, declared as JSON.
pub fn raw_reply(status: http::StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Reply::new(http_body_util::Full::new(body.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    reply
}
