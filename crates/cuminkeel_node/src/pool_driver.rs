//! Carries out what the pool decides, and tells it what came of it.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, atomic},
    time,
};

use cuminkeel_dispatch::{job_model, leadership, pool, pool_action, server_model, settings};
use platform_adapter::runner;
use tokio::sync::{mpsc, oneshot};

use crate::{decision_log, domain_view, link_frame, node_state};

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
    Listed(server_model::ServerEntry),
    /// A server is listed no more.
    Unlisted(Arc<str>),
    /// Entries may be missing until then, as the store may not have heard from their servers.
    Doubtful(time::Duration),
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
    Start(server_model::StartOrder, server_model::StartVerdict),
    Stop(server_model::StopOrder, server_model::StopVerdict),
    Hold(server_model::HoldOrder, server_model::HoldVerdict),
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
    pub async fn end(&mut self) -> job_model::JobEnd {
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
    pub fn change_registry(&self, change: RegistryChange) {
        self.send(PoolEvent::Registry(change));
    }

    /// Jobs of `route` in this pool that have not begun.
    pub async fn pending_jobs(&self, route: &Arc<str>) -> usize {
        let (reply, count) = oneshot::channel();
        self.send(PoolEvent::Pending {
            route: Arc::clone(route),
            reply,
        });
        count.await.unwrap_or(0)
    }

    /// Takes in an epoch that a peer uses.
    pub fn note_epoch(&self, epoch: u64) {
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
    node: Arc<node_state::Node>,
    pool: pool::Pool,
    view: domain_view::DomainView,
    waiters: HashMap<pool_action::WaiterId, oneshot::Sender<job_model::JobEnd>>,
    clients: HashMap<Arc<str>, Arc<runner::RunnerClient>>,
    leads: bool,
    reconsidered_at: time::Duration,
}

/// Runs the pool until the process ends.
pub async fn run_pool(node: Arc<node_state::Node>, inbox: PoolInbox) {
    let PoolInbox(mut events) = inbox;
    let limits = settings::PoolSettings::new(node.settings.max_lease, node.settings.stop_time);
    let mut driver = PoolDriver {
        pool: pool::Pool::new(limits, rand::random()),
        view: domain_view::DomainView::new(Arc::clone(&node.hello.name)),
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
                let pause = if driver.pool.is_busy() { BUSY_TICK } else { IDLE_TICK };
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
            PoolEvent::Start(order, verdict) => self.pool.start_answered(&order, verdict, now),
            PoolEvent::Stop(order, verdict) => self.pool.stop_answered(&order, verdict, now),
            PoolEvent::Hold(order, verdict) => {
                if let server_model::HoldVerdict::Listed(report) = &verdict
                    && report.unreadable > 0
                {
                    slog::warn!(self.node.logger, "rows_unreadable"; "server" => &*order.server,
                        "rows" => report.unreadable);
                }
                self.pool.hold_answered(&order, verdict, now);
            }
            PoolEvent::Registry(RegistryChange::Listed(entry)) => {
                self.pool.list_server(entry, now);
            }
            PoolEvent::Registry(RegistryChange::Doubtful(until)) => {
                self.pool.doubt_registry(until);
            }
            PoolEvent::Registry(RegistryChange::Unlisted(server)) => {
                self.pool.unlist_server(&server);
                // Orders that are still due open new connections.
                self.clients.remove(&server);
            }
            PoolEvent::Pending { route, reply } => {
                let _gone = reply.send(self.pool.pending_jobs(&route));
            }
            PoolEvent::Epoch(epoch) => self.pool.note_epoch(epoch),
        }
    }

    /// Claims or gives up servers after a change of the peers.
    fn reconsider(&mut self) {
        let now = self.node.now();
        self.reconsidered_at = now;
        // Without the list of peers there was no list of servers either.
        let knows_domain =
            self.node.knows_peers() && (now >= MAX_LEAD_DELAY || self.node.has_tried_domain());
        if !knows_domain {
            return;
        }
        let members = self.node.domain_members(now);
        let listed: Vec<Arc<str>> = self.pool.listed_servers().cloned().collect();
        let shards = leadership::shards_to_lead(
            &members,
            leadership::leader_count(listed.len(), leadership::leaders_in_office(&members)),
            &self.node.hello.name,
        );
        let leads = !shards.is_empty();
        if leads != self.leads {
            slog::info!(self.node.logger, "leadership"; "leads" => leads,
                "members" => members.len(),
                "reachable" => members.iter().filter(|member| member.reachable).count());
            self.leads = leads;
            if !leads {
                self.pool.release_all(now, "not_leader");
            }
        }
        if leads {
            let wanted: BTreeSet<Arc<str>> =
                self.view
                    .wanted_servers(&members, shards, listed.iter(), now);
            self.pool.own_servers(&wanted, shards, now);
        }
        let load = self.pool.load(now);
        self.node.set_pool_status(link_frame::PeerStatus {
            held_servers: load.held_servers,
            shards,
            listed_servers: u32::try_from(listed.len()).unwrap_or(u32::MAX),
            free_cpu: load.free_cpu,
            total_cpu: load.total_cpu,
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
                        let verdict = client.start(&order, order_timeout).await;
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
                        let verdict = client.stop(&order, order_timeout).await;
                        let _closed = events.send(PoolEvent::Stop(order, verdict));
                    });
                }
                pool_action::PoolAction::End { waiter, end } => {
                    if let Some(reply) = self.waiters.remove(&waiter) {
                        let _gone = reply.send(end);
                    }
                }
                pool_action::PoolAction::LostServer { server } => {
                    let now = self.node.now();
                    let members = self.node.domain_members(now);
                    self.view.note_lost(&server, &members, now);
                }
                pool_action::PoolAction::Note(note) => {
                    self.node.metrics.count_decision(&note);
                    decision_log::log_decision(&self.node.logger, &note);
                }
            }
        }
    }

    fn client(&mut self, server: &Arc<str>, address: &Arc<str>) -> Arc<runner::RunnerClient> {
        match self.clients.get(server) {
            Some(client) if client.address() == address => Arc::clone(client),
            _ => {
                let client = Arc::new(runner::RunnerClient::new(server, address));
                self.clients.insert(Arc::clone(server), Arc::clone(&client));
                client
            }
        }
    }
}
