//! The product's dispatch policy: divided slots with loans, learnt speeds, fair
//! queueing, admission by deadline, ejection by evidence.

mod endings;
mod placing;
mod retries;

use std::{collections, time};

use cuminkeel_types::{job, names, outcome, time as clock};

use crate::{
    admission, declared_fit, event, factory, fair_queue, job_table, length_ranks, policy,
    server_health, server_pool, share, slot_lending, speed_model,
};

/// Pause between two looks at servers without recent observations.
const FORGET_PERIOD: time::Duration = time::Duration::from_secs(10);
/// Time without jobs of one task after which larger jobs serve for trials.
const SINGLE_TASK_WAIT: time::Duration = time::Duration::from_secs(5);
/// Run times for which a job yields to shorter ones that arrive later.
const YIELD_RATIO: f64 = 4.0;
/// Mean run times for which a server's report of its busy slots is believed.
const BELIEVED_RUNS: f64 = 0.5;
/// Wasted messages per task that equal weights of response and messages pay for.
const BALANCED_MESSAGES: f64 = 0.075;
/// Fewest and most wasted messages per task, whatever the weights.
const MESSAGE_RANGE: (f64, f64) = (0.02, 0.16);

/// Where an open job stands in the queue.
#[derive(Clone, Copy, Debug)]
struct JobPlace {
    customer: fair_queue::CustomerIndex,
    rank: fair_queue::JobRank,
    /// When the job would end if it had the fastest servers for itself.
    ideal_end: clock::TimePoint,
    /// Share of recent jobs that are shorter.
    length_rank: f64,
}

/// Decides by learnt speeds, divided slots and fair queueing.
#[derive(Debug)]
pub struct SlotPolicy {
    local: names::VmName,
    domain: names::FailureDomain,
    entries: Vec<names::VmName>,
    table: job_table::JobTable,
    places: collections::HashMap<names::JobId, JobPlace>,
    queue: fair_queue::FairQueue,
    pool: server_pool::ServerPool,
    model: speed_model::SpeedModel,
    fits: declared_fit::DeclaredFits,
    rates: server_health::FailureRates,
    lending: slot_lending::SlotLending,
    gate: Box<dyn share::AllowanceGate>,
    held: placing::HeldTasks,
    retries: retries::RetryBudget,
    lengths: length_ranks::LengthRanks,
    blocked: collections::BTreeSet<(clock::TimePoint, fair_queue::CustomerIndex)>,
    next_forget: clock::TimePoint,
    /// When tasks of larger jobs may be used for trials, for want of jobs of one task.
    trials_open: clock::TimePoint,
    draining: bool,
}

impl SlotPolicy {
    /// A policy that knows no server, customer or sibling yet.
    pub fn new(settings: &factory::PolicySettings, gate: Box<dyn share::AllowanceGate>) -> Self {
        let (fewest, most) = MESSAGE_RANGE;
        let ratio = settings.response_weight / settings.message_weight.max(f64::MIN_POSITIVE);
        let messages = (BALANCED_MESSAGES * ratio.sqrt()).clamp(fewest, most);
        Self {
            local: settings.local.vm.clone(),
            domain: settings.domain.clone(),
            entries: vec![settings.local.vm.clone()],
            table: job_table::JobTable::default(),
            places: collections::HashMap::new(),
            queue: fair_queue::FairQueue::default(),
            pool: server_pool::ServerPool::default(),
            model: speed_model::SpeedModel::default(),
            fits: declared_fit::DeclaredFits::default(),
            rates: server_health::FailureRates::default(),
            lending: slot_lending::SlotLending::new(messages),
            gate,
            held: placing::HeldTasks::default(),
            retries: retries::RetryBudget::default(),
            lengths: length_ranks::LengthRanks::default(),
            blocked: collections::BTreeSet::new(),
            next_forget: clock::TimePoint::ZERO,
            trials_open: clock::TimePoint::ZERO,
            draining: false,
        }
    }

    fn submit(
        &mut self,
        now: clock::TimePoint,
        request: &event::JobRequest,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        if let Some(refusal) = self.refusal(now, request) {
            job_table::refuse(request.id, refusal, actions);
            return;
        }
        if !self.table.accept(now, request) {
            return;
        }
        let mut place = self.place_of(now, request);
        place.length_rank = self
            .lengths
            .observe(place.ideal_end.since(now).as_secs_f64());
        let tasks = self.queued_tasks(&request.spec);
        self.places.insert(request.id, place);
        if request.spec.tasks.len() == 1 {
            self.trials_open = now + SINGLE_TASK_WAIT;
        }
        self.queue.add(place.customer, place.rank, tasks);
    }

    fn refusal(
        &mut self,
        now: clock::TimePoint,
        request: &event::JobRequest,
    ) -> Option<outcome::Refusal> {
        let code = outcome::RefusalCode::Draining;
        match request.spec.tasks.as_slice() {
            _ if self.draining => {
                let detail = "this entry is leaving; ask another";
                Some(outcome::Refusal::not_run(code, detail).retry_after(time::Duration::ZERO))
            }
            [] => Some(outcome::Refusal::not_run(
                outcome::RefusalCode::BadRequest,
                "a job needs a task",
            )),
            _ => {
                let outlook = self.job_outlook(now, request);
                admission::refusal(&outlook, &self.pool_outlook())
            }
        }
    }

    fn pool_outlook(&self) -> admission::PoolOutlook {
        let buckets = self.pool.buckets();
        // Slots on loan come back before most deadlines.
        let own = buckets.usable() + self.pool.lent();
        admission::PoolOutlook {
            capacity: buckets.capacity() * (f64::from(own) / f64::from(buckets.usable().max(1))),
            usable: own,
            max_size: self.pool.max_size(),
        }
    }

    fn job_outlook(
        &mut self,
        now: clock::TimePoint,
        request: &event::JobRequest,
    ) -> admission::JobOutlook {
        let place = self.place_of(now, request);
        let spec = &request.spec;
        let (work_secs, longest_secs) = self.expected_secs(spec);
        let impossible = spec.tasks.iter().filter_map(|task| {
            let class = self.model.class(&task.class);
            self.model.impossible_secs(class)
        });
        let impossible_secs = impossible.max_by(f64::total_cmp);
        let own_ahead = self.queue.own_work_ahead(place.customer, place.rank);
        let own_ahead_secs = own_ahead + work_secs;
        let held_secs = self.held.work_secs();
        admission::JobOutlook {
            deadline_secs: spec.deadline.as_secs_f64(),
            work_secs,
            longest_secs,
            size: spec
                .tasks
                .iter()
                .map(|task| task.size_millicores)
                .max()
                .unwrap_or(0),
            impossible_secs,
            ahead_secs: self.queue.work_ahead(place.customer, own_ahead_secs) + held_secs,
            own_ahead_secs,
            share: self.gate.expected_share(&spec.customer),
        }
    }

    /// Expected run time of all tasks and of the longest, in seconds of an average slot.
    fn expected_secs(&mut self, spec: &job::JobSpec) -> (f64, f64) {
        let customer = self.queue.customer(&spec.customer);
        let mut sum = 0.0;
        let mut longest = 0.0_f64;
        for task in &spec.tasks {
            let secs = self.task_secs(customer, task);
            sum += secs;
            longest = longest.max(secs);
        }
        (sum, longest)
    }

    /// Expected run time of a task in seconds of an average slot, by its class and
    /// as far as its customer's declared times have told the truth.
    fn task_secs(&mut self, customer: fair_queue::CustomerIndex, task: &job::TaskSpec) -> f64 {
        let class = self.model.class(&task.class);
        let effect = self.fits.effect(customer, class, task.declared_run_time);
        self.model.mean_secs(class) * effect.exp()
    }

    /// Ranks a job by its age plus a multiple of its length, but no later than
    /// the last time at which it can start.
    fn place_of(&mut self, now: clock::TimePoint, request: &event::JobRequest) -> JobPlace {
        let (work, longest) = self.expected_secs(&request.spec);
        let customer = self.queue.customer(&request.spec.customer);
        let capacity = self.pool.buckets().capacity().max(1.0);
        let own_capacity = capacity * self.queue.fair_share(customer);
        let length = (work / own_capacity).max(longest);
        let yielding = now + time::Duration::from_secs_f64(length * YIELD_RATIO);
        let last_start = now + request.spec.deadline - time::Duration::from_secs_f64(length);
        let ideal = (longest * self.pool.buckets().best_factor()).max(work / capacity);
        JobPlace {
            customer,
            rank: (yielding.min(last_start.max(now)), request.id),
            ideal_end: now + time::Duration::from_secs_f64(ideal),
            length_rank: 0.0,
        }
    }

    fn queued_tasks(&mut self, spec: &job::JobSpec) -> Vec<fair_queue::QueuedTask> {
        let customer = self.queue.customer(&spec.customer);
        let indexes = 0..u32::try_from(spec.tasks.len()).unwrap_or(u32::MAX);
        let tasks = indexes.zip(&spec.tasks);
        let queued = tasks.map(|(index, task)| fair_queue::QueuedTask {
            task: names::TaskIndex(index),
            secs: self.task_secs(customer, task),
        });
        queued.collect()
    }

    fn set_servers(&mut self, now: clock::TimePoint, mut records: Vec<event::ServerRecord>) {
        records.retain(|record| record.domain == self.domain);
        self.pool
            .set_servers(now, records, &self.local, &self.entries);
    }

    fn take_report(&mut self, now: clock::TimePoint, server: &names::ServerName, busy: u32) {
        let believed_secs = self.model.mix_secs() * BELIEVED_RUNS;
        let report = server_pool::BusyReport {
            busy,
            margin: self.lending.margin(),
            believed_for: time::Duration::from_secs_f64(believed_secs),
        };
        self.pool.on_report(now, server, report);
    }

    fn set_siblings(&mut self, now: clock::TimePoint, siblings: Vec<event::SiblingEntry>) {
        self.entries = siblings.iter().map(|sibling| sibling.vm.clone()).collect();
        self.entries.push(self.local.clone());
        self.entries.sort();
        self.entries.dedup();
        self.lending.set_peers(now, siblings, &mut self.pool);
        self.pool.set_entries(now, &self.local, &self.entries);
    }

    fn set_terms(&mut self, now: clock::TimePoint, terms: &[event::CustomerTerms]) {
        let weight = |row: &event::CustomerTerms| (row.customer.clone(), row.weight);
        self.queue.set_weights(terms.iter().map(weight).collect());
        self.gate.set_terms(now, terms);
        self.unblock_all();
    }

    fn on_time(&mut self, now: clock::TimePoint, actions: &mut Vec<event::DispatchAction>) {
        self.expire(now, actions);
        self.pool.on_time(now);
        self.lending.on_time(now, &mut self.pool);
        self.unblock_due(now);
        self.resume_retries(now);
        if self.next_forget <= now {
            self.next_forget = now + FORGET_PERIOD;
            self.pool.forget_unused(now);
        }
    }

    fn unblock_due(&mut self, now: clock::TimePoint) {
        while let Some((due, customer)) = self.blocked.first().copied()
            && due <= now
        {
            self.blocked.pop_first();
            self.queue.set_blocked(customer, false);
        }
    }

    fn unblock_all(&mut self) {
        for (_, customer) in std::mem::take(&mut self.blocked) {
            self.queue.set_blocked(customer, false);
        }
    }
}

impl policy::DispatchPolicy for SlotPolicy {
    fn handle(
        &mut self,
        now: clock::TimePoint,
        event: event::DispatchEvent,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        self.on_time(now, actions);
        match event {
            event::DispatchEvent::JobSubmitted(request) => self.submit(now, &request, actions),
            event::DispatchEvent::JobCancelled(job) => self.cancel(job, actions),
            event::DispatchEvent::TaskEnded {
                task,
                server,
                outcome,
            } => self.end_task(now, &task, &server, &outcome, actions),
            event::DispatchEvent::ServersChanged(records) => self.set_servers(now, records),
            event::DispatchEvent::TermsChanged(terms) => self.set_terms(now, &terms),
            event::DispatchEvent::SiblingsChanged(siblings) => self.set_siblings(now, siblings),
            event::DispatchEvent::SiblingMessage { from, payload } => {
                let mut own = slot_lending::LendingView {
                    pool: &mut self.pool,
                    queued: self.queue.ready_tasks(),
                    mean_run_secs: self.model.mix_secs(),
                };
                self.lending
                    .on_message(now, &from, &payload, &mut own, actions);
            }
            event::DispatchEvent::ServerReported { server, busy } => {
                self.take_report(now, &server, busy);
            }
            event::DispatchEvent::DrainStarted => self.draining = true,
            event::DispatchEvent::ServerProbed { .. } | event::DispatchEvent::WakeupDue => {}
        }
        self.place_tasks(now, actions);
        self.ask_for_slots(now, actions);
    }

    fn next_wakeup(&self) -> Option<clock::TimePoint> {
        let blocked = self.blocked.first().map(|(due, _)| *due);
        let times = [
            self.table.next_deadline(),
            self.pool.next_due(),
            self.lending.next_due(),
            self.retries.next_due(),
            blocked,
        ];
        times.into_iter().flatten().min()
    }

    fn status(&self, _now: clock::TimePoint) -> policy::DispatchStatus {
        let customers = self.queue.loads().into_iter().map(|load| {
            let share = self.gate.share(&load.customer);
            policy::CustomerStatus {
                customer: load.customer,
                queued: load.queued,
                running: load.running,
                share,
            }
        });
        policy::DispatchStatus {
            jobs: self.table.len(),
            queued_tasks: self.queue.queued_tasks() + self.held.len() + self.retries.len(),
            running_tasks: self.table.running_tasks(),
            servers: self.pool.status(),
            customers: customers.collect(),
        }
    }
}
