//! Invariants of pools and answers to their callers, with and without faults, simulated in virtual
//! time.

mod answers;
mod caller_returns;
mod capacity;
mod cold_servers;
mod copies;
mod crashes;
mod evacuations;
mod false_fences;
mod fixtures;
mod jobs;
mod leaders;
mod lost_leader_copies;
mod order_test;
mod resent_jobs;
mod return_schedules;
mod servers;
mod start_permission;
mod takeover_waits;
mod unknown_servers;
