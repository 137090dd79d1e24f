//! Decisions of the pool that owns a failure domain's backend servers.
//!
//! Nothing here does I/O or reads a clock: events and the present time go in,
//! actions come out. `now` is the time since the process started, on its
//! monotonic clock.

pub mod admission;
pub mod health;
pub mod job_model;
pub mod job_order;
pub mod leadership;
pub mod link_plan;
pub mod overdue_run;
pub mod pool;
pub mod pool_action;
pub mod retry_advice;
pub mod run_time_model;
pub mod server_model;
pub mod server_slot;
pub mod settings;
pub mod task_placement;
