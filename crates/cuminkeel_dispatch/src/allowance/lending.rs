//! Loans between entries: who is asked for how much, and when.
//!
//! A borrower counts a loan from the sending of its request, the lender from its
//! answer and for longer by the clocks' drift, so the borrower always stops
//! first. For tasks the lender waits until those started under the loan are
//! over. With each request the borrower commits to use no more than `keep` of
//! earlier grants, which the lender may count on at once.

use std::{collections, time};

use cuminkeel_types::{names, time::TimePoint};
use rand::{RngExt, seq::SliceRandom};

use super::{
    ShareLedger, customer_share, event, message, message::ShareUnits, seat_keeper,
    seat_keeper::send, settings, split,
};

/// First delay between two rounds of requests for more.
pub(super) const FIRST_PULL_DELAY: time::Duration = time::Duration::from_millis(20);
/// Longest delay between two rounds that bring nothing.
const MAX_PULL_DELAY: time::Duration = time::Duration::from_secs(16);
/// Lenders asked in the first round; twice as many after each success.
pub(super) const FIRST_FANOUT: usize = 4;
const MAX_FANOUT: usize = 32;
/// Time after which a request counts as lost.
const ANSWER_TIME: time::Duration = time::Duration::from_millis(500);
/// Time for which a lender that had nothing is not asked again.
const REFUSED_TIME: time::Duration = time::Duration::from_secs(1);
/// Time for which an unmet request weighs against other borrowers.
pub(super) const UNMET_TIME: time::Duration = time::Duration::from_secs(1);
/// Time in which a borrower that got too little is told of free units.
pub(super) const OFFER_TIME: time::Duration = time::Duration::from_secs(20);
/// Time after which an idle relation is forgotten; longer than any message lives.
pub(super) const FORGET_TIME: time::Duration = time::Duration::from_mins(2);
/// Least time between two recalls of one customer.
const RECALL_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Requests of one round, by lender.
pub(super) type WantBatch = collections::BTreeMap<names::IncarnationId, Vec<message::WantRow>>;

impl ShareLedger {
    /// Units of the customer that belong to these seats.
    pub(super) fn seats_units(
        &self,
        customer: &names::CustomerName,
        limits: ShareUnits,
        seats: &[settings::SeatId],
    ) -> ShareUnits {
        let map = &self.keeper.settings.seats;
        let units = seats.iter().map(|seat| ShareUnits {
            tasks: split::seat_units(map, customer, *seat, limits.tasks),
            starts: split::seat_units(map, customer, *seat, limits.starts),
        });
        units.fold(ShareUnits::NONE, ShareUnits::plus)
    }

    /// Asks for more where starts were refused.
    pub(super) fn pull(&mut self, now: TimePoint, actions: &mut Vec<event::LedgerAction>) {
        let seats: Vec<_> = self.keeper.usable(now).collect();
        let urgent = self
            .shares
            .iter()
            .filter(|(_, share)| share.next_pull <= now && share.demand.is_urgent());
        let urgent: Vec<_> = urgent.map(|(customer, _)| customer.clone()).collect();
        if urgent.is_empty() {
            return;
        }
        let held = self.keeper.held_seats();
        let mut batch = WantBatch::new();
        for customer in urgent {
            self.pull_one(now, &customer, &seats, &held, &mut batch, actions);
        }
        send_wants(batch, actions);
    }

    fn pull_one(
        &mut self,
        now: TimePoint,
        customer: &names::CustomerName,
        seats: &[settings::SeatId],
        held: &seat_keeper::HeldSeats,
        batch: &mut WantBatch,
        actions: &mut Vec<event::LedgerAction>,
    ) {
        let Some(limits) = self
            .shares
            .get(customer)
            .map(customer_share::CustomerShare::limits)
        else {
            return;
        };
        let own = self.seats_units(customer, limits, seats);
        let lenders = self.draw_lenders(now, customer, limits, held);
        let Some(share) = self.shares.get_mut(customer) else {
            return;
        };
        let usable = share.usable(now, own);
        share.demand.grow(usable, limits);
        share.next_pull = now + share.pull_delay;
        share.pull_delay = (share.pull_delay * 2).min(MAX_PULL_DELAY);
        let mut missing = share.demand.target.minus(usable);
        let borrowers = share.borrowers(now);
        if !missing.is_none() && !borrowers.is_empty() && share.next_recall <= now {
            share.next_recall = now + RECALL_INTERVAL;
            let recall = message::ShareMessage::Recall(vec![customer.clone()]);
            for borrower in borrowers {
                send(borrower, &recall, actions);
            }
        }
        for (lender, base) in lenders.into_iter().take(share.fanout) {
            let extra = missing.min(base);
            if extra.is_none() {
                continue;
            }
            missing = missing.minus(extra);
            share.offers.remove(&lender);
            self.next_number += 1;
            let row = ask(share, now, own, lender, customer, extra, self.next_number);
            batch.entry(lender).or_default().push(row);
        }
    }

    /// Live lenders that may have units, near ones first, else in random order,
    /// and the units of their seats.
    fn draw_lenders(
        &mut self,
        now: TimePoint,
        customer: &names::CustomerName,
        limits: ShareUnits,
        held: &seat_keeper::HeldSeats,
    ) -> Vec<(names::IncarnationId, ShareUnits)> {
        let share = self.shares.get(customer);
        let idle = |lender: names::IncarnationId| {
            let refused = share.and_then(|share| share.refusals.get(&lender));
            let loan = share.and_then(|share| share.borrowed.get(&lender));
            let awaited =
                loan.is_some_and(|loan| loan.pending && now.since(loan.sent_at) < ANSWER_TIME);
            refused.is_none_or(|until| *until <= now) && !awaited
        };
        let domain = &self.keeper.settings.local.domain;
        let members =
            self.keeper.members.iter().filter(|member| {
                held.contains_key(&member.incarnation) && idle(member.incarnation)
            });
        let mut lenders: Vec<_> = members
            .map(|member| {
                let offered = share.is_some_and(|share| share.offers.contains(&member.incarnation));
                ((!offered, member.domain != *domain), member.incarnation)
            })
            .collect();
        lenders.shuffle(&mut self.rng);
        lenders.sort_by_key(|(order, _)| *order);
        let units = lenders.into_iter().map(|(_, lender)| {
            let seats = held.get(&lender).map_or(&[][..], Vec::as_slice);
            (lender, self.seats_units(customer, limits, seats))
        });
        let lenders = units.filter(|(_, units)| !units.is_none());
        lenders.take(MAX_FANOUT).collect()
    }

    /// Renews loans that end soon, as far as they are needed.
    pub(super) fn renew(&mut self, now: TimePoint, actions: &mut Vec<event::LedgerAction>) {
        let seats: Vec<_> = self.keeper.usable(now).collect();
        let busy = self
            .shares
            .iter()
            .filter(|(_, share)| !share.borrowed.is_empty());
        let busy: Vec<_> = busy.map(|(customer, _)| customer.clone()).collect();
        let mut batch = WantBatch::new();
        for customer in busy {
            self.renew_one(now, &customer, &seats, None, &mut batch);
        }
        send_wants(batch, actions);
    }

    /// Renews loans of a customer: those that end soon, or that of one lender.
    pub(super) fn renew_one(
        &mut self,
        now: TimePoint,
        customer: &names::CustomerName,
        seats: &[settings::SeatId],
        only: Option<names::IncarnationId>,
        batch: &mut WantBatch,
    ) {
        let Some(limits) = self
            .shares
            .get(customer)
            .map(customer_share::CustomerShare::limits)
        else {
            return;
        };
        let own = self.seats_units(customer, limits, seats);
        let mut terms = self.loan_terms(customer);
        // The loan that is wanted back gets the fewest of the running tasks.
        terms.sort_by_key(|(lender, _)| only == Some(*lender));
        let Some(share) = self.shares.get_mut(customer) else {
            return;
        };
        let mut uncovered = share.uncovered(now, own);
        let free = own.minus(share.lent_total(now));
        let mut needed = share.demand.target.minus(free);
        needed.tasks = needed.tasks.max(uncovered);
        for (lender, term) in terms {
            let Some(loan) = share.borrowed.get_mut(&lender) else {
                continue;
            };
            let occupied = loan.held(now).min(uncovered);
            uncovered -= occupied;
            if loan.until <= now {
                continue;
            }
            let want = loan.units.min(needed);
            needed = needed.minus(want);
            let ends_soon = loan.until.since(now) <= term / 2;
            let awaited = loan.pending && now.since(loan.sent_at) < ANSWER_TIME;
            let due = ends_soon && !awaited && only.is_none();
            if !due && only != Some(lender) {
                continue;
            }
            self.next_number += 1;
            loan.units = loan.units.min(want);
            let row = request(loan, now, customer, occupied, want, self.next_number);
            batch.entry(lender).or_default().push(row);
        }
    }

    /// Lenders of a customer, near ones first, and the terms of their loans.
    fn loan_terms(
        &self,
        customer: &names::CustomerName,
    ) -> Vec<(names::IncarnationId, time::Duration)> {
        let borrowed = self.shares.get(customer).into_iter();
        let lenders = borrowed.flat_map(|share| share.borrowed.keys().copied());
        let mut terms: Vec<_> = lenders
            .map(|lender| (lender, self.term_with(lender, settings::NEAR_LOAN_TERM)))
            .collect();
        terms.sort_by_key(|(_, term)| *term);
        terms
    }

    /// Term of loans with another entry; `unknown` if it is no member.
    fn term_with(&self, other: names::IncarnationId, unknown: time::Duration) -> time::Duration {
        let mut members = self.keeper.members.iter();
        match members.find(|member| member.incarnation == other) {
            Some(member) if member.domain == self.keeper.settings.local.domain => {
                settings::NEAR_LOAN_TERM
            }
            Some(_) => settings::FAR_LOAN_TERM,
            None => unknown,
        }
    }

    /// Answers a borrower.
    pub(super) fn take_wants(
        &mut self,
        now: TimePoint,
        from: names::IncarnationId,
        rows: Vec<message::WantRow>,
        actions: &mut Vec<event::LedgerAction>,
    ) {
        let seats: Vec<_> = self.keeper.usable(now).collect();
        let term = self.term_with(from, settings::FAR_LOAN_TERM);
        let mut grants = Vec::new();
        for row in rows {
            let Some(limits) = self
                .shares
                .get(&row.customer)
                .map(customer_share::CustomerShare::limits)
            else {
                continue;
            };
            let own = self.seats_units(&row.customer, limits, &seats);
            let request = customer_share::LoanRequest {
                borrower: from,
                number: row.number,
                keep: row.keep,
                want: row.want,
                term,
                max_task_time: self.keeper.settings.max_task_time,
            };
            let share = self.shares.get_mut(&row.customer);
            let granted = share.and_then(|share| share.grant(now, own, &request));
            match granted {
                Some((units, micro_starts)) if !row.want.is_none() => {
                    grants.push(message::GrantRow {
                        customer: row.customer,
                        number: row.number,
                        units,
                        micro_starts,
                    });
                }
                _ => {}
            }
        }
        if !grants.is_empty() {
            send(
                from,
                &message::ShareMessage::Grant { rows: grants },
                actions,
            );
        }
    }

    /// Takes in a lender's answer.
    pub(super) fn take_grants(
        &mut self,
        now: TimePoint,
        from: names::IncarnationId,
        rows: Vec<message::GrantRow>,
    ) {
        let term = self.term_with(from, settings::NEAR_LOAN_TERM);
        let seats: Vec<_> = self.keeper.usable(now).collect();
        let max_task_time = self.keeper.settings.max_task_time;
        for row in rows {
            let Some(limits) = self
                .shares
                .get(&row.customer)
                .map(customer_share::CustomerShare::limits)
            else {
                continue;
            };
            let own = self.seats_units(&row.customer, limits, &seats);
            if let Some(share) = self.shares.get_mut(&row.customer) {
                share.fill(now, own);
                take_grant(share, now, from, &row, term, max_task_time);
            }
        }
    }

    /// Gives units back that a lender needs, as far as they are not in use.
    pub(super) fn take_recall(
        &mut self,
        now: TimePoint,
        from: names::IncarnationId,
        customers: Vec<names::CustomerName>,
        actions: &mut Vec<event::LedgerAction>,
    ) {
        let seats: Vec<_> = self.keeper.usable(now).collect();
        let mut batch = WantBatch::new();
        for customer in customers {
            self.renew_one(now, &customer, &seats, Some(from), &mut batch);
        }
        send_wants(batch, actions);
    }

    /// Tells borrowers that got too little of units that are free now.
    pub(super) fn offer(&mut self, now: TimePoint, actions: &mut Vec<event::LedgerAction>) {
        let seats: Vec<_> = self.keeper.usable(now).collect();
        let limits = self
            .shares
            .iter()
            .map(|(customer, share)| (customer.clone(), share.limits()));
        let limits: Vec<_> = limits.collect();
        let mut offers: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for (customer, limits) in limits {
            let own = self.seats_units(&customer, limits, &seats);
            let share = self.shares.get_mut(&customer);
            for borrower in share
                .map(|share| share.take_unmet(now, own))
                .unwrap_or_default()
            {
                offers.entry(borrower).or_default().push(customer.clone());
            }
        }
        for (borrower, customers) in offers {
            for customers in customers.chunks(message::MAX_ROWS) {
                send(
                    borrower,
                    &message::ShareMessage::Offer(customers.to_vec()),
                    actions,
                );
            }
        }
    }

    /// Asks a lender that has units again at the next pull.
    pub(super) fn take_offer(
        &mut self,
        now: TimePoint,
        from: names::IncarnationId,
        customers: &[names::CustomerName],
    ) {
        for customer in customers {
            if let Some(share) = self.shares.get_mut(customer) {
                share.refusals.remove(&from);
                share.offers.insert(from);
                share.pull_delay = FIRST_PULL_DELAY;
                share.next_pull = now;
            }
        }
    }

    /// A point in time for the next look at all customers, spread a little.
    pub(super) fn draw_look(&mut self, now: TimePoint, interval: time::Duration) -> TimePoint {
        now + interval.mul_f64(self.rng.random_range(0.9..1.1))
    }
}

/// Notes a request for more and makes its row.
fn ask(
    share: &mut customer_share::CustomerShare,
    now: TimePoint,
    own: ShareUnits,
    lender: names::IncarnationId,
    customer: &names::CustomerName,
    extra: ShareUnits,
    number: u64,
) -> message::WantRow {
    let uncovered = share.uncovered(now, own);
    let fresh = customer_share::BorrowedUnits {
        number,
        sent_at: now,
        pending: true,
        wanted: extra,
        units: ShareUnits::NONE,
        until: now,
        held: 0,
        held_until: now,
    };
    let loan = share.borrowed.entry(lender).or_insert(fresh);
    if loan.until <= now {
        loan.units = ShareUnits::NONE;
    }
    let occupied = loan.held(now).min(uncovered);
    let want = loan.units.plus(extra);
    request(loan, now, customer, occupied, want, number)
}

/// Notes a request and makes its row. From now on the loan's units and the
/// tasks that occupy them are all that is used of earlier grants.
fn request(
    loan: &mut customer_share::BorrowedUnits,
    now: TimePoint,
    customer: &names::CustomerName,
    occupied: u32,
    want: ShareUnits,
    number: u64,
) -> message::WantRow {
    let keep = ShareUnits {
        tasks: loan.units.tasks.max(occupied),
        starts: loan.units.starts,
    };
    loan.held = keep.tasks;
    loan.number = number;
    loan.sent_at = now;
    loan.pending = !want.is_none();
    loan.wanted = want;
    message::WantRow {
        customer: customer.clone(),
        number,
        keep,
        want,
    }
}

fn take_grant(
    share: &mut customer_share::CustomerShare,
    now: TimePoint,
    from: names::IncarnationId,
    row: &message::GrantRow,
    term: time::Duration,
    max_task_time: time::Duration,
) {
    let Some(loan) = share.borrowed.get_mut(&from) else {
        return;
    };
    if loan.number != row.number || !loan.pending {
        return;
    }
    let grew = row.units.minus(loan.units);
    loan.pending = false;
    loan.units = row.units.min(loan.wanted);
    loan.until = loan.sent_at + term;
    loan.held = loan.held(now).max(loan.units.tasks);
    loan.held_until = loan.held_until.max(loan.until + max_task_time);
    let short = row.units != loan.wanted;
    if loan.until > now {
        share.add_starts(row.micro_starts);
    }
    if short {
        share.refusals.insert(from, now + REFUSED_TIME);
    }
    if !grew.is_none() && !short {
        share.pull_delay = FIRST_PULL_DELAY;
        share.next_pull = now;
        share.fanout = (share.fanout * 2).min(MAX_FANOUT);
    }
}

fn send_wants(batch: WantBatch, actions: &mut Vec<event::LedgerAction>) {
    for (lender, rows) in batch {
        for rows in rows.chunks(message::MAX_ROWS) {
            send(lender, &message::ShareMessage::Want(rows.to_vec()), actions);
        }
    }
}
