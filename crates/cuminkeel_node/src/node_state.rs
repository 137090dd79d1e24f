//! What the parts of a process share.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic},
    time,
};

use bytes::Bytes;
use cuminkeel_pool::leadership;
use platform_adapter::{routing, settings};
use tokio::sync::watch;

use crate::{link_frame, node_metrics, peer_link, peer_table, pool_driver};

/// The configuration in force, with the bytes that it was decoded from.
#[derive(Clone, Debug)]
pub struct ConfigInForce {
    /// The configuration.
    pub config: Arc<routing::RoutingConfig>,
    /// The value of its key in the store, for peers.
    pub body: Bytes,
}

/// Shared state of the process.
#[derive(Debug)]
pub struct Node {
    /// The platform's settings.
    pub settings: settings::ProcessSettings,
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
    config: Mutex<Option<ConfigInForce>>,
    status: Mutex<link_frame::PeerStatus>,
    leaving: atomic::AtomicBool,
    peers_listed: atomic::AtomicBool,
    news: watch::Sender<u64>,
}

impl Node {
    /// The state of a process that has just started.
    pub fn new(
        settings: settings::ProcessSettings,
        hello: link_frame::PeerHello,
        logger: slog::Logger,
        pool: pool_driver::PoolHandle,
    ) -> Self {
        Self {
            settings,
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
            news: watch::Sender::new(0),
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
    pub fn config(&self) -> Option<ConfigInForce> {
        self.config
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Adopts a configuration if it is newer than the one in force.
    pub fn offer_config(&self, body: Bytes, origin: &'static str) {
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
        *current = Some(ConfigInForce {
            config: Arc::new(config),
            body,
        });
        drop(current);
        self.announce();
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
        let office_changed = (current.held_servers == 0) != (status.held_servers == 0);
        *current = status;
        drop(current);
        if office_changed {
            self.announce();
        }
    }

    /// Whether the process is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Relaxed)
    }

    /// The process is about to stop.
    pub fn leave(&self) {
        self.leaving.store(true, atomic::Ordering::Relaxed);
        self.announce();
    }

    /// Tells peers and the pool that something has changed.
    pub fn announce(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// Changes that peers and the pool should hear of at once.
    pub fn news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// The store's list of peers was read.
    pub fn note_peers_listed(&self) {
        self.peers_listed.store(true, atomic::Ordering::Relaxed);
        self.announce();
    }

    /// Whether the store's list of peers was read since the start.
    pub fn knows_peers(&self) -> bool {
        self.peers_listed.load(atomic::Ordering::Relaxed)
    }

    /// Whether every known peer of the own failure domain has answered or failed to.
    pub fn has_tried_domain(&self) -> bool {
        self.peers()
            .iter()
            .filter(|peer| peer.hello.failure_domain == self.hello.failure_domain)
            .all(|peer| peer.tried)
    }

    /// Members of the own failure domain, this process included.
    pub fn domain_members(&self, now: time::Duration) -> Vec<leadership::DomainMember> {
        let mut members = self.peers().domain_members(&self.hello.failure_domain, now);
        members.push(leadership::DomainMember {
            name: Arc::clone(&self.hello.name),
            cpu_millis: self.hello.cpu_millis,
            reachable: true,
            leaving: self.is_leaving(),
            held_servers: self.own_status().held_servers,
        });
        members
    }
}

/// Learns of a peer, and dials it if it is new or has moved.
pub fn learn_peer(node: &Arc<Node>, hello: link_frame::PeerHello) {
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
            known.refused = false;
            known.link.redial();
        }
        _ => {
            slog::info!(node.logger, "peer_learnt"; "peer" => &*hello.name,
                "address" => &*hello.link_address, "domain" => &*hello.failure_domain);
            let link = peer_link::start_link(node, &hello);
            peers.insert(peer_table::PeerEntry {
                hello,
                status: link_frame::PeerStatus::default(),
                link,
                connected: false,
                tried: false,
                broken_at: time::Duration::ZERO,
                refused: false,
            });
        }
    }
}
