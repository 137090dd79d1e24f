//! Discrete-event simulation of server pools, backend servers and jobs in virtual time.

use std::{
    cmp,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    ops,
    sync::Arc,
    time,
};

use cuminkeel_dispatch::{
    crash_ledger, job_model, leadership, pool, pool_action, server_model, server_slot, settings,
};
use rand::{RngExt, rngs};

use crate::fake_server;

/// Network latency between a pool and a server, in one direction.
const ONE_WAY_LATENCY: time::Duration = time::Duration::from_micros(300);
/// Time after which a start or a stop counts as unanswered; a hold has this time after its wait.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Interval at which each pool is ticked.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Length of a pause after which the hold responses that wait in the socket count as unanswered: a
/// hold's wait of 400 ms plus the process's default hold time-out of 80 ms.
const PAUSED_HOLD_TIMEOUT: time::Duration = time::Duration::from_millis(480);

/// Time within which no task may start any more in an evacuated failure domain.
pub const EVACUATION_BOUND: time::Duration = time::Duration::from_secs(5);

/// Time from the start of a task until it crashes its server.
const CRASH_DELAY: time::Duration = time::Duration::from_millis(18);
/// Time from a crash of a server until it has restarted.
const RESTART_TIME: time::Duration = time::Duration::from_millis(3_200);

/// Simulated event; each `usize` is the index of the pool concerned.
#[derive(Debug)]
enum Event {
    StartOrderArrives(usize, server_model::StartOrder),
    StopOrderArrives(usize, server_model::StopOrder),
    HoldOrderArrives(usize, server_model::HoldOrder),
    /// An order that was left unanswered is carried out.
    LateOrderDue(LateOrder),
    StartOutcomeArrives(usize, server_model::StartOrder, server_model::StartOutcome),
    StopOutcomeArrives(usize, server_model::StopOrder, server_model::StopOutcome),
    HoldOutcomeArrives(usize, server_model::HoldOrder, server_model::HoldOutcome),
    /// The outcome of an order, an event as the three before, arrives in place of one that a rule has changed.
    ChangedOutcomeArrives(Box<Event>),
    HoldWaitEnds(usize, server_model::HoldOrder),
    /// A run on the server of this id ends or is first without a lease.
    RunEndDue(Arc<str>),
    /// A task crashes the server of this id if it still runs there.
    CrashDue(Arc<str>, job_model::TaskName),
    RestartDue(Arc<str>),
    /// The server of this id has this processor from now on.
    CapacityChangeDue(Arc<str>, u32),
    LossArrives(usize, crash_ledger::LostRun),
    Tick(usize),
}

/// Order that its server carries out late, without an answer.
#[derive(Clone, Debug)]
enum LateOrder {
    Start(server_model::StartOrder),
    Stop(server_model::StopOrder),
    Hold(server_model::HoldOrder),
}

impl LateOrder {
    fn server(&self) -> &Arc<str> {
        match self {
            Self::Start(order) => &order.server,
            Self::Stop(order) => &order.server,
            Self::Hold(order) => &order.server,
        }
    }
}

/// Kind of an order to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Starts a run.
    Start,
    /// Stops a run.
    Stop,
    /// Claims the server, or renews its leases.
    Hold,
}

/// Rule for orders that are left unanswered and carried out late.
#[derive(Debug)]
pub struct LateOrderRule {
    /// Kinds of the orders.
    pub kinds: Vec<OrderKind>,
    /// Index of the pool that sends the orders; `None` for all pools.
    pub pool_index: Option<usize>,
    /// Server of the orders; `None` for all servers.
    pub server: Option<Arc<str>>,
    /// Time of arrival of the orders.
    pub arrival: ops::Range<time::Duration>,
    /// Share of these orders that are late.
    pub share: f64,
    /// Time from the arrival of an order until it is carried out.
    pub delay: ops::RangeInclusive<time::Duration>,
    /// Draws the orders and their delays.
    pub rng: rngs::StdRng,
}

impl LateOrderRule {
    /// Returns the delay of an order that arrives at `now`, or `None` if it is carried out at once.
    fn draw_delay(
        &mut self,
        kind: OrderKind,
        pool_index: usize,
        server: &Arc<str>,
        now: time::Duration,
    ) -> Option<time::Duration> {
        let applies = self.kinds.contains(&kind)
            && self.pool_index.is_none_or(|only| only == pool_index)
            && self.server.as_ref().is_none_or(|only| only == server)
            && self.arrival.contains(&now);
        (applies && self.rng.random_bool(self.share))
            .then(|| self.rng.random_range(self.delay.clone()))
    }
}

/// What happens to answers on their way from a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFault {
    /// They are lost, so that their orders count as unanswered although they were carried out at once.
    Lost,
    /// They arrive later by this time, which leaves them within the time limit of their orders.
    Late(time::Duration),
}

/// Rule for answers that are lost or late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerRule {
    /// Kind of the orders.
    pub kind: OrderKind,
    /// What happens to their answers.
    pub fault: AnswerFault,
    /// Time until which the answers would arrive.
    pub until: time::Duration,
}

#[derive(Debug)]
struct ScheduledEvent {
    at: time::Duration,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Reversed order, so that the max-heap returns the earliest event first.
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Violation of an invariant of the pools, found when a run starts. Whether all tasks of a
/// completed job are done isn't checked.
#[derive(Clone, Debug, PartialEq)]
pub enum InvariantViolation {
    /// Two runs of one task overlapped.
    OverlappingRuns(job_model::TaskName),
    /// The runs on a server used more processor than it has.
    OverCapacity(Arc<str>),
    /// A task of a refused job was started.
    RefusedJobRan(job_model::TaskName),
}

/// End of a job, as one of its waiting callers received it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerAnswer {
    /// Id of the job.
    pub job: Arc<str>,
    /// How the job ended.
    pub end: job_model::JobEnd,
    /// Time of the answer.
    pub at: time::Duration,
}

/// Pools and servers whose orders and outcomes are delivered in virtual time.
#[derive(Debug)]
pub struct PoolSimulation {
    now: time::Duration,
    events: BinaryHeap<ScheduledEvent>,
    /// Last number given to an event or a waiter. Events of the same time are handled in the
    /// order of their numbers.
    last_sequence: u64,
    /// Simulated pools, which methods address by their index.
    pub pools: Vec<pool::ServerPool>,
    pool_settings: settings::PoolSettings,
    /// Process id of the pool that was created last.
    last_process_id: u64,
    /// Paused pools by index, with the start of the pause.
    paused: BTreeMap<usize, time::Duration>,
    /// Fake servers, by id.
    pub servers: BTreeMap<Arc<str>, fake_server::FakeServer>,
    task_profiles: HashMap<Arc<str>, fake_server::TaskProfile>,
    /// Holds that wait for a response, each with the index of its pool. The server responds when a
    /// run ends or the hold's wait is over.
    waiting_holds: Vec<(usize, server_model::HoldOrder)>,
    waiters: BTreeMap<pool_action::WaiterId, Arc<str>>,
    /// Answers to callers, in order of time; one for each submission that was answered.
    pub answers: Vec<CallerAnswer>,
    /// Numbers of refusals in `answers` by job.
    refusals: HashMap<Arc<str>, usize>,
    /// Invariant violations, in order of time.
    pub violations: Vec<InvariantViolation>,
    /// Decisions of all pools, in order of time.
    pub decisions: Vec<(time::Duration, pool_action::DecisionRecord)>,
    /// Jobs refused while healthy servers had room for all of their tasks, in order of time.
    pub refused_with_room: Vec<Arc<str>>,
    /// Tasks that crash each server that starts them, with the mode of a crashed server.
    pub deadly_tasks: HashMap<job_model::TaskName, fake_server::ServerMode>,
    /// Crashes, in order of time, with the task that caused each.
    pub crashes: Vec<(time::Duration, job_model::TaskName)>,
    /// Servers lost to another pool's claim, with the index of the pool that lost them.
    pub lost_servers: Vec<(usize, Arc<str>)>,
    /// Rules for late orders; the first one that delays an order applies.
    pub late_order_rules: Vec<LateOrderRule>,
    /// Rules for lost and late answers; the first one that applies to an answer counts.
    pub answer_rules: Vec<AnswerRule>,
}

impl PoolSimulation {
    /// Returns a simulation of `servers` and `pool_count` pools that follow `policies`. No pool
    /// holds a server yet.
    pub fn new(
        pool_count: usize,
        servers: Vec<fake_server::FakeServer>,
        policies: settings::PoolPolicies,
    ) -> Self {
        let pool_settings = settings::PoolSettings {
            policies,
            evacuation_bound: Some(EVACUATION_BOUND),
            // Longest lease, time within which a stopped run ends, and time after which callers send
            // a job again.
            ..settings::PoolSettings::new(
                fake_server::MAX_LEASE,
                time::Duration::from_millis(50),
                time::Duration::from_millis(1_300),
            )
        };
        let mut simulation = Self {
            now: time::Duration::ZERO,
            events: BinaryHeap::new(),
            last_sequence: 0,
            pools: (1..=pool_count)
                .map(|number| {
                    pool::ServerPool::new(pool_settings, u64::try_from(number).unwrap_or(0))
                })
                .collect(),
            pool_settings,
            last_process_id: u64::try_from(pool_count).unwrap_or(0),
            paused: BTreeMap::new(),
            servers: servers
                .into_iter()
                .map(|server| (Arc::clone(&server.entry.id), server))
                .collect(),
            task_profiles: HashMap::new(),
            waiting_holds: Vec::new(),
            waiters: BTreeMap::new(),
            answers: Vec::new(),
            refusals: HashMap::new(),
            violations: Vec::new(),
            decisions: Vec::new(),
            refused_with_room: Vec::new(),
            deadly_tasks: HashMap::new(),
            crashes: Vec::new(),
            lost_servers: Vec::new(),
            late_order_rules: Vec::new(),
            answer_rules: Vec::new(),
        };
        for pool_index in 0..pool_count {
            for server in simulation.servers.values() {
                simulation.pools[pool_index]
                    .apply_registry_entry(server.entry.clone(), time::Duration::ZERO);
            }
            simulation.push(time::Duration::ZERO, Event::Tick(pool_index));
        }
        simulation
    }

    /// Returns the virtual time.
    pub fn now(&self) -> time::Duration {
        self.now
    }

    /// Makes a pool leader, which reads the registry again and claims all registered servers.
    pub fn lead(&mut self, pool_index: usize) {
        let all: BTreeSet<Arc<str>> = self.pools[pool_index]
            .registered_servers()
            .cloned()
            .collect();
        self.lead_servers(pool_index, &all);
    }

    /// Makes a pool leader, which reads the registry again and claims the `wanted` servers.
    pub fn lead_servers(&mut self, pool_index: usize, wanted: &BTreeSet<Arc<str>>) {
        self.pools[pool_index].reconcile_claims(wanted, leadership::ShardSet::ALL, self.now);
        self.pools[pool_index].record_registry_read(self.now);
        self.execute_actions(pool_index);
    }

    /// Makes a pool leader of all registered servers, and runs until it has claimed each: it sends a limited
    /// number of claims at a time, as a process does.
    pub fn lead_all(&mut self, pool_index: usize) {
        let is_unclaimed = |simulation: &Self, id: &Arc<str>| {
            simulation.pools[pool_index].claim_state(id) == Some(server_slot::ClaimState::Unclaimed)
        };
        self.lead(pool_index);
        let servers: Vec<Arc<str>> = self.servers.keys().cloned().collect();
        while servers.iter().any(|id| is_unclaimed(self, id)) {
            self.run_until(self.now + TICK_INTERVAL);
            self.lead(pool_index);
        }
    }

    /// Tells a pool that its failure domain is evacuated.
    pub fn evacuate(&mut self, pool_index: usize) {
        let start = pool::EvacuationStart::LearntAt(self.now);
        self.pools[pool_index].set_evacuation(Some(start), self.now);
        self.execute_actions(pool_index);
    }

    /// Makes a pool step down: it releases all servers.
    pub fn step_down(&mut self, pool_index: usize) {
        self.pools[pool_index].step_down(self.now, "test");
        self.execute_actions(pool_index);
    }

    /// Replaces a pool by one that remembers nothing, as a process that starts. Its registry has `listed_servers` only.
    pub fn restart_pool(&mut self, pool_index: usize, listed_servers: &[&str]) {
        self.last_process_id += 1;
        self.pools[pool_index] = pool::ServerPool::new(self.pool_settings, self.last_process_id);
        for server in listed_servers {
            self.update_registry_entry(pool_index, server);
        }
    }

    /// Pauses a pool, as a frozen process: until it is resumed it isn't ticked, the outcomes of
    /// its starts and stops are lost, and those of its holds are delayed.
    pub fn pause(&mut self, pool_index: usize) {
        self.paused.insert(pool_index, self.now);
    }

    /// Resumes a paused pool.
    pub fn resume(&mut self, pool_index: usize) {
        self.paused.remove(&pool_index);
        self.push(self.now, Event::Tick(pool_index));
    }

    /// Offers a job to a pool, which reads the offer at once, and returns its waiter. `profile` holds for each
    /// task of the job.
    pub fn submit(
        &mut self,
        pool_index: usize,
        offer: &job_model::JobOffer,
        profile: fake_server::TaskProfile,
    ) -> pool_action::WaiterId {
        let offer = job_model::JobOffer {
            sent_at: self.now,
            ..offer.clone()
        };
        self.deliver_offer(pool_index, &offer, profile)
    }

    /// Lets a pool read an offer that was sent at its `sent_at`, for example after a pause of the
    /// process, and returns its waiter. `profile` holds for each task of the job.
    pub fn deliver_offer(
        &mut self,
        pool_index: usize,
        offer: &job_model::JobOffer,
        profile: fake_server::TaskProfile,
    ) -> pool_action::WaiterId {
        self.task_profiles
            .insert(Arc::clone(&offer.spec.id), profile);
        self.last_sequence += 1;
        let waiter = pool_action::WaiterId(self.last_sequence);
        self.waiters.insert(waiter, Arc::clone(&offer.spec.id));
        self.pools[pool_index].submit(offer, waiter, self.now);
        let had_room = self.free_task_count(profile.cpu_millis) >= offer.spec.task_count();
        let answers_before = self.answers.len();
        self.execute_actions(pool_index);
        let is_refused = self.answers[answers_before..].iter().any(|answer| {
            answer.job == offer.spec.id && matches!(answer.end, job_model::JobEnd::Refused { .. })
        });
        if had_room && is_refused {
            self.refused_with_room.push(Arc::clone(&offer.spec.id));
        }
        waiter
    }

    /// Adds an answer to a caller.
    pub(crate) fn push_answer(&mut self, answer: CallerAnswer) {
        if matches!(answer.end, job_model::JobEnd::Refused { .. }) {
            *self.refusals.entry(Arc::clone(&answer.job)).or_default() += 1;
        }
        self.answers.push(answer);
    }

    /// Removes the answer at `index`, which its caller didn't receive.
    pub(crate) fn remove_answer(&mut self, index: usize) -> CallerAnswer {
        let answer = self.answers.remove(index);
        match self.refusals.get_mut(&answer.job) {
            Some(count) if matches!(answer.end, job_model::JobEnd::Refused { .. }) => *count -= 1,
            _ => {}
        }
        answer
    }

    /// Returns how many tasks that use `cpu_millis` each the free processor of healthy servers has room
    /// for.
    pub(crate) fn free_task_count(&self, cpu_millis: u32) -> usize {
        self.servers
            .values()
            .filter(|server| server.mode == fake_server::ServerMode::Healthy)
            .map(|server| {
                server
                    .entry
                    .cpu_millis
                    .saturating_sub(server.used_cpu_millis())
            })
            .map(|free_millis| usize::try_from(free_millis / cpu_millis.max(1)).unwrap_or(0))
            .sum()
    }

    /// Withdraws `job` from a pool: none of its callers waits for an answer any more.
    pub fn withdraw(&mut self, pool_index: usize, job: &str) {
        let waiters: Vec<pool_action::WaiterId> = self
            .waiters
            .iter()
            .filter(|(_, waited_job)| &***waited_job == job)
            .map(|(waiter, _)| *waiter)
            .collect();
        for waiter in waiters {
            self.pools[pool_index].withdraw(&Arc::from(job), waiter, self.now);
        }
        self.execute_actions(pool_index);
    }

    /// Withdraws the offer of a job by one waiter, which gets no answer any more. A paused pool must not get
    /// the withdrawal before it is resumed.
    pub fn withdraw_waiter(
        &mut self,
        pool_index: usize,
        job: &Arc<str>,
        waiter: pool_action::WaiterId,
    ) {
        self.forget_waiter(waiter);
        self.pools[pool_index].withdraw(job, waiter, self.now);
        self.execute_actions(pool_index);
    }

    /// Drops the answer to a waiter that has given up its offer.
    pub fn forget_waiter(&mut self, waiter: pool_action::WaiterId) {
        self.waiters.remove(&waiter);
    }

    /// Sends the present registry entry of the server `server_id` to a pool.
    pub fn update_registry_entry(&mut self, pool_index: usize, server_id: &str) {
        if let Some(server) = self.servers.get(server_id) {
            self.pools[pool_index].apply_registry_entry(server.entry.clone(), self.now);
        }
        self.execute_actions(pool_index);
    }

    /// Tells a pool that its failure domain is evacuated since `evacuation`, or no longer.
    pub fn set_evacuation(&mut self, pool_index: usize, evacuation: Option<pool::EvacuationStart>) {
        self.pools[pool_index].set_evacuation(evacuation, self.now);
        self.execute_actions(pool_index);
    }

    /// Registers a new capacity of the server `server_id`, which uses it after `delay`.
    pub fn resize_server(&mut self, server_id: &str, cpu_millis: u32, delay: time::Duration) {
        let Some(server) = self.servers.get_mut(server_id) else {
            return;
        };
        server.entry.sequence += 1;
        let entry = server_model::ServerEntry {
            cpu_millis,
            ..server.entry.clone()
        };
        let server_id = Arc::clone(&entry.id);
        for pool_index in 0..self.pools.len() {
            self.pools[pool_index].apply_registry_entry(entry.clone(), self.now);
            self.execute_actions(pool_index);
        }
        let change = Event::CapacityChangeDue(server_id, cpu_millis);
        self.push(self.now + delay, change);
    }

    /// Returns the load of a pool.
    pub fn load(&self, pool_index: usize) -> pool::PoolLoad {
        self.pools[pool_index].load(self.now)
    }

    /// Returns the server `server_id`.
    ///
    /// # Panics
    ///
    /// Panics if no server has that id.
    pub fn server_mut(&mut self, server_id: &str) -> &mut fake_server::FakeServer {
        self.servers
            .get_mut(server_id)
            .expect("the id of a fake server of this simulation")
    }

    /// Handles all events up to and including the time `until` and sets the clock to it.
    pub fn run_until(&mut self, until: time::Duration) {
        while self
            .events
            .peek()
            .is_some_and(|scheduled| scheduled.at <= until)
        {
            let Some(scheduled) = self.events.pop() else {
                break;
            };
            self.now = self.now.max(scheduled.at);
            self.handle(scheduled.event);
        }
        self.now = self.now.max(until);
    }

    fn push(&mut self, at: time::Duration, event: Event) {
        self.last_sequence += 1;
        self.events.push(ScheduledEvent {
            at,
            sequence: self.last_sequence,
            event,
        });
    }

    fn handle(&mut self, event: Event) {
        let Some(event) = self.change_outcome(event) else {
            return;
        };
        match event {
            Event::ChangedOutcomeArrives(outcome) => self.handle_unchanged(*outcome),
            event => self.handle_unchanged(event),
        }
    }

    /// Applies the rules for answers to `event`. Returns `None` if the answer arrives later, or its order counts as
    /// unanswered later.
    fn change_outcome(&mut self, event: Event) -> Option<Event> {
        let now = self.now;
        let kind = match &event {
            Event::StartOutcomeArrives(_, _, outcome)
                if *outcome != server_model::StartOutcome::Unanswered =>
            {
                OrderKind::Start
            }
            Event::StopOutcomeArrives(_, _, server_model::StopOutcome::Accepted) => OrderKind::Stop,
            Event::HoldOutcomeArrives(_, _, outcome)
                if *outcome != server_model::HoldOutcome::Unanswered =>
            {
                OrderKind::Hold
            }
            _ => return Some(event),
        };
        let is_for = |rule: &&AnswerRule| rule.kind == kind && now < rule.until;
        let Some(rule) = self.answer_rules.iter().find(is_for) else {
            return Some(event);
        };
        let (delay, event) = match rule.fault {
            AnswerFault::Late(delay) => (delay, event),
            AnswerFault::Lost => (ORDER_TIMEOUT, without_answer(event)),
        };
        self.push(now + delay, Event::ChangedOutcomeArrives(Box::new(event)));
        None
    }

    fn handle_unchanged(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::ChangedOutcomeArrives(_) => {}
            Event::Tick(pool_index) => {
                if self.paused.contains_key(&pool_index) {
                    return;
                }
                self.pools[pool_index].tick(now);
                self.execute_actions(pool_index);
                self.push(now + TICK_INTERVAL, Event::Tick(pool_index));
            }
            Event::StartOrderArrives(pool_index, order) => {
                if self.delay_order(pool_index, LateOrder::Start(order.clone())) {
                    let unanswered = server_model::StartOutcome::Unanswered;
                    let outcome = Event::StartOutcomeArrives(pool_index, order, unanswered);
                    self.push(now + ORDER_TIMEOUT, outcome);
                } else {
                    self.deliver_start(pool_index, order);
                }
            }
            Event::StopOrderArrives(pool_index, order) => {
                if self.delay_order(pool_index, LateOrder::Stop(order.clone())) {
                    let unconfirmed = server_model::StopOutcome::Unconfirmed;
                    let outcome = Event::StopOutcomeArrives(pool_index, order, unconfirmed);
                    self.push(now + ORDER_TIMEOUT, outcome);
                } else {
                    self.deliver_stop(pool_index, order);
                }
            }
            Event::HoldOrderArrives(pool_index, order) => {
                if self.delay_order(pool_index, LateOrder::Hold(order.clone())) {
                    let timeout_at = now + ORDER_TIMEOUT + order.wait;
                    let unanswered = server_model::HoldOutcome::Unanswered;
                    let outcome = Event::HoldOutcomeArrives(pool_index, order, unanswered);
                    self.push(timeout_at, outcome);
                } else {
                    self.deliver_hold(pool_index, order);
                }
            }
            Event::LateOrderDue(order) => self.carry_out_late(&order),
            Event::HoldWaitEnds(pool_index, order) => self.end_hold_wait(pool_index, &order),
            Event::RunEndDue(server_id) => self.advance_server(&server_id),
            Event::CrashDue(server_id, task) => self.crash_server(&server_id, task),
            Event::LossArrives(pool_index, lost_run) => {
                if !self.paused.contains_key(&pool_index) {
                    self.pools[pool_index].merge_losses(vec![lost_run], now);
                    self.execute_actions(pool_index);
                }
            }
            Event::RestartDue(server_id) => self.restart_server(&server_id),
            Event::CapacityChangeDue(server_id, cpu_millis) => {
                if let Some(server) = self.servers.get_mut(&server_id) {
                    server.entry.cpu_millis = cpu_millis;
                }
            }
            Event::StartOutcomeArrives(pool_index, order, outcome) => {
                if !self.paused.contains_key(&pool_index) {
                    self.pools[pool_index].apply_start_outcome(&order, outcome, now);
                    self.execute_actions(pool_index);
                }
            }
            Event::StopOutcomeArrives(pool_index, order, outcome) => {
                if !self.paused.contains_key(&pool_index) {
                    self.pools[pool_index].apply_stop_outcome(&order, outcome, now);
                    self.execute_actions(pool_index);
                }
            }
            Event::HoldOutcomeArrives(pool_index, order, outcome) => {
                if let Some(since) = self.paused.get(&pool_index) {
                    // The response stays in the socket until the process resumes; if the
                    // pause has lasted too long by then, the process counts it as unanswered.
                    let outcome = if now > *since + PAUSED_HOLD_TIMEOUT {
                        server_model::HoldOutcome::Unanswered
                    } else {
                        outcome
                    };
                    self.push(
                        now + TICK_INTERVAL,
                        Event::HoldOutcomeArrives(pool_index, order, outcome),
                    );
                } else {
                    self.pools[pool_index].apply_hold_outcome(&order, outcome, now);
                    self.execute_actions(pool_index);
                }
            }
        }
    }

    /// Schedules `order` to be carried out late if a rule says so, and returns whether it does.
    fn delay_order(&mut self, pool_index: usize, order: LateOrder) -> bool {
        let now = self.now;
        let kind = match order {
            LateOrder::Start(_) => OrderKind::Start,
            LateOrder::Stop(_) => OrderKind::Stop,
            LateOrder::Hold(_) => OrderKind::Hold,
        };
        let server = order.server();
        let delay = self
            .late_order_rules
            .iter_mut()
            .find_map(|rule| rule.draw_delay(kind, pool_index, server, now));
        if let Some(delay) = delay {
            self.push(now + delay, Event::LateOrderDue(order));
        }
        delay.is_some()
    }

    /// Carries out an order to which the pool gets no answer any more, unless its server is down.
    fn carry_out_late(&mut self, order: &LateOrder) {
        let now = self.now;
        let server_id = order.server();
        let Some(server) = self.servers.get_mut(server_id) else {
            return;
        };
        if server.mode == fake_server::ServerMode::Crashed {
            return;
        }
        match order {
            LateOrder::Start(order) => {
                let Some(profile) = self.task_profiles.get(&order.task.job).copied() else {
                    return;
                };
                let outcome = server.start(order, profile, now);
                if matches!(outcome, server_model::StartOutcome::Started { .. }) {
                    self.check_invariants(&order.task, server_id);
                }
            }
            LateOrder::Stop(order) => {
                server.stop(order, now);
            }
            LateOrder::Hold(order) => {
                server.apply_hold(order, now);
            }
        }
        self.advance_server(server_id);
    }

    fn deliver_start(&mut self, pool_index: usize, order: server_model::StartOrder) {
        let now = self.now;
        let Some(profile) = self.task_profiles.get(&order.task.job).copied() else {
            return;
        };
        let Some(server) = self.servers.get_mut(&order.server) else {
            return;
        };
        match server.mode {
            fake_server::ServerMode::Unreachable | fake_server::ServerMode::Crashed => {
                let unanswered = server_model::StartOutcome::Unanswered;
                self.push(
                    now + ORDER_TIMEOUT,
                    Event::StartOutcomeArrives(pool_index, order, unanswered),
                );
                return;
            }
            fake_server::ServerMode::DelayedStarts(delay) => {
                // The server is healthy from here on, so that the delayed start is carried out when
                // it arrives again instead of being delayed once more.
                server.mode = fake_server::ServerMode::Healthy;
                let unanswered = server_model::StartOutcome::Unanswered;
                self.push(
                    now + delay,
                    Event::StartOrderArrives(pool_index, order.clone()),
                );
                self.push(
                    now + ORDER_TIMEOUT,
                    Event::StartOutcomeArrives(pool_index, order, unanswered),
                );
                return;
            }
            _ => {}
        }
        let answer_is_lost = server.mode == fake_server::ServerMode::StartAnswersLost;
        let outcome = server.start(&order, profile, now);
        let server_id = Arc::clone(&order.server);
        if matches!(outcome, server_model::StartOutcome::Started { .. }) {
            self.check_invariants(&order.task, &server_id);
            if self.deadly_tasks.contains_key(&order.task) {
                let crash = Event::CrashDue(Arc::clone(&server_id), order.task.clone());
                self.push(now + CRASH_DELAY, crash);
            }
        }
        let (delay, outcome) = if answer_is_lost {
            (ORDER_TIMEOUT, server_model::StartOutcome::Unanswered)
        } else {
            (ONE_WAY_LATENCY, outcome)
        };
        self.push(
            now + delay,
            Event::StartOutcomeArrives(pool_index, order, outcome),
        );
        self.schedule_advance(&server_id);
    }

    fn check_invariants(&mut self, task: &job_model::TaskName, server_id: &Arc<str>) {
        let now = self.now;
        let run_count = self
            .servers
            .values_mut()
            .map(|server| {
                server.advance(now);
                usize::from(server.runs.contains_key(task))
            })
            .sum::<usize>();
        let is_beside_another = self
            .servers
            .get_mut(server_id)
            .is_some_and(|server| !std::mem::take(&mut server.overlapping_tasks).is_empty());
        if run_count > 1 || is_beside_another {
            self.violations
                .push(InvariantViolation::OverlappingRuns(task.clone()));
        }
        let over_capacity = self
            .servers
            .get(server_id)
            .is_some_and(|server| server.used_cpu_millis() > server.entry.cpu_millis);
        if over_capacity {
            self.violations
                .push(InvariantViolation::OverCapacity(Arc::clone(server_id)));
        }
        if self.refusals.get(&task.job).is_some_and(|count| *count > 0) {
            self.violations
                .push(InvariantViolation::RefusedJobRan(task.clone()));
        }
    }

    fn deliver_stop(&mut self, pool_index: usize, order: server_model::StopOrder) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&order.server) else {
            return;
        };
        if matches!(
            server.mode,
            fake_server::ServerMode::Unreachable | fake_server::ServerMode::Crashed
        ) {
            let unconfirmed = server_model::StopOutcome::Unconfirmed;
            self.push(
                now + ORDER_TIMEOUT,
                Event::StopOutcomeArrives(pool_index, order, unconfirmed),
            );
            return;
        }
        server.stop(&order, now);
        let server_id = Arc::clone(&order.server);
        let accepted = server_model::StopOutcome::Accepted;
        self.push(
            now + ONE_WAY_LATENCY,
            Event::StopOutcomeArrives(pool_index, order, accepted),
        );
        self.advance_server(&server_id);
    }

    fn deliver_hold(&mut self, pool_index: usize, order: server_model::HoldOrder) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&order.server) else {
            return;
        };
        if server.mode == fake_server::ServerMode::Unreachable {
            let unanswered = server_model::HoldOutcome::Unanswered;
            let timeout_at = now + ORDER_TIMEOUT + order.wait;
            self.push(
                timeout_at,
                Event::HoldOutcomeArrives(pool_index, order, unanswered),
            );
            return;
        }
        if server.mode == fake_server::ServerMode::Crashed {
            let refused = server_model::HoldOutcome::Refused;
            self.push(
                now + ONE_WAY_LATENCY,
                Event::HoldOutcomeArrives(pool_index, order, refused),
            );
            return;
        }
        let outcome = match server.apply_hold(&order, now) {
            false => Some(server_model::HoldOutcome::Fenced {
                clock_ms: Some(server.told_clock_ms(now)),
            }),
            true if order.wait.is_zero()
                || server.has_unacknowledged_ends(order.acknowledged_end_sequence) =>
            {
                Some(server_model::HoldOutcome::Reported(server.report(now)))
            }
            true => None,
        };
        let rejection_delay = server.rejection_delay();
        if rejection_delay > ORDER_TIMEOUT + order.wait {
            let unanswered = server_model::HoldOutcome::Unanswered;
            let timeout_at = now + ORDER_TIMEOUT + order.wait;
            self.push(
                timeout_at,
                Event::HoldOutcomeArrives(pool_index, order, unanswered),
            );
        } else if let Some(outcome) = outcome {
            self.push(
                now + ONE_WAY_LATENCY + rejection_delay,
                Event::HoldOutcomeArrives(pool_index, order, outcome),
            );
        } else {
            self.push(
                now + order.wait,
                Event::HoldWaitEnds(pool_index, order.clone()),
            );
            self.waiting_holds.push((pool_index, order));
        }
    }

    fn end_hold_wait(&mut self, pool_index: usize, order: &server_model::HoldOrder) {
        let waiting = self
            .waiting_holds
            .iter()
            .position(|(other_pool, waiting_order)| {
                *other_pool == pool_index && waiting_order == order
            });
        if let Some(position) = waiting {
            let (pool_index, order) = self.waiting_holds.remove(position);
            self.respond_to_hold(pool_index, order);
        }
    }

    fn respond_to_hold(&mut self, pool_index: usize, order: server_model::HoldOrder) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&order.server) else {
            return;
        };
        server.advance(now);
        let (delay, outcome) = match server.mode {
            fake_server::ServerMode::Unreachable => {
                (ORDER_TIMEOUT, server_model::HoldOutcome::Unanswered)
            }
            _ if server.is_stale_token(order.token) || server.rejects_order(now) => {
                let clock_ms = Some(server.told_clock_ms(now));
                (
                    ONE_WAY_LATENCY,
                    server_model::HoldOutcome::Fenced { clock_ms },
                )
            }
            _ => (
                ONE_WAY_LATENCY,
                server_model::HoldOutcome::Reported(server.report(now)),
            ),
        };
        self.push(
            now + delay,
            Event::HoldOutcomeArrives(pool_index, order, outcome),
        );
    }

    /// Crashes a server if `task` still runs there. Connections to it are reset, so that the pool learns of
    /// it at once, unless the server falls silent.
    fn crash_server(&mut self, server_id: &Arc<str>, task: job_model::TaskName) {
        let now = self.now;
        let Some(mode) = self.deadly_tasks.get(&task).copied() else {
            return;
        };
        let Some(server) = self.servers.get_mut(server_id) else {
            return;
        };
        server.advance(now);
        if !server.runs.contains_key(&task) {
            return;
        }
        server.crash(mode, now);
        self.crashes.push((now, task));
        self.push(now + RESTART_TIME, Event::RestartDue(Arc::clone(server_id)));
        if mode == fake_server::ServerMode::Crashed {
            self.reset_connections(server_id);
        }
    }

    /// Resets the connections of a server: the holds that wait there are not answered.
    pub fn reset_connections(&mut self, server_id: &str) {
        let (reset, others) = std::mem::take(&mut self.waiting_holds)
            .into_iter()
            .partition(|(_, order)| *order.server == *server_id);
        self.waiting_holds = others;
        for (pool_index, order) in reset {
            let unanswered = server_model::HoldOutcome::Unanswered;
            self.push(
                self.now + ONE_WAY_LATENCY,
                Event::HoldOutcomeArrives(pool_index, order, unanswered),
            );
        }
    }

    /// Restarts a crashed server. Pools that can read the registry learn of it at once.
    fn restart_server(&mut self, server_id: &Arc<str>) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.restart(self.now);
            server.mode = fake_server::ServerMode::Healthy;
        }
        for pool_index in 0..self.pools.len() {
            let is_known = self.pools[pool_index].claim_state(server_id).is_some();
            if is_known && !self.paused.contains_key(&pool_index) {
                self.update_registry_entry(pool_index, server_id);
            }
        }
    }

    fn advance_server(&mut self, server_id: &Arc<str>) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(server_id) else {
            return;
        };
        server.advance(now);
        let mut due = Vec::new();
        self.waiting_holds.retain(|(pool_index, order)| {
            let ready = order.server == *server_id
                && server.has_unacknowledged_ends(order.acknowledged_end_sequence);
            if ready {
                due.push((*pool_index, order.clone()));
            }
            !ready
        });
        for (pool_index, order) in due {
            self.respond_to_hold(pool_index, order);
        }
        self.schedule_advance(server_id);
    }

    fn schedule_advance(&mut self, server_id: &Arc<str>) {
        let next = self
            .servers
            .get(server_id)
            .and_then(fake_server::FakeServer::next_run_end);
        if let Some(at) = next {
            self.push(at.max(self.now), Event::RunEndDue(Arc::clone(server_id)));
        }
    }

    fn execute_actions(&mut self, pool_index: usize) {
        let now = self.now;
        for action in self.pools[pool_index].take_actions(now) {
            match action {
                pool_action::PoolAction::Start(order) => {
                    self.push(
                        now + ONE_WAY_LATENCY,
                        Event::StartOrderArrives(pool_index, order),
                    );
                }
                pool_action::PoolAction::Hold(order) => {
                    self.push(
                        now + ONE_WAY_LATENCY,
                        Event::HoldOrderArrives(pool_index, order),
                    );
                }
                pool_action::PoolAction::Stop(order) => {
                    self.push(
                        now + ONE_WAY_LATENCY,
                        Event::StopOrderArrives(pool_index, order),
                    );
                }
                pool_action::PoolAction::AnswerWaiter { waiter, end } => {
                    if let Some(job) = self.waiters.remove(&waiter) {
                        self.push_answer(CallerAnswer { job, end, at: now });
                    }
                }
                pool_action::PoolAction::LostServer { server } => {
                    self.lost_servers.push((pool_index, server));
                }
                pool_action::PoolAction::ShareLoss(lost_run) => {
                    for other in (0..self.pools.len()).filter(|other| *other != pool_index) {
                        let arrival = Event::LossArrives(other, lost_run.clone());
                        self.push(now + ONE_WAY_LATENCY, arrival);
                    }
                }
                // The replay passes changes of the registry on at once.
                pool_action::PoolAction::ReadRegistry => {}
                pool_action::PoolAction::LogDecision(decision) => {
                    self.decisions.push((now, decision));
                }
            }
        }
    }
}

/// Returns the outcome of an order whose answer was lost, in place of the `event` of its arrival.
fn without_answer(event: Event) -> Event {
    match event {
        Event::StartOutcomeArrives(pool_index, order, _) => {
            Event::StartOutcomeArrives(pool_index, order, server_model::StartOutcome::Unanswered)
        }
        Event::StopOutcomeArrives(pool_index, order, _) => {
            Event::StopOutcomeArrives(pool_index, order, server_model::StopOutcome::Unconfirmed)
        }
        Event::HoldOutcomeArrives(pool_index, order, _) => {
            Event::HoldOutcomeArrives(pool_index, order, server_model::HoldOutcome::Unanswered)
        }
        other => other,
    }
}
