//! Decisions on at-most-once starts and truthful answers.
//!
//! The crate does no I/O and reads no clock. A shell feeds
//! [`event::OutcomeEvent`]s into an [`event::OutcomePolicy`] and carries out the
//! [`event::OutcomeAction`]s.

pub mod event;
