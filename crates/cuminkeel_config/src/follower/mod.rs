//! Follows the edit stream on the log and through peers.
//!
//! [`ConfigFollower`] never goes to an older offset. It starts from the newest
//! snapshot on the log or from a peer's state, whichever comes first, reads the
//! log, and passes records on to entries that can't. What a peer told is
//! compared with the log when the log can be read.

mod event;
mod exchange;
mod history;
mod reading;
mod starting;

use std::{sync, time};

use cuminkeel_types::time::TimePoint;
use rand::{RngExt, SeedableRng, rngs};

pub use event::{
    FollowerAction, FollowerEvent, FollowerFault, FollowerSettings, FollowerStatus, PeerEntry,
};

use crate::{fold, lists, peer, schedule, snapshot};

/// Time between two announcements to peers.
pub const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// First delay after a failed or stale read.
const FIRST_RETRY: time::Duration = time::Duration::from_millis(200);
/// Longest delay after failed or stale reads.
const MAX_RETRY: time::Duration = time::Duration::from_secs(4);

/// What is being asked of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadState {
    /// A request is under way.
    Reading,
    /// Nothing is under way; the next request is due then.
    Paused(TimePoint),
    /// Nothing is wanted.
    Idle,
}

/// State machine of one entry's configuration. Does no I/O: the shell feeds
/// [`FollowerEvent`]s and carries out [`FollowerAction`]s. Each read asked for
/// must be answered by exactly one event.
#[derive(Debug)]
pub struct ConfigFollower {
    settings: FollowerSettings,
    rng: rngs::StdRng,
    fold: Option<fold::ConfigFold>,
    history: history::RecordHistory,
    /// Up to here the log itself was read and agreed with the fold.
    log_at: Option<peer::ChainPoint>,
    log_read: ReadState,
    snapshot_read: ReadState,
    /// Next offset of the snapshot stream.
    snapshot_offset: u64,
    /// Where the last record of this entry's own snapshot stands.
    own_snapshot: Option<u64>,
    /// Whether the pass over the snapshot stream is meant to find a start.
    seeking_start: bool,
    log_assembler: snapshot::SnapshotAssembler,
    peer_assembler: snapshot::SnapshotAssembler,
    schedule: Option<schedule::SnapshotSchedule>,
    retry: time::Duration,
    peers: Vec<PeerEntry>,
    next_announce: TimePoint,
    next_ask: TimePoint,
    next_state: TimePoint,
    /// When the offset was last known to be the tail.
    confirmed_at: Option<TimePoint>,
    in_force: bool,
    told_offset: Option<u64>,
    log_reachable: bool,
    fault_count: u64,
}

impl ConfigFollower {
    /// Makes a follower that knows nothing. Feed it [`FollowerEvent::Tick`] to
    /// start.
    pub fn new(now: TimePoint, settings: FollowerSettings, seed: u64) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let schedule = settings.retention.map(|retention| {
            let seed = rng.random_range(0..u64::MAX);
            schedule::SnapshotSchedule::new(now, retention, seed)
        });
        Self {
            settings,
            rng,
            fold: None,
            history: history::RecordHistory::default(),
            log_at: None,
            log_read: ReadState::Idle,
            snapshot_read: ReadState::Paused(now),
            snapshot_offset: 0,
            own_snapshot: None,
            seeking_start: true,
            log_assembler: snapshot::SnapshotAssembler::default(),
            peer_assembler: snapshot::SnapshotAssembler::default(),
            schedule,
            retry: FIRST_RETRY,
            peers: Vec::new(),
            next_announce: now,
            next_ask: now,
            next_state: now,
            confirmed_at: None,
            in_force: false,
            told_offset: None,
            log_reachable: false,
            fault_count: 0,
        }
    }

    /// Takes in one event and appends what follows from it to `actions`.
    pub fn handle(
        &mut self,
        now: TimePoint,
        event: FollowerEvent,
        actions: &mut Vec<FollowerAction>,
    ) {
        match event {
            FollowerEvent::Tick => {}
            FollowerEvent::LogRead(page) => self.log_page(now, &page, actions),
            FollowerEvent::LogFailed(fault) => self.log_failed(now, fault, actions),
            FollowerEvent::SnapshotsRead(page) => self.snapshot_page(now, page, actions),
            FollowerEvent::SnapshotsFailed(fault) => self.snapshots_failed(now, fault),
            FollowerEvent::SnapshotAppended { offset, position } => {
                self.own_snapshot = Some(position);
                self.snapshot_stands(now, offset);
            }
            FollowerEvent::SnapshotAppendFailed => self.snapshot_append_failed(now),
            FollowerEvent::PeersChanged(peers) => self.peers = peers,
            FollowerEvent::PeerMessage { from, payload } => {
                self.peer_payload(now, from, &payload, actions);
            }
        }
        self.run_due(now, actions);
        self.tell_lists(actions);
    }

    /// When [`FollowerEvent::Tick`] is wanted next.
    pub fn next_wakeup(&self) -> TimePoint {
        let mut wakeup = self.next_announce;
        for read in [self.log_read, self.snapshot_read] {
            if let ReadState::Paused(due) = read {
                wakeup = wakeup.min(due);
            }
        }
        self.snapshot_due().map_or(wakeup, |due| wakeup.min(due))
    }

    /// The fold, once there is one.
    pub fn fold(&self) -> Option<&fold::ConfigFold> {
        self.fold.as_ref()
    }

    /// The lists in force, once there are any.
    pub fn lists(&self) -> Option<&sync::Arc<lists::ConfigLists>> {
        let fold = self.fold.as_ref().filter(|_| self.in_force)?;
        Some(fold.lists())
    }

    /// What to show in `status` and metrics.
    pub fn status(&self, now: TimePoint) -> FollowerStatus {
        FollowerStatus {
            offset: self.lists().map(|lists| lists.offset),
            age: self.confirmed_at.map(|confirmed| now.since(confirmed)),
            log_reachable: self.log_reachable,
            fault_count: self.fault_count,
        }
    }

    fn run_due(&mut self, now: TimePoint, actions: &mut Vec<FollowerAction>) {
        self.look_for_snapshots(now);
        match self.log_read {
            ReadState::Paused(due) if due <= now => self.read_log(actions),
            _ => {}
        }
        match self.snapshot_read {
            ReadState::Paused(due) if due <= now => self.read_snapshots(actions),
            _ => {}
        }
        if self.next_announce <= now {
            let jitter = self.rng.random_range(0.75..1.25);
            self.next_announce = now + ANNOUNCE_INTERVAL.mul_f64(jitter);
            self.announce(now, actions);
        }
    }

    fn tell_lists(&mut self, actions: &mut Vec<FollowerAction>) {
        let Some(lists) = self.lists().cloned() else {
            return;
        };
        if self.told_offset != Some(lists.offset) {
            self.told_offset = Some(lists.offset);
            actions.push(FollowerAction::InForce(lists));
        }
    }

    fn report(&mut self, fault: FollowerFault, actions: &mut Vec<FollowerAction>) {
        self.fault_count += 1;
        actions.push(FollowerAction::Report(fault));
    }

    /// Position of the fold.
    fn position(&self) -> Option<peer::ChainPoint> {
        self.fold.as_ref().map(|fold| peer::ChainPoint {
            offset: fold.offset(),
            chain: fold.chain(),
        })
    }

    /// Takes over a whole state if it is newer and continues this one.
    fn adopt(&mut self, newer: fold::ConfigFold, actions: &mut Vec<FollowerAction>) -> bool {
        match &self.fold {
            Some(fold) if newer.offset() <= fold.offset() => return false,
            Some(fold) if !newer.extends(fold) => {
                let offset = newer.offset();
                self.report(FollowerFault::Diverged { offset }, actions);
                return false;
            }
            _ => {}
        }
        let at = peer::ChainPoint {
            offset: newer.offset(),
            chain: newer.chain(),
        };
        self.history.restart(at);
        self.fold = Some(newer);
        true
    }

    /// Folds the next record.
    fn apply(&mut self, record: sync::Arc<[u8]>, actions: &mut Vec<FollowerAction>) {
        let Some(fold) = &mut self.fold else {
            return;
        };
        let Ok(folded) = fold.apply(fold.offset(), &record) else {
            return;
        };
        actions.push(FollowerAction::Folded(folded));
        let after = peer::ChainPoint {
            offset: fold.offset(),
            chain: fold.chain(),
        };
        self.history.push(record, after);
    }

    fn draw_retry(&mut self, now: TimePoint) -> TimePoint {
        let delay = self.retry.mul_f64(self.rng.random_range(0.5..1.0));
        self.retry = (self.retry * 2).min(MAX_RETRY);
        now + delay
    }
}
