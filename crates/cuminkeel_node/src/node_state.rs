//! State that the components of a process share. In names, a node is a process.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic},
    time,
};

use bytes::Bytes;
use cuminkeel_dispatch::{
    evacuation, input_clock, leadership, pool_room, registry_relay, registry_replica, room_ledger,
};
use platform_adapter::{routing, settings};
use tokio::sync::{Notify, watch};

use crate::{
    job_table, link_frame, listener_gates, log_limiter, loss_news, node_metrics, node_tuning,
    peer_table, pool_driver,
};

/// Configuration in force, with the bytes from which it was decoded.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// Decoded configuration.
    pub config: Arc<routing::RoutingConfig>,
    /// Value of the configuration's key in the store, which peers receive.
    pub body: Bytes,
}

/// Shared state of the process.
#[derive(Debug)]
pub struct NodeState {
    /// Settings that the platform writes.
    pub settings: settings::ProcessSettings,
    /// Settings that the operator may tune.
    pub tuning: node_tuning::NodeTuning,
    /// Identity of the process that peers receive.
    pub hello: link_frame::PeerHello,
    /// Logger of the process.
    pub logger: slog::Logger,
    /// Metrics of the process.
    pub metrics: node_metrics::NodeMetrics,
    /// Open connections that others have opened to this process.
    pub gates: listener_gates::ListenerGates,
    /// Requests that can't be read, of which any number may come.
    unreadable_requests: Mutex<log_limiter::LogLimiter<&'static str>>,
    /// Handle to the server pool of this process, which admits jobs only while the process leads
    /// shards.
    pub pool: pool_driver::PoolHandle,
    /// Jobs that this process runs for callers.
    pub jobs: Arc<job_table::JobTable>,
    /// Turns of the event loop, which tell how long input may have waited.
    input_clock: Mutex<input_clock::InputClock>,
    /// Jobs that this process has sent to other pools.
    ledger: Mutex<room_ledger::RoomLedger>,
    /// Room in the pool of this process.
    pool_room: Mutex<pool_room::PoolRoom>,
    /// Losses of runs with their servers, for peers.
    loss_news: Mutex<loss_news::LossNews>,
    /// Start of the process on the clock of [`boot_time`].
    started_at: time::Duration,
    peers: Mutex<peer_table::PeerTable>,
    config: Mutex<Option<ActiveConfig>>,
    evacuations: Mutex<evacuation::EvacuationTracker>,
    /// Status of the pool, of which `config_version` and `leaving` are unused.
    pool_status: Mutex<link_frame::PeerStatus>,
    leaving: atomic::AtomicBool,
    /// Whether the process is about to exit, so that callers that still wait have to be answered.
    exit_near: watch::Sender<bool>,
    peer_list_read: atomic::AtomicBool,
    link_id_counter: atomic::AtomicU64,
    /// Number of changes of this process's status that peers should receive at once.
    status_changes: watch::Sender<u64>,
    /// Number of changes of the peers and of the status of this process.
    peer_changes: watch::Sender<u64>,
    /// Requests of the pool that the registry be read at once.
    registry_requests: Notify,
    /// What this process knows of the registry of backend servers.
    registry: Mutex<registry_replica::RegistryReplica>,
    /// Limits of what this process tells peers of the registry.
    relay_budget: Mutex<registry_relay::RelayBudget>,
}

impl NodeState {
    /// Creates the state of a process that has just started.
    pub fn new(
        settings: settings::ProcessSettings,
        tuning: node_tuning::NodeTuning,
        hello: link_frame::PeerHello,
        logger: slog::Logger,
        pool: pool_driver::PoolHandle,
    ) -> Self {
        let evacuations = evacuation::EvacuationTracker::new(Arc::clone(&hello.failure_domain));
        let metrics = node_metrics::NodeMetrics::default();
        let listener_limits = settings.machine_size.listener_limits();
        let gates = listener_gates::ListenerGates::new(&listener_limits, &metrics, &logger);
        Self {
            settings,
            tuning,
            hello,
            logger,
            metrics,
            gates,
            unreadable_requests: Mutex::default(),
            pool,
            jobs: Arc::default(),
            input_clock: Mutex::default(),
            ledger: Mutex::default(),
            pool_room: Mutex::default(),
            loss_news: Mutex::default(),
            started_at: boot_time(),
            peers: Mutex::new(peer_table::PeerTable::default()),
            config: Mutex::new(None),
            evacuations: Mutex::new(evacuations),
            pool_status: Mutex::new(link_frame::PeerStatus::default()),
            leaving: atomic::AtomicBool::new(false),
            exit_near: watch::Sender::new(false),
            peer_list_read: atomic::AtomicBool::new(false),
            link_id_counter: atomic::AtomicU64::new(0),
            status_changes: watch::Sender::new(0),
            peer_changes: watch::Sender::new(0),
            registry_requests: Notify::new(),
            registry: Mutex::default(),
            relay_budget: Mutex::default(),
        }
    }

    /// Returns the time since the process started, on a clock that never steps and that also
    /// advances while the VM is suspended. On a clock that stands still meanwhile, claims and
    /// messages from before would seem fresh.
    pub fn now(&self) -> time::Duration {
        boot_time().saturating_sub(self.started_at)
    }

    /// Returns the time since which input that is read at `now` may have waited.
    pub fn earliest_arrival(&self, now: time::Duration) -> time::Duration {
        self.lock_input_clock().earliest_arrival(now)
    }

    /// Records a turn of the event loop. Called at intervals of at most 100 ms.
    pub fn record_turn(&self, now: time::Duration) {
        self.lock_input_clock().record_turn(now);
    }

    /// Records whether more new connections of callers may wait.
    pub fn record_accept(&self, more_may_wait: bool) {
        self.lock_input_clock().record_accept(more_may_wait);
    }

    fn lock_input_clock(&self) -> MutexGuard<'_, input_clock::InputClock> {
        self.input_clock
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the losses of runs that peers are told of.
    pub fn loss_news(&self) -> MutexGuard<'_, loss_news::LossNews> {
        self.loss_news
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the table of the peers.
    pub fn peers(&self) -> MutexGuard<'_, peer_table::PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force, if there is one.
    pub fn config(&self) -> Option<ActiveConfig> {
        self.config
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Logs a request that can't be read, unless one was logged in the last second for the same cause.
    pub fn log_unreadable(
        &self,
        cause: &'static str,
        id: &str,
        error: &dyn fmt::Display,
        now: time::Duration,
    ) {
        let mut limiter = self
            .unreadable_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = limiter.record(cause, now) {
            slog::info!(self.logger, "request_unreadable"; "request" => id, "outcome" => cause,
                "error" => %error, "count" => count);
        }
    }

    /// Returns the limits of callers' requests that are in force.
    pub fn request_limits(&self) -> routing::RequestLimits {
        let config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        config
            .as_ref()
            .map_or_else(routing::RequestLimits::default, |current| {
                current.config.limits
            })
    }

    /// Adopts the configuration in `body` if it is newer than the one in force.
    pub fn adopt_newer_config(&self, body: Bytes, origin: &'static str) {
        let config = match routing::decode_config(&body) {
            Ok(config) => config,
            Err(error) => {
                slog::warn!(self.logger, "config_unreadable"; "origin" => origin, "error" => %error);
                return;
            }
        };
        let mut current = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        let version = current.as_ref().map_or(0, |current| current.config.version);
        if current.is_some() && config.version <= version {
            return;
        }
        slog::info!(self.logger, "config_adopted"; "origin" => origin,
            "from_version" => version, "version" => config.version, "routes" => config.routes.len());
        self.metrics.set_config_gauge(config.version);
        *current = Some(ActiveConfig {
            config: Arc::new(config),
            body,
        });
        drop(current);
        self.notify_status_change();
    }

    /// Returns whether `failure_domain` is evacuated, as far as this process knows.
    pub fn is_evacuated(&self, failure_domain: &str) -> bool {
        self.lock_evacuations().state().contains(failure_domain)
    }

    /// Returns the newest known state of evacuations.
    pub fn evacuations(&self) -> evacuation::EvacuationState {
        self.lock_evacuations().state().clone()
    }

    /// Adopts the evacuations of a snapshot of the operator's log if it is newer than the known
    /// state. `as_of` is the end of the log when its first page was read.
    pub fn adopt_evacuation_snapshot(&self, as_of: u64, records: &[evacuation::EvacuationRecord]) {
        self.log_undecodable_values(records);
        let now = self.now();
        self.update_evacuations("store", |tracker| {
            tracker.apply_snapshot(as_of, records, now)
        });
    }

    /// Applies records of the operator's log, read up to before `next_offset`, to the known state of
    /// evacuations.
    pub fn apply_evacuation_records(
        &self,
        records: &[evacuation::EvacuationRecord],
        next_offset: u64,
    ) {
        self.log_undecodable_values(records);
        let now = self.now();
        self.update_evacuations("store", |tracker| {
            tracker.apply_records(records, next_offset, now)
        });
    }

    /// Adopts the state of evacuations that a peer sent if it is newer than the known one.
    pub fn adopt_peer_evacuations(&self, state: evacuation::EvacuationState) {
        let now = self.now();
        self.update_evacuations("peer", |tracker| tracker.apply_peer_state(state, now));
    }

    fn lock_evacuations(&self) -> MutexGuard<'_, evacuation::EvacuationTracker> {
        self.evacuations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs the values that can't be decoded, except those of records that the known state includes.
    fn log_undecodable_values(&self, records: &[evacuation::EvacuationRecord]) {
        let known_as_of = self.lock_evacuations().state().as_of;
        let undecodable = records
            .iter()
            .filter(|record| !record.is_decodable && record.offset >= known_as_of);
        for record in undecodable {
            slog::warn!(self.logger, "evacuation_unreadable"; "domain" => &*record.domain,
                "outcome" => "evacuated", "offset" => record.offset);
        }
    }

    /// Changes the known state of evacuations by `update`, tells the pool of this process if the local
    /// failure domain is affected, and notifies the links if any is.
    fn update_evacuations(
        &self,
        origin: &'static str,
        update: impl FnOnce(&mut evacuation::EvacuationTracker) -> Vec<evacuation::DomainChange>,
    ) {
        let mut tracker = self.lock_evacuations();
        let earlier_start = tracker.local_start();
        let changes = update(&mut tracker);
        let (start, as_of) = (tracker.local_start(), tracker.state().as_of);
        self.metrics
            .set_evacuation_gauge(tracker.state().domains.len());
        if start != earlier_start {
            // Sent under the lock, so that the pool gets all changes in their order.
            self.pool.set_evacuation(start);
        }
        drop(tracker);
        for change in &changes {
            let outcome = if change.is_evacuated {
                "evacuated"
            } else {
                "cancelled"
            };
            slog::info!(self.logger, "evacuation_changed"; "domain" => &*change.domain,
                "outcome" => outcome, "origin" => origin, "as_of" => as_of);
            // Settings without regions name no failure domain but that of the process.
            let is_unknown = !self.settings.regions.is_empty()
                && !self.settings.regions.contains_key(&change.domain);
            if change.is_evacuated && is_unknown {
                slog::warn!(self.logger, "evacuation_unknown_domain";
                    "domain" => &*change.domain, "origin" => origin, "as_of" => as_of);
            }
        }
        if !changes.is_empty() {
            self.notify_status_change();
        }
    }

    /// Returns the status of this process as peers receive it. A pool whose failure domain is
    /// evacuated starts nothing, so it reports no free processor capacity.
    pub fn own_status(&self) -> link_frame::PeerStatus {
        let status = *self
            .pool_status
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let free_cpu_millis = if self.lock_evacuations().local_start().is_some() {
            0
        } else {
            status.free_cpu_millis
        };
        link_frame::PeerStatus {
            free_cpu_millis,
            config_version: self.config().map_or(0, |current| current.config.version),
            leaving: self.is_leaving(),
            ..status
        }
    }

    /// Stores the status of the pool, of which `config_version` and `leaving` are ignored, and
    /// notifies the links if its leadership has changed.
    pub fn set_pool_status(&self, status: link_frame::PeerStatus) {
        let mut current = self
            .pool_status
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.metrics.set_pool_gauges(&status);
        let leadership_changed = (current.held_servers == 0) != (status.held_servers == 0)
            || current.shards != status.shards;
        *current = status;
        drop(current);
        if leadership_changed {
            self.notify_status_change();
        }
    }

    /// Returns the room in the pool of this process.
    pub fn pool_room(&self) -> pool_room::PoolRoom {
        *self
            .pool_room
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores the room in the pool of this process, which the links send behind the next status.
    pub fn set_pool_room(&self, room: pool_room::PoolRoom) {
        *self
            .pool_room
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = room;
    }

    /// Locks the ledger of the jobs that this process has sent to other pools.
    pub fn ledger(&self) -> MutexGuard<'_, room_ledger::RoomLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the process is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Relaxed)
    }

    /// Marks the process as about to stop, and notifies the links.
    pub fn set_leaving(&self) {
        self.leaving.store(true, atomic::Ordering::Relaxed);
        self.notify_status_change();
    }

    /// Lets callers that still wait be answered, as the process is about to exit.
    pub fn set_exit_near(&self) {
        self.exit_near.send_replace(true);
    }

    /// Waits until the process is about to exit.
    pub async fn wait_until_exit_near(&self) {
        let mut exit_near = self.exit_near.subscribe();
        // The sender lives as long as `self`.
        let _closed = exit_near.wait_for(|is_near| *is_near).await;
    }

    /// Notifies the watchers of peer changes, and the links that this process has opened, which
    /// then send its status at once. A peer that has opened a link to this process receives it in
    /// response to its own next status.
    pub fn notify_status_change(&self) {
        self.status_changes.send_modify(|count| *count += 1);
        self.notify_peer_change();
    }

    /// Returns a watch of changes of this process's status that peers should receive at once.
    pub fn status_changes(&self) -> watch::Receiver<u64> {
        self.status_changes.subscribe()
    }

    /// Notifies the components of this process that peers have changed.
    pub fn notify_peer_change(&self) {
        self.peer_changes.send_modify(|count| *count += 1);
    }

    /// Returns a watch of changes of the peers and of the status of this process.
    pub fn peer_changes(&self) -> watch::Receiver<u64> {
        self.peer_changes.subscribe()
    }

    /// Locks what this process knows of the registry of backend servers.
    pub fn registry(&self) -> MutexGuard<'_, registry_replica::RegistryReplica> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the answer to a peer that asks for the records of `failure_domain` in the registry from `from_offset` on,
    /// and lets the registry be read again if what is known is not of late.
    pub fn answer_registry_request(
        &self,
        request_id: u64,
        failure_domain: &str,
        from_offset: Option<u64>,
    ) -> link_frame::LinkFrame {
        let now = self.now();
        let registry = self.registry();
        let mut relay_budget = self.lock_relay_budget();
        let answer = relay_budget.answer(&registry, from_offset, failure_domain, now);
        drop(relay_budget);
        drop(registry);
        let news = match answer {
            Ok(news) => {
                if registry_relay::is_read_due(news.read_age) {
                    self.request_registry_read();
                }
                Some(news)
            }
            Err(error) => {
                self.metrics.count_withheld_relay();
                slog::debug!(self.logger, "registry_withheld"; "error" => %error, "domain" => failure_domain);
                None
            }
        };
        link_frame::LinkFrame::RegistryAnswer { request_id, news }
    }

    /// Whether peers rely on what this process reads of the registry.
    pub fn is_asked_for_registry(&self, now: time::Duration) -> bool {
        self.lock_relay_budget().is_asked(now)
    }

    fn lock_relay_budget(&self) -> MutexGuard<'_, registry_relay::RelayBudget> {
        self.relay_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests that the registry of backend servers be read at once.
    pub fn request_registry_read(&self) {
        self.registry_requests.notify_one();
    }

    /// Waits until a read of the registry is requested, or was since the last call.
    pub async fn registry_read_requested(&self) {
        self.registry_requests.notified().await;
    }

    /// Returns an identifier for a new link, which tells it apart from earlier links to the same
    /// peer.
    pub fn next_link_id(&self) -> u64 {
        self.link_id_counter.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Records that the list of peers in the store was read.
    pub fn mark_peer_list_read(&self) {
        self.peer_list_read.store(true, atomic::Ordering::Relaxed);
        self.notify_peer_change();
    }

    /// Returns whether the list of peers in the store was read since the start.
    pub fn has_read_peer_list(&self) -> bool {
        self.peer_list_read.load(atomic::Ordering::Relaxed)
    }

    /// Returns whether each peer of the local failure domain that has a link is probed: it has
    /// sent a status over the link, or the link has failed.
    pub fn has_probed_domain_peers(&self) -> bool {
        self.peers()
            .iter()
            .filter(|peer| peer.hello.failure_domain == self.hello.failure_domain)
            .filter(|peer| peer.link.is_some())
            .all(|peer| peer.probed)
    }

    /// Returns the members of the local failure domain, including this process.
    pub fn domain_members(&self, now: time::Duration) -> Vec<leadership::DomainMember> {
        let own = self.own_status();
        let mut members = self.peers().domain_members(&self.hello.failure_domain, now);
        members.push(leadership::DomainMember {
            name: Arc::clone(&self.hello.name),
            cpu_millis: self.hello.cpu_millis,
            reachable: true,
            leaving: self.is_leaving(),
            held_servers: own.held_servers,
            shards: own.shards,
        });
        members
    }
}

/// Returns the time since the VM was booted, including the time for which it was suspended.
fn boot_time() -> time::Duration {
    let reading = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time::Duration::new(
        u64::try_from(reading.tv_sec).unwrap_or(0),
        u32::try_from(reading.tv_nsec).unwrap_or(0),
    )
}

/// Adds the peer `hello`, or updates its entry. At the same address, the status is cleared if the
/// peer has restarted, and a waiting link dials at once. At another address, the entry is replaced
/// without its link and status.
pub fn upsert_peer(node: &NodeState, hello: link_frame::PeerHello) {
    if hello.name == node.hello.name {
        return;
    }
    let mut peers = node.peers();
    match peers.get_mut(&hello.name) {
        Some(entry) if entry.hello.link_address == hello.link_address => {
            if entry.hello.boot != hello.boot {
                entry.status = link_frame::PeerStatus::default();
                entry.room = None;
            }
            entry.hello = hello;
            entry.connection_refused = false;
            if let Some(link) = &entry.link {
                link.redial();
            }
        }
        _ => {
            slog::info!(node.logger, "peer_learnt"; "peer" => &*hello.name,
                "address" => &*hello.link_address, "domain" => &*hello.failure_domain);
            peers.insert(peer_table::PeerEntry::new(hello), node.now());
        }
    }
    drop(peers);
    node.notify_peer_change();
}
