//! Replays load patterns and faults through the decisions of server pools.
//!
//! Fake servers receive the pools' orders and follow the rules of the platform's
//! servers (fencing tokens, leases, reports of runs). Time is virtual and randomness
//! is seeded, so a replay gives the same result each time.

pub mod domain_replay;
pub mod fake_server;
mod load_bound;
pub mod load_pattern;
pub mod pool_simulation;
pub mod replay_report;
pub mod run_audit;
