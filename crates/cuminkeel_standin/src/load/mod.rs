//! The load tool: scenarios of load and faults against real entries and the
//! stand-ins, with what was answered checked against what was started.
//!
//! [`catalog`] lists the scenarios and [`run::run_scenario`] runs one. Entries
//! come from a [`fleet::FleetFactory`].

pub mod caller;
pub mod catalog;
pub mod checks;
pub mod deployment;
pub mod entry_fleet;
pub mod error;
pub mod fleet;
pub mod host;
pub mod ideal;
pub mod plan;
pub mod report;
pub mod run;
pub mod scenarios;
pub mod stats;
pub mod table;
pub mod workload;

mod calibration;
mod lists;
mod operators;
mod script;
mod site;
mod watch;
mod work_body;
