//! Configurations, leaders and room, which are sent over a connection only when they have changed.

use std::{collections::BTreeMap, sync::Arc};

use cuminkeel_dispatch::{leadership, pool_room};

use crate::{link_frame, node_state};

/// Configuration version, leaders and room that were last sent over one connection.
#[derive(Debug, Default)]
pub struct SentState {
    sent_config_version: u64,
    /// Names of the leaders that the peer was told of, with their boot numbers.
    sent_leaders: BTreeMap<Arc<str>, u64>,
    /// Room in the pool of this process that was last sent; the default before the first frame.
    room: pool_room::PoolRoom,
}

impl SentState {
    /// Returns the configuration in force if it is newer than that of the peer and than the
    /// one that was last sent.
    pub fn newer_config(
        &mut self,
        node: &node_state::NodeState,
        status: &link_frame::PeerStatus,
    ) -> Option<link_frame::LinkFrame> {
        let current = node
            .config()
            .filter(|current| current.config.version > status.config_version)
            .filter(|current| current.config.version > self.sent_config_version)?;
        self.sent_config_version = current.config.version;
        Some(link_frame::LinkFrame::Config {
            body: current.body.to_vec(),
        })
    }

    /// Returns the room in the pool of this process if it has changed since the last call and the peer
    /// may offer it jobs for which another pool is the home pool.
    pub fn room_change(
        &mut self,
        node: &node_state::NodeState,
        peer_domain: &str,
    ) -> Option<link_frame::LinkFrame> {
        let shards = node.own_status().shards;
        let has_other_leaders = shards != leadership::ShardSet::ALL;
        let room = node.pool_room();
        let is_wanted = *peer_domain != *node.hello.failure_domain || has_other_leaders;
        if !is_wanted || room == self.room {
            return None;
        }
        self.room = room;
        Some(link_frame::LinkFrame::Room(room))
    }

    /// Returns the change of the leaders among the peers since the last call, if there is one.
    ///
    /// A leader that has restarted counts as added.
    pub fn leader_change(&mut self, node: &node_state::NodeState) -> Option<link_frame::LinkFrame> {
        let mut leaders = node.peers().leaders(node.now());
        let current: BTreeMap<Arc<str>, u64> = leaders
            .iter()
            .map(|leader| (Arc::clone(&leader.name), leader.boot))
            .collect();
        if current == self.sent_leaders {
            return None;
        }
        leaders.retain(|leader| self.sent_leaders.get(&leader.name) != Some(&leader.boot));
        let removed = self
            .sent_leaders
            .keys()
            .filter(|name| !current.contains_key(*name))
            .cloned()
            .collect();
        self.sent_leaders = current;
        Some(link_frame::LinkFrame::Leaders(link_frame::LeaderChange {
            added: leaders,
            removed,
        }))
    }
}
