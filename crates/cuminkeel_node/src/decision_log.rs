//! Structured logs on standard output.
//!
//! Lines are collected in a bounded buffer and written by a thread of their own,
//! so that a slow or closed standard output never holds up a decision. Lines
//! that don't fit are counted, and the count is written with the next batch.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError, atomic},
    thread, time,
};

use cuminkeel_dispatch::pool_action;
use slog::Drain;

use crate::node_tuning;

/// Time between two writes.
const FLUSH_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Part of the buffer that is kept for lines on what went wrong.
const RESERVED_PART: usize = 2;

/// Lines that wait to be written.
#[derive(Debug)]
pub struct LogBuffer {
    waiting: Mutex<Vec<u8>>,
    dropped: atomic::AtomicU64,
    capacity: usize,
    least_severe: slog::Level,
}

impl Default for LogBuffer {
    fn default() -> Self {
        Self::new(&node_tuning::NodeTuning::default())
    }
}

impl LogBuffer {
    /// A buffer of the size, and for the lines, that `tuning` asks for.
    pub fn new(tuning: &node_tuning::NodeTuning) -> Self {
        Self {
            waiting: Mutex::new(Vec::new()),
            dropped: atomic::AtomicU64::new(0),
            capacity: tuning.log_buffer_bytes(),
            least_severe: match tuning.log_level {
                node_tuning::LogLevel::Debug => slog::Level::Debug,
                node_tuning::LogLevel::Info => slog::Level::Info,
                node_tuning::LogLevel::Warning => slog::Level::Warning,
            },
        }
    }

    /// Whether a line of `level` may still be added.
    fn admits(&self, level: slog::Level) -> bool {
        let waiting = self
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len();
        match level {
            slog::Level::Debug | slog::Level::Trace => waiting < self.capacity / RESERVED_PART,
            _ => waiting < self.capacity,
        }
    }

    /// Takes the waiting lines, and a line on those that were dropped.
    pub fn take(&self) -> Vec<u8> {
        let mut lines =
            std::mem::take(&mut *self.waiting.lock().unwrap_or_else(PoisonError::into_inner));
        let dropped = self.dropped.swap(0, atomic::Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("{{\"msg\":\"lines_dropped\",\"count\":{dropped}}}\n");
            lines.extend_from_slice(line.as_bytes());
        }
        lines
    }
}

/// Drops lines for which the buffer has no room, routine ones first, and counts them.
struct BudgetDrain<D> {
    lines: D,
    buffer: Arc<LogBuffer>,
}

impl<D: Drain> Drain for BudgetDrain<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<Self::Ok, Self::Err> {
        if !record.level().is_at_least(self.buffer.least_severe) {
            return Ok(());
        }
        if !self.buffer.admits(record.level()) {
            self.buffer.dropped.fetch_add(1, atomic::Ordering::Relaxed);
            return Ok(());
        }
        self.lines.log(record, values).map(|_| ())
    }
}

struct BufferWriter(Arc<LogBuffer>);

impl Write for BufferWriter {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        let mut waiting = self
            .0
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        waiting.extend_from_slice(part);
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A logger that writes one JSON object a line into `buffer`.
pub fn buffered_logger(buffer: &Arc<LogBuffer>, node: &Arc<str>) -> slog::Logger {
    let writer = io::LineWriter::with_capacity(1024, BufferWriter(Arc::clone(buffer)));
    let started = time::Instant::now();
    let drain = slog_json::Json::new(writer)
        .add_key_value(slog::o!(
            "t_ms" => slog::FnValue(move |_| {
                u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
            }),
            "at_ms" => slog::FnValue(|_| {
                let time_of_day = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
                time_of_day.map_or(0, |time_of_day| {
                    u64::try_from(time_of_day.as_millis()).unwrap_or(u64::MAX)
                })
            }),
            "level" => slog::FnValue(|record| record.level().as_short_str()),
            "msg" => slog::PushFnValue(|record, serializer| serializer.emit(record.msg())),
        ))
        .build();
    let drain = BudgetDrain {
        lines: Mutex::new(drain),
        buffer: Arc::clone(buffer),
    };
    let drain = drain.fuse();
    slog::Logger::root(drain, slog::o!("node" => String::from(&**node)))
}

/// Starts the thread that writes `buffer` to standard output.
///
/// # Errors
///
/// Fails when the system gives no thread.
pub fn start_writer(buffer: &Arc<LogBuffer>) -> io::Result<()> {
    let buffer = Arc::clone(buffer);
    thread::Builder::new()
        .name(String::from("log-writer"))
        .spawn(move || {
            loop {
                thread::sleep(FLUSH_INTERVAL);
                write_waiting(&buffer);
            }
        })?;
    Ok(())
}

/// Writes what waits. A closed output loses lines and nothing else.
pub fn write_waiting(buffer: &LogBuffer) {
    let lines = buffer.take();
    if !lines.is_empty() {
        let mut output = io::stdout().lock();
        let _closed = output.write_all(&lines).and_then(|()| output.flush());
    }
}

/// Writes one decision of the pool.
pub fn log_decision(logger: &slog::Logger, note: &pool_action::DecisionRecord) {
    let [first, second, third] = note.inputs;
    let values = slog::o!(
        "request" => note.request.as_deref().map(String::from),
        "server" => note.server.as_deref().map(String::from),
        "outcome" => note.outcome,
        Inputs([first, second, third]),
    );
    if is_routine(note) {
        slog::debug!(logger, "{}", note.kind; values);
    } else {
        slog::info!(logger, "{}", note.kind; values);
    }
}

/// Whether a decision is one of those made for every request that is served.
fn is_routine(note: &pool_action::DecisionRecord) -> bool {
    match note.kind {
        pool_action::DecisionKind::Queued | pool_action::DecisionKind::Placed => true,
        pool_action::DecisionKind::RunEnded => note.outcome == "done",
        pool_action::DecisionKind::JobEnded => note.outcome == "completed",
        _ => false,
    }
}

struct Inputs([(&'static str, i64); 3]);

impl slog::KV for Inputs {
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
