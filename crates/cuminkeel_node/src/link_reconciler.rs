//! Keeps the links of this process in step with what is known of the peers.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{leadership, link_plan};

use crate::{link_frame, node_state, peer_link, peer_table};

/// Longest time between reviews of the links, for those that are not wanted any more.
const LINK_REVIEW: time::Duration = time::Duration::from_secs(1);
/// Shortest time between two of them: a dial inside a failure domain takes as long.
const LINK_REVIEW_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Dials the peers that this process should be linked to, and gives up other links.
pub fn reconcile_links(node: &Arc<node_state::NodeState>) {
    let now = node.now();
    let own = node.own_status();
    let mut peers = node.peers();
    let wanted = link_plan::wanted_links(
        &own_place(node, own, &peers, now),
        &peers.link_candidates(now),
    );
    for hello in peers.reconcile_links(&wanted, now) {
        let link = peer_link::start_link(node, &hello);
        if let Some(peer) = peers.get_mut(&hello.name) {
            peer.link = Some(link);
        }
    }
    let linked = peers.iter().filter(|peer| peer.connected).count();
    node.metrics.set_peer_gauges(peers.iter().count(), linked);
}

/// Whether this process has to know the servers of its failure domain.
pub fn should_read_registry(node: &node_state::NodeState) -> bool {
    let now = node.now();
    let own = node.own_status();
    let peers = node.peers();
    let place = own_place(node, own, &peers, now);
    place.is_leader
        || (node.has_read_peer_list()
            && link_plan::should_read_registry(&place, &peers.link_candidates(now)))
}

fn own_place<'a>(
    node: &'a node_state::NodeState,
    own: link_frame::PeerStatus,
    peers: &peer_table::PeerTable,
    now: time::Duration,
) -> link_plan::LocalProcess<'a> {
    let listed = peers
        .max_registered_servers(&node.hello.failure_domain, now)
        .max(own.registered_servers);
    let in_office = peers
        .domain_members(&node.hello.failure_domain, now)
        .iter()
        .filter(|member| member.reachable && !member.shards.is_empty())
        .count()
        + usize::from(!own.shards.is_empty());
    link_plan::LocalProcess {
        name: &node.hello.name,
        failure_domain: &node.hello.failure_domain,
        cpu_millis: node.hello.cpu_millis,
        is_leader: own.held_servers > 0,
        required_leader_count: leadership::required_leader_count(
            usize::try_from(listed).unwrap_or(usize::MAX),
            in_office,
        ),
    }
}

/// Keeps the links in step with what is known of the peers.
pub async fn run_link_reconciler(node: Arc<node_state::NodeState>) {
    let mut changes = node.peer_changes();
    loop {
        reconcile_links(&node);
        // An error means that the process ends.
        let _elapsed = tokio::time::timeout(LINK_REVIEW, changes.changed()).await;
        // Changes come in bursts.
        tokio::time::sleep(LINK_REVIEW_PAUSE).await;
    }
}
