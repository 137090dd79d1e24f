//! Choice of the server that runs a task.
//!
//! Load pattern: tasks of 5 to 10 cores on servers of 16 and 24 cores that do not enforce
//! their capacity, with nearly all capacity used. Two or three tasks fit on a server, so the
//! capacity that a placement leaves unusable matters as much as the speed of the server.

use std::time;

/// Weight of remaining cores that fit no other task, relative to the slowdown factor.
const WASTE_WEIGHT: f64 = 0.4;
/// Cost of running on another rack than the data's.
const RACK_PENALTY: f64 = 1.0;

/// Server with enough capacity for a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOption {
    /// Free processor of the server, in thousandths of a core.
    pub free_cpu_millis: u32,
    /// Expected run time on the server as a multiple of the estimate.
    pub slowdown_factor: f64,
    /// Whether the server is on the rack of the data, or the task has no such rack.
    pub is_data_local: bool,
}

/// Returns the cost of running a task that needs `cpu_millis` on the server; the lowest cost is
/// best.
///
/// The cost is the slowdown factor, plus the weighted share of a typical task that the remaining
/// processor leaves unusable, plus the penalty for another rack. `typical_cpu_millis` is the
/// processor of other tasks that may use what remains. Both are in thousandths of a core.
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
    /// End of the run on the best server with enough capacity.
    pub end_on_cheapest: time::Duration,
    /// End of the run if the fastest server had enough capacity now.
    pub end_on_fastest: time::Duration,
    /// Target end time of the job.
    pub objective_at: time::Duration,
}

/// Whether a task waits for capacity on a faster server.
///
/// Load pattern: long jobs on sites where a third of the servers takes over twice as long as
/// the others. A long job on such a server misses its objective from the start, although it
/// has time to wait for a fast server. The slow servers still run short jobs in time.
pub fn should_wait_for_faster(choice: &FasterServerComparison) -> bool {
    choice.end_on_cheapest > choice.objective_at && choice.end_on_fastest <= choice.objective_at
}
