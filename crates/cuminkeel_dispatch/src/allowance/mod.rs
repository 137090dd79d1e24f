//! Allowances over all entries and failure domains.
//!
//! Each limit is split among seats by a fixed rule ([`split`]). An entry holds
//! seats, which the platform's log gives out ([`claims`]), and lends units that
//! it does not need to others for a short term. The sum of what all entries may
//! use never exceeds the limit, whatever is lost, delayed or cut off.

pub mod claims;
mod customer_share;
pub mod event;
pub mod gate;
mod lending;
pub mod message;
mod seat_claims;
mod seat_handover;
mod seat_keeper;
pub mod settings;
pub mod split;
mod start_bucket;
mod units;

use std::{collections, time};

use cuminkeel_types::{names, time::TimePoint};
use rand::{SeedableRng, rngs};

use crate::event as dispatch_event;

/// Time between two looks at all customers' loans and demand.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// One entry's shares of all allowances. Does no I/O; the same events, times
/// and seed give the same actions.
#[derive(Debug)]
pub struct ShareLedger {
    keeper: seat_keeper::SeatKeeper,
    shares: collections::BTreeMap<names::CustomerName, customer_share::CustomerShare>,
    rng: rngs::StdRng,
    next_number: u64,
    next_look: TimePoint,
    /// Latest time that the ledger was told.
    latest: TimePoint,
}

impl ShareLedger {
    /// A ledger that knows no customers and holds no seats.
    pub fn new(now: TimePoint, settings: settings::LedgerSettings, seed: u64) -> Self {
        Self {
            keeper: seat_keeper::SeatKeeper::new(now, settings),
            shares: collections::BTreeMap::new(),
            rng: rngs::StdRng::seed_from_u64(seed),
            next_number: 0,
            next_look: now,
            latest: now,
        }
    }

    /// Takes in one event and appends what follows from it to `actions`.
    pub fn handle(
        &mut self,
        now: TimePoint,
        event: event::LedgerEvent,
        actions: &mut Vec<event::LedgerAction>,
    ) {
        self.latest = self.latest.max(now);
        match event {
            event::LedgerEvent::Tick => {}
            event::LedgerEvent::TermsChanged(terms) => self.set_terms(now, &terms),
            event::LedgerEvent::MembersChanged(members) => self.keeper.members = members,
            event::LedgerEvent::Message { from, payload } => {
                self.take_message(now, from, &payload, actions);
            }
            event::LedgerEvent::SeatsRead {
                records,
                head,
                tail,
            } => self.keeper.seats_read(now, &records, head, tail),
            event::LedgerEvent::LeaveStarted => self.keeper.leaving = true,
        }
        self.keeper.run_due(now, actions);
        if self.next_look <= now {
            self.next_look = self.draw_look(now, LOOK_INTERVAL);
            self.look(now, actions);
        }
        self.pull(now, actions);
    }

    /// When [`event::LedgerEvent::Tick`] is wanted next.
    pub fn next_wakeup(&self) -> TimePoint {
        let urgent = self
            .shares
            .values()
            .filter(|share| share.demand.is_urgent());
        let pull = urgent.map(|share| share.next_pull).min();
        let wakeups = [self.keeper.next_wakeup(), pull];
        wakeups
            .into_iter()
            .flatten()
            .fold(self.next_look, TimePoint::min)
    }

    /// Next offset wanted of [`claims::SEAT_STREAM`]. The shell always keeps a
    /// waiting read from it under way.
    pub fn seat_offset(&self) -> u64 {
        self.keeper.table.offset()
    }

    /// Takes one start out of the customer's share. False, and nothing taken,
    /// if the share is used up; the next [`Self::handle`] asks for more.
    pub fn try_start(&mut self, now: TimePoint, customer: &names::CustomerName) -> bool {
        let own = self.own_units(now, customer);
        let share = self
            .shares
            .entry(customer.clone())
            .or_insert_with(|| customer_share::CustomerShare::new(now));
        share.try_start(now, own)
    }

    /// Gives back the concurrency of one task that ended.
    pub fn on_end(&mut self, customer: &names::CustomerName) {
        if let Some(share) = self.shares.get_mut(customer) {
            share.running = share.running.saturating_sub(1);
        }
    }

    /// Units that this entry may use now.
    pub fn usable(&self, now: TimePoint, customer: &names::CustomerName) -> message::ShareUnits {
        let own = self.own_units(now, customer);
        let share = self.shares.get(customer);
        share.map_or(message::ShareUnits::NONE, |share| share.usable(now, own))
    }

    /// When a start may succeed again by the passing of time alone.
    pub fn next_start(&self, now: TimePoint, customer: &names::CustomerName) -> Option<TimePoint> {
        let usable = self.usable(now, customer);
        let share = self.shares.get(customer)?;
        if share.max_tasks.is_some() && share.running >= usable.tasks {
            return None;
        }
        let micros = share.micros_to_start(usable.starts)?;
        Some(now + time::Duration::from_micros(micros))
    }

    /// Concurrent tasks that this entry's share permits now; none if unlimited.
    pub fn task_share(&self, now: TimePoint, customer: &names::CustomerName) -> Option<u32> {
        self.shares.get(customer)?.max_tasks?;
        Some(self.usable(now, customer).tasks)
    }

    /// [`Self::task_share`] at the latest time that the ledger was told.
    pub fn last_task_share(&self, customer: &names::CustomerName) -> Option<u32> {
        self.task_share(self.latest, customer)
    }

    /// Seats whose units this entry may use now.
    pub fn usable_seats(&self, now: TimePoint) -> Vec<settings::SeatId> {
        self.keeper.usable(now).collect()
    }

    /// Whether a leaving entry has passed all its seats on.
    pub fn has_left(&self) -> bool {
        self.keeper.has_left()
    }

    fn own_units(&self, now: TimePoint, customer: &names::CustomerName) -> message::ShareUnits {
        let share = self.shares.get(customer);
        let Some(limits) = share.map(customer_share::CustomerShare::limits) else {
            return message::ShareUnits::NONE;
        };
        let seats: smallvec::SmallVec<[_; 4]> = self.keeper.usable(now).collect();
        self.seats_units(customer, limits, &seats)
    }

    /// Takes in all customers' terms. Also called through the gate; the same
    /// terms again change nothing.
    pub fn set_terms(&mut self, now: TimePoint, terms: &[dispatch_event::CustomerTerms]) {
        let known: collections::BTreeSet<_> = terms.iter().map(|row| &row.customer).collect();
        self.shares
            .retain(|customer, share| known.contains(customer) || share.running > 0);
        for (customer, share) in &mut self.shares {
            if !known.contains(customer) {
                // Removed: its tasks end, and nothing more starts.
                share.max_tasks = Some(0);
                share.max_starts = Some(0);
            }
        }
        for row in terms {
            let share = self
                .shares
                .entry(row.customer.clone())
                .or_insert_with(|| customer_share::CustomerShare::new(now));
            share.max_tasks = row.max_concurrent;
            share.max_starts = row.max_starts_per_second;
        }
    }

    fn look(&mut self, now: TimePoint, actions: &mut Vec<event::LedgerAction>) {
        for share in self.shares.values_mut() {
            share.forget_old(now);
            if !share.demand.was_refused() {
                share.pull_delay = lending::FIRST_PULL_DELAY;
                share.fanout = lending::FIRST_FANOUT;
            }
            share.demand.settle(now, share.running);
        }
        self.renew(now, actions);
        self.offer(now, actions);
    }

    fn take_message(
        &mut self,
        now: TimePoint,
        from: names::IncarnationId,
        payload: &[u8],
        actions: &mut Vec<event::LedgerAction>,
    ) {
        let Some(message) = message::decode_share(payload) else {
            return;
        };
        match message {
            message::ShareMessage::VouchAsk { round, seats } => {
                self.keeper.vouch(now, from, round, seats, actions);
            }
            message::ShareMessage::Vouch {
                round,
                seats,
                voters,
            } => self.keeper.take_vouch(round, &seats, &voters),
            message::ShareMessage::ConsentAsk { seat } => {
                self.keeper.consent(now, from, seat, actions);
            }
            message::ShareMessage::Consent { seat, voters } => {
                self.keeper.take_consent(seat, &voters);
            }
            message::ShareMessage::Handover { seat, promises } => {
                self.keeper
                    .take_handover(now, from, seat, &promises, actions);
            }
            message::ShareMessage::HandoverTaken { seat } => self.keeper.handover_taken(from, seat),
            message::ShareMessage::Want(rows) => self.take_wants(now, from, rows, actions),
            message::ShareMessage::Grant { rows } => self.take_grants(now, from, rows),
            message::ShareMessage::Offer(customers) => self.take_offer(now, from, &customers),
            message::ShareMessage::Recall(customers) => {
                self.take_recall(now, from, customers, actions);
            }
        }
    }
}
