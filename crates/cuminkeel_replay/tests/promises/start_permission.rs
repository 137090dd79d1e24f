//! Model check of what allows a start: all sequences of a few events in a failure domain of two processes and three
//! servers, with each of the gaps in [`GAPS`] before each event, run against the pools themselves.

use std::{collections::BTreeMap, ops, sync::Arc, time};

use cuminkeel_dispatch::{claim_token, job_model, pool_action};
use cuminkeel_replay::{fake_server, pool_simulation};
use rand::{SeedableRng, rngs};

use crate::fixtures;

/// Number of events of a sequence. The environment variable `MODEL_CHECK_EVENTS` sets another one for runs by hand: four
/// events take some minutes in the release profile.
const EVENT_COUNT: usize = 3;
/// Times before an event: less than a round trip to a server, less than a lease, and about a lease.
const GAPS: [time::Duration; 3] = [
    time::Duration::from_millis(1),
    time::Duration::from_millis(150),
    time::Duration::from_millis(700),
];
/// Time after the last event, by which the job has been started again if it is at a leader.
const SETTLING_TIME: time::Duration = time::Duration::from_millis(2_200);
/// Interval at which the latest leader claims servers that it lost, and at which coordinators show that they wait.
const STEP_TIME: time::Duration = time::Duration::from_millis(50);
/// Time by which orders are late, and for which one event makes them late.
const ORDER_DELAY: time::Duration = time::Duration::from_millis(700);
/// Time by which answers are late: within the time limit of an order, and longer than the next order takes.
const ANSWER_DELAY: time::Duration = time::Duration::from_millis(100);
/// Time after which callers send a job again.
const RETRANSMIT_TIME: time::Duration = time::Duration::from_millis(1_300);
/// Time after which a pool withdraws the jobs of a coordinator that it can't reach.
const COORDINATOR_LOSS: time::Duration = time::Duration::from_millis(1_040);
/// Time for which the registry counts as incomplete after an entry is gone, as in a process.
const REREGISTRATION_GRACE: time::Duration = time::Duration::from_millis(2_600);
/// Longest pause after which a process goes on as leader.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Run of the job, longer than any sequence.
const RUN_TIME: time::Duration = time::Duration::from_secs(20);

const SERVERS: [&str; 3] = ["s1", "s2", "s3"];
/// Server on which the first leader starts the job.
const RUN_SERVER: &str = "s1";
/// Job of which `RUN_SERVER` is the arbiter, so that a leader which loses other servers keeps its run.
const JOB: &str = "a";
const POOLS: ops::Range<usize> = 0..2;
/// Servers that may reject orders: the one that runs the job, and another one.
const REJECTING_SERVERS: ops::Range<usize> = 0..2;

/// Event of a failure domain; each `usize` is the index of a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DomainEvent {
    /// The coordinator withdraws the job from the pool that has it, if it reaches that, and offers it to this one.
    Offer(usize),
    /// The pool becomes the latest leader. An earlier one learns of it only by its orders.
    Lead(usize),
    StepDown(usize),
    Freeze(usize),
    Resume(usize),
    /// The process is lost, and another one starts with the registry of the store.
    Restart(usize),
    /// The coordinator and the process of the pool can't reach each other any more.
    CutLink(usize),
    /// The process reads that the entry of `RUN_SERVER` is gone.
    LoseEntry(usize),
    ReadEntry(usize),
    /// Orders of this kind are late.
    DelayOrders(pool_simulation::OrderKind),
    /// Orders of the pool to `RUN_SERVER` are late.
    DelayServer(usize),
    /// Answers to orders of this kind are lost; the orders are carried out at once.
    LoseAnswers(pool_simulation::OrderKind),
    /// Answers to orders of this kind are late, so that they come after the next order was sent.
    DelayAnswers(pool_simulation::OrderKind),
    /// The server with this index rejects all orders for their fencing token, for no reason.
    RejectOrders(usize),
    /// The server obeys orders again.
    ObeyOrders(usize),
    /// The caller leaves. It sends the job again after `RETRANSMIT_TIME`.
    LeaveCaller,
    /// The caller loses its coordinator, whose pool learns of it after `COORDINATOR_LOSS`. It sends the job again as
    /// above, to another coordinator.
    LoseCoordinator,
}

/// What precedes the events of a sequence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InitialState {
    /// The first leader runs the job, and both processes know all servers.
    Running,
    /// The second process has not read the entry of the server that runs the job.
    RunOnUnreadServer,
    /// The start of the job is late.
    LateStart,
    /// The start of the job is late. Its server has rejected three orders for no reason, was given up and obeys again. Its
    /// tokens are beyond those of its time. The job is sent again to a coordinator that knows nothing of its start.
    GivenUpServer,
}

/// State of the attempt of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptState {
    Live,
    /// The caller sends the job again after `RETRANSMIT_TIME`.
    FailedAt(time::Duration),
    Over,
}

type TimedEvent = (time::Duration, DomainEvent);

/// A failure domain in which one coordinator offers one job to at most one pool at a time.
struct DomainModel {
    simulation: pool_simulation::PoolSimulation,
    offer: job_model::JobOffer,
    attempt: AttemptState,
    /// Pool that has the job, with the number of the offer.
    holder: Option<(usize, pool_action::WaiterId)>,
    offer_count: u64,
    /// Pools that are leaders, with the order in which they became it.
    leaders: BTreeMap<usize, u64>,
    frozen: BTreeMap<usize, time::Duration>,
    /// Pools that the coordinator can't reach, with the time from which it can't.
    cut_links: BTreeMap<usize, time::Duration>,
    /// Whether each pool lists `RUN_SERVER`.
    lists_server: [bool; 2],
    is_entry_stored: bool,
    /// Pools whose process has been a leader.
    has_led: [bool; 2],
    unread_withdrawals: Vec<(usize, pool_action::WaiterId, time::Duration)>,
    read_answers: usize,
    has_overdue_run: bool,
}

impl DomainModel {
    fn new(initial: InitialState) -> Self {
        let mut simulation = fixtures::simulation_with_leader(POOLS.len(), &SERVERS);
        let lists_server = [true, initial != InitialState::RunOnUnreadServer];
        if !lists_server[1] {
            simulation.restart_pool(1, &SERVERS[1..]);
        }
        let mut model = Self {
            simulation,
            offer: job_model::JobOffer {
                time_to_deadline: RUN_TIME * 2,
                ..fixtures::offer(JOB, 1, RUN_TIME)
            },
            attempt: AttemptState::Live,
            holder: None,
            offer_count: 0,
            leaders: BTreeMap::from([(0, 0)]),
            frozen: BTreeMap::new(),
            cut_links: BTreeMap::new(),
            lists_server,
            is_entry_stored: true,
            has_led: [true, false],
            unread_withdrawals: Vec::new(),
            read_answers: 0,
            has_overdue_run: false,
        };
        if initial == InitialState::GivenUpServer {
            model.use_up_epochs();
        }
        if matches!(
            initial,
            InitialState::LateStart | InitialState::GivenUpServer
        ) {
            model.apply(DomainEvent::DelayOrders(pool_simulation::OrderKind::Start));
        }
        model.apply(DomainEvent::Offer(0));
        match initial {
            InitialState::Running | InitialState::RunOnUnreadServer => {
                model.advance(fixtures::ms(100));
                assert!(!model.simulation.server_mut(RUN_SERVER).runs.is_empty());
            }
            InitialState::LateStart => model.advance(fixtures::ms(100)),
            InitialState::GivenUpServer => model.give_up_server(),
        }
        model
    }

    /// Lets the first leader claim servers of which the last landing has used up the epochs.
    fn use_up_epochs(&mut self) {
        self.simulation.step_down(0);
        for server in SERVERS {
            let last_token = (1 << 53) - 1;
            self.simulation
                .server_mut(server)
                .set_highest_token(last_token);
        }
        self.simulation.restart_pool(0, &SERVERS);
        for pool in &mut self.simulation.pools {
            pool.observe_epoch(claim_token::MAX_EPOCH);
        }
        self.simulation.lead(0);
        self.advance(fixtures::ms(1_500));
    }

    /// Lets `RUN_SERVER` reject orders until the first leader gives it up.
    fn give_up_server(&mut self) {
        self.advance(fixtures::ms(3));
        self.simulation.late_order_rules.clear();
        self.apply(DomainEvent::RejectOrders(0));
        let other = fixtures::offer("b", 1, fixtures::SHORT_RUN);
        let profile = fixtures::task_profile(fixtures::SHORT_RUN);
        self.simulation.submit(0, &other, profile);
        self.advance(fixtures::ms(10));
        let lost_servers = &self.simulation.lost_servers;
        assert!(
            lost_servers
                .iter()
                .any(|(_, server)| **server == *RUN_SERVER)
        );
        self.apply(DomainEvent::ObeyOrders(0));
        self.holder = None;
        self.offer.may_have_started = false;
    }

    /// Returns the events that are possible and change anything.
    fn possible_events(&self) -> Vec<DomainEvent> {
        let mut events: Vec<(bool, DomainEvent)> = Vec::new();
        let has_attempt = self.attempt == AttemptState::Live;
        let now = self.simulation.now();
        for pool in POOLS {
            let is_running = !self.frozen.contains_key(&pool);
            let leads = self.leaders.contains_key(&pool);
            let has_job = self.holder.is_some_and(|(holder, _)| holder == pool);
            let is_reached = !self.cut_links.contains_key(&pool);
            let can_be_offered = has_attempt && is_running && leads && is_reached && !has_job;
            // A restart, or a pause, of a process that has not led changes nothing but its registry.
            let is_new = is_running
                && !self.has_led[pool]
                && self.lists_server[pool] == self.is_entry_stored;
            let candidates = [
                (can_be_offered, DomainEvent::Offer(pool)),
                (
                    is_running && self.latest_leader() != Some(pool),
                    DomainEvent::Lead(pool),
                ),
                (is_running && leads, DomainEvent::StepDown(pool)),
                (is_running && leads, DomainEvent::Freeze(pool)),
                (!is_running, DomainEvent::Resume(pool)),
                (!is_new, DomainEvent::Restart(pool)),
                (has_job && is_reached, DomainEvent::CutLink(pool)),
                (
                    is_running && self.lists_server[pool],
                    DomainEvent::LoseEntry(pool),
                ),
                (
                    is_running && !self.lists_server[pool],
                    DomainEvent::ReadEntry(pool),
                ),
                (
                    !self.is_delayed(None, Some(pool), now),
                    DomainEvent::DelayServer(pool),
                ),
            ];
            events.extend(candidates);
        }
        for kind in [
            pool_simulation::OrderKind::Start,
            pool_simulation::OrderKind::Stop,
            pool_simulation::OrderKind::Hold,
        ] {
            let is_possible = !self.is_delayed(Some(kind), None, now);
            events.push((is_possible, DomainEvent::DelayOrders(kind)));
        }
        for kind in [
            pool_simulation::OrderKind::Start,
            pool_simulation::OrderKind::Hold,
        ] {
            let is_sound = self.has_sound_answers(kind);
            events.push((is_sound, DomainEvent::LoseAnswers(kind)));
            events.push((is_sound, DomainEvent::DelayAnswers(kind)));
        }
        let stop = pool_simulation::OrderKind::Stop;
        events.push((self.has_sound_answers(stop), DomainEvent::LoseAnswers(stop)));
        for index in REJECTING_SERVERS {
            let rejection = self.simulation.servers[SERVERS[index]].rejection;
            let is_sound = rejection == fake_server::OrderRejection::None;
            events.push((is_sound, DomainEvent::RejectOrders(index)));
            events.push((!is_sound, DomainEvent::ObeyOrders(index)));
        }
        let can_leave = has_attempt && self.holder.is_some();
        events.push((can_leave, DomainEvent::LeaveCaller));
        events.push((can_leave, DomainEvent::LoseCoordinator));
        events
            .into_iter()
            .filter_map(|(is_possible, event)| is_possible.then_some(event))
            .collect()
    }

    fn is_delayed(
        &self,
        kind: Option<pool_simulation::OrderKind>,
        pool: Option<usize>,
        now: time::Duration,
    ) -> bool {
        self.simulation.late_order_rules.iter().any(|rule| {
            rule.pool_index == pool
                && kind.is_none_or(|kind| rule.kinds == [kind])
                && rule.arrival.contains(&now)
        })
    }

    fn has_sound_answers(&self, kind: pool_simulation::OrderKind) -> bool {
        let now = self.simulation.now();
        let mut rules = self.simulation.answer_rules.iter();
        !rules.any(|rule| rule.kind == kind && now < rule.until)
    }

    fn change_answers(
        &mut self,
        kind: pool_simulation::OrderKind,
        fault: pool_simulation::AnswerFault,
    ) {
        let until = self.simulation.now() + ORDER_DELAY;
        let rule = pool_simulation::AnswerRule { kind, fault, until };
        self.simulation.answer_rules.push(rule);
    }

    fn delay_orders(&mut self, kinds: Vec<pool_simulation::OrderKind>, pool_index: Option<usize>) {
        let now = self.simulation.now();
        self.simulation
            .late_order_rules
            .push(pool_simulation::LateOrderRule {
                kinds,
                pool_index,
                server: pool_index.map(|_| Arc::from(RUN_SERVER)),
                arrival: now..now + ORDER_DELAY,
                share: 1.0,
                delay: ORDER_DELAY..=ORDER_DELAY,
                rng: rngs::StdRng::seed_from_u64(0),
            });
    }

    fn apply(&mut self, event: DomainEvent) {
        let now = self.simulation.now();
        match event {
            DomainEvent::Offer(pool) => {
                if self.holder.is_some() {
                    self.lose_pool();
                }
                self.send_offer(pool);
            }
            DomainEvent::Lead(pool) => {
                let order = self.leaders.values().max().map_or(0, |latest| latest + 1);
                self.leaders.insert(pool, order);
                self.has_led[pool] = true;
                self.simulation.lead(pool);
            }
            DomainEvent::StepDown(pool) => {
                self.leaders.remove(&pool);
                self.simulation.step_down(pool);
            }
            DomainEvent::Freeze(pool) => {
                self.frozen.insert(pool, now);
                self.simulation.pause(pool);
            }
            DomainEvent::Resume(pool) => self.resume(pool),
            DomainEvent::Restart(pool) => self.restart(pool),
            DomainEvent::CutLink(pool) => {
                self.cut_links.insert(pool, now);
            }
            DomainEvent::LoseEntry(pool) => {
                self.is_entry_stored = false;
                self.lists_server[pool] = false;
                let pool = &mut self.simulation.pools[pool];
                pool.remove_registry_entry(RUN_SERVER);
                pool.mark_registry_incomplete(now + REREGISTRATION_GRACE);
            }
            DomainEvent::ReadEntry(pool) => {
                self.is_entry_stored = true;
                self.lists_server[pool] = true;
                self.simulation.update_registry_entry(pool, RUN_SERVER);
            }
            DomainEvent::DelayOrders(kind) => self.delay_orders(vec![kind], None),
            DomainEvent::DelayServer(pool) => {
                let kinds = vec![
                    pool_simulation::OrderKind::Start,
                    pool_simulation::OrderKind::Stop,
                    pool_simulation::OrderKind::Hold,
                ];
                self.delay_orders(kinds, Some(pool));
            }
            DomainEvent::LoseAnswers(kind) => {
                self.change_answers(kind, pool_simulation::AnswerFault::Lost);
            }
            DomainEvent::DelayAnswers(kind) => {
                let fault = pool_simulation::AnswerFault::Late(ANSWER_DELAY);
                self.change_answers(kind, fault);
            }
            DomainEvent::RejectOrders(index) => {
                self.simulation.server_mut(SERVERS[index]).rejection =
                    fake_server::OrderRejection::All;
            }
            DomainEvent::ObeyOrders(index) => {
                self.simulation.server_mut(SERVERS[index]).rejection =
                    fake_server::OrderRejection::None;
            }
            DomainEvent::LeaveCaller => {
                self.withdraw();
                self.attempt = AttemptState::FailedAt(now);
            }
            DomainEvent::LoseCoordinator => {
                if let Some((pool, _)) = self.holder {
                    self.cut_links.entry(pool).or_insert(now);
                }
                self.withdraw();
                self.cut_links.clear();
                self.attempt = AttemptState::FailedAt(now);
            }
        }
        self.exchange_messages();
    }

    fn resume(&mut self, pool: usize) {
        let now = self.simulation.now();
        let frozen_at = self.frozen.remove(&pool).unwrap_or(now);
        self.simulation.resume(pool);
        // A process that was paused for long steps down before it does anything else.
        self.simulation.run_until(now);
        if now > frozen_at + MAX_PAUSE {
            self.leaders.remove(&pool);
        }
    }

    fn restart(&mut self, pool: usize) {
        if self.frozen.remove(&pool).is_some() {
            self.simulation.resume(pool);
        }
        if self.holder.is_some_and(|(holder, _)| holder == pool) {
            self.holder = None;
            self.offer.may_have_started = true;
        }
        self.unread_withdrawals.retain(|(other, ..)| *other != pool);
        self.leaders.remove(&pool);
        self.cut_links.remove(&pool);
        self.lists_server[pool] = self.is_entry_stored;
        self.has_led[pool] = false;
        let listed_servers = if self.is_entry_stored {
            &SERVERS[..]
        } else {
            &SERVERS[1..]
        };
        self.simulation.restart_pool(pool, listed_servers);
    }

    fn send_offer(&mut self, pool: usize) {
        self.offer_count += 1;
        self.offer.session = job_model::OfferSession(self.offer_count);
        let profile = fixtures::task_profile(RUN_TIME);
        let waiter = self.simulation.submit(pool, &self.offer, profile);
        self.holder = Some((pool, waiter));
    }

    fn lose_pool(&mut self) {
        self.withdraw();
        self.offer.may_have_started = true;
    }

    /// Takes the job from its pool, which learns of it when it can.
    fn withdraw(&mut self) {
        if let Some((pool, waiter)) = self.holder.take() {
            let cut_at = self.cut_links.get(&pool).copied();
            let read_at = cut_at.map_or(time::Duration::ZERO, |at| at + COORDINATOR_LOSS);
            self.simulation.forget_waiter(waiter);
            self.unread_withdrawals.push((pool, waiter, read_at));
            self.read_withdrawals();
        }
    }

    fn read_withdrawals(&mut self) {
        let now = self.simulation.now();
        let frozen = &self.frozen;
        let due: Vec<_> = self
            .unread_withdrawals
            .extract_if(.., |(pool, _, read_at)| {
                *read_at <= now && !frozen.contains_key(pool)
            })
            .collect();
        for (pool, waiter, _) in due {
            let job = &self.offer.spec.id;
            self.simulation.withdraw_waiter(pool, job, waiter);
        }
    }

    /// Lets processes and the coordinator handle what has reached them.
    fn exchange_messages(&mut self) {
        let now = self.simulation.now();
        self.read_withdrawals();
        self.read_answers();
        if let Some((pool, _)) = self.holder {
            match self.cut_links.get(&pool) {
                Some(cut_at) if now >= *cut_at + COORDINATOR_LOSS => self.lose_pool(),
                None if !self.frozen.contains_key(&pool) => {
                    let session = self.offer.session;
                    self.simulation.pools[pool].record_session_sign(session, now);
                }
                Some(_) | None => {}
            }
        }
        self.return_caller();
    }

    fn read_answers(&mut self) {
        while let Some(answer) = self.simulation.answers.get(self.read_answers).cloned() {
            self.read_answers += 1;
            let is_reached = |(pool, _)| !self.cut_links.contains_key(&pool);
            if !self.holder.is_some_and(is_reached) {
                continue;
            }
            let was_possibly_started = self.offer.may_have_started;
            self.holder = None;
            match answer.end {
                job_model::JobEnd::Completed => self.attempt = AttemptState::Over,
                // The caller is told that the job has not run.
                job_model::JobEnd::Refused { .. } if !was_possibly_started => {
                    self.attempt = AttemptState::Over;
                }
                job_model::JobEnd::Failed(_) => self.attempt = AttemptState::FailedAt(answer.at),
                job_model::JobEnd::PoolLost => self.offer.may_have_started = true,
                job_model::JobEnd::NotLeader | job_model::JobEnd::Refused { .. } => {}
            }
        }
    }

    /// Lets the caller of a failed attempt send the job again, to the latest leader, when it can.
    fn return_caller(&mut self) {
        let now = self.simulation.now();
        let AttemptState::FailedAt(failed_at) = self.attempt else {
            return;
        };
        if now < failed_at + RETRANSMIT_TIME {
            return;
        }
        for server in self.simulation.servers.values_mut() {
            server.advance(now);
            self.has_overdue_run |= server.runs.keys().any(|task| *task.job == *JOB);
        }
        let reached = self.leaders.iter().filter(|(pool, _)| {
            !self.frozen.contains_key(pool) && !self.cut_links.contains_key(pool)
        });
        if let Some((pool, _)) = reached.max_by_key(|(_, order)| **order) {
            self.attempt = AttemptState::Live;
            self.offer.may_have_started = false;
            self.send_offer(*pool);
        }
    }

    /// Returns the leader that claims servers back which it has lost. An earlier one that still leads uses the servers
    /// that it holds.
    fn latest_leader(&self) -> Option<usize> {
        let latest = self.leaders.iter().max_by_key(|(_, order)| **order);
        latest.map(|(pool, _)| *pool)
    }

    fn advance(&mut self, gap: time::Duration) {
        let end = self.simulation.now() + gap;
        while self.simulation.now() < end {
            let next = self.simulation.now() + STEP_TIME;
            let next = match self.attempt {
                AttemptState::FailedAt(at) if at + RETRANSMIT_TIME > self.simulation.now() => {
                    next.min(at + RETRANSMIT_TIME)
                }
                _ => next,
            };
            self.simulation.run_until(next.min(end));
            self.exchange_messages();
            match self.latest_leader() {
                Some(pool) if !self.frozen.contains_key(&pool) => self.simulation.lead(pool),
                Some(_) | None => {}
            }
            self.read_answers();
        }
    }

    /// The refusal of a job that may have started doesn't tell its caller that it has not run.
    fn has_failed(&self) -> bool {
        let is_failure = |violation: &pool_simulation::InvariantViolation| {
            !matches!(
                violation,
                pool_simulation::InvariantViolation::RefusedJobRan(_)
            )
        };
        self.has_overdue_run || self.simulation.violations.iter().any(is_failure)
    }
}

/// Explores all sequences of events from one initial state.
struct SequenceSearch {
    initial: InitialState,
    event_count: usize,
    sequence: Vec<TimedEvent>,
    explored_count: u64,
    /// Sequences that failed. None of them continues another one.
    failed_sequences: Vec<Vec<TimedEvent>>,
}

impl SequenceSearch {
    fn new(initial: InitialState) -> Self {
        let event_count = std::env::var("MODEL_CHECK_EVENTS").ok();
        Self {
            initial,
            event_count: event_count
                .and_then(|count| count.parse().ok())
                .unwrap_or(EVENT_COUNT),
            sequence: Vec::new(),
            explored_count: 0,
            failed_sequences: Vec::new(),
        }
    }

    /// Plays the sequence, then all sequences that continue it unless it has failed.
    fn explore(&mut self) {
        let mut model = self.play();
        model.advance(SETTLING_TIME);
        self.explored_count += 1;
        if model.has_failed() {
            self.failed_sequences.push(self.sequence.clone());
            return;
        }
        if self.sequence.len() == self.event_count {
            return;
        }
        // Nothing is in progress before the first event but holds that wait.
        let gaps = if self.sequence.is_empty() {
            &GAPS[1..2]
        } else {
            &GAPS[..]
        };
        for gap in gaps.iter().copied() {
            let mut model = self.play();
            model.advance(gap);
            for event in model.possible_events() {
                self.sequence.push((gap, event));
                self.explore();
                self.sequence.pop();
            }
        }
    }

    fn play(&self) -> DomainModel {
        let mut model = DomainModel::new(self.initial);
        for (gap, event) in &self.sequence {
            model.advance(*gap);
            model.apply(*event);
        }
        model
    }
}

/// Fails if a sequence of events leads to two runs of a task at once, or to a run that is left when its caller may
/// send the job again.
fn check_sequences(initial: InitialState) {
    let mut search = SequenceSearch::new(initial);
    search.explore();
    let mut failed = search.failed_sequences;
    failed.sort_by_key(Vec::len);
    println!(
        "{initial:?}: {} of {} sequences of up to {} events failed",
        failed.len(),
        search.explored_count,
        search.event_count
    );
    let shown: Vec<String> = failed
        .iter()
        .take(20)
        .map(|sequence| format!("{sequence:?}"))
        .collect();
    assert!(failed.is_empty(), "{}", shown.join("\n"));
}

#[test]
fn no_sequence_of_events_starts_a_task_beside_its_run() {
    check_sequences(InitialState::Running);
}

#[test]
fn no_sequence_of_events_starts_a_task_beside_its_run_on_a_server_that_a_process_has_not_read() {
    check_sequences(InitialState::RunOnUnreadServer);
}

#[test]
fn no_sequence_of_events_starts_a_task_beside_its_run_of_a_late_start() {
    check_sequences(InitialState::LateStart);
}

#[test]
fn no_sequence_of_events_starts_a_task_beside_its_late_start_on_a_server_that_was_given_up() {
    check_sequences(InitialState::GivenUpServer);
}
