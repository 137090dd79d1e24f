//! What a process may think of its own membership.

use std::time;

use cuminkeel_types::{names, time as clock};

use super::settings;

const ASK_INTERVAL: time::Duration = time::Duration::from_millis(100);
const PARTIAL_ANSWER_WAIT: time::Duration = time::Duration::from_millis(400);

/// Whether this process may act as a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberStanding {
    /// It has just started and has heard nobody yet.
    Joining,
    /// It is a member as far as it can know.
    Confirmed,
    /// It was paused and waits to hear whether it was thought dead.
    Unsure,
    /// It was declared gone or replaced, and must not act any more.
    Rejected,
    /// It has left.
    Stopped,
}

/// Keeps the standing and, after a pause, the answers of peers.
#[derive(Clone, Debug)]
pub struct StandingMonitor {
    standing: MemberStanding,
    since: clock::TimePoint,
    asked_at: clock::TimePoint,
    pending: smallvec::SmallVec<[names::IncarnationId; 8]>,
    confirmations: usize,
}

impl StandingMonitor {
    /// The standing of a process that starts.
    pub fn new(now: clock::TimePoint) -> Self {
        Self {
            standing: MemberStanding::Joining,
            since: now,
            asked_at: clock::TimePoint::ZERO,
            pending: smallvec::SmallVec::new(),
            confirmations: 0,
        }
    }

    /// The standing.
    pub const fn standing(&self) -> MemberStanding {
        self.standing
    }

    /// Time since the standing last changed.
    pub const fn age(&self, now: clock::TimePoint) -> time::Duration {
        now.since(self.since)
    }

    /// Whether the process still takes part.
    pub const fn is_active(&self) -> bool {
        !matches!(
            self.standing,
            MemberStanding::Rejected | MemberStanding::Stopped
        )
    }

    /// Sets the standing.
    pub fn change(&mut self, now: clock::TimePoint, standing: MemberStanding) {
        self.standing = standing;
        self.since = now;
        self.pending.clear();
    }

    /// Starts to wait for the answers of `peers` after a pause.
    pub fn ask(
        &mut self,
        now: clock::TimePoint,
        peers: impl IntoIterator<Item = names::IncarnationId>,
    ) {
        self.change(now, MemberStanding::Unsure);
        self.asked_at = clock::TimePoint::ZERO;
        self.confirmations = 0;
        self.pending = peers.into_iter().collect();
    }

    /// Takes a peer's answer that this process is a member.
    pub fn confirm(&mut self, from: names::IncarnationId) {
        let before = self.pending.len();
        self.pending.retain(|peer| *peer != from);
        self.confirmations += before - self.pending.len();
    }

    /// Peers that are to be asked now.
    pub fn due(&mut self, now: clock::TimePoint) -> smallvec::SmallVec<[names::IncarnationId; 8]> {
        match self.standing {
            MemberStanding::Unsure if now.since(self.asked_at) >= ASK_INTERVAL => {
                self.asked_at = now;
                self.pending.clone()
            }
            _ => smallvec::SmallVec::new(),
        }
    }

    /// Confirms the process once the peers have answered, or if none does.
    pub fn settle(&mut self, now: clock::TimePoint, settings: &settings::MembershipSettings) {
        let waited = self.age(now);
        let settled = match self.standing {
            MemberStanding::Unsure if self.pending.is_empty() => true,
            MemberStanding::Unsure if self.confirmations > 0 => waited >= PARTIAL_ANSWER_WAIT,
            MemberStanding::Joining | MemberStanding::Unsure => waited >= settings.alone_after,
            _ => false,
        };
        if settled {
            self.change(now, MemberStanding::Confirmed);
        }
    }
}
