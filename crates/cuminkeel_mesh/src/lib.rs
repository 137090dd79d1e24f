//! Membership and messages between entries.
//!
//! [`border`] holds what other crates see: who the members are, and how to send
//! a message to one of them. Decisions on membership do no I/O.

pub mod border;
pub mod capacity;
pub mod frame;
pub mod membership;
pub mod sequence;
pub mod transport;
