//! Messages between the ledgers of entries.

use cuminkeel_types::names;
use serde::{Deserialize, Serialize};

use super::claims;

const FORMAT: u8 = 1;
/// Largest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Customers in one message at most.
pub const MAX_ROWS: usize = 64;

/// Units of both resources of a customer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareUnits {
    /// Tasks at once.
    pub tasks: u32,
    /// Task starts per second.
    pub starts: u32,
}

/// What a borrower asks of a lender for one customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WantRow {
    /// The customer.
    pub customer: names::CustomerName,
    /// Grows with each request of the borrower.
    pub number: u64,
    /// From the sending on, the borrower uses no more of earlier grants.
    pub keep: ShareUnits,
    /// What it wants in place of earlier grants.
    pub want: ShareUnits,
}

/// What a lender grants.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantRow {
    /// The customer.
    pub customer: names::CustomerName,
    /// Number of the request.
    pub number: u64,
    /// Replaces earlier grants.
    pub units: ShareUnits,
    /// Unused starts that go with them, in millionths.
    pub micro_starts: u64,
}

/// One message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ShareMessage {
    /// Asks to vouch for seats.
    VouchAsk {
        /// Number of the round.
        round: u64,
        /// The seats.
        seats: Vec<claims::SeatEpoch>,
    },
    /// Vouches for seats for [`super::settings::SEAT_VALID`] since the request was sent.
    Vouch {
        /// Number of the round.
        round: u64,
        /// The seats.
        seats: Vec<claims::SeatEpoch>,
        /// Seats of the voter.
        voters: Vec<claims::SeatEpoch>,
    },
    /// Asks to vouch no longer for a seat's holder.
    ConsentAsk {
        /// The seat and the epoch of the claim to come.
        seat: claims::SeatEpoch,
    },
    /// The sender will never vouch for an earlier epoch again.
    Consent {
        /// The seat and the epoch of the claim to come.
        seat: claims::SeatEpoch,
        /// Seats of the voter.
        voters: Vec<claims::SeatEpoch>,
    },
    /// The sender no longer uses the seat; the receiver may.
    Handover {
        /// The seat and its epoch.
        seat: claims::SeatEpoch,
        /// Epochs below which the seat's holder promised not to vouch.
        promises: Vec<claims::SeatEpoch>,
    },
    /// The seat was received.
    HandoverTaken {
        /// The seat and its epoch.
        seat: claims::SeatEpoch,
    },
    /// Requests of a borrower.
    Want(Vec<WantRow>),
    /// Answers of a lender.
    Grant {
        /// The answers.
        rows: Vec<GrantRow>,
    },
    /// The sender has units of these customers again that the receiver wanted.
    Offer(Vec<names::CustomerName>),
    /// The lender needs units of these customers itself.
    Recall(Vec<names::CustomerName>),
}

/// Encodes a message; none if it is too long.
pub fn encode_share(message: &ShareMessage) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(message, vec![FORMAT]).ok()?;
    (bytes.len() <= MAX_MESSAGE_BYTES).then_some(bytes)
}

/// Decodes any bytes; none if they are no message of a known format.
pub fn decode_share(bytes: &[u8]) -> Option<ShareMessage> {
    match bytes.split_first() {
        Some((&FORMAT, body)) if bytes.len() <= MAX_MESSAGE_BYTES => {
            match postcard::take_from_bytes(body) {
                Ok((message, [])) => Some(message),
                _ => None,
            }
        }
        _ => None,
    }
}
