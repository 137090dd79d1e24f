//! Feeds the policies with events in order of arrival.

use std::{collections, sync, time};

use cuminkeel_dispatch::{event, policy};
use cuminkeel_mesh::border;
use cuminkeel_outcome::event as outcome_event;
use cuminkeel_types::{names, time as points};
use opentelemetry::Context;
use tokio::sync::{mpsc, oneshot};

use super::{executor, handle, jobs, message};
use crate::{backend, clock, telemetry};

/// Messages that may wait for the loop.
const MAILBOX_SIZE: usize = 16_384;

/// Pause between two looks at this process's standing while tasks wait for it.
const HELD_PAUSE: time::Duration = time::Duration::from_millis(10);

/// What the loop is made of.
#[derive(Debug)]
pub struct CoreParts {
    /// The process's clock.
    pub clock: clock::MonotonicClock,
    /// Decides on starts and answers.
    pub outcome: Box<dyn outcome_event::OutcomePolicy>,
    /// Decides on placement.
    pub dispatch: Box<dyn policy::DispatchPolicy>,
    /// Sends messages to other entries.
    pub mesh: sync::Arc<dyn border::MeshPort>,
    /// Makes spans.
    pub traces: telemetry::TraceSource,
    /// Sends tasks to backend servers.
    pub backend: sync::Arc<dyn backend::TaskSender>,
}

/// One waiting request.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) trace: Context,
    pub(super) job: Option<names::JobId>,
    pub(super) started: Option<oneshot::Sender<names::JobId>>,
    pub(super) reply: oneshot::Sender<message::JobReply>,
}

/// A task that waits to be sent.
#[derive(Debug)]
pub(super) struct HeldCall {
    pub(super) call: backend::TaskCall,
    /// When its time is over.
    pub(super) end: points::TimePoint,
}

/// The loop's state.
#[derive(Debug)]
pub struct DecisionLoop {
    pub(super) parts: CoreParts,
    pub(super) handle: handle::CoreHandle,
    pub(super) jobs: jobs::JobTable,
    pub(super) requests: collections::HashMap<outcome_event::TicketId, WaitingRequest>,
    pub(super) key_requests: collections::HashMap<outcome_event::TicketId, executor::KeyReply>,
    pub(super) drain: executor::DrainState,
    /// Tasks that wait until this process knows its standing.
    pub(super) held: Vec<HeldCall>,
    next_ticket: u64,
    mailbox: mpsc::Receiver<message::CoreMessage>,
}

impl DecisionLoop {
    /// Makes a loop and the handle to it.
    pub fn new(parts: CoreParts) -> (Self, handle::CoreHandle) {
        let (sender, mailbox) = mpsc::channel(MAILBOX_SIZE);
        let handle = handle::CoreHandle::new(sender);
        let decision_loop = Self {
            parts,
            handle: handle.clone(),
            jobs: jobs::JobTable::default(),
            requests: collections::HashMap::new(),
            key_requests: collections::HashMap::new(),
            drain: executor::DrainState::default(),
            held: Vec::new(),
            next_ticket: 0,
            mailbox,
        };
        (decision_loop, handle)
    }

    /// Runs until the task is aborted.
    pub async fn run(mut self) {
        loop {
            let wakeup = self.next_wakeup();
            tokio::select! {
                biased;
                message = self.mailbox.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = sleep_until(&self.parts.clock, wakeup) => {}
            }
            self.wake_policies();
            self.release_held();
            self.check_drained();
        }
    }

    fn next_wakeup(&self) -> Option<points::TimePoint> {
        let dispatch = self.parts.dispatch.next_wakeup();
        let outcome = self.parts.outcome.next_wakeup();
        let held = (!self.held.is_empty()).then(|| self.parts.clock.now() + HELD_PAUSE);
        dispatch.into_iter().chain(outcome).chain(held).min()
    }

    fn wake_policies(&mut self) {
        let now = self.parts.clock.now();
        if self.parts.outcome.next_wakeup().is_some_and(|at| at <= now) {
            self.tell_outcome(outcome_event::OutcomeEvent::WakeupDue);
        }
        if self
            .parts
            .dispatch
            .next_wakeup()
            .is_some_and(|at| at <= now)
        {
            self.tell_dispatch(event::DispatchEvent::WakeupDue);
        }
    }

    pub(super) fn draw_ticket(&mut self) -> outcome_event::TicketId {
        self.next_ticket += 1;
        outcome_event::TicketId(self.next_ticket)
    }
}

async fn sleep_until(clock: &clock::MonotonicClock, wakeup: Option<points::TimePoint>) {
    match wakeup {
        Some(point) => tokio::time::sleep_until(clock.instant_of(point)).await,
        None => std::future::pending().await,
    }
}
