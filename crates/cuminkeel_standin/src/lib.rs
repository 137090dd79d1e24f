//! Stand-ins for the platform and for backend servers, and the load tool.
//!
//! Every stand-in listens on a free port of the loopback device inside this
//! process, has switches for its faults, and ends with its handle.
//! [`platform`] keeps `docs/PLATFORM_CONTRACT.md`, [`backend`] keeps
//! `docs/BACKEND_CONTRACT.md`, and [`balancer`] imitates the platform's
//! balancer in front of the entries.

pub mod backend;
pub mod balancer;
pub mod capacity;
pub mod control;
pub mod demo;
pub mod fleet;
pub mod http_listener;
pub mod load;
pub mod platform;
mod sync_lock;
