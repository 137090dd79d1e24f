//! Losses of runs with their servers, and what follows for the tasks.
//!
//! A task may crash each server that starts it. The servers are then missing for seconds, and the runs
//! beside the task are lost as well. Several tasks run on a server, and a server can also fall silent, be
//! cut off or be stopped, so a loss alone shows neither that the server has crashed nor which task did it.
//! A task that has lost a run is therefore tried again alone on a server. It is given up only if two servers
//! have crashed under it, one of them while the task was alone there.
//!
//! Load pattern: tasks that crash their servers come for seconds, beside usual load.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time,
};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::job_model;

/// Time for which a loss is remembered. Callers of tasks that take a second at most wait for some seconds,
/// and those that lost their connection are back within some more.
pub const LOSS_RETENTION: time::Duration = time::Duration::from_mins(1);
/// Maximum number of tasks with losses, which bounds the memory of a small VM; the oldest are forgotten beyond
/// it.
pub const MAX_TASKS: usize = 4_096;
/// Number of servers that have to crash under a task before it is given up.
const CRASHES_TO_GIVE_UP: usize = 2;

/// Number of neighbours up to which a run that was lost with a silent server is tried alone. A silent server
/// seldom has crashed, and to try many runs alone one after the other takes longer than callers wait.
const MAX_NEIGHBOURS_IN_SILENCE: u16 = 3;
/// Time within which servers that crash for one cause are lost. Resets of connections are noticed at once.
const SHARED_CRASH_WINDOW: time::Duration = time::Duration::from_millis(30);
/// Time within which servers that fall silent for one cause are noticed: the longest wait of a hold and its
/// timeout.
const SHARED_SILENCE_WINDOW: time::Duration = time::Duration::from_millis(500);
/// Share of the servers that has to be lost within the window for a shared cause, as a divisor. Two servers
/// count in any case: a task runs on one.
const SHARED_LOSS_DIVISOR: usize = 16;

/// Returns whether a server that was lost at `lost_at` was lost with others, for a cause outside its runs.
/// `other_losses` are the times at which others of `server_count` servers were last lost, apart from those
/// whose loss may have the same run or job as its cause.
///
/// Load pattern: a rack, a part of the network or a whole domain fails, beside tasks that crash their servers
/// one by one.
pub fn is_shared_loss(
    lost_at: time::Duration,
    is_silent: bool,
    other_losses: impl Iterator<Item = time::Duration>,
    server_count: usize,
) -> bool {
    let window = if is_silent {
        SHARED_SILENCE_WINDOW
    } else {
        SHARED_CRASH_WINDOW
    };
    let lost_together = 1 + other_losses
        .filter(|other| other.abs_diff(lost_at) <= window)
        .count();
    lost_together >= (server_count / SHARED_LOSS_DIVISOR).max(2)
}

/// What is known of the server of a lost run. Evidence of one loss only ever increases.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum LossEvidence {
    /// The run was started alone on the server, as its task may crash it. Nothing else is known yet.
    Started,
    /// The server does not respond. It may have crashed, or may be cut off or paused.
    Silent,
    /// No process accepts connections at the server's address, or another server has taken it, so the server
    /// has probably crashed.
    Refused,
    /// The server has restarted.
    Restarted,
    /// Several servers were lost at the same moment, so the cause lies outside their runs.
    Shared,
    /// The server responded again in the same incarnation, so it had not crashed.
    Survived,
}

impl LossEvidence {
    fn shows_crash(self) -> bool {
        match self {
            Self::Refused | Self::Restarted => true,
            Self::Started | Self::Silent | Self::Shared | Self::Survived => false,
        }
    }

    /// Whether the runs on the server may be the cause of the loss.
    fn implicates_runs(self) -> bool {
        match self {
            Self::Started | Self::Silent | Self::Refused | Self::Restarted => true,
            Self::Shared | Self::Survived => false,
        }
    }

    /// Whether a response of the server can change the evidence.
    fn is_open(self) -> bool {
        match self {
            Self::Started | Self::Silent | Self::Refused => true,
            Self::Restarted | Self::Shared | Self::Survived => false,
        }
    }
}

/// Loss of a run with its server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LostRun {
    /// Task of the run.
    pub task: job_model::TaskName,
    /// Id of the run.
    pub run_id: u64,
    /// Server of the run.
    pub server: Arc<str>,
    /// Incarnation of the server when it was lost; 0 if unknown.
    pub incarnation: u64,
    /// Number of other runs that were on the server.
    pub neighbours: u16,
    /// What is known of the server.
    pub evidence: LossEvidence,
}

impl LostRun {
    fn is_same_loss(&self, other: &Self) -> bool {
        (self.run_id, &self.server, self.incarnation)
            == (other.run_id, &other.server, other.incarnation)
    }
}

/// How a task may be started in view of its losses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TaskVerdict {
    /// The task has lost no run with its server.
    #[default]
    Unsuspected,
    /// The task may be started alone on a server: it or a neighbour may have crashed one.
    TryAlone,
    /// The task is not started before it is known whether the servers that it lost have crashed.
    AwaitEvidence,
    /// Servers have crashed under the task, which is not started again.
    GiveUp,
}

#[derive(Clone, Debug)]
struct LossEntry {
    lost_run: LostRun,
    /// Time at which this process learnt of the loss.
    recorded_at: time::Duration,
}

/// Losses of runs by task. Leaders send each other their losses, so that they count after the loss of a
/// leader, in a resent copy of the job and in other failure domains.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    /// Sorted, so that changes of evidence are applied in the same order in each replay.
    losses: BTreeMap<job_model::TaskName, SmallVec<[LossEntry; 2]>>,
    /// Tasks of `losses` in the order of their first loss, with the time until which they are remembered.
    expiries: VecDeque<(time::Duration, job_model::TaskName)>,
    /// Number of losses without definite evidence, by server.
    open_losses: HashMap<Arc<str>, usize>,
}

impl CrashLedger {
    /// Records a loss or, if it is known, its evidence. Returns whether that is news.
    pub fn record(&mut self, lost_run: &LostRun, now: time::Duration) -> bool {
        self.prune(now);
        let entries = self.losses.entry(lost_run.task.clone()).or_default();
        let known = entries
            .iter_mut()
            .find(|entry| entry.lost_run.is_same_loss(lost_run));
        let (before, after) = match known {
            Some(entry) if entry.lost_run.evidence >= lost_run.evidence => return false,
            Some(entry) => {
                let before = entry.lost_run.evidence;
                entry.lost_run.evidence = lost_run.evidence;
                (Some(before), lost_run.evidence)
            }
            None => {
                if entries.is_empty() {
                    self.expiries
                        .push_back((now + LOSS_RETENTION, lost_run.task.clone()));
                }
                let after = lost_run.evidence;
                entries.push(LossEntry {
                    lost_run: lost_run.clone(),
                    recorded_at: now,
                });
                (None, after)
            }
        };
        self.count_open_loss(&lost_run.server, before, after);
        true
    }

    /// Updates the evidence of the losses with `server`, of which `incarnation` responded to a call that was
    /// sent at `sent_at`. Losses of runs that go on, by `goes_on`, stay as they are: the server may still be
    /// lost under them. Returns the losses whose evidence has changed.
    pub fn record_response(
        &mut self,
        server: &str,
        incarnation: u64,
        sent_at: time::Duration,
        goes_on: impl Fn(&LostRun) -> bool,
    ) -> Vec<LostRun> {
        self.update_server(server, |entry| match entry.lost_run.incarnation {
            _ if entry.recorded_at > sent_at || incarnation == 0 => None,
            0 => None,
            lost if lost == incarnation && goes_on(&entry.lost_run) => None,
            lost if lost == incarnation => Some(LossEvidence::Survived),
            lost if lost < incarnation => Some(LossEvidence::Restarted),
            _ => None,
        })
    }

    /// Records that `incarnation` of `server` has survived run `run_id` of `task`. Returns the loss if its
    /// evidence has changed.
    pub fn record_survival(
        &mut self,
        server: &str,
        incarnation: u64,
        task: &job_model::TaskName,
        run_id: u64,
    ) -> Vec<LostRun> {
        self.update_server(server, |entry| {
            let lost_run = &entry.lost_run;
            let is_same_run = (&lost_run.task, lost_run.run_id, lost_run.incarnation)
                == (task, run_id, incarnation);
            is_same_run.then_some(LossEvidence::Survived)
        })
    }

    /// Records that no process accepts connections at the address of `server`, whose last known
    /// incarnation is `incarnation`. Returns the losses whose evidence has changed.
    pub fn record_refusal(&mut self, server: &str, incarnation: u64) -> Vec<LostRun> {
        self.update_server(server, |entry| {
            (entry.lost_run.incarnation == incarnation).then_some(LossEvidence::Refused)
        })
    }

    /// Records that another server has taken the place of `server`. Returns the losses whose evidence has
    /// changed.
    pub fn record_replacement(&mut self, server: &str) -> Vec<LostRun> {
        self.update_server(server, |entry| {
            entry
                .lost_run
                .evidence
                .is_open()
                .then_some(LossEvidence::Refused)
        })
    }

    /// Returns how `task` may be started.
    pub fn verdict(&self, task: &job_model::TaskName) -> TaskVerdict {
        let Some(entries) = self.losses.get(task) else {
            return TaskVerdict::Unsuspected;
        };
        let losses: SmallVec<[&LostRun; 4]> = entries
            .iter()
            .map(|entry| &entry.lost_run)
            .filter(|lost_run| lost_run.evidence.implicates_runs())
            .collect();
        let shared_losses = entries
            .iter()
            .filter(|entry| entry.lost_run.evidence == LossEvidence::Shared);
        // Deadly tasks that were started at one moment crash their servers together again and again.
        let suspicious_shared_count = shared_losses.count().saturating_sub(1);
        let crashes: SmallVec<[&LostRun; 4]> = losses
            .iter()
            .copied()
            .filter(|lost_run| lost_run.evidence.shows_crash())
            .collect();
        let was_alone = crashes.iter().any(|crash| crash.neighbours == 0);
        let crash_count = crashes.len() + suspicious_shared_count;
        let loss_count = losses.len() + suspicious_shared_count;
        let few_suspects = |lost_run: &&LostRun| lost_run.neighbours <= MAX_NEIGHBOURS_IN_SILENCE;
        match loss_count {
            0 => TaskVerdict::Unsuspected,
            _ if crash_count >= CRASHES_TO_GIVE_UP && was_alone => TaskVerdict::GiveUp,
            count if count >= CRASHES_TO_GIVE_UP && crash_count < count => {
                TaskVerdict::AwaitEvidence
            }
            _ if crash_count > 0 || losses.iter().any(few_suspects) => TaskVerdict::TryAlone,
            _ => TaskVerdict::Unsuspected,
        }
    }

    /// Returns the number of losses of `task` of which its run may be the cause.
    pub fn loss_count(&self, task: &job_model::TaskName) -> usize {
        let entries = self.losses.get(task).into_iter().flatten();
        entries
            .filter(|entry| entry.lost_run.evidence.implicates_runs())
            .count()
    }

    /// Whether there are no losses.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }

    /// Whether a response of `server` would show whether it has crashed.
    pub fn has_open_losses(&self, server: &str) -> bool {
        self.open_losses.contains_key(server)
    }

    /// Forgets losses that are too old, and the oldest if there are too many.
    pub fn prune(&mut self, now: time::Duration) {
        while self.expiries.len() > MAX_TASKS
            || self
                .expiries
                .front()
                .is_some_and(|(until, _)| *until <= now)
        {
            let Some((_, task)) = self.expiries.pop_front() else {
                return;
            };
            for entry in self.losses.remove(&task).into_iter().flatten() {
                let lost_run = entry.lost_run;
                let forgotten = LossEvidence::Survived;
                self.count_open_loss(&lost_run.server, Some(lost_run.evidence), forgotten);
            }
        }
    }

    /// Replaces the evidence of each open loss with `server` by what `evidence` returns, if it is stronger.
    fn update_server(
        &mut self,
        server: &str,
        evidence: impl Fn(&LossEntry) -> Option<LossEvidence>,
    ) -> Vec<LostRun> {
        if !self.has_open_losses(server) {
            return Vec::new();
        }
        let mut changed = Vec::new();
        for entry in self.losses.values_mut().flatten() {
            if *entry.lost_run.server == *server
                && let Some(evidence) = evidence(entry)
                && evidence > entry.lost_run.evidence
            {
                let before = entry.lost_run.evidence;
                entry.lost_run.evidence = evidence;
                changed.push((before, entry.lost_run.clone()));
            }
        }
        for (before, lost_run) in &changed {
            self.count_open_loss(&lost_run.server, Some(*before), lost_run.evidence);
        }
        changed.into_iter().map(|(_, lost_run)| lost_run).collect()
    }

    /// Keeps `open_losses` in step with a loss whose evidence changes.
    fn count_open_loss(
        &mut self,
        server: &Arc<str>,
        before: Option<LossEvidence>,
        after: LossEvidence,
    ) {
        match (before.is_some_and(LossEvidence::is_open), after.is_open()) {
            (false, true) => *self.open_losses.entry(Arc::clone(server)).or_default() += 1,
            (true, false) => {
                if let Some(count) = self.open_losses.get_mut(server) {
                    *count -= 1;
                    if *count == 0 {
                        self.open_losses.remove(server);
                    }
                }
            }
            _ => {}
        }
    }
}
