//! What a link carries only when it has changed.

use std::sync::Arc;

use crate::{link_frame, node_state};

/// What was sent over one link.
#[derive(Debug, Default)]
pub struct LinkNews {
    config_sent: u64,
    leaders_sent: Vec<Arc<str>>,
}

impl LinkNews {
    /// The configuration, for a peer that has an older one.
    pub fn config(
        &mut self,
        node: &node_state::Node,
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

    /// The peers that lead, for a new link.
    pub fn first_leaders(&mut self, node: &node_state::Node) -> link_frame::LinkFrame {
        let leaders = node.peers().leaders(node.now());
        self.leaders_sent = names(&leaders);
        link_frame::LinkFrame::Leaders(leaders)
    }

    /// The peers that lead, if they are others than before.
    pub fn leaders(&mut self, node: &node_state::Node) -> Option<link_frame::LinkFrame> {
        let leaders = node.peers().leaders(node.now());
        if names(&leaders) == self.leaders_sent {
            return None;
        }
        self.leaders_sent = names(&leaders);
        Some(link_frame::LinkFrame::Leaders(leaders))
    }
}

fn names(leaders: &[link_frame::PeerHello]) -> Vec<Arc<str>> {
    leaders
        .iter()
        .map(|leader| Arc::clone(&leader.name))
        .collect()
}
