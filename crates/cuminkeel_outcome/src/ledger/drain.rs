//! Graceful drain: the remaining keys go to the witnesses that they name.

use std::{collections, time as duration};

use cuminkeel_types::{names, time};

use super::{LedgerTurn, OutcomeLedger, own_key};
use crate::{event, message, record, relay, rules, timer};

/// A drain under way.
#[derive(Debug)]
pub(super) struct DrainState {
    handovers: collections::BTreeMap<names::IncarnationId, HandoverState>,
    give_up: time::TimePoint,
    stage: DrainStage,
}

#[derive(Debug)]
enum DrainStage {
    /// Hand-overs or jobs are under way.
    Working,
    /// The farewell waits for receipts.
    Parting(FarewellState),
    /// Nothing is left to do.
    Finished,
}

#[derive(Debug)]
struct FarewellState {
    farewell: message::KeyFarewell,
    unheard: collections::BTreeSet<names::IncarnationId>,
    give_up: time::TimePoint,
    next_send: time::TimePoint,
    interval: duration::Duration,
}

#[derive(Debug)]
struct HandoverState {
    status: HandoverStatus,
    handover: message::KeyHandover,
    next_send: time::TimePoint,
    interval: duration::Duration,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HandoverStatus {
    /// Sent and not acknowledged.
    Pending,
    /// The witness may open the keys.
    InForce,
    /// Not acknowledged in time; the witness may have it or not.
    Abandoned,
}

impl OutcomeLedger {
    /// Stops issuing keys and hands the remaining ones over.
    pub(super) fn start_drain(&mut self, turn: &mut LedgerTurn<'_>) {
        if self.draining.is_some() {
            return;
        }
        let heirs: Vec<_> = self
            .issuer
            .witnesses(turn.now)
            .into_iter()
            .filter(|witness| self.is_peer(*witness))
            .collect();
        let mut handovers = collections::BTreeMap::new();
        for heir in &heirs {
            let state = HandoverState {
                status: HandoverStatus::Pending,
                handover: self.write_handover(turn.now, *heir),
                next_send: turn.now,
                interval: self.settings.limits.resend_first,
            };
            handovers.insert(*heir, state);
        }
        self.draining = Some(DrainState {
            handovers,
            give_up: turn.now + self.settings.limits.handover_wait,
            stage: DrainStage::Working,
        });
        self.witness.freeze();
        for heir in heirs {
            self.tend_handover(turn, heir);
        }
    }

    /// What a witness must know to open the remaining keys that name it.
    fn write_handover(
        &mut self,
        now: time::TimePoint,
        heir: names::IncarnationId,
    ) -> message::KeyHandover {
        let mut handover = message::KeyHandover {
            expired_through: self.issuer.expired_through(now).max(self.floor),
            ..message::KeyHandover::default()
        };
        for (key, record) in self.records.of(self.settings.incarnation) {
            match record.state {
                _ if record.witness != Some(heir) => {}
                record::KeyState::Closed(_) => handover.closed.push(key.sequence),
                record::KeyState::Opening(_) => handover.opening.push(key.sequence),
                record::KeyState::Running { .. } | record::KeyState::Finished(_) => {}
            }
        }
        let excess = handover
            .closed
            .len()
            .saturating_sub(self.settings.limits.listed_keys);
        if let Some(last) = handover.closed.drain(..excess).next_back() {
            handover.expired_through = handover.expired_through.max(last);
        }
        if !self.keeps(rules::OutcomeRule::ListClosed) {
            handover.closed.clear();
        }
        if !self.keeps(rules::OutcomeRule::ListOpening) {
            handover.opening.clear();
        }
        if !self.keeps(rules::OutcomeRule::ListExpired) {
            handover.expired_through = 0;
        }
        handover
    }

    /// Whether this process has sent a hand-over to a witness.
    pub(super) fn hands_over_to(&self, witness: names::IncarnationId) -> bool {
        self.handover_status(witness).is_some()
    }

    fn handover_status(&self, witness: names::IncarnationId) -> Option<HandoverStatus> {
        self.draining
            .as_ref()
            .and_then(|drain| drain.handovers.get(&witness))
            .map(|handover| handover.status)
    }

    /// Passes a request with an own key to the key's heir.
    pub(super) fn pass_to_heir(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        call: relay::KeyCall,
        waiter: record::KeyWaiter,
        heir: names::IncarnationId,
    ) {
        let status = self.handover_status(heir);
        let phase = match status {
            Some(HandoverStatus::InForce) => relay::RelayPhase::Heir,
            Some(HandoverStatus::Abandoned) => relay::RelayPhase::Closing,
            Some(HandoverStatus::Pending) | None => relay::RelayPhase::Handover,
        };
        match waiter {
            record::KeyWaiter::Local(ticket) => {
                self.add_relay(turn, ticket, call, phase);
            }
            // The other entry repeats its request until the hand-over is in force.
            record::KeyWaiter::Remote { .. } if status == Some(HandoverStatus::Pending) => {}
            record::KeyWaiter::Remote { entry, ticket, .. } => {
                let key = call.key.id;
                self.send(
                    turn,
                    entry,
                    &message::PeerMessage::NotServed { ticket, key },
                );
            }
        }
    }

    /// Sends a pending hand-over again, or gives it up.
    pub(super) fn tend_handover(&mut self, turn: &mut LedgerTurn<'_>, heir: names::IncarnationId) {
        let longest = self.settings.limits.resend_longest;
        let Some(drain) = &mut self.draining else {
            return;
        };
        let give_up = drain.give_up;
        let Some(state) = drain
            .handovers
            .get_mut(&heir)
            .filter(|state| state.status == HandoverStatus::Pending)
        else {
            return;
        };
        if turn.now >= give_up {
            return self.settle_handover(turn, heir, HandoverStatus::Abandoned);
        }
        let due = turn.now >= state.next_send;
        if due {
            state.next_send = turn.now + state.interval;
            state.interval = (state.interval * 2).min(longest);
        }
        let wake_at = state.next_send.min(give_up);
        let message = message::PeerMessage::Handover(state.handover.clone());
        self.timers.set(wake_at, timer::TimerTopic::Handover(heir));
        if due {
            self.send(turn, heir, &message);
        }
    }

    /// Takes in an heir's acknowledgement.
    pub(super) fn end_handover(&mut self, turn: &mut LedgerTurn<'_>, from: names::IncarnationId) {
        match self.handover_status(from) {
            Some(HandoverStatus::Pending | HandoverStatus::Abandoned) => {
                self.settle_handover(turn, from, HandoverStatus::InForce);
            }
            Some(HandoverStatus::InForce) | None => self.reject(),
        }
    }

    /// Gives up the hand-overs and farewells to processes that are no longer members.
    pub(super) fn drop_lost_heirs(&mut self, turn: &mut LedgerTurn<'_>) {
        let Some(drain) = &mut self.draining else {
            return;
        };
        if let DrainStage::Parting(state) = &mut drain.stage {
            let live: Vec<_> = self.peers.iter().map(|peer| peer.incarnation).collect();
            state.unheard.retain(|receiver| live.contains(receiver));
        }
        let Some(drain) = &self.draining else {
            return;
        };
        let lost: Vec<_> = drain
            .handovers
            .iter()
            .filter(|(heir, state)| {
                state.status == HandoverStatus::Pending && !self.is_live(**heir)
            })
            .map(|(heir, _)| *heir)
            .collect();
        for heir in lost {
            self.settle_handover(turn, heir, HandoverStatus::Abandoned);
        }
    }

    fn settle_handover(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        heir: names::IncarnationId,
        status: HandoverStatus,
    ) {
        if let Some(state) = self
            .draining
            .as_mut()
            .and_then(|drain| drain.handovers.get_mut(&heir))
        {
            state.status = status;
        }
        let held: Vec<_> = self
            .relays
            .iter()
            .filter(|(_, relay)| {
                relay.phase == relay::RelayPhase::Handover && relay.call.key.witness == Some(heir)
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        let phase = match status {
            HandoverStatus::InForce => relay::RelayPhase::Heir,
            HandoverStatus::Pending | HandoverStatus::Abandoned => relay::RelayPhase::Closing,
        };
        for ticket in held {
            self.turn_relay(turn, ticket, phase);
        }
    }

    /// Says farewell once the hand-overs and the last job have ended.
    pub(super) fn advance_drain(&mut self, turn: &mut LedgerTurn<'_>) {
        match &self.draining {
            Some(drain) if drain.is_handing_over() => {}
            Some(drain) if matches!(drain.stage, DrainStage::Working) => {
                if !self.records.is_busy() {
                    self.begin_farewell(turn);
                }
            }
            Some(_) | None => {}
        }
        if let Some(drain) = &mut self.draining
            && drain.is_parted(turn.now)
        {
            drain.stage = DrainStage::Finished;
            turn.actions.push(event::OutcomeAction::DrainFinished);
        }
    }

    fn begin_farewell(&mut self, turn: &mut LedgerTurn<'_>) {
        let farewell = self.write_farewell();
        let state = FarewellState {
            farewell,
            unheard: self.peers.iter().map(|peer| peer.incarnation).collect(),
            give_up: turn.now + self.settings.limits.handover_wait,
            next_send: turn.now,
            interval: self.settings.limits.resend_first,
        };
        if let Some(drain) = &mut self.draining {
            drain.stage = DrainStage::Parting(state);
        }
        self.tend_farewell(turn);
    }

    fn write_farewell(&self) -> message::KeyFarewell {
        let most = self.settings.limits.listed_keys;
        let (mut witnessed, all_listed) = self.witness.farewell(most);
        for keys in &mut witnessed {
            for (sequence, fate) in &mut keys.fates {
                let key = own_key(keys.authority, *sequence);
                if let Some(record) = self.records.get(key) {
                    *fate = record.fate();
                }
            }
        }
        let own: Vec<_> = self
            .records
            .of(self.settings.incarnation)
            .map(|(key, record)| (key.sequence, record.fate()))
            .collect();
        let excess = own.len().saturating_sub(most);
        message::KeyFarewell {
            own: own.into_iter().skip(excess).collect(),
            witnessed,
            all_listed,
        }
    }

    /// Sends the farewell again to those that have not confirmed it.
    pub(super) fn tend_farewell(&mut self, turn: &mut LedgerTurn<'_>) {
        let longest = self.settings.limits.resend_longest;
        let Some(DrainStage::Parting(state)) = self.draining.as_mut().map(|drain| &mut drain.stage)
        else {
            return;
        };
        if turn.now < state.next_send {
            return;
        }
        state.next_send = turn.now + state.interval;
        state.interval = (state.interval * 2).min(longest);
        let wake_at = state.next_send.min(state.give_up);
        let receivers = state.unheard.clone();
        let message = message::PeerMessage::Farewell(state.farewell.clone());
        self.timers.set(wake_at, timer::TimerTopic::Farewell);
        for receiver in receivers {
            self.send(turn, receiver, &message);
        }
    }

    /// Takes in a receipt for the farewell.
    pub(super) fn end_farewell(&mut self, from: names::IncarnationId) {
        if let Some(DrainStage::Parting(state)) =
            self.draining.as_mut().map(|drain| &mut drain.stage)
        {
            state.unheard.remove(&from);
        }
    }
}

impl DrainState {
    fn is_handing_over(&self) -> bool {
        self.handovers
            .values()
            .any(|state| state.status == HandoverStatus::Pending)
    }

    fn is_parted(&self, now: time::TimePoint) -> bool {
        match &self.stage {
            DrainStage::Parting(state) => state.unheard.is_empty() || now >= state.give_up,
            DrainStage::Working | DrainStage::Finished => false,
        }
    }
}
