//! Tells broken servers from broken jobs.
//!
//! Each failure is weighed by the likelihood ratio of "the server is broken"
//! against "tasks of this customer and class fail anyway". The second is learnt
//! from failures on changing servers, so that a job that fails everywhere takes
//! out no server. Successes lower the suspicion, slowness does not raise it.

use std::{collections, time};

use cuminkeel_types::time as clock;

use crate::{fair_queue, speed_model};

/// Probability that a broken server fails a task.
const BROKEN_FAILS: f64 = 0.95;
/// Failure rate assumed for a customer and class without history.
const USUAL_FAILURE_RATE: f64 = 0.01;
/// Largest failure rate that is assumed of a customer and class.
const MAX_FAILURE_RATE: f64 = 0.94;
/// Weight of a failure on another server than the failure before.
const SPREAD_WEIGHT: f64 = 0.2;
/// Weight of a repeated failure on one server.
const REPEATED_WEIGHT: f64 = 0.02;
/// Weight of a success.
const SUCCESS_WEIGHT: f64 = 0.1;
/// Suspicion, a logarithm of likelihood, from which a server gets one task at a time.
const SUSPECT_LEVEL: f64 = 3.0;
/// Suspicion from which a server is ejected.
const EJECT_LEVEL: f64 = 7.0;
/// Suspicion that a success takes away.
const SUCCESS_RELIEF: f64 = 3.0;
/// Suspicion added by a connection that could not be made.
const NO_CONNECTION_EVIDENCE: f64 = 3.6;
/// Suspicion added by a task that outlived its deadline on a silent server.
const SILENCE_EVIDENCE: f64 = 3.6;
/// First time out of service; doubles with each failed trial.
const FIRST_EJECTION: time::Duration = time::Duration::from_secs(2);
/// Longest time out of service.
const MAX_EJECTION: time::Duration = time::Duration::from_mins(1);
/// Successes on trial that bring a server back.
const TRIAL_SUCCESSES: u32 = 3;

/// What a failure shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureEvidence {
    /// A task failed or was lost, with the failure rate of its kind elsewhere.
    Task {
        /// Failure rate of the customer's class on other servers.
        usual_rate: f64,
    },
    /// No connection could be made.
    NoConnection,
    /// A task got no answer for long while nothing else of the server ended.
    Silence,
}

impl FailureEvidence {
    fn weight(self) -> f64 {
        match self {
            Self::Task { usual_rate } => (BROKEN_FAILS / usual_rate).ln().max(0.0),
            Self::NoConnection => NO_CONNECTION_EVIDENCE,
            Self::Silence => SILENCE_EVIDENCE,
        }
    }
}

/// Whether a server gets work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HealthState {
    /// All usable slots.
    #[default]
    Healthy,
    /// One task at a time, since failures were seen.
    Suspect,
    /// None until the time given.
    Ejected {
        /// End of the time out of service.
        until: clock::TimePoint,
    },
    /// One task at a time, to prove itself after an ejection.
    OnTrial {
        /// Tasks done since the ejection.
        successes: u32,
    },
}

/// Evidence against one server.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    suspicion: f64,
    state: HealthState,
    ejections: u32,
}

impl ServerHealth {
    /// Whether the server gets work.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Takes in a task that was done.
    pub fn on_success(&mut self) {
        self.suspicion = (self.suspicion - SUCCESS_RELIEF).max(0.0);
        self.state = match self.state {
            HealthState::OnTrial { successes } if successes + 1 < TRIAL_SUCCESSES => {
                HealthState::OnTrial {
                    successes: successes + 1,
                }
            }
            HealthState::OnTrial { .. } => {
                self.ejections = 0;
                HealthState::Healthy
            }
            HealthState::Suspect if self.suspicion < SUSPECT_LEVEL => HealthState::Healthy,
            state => state,
        };
    }

    /// Takes in a failure. `may_eject` tells whether enough other servers are left.
    pub fn on_failure(
        &mut self,
        now: clock::TimePoint,
        evidence: FailureEvidence,
        may_eject: bool,
    ) {
        self.suspicion = (self.suspicion + evidence.weight()).min(EJECT_LEVEL * 2.0);
        self.state = match self.state {
            HealthState::OnTrial { .. } if self.suspicion >= SUSPECT_LEVEL => self.eject(now),
            HealthState::Healthy | HealthState::Suspect
                if self.suspicion >= EJECT_LEVEL && may_eject =>
            {
                self.eject(now)
            }
            HealthState::Healthy if self.suspicion >= SUSPECT_LEVEL => HealthState::Suspect,
            state => state,
        };
    }

    fn eject(&mut self, now: clock::TimePoint) -> HealthState {
        let doublings = self.ejections.min(16);
        self.ejections += 1;
        let pause = (FIRST_EJECTION * (1 << doublings)).min(MAX_EJECTION);
        HealthState::Ejected { until: now + pause }
    }

    /// Begins the trial of a server whose time out of service is over.
    pub fn on_time(&mut self, now: clock::TimePoint) {
        match self.state {
            HealthState::Ejected { until } if until <= now => {
                self.suspicion = 0.0;
                self.state = HealthState::OnTrial { successes: 0 };
            }
            _ => {}
        }
    }
}

/// Failure rates by customer and class.
#[derive(Debug, Default)]
pub struct FailureRates {
    rates: collections::HashMap<(fair_queue::CustomerIndex, speed_model::ClassIndex), KindRate>,
}

#[derive(Debug)]
struct KindRate {
    rate: f64,
    last_failed: Option<usize>,
}

impl FailureRates {
    /// Failure rate of a customer's class before the failure at hand.
    pub fn rate(&self, customer: fair_queue::CustomerIndex, class: speed_model::ClassIndex) -> f64 {
        let known = self.rates.get(&(customer, class));
        let rate = known.map_or(USUAL_FAILURE_RATE, |kind| kind.rate);
        rate.clamp(USUAL_FAILURE_RATE, MAX_FAILURE_RATE)
    }

    /// Takes in a task's end on a server.
    pub fn observe(
        &mut self,
        customer: fair_queue::CustomerIndex,
        class: speed_model::ClassIndex,
        server: usize,
        failed: bool,
    ) {
        let kind = self.rates.entry((customer, class)).or_insert(KindRate {
            rate: USUAL_FAILURE_RATE,
            last_failed: None,
        });
        let spread = kind.last_failed.is_some_and(|last| last != server);
        match failed {
            true if spread => kind.rate += SPREAD_WEIGHT * (1.0 - kind.rate),
            true => kind.rate += REPEATED_WEIGHT * (1.0 - kind.rate),
            false => kind.rate -= SUCCESS_WEIGHT * kind.rate,
        }
        if failed {
            kind.last_failed = Some(server);
        }
    }
}
