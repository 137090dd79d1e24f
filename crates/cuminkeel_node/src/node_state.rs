//! What the parts of a process share.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic},
    time,
};

use bytes::Bytes;
use cuminkeel_dispatch::leadership;
use platform_adapter::{routing, settings};
use tokio::sync::watch;

use crate::{link_frame, node_metrics, node_tuning, peer_table, pool_driver};

/// The configuration in force, with the bytes that it was decoded from.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: Arc<routing::RoutingConfig>,
    /// The value of its key in the store, for peers.
    pub body: Bytes,
}

/// Shared state of the process.
#[derive(Debug)]
pub struct NodeState {
    /// The platform's settings.
    pub settings: settings::ProcessSettings,
    /// Settings of our own.
    pub tuning: node_tuning::NodeTuning,
    /// How the process introduces itself to peers.
    pub hello: link_frame::PeerHello,
    /// The log.
    pub logger: slog::Logger,
    /// Counters and histograms.
    pub metrics: node_metrics::NodeMetrics,
    /// The pool of the failure domain, active while this process leads.
    pub pool: pool_driver::PoolHandle,
    started: time::Instant,
    peers: Mutex<peer_table::PeerTable>,
    config: Mutex<Option<ActiveConfig>>,
    status: Mutex<link_frame::PeerStatus>,
    leaving: atomic::AtomicBool,
    peers_listed: atomic::AtomicBool,
    links_started: atomic::AtomicU64,
    news: watch::Sender<u64>,
    peer_changes: watch::Sender<u64>,
}

impl NodeState {
    /// The state of a process that has just started.
    pub fn new(
        settings: settings::ProcessSettings,
        tuning: node_tuning::NodeTuning,
        hello: link_frame::PeerHello,
        logger: slog::Logger,
        pool: pool_driver::PoolHandle,
    ) -> Self {
        Self {
            settings,
            tuning,
            hello,
            logger,
            metrics: node_metrics::NodeMetrics::default(),
            pool,
            started: time::Instant::now(),
            peers: Mutex::new(peer_table::PeerTable::default()),
            config: Mutex::new(None),
            status: Mutex::new(link_frame::PeerStatus::default()),
            leaving: atomic::AtomicBool::new(false),
            peers_listed: atomic::AtomicBool::new(false),
            links_started: atomic::AtomicU64::new(0),
            news: watch::Sender::new(0),
            peer_changes: watch::Sender::new(0),
        }
    }

    /// Time since the process started, on its monotonic clock.
    pub fn now(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// The peers.
    pub fn peers(&self) -> MutexGuard<'_, peer_table::PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<ActiveConfig> {
        self.config
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Adopts a configuration if it is newer than the one in force.
    pub fn adopt_newer_config(&self, body: Bytes, origin: &'static str) {
        let config = match routing::decode_config(&body) {
            Ok(config) => config,
            Err(failure) => {
                slog::warn!(self.logger, "config_unreadable"; "origin" => origin, "error" => %failure);
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

    /// What this process tells its peers.
    pub fn own_status(&self) -> link_frame::PeerStatus {
        let status = *self.status.lock().unwrap_or_else(PoisonError::into_inner);
        link_frame::PeerStatus {
            config_version: self.config().map_or(0, |current| current.config.version),
            leaving: self.is_leaving(),
            ..status
        }
    }

    /// Takes in the state of the pool.
    pub fn set_pool_status(&self, status: link_frame::PeerStatus) {
        let mut current = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        self.metrics.set_pool_gauges(&status);
        let office_changed = (current.held_servers == 0) != (status.held_servers == 0)
            || current.shards != status.shards;
        *current = status;
        drop(current);
        if office_changed {
            self.notify_status_change();
        }
    }

    /// Whether the process is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Relaxed)
    }

    /// The process is about to stop.
    pub fn set_leaving(&self) {
        self.leaving.store(true, atomic::Ordering::Relaxed);
        self.notify_status_change();
    }

    /// Tells the linked peers at once that the own state has changed.
    pub fn notify_status_change(&self) {
        self.news.send_modify(|count| *count += 1);
        self.notify_peer_change();
    }

    /// Changes of the own state that peers should hear of at once.
    pub fn status_changes(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// Tells the parts of this process that something is new of the peers.
    pub fn notify_peer_change(&self) {
        self.peer_changes.send_modify(|count| *count += 1);
    }

    /// Changes of the peers, and of this process among them.
    pub fn peer_changes(&self) -> watch::Receiver<u64> {
        self.peer_changes.subscribe()
    }

    /// A number for a link, by which a later one to the same peer is told apart.
    pub fn next_link_number(&self) -> u64 {
        self.links_started.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// The store's list of peers was read.
    pub fn mark_peer_list_read(&self) {
        self.peers_listed.store(true, atomic::Ordering::Relaxed);
        self.notify_peer_change();
    }

    /// Whether the store's list of peers was read since the start.
    pub fn has_read_peer_list(&self) -> bool {
        self.peers_listed.load(atomic::Ordering::Relaxed)
    }

    /// Whether every peer of the own failure domain that a link is wanted to has answered
    /// or failed to.
    pub fn has_dialled_domain_peers(&self) -> bool {
        self.peers()
            .iter()
            .filter(|peer| peer.hello.failure_domain == self.hello.failure_domain)
            .filter(|peer| peer.link.is_some())
            .all(|peer| peer.dial_completed)
    }

    /// Members of the own failure domain, this process included.
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

/// Learns of a peer, or that it has moved or started again.
pub fn upsert_peer(node: &NodeState, hello: link_frame::PeerHello) {
    if hello.name == node.hello.name {
        return;
    }
    let mut peers = node.peers();
    match peers.get_mut(&hello.name) {
        Some(known) if known.hello.link_address == hello.link_address => {
            if known.hello.boot != hello.boot {
                known.status = link_frame::PeerStatus::default();
            }
            known.hello = hello;
            known.connection_refused = false;
            if let Some(link) = &known.link {
                link.redial();
            }
        }
        _ => {
            slog::info!(node.logger, "peer_learnt"; "peer" => &*hello.name,
                "address" => &*hello.link_address, "domain" => &*hello.failure_domain);
            peers.insert(peer_table::PeerEntry::new(hello));
        }
    }
    drop(peers);
    node.notify_peer_change();
}
