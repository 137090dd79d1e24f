//! Carries out what the pool decides, and tells it what came of it.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, atomic},
    time,
};

use cuminkeel_dispatch::{job_model, leadership, pool, pool_action, server_model, settings};
use platform_adapter::server_client;
use tokio::sync::{mpsc, oneshot};

use crate::{decision_log, link_frame, node_state, server_ownership};

/// Time between looks at what is due, while there are jobs.
const BUSY_TICK: time::Duration = time::Duration::from_millis(20);
/// Time between looks at what is due, without jobs.
const IDLE_TICK: time::Duration = time::Duration::from_millis(100);
/// Shortest time between looks at the peers: a look costs up to a millisecond in a large domain.
const RECONSIDER_PAUSE: time::Duration = time::Duration::from_millis(5);
/// Longest time after the start that this process waits for news of its peers before it leads.
const MAX_LEAD_DELAY: time::Duration = time::Duration::from_millis(800);

/// A change of the registry of backend servers.
#[derive(Debug)]
pub enum RegistryChange {
    /// A server is listed, new or changed.
    Updated(server_model::ServerEntry),
    /// A server is listed no more.
    Removed(Arc<str>),
    /// Entries may be missing until then, as the store may not have heard from their servers.
    IncompleteUntil(time::Duration),
}

#[derive(Debug)]
enum PoolEvent {
    Submit {
        ticket: job_model::JobTicket,
        waiter: pool_action::WaiterId,
        reply: oneshot::Sender<job_model::JobEnd>,
    },
    Withdraw {
        job: Arc<str>,
        waiter: pool_action::WaiterId,
    },
    Start(server_model::StartOrder, server_model::StartOutcome),
    Stop(server_model::StopOrder, server_model::StopOutcome),
    Hold(server_model::HoldOrder, server_model::HoldOutcome),
    Registry(RegistryChange),
    Pending {
        route: Arc<str>,
        reply: oneshot::Sender<usize>,
    },
    Epoch(u64),
}

/// Access to the pool of this process.
#[derive(Clone, Debug)]
pub struct PoolHandle {
    events: mpsc::UnboundedSender<PoolEvent>,
    waiters: Arc<atomic::AtomicU64>,
    epoch: Arc<atomic::AtomicU64>,
}

/// Events for a pool that has not started.
#[derive(Debug)]
pub struct PoolInbox(mpsc::UnboundedReceiver<PoolEvent>);

/// A job in the pool; dropped, it is withdrawn.
#[derive(Debug)]
pub struct PoolJob {
    end: oneshot::Receiver<job_model::JobEnd>,
    events: mpsc::UnboundedSender<PoolEvent>,
    job: Arc<str>,
    waiter: pool_action::WaiterId,
}

impl PoolJob {
    /// How the job ended.
    pub async fn wait_for_end(&mut self) -> job_model::JobEnd {
        (&mut self.end).await.unwrap_or(job_model::JobEnd::PoolLost)
    }
}

impl Drop for PoolJob {
    fn drop(&mut self) {
        // A pool that is gone has nothing to withdraw.
        let _closed = self.events.send(PoolEvent::Withdraw {
            job: Arc::clone(&self.job),
            waiter: self.waiter,
        });
    }
}

impl PoolHandle {
    /// A handle and the inbox of the pool that it leads to.
    pub fn new() -> (Self, PoolInbox) {
        let (events, inbox) = mpsc::unbounded_channel();
        let handle = Self {
            events,
            waiters: Arc::default(),
            epoch: Arc::default(),
        };
        (handle, PoolInbox(inbox))
    }

    /// Offers a job.
    pub fn submit(&self, ticket: job_model::JobTicket) -> PoolJob {
        let waiter = pool_action::WaiterId(self.waiters.fetch_add(1, atomic::Ordering::Relaxed));
        let (reply, end) = oneshot::channel();
        let job = Arc::clone(&ticket.spec.id);
        self.send(PoolEvent::Submit {
            ticket,
            waiter,
            reply,
        });
        PoolJob {
            end,
            events: self.events.clone(),
            job,
            waiter,
        }
    }

    /// Tells of a change of the registry.
    pub fn apply_registry_change(&self, change: RegistryChange) {
        self.send(PoolEvent::Registry(change));
    }

    /// Jobs of `route` in this pool that have not begun.
    pub async fn pending_job_count(&self, route: &Arc<str>) -> usize {
        let (reply, count) = oneshot::channel();
        self.send(PoolEvent::Pending {
            route: Arc::clone(route),
            reply,
        });
        count.await.unwrap_or(0)
    }

    /// Takes in an epoch that a peer uses.
    pub fn observe_epoch(&self, epoch: u64) {
        if self.epoch.fetch_max(epoch, atomic::Ordering::Relaxed) < epoch {
            self.send(PoolEvent::Epoch(epoch));
        }
    }

    fn send(&self, event: PoolEvent) {
        // The pool ends with the process only.
        let _closed = self.events.send(event);
    }
}

struct PoolDriver {
    node: Arc<node_state::NodeState>,
    pool: pool::ServerPool,
    view: server_ownership::ServerOwnership,
    waiters: HashMap<pool_action::WaiterId, oneshot::Sender<job_model::JobEnd>>,
    clients: HashMap<Arc<str>, Arc<server_client::ServerClient>>,
    leads: bool,
    reconsidered_at: time::Duration,
}

/// Runs the pool until the process ends.
pub async fn run_pool(node: Arc<node_state::NodeState>, inbox: PoolInbox) {
    let PoolInbox(mut events) = inbox;
    let limits = settings::PoolSettings::new(node.settings.max_lease, node.settings.stop_time);
    let mut driver = PoolDriver {
        pool: pool::ServerPool::new(limits, rand::random()),
        view: server_ownership::ServerOwnership::new(Arc::clone(&node.hello.name)),
        waiters: HashMap::new(),
        clients: HashMap::new(),
        leads: false,
        reconsidered_at: time::Duration::ZERO,
        node,
    };
    let mut peer_changes = driver.node.peer_changes();
    let mut next_tick = tokio::time::Instant::now();
    loop {
        tokio::select! {
            biased;
            // A stream of events must not keep the timers from running.
            () = tokio::time::sleep_until(next_tick) => {
                let now = driver.node.now();
                driver.pool.tick(now);
                driver.reconsider();
                let pause = if driver.pool.needs_tick() { BUSY_TICK } else { IDLE_TICK };
                next_tick = tokio::time::Instant::now() + pause;
            }
            event = events.recv() => {
                let Some(event) = event else { return };
                driver.take_event(event);
                while let Ok(event) = events.try_recv() {
                    driver.take_event(event);
                }
            }
            _ = peer_changes.changed() => {
                // Changes come in bursts; the first is acted on at once.
                if driver.node.now() >= driver.reconsidered_at + RECONSIDER_PAUSE {
                    driver.reconsider();
                } else {
                    next_tick = next_tick.min(tokio::time::Instant::now() + RECONSIDER_PAUSE);
                }
            }
        }
        driver.carry_out();
    }
}

impl PoolDriver {
    fn take_event(&mut self, event: PoolEvent) {
        let now = self.node.now();
        match event {
            PoolEvent::Submit {
                ticket,
                waiter,
                reply,
            } => {
                if self.leads {
                    self.waiters.insert(waiter, reply);
                    self.pool.submit(&ticket, waiter, now);
                } else {
                    // A waiter that is gone needs no end.
                    let _gone = reply.send(job_model::JobEnd::NotLeader);
                }
            }
            PoolEvent::Withdraw { job, waiter } => {
                if self.waiters.remove(&waiter).is_some() {
                    self.pool.withdraw(&job, waiter, now);
                }
            }
            PoolEvent::Start(order, verdict) => self.pool.apply_start_outcome(&order, verdict, now),
            PoolEvent::Stop(order, verdict) => self.pool.apply_stop_outcome(&order, verdict, now),
            PoolEvent::Hold(order, verdict) => {
                if let server_model::HoldOutcome::Reported(report) = &verdict
                    && report.unreadable_count > 0
                {
                    slog::warn!(self.node.logger, "rows_unreadable"; "server" => &*order.server,
                        "rows" => report.unreadable_count);
                }
                self.pool.apply_hold_outcome(&order, verdict, now);
            }
            PoolEvent::Registry(RegistryChange::Updated(entry)) => {
                self.pool.apply_registry_entry(entry, now);
            }
            PoolEvent::Registry(RegistryChange::IncompleteUntil(until)) => {
                self.pool.mark_registry_incomplete(until);
            }
            PoolEvent::Registry(RegistryChange::Removed(server)) => {
                self.pool.remove_registry_entry(&server);
                // Orders that are still due open new connections.
                self.clients.remove(&server);
            }
            PoolEvent::Pending { route, reply } => {
                let _gone = reply.send(self.pool.pending_job_count(&route));
            }
            PoolEvent::Epoch(epoch) => self.pool.observe_epoch(epoch),
        }
    }

    /// Claims or gives up servers after a change of the peers.
    fn reconsider(&mut self) {
        let now = self.node.now();
        self.reconsidered_at = now;
        // Without the list of peers there was no list of servers either.
        let knows_domain = self.node.has_read_peer_list()
            && (now >= MAX_LEAD_DELAY || self.node.has_dialled_domain_peers());
        if !knows_domain {
            return;
        }
        let members = self.node.domain_members(now);
        let listed: Vec<Arc<str>> = self.pool.registered_servers().cloned().collect();
        let shards = leadership::shards_to_lead(
            &members,
            leadership::required_leader_count(
                listed.len(),
                leadership::acting_leader_count(&members),
            ),
            &self.node.hello.name,
        );
        let leads = !shards.is_empty();
        if leads != self.leads {
            slog::info!(self.node.logger, "leadership"; "leads" => leads,
                "members" => members.len(),
                "reachable" => members.iter().filter(|member| member.reachable).count());
            self.leads = leads;
            if !leads {
                self.pool.step_down(now, "not_leader");
            }
        }
        if leads {
            let wanted: BTreeSet<Arc<str>> =
                self.view
                    .wanted_servers(&members, shards, listed.iter(), now);
            self.pool.reconcile_claims(&wanted, shards, now);
        }
        let load = self.pool.load(now);
        self.node.set_pool_status(link_frame::PeerStatus {
            held_servers: load.held_servers,
            shards,
            registered_servers: u32::try_from(listed.len()).unwrap_or(u32::MAX),
            free_cpu_millis: load.free_cpu_millis,
            total_cpu_millis: load.total_cpu_millis,
            queued_jobs: load.queued_jobs,
            epoch: self.pool.epoch(),
            config_version: 0,
            leaving: false,
        });
    }

    fn carry_out(&mut self) {
        let order_timeout = self.node.tuning.order_timeout();
        let hold_timeout = self.node.tuning.hold_timeout();
        for action in self.pool.take_actions() {
            match action {
                pool_action::PoolAction::Start(order) => {
                    let client = self.client(&order.server, &order.address);
                    let events = self.node.pool.events.clone();
                    tokio::spawn(async move {
                        let verdict = client.start_run(&order, order_timeout).await;
                        let _closed = events.send(PoolEvent::Start(order, verdict));
                    });
                }
                pool_action::PoolAction::Hold(order) => {
                    let client = self.client(&order.server, &order.address);
                    let events = self.node.pool.events.clone();
                    tokio::spawn(async move {
                        let verdict = client.hold(&order, hold_timeout).await;
                        let _closed = events.send(PoolEvent::Hold(order, verdict));
                    });
                }
                pool_action::PoolAction::Stop(order) => {
                    let client = self.client(&order.server, &order.address);
                    let events = self.node.pool.events.clone();
                    tokio::spawn(async move {
                        let verdict = client.stop_run(&order, order_timeout).await;
                        let _closed = events.send(PoolEvent::Stop(order, verdict));
                    });
                }
                pool_action::PoolAction::AnswerWaiter { waiter, end } => {
                    if let Some(reply) = self.waiters.remove(&waiter) {
                        let _gone = reply.send(end);
                    }
                }
                pool_action::PoolAction::LostServer { server } => {
                    let now = self.node.now();
                    let members = self.node.domain_members(now);
                    self.view.record_lost_server(&server, &members, now);
                }
                pool_action::PoolAction::LogDecision(note) => {
                    self.node.metrics.count_decision(&note);
                    decision_log::log_decision(&self.node.logger, &note);
                }
            }
        }
    }

    fn client(
        &mut self,
        server: &Arc<str>,
        address: &Arc<str>,
    ) -> Arc<server_client::ServerClient> {
        match self.clients.get(server) {
            Some(client) if client.address() == address => Arc::clone(client),
            _ => {
                let client = Arc::new(server_client::ServerClient::new(server, address));
                self.clients.insert(Arc::clone(server), Arc::clone(&client));
                client
            }
        }
    }
}
