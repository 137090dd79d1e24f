//! Counts for metrics.

use cuminkeel_types::outcome;

use crate::{answer, message};

/// What a ledger has done since its process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutcomeStats {
    /// Keys handed out.
    pub keys_issued: u64,
    /// Jobs started.
    pub jobs_started: u64,
    /// Complete answers given.
    pub replies_complete: u64,
    /// Refusals given with `not_run`.
    pub replies_not_run: u64,
    /// Refusals given with `unknown`.
    pub replies_unknown: u64,
    /// Refusals given with `ran`.
    pub replies_ran: u64,
    /// Messages about openings sent, as authority or witness.
    pub messages_open: u64,
    /// Messages about requests forwarded to another entry sent.
    pub messages_relay: u64,
    /// Messages about closing keys and handing them over sent.
    pub messages_recovery: u64,
    /// Messages received that could not be read or did not fit.
    pub messages_rejected: u64,
}

impl OutcomeStats {
    pub(crate) fn count_reply(&mut self, answer: &outcome::JobAnswer) {
        let counter = match (answer, answer::ran(answer)) {
            (outcome::JobAnswer::Complete { .. }, _) => &mut self.replies_complete,
            (_, outcome::RunStatus::NotRun) => &mut self.replies_not_run,
            (_, outcome::RunStatus::Unknown) => &mut self.replies_unknown,
            (_, outcome::RunStatus::Ran) => &mut self.replies_ran,
        };
        *counter += 1;
    }

    pub(crate) fn count_message(&mut self, message: &message::PeerMessage) {
        let counter = match message {
            message::PeerMessage::Open { .. } | message::PeerMessage::OpenReply { .. } => {
                &mut self.messages_open
            }
            message::PeerMessage::Forward { .. }
            | message::PeerMessage::Ask { .. }
            | message::PeerMessage::Accepted { .. }
            | message::PeerMessage::Unheard { .. }
            | message::PeerMessage::NotServed { .. }
            | message::PeerMessage::Answer { .. } => &mut self.messages_relay,
            message::PeerMessage::Close { .. }
            | message::PeerMessage::CloseReply { .. }
            | message::PeerMessage::Handover(_)
            | message::PeerMessage::HandoverReply
            | message::PeerMessage::Farewell(_)
            | message::PeerMessage::FarewellReply => &mut self.messages_recovery,
        };
        *counter += 1;
    }
}
