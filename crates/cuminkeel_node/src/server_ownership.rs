//! Which servers this process should hold, from what it knows of its peers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time,
};

use cuminkeel_dispatch::leadership;

/// Pause before a server is claimed back from a peer that can be reached: its
/// view of the leader is about to become the same.
const DISAGREEMENT_PAUSE: time::Duration = time::Duration::from_millis(300);
/// Pause before this process claims back a server that it is entitled to.
const RECLAIM_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Ownership of the servers of this process's failure domain.
#[derive(Debug)]
pub struct ServerOwnership {
    self_name: Arc<str>,
    yields: leadership::ReclaimingMembers,
    held_off: BTreeMap<Arc<str>, time::Duration>,
}

impl ServerOwnership {
    /// The view of the process on VM `self_name`.
    pub fn new(self_name: Arc<str>) -> Self {
        Self {
            self_name,
            yields: leadership::ReclaimingMembers::default(),
            held_off: BTreeMap::new(),
        }
    }

    /// Servers of `listed` in the shards that this process leads, but for those that others
    /// are entitled to in a cut.
    pub fn wanted_servers<'a>(
        &mut self,
        members: &[leadership::DomainMember],
        shards: leadership::ShardSet,
        listed: impl Iterator<Item = &'a Arc<str>>,
        now: time::Duration,
    ) -> BTreeSet<Arc<str>> {
        for member in members.iter().filter(|member| member.reachable) {
            self.yields.remove(&member.name);
        }
        self.held_off.retain(|_, until| now < *until);
        listed
            .filter(|server| shards.contains_id(server))
            .filter(|server| !self.held_off.contains_key(*server))
            .filter(|server| {
                // Hashes of all members for each server are dear, and seldom needed.
                self.yields.is_empty()
                    || leadership::rendezvous_member(
                        server,
                        members.iter().map(|member| &member.name),
                    )
                    .is_none_or(|member| !self.yields.has_reclaimed(member, now))
            })
            .cloned()
            .collect()
    }

    /// Another process has claimed `server`.
    pub fn record_lost_server(
        &mut self,
        server: &Arc<str>,
        members: &[leadership::DomainMember],
        now: time::Duration,
    ) {
        let entitled =
            leadership::rendezvous_member(server, members.iter().map(|member| &member.name));
        let member = members.iter().find(|member| Some(&member.name) == entitled);
        let pause = match member {
            Some(member) if member.name == self.self_name => RECLAIM_PAUSE,
            Some(member) if !member.reachable => {
                self.yields.record_reclaim(&member.name, now);
                return;
            }
            _ => DISAGREEMENT_PAUSE,
        };
        self.held_off.insert(Arc::clone(server), now + pause);
    }
}
