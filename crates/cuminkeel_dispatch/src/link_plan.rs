//! Which peers a process keeps a link to.
//!
//! Links of all pairs would cost bytes and descriptors that grow with the square of the
//! processes. A process needs the leaders, and those that would lead next.

use std::{collections::BTreeSet, sync::Arc};

use smallvec::SmallVec;

use crate::leadership;

/// Members of the own failure domain that each of its processes is linked to beyond its
/// leaders, as a rack can take neighbours with it.
const NEAR_CANDIDATES: usize = 2;
/// Members of the own failure domain that are tried at once while none is linked: dials of
/// lost VMs take long to fail, and a process that starts has to find who leads.
const FIRST_TRIES: usize = 16;
/// Members of each other failure domain that a leader introduces itself to.
const FAR_CANDIDATES: usize = 2;

/// Leaders of each other failure domain that a process is linked to, for jobs that its own
/// domain has no room for; bytes between domains are dear.
const FAR_LEADERS: usize = 2;
/// Members of a failure domain that follow the registry of its servers beyond its leaders:
/// enough for the loss of a rack, while the reads of a large domain stay within what the
/// store gives.
const REGISTRY_READERS: usize = 7;

/// What is known of the way to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Its link broke, or its dial failed.
    Failed,
    /// Its link is up.
    Linked,
    /// It was not dialled, or hasn't answered yet.
    Untried,
}

/// A peer as a link to it is considered.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkCandidate {
    /// Name of its VM.
    pub name: Arc<str>,
    /// Failure domain of its VM.
    pub failure_domain: Arc<str>,
    /// Share of a core that it has, in thousandths.
    pub cpu_millis: u32,
    /// What is known of the way to it.
    pub link_state: LinkState,
    /// Whether it holds servers, by itself or by what another peer says.
    pub is_leader: bool,
}

/// The process that plans its links.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalProcess<'a> {
    /// Name of its VM.
    pub name: &'a str,
    /// Failure domain of its VM.
    pub failure_domain: &'a str,
    /// Share of a core that it has, in thousandths.
    pub cpu_millis: u32,
    /// Whether it holds servers.
    pub is_leader: bool,
    /// Leaders that its domain needs.
    pub required_leader_count: usize,
}

/// Names of the `peers` to be linked to.
///
/// A leader is linked to all of its domain, to learn of a member that can't reach it, and
/// introduces itself to the other domains; everyone is linked to the leaders of the own domain,
/// to those that would be chosen next, and to some leaders of the others.
pub fn wanted_links(own: &LocalProcess<'_>, peers: &[LinkCandidate]) -> BTreeSet<Arc<str>> {
    let mut wanted: BTreeSet<Arc<str>> = peers
        .iter()
        .filter(|peer| {
            *peer.failure_domain == *own.failure_domain && (peer.is_leader || own.is_leader)
        })
        .map(|peer| Arc::clone(&peer.name))
        .collect();
    let domains: BTreeSet<&Arc<str>> = peers.iter().map(|peer| &peer.failure_domain).collect();
    for domain in domains {
        if **domain != *own.failure_domain {
            wanted.extend(far_leaders(own.name, domain, peers));
        }
        let (count, first_tries) = match (&**domain == own.failure_domain, own.is_leader) {
            (true, _) => (own.required_leader_count + NEAR_CANDIDATES, FIRST_TRIES),
            (false, true) => (FAR_CANDIDATES, FAR_CANDIDATES),
            (false, false) => continue,
        };
        wanted.extend(candidates(domain, count, first_tries, peers));
    }
    wanted
}

/// Leaders of `domain` that the process `own_name` is linked to; others get other ones.
fn far_leaders(own_name: &str, domain: &str, peers: &[LinkCandidate]) -> Vec<Arc<str>> {
    let mut leaders: Vec<&LinkCandidate> = peers
        .iter()
        .filter(|peer| peer.is_leader && *peer.failure_domain == *domain)
        .collect();
    if leaders.len() > FAR_LEADERS {
        leaders.sort_by_key(|leader| leadership::rendezvous_weight(own_name, &leader.name));
    }
    leaders
        .into_iter()
        .rev()
        .take(FAR_LEADERS)
        .map(|leader| Arc::clone(&leader.name))
        .collect()
}

/// Whether a process may soon lead, so that it has to know its domain's servers.
pub fn should_read_registry(own: &LocalProcess<'_>, peers: &[LinkCandidate]) -> bool {
    let before = peers
        .iter()
        .filter(|peer| *peer.failure_domain == *own.failure_domain)
        .filter(|peer| peer.link_state != LinkState::Failed)
        .filter(|peer| {
            (std::cmp::Reverse(peer.cpu_millis), &*peer.name)
                < (std::cmp::Reverse(own.cpu_millis), own.name)
        })
        .count();
    before < own.required_leader_count + REGISTRY_READERS
}

/// The first peers of a domain in the order in which leaders are chosen, until `count` of
/// them are linked. Each that failed adds one to those that are tried at once, so that the
/// loss of most of a domain takes few rounds of dials.
fn candidates<'a>(
    domain: &'a str,
    count: usize,
    first_tries: usize,
    peers: &'a [LinkCandidate],
) -> impl Iterator<Item = Arc<str>> + 'a {
    let mut members: SmallVec<[&LinkCandidate; 16]> = peers
        .iter()
        .filter(|peer| *peer.failure_domain == *domain)
        .collect();
    members.sort_by_key(|peer| (std::cmp::Reverse(peer.cpu_millis), &peer.name));
    let none_linked = members
        .iter()
        .all(|peer| peer.link_state != LinkState::Linked);
    let tries = if none_linked {
        count.max(first_tries)
    } else {
        count
    };
    let (mut linked, mut untried, mut failed) = (0, 0, 0);
    members
        .into_iter()
        .take_while(move |peer| {
            let enough = linked >= count || linked + untried >= tries + failed;
            match peer.link_state {
                LinkState::Failed => failed += 1,
                LinkState::Linked => linked += 1,
                LinkState::Untried => untried += 1,
            }
            !enough
        })
        .map(|peer| Arc::clone(&peer.name))
}
