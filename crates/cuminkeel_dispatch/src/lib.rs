//! Decisions on jobs and tasks: whose turn it is, which backend server runs a
//! task, which job is refused, which server is taken out.
//!
//! The crate does no I/O and reads no clock. A shell feeds [`event::DispatchEvent`]s
//! with the time of each into a [`policy::DispatchPolicy`] and carries out the
//! [`event::DispatchAction`]s that come back.

pub mod admission;
pub mod allowance;
pub mod baseline;
pub mod declared_fit;
pub mod event;
pub mod factory;
pub mod fair_queue;
pub mod job_table;
pub mod length_ranks;
pub mod policy;
pub mod server_health;
pub mod server_pool;
pub mod share;
pub mod slot_division;
pub mod slot_lending;
pub mod slot_policy;
pub mod speed_buckets;
pub mod speed_model;
