//! Choice of the server that runs a task.
//!
//! Typical tasks use 5 to 10 cores, and servers have 16 or 24 and do not enforce their
//! capacity. Two or three tasks fit on a server, so when nearly all capacity is used, the
//! capacity that a placement leaves unusable matters as much as the speed of the server.

use std::time;

/// Weight of remaining cores that fit no other task, relative to the slowdown factor.
const WASTE_WEIGHT: f64 = 0.4;
/// Cost of running on another rack than the data's, as large as a slowdown factor of 1.
const RACK_PENALTY: f64 = 1.0;

/// Server with enough capacity for a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOption {
    /// Free processor of the server, in thousandths of a core.
    pub free_cpu_millis: u32,
    /// Expected run time on the server as a multiple of the nominal one.
    pub slowdown_factor: f64,
    /// Whether the server is on the rack of the data, or the task has no such rack.
    pub is_data_local: bool,
}

/// Returns the cost of running a task that needs `cpu_millis` on the server; the lowest cost is
/// best.
///
/// The cost is the slowdown factor, plus the weighted share of a typical task that the remaining
/// processor leaves unusable, plus the penalty for another rack. `typical_cpu_millis` is the
/// processor of other tasks that may use what remains. `cpu_millis` and `typical_cpu_millis` are
/// in thousandths of a core.
pub fn placement_cost(option: &PlacementOption, cpu_millis: u32, typical_cpu_millis: u32) -> f64 {
    let remaining_millis = option.free_cpu_millis.saturating_sub(cpu_millis);
    let waste = f64::from(remaining_millis % typical_cpu_millis.max(1))
        / f64::from(typical_cpu_millis.max(1));
    let rack_penalty = if option.is_data_local {
        0.0
    } else {
        RACK_PENALTY
    };
    option.slowdown_factor + WASTE_WEIGHT * waste + rack_penalty
}

/// Times that decide whether a task waits for a faster server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FasterServerComparison {
    /// End of the run on the server with the lowest placement cost.
    pub end_on_cheapest: time::Duration,
    /// End of the run if the fastest server had enough capacity now.
    pub end_on_fastest: time::Duration,
    /// Target end time of the job.
    pub objective_at: time::Duration,
}

/// Whether a task waits for capacity on a faster server.
///
/// Matters for long jobs if a third of the servers takes over twice as long as the others: a long
/// job on such a server misses its objective from the start, although it has time to wait for a
/// fast server. Short jobs still meet their objectives on the slow servers.
pub fn should_wait_for_faster(comparison: &FasterServerComparison) -> bool {
    comparison.end_on_cheapest > comparison.objective_at
        && comparison.end_on_fastest <= comparison.objective_at
}
