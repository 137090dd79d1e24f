//! Structured logs on standard output.
//!
//! Lines are collected in a bounded buffer and written by a separate thread, so that a slow or
//! closed standard output never delays a decision. Lines that don't fit are dropped and counted;
//! the count is written with the next batch, in a line without time and node name.
//!
//! Each other line has two times: `t_ms` is in ms since the start of the logger on the monotonic
//! clock, `at_ms` in ms since the Unix epoch on the wall clock.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError, atomic},
    thread, time,
};

use cuminkeel_dispatch::pool_action;
use slog::Drain;

use crate::node_tuning;

/// Interval between writes to standard output.
const FLUSH_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Divisor of the buffer's capacity: debug and trace lines are dropped once the buffer holds that
/// part of it, and the rest is reserved for lines of higher levels.
const DEBUG_CAPACITY_DIVISOR: usize = 2;

/// Bounded buffer of log lines that are not yet written.
#[derive(Debug)]
pub struct LogBuffer {
    pending_lines: Mutex<Vec<u8>>,
    dropped: atomic::AtomicU64,
    capacity: usize,
    min_level: slog::Level,
}

impl Default for LogBuffer {
    fn default() -> Self {
        Self::new(&node_tuning::NodeTuning::default())
    }
}

impl LogBuffer {
    /// Creates a buffer with the capacity and the minimum log level of `tuning`.
    pub fn new(tuning: &node_tuning::NodeTuning) -> Self {
        Self {
            pending_lines: Mutex::new(Vec::new()),
            dropped: atomic::AtomicU64::new(0),
            capacity: tuning.log_buffer_bytes(),
            min_level: match tuning.log_level {
                node_tuning::LogLevel::Debug => slog::Level::Debug,
                node_tuning::LogLevel::Info => slog::Level::Info,
                node_tuning::LogLevel::Warning => slog::Level::Warning,
            },
        }
    }

    /// Returns whether a line of `level` may be added.
    fn has_space_for(&self, level: slog::Level) -> bool {
        let pending_bytes = self
            .pending_lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len();
        match level {
            slog::Level::Debug | slog::Level::Trace => {
                pending_bytes < self.capacity / DEBUG_CAPACITY_DIVISOR
            }
            _ => pending_bytes < self.capacity,
        }
    }

    /// Takes the pending lines. A last line gives the number of dropped lines, if there are any.
    pub fn take_lines(&self) -> Vec<u8> {
        let mut lines = std::mem::take(
            &mut *self
                .pending_lines
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
        let dropped = self.dropped.swap(0, atomic::Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("{{\"msg\":\"lines_dropped\",\"count\":{dropped}}}\n");
            lines.extend_from_slice(line.as_bytes());
        }
        lines
    }
}

/// Drain that drops and counts the lines that don't fit into the buffer; debug lines are dropped
/// first.
struct BoundedDrain<D> {
    inner: D,
    buffer: Arc<LogBuffer>,
}

impl<D: Drain> Drain for BoundedDrain<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<Self::Ok, Self::Err> {
        if !record.level().is_at_least(self.buffer.min_level) {
            return Ok(());
        }
        if !self.buffer.has_space_for(record.level()) {
            self.buffer.dropped.fetch_add(1, atomic::Ordering::Relaxed);
            return Ok(());
        }
        self.inner.log(record, values).map(|_| ())
    }
}

struct BufferWriter(Arc<LogBuffer>);

impl Write for BufferWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut pending_lines = self
            .0
            .pending_lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        pending_lines.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns a logger that writes one JSON object per line into `buffer`.
pub fn buffered_logger(buffer: &Arc<LogBuffer>, node: &Arc<str>) -> slog::Logger {
    let writer = io::LineWriter::with_capacity(1024, BufferWriter(Arc::clone(buffer)));
    let started_at = time::Instant::now();
    let drain = slog_json::Json::new(writer)
        .add_key_value(slog::o!(
            "t_ms" => slog::FnValue(move |_| {
                u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
            }),
            "at_ms" => slog::FnValue(|_| {
                let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
                since_epoch.map_or(0, |since_epoch| {
                    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
                })
            }),
            "level" => slog::FnValue(|record| record.level().as_short_str()),
            "msg" => slog::PushFnValue(|record, serializer| serializer.emit(record.msg())),
        ))
        .build();
    let drain = BoundedDrain {
        inner: Mutex::new(drain),
        buffer: Arc::clone(buffer),
    };
    let drain = drain.fuse();
    slog::Logger::root(drain, slog::o!("node" => String::from(&**node)))
}

/// Starts the thread that periodically writes `buffer` to standard output.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn start_writer(buffer: &Arc<LogBuffer>) -> io::Result<()> {
    let buffer = Arc::clone(buffer);
    thread::Builder::new()
        .name(String::from("log-writer"))
        .spawn(move || {
            loop {
                thread::sleep(FLUSH_INTERVAL);
                write_pending(&buffer);
            }
        })?;
    Ok(())
}

/// Writes the pending lines to standard output. If it is closed, the lines are lost and the
/// process continues.
pub fn write_pending(buffer: &LogBuffer) {
    let lines = buffer.take_lines();
    if !lines.is_empty() {
        let mut output = io::stdout().lock();
        let _result = output.write_all(&lines).and_then(|()| output.flush());
    }
}

/// Logs a decision of the server pool: routine ones at debug level, others at info level.
pub fn log_decision(logger: &slog::Logger, decision: &pool_action::DecisionRecord) {
    let values = slog::o!(
        "request" => decision.request.as_deref().map(String::from),
        "server" => decision.server.as_deref().map(String::from),
        "outcome" => decision.outcome,
        DecisionInputs(decision.inputs),
    );
    if is_routine(decision) {
        slog::debug!(logger, "{}", decision.kind; values);
    } else {
        slog::info!(logger, "{}", decision.kind; values);
    }
}

/// Returns whether a decision is of a kind made for every request that is served, or for every run that is
/// stopped.
fn is_routine(decision: &pool_action::DecisionRecord) -> bool {
    match decision.kind {
        pool_action::DecisionKind::Queued | pool_action::DecisionKind::Placed => true,
        pool_action::DecisionKind::RunEnded => decision.outcome == "done",
        pool_action::DecisionKind::JobEnded => decision.outcome == "completed",
        // A run that is being stopped seldom ends before the next hold.
        pool_action::DecisionKind::LeaseExtended => decision.outcome == "stopping",
        _ => false,
    }
}

struct DecisionInputs([(&'static str, i64); pool_action::INPUT_COUNT]);

impl slog::KV for DecisionInputs {
    fn serialize(
        &self,
        _record: &slog::Record<'_>,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        for (name, value) in self.0 {
            if !name.is_empty() {
                serializer.emit_i64(slog::Key::from(name), value)?;
            }
        }
        Ok(())
    }
}
