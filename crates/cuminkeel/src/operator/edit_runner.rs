//! Carries out an edit session against the log.

use std::{collections, time};

use cuminkeel_config::{EDIT_STREAM, SNAPSHOT_STREAM, change, edit, session, verdict};
use cuminkeel_platform::border;
use cuminkeel_types::time::TimePoint;

use super::{error, log_calls};

/// One edit to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EditRequest {
    /// Its identity; that of an earlier try settles the earlier try.
    pub id: edit::EditId,
    /// Version that the row must have; none to take it as it stands.
    pub based_on: Option<edit::RowVersion>,
    /// The change.
    pub change: change::RowChange,
    /// Time after which to give up.
    pub patience: time::Duration,
}

/// An edit that is known to be accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcceptedEdit {
    /// Where it stands on the log.
    pub offset: u64,
    /// Version that the row got.
    pub version: edit::RowVersion,
}

/// Makes the edit and returns once its verdict is known.
///
/// # Errors
/// Anything but a known acceptance.
pub async fn run(
    log: &dyn border::LogStore,
    request: EditRequest,
) -> Result<AcceptedEdit, error::OperatorError> {
    let settings = session::SessionSettings {
        id: request.id,
        based_on: request.based_on,
        max_record_bytes: border::MAX_RECORD_BYTES,
        patience: request.patience,
    };
    let seed = rand::random();
    let session = session::EditSession::new(TimePoint::ZERO, settings, request.change, seed);
    let settled = drive(log, session).await?;
    let id = settled.id;
    match settled.verdict {
        verdict::EditVerdict::Accepted { version } => Ok(AcceptedEdit {
            offset: settled.offset,
            version,
        }),
        verdict::EditVerdict::Conflict { winner } => {
            Err(error::OperatorError::Conflict { id, winner })
        }
        verdict::EditVerdict::Refused { reason } => {
            Err(error::OperatorError::Refused { id, reason })
        }
        // A session never ends with a duplicate: it names the first verdict.
        verdict::EditVerdict::Duplicate { .. } => Err(session::SessionError::Unknown { id }.into()),
    }
}

async fn drive(
    log: &dyn border::LogStore,
    mut session: session::EditSession,
) -> Result<session::SettledEdit, session::SessionError> {
    let started = time::Instant::now();
    let mut queue = collections::VecDeque::new();
    let mut event = session::SessionEvent::Tick;
    loop {
        let mut actions = Vec::new();
        let now = TimePoint::ZERO + started.elapsed();
        session.handle(now, event, &mut actions);
        for action in actions {
            match action {
                session::SessionAction::Finish(result) => return result,
                action => queue.push_back(action),
            }
        }
        event = if let Some(action) = queue.pop_front() {
            answer(log, action).await
        } else {
            let now = TimePoint::ZERO + started.elapsed();
            tokio::time::sleep(session.next_wakeup().since(now)).await;
            session::SessionEvent::Tick
        };
    }
}

async fn answer(
    log: &dyn border::LogStore,
    action: session::SessionAction,
) -> session::SessionEvent {
    match action {
        session::SessionAction::ReadLog { offset, wait } => {
            match log_calls::read(log, EDIT_STREAM, offset, wait).await {
                Ok(page) => session::SessionEvent::LogRead(page),
                Err(fault) => session::SessionEvent::LogFailed(fault),
            }
        }
        session::SessionAction::ReadSnapshots { offset } => {
            match log_calls::read(log, SNAPSHOT_STREAM, offset, false).await {
                Ok(page) => session::SessionEvent::SnapshotsRead(page),
                Err(fault) => session::SessionEvent::SnapshotsFailed(fault),
            }
        }
        session::SessionAction::Append(bytes) => match log_calls::append(log, &bytes).await {
            log_calls::AppendAnswer::Written { offset } => {
                session::SessionEvent::Appended { offset }
            }
            log_calls::AppendAnswer::NotWritten => session::SessionEvent::AppendRefused,
            log_calls::AppendAnswer::Unknown => session::SessionEvent::AppendUnknown,
        },
        session::SessionAction::Finish(_) => session::SessionEvent::Tick,
    }
}
