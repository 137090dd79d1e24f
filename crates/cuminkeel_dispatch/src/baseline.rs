//! Simple policies to compare with: first in first out, whole servers, no
//! learning. They keep the same rules on starts and answers as any policy.

use std::{collections, time};

use cuminkeel_types::{names, outcome, time as clock};
use rand::{RngExt, SeedableRng, rngs};
use smallvec::SmallVec;

use crate::{event, job_table, policy, share};

/// Pause of a task that a server refused, before its next attempt.
const REFUSED_PAUSE: time::Duration = time::Duration::from_millis(10);
/// Pause of a customer that its allowance stopped, if no time is known.
const ALLOWANCE_PAUSE: time::Duration = time::Duration::from_millis(20);

/// How a baseline picks a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerChoice {
    /// Any server that the task fits.
    Random,
    /// The server with the smallest share of its slots in use by this entry.
    LeastKnownLoad,
    /// Two random servers are probed, the less busy one gets the task.
    TwoChoices,
}

#[derive(Debug)]
struct ServerLoad {
    record: event::ServerRecord,
    running: u32,
}

impl ServerLoad {
    fn takes(&self, size: u32) -> bool {
        !self.record.leaving && size <= self.record.max_size_millicores
    }

    fn has_slot(&self) -> bool {
        self.running < self.record.slots
    }

    /// Share of the slots in use, in thousandths.
    fn load(&self) -> u64 {
        u64::from(self.running) * 1_000 / u64::from(self.record.slots.max(1))
    }
}

#[derive(Debug)]
struct PendingProbe {
    task: outcome::TaskKey,
    waiting: SmallVec<[u64; 2]>,
    best: Option<(u32, names::ServerName)>,
}

/// A policy without learning, for comparison.
#[derive(Debug)]
pub struct BaselinePolicy {
    choice: ServerChoice,
    random: rngs::SmallRng,
    table: job_table::JobTable,
    gate: Box<dyn share::AllowanceGate>,
    servers: Vec<ServerLoad>,
    queue: collections::VecDeque<outcome::TaskKey>,
    paused: collections::BTreeSet<(clock::TimePoint, outcome::TaskKey)>,
    probes: collections::HashMap<u64, u64>,
    probing: collections::HashMap<u64, PendingProbe>,
    next_probe: u64,
    draining: bool,
}

/// What became of an attempt to place the task at the head of the queue.
enum PlaceResult {
    Placed,
    Paused,
    NoServer,
}

impl BaselinePolicy {
    /// A baseline with the given choice of server.
    pub fn new(choice: ServerChoice, gate: Box<dyn share::AllowanceGate>, seed: u64) -> Self {
        Self {
            choice,
            random: rngs::SmallRng::seed_from_u64(seed),
            table: job_table::JobTable::default(),
            gate,
            servers: Vec::new(),
            queue: collections::VecDeque::new(),
            paused: collections::BTreeSet::new(),
            probes: collections::HashMap::new(),
            probing: collections::HashMap::new(),
            next_probe: 0,
            draining: false,
        }
    }

    fn submit(
        &mut self,
        now: clock::TimePoint,
        request: &event::JobRequest,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        if self.draining {
            let refusal = outcome::Refusal::not_run(
                outcome::RefusalCode::Draining,
                "this entry is leaving; ask another",
            )
            .retry_after(time::Duration::ZERO);
            job_table::refuse(request.id, refusal, actions);
            return;
        }
        if request.spec.tasks.is_empty() {
            let refusal =
                outcome::Refusal::not_run(outcome::RefusalCode::BadRequest, "a job needs a task");
            job_table::refuse(request.id, refusal, actions);
            return;
        }
        if !self.table.accept(now, request) {
            return;
        }
        let count = u32::try_from(request.spec.tasks.len()).unwrap_or(u32::MAX);
        let keys = (0..count).map(|index| outcome::TaskKey {
            job: request.id,
            task: names::TaskIndex(index),
        });
        self.queue.extend(keys);
    }

    fn end(
        &mut self,
        now: clock::TimePoint,
        task: &outcome::TaskKey,
        server: &names::ServerName,
        outcome: &outcome::TaskOutcome,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        let Some(ended) = self.table.end(task, server, outcome, actions) else {
            return;
        };
        self.gate.on_end(now, &ended.running.spec.customer);
        if let Some(load) = self.server_mut(server) {
            load.running = load.running.saturating_sub(1);
        }
        if ended.verdict == job_table::EndVerdict::Retry {
            self.paused.insert((now + REFUSED_PAUSE, task.clone()));
        }
    }

    fn server_mut(&mut self, name: &names::ServerName) -> Option<&mut ServerLoad> {
        self.servers
            .iter_mut()
            .find(|load| load.record.name == *name)
    }

    fn replace_servers(&mut self, records: Vec<event::ServerRecord>) {
        let running: collections::HashMap<names::ServerName, u32> = self
            .servers
            .drain(..)
            .map(|load| (load.record.name, load.running))
            .collect();
        self.servers = records
            .into_iter()
            .map(|record| ServerLoad {
                running: running.get(&record.name).copied().unwrap_or(0),
                record,
            })
            .collect();
    }

    fn expire(&mut self, now: clock::TimePoint, actions: &mut Vec<event::DispatchAction>) {
        for job in self.table.expired(now) {
            let code = outcome::RefusalCode::DeadlineExceeded;
            self.table
                .fail(job, code, "the deadline passed first", actions);
        }
    }

    fn resume(&mut self, now: clock::TimePoint) {
        while let Some((due, _)) = self.paused.first()
            && *due <= now
        {
            let task = self.paused.pop_first().map(|(_, task)| task);
            self.queue.extend(task);
        }
    }

    fn place_all(&mut self, now: clock::TimePoint, actions: &mut Vec<event::DispatchAction>) {
        while let Some(task) = self.queue.pop_front() {
            if !self.table.is_waiting(&task) {
                continue;
            }
            if let PlaceResult::NoServer = self.place(now, &task, actions) {
                self.queue.push_front(task);
                break;
            }
        }
    }

    fn place(
        &mut self,
        now: clock::TimePoint,
        task: &outcome::TaskKey,
        actions: &mut Vec<event::DispatchAction>,
    ) -> PlaceResult {
        if self.choice == ServerChoice::TwoChoices {
            return self.probe(task, actions);
        }
        match self.choose(task) {
            Some(server) => self.start(now, task, &server, actions),
            None => PlaceResult::NoServer,
        }
    }

    fn task_size(&self, task: &outcome::TaskKey) -> u32 {
        self.table
            .job(task.job)
            .and_then(|job| job.spec.tasks.get(task.task.0 as usize))
            .map_or(0, |spec| spec.size_millicores)
    }

    fn choose(&mut self, task: &outcome::TaskKey) -> Option<names::ServerName> {
        let size = self.task_size(task);
        let fitting = |load: &&ServerLoad| load.takes(size);
        let chosen = match self.choice {
            ServerChoice::LeastKnownLoad => self
                .servers
                .iter()
                .filter(fitting)
                .filter(|load| load.has_slot())
                .min_by_key(|load| load.load()),
            ServerChoice::Random | ServerChoice::TwoChoices => {
                let count = self.servers.iter().filter(fitting).count();
                let at = self.random.random_range(0..count.max(1));
                self.servers.iter().filter(fitting).nth(at)
            }
        };
        chosen.map(|load| load.record.name.clone())
    }

    fn start(
        &mut self,
        now: clock::TimePoint,
        task: &outcome::TaskKey,
        server: &names::ServerName,
        actions: &mut Vec<event::DispatchAction>,
    ) -> PlaceResult {
        let Some(customer) = self
            .table
            .job(task.job)
            .map(|job| job.spec.customer.clone())
        else {
            return PlaceResult::Paused;
        };
        if !self.gate.try_start(now, &customer) {
            let ready = self.gate.next_ready(now, &customer);
            let due = ready.unwrap_or(now + ALLOWANCE_PAUSE);
            self.paused.insert((due, task.clone()));
            return PlaceResult::Paused;
        }
        self.table
            .start(now, task, server, time::Duration::ZERO, actions);
        if let Some(load) = self.server_mut(server) {
            load.running += 1;
        }
        PlaceResult::Placed
    }

    fn probe(
        &mut self,
        task: &outcome::TaskKey,
        actions: &mut Vec<event::DispatchAction>,
    ) -> PlaceResult {
        let group = self.next_probe;
        let mut pending = PendingProbe {
            task: task.clone(),
            waiting: SmallVec::new(),
            best: None,
        };
        for _ in 0..2 {
            let Some(server) = self.choose(task) else {
                return PlaceResult::NoServer;
            };
            let probe = self.next_probe;
            self.next_probe += 1;
            self.probes.insert(probe, group);
            pending.waiting.push(probe);
            actions.push(event::DispatchAction::ProbeServer { probe, server });
        }
        self.probing.insert(group, pending);
        PlaceResult::Placed
    }

    fn probed(
        &mut self,
        now: clock::TimePoint,
        probe: u64,
        answer: (names::ServerName, Option<u32>),
        actions: &mut Vec<event::DispatchAction>,
    ) {
        let Some(group) = self.probes.remove(&probe) else {
            return;
        };
        let Some(pending) = self.probing.get_mut(&group) else {
            return;
        };
        pending.waiting.retain(|waiting| *waiting != probe);
        let (server, busy) = answer;
        let busy = busy.unwrap_or(u32::MAX);
        if pending.best.as_ref().is_none_or(|(best, _)| busy < *best) {
            pending.best = Some((busy, server));
        }
        if !pending.waiting.is_empty() {
            return;
        }
        let Some(pending) = self.probing.remove(&group) else {
            return;
        };
        if let Some((_, server)) = pending.best {
            self.start(now, &pending.task, &server, actions);
        }
    }

    fn cancel(&mut self, job: names::JobId, actions: &mut Vec<event::DispatchAction>) {
        let code = outcome::RefusalCode::Cancelled;
        self.table
            .fail(job, code, "cancelled by the caller", actions);
    }
}

impl policy::DispatchPolicy for BaselinePolicy {
    fn handle(
        &mut self,
        now: clock::TimePoint,
        event: event::DispatchEvent,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        self.expire(now, actions);
        match event {
            event::DispatchEvent::JobSubmitted(request) => self.submit(now, &request, actions),
            event::DispatchEvent::JobCancelled(job) => self.cancel(job, actions),
            event::DispatchEvent::TaskEnded {
                task,
                server,
                outcome,
            } => self.end(now, &task, &server, &outcome, actions),
            event::DispatchEvent::ServersChanged(records) => self.replace_servers(records),
            event::DispatchEvent::TermsChanged(terms) => self.gate.set_terms(now, &terms),
            event::DispatchEvent::ServerProbed {
                probe,
                server,
                busy,
            } => self.probed(now, probe, (server, busy), actions),
            event::DispatchEvent::DrainStarted => self.draining = true,
            event::DispatchEvent::SiblingsChanged(_)
            | event::DispatchEvent::ServerReported { .. }
            | event::DispatchEvent::SiblingMessage { .. }
            | event::DispatchEvent::WakeupDue => {}
        }
        self.resume(now);
        self.place_all(now, actions);
    }

    fn next_wakeup(&self) -> Option<clock::TimePoint> {
        let paused = self.paused.first().map(|(due, _)| *due);
        self.table.next_deadline().into_iter().chain(paused).min()
    }

    fn status(&self, _now: clock::TimePoint) -> policy::DispatchStatus {
        let servers = self.servers.iter().map(|load| policy::ServerStatus {
            server: load.record.name.clone(),
            usable_slots: load.record.slots,
            running: load.running,
            state: if load.record.leaving {
                policy::ServerState::Leaving
            } else {
                policy::ServerState::Live
            },
            slowness: 1.0,
        });
        policy::DispatchStatus {
            jobs: self.table.len(),
            queued_tasks: self.queue.len() + self.paused.len(),
            running_tasks: self.table.running_tasks(),
            servers: servers.collect(),
            customers: Vec::new(),
        }
    }
}
