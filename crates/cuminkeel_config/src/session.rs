//! One operator's edit, from the row as it stands to a known verdict.
//!
//! An append whose answer was lost is settled by reading the edit's id back
//! from the log. If it is not there, the same record is appended again; the
//! fold lets it take effect once, however often it stands on the log.

use std::time;

use cuminkeel_types::time::TimePoint;
use derive_more::{Display, Error};

use crate::{change, edit, fold, follower, page, record, verdict};

/// Delay before a record that can't be found on the log is appended again.
const RESEND_DELAY: time::Duration = time::Duration::from_secs(1);

/// Fixed settings of a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SessionSettings {
    /// Identity of the edit; the same as before to settle an earlier try.
    pub id: edit::EditId,
    /// Version that the row must have; none to take it as it stands.
    pub based_on: Option<edit::RowVersion>,
    /// Largest record of the log, in bytes.
    pub max_record_bytes: usize,
    /// Time after which the session gives up.
    pub patience: time::Duration,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionEvent {
    /// The time named by [`EditSession::next_wakeup`] has come.
    Tick,
    /// Answer to [`SessionAction::ReadLog`].
    LogRead(page::LogPage),
    /// Answer to [`SessionAction::ReadLog`].
    LogFailed(page::ReadFault),
    /// Answer to [`SessionAction::ReadSnapshots`].
    SnapshotsRead(page::LogPage),
    /// Answer to [`SessionAction::ReadSnapshots`].
    SnapshotsFailed(page::ReadFault),
    /// Answer to [`SessionAction::Append`]: written at this offset.
    Appended {
        /// The offset.
        offset: u64,
    },
    /// Answer to [`SessionAction::Append`]: proved not written.
    AppendRefused,
    /// Answer to [`SessionAction::Append`]: it may have been written.
    AppendUnknown,
}

/// Something that the shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionAction {
    /// See [`follower::FollowerAction::ReadLog`].
    ReadLog {
        /// First offset wanted.
        offset: u64,
        /// Whether to wait for a record past the tail.
        wait: bool,
    },
    /// See [`follower::FollowerAction::ReadSnapshots`].
    ReadSnapshots {
        /// First offset wanted.
        offset: u64,
    },
    /// Append this record to [`crate::EDIT_STREAM`].
    Append(Vec<u8>),
    /// The session is over.
    Finish(Result<SettledEdit, SessionError>),
}

/// An edit whose verdict is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettledEdit {
    /// Its identity.
    pub id: edit::EditId,
    /// Where it stands on the log first.
    pub offset: u64,
    /// What became of it there.
    pub verdict: verdict::EditVerdict,
}

/// Why the verdict is not known.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SessionError {
    /// The change does not fit the row as it stands; nothing was appended.
    #[display("{_0}; nothing was changed")]
    Change(#[error(not(source))] change::ChangeError),
    /// The record can't be written; nothing was appended.
    #[display("{_0}; nothing was changed")]
    Encode(#[error(not(source))] record::EncodeError),
    /// The log could not be read in time; nothing was appended.
    #[display("the log could not be read in time; nothing was changed")]
    LogUnreadable,
    /// The log refused the record before it wrote it.
    #[display("the log refused the record; nothing was changed")]
    AppendRefused,
    /// The record may have been written, and its verdict was not read in time.
    #[display("unknown whether edit {id} took effect; run the command again with --edit-id {id}")]
    Unknown {
        /// Identity to settle it with.
        id: edit::EditId,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum SessionStage {
    /// The lists are being read.
    Loading,
    /// An append is under way.
    Appending(Vec<u8>),
    /// The record is looked for; it is appended again at the time if given.
    Settling(Vec<u8>, Option<TimePoint>),
    /// Finished.
    Over,
}

/// State machine of one edit. Does no I/O. Each read or append asked for must
/// be answered by exactly one event.
#[derive(Debug)]
pub struct EditSession {
    settings: SessionSettings,
    change: change::RowChange,
    follower: follower::ConfigFollower,
    stage: SessionStage,
    /// Whether a record may stand on the log because of this session.
    may_stand: bool,
    deadline: TimePoint,
}

impl EditSession {
    /// Starts a session. Feed it [`SessionEvent::Tick`] first.
    pub fn new(
        now: TimePoint,
        settings: SessionSettings,
        change: change::RowChange,
        seed: u64,
    ) -> Self {
        let follower_settings = follower::FollowerSettings {
            max_record_bytes: settings.max_record_bytes,
            retention: None,
        };
        Self {
            settings,
            change,
            follower: follower::ConfigFollower::new(now, follower_settings, seed),
            stage: SessionStage::Loading,
            may_stand: false,
            deadline: now + settings.patience,
        }
    }

    /// Takes in one event and appends what follows from it to `actions`.
    pub fn handle(
        &mut self,
        now: TimePoint,
        event: SessionEvent,
        actions: &mut Vec<SessionAction>,
    ) {
        use follower::FollowerEvent;
        let event = match event {
            SessionEvent::Tick => Some(FollowerEvent::Tick),
            SessionEvent::LogRead(page) => Some(FollowerEvent::LogRead(page)),
            SessionEvent::LogFailed(fault) => Some(FollowerEvent::LogFailed(fault)),
            SessionEvent::SnapshotsRead(page) => Some(FollowerEvent::SnapshotsRead(page)),
            SessionEvent::SnapshotsFailed(fault) => Some(FollowerEvent::SnapshotsFailed(fault)),
            SessionEvent::Appended { .. } => self.append_ended(None),
            SessionEvent::AppendUnknown => self.append_ended(Some(now + RESEND_DELAY)),
            SessionEvent::AppendRefused => self.append_refused(now, actions),
        };
        if let Some(event) = event {
            self.feed(now, event, actions);
        }
        self.run_due(now, actions);
    }

    /// When [`SessionEvent::Tick`] is wanted next.
    pub fn next_wakeup(&self) -> TimePoint {
        let wakeup = self.follower.next_wakeup().min(self.deadline);
        match &self.stage {
            SessionStage::Settling(_, Some(resend)) => wakeup.min(*resend),
            _ => wakeup,
        }
    }

    /// The row after the last record that was read.
    pub fn row(&self) -> Option<verdict::RowState> {
        let key = self.change.key();
        self.follower.fold().map(|fold| fold.row(&key))
    }

    fn feed(
        &mut self,
        now: TimePoint,
        event: follower::FollowerEvent,
        actions: &mut Vec<SessionAction>,
    ) {
        let mut outputs = Vec::new();
        self.follower.handle(now, event, &mut outputs);
        for output in outputs {
            match output {
                follower::FollowerAction::ReadLog { offset, wait } => {
                    actions.push(SessionAction::ReadLog { offset, wait });
                }
                follower::FollowerAction::ReadSnapshots { offset } => {
                    actions.push(SessionAction::ReadSnapshots { offset });
                }
                follower::FollowerAction::Folded(folded) => self.take_folded(folded, actions),
                _ => {}
            }
        }
    }

    fn take_folded(&mut self, folded: fold::FoldedRecord, actions: &mut Vec<SessionAction>) {
        if folded.id != Some(self.settings.id) {
            return;
        }
        let (offset, verdict) = match folded.verdict {
            verdict::EditVerdict::Duplicate { offset, first } => (offset, self.widen(first)),
            verdict => (folded.offset, verdict),
        };
        self.settle(offset, verdict, actions);
    }

    /// The verdict of a summary, with the row as it stands now.
    fn widen(&self, summary: verdict::VerdictSummary) -> verdict::EditVerdict {
        match summary {
            verdict::VerdictSummary::Accepted { version } => {
                verdict::EditVerdict::Accepted { version }
            }
            verdict::VerdictSummary::Refused { reason } => verdict::EditVerdict::Refused { reason },
            verdict::VerdictSummary::Conflict { version } => verdict::EditVerdict::Conflict {
                winner: self.row().unwrap_or(verdict::RowState::Absent { version }),
            },
        }
    }

    fn settle(
        &mut self,
        offset: u64,
        verdict: verdict::EditVerdict,
        actions: &mut Vec<SessionAction>,
    ) {
        let id = self.settings.id;
        let settled = SettledEdit {
            id,
            offset,
            verdict,
        };
        self.finish(Ok(settled), actions);
    }

    fn finish(
        &mut self,
        result: Result<SettledEdit, SessionError>,
        actions: &mut Vec<SessionAction>,
    ) {
        if self.stage != SessionStage::Over {
            self.stage = SessionStage::Over;
            actions.push(SessionAction::Finish(result));
        }
    }

    fn append_ended(&mut self, resend: Option<TimePoint>) -> Option<follower::FollowerEvent> {
        if let SessionStage::Appending(bytes) = &self.stage {
            self.stage = SessionStage::Settling(bytes.clone(), resend);
        }
        self.may_stand = true;
        None
    }

    fn append_refused(
        &mut self,
        now: TimePoint,
        actions: &mut Vec<SessionAction>,
    ) -> Option<follower::FollowerEvent> {
        if self.may_stand {
            return self.append_ended(Some(now + RESEND_DELAY));
        }
        self.finish(Err(SessionError::AppendRefused), actions);
        None
    }

    fn run_due(&mut self, now: TimePoint, actions: &mut Vec<SessionAction>) {
        if now >= self.deadline {
            let id = self.settings.id;
            let may_stand = self.may_stand || matches!(self.stage, SessionStage::Appending(_));
            let error = if may_stand {
                SessionError::Unknown { id }
            } else {
                SessionError::LogUnreadable
            };
            return self.finish(Err(error), actions);
        }
        match &self.stage {
            SessionStage::Loading if self.loaded() => self.start_append(actions),
            SessionStage::Settling(bytes, Some(resend)) if *resend <= now => {
                let bytes = bytes.clone();
                self.append(bytes, actions);
            }
            _ => {}
        }
    }

    /// Whether the log itself was read up to its tail.
    fn loaded(&self) -> bool {
        let status = self.follower.status(self.deadline);
        status.log_reachable && status.age.is_some()
    }

    fn start_append(&mut self, actions: &mut Vec<SessionAction>) {
        let Some(fold) = self.follower.fold() else {
            return;
        };
        let id = self.settings.id;
        if let Some((offset, summary)) = fold.recent_verdict(id) {
            let verdict = self.widen(summary);
            return self.settle(offset, verdict, actions);
        }
        let standing = fold.row(&self.change.key());
        let based_on = self.settings.based_on.unwrap_or(standing.version());
        let edit = match self.change.resolve(&standing) {
            Ok(edit) => edit,
            Err(error) => return self.finish(Err(SessionError::Change(error)), actions),
        };
        let record = edit::EditRecord { id, based_on, edit };
        match record::encode_edit(&record, self.settings.max_record_bytes) {
            Ok(bytes) => self.append(bytes, actions),
            Err(error) => self.finish(Err(SessionError::Encode(error)), actions),
        }
    }

    fn append(&mut self, bytes: Vec<u8>, actions: &mut Vec<SessionAction>) {
        self.stage = SessionStage::Appending(bytes.clone());
        actions.push(SessionAction::Append(bytes));
    }
}
