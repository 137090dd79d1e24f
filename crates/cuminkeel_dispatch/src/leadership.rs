//! Choice of the leaders of a failure domain, which hold its servers.
//!
//! A domain's servers are divided into shards. One leader holds all of them as long as it
//! can serve them; in a large domain several leaders hold some shards each.
//!
//! The processes do not need to agree: a server obeys the process with the highest fencing
//! token. These rules make disagreements rare and let the processes converge again.
//!
//! While members of a domain can't reach each other, several of them may lead the same shards
//! and claim the same servers. Rendezvous hashing entitles one member to each server. That
//! member claims the server back after another one claimed it (a reclaim), and the others then
//! leave it all servers to which it is entitled, for `RECLAIM_VALIDITY`.

use std::{cmp, sync::Arc, time};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Time for which an unreachable member keeps its servers after it claimed one of them back.
const RECLAIM_VALIDITY: time::Duration = time::Duration::from_secs(4);

/// Servers per leader when a domain without an acting leader chooses its leaders: well below
/// the 333 servers that use a third of a VM with half a core, and the 1,000 that use all of it
/// (`docs/CAPACITY.md`).
const TARGET_SERVERS_PER_LEADER: usize = 150;
/// Maximum number of servers per remaining leader when a domain gives up leaders. The distance
/// to `MAX_SERVERS_PER_LEADER` is hysteresis: servers that come and go do not move shards.
const MAX_SERVERS_AFTER_REDUCTION: usize = 130;
/// Servers per acting leader above which a domain adds leaders.
const MAX_SERVERS_PER_LEADER: usize = 200;
/// Number of shards of a domain, one bit of `ShardSet` each, and maximum number of its leaders.
/// Most domains have fewer leaders than shards, so that the shards can be divided evenly.
const SHARD_COUNT: u8 = 16;

/// Set of shards of a failure domain.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardSet(u16);

impl ShardSet {
    /// All shards of a domain.
    pub const ALL: Self = Self(u16::MAX);

    /// Whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether the set contains the shard of the server or job `id`.
    pub fn contains_id(self, id: &str) -> bool {
        self == Self::ALL || self.contains(shard_of(id))
    }

    /// Whether the set contains all of `others`.
    pub fn covers(self, others: Self) -> bool {
        others.0 & !self.0 == 0
    }

    /// Returns the union of the set and `others`.
    #[must_use]
    pub fn union(self, others: Self) -> Self {
        Self(self.0 | others.0)
    }

    /// Whether the set contains `shard`.
    pub fn contains(self, shard: u8) -> bool {
        self.0 & (1 << (shard % SHARD_COUNT)) != 0
    }

    fn insert(&mut self, shard: u8) {
        self.0 |= 1 << (shard % SHARD_COUNT);
    }

    fn len(self) -> u32 {
        self.0.count_ones()
    }
}

/// Returns the shard of the server or job `id`.
pub fn shard_of(id: &str) -> u8 {
    blake3::hash(id.as_bytes()).as_bytes()[0] % SHARD_COUNT
}

/// Returns a hash of the server or job `id`, from which [`shard_of_hash`] derives its shard.
pub(crate) fn id_hash(id: &str) -> u64 {
    let mut first_bytes = [0; 8];
    blake3::Hasher::new()
        .update(id.as_bytes())
        .finalize_xof()
        .fill(&mut first_bytes);
    u64::from_le_bytes(first_bytes)
}

/// Returns the shard of the id with the hash `id_hash`.
pub(crate) fn shard_of_hash(id_hash: u64) -> u8 {
    id_hash.to_le_bytes()[0] % SHARD_COUNT
}

/// Returns the number of leaders that a domain with `registered_servers` needs while it has
/// `acting_leaders` acting leaders.
pub fn required_leader_count(registered_servers: usize, acting_leaders: usize) -> usize {
    let min_count = registered_servers.div_ceil(MAX_SERVERS_PER_LEADER);
    let max_count = registered_servers.div_ceil(MAX_SERVERS_AFTER_REDUCTION);
    let count = match acting_leaders {
        0 => registered_servers.div_ceil(TARGET_SERVERS_PER_LEADER),
        _ => acting_leaders.clamp(min_count, max_count.max(min_count)),
    };
    count.clamp(1, usize::from(SHARD_COUNT))
}

/// Returns the number of reachable members that lead shards.
pub fn acting_leader_count(members: &[DomainMember]) -> usize {
    members
        .iter()
        .filter(|member| member.reachable && !member.shards.is_empty())
        .count()
}

/// Process of a failure domain, as seen by a process of the domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainMember {
    /// Name of the process's VM.
    pub name: Arc<str>,
    /// Processor share of the process, in thousandths of a core.
    pub cpu_millis: u32,
    /// Whether the member is the local process, or can be expected to respond to it.
    pub reachable: bool,
    /// Whether the member is about to stop.
    pub leaving: bool,
    /// Number of servers that the member reports to hold.
    pub held_servers: u32,
    /// Shards that the member reports to lead.
    pub shards: ShardSet,
}

/// Returns the first-ranked reachable member: the leader of a domain that needs only one, and
/// the substitute for shards that no member leads.
///
/// A member that is about to stop ranks behind all others. Then the member that holds the most
/// servers ranks first, so that it remains the leader, then the one with the largest processor
/// share; ties go to the first name.
pub fn choose_leader(members: &[DomainMember]) -> Option<&Arc<str>> {
    members
        .iter()
        .filter(|member| member.reachable)
        .max_by(|one, other| leader_rank(one).cmp(&leader_rank(other)))
        .map(|member| &member.name)
}

/// Returns the rank of `member` in the choice of leaders; the greatest rank is first.
fn leader_rank(member: &DomainMember) -> (bool, u32, u32, cmp::Reverse<&str>) {
    (
        !member.leaving,
        member.held_servers,
        member.cpu_millis,
        cmp::Reverse(&member.name),
    )
}

/// Returns the first-ranked reachable member that leads `shard`, or the first-ranked of all
/// reachable members if none leads it.
pub fn shard_leader(members: &[DomainMember], shard: u8) -> Option<&Arc<str>> {
    members
        .iter()
        .filter(|member| member.reachable && member.shards.contains(shard))
        .max_by(|one, other| leader_rank(one).cmp(&leader_rank(other)))
        .map(|member| &member.name)
        .or_else(|| choose_leader(members))
}

/// Returns the shards that the member `name` should lead when the domain has `count` leaders.
///
/// A leader keeps the shards that it leads up to an even share, so that the loss of a leader
/// moves only the shards of that leader.
pub fn shards_to_lead(members: &[DomainMember], count: usize, name: &str) -> ShardSet {
    let mut leaders: SmallVec<[&DomainMember; 8]> =
        members.iter().filter(|member| member.reachable).collect();
    leaders.sort_by(|one, other| leader_rank(other).cmp(&leader_rank(one)));
    leaders.truncate(count.max(1));
    let Ok(leader_count) = u32::try_from(leaders.len()) else {
        return ShardSet::default();
    };
    if leader_count == 0 {
        return ShardSet::default();
    }
    let max_shards = u32::from(SHARD_COUNT).div_ceil(leader_count);
    let mut assigned: SmallVec<[ShardSet; 8]> =
        SmallVec::from_elem(ShardSet::default(), leaders.len());
    let mut unassigned: SmallVec<[u8; 16]> = SmallVec::new();
    for shard in 0..SHARD_COUNT {
        let current_leader = leaders
            .iter()
            .zip(&mut assigned)
            .find(|(leader, shards)| leader.shards.contains(shard) && shards.len() < max_shards);
        match current_leader {
            Some((_, shards)) => shards.insert(shard),
            None => unassigned.push(shard),
        }
    }
    for shard in unassigned {
        if let Some(shards) = assigned.iter_mut().min_by_key(|shards| shards.len()) {
            shards.insert(shard);
        }
    }
    leaders
        .iter()
        .zip(assigned)
        .find(|(leader, _)| &*leader.name == name)
        .map_or_else(ShardSet::default, |(_, shards)| shards)
}

/// Returns the member that is entitled to `server` while members can't reach each other
/// (rendezvous hashing: the member with the highest random weight).
pub fn rendezvous_member<'a>(
    server: &str,
    members: impl IntoIterator<Item = &'a Arc<str>>,
) -> Option<&'a Arc<str>> {
    members
        .into_iter()
        .max_by_key(|member| rendezvous_weight(server, member))
}

/// Returns the weight of `member` for `key`; weights of different pairs are independent.
pub(crate) fn rendezvous_weight(key: &str, member: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.as_bytes());
    *hasher.finalize().as_bytes()
}

/// Unreachable members that recently claimed back a server to which they are entitled.
#[derive(Clone, Debug, Default)]
pub struct ReclaimingMembers {
    expires_at: std::collections::BTreeMap<Arc<str>, time::Duration>,
}

impl ReclaimingMembers {
    /// Records that the unreachable `member` claimed one of its servers back at `now`.
    pub fn record_reclaim(&mut self, member: &Arc<str>, now: time::Duration) {
        self.expires_at
            .insert(Arc::clone(member), now + RECLAIM_VALIDITY);
    }

    /// Removes `member`, which is reachable again and takes part in the choice of a leader.
    pub fn remove(&mut self, member: &str) {
        self.expires_at.remove(member);
    }

    /// Whether no member is recorded.
    pub fn is_empty(&self) -> bool {
        self.expires_at.is_empty()
    }

    /// Whether `member` claimed servers back recently, so that others leave them to it.
    pub fn has_reclaimed(&self, member: &str, now: time::Duration) -> bool {
        self.expires_at
            .get(member)
            .is_some_and(|expires_at| now < *expires_at)
    }
}
