//! Messages that membership exchanges, and their codec.
//!
//! Variants and fields are only ever appended: an older release skips variants
//! that it does not know and ignores trailing bytes of those that it does.

use cuminkeel_types::names;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::border;

/// Most states in one message.
pub const MAX_STATES_PER_MESSAGE: usize = 256;
/// Most states in one message that is to fit a datagram.
pub const MAX_STATES_PER_DATAGRAM: usize = 12;
/// Most failure domains in one digest.
pub const MAX_DOMAINS_PER_DIGEST: usize = 32;

const VARIANTS: u8 = 11;

/// How far a process has gone. The order is that of precedence in a merge.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberStatus {
    /// Serves.
    Live,
    /// Has announced that it leaves, and still serves what it has begun.
    Leaving,
    /// Stopped, failed or was replaced. Final for an incarnation.
    Gone,
}

/// What is known of one process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberState {
    /// The process and where it runs.
    pub record: border::MemberRecord,
    /// Orders the processes of one VM name; the higher one fences the others.
    pub generation: u64,
    /// How far it has gone.
    pub status: MemberStatus,
}

/// Summary of one failure domain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainDigest {
    /// Hash of the failure domain's name.
    pub domain: u32,
    /// Hash of its members' states.
    pub members: u64,
    /// Milliseconds since the domain was last heard, directly or through others.
    pub age_millis: u32,
}

/// What a peer thinks of a process that asks about itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberVerdict {
    /// It is a member.
    Member,
    /// It was declared gone or replaced.
    Gone,
    /// The peer has never heard of it or has forgotten it.
    Unknown,
}

/// One membership message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipMessage {
    /// The sender lives.
    Heartbeat,
    /// Asks for an [`MembershipMessage::Ack`] at once.
    Ping,
    /// Answers a ping.
    Ack,
    /// Asks whether the receiver can reach a process.
    Inquiry {
        /// The process.
        target: names::IncarnationId,
        /// Whether the sender already suspects it.
        suspected: bool,
    },
    /// The sender heard a process.
    Heard {
        /// The process.
        target: names::IncarnationId,
        /// Milliseconds since then.
        age_millis: u32,
    },
    /// Summary of all failure domains.
    Digest {
        /// One entry for each domain.
        domains: Vec<DomainDigest>,
    },
    /// States that the receiver may lack.
    Sync {
        /// Domains whose states the sender wants in return.
        wanted: Vec<u32>,
        /// The states.
        states: Vec<MemberState>,
    },
    /// Introduces the sender and asks for all states.
    Join {
        /// The sender's state.
        state: MemberState,
    },
    /// Asks a process that the sender does not know to introduce itself.
    Introduce,
    /// Asks whether the sender is still a member.
    Ask,
    /// Answers an [`MembershipMessage::Ask`].
    Answer {
        /// The answer.
        verdict: MemberVerdict,
    },
}

/// Why a membership message can't be read or written.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum MessageError {
    /// Of a variant that a newer release has added.
    #[display("unknown membership message {variant}")]
    UnknownVariant {
        /// Position of the variant.
        variant: u8,
    },
    /// The bytes do not decode, or a list is longer than allowed.
    #[display("malformed membership message")]
    Malformed,
}

impl MembershipMessage {
    /// Writes the message.
    ///
    /// # Errors
    /// [`MessageError::Malformed`] if the codec refuses it.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        postcard::to_stdvec(self).map_err(|_| MessageError::Malformed)
    }

    /// Reads a message; trailing bytes are ignored.
    ///
    /// # Errors
    /// Any [`MessageError`].
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        match bytes.first() {
            None => return Err(MessageError::Malformed),
            Some(&variant) if variant >= VARIANTS => {
                return Err(MessageError::UnknownVariant { variant });
            }
            Some(_) => {}
        }
        let (message, _) =
            postcard::take_from_bytes::<Self>(bytes).map_err(|_| MessageError::Malformed)?;
        Some(message)
            .filter(Self::is_bounded)
            .ok_or(MessageError::Malformed)
    }

    fn is_bounded(&self) -> bool {
        match self {
            Self::Digest { domains } => domains.len() <= MAX_DOMAINS_PER_DIGEST,
            Self::Sync { wanted, states } => {
                wanted.len() <= MAX_DOMAINS_PER_DIGEST && states.len() <= MAX_STATES_PER_MESSAGE
            }
            _ => true,
        }
    }
}
