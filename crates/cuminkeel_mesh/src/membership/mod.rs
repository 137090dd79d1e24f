//! Decisions on membership, free of I/O.
//!
//! Within a failure domain every process sends heartbeats to a few observers,
//! its successors on a ring. An observer that hears nothing probes directly and
//! through others, then suspects, then declares the process gone. Between
//! domains, members exchange digests and the states that differ.
//!
//! - [`decision`] ties the parts together and takes all inputs;
//! - [`message`] is the wire format, [`settings`] the intervals;
//! - [`table`] merges states, [`ring`] assigns observers;
//! - [`watch`] is the failure detector, [`standing`] a process's view of itself.

mod answers;
pub mod decision;
mod detection;
mod domains;
mod gossip;
mod isolation;
pub mod message;
pub mod ring;
pub mod settings;
pub mod standing;
pub mod table;
pub mod watch;
