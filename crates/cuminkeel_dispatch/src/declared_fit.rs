//! Learns how far a customer's declared run times tell the true ones.
//!
//! For each customer and class a line is fitted through the logarithms of
//! declared and true run times, with exponentially weighted moments. Its slope,
//! shrunk towards zero until it is known well, is near 1 for honest callers and
//! near 0 where the declared times tell nothing.

use std::{collections, time};

use crate::{fair_queue, speed_model};

/// Weight of a new observation in a fit that is known well.
const FIT_WEIGHT: f64 = 0.01;
/// Observations at which half of a fitted slope counts.
const FIT_SHRINK: f64 = 20.0;
/// Largest effect of a declared time on the expected run time, in logarithm.
const MAX_EFFECT: f64 = 1.5;
/// Smallest declared run time that is told apart.
const MIN_DECLARED_SECS: f64 = 0.000_1;

#[derive(Clone, Copy, Debug, Default)]
struct LineFit {
    count: f64,
    declared_mean: f64,
    true_mean: f64,
    variance: f64,
    covariance: f64,
}

impl LineFit {
    fn observe(&mut self, declared: f64, run: f64) {
        let weight = (1.0 / (self.count + 1.0)).max(FIT_WEIGHT);
        let declared_error = declared - self.declared_mean;
        let run_error = run - self.true_mean;
        self.declared_mean += weight * declared_error;
        self.true_mean += weight * run_error;
        let kept = 1.0 - weight;
        self.variance = kept * (self.variance + weight * declared_error * declared_error);
        self.covariance = kept * (self.covariance + weight * declared_error * run_error);
        self.count += 1.0;
    }

    fn effect(&self, declared: f64) -> f64 {
        if self.variance <= f64::EPSILON {
            return 0.0;
        }
        let slope = (self.covariance / self.variance).clamp(0.0, 1.0);
        let known = self.count / (self.count + FIT_SHRINK);
        let effect = slope * known * (declared - self.declared_mean);
        effect.clamp(-MAX_EFFECT, MAX_EFFECT)
    }
}

/// Fits by customer and class.
#[derive(Debug, Default)]
pub struct DeclaredFits {
    fits: collections::HashMap<(fair_queue::CustomerIndex, speed_model::ClassIndex), LineFit>,
}

impl DeclaredFits {
    /// How a declared run time changes the expected one, in logarithm.
    pub fn effect(
        &self,
        customer: fair_queue::CustomerIndex,
        class: speed_model::ClassIndex,
        declared: time::Duration,
    ) -> f64 {
        let fit = self.fits.get(&(customer, class));
        fit.map_or(0.0, |fit| fit.effect(log_secs(declared.as_secs_f64())))
    }

    /// Takes in a task's declared run time and the true one on an average server.
    pub fn observe(
        &mut self,
        customer: fair_queue::CustomerIndex,
        class: speed_model::ClassIndex,
        declared: time::Duration,
        run_secs: f64,
    ) {
        let fit = self.fits.entry((customer, class)).or_default();
        fit.observe(log_secs(declared.as_secs_f64()), log_secs(run_secs));
    }
}

fn log_secs(secs: f64) -> f64 {
    secs.max(MIN_DECLARED_SECS).ln()
}
