//! Random schedules of two failure domains whose leaders, coordinators, callers and registry entries are lost, while
//! orders stay unanswered and are carried out late.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops,
    sync::Arc,
    time,
};

use cuminkeel_dispatch::{job_model, pool_action, settings};
use cuminkeel_replay::{fake_server, pool_simulation};
use rand::{RngExt, SeedableRng, rngs};

use crate::fixtures;

/// Number of random schedules of each kind.
const SCHEDULE_COUNT: u64 = 200;
/// Time after which callers send a job again.
const RETRANSMIT_TIME: time::Duration = time::Duration::from_millis(1_300);
/// Time until which jobs are sent and processes are lost.
const DISTURBED_TIME: time::Duration = time::Duration::from_secs(10);
/// Time at which all jobs have ended.
const SCHEDULE_END: time::Duration = time::Duration::from_secs(22);
/// Interval of the events of a schedule.
const STEP_TIME: time::Duration = time::Duration::from_millis(10);
/// Times until a process counts a silent connection as lost and a pool stops the jobs of one: 55% and 80% of
/// [`RETRANSMIT_TIME`].
const MIN_LOSS_MS: u64 = 715;
const COORDINATOR_LOSS_MS: u64 = 1_040;
/// Interval at which the coordinator of an attempt shows that it waits: that of statuses to a leader.
const SIGN_INTERVAL_MS: u128 = 150;
/// Number of pools, one of them a leader, and servers of each failure domain.
const POOLS_PER_DOMAIN: usize = 4;
const DOMAIN_SERVERS: [&[&str]; 2] = [&["a1", "a2", "a3"], &["b1", "b2"]];
/// Time for which the registry may be incomplete after an entry is gone, as in a process.
const REREGISTRATION_GRACE: time::Duration = time::Duration::from_millis(2_600);
/// Times of sending of a job, including the first one.
const MAX_ATTEMPTS: u32 = 3;

/// What callers do after an attempt that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallerPolicy {
    /// They never return, so that all runs of a job belong to its only attempt.
    Leave,
    /// They send the job again, at the leader of any failure domain.
    SendAgain,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProcessState {
    Running,
    /// Frozen until this time.
    Frozen(time::Duration),
    Killed,
}

#[derive(Debug)]
struct Domain {
    pools: ops::Range<usize>,
    leader: usize,
    /// Time at which the loss of the leader is noticed.
    loss_noticed_at: Option<time::Duration>,
    /// Time at which the leader is killed.
    leader_killed_at: Option<time::Duration>,
}

/// One sending of a job, from its request to its answer.
#[derive(Clone, Debug)]
struct Attempt {
    offer: job_model::JobOffer,
    run_time: time::Duration,
    number: u32,
    domain: usize,
    /// Pool that has the job, and the number of the offer.
    pool: usize,
    waiter: pool_action::WaiterId,
    deadline_at: time::Duration,
    /// Time at which the job is offered to the next leader.
    offer_again_at: Option<time::Duration>,
    /// Time at which the pool learns that the coordinator is lost.
    withdraw_at: Option<time::Duration>,
    /// Whether the caller has an answer after which it doesn't return.
    is_settled: bool,
    /// Whether the caller was told that the job has not run.
    is_refused: bool,
    /// Time from which the caller has no result to expect: of an answer of 502 or 504, or of the last sign of
    /// life of its coordinator.
    failed_at: Option<time::Duration>,
}

impl Attempt {
    fn is_live(&self) -> bool {
        !self.is_settled && self.failed_at.is_none()
    }
}

/// Withdrawal of an offer that its pool has not read.
struct UnreadWithdrawal {
    pool: usize,
    job: Arc<str>,
    waiter: pool_action::WaiterId,
    /// Time at which it reaches the process of the pool.
    at: time::Duration,
}

struct ReturnSchedule {
    simulation: pool_simulation::PoolSimulation,
    rng: rngs::StdRng,
    policy: CallerPolicy,
    domains: Vec<Domain>,
    states: Vec<ProcessState>,
    attempts: Vec<Attempt>,
    read_answers: usize,
    /// Share of the steps in which a job is sent.
    job_share: f64,
    job_count: u32,
    session_count: u64,
    /// Pools that live while others take them for lost, with the times from and until which they do.
    cut_off: BTreeMap<usize, ops::Range<time::Duration>>,
    unread_withdrawals: Vec<UnreadWithdrawal>,
    /// Servers whose registry entries are missing, with the times at which they are back.
    missing_entries: BTreeMap<&'static str, time::Duration>,
    /// Times at which callers return, with the attempt that failed.
    returns: Vec<(time::Duration, Attempt)>,
}

impl ReturnSchedule {
    fn new(seed: u64, policy: CallerPolicy) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let servers = DOMAIN_SERVERS.concat();
        let mut simulation = pool_simulation::PoolSimulation::new(
            POOLS_PER_DOMAIN * DOMAIN_SERVERS.len(),
            servers.iter().map(|name| fixtures::server(name)).collect(),
            settings::PoolPolicies::default(),
        );
        let domains: Vec<Domain> = (0..DOMAIN_SERVERS.len())
            .map(|domain| {
                let first_pool = domain * POOLS_PER_DOMAIN;
                Domain {
                    pools: first_pool..first_pool + POOLS_PER_DOMAIN,
                    leader: first_pool,
                    loss_noticed_at: None,
                    leader_killed_at: None,
                }
            })
            .collect();
        for (domain, own) in domains.iter().zip(DOMAIN_SERVERS) {
            for pool_index in domain.pools.clone() {
                for foreign in servers.iter().filter(|server| !own.contains(server)) {
                    simulation.pools[pool_index].remove_registry_entry(foreign);
                }
            }
            simulation.lead(domain.leader);
        }
        simulation.late_order_rules = late_order_rules(&mut rng);
        simulation.run_until(fixtures::ms(100));
        Self {
            states: vec![ProcessState::Running; simulation.pools.len()],
            simulation,
            // From half of what the servers can run to five times as much.
            job_share: [0.01, 0.02, 0.05, 0.12][rng.random_range(0..4)],
            rng,
            policy,
            domains,
            attempts: Vec::new(),
            read_answers: 0,
            job_count: 0,
            session_count: 0,
            cut_off: BTreeMap::new(),
            unread_withdrawals: Vec::new(),
            missing_entries: BTreeMap::new(),
            returns: Vec::new(),
        }
    }

    fn run(&mut self) {
        while self.simulation.now() < SCHEDULE_END {
            let next = self.simulation.now() + STEP_TIME;
            self.simulation.run_until(next);
            self.resume_frozen();
            self.reconnect_pools();
            self.read_withdrawals();
            self.return_entries();
            self.kill_due_leaders();
            self.apply_answers();
            self.change_leaders();
            self.advance_attempts();
            self.send_signs();
            self.return_callers();
            if next < DISTURBED_TIME {
                self.draw_events();
            }
            for domain in 0..self.domains.len() {
                let leader = self.domains[domain].leader;
                if self.states[leader] == ProcessState::Running {
                    self.simulation.lead(leader);
                }
            }
            // A leader may have ended jobs as it was fenced.
            self.apply_answers();
        }
    }

    fn draw_events(&mut self) {
        if self.rng.random_bool(self.job_share) {
            self.send_new_job();
        }
        if self.rng.random_bool(0.01) {
            self.lose_leader();
        }
        if self.rng.random_bool(0.01) {
            self.lose_caller_or_coordinator();
        }
        if self.rng.random_bool(0.004) {
            self.lose_registry_entry();
        }
    }

    /// Lets the registry lose the entry of a server that can't reach the store. Often, the leader is killed while
    /// the entry is missing.
    fn lose_registry_entry(&mut self) {
        let now = self.simulation.now();
        let domain = self.rng.random_range(0..self.domains.len());
        let servers = DOMAIN_SERVERS[domain];
        let server = servers[self.rng.random_range(0..servers.len())];
        let missing_for = fixtures::ms(self.rng.random_range(3_000..8_000));
        self.missing_entries.insert(server, now + missing_for);
        if self.rng.random_bool(0.5) {
            let killed_after = missing_for.mul_f64(self.rng.random_range(0.0..1.0));
            self.domains[domain].leader_killed_at = Some(now + killed_after);
        }
        for pool in self.domains[domain].pools.clone() {
            if self.states[pool] == ProcessState::Running {
                let pool = &mut self.simulation.pools[pool];
                pool.remove_registry_entry(server);
                pool.mark_registry_incomplete(now + REREGISTRATION_GRACE);
            }
        }
    }

    fn return_entries(&mut self) {
        let now = self.simulation.now();
        let returned: Vec<&str> = self
            .missing_entries
            .extract_if(.., |_, until| *until <= now)
            .map(|(server, _)| server)
            .collect();
        for server in returned {
            for (domain, own) in self.domains.iter().zip(DOMAIN_SERVERS) {
                for pool in domain.pools.clone().filter(|_| own.contains(&server)) {
                    if self.states[pool] == ProcessState::Running {
                        self.simulation.update_registry_entry(pool, server);
                    }
                }
            }
        }
    }

    /// Lets a pool that goes on after a pause read the registry.
    fn read_registry(&mut self, pool: usize) {
        let now = self.simulation.now();
        for server in DOMAIN_SERVERS[pool / POOLS_PER_DOMAIN] {
            if self.missing_entries.contains_key(server) {
                let pool = &mut self.simulation.pools[pool];
                pool.remove_registry_entry(server);
                pool.mark_registry_incomplete(now + REREGISTRATION_GRACE);
            } else {
                self.simulation.update_registry_entry(pool, server);
            }
        }
    }

    fn send_new_job(&mut self) {
        let (estimate, run_time, deadline_ms) = match self.rng.random_range(0..4) {
            0 => (fixtures::SHORT_RUN, fixtures::SHORT_RUN, 1_500),
            1 => (fixtures::LONG_RUN, fixtures::LONG_RUN, 3_000),
            2 => (fixtures::LONG_RUN, fixtures::LONG_RUN * 4, 1_500),
            _ => (fixtures::LONG_RUN * 7, fixtures::LONG_RUN * 7, 10_000),
        };
        self.job_count += 1;
        let id = format!("job{}", self.job_count);
        let offer = job_model::JobOffer {
            time_to_deadline: fixtures::ms(deadline_ms),
            ..fixtures::offer(&id, self.rng.random_range(1..3), estimate)
        };
        let domain = self.rng.random_range(0..self.domains.len());
        self.send(offer, run_time, 1, domain);
    }

    /// Lets the coordinators that wait show it to the pools that they reach.
    fn send_signs(&mut self) {
        let now = self.simulation.now();
        if !now.as_millis().is_multiple_of(SIGN_INTERVAL_MS) {
            return;
        }
        for attempt in self.attempts.iter().filter(|attempt| attempt.is_live()) {
            let is_reached = self.states[attempt.pool] == ProcessState::Running
                && !self.cut_off.contains_key(&attempt.pool);
            if is_reached {
                self.simulation.pools[attempt.pool].record_session_sign(attempt.offer.session, now);
            }
        }
    }

    /// Returns a new connection of a coordinator.
    fn new_session(&mut self) -> job_model::OfferSession {
        self.session_count += 1;
        job_model::OfferSession(self.session_count)
    }

    /// Sends a job to the leader of `domain`; one that is frozen, lost or cut off doesn't read the offer.
    fn send(
        &mut self,
        offer: job_model::JobOffer,
        run_time: time::Duration,
        number: u32,
        domain: usize,
    ) {
        let pool = self.domains[domain].leader;
        if self.states[pool] != ProcessState::Running || self.cut_off.contains_key(&pool) {
            return;
        }
        let profile = fixtures::task_profile(run_time);
        let offer = job_model::JobOffer {
            session: self.new_session(),
            ..offer
        };
        let waiter = self.simulation.submit(pool, &offer, profile);
        self.attempts.push(Attempt {
            deadline_at: self.simulation.now() + offer.time_to_deadline,
            offer,
            run_time,
            number,
            domain,
            pool,
            waiter,
            offer_again_at: None,
            withdraw_at: None,
            is_settled: false,
            is_refused: false,
            failed_at: None,
        });
    }

    /// Kills a leader, or freezes it, for less time than its peers wait for it or for more.
    fn lose_leader(&mut self) {
        let domain = self.rng.random_range(0..self.domains.len());
        let now = self.simulation.now();
        let (state, noticed_after_ms) = match self.rng.random_range(0..4) {
            0 => (ProcessState::Killed, Some(self.rng.random_range(0..50))),
            1 => {
                let frozen_for = fixtures::ms(self.rng.random_range(50..390));
                (ProcessState::Frozen(now + frozen_for), None)
            }
            2 => {
                let frozen_for = fixtures::ms(self.rng.random_range(750..3_000));
                let noticed_after_ms = self.rng.random_range(600..710);
                (
                    ProcessState::Frozen(now + frozen_for),
                    Some(noticed_after_ms),
                )
            }
            _ => {
                self.cut_off_leader(domain);
                return;
            }
        };
        self.stop_leader(
            domain,
            state,
            noticed_after_ms.map(|after_ms| now + fixtures::ms(after_ms)),
        );
    }

    fn kill_due_leaders(&mut self) {
        let now = self.simulation.now();
        for domain in 0..self.domains.len() {
            let is_due = |at: &mut time::Duration| *at <= now;
            if self.domains[domain]
                .leader_killed_at
                .take_if(is_due)
                .is_some()
            {
                self.stop_leader(domain, ProcessState::Killed, Some(now));
            }
        }
    }

    /// Cuts a leader off from all other processes, which take it for lost, but not from the servers.
    fn cut_off_leader(&mut self, domain: usize) {
        let now = self.simulation.now();
        let leader = self.domains[domain].leader;
        let is_free = self.domains[domain].loss_noticed_at.is_none();
        if self.states[leader] == ProcessState::Running && is_free && self.has_successor(domain) {
            let noticed_at = now + fixtures::ms(self.rng.random_range(0..MIN_LOSS_MS));
            let until = noticed_at + fixtures::ms(self.rng.random_range(200..2_000));
            self.cut_off.insert(leader, now..until);
            self.domains[domain].loss_noticed_at = Some(noticed_at);
        }
    }

    /// Whether another pool could lead the domain.
    fn has_successor(&self, domain: usize) -> bool {
        self.successor(domain).is_some()
    }

    fn successor(&self, domain: usize) -> Option<usize> {
        let leader = self.domains[domain].leader;
        self.domains[domain].pools.clone().find(|pool| {
            *pool != leader
                && self.states[*pool] == ProcessState::Running
                && !self.cut_off.contains_key(pool)
        })
    }

    /// Stops the leader of a domain unless it is stopped already or nobody could follow it.
    fn stop_leader(
        &mut self,
        domain: usize,
        state: ProcessState,
        loss_noticed_at: Option<time::Duration>,
    ) {
        let leader = self.domains[domain].leader;
        let is_lost = self.cut_off.contains_key(&leader);
        let is_running = self.states[leader] == ProcessState::Running;
        if is_running && !is_lost && self.has_successor(domain) {
            self.simulation.pause(leader);
            self.states[leader] = state;
            self.domains[domain].loss_noticed_at = loss_noticed_at;
        }
    }

    fn resume_frozen(&mut self) {
        let now = self.simulation.now();
        for pool in 0..self.states.len() {
            if matches!(self.states[pool], ProcessState::Frozen(until) if until <= now) {
                self.simulation.resume(pool);
                self.states[pool] = ProcessState::Running;
                // The process steps down before it does anything else.
                self.simulation.run_until(now);
                self.read_registry(pool);
            }
        }
    }

    /// Lets another pool lead each domain whose leader is found to be lost. Coordinators offer their jobs to the
    /// next leader, or tell their callers that the pool is lost.
    fn change_leaders(&mut self) {
        let now = self.simulation.now();
        for domain in 0..self.domains.len() {
            let lost = self.domains[domain].leader;
            if self.domains[domain]
                .loss_noticed_at
                .is_none_or(|at| now < at)
            {
                continue;
            }
            let Some(successor) = self.successor(domain) else {
                continue;
            };
            self.domains[domain].loss_noticed_at = None;
            self.domains[domain].leader = successor;
            self.simulation.lead(successor);
            for index in 0..self.attempts.len() {
                if self.attempts[index].pool == lost && self.attempts[index].is_live() {
                    self.lose_pool(index);
                }
            }
        }
    }

    /// Handles the loss of the pool that has an attempt.
    fn lose_pool(&mut self, index: usize) {
        let now = self.simulation.now();
        self.withdraw(index);
        if self.rng.random_bool(0.5) {
            let delay = fixtures::ms(self.rng.random_range(0..250));
            self.attempts[index].offer_again_at = Some(now + delay);
        } else {
            self.fail(index, now);
        }
    }

    fn fail(&mut self, index: usize, at: time::Duration) {
        let attempt = &mut self.attempts[index];
        attempt.failed_at = Some(at);
        if self.policy == CallerPolicy::SendAgain && attempt.number < MAX_ATTEMPTS {
            self.returns.push((at + RETRANSMIT_TIME, attempt.clone()));
        }
    }

    fn apply_answers(&mut self) {
        while let Some(answer) = self.simulation.answers.get(self.read_answers).cloned() {
            self.read_answers += 1;
            let Some(index) = self
                .attempts
                .iter()
                .position(|attempt| attempt.is_live() && attempt.offer.spec.id == answer.job)
            else {
                continue;
            };
            match answer.end {
                job_model::JobEnd::Completed => self.attempts[index].is_settled = true,
                // A copy may have run elsewhere, so that a refusal is no proof that none has.
                job_model::JobEnd::Refused { .. }
                    if !self.attempts[index].offer.may_have_started =>
                {
                    self.attempts[index].is_settled = true;
                    self.attempts[index].is_refused = true;
                }
                job_model::JobEnd::Refused { .. } | job_model::JobEnd::Failed(_) => {
                    self.fail(index, answer.at);
                }
                job_model::JobEnd::PoolLost | job_model::JobEnd::NotLeader => self.lose_pool(index),
            }
        }
    }

    /// Withdraws an attempt from its pool. A frozen pool reads the message when it goes on, and one that is cut
    /// off counts the connection as lost after a while.
    fn withdraw(&mut self, index: usize) {
        let now = self.simulation.now();
        let attempt = &mut self.attempts[index];
        let is_loss_noticed = attempt.withdraw_at.take().is_some();
        let (pool, waiter) = (attempt.pool, attempt.waiter);
        let job = Arc::clone(&attempt.offer.spec.id);
        let at = match self.cut_off.get(&pool) {
            Some(cut) if !is_loss_noticed => {
                let loss_ms = self.rng.random_range(MIN_LOSS_MS..COORDINATOR_LOSS_MS);
                now.max(cut.start + fixtures::ms(loss_ms))
            }
            _ => now,
        };
        self.simulation.forget_waiter(waiter);
        self.unread_withdrawals.push(UnreadWithdrawal {
            pool,
            job,
            waiter,
            at,
        });
        self.read_withdrawals();
    }

    /// Lets pools read the withdrawals that have reached them.
    fn read_withdrawals(&mut self) {
        let now = self.simulation.now();
        let (read, others): (Vec<UnreadWithdrawal>, Vec<UnreadWithdrawal>) =
            std::mem::take(&mut self.unread_withdrawals)
                .into_iter()
                .partition(|withdrawal| {
                    withdrawal.at <= now && self.states[withdrawal.pool] == ProcessState::Running
                });
        self.unread_withdrawals = others;
        for UnreadWithdrawal {
            pool, job, waiter, ..
        } in read
        {
            self.simulation.withdraw_waiter(pool, &job, waiter);
        }
    }

    /// Lets pools step down that have learnt that others have taken them for lost.
    fn reconnect_pools(&mut self) {
        let now = self.simulation.now();
        for (pool, _) in self.cut_off.extract_if(.., |_, cut| cut.end <= now) {
            if self.states[pool] == ProcessState::Running {
                self.simulation.step_down(pool);
            }
        }
    }

    /// Ends attempts at their deadlines, and carries out what their coordinators do later.
    fn advance_attempts(&mut self) {
        let now = self.simulation.now();
        for index in 0..self.attempts.len() {
            let attempt = &self.attempts[index];
            if attempt.withdraw_at.is_some_and(|at| at <= now) {
                self.withdraw(index);
            } else if attempt.is_live() && attempt.deadline_at <= now {
                self.withdraw(index);
                self.fail(index, now);
            } else if attempt.is_live() && attempt.offer_again_at.is_some_and(|at| at <= now) {
                self.offer_again(index);
            }
        }
    }

    fn offer_again(&mut self, index: usize) {
        let now = self.simulation.now();
        let leader = self.domains[self.attempts[index].domain].leader;
        if self.states[leader] != ProcessState::Running || self.cut_off.contains_key(&leader) {
            return;
        }
        let session = self.new_session();
        let attempt = &mut self.attempts[index];
        attempt.offer.session = session;
        attempt.offer_again_at = None;
        attempt.pool = leader;
        attempt.offer.may_have_started = true;
        attempt.offer.time_to_deadline = attempt.deadline_at.saturating_sub(now);
        let (offer, run_time) = (attempt.offer.clone(), attempt.run_time);
        let profile = fixtures::task_profile(run_time);
        self.attempts[index].waiter = self.simulation.submit(leader, &offer, profile);
    }

    /// A caller leaves, which its coordinator notices at once, or the coordinator is cut off with its caller,
    /// which the pool notices later.
    fn lose_caller_or_coordinator(&mut self) {
        let live: Vec<usize> = (0..self.attempts.len())
            .filter(|index| self.attempts[*index].is_live())
            .collect();
        if live.is_empty() {
            return;
        }
        let now = self.simulation.now();
        let index = live[self.rng.random_range(0..live.len())];
        if self.rng.random_bool(0.5) {
            self.withdraw(index);
        } else {
            let delay = fixtures::ms(self.rng.random_range(0..COORDINATOR_LOSS_MS));
            self.attempts[index].withdraw_at = Some(now + delay);
        }
        self.fail(index, now);
    }

    fn return_callers(&mut self) {
        let now = self.simulation.now();
        let (due, later) = std::mem::take(&mut self.returns)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.returns = later;
        let due: Vec<(time::Duration, Attempt)> = due;
        for (_, attempt) in due {
            let offer = job_model::JobOffer {
                may_have_started: false,
                time_to_deadline: fixtures::ms(3_000),
                ..attempt.offer
            };
            let domain = self.rng.random_range(0..self.domains.len());
            self.send(offer, attempt.run_time, attempt.number + 1, domain);
        }
    }

    /// Returns whether a task ran of a job whose caller was told that it has not run.
    fn has_refused_job_run(&self) -> bool {
        let is_refused = |run: &fake_server::RunRecord| {
            self.attempts
                .iter()
                .any(|attempt| attempt.is_refused && attempt.offer.spec.id == run.task.job)
        };
        let mut servers = self.simulation.servers.values();
        servers.any(|server| server.history.iter().any(is_refused))
    }

    /// Returns the runs that were left when the caller of their job may have returned, with the time for which
    /// they were.
    fn overdue_runs(&self) -> Vec<(job_model::TaskName, time::Duration)> {
        let servers = self.simulation.servers.values();
        let runs = servers.flat_map(|server| {
            let ended = server.history.iter().map(|run| (&run.task, run.ended_at));
            let in_progress = server.runs.keys().map(|task| (task, SCHEDULE_END));
            ended.chain(in_progress)
        });
        runs.filter_map(|(task, ended_at)| {
            let failed_at = self
                .attempts
                .iter()
                .find(|attempt| attempt.offer.spec.id == task.job)?
                .failed_at?;
            let left_for = ended_at.saturating_sub(failed_at);
            (left_for > RETRANSMIT_TIME).then(|| (task.clone(), left_for))
        })
        .collect()
    }
}

/// Draws a share of all orders that are late, and times in which one kind of orders to a server is.
fn late_order_rules(rng: &mut rngs::StdRng) -> Vec<pool_simulation::LateOrderRule> {
    let all_kinds = [
        pool_simulation::OrderKind::Start,
        pool_simulation::OrderKind::Stop,
        pool_simulation::OrderKind::Hold,
    ];
    let delay = fixtures::ms(200)..=fixtures::ms(8_000);
    let mut rules = vec![pool_simulation::LateOrderRule {
        kinds: all_kinds.to_vec(),
        pool_index: None,
        server: None,
        arrival: time::Duration::ZERO..SCHEDULE_END,
        share: [0.0, 0.01, 0.03, 0.1][rng.random_range(0..4)],
        delay: delay.clone(),
        rng: rngs::StdRng::seed_from_u64(rng.random()),
    }];
    let servers = DOMAIN_SERVERS.concat();
    for _ in 0..rng.random_range(0..4) {
        let from = fixtures::ms(rng.random_range(0..10_000));
        rules.push(pool_simulation::LateOrderRule {
            // Most of these are stops, as holds go on then.
            kinds: match rng.random_range(0..4) {
                0 => vec![all_kinds[rng.random_range(0..all_kinds.len())]],
                _ => vec![pool_simulation::OrderKind::Stop],
            },
            pool_index: None,
            server: Some(Arc::from(servers[rng.random_range(0..servers.len())])),
            arrival: from..from + fixtures::ms(rng.random_range(200..5_000)),
            share: 1.0,
            delay: delay.clone(),
            rng: rngs::StdRng::seed_from_u64(rng.random()),
        });
    }
    rules
}

/// Returns the seeds of the schedules in `seeds` for which `has_failed` holds.
fn failed_seeds(
    seeds: ops::Range<u64>,
    policy: CallerPolicy,
    has_failed: impl Fn(&ReturnSchedule) -> bool,
) -> BTreeSet<u64> {
    seeds
        .filter(|seed| {
            let mut schedule = ReturnSchedule::new(*seed, policy);
            schedule.run();
            has_failed(&schedule)
        })
        .collect()
}

/// Orders stay unanswered, leaders, coordinators, callers and registry entries are lost, in random order. A run that is left when its
/// caller can return would run beside the next one.
#[test]
fn no_run_is_left_when_the_caller_of_a_failed_job_can_return() {
    let seeds = failed_seeds(0..SCHEDULE_COUNT, CallerPolicy::Leave, |schedule| {
        !schedule.overdue_runs().is_empty()
    });
    assert!(
        seeds.is_empty(),
        "runs left in {} of {SCHEDULE_COUNT} schedules, seeds {seeds:?}",
        seeds.len()
    );
}

/// The same with callers that return, to any failure domain.
#[test]
fn no_runs_overlap_when_callers_return_to_any_domain() {
    let seeds = failed_seeds(0..SCHEDULE_COUNT, CallerPolicy::SendAgain, |schedule| {
        let violations = &schedule.simulation.violations;
        violations.iter().any(|violation| {
            matches!(
                violation,
                pool_simulation::InvariantViolation::OverlappingRuns(_)
            )
        })
    });
    assert!(
        seeds.is_empty(),
        "overlapping runs in {} of {SCHEDULE_COUNT} schedules, seeds {seeds:?}",
        seeds.len()
    );
}

/// A start that stays unanswered may be carried out, and a lost leader may have started a task. Callers would be told
/// that such a job has not run.
#[test]
fn no_job_runs_whose_caller_was_told_that_it_has_not() {
    let seeds = failed_seeds(
        0..SCHEDULE_COUNT,
        CallerPolicy::Leave,
        ReturnSchedule::has_refused_job_run,
    );
    assert!(
        seeds.is_empty(),
        "refused jobs ran in {} of {SCHEDULE_COUNT} schedules, seeds {seeds:?}",
        seeds.len()
    );
}
