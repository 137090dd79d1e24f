//! Outcomes: time and memory of non-idempotent jobs at their authority.

use std::{sync, time};

use cuminkeel_outcome::{event, event::OutcomePolicy, ledger, settings};
use cuminkeel_types::{job, names, outcome, time as points};

use super::{CapacityPoint, CapacitySeries, memory_growth, micros_each};

const JOBS: [usize; 4] = [1_000, 5_000, 10_000, 20_000];
const MESH_KEY: &[u8] = b"capacity";

pub(super) fn measure(seed: u64) -> Vec<CapacitySeries> {
    let mut micros = Vec::new();
    let mut memory = Vec::new();
    // Kept, so that no measurement reuses the memory of an earlier one.
    let mut kept = Vec::new();
    for size in JOBS {
        let ((pair, value), grown) = memory_growth(|| {
            let mut pair = LedgerPair::new(seed);
            let value = micros_each(size, || pair.run_jobs(size));
            (pair, value)
        });
        micros.push(CapacityPoint { size, value });
        memory.push(CapacityPoint { size, value: grown });
        kept.push(pair);
    }
    vec![
        CapacitySeries::new(
            "outcome",
            "µs per keyed job, at authority and witness together",
            "jobs remembered",
            micros,
        ),
        CapacitySeries::new(
            "outcome",
            "memory bytes, authority and witness together",
            "jobs remembered",
            memory,
        ),
    ]
}

/// An authority and its witness.
struct LedgerPair {
    ledgers: [ledger::OutcomeLedger; 2],
    now: points::TimePoint,
    next_ticket: u64,
}

fn incarnation(number: usize) -> names::IncarnationId {
    names::IncarnationId(u64::try_from(number).unwrap_or(0) + 1)
}

impl LedgerPair {
    fn new(seed: u64) -> Self {
        let make = |number: usize| {
            let rack = names::RackName::new(format!("rack-{number}"));
            let settings = settings::LedgerSettings::new(incarnation(number), rack, MESH_KEY);
            let seed = blake3::hash(&(seed, number as u64).0.to_le_bytes());
            ledger::OutcomeLedger::new(settings, *seed.as_bytes())
        };
        let mut pair = Self {
            ledgers: [make(0), make(1)],
            now: points::TimePoint::from_millis(1),
            next_ticket: 0,
        };
        for number in 0..2 {
            let other = 1 - number;
            let peer = event::PeerEntry {
                vm: names::VmName::new(format!("entry-{other}")),
                incarnation: incarnation(other),
                rack: names::RackName::new(format!("rack-{other}")),
            };
            pair.tell(number, event::OutcomeEvent::PeersChanged(vec![peer]));
        }
        pair
    }

    fn run_jobs(&mut self, count: usize) {
        for _ in 0..count {
            self.now = self.now + time::Duration::from_micros(100);
            let ticket = self.draw_ticket();
            let asked = event::OutcomeEvent::KeysRequested {
                ticket,
                customer: "customer".into(),
                count: 1,
            };
            let key = self.tell(0, asked);
            let submitted = event::OutcomeEvent::Submitted {
                ticket: self.draw_ticket(),
                key,
                spec: sync::Arc::new(spec()),
            };
            self.tell(0, submitted);
        }
    }

    fn draw_ticket(&mut self) -> event::TicketId {
        self.next_ticket += 1;
        event::TicketId(self.next_ticket)
    }

    /// Feeds one ledger, carries messages over and finishes started jobs at
    /// once. Returns a key if one was issued.
    fn tell(&mut self, number: usize, event: event::OutcomeEvent) -> Option<sync::Arc<str>> {
        let mut actions = Vec::new();
        self.ledgers[number].handle(self.now, event, &mut actions);
        let mut key = None;
        for action in actions {
            match action {
                event::OutcomeAction::KeysIssued { keys, .. } => key = keys.into_iter().next(),
                event::OutcomeAction::SendPeer { payload, .. } => {
                    let from = incarnation(number);
                    let message = event::OutcomeEvent::PeerMessage { from, payload };
                    self.tell(1 - number, message);
                }
                event::OutcomeAction::StartJob { job, .. } => {
                    let outputs = vec!["done".into()];
                    let answer = outcome::JobAnswer::Complete { outputs };
                    self.tell(number, event::OutcomeEvent::JobFinished { job, answer });
                }
                _ => {}
            }
        }
        key
    }
}

fn spec() -> job::JobSpec {
    job::JobSpec {
        customer: "customer".into(),
        idempotent: false,
        deadline: time::Duration::from_secs(10),
        tasks: vec![job::TaskSpec {
            class: "price".into(),
            size_millicores: 100,
            declared_run_time: time::Duration::from_millis(100),
            payload: "order".into(),
        }],
        trace_parent: None,
    }
}
