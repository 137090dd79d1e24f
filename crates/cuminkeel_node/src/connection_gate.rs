//! Connections of a listener, of which each has a seat that its budget grants.
//!
//! [`connection_budget::ConnectionBudget`] decides; the gate carries the decisions out: it lets connections wait
//! for a place or for bytes, and tells those that are to close.

use std::{
    collections::HashMap,
    future,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, Waker},
    time,
};

use cuminkeel_dispatch::connection_budget;
use derive_more::{Display, Error};
use tokio::sync::watch;

use crate::{log_limiter, node_metrics};

/// Interval between checks of the time limits of connections.
pub const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Error of a message that may hold no more bytes, or whose connection is to be closed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display(
    "the bytes of unfinished messages have reached their limit, or the connection is to be closed"
)]
pub struct NoRoomError;

#[derive(Debug)]
struct GateState {
    budget: connection_budget::ConnectionBudget,
    close_signals: HashMap<connection_budget::ConnectionId, Arc<watch::Sender<bool>>>,
    /// Tasks that wait until a connection has been closed.
    waiting: Vec<Waker>,
    log_limiter: log_limiter::LogLimiter<connection_budget::CloseCause>,
}

/// Open connections of a listener.
#[derive(Debug)]
pub struct ConnectionGate {
    listener: &'static str,
    state: Mutex<GateState>,
    metrics: node_metrics::ListenerMetrics,
    logger: slog::Logger,
}

impl ConnectionGate {
    /// Creates the gate of `listener` without connections.
    pub fn new(
        listener: &'static str,
        limits: connection_budget::BudgetLimits,
        metrics: node_metrics::ListenerMetrics,
        logger: slog::Logger,
    ) -> Self {
        metrics.set_limits(&limits);
        Self {
            listener,
            state: Mutex::new(GateState {
                budget: connection_budget::ConnectionBudget::new(limits),
                close_signals: HashMap::new(),
                waiting: Vec::new(),
                log_limiter: log_limiter::LogLimiter::default(),
            }),
            metrics,
            logger,
        }
    }

    /// Returns the seat of a new connection once there is a place for it, or `None` if each open connection has a
    /// whole message that is being processed. `clock` returns the time.
    pub async fn open(
        self: &Arc<Self>,
        clock: impl Fn() -> time::Duration,
    ) -> Option<ConnectionSeat> {
        future::poll_fn(|context| self.poll_open(context, clock())).await
    }

    fn poll_open(
        self: &Arc<Self>,
        context: &Context<'_>,
        now: time::Duration,
    ) -> Poll<Option<ConnectionSeat>> {
        let mut state = self.lock();
        match state.budget.open(now) {
            connection_budget::PlaceDecision::Admitted(id) => {
                let close_signal = Arc::new(watch::Sender::new(false));
                state.close_signals.insert(id, Arc::clone(&close_signal));
                self.metrics.set_use(&state.budget);
                drop(state);
                Poll::Ready(Some(ConnectionSeat {
                    gate: Arc::clone(self),
                    id,
                    close_signal,
                    head_bytes: AtomicUsize::new(0),
                    is_past_head: AtomicBool::new(false),
                }))
            }
            connection_budget::PlaceDecision::Waiting(closed) => {
                state.waiting.push(context.waker().clone());
                if let Some(id) = closed {
                    self.close(
                        &mut state,
                        id,
                        connection_budget::CloseCause::ConnectionLimit,
                        now,
                    );
                }
                Poll::Pending
            }
            connection_budget::PlaceDecision::Refused => {
                self.count_closed(
                    &mut state,
                    connection_budget::CloseCause::ConnectionLimit,
                    now,
                );
                Poll::Ready(None)
            }
        }
    }

    /// Closes connections that have exceeded a time limit. Called at intervals of [`CHECK_INTERVAL`].
    pub fn close_overdue(&self, now: time::Duration, limits: &connection_budget::TimeLimits) {
        let mut state = self.lock();
        for (id, cause) in state.budget.close_overdue(now, limits) {
            self.close(&mut state, id, cause, now);
        }
    }

    /// Tells a connection that it is to close.
    fn close(
        &self,
        state: &mut GateState,
        id: connection_budget::ConnectionId,
        cause: connection_budget::CloseCause,
        now: time::Duration,
    ) {
        if let Some(close_signal) = state.close_signals.get(&id) {
            close_signal.send_replace(true);
        }
        self.count_closed(state, cause, now);
    }

    fn count_closed(
        &self,
        state: &mut GateState,
        cause: connection_budget::CloseCause,
        now: time::Duration,
    ) {
        self.metrics.count_closed(cause);
        if let Some(count) = state.log_limiter.record(cause, now) {
            slog::warn!(self.logger, "connections_closed"; "listener" => self.listener,
                "outcome" => %cause, "count" => count, "connections" => state.budget.connection_count(),
                "held_bytes" => state.budget.charged_bytes());
        }
    }

    /// Lets the tasks that wait for a place or for bytes ask again.
    fn release(&self, mut state: MutexGuard<'_, GateState>) {
        self.metrics.set_use(&state.budget);
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        for waker in waiting {
            waker.wake();
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place of an open connection, which is free again when it is dropped.
#[derive(Debug)]
pub struct ConnectionSeat {
    gate: Arc<ConnectionGate>,
    id: connection_budget::ConnectionId,
    close_signal: Arc<watch::Sender<bool>>,
    /// Bytes read of a head that is not complete.
    head_bytes: AtomicUsize,
    /// Whether bytes that are read now belong to a body.
    is_past_head: AtomicBool,
}

impl ConnectionSeat {
    /// Records that bytes were read from the connection.
    pub fn record_read(&self, byte_count: usize, now: time::Duration) {
        if !self.is_past_head.load(Ordering::Relaxed) {
            self.head_bytes.fetch_add(byte_count, Ordering::Relaxed);
        }
        self.gate.lock().budget.record_read(self.id, now);
    }

    /// Waits until the unfinished head may hold what was read of it, which has to be so before more is read.
    pub fn poll_head_room(
        &self,
        context: &Context<'_>,
        now: time::Duration,
    ) -> Poll<Result<(), NoRoomError>> {
        let head_bytes = self.head_bytes.load(Ordering::Relaxed);
        if self.is_past_head.load(Ordering::Relaxed) || head_bytes <= connection_budget::FREE_BYTES
        {
            return Poll::Ready(Ok(()));
        }
        self.poll_reserve(context, head_bytes, now)
    }

    /// Records that the head of a message is complete.
    pub fn record_head(&self, now: time::Duration) {
        self.head_bytes.store(0, Ordering::Relaxed);
        self.is_past_head.store(true, Ordering::Relaxed);
        let mut state = self.gate.lock();
        state.budget.record_head(self.id, now);
        self.gate.release(state);
    }

    /// Waits until the current message may hold `byte_count` bytes in all.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is the first to give way, or its connection is to be closed.
    pub async fn reserve(
        &self,
        byte_count: usize,
        clock: impl Fn() -> time::Duration,
    ) -> Result<(), NoRoomError> {
        if byte_count <= connection_budget::FREE_BYTES {
            return Ok(());
        }
        future::poll_fn(|context| self.poll_reserve(context, byte_count, clock())).await
    }

    fn poll_reserve(
        &self,
        context: &Context<'_>,
        byte_count: usize,
        now: time::Duration,
    ) -> Poll<Result<(), NoRoomError>> {
        let mut state = self.gate.lock();
        match state.budget.reserve(self.id, byte_count) {
            connection_budget::ByteDecision::Granted => {
                self.gate.metrics.set_use(&state.budget);
                Poll::Ready(Ok(()))
            }
            connection_budget::ByteDecision::Waiting(closed) => {
                state.waiting.push(context.waker().clone());
                for id in closed {
                    self.gate.close(
                        &mut state,
                        id,
                        connection_budget::CloseCause::ByteLimit,
                        now,
                    );
                }
                Poll::Pending
            }
            connection_budget::ByteDecision::Refused => {
                self.gate
                    .count_closed(&mut state, connection_budget::CloseCause::ByteLimit, now);
                Poll::Ready(Err(NoRoomError))
            }
        }
    }

    /// Records that the whole message has come. The connection is not closed before the answer, even if it was to
    /// be.
    pub fn record_message(&self) {
        let mut state = self.gate.lock();
        if state.budget.record_message(self.id) {
            self.close_signal.send_replace(false);
            self.gate.release(state);
        }
    }

    /// Records that the message has been answered.
    pub fn record_answer(&self, now: time::Duration) {
        self.is_past_head.store(false, Ordering::Relaxed);
        let mut state = self.gate.lock();
        state.budget.record_answer(self.id, now);
        self.gate.release(state);
    }

    /// Waits until the connection is to be closed.
    pub async fn wait_until_closed(&self) {
        let mut close_signal = self.close_signal.subscribe();
        // The sender lives as long as `self`.
        let _closed = close_signal.wait_for(|is_closing| *is_closing).await;
    }
}

impl Drop for ConnectionSeat {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.budget.remove(self.id);
        state.close_signals.remove(&self.id);
        self.gate.release(state);
    }
}
