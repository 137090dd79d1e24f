//! Which process of a failure domain owns its servers.
//!
//! A domain's servers are divided into shards. One leader owns them all while it can serve
//! them; in a large domain several leaders own some each.
//!
//! Processes need not agree: a server obeys the process that claimed it last.
//! These rules keep disagreements rare and make them settle.

use std::{cmp, sync::Arc, time};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// How long a member's entitlement to its servers is respected after it claimed
/// one while silent: two cuts' worth of the suspicion time of links.
const YIELD_TIME: time::Duration = time::Duration::from_secs(4);

/// Servers that one leader serves: a VM of half a core is at a third of it with 333 servers
/// and at its limit with 1,000 (`docs/CAPACITY.md`).
const SERVERS_PER_LEADER: usize = 150;
/// Servers for each leader in office below which a domain does without one of them. Apart
/// from what calls for another one, so that servers that come and go move no shards.
const FEWEST_PER_LEADER: usize = 130;
/// Servers for each leader in office at which a domain takes another one.
const MOST_PER_LEADER: usize = 200;
/// Shards of a domain: more than its leaders, so that they can be divided evenly.
const SHARD_COUNT: u8 = 16;

/// Shards of a failure domain's servers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardSet(u16);

impl ShardSet {
    /// All shards of a domain.
    pub const ALL: Self = Self(u16::MAX);

    /// Whether there are none.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether the shard of a server or a job, by its id, is one of them.
    pub fn contains_id(self, id: &str) -> bool {
        self == Self::ALL || self.contains(shard_of(id))
    }

    /// Whether all of `others` are among them.
    pub fn covers(self, others: Self) -> bool {
        others.0 & !self.0 == 0
    }

    /// These and `others`.
    #[must_use]
    pub fn union(self, others: Self) -> Self {
        Self(self.0 | others.0)
    }

    /// Whether `shard` is one of them.
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

/// Shard of a server or a job, by its id.
pub fn shard_of(id: &str) -> u8 {
    blake3::hash(id.as_bytes()).as_bytes()[0] % SHARD_COUNT
}

/// Leaders that a domain with `listed_servers` needs while `in_office` lead.
pub fn required_leader_count(listed_servers: usize, in_office: usize) -> usize {
    let fewest = listed_servers.div_ceil(MOST_PER_LEADER);
    let most = listed_servers.div_ceil(FEWEST_PER_LEADER);
    let count = match in_office {
        0 => listed_servers.div_ceil(SERVERS_PER_LEADER),
        _ => in_office.clamp(fewest, most.max(fewest)),
    };
    count.clamp(1, usize::from(SHARD_COUNT))
}

/// Members that lead shards, as far as they can be reached.
pub fn acting_leader_count(members: &[DomainMember]) -> usize {
    members
        .iter()
        .filter(|member| member.reachable && !member.shards.is_empty())
        .count()
}

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
    /// Shards that it says it leads.
    pub shards: ShardSet,
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
        .max_by(|one, other| fitness(one).cmp(&fitness(other)))
        .map(|member| &member.name)
}

fn fitness(member: &DomainMember) -> (bool, u32, u32, cmp::Reverse<&str>) {
    (
        !member.leaving,
        member.held_servers,
        member.cpu_millis,
        cmp::Reverse(&member.name),
    )
}

/// The member whose pool has the servers of `shard`, among those that can be reached.
pub fn shard_leader(members: &[DomainMember], shard: u8) -> Option<&Arc<str>> {
    members
        .iter()
        .filter(|member| member.reachable && member.shards.contains(shard))
        .max_by(|one, other| fitness(one).cmp(&fitness(other)))
        .map(|member| &member.name)
        .or_else(|| choose_leader(members))
}

/// Shards that the member `name` should lead when the domain has `count` leaders.
///
/// A leader keeps the shards that it has up to its even share, so that the loss of one
/// leader moves no shards but its own.
pub fn shards_to_lead(members: &[DomainMember], count: usize, name: &str) -> ShardSet {
    let mut leaders: SmallVec<[&DomainMember; 8]> =
        members.iter().filter(|member| member.reachable).collect();
    leaders.sort_by(|one, other| fitness(other).cmp(&fitness(one)));
    leaders.truncate(count.max(1));
    let Ok(leader_total) = u32::try_from(leaders.len()) else {
        return ShardSet::default();
    };
    if leader_total == 0 {
        return ShardSet::default();
    }
    let share = u32::from(SHARD_COUNT).div_ceil(leader_total);
    let mut led: SmallVec<[ShardSet; 8]> = SmallVec::from_elem(ShardSet::default(), leaders.len());
    let mut vacant: SmallVec<[u8; 16]> = SmallVec::new();
    for shard in 0..SHARD_COUNT {
        let holder = leaders
            .iter()
            .zip(&mut led)
            .find(|(leader, shards)| leader.shards.contains(shard) && shards.len() < share);
        match holder {
            Some((_, shards)) => shards.insert(shard),
            None => vacant.push(shard),
        }
    }
    for shard in vacant {
        if let Some(shards) = led.iter_mut().min_by_key(|shards| shards.len()) {
            shards.insert(shard);
        }
    }
    leaders
        .iter()
        .zip(led)
        .find(|(leader, _)| &*leader.name == name)
        .map_or_else(ShardSet::default, |(_, shards)| shards)
}

/// The member that gets `server` when the members can't reach each other
/// (highest random weight).
pub fn rendezvous_member<'a>(
    server: &str,
    members: impl IntoIterator<Item = &'a Arc<str>>,
) -> Option<&'a Arc<str>> {
    members
        .into_iter()
        .max_by_key(|member| rendezvous_weight(server, member))
}

/// Weight of `member` for `key`; independent for each pair.
pub(crate) fn rendezvous_weight(key: &str, member: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.as_bytes());
    *hasher.finalize().as_bytes()
}

/// Members that can't be reached but have claimed their servers back.
#[derive(Clone, Debug, Default)]
pub struct ReclaimingMembers {
    until: std::collections::BTreeMap<Arc<str>, time::Duration>,
}

impl ReclaimingMembers {
    /// `member` has claimed one of its servers at `now`.
    pub fn record_reclaim(&mut self, member: &Arc<str>, now: time::Duration) {
        self.until.insert(Arc::clone(member), now + YIELD_TIME);
    }

    /// `member` can be reached again and takes part in the choice of a leader.
    pub fn remove(&mut self, member: &str) {
        self.until.remove(member);
    }

    /// Whether no member has claimed servers back.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Whether the servers of `member` are left to it.
    pub fn has_reclaimed(&self, member: &str, now: time::Duration) -> bool {
        self.until.get(member).is_some_and(|until| now < *until)
    }
}
