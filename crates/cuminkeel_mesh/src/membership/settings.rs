//! Intervals and bounds of membership.

use std::time;

/// Intervals and bounds of membership. All entries of a site use the same.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Between calls of the tick.
    pub tick: time::Duration,
    /// Between heartbeats to each observer.
    pub heartbeat: time::Duration,
    /// Members of the failure domain that observe each process.
    pub observers: usize,
    /// Silence after which an observer probes, directly and through others.
    pub probe_after: time::Duration,
    /// Between probes.
    pub probe_interval: time::Duration,
    /// Members through which each probe also goes.
    pub probe_relays: usize,
    /// Silence after which an observer suspects.
    pub suspect_after: time::Duration,
    /// Time between suspicion and declaring, once a second observer suspects.
    pub confirm_after: time::Duration,
    /// Time between suspicion and declaring without a second observer.
    pub declare_after: time::Duration,
    /// Between digests to a random member of the same domain and of another.
    pub digest: time::Duration,
    /// Between introductions to seeds that are not members.
    pub seed_interval: time::Duration,
    /// Silence after which another failure domain counts as unreachable.
    pub unreachable_after: time::Duration,
    /// Silence after which the members of an unreachable domain are forgotten.
    pub forget_after: time::Duration,
    /// Time for which gone processes are remembered.
    pub tombstone: time::Duration,
    /// Gap between two ticks after which the process asks whether it is a member.
    pub pause_gap: time::Duration,
    /// Time after which a process that nobody answers goes on alone.
    pub alone_after: time::Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            tick: time::Duration::from_millis(50),
            heartbeat: time::Duration::from_millis(200),
            observers: 3,
            probe_after: time::Duration::from_millis(450),
            probe_interval: time::Duration::from_millis(100),
            probe_relays: 2,
            suspect_after: time::Duration::from_secs(1),
            confirm_after: time::Duration::from_millis(200),
            declare_after: time::Duration::from_millis(500),
            digest: time::Duration::from_secs(1),
            seed_interval: time::Duration::from_millis(500),
            unreachable_after: time::Duration::from_secs(10),
            forget_after: time::Duration::from_mins(10),
            tombstone: time::Duration::from_hours(24),
            pause_gap: time::Duration::from_millis(600),
            alone_after: time::Duration::from_millis(1_500),
        }
    }
}
