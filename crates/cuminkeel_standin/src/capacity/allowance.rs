//! Allowances: bytes and processor time of a node by the number of entries,
//! with 110 customers, at rest and with demand on one entry of each domain.

use std::{collections, time};

use cuminkeel_dispatch::{
    allowance::{ShareLedger, claims, event, settings},
    event as dispatch_event,
};
use cuminkeel_types::{names, time as points};

use super::{CapacityPoint, CapacitySeries};

const SIZES: [usize; 4] = [9, 27, 81, 117];
const DOMAINS: usize = 6;
const CUSTOMERS: usize = 110;
const WARM_UP: time::Duration = time::Duration::from_secs(10);
const MEASURED: time::Duration = time::Duration::from_secs(20);
const STEP: time::Duration = time::Duration::from_millis(20);
/// Time between a message's sending and its arrival.
const DELAY: time::Duration = time::Duration::from_millis(1);
/// Longest wait of one read of the log.
const READ_WAIT: time::Duration = time::Duration::from_secs(1);
/// Bytes of IP and UDP headers and of the mesh's frame.
const FRAME_BYTES: usize = 28 + 48;
/// Customers with demand, and tasks that each starts at once.
const BUSY_CUSTOMERS: usize = 20;
const TASKS_AT_ONCE: usize = 30;

pub(super) fn measure(seed: u64) -> Vec<CapacitySeries> {
    let rest = SIZES.map(|nodes| (nodes, LedgerGroup::new(nodes, seed).run(false)));
    let busy = SIZES.map(|nodes| (nodes, LedgerGroup::new(nodes, seed).run(true)));
    let series = |figure, costs: &[(usize, GroupCost)], value: fn(&GroupCost) -> f64| {
        let points = costs
            .iter()
            .map(|(size, cost)| CapacityPoint {
                size: *size,
                value: value(cost),
            })
            .collect();
        CapacitySeries::new("allowance", figure, "entries", points)
    };
    vec![
        series("bytes/s per node at rest", &rest, |cost| cost.bytes),
        series("processor µs/s per node at rest", &rest, |cost| {
            cost.micros
        }),
        series("bytes/s per node, 20 customers skewed", &busy, |cost| {
            cost.bytes
        }),
        series(
            "processor µs/s per node, 20 customers skewed",
            &busy,
            |cost| cost.micros,
        ),
    ]
}

/// Cost of a node in a second.
#[derive(Clone, Copy, Debug)]
struct GroupCost {
    bytes: f64,
    micros: f64,
}

/// Ledgers on one log, joined without loss.
struct LedgerGroup {
    ledgers: Vec<ShareLedger>,
    members: Vec<settings::ShareMember>,
    log: Vec<claims::SeatPageRecord>,
    read_due: Vec<points::TimePoint>,
    arriving: collections::BTreeMap<points::TimePoint, Vec<(usize, names::IncarnationId, Vec<u8>)>>,
    now: points::TimePoint,
    bytes: usize,
    spent: time::Duration,
}

impl LedgerGroup {
    fn new(nodes: usize, seed: u64) -> Self {
        let now = points::TimePoint::from_millis(1);
        let domains: Vec<_> = (0..DOMAINS)
            .map(|number| names::FailureDomain::new(format!("domain-{number}")))
            .collect();
        let seats = u16::try_from(nodes.div_ceil(DOMAINS)).unwrap_or(u16::MAX);
        let map = settings::SeatMap::new(domains.clone(), seats);
        let members: Vec<_> = (0..nodes)
            .map(|number| settings::ShareMember {
                incarnation: names::IncarnationId(u64::try_from(number).unwrap_or(0) + 1),
                vm: names::VmName::new(format!("entry-{number}")),
                domain: domains[number % DOMAINS].clone(),
            })
            .collect();
        let ledgers = members.iter().zip(seed..).map(|(local, seed)| {
            let settings = settings::LedgerSettings {
                local: local.clone(),
                seats: map.clone(),
                max_task_time: time::Duration::from_secs(10),
                refresh_interval: time::Duration::from_hours(1),
            };
            ShareLedger::new(now, settings, seed)
        });
        Self {
            ledgers: ledgers.collect(),
            members,
            log: Vec::new(),
            read_due: vec![now; nodes],
            arriving: collections::BTreeMap::new(),
            now,
            bytes: 0,
            spent: time::Duration::ZERO,
        }
    }

    fn run(mut self, busy: bool) -> GroupCost {
        for node in 0..self.ledgers.len() {
            let local = self.members[node].incarnation;
            let mut others = self.members.clone();
            others.retain(|member| member.incarnation != local);
            self.tell(node, event::LedgerEvent::MembersChanged(others));
            self.tell(node, event::LedgerEvent::TermsChanged(terms()));
        }
        self.advance(WARM_UP, busy);
        (self.bytes, self.spent) = (0, time::Duration::ZERO);
        self.advance(MEASURED, busy);
        let node_seconds = MEASURED.as_secs_f64() * self.ledgers.len() as f64;
        GroupCost {
            bytes: self.bytes as f64 / node_seconds,
            micros: self.spent.as_secs_f64() * 1e6 / node_seconds,
        }
    }

    fn advance(&mut self, span: time::Duration, busy: bool) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let later = self.arriving.split_off(&self.now);
            let due = std::mem::replace(&mut self.arriving, later);
            for (to, from, payload) in due.into_values().flatten() {
                self.tell(to, event::LedgerEvent::Message { from, payload });
            }
            for node in 0..self.ledgers.len() {
                self.step(node, busy);
            }
        }
    }

    fn step(&mut self, node: usize, busy: bool) {
        let offset = usize::try_from(self.ledgers[node].seat_offset()).unwrap_or(0);
        let tail = u64::try_from(self.log.len()).unwrap_or(0);
        let records = self.log.get(offset..).unwrap_or_default().to_vec();
        // As a waiting read is answered: at once by a record, else after a while.
        if !records.is_empty() || self.read_due[node] <= self.now {
            self.read_due[node] = self.now + READ_WAIT;
            let head = 0;
            let page = event::LedgerEvent::SeatsRead {
                records,
                head,
                tail,
            };
            self.tell(node, page);
        }
        if self.ledgers[node].next_wakeup() <= self.now {
            self.tell(node, event::LedgerEvent::Tick);
        }
        if busy && node < DOMAINS {
            self.start_tasks(node);
        }
    }

    /// Keeps tasks of some customers running on one node, as many as allowed.
    fn start_tasks(&mut self, node: usize) {
        let begin = time::Instant::now();
        for number in 0..BUSY_CUSTOMERS {
            let customer = customer(number);
            let started = (0..TASKS_AT_ONCE)
                .take_while(|_| self.ledgers[node].try_start(self.now, &customer))
                .count();
            for _ in 0..started {
                self.ledgers[node].on_end(&customer);
            }
        }
        self.spent += begin.elapsed();
    }

    fn tell(&mut self, node: usize, event: event::LedgerEvent) {
        let mut actions = Vec::new();
        let begin = time::Instant::now();
        self.ledgers[node].handle(self.now, event, &mut actions);
        self.spent += begin.elapsed();
        let from = self.members[node].incarnation;
        for action in actions {
            match action {
                event::LedgerAction::Send { to, payload } => self.send(from, to, payload),
                event::LedgerAction::AppendSeat(record) => self.log.push(claims::SeatPageRecord {
                    offset: u64::try_from(self.log.len()).unwrap_or(0),
                    payload: record.into(),
                }),
            }
        }
    }

    fn send(&mut self, from: names::IncarnationId, to: names::IncarnationId, payload: Vec<u8>) {
        self.bytes += payload.len() + FRAME_BYTES;
        let receiver = self
            .members
            .iter()
            .position(|member| member.incarnation == to);
        if let Some(receiver) = receiver {
            let due = self.now + DELAY;
            let message = (receiver, from, payload);
            self.arriving.entry(due).or_default().push(message);
        }
    }
}

fn customer(number: usize) -> names::CustomerName {
    names::CustomerName::new(format!("customer-{number}"))
}

fn terms() -> Vec<dispatch_event::CustomerTerms> {
    let rows = (0..CUSTOMERS).map(|number| dispatch_event::CustomerTerms {
        customer: customer(number),
        weight: 1,
        max_concurrent: Some(200),
        max_starts_per_second: Some(1_000),
    });
    rows.collect()
}
