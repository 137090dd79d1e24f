//! One server with its slots, learnt speed and health.

use cuminkeel_types::time as clock;
use smallvec::SmallVec;

use super::FreeKey;
use crate::{event, policy, server_health, speed_buckets, speed_model};

/// A running task counts as overdue after this many times its expected run time.
const OVERDUE_RATIO: f64 = 4.0;

/// One server.
#[derive(Debug)]
pub struct PoolServer {
    /// What the VM list says.
    pub record: event::ServerRecord,
    /// Learnt speed.
    pub speed: speed_model::ServerSpeed,
    /// Evidence of failures.
    pub health: server_health::ServerHealth,
    pub(super) listed: bool,
    pub(super) refused_leaving: bool,
    pub(super) share: u32,
    pub(super) lent: u32,
    pub(super) borrowed: u32,
    pub(super) cut: u32,
    pub(super) cut_until: clock::TimePoint,
    pub(super) refusals: u32,
    /// Slots that others use, as last reported.
    pub(super) others: u32,
    /// Free slots beyond the granted ones that are left to others.
    pub(super) margin: u32,
    /// Until when the report is believed.
    pub(super) believed_until: clock::TimePoint,
    pub(super) running: SmallVec<[RunningSlot; 4]>,
    pub(super) last_done: clock::TimePoint,
    pub(super) usable: u32,
    pub(super) bucket: speed_buckets::SpeedBucket,
    pub(super) free_key: Option<FreeKey>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct RunningSlot {
    pub(super) started: clock::TimePoint,
    pub(super) expected_end: clock::TimePoint,
}

impl PoolServer {
    pub(super) fn new(record: event::ServerRecord) -> Self {
        Self {
            record,
            speed: speed_model::ServerSpeed::default(),
            health: server_health::ServerHealth::default(),
            listed: true,
            refused_leaving: false,
            share: 0,
            lent: 0,
            borrowed: 0,
            cut: 0,
            cut_until: clock::TimePoint::ZERO,
            refusals: 0,
            others: 0,
            margin: 0,
            believed_until: clock::TimePoint::ZERO,
            running: SmallVec::new(),
            last_done: clock::TimePoint::ZERO,
            usable: 0,
            bucket: speed_buckets::SpeedBucket::of(0.0),
            free_key: None,
        }
    }

    pub(super) fn is_unused(&self) -> bool {
        !self.listed && self.running.is_empty() && self.lent + self.borrowed == 0
    }

    pub(super) fn leaves(&self) -> bool {
        !self.listed || self.record.leaving || self.refused_leaving
    }

    pub(super) fn granted(&self) -> u32 {
        (self.share + self.borrowed).saturating_sub(self.lent)
    }

    pub(super) fn usable_now(&self, now: clock::TimePoint) -> u32 {
        let granted = self.granted();
        let cut = if now < self.cut_until { self.cut } else { 0 };
        match self.health.state() {
            _ if self.leaves() => 0,
            server_health::HealthState::Ejected { .. } => 0,
            server_health::HealthState::Suspect | server_health::HealthState::OnTrial { .. } => {
                granted.min(1)
            }
            server_health::HealthState::Healthy if now < self.believed_until => {
                let free = self.record.slots.saturating_sub(self.others);
                free.min(granted.max(free.saturating_sub(self.margin)))
            }
            server_health::HealthState::Healthy => granted.saturating_sub(cut),
        }
    }

    /// Tasks of this entry on the server.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Slots that may be used now and are not.
    pub fn free(&self) -> u32 {
        self.usable.saturating_sub(self.running())
    }

    /// Slots of the own share that are idle and could be lent.
    pub fn lendable(&self) -> u32 {
        let own = self.share.saturating_sub(self.lent);
        let healthy = self.health.state() == server_health::HealthState::Healthy;
        if healthy { own.min(self.free()) } else { 0 }
    }

    /// Whether a running task is far beyond its expected end with nothing else
    /// done since it started.
    pub(super) fn is_overdue(&self, now: clock::TimePoint) -> bool {
        self.running.iter().any(|slot| {
            let expected = slot.expected_end.since(slot.started).as_secs_f64();
            let silent = self.last_done <= slot.started;
            silent && now.since(slot.started).as_secs_f64() > expected * OVERDUE_RATIO
        })
    }

    pub(super) fn state(&self) -> policy::ServerState {
        match self.health.state() {
            _ if self.leaves() => policy::ServerState::Leaving,
            server_health::HealthState::Ejected { .. } => policy::ServerState::Ejected,
            server_health::HealthState::OnTrial { .. } => policy::ServerState::OnTrial,
            server_health::HealthState::Healthy | server_health::HealthState::Suspect => {
                policy::ServerState::Live
            }
        }
    }

    /// Whether the server takes single tasks only, to prove itself.
    pub(super) fn is_on_probation(&self) -> bool {
        let state = self.health.state();
        matches!(
            state,
            server_health::HealthState::Suspect | server_health::HealthState::OnTrial { .. }
        )
    }

    pub(super) fn is_on_trial(&self) -> bool {
        let state = self.health.state();
        matches!(state, server_health::HealthState::OnTrial { .. })
    }

    pub(super) fn is_ejected(&self) -> bool {
        let state = self.health.state();
        matches!(state, server_health::HealthState::Ejected { .. })
    }
}
