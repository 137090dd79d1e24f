//! Requests that this entry passes to the process that serves their key.

use cuminkeel_types::{names, outcome};

use super::{LedgerTurn, OutcomeLedger, fits, whole_answer};
use crate::{answer, digest, event, key, message, record, relay, rules, timer};

impl OutcomeLedger {
    /// Starts to pass on a request. A witness is asked first if the authority
    /// is no member: it may be the authority's heir.
    pub(super) fn pass_on(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        ticket: event::TicketId,
        call: relay::KeyCall,
    ) {
        let authority_live = self.is_live(call.key.id.authority);
        let told = self.farewells.fate(&call.key);
        if let Some(answer) = told.and_then(|fate| last_word(fate, authority_live)) {
            return self.reply(turn, ticket, answer);
        }
        let phase = match call.key.witness {
            Some(witness) if !authority_live && self.is_live(witness) => relay::RelayPhase::Heir,
            Some(_) | None => relay::RelayPhase::Authority,
        };
        self.add_relay(turn, ticket, call, phase);
    }

    pub(super) fn add_relay(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        ticket: event::TicketId,
        call: relay::KeyCall,
        phase: relay::RelayPhase,
    ) {
        self.set_deadline(call.deadline, ticket);
        let own = call.key.id.authority == self.settings.incarnation;
        let mut relay = relay::KeyRelay::new(turn.now, call, phase, &self.settings.limits);
        relay.asked_authority |= own;
        self.relays.insert(ticket, relay);
        self.tend_relay(turn, ticket);
    }

    /// Does what is due for a relayed request and sets its next timer.
    pub(super) fn tend_relay(&mut self, turn: &mut LedgerTurn<'_>, ticket: event::TicketId) {
        let Some(relay) = self.relays.get(&ticket) else {
            return;
        };
        let target = relay.target();
        let target_live = target.is_some_and(|target| self.is_live(target));
        let limits = &self.settings.limits;
        match (relay.step(turn.now, target_live, limits), target) {
            (relay::RelayStep::Close, _) => return self.close_remote(turn, ticket),
            (relay::RelayStep::GiveUp, _) => return self.give_up_relay(turn, ticket),
            (relay::RelayStep::TryAuthority, _) => {
                return self.turn_relay(turn, ticket, relay::RelayPhase::Authority);
            }
            (relay::RelayStep::Send, Some(target)) => self.send_relay(turn, ticket, target),
            (relay::RelayStep::Send, None) | (relay::RelayStep::Wait, _) => {}
        }
        let next_step = self
            .relays
            .get(&ticket)
            .and_then(|relay| relay.next_step(target_live, &self.settings.limits));
        if let Some(at) = next_step {
            self.timers.set(at, timer::TimerTopic::Relay(ticket));
        }
    }

    fn send_relay(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        ticket: event::TicketId,
        target: names::IncarnationId,
    ) {
        let limits = &self.settings.limits;
        if let Some(relay) = self.relays.get_mut(&ticket) {
            let message = relay.transmit(turn.now, ticket, limits);
            self.send(turn, target, &message);
        }
    }

    /// Turns a relay to another process or question, and asks at once.
    pub(super) fn turn_relay(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        ticket: event::TicketId,
        phase: relay::RelayPhase,
    ) {
        let own = Some(self.settings.incarnation);
        let Some(relay) = self.relays.get_mut(&ticket) else {
            return;
        };
        if phase == relay::RelayPhase::Heir && relay.call.key.witness == own {
            return self.serve_relay(turn, ticket);
        }
        relay.enter(turn.now, phase, &self.settings.limits);
        self.tend_relay(turn, ticket);
    }

    /// Serves a relayed request here after all, as heir of the authority.
    fn serve_relay(&mut self, turn: &mut LedgerTurn<'_>, ticket: event::TicketId) {
        if let Some(relay) = self.relays.remove(&ticket) {
            self.serve(turn, relay.call, record::KeyWaiter::Local(ticket));
        }
    }

    /// Has the key of a silent authority closed by its witness.
    pub(super) fn close_remote(&mut self, turn: &mut LedgerTurn<'_>, ticket: event::TicketId) {
        let own = Some(self.settings.incarnation);
        let key = match self.relays.get(&ticket) {
            Some(relay) if relay.call.key.witness == own => relay.call.key.id,
            Some(_) => return self.turn_relay(turn, ticket, relay::RelayPhase::Closing),
            None => return,
        };
        let verdict = self.close_witnessed(turn, key);
        self.end_closing(turn, ticket, verdict);
    }

    /// Closes a key as its witness, for this or another entry.
    pub(super) fn close_witnessed(
        &mut self,
        turn: &LedgerTurn<'_>,
        key: key::KeyId,
    ) -> message::CloseVerdict {
        match self.records.get(key) {
            Some(_) => message::CloseVerdict::Served,
            None => self.witness.close(turn.now, key),
        }
    }

    /// Acts on what the witness says of a key that it was asked to close.
    pub(super) fn end_closing(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        ticket: event::TicketId,
        verdict: message::CloseVerdict,
    ) {
        let doubts = self.keeps(rules::OutcomeRule::DoubtOpened);
        let told = self.told(ticket);
        let authority = self
            .relays
            .get(&ticket)
            .map(|relay| relay.call.key.id.authority);
        let authority_live = authority.is_some_and(|authority| self.is_live(authority));
        let Some(relay) = self.relays.get_mut(&ticket) else {
            return;
        };
        let refusal = match verdict {
            message::CloseVerdict::Opened | message::CloseVerdict::Forgotten
                if !authority_live && told.is_some() =>
            {
                return self.reply_told(turn, ticket, told);
            }
            message::CloseVerdict::Served => {
                return self.turn_relay(turn, ticket, relay::RelayPhase::Heir);
            }
            message::CloseVerdict::Ended(ran) => answer::ended(ran),
            message::CloseVerdict::Opened if authority_live => {
                relay.wait_out(turn.now, &self.settings.limits);
                return self.tend_relay(turn, ticket);
            }
            message::CloseVerdict::Opened if doubts => {
                answer::unresolved("the key was opened by a process that no longer answers")
            }
            message::CloseVerdict::Forgotten => {
                answer::unresolved("the key is too old; its fate is forgotten")
            }
            message::CloseVerdict::Closed | message::CloseVerdict::Opened => {
                answer::closed(outcome::RefusalCode::KeyClosed)
            }
        };
        self.reply(turn, ticket, refusal);
    }

    fn give_up_relay(&mut self, turn: &mut LedgerTurn<'_>, ticket: event::TicketId) {
        let told = self.told(ticket);
        if told.is_some() {
            return self.reply_told(turn, ticket, told);
        }
        let refusal = if self.keeps(rules::OutcomeRule::DoubtUnwitnessed) {
            answer::unresolved("neither the key's authority nor its witness answers")
        } else {
            answer::closed(outcome::RefusalCode::KeyClosed)
        };
        self.reply(turn, ticket, refusal);
    }

    /// The last word that a process that has left told of a request's key.
    fn told(&self, ticket: event::TicketId) -> Option<outcome::JobAnswer> {
        let relay = self.relays.get(&ticket)?;
        last_word(self.farewells.fate(&relay.call.key)?, false)
    }

    fn reply_told(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        ticket: event::TicketId,
        told: Option<outcome::JobAnswer>,
    ) {
        if let Some(answer) = told {
            self.reply(turn, ticket, answer);
        }
    }

    /// Answers the requests whose keys' fate was told by a process that leaves.
    pub(super) fn answer_told(&mut self, turn: &mut LedgerTurn<'_>) {
        let told: Vec<_> = self
            .relays
            .iter()
            .filter_map(|(ticket, relay)| {
                let fate = self.farewells.fate(&relay.call.key)?;
                let authority_live = self.is_live(relay.call.key.id.authority);
                Some((*ticket, last_word(fate, authority_live)?))
            })
            .collect();
        for (ticket, answer) in told {
            self.reply(turn, ticket, answer);
        }
    }

    /// Asks again at once for the requests whose target is no longer a member.
    pub(super) fn hurry_relays(&mut self, turn: &mut LedgerTurn<'_>) {
        let lost: Vec<_> = self
            .relays
            .iter()
            .filter(|(_, relay)| relay.target().is_some_and(|target| !self.is_live(target)))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in lost {
            if let Some(relay) = self.relays.get_mut(&ticket) {
                relay.hurry(turn.now);
            }
            self.tend_relay(turn, ticket);
        }
    }

    /// The relay of a ticket, if `from` is the process that it waits for.
    pub(super) fn awaited_relay(
        &mut self,
        from: names::IncarnationId,
        ticket: event::TicketId,
        key: key::KeyId,
    ) -> Option<&mut relay::KeyRelay> {
        self.relays
            .get_mut(&ticket)
            .filter(|relay| relay.call.key.id == key && relay.target() == Some(from))
    }

    /// The request stands with another process.
    pub(super) fn relay_accepted(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        from: names::IncarnationId,
        ticket: event::TicketId,
        key: key::KeyId,
    ) {
        let limits = self.settings.limits.clone();
        match self.awaited_relay(from, ticket, key) {
            Some(relay) if relay.phase != relay::RelayPhase::Closing => {
                relay.accept(turn.now, &limits);
                self.tend_relay(turn, ticket);
            }
            Some(_) | None => {}
        }
    }

    /// The process asked does not know the request.
    pub(super) fn relay_unheard(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        from: names::IncarnationId,
        ticket: event::TicketId,
        key: key::KeyId,
    ) {
        match self.awaited_relay(from, ticket, key) {
            Some(relay) if relay.accepted => {
                relay.repeat(turn.now);
                self.tend_relay(turn, ticket);
            }
            Some(_) | None => {}
        }
    }

    /// The process asked does not serve the key.
    pub(super) fn relay_not_served(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        from: names::IncarnationId,
        ticket: event::TicketId,
        key: key::KeyId,
    ) {
        let Some(relay) = self.awaited_relay(from, ticket, key) else {
            return;
        };
        match (relay.phase, relay.call.key.witness) {
            (relay::RelayPhase::Authority, Some(_)) => {
                self.turn_relay(turn, ticket, relay::RelayPhase::Heir);
            }
            (relay::RelayPhase::Heir, _) if relay.asked_authority => {
                self.close_remote(turn, ticket);
            }
            (relay::RelayPhase::Heir, _) => {
                self.turn_relay(turn, ticket, relay::RelayPhase::Authority);
            }
            _ => {}
        }
    }

    /// A final answer came from another process.
    pub(super) fn relay_answered(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        from: names::IncarnationId,
        ticket: event::TicketId,
        key: key::KeyId,
        digest: Option<digest::JobDigest>,
        answer: outcome::JobAnswer,
    ) {
        let rules = self.settings.rules;
        let Some(relay) = self.relays.get(&ticket) else {
            return self.reject();
        };
        let submitted = &relay.call;
        let sender_fits = from == submitted.key.id.authority || Some(from) == submitted.key.witness;
        let matches = sender_fits
            && submitted.key.id == key
            && submitted.digest == digest
            && fits(submitted.digest, digest);
        if !matches && rules.keeps(rules::OutcomeRule::MatchAnswer) {
            return self.reject();
        }
        let answer = match &submitted.request {
            message::KeyRequest::Submit(spec) => whole_answer(answer, spec.tasks.len(), rules),
            message::KeyRequest::Cancel => answer,
        };
        self.reply(turn, ticket, answer);
    }

    /// Counts a message that fits nothing.
    pub(super) fn reject(&mut self) {
        self.stats.messages_rejected += 1;
    }
}

/// The answer that a farewell proves. A live authority may still have the
/// whole answer of a job that has ended.
fn last_word(fate: message::KeyFate, authority_live: bool) -> Option<outcome::JobAnswer> {
    match fate {
        message::KeyFate::Closed => Some(answer::closed(outcome::RefusalCode::KeyClosed)),
        message::KeyFate::Ended(ran) if !authority_live => Some(answer::ended(ran)),
        message::KeyFate::Ended(_) | message::KeyFate::Opened => None,
    }
}
