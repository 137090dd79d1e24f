//! Passing records and states between entries.

use std::time;

use cuminkeel_types::{names, time::TimePoint};
use rand::RngExt;

use super::{ConfigFollower, FollowerAction, FollowerFault};
use crate::{peer, snapshot};

/// Least time between two requests to peers.
const ASK_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Least time between two whole states sent to peers.
const STATE_INTERVAL: time::Duration = time::Duration::from_millis(200);

impl ConfigFollower {
    /// Tells one peer in this domain and one elsewhere where this entry is, or
    /// asks them if it has nothing.
    pub(super) fn announce(&mut self, now: TimePoint, actions: &mut Vec<FollowerAction>) {
        let message = match self.position().filter(|_| self.in_force) {
            Some(at) => peer::PeerMessage::Announce {
                at,
                age_millis: self.age_millis(now),
            },
            None => peer::PeerMessage::Ask { at: None },
        };
        for same_domain in [true, false] {
            if let Some(to) = self.draw_peer(same_domain) {
                send(to, &message, actions);
            }
        }
    }

    fn age_millis(&self, now: TimePoint) -> Option<u64> {
        let age = now.since(self.confirmed_at?);
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    fn draw_peer(&mut self, same_domain: bool) -> Option<names::IncarnationId> {
        let peers = self
            .peers
            .iter()
            .filter(|peer| peer.same_domain == same_domain);
        let count = peers.clone().count();
        if count == 0 {
            return None;
        }
        let index = self.rng.random_range(0..count);
        peers.clone().nth(index).map(|peer| peer.incarnation)
    }

    pub(super) fn peer_payload(
        &mut self,
        now: TimePoint,
        from: names::IncarnationId,
        payload: &[u8],
        actions: &mut Vec<FollowerAction>,
    ) {
        match peer::decode_peer(payload) {
            Ok(peer::PeerMessage::Announce { at, age_millis }) => {
                self.take_announce(now, from, at, age_millis, actions);
            }
            Ok(peer::PeerMessage::Ask { at }) => self.answer(now, from, at, actions),
            Ok(peer::PeerMessage::Records { at, records }) => {
                self.take_peer_records(at, records, actions);
            }
            Ok(peer::PeerMessage::StatePart(part)) => self.take_part(&part, actions),
            Err(peer::PeerError::NewerFormat { .. }) => {}
            Err(peer::PeerError::Malformed) => {
                self.report(FollowerFault::BadPeerMessage, actions);
            }
        }
    }

    fn take_announce(
        &mut self,
        now: TimePoint,
        from: names::IncarnationId,
        at: peer::ChainPoint,
        age_millis: Option<u64>,
        actions: &mut Vec<FollowerAction>,
    ) {
        match self.position() {
            Some(own) if own == at => self.confirm(now, age_millis),
            Some(own) if own.offset == at.offset => {
                let offset = at.offset;
                self.report(FollowerFault::Diverged { offset }, actions);
            }
            Some(own) if own.offset > at.offset => self.send_records(from, at, actions),
            own if now >= self.next_ask => {
                self.next_ask = now + ASK_INTERVAL;
                send(from, &peer::PeerMessage::Ask { at: own }, actions);
            }
            _ => {}
        }
    }

    /// A peer knew `age_millis` ago that this offset is the tail.
    fn confirm(&mut self, now: TimePoint, age_millis: Option<u64>) {
        let confirmed = age_millis.map(|age| now - time::Duration::from_millis(age));
        self.confirmed_at = self.confirmed_at.max(confirmed);
    }

    fn answer(
        &mut self,
        now: TimePoint,
        from: names::IncarnationId,
        at: Option<peer::ChainPoint>,
        actions: &mut Vec<FollowerAction>,
    ) {
        let Some(own) = self.position().filter(|_| self.in_force) else {
            return;
        };
        match at {
            Some(at) if at.offset >= own.offset => {}
            Some(at) if self.has_records(at) => self.send_records(from, at, actions),
            Some(at) if self.differs(at) => {
                let offset = at.offset;
                self.report(FollowerFault::Diverged { offset }, actions);
            }
            _ if now >= self.next_state => {
                self.next_state = now + STATE_INTERVAL;
                self.send_state(from, actions);
            }
            _ => {}
        }
    }

    fn differs(&self, at: peer::ChainPoint) -> bool {
        let known = self.history.chain_at(at.offset);
        known.is_some_and(|chain| chain != at.chain)
    }

    fn has_records(&self, at: peer::ChainPoint) -> bool {
        let room = peer::MAX_PEER_BYTES - peer::PEER_OVERHEAD_BYTES;
        self.history.chain_at(at.offset) == Some(at.chain)
            && self.history.records_from(at.offset, room).is_some()
    }

    fn send_records(
        &mut self,
        to: names::IncarnationId,
        at: peer::ChainPoint,
        actions: &mut Vec<FollowerAction>,
    ) {
        if self.differs(at) {
            let offset = at.offset;
            return self.report(FollowerFault::Diverged { offset }, actions);
        }
        let room = peer::MAX_PEER_BYTES - peer::PEER_OVERHEAD_BYTES;
        let records = self.history.records_from(at.offset, room);
        let known = self.history.chain_at(at.offset);
        match records {
            Some(records) if known == Some(at.chain) => {
                send(to, &peer::PeerMessage::Records { at, records }, actions);
            }
            _ => {}
        }
    }

    fn send_state(&mut self, to: names::IncarnationId, actions: &mut Vec<FollowerAction>) {
        let Some(fold) = &self.fold else {
            return;
        };
        let room = peer::MAX_PEER_BYTES - peer::PEER_OVERHEAD_BYTES;
        match snapshot::encode_snapshot(fold, room) {
            Ok(parts) => {
                for part in parts {
                    send(to, &peer::PeerMessage::StatePart(part), actions);
                }
            }
            Err(_) => self.report(FollowerFault::SnapshotTooLarge, actions),
        }
    }

    fn take_peer_records(
        &mut self,
        at: peer::ChainPoint,
        records: Vec<Vec<u8>>,
        actions: &mut Vec<FollowerAction>,
    ) {
        let mut at = at;
        for record in records {
            match self.position() {
                Some(own) if own == at => self.apply(record.clone().into(), actions),
                Some(own) if own.offset > at.offset && !self.differs(at) => {}
                Some(own) if own.offset >= at.offset => {
                    let offset = at.offset;
                    return self.report(FollowerFault::Diverged { offset }, actions);
                }
                _ => return,
            }
            at = peer::ChainPoint {
                offset: at.offset.saturating_add(1),
                chain: at.chain.extend(at.offset, &record),
            };
        }
    }

    fn take_part(&mut self, part: &[u8], actions: &mut Vec<FollowerAction>) {
        let Ok(part) = snapshot::decode_part(part) else {
            return;
        };
        let Some(fold) = self.peer_assembler.insert(part) else {
            return;
        };
        if self.adopt(fold, actions) {
            self.in_force = true;
        }
    }
}

fn send(to: names::IncarnationId, message: &peer::PeerMessage, actions: &mut Vec<FollowerAction>) {
    if let Some(payload) = peer::encode_peer(message) {
        actions.push(FollowerAction::SendPeer { to, payload });
    }
}
