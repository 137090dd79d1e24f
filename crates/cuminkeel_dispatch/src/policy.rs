//! The border behind which dispatch policies stand.

use std::fmt;

use cuminkeel_types::{names, time};
use serde::{Deserialize, Serialize};

use crate::event;

/// Queue and servers as a policy sees them, for `status`, metrics and reports.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DispatchStatus {
    /// Jobs accepted and not yet answered.
    pub jobs: usize,
    /// Tasks waiting for a slot.
    pub queued_tasks: usize,
    /// Tasks sent and not yet ended.
    pub running_tasks: usize,
    /// One line for each server.
    pub servers: Vec<ServerStatus>,
    /// One line for each customer with work.
    pub customers: Vec<CustomerStatus>,
}

/// One server as a policy sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerStatus {
    /// The server.
    pub server: names::ServerName,
    /// Slots that this entry may use now.
    pub usable_slots: u32,
    /// Tasks of this entry on it.
    pub running: u32,
    /// `live`, `leaving`, `ejected` or `on_trial`.
    pub state: ServerState,
    /// Learnt run time relative to the mean server; 1 is average, 2 twice as slow.
    pub slowness: f64,
}

/// Whether a server gets work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Gets work.
    Live,
    /// Leaves: finishes what it has.
    Leaving,
    /// Taken out for failing.
    Ejected,
    /// Gets single tasks to prove itself.
    OnTrial,
}

/// One customer as a policy sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerStatus {
    /// The customer.
    pub customer: names::CustomerName,
    /// Tasks waiting.
    pub queued: usize,
    /// Tasks running.
    pub running: usize,
    /// Concurrent tasks that this entry's share of the allowance permits; none if unlimited.
    pub share: Option<u32>,
}

/// Decides what to do about each event. Without I/O; the same events, times
/// and seed give the same actions.
pub trait DispatchPolicy: fmt::Debug + Send {
    /// Takes in one event and appends what follows from it to `actions`.
    fn handle(
        &mut self,
        now: time::TimePoint,
        event: event::DispatchEvent,
        actions: &mut Vec<event::DispatchAction>,
    );

    /// When [`event::DispatchEvent::WakeupDue`] is wanted next, if at all.
    fn next_wakeup(&self) -> Option<time::TimePoint>;

    /// The state to show to people and metrics.
    fn status(&self, now: time::TimePoint) -> DispatchStatus;
}
