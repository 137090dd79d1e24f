//! Handing seats over to neighbours.

use cuminkeel_types::{names, time::TimePoint};

use super::{
    claims, event, message,
    seat_claims::{CLAIM_RETRY, GivenSeat, LEVEL_INTERVAL},
    seat_keeper::{OwnSeat, SeatKeeper, append, quiet_time, send},
    settings,
};

impl SeatKeeper {
    /// Gives a seat to a neighbour that has two fewer.
    pub(super) fn level_seats(&mut self, now: TimePoint, actions: &mut Vec<event::LedgerAction>) {
        let idle = self.claims.pending.is_none() && self.claims.given.is_empty();
        if now < self.claims.next_level || !idle || self.own.len() < 2 {
            return;
        }
        self.claims.next_level = now + LEVEL_INTERVAL;
        let poorest = self
            .neighbours()
            .map(|member| (self.seats_of(member.incarnation), member.incarnation))
            .min();
        let seat = self.own.keys().next_back().copied();
        match (poorest, seat) {
            (Some((count, to)), Some(seat)) if count + 2 <= self.own.len() => {
                self.hand_over(seat, to);
                self.send_handovers(actions);
            }
            _ => {}
        }
    }

    fn seats_of(&self, incarnation: names::IncarnationId) -> usize {
        let holders = self.table.holders();
        holders
            .filter(|(_, holder)| holder.holder == Some(incarnation))
            .count()
    }

    /// Hands every seat to a neighbour, or releases it if there is none.
    pub(super) fn hand_all_over(&mut self, now: TimePoint, actions: &mut Vec<event::LedgerAction>) {
        let neighbours: Vec<_> = self.neighbours().map(|member| member.incarnation).collect();
        let seats: Vec<_> = self.own.keys().copied().collect();
        if let Some(last) = neighbours.len().checked_sub(1) {
            for (turn, seat) in seats.into_iter().enumerate() {
                self.hand_over(seat, neighbours[turn % (last + 1)]);
            }
            return self.send_handovers(actions);
        }
        if now < self.claims.next_release {
            return;
        }
        self.claims.next_release = now + CLAIM_RETRY;
        let holder = self.settings.local.incarnation;
        for (seat, own) in &self.own {
            let epoch = own.epoch;
            let seat = claims::SeatEpoch { seat: *seat, epoch };
            append(&claims::SeatRecord::Release { seat, holder }, actions);
        }
    }

    fn hand_over(&mut self, seat: settings::SeatId, to: names::IncarnationId) {
        if let Some(pending) = &self.claims.pending
            && pending.seat.seat == seat
        {
            self.claims.pending = None;
        }
        if let Some(own) = self.own.remove(&seat) {
            let given = GivenSeat {
                epoch: own.epoch,
                to,
                taken: false,
            };
            self.claims.given.insert(seat, given);
        }
    }

    pub(super) fn send_handovers(&self, actions: &mut Vec<event::LedgerAction>) {
        for (seat, given) in &self.claims.given {
            if given.taken {
                continue;
            }
            let message = message::ShareMessage::Handover {
                seat: claims::SeatEpoch {
                    seat: *seat,
                    epoch: given.epoch,
                },
                promises: self.known_epochs(),
            };
            send(given.to, &message, actions);
        }
    }

    /// The epochs below which this entry vouches for no holder.
    fn known_epochs(&self) -> Vec<claims::SeatEpoch> {
        let mut epochs = self.promises.clone();
        for (seat, known) in self.table.holders() {
            let epoch = epochs.entry(seat).or_default();
            *epoch = (*epoch).max(known.epoch);
        }
        let epochs = epochs
            .into_iter()
            .filter(|(seat, _)| Some(seat.domain) == self.domain);
        epochs
            .map(|(seat, epoch)| claims::SeatEpoch { seat, epoch })
            .collect()
    }

    /// Takes a seat from its holder.
    pub(super) fn take_handover(
        &mut self,
        now: TimePoint,
        from: names::IncarnationId,
        seat: claims::SeatEpoch,
        promises: &[claims::SeatEpoch],
        actions: &mut Vec<event::LedgerAction>,
    ) {
        let known = self
            .table
            .holder(seat.seat)
            .map_or(0, |holder| holder.epoch);
        // A seat that this entry consented to be claimed is void in other hands.
        let floor = self.promises.get(&seat.seat).copied().unwrap_or(0);
        let known = known.max(floor);
        let gave = self
            .claims
            .given
            .get(&seat.seat)
            .is_some_and(|given| given.epoch >= seat.epoch);
        let fresh = !self.own.contains_key(&seat.seat) && known <= seat.epoch && !gave;
        if fresh && self.leaving {
            return;
        }
        if fresh {
            for promise in promises {
                let own = self.promises.entry(promise.seat).or_default();
                *own = (*own).max(promise.epoch);
            }
            // The seat's earlier holder consented to claims against these, and
            // its vote must not count for them in other hands.
            let promises = &self.promises;
            self.own
                .retain(|seat, own| promises.get(seat).is_none_or(|epoch| own.epoch >= *epoch));
            let usable_at = now + quiet_time(&self.settings);
            let own = OwnSeat::new(seat.epoch, usable_at, now, TimePoint::ZERO);
            self.own.insert(seat.seat, own);
        }
        send(
            from,
            &message::ShareMessage::HandoverTaken { seat },
            actions,
        );
    }

    pub(super) fn handover_taken(&mut self, from: names::IncarnationId, seat: claims::SeatEpoch) {
        if let Some(given) = self.claims.given.get_mut(&seat.seat) {
            given.taken |= given.to == from && given.epoch == seat.epoch;
        }
    }

    /// Whether every seat was taken by another entry or released.
    pub(super) fn has_left(&self) -> bool {
        let local = Some(self.settings.local.incarnation);
        let released = self.own.keys().all(|seat| {
            self.table
                .holder(*seat)
                .is_some_and(|holder| holder.holder != local)
        });
        self.leaving && released && self.claims.given.values().all(|given| given.taken)
    }
}
