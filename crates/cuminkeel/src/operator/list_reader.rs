//! Reads the lists from the log.

use std::{collections, sync, time};

use cuminkeel_config::{EDIT_STREAM, SNAPSHOT_STREAM, follower, lists};
use cuminkeel_platform::border;
use cuminkeel_types::time::TimePoint;

use super::{error, log_calls};

/// Reads the lists up to the log's tail.
///
/// # Errors
/// [`error::OperatorError::LogUnreadable`] after `patience`.
pub async fn read(
    log: &dyn border::LogStore,
    patience: time::Duration,
) -> Result<sync::Arc<lists::ConfigLists>, error::OperatorError> {
    let load = load(log);
    match tokio::time::timeout(patience, load).await {
        Ok(lists) => Ok(lists),
        Err(_) => Err(error::OperatorError::LogUnreadable),
    }
}

async fn load(log: &dyn border::LogStore) -> sync::Arc<lists::ConfigLists> {
    let settings = follower::FollowerSettings {
        max_record_bytes: border::MAX_RECORD_BYTES,
        retention: None,
    };
    let started = time::Instant::now();
    let mut follower = follower::ConfigFollower::new(TimePoint::ZERO, settings, rand::random());
    let mut queue = collections::VecDeque::new();
    let mut event = follower::FollowerEvent::Tick;
    loop {
        let mut actions = Vec::new();
        let now = TimePoint::ZERO + started.elapsed();
        follower.handle(now, event, &mut actions);
        // An age means that the log's tail was reached.
        match follower.lists() {
            Some(lists) if follower.status(now).age.is_some() => return lists.clone(),
            _ => queue.extend(actions),
        }
        event = if let Some(action) = queue.pop_front() {
            answer(log, action).await
        } else {
            let now = TimePoint::ZERO + started.elapsed();
            tokio::time::sleep(follower.next_wakeup().since(now)).await;
            follower::FollowerEvent::Tick
        };
    }
}

async fn answer(
    log: &dyn border::LogStore,
    action: follower::FollowerAction,
) -> follower::FollowerEvent {
    match action {
        follower::FollowerAction::ReadLog { offset, wait } => {
            match log_calls::read(log, EDIT_STREAM, offset, wait).await {
                Ok(page) => follower::FollowerEvent::LogRead(page),
                Err(fault) => follower::FollowerEvent::LogFailed(fault),
            }
        }
        follower::FollowerAction::ReadSnapshots { offset } => {
            match log_calls::read(log, SNAPSHOT_STREAM, offset, false).await {
                Ok(page) => follower::FollowerEvent::SnapshotsRead(page),
                Err(fault) => follower::FollowerEvent::SnapshotsFailed(fault),
            }
        }
        _ => follower::FollowerEvent::Tick,
    }
}
