//! Application of statuses, room updates and leader changes that peers send.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{message_delay, pool_room};

use crate::{link_frame, link_reconciler, node_state};

/// Stores the status that the peer `name` sent at `sent_at`, and notifies watchers if its leadership
/// or its intention to stop has changed. A status that was read late does not replace a newer one
/// from another connection.
pub fn apply_status(
    node: &node_state::NodeState,
    name: &str,
    status: link_frame::PeerStatus,
    sent_at: time::Duration,
) {
    node.pool.observe_epoch(status.epoch);
    let mut peers = node.peers();
    let Some(peer) = peers.get_mut(name) else {
        return;
    };
    if peer.status_sent_at > sent_at + message_delay::MAX_OFFER_DELAY {
        return;
    }
    let should_notify = peer.status.leaving != status.leaving
        || (peer.status.held_servers == 0) != (status.held_servers == 0)
        || peer.status.shards != status.shards;
    peer.status = status;
    peer.status_sent_at = sent_at;
    drop(peers);
    if should_notify {
        node.notify_peer_change();
    }
}

/// Stores the room that the peer `name` sent at `sent_at`. An update that was read late does not replace
/// a newer one from another connection.
pub fn apply_room(
    node: &node_state::NodeState,
    name: &str,
    room: pool_room::PoolRoom,
    sent_at: time::Duration,
) {
    if let Some(peer) = node.peers().get_mut(name)
        && peer.room_sent_at <= sent_at + message_delay::MAX_OFFER_DELAY
    {
        peer.room = Some(room);
        peer.room_sent_at = sent_at;
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
