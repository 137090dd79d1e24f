//! Admission of connections to a listener, and of the bytes that their unfinished messages hold.
//!
//! A process has to stay within the memory and the descriptors of its machine, whatever its clients send. Each
//! connection has a fixed cost, which bounds their number, and may hold [`FREE_BYTES`] of an unfinished message.
//! What its message holds beyond that counts against one budget for all connections. When either is used up, an
//! earlier connection is closed in favour of the one that asks:
//!
//! - for a place: the connection that has waited longest, first among those that have never sent a whole message;
//! - for bytes: the connection whose message began first, which may be the one that asks.
//!
//! A connection whose whole message is being processed is never closed. An announced length counts for nothing;
//! only bytes that have come do.

use std::{collections::HashMap, time};

use derive_more::Display;
use smallvec::SmallVec;

/// Bytes of an unfinished message that each connection may hold without using the budget. Ordinary requests need
/// less, so that a crowd of large ones does not keep them out.
pub const FREE_BYTES: usize = 16 * 1_024;

/// Number of a connection; later ones have higher numbers.
pub type ConnectionId = u64;

/// Connections that are to be closed for the one that asks.
pub type ClosedConnections = SmallVec<[ConnectionId; 4]>;

/// Limits on the connections of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of bytes that all unfinished messages hold beyond [`FREE_BYTES`] each.
    pub max_held_bytes: usize,
}

/// Time limits of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimeLimits {
    /// Maximum time from the first byte of a message to the end of its head.
    pub head: time::Duration,
    /// Maximum time without a byte, between messages and inside of a body.
    pub idle: time::Duration,
}

/// Reason for closing a connection.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CloseCause {
    /// Another connection got its place.
    #[display("connection_limit")]
    ConnectionLimit,
    /// Another message got the bytes that its message held.
    #[display("byte_limit")]
    ByteLimit,
    /// The head of a message did not end in time.
    #[display("slow_head")]
    SlowHead,
    /// No byte came in time.
    #[display("idle")]
    Idle,
}

/// Decision on a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceDecision {
    /// The connection is open.
    Admitted(ConnectionId),
    /// A place becomes free once an earlier connection has been removed. The connection to close, unless one is
    /// being closed already.
    Waiting(Option<ConnectionId>),
    /// All connections have a whole message that is being processed.
    Refused,
}

/// Decision on the bytes that a message is to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ByteDecision {
    /// The message may hold them.
    Granted,
    /// The message may hold them once connections that are being closed have been removed. Those to close now.
    Waiting(ClosedConnections),
    /// The message is the first to give way or larger than the whole budget, or its connection is being closed.
    Refused,
}

/// Progress of a connection with its current message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MessagePhase {
    /// No byte of a message has come.
    Idle,
    /// A part of the head has come.
    Head,
    /// The head has come.
    Body,
    /// The whole message has come and is being processed.
    Processing,
}

/// State of an open connection.
#[derive(Clone, Copy, Debug)]
struct ConnectionState {
    phase: MessagePhase,
    /// Time at which the connection was opened, or its last message answered.
    waiting_since: time::Duration,
    /// Time of the first byte of the current message.
    began_at: time::Duration,
    last_read_at: time::Duration,
    held_bytes: usize,
    has_sent_message: bool,
    is_closing: bool,
    /// Whether a time limit had passed at the last check.
    was_overdue: bool,
}

impl ConnectionState {
    fn new(now: time::Duration) -> Self {
        Self {
            phase: MessagePhase::Idle,
            waiting_since: now,
            began_at: now,
            last_read_at: now,
            held_bytes: 0,
            has_sent_message: false,
            is_closing: false,
            was_overdue: false,
        }
    }

    fn may_be_closed(&self) -> bool {
        !self.is_closing && self.phase != MessagePhase::Processing
    }

    fn overdue_cause(&self, now: time::Duration, limits: &TimeLimits) -> Option<CloseCause> {
        let passed = |since: time::Duration, limit| now.saturating_sub(since) > limit;
        match self.phase {
            MessagePhase::Idle if passed(self.waiting_since, limits.idle) => Some(CloseCause::Idle),
            MessagePhase::Head if passed(self.began_at, limits.head) => Some(CloseCause::SlowHead),
            MessagePhase::Body if passed(self.last_read_at, limits.idle) => Some(CloseCause::Idle),
            _ => None,
        }
    }
}

/// Returns the bytes that a message of `held_bytes` takes from the budget.
fn charge(held_bytes: usize) -> usize {
    held_bytes.saturating_sub(FREE_BYTES)
}

/// Open connections of a listener, and what their messages hold.
#[derive(Debug)]
pub struct ConnectionBudget {
    limits: BudgetLimits,
    connections: HashMap<ConnectionId, ConnectionState>,
    next_id: ConnectionId,
    /// Sum of the charges of all connections.
    charged_bytes: usize,
    /// Part of `charged_bytes` of connections that are being closed.
    closing_bytes: usize,
    closing_count: usize,
}

impl ConnectionBudget {
    /// Creates a budget without connections.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            connections: HashMap::new(),
            next_id: 0,
            charged_bytes: 0,
            closing_bytes: 0,
            closing_count: 0,
        }
    }

    /// Returns the number of open connections, including those that are being closed.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns the bytes that are taken from the budget.
    pub fn charged_bytes(&self) -> usize {
        self.charged_bytes
    }

    /// Opens a connection, or chooses the one to close for it.
    pub fn open(&mut self, now: time::Duration) -> PlaceDecision {
        if self.connections.len() < self.limits.max_connections {
            let id = self.next_id;
            self.next_id += 1;
            self.connections.insert(id, ConnectionState::new(now));
            return PlaceDecision::Admitted(id);
        }
        if self.closing_count > 0 {
            return PlaceDecision::Waiting(None);
        }
        let longest_waiting = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.may_be_closed())
            .min_by_key(|(id, connection)| {
                (connection.has_sent_message, connection.waiting_since, **id)
            })
            .map(|(id, _)| *id);
        match longest_waiting {
            Some(id) => {
                self.mark_closing(id);
                PlaceDecision::Waiting(Some(id))
            }
            None => PlaceDecision::Refused,
        }
    }

    /// Records that bytes were read from a connection.
    pub fn record_read(&mut self, id: ConnectionId, now: time::Duration) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.last_read_at = now;
            if connection.phase == MessagePhase::Idle {
                connection.phase = MessagePhase::Head;
                connection.began_at = now;
            }
        }
    }

    /// Records that the head of the current message is complete. What it held is released.
    pub fn record_head(&mut self, id: ConnectionId, now: time::Duration) {
        self.set_held_bytes(id, 0);
        if let Some(connection) = self.connections.get_mut(&id) {
            // A message that came with the one before was not read by itself.
            if connection.phase == MessagePhase::Idle {
                connection.began_at = now;
            }
            connection.phase = MessagePhase::Body;
            connection.last_read_at = now;
        }
    }

    /// Records that the whole message has come and is being processed. If the connection was to be closed, it is no
    /// longer, and those that wait for it have to ask again; returns whether it was.
    pub fn record_message(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        connection.phase = MessagePhase::Processing;
        let was_closing = std::mem::take(&mut connection.is_closing);
        if was_closing {
            self.closing_count -= 1;
            self.closing_bytes -= charge(connection.held_bytes);
        }
        was_closing
    }

    /// Records that the current message has been answered. What it held is released.
    pub fn record_answer(&mut self, id: ConnectionId, now: time::Duration) {
        self.set_held_bytes(id, 0);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = MessagePhase::Idle;
            connection.waiting_since = now;
            connection.has_sent_message = true;
        }
    }

    /// Decides whether the current message of `id` may hold `held_bytes` in all.
    pub fn reserve(&mut self, id: ConnectionId, held_bytes: usize) -> ByteDecision {
        let Some(connection) = self.connections.get(&id) else {
            return ByteDecision::Refused;
        };
        let earlier_charge = charge(connection.held_bytes);
        let new_charge = charge(held_bytes);
        if new_charge <= earlier_charge {
            self.set_held_bytes(id, held_bytes);
            return ByteDecision::Granted;
        }
        if connection.is_closing || new_charge > self.limits.max_held_bytes {
            return ByteDecision::Refused;
        }
        let wanted = self.charged_bytes - earlier_charge + new_charge;
        if wanted <= self.limits.max_held_bytes {
            self.set_held_bytes(id, held_bytes);
            return ByteDecision::Granted;
        }
        let mut closed = ClosedConnections::new();
        while wanted - self.closing_bytes > self.limits.max_held_bytes {
            match self.first_message_with_charge() {
                Some(first) if first != id => {
                    self.mark_closing(first);
                    closed.push(first);
                }
                // Those that were chosen before have to be closed all the same.
                _ if !closed.is_empty() => break,
                _ => return ByteDecision::Refused,
            }
        }
        ByteDecision::Waiting(closed)
    }

    /// Returns the connection to close for bytes: that whose unfinished message began first.
    fn first_message_with_charge(&self) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| {
                connection.may_be_closed() && charge(connection.held_bytes) > 0
            })
            .min_by_key(|(id, connection)| (connection.began_at, **id))
            .map(|(id, _)| *id)
    }

    /// Forgets a connection that was closed.
    pub fn remove(&mut self, id: ConnectionId) {
        self.set_held_bytes(id, 0);
        if let Some(connection) = self.connections.remove(&id)
            && connection.is_closing
        {
            self.closing_count -= 1;
        }
    }

    /// Returns the connections that have exceeded a time limit, which are to be closed. Called at intervals: one
    /// is closed at the second check only, so that a process that was paused first reads what has come meanwhile.
    pub fn close_overdue(
        &mut self,
        now: time::Duration,
        limits: &TimeLimits,
    ) -> Vec<(ConnectionId, CloseCause)> {
        let mut overdue = Vec::new();
        for (id, connection) in &mut self.connections {
            let cause = connection.overdue_cause(now, limits);
            match cause {
                Some(cause) if connection.was_overdue && !connection.is_closing => {
                    overdue.push((*id, cause));
                }
                _ => connection.was_overdue = cause.is_some(),
            }
        }
        for (id, _) in &overdue {
            self.mark_closing(*id);
        }
        overdue
    }

    fn mark_closing(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id)
            && !connection.is_closing
        {
            connection.is_closing = true;
            self.closing_count += 1;
            self.closing_bytes += charge(connection.held_bytes);
        }
    }

    fn set_held_bytes(&mut self, id: ConnectionId, held_bytes: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let (earlier, new) = (charge(connection.held_bytes), charge(held_bytes));
        connection.held_bytes = held_bytes;
        self.charged_bytes = self.charged_bytes - earlier + new;
        if connection.is_closing {
            self.closing_bytes = self.closing_bytes - earlier + new;
        }
    }
}
