//! Which server runs a task.
//!
//! Load pattern: tasks of 5 to 10 cores on servers of 16 and 24 that guard
//! nothing, with the room nearly used up. Two tasks fit on one server or three,
//! so what a placement leaves over counts as much as how fast the server is.

use std::time;

/// Weight of cores that are left over and fit no other task, against the pace.
const WASTE_WEIGHT: f64 = 0.4;
/// Penalty for a rack other than the data's.
const RACK_PENALTY: f64 = 1.0;

/// A server that has room for the task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOption {
    /// Free processor, in thousandths of a core.
    pub free_cpu_millis: u32,
    /// Expected run time as a multiple of the estimate.
    pub slowdown_factor: f64,
    /// Whether the data is near, or the task has no rack.
    pub is_data_local: bool,
}

/// Cost of running a task of `cpu` there; the smallest is best. `typical_cpu` is
/// the size of other tasks that may use what is left.
pub fn placement_cost(option: &PlacementOption, cpu: u32, typical_cpu: u32) -> f64 {
    let left = option.free_cpu_millis.saturating_sub(cpu);
    let waste = f64::from(left % typical_cpu.max(1)) / f64::from(typical_cpu.max(1));
    let far = if option.is_data_local {
        0.0
    } else {
        RACK_PENALTY
    };
    option.slowdown_factor + WASTE_WEIGHT * waste + far
}

/// Times that decide whether a task waits for a faster server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitEstimate {
    /// When the run would end on the best server with room.
    pub end_here: time::Duration,
    /// When it would end if the fastest server had room now.
    pub end_on_fastest: time::Duration,
    /// When it has to end.
    pub objective_at: time::Duration,
}

/// Whether a task waits for room on a faster server.
///
/// Load pattern: long jobs on sites where a third of the servers takes over twice
/// as long as the others. There a long job is late from its start, though it has
/// time to wait for a fast server; the slow ones serve short jobs in time.
pub fn should_wait_for_faster(choice: &WaitEstimate) -> bool {
    choice.end_here > choice.objective_at && choice.end_on_fastest <= choice.objective_at
}
