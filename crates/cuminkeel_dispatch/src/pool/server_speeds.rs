//! Slowdown factors of servers, kept in their slots.
//!
//! A placement compares the factors of many servers, and each costs two exponentials and a lookup of the server's
//! kind. They change slowly: by the ends of runs, and with a half-life of seconds.

use std::{sync::Arc, time};

use super::ServerPool;
use crate::health;

/// Time for which the factors of servers without an end of a run are kept. A deviation decays by 0.4 % in it.
const SPEED_VALIDITY: time::Duration = time::Duration::from_millis(20);

impl ServerPool {
    /// Updates the slowdown factors of all servers, at most once in [`SPEED_VALIDITY`].
    pub(super) fn update_speeds(&mut self, now: time::Duration) {
        if now < self.speeds_valid_until {
            return;
        }
        self.speeds_valid_until = now + SPEED_VALIDITY;
        let is_learned = self.settings.policies.learned_speeds.is_enabled();
        let usual_speed = health::KindSlowdown::default();
        for slot in self.servers.values_mut() {
            let kind = self.kind_slowdowns.get(slot.kind_label());
            slot.slowdown_factor = match kind.unwrap_or(&usual_speed) {
                kind if is_learned => slot.health.slowdown_factor(now, kind),
                _ => usual_speed.slowdown_factor(),
            };
        }
    }

    /// Records that a run on server `id` took `actual`: updates the slowdown of the server and of its kind.
    /// Returns the run time on a server without slowdown.
    pub(super) fn record_speed(
        &mut self,
        id: &Arc<str>,
        actual: time::Duration,
        nominal: time::Duration,
        now: time::Duration,
    ) -> Option<time::Duration> {
        let slot = self.servers.get_mut(id)?;
        let kind = self.kind_slowdowns.entry(slot.kind()).or_default();
        let normalized_run_time = actual.div_f64(kind.slowdown_factor());
        if !nominal.is_zero() {
            kind.record(actual, nominal);
            slot.health.record_success(now, actual, nominal, kind);
            if self.settings.policies.learned_speeds.is_enabled() {
                slot.slowdown_factor = slot.health.slowdown_factor(now, kind);
            }
        }
        Some(normalized_run_time)
    }

    /// Makes the next decision update all factors, as a server is new or of another kind.
    pub(super) fn invalidate_speeds(&mut self) {
        self.speeds_valid_until = time::Duration::ZERO;
    }
}
