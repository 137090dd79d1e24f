//! Decisions of the server pool, the leader's state machine of a failure domain's
//! backend servers and jobs, and of a process on leadership and links.
//!
//! The crate does no I/O and reads no clock: its inputs are events and the current
//! time, its outputs are actions. `now` is the time since the process started, on its
//! monotonic clock.

pub mod capacity_forecast;
pub mod claim_token;
pub mod connection_budget;
pub mod crash_ledger;
pub mod evacuation;

pub mod health;
pub mod input_clock;
pub mod job_limits;
pub mod job_model;
pub mod job_order;
pub mod leadership;
pub mod link_plan;
pub mod machine_limits;
pub mod message_delay;
pub mod offer_plan;
pub mod overdue_run;
pub mod pool;
pub mod pool_action;
pub mod pool_room;
pub mod read_progress;
pub mod registry_relay;
pub mod registry_replica;
pub mod retry_advice;
pub mod room_ledger;
pub mod run_evidence;
pub mod run_time_model;
pub mod server_model;
pub mod server_slot;
pub mod settings;
pub mod task_placement;
