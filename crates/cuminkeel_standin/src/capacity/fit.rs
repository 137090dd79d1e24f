//! Least squares.

use serde::Serialize;

use super::CapacityPoint;

/// A line through measurements: `value = base + slope * size`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LineFit {
    /// Value at size zero.
    pub base: f64,
    /// Growth for each unit of size.
    pub slope: f64,
    /// Root mean square of the deviations.
    pub rms_residual: f64,
}

impl LineFit {
    /// Fits a line by least squares; flat through a single point.
    pub(super) fn of(points: &[CapacityPoint]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.size as f64).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let spread: f64 = points
            .iter()
            .map(|point| (point.size as f64 - mean_size).powi(2))
            .sum();
        let joint: f64 = points
            .iter()
            .map(|point| (point.size as f64 - mean_size) * (point.value - mean_value))
            .sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let base = mean_value - slope * mean_size;
        let squares: f64 = points
            .iter()
            .map(|point| (point.value - base - slope * point.size as f64).powi(2))
            .sum();
        Self {
            base,
            slope,
            rms_residual: (squares / count).sqrt(),
        }
    }
}
