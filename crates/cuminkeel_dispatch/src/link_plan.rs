//! Choice of the peers that a process keeps links to.
//!
//! Links between all pairs of processes would cost traffic and descriptors that grow with the
//! square of the number of processes. A process needs links to the leaders and to the
//! candidates, the members of a domain that lead first if no member holds servers: those with
//! the largest processor shares, ties by name.

use std::{collections::BTreeSet, sync::Arc};

use smallvec::SmallVec;

use crate::leadership;

/// Candidates of the local failure domain that a process is linked to beyond the number of leaders
/// that the domain needs: more than one, because the loss of a rack can take several members.
const LOCAL_CANDIDATES: usize = 2;
/// Members of the local failure domain that are dialled at once while none is connected: dials to
/// lost VMs take long to fail, and a starting process has to find the leader.
const INITIAL_DIALS: usize = 16;
/// Candidates of each remote failure domain that a leader is linked to, so that the domain
/// learns of the leader.
const REMOTE_CANDIDATES: usize = 2;

/// Leaders of each remote failure domain that a process is linked to for spillover, the jobs
/// that its own domain has no capacity for. Few, because traffic between domains is expensive.
const REMOTE_LEADERS: usize = 2;
/// Members of a failure domain besides its leaders that read the registry of its servers:
/// enough to survive the loss of a rack, and few enough for the store's capacity for reads
/// in a large domain.
const STANDBY_REGISTRY_READERS: usize = 7;

/// State of the link to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// The link broke, or the dial failed.
    Failed,
    /// The peer is connected.
    Connected,
    /// The peer has not been dialled, or has not responded yet.
    Pending,
}

/// Peer as the plan of links sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownPeer {
    /// Name of the peer's VM.
    pub name: Arc<str>,
    /// Failure domain of the peer's VM.
    pub failure_domain: Arc<str>,
    /// Processor share of the peer, in thousandths of a core.
    pub cpu_millis: u32,
    /// State of the link to the peer.
    pub link_state: LinkState,
    /// Whether the peer holds servers, as it or another peer reports.
    pub holds_servers: bool,
}

/// Process that plans its links.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalProcess<'a> {
    /// Name of the process's VM.
    pub name: &'a str,
    /// Failure domain of the process's VM.
    pub failure_domain: &'a str,
    /// Processor share of the process, in thousandths of a core.
    pub cpu_millis: u32,
    /// Whether the process holds servers.
    pub holds_servers: bool,
    /// Number of leaders that the local domain needs.
    pub required_leader_count: usize,
}

/// Returns the names of the `peers` that the process should be linked to.
///
/// A leader is linked to all members of its domain, to detect a member that can't reach it, and
/// to candidates of the remote domains, which learn of it that way. Every process is linked to
/// the leaders and candidates of the local domain, and to some leaders of each remote domain.
pub fn wanted_links(local: &LocalProcess<'_>, peers: &[KnownPeer]) -> BTreeSet<Arc<str>> {
    let mut wanted: BTreeSet<Arc<str>> = peers
        .iter()
        .filter(|peer| {
            *peer.failure_domain == *local.failure_domain
                && (peer.holds_servers || local.holds_servers)
        })
        .map(|peer| Arc::clone(&peer.name))
        .collect();
    let domains: BTreeSet<&Arc<str>> = peers.iter().map(|peer| &peer.failure_domain).collect();
    for domain in domains {
        if **domain != *local.failure_domain {
            wanted.extend(remote_leaders(local.name, domain, peers));
        }
        let (count, initial_dials) = match (&**domain == local.failure_domain, local.holds_servers)
        {
            (true, _) => (
                local.required_leader_count + LOCAL_CANDIDATES,
                INITIAL_DIALS,
            ),
            (false, true) => (REMOTE_CANDIDATES, REMOTE_CANDIDATES),
            (false, false) => continue,
        };
        wanted.extend(leader_candidates(domain, count, initial_dials, peers));
    }
    wanted
}

/// Returns the leaders of the remote `domain` that the process `local_name` is linked to.
/// Rendezvous hashing spreads the processes over the leaders.
fn remote_leaders(local_name: &str, domain: &str, peers: &[KnownPeer]) -> Vec<Arc<str>> {
    let mut leaders: Vec<&KnownPeer> = peers
        .iter()
        .filter(|peer| peer.holds_servers && *peer.failure_domain == *domain)
        .collect();
    if leaders.len() > REMOTE_LEADERS {
        leaders.sort_by_key(|leader| leadership::rendezvous_weight(local_name, &leader.name));
    }
    leaders
        .into_iter()
        .rev()
        .take(REMOTE_LEADERS)
        .map(|leader| Arc::clone(&leader.name))
        .collect()
}

/// Whether the process may become a leader soon, so it has to read the registry of its
/// domain's servers.
pub fn should_read_registry(local: &LocalProcess<'_>, peers: &[KnownPeer]) -> bool {
    let members_ahead = peers
        .iter()
        .filter(|peer| *peer.failure_domain == *local.failure_domain)
        .filter(|peer| peer.link_state != LinkState::Failed)
        .filter(|peer| {
            (std::cmp::Reverse(peer.cpu_millis), &*peer.name)
                < (std::cmp::Reverse(local.cpu_millis), local.name)
        })
        .count();
    members_ahead < local.required_leader_count + STANDBY_REGISTRY_READERS
}

/// Returns the first candidates of a domain, up to the `count`-th connected one.
///
/// The connected and pending ones are limited to `count`, or to `initial_dials` if that is more
/// and no member is connected, plus the number of failed ones: failed dials raise the number of
/// the next ones, so few rounds suffice after the loss of most of a domain.
fn leader_candidates<'a>(
    domain: &'a str,
    count: usize,
    initial_dials: usize,
    peers: &'a [KnownPeer],
) -> impl Iterator<Item = Arc<str>> + 'a {
    let mut members: SmallVec<[&KnownPeer; 16]> = peers
        .iter()
        .filter(|peer| *peer.failure_domain == *domain)
        .collect();
    members.sort_by_key(|peer| (std::cmp::Reverse(peer.cpu_millis), &peer.name));
    let none_connected = members
        .iter()
        .all(|peer| peer.link_state != LinkState::Connected);
    let max_dials = if none_connected {
        count.max(initial_dials)
    } else {
        count
    };
    let (mut connected, mut pending, mut failed) = (0, 0, 0);
    members
        .into_iter()
        .take_while(move |peer| {
            let is_complete = connected >= count || connected + pending >= max_dials + failed;
            match peer.link_state {
                LinkState::Failed => failed += 1,
                LinkState::Connected => connected += 1,
                LinkState::Pending => pending += 1,
            }
            !is_complete
        })
        .map(|peer| Arc::clone(&peer.name))
}
