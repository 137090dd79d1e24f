//! Which process of a failure domain owns its servers.
//!
//! Processes need not agree: a server obeys the process that claimed it last.
//! These rules keep disagreements rare and make them settle.

use std::{sync::Arc, time};

use serde::{Deserialize, Serialize};

/// How long a member's entitlement to its servers is respected after it claimed
/// one while silent: two cuts' worth of the suspicion time of links.
const YIELD_TIME: time::Duration = time::Duration::from_secs(4);

/// A process of the failure domain, as seen by one of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainMember {
    /// Name of its VM.
    pub name: Arc<str>,
    /// Share of a core that it has, in thousandths.
    pub cpu_millis: u32,
    /// Whether it answers, or is this process.
    pub reachable: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Servers that it says it holds.
    pub held_servers: u32,
}

/// The member that owns the domain's servers, among those that can be reached.
///
/// The one that holds the most servers stays in office; without any, the one
/// with the most processor is chosen, and the first name among equals. One that is
/// about to stop leads only while nobody else can.
pub fn choose_leader(members: &[DomainMember]) -> Option<&Arc<str>> {
    members
        .iter()
        .filter(|member| member.reachable)
        .max_by_key(|member| {
            (
                !member.leaving,
                member.held_servers,
                member.cpu_millis,
                std::cmp::Reverse(Arc::clone(&member.name)),
            )
        })
        .map(|member| &member.name)
}

/// The member that gets `server` when the members can't reach each other
/// (highest random weight).
pub fn entitled_member<'a>(
    server: &str,
    members: impl IntoIterator<Item = &'a Arc<str>>,
) -> Option<&'a Arc<str>> {
    members.into_iter().max_by_key(|member| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(server.as_bytes());
        hasher.update(&[0]);
        hasher.update(member.as_bytes());
        *hasher.finalize().as_bytes()
    })
}

/// Members that can't be reached but have claimed their servers back.
#[derive(Clone, Debug, Default)]
pub struct YieldedShares {
    until: std::collections::BTreeMap<Arc<str>, time::Duration>,
}

impl YieldedShares {
    /// `member` has claimed one of its servers at `now`.
    pub fn note_claim(&mut self, member: &Arc<str>, now: time::Duration) {
        self.until.insert(Arc::clone(member), now + YIELD_TIME);
    }

    /// `member` can be reached again and takes part in the choice of a leader.
    pub fn forget(&mut self, member: &str) {
        self.until.remove(member);
    }

    /// Whether the servers of `member` are left to it.
    pub fn is_yielded(&self, member: &str, now: time::Duration) -> bool {
        self.until.get(member).is_some_and(|until| now < *until)
    }
}
