//! Slopes of what each role costs: the same deciding code as in an entry, with
//! light nodes in this process, at several sizes.

mod allowance;
mod configuration;
mod dispatch;
mod fit;
mod membership;
mod outcome;

use std::time;

use serde::Serialize;

use crate::load::host;

/// One role at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CapacityPoint {
    /// Size, in the unit of the series.
    pub size: usize,
    /// The figure.
    pub value: f64,
}

/// One figure of a role over several sizes, with a line fitted by least squares.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CapacitySeries {
    /// The role.
    pub role: &'static str,
    /// The figure, with its unit.
    pub figure: &'static str,
    /// What the size counts.
    pub size_unit: &'static str,
    /// The measurements.
    pub points: Vec<CapacityPoint>,
    /// The line.
    pub fit: fit::LineFit,
}

/// All series of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CapacityReport {
    /// Seed of everything drawn at random.
    pub seed: u64,
    /// Share of the machine that was busy meanwhile; near 1 other work disturbs.
    pub machine_busy_share: f64,
    /// The series.
    pub series: Vec<CapacitySeries>,
}

impl CapacitySeries {
    fn new(
        role: &'static str,
        figure: &'static str,
        size_unit: &'static str,
        points: Vec<CapacityPoint>,
    ) -> Self {
        let fit = fit::LineFit::of(&points);
        Self {
            role,
            figure,
            size_unit,
            points,
            fit,
        }
    }
}

/// Measures all roles, one after the other.
pub fn measure(seed: u64) -> CapacityReport {
    let before = host::HostSample::take();
    // Memory is told by the growth of the process, so those that measure it
    // come before others have freed any.
    let mut series = dispatch::measure(seed);
    series.extend(outcome::measure(seed));
    series.extend(membership::measure(seed));
    series.extend(allowance::measure(seed));
    series.extend(configuration::measure());
    CapacityReport {
        seed,
        machine_busy_share: host::HostSample::take().machine_busy_share(&before),
        series,
    }
}

/// Mean time of one of `count` steps, in microseconds.
fn micros_each(count: usize, work: impl FnOnce()) -> f64 {
    let begin = time::Instant::now();
    work();
    begin.elapsed().as_secs_f64() * 1e6 / count.max(1) as f64
}

/// Growth of the resident memory over some work, in bytes.
fn memory_growth<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let before = host::resident_bytes();
    let result = work();
    let grown = host::resident_bytes().saturating_sub(before);
    (result, grown as f64)
}
