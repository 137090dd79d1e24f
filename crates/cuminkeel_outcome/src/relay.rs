//! Requests that this entry passes to the process that serves their key.

use std::{sync, time};

use cuminkeel_types::{names, time as clock};

use crate::{digest, event, key, message, settings};

/// A request as it came from a caller or from another entry.
#[derive(Clone, Debug)]
pub struct KeyCall {
    /// The key.
    pub key: key::SubmissionKey,
    /// The key as text.
    pub token: sync::Arc<str>,
    /// What is asked.
    pub request: message::KeyRequest,
    /// Digest of the request's job.
    pub digest: Option<digest::JobDigest>,
    /// When the caller's deadline passes.
    pub deadline: clock::TimePoint,
}

/// Whom a relayed request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayPhase {
    /// The key's authority is asked to serve it.
    Authority,
    /// The key's witness is asked to serve it as heir of the authority.
    Heir,
    /// The key's witness is asked to close it.
    Closing,
    /// This entry is the authority and waits for its hand-over to be in force.
    Handover,
}

/// What a relay does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayStep {
    /// Nothing before the next transmission is due.
    Wait,
    /// Send the request or inquiry.
    Send,
    /// Ask the authority after all.
    TryAuthority,
    /// Close the key at the witness.
    Close,
    /// Give up: nobody is left who can tell.
    GiveUp,
}

/// One relayed request.
#[derive(Debug)]
pub struct KeyRelay {
    /// The request.
    pub call: KeyCall,
    /// Whom it waits for.
    pub phase: RelayPhase,
    /// Whether the authority was asked, or is known not to serve the key.
    pub asked_authority: bool,
    /// Whether the process that serves the key has the request.
    pub accepted: bool,
    unanswered_since: Option<clock::TimePoint>,
    resort_at: clock::TimePoint,
    next_send: clock::TimePoint,
    interval: time::Duration,
}

impl KeyRelay {
    /// A relay that has sent nothing yet.
    pub fn new(
        now: clock::TimePoint,
        call: KeyCall,
        phase: RelayPhase,
        limits: &settings::LedgerLimits,
    ) -> Self {
        let resort = limits.last_resort.min(call.deadline.since(now) / 4);
        Self {
            resort_at: call.deadline - resort,
            asked_authority: phase != RelayPhase::Heir,
            accepted: false,
            unanswered_since: None,
            next_send: now,
            interval: limits.resend_first,
            call,
            phase,
        }
    }

    /// The process that the relay waits for; none if it waits for no message.
    pub fn target(&self) -> Option<names::IncarnationId> {
        match self.phase {
            RelayPhase::Authority => Some(self.call.key.id.authority),
            RelayPhase::Heir | RelayPhase::Closing => self.call.key.witness,
            RelayPhase::Handover => None,
        }
    }

    /// Turns to another process, or to another question.
    pub fn enter(
        &mut self,
        now: clock::TimePoint,
        phase: RelayPhase,
        limits: &settings::LedgerLimits,
    ) {
        self.asked_authority |= phase == RelayPhase::Authority;
        self.phase = phase;
        self.accepted = false;
        self.unanswered_since = None;
        self.next_send = now;
        self.interval = limits.resend_first;
    }

    /// Waits for the authority up to the deadline, without another attempt to close the key.
    pub fn wait_out(&mut self, now: clock::TimePoint, limits: &settings::LedgerLimits) {
        self.enter(now, RelayPhase::Authority, limits);
        self.resort_at = clock::TimePoint::MAX;
    }

    /// The request has been accepted by the process that serves the key.
    pub fn accept(&mut self, now: clock::TimePoint, limits: &settings::LedgerLimits) {
        self.accepted = true;
        self.unanswered_since = None;
        self.next_send = now + limits.ask_interval;
    }

    /// The request is not known to the process that serves the key.
    pub fn repeat(&mut self, now: clock::TimePoint) {
        self.accepted = false;
        self.unanswered_since = None;
        self.next_send = now;
    }

    /// Asks again at once, since the target is no longer a member.
    pub fn hurry(&mut self, now: clock::TimePoint) {
        self.next_send = now;
    }

    /// What to do now, given whether the target is a member.
    pub fn step(
        &self,
        now: clock::TimePoint,
        target_live: bool,
        limits: &settings::LedgerLimits,
    ) -> RelayStep {
        let silent = !target_live
            && self
                .unanswered_since
                .is_some_and(|since| now.since(since) >= limits.silence_wait);
        let last_resort = !self.accepted && now >= self.resort_at;
        let witnessed = self.call.key.witness.is_some();
        match self.phase {
            RelayPhase::Handover => RelayStep::Wait,
            RelayPhase::Authority if (silent || last_resort) && witnessed => RelayStep::Close,
            RelayPhase::Heir if silent && !self.asked_authority => RelayStep::TryAuthority,
            _ if silent => RelayStep::GiveUp,
            _ if now >= self.next_send => RelayStep::Send,
            _ => RelayStep::Wait,
        }
    }

    /// When [`KeyRelay::step`] may next have another answer.
    pub fn next_step(
        &self,
        target_live: bool,
        limits: &settings::LedgerLimits,
    ) -> Option<clock::TimePoint> {
        let silent_at = self
            .unanswered_since
            .filter(|_| !target_live)
            .map(|since| since + limits.silence_wait);
        let resort_at = Some(self.resort_at).filter(|_| {
            self.phase == RelayPhase::Authority && !self.accepted && self.call.key.witness.is_some()
        });
        let next_send = Some(self.next_send).filter(|_| self.phase != RelayPhase::Handover);
        [silent_at, resort_at, next_send]
            .into_iter()
            .flatten()
            .min()
    }

    /// The message to send now; later ones follow at growing intervals.
    pub fn transmit(
        &mut self,
        now: clock::TimePoint,
        ticket: event::TicketId,
        limits: &settings::LedgerLimits,
    ) -> message::PeerMessage {
        self.unanswered_since.get_or_insert(now);
        let interval = if self.accepted {
            limits.ask_interval
        } else {
            self.interval
        };
        self.next_send = now + interval;
        self.interval = (self.interval * 2).min(limits.resend_longest);
        let key = self.call.key.id;
        match self.phase {
            RelayPhase::Closing => message::PeerMessage::Close { ticket, key },
            _ if self.accepted => message::PeerMessage::Ask {
                ticket,
                key,
                digest: self.call.digest,
            },
            _ => message::PeerMessage::Forward {
                ticket,
                token: self.call.token.clone(),
                request: self.call.request.clone(),
                time_left: self.call.deadline.since(now),
            },
        }
    }
}
