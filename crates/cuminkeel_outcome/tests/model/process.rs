//! One entry process of the model: a ledger, its clock and its dispatcher.

use std::collections;

use cuminkeel_outcome::{event, ledger, settings};
use cuminkeel_types::{names, time as clock};

use super::world::{Happening, Submission};

/// What became of a job in the fake dispatcher.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobFate {
    Complete,
    Partial,
    Fails,
    Lost,
    Overloaded,
}

/// How far a process is in its drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    Serving,
    Leaving,
    Parted,
}

#[derive(Debug)]
pub struct FakeJob {
    pub submission: Submission,
    pub tasks: usize,
    pub fate: JobFate,
    pub sent: bool,
}

#[derive(Debug)]
pub struct Process {
    pub ledger: ledger::OutcomeLedger,
    pub incarnation: names::IncarnationId,
    pub jobs: collections::BTreeMap<names::JobId, FakeJob>,
    pub paused: bool,
    pub held: Vec<Happening>,
    pub standing: Standing,
    pub suspects: collections::BTreeSet<usize>,
    pub next_ticket: u64,
    /// Reading of the local clock when the process last began to run.
    pub woke_at: u64,
    pub wake_set: Option<u64>,
    anchor: u64,
    anchor_reading: u64,
    rate_permille: u64,
    clock_stands: bool,
}

impl Process {
    pub fn new(settings: settings::LedgerSettings, now: u64, rate_permille: u64) -> Self {
        let incarnation = settings.incarnation;
        let mut seed = [0; 32];
        seed[..8].copy_from_slice(&incarnation.0.to_le_bytes());
        // Clocks of two processes have nothing in common.
        let local = incarnation.0.wrapping_mul(7_919) % 10_000_000;
        Self {
            ledger: ledger::OutcomeLedger::new(settings, seed),
            incarnation,
            jobs: collections::BTreeMap::new(),
            paused: false,
            held: Vec::new(),
            standing: Standing::Serving,
            suspects: collections::BTreeSet::new(),
            next_ticket: 0,
            woke_at: local,
            wake_set: None,
            anchor: now,
            anchor_reading: local,
            rate_permille,
            clock_stands: false,
        }
    }

    /// The local clock's reading.
    pub fn clock(&mut self, now: u64) -> clock::TimePoint {
        if self.paused && self.clock_stands {
            self.anchor = now;
        }
        let elapsed = (now - self.anchor) * self.rate_permille / 1_000;
        clock::TimePoint::from_micros(self.anchor_reading + elapsed)
    }

    fn set_anchor(&mut self, now: u64) {
        self.anchor_reading = self.clock(now).as_micros();
        self.anchor = now;
    }

    pub fn pause(&mut self, now: u64, clock_stands: bool) {
        self.set_anchor(now);
        self.paused = true;
        self.clock_stands = clock_stands;
    }

    pub fn resume(&mut self, now: u64) -> Vec<Happening> {
        self.woke_at = self.clock(now).as_micros();
        self.paused = false;
        std::mem::take(&mut self.held)
    }

    pub fn step_clock(&mut self, now: u64, by: u64) {
        self.set_anchor(now);
        self.anchor_reading += by;
        self.woke_at = self.anchor_reading;
    }

    /// Time until the local clock shows `at`.
    pub fn wait_for(&mut self, now: u64, at: clock::TimePoint) -> u64 {
        let local = self.clock(now);
        let left = at.since(local).as_micros();
        u64::try_from(left).unwrap_or(0) * 1_000 / self.rate_permille + 1
    }

    pub fn draw_ticket(&mut self) -> event::TicketId {
        self.next_ticket += 1;
        event::TicketId(self.next_ticket)
    }

    /// Whether a drained process has nothing left to do.
    pub fn is_finished(&self) -> bool {
        self.standing == Standing::Parted && self.jobs.is_empty() && self.ledger.waiting() == 0
    }
}
