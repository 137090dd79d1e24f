//! The platform as cuminkeel sees it: an append-only log, a lagging list of
//! VMs and lagging usage reports.
//!
//! [`border`] holds the traits, [`client`] their implementation over
//! HTTP/JSON, and [`wire`] the bodies that travel, as described in
//! `docs/PLATFORM_CONTRACT.md`.

pub mod border;
pub mod client;
mod http_call;
pub mod wire;
