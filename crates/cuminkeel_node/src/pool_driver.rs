//! Task that runs the server pool: executes its actions and passes their outcomes back to it.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, atomic},
    time,
};

use cuminkeel_dispatch::{
    crash_ledger, job_model, leadership, pool, pool_action, pool_room, server_model, settings,
};
use platform_adapter::server_client;
use tokio::{
    sync::{mpsc, oneshot},
    task,
};

use crate::{claim_targets, link_frame, node_state, process_log};

/// Interval between ticks of the pool while it has jobs, runs, or servers that are being claimed
/// or unresponsive.
const BUSY_TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Interval between ticks of the pool otherwise.
const IDLE_TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Delay of the reconciliation after a peer change if the previous one was within this time, so
/// that a burst of changes needs few reconciliations. Each takes up to a millisecond in a large
/// failure domain.
const RECONCILE_PAUSE: time::Duration = time::Duration::from_millis(5);
/// Minimum time between two computations of the pool's room, which walk its queue and its runs.
const ROOM_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time after the start of this process during which it may lead only if all peers of its failure
/// domain to which it has a link are probed.
const MAX_LEADERSHIP_DELAY: time::Duration = time::Duration::from_millis(800);

/// Change of the registry of backend servers.
#[derive(Debug)]
pub enum RegistryChange {
    /// A registry entry was added or changed.
    Updated(server_model::ServerEntry),
    /// The entry of a server was removed.
    Removed(Arc<str>),
    /// Entries may be missing until this time since the start of this process, as the store may
    /// have missed that servers renewed their entries.
    IncompleteUntil(time::Duration),
    /// All entries of a read of the registry that began at this time since the start of this process
    /// have been passed on.
    Read(time::Duration),
    /// How this process reads the registry has changed.
    View(server_model::RegistryView),
}

#[derive(Debug)]
enum PoolEvent {
    Submit {
        offer: job_model::JobOffer,
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
    PendingJobCount {
        route: Arc<str>,
        reply: oneshot::Sender<usize>,
    },
    /// Time at which the peer at the other end of a connection sent a frame.
    SessionSign(job_model::OfferSession, time::Duration),
    /// Epoch of the fencing tokens of a peer.
    PeerEpoch(u64),
    /// Losses of runs, with the name of the VM of the peer that sent them.
    Losses(Vec<crash_ledger::LostRun>, Arc<str>),
    /// Start of the evacuation of the local failure domain, or `None` after its end.
    Evacuation(Option<pool::EvacuationStart>),
}

/// Handle by which other tasks reach the pool of this process.
#[derive(Clone, Debug)]
pub struct PoolHandle {
    event_sender: mpsc::UnboundedSender<PoolEvent>,
    next_waiter: Arc<atomic::AtomicU64>,
    last_session: Arc<atomic::AtomicU64>,
    /// Highest epoch of fencing tokens that peers have reported.
    highest_epoch: Arc<atomic::AtomicU64>,
}

/// Receiving end of a [`PoolHandle`], for [`run_pool`].
#[derive(Debug)]
pub struct PoolInbox(mpsc::UnboundedReceiver<PoolEvent>);

/// Job that was submitted to the pool. Dropping it withdraws the job.
#[derive(Debug)]
pub struct PoolJob {
    end: oneshot::Receiver<job_model::JobEnd>,
    event_sender: mpsc::UnboundedSender<PoolEvent>,
    job: Arc<str>,
    waiter: pool_action::WaiterId,
}

impl PoolJob {
    /// Waits until the job ends, and returns its end.
    pub async fn wait_for_end(&mut self) -> job_model::JobEnd {
        (&mut self.end).await.unwrap_or(job_model::JobEnd::PoolLost)
    }
}

impl Drop for PoolJob {
    fn drop(&mut self) {
        // Once the pool has stopped there is nothing to withdraw.
        let _closed = self.event_sender.send(PoolEvent::Withdraw {
            job: Arc::clone(&self.job),
            waiter: self.waiter,
        });
    }
}

impl PoolHandle {
    /// Creates a handle and the inbox for its pool.
    pub fn new() -> (Self, PoolInbox) {
        let (event_sender, event_receiver) = mpsc::unbounded_channel();
        let handle = Self {
            event_sender,
            next_waiter: Arc::default(),
            last_session: Arc::default(),
            highest_epoch: Arc::default(),
        };
        (handle, PoolInbox(event_receiver))
    }

    /// Submits a job to the pool.
    pub fn submit(&self, offer: job_model::JobOffer) -> PoolJob {
        let waiter =
            pool_action::WaiterId(self.next_waiter.fetch_add(1, atomic::Ordering::Relaxed));
        let (reply, end) = oneshot::channel();
        let job = Arc::clone(&offer.spec.id);
        self.send(PoolEvent::Submit {
            offer,
            waiter,
            reply,
        });
        PoolJob {
            end,
            event_sender: self.event_sender.clone(),
            job,
            waiter,
        }
    }

    /// Returns a number for a new connection over which a peer may offer jobs.
    pub fn new_session(&self) -> job_model::OfferSession {
        // 0 stands for this process.
        job_model::OfferSession(1 + self.last_session.fetch_add(1, atomic::Ordering::Relaxed))
    }

    /// Tells the pool that the peer which offers jobs over `session` sent a frame at `sent_at`, on the clock
    /// of this process.
    pub fn record_session_sign(&self, session: job_model::OfferSession, sent_at: time::Duration) {
        self.send(PoolEvent::SessionSign(session, sent_at));
    }

    /// Passes a change of the registry to the pool.
    pub fn apply_registry_change(&self, change: RegistryChange) {
        self.send(PoolEvent::Registry(change));
    }

    /// Returns the number of jobs of `route` in this pool of which no task has started.
    pub async fn pending_job_count(&self, route: &Arc<str>) -> usize {
        let (reply, count) = oneshot::channel();
        self.send(PoolEvent::PendingJobCount {
            route: Arc::clone(route),
            reply,
        });
        count.await.unwrap_or(0)
    }

    /// Records the epoch of a peer's fencing tokens, if it is higher than all recorded before, so
    /// that later claims of this process use a higher one.
    pub fn observe_epoch(&self, epoch: u64) {
        if pool::is_epoch(epoch)
            && self
                .highest_epoch
                .fetch_max(epoch, atomic::Ordering::Relaxed)
                < epoch
        {
            self.send(PoolEvent::PeerEpoch(epoch));
        }
    }

    /// Tells the pool of losses of runs that the peer `source` has sent.
    pub fn merge_losses(&self, losses: Vec<crash_ledger::LostRun>, source: &Arc<str>) {
        if !losses.is_empty() {
            self.send(PoolEvent::Losses(losses, Arc::clone(source)));
        }
    }

    /// Tells the pool since when the local failure domain is evacuated, or `None` that it isn't.
    pub fn set_evacuation(&self, start: Option<pool::EvacuationStart>) {
        self.send(PoolEvent::Evacuation(start));
    }

    fn send(&self, event: PoolEvent) {
        // Sending fails only while the process ends, as the pool runs until then.
        let _closed = self.event_sender.send(event);
    }
}

struct PoolDriver {
    node: Arc<node_state::NodeState>,
    pool: pool::ServerPool,
    claim_targets: claim_targets::ClaimTargets,
    waiters: HashMap<pool_action::WaiterId, oneshot::Sender<job_model::JobEnd>>,
    clients: HashMap<Arc<str>, Arc<server_client::ServerClient>>,
    /// Whether this process leads shards; it may not hold any of their servers yet.
    is_leader: bool,
    reconciled_at: time::Duration,
    room_computed_at: Option<time::Duration>,
}

/// Runs the pool until the process ends.
pub async fn run_pool(node: Arc<node_state::NodeState>, inbox: PoolInbox) {
    let PoolInbox(mut event_receiver) = inbox;
    let pool_settings = settings::PoolSettings {
        evacuation_bound: node.settings.evacuation_bound,
        job_limits: node.tuning.job_limits(),
        ..settings::PoolSettings::new(
            node.settings.max_lease,
            node.settings.stop_time,
            node.settings.resend_delay,
        )
    };
    let mut driver = PoolDriver {
        pool: pool::ServerPool::new(pool_settings, rand::random()),
        claim_targets: claim_targets::ClaimTargets::new(Arc::clone(&node.hello.name)),
        waiters: HashMap::new(),
        clients: HashMap::new(),
        is_leader: false,
        reconciled_at: time::Duration::ZERO,
        room_computed_at: None,
        node,
    };
    let mut peer_changes = driver.node.peer_changes();
    let mut next_tick = tokio::time::Instant::now();
    loop {
        tokio::select! {
            biased;
            // The timer comes first, as a steady stream of events would starve it otherwise.
            () = tokio::time::sleep_until(next_tick) => {
                let now = driver.node.now();
                driver.node.record_turn(now);
                driver.pool.tick(now);
                driver.reconcile_leadership();
                let pause = if driver.pool.needs_tick() { BUSY_TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
                next_tick = tokio::time::Instant::now() + pause;
            }
            event = event_receiver.recv() => {
                let Some(event) = event else { return };
                driver.handle_event(event);
                while let Ok(event) = event_receiver.try_recv() {
                    driver.handle_event(event);
                }
            }
            // Lets the other tasks of the process read their input in between.
            () = task::yield_now(), if driver.pool.has_placements_left() => {}
            _ = peer_changes.changed() => {
                // Peer changes come in bursts: the first is handled at once, the others together
                // after a pause.
                if driver.node.now() >= driver.reconciled_at + RECONCILE_PAUSE {
                    driver.reconcile_leadership();
                } else {
                    next_tick = next_tick.min(tokio::time::Instant::now() + RECONCILE_PAUSE);
                }
            }
        }
        driver.execute_actions();
    }
}

impl PoolDriver {
    /// Steps down after a pause of the process. Jobs are admitted again, and servers claimed, only if this process
    /// still leads.
    fn check_for_pause(&mut self, now: time::Duration) {
        if self.pool.step_down_after_pause(now) {
            self.reconcile_leadership();
        }
    }

    fn handle_event(&mut self, event: PoolEvent) {
        let now = self.node.now();
        self.check_for_pause(now);
        match event {
            PoolEvent::Submit {
                offer,
                waiter,
                reply,
            } => {
                if self.is_leader {
                    self.waiters.insert(waiter, reply);
                    self.pool.submit(&offer, waiter, now);
                } else {
                    // Sending fails if the waiter no longer waits.
                    let _dropped = reply.send(job_model::JobEnd::NotLeader);
                }
            }
            PoolEvent::Withdraw { job, waiter } => {
                if self.waiters.remove(&waiter).is_some() {
                    self.pool.withdraw(&job, waiter, now);
                }
            }
            PoolEvent::Start(order, outcome) => self.pool.apply_start_outcome(&order, outcome, now),
            PoolEvent::Stop(order, outcome) => self.pool.apply_stop_outcome(&order, outcome, now),
            PoolEvent::Hold(order, outcome) => {
                if let server_model::HoldOutcome::Reported(report) = &outcome
                    && report.unreadable_count > 0
                {
                    // A row is a reported run or a reported end.
                    slog::warn!(self.node.logger, "rows_unreadable"; "server" => &*order.server,
                        "rows" => report.unreadable_count);
                }
                self.pool.apply_hold_outcome(&order, outcome, now);
            }
            PoolEvent::Registry(RegistryChange::Updated(entry)) => {
                self.pool.apply_registry_entry(entry, now);
            }
            PoolEvent::Registry(RegistryChange::IncompleteUntil(until)) => {
                self.pool.mark_registry_incomplete(until);
            }
            PoolEvent::Registry(RegistryChange::Read(started_at)) => {
                self.pool.record_registry_read(started_at);
            }
            PoolEvent::Registry(RegistryChange::View(view)) => {
                self.pool.set_registry_view(view);
            }
            PoolEvent::Registry(RegistryChange::Removed(server)) => {
                self.pool.remove_registry_entry(&server);
                // Later orders to this server open new connections.
                self.clients.remove(&server);
            }
            PoolEvent::PendingJobCount { route, reply } => {
                let _dropped = reply.send(self.pool.pending_job_count(&route));
            }
            PoolEvent::SessionSign(session, sent_at) => {
                self.pool.record_session_sign(session, sent_at);
            }
            PoolEvent::PeerEpoch(epoch) => self.pool.observe_epoch(epoch),
            PoolEvent::Losses(losses, source) => {
                let mut news = self.node.loss_news();
                for lost_run in self.pool.merge_losses(losses, now) {
                    news.push(lost_run, Some(&source), now);
                }
            }
            PoolEvent::Evacuation(start) => {
                self.pool.set_evacuation(start, now);
                // Publishes the changed room at once, as the domain is used again from now on.
                self.room_computed_at = None;
                self.reconcile_leadership();
            }
        }
    }

    /// Brings the leadership and claims of this process in step with its peers, and publishes
    /// the state of the pool.
    fn reconcile_leadership(&mut self) {
        let now = self.node.now();
        self.reconciled_at = now;
        // Until the peer list has been read, the registry isn't read either, so there are no
        // servers to claim.
        let may_decide_leadership = self.node.has_read_peer_list()
            && (now >= MAX_LEADERSHIP_DELAY || self.node.has_probed_domain_peers());
        if !may_decide_leadership {
            return;
        }
        let members = self.node.domain_members(now);
        let registered: Vec<Arc<str>> = self.pool.registered_servers().cloned().collect();
        let shards = leadership::shards_to_lead(
            &members,
            leadership::required_leader_count(
                registered.len(),
                leadership::acting_leader_count(&members),
            ),
            &self.node.hello.name,
        );
        let is_leader = !shards.is_empty();
        if is_leader != self.is_leader {
            slog::info!(self.node.logger, "leadership"; "leads" => is_leader,
                "members" => members.len(),
                "reachable" => members.iter().filter(|member| member.reachable).count());
            self.is_leader = is_leader;
            if !is_leader {
                self.pool.step_down(now, "not_leader");
            }
        }
        if is_leader {
            let claimable: Vec<Arc<str>> = self.pool.claimable_servers(now).cloned().collect();
            let wanted: BTreeSet<Arc<str>> =
                self.claim_targets
                    .wanted_servers(&members, shards, claimable.iter(), now);
            self.pool.reconcile_claims(&wanted, shards, now);
        }
        self.publish_room(now);
        let pool_load = self.pool.load(now);
        let (epoch, rejecting_servers) = (self.pool.epoch(), self.pool.rejecting_server_count());
        self.node.metrics.set_claim_gauges(epoch, rejecting_servers);
        self.node.set_pool_status(link_frame::PeerStatus {
            held_servers: pool_load.held_servers,
            shards,
            registered_servers: u32::try_from(registered.len()).unwrap_or(u32::MAX),
            free_cpu_millis: pool_load.free_cpu_millis,
            total_cpu_millis: pool_load.total_cpu_millis,
            queued_jobs: pool_load.queued_jobs,
            epoch: self.pool.epoch(),
            // `NodeState::own_status` fills in the two remaining fields.
            config_version: 0,
            leaving: false,
        });
    }

    fn publish_room(&mut self, now: time::Duration) {
        if self
            .room_computed_at
            .is_some_and(|at| now < at + ROOM_INTERVAL)
        {
            return;
        }
        self.room_computed_at = Some(now);
        let room = if self.is_leader {
            self.pool.room(now)
        } else {
            pool_room::PoolRoom::default()
        };
        self.node.set_pool_room(room);
    }

    fn execute_actions(&mut self) {
        let order_timeout = self.node.tuning.order_timeout();
        let hold_timeout = self.node.tuning.hold_timeout();
        let mut has_losses = false;
        let now = self.node.now();
        self.check_for_pause(now);
        for action in self.pool.take_actions(now) {
            match action {
                pool_action::PoolAction::Start(order) => {
                    let client = self.client(&order.server, &order.address);
                    let event_sender = self.node.pool.event_sender.clone();
                    tokio::spawn(async move {
                        let outcome = client.start_run(&order, order_timeout).await;
                        let _closed = event_sender.send(PoolEvent::Start(order, outcome));
                    });
                }
                pool_action::PoolAction::Hold(order) => {
                    let client = self.client(&order.server, &order.address);
                    let event_sender = self.node.pool.event_sender.clone();
                    tokio::spawn(async move {
                        if !order.pause.is_zero() {
                            tokio::time::sleep(order.pause).await;
                        }
                        let outcome = client.hold(&order, hold_timeout).await;
                        let _closed = event_sender.send(PoolEvent::Hold(order, outcome));
                    });
                }
                pool_action::PoolAction::Stop(order) => {
                    let client = self.client(&order.server, &order.address);
                    let event_sender = self.node.pool.event_sender.clone();
                    tokio::spawn(async move {
                        let outcome = client.stop_run(&order, order_timeout).await;
                        let _closed = event_sender.send(PoolEvent::Stop(order, outcome));
                    });
                }
                pool_action::PoolAction::AnswerWaiter { waiter, end } => {
                    if let Some(reply) = self.waiters.remove(&waiter) {
                        let _dropped = reply.send(end);
                    }
                }
                pool_action::PoolAction::LostServer { server } => {
                    let now = self.node.now();
                    let members = self.node.domain_members(now);
                    self.claim_targets
                        .record_lost_server(&server, &members, now);
                }
                pool_action::PoolAction::ReadRegistry => self.node.request_registry_read(),
                pool_action::PoolAction::ShareLoss(lost_run) => {
                    let now = self.node.now();
                    self.node.loss_news().push(lost_run, None, now);
                    has_losses = true;
                }
                pool_action::PoolAction::LogDecision(decision) => {
                    self.node.metrics.count_decision(&decision);
                    process_log::log_decision(&self.node.logger, &decision);
                }
            }
        }
        if has_losses {
            // This process may be lost, and its jobs continue elsewhere, before the next statuses.
            self.node.notify_status_change();
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
