//! The services of an entry, in the order in which they start.

pub mod allowance;
pub mod api;
pub mod config;
pub mod core;
pub mod directory;
pub mod mesh;
mod mesh_feed;
pub mod names;
