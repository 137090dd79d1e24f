//! How often the two ends of a link tell each other their states.

use std::time;

/// Time between states to a leader of the own failure domain, or among its processes
/// without one: a leader's loss is noticed in four of these.
const LEADER_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Time between states to one of several leaders of the own failure domain: others serve
/// meanwhile, and a process has a link to each.
const SHARD_LEADER_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Time between other states inside a failure domain that has a leader.
const FOLLOWER_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time between states to a leader of another failure domain, whose room is asked for.
const FAR_LEADER_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// The same while no job was sent to it for some time.
const IDLE_FAR_LEADER_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time between states to other processes of other failure domains.
const FAR_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// What depends on the states that a link carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkPurpose {
    /// The choice of a leader, or its jobs.
    Leader,
    /// Jobs of some shards.
    ShardLeader,
    /// Jobs that the own failure domain has no room for.
    Spillover,
    /// Nothing for now.
    Standby,
}

/// Time between states on a link.
pub fn status_interval(near: bool, usage: LinkPurpose, busy: bool) -> time::Duration {
    match (near, usage) {
        (true, LinkPurpose::Leader) => LEADER_INTERVAL,
        (true, LinkPurpose::ShardLeader) => SHARD_LEADER_INTERVAL,
        (true, LinkPurpose::Spillover | LinkPurpose::Standby) => FOLLOWER_INTERVAL,
        (false, LinkPurpose::Standby) => FAR_INTERVAL,
        (false, _) if busy => FAR_LEADER_INTERVAL,
        (false, _) => IDLE_FAR_LEADER_INTERVAL,
    }
}
