//! Openings of own keys: the witness must grant each before its job starts.

use cuminkeel_types::{names, outcome};

use super::{LedgerTurn, OutcomeLedger, own_key};
use crate::{key, message, record, relay, rules, timer};

/// Part of the time to the deadline that an opening may take.
const OPENING_DIVISOR: u32 = 2;

impl OutcomeLedger {
    /// Asks the witness to grant an unseen key; without a live witness, or for
    /// a cancellation, the key is closed.
    pub(super) fn begin_opening(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        call: &relay::KeyCall,
        waiter: record::KeyWaiter,
        witness: names::IncarnationId,
    ) {
        let id = call.key.id;
        let closed = record::KeyState::Closed(outcome::RefusalCode::KeyUnresolved);
        let spec = match &call.request {
            message::KeyRequest::Submit(spec) if self.is_live(witness) => spec.clone(),
            message::KeyRequest::Submit(_) => {
                self.add_record(turn, call, waiter, closed);
                return self.close_key(turn, id, outcome::RefusalCode::KeyUnresolved);
            }
            message::KeyRequest::Cancel => {
                self.add_record(turn, call, waiter, closed);
                return self.close_key(turn, id, outcome::RefusalCode::Cancelled);
            }
        };
        let limits = &self.settings.limits;
        let time_left = call.deadline.since(turn.now);
        let opening = record::KeyOpening {
            witness,
            spec: spec.clone(),
            deadline: call.deadline,
            give_up: turn.now + limits.open_wait.min(time_left / OPENING_DIVISOR),
            next_send: turn.now,
            interval: limits.resend_first,
        };
        self.add_record(turn, call, waiter, record::KeyState::Opening(opening));
        self.tend_opening(turn, id);
        if !self.keeps(rules::OutcomeRule::AwaitWitness) {
            self.start_job(turn, id, &spec, call.deadline);
        }
    }

    /// Asks the witness again, or closes the key if it stayed silent too long.
    pub(super) fn tend_opening(&mut self, turn: &mut LedgerTurn<'_>, key: key::KeyId) {
        let longest = self.settings.limits.resend_longest;
        let Some(record::KeyState::Opening(opening)) =
            self.records.get_mut(key).map(|record| &mut record.state)
        else {
            return;
        };
        if turn.now >= opening.give_up {
            return self.close_key(turn, key, outcome::RefusalCode::KeyUnresolved);
        }
        let (witness, due) = (opening.witness, turn.now >= opening.next_send);
        if due {
            opening.next_send = turn.now + opening.interval;
            opening.interval = (opening.interval * 2).min(longest);
        }
        let wake_at = opening.next_send.min(opening.give_up);
        self.timers.set(wake_at, timer::TimerTopic::Opening(key));
        if due {
            let sequence = key.sequence;
            self.send(turn, witness, &message::PeerMessage::Open { sequence });
        }
    }

    /// Takes in a witness's reply to an opening.
    pub(super) fn end_opening(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        from: names::IncarnationId,
        sequence: u64,
        granted: bool,
    ) {
        let key = own_key(self.settings.incarnation, sequence);
        let (spec, deadline) = match self.records.get(key).map(|record| &record.state) {
            Some(record::KeyState::Opening(opening)) if opening.witness == from => {
                (opening.spec.clone(), opening.deadline)
            }
            _ => return,
        };
        if granted {
            self.start_job(turn, key, &spec, deadline);
        } else {
            self.close_key(turn, key, outcome::RefusalCode::KeyClosed);
        }
    }

    /// Closes the keys whose witness is no longer a member: without it their
    /// jobs can't start.
    pub(super) fn close_unwitnessed(&mut self, turn: &mut LedgerTurn<'_>) {
        let lost: Vec<_> = self
            .records
            .of(self.settings.incarnation)
            .filter_map(|(key, record)| match &record.state {
                record::KeyState::Opening(opening) if !self.is_live(opening.witness) => Some(key),
                _ => None,
            })
            .collect();
        for key in lost {
            self.close_key(turn, key, outcome::RefusalCode::KeyUnresolved);
        }
    }
}
