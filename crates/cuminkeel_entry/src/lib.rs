//! The entry daemon as a library: takes jobs from callers, decides, runs their
//! tasks on backend servers, and answers.
//!
//! [`daemon::EntryDaemon`] assembles the services on the micro-kernel. The
//! decisions are made in other crates; [`core`] feeds them with events.

pub mod api;
pub mod backend;
pub mod clock;
pub mod config_feed;
pub mod config_view;
pub mod core;
pub mod daemon;
pub mod job_handle;
pub mod job_relay;
pub mod services;
pub mod settings;
pub mod telemetry;
