//! The two operator lists: customers' plans, and what each plan may use.
//!
//! Operators append [`edit::EditRecord`]s to the log stream [`EDIT_STREAM`].
//! [`fold::ConfigFold`] turns the stream into [`lists::ConfigLists`]: a pure
//! function of the records, so every entry at one offset holds the same lists.
//! Nothing in this crate does I/O or reads a clock.

pub mod chain;
pub mod change;
pub mod edit;
pub mod fold;
pub mod follower;
mod frame;
pub mod lists;
pub mod page;
pub mod peer;
pub mod record;
mod removed;
pub mod rules;
pub mod schedule;
pub mod session;
pub mod snapshot;
pub mod verdict;

/// Log stream that operators append edits to.
pub const EDIT_STREAM: &str = "config";
/// Log stream that entries write snapshots of the lists to.
pub const SNAPSHOT_STREAM: &str = "config-snapshots";
