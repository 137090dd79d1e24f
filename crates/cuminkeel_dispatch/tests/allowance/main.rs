//! Allowances over entries and failure domains, in a model of network, clocks
//! and log.

mod behaviour;
mod model;
mod schedules;
