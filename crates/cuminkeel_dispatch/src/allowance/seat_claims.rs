//! Taking seats over, handing them over, and keeping them on the log.

use std::{collections, time};

use cuminkeel_types::{names, time::TimePoint};

use super::{
    claims, event, message,
    seat_keeper::{OwnSeat, SeatKeeper, append, quiet_time, send},
    settings,
};

/// Delay after the start before the first claim, for the members to be known.
const FIRST_CLAIM_DELAY: time::Duration = time::Duration::from_secs(1);
/// Time for which a holder must be gone before its seat is claimed.
const GONE_DELAY: time::Duration = time::Duration::from_secs(1);
/// Further delay for each entry that comes before this one in the claim's order.
const RANK_DELAY: time::Duration = time::Duration::from_secs(2);
/// Time since a holder's last request in which no consent against it is given.
const HEARD_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Time after which a claim that was not read back is appended again.
pub(super) const CLAIM_RETRY: time::Duration = time::Duration::from_secs(2);
/// Time after which a claim without enough consents is given up.
const CLAIM_LIMIT: time::Duration = time::Duration::from_secs(6);
/// Least time between two handovers that level the number of seats.
pub(super) const LEVEL_INTERVAL: time::Duration = time::Duration::from_secs(3);

#[derive(Clone, Debug)]
pub(super) struct PendingClaim {
    pub(super) seat: claims::SeatEpoch,
    basis: claims::ClaimBasis,
    started: TimePoint,
    first_append: Option<TimePoint>,
    last_append: TimePoint,
}

#[derive(Clone, Debug)]
pub(super) struct GivenSeat {
    pub(super) epoch: u64,
    pub(super) to: names::IncarnationId,
    pub(super) taken: bool,
}

/// Claims and handovers under way.
#[derive(Debug)]
pub(super) struct ClaimState {
    pub(super) pending: Option<PendingClaim>,
    pub(super) given: collections::BTreeMap<settings::SeatId, GivenSeat>,
    /// Since when a seat has no live holder.
    gone_since: collections::BTreeMap<settings::SeatId, TimePoint>,
    first_claim: TimePoint,
    pub(super) next_level: TimePoint,
    next_refresh: TimePoint,
    pub(super) next_release: TimePoint,
}

impl ClaimState {
    pub(super) fn new(now: TimePoint, refresh_interval: time::Duration) -> Self {
        Self {
            pending: None,
            given: collections::BTreeMap::new(),
            gone_since: collections::BTreeMap::new(),
            first_claim: now + FIRST_CLAIM_DELAY,
            next_level: now + FIRST_CLAIM_DELAY + LEVEL_INTERVAL,
            next_refresh: now + refresh_interval,
            next_release: now,
        }
    }

    /// Whether a seat was handed to this entry that the log does not show yet.
    pub(super) fn gave_to(&self, incarnation: names::IncarnationId) -> bool {
        self.given.values().any(|given| given.to == incarnation)
    }
}

impl SeatKeeper {
    pub(super) fn run_claims(&mut self, now: TimePoint, actions: &mut Vec<event::LedgerAction>) {
        self.forget_settled();
        self.send_handovers(actions);
        self.refresh(now, actions);
        if self.leaving {
            self.hand_all_over(now, actions);
        } else if now >= self.claims.first_claim {
            self.level_seats(now, actions);
            self.choose_claim(now);
        }
        self.push_claim(now, actions);
    }

    fn forget_settled(&mut self) {
        let table = &self.table;
        let behind = |seat: settings::SeatId, epoch: u64| {
            table
                .holder(seat)
                .is_some_and(|holder| holder.epoch >= epoch)
        };
        if let Some(pending) = &self.claims.pending
            && behind(pending.seat.seat, pending.seat.epoch)
        {
            self.claims.pending = None;
        }
        self.claims
            .given
            .retain(|seat, given| !behind(*seat, given.epoch + 1));
    }

    /// Picks a seat of this domain to claim, if none is under way.
    fn choose_claim(&mut self, now: TimePoint) {
        let Some(domain) = self.domain else {
            return;
        };
        for index in 0..self.settings.seats.seats_per_domain() {
            let seat = settings::SeatId { domain, index };
            let choice = self.basis_for(now, seat);
            if let Some((epoch, basis)) = choice.filter(|_| self.claims.pending.is_none()) {
                self.claims.pending = Some(PendingClaim {
                    seat: claims::SeatEpoch { seat, epoch },
                    basis,
                    started: now,
                    first_append: None,
                    last_append: now,
                });
            }
        }
    }

    /// On what ground this entry may claim the seat now, and in which epoch.
    fn basis_for(
        &mut self,
        now: TimePoint,
        seat: settings::SeatId,
    ) -> Option<(u64, claims::ClaimBasis)> {
        let local = &self.settings.local;
        let Some(known) = self.table.holder(seat).cloned() else {
            let due = self.table.knows_all() && self.gone_long(now, seat, time::Duration::ZERO);
            return due.then_some((1, claims::ClaimBasis::Vacant));
        };
        let next = known.epoch.saturating_add(1);
        match known.holder {
            _ if self
                .own
                .get(&seat)
                .is_some_and(|own| own.epoch == known.epoch) =>
            {
                self.claims.gone_since.remove(&seat);
                let refused = self.own.get(&seat).is_some_and(|own| own.refused);
                match known.holder {
                    holder if holder != Some(local.incarnation) => {
                        Some((next, claims::ClaimBasis::Handover))
                    }
                    _ if refused => Some((next, claims::ClaimBasis::SamePlace)),
                    _ => None,
                }
            }
            None => {
                let due = self.gone_long(now, seat, time::Duration::ZERO);
                due.then_some((next, claims::ClaimBasis::Vacant))
            }
            Some(holder) if holder != local.incarnation && known.vm == local.vm => {
                Some((next, claims::ClaimBasis::SamePlace))
            }
            Some(holder) if self.stands_for(seat, holder) => {
                self.claims.gone_since.remove(&seat);
                None
            }
            Some(_) => {
                let due = self.gone_long(now, seat, GONE_DELAY);
                due.then(|| (next, claims::ClaimBasis::Consents(Vec::new())))
            }
        }
    }

    /// Whether the holder, or the entry it handed the seat to, is live.
    fn stands_for(&self, seat: settings::SeatId, holder: names::IncarnationId) -> bool {
        match self.claims.given.get(&seat) {
            Some(given) if holder == self.settings.local.incarnation => self.is_live(given.to),
            _ => self.is_live(holder) && holder != self.settings.local.incarnation,
        }
    }

    /// Whether the seat has been without a live holder for the delay and this
    /// entry's turn to claim it has come.
    fn gone_long(&mut self, now: TimePoint, seat: settings::SeatId, delay: time::Duration) -> bool {
        let since = *self.claims.gone_since.entry(seat).or_insert(now);
        let rank = self.claim_rank(seat);
        now.since(since) >= delay + RANK_DELAY * rank
    }

    /// Position of this entry in the order of those that claim the seat.
    fn claim_rank(&self, seat: settings::SeatId) -> u32 {
        let local = self.settings.local.incarnation;
        let mut entries: Vec<_> = self.neighbours().map(|member| member.incarnation).collect();
        entries.push(local);
        entries.sort_unstable();
        let own = entries
            .iter()
            .position(|entry| *entry == local)
            .unwrap_or(0);
        let first = usize::from(seat.index) % entries.len();
        let rank = (own + entries.len() - first) % entries.len();
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Collects consents for the pending claim, or appends it.
    fn push_claim(&mut self, now: TimePoint, actions: &mut Vec<event::LedgerAction>) {
        let voters = self.voters(now);
        self.drop_old_claim(now);
        let Some(pending) = &mut self.claims.pending else {
            return;
        };
        if let claims::ClaimBasis::Consents(votes) = &mut pending.basis {
            let promise = self.promises.entry(pending.seat.seat).or_default();
            *promise = (*promise).max(pending.seat.epoch);
            add_votes(votes, pending.seat, &voters);
            if votes.len() < self.settings.seats.blocking() {
                let seat = pending.seat;
                let message = message::ShareMessage::ConsentAsk { seat };
                for neighbour in self.neighbours() {
                    send(neighbour.incarnation, &message, actions);
                }
                return;
            }
        }
        let first = pending.first_append.is_none();
        if first || now.since(pending.last_append) >= CLAIM_RETRY {
            pending.first_append.get_or_insert(now);
            pending.last_append = now;
            let record = claims::SeatRecord::Claim {
                seat: pending.seat,
                holder: self.settings.local.incarnation,
                vm: self.settings.local.vm.clone(),
                basis: pending.basis.clone(),
            };
            append(&record, actions);
        }
    }

    /// Gives up a claim that does not come through, to judge its ground anew.
    fn drop_old_claim(&mut self, now: TimePoint) {
        if let Some(pending) = &self.claims.pending
            && now.since(pending.started) > CLAIM_LIMIT
        {
            let seat = pending.seat.seat;
            self.claims.pending = None;
            self.claims.gone_since.remove(&seat);
        }
    }

    /// Answers a request for consent.
    pub(super) fn consent(
        &mut self,
        now: TimePoint,
        from: names::IncarnationId,
        seat: claims::SeatEpoch,
        actions: &mut Vec<event::LedgerAction>,
    ) {
        let heard = self.heard.get(&seat.seat);
        let holder_lives = heard.is_some_and(|heard| now.since(*heard) < HEARD_TIME)
            || self.own.contains_key(&seat.seat);
        let known = self
            .table
            .holder(seat.seat)
            .map_or(0, |holder| holder.epoch);
        let voters = self.voters(now);
        if holder_lives || voters.is_empty() || seat.epoch != known.saturating_add(1) {
            return;
        }
        let promise = self.promises.entry(seat.seat).or_default();
        *promise = (*promise).max(seat.epoch);
        send(
            from,
            &message::ShareMessage::Consent { seat, voters },
            actions,
        );
    }

    pub(super) fn take_consent(&mut self, seat: claims::SeatEpoch, voters: &[claims::SeatEpoch]) {
        if let Some(pending) = &mut self.claims.pending
            && pending.seat == seat
            && let claims::ClaimBasis::Consents(votes) = &mut pending.basis
        {
            add_votes(votes, seat, voters);
        }
    }

    /// Takes in a claim that was just folded.
    pub(super) fn take_claim(
        &mut self,
        now: TimePoint,
        claim: claims::SeatEpoch,
        basis: &claims::ClaimBasis,
    ) {
        self.drop_lost(claim.seat);
        let local = self.settings.local.incarnation;
        let Some(known) = self.table.holder(claim.seat) else {
            return;
        };
        // A claim that lands after the seat was handed over does not bring it
        // back: its receiver may use it without having read the claim.
        let given = self.claims.given.contains_key(&claim.seat);
        if given || known.holder != Some(local) || known.epoch != claim.epoch {
            return;
        }
        let pending = self
            .claims
            .pending
            .as_ref()
            .filter(|pending| pending.seat == claim);
        // The record may stem from the first append, so the proof counts from there.
        let appended = pending.and_then(|pending| pending.first_append);
        let log_until = appended.map_or(TimePoint::ZERO, |sent| sent + settings::SEAT_VALID);
        let expiry = now + settings::stretched(settings::SEAT_VALID);
        let quiet = quiet_time(&self.settings);
        let own = self.own.remove(&claim.seat);
        let own = match (own, basis) {
            (Some(own), _) => OwnSeat::new(claim.epoch, own.usable_at, own.votes_from, log_until),
            (None, claims::ClaimBasis::Vacant) if claim.epoch == 1 => {
                OwnSeat::new(claim.epoch, now, now, log_until)
            }
            (None, claims::ClaimBasis::Vacant | claims::ClaimBasis::SamePlace) => {
                OwnSeat::new(claim.epoch, now + quiet, now, log_until)
            }
            (None, claims::ClaimBasis::Consents(_) | claims::ClaimBasis::Handover) => {
                OwnSeat::new(claim.epoch, expiry + quiet, expiry, log_until)
            }
        };
        self.own.insert(claim.seat, own);
    }

    /// Writes the own seats again, so that they outlive the log's retention.
    fn refresh(&mut self, now: TimePoint, actions: &mut Vec<event::LedgerAction>) {
        if now < self.claims.next_refresh {
            return;
        }
        self.claims.next_refresh = now + self.settings.refresh_interval;
        let first = self
            .neighbours()
            .all(|member| member.incarnation > self.settings.local.incarnation);
        for (seat, known) in self.table.holders() {
            let local = known.holder == Some(self.settings.local.incarnation);
            let orphan = known.holder.is_none_or(|holder| !self.is_live(holder));
            if Some(seat.domain) != self.domain || !(local || (orphan && first)) {
                continue;
            }
            let record = claims::SeatRecord::Refresh {
                seat: claims::SeatEpoch {
                    seat,
                    epoch: known.epoch,
                },
                holder: known.holder,
                vm: known.vm.clone(),
            };
            append(&record, actions);
        }
    }
}

fn add_votes(
    votes: &mut Vec<claims::SeatEpoch>,
    target: claims::SeatEpoch,
    added: &[claims::SeatEpoch],
) {
    for voter in added {
        votes.retain(|vote| vote.seat != voter.seat || vote.epoch >= voter.epoch);
        let known = votes.iter().any(|vote| vote.seat == voter.seat);
        if !known && voter.seat != target.seat {
            votes.push(*voter);
        }
    }
}
