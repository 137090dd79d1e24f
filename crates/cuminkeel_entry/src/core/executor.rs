//! Turns messages into events, and actions into calls.

use std::{sync, time};

use cuminkeel_dispatch::event;
use cuminkeel_mesh::border;
use cuminkeel_outcome::event as outcome_event;
use cuminkeel_types::{job, names, outcome};
use opentelemetry::Context;
use tokio::sync::oneshot;

use super::{message, run};
use crate::{backend, telemetry};

/// Where submission keys go.
pub(super) type KeyReply = oneshot::Sender<Result<Vec<sync::Arc<str>>, outcome::Refusal>>;

/// How far a planned stop has come.
#[derive(Debug, Default)]
pub(super) struct DrainState {
    started: bool,
    handed_over: bool,
    finished: Vec<oneshot::Sender<()>>,
}

impl run::DecisionLoop {
    /// Takes one message.
    pub(super) fn take(&mut self, message: message::CoreMessage) {
        use message::CoreMessage as Message;
        match message {
            Message::RequestKeys {
                customer,
                count,
                reply,
            } => self.request_keys(customer, count, reply),
            Message::Submit {
                key,
                spec,
                trace,
                started,
                reply,
            } => self.submit(key, spec, trace, started, reply),
            Message::CancelKey {
                customer,
                key,
                deadline,
                reply,
            } => self.cancel_key(customer, key, deadline, reply),
            Message::Look {
                customer,
                job,
                finished,
                reply,
            } => {
                let view = self.jobs.look(&customer, job, finished);
                let _ = reply.send(view);
            }
            Message::Cancel {
                customer,
                job,
                reply,
            } => self.cancel(&customer, job, reply),
            Message::Drain { finished } => self.start_drain(finished),
            Message::Status { reply } => {
                let _ = reply.send(self.status());
            }
            other => self.pass_on(other),
        }
    }

    /// Passes a message on to a policy as an event.
    fn pass_on(&mut self, message: message::CoreMessage) {
        use message::CoreMessage as Message;
        match message {
            Message::TaskEnded {
                task,
                server,
                outcome,
                busy,
            } => self.end_task(task, server, outcome, busy),
            Message::ServerProbed {
                probe,
                server,
                busy,
            } => self.tell_dispatch(event::DispatchEvent::ServerProbed {
                probe,
                server,
                busy,
            }),
            Message::ServersChanged(servers) => {
                self.tell_dispatch(event::DispatchEvent::ServersChanged(servers));
            }
            Message::TermsChanged(terms) => {
                self.tell_dispatch(event::DispatchEvent::TermsChanged(terms));
            }
            Message::PeersChanged(peers) => self.change_peers(peers),
            Message::MembersChanged(members) => {
                self.tell_outcome(outcome_event::OutcomeEvent::MembersChanged(members));
            }
            Message::SiblingMessage { from, payload } => {
                self.tell_dispatch(event::DispatchEvent::SiblingMessage { from, payload });
            }
            Message::OutcomeMessage { from, payload } => {
                self.tell_outcome(outcome_event::OutcomeEvent::PeerMessage { from, payload });
            }
            _ => {}
        }
    }

    /// Tells what a server reported with its answer before the answer itself,
    /// since the answer may start the next task.
    fn end_task(
        &mut self,
        task: outcome::TaskKey,
        server: names::ServerName,
        outcome: outcome::TaskOutcome,
        busy: Option<u32>,
    ) {
        if let Some(busy) = busy {
            let server = server.clone();
            self.tell_dispatch(event::DispatchEvent::ServerReported { server, busy });
        }
        self.tell_dispatch(event::DispatchEvent::TaskEnded {
            task,
            server,
            outcome,
        });
    }

    fn request_keys(&mut self, customer: names::CustomerName, count: u32, reply: KeyReply) {
        let ticket = self.draw_ticket();
        self.key_requests.insert(ticket, reply);
        self.tell_outcome(outcome_event::OutcomeEvent::KeysRequested {
            ticket,
            customer,
            count,
        });
    }

    fn submit(
        &mut self,
        key: Option<sync::Arc<str>>,
        spec: sync::Arc<job::JobSpec>,
        trace: Context,
        started: oneshot::Sender<names::JobId>,
        reply: oneshot::Sender<message::JobReply>,
    ) {
        let ticket = self.draw_ticket();
        let request = run::WaitingRequest {
            trace,
            job: None,
            started: Some(started),
            reply,
        };
        self.requests.insert(ticket, request);
        self.tell_outcome(outcome_event::OutcomeEvent::Submitted { ticket, key, spec });
    }

    fn cancel_key(
        &mut self,
        customer: names::CustomerName,
        key: sync::Arc<str>,
        deadline: time::Duration,
        reply: oneshot::Sender<message::JobReply>,
    ) {
        let ticket = self.draw_ticket();
        let request = run::WaitingRequest {
            trace: Context::new(),
            job: None,
            started: None,
            reply,
        };
        self.requests.insert(ticket, request);
        self.tell_outcome(outcome_event::OutcomeEvent::CancelRequested {
            ticket,
            customer,
            key,
            deadline,
        });
    }

    fn cancel(
        &mut self,
        customer: &names::CustomerName,
        job: names::JobId,
        reply: oneshot::Sender<bool>,
    ) {
        let found = self.jobs.belongs_to(job, customer);
        if found {
            self.tell_dispatch(event::DispatchEvent::JobCancelled(job));
        }
        let _ = reply.send(found);
    }

    fn change_peers(&mut self, peers: Vec<outcome_event::PeerEntry>) {
        let siblings = peers
            .iter()
            .map(|peer| event::SiblingEntry {
                vm: peer.vm.clone(),
                incarnation: peer.incarnation,
            })
            .collect();
        self.tell_outcome(outcome_event::OutcomeEvent::PeersChanged(peers));
        self.tell_dispatch(event::DispatchEvent::SiblingsChanged(siblings));
    }

    fn start_drain(&mut self, finished: oneshot::Sender<()>) {
        self.drain.finished.push(finished);
        if !self.drain.started {
            self.drain.started = true;
            self.tell_outcome(outcome_event::OutcomeEvent::DrainStarted);
            self.tell_dispatch(event::DispatchEvent::DrainStarted);
        }
    }

    /// Tells those who wait for the end of a drain once nothing is left.
    pub(super) fn check_drained(&mut self) {
        if !self.drain.started || !self.drain.handed_over || !self.requests.is_empty() {
            return;
        }
        let status = self.parts.dispatch.status(self.parts.clock.now());
        if status.jobs > 0 || status.running_tasks > 0 {
            return;
        }
        for finished in self.drain.finished.drain(..) {
            let _ = finished.send(());
        }
    }

    fn status(&self) -> message::CoreStatus {
        message::CoreStatus {
            dispatch: self.parts.dispatch.status(self.parts.clock.now()),
            waiting_requests: self.requests.len(),
            draining: self.drain.started,
        }
    }

    /// Feeds the outcome policy and carries out what it asks for.
    pub(super) fn tell_outcome(&mut self, event: outcome_event::OutcomeEvent) {
        let mut actions = Vec::new();
        let now = self.parts.clock.now();
        self.parts.outcome.handle(now, event, &mut actions);
        for action in actions {
            self.do_outcome(action);
        }
    }

    fn do_outcome(&mut self, action: outcome_event::OutcomeAction) {
        use outcome_event::OutcomeAction as Action;
        match action {
            Action::KeysIssued { ticket, keys } => {
                if let Some(reply) = self.key_requests.remove(&ticket) {
                    let _ = reply.send(Ok(keys));
                }
            }
            Action::StartJob { job, spec, ticket } => self.start_job(job, spec, ticket),
            Action::CancelJob { job } => {
                self.tell_dispatch(event::DispatchEvent::JobCancelled(job));
            }
            Action::Reply { ticket, answer } => self.reply(ticket, answer),
            Action::SendPeer { to, payload } => {
                // A lost message is the policy's to repeat.
                let _ = self
                    .parts
                    .mesh
                    .send(to, border::MeshTopic::Outcome, payload);
            }
            Action::DrainFinished => self.drain.handed_over = true,
        }
    }

    fn start_job(
        &mut self,
        job: names::JobId,
        spec: sync::Arc<job::JobSpec>,
        ticket: Option<outcome_event::TicketId>,
    ) {
        let request = ticket.and_then(|ticket| self.requests.get_mut(&ticket));
        let trace = match request {
            Some(request) => {
                request.job = Some(job);
                if let Some(started) = request.started.take() {
                    let _ = started.send(job);
                }
                request.trace.clone()
            }
            None => self.parts.traces.forward_span(spec.trace_parent.as_deref()),
        };
        let forwarded = ticket.is_none();
        self.jobs
            .insert(job, sync::Arc::clone(&spec), trace, forwarded);
        let request = event::JobRequest { id: job, spec };
        self.tell_dispatch(event::DispatchEvent::JobSubmitted(request));
    }

    fn reply(&mut self, ticket: outcome_event::TicketId, answer: outcome::JobAnswer) {
        if let Some(request) = self.requests.remove(&ticket) {
            let job = request.job;
            let _ = request.reply.send(message::JobReply { job, answer });
            return;
        }
        if let (Some(reply), outcome::JobAnswer::Failed(refusal)) =
            (self.key_requests.remove(&ticket), answer)
        {
            let _ = reply.send(Err(refusal));
        }
    }

    /// Feeds the dispatch policy and carries out what it asks for.
    pub(super) fn tell_dispatch(&mut self, event: event::DispatchEvent) {
        let mut actions = Vec::new();
        let now = self.parts.clock.now();
        self.parts.dispatch.handle(now, event, &mut actions);
        for action in actions {
            self.do_dispatch(action);
        }
    }

    fn do_dispatch(&mut self, action: event::DispatchAction) {
        use event::DispatchAction as Action;
        match action {
            Action::StartTask {
                task,
                server,
                time_left,
            } => self.start_task(task, server, time_left),
            Action::StopTask { task, server } => self.parts.backend.stop(&task, &server),
            Action::FinishJob { job, answer } => {
                self.jobs.finish(self.parts.clock.now(), job, &answer);
                self.end_forward_span(job);
                self.tell_outcome(outcome_event::OutcomeEvent::JobFinished { job, answer });
            }
            Action::ProbeServer { probe, server } => {
                let handle = self.handle.clone();
                self.parts.backend.probe(probe, &server, handle);
            }
            Action::SendSibling { to, payload } => {
                // A lost message is the policy's to repeat.
                let _ = self
                    .parts
                    .mesh
                    .send(to.incarnation, border::MeshTopic::Dispatch, payload);
            }
        }
    }

    /// Ends the span of a job that another entry passed on; the span of a job
    /// that was received here ends with its request.
    fn end_forward_span(&self, job: names::JobId) {
        if let Some(record) = self.jobs.get(job).filter(|record| record.forwarded) {
            telemetry::end_span(&record.trace);
        }
    }

    fn start_task(
        &mut self,
        task: outcome::TaskKey,
        server: names::ServerName,
        time_left: time::Duration,
    ) {
        let Some(record) = self.jobs.get(task.job) else {
            return;
        };
        let position = usize::try_from(task.task.0).unwrap_or(usize::MAX);
        let Some(spec) = record.spec.tasks.get(position) else {
            return;
        };
        let call = backend::TaskCall {
            task,
            server,
            spec: spec.clone(),
            time_left,
            trace: record.trace.clone(),
            queued_since: record.received,
        };
        let end = self.parts.clock.now() + call.time_left;
        self.held.push(run::HeldCall { call, end });
        self.release_held();
    }

    /// Sends the tasks that are ready. After a pause none leaves before this
    /// process knows whether the others thought it dead.
    pub(super) fn release_held(&mut self) {
        if self.parts.mesh.standing() == border::MemberStanding::Unsure {
            return;
        }
        let now = self.parts.clock.now();
        for held in std::mem::take(&mut self.held) {
            let time_left = held.end.since(now);
            if time_left.is_zero() {
                self.drop_call(held.call);
            } else {
                let call = backend::TaskCall {
                    time_left,
                    ..held.call
                };
                self.parts.backend.start(call, self.handle.clone());
            }
        }
    }

    /// Reports a task that was held past its deadline: it was never sent.
    fn drop_call(&mut self, call: backend::TaskCall) {
        let cause = outcome::NotStartedCause::NotSent;
        self.tell_dispatch(event::DispatchEvent::TaskEnded {
            task: call.task,
            server: call.server,
            outcome: outcome::TaskOutcome::NotStarted { cause },
        });
    }
}
