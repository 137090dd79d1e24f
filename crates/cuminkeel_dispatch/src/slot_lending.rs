//! Timed loans of slots between the entries of one failure domain.
//!
//! An entry whose queue needs slots asks one sibling; the sibling lends idle
//! slots of its own share for a lease. The borrower counts the lease from the
//! time it asked, the lender from the time it answered plus a tail, so the
//! borrower stops first whatever the delay. A lost or doubled message costs
//! speed, or a refusal by a server, never safety: a server refuses tasks beyond
//! its slots. Messages are paid for from a budget that grows with each task.

mod message;
mod peer;
mod spare;

use std::{collections, time};

use cuminkeel_types::time as clock;

pub use self::message::{LentSlots, SlotMessage};
use crate::{event, server_pool};

/// Time for which a borrower may start tasks on a first loan; doubles with each
/// loan taken in a row without one given.
const FIRST_LEASE: time::Duration = time::Duration::from_millis(300);
/// Most doublings of [`FIRST_LEASE`].
const MAX_LEASE_DOUBLINGS: u32 = 4;
/// Longest gap between two loans taken in a row.
const ROW_GAP: time::Duration = time::Duration::from_secs(1);
/// Mean run times for which a lender waits beyond the lease, for tasks that still run.
const TAIL_RUNS: f64 = 0.5;
/// Time after which an unanswered request is given up.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Most slots in one request.
const MAX_WANTED: u32 = 256;
/// Messages that one request costs: itself and its answer.
const ASK_COST: f64 = 2.0;
/// Saved messages from which a sibling is asked; refusals by servers that are
/// shared by guess are paid from the same budget and are worth more.
const ASK_BUDGET: f64 = 8.0;
/// Budget below which servers are shared with the widest margin.
const DEEP_DEBT: f64 = -4.0;
/// Wasted messages per task from which servers are shared with a narrow margin.
const GENEROUS_MESSAGES: f64 = 0.1;
/// Free slots left to others with messages to spare.
const GENEROUS_MARGIN: u32 = 1;
/// Free slots left to others with few messages to spare.
const THRIFTY_MARGIN: u32 = 2;
/// Most messages that are saved up.
const MAX_BUDGET: f64 = 16.0;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LoanSide {
    Given,
    Taken,
}

#[derive(Debug)]
struct SlotLoan {
    side: LoanSide,
    peer: event::SiblingEntry,
    server: server_pool::ServerIndex,
    count: u32,
    until: clock::TimePoint,
}

#[derive(Debug)]
struct PendingAsk {
    request: u64,
    to: event::SiblingEntry,
    asked: clock::TimePoint,
}

/// What a lender looks at before it lends.
#[derive(Debug)]
pub struct LendingView<'a> {
    /// Its servers.
    pub pool: &'a mut server_pool::ServerPool,
    /// Its own tasks that wait for a slot.
    pub queued: usize,
    /// Mean run time of its tasks on an average server, in seconds.
    pub mean_run_secs: f64,
}

/// Loans given and taken by one entry.
#[derive(Debug)]
pub struct SlotLending {
    peers: Vec<peer::PeerState>,
    loans: Vec<SlotLoan>,
    next_lapse: Option<clock::TimePoint>,
    pending: Option<PendingAsk>,
    next_request: u64,
    taken_in_row: u32,
    /// End of the last loan taken.
    taken_until: clock::TimePoint,
    budget: f64,
    messages_per_task: f64,
}

impl SlotLending {
    /// No loans, and a budget that grows by `messages_per_task` with each start.
    pub fn new(messages_per_task: f64) -> Self {
        Self {
            peers: Vec::new(),
            loans: Vec::new(),
            next_lapse: None,
            pending: None,
            next_request: 1,
            taken_in_row: 0,
            taken_until: clock::TimePoint::ZERO,
            budget: ASK_COST,
            messages_per_task,
        }
    }

    /// Takes in the live siblings. Loans with those that are gone end.
    pub fn set_peers(
        &mut self,
        now: clock::TimePoint,
        peers: Vec<event::SiblingEntry>,
        pool: &mut server_pool::ServerPool,
    ) {
        let mut known: collections::BTreeMap<event::SiblingEntry, peer::PeerState> = self
            .peers
            .drain(..)
            .map(|peer| (peer.entry.clone(), peer))
            .collect();
        self.peers = peers
            .into_iter()
            .map(|entry| {
                known
                    .remove(&entry)
                    .unwrap_or_else(|| peer::PeerState::new(entry))
            })
            .collect();
        self.end_loans(now, pool, |_, loan| known.contains_key(&loan.peer));
    }

    /// Notes a start, which pays for later messages.
    pub fn on_start(&mut self) {
        self.budget = (self.budget + self.messages_per_task).min(MAX_BUDGET);
    }

    /// Notes messages that were wasted otherwise.
    pub fn on_waste(&mut self, messages: f64) {
        self.budget -= messages;
    }

    /// Free slots beyond its own share that this entry leaves to others on each
    /// server: the fewer messages it may waste, the more.
    pub fn margin(&self) -> u32 {
        let base = if self.messages_per_task >= GENEROUS_MESSAGES {
            GENEROUS_MARGIN
        } else {
            THRIFTY_MARGIN
        };
        match self.budget {
            budget if budget >= 0.0 => base,
            budget if budget >= DEEP_DEBT => base + 1,
            _ => base + 2,
        }
    }

    /// Ends the loans whose time has come.
    pub fn on_time(&mut self, now: clock::TimePoint, pool: &mut server_pool::ServerPool) {
        if self.next_lapse.is_some_and(|lapse| lapse <= now) {
            self.end_loans(now, pool, |now, loan| loan.until <= now);
        }
        match &self.pending {
            Some(ask) if now.since(ask.asked) >= ASK_TIMEOUT => {
                let to = ask.to.clone();
                self.pending = None;
                self.note_empty(now, &to);
            }
            _ => {}
        }
    }

    fn end_loans(
        &mut self,
        now: clock::TimePoint,
        pool: &mut server_pool::ServerPool,
        ends: impl Fn(clock::TimePoint, &SlotLoan) -> bool,
    ) {
        self.loans.retain(|loan| {
            let ended = ends(now, loan);
            if ended {
                pool.change_loans(now, loan.server, |lent, borrowed| match loan.side {
                    LoanSide::Given => *lent = lent.saturating_sub(loan.count),
                    LoanSide::Taken => *borrowed = borrowed.saturating_sub(loan.count),
                });
            }
            !ended
        });
        self.next_lapse = self.loans.iter().map(|loan| loan.until).min();
    }

    fn add_loan(
        &mut self,
        now: clock::TimePoint,
        loan: SlotLoan,
        pool: &mut server_pool::ServerPool,
    ) {
        pool.change_loans(now, loan.server, |lent, borrowed| match loan.side {
            LoanSide::Given => *lent += loan.count,
            LoanSide::Taken => *borrowed += loan.count,
        });
        let lapse = self
            .next_lapse
            .map_or(loan.until, |lapse| lapse.min(loan.until));
        self.next_lapse = Some(lapse);
        self.loans.push(loan);
    }

    /// When [`SlotLending::on_time`] has something to do next.
    pub fn next_due(&self) -> Option<clock::TimePoint> {
        let timeout = self.pending.as_ref().map(|ask| ask.asked + ASK_TIMEOUT);
        self.next_lapse.into_iter().chain(timeout).min()
    }

    /// Asks the sibling that most likely has free slots, if the budget allows.
    pub fn ask(
        &mut self,
        now: clock::TimePoint,
        wanted: u32,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        if self.pending.is_some() || self.budget < ASK_BUDGET || wanted == 0 {
            return;
        }
        let candidates = self.peers.iter().filter(|peer| peer.ask_after <= now);
        let Some(peer) = candidates.max_by_key(|peer| peer.likely_free(now)) else {
            return;
        };
        let to = peer.entry.clone();
        let request = self.next_request;
        self.next_request += 1;
        self.budget -= ASK_COST;
        self.pending = Some(PendingAsk {
            request,
            to: to.clone(),
            asked: now,
        });
        let ask = SlotMessage::Ask {
            request,
            wanted: wanted.min(MAX_WANTED),
            lease: FIRST_LEASE * (1 << self.taken_in_row.min(MAX_LEASE_DOUBLINGS)),
        };
        message::send(to, &ask, actions);
    }

    /// Takes in a sibling's message.
    pub fn on_message(
        &mut self,
        now: clock::TimePoint,
        from: &event::SiblingEntry,
        payload: &[u8],
        own: &mut LendingView<'_>,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        match postcard::from_bytes(payload) {
            Ok(SlotMessage::Ask {
                request,
                wanted,
                lease,
            }) if self.is_new_request(now, from, request) => {
                let lease = lease.min(FIRST_LEASE * (1 << MAX_LEASE_DOUBLINGS));
                let (slots, free) = self.grant(now, from, wanted, lease, own);
                let reply = SlotMessage::Grant {
                    request,
                    lease,
                    slots,
                    free,
                };
                message::send(from.clone(), &reply, actions);
            }
            Ok(SlotMessage::Grant {
                request,
                lease,
                slots,
                free,
            }) => {
                if let Some(asked) = self.take_pending(from, request) {
                    self.accept(now, from, free, asked + lease, &slots, own.pool);
                }
            }
            Ok(SlotMessage::Ask { .. }) | Err(_) => {}
        }
    }

    fn is_new_request(
        &mut self,
        now: clock::TimePoint,
        from: &event::SiblingEntry,
        request: u64,
    ) -> bool {
        let peer = self.peers.iter_mut().find(|peer| peer.entry == *from);
        let Some(peer) = peer.filter(|peer| request > peer.last_request) else {
            return false;
        };
        peer.last_request = request;
        peer.hear(now, 0);
        self.taken_in_row = 0;
        true
    }

    fn take_pending(
        &mut self,
        from: &event::SiblingEntry,
        request: u64,
    ) -> Option<clock::TimePoint> {
        let answered = |ask: &mut PendingAsk| ask.request == request && ask.to == *from;
        self.pending.take_if(answered).map(|ask| ask.asked)
    }

    /// Lends idle slots. Returns them and the number left idle.
    fn grant(
        &mut self,
        now: clock::TimePoint,
        to: &event::SiblingEntry,
        wanted: u32,
        lease: time::Duration,
        own: &mut LendingView<'_>,
    ) -> (Vec<LentSlots>, u32) {
        let (chosen, free) = spare::choose_slots(now, wanted.min(MAX_WANTED), own.queued, own.pool);
        let mut slots = Vec::with_capacity(chosen.len());
        for (server, count) in chosen {
            let lender = own.pool.server(server);
            let tail_secs = own.mean_run_secs * lender.speed.log_factor().exp() * TAIL_RUNS;
            slots.push(LentSlots {
                server: lender.record.name.clone(),
                count,
            });
            let loan = SlotLoan {
                side: LoanSide::Given,
                peer: to.clone(),
                server,
                count,
                until: now + lease + time::Duration::from_secs_f64(tail_secs),
            };
            self.add_loan(now, loan, own.pool);
        }
        (slots, free)
    }

    fn accept(
        &mut self,
        now: clock::TimePoint,
        from: &event::SiblingEntry,
        free: u32,
        until: clock::TimePoint,
        slots: &[LentSlots],
        pool: &mut server_pool::ServerPool,
    ) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.entry == *from) {
            peer.hear(now, free);
        }
        if slots.is_empty() {
            self.note_empty(now, from);
            return;
        }
        let in_row = now < self.taken_until + ROW_GAP;
        self.taken_in_row = if in_row { self.taken_in_row + 1 } else { 0 };
        self.taken_until = until;
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.entry == *from) {
            peer.empty_answers = 0;
        }
        for lent in slots {
            let Some(server) = pool.index(&lent.server) else {
                continue;
            };
            let loan = SlotLoan {
                side: LoanSide::Taken,
                peer: from.clone(),
                server,
                count: lent.count,
                until,
            };
            self.add_loan(now, loan, pool);
        }
    }

    fn note_empty(&mut self, now: clock::TimePoint, entry: &event::SiblingEntry) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.entry == *entry) {
            peer.note_empty(now);
        }
    }
}
