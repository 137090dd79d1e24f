//! Micro-kernel: services that find each other by name, are started in order,
//! drained, and stopped in reverse order.

pub mod error;
pub mod registry;
pub mod runner;
pub mod service;
