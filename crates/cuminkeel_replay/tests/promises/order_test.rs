//! A pool and its servers, of which a test delivers each order and each answer itself.

use std::{collections::BTreeMap, sync::Arc, time};

use cuminkeel_dispatch::{
    job_model, leadership, pool, pool_action, server_model, server_slot, settings,
};
use cuminkeel_replay::fake_server;

use crate::fixtures;

/// Interval of the ticks of the pool, below the pause after which it steps down.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Order of the pool, on its way to a server or answered by it.
#[derive(Clone, Debug)]
pub enum Order {
    Start(server_model::StartOrder),
    Stop(server_model::StopOrder),
    Hold(server_model::HoldOrder),
}

impl Order {
    pub fn server(&self) -> &Arc<str> {
        match self {
            Self::Start(order) => &order.server,
            Self::Stop(order) => &order.server,
            Self::Hold(order) => &order.server,
        }
    }

    pub fn token(&self) -> u64 {
        match self {
            Self::Start(order) => order.token,
            Self::Stop(order) => order.token,
            Self::Hold(order) => order.token,
        }
    }

    /// Returns the answer of a server that is not reached, or whose answer is lost.
    pub fn without_response(self) -> Answer {
        match self {
            Self::Start(order) => Answer::Start(order, server_model::StartOutcome::Unanswered),
            Self::Stop(order) => Answer::Stop(order, server_model::StopOutcome::Unconfirmed),
            Self::Hold(order) => Answer::Hold(order, server_model::HoldOutcome::Unanswered),
        }
    }
}

/// Answer of a server to an order.
#[derive(Clone, Debug)]
pub enum Answer {
    Start(server_model::StartOrder, server_model::StartOutcome),
    Stop(server_model::StopOrder, server_model::StopOutcome),
    Hold(server_model::HoldOrder, server_model::HoldOutcome),
}

/// A pool and its servers, of which a test delivers each order and each answer itself.
pub struct OrderTest {
    pub pool: pool::ServerPool,
    pub servers: BTreeMap<Arc<str>, fake_server::FakeServer>,
    pub now: time::Duration,
    pub run_time: time::Duration,
    /// Orders that have not reached their servers, oldest first.
    pub orders: Vec<Order>,
    /// Number of reads of the registry that the pool has asked for.
    pub registry_reads: usize,
    pub suspect_count: usize,
    /// Tasks of which two runs were in progress.
    pub overlaps: Vec<job_model::TaskName>,
    /// Highest token of the starts to each server so far.
    pub start_tokens: BTreeMap<Arc<str>, u64>,
    /// Servers of which a claim was granted under a token that starts sent before it had, so that it fences none of them.
    pub unfenced_claims: Vec<Arc<str>>,
}

impl OrderTest {
    /// Returns a pool that has begun to claim servers of two tasks each.
    pub fn claiming(servers: &[&str], run_time: time::Duration) -> Self {
        let pool_settings = settings::PoolSettings::new(
            fake_server::MAX_LEASE,
            fixtures::ms(50),
            fixtures::ms(1_300),
        );
        let mut test = Self {
            pool: pool::ServerPool::new(pool_settings, 1),
            servers: servers
                .iter()
                .map(|name| (Arc::from(*name), fixtures::server(name)))
                .collect(),
            now: fixtures::ms(1_000),
            run_time,
            orders: Vec::new(),
            registry_reads: 0,
            suspect_count: 0,
            overlaps: Vec::new(),
            start_tokens: BTreeMap::new(),
            unfenced_claims: Vec::new(),
        };
        for server in test.servers.values() {
            test.pool
                .apply_registry_entry(server.entry.clone(), test.now);
        }
        test.lead();
        test
    }

    /// Returns a pool that holds the servers, each of which has got a hold that it has not answered.
    pub fn leading(servers: &[&str], run_time: time::Duration) -> Self {
        let mut test = Self::claiming(servers, run_time);
        test.answer_holds();
        test.now += fixtures::ms(10);
        test
    }

    pub fn lead(&mut self) {
        let all = self.pool.registered_servers().cloned().collect();
        let shards = leadership::ShardSet::ALL;
        self.pool.reconcile_claims(&all, shards, self.now);
        self.pool.record_registry_read(self.now);
        self.collect();
    }

    pub fn collect(&mut self) {
        for action in self.pool.take_actions(self.now) {
            match action {
                pool_action::PoolAction::Start(order) => {
                    let highest = self
                        .start_tokens
                        .entry(Arc::clone(&order.server))
                        .or_default();
                    *highest = order.token.max(*highest);
                    self.orders.push(Order::Start(order));
                }
                pool_action::PoolAction::Stop(order) => self.orders.push(Order::Stop(order)),
                pool_action::PoolAction::Hold(order) => self.orders.push(Order::Hold(order)),
                pool_action::PoolAction::ReadRegistry => self.registry_reads += 1,
                pool_action::PoolAction::LogDecision(record) => {
                    let is_suspect = record.kind == pool_action::DecisionKind::Suspect;
                    self.suspect_count += usize::from(is_suspect);
                }
                _ => {}
            }
        }
    }

    pub fn advance(&mut self, duration: time::Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = (self.now + TICK_INTERVAL).min(end);
            self.pool.tick(self.now);
            self.collect();
        }
    }

    pub fn submit(&mut self, job: &str, task_count: u16, number: u64) {
        let offer = job_model::JobOffer {
            sent_at: self.now,
            source: Arc::from(format!("vm-{number}")),
            time_to_deadline: time::Duration::from_mins(1),
            ..fixtures::offer(job, task_count, self.run_time)
        };
        let waiter = pool_action::WaiterId(number);
        self.pool.submit(&offer, waiter, self.now);
        self.collect();
    }

    /// Takes the first order that `is_wanted` and that has not reached its server.
    pub fn take_order(&mut self, is_wanted: impl Fn(&Order) -> bool) -> Option<Order> {
        let position = self.orders.iter().position(is_wanted)?;
        Some(self.orders.remove(position))
    }

    pub fn take_start(&mut self, job: &str) -> Order {
        self.take_order(|order| matches!(order, Order::Start(start) if *start.task.job == *job))
            .expect("a start of the job")
    }

    pub fn take_hold(&mut self, server: &str) -> Order {
        self.take_order(|order| matches!(order, Order::Hold(hold) if *hold.server == *server))
            .expect("a hold of the server")
    }

    /// Lets the server carry out an order now, and returns its answer.
    pub fn carry_out(&mut self, order: Order) -> Answer {
        let profile = fixtures::task_profile(self.run_time);
        let server = self
            .servers
            .get_mut(order.server())
            .expect("a server of the test");
        let answer = match order {
            Order::Start(order) => {
                let outcome = server.start(&order, profile, self.now);
                Answer::Start(order, outcome)
            }
            Order::Stop(order) => {
                let outcome = if server.stop(&order, self.now) {
                    server_model::StopOutcome::Accepted
                } else {
                    server_model::StopOutcome::Unconfirmed
                };
                Answer::Stop(order, outcome)
            }
            Order::Hold(order) => {
                let outcome = if server.apply_hold(&order, self.now) {
                    server_model::HoldOutcome::Reported(server.report(self.now))
                } else {
                    let clock_ms = Some(server.clock_ms(self.now));
                    server_model::HoldOutcome::Fenced { clock_ms }
                };
                Answer::Hold(order, outcome)
            }
        };
        self.check_overlaps();
        answer
    }

    pub fn check_overlaps(&mut self) {
        let mut counts: BTreeMap<job_model::TaskName, usize> = BTreeMap::new();
        for server in self.servers.values_mut() {
            server.advance(self.now);
            self.overlaps.append(&mut server.overlapping_tasks);
            for task in server.runs.keys() {
                *counts.entry(task.clone()).or_default() += 1;
            }
        }
        let overlaps = counts.into_iter().filter(|(_, count)| *count > 1);
        self.overlaps.extend(overlaps.map(|(task, _)| task));
    }

    /// Lets the pool read an answer.
    pub fn deliver(&mut self, answer: Answer) {
        match answer {
            Answer::Start(order, outcome) => {
                self.pool.apply_start_outcome(&order, outcome, self.now);
            }
            Answer::Stop(order, outcome) => self.pool.apply_stop_outcome(&order, outcome, self.now),
            Answer::Hold(order, outcome) => {
                let held = Some(server_slot::ClaimState::Held);
                let was_held = self.pool.claim_state(&order.server) == held;
                self.pool.apply_hold_outcome(&order, outcome, self.now);
                let is_granted = !was_held && self.pool.claim_state(&order.server) == held;
                let start_token = self.start_tokens.get(&order.server).copied();
                if is_granted && start_token.is_some_and(|token| order.token <= token) {
                    self.unfenced_claims.push(order.server);
                }
            }
        }
        self.collect();
    }

    /// Carries out `order` and lets the pool read its answer at once.
    pub fn answer(&mut self, order: Order) {
        let answer = self.carry_out(order);
        self.deliver(answer);
    }

    /// Answers the first hold of each server that has one.
    pub fn answer_holds(&mut self) {
        let names: Vec<Arc<str>> = self.servers.keys().cloned().collect();
        for name in names {
            if let Some(order) =
                self.take_order(|order| matches!(order, Order::Hold(hold) if hold.server == name))
            {
                self.answer(order);
            }
        }
    }

    pub fn assert_sound(&self) {
        assert_eq!(self.overlaps, [], "tasks with two runs at once");
        assert_eq!(
            self.unfenced_claims,
            [],
            "claims that fence no earlier start"
        );
    }

    /// Returns the answer of a server that rejects `order` for its token, for no reason.
    pub fn reject(&self, order: Order) -> Answer {
        let clock_ms = Some(self.servers[order.server()].clock_ms(self.now));
        match order {
            Order::Start(order) => Answer::Start(order, server_model::StartOutcome::Fenced),
            Order::Stop(order) => Answer::Stop(order, server_model::StopOutcome::Unconfirmed),
            Order::Hold(order) => {
                Answer::Hold(order, server_model::HoldOutcome::Fenced { clock_ms })
            }
        }
    }
}
