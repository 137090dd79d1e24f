//! Connections of callers, which date the requests that are read from them and keep within the room that their seat
//! grants.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic},
    task::{Context, Poll, ready},
    time,
};

use rustix::net::RecvFlags;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net,
    sync::watch,
    task,
};

use crate::{connection_gate, node_state};

/// Pause before the end of a connection is looked for again that has urgent data.
const END_CHECK_PAUSE: time::Duration = time::Duration::from_millis(100);

/// What is known of the requests of one connection.
#[derive(Clone, Debug, Default)]
pub struct RequestArrivals {
    /// Time at which the bytes that were read last may have arrived at the earliest.
    last_arrival: Arc<Mutex<time::Duration>>,
    /// Whether the next read is to ask the kernel for the end of the connection.
    checks_end: Arc<atomic::AtomicBool>,
    /// Whether a job waits for its answer.
    job_waits: Arc<watch::Sender<bool>>,
}

/// Guard during which a job of the connection waits for its answer.
#[derive(Debug)]
pub struct WaitGuard(Arc<watch::Sender<bool>>);

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.0.send_replace(false);
    }
}

impl RequestArrivals {
    /// Lets the task of the connection look for its end before it goes on with the caller of this function, which it
    /// drops if the caller has closed the connection.
    ///
    /// A read that returns the last bytes of a request tells nothing of an end behind them, of which the event loop
    /// may learn only in its next turn.
    pub async fn check_end(&self) {
        self.checks_end.store(true, atomic::Ordering::Relaxed);
        task::yield_now().await;
    }

    /// Records that a job waits for its answer, until the guard is dropped.
    pub fn record_waiting_job(&self) -> WaitGuard {
        self.job_waits.send_replace(true);
        WaitGuard(Arc::clone(&self.job_waits))
    }

    /// Returns the time at which the request whose headers have just been read may have arrived at the earliest: that of
    /// the last bytes that were read, also if the request lay behind an earlier one of the connection, as nothing is
    /// read while bytes are left.
    pub fn request_arrival(&self) -> time::Duration {
        *self.lock()
    }

    fn record_read(&self, arrived_at: time::Duration) {
        *self.lock() = arrived_at;
    }

    fn lock(&self) -> MutexGuard<'_, time::Duration> {
        self.last_arrival
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Look-out for the end of a caller's connection while a job waits for its answer.
///
/// The HTTP library finds the end by a read, and reads nothing while bytes lie behind the request that it serves, be it
/// a further request, a part of one or an empty line.
#[derive(Debug)]
pub struct EndWatch {
    stream: Arc<net::TcpStream>,
    job_waits: Arc<watch::Sender<bool>>,
}

impl EndWatch {
    /// Waits until the caller has closed the connection, or its side of it, and a job waits for its answer.
    pub async fn wait_until_left(&self) {
        let mut job_waits = self.job_waits.subscribe();
        loop {
            // The sender lives as long as `self`.
            drop(job_waits.wait_for(|waits| *waits).await);
            tokio::select! {
                is_closed = self.wait_until_closed() => if is_closed && *self.job_waits.borrow() {
                    return;
                },
                _ended = job_waits.wait_for(|waits| !waits) => {}
            }
        }
    }

    /// Waits until the connection has news other than bytes to read, and returns whether it was closed.
    async fn wait_until_closed(&self) -> bool {
        match self.stream.ready(Interest::PRIORITY).await {
            Ok(ready) if ready.is_read_closed() => true,
            // Urgent data, which nobody reads. The kernel reports it until the connection ends.
            Ok(_) => {
                tokio::time::sleep(END_CHECK_PAUSE).await;
                false
            }
            Err(_) => true,
        }
    }
}

/// Connection of a caller.
#[derive(Debug)]
pub struct CallerStream {
    stream: Arc<net::TcpStream>,
    node: Arc<node_state::NodeState>,
    arrivals: RequestArrivals,
    /// Dropped after the stream, so that the place is not free before the descriptor is.
    seat: Arc<connection_gate::ConnectionSeat>,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(
        stream: net::TcpStream,
        node: Arc<node_state::NodeState>,
        seat: Arc<connection_gate::ConnectionSeat>,
    ) -> Self {
        Self {
            stream: Arc::new(stream),
            node,
            arrivals: RequestArrivals::default(),
            seat,
        }
    }

    /// Returns the look-out for the end of the connection.
    pub fn end_watch(&self) -> EndWatch {
        EndWatch {
            stream: Arc::clone(&self.stream),
            job_waits: Arc::clone(&self.arrivals.job_waits),
        }
    }

    /// Reads what has come into `buffer`.
    fn poll_received(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map(drop)),
            }
        }
    }

    /// Writes by `write` once the connection takes bytes.
    fn poll_sent(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&net::TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Whether the caller has closed the connection and no bytes are left to read.
    fn has_ended(&self) -> bool {
        let mut byte = [0_u8; 1];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        // An error other than that nothing has come shows at the next read or write.
        rustix::net::recv(&self.stream, &mut byte, flags).is_ok_and(|(_, length)| length == 0)
    }

    /// Returns the arrival times of the requests of the connection.
    pub fn arrivals(&self) -> RequestArrivals {
        self.arrivals.clone()
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let room = self.seat.poll_head_room(context, self.node.now());
        ready!(room).map_err(io::Error::other)?;
        let filled_before = buffer.filled().len();
        let read = self.poll_received(context, buffer);
        let checks_end = self
            .arrivals
            .checks_end
            .swap(false, atomic::Ordering::Relaxed);
        if read.is_pending() && checks_end && self.has_ended() {
            return Poll::Ready(Ok(()));
        }
        ready!(read)?;
        let byte_count = buffer.filled().len() - filled_before;
        if byte_count > 0 {
            let now = self.node.now();
            self.arrivals.record_read(self.node.earliest_arrival(now));
            self.seat.record_read(byte_count, now);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_sent(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_sent(context, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is buffered here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shutdown = rustix::net::shutdown(&self.stream, rustix::net::Shutdown::Write);
        Poll::Ready(shutdown.map_err(io::Error::from))
    }
}
