//! Table of the peers, with their links and what is known from these.
//!
//! A link is the task that dials a peer; a peer is connected while the connection of its link is
//! up.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time,
};

use cuminkeel_dispatch::{leadership, link_plan, pool_room, registry_relay};
use smallvec::SmallVec;

use crate::{link_frame, peer_link};

/// Time for which a peer counts as reachable after its connection was lost, while it is dialled
/// again.
const REDIAL_GRACE: time::Duration = time::Duration::from_millis(250);
/// Maximum age at which the status of a peer that isn't connected counts as current: twice the
/// longest status interval.
const MAX_STATUS_AGE: time::Duration = time::Duration::from_secs(4);
/// Time for which a link is kept after it was last wanted; otherwise two changes of the leader
/// in a row would replace all links twice.
const UNWANTED_LINK_RETENTION: time::Duration = time::Duration::from_secs(5);
/// Maximum number of peers: twice the processes of the largest deployment that the users' bench plays.
pub const MAX_PEERS: usize = 2_048;
/// Time for which all dials of a VM must fail before its record is removed from the store's peer
/// list: longer than the replacement of a VM or the repair of a network partition takes. A
/// process that still runs adds its record again.
const ABANDON_TIMEOUT: time::Duration = time::Duration::from_mins(10);

/// Peer with its last status and the state of its link.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// Identity of the peer.
    pub hello: link_frame::PeerHello,
    /// Status that the peer last sent.
    pub status: link_frame::PeerStatus,
    /// Time at which the peer sent `status`, on the clock of this process.
    pub status_sent_at: time::Duration,
    /// Room in the peer's pool that it last sent, or `None` if it has sent none.
    pub room: Option<pool_room::PoolRoom>,
    /// Time at which the peer sent `room`, on the clock of this process. A later status confirms it.
    pub room_sent_at: time::Duration,
    /// Names of the leaders that the peer last reported.
    pub reported_leaders: SmallVec<[Arc<str>; 6]>,
    /// Link that this process has opened to the peer, if there is one, connected or not.
    pub link: Option<peer_link::PeerLink>,
    /// Time since which `link` has been unwanted, or `None` while it is wanted.
    pub unwanted_since: Option<time::Duration>,
    /// Whether the connection of `link` is up.
    pub connected: bool,
    /// Whether, since `link` was started, the peer has sent a status over it or `link` has failed.
    pub probed: bool,
    /// Time since which all dials of the peer have failed.
    pub failing_since: Option<time::Duration>,
    /// Time at which the connection of `link` was last lost.
    pub disconnected_at: Option<time::Duration>,
    /// Whether the peer's address refused the last dial.
    pub connection_refused: bool,
    /// Position of the peer in the order in which peers were learnt.
    learnt_number: u64,
}

impl PeerEntry {
    /// Creates an entry for a peer to which there is no link yet.
    pub fn new(hello: link_frame::PeerHello) -> Self {
        Self {
            hello,
            status: link_frame::PeerStatus::default(),
            status_sent_at: time::Duration::ZERO,
            room: None,
            room_sent_at: time::Duration::ZERO,
            reported_leaders: SmallVec::new(),
            link: None,
            unwanted_since: None,
            connected: false,
            probed: false,
            failing_since: None,
            disconnected_at: None,
            connection_refused: false,
            learnt_number: 0,
        }
    }

    /// Returns whether the peer holds servers according to its current status.
    pub fn holds_servers(&self, now: time::Duration) -> bool {
        self.status.held_servers > 0 && self.has_current_status(now)
    }

    fn has_current_status(&self, now: time::Duration) -> bool {
        self.connected || now < self.status_sent_at + MAX_STATUS_AGE
    }

    fn link_state(&self) -> link_plan::LinkState {
        match (self.connected, self.probed) {
            (true, _) => link_plan::LinkState::Connected,
            (false, true) => link_plan::LinkState::Failed,
            (false, false) => link_plan::LinkState::Pending,
        }
    }

    /// Records that a dial failed or the connection was lost at `now`.
    pub fn record_link_failure(&mut self, now: time::Duration) {
        self.connected = false;
        self.probed = true;
        self.failing_since.get_or_insert(now);
    }

    /// Records that the connection is up.
    pub fn record_connected(&mut self) {
        self.connected = true;
        self.connection_refused = false;
        self.failing_since = None;
    }

    /// Drops the link; jobs that were sent over it go on.
    pub fn drop_link(&mut self) {
        self.link = None;
        self.unwanted_since = None;
        self.connected = false;
        self.probed = false;
        self.connection_refused = false;
        self.failing_since = None;
    }

    /// Returns whether the peer can be expected to respond.
    pub fn is_reachable(&self, now: time::Duration) -> bool {
        let broke_recently = self
            .disconnected_at
            .is_some_and(|at| now < at + REDIAL_GRACE);
        self.connected || (!self.connection_refused && broke_recently)
    }
}

/// Peers of this process by VM name.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<Arc<str>, PeerEntry>,
    /// Number of peers that were learnt so far.
    learnt_count: u64,
}

impl PeerTable {
    /// Returns an iterator over all peers.
    pub fn iter(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.values()
    }

    /// Returns the peer on VM `name`.
    pub fn get(&self, name: &str) -> Option<&PeerEntry> {
        self.peers.get(name)
    }

    /// Returns the peer on VM `name` for changes.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut PeerEntry> {
        self.peers.get_mut(name)
    }

    /// Adds or replaces a peer. Of [`MAX_PEERS`], the one that was learnt last among those that don't respond gives way;
    /// if all respond, the peer is not added. Anyone who reaches the listener of links can announce peers.
    pub fn insert(&mut self, mut entry: PeerEntry, now: time::Duration) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&entry.hello.name) {
            let unresponsive = self
                .peers
                .values()
                .filter(|peer| !peer.connected && now >= peer.status_sent_at + MAX_STATUS_AGE);
            let Some(last) = unresponsive.max_by_key(|peer| peer.learnt_number) else {
                return;
            };
            let name = Arc::clone(&last.hello.name);
            self.peers.remove(&name);
        }
        self.learnt_count += 1;
        entry.learnt_number = self.learnt_count;
        self.peers.insert(Arc::clone(&entry.hello.name), entry);
    }

    /// Removes the peer on VM `name`.
    pub fn remove(&mut self, name: &str) -> Option<PeerEntry> {
        self.peers.remove(name)
    }

    /// Removes the peer on VM `name` unless it is connected.
    pub fn remove_unless_connected(&mut self, name: &str) {
        if self.get(name).is_some_and(|peer| !peer.connected) {
            self.remove(name);
        }
    }

    /// Returns the peers in `failure_domain` to which all dials have failed for ten minutes.
    pub fn abandoned(&self, failure_domain: &str, now: time::Duration) -> Vec<Arc<str>> {
        self.peers
            .values()
            .filter(|peer| &*peer.hello.failure_domain == failure_domain)
            .filter(|peer| peer.link_state() == link_plan::LinkState::Failed)
            .filter(|peer| {
                peer.failing_since
                    .is_some_and(|since| now >= since + ABANDON_TIMEOUT)
            })
            .map(|peer| Arc::clone(&peer.hello.name))
            .collect()
    }

    /// Returns the peers that hold servers according to their own current status.
    pub fn leaders(&self, now: time::Duration) -> Vec<link_frame::PeerHello> {
        self.peers
            .values()
            .filter(|peer| peer.holds_servers(now))
            .map(|peer| peer.hello.clone())
            .collect()
    }

    /// Returns the largest number of registered servers that a peer in `failure_domain` reports.
    pub fn max_registered_servers(&self, failure_domain: &str, now: time::Duration) -> u32 {
        self.peers
            .values()
            .filter(|peer| {
                &*peer.hello.failure_domain == failure_domain && peer.has_current_status(now)
            })
            .map(|peer| peer.status.registered_servers)
            .max()
            .unwrap_or(0)
    }

    /// Returns the peers in the form from which links are planned.
    pub fn known_peers(&self, now: time::Duration) -> Vec<link_plan::KnownPeer> {
        let reported_names: BTreeSet<&Arc<str>> = self
            .peers
            .values()
            .filter(|peer| peer.has_current_status(now))
            .flat_map(|peer| &peer.reported_leaders)
            .collect();
        self.peers
            .values()
            .map(|peer| link_plan::KnownPeer {
                name: Arc::clone(&peer.hello.name),
                failure_domain: Arc::clone(&peer.hello.failure_domain),
                cpu_millis: peer.hello.cpu_millis,
                link_state: peer.link_state(),
                holds_servers: peer.holds_servers(now) || reported_names.contains(&peer.hello.name),
            })
            .collect()
    }

    /// Drops links that have been unwanted for some time, and returns the `wanted` peers that have
    /// no link yet.
    pub fn reconcile_links(
        &mut self,
        wanted: &BTreeSet<Arc<str>>,
        now: time::Duration,
    ) -> Vec<link_frame::PeerHello> {
        let mut peers_to_dial = Vec::new();
        for peer in self.peers.values_mut() {
            match (wanted.contains(&peer.hello.name), &peer.link) {
                (true, None) => peers_to_dial.push(peer.hello.clone()),
                (true, Some(_)) => peer.unwanted_since = None,
                (false, Some(_)) => {
                    let since = *peer.unwanted_since.get_or_insert(now);
                    if now >= since + UNWANTED_LINK_RETENTION {
                        peer.drop_link();
                    }
                }
                (false, None) => {}
            }
        }
        peers_to_dial
    }

    /// Returns the connected peers that a process of `failure_domain` can ask for the registry.
    pub fn relay_peers(&self, failure_domain: &str) -> Vec<registry_relay::RelayPeer> {
        self.peers
            .values()
            .filter(|peer| peer.connected && peer.link.is_some())
            .map(|peer| registry_relay::RelayPeer {
                name: Arc::clone(&peer.hello.name),
                cpu_millis: peer.hello.cpu_millis,
                is_local: *peer.hello.failure_domain == *failure_domain,
            })
            .collect()
    }

    /// Returns the members of `failure_domain` other than this process.
    pub fn domain_members(
        &self,
        failure_domain: &str,
        now: time::Duration,
    ) -> Vec<leadership::DomainMember> {
        self.peers
            .values()
            .filter(|peer| &*peer.hello.failure_domain == failure_domain)
            .map(|peer| leadership::DomainMember {
                name: Arc::clone(&peer.hello.name),
                cpu_millis: peer.hello.cpu_millis,
                reachable: peer.is_reachable(now),
                leaving: peer.status.leaving,
                held_servers: peer.status.held_servers,
                shards: peer.status.shards,
            })
            .collect()
    }
}
