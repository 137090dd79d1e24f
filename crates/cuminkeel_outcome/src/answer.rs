//! Final answers: kept for resubmissions within bounds, and the refusals of the ledger itself.

use std::{collections, sync, time};

use cuminkeel_types::{outcome, time as clock};

use crate::key;

/// Bytes counted for an answer besides its outputs.
const ANSWER_OVERHEAD_BYTES: usize = 64;

/// A finished job's answer, or what is left of it.
#[derive(Clone, Debug)]
pub enum KeptAnswer {
    /// The whole answer.
    Whole(sync::Arc<outcome::JobAnswer>),
    /// The answer was dropped; only whether something ran is known.
    Dropped(outcome::RunStatus),
}

impl KeptAnswer {
    /// The answer for a caller.
    pub fn to_answer(&self) -> outcome::JobAnswer {
        match self {
            Self::Whole(answer) => outcome::JobAnswer::clone(answer),
            Self::Dropped(ran) => ended(*ran),
        }
    }

    /// Whether something ran.
    pub fn ran(&self) -> outcome::RunStatus {
        match self {
            Self::Whole(answer) => ran(answer),
            Self::Dropped(ran) => *ran,
        }
    }
}

/// Order in which kept answers are dropped, and their size.
#[derive(Debug, Default)]
pub struct AnswerQueue {
    kept: collections::VecDeque<(clock::TimePoint, key::KeyId, usize)>,
    bytes: usize,
}

impl AnswerQueue {
    /// Adds a kept answer.
    pub fn push(&mut self, now: clock::TimePoint, key: key::KeyId, answer: &outcome::JobAnswer) {
        let bytes = answer_bytes(answer);
        self.bytes = self.bytes.saturating_add(bytes);
        self.kept.push_back((now, key, bytes));
    }

    /// Takes the next answer that is too old or too much.
    pub fn pop_excess(
        &mut self,
        now: clock::TimePoint,
        retention: time::Duration,
        capacity: usize,
    ) -> Option<key::KeyId> {
        let (kept_at, _, _) = self.kept.front()?;
        if now.since(*kept_at) < retention && self.bytes <= capacity {
            return None;
        }
        let (_, key, bytes) = self.kept.pop_front()?;
        self.bytes = self.bytes.saturating_sub(bytes);
        Some(key)
    }

    /// Bytes of kept answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn answer_bytes(answer: &outcome::JobAnswer) -> usize {
    let content: usize = match answer {
        outcome::JobAnswer::Complete { outputs } => outputs
            .iter()
            .map(|output| output.len() + size_of::<sync::Arc<str>>())
            .sum(),
        outcome::JobAnswer::Failed(refusal) => refusal.detail.len(),
    };
    content + ANSWER_OVERHEAD_BYTES
}

/// Whether an answer says that something ran.
pub fn ran(answer: &outcome::JobAnswer) -> outcome::RunStatus {
    match answer {
        outcome::JobAnswer::Complete { .. } => outcome::RunStatus::Ran,
        outcome::JobAnswer::Failed(refusal) => refusal.ran,
    }
}

/// A failed answer without a retry time.
pub fn failed(
    code: outcome::RefusalCode,
    ran: outcome::RunStatus,
    detail: &str,
) -> outcome::JobAnswer {
    outcome::JobAnswer::Failed(outcome::Refusal {
        code,
        ran,
        retry_after: None,
        detail: detail.into(),
    })
}

/// A failed answer that proves nothing ran; a new key may be used at once.
pub fn not_run_retry(code: outcome::RefusalCode, detail: &str) -> outcome::JobAnswer {
    outcome::JobAnswer::Failed(
        outcome::Refusal::not_run(code, detail).retry_after(time::Duration::ZERO),
    )
}

/// The answer for a key that is closed for good. Callers see one code for all
/// closings but their own cancellation.
pub fn closed(code: outcome::RefusalCode) -> outcome::JobAnswer {
    match code {
        outcome::RefusalCode::Cancelled => failed(
            code,
            outcome::RunStatus::NotRun,
            "the key was cancelled before its job started",
        ),
        outcome::RefusalCode::KeyUnresolved => not_run_retry(
            outcome::RefusalCode::KeyClosed,
            "the key's witness did not answer and the key was closed; fetch a new key and submit again",
        ),
        _ => not_run_retry(
            code,
            "the key is closed and its job never started; fetch a new key and submit again",
        ),
    }
}

/// The answer for a key whose job has ended and whose answer is lost.
pub fn ended(ran: outcome::RunStatus) -> outcome::JobAnswer {
    failed(
        outcome::RefusalCode::KeyClosed,
        ran,
        "the key was used and its job has ended; the answer is no longer kept",
    )
}

/// The answer for a key whose fate can't be proved.
pub fn unresolved(detail: &str) -> outcome::JobAnswer {
    failed(
        outcome::RefusalCode::KeyUnresolved,
        outcome::RunStatus::Unknown,
        detail,
    )
}
