//! Entries with drifting clocks, a lossy network and a log, in virtual time.

use std::{collections, sync, time};

use cuminkeel_dispatch::{
    allowance::{
        ShareLedger, claims,
        event::{LedgerAction, LedgerEvent},
        settings,
    },
    event::CustomerTerms,
};
use cuminkeel_types::{names, time::TimePoint};
use rand::{RngExt, SeedableRng, rngs};

pub const MAX_TASK_TIME: time::Duration = time::Duration::from_secs(2);
pub const STEP_MICROS: u64 = 10_000;
const POLL_MICROS: u64 = 100_000;
const SIGHT_MICROS: u64 = 1_500_000;

/// How messages fare.
#[derive(Clone, Copy, Debug)]
pub struct NetFaults {
    pub loss: f64,
    pub double: f64,
    pub slow: f64,
}

pub const CALM: NetFaults = NetFaults {
    loss: 0.0,
    double: 0.0,
    slow: 0.0,
};

#[derive(Debug)]
pub struct ModelNode {
    pub ledger: Option<ShareLedger>,
    pub member: settings::ShareMember,
    pub reaches_log: bool,
    pub island: usize,
    pub paused_until: u64,
    /// Tasks that the node wants to run at once, by customer.
    pub demand: Vec<u32>,
    running: Vec<u32>,
    pub sent_messages: u64,
    pub sent_bytes: u64,
    pub appends: u64,
    drift_permille: i64,
    origin: u64,
    seen: collections::BTreeMap<usize, u64>,
    next_poll: u64,
}

#[derive(Debug)]
struct RunningTask {
    end: u64,
    node: usize,
    incarnation: names::IncarnationId,
    customer: usize,
}

#[derive(Debug)]
struct ModelMail {
    from: usize,
    sender: names::IncarnationId,
    to: names::IncarnationId,
    payload: Vec<u8>,
}

pub struct ShareModel {
    pub now: u64,
    pub nodes: Vec<ModelNode>,
    pub faults: NetFaults,
    pub terms: Vec<CustomerTerms>,
    /// Greatest limits that some entry may still go by.
    pub bounds: Vec<(u32, u32)>,
    pub starts: Vec<collections::VecDeque<u64>>,
    pub started: Vec<u64>,
    pub task_millis: (u64, u64),
    pub log: Vec<sync::Arc<[u8]>>,
    pub check_starts: bool,
    settings: settings::SeatMap,
    domains: Vec<names::FailureDomain>,
    mail: collections::BTreeMap<(u64, u64), ModelMail>,
    late_appends: Vec<(u64, Vec<u8>)>,
    tasks: Vec<RunningTask>,
    pub running: Vec<u32>,
    places: collections::BTreeMap<names::IncarnationId, usize>,
    rng: rngs::StdRng,
    serial: u64,
}

impl ShareModel {
    pub fn new(domain_sizes: &[usize], seats: u16, terms: Vec<CustomerTerms>, seed: u64) -> Self {
        let names = (0..domain_sizes.len()).map(|domain| format!("domain-{domain}"));
        let domains: Vec<names::FailureDomain> = names.map(|name| name.as_str().into()).collect();
        let customers = terms.len();
        let bounds = terms.iter().map(|row| {
            let tasks = row.max_concurrent.unwrap_or(u32::MAX);
            (tasks, row.max_starts_per_second.unwrap_or(u32::MAX))
        });
        let mut model = Self {
            now: 0,
            nodes: Vec::new(),
            faults: CALM,
            bounds: bounds.collect(),
            terms,
            starts: vec![collections::VecDeque::new(); customers],
            started: vec![0; customers],
            task_millis: (50, 500),
            log: Vec::new(),
            check_starts: true,
            settings: settings::SeatMap::new(domains.clone(), seats),
            domains,
            mail: collections::BTreeMap::new(),
            late_appends: Vec::new(),
            tasks: Vec::new(),
            running: vec![0; customers],
            places: collections::BTreeMap::new(),
            rng: rngs::StdRng::seed_from_u64(seed),
            serial: 0,
        };
        for (domain, size) in domain_sizes.iter().enumerate() {
            for _ in 0..*size {
                model.add_node(domain);
            }
        }
        model
    }

    fn add_node(&mut self, domain: usize) {
        let index = self.nodes.len();
        let member = settings::ShareMember {
            incarnation: names::IncarnationId(0),
            vm: format!("vm-{index}").as_str().into(),
            domain: self.domains[domain].clone(),
        };
        self.nodes.push(ModelNode {
            ledger: None,
            member,
            reaches_log: true,
            island: 0,
            paused_until: 0,
            demand: vec![0; self.terms.len()],
            running: vec![0; self.terms.len()],
            sent_messages: 0,
            sent_bytes: 0,
            appends: 0,
            drift_permille: 0,
            origin: 0,
            seen: collections::BTreeMap::new(),
            next_poll: 0,
        });
        self.start(index);
    }

    /// Starts a new process in the node's place.
    pub fn start(&mut self, index: usize) {
        let incarnation = names::IncarnationId(self.rng.random_range(1..u64::MAX));
        let drift = i64::from(settings::MAX_DRIFT_PERMILLE);
        let drift_permille = self.rng.random_range(-drift..=drift);
        let origin = self.rng.random_range(0..1_000_000_000);
        let seed = self.rng.random_range(0..u64::MAX);
        let node = &mut self.nodes[index];
        self.places.remove(&node.member.incarnation);
        self.places.insert(incarnation, index);
        node.member.incarnation = incarnation;
        node.drift_permille = drift_permille;
        node.origin = origin;
        node.paused_until = 0;
        node.seen.clear();
        node.running.fill(0);
        let settings = settings::LedgerSettings {
            local: node.member.clone(),
            seats: self.settings.clone(),
            max_task_time: MAX_TASK_TIME,
            refresh_interval: time::Duration::from_mins(1),
        };
        let now = local_time(node, self.now);
        node.ledger = Some(ShareLedger::new(now, settings, seed));
        let terms = self.terms.clone();
        self.feed(index, LedgerEvent::TermsChanged(terms));
    }

    /// Ends the process; its tasks run on.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].ledger = None;
    }

    pub fn set_terms_on(&mut self, index: usize) {
        let terms = self.terms.clone();
        self.feed(index, LedgerEvent::TermsChanged(terms));
    }

    fn is_up(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.ledger.is_some() && node.paused_until <= self.now
    }

    pub fn feed(&mut self, index: usize, event: LedgerEvent) {
        let now = local_time(&self.nodes[index], self.now);
        let mut actions = Vec::new();
        if let Some(ledger) = &mut self.nodes[index].ledger {
            ledger.handle(now, event, &mut actions);
        }
        for action in actions {
            match action {
                LedgerAction::Send { to, payload } => self.post(index, to, &payload),
                LedgerAction::AppendSeat(bytes) => self.append(index, bytes),
            }
        }
    }

    fn post(&mut self, from: usize, to: names::IncarnationId, payload: &[u8]) {
        self.nodes[from].sent_messages += 1;
        self.nodes[from].sent_bytes += payload.len() as u64;
        let copies = 1 + u32::from(self.rng.random_bool(self.faults.double));
        for _ in 0..copies {
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let delay = if self.rng.random_bool(self.faults.slow) {
                self.rng.random_range(10_000..6_000_000)
            } else {
                self.rng.random_range(300..3_000)
            };
            self.serial += 1;
            let mail = ModelMail {
                from,
                sender: self.nodes[from].member.incarnation,
                to,
                payload: payload.to_vec(),
            };
            self.mail.insert((self.now + delay, self.serial), mail);
        }
    }

    fn append(&mut self, index: usize, bytes: Vec<u8>) {
        self.nodes[index].appends += 1;
        if !self.nodes[index].reaches_log || self.rng.random_bool(self.faults.loss) {
            return;
        }
        if self.rng.random_bool(self.faults.double) {
            let late = self.now + self.rng.random_range(10_000..8_000_000);
            self.late_appends.push((late, bytes.clone()));
        }
        self.log.push(bytes.into());
    }

    /// Lets one step of time pass.
    pub fn step(&mut self) {
        self.now += STEP_MICROS;
        let now = self.now;
        let (due, late) = std::mem::take(&mut self.late_appends)
            .into_iter()
            .partition(|late| late.0 <= now);
        self.late_appends = late;
        let due: Vec<(u64, Vec<u8>)> = due;
        self.log
            .extend(due.into_iter().map(|(_, bytes)| bytes.into()));
        self.end_tasks();
        self.deliver();
        for index in 0..self.nodes.len() {
            if self.is_up(index) {
                self.poll(index);
                self.tick(index);
                self.start_tasks(index);
            }
        }
        self.check();
    }

    pub fn run(&mut self, span: time::Duration) {
        let end = self.now + u64::try_from(span.as_micros()).expect("short");
        while self.now < end {
            self.step();
        }
    }

    fn end_tasks(&mut self) {
        let now = self.now;
        for task in &self.tasks {
            if task.end > now {
                continue;
            }
            self.running[task.customer] -= 1;
            let node = &mut self.nodes[task.node];
            if node.member.incarnation == task.incarnation
                && let Some(ledger) = &mut node.ledger
            {
                node.running[task.customer] -= 1;
                ledger.on_end(&self.terms[task.customer].customer);
            }
        }
        self.tasks.retain(|task| task.end > now);
    }

    fn connected(&self, one: usize, other: usize) -> bool {
        self.nodes[one].island == self.nodes[other].island
    }

    fn deliver(&mut self) {
        let later = self.mail.split_off(&(self.now + 1, 0));
        let due = std::mem::replace(&mut self.mail, later);
        for mail in due.into_values() {
            let to = self.places.get(&mail.to).copied();
            let Some(to) = to.filter(|to| self.connected(mail.from, *to)) else {
                continue;
            };
            if self.nodes[to].paused_until > self.now {
                self.serial += 1;
                self.mail
                    .insert((self.nodes[to].paused_until, self.serial), mail);
                continue;
            }
            let from = mail.sender;
            let payload = mail.payload;
            self.feed(to, LedgerEvent::Message { from, payload });
        }
    }

    /// Reads the log and looks who is live.
    fn poll(&mut self, index: usize) {
        if self.nodes[index].next_poll > self.now {
            return;
        }
        self.nodes[index].next_poll = self.now + POLL_MICROS;
        for other in 0..self.nodes.len() {
            let sighted = other != index && self.is_up(other) && self.connected(index, other);
            if sighted {
                self.nodes[index].seen.insert(other, self.now);
            }
        }
        let seen = self.nodes[index].seen.iter();
        let live = seen.filter(|(_, at)| self.now - **at < SIGHT_MICROS);
        let members = live
            .map(|(other, _)| self.nodes[*other].member.clone())
            .collect();
        self.feed(index, LedgerEvent::MembersChanged(members));
        if self.nodes[index].reaches_log {
            let ledger = self.nodes[index].ledger.as_ref();
            let offset = ledger.map_or(0, ShareLedger::seat_offset);
            let start = usize::try_from(offset).expect("small");
            let records = self.log.iter().enumerate().skip(start).take(64);
            let records = records.map(|(offset, payload)| claims::SeatPageRecord {
                offset: offset as u64,
                payload: payload.clone(),
            });
            let event = LedgerEvent::SeatsRead {
                records: records.collect(),
                head: 0,
                tail: self.log.len() as u64,
            };
            self.feed(index, event);
        }
    }

    fn tick(&mut self, index: usize) {
        let now = local_time(&self.nodes[index], self.now);
        let ledger = self.nodes[index].ledger.as_ref();
        if ledger.is_some_and(|ledger| ledger.next_wakeup() <= now) {
            self.feed(index, LedgerEvent::Tick);
        }
    }

    fn start_tasks(&mut self, index: usize) {
        let now = local_time(&self.nodes[index], self.now);
        let incarnation = self.nodes[index].member.incarnation;
        for customer in 0..self.terms.len() {
            if self.nodes[index].demand[customer] == 0 {
                continue;
            }
            while self.nodes[index].running[customer] < self.nodes[index].demand[customer] {
                let name = &self.terms[customer].customer;
                let ledger = self.nodes[index].ledger.as_mut();
                if !ledger.is_some_and(|ledger| ledger.try_start(now, name)) {
                    break;
                }
                let millis = self
                    .rng
                    .random_range(self.task_millis.0..=self.task_millis.1);
                self.tasks.push(RunningTask {
                    end: self.now + millis * 1_000,
                    node: index,
                    incarnation,
                    customer,
                });
                self.running[customer] += 1;
                self.starts[customer].push_back(self.now);
                self.started[customer] += 1;
                self.nodes[index].running[customer] += 1;
            }
        }
    }

    fn check(&mut self) {
        const WINDOW_SECONDS: u32 = 5;
        let oldest = self
            .now
            .saturating_sub(u64::from(WINDOW_SECONDS) * 1_000_000);
        for customer in 0..self.terms.len() {
            let (tasks, rate) = self.bounds[customer];
            let running = self.running[customer];
            assert!(
                running <= tasks,
                "{running} tasks where {tasks} are allowed, at {}",
                self.now
            );
            let starts = &mut self.starts[customer];
            while starts.front().is_some_and(|start| *start < oldest) {
                starts.pop_front();
            }
            // A burst of at most one second's starts comes on top.
            let bound = rate.saturating_mul(WINDOW_SECONDS + 1);
            let count = u32::try_from(starts.len()).expect("few");
            assert!(
                !self.check_starts || count <= bound,
                "{count} starts where {bound} are allowed"
            );
        }
    }

    /// Seats that entries use now.
    pub fn seats_in_use(&self) -> usize {
        let up = self.nodes.iter().filter(|node| node.ledger.is_some());
        let seats = up.map(|node| {
            let now = local_time(node, self.now);
            node.ledger
                .as_ref()
                .map_or(0, |ledger| ledger.usable_seats(now).len())
        });
        seats.sum()
    }
}

fn local_time(node: &ModelNode, now: u64) -> TimePoint {
    let signed = i64::try_from(now).expect("short");
    let skew = signed * node.drift_permille / 1_000;
    let micros = signed + skew + i64::try_from(node.origin).expect("short");
    TimePoint::from_micros(u64::try_from(micros).expect("not negative"))
}

pub fn terms(customers: &[(u32, u32)]) -> Vec<CustomerTerms> {
    let rows = customers
        .iter()
        .enumerate()
        .map(|(index, (tasks, starts))| CustomerTerms {
            customer: format!("customer-{index}").as_str().into(),
            weight: 1,
            max_concurrent: Some(*tasks),
            max_starts_per_second: Some(*starts),
        });
    rows.collect()
}
