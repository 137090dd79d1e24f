//! How a caller gets a job run at most once: a submission key, the same key
//! again through another entry when no answer came, a fresh key only after a
//! refusal that proves nothing ran.

use std::{net, time};

use cuminkeel_entry::api;

use super::caller;

/// Pause after a refusal that names no time to come back.
const DEFAULT_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Longest call for keys.
const KEY_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Time past a job's deadline after which a call counts as lost.
const CALL_MARGIN: time::Duration = time::Duration::from_secs(3);

/// What became of a job.
#[derive(Clone, Debug)]
pub enum ProtocolEnd {
    /// The whole answer.
    Complete(api::JobBody),
    /// A final refusal or failure.
    Refused(api::ErrorBody),
    /// No entry gave an answer in time; whether the job ran is not known.
    NoAnswer,
}

/// A job that was run by the protocol.
#[derive(Clone, Debug)]
pub struct ProtocolRun {
    /// How it ended.
    pub end: ProtocolEnd,
    /// Calls beyond the first.
    pub repeats: usize,
}

/// Runs one job until it has an answer, a final refusal, or `patience` is over.
/// The entries are tried in turn, from the `first` on.
pub async fn run_job(
    caller: &caller::JobCaller,
    entries: &(dyn Fn() -> Vec<net::SocketAddr> + Send + Sync),
    first: usize,
    submission: &api::JobSubmission,
    patience: time::Duration,
) -> ProtocolRun {
    let end = tokio::time::Instant::now() + patience;
    let limit = time::Duration::from_millis(submission.deadline_ms) + CALL_MARGIN;
    let mut submission = submission.clone();
    let mut repeats = 0;
    loop {
        let offered = entries();
        let next = offered.get((first + repeats) % offered.len().max(1));
        let pause = match next {
            Some(entry) => match try_once(caller, *entry, &mut submission, limit).await {
                TryEnd::Final(end) => return ProtocolRun { end, repeats },
                TryEnd::Again(pause) => pause,
            },
            None => DEFAULT_PAUSE,
        };
        if tokio::time::Instant::now() + pause > end {
            let end = ProtocolEnd::NoAnswer;
            return ProtocolRun { end, repeats };
        }
        tokio::time::sleep(pause).await;
        repeats += 1;
    }
}

enum TryEnd {
    Final(ProtocolEnd),
    Again(time::Duration),
}

async fn try_once(
    caller: &caller::JobCaller,
    entry: net::SocketAddr,
    submission: &mut api::JobSubmission,
    limit: time::Duration,
) -> TryEnd {
    if !submission.idempotent && submission.submission_key.is_none() {
        let keys = caller.keys(entry, 1, KEY_LIMIT).await;
        submission.submission_key = keys.ok().and_then(|mut keys| keys.pop());
        if submission.submission_key.is_none() {
            return TryEnd::Again(DEFAULT_PAUSE);
        }
    }
    match caller.submit(entry, submission, limit).await {
        Ok(caller::JobResult::Answered(body)) => TryEnd::Final(ProtocolEnd::Complete(body)),
        Ok(caller::JobResult::Refused(body)) => match body.retry_after_ms {
            Some(pause) => {
                if body.ran == "not_run" {
                    // Proved not to have run, so a fresh key doubles nothing.
                    submission.submission_key = None;
                }
                TryEnd::Again(time::Duration::from_millis(pause))
            }
            None => TryEnd::Final(ProtocolEnd::Refused(body)),
        },
        // The same key again: the job runs at most once.
        Err(_) => TryEnd::Again(DEFAULT_PAUSE),
    }
}
