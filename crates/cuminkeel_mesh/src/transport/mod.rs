//! The mesh over UDP and TCP on one port.
//!
//! - [`service`] implements [`crate::border::MeshPort`];
//! - [`counters`] counts traffic and drops, [`clock`] reads the time;
//! - `inbound` receives frames, `outbound` sends them.

pub mod clock;
pub mod counters;
mod inbound;
mod outbound;
pub mod service;
mod state;
