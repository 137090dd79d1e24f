//! The seats of one entry, and the proofs that they are still its own.
//!
//! Who holds a seat is agreed on the platform's log alone. A holder uses a seat
//! only for [`settings::SEAT_VALID`] after it asked and got votes of more than
//! half of its domain's seats, its own included, or after it wrote a heartbeat
//! that it read back from the log without a later holder. A voter that consented
//! to a claim never vouches for an earlier epoch again, and a claim needs so
//! many consents that the rest is no majority. So a failure domain that is cut
//! off from the platform keeps its seats, and of two parts of a domain at most
//! one uses a seat.

use std::{collections, time};

use cuminkeel_types::{names, time::TimePoint};

use super::{claims, event, message, settings};

/// Rounds whose send time is remembered.
const REMEMBERED_ROUNDS: usize = 16;

/// One seat that this entry holds.
#[derive(Clone, Debug)]
pub(super) struct OwnSeat {
    pub(super) epoch: u64,
    /// Until then, loans and tasks of the holder before count on the seat.
    pub(super) usable_at: TimePoint,
    /// Until then, the holder before may still vote with the seat.
    pub(super) votes_from: TimePoint,
    /// Votes of other seats and when they end.
    votes: collections::BTreeMap<settings::SeatId, TimePoint>,
    /// End of the proof by the log.
    log_until: TimePoint,
    /// Whether a voter promised not to vouch for this epoch.
    pub(super) refused: bool,
}

impl OwnSeat {
    pub(super) fn new(
        epoch: u64,
        usable_at: TimePoint,
        votes_from: TimePoint,
        log_until: TimePoint,
    ) -> Self {
        Self {
            epoch,
            usable_at,
            votes_from,
            votes: collections::BTreeMap::new(),
            log_until,
            refused: false,
        }
    }
}

/// Seats by holder, as the log shows them.
pub(super) type HeldSeats = collections::BTreeMap<names::IncarnationId, Vec<settings::SeatId>>;

/// The seats of one entry.
#[derive(Debug)]
pub(super) struct SeatKeeper {
    pub(super) settings: settings::LedgerSettings,
    pub(super) domain: Option<u16>,
    pub(super) table: claims::SeatTable,
    pub(super) own: collections::BTreeMap<settings::SeatId, OwnSeat>,
    pub(super) members: Vec<settings::ShareMember>,
    /// Lowest epoch of each seat that this entry may vouch for.
    pub(super) promises: collections::BTreeMap<settings::SeatId, u64>,
    /// When the holder of a seat last asked to vouch for it.
    pub(super) heard: collections::BTreeMap<settings::SeatId, TimePoint>,
    pub(super) claims: super::seat_claims::ClaimState,
    rounds: collections::VecDeque<(u64, TimePoint)>,
    next_round: TimePoint,
    next_claim: TimePoint,
    heartbeats: collections::VecDeque<(u64, TimePoint)>,
    next_number: u64,
    pub(super) leaving: bool,
}

impl SeatKeeper {
    pub(super) fn new(now: TimePoint, settings: settings::LedgerSettings) -> Self {
        let domain = settings.seats.domain(&settings.local.domain);
        Self {
            domain,
            table: claims::SeatTable::default(),
            own: collections::BTreeMap::new(),
            members: Vec::new(),
            promises: collections::BTreeMap::new(),
            heard: collections::BTreeMap::new(),
            claims: super::seat_claims::ClaimState::new(now, settings.refresh_interval),
            rounds: collections::VecDeque::new(),
            next_round: now,
            next_claim: now,
            heartbeats: collections::VecDeque::new(),
            next_number: 0,
            leaving: false,
            settings,
        }
    }

    /// Seats whose units this entry may use and lend now.
    pub(super) fn usable(&self, now: TimePoint) -> impl Iterator<Item = settings::SeatId> {
        let usable = self.own.iter().filter(move |(_, own)| {
            !self.leaving && own.usable_at <= now && self.is_valid(now, own)
        });
        usable.map(|(seat, _)| *seat)
    }

    /// Seats that this entry may vote with now.
    pub(super) fn voters(&self, now: TimePoint) -> Vec<claims::SeatEpoch> {
        let voters = self
            .own
            .iter()
            .filter(|(_, own)| own.votes_from <= now && self.is_valid(now, own));
        let voters = voters.map(|(seat, own)| claims::SeatEpoch {
            seat: *seat,
            epoch: own.epoch,
        });
        voters.collect()
    }

    fn own_votes(&self, now: TimePoint) -> usize {
        self.own
            .values()
            .filter(|own| own.votes_from <= now)
            .count()
    }

    fn is_valid(&self, now: TimePoint, own: &OwnSeat) -> bool {
        own.log_until > now || self.has_majority(now, own)
    }

    fn has_majority(&self, now: TimePoint, own: &OwnSeat) -> bool {
        let others = own
            .votes
            .iter()
            .filter(|(seat, until)| **until > now && !self.own.contains_key(seat));
        self.own_votes(now) + others.count() >= self.settings.seats.majority()
    }

    /// Live entries of this failure domain without this one.
    pub(super) fn neighbours(&self) -> impl Iterator<Item = &settings::ShareMember> {
        let domain = &self.settings.local.domain;
        self.members
            .iter()
            .filter(move |member| member.domain == *domain)
    }

    /// Seats by holder, as the log shows them.
    pub(super) fn held_seats(&self) -> HeldSeats {
        let mut held = HeldSeats::new();
        for (seat, known) in self.table.holders() {
            if let Some(holder) = known.holder {
                held.entry(holder).or_default().push(seat);
            }
        }
        held
    }

    pub(super) fn is_live(&self, incarnation: names::IncarnationId) -> bool {
        incarnation == self.settings.local.incarnation
            || self
                .members
                .iter()
                .any(|member| member.incarnation == incarnation)
    }

    /// When [`Self::run_due`] is wanted next; none if there is nothing to do.
    pub(super) fn next_wakeup(&self) -> Option<TimePoint> {
        self.domain.map(|_| self.next_round.min(self.next_claim))
    }

    /// Proofs, claims and handovers that are due.
    pub(super) fn run_due(&mut self, now: TimePoint, actions: &mut Vec<event::LedgerAction>) {
        if self.domain.is_none() {
            return;
        }
        if now >= self.next_round {
            self.next_round = now + settings::VOUCH_INTERVAL;
            self.write_heartbeat(now, actions);
            self.ask_votes(now, actions);
        }
        if now >= self.next_claim {
            self.next_claim = now + settings::CLAIM_INTERVAL;
            self.run_claims(now, actions);
        }
    }

    fn ask_votes(&mut self, now: TimePoint, actions: &mut Vec<event::LedgerAction>) {
        let majority = self.settings.seats.majority();
        let own_votes = self.own_votes(now);
        if self.own.is_empty() || own_votes >= majority {
            return;
        }
        let round = self.take_number();
        remember(&mut self.rounds, round, now);
        let seats = self.own.iter().map(|(seat, own)| claims::SeatEpoch {
            seat: *seat,
            epoch: own.epoch,
        });
        let seats = seats.collect();
        let message = message::ShareMessage::VouchAsk { round, seats };
        let steady = self
            .own
            .values()
            .all(|own| self.has_majority(now + settings::VOUCH_INTERVAL, own));
        let needed = if steady {
            majority - own_votes
        } else {
            usize::MAX
        };
        for voter in self.voter_entries().into_iter().take(needed) {
            send(voter, &message, actions);
        }
    }

    /// Live neighbours that hold seats, those after this entry first.
    fn voter_entries(&self) -> Vec<names::IncarnationId> {
        let holders = self.table.holders().filter_map(|(_, holder)| holder.holder);
        let holders: collections::BTreeSet<_> = holders.collect();
        let local = self.settings.local.incarnation;
        let mut voters: Vec<_> = self
            .neighbours()
            .map(|member| member.incarnation)
            .filter(|incarnation| {
                holders.contains(incarnation) || self.claims.gave_to(*incarnation)
            })
            .collect();
        voters.sort_by_key(|incarnation| (*incarnation < local, *incarnation));
        voters
    }

    /// Proves the seats by the log while votes are not enough.
    fn write_heartbeat(&mut self, now: TimePoint, actions: &mut Vec<event::LedgerAction>) {
        let soon = now + settings::SEAT_VALID / 2;
        let lacks_votes = self.own.values().any(|own| !self.has_majority(soon, own));
        if !lacks_votes {
            return;
        }
        let number = self.take_number();
        remember(&mut self.heartbeats, number, now);
        let holder = self.settings.local.incarnation;
        append(&claims::SeatRecord::Heartbeat { holder, number }, actions);
    }

    fn take_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Answers a request to vouch.
    pub(super) fn vouch(
        &mut self,
        now: TimePoint,
        from: names::IncarnationId,
        round: u64,
        asked: Vec<claims::SeatEpoch>,
        actions: &mut Vec<event::LedgerAction>,
    ) {
        let voters = self.voters(now);
        let seats: Vec<_> = asked
            .into_iter()
            .filter(|seat| self.may_vouch(*seat))
            .collect();
        for seat in &seats {
            self.heard.insert(seat.seat, now);
        }
        if !voters.is_empty() {
            let message = message::ShareMessage::Vouch {
                round,
                seats,
                voters,
            };
            send(from, &message, actions);
        }
    }

    fn may_vouch(&self, seat: claims::SeatEpoch) -> bool {
        let promised = self.promises.get(&seat.seat).copied().unwrap_or(0);
        let known = self
            .table
            .holder(seat.seat)
            .map_or(0, |holder| holder.epoch);
        Some(seat.seat.domain) == self.domain && seat.epoch >= promised.max(known)
    }

    /// Takes votes in; they count from the time that the request was sent.
    pub(super) fn take_vouch(
        &mut self,
        round: u64,
        seats: &[claims::SeatEpoch],
        voters: &[claims::SeatEpoch],
    ) {
        let Some(sent) = recall(&self.rounds, round) else {
            return;
        };
        for (seat, own) in &mut self.own {
            let epoch = own.epoch;
            let asked = claims::SeatEpoch { seat: *seat, epoch };
            if !seats.contains(&asked) {
                own.refused = true;
                continue;
            }
            for voter in voters {
                let until = sent + settings::SEAT_VALID;
                let vote = own.votes.entry(voter.seat).or_insert(until);
                *vote = (*vote).max(until);
            }
        }
    }

    /// Folds a page of the log.
    pub(super) fn seats_read(
        &mut self,
        now: TimePoint,
        records: &[claims::SeatPageRecord],
        head: u64,
        tail: u64,
    ) {
        self.table.note_page(head, tail);
        for record in records {
            let decoded = claims::decode_seat(&record.payload);
            let next = self
                .table
                .apply(&self.settings.seats, record.offset, decoded.as_ref());
            if let Some(decoded) = decoded.filter(|_| next) {
                self.take_record(now, &decoded);
            }
        }
        self.table.note_page(head, tail);
    }

    fn take_record(&mut self, now: TimePoint, record: &claims::SeatRecord) {
        match record {
            claims::SeatRecord::Heartbeat { holder, number }
                if *holder == self.settings.local.incarnation =>
            {
                if let Some(sent) = recall(&self.heartbeats, *number) {
                    self.prove_by_log(sent);
                }
            }
            claims::SeatRecord::Claim { seat, basis, .. } => self.take_claim(now, *seat, basis),
            claims::SeatRecord::Refresh { seat, .. } => self.drop_lost(seat.seat),
            _ => {}
        }
    }

    fn prove_by_log(&mut self, sent: TimePoint) {
        let local = self.settings.local.incarnation;
        for (seat, own) in &mut self.own {
            let holder = self.table.holder(*seat);
            if holder.is_some_and(|holder| holder.holder == Some(local)) {
                own.log_until = own.log_until.max(sent + settings::SEAT_VALID);
            }
        }
    }

    /// Forgets a seat that the log shows in other hands.
    pub(super) fn drop_lost(&mut self, seat: settings::SeatId) {
        let Some(known) = self.table.holder(seat) else {
            return;
        };
        let local = Some(self.settings.local.incarnation);
        let lost = self
            .own
            .get(&seat)
            .is_some_and(|own| own.epoch < known.epoch && known.holder != local);
        if lost {
            self.own.remove(&seat);
        }
    }
}

fn remember(sent: &mut collections::VecDeque<(u64, TimePoint)>, number: u64, now: TimePoint) {
    sent.push_back((number, now));
    if sent.len() > REMEMBERED_ROUNDS {
        sent.pop_front();
    }
}

fn recall(sent: &collections::VecDeque<(u64, TimePoint)>, number: u64) -> Option<TimePoint> {
    let found = sent.iter().find(|(known, _)| *known == number)?;
    Some(found.1)
}

/// Time for which loans and tasks of an earlier holder may go on.
pub(super) fn quiet_time(settings: &settings::LedgerSettings) -> time::Duration {
    settings::stretched(settings::FAR_LOAN_TERM + settings.max_task_time)
}

pub(super) fn send(
    to: names::IncarnationId,
    message: &message::ShareMessage,
    actions: &mut Vec<event::LedgerAction>,
) {
    if let Some(payload) = message::encode_share(message) {
        actions.push(event::LedgerAction::Send { to, payload });
    }
}

pub(super) fn append(record: &claims::SeatRecord, actions: &mut Vec<event::LedgerAction>) {
    if let Some(bytes) = claims::encode_seat(record) {
        actions.push(event::LedgerAction::AppendSeat(bytes));
    }
}
