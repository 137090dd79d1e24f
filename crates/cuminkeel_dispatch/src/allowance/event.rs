//! What a ledger is told and what it asks its shell to do.

use cuminkeel_types::names;

use super::{claims, settings};
use crate::event;

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerEvent {
    /// The time named by [`super::ShareLedger::next_wakeup`] has come.
    Tick,
    /// All customers' terms, whole, after any change.
    TermsChanged(Vec<event::CustomerTerms>),
    /// The live entries of all failure domains without this one.
    MembersChanged(Vec<settings::ShareMember>),
    /// A message of another ledger.
    Message {
        /// Sender.
        from: names::IncarnationId,
        /// Encoded message.
        payload: Vec<u8>,
    },
    /// A page of [`claims::SEAT_STREAM`], read from
    /// [`super::ShareLedger::seat_offset`]; for a trimmed offset, an empty page.
    SeatsRead {
        /// The records in order.
        records: Vec<claims::SeatPageRecord>,
        /// Offset of the oldest record kept.
        head: u64,
        /// Offset that the next append gets.
        tail: u64,
    },
    /// This entry leaves: it hands its seats over and starts nothing more on them.
    LeaveStarted,
}

/// Something that the shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAction {
    /// Send a message on the topic of allowances. It may be lost.
    Send {
        /// Receiver.
        to: names::IncarnationId,
        /// Encoded message.
        payload: Vec<u8>,
    },
    /// Append to [`claims::SEAT_STREAM`] once. It may fail or be lost.
    AppendSeat(Vec<u8>),
}
