//! Process that runs in a thread and a runtime of its own, for load tests and integration
//! tests.

use std::{
    io,
    sync::{Arc, Mutex, PoisonError, atomic},
    thread, time,
};

use platform_adapter::{caller_api, http_client, settings};
use tokio::sync::{mpsc, oneshot};

use crate::process;

/// Number of signals that the process may have pending.
const SIGNAL_QUEUE_CAPACITY: usize = 4;
/// Timeout of a readiness probe.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Interval at which a process reads the processor time of its thread.
const PROCESSOR_TIME_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Handle to a process in a thread of this program. Dropping it kills the process without
/// waiting for its end.
#[derive(Debug)]
pub struct EmbeddedProcess {
    /// Settings of the process.
    pub settings: settings::ProcessSettings,
    signal_sender: mpsc::Sender<process::ProcessSignal>,
    kill_sender: Mutex<Option<oneshot::Sender<()>>>,
    thread: Mutex<Option<thread::JoinHandle<Result<(), process::ProcessError>>>>,
    /// Processor time that the thread had used at its last reading, in microseconds.
    processor_time_us: Arc<atomic::AtomicU64>,
}

impl EmbeddedProcess {
    /// Starts a process that writes its log to `logger`.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime or the thread can't be created.
    pub fn start(settings: settings::ProcessSettings, logger: slog::Logger) -> io::Result<Self> {
        let (signal_sender, signal_receiver) = mpsc::channel(SIGNAL_QUEUE_CAPACITY);
        let (kill_sender, kill_receiver) = oneshot::channel();
        let process_settings = settings.clone();
        let processor_time_us = Arc::new(atomic::AtomicU64::new(0));
        let reading = Arc::clone(&processor_time_us);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = thread::Builder::new()
            .name(String::from(&*settings.node_name))
            .spawn(move || {
                let result = runtime.block_on(async {
                    tokio::select! {
                        result = process::serve(process_settings, None, process::StartOptions::default(), logger, signal_receiver) => result,
                        _ = kill_receiver => Ok(()),
                        never = record_processor_time(&reading) => match never {},
                    }
                });
                // Closes open sockets abruptly, as when a process is killed.
                runtime.shutdown_background();
                result
            })?;
        Ok(Self {
            settings,
            signal_sender,
            kill_sender: Mutex::new(Some(kill_sender)),
            thread: Mutex::new(Some(thread)),
            processor_time_us,
        })
    }

    /// Returns the processor time that the process has used, as of a moment ago.
    pub fn processor_time(&self) -> time::Duration {
        time::Duration::from_micros(self.processor_time_us.load(atomic::Ordering::Relaxed))
    }

    /// Ends the process at once, as SIGKILL would, and waits until its thread has ended.
    pub fn kill(&self) {
        self.send_kill();
        // An error means that the process had failed before, and so has ended as well.
        let _ended = self.join();
    }

    /// Asks the process to stop, as SIGTERM would.
    pub async fn stop(&self) {
        // Sending fails only if the process has already ended.
        let _ended = self.signal_sender.send(process::ProcessSignal::Stop).await;
    }

    /// Waits until the thread of a process that was asked to stop has ended.
    ///
    /// # Errors
    ///
    /// Returns the error with which the process ended.
    pub fn join(&self) -> Result<(), process::ProcessError> {
        let thread = lock(&self.thread).take();
        thread.map_or(Ok(()), |thread| {
            thread
                .join()
                .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
        })
    }

    /// Returns whether the readiness probe reports that the process serves.
    pub async fn is_ready(&self) -> bool {
        let client = http_client::HttpClient::new(&self.settings.ready_address);
        let request = http_client::HttpRequest {
            method: http::Method::GET,
            path: caller_api::READY_PATH,
            header: None,
            body: bytes::Bytes::new(),
            timeout: PROBE_TIMEOUT,
            fresh_connection: true,
        };
        client
            .send(request)
            .await
            .is_ok_and(|response| response.status == http::StatusCode::OK)
    }

    fn send_kill(&self) {
        if let Some(kill_sender) = lock(&self.kill_sender).take() {
            let _ended = kill_sender.send(());
        }
    }
}

impl Drop for EmbeddedProcess {
    fn drop(&mut self) {
        self.send_kill();
    }
}

/// Keeps the processor time of the current thread in `reading`.
async fn record_processor_time(reading: &atomic::AtomicU64) -> std::convert::Infallible {
    loop {
        let used = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
        let used = time::Duration::try_from(used).unwrap_or_default();
        reading.store(
            u64::try_from(used.as_micros()).unwrap_or(u64::MAX),
            atomic::Ordering::Relaxed,
        );
        tokio::time::sleep(PROCESSOR_TIME_INTERVAL).await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
