//! A process in a thread and a runtime of its own, for load runs and tests.

use std::{
    io,
    sync::{Mutex, PoisonError},
    thread, time,
};

use platform_adapter::{caller_api, http_client, settings};
use tokio::sync::{mpsc, oneshot};

use crate::process;

/// Signals that may wait for the process.
const SIGNAL_QUEUE: usize = 4;
/// Time for the answer to a readiness probe.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A running process.
#[derive(Debug)]
pub struct EmbeddedProcess {
    /// Its settings.
    pub settings: settings::ProcessSettings,
    signals: mpsc::Sender<process::ProcessSignal>,
    kill: Mutex<Option<oneshot::Sender<()>>>,
    thread: Mutex<Option<thread::JoinHandle<Result<(), process::ProcessError>>>>,
}

impl EmbeddedProcess {
    /// Starts a process that writes its log to `logger`.
    ///
    /// # Errors
    ///
    /// Fails when the system gives no thread or no runtime.
    pub fn start(settings: settings::ProcessSettings, logger: slog::Logger) -> io::Result<Self> {
        let (signals, inbox) = mpsc::channel(SIGNAL_QUEUE);
        let (kill, killed) = oneshot::channel();
        let own = settings.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = thread::Builder::new()
            .name(String::from(&*settings.node_name))
            .spawn(move || {
                let ended = runtime.block_on(async {
                    tokio::select! {
                        ended = process::serve(own, None, process::StartOptions::default(), logger, inbox) => ended,
                        _ = killed => Ok(()),
                    }
                });
                // Open sockets break off here, as they do when a process is killed.
                runtime.shutdown_background();
                ended
            })?;
        Ok(Self {
            settings,
            signals,
            kill: Mutex::new(Some(kill)),
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Ends the process at once, as SIGKILL would, and waits for its end.
    pub fn kill(&self) {
        self.order_end();
        // A process that failed before has ended as well.
        let _ended = self.join();
    }

    /// Asks the process to stop, as SIGTERM would.
    pub async fn stop(&self) {
        // A process that has ended can't be asked.
        let _ended = self.signals.send(process::ProcessSignal::Stop).await;
    }

    /// Waits for the end of a process that was asked to stop.
    ///
    /// # Errors
    ///
    /// Fails when the process did.
    pub fn join(&self) -> Result<(), process::ProcessError> {
        let thread = lock(&self.thread).take();
        thread.map_or(Ok(()), |thread| {
            thread
                .join()
                .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
        })
    }

    /// Whether its readiness probe says that it serves.
    pub async fn is_ready(&self) -> bool {
        let peer = http_client::HttpClient::new(&self.settings.ready_address);
        let call = http_client::HttpRequest {
            method: http::Method::GET,
            path: caller_api::READY_PATH,
            header: None,
            body: bytes::Bytes::new(),
            timeout: PROBE_TIMEOUT,
            fresh_connection: true,
        };
        peer.send(call)
            .await
            .is_ok_and(|answer| answer.status == http::StatusCode::OK)
    }

    fn order_end(&self) {
        if let Some(kill) = lock(&self.kill).take() {
            let _ended = kill.send(());
        }
    }
}

impl Drop for EmbeddedProcess {
    fn drop(&mut self) {
        self.order_end();
    }
}

fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
