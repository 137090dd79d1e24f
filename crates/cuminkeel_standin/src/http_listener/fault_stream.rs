//! A TCP stream that can reset itself and repeat an answer.

use std::{io, pin, sync, sync::atomic, task};

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::{io as tokio_io, net};

/// Switches of one connection.
#[derive(Clone, Debug)]
pub struct ConnectionSwitch {
    reset: sync::Arc<atomic::AtomicBool>,
    repeat: sync::Arc<atomic::AtomicBool>,
    reset_before_read: sync::Arc<atomic::AtomicBool>,
}

impl ConnectionSwitch {
    pub(super) fn new(reset_before_read: sync::Arc<atomic::AtomicBool>) -> Self {
        Self {
            reset: sync::Arc::default(),
            repeat: sync::Arc::default(),
            reset_before_read,
        }
    }

    /// Closes the connection with a TCP reset when it ends.
    pub fn reset(&self) {
        self.reset.store(true, atomic::Ordering::SeqCst);
    }

    /// Writes the next answer twice.
    pub fn repeat_answer(&self) {
        self.repeat.store(true, atomic::Ordering::SeqCst);
    }
}

/// The stream under the HTTP connection.
#[derive(Debug)]
pub(super) struct FaultStream {
    stream: net::TcpStream,
    switch: ConnectionSwitch,
}

impl FaultStream {
    pub(super) fn new(stream: net::TcpStream, switch: ConnectionSwitch) -> Self {
        Self { stream, switch }
    }

    /// Writes `bytes` twice at once; answers of the stand-ins are far smaller
    /// than a socket's buffer.
    fn write_twice(
        &mut self,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let doubled = [bytes, bytes].concat();
        let written = task::ready!(pin::Pin::new(&mut self.stream).poll_write(context, &doubled))?;
        self.switch.repeat.store(false, atomic::Ordering::SeqCst);
        task::Poll::Ready(match written {
            written if written == doubled.len() => Ok(bytes.len()),
            _ => Err(io::Error::from(io::ErrorKind::WriteZero)),
        })
    }
}

impl Drop for FaultStream {
    fn drop(&mut self) {
        if self.switch.reset.load(atomic::Ordering::SeqCst) {
            // Fails only on a stream that is already closed.
            let _closed = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for FaultStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let result = task::ready!(pin::Pin::new(&mut self.stream).poll_read(context, buffer));
        if self.switch.reset_before_read.load(atomic::Ordering::SeqCst) {
            self.switch.reset();
            return task::Poll::Ready(Err(io::Error::from(io::ErrorKind::ConnectionReset)));
        }
        task::Poll::Ready(result)
    }
}

impl AsyncWrite for FaultStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        if self.switch.repeat.load(atomic::Ordering::SeqCst) {
            return self.write_twice(context, bytes);
        }
        pin::Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
