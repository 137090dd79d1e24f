//! Application of statuses and leader changes that peers send.

use std::sync::Arc;

use crate::{link_frame, link_reconciler, node_state};

/// Stores the status of the peer `name`, and notifies watchers if its leadership or its
/// intention to stop has changed.
pub fn apply_status(node: &node_state::NodeState, name: &str, status: link_frame::PeerStatus) {
    node.pool.observe_epoch(status.epoch);
    let mut peers = node.peers();
    let Some(peer) = peers.get_mut(name) else {
        return;
    };
    let should_notify = peer.status.leaving != status.leaving
        || (peer.status.held_servers == 0) != (status.held_servers == 0)
        || peer.status.shards != status.shards;
    peer.status = status;
    peer.status_received_at = node.now();
    drop(peers);
    if should_notify {
        node.notify_peer_change();
    }
}

/// Applies the leader change that the peer `name` reported, and starts links to new leaders.
pub fn apply_leader_change(
    node: &Arc<node_state::NodeState>,
    name: &str,
    change: link_frame::LeaderChange,
) {
    if let Some(peer) = node.peers().get_mut(name) {
        peer.reported_leaders
            .retain(|leader| !change.removed.contains(leader));
        for leader in &change.added {
            if !peer.reported_leaders.contains(&leader.name) {
                peer.reported_leaders.push(Arc::clone(&leader.name));
            }
        }
    }
    for leader in change.added {
        let is_known = node
            .peers()
            .get(&leader.name)
            .is_some_and(|peer| peer.hello.boot == leader.boot);
        if !is_known {
            node_state::upsert_peer(node, leader);
        }
    }
    link_reconciler::reconcile_links(node);
    node.notify_peer_change();
}
