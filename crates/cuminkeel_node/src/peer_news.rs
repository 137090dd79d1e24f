//! What peers say, taken in.

use std::sync::Arc;

use crate::{link_frame, link_keeper, node_state};

/// Takes in what a peer said of itself.
pub fn note_status(node: &node_state::Node, name: &str, status: link_frame::PeerStatus) {
    node.pool.note_epoch(status.epoch);
    let mut peers = node.peers();
    let Some(peer) = peers.get_mut(name) else {
        return;
    };
    let changed = peer.status.leaving != status.leaving
        || (peer.status.held_servers == 0) != (status.held_servers == 0)
        || peer.status.shards != status.shards;
    peer.status = status;
    peer.heard_at = node.now();
    drop(peers);
    if changed {
        node.note_peer_change();
    }
}

/// Takes in who leads by what a peer said, and dials those that are new.
pub fn note_leaders(node: &Arc<node_state::Node>, name: &str, change: link_frame::LeaderChange) {
    if let Some(peer) = node.peers().get_mut(name) {
        peer.leaders
            .retain(|leader| !change.removed.contains(leader));
        for leader in &change.added {
            if !peer.leaders.contains(&leader.name) {
                peer.leaders.push(Arc::clone(&leader.name));
            }
        }
    }
    for leader in change.added {
        let known = node
            .peers()
            .get(&leader.name)
            .is_some_and(|peer| peer.hello.boot == leader.boot);
        if !known {
            node_state::learn_peer(node, leader);
        }
    }
    link_keeper::plan_links(node);
    node.note_peer_change();
}
