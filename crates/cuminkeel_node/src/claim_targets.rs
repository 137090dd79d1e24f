//! Choice of the servers that this process should hold, based on what it knows of its peers.
//!
//! While members of a failure domain can't reach each other, rendezvous hashing entitles one of
//! them to each server ([`leadership::rendezvous_member`]).

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time,
};

use cuminkeel_dispatch::leadership;

/// Delay before a lost server is claimed back if the member entitled to it is reachable, as it
/// and this process are about to agree on the leader.
const DISAGREEMENT_DELAY: time::Duration = time::Duration::from_millis(300);
/// Delay before a lost server is claimed back if this process is entitled to it.
const RECLAIM_DELAY: time::Duration = time::Duration::from_millis(50);

/// Selection of the servers that this process claims in its failure domain, which respects
/// recent claims of other processes.
#[derive(Debug)]
pub struct ClaimTargets {
    self_name: Arc<str>,
    reclaiming_members: leadership::ReclaimingMembers,
    claim_delayed_until: BTreeMap<Arc<str>, time::Duration>,
}

impl ClaimTargets {
    /// Creates the selection for the process on VM `self_name`.
    pub fn new(self_name: Arc<str>) -> Self {
        Self {
            self_name,
            reclaiming_members: leadership::ReclaimingMembers::default(),
            claim_delayed_until: BTreeMap::new(),
        }
    }

    /// Returns the `registered_servers` in the shards that this process leads, except for those
    /// whose claim is delayed after a loss, and the servers of unreachable entitled members that
    /// have recently claimed a server back.
    pub fn wanted_servers<'a>(
        &mut self,
        members: &[leadership::DomainMember],
        shards: leadership::ShardSet,
        registered_servers: impl Iterator<Item = &'a Arc<str>>,
        now: time::Duration,
    ) -> BTreeSet<Arc<str>> {
        for member in members.iter().filter(|member| member.reachable) {
            self.reclaiming_members.remove(&member.name);
        }
        self.claim_delayed_until.retain(|_, until| now < *until);
        registered_servers
            .filter(|server| shards.contains_id(server))
            .filter(|server| !self.claim_delayed_until.contains_key(*server))
            .filter(|server| {
                // Hashing all members for each server is expensive and seldom needed.
                self.reclaiming_members.is_empty()
                    || leadership::rendezvous_member(
                        server,
                        members.iter().map(|member| &member.name),
                    )
                    .is_none_or(|member| !self.reclaiming_members.has_reclaimed(member, now))
            })
            .cloned()
            .collect()
    }

    /// Records that another process has claimed `server`. If the entitled member is
    /// unreachable, the claim is attributed to it.
    pub fn record_lost_server(
        &mut self,
        server: &Arc<str>,
        members: &[leadership::DomainMember],
        now: time::Duration,
    ) {
        let entitled_name =
            leadership::rendezvous_member(server, members.iter().map(|member| &member.name));
        let entitled_member = members
            .iter()
            .find(|member| Some(&member.name) == entitled_name);
        let delay = match entitled_member {
            Some(member) if member.name == self.self_name => RECLAIM_DELAY,
            Some(member) if !member.reachable => {
                self.reclaiming_members.record_reclaim(&member.name, now);
                return;
            }
            _ => DISAGREEMENT_DELAY,
        };
        self.claim_delayed_until
            .insert(Arc::clone(server), now + delay);
    }
}
