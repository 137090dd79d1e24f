//! What a link carries only when it has changed.

use std::{collections::BTreeMap, sync::Arc};

use crate::{link_frame, node_state};

/// What was sent over one link.
#[derive(Debug, Default)]
pub struct LinkDelta {
    config_sent: u64,
    /// Leaders that the peer knows of, with the numbers of their starts.
    leaders_sent: BTreeMap<Arc<str>, u64>,
}

impl LinkDelta {
    /// The configuration, for a peer that has an older one.
    pub fn newer_config(
        &mut self,
        node: &node_state::NodeState,
        status: &link_frame::PeerStatus,
    ) -> Option<link_frame::LinkFrame> {
        let current = node
            .config()
            .filter(|current| current.config.version > status.config_version)
            .filter(|current| current.config.version > self.config_sent)?;
        self.config_sent = current.config.version;
        Some(link_frame::LinkFrame::Config {
            body: current.body.to_vec(),
        })
    }

    /// How the peers that lead have changed, if they have.
    pub fn leader_change(&mut self, node: &node_state::NodeState) -> Option<link_frame::LinkFrame> {
        let mut leaders = node.peers().leaders(node.now());
        let current: BTreeMap<Arc<str>, u64> = leaders
            .iter()
            .map(|leader| (Arc::clone(&leader.name), leader.boot))
            .collect();
        if current == self.leaders_sent {
            return None;
        }
        leaders.retain(|leader| self.leaders_sent.get(&leader.name) != Some(&leader.boot));
        let removed = self
            .leaders_sent
            .keys()
            .filter(|name| !current.contains_key(*name))
            .cloned()
            .collect();
        self.leaders_sent = current;
        Some(link_frame::LinkFrame::Leaders(link_frame::LeaderChange {
            added: leaders,
            removed,
        }))
    }
}
