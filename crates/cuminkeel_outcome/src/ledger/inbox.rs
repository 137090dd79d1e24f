//! Messages of other entries' ledgers.

use cuminkeel_types::names;

use super::{LedgerTurn, OutcomeLedger, fits};
use crate::{digest, event, key, message, record, relay, rules};

impl OutcomeLedger {
    /// Takes in one message. What can't be read or fits nothing is counted and dropped.
    pub(super) fn receive(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        from: names::IncarnationId,
        payload: &[u8],
    ) {
        let Ok(message) = message::PeerMessage::decode(payload) else {
            return self.reject();
        };
        match message {
            message::PeerMessage::Open { sequence } => self.grant(turn, from, sequence),
            message::PeerMessage::OpenReply { sequence, granted } => {
                self.end_opening(turn, from, sequence, granted);
            }
            message::PeerMessage::Forward { .. } => self.receive_forward(turn, from, message),
            message::PeerMessage::Ask {
                ticket,
                key,
                digest,
            } => self.receive_ask(turn, from, ticket, key, digest),
            message::PeerMessage::Close { ticket, key } => {
                let verdict = self.close_witnessed(turn, key);
                let reply = message::PeerMessage::CloseReply {
                    ticket,
                    key,
                    verdict,
                };
                self.send(turn, from, &reply);
            }
            message::PeerMessage::Handover(handover) => {
                self.witness.inherit(turn.now, from, &handover);
                self.send(turn, from, &message::PeerMessage::HandoverReply);
            }
            message::PeerMessage::HandoverReply => self.end_handover(turn, from),
            message::PeerMessage::Farewell(farewell) => {
                self.farewells.keep(turn.now, from, farewell);
                self.answer_told(turn);
                self.send(turn, from, &message::PeerMessage::FarewellReply);
            }
            message::PeerMessage::FarewellReply => self.end_farewell(from),
            message::PeerMessage::Accepted { .. }
            | message::PeerMessage::Unheard { .. }
            | message::PeerMessage::NotServed { .. }
            | message::PeerMessage::Answer { .. }
            | message::PeerMessage::CloseReply { .. } => {
                self.receive_reply(turn, from, message);
            }
        }
    }

    /// Takes in a reply to a request that this entry passed on.
    fn receive_reply(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        from: names::IncarnationId,
        message: message::PeerMessage,
    ) {
        match message {
            message::PeerMessage::Accepted { ticket, key } => {
                self.relay_accepted(turn, from, ticket, key);
            }
            message::PeerMessage::Unheard { ticket, key } => {
                self.relay_unheard(turn, from, ticket, key);
            }
            message::PeerMessage::NotServed { ticket, key } => {
                self.relay_not_served(turn, from, ticket, key);
            }
            message::PeerMessage::Answer {
                ticket,
                key,
                digest,
                answer,
            } => self.relay_answered(turn, from, ticket, key, digest, answer),
            message::PeerMessage::CloseReply {
                ticket,
                key,
                verdict,
            } => self.receive_verdict(turn, from, ticket, key, verdict),
            _ => self.reject(),
        }
    }

    /// Answers an authority that is about to start a key's job.
    fn grant(&mut self, turn: &mut LedgerTurn<'_>, from: names::IncarnationId, sequence: u64) {
        let key = key::KeyId {
            authority: from,
            sequence,
        };
        let granted = self.witness.open(turn.now, key);
        let reply = message::PeerMessage::OpenReply { sequence, granted };
        self.send(turn, from, &reply);
    }

    fn receive_forward(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        from: names::IncarnationId,
        message: message::PeerMessage,
    ) {
        let message::PeerMessage::Forward {
            ticket,
            token,
            request,
            time_left,
        } = message
        else {
            return;
        };
        let Ok(key) = self.settings.sealer.open(&token) else {
            return self.reject();
        };
        let bound = self.keeps(rules::OutcomeRule::BindCustomer);
        match &request {
            message::KeyRequest::Submit(spec) if bound && spec.customer != key.customer => {
                return self.reject();
            }
            message::KeyRequest::Submit(_) | message::KeyRequest::Cancel => {}
        }
        let digest = request.digest();
        let call = relay::KeyCall {
            key,
            token,
            request,
            digest,
            deadline: turn.now + time_left,
        };
        let waiter = record::KeyWaiter::Remote {
            entry: from,
            ticket,
            digest,
        };
        self.serve(turn, call, waiter);
    }

    /// Answers an entry that asks how its forwarded request stands.
    fn receive_ask(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        from: names::IncarnationId,
        ticket: event::TicketId,
        key: key::KeyId,
        digest: Option<digest::JobDigest>,
    ) {
        let waiter = record::KeyWaiter::Remote {
            entry: from,
            ticket,
            digest,
        };
        match self.records.get(key) {
            Some(record) if fits(record.digest, digest) => {
                self.report(turn, key, waiter);
            }
            Some(_) | None => {
                let message = message::PeerMessage::Unheard { ticket, key };
                self.send(turn, from, &message);
            }
        }
    }

    fn receive_verdict(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        from: names::IncarnationId,
        ticket: event::TicketId,
        key: key::KeyId,
        verdict: message::CloseVerdict,
    ) {
        match self.awaited_relay(from, ticket, key) {
            Some(relay) if relay.phase == relay::RelayPhase::Closing => {
                self.end_closing(turn, ticket, verdict);
            }
            Some(_) | None => self.reject(),
        }
    }
}
