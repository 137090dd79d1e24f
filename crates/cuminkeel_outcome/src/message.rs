//! Messages between the outcome policies of two entries.
//!
//! A version byte, then postcard. The mesh proves the sender and may lose,
//! double, delay and reorder messages; each one may be repeated without harm.

use std::{sync, time};

use cuminkeel_types::{job, names, outcome};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{digest, event, key};

const MESSAGE_VERSION: u8 = 1;

/// What an entry asks of the process that serves a key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum KeyRequest {
    /// Run the job, or join it if it runs already.
    Submit(sync::Arc<job::JobSpec>),
    /// Cancel the job of the key.
    Cancel,
}

impl KeyRequest {
    /// Digest of the submitted job; none for a cancellation.
    pub fn digest(&self) -> Option<digest::JobDigest> {
        match self {
            Self::Submit(spec) => Some(digest::JobDigest::of(spec)),
            Self::Cancel => None,
        }
    }
}

/// What a witness says of a key that an entry asks it to close.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum CloseVerdict {
    /// It was never opened, and now never will be.
    Closed,
    /// The authority announced its opening.
    Opened,
    /// Its job has ended; the answer is no longer kept.
    #[display("Ended ({_0})")]
    Ended(outcome::RunStatus),
    /// The witness no longer remembers.
    Forgotten,
    /// The witness serves the key itself; the request should be sent to it.
    Served,
}

/// A message. Unless said otherwise `ticket` is the asking entry's.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Authority to witness: about to start the job of this key.
    Open {
        /// The key's position among the sender's keys.
        sequence: u64,
    },
    /// Witness to authority: the opening is remembered, or refused for good.
    OpenReply {
        /// The key's position among the receiver's keys.
        sequence: u64,
        /// Whether the authority may start the job.
        granted: bool,
    },
    /// Entry to authority or heir: a whole request.
    Forward {
        /// The waiting request.
        ticket: event::TicketId,
        /// The key as text.
        token: sync::Arc<str>,
        /// What is asked.
        request: KeyRequest,
        /// Time until the caller's deadline.
        time_left: time::Duration,
    },
    /// Entry to authority or heir: how does the forwarded request stand?
    Ask {
        /// The waiting request.
        ticket: event::TicketId,
        /// The key.
        key: key::KeyId,
        /// Digest of the request's job.
        digest: Option<digest::JobDigest>,
    },
    /// The forwarded request is taken care of; an answer follows.
    Accepted {
        /// The waiting request.
        ticket: event::TicketId,
        /// The key.
        key: key::KeyId,
    },
    /// The request that was asked about never came; forward it again.
    Unheard {
        /// The waiting request.
        ticket: event::TicketId,
        /// The key.
        key: key::KeyId,
    },
    /// The sender does not serve the key: an authority has handed it over to
    /// the witness, or a witness has not inherited it.
    NotServed {
        /// The waiting request.
        ticket: event::TicketId,
        /// The key.
        key: key::KeyId,
    },
    /// The final answer to a forwarded request.
    Answer {
        /// The waiting request.
        ticket: event::TicketId,
        /// The key.
        key: key::KeyId,
        /// Digest of the request's job.
        digest: Option<digest::JobDigest>,
        /// The answer.
        answer: outcome::JobAnswer,
    },
    /// Entry to witness: the authority is silent; close the key if it was never opened.
    Close {
        /// The waiting request.
        ticket: event::TicketId,
        /// The key.
        key: key::KeyId,
    },
    /// Witness to entry: what became of the key.
    CloseReply {
        /// The waiting request.
        ticket: event::TicketId,
        /// The key.
        key: key::KeyId,
        /// What became of it.
        verdict: CloseVerdict,
    },
    /// Leaving authority to witness: the witness may open the sender's
    /// remaining keys that name it. The sender opens none of them any more.
    Handover(KeyHandover),
    /// Witness to leaving authority: the hand-over is in force.
    HandoverReply,
    /// Leaving entry to all others, after its last job: what became of keys.
    /// The sender opens and grants no key any more.
    Farewell(KeyFarewell),
    /// Receipt for a farewell.
    FarewellReply,
}

/// The state of a leaving authority's keys that name one witness.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyHandover {
    /// Keys up to this position have expired or are forgotten; never to be opened.
    pub expired_through: u64,
    /// Keys that the authority has closed for good.
    pub closed: Vec<u64>,
    /// Keys whose opening was sent and not yet answered.
    pub opening: Vec<u64>,
}

/// What became of a key, as a leaving process tells it. Final.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum KeyFate {
    /// Nothing ran, and nothing ever will.
    Closed,
    /// It was opened by its authority.
    Opened,
    /// Its job has ended.
    Ended(outcome::RunStatus),
}

/// Everything that a leaving process knows of keys.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyFarewell {
    /// Keys that the process issued and opened or closed. Nothing is told of others.
    pub own: Vec<(u64, KeyFate)>,
    /// Keys of others that name the process as witness.
    pub witnessed: Vec<WitnessedKeys>,
    /// Whether keys of authorities that are not listed were never opened.
    pub all_listed: bool,
}

/// Keys of one authority that name the leaving process as witness. Those above
/// the floor that are not listed were never opened, and never will be.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WitnessedKeys {
    /// The authority.
    pub authority: names::IncarnationId,
    /// Keys up to this position are forgotten unless they are listed.
    pub floor: u64,
    /// The keys that were opened or closed, by position.
    pub fates: Vec<(u64, KeyFate)>,
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum MessageError {
    /// No bytes at all.
    #[display("empty message")]
    Empty,
    /// Of a release that this one does not know.
    #[display("message version {version} is unknown")]
    UnknownVersion {
        /// The version found.
        version: u8,
    },
    /// The bytes do not decode, or some are left over.
    #[display("malformed message")]
    Malformed,
    /// The message can't be encoded.
    #[display("message can't be encoded")]
    Unencodable,
}

impl PeerMessage {
    /// Encodes the message.
    ///
    /// # Errors
    /// The codec refuses it.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        postcard::to_extend(self, vec![MESSAGE_VERSION]).map_err(|_| MessageError::Unencodable)
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// The bytes are no message of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let (version, body) = bytes.split_first().ok_or(MessageError::Empty)?;
        if *version != MESSAGE_VERSION {
            return Err(MessageError::UnknownVersion { version: *version });
        }
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Ok(message),
            Ok(_) | Err(_) => Err(MessageError::Malformed),
        }
    }
}
