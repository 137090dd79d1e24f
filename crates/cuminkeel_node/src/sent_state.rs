//! Configurations, leaders, evacuations and room, which are sent over a connection only when they have
//! changed.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use cuminkeel_dispatch::{evacuation, leadership, pool_room};

use crate::{link_frame, loss_news, node_state};

/// Configuration version, leaders, evacuated failure domains and room that were last sent over one
/// connection.
#[derive(Debug, Default)]
pub struct SentState {
    config_version: u64,
    /// Names of the leaders that the peer was told of, with their boot numbers.
    leaders: BTreeMap<Arc<str>, u64>,
    /// Evacuated failure domains that the peer was told of, or that it reported itself; `None` before
    /// the first frame.
    evacuations: Option<BTreeSet<Arc<str>>>,
    /// Room in the pool of this process that was last sent; the default before the first frame.
    room: pool_room::PoolRoom,
    /// Position up to which losses of runs were sent; `None` before the first frame.
    losses: Option<loss_news::NewsPosition>,
}

impl SentState {
    /// Returns what has changed since the last call, for a status to `peer`.
    pub fn news(
        &mut self,
        node: &node_state::NodeState,
        peer: &str,
        peer_domain: &str,
    ) -> impl Iterator<Item = link_frame::LinkFrame> + use<> {
        [
            self.room_change(node, peer_domain),
            self.leader_change(node),
            self.evacuation_change(node),
            self.new_losses(node, peer),
        ]
        .into_iter()
        .flatten()
    }

    /// Returns what has changed since the last call and `peer` should learn before the next status.
    pub fn urgent_news(
        &mut self,
        node: &node_state::NodeState,
        peer: &str,
    ) -> impl Iterator<Item = link_frame::LinkFrame> + use<> {
        [self.evacuation_change(node), self.new_losses(node, peer)]
            .into_iter()
            .flatten()
    }

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
            .filter(|current| current.config.version > self.config_version)?;
        self.config_version = current.config.version;
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

    /// Returns the losses of runs that this process has learnt of since the last call. The first frame is
    /// sent even if there are none: it shows the peer that this release decodes them.
    pub fn new_losses(
        &mut self,
        node: &node_state::NodeState,
        peer: &str,
    ) -> Option<link_frame::LinkFrame> {
        let is_leader = !node.own_status().shards.is_empty();
        let is_first = self.losses.is_none();
        let position = self.losses.get_or_insert_default();
        let losses = node.loss_news().next_losses(position, peer, is_leader);
        (is_first || !losses.is_empty()).then_some(link_frame::LinkFrame::LostRuns(losses))
    }

    /// Returns the state of evacuations if its set has changed since the last call, or at the first
    /// call.
    pub fn evacuation_change(
        &mut self,
        node: &node_state::NodeState,
    ) -> Option<link_frame::LinkFrame> {
        let state = node.evacuations();
        if self.evacuations.as_ref() == Some(&state.domains) {
            return None;
        }
        self.evacuations = Some(state.domains.clone());
        Some(link_frame::LinkFrame::Evacuations(state))
    }

    /// Adopts the state of evacuations that the peer sent if it is newer than the known one. Returns
    /// the frame that corrects the peer if its state is older and differs.
    pub fn apply_peer_evacuations(
        &mut self,
        node: &node_state::NodeState,
        peer_state: evacuation::EvacuationState,
    ) -> Option<link_frame::LinkFrame> {
        node.adopt_peer_evacuations(peer_state.clone());
        let state = node.evacuations();
        let is_older = peer_state.as_of < state.as_of;
        // Two snapshots of one offset may differ, as both were read in pages. Neither process has
        // anything to tell the other until one of them reads on.
        if is_older || peer_state == state {
            self.evacuations = Some(peer_state.domains);
        }
        if is_older {
            self.evacuation_change(node)
        } else {
            None
        }
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
        if current == self.leaders {
            return None;
        }
        leaders.retain(|leader| self.leaders.get(&leader.name) != Some(&leader.boot));
        let removed = self
            .leaders
            .keys()
            .filter(|name| !current.contains_key(*name))
            .cloned()
            .collect();
        self.leaders = current;
        Some(link_frame::LinkFrame::Leaders(link_frame::LeaderChange {
            added: leaders,
            removed,
        }))
    }
}
