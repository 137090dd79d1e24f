//! The other processes, as far as their links tell.

use std::{collections::BTreeMap, sync::Arc, time};

use cuminkeel_pool::leadership;

use crate::{link_frame, peer_link};

/// How long a peer counts as reachable after its link broke, while it is dialled again.
const REDIAL_GRACE: time::Duration = time::Duration::from_millis(250);

/// One peer.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// Who it is.
    pub hello: link_frame::PeerHello,
    /// What it said last.
    pub status: link_frame::PeerStatus,
    /// The link that this process dialled.
    pub link: peer_link::PeerLink,
    /// Whether that link is up.
    pub connected: bool,
    /// Whether it was up or failed since this process started.
    pub tried: bool,
    /// When that link broke.
    pub broken_at: time::Duration,
    /// Whether its address turned a dial away.
    pub refused: bool,
}

impl PeerEntry {
    /// Whether the peer can be expected to answer.
    pub fn is_reachable(&self, now: time::Duration) -> bool {
        self.connected || (!self.refused && now < self.broken_at + REDIAL_GRACE)
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
            })
            .collect()
    }
}
