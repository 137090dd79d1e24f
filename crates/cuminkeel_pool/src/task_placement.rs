//! Which server runs a task.
//!
//! Load pattern: tasks of 5 to 10 cores on servers of 16 and 24 that guard
//! nothing, with the room nearly used up. Two tasks fit on one server or three,
//! so what a placement leaves over counts as much as how fast the server is.

/// Weight of cores that are left over and fit no other task, against the pace.
const WASTE_WEIGHT: f64 = 0.4;
/// Penalty for missing the objective on this server: more than any difference of pace.
const LATE_PENALTY: f64 = 4.0;
/// Penalty for a rack other than the data's.
const RACK_PENALTY: f64 = 1.0;

/// A server that has room for the task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOption {
    /// Free processor, in thousandths of a core.
    pub free_cpu: u32,
    /// Expected run time as a multiple of the estimate.
    pub pace: f64,
    /// Whether the run is expected to end within the job's objective.
    pub in_time: bool,
    /// Whether the data is near, or the task has no rack.
    pub near_data: bool,
}

/// Cost of running a task of `cpu` there; the smallest is best. `typical_cpu` is
/// the size of other tasks that may use what is left.
pub fn placement_cost(option: &PlacementOption, cpu: u32, typical_cpu: u32) -> f64 {
    let left = option.free_cpu.saturating_sub(cpu);
    let waste = f64::from(left % typical_cpu.max(1)) / f64::from(typical_cpu.max(1));
    let late = if option.in_time { 0.0 } else { LATE_PENALTY };
    let far = if option.near_data { 0.0 } else { RACK_PENALTY };
    option.pace + WASTE_WEIGHT * waste + late + far
}
