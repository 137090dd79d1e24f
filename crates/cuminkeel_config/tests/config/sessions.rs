//! An operator's edit through faults of the log, case by case.

use std::time;

use cuminkeel_config::{change, edit, page, session, verdict};
use cuminkeel_types::time::TimePoint;
use session::{SessionAction, SessionError, SessionEvent};

use crate::{fake_log, support};

const ID: edit::EditId = edit::EditId(77);
const PATIENCE: time::Duration = time::Duration::from_secs(30);

/// What happens to one append.
#[derive(Clone, Copy, Debug)]
enum AppendFault {
    Ack,
    LostBeforeWrite,
    LostAfterWrite,
    WrittenTwice,
    /// Not acknowledged, and written after this many further reads.
    Late(u32),
    Refused,
}

/// What else happens.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// The log answers nothing for this many reads.
    Outage(u32),
    /// The log answers nothing after the first append.
    OutageAfterAppend,
    /// Another operator edits the row before the append arrives.
    Race,
    /// Reads answer from before the append for this many reads.
    StaleReads(u32),
    /// The head of the log is trimmed, and a snapshot stands.
    TrimmedHead,
    /// A snapshot is missing its last part, and the log is whole.
    TornSnapshot,
}

#[derive(Debug, PartialEq)]
enum Expected {
    Accepted { at: u64 },
    Conflict,
    Failed(SessionError),
}

struct SessionRun {
    log: fake_log::FakeLog,
    session: session::EditSession,
    faults: Vec<AppendFault>,
    trouble: Trouble,
    late: Vec<(u32, Vec<u8>)>,
    reads: u32,
    appended: bool,
    stale_tail: u64,
    stale_left: u32,
}

impl SessionRun {
    fn read(&mut self, offset: u64) -> Result<page::LogPage, page::ReadFault> {
        self.reads += 1;
        for (reads, _) in &mut self.late {
            *reads = reads.saturating_sub(1);
        }
        let (due, late) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|late| late.0 == 0);
        self.late = late;
        let due: Vec<(u32, Vec<u8>)> = due;
        for (_, bytes) in due {
            self.log.edits.append(&bytes);
        }
        match self.trouble {
            Trouble::Outage(reads) if self.reads <= reads => Err(page::ReadFault::Unavailable),
            Trouble::OutageAfterAppend if self.appended => Err(page::ReadFault::Unavailable),
            Trouble::StaleReads(_) if self.appended && self.stale_left > 0 => {
                self.stale_left -= 1;
                self.log.edits.read_until(offset, self.stale_tail)
            }
            _ => self.log.edits.read(offset),
        }
    }

    fn append(&mut self, bytes: &[u8]) -> SessionEvent {
        if self.trouble == Trouble::Race && !self.appended {
            let rival = support::bytes(1_000, 1, support::plan("gold", 9));
            self.log.edits.append(&rival);
        }
        self.appended = true;
        self.stale_tail = self.log.edits.tail();
        let fault = match self.faults.len() {
            0 => AppendFault::Ack,
            _ => self.faults.remove(0),
        };
        match fault {
            AppendFault::Refused => return SessionEvent::AppendRefused,
            AppendFault::LostBeforeWrite => return SessionEvent::AppendUnknown,
            AppendFault::Late(reads) => {
                self.late.push((reads, bytes.to_vec()));
                return SessionEvent::AppendUnknown;
            }
            AppendFault::WrittenTwice => drop(self.log.edits.append(bytes)),
            AppendFault::Ack | AppendFault::LostAfterWrite => {}
        }
        let offset = self.log.edits.append(bytes);
        match fault {
            AppendFault::LostAfterWrite => SessionEvent::AppendUnknown,
            _ => SessionEvent::Appended { offset },
        }
    }

    fn answer(&mut self, action: SessionAction) -> Result<SessionEvent, Expected> {
        match action {
            SessionAction::ReadLog { offset, .. } => Ok(match self.read(offset) {
                Ok(page) => SessionEvent::LogRead(page),
                Err(fault) => SessionEvent::LogFailed(fault),
            }),
            SessionAction::ReadSnapshots { offset } => Ok(match self.log.snapshots.read(offset) {
                Ok(page) => SessionEvent::SnapshotsRead(page),
                Err(fault) => SessionEvent::SnapshotsFailed(fault),
            }),
            SessionAction::Append(bytes) => Ok(self.append(&bytes)),
            SessionAction::Finish(Ok(settled)) => Err(match settled.verdict {
                verdict::EditVerdict::Conflict { .. } => Expected::Conflict,
                _ => Expected::Accepted { at: settled.offset },
            }),
            SessionAction::Finish(Err(error)) => Err(Expected::Failed(error)),
        }
    }

    fn run(&mut self) -> Expected {
        let mut now = TimePoint::ZERO;
        let mut events = vec![SessionEvent::Tick];
        for _ in 0..100_000 {
            let mut actions = Vec::new();
            if events.is_empty() {
                now = now.max(self.session.next_wakeup());
                events.push(SessionEvent::Tick);
            }
            self.session.handle(now, events.remove(0), &mut actions);
            for action in actions {
                match self.answer(action) {
                    Ok(event) => events.push(event),
                    Err(result) => return result,
                }
            }
        }
        panic!("the session does not end");
    }
}

/// A log with plan `gold` in version 1 and seven plans more.
fn seeded_log(trouble: Trouble) -> fake_log::FakeLog {
    let mut log = fake_log::FakeLog::default();
    let mut fold = cuminkeel_config::fold::ConfigFold::default();
    for (offset, name) in (0_u64..).zip(["gold", "a", "b", "c", "d", "e", "f", "g"]) {
        let bytes = support::bytes(u128::from(offset), 0, support::plan(name, 1));
        log.edits.append(&bytes);
        fold.apply(offset, &bytes).expect("in order");
    }
    let parts = cuminkeel_config::snapshot::encode_snapshot(&fold, 200).expect("small");
    let kept = match trouble {
        Trouble::TrimmedHead => parts.len(),
        Trouble::TornSnapshot => parts.len() - 1,
        _ => 0,
    };
    for part in &parts[..kept] {
        log.snapshots.append(part);
    }
    if trouble == Trouble::TrimmedHead {
        log.edits.trim(8);
    }
    log
}

fn run_case(faults: &[AppendFault], trouble: Trouble) -> (Expected, fake_log::FakeLog) {
    let settings = session::SessionSettings {
        id: ID,
        based_on: None,
        max_record_bytes: support::LIMIT,
        patience: PATIENCE,
    };
    let change = change::RowChange::SetPlan(change::PlanChange {
        name: "gold".into(),
        weight: Some(5),
        max_concurrent_tasks: None,
        max_task_starts_per_second: None,
        classes: None,
    });
    let mut run = SessionRun {
        log: seeded_log(trouble),
        session: session::EditSession::new(TimePoint::ZERO, settings, change, 1),
        faults: faults.to_vec(),
        trouble,
        late: Vec::new(),
        reads: 0,
        appended: false,
        stale_tail: 0,
        stale_left: match trouble {
            Trouble::StaleReads(reads) => reads,
            _ => 0,
        },
    };
    let result = run.run();
    (result, run.log)
}

#[test]
fn an_edit_settles_through_each_fault() {
    use AppendFault::{Ack, Late, LostAfterWrite, LostBeforeWrite, Refused, WrittenTwice};
    let accepted = |at| Expected::Accepted { at };
    let unknown = || Expected::Failed(SessionError::Unknown { id: ID });
    let refused = Expected::Failed(SessionError::AppendRefused);
    let unreadable = Expected::Failed(SessionError::LogUnreadable);
    let cases = [
        ("no fault", vec![Ack], Trouble::None, accepted(8)),
        (
            "ack lost before write",
            vec![LostBeforeWrite],
            Trouble::None,
            accepted(8),
        ),
        (
            "ack lost three times",
            vec![LostBeforeWrite; 3],
            Trouble::None,
            accepted(8),
        ),
        (
            "ack lost after write",
            vec![LostAfterWrite],
            Trouble::None,
            accepted(8),
        ),
        (
            "written twice",
            vec![WrittenTwice],
            Trouble::None,
            accepted(8),
        ),
        ("written late", vec![Late(3)], Trouble::None, accepted(8)),
        (
            "written late, behind its second copy",
            vec![Late(90)],
            Trouble::None,
            accepted(8),
        ),
        ("refused", vec![Refused], Trouble::None, refused),
        (
            "refused after a lost ack",
            vec![LostAfterWrite, Refused],
            Trouble::None,
            accepted(8),
        ),
        ("outage first", vec![Ack], Trouble::Outage(6), accepted(8)),
        (
            "outage throughout",
            vec![Ack],
            Trouble::Outage(u32::MAX),
            unreadable,
        ),
        (
            "outage after the ack",
            vec![Ack],
            Trouble::OutageAfterAppend,
            unknown(),
        ),
        (
            "outage after a lost ack",
            vec![LostAfterWrite],
            Trouble::OutageAfterAppend,
            unknown(),
        ),
        ("race", vec![Ack], Trouble::Race, Expected::Conflict),
        (
            "race and lost ack",
            vec![LostAfterWrite],
            Trouble::Race,
            Expected::Conflict,
        ),
        (
            "stale reads",
            vec![Ack],
            Trouble::StaleReads(4),
            accepted(8),
        ),
        (
            "stale reads, lost ack",
            vec![LostAfterWrite],
            Trouble::StaleReads(4),
            accepted(8),
        ),
        ("trimmed head", vec![Ack], Trouble::TrimmedHead, accepted(8)),
        (
            "torn snapshot",
            vec![Ack],
            Trouble::TornSnapshot,
            accepted(8),
        ),
    ];
    for (name, faults, trouble, expected) in cases {
        let (result, log) = run_case(&faults, trouble);
        assert_eq!(result, expected, "{name}");
        let lists = fold_whole(&log);
        let version = lists.plans[&"gold".into()].version;
        assert!(version <= 2, "{name}: the edit took effect {version} times");
    }
}

#[test]
fn a_second_command_with_the_same_id_settles_the_first() {
    let (_, log) = run_case(&[AppendFault::LostAfterWrite], Trouble::OutageAfterAppend);
    let change = change::RowChange::RemovePlan("gold".into());
    let settings = session::SessionSettings {
        id: ID,
        based_on: None,
        max_record_bytes: support::LIMIT,
        patience: PATIENCE,
    };
    let tail = log.edits.tail();
    let mut run = SessionRun {
        log,
        session: session::EditSession::new(TimePoint::ZERO, settings, change, 2),
        faults: Vec::new(),
        trouble: Trouble::None,
        late: Vec::new(),
        reads: 0,
        appended: false,
        stale_tail: 0,
        stale_left: 0,
    };
    assert_eq!(run.run(), Expected::Accepted { at: 8 });
    assert_eq!(run.log.edits.tail(), tail, "nothing more was appended");
}

fn fold_whole(log: &fake_log::FakeLog) -> cuminkeel_config::lists::ConfigLists {
    let mut fold = cuminkeel_config::fold::ConfigFold::default();
    for offset in 0..log.edits.tail() {
        fold.apply(offset, log.edits.record(offset))
            .expect("in order");
    }
    (**fold.lists()).clone()
}
