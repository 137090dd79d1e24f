//! What siblings tell each other about slots.

use std::time;

use cuminkeel_types::names;
use serde::{Deserialize, Serialize};

use crate::event;

/// What siblings send each other. New variants go at the end.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SlotMessage {
    /// A request for slots.
    Ask {
        /// Number of the request, growing within one process.
        request: u64,
        /// Slots wanted.
        wanted: u32,
        /// Time for which they are wanted.
        lease: time::Duration,
    },
    /// The answer to a request.
    Grant {
        /// Number of the request.
        request: u64,
        /// Time from the request for which the slots may be used.
        lease: time::Duration,
        /// Slots by server; empty if none can be spared.
        slots: Vec<LentSlots>,
        /// Idle slots that the lender has left.
        free: u32,
    },
}

/// Slots of one server in a loan.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LentSlots {
    /// The server.
    pub server: names::ServerName,
    /// Number of slots.
    pub count: u32,
}

/// Encodes and sends a message.
pub(super) fn send(
    to: event::SiblingEntry,
    message: &SlotMessage,
    actions: &mut Vec<event::DispatchAction>,
) {
    if let Ok(payload) = postcard::to_stdvec(message) {
        actions.push(event::DispatchAction::SendSibling { to, payload });
    }
}
