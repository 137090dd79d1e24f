//! The ledger as the allowance gate of a dispatch policy.

use std::{fmt, sync};

use cuminkeel_types::{names, time::TimePoint};

use crate::{event as dispatch_event, share};

/// Wakes the shell of a ledger, which then feeds it a tick. Must not block.
pub trait LedgerWaker: fmt::Debug + Send + Sync {
    /// The ledger's next wakeup may have moved.
    fn wake(&self);
}

/// A ledger that a dispatch policy and a shell share.
#[derive(Debug)]
pub struct LedgerGate {
    ledger: sync::Arc<sync::Mutex<super::ShareLedger>>,
    waker: sync::Arc<dyn LedgerWaker>,
}

impl LedgerGate {
    /// A gate to the ledger.
    pub fn new(
        ledger: sync::Arc<sync::Mutex<super::ShareLedger>>,
        waker: sync::Arc<dyn LedgerWaker>,
    ) -> Self {
        Self { ledger, waker }
    }

    fn ledger(&self) -> sync::MutexGuard<'_, super::ShareLedger> {
        self.ledger
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl share::AllowanceGate for LedgerGate {
    fn try_start(&mut self, now: TimePoint, customer: &names::CustomerName) -> bool {
        let started = self.ledger().try_start(now, customer);
        if !started {
            self.waker.wake();
        }
        started
    }

    fn on_end(&mut self, _now: TimePoint, customer: &names::CustomerName) {
        self.ledger().on_end(customer);
    }

    fn next_ready(&self, now: TimePoint, customer: &names::CustomerName) -> Option<TimePoint> {
        self.ledger().next_start(now, customer)
    }

    fn share(&self, customer: &names::CustomerName) -> Option<u32> {
        self.ledger().last_task_share(customer)
    }

    fn expected_share(&self, customer: &names::CustomerName) -> Option<u32> {
        self.ledger().expected_task_share(customer)
    }

    fn set_terms(&mut self, now: TimePoint, terms: &[dispatch_event::CustomerTerms]) {
        self.ledger().set_terms(now, terms);
    }
}
