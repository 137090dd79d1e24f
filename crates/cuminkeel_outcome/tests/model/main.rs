//! Model test of the outcome ledger: several ledgers, a fake network, fake
//! dispatchers and callers, under crashes, pauses, partitions and drains.
//!
//! `CUMINKEEL_MODEL_SCHEDULES` sets the number of random schedules.

mod backend;
mod callers;
mod checks;
mod exhaustive;
mod faults;
mod membership;
mod network;
mod process;
mod random;
mod schedule;
mod world;
