//! One file for each scenario, and what they share.

pub mod base;
pub mod black_hole;
pub mod burst;
pub mod cancel_wave;
pub mod config_race;
pub mod crash_entry;
pub mod drain_entry;
pub mod false_sizes;
pub mod large_jobs;
pub mod log_outage;
pub mod lost_acks;
pub mod mixed_speed;
pub mod overload;
pub mod partition;
pub mod partner_leaves;
pub mod rival_desks;
pub mod rolling_replace;
pub mod skewed_entries;
pub mod steady;
pub mod straggler;
