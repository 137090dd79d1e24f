//! Reconciliation of the links of this process with the known peers.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{leadership, link_plan};

use crate::{link_frame, node_state, peer_link, peer_table};

/// Maximum time without a reconciliation, so that links that are no longer wanted are dropped.
const MAX_RECONCILE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time over which the reconciler collects changes that come in a burst: a dial inside a failure
/// domain takes as long.
const CHANGE_COLLECTION_TIME: time::Duration = time::Duration::from_millis(10);

/// Starts links to the peers that this process should be linked to, and drops links that
/// have been unwanted for some time.
pub fn reconcile_links(node: &Arc<node_state::NodeState>) {
    let now = node.now();
    let own_status = node.own_status();
    let mut peers = node.peers();
    let wanted = link_plan::wanted_links(
        &local_process(node, own_status, &peers, now),
        &peers.known_peers(now),
    );
    for hello in peers.reconcile_links(&wanted, now) {
        let link = peer_link::start_link(node, &hello);
        if let Some(peer) = peers.get_mut(&hello.name) {
            peer.link = Some(link);
        }
    }
    let connected_count = peers.iter().filter(|peer| peer.connected).count();
    node.metrics
        .set_peer_gauges(peers.iter().count(), connected_count);
}

/// Returns whether this process has to read the registry of its failure domain's servers,
/// because it leads or may lead soon.
pub fn should_read_registry(node: &node_state::NodeState) -> bool {
    let now = node.now();
    let own_status = node.own_status();
    let peers = node.peers();
    let local = local_process(node, own_status, &peers, now);
    local.holds_servers
        || (node.has_read_peer_list()
            && link_plan::should_read_registry(&local, &peers.known_peers(now)))
}

fn local_process<'a>(
    node: &'a node_state::NodeState,
    own_status: link_frame::PeerStatus,
    peers: &peer_table::PeerTable,
    now: time::Duration,
) -> link_plan::LocalProcess<'a> {
    let registered_servers = peers
        .max_registered_servers(&node.hello.failure_domain, now)
        .max(own_status.registered_servers);
    // A process that has just started to lead has shards, but may hold no servers yet.
    let acting_leaders = peers
        .domain_members(&node.hello.failure_domain, now)
        .iter()
        .filter(|member| member.reachable && !member.shards.is_empty())
        .count()
        + usize::from(!own_status.shards.is_empty());
    link_plan::LocalProcess {
        name: &node.hello.name,
        failure_domain: &node.hello.failure_domain,
        cpu_millis: node.hello.cpu_millis,
        holds_servers: own_status.held_servers > 0,
        required_leader_count: leadership::required_leader_count(
            usize::try_from(registered_servers).unwrap_or(usize::MAX),
            acting_leaders,
        ),
    }
}

/// Reconciles the links after each change of the peers, and at intervals.
pub async fn run_link_reconciler(node: Arc<node_state::NodeState>) {
    let mut changes = node.peer_changes();
    loop {
        reconcile_links(&node);
        // Waiting for a change fails only while the process ends.
        let _elapsed = tokio::time::timeout(MAX_RECONCILE_INTERVAL, changes.changed()).await;
        tokio::time::sleep(CHANGE_COLLECTION_TIME).await;
    }
}
