//! Replays load patterns and faults through the decisions of server pools.
//!
//! Fake servers receive the pools' orders and follow the rules of the platform's
//! servers (fencing tokens, leases, reports of runs). Time is virtual and randomness
//! is seeded, so a replay gives the same result each time.

pub mod domain_replay;
pub mod fake_server;
mod fault_schedule;
mod load_bound;
pub mod load_pattern;
pub mod load_scenario;
pub mod pool_simulation;
pub mod replay_report;
pub mod replay_tally;
pub mod run_audit;
