//! Fake servers and a fake network around real policies, in simulated time.
//!
//! It stands in for the shell at the policy's interface: it carries out actions,
//! reports what followed, and counts messages and broken rules.

use std::{cmp, collections, sync, time};

use cuminkeel_dispatch::{event, factory, policy, share};
use cuminkeel_types::{job, names, outcome, time as clock};

/// One-way delay between an entry and a server.
pub const SERVER_DELAY: time::Duration = time::Duration::from_micros(200);
/// One-way delay between two entries.
pub const SIBLING_DELAY: time::Duration = time::Duration::from_micros(700);
/// Run time of a task that a broken server fails.
const FAST_FAILURE: time::Duration = time::Duration::from_millis(2);

/// How a server misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Fails each task at once.
    FailsAll,
    /// Takes tasks and never answers.
    SwallowsAll,
    /// Runs this many times slower from a time on.
    SlowsDown {
        from_secs: f64,
        factor: f64,
    },
}

#[derive(Clone, Debug)]
pub struct FakeServer {
    pub record: event::ServerRecord,
    pub slowness: f64,
    pub fault: Fault,
    busy: collections::BTreeSet<outcome::TaskKey>,
}

/// A job with the true work of its tasks, in seconds on the fastest server.
#[derive(Clone, Debug)]
pub struct TrueJob {
    pub at: clock::TimePoint,
    pub entry: usize,
    pub request: event::JobRequest,
    pub work: Vec<f64>,
    pub poison: bool,
}

#[derive(Clone, Debug)]
pub struct JobResult {
    pub job: TrueJob,
    pub finished: clock::TimePoint,
    pub answer: outcome::JobAnswer,
}

#[derive(Clone, Debug, Default)]
pub struct RunCounts {
    pub starts: u64,
    pub wasted_messages: u64,
    pub refused_full: u64,
    pub stops: u64,
    pub sibling_messages: u64,
    pub broken_rules: Vec<String>,
    /// Slot time by customer, in seconds.
    pub slot_secs: collections::BTreeMap<names::CustomerName, f64>,
    /// Work of answered jobs, in seconds on the fastest server.
    pub useful_secs: f64,
    /// Work done by the servers, useful or not, in seconds on the fastest server.
    pub done_secs: f64,
    /// Failed attempts, with their times.
    pub failed_at: Vec<clock::TimePoint>,
}

#[derive(Clone, Debug)]
enum Happening {
    Tell(usize, event::DispatchEvent),
    Submit(Box<TrueJob>),
    Arrive(usize, outcome::TaskKey, usize, time::Duration),
    Finish(usize, outcome::TaskKey, usize, bool),
    Stop(usize, outcome::TaskKey, usize),
    Probe(usize, u64, usize),
}

struct Scheduled(clock::TimePoint, u64, Happening);

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Scheduled {}

/// Entries of one failure domain and its servers.
pub struct FakeDomain {
    pub now: clock::TimePoint,
    pub entries: Vec<Box<dyn policy::DispatchPolicy>>,
    pub servers: Vec<FakeServer>,
    pub counts: RunCounts,
    pub results: Vec<JobResult>,
    pub open: collections::BTreeMap<names::JobId, TrueJob>,
    in_flight: collections::BTreeMap<outcome::TaskKey, clock::TimePoint>,
    /// Tasks sent whose attempt is not proved not started.
    sent: collections::BTreeSet<outcome::TaskKey>,
    /// Whether each start is checked against the slots that its entry may use.
    pub check_slots: bool,
    /// Every so many sibling messages one is lost and the next one doubled; zero for none.
    pub loss_period: u64,
    /// Whether servers report their busy slots with each answer.
    pub reports: bool,
    heap: collections::BinaryHeap<Scheduled>,
    sequence: u64,
}

/// A sibling by number.
pub fn sibling(at: usize) -> event::SiblingEntry {
    event::SiblingEntry {
        vm: names::VmName::new(format!("entry-{at}")),
        incarnation: names::IncarnationId(at as u64 + 1),
    }
}

/// A server record by number.
pub fn record(at: usize, slots: u32) -> event::ServerRecord {
    event::ServerRecord {
        name: names::ServerName::new(format!("server-{at}")),
        domain: "gebze".into(),
        rack: names::RackName::new(format!("rack-{}", at / 8)),
        slots,
        max_size_millicores: 4_000,
        leaving: false,
    }
}

impl FakeDomain {
    /// `weights` are those of response and of messages.
    pub fn new(
        name: &str,
        weights: (f64, f64),
        entries: usize,
        servers: Vec<(event::ServerRecord, f64, Fault)>,
        terms: &[event::CustomerTerms],
        seed: u64,
    ) -> Self {
        let make = |at: usize| {
            let settings = factory::PolicySettings {
                local: sibling(at),
                domain: "gebze".into(),
                response_weight: weights.0,
                message_weight: weights.1,
            };
            let gate = Box::new(share::LocalGate::default());
            factory::policy_by_name(name, &settings, gate, seed + at as u64).unwrap()
        };
        let mut domain = Self {
            now: clock::TimePoint::from_millis(1),
            entries: (0..entries).map(make).collect(),
            servers: servers
                .into_iter()
                .map(|(record, slowness, fault)| FakeServer {
                    record,
                    slowness,
                    fault,
                    busy: collections::BTreeSet::new(),
                })
                .collect(),
            counts: RunCounts::default(),
            results: Vec::new(),
            open: collections::BTreeMap::new(),
            in_flight: collections::BTreeMap::new(),
            sent: collections::BTreeSet::new(),
            check_slots: false,
            loss_period: 0,
            reports: false,
            heap: collections::BinaryHeap::new(),
            sequence: 0,
        };
        domain.introduce(terms);
        domain
    }

    fn introduce(&mut self, terms: &[event::CustomerTerms]) {
        let records: Vec<_> = self
            .servers
            .iter()
            .map(|server| server.record.clone())
            .collect();
        let count = self.entries.len();
        for at in 0..count {
            let siblings = (0..count)
                .filter(|other| *other != at)
                .map(sibling)
                .collect();
            self.tell(at, event::DispatchEvent::ServersChanged(records.clone()));
            self.tell(at, event::DispatchEvent::SiblingsChanged(siblings));
            self.tell(at, event::DispatchEvent::TermsChanged(terms.to_vec()));
        }
    }

    fn schedule(&mut self, at: clock::TimePoint, happening: Happening) {
        self.sequence += 1;
        self.heap.push(Scheduled(at, self.sequence, happening));
    }

    /// Has a job arrive at its time.
    pub fn submit(&mut self, job: TrueJob) {
        self.schedule(job.at, Happening::Submit(Box::new(job)));
    }

    /// Runs until nothing is left to happen before `end`.
    pub fn run_until(&mut self, end: clock::TimePoint) {
        loop {
            let wakeups = self.entries.iter().enumerate();
            let wakeup = wakeups
                .filter_map(|(at, entry)| Some((entry.next_wakeup()?, at)))
                .min();
            let next = self.heap.peek().map(|scheduled| scheduled.0);
            match (wakeup, next) {
                (Some((due, at)), _) if due <= end && next.is_none_or(|next| due < next) => {
                    self.now = self.now.max(due);
                    self.tell(at, event::DispatchEvent::WakeupDue);
                }
                (_, Some(next)) if next <= end => {
                    let Some(Scheduled(at, _, happening)) = self.heap.pop() else {
                        return;
                    };
                    self.now = at;
                    self.happen(happening);
                }
                _ => {
                    self.now = end;
                    return;
                }
            }
        }
    }

    /// Tells an entry of an event now and carries out what it asks for.
    pub fn tell(&mut self, at: usize, event: event::DispatchEvent) {
        let mut actions = Vec::new();
        self.entries[at].handle(self.now, event, &mut actions);
        if self.check_slots {
            self.check_starts(at, &actions);
        }
        for action in actions {
            self.carry_out(at, action);
        }
    }

    fn check_starts(&mut self, at: usize, actions: &[event::DispatchAction]) {
        let status = self.entries[at].status(self.now);
        for action in actions {
            let event::DispatchAction::StartTask { server, .. } = action else {
                continue;
            };
            let line = status.servers.iter().find(|line| line.server == *server);
            let within = line.is_some_and(|line| line.running <= line.usable_slots);
            if !within {
                self.broken(format!("start beyond usable slots: {line:?}"));
            }
        }
    }

    fn server_at(&self, name: &names::ServerName) -> usize {
        let position = self
            .servers
            .iter()
            .position(|server| server.record.name == *name);
        position.expect("an entry named a server that was never listed")
    }

    fn carry_out(&mut self, at: usize, action: event::DispatchAction) {
        match action {
            event::DispatchAction::StartTask {
                task,
                server,
                time_left,
            } => {
                let server = self.server_at(&server);
                self.counts.starts += 1;
                self.in_flight.insert(task.clone(), self.now);
                if !self.sent.insert(task.clone()) {
                    self.broken(format!("second start of {task:?}"));
                }
                if !self.open.contains_key(&task.job) {
                    self.broken(format!("start of an answered job {task:?}"));
                }
                let arrival = Happening::Arrive(at, task, server, time_left);
                self.schedule(self.now + SERVER_DELAY, arrival);
            }
            event::DispatchAction::StopTask { task, server } => {
                let server = self.server_at(&server);
                self.counts.stops += 1;
                self.counts.wasted_messages += 2;
                self.schedule(self.now + SERVER_DELAY, Happening::Stop(at, task, server));
            }
            event::DispatchAction::FinishJob { job, answer } => self.finish(job, answer),
            event::DispatchAction::ProbeServer { probe, server } => {
                let server = self.server_at(&server);
                self.counts.wasted_messages += 2;
                self.schedule(self.now + SERVER_DELAY, Happening::Probe(at, probe, server));
            }
            event::DispatchAction::SendSibling { to, payload } => {
                self.counts.wasted_messages += 1;
                self.counts.sibling_messages += 1;
                let to = usize::try_from(to.incarnation.0 - 1).unwrap();
                let event = event::DispatchEvent::SiblingMessage {
                    from: sibling(at),
                    payload,
                };
                let copies = match self.counts.sibling_messages.checked_rem(self.loss_period) {
                    Some(0) => 0,
                    Some(1) => 2,
                    _ => 1,
                };
                for _ in 0..copies {
                    let arrival = self.now + SIBLING_DELAY;
                    self.schedule(arrival, Happening::Tell(to, event.clone()));
                }
            }
        }
    }

    fn broken(&mut self, rule: String) {
        self.counts.broken_rules.push(rule);
    }

    fn finish(&mut self, job: names::JobId, answer: outcome::JobAnswer) {
        let Some(job) = self.open.remove(&job) else {
            self.broken(format!("second answer of {job}"));
            return;
        };
        match &answer {
            outcome::JobAnswer::Complete { outputs } => {
                let whole = (0..job.work.len()).map(|at| format!("{}-{at}", job.request.id));
                if !whole.eq(outputs.iter().map(ToString::to_string)) {
                    self.broken(format!("partial answer of {}", job.request.id));
                }
                self.counts.useful_secs += job.work.iter().sum::<f64>();
            }
            outcome::JobAnswer::Failed(refusal) => {
                let any_sent = self.any_sent(job.request.id);
                if refusal.ran == outcome::RunStatus::NotRun && any_sent {
                    self.broken(format!("false not_run of {}", job.request.id));
                }
            }
        }
        let finished = self.now;
        self.results.push(JobResult {
            job,
            finished,
            answer,
        });
    }

    fn any_sent(&self, job: names::JobId) -> bool {
        let first = outcome::TaskKey {
            job,
            task: names::TaskIndex(0),
        };
        self.sent
            .range(first..)
            .next()
            .is_some_and(|key| key.job == job)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tell(at, event) => self.tell(at, event),
            Happening::Submit(job) => {
                let (at, request) = (job.entry, job.request.clone());
                self.open.insert(request.id, *job);
                self.tell(at, event::DispatchEvent::JobSubmitted(request));
            }
            Happening::Arrive(at, task, server, left) => self.arrive(at, task, server, left),
            Happening::Finish(at, task, server, fails) => {
                if self.servers[server].busy.remove(&task) {
                    self.reply_end(at, task, server, fails);
                }
            }
            Happening::Stop(at, task, server) => {
                if self.servers[server].busy.remove(&task) {
                    self.reply_end(at, task, server, true);
                }
            }
            Happening::Probe(at, probe, server) => {
                let busy = u32::try_from(self.servers[server].busy.len()).ok();
                let name = self.servers[server].record.name.clone();
                let event = event::DispatchEvent::ServerProbed {
                    probe,
                    server: name,
                    busy,
                };
                self.schedule(self.now + SERVER_DELAY, Happening::Tell(at, event));
            }
        }
    }

    fn arrive(&mut self, at: usize, task: outcome::TaskKey, server: usize, left: time::Duration) {
        let fake = &mut self.servers[server];
        if fake.busy.len() >= fake.record.slots as usize {
            self.counts.wasted_messages += 2;
            self.counts.refused_full += 1;
            let cause = outcome::NotStartedCause::SlotsFull;
            self.sent.remove(&task);
            self.in_flight.remove(&task);
            self.reply(at, task, server, outcome::TaskOutcome::NotStarted { cause });
            return;
        }
        fake.busy.insert(task.clone());
        let seconds = self.now.as_micros() as f64 / 1e6;
        let job = self.open.get(&task.job);
        let work = job.map_or(0.1, |job| job.work[task.task.0 as usize]);
        let poison = job.is_some_and(|job| job.poison);
        let (run, fails) = match fake.fault {
            Fault::SwallowsAll => {
                let detail = "no answer".into();
                let lost = outcome::TaskOutcome::Lost { detail };
                self.in_flight.remove(&task);
                let name = fake.record.name.clone();
                let event = event::DispatchEvent::TaskEnded {
                    task,
                    server: name,
                    outcome: lost,
                };
                self.schedule(self.now + left, Happening::Tell(at, event));
                return;
            }
            Fault::FailsAll => (FAST_FAILURE, true),
            _ if poison => (FAST_FAILURE, true),
            Fault::SlowsDown { from_secs, factor } if seconds >= from_secs => (
                time::Duration::from_secs_f64(work * fake.slowness * factor),
                false,
            ),
            _ => (time::Duration::from_secs_f64(work * fake.slowness), false),
        };
        self.schedule(self.now + run, Happening::Finish(at, task, server, fails));
    }

    fn reply_end(&mut self, at: usize, task: outcome::TaskKey, server: usize, fails: bool) {
        let started = self.in_flight.remove(&task).unwrap_or(self.now);
        let spent = self.now.since(started).as_secs_f64();
        self.counts.done_secs += spent / self.servers[server].slowness;
        let job = self.open.get(&task.job);
        let customer = job.map(|job| job.request.spec.customer.clone());
        if let Some(customer) = customer {
            let secs = self.now.since(started).as_secs_f64();
            *self.counts.slot_secs.entry(customer).or_default() += secs;
        }
        let output = format!("{}-{}", task.job, task.task.0).into();
        let run_time = self.now.since(started);
        let outcome = if fails {
            self.counts.failed_at.push(self.now);
            outcome::TaskOutcome::Failed {
                detail: "failed".into(),
            }
        } else {
            outcome::TaskOutcome::Done { output, run_time }
        };
        self.reply(at, task, server, outcome);
    }

    fn reply(
        &mut self,
        at: usize,
        task: outcome::TaskKey,
        server: usize,
        outcome: outcome::TaskOutcome,
    ) {
        if self.reports {
            let busy = u32::try_from(self.servers[server].busy.len()).unwrap();
            let name = self.servers[server].record.name.clone();
            let report = event::DispatchEvent::ServerReported { server: name, busy };
            self.schedule(self.now + SERVER_DELAY, Happening::Tell(at, report));
        }
        let server = self.servers[server].record.name.clone();
        let event = event::DispatchEvent::TaskEnded {
            task,
            server,
            outcome,
        };
        self.schedule(self.now + SERVER_DELAY, Happening::Tell(at, event));
    }
}

/// Makes a request from true work and the declared run times, in seconds.
pub fn request(
    id: u128,
    customer: &str,
    classes: &[&'static str],
    deadline: f64,
    declared: &[f64],
) -> event::JobRequest {
    let tasks = classes
        .iter()
        .zip(declared)
        .map(|(class, secs)| job::TaskSpec {
            class: (*class).into(),
            size_millicores: 500,
            declared_run_time: time::Duration::from_secs_f64(*secs),
            payload: "{}".into(),
        });
    let spec = job::JobSpec {
        customer: customer.into(),
        idempotent: false,
        trace_parent: None,
        deadline: time::Duration::from_secs_f64(deadline),
        tasks: tasks.collect(),
    };
    event::JobRequest {
        id: names::JobId(id),
        spec: sync::Arc::new(spec),
    }
}
