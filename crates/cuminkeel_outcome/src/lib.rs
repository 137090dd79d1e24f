//! Decisions on at-most-once starts and truthful answers.
//!
//! The crate does no I/O and reads no clock. A shell feeds
//! [`event::OutcomeEvent`]s into an [`event::OutcomePolicy`] and carries out the
//! [`event::OutcomeAction`]s. [`ledger::OutcomeLedger`] is the policy of the
//! product; `docs/decisions/at-most-once.md` gives its protocol.

pub mod answer;
pub mod attempt;
pub mod digest;
pub mod event;
pub mod farewell;
pub mod issuer;
pub mod key;
pub mod ledger;
pub mod message;
pub mod record;
pub mod relay;
pub mod rules;
pub mod settings;
pub mod stats;
pub mod timer;
pub mod witness;
