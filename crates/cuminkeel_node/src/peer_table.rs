//! The other processes, as far as their links tell.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time,
};

use cuminkeel_dispatch::{leadership, link_plan};
use smallvec::SmallVec;

use crate::{link_frame, peer_link};

/// How long a peer counts as reachable after its link broke, while it is dialled again.
const REDIAL_GRACE: time::Duration = time::Duration::from_millis(250);
/// How long a state is taken for the present one: the longest interval between states, twice.
const STATUS_AGE_LIMIT: time::Duration = time::Duration::from_secs(4);
/// How long a link is kept after the last moment at which it was wanted, as a leader that
/// changes twice would otherwise cost all links twice.
const LINK_LINGER: time::Duration = time::Duration::from_secs(5);
/// How long a VM is dialled in vain before its entry is dropped: longer than a VM takes to
/// be replaced or a cut between VMs to be mended. It announces itself again if it lives.
const ABANDON_TIME: time::Duration = time::Duration::from_mins(10);

/// One peer.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// Who it is.
    pub hello: link_frame::PeerHello,
    /// What it said last.
    pub status: link_frame::PeerStatus,
    /// When that was.
    pub status_received_at: time::Duration,
    /// Processes that hold servers, as it said last.
    pub reported_leaders: SmallVec<[Arc<str>; 6]>,
    /// The link that this process dials, if it wants one.
    pub link: Option<peer_link::PeerLink>,
    /// Since when the link is not wanted any more.
    pub unwanted_since: Option<time::Duration>,
    /// Whether that link is up.
    pub connected: bool,
    /// Whether it was up or failed since it was first wanted.
    pub dial_completed: bool,
    /// Since when all dials have failed.
    pub failing_since: Option<time::Duration>,
    /// When that link broke last.
    pub disconnected_at: Option<time::Duration>,
    /// Whether its address turned a dial away.
    pub connection_refused: bool,
}

impl PeerEntry {
    /// A peer that has introduced itself.
    pub fn new(hello: link_frame::PeerHello) -> Self {
        Self {
            hello,
            status: link_frame::PeerStatus::default(),
            status_received_at: time::Duration::ZERO,
            reported_leaders: SmallVec::new(),
            link: None,
            unwanted_since: None,
            connected: false,
            dial_completed: false,
            failing_since: None,
            disconnected_at: None,
            connection_refused: false,
        }
    }

    /// Whether it holds servers, by its own word.
    pub fn is_leader(&self, now: time::Duration) -> bool {
        self.status.held_servers > 0 && self.is_heard(now)
    }

    fn is_heard(&self, now: time::Duration) -> bool {
        self.connected || now < self.status_received_at + STATUS_AGE_LIMIT
    }

    fn link_state(&self) -> link_plan::LinkState {
        match (self.connected, self.dial_completed) {
            (true, _) => link_plan::LinkState::Linked,
            (false, true) => link_plan::LinkState::Failed,
            (false, false) => link_plan::LinkState::Untried,
        }
    }

    /// A dial failed, or the link broke, at `now`.
    pub fn record_link_failure(&mut self, now: time::Duration) {
        self.connected = false;
        self.dial_completed = true;
        self.failing_since.get_or_insert(now);
    }

    /// Its link is up.
    pub fn record_connected(&mut self) {
        self.connected = true;
        self.connection_refused = false;
        self.failing_since = None;
    }

    /// Gives up its link; jobs that were sent over it go on.
    pub fn drop_link(&mut self) {
        self.link = None;
        self.unwanted_since = None;
        self.connected = false;
        self.dial_completed = false;
        self.connection_refused = false;
        self.failing_since = None;
    }

    /// Whether the peer can be expected to answer.
    pub fn is_reachable(&self, now: time::Duration) -> bool {
        let broke_just_now = self
            .disconnected_at
            .is_some_and(|at| now < at + REDIAL_GRACE);
        self.connected || (!self.connection_refused && broke_just_now)
    }
}

/// All peers, by the names of their VMs.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<Arc<str>, PeerEntry>,
}

impl PeerTable {
    /// All peers.
    pub fn iter(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.values()
    }

    /// The peer on VM `name`.
    pub fn get(&self, name: &str) -> Option<&PeerEntry> {
        self.peers.get(name)
    }

    /// The peer on VM `name`.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut PeerEntry> {
        self.peers.get_mut(name)
    }

    /// Adds or replaces a peer.
    pub fn insert(&mut self, entry: PeerEntry) {
        self.peers.insert(Arc::clone(&entry.hello.name), entry);
    }

    /// Forgets the peer on VM `name`.
    pub fn remove(&mut self, name: &str) -> Option<PeerEntry> {
        self.peers.remove(name)
    }

    /// Forgets the peer on VM `name` unless it is linked.
    pub fn remove_unlinked(&mut self, name: &str) {
        if self.get(name).is_some_and(|peer| !peer.connected) {
            self.remove(name);
        }
    }

    /// Peers in `failure_domain` that no dial has reached for long.
    pub fn abandoned(&self, failure_domain: &str, now: time::Duration) -> Vec<Arc<str>> {
        self.peers
            .values()
            .filter(|peer| &*peer.hello.failure_domain == failure_domain)
            .filter(|peer| peer.link_state() == link_plan::LinkState::Failed)
            .filter(|peer| {
                peer.failing_since
                    .is_some_and(|since| now >= since + ABANDON_TIME)
            })
            .map(|peer| Arc::clone(&peer.hello.name))
            .collect()
    }

    /// Peers that hold servers, by their own word.
    pub fn leaders(&self, now: time::Duration) -> Vec<link_frame::PeerHello> {
        self.peers
            .values()
            .filter(|peer| peer.is_leader(now))
            .map(|peer| peer.hello.clone())
            .collect()
    }

    /// Most servers that a peer in `failure_domain` has seen listed.
    pub fn max_registered_servers(&self, failure_domain: &str, now: time::Duration) -> u32 {
        self.peers
            .values()
            .filter(|peer| &*peer.hello.failure_domain == failure_domain && peer.is_heard(now))
            .map(|peer| peer.status.registered_servers)
            .max()
            .unwrap_or(0)
    }

    /// What a plan of the links needs to know of the peers.
    pub fn link_candidates(&self, now: time::Duration) -> Vec<link_plan::LinkCandidate> {
        let named: BTreeSet<&Arc<str>> = self
            .peers
            .values()
            .filter(|peer| peer.is_heard(now))
            .flat_map(|peer| &peer.reported_leaders)
            .collect();
        self.peers
            .values()
            .map(|peer| link_plan::LinkCandidate {
                name: Arc::clone(&peer.hello.name),
                failure_domain: Arc::clone(&peer.hello.failure_domain),
                cpu_millis: peer.hello.cpu_millis,
                link_state: peer.link_state(),
                is_leader: peer.is_leader(now) || named.contains(&peer.hello.name),
            })
            .collect()
    }

    /// Peers to dial, of those that are `wanted`; links not wanted for long are given up.
    pub fn reconcile_links(
        &mut self,
        wanted: &BTreeSet<Arc<str>>,
        now: time::Duration,
    ) -> Vec<link_frame::PeerHello> {
        let mut dials = Vec::new();
        for peer in self.peers.values_mut() {
            match (wanted.contains(&peer.hello.name), &peer.link) {
                (true, None) => dials.push(peer.hello.clone()),
                (true, Some(_)) => peer.unwanted_since = None,
                (false, Some(_)) => {
                    let since = *peer.unwanted_since.get_or_insert(now);
                    if now >= since + LINK_LINGER {
                        peer.drop_link();
                    }
                }
                (false, None) => {}
            }
        }
        dials
    }

    /// Members of `failure_domain` besides this process.
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
