//! The network between the entries: loses, doubles, delays and crosses messages.

use cuminkeel_outcome::message;
use cuminkeel_types::names;

use super::world::{Happening, MILLI, World};

impl World {
    pub fn transmit(
        &mut self,
        place: usize,
        from: names::IncarnationId,
        to: names::IncarnationId,
        payload: &[u8],
    ) {
        self.counts.messages += 1;
        let blocked = self
            .places_of
            .get(&to)
            .is_none_or(|target| self.blocked.contains(&(place, *target)));
        if blocked || self.chance(self.weather.lost) {
            return;
        }
        let copies = if self.chance(self.weather.doubled) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = self.delay();
            let payload = payload.to_vec();
            self.push(self.now + delay, Happening::Deliver { to, from, payload });
        }
        if self.chance(self.weather.crossed) {
            self.cross(from, to, payload);
        }
    }

    pub fn delay(&mut self) -> u64 {
        if self.chance(self.weather.very_late) {
            self.between(200, 3_000) * MILLI
        } else if self.chance(self.weather.slow) {
            self.between(1, 60) * MILLI
        } else {
            self.between(50, 400)
        }
    }

    /// Sends an answer once more, for another ticket of the receiver.
    pub fn cross(&mut self, from: names::IncarnationId, to: names::IncarnationId, payload: &[u8]) {
        let Ok(message::PeerMessage::Answer {
            key,
            digest,
            answer,
            ..
        }) = message::PeerMessage::decode(payload)
        else {
            return;
        };
        let other = self
            .tickets
            .iter()
            .filter(|((incarnation, _), ticket)| *incarnation == to && !ticket.replied)
            .map(|((_, ticket), _)| *ticket)
            .next_back();
        let Some(ticket) = other else {
            return;
        };
        let crossed = message::PeerMessage::Answer {
            ticket,
            key,
            digest,
            answer,
        };
        if let Ok(payload) = crossed.encode() {
            self.push(self.now, Happening::Deliver { to, from, payload });
        }
    }
}
