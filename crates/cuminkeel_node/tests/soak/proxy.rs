//! A loopback proxy that delays, holds back and resets connections.

use std::{sync::Arc, time};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    task,
};

/// What the proxy does with bytes. Those held back are delivered afterwards, as a network
/// delivers what it lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProxyMode {
    /// Passes them on.
    Pass,
    /// Passes them on this much later.
    Delay(time::Duration),
    /// Holds back what clients send.
    SilentUp,
    /// Holds back what the server sends.
    SilentDown,
    /// Holds back both.
    Silent,
    /// Resets connections, old and new.
    Reset,
}

#[derive(Clone, Copy, Debug)]
enum Direction {
    Up,
    Down,
}

impl ProxyMode {
    fn holds_back(self, direction: Direction) -> bool {
        matches!(
            (self, direction),
            (Self::Silent, _)
                | (Self::SilentUp, Direction::Up)
                | (Self::SilentDown, Direction::Down)
        )
    }
}

/// A proxy in front of one address.
pub struct Proxy {
    pub address: Arc<str>,
    mode: watch::Sender<ProxyMode>,
    accepting: task::JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Proxy {
    /// Starts a proxy on a free port in front of `target`.
    pub async fn start(target: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (mode, modes) = watch::channel(ProxyMode::Pass);
        let target: Arc<str> = Arc::from(target);
        let accepting = tokio::spawn(async move {
            let mut connections = task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(connect(stream, Arc::clone(&target), modes.clone()));
            }
        });
        Self {
            address: Arc::from(address),
            mode,
            accepting,
        }
    }

    /// Changes what it does with bytes from now on.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

async fn connect(client: TcpStream, target: Arc<str>, mut modes: watch::Receiver<ProxyMode>) {
    if *modes.borrow() == ProxyMode::Reset {
        return reset(&client);
    }
    let Ok(server) = TcpStream::connect(&*target).await else {
        return reset(&client);
    };
    for stream in [&client, &server] {
        // A stream that is gone already ends the pumps.
        let _gone = stream.set_nodelay(true);
    }
    let (mut client_reader, mut client_writer) = client.into_split();
    let (mut server_reader, mut server_writer) = server.into_split();
    let up = pump(
        &mut client_reader,
        &mut server_writer,
        modes.clone(),
        Direction::Up,
    );
    let down = pump(
        &mut server_reader,
        &mut client_writer,
        modes.clone(),
        Direction::Down,
    );
    let both = async {
        tokio::join!(up, down);
    };
    let was_reset = tokio::select! {
        mode = modes.wait_for(|mode| *mode == ProxyMode::Reset) => mode.is_ok(),
        () = both => false,
    };
    if was_reset {
        reset(client_writer.as_ref());
        reset(server_writer.as_ref());
    }
}

/// Makes the end of `stream` a reset.
fn reset(stream: &TcpStream) {
    let _gone = stream.set_zero_linger();
}

async fn pump(
    reader: &mut tcp::OwnedReadHalf,
    writer: &mut tcp::OwnedWriteHalf,
    mut modes: watch::Receiver<ProxyMode>,
    direction: Direction,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = reader.read(&mut buffer).await {
        let mode = modes
            .wait_for(|mode| !mode.holds_back(direction))
            .await
            .map_or(ProxyMode::Pass, |mode| *mode);
        if let ProxyMode::Delay(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        if writer.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    // The other side learns of the end, or has ended itself.
    let _ended = writer.shutdown().await;
}
