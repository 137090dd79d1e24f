//! Failure detector for one observed process.
//!
//! SWIM with suspicion, fed by heartbeats rather than by probes alone, and
//! slowed by Lifeguard's local health when this process itself runs late.

use std::time;

use cuminkeel_types::time as clock;

use super::settings;

const MAX_HEALTH_SCORE: u32 = 2;
const HEALTH_RECOVERY: time::Duration = time::Duration::from_secs(5);

/// What an observer does next about a silent process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchStep {
    /// Nothing.
    Wait,
    /// Probe it; `suspected` tells the others of the suspicion.
    Probe {
        /// Whether the process is suspected.
        suspected: bool,
    },
    /// Declare it gone.
    Declare,
}

/// What one observer knows of one observed process.
#[derive(Clone, Debug)]
pub struct PeerWatch {
    heard: clock::TimePoint,
    probed: clock::TimePoint,
    suspected: Option<clock::TimePoint>,
    seconded: Option<clock::TimePoint>,
}

impl PeerWatch {
    /// Starts to observe. Silence counts from `now`.
    pub const fn new(now: clock::TimePoint) -> Self {
        Self {
            heard: now,
            probed: clock::TimePoint::ZERO,
            suspected: None,
            seconded: None,
        }
    }

    /// Takes note that the process was heard at `heard`. True if that ends a suspicion.
    pub fn hear(
        &mut self,
        heard: clock::TimePoint,
        settings: &settings::MembershipSettings,
    ) -> bool {
        self.heard = self.heard.max(heard);
        let refuted = self
            .suspected
            .is_some_and(|since| since.since(self.heard) < settings.suspect_after);
        if refuted {
            self.suspected = None;
            self.seconded = None;
        }
        refuted
    }

    /// Takes note that another observer suspects the process.
    pub const fn second(&mut self, now: clock::TimePoint) {
        self.seconded = Some(now);
    }

    /// Whether the process is suspected.
    pub const fn is_suspected(&self) -> bool {
        self.suspected.is_some()
    }

    /// Decides the next step.
    pub fn step(
        &mut self,
        now: clock::TimePoint,
        settings: &settings::MembershipSettings,
        health: &LocalHealth,
    ) -> WatchStep {
        let silence = now.since(self.heard);
        if self.suspected.is_none() && silence >= health.slow_down(settings.suspect_after) {
            self.suspected = Some(now);
        }
        match self.suspected {
            _ if silence < settings.probe_after => WatchStep::Wait,
            Some(since) if now.since(since) >= self.patience(now, settings) => WatchStep::Declare,
            _ if now.since(self.probed) < settings.probe_interval => WatchStep::Wait,
            suspected => {
                self.probed = now;
                WatchStep::Probe {
                    suspected: suspected.is_some(),
                }
            }
        }
    }

    fn patience(
        &self,
        now: clock::TimePoint,
        settings: &settings::MembershipSettings,
    ) -> time::Duration {
        match self.seconded {
            Some(at) if now.since(at) < settings.suspect_after => settings.confirm_after,
            _ => settings.declare_after,
        }
    }
}

/// How far this process trusts its own timing, as in Lifeguard.
#[derive(Clone, Debug, Default)]
pub struct LocalHealth {
    score: u32,
    changed: clock::TimePoint,
}

impl LocalHealth {
    /// Takes note of a sign that this process runs late.
    pub fn worsen(&mut self, now: clock::TimePoint) {
        self.score = (self.score + 1).min(MAX_HEALTH_SCORE);
        self.changed = now;
    }

    /// Lowers the score after a time without such signs.
    pub fn recover(&mut self, now: clock::TimePoint) {
        if self.score > 0 && now.since(self.changed) >= HEALTH_RECOVERY {
            self.score -= 1;
            self.changed = now;
        }
    }

    /// Stretches a timeout by half for each point of the score.
    pub fn slow_down(&self, timeout: time::Duration) -> time::Duration {
        timeout + timeout * self.score / 2
    }
}
