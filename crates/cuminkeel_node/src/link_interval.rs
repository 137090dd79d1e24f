//! Intervals at which the two ends of a link exchange their statuses.

use std::time;

/// Status interval to the only leader of the local failure domain, and among its processes
/// while it has no leader. The loss of a leader is detected after four intervals.
const LOCAL_LEADER_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Status interval to one of several leaders of the local failure domain. It is longer than
/// for an only leader because the others serve while one is lost, and because a process
/// has a link to each of them.
const LOCAL_SHARD_LEADER_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Status interval to other processes of the local failure domain while it has a leader.
const LOCAL_STANDBY_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Status interval to a leader of a remote failure domain to which a job was sent recently.
const REMOTE_LEADER_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Status interval to a leader of a remote failure domain to which no job was sent recently.
const IDLE_REMOTE_LEADER_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Status interval to other processes of remote failure domains.
const REMOTE_STANDBY_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Purpose for which a process needs the statuses of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkPurpose {
    /// Choice of the local failure domain's leader, or submission of jobs to its only leader.
    Leader,
    /// Submission of jobs to one of several leaders of the local failure domain.
    ShardLeader,
    /// Submission of jobs for which the local failure domain lacks capacity.
    Spillover,
    /// None of the above; the statuses show whether the peer is reachable.
    Standby,
}

/// Returns the status interval of a link to a process of the local (`is_local`) or a remote
/// failure domain. A link `is_busy` while jobs were sent over it recently.
pub fn status_interval(is_local: bool, purpose: LinkPurpose, is_busy: bool) -> time::Duration {
    match (is_local, purpose) {
        (true, LinkPurpose::Leader) => LOCAL_LEADER_INTERVAL,
        (true, LinkPurpose::ShardLeader) => LOCAL_SHARD_LEADER_INTERVAL,
        // A peer that takes over may not hold servers yet.
        (true, LinkPurpose::Spillover | LinkPurpose::Standby) if is_busy => {
            LOCAL_SHARD_LEADER_INTERVAL
        }
        (true, LinkPurpose::Spillover | LinkPurpose::Standby) => LOCAL_STANDBY_INTERVAL,
        (false, _) if is_busy => REMOTE_LEADER_INTERVAL,
        (false, LinkPurpose::Standby) => REMOTE_STANDBY_INTERVAL,
        (false, _) => IDLE_REMOTE_LEADER_INTERVAL,
    }
}
