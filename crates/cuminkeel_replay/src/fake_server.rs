//! A backend server as the platform describes it, without a socket.

use std::{collections::BTreeMap, sync::Arc, time};

use cuminkeel_dispatch::{job_model, server_model};
use smallvec::{SmallVec, smallvec};

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerMode {
    /// As it should.
    Healthy,
    /// Runs take this many times as long.
    Slow(f64),
    /// Runs make no progress.
    Hanging,
    /// Each run fails soon after its start.
    Failing,
    /// Nothing gets through to it or back; runs go on until their leases end.
    Unreachable,
    /// Starts get no answer and are carried out this much later.
    DelayedStarts(time::Duration),
}

/// A run on a fake server.
#[derive(Clone, Debug)]
pub struct FakeRun {
    /// Number of the run.
    pub run_id: u64,
    /// Processor that it takes, in thousandths of a core.
    pub cpu_millis: u32,
    /// When it ends by itself.
    pub ends_at: time::Duration,
    /// Whether it ends as failed.
    pub fails: bool,
    /// When it started.
    pub started_at: time::Duration,
}

/// A run that is over.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// Task of the run.
    pub task: job_model::TaskName,
    /// Number of the run.
    pub run_id: u64,
    /// When it started.
    pub started_at: time::Duration,
    /// When it ended.
    pub ended_at: time::Duration,
    /// How it ended; unknown for one that was lost with its server.
    pub end: Option<server_model::RunEnd>,
}

/// What a start needs to know of its task, which the order doesn't tell.
#[derive(Clone, Copy, Debug)]
pub struct TaskProfile {
    /// Processor that it takes, in thousandths of a core.
    pub cpu_millis: u32,
    /// Work on a server of usual pace.
    pub nominal_run_time: time::Duration,
    /// Whether every run of it fails.
    pub always_fails: bool,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct FakeServer {
    /// Its registry entry.
    pub entry: server_model::ServerEntry,
    /// How it behaves.
    pub mode: ServerMode,
    /// Run time as a multiple of the work.
    pub slowdown_factor: f64,
    /// What runs.
    pub runs: BTreeMap<job_model::TaskName, FakeRun>,
    token: u64,
    lease_ms: u64,
    ends: Vec<server_model::ReportedEnd>,
    ends_listed: u64,
    started_at: time::Duration,
    /// Runs that are over.
    pub history: Vec<RunRecord>,
    /// Most processor that was in use at a time.
    pub peak_cpu_millis: u32,
}

impl FakeServer {
    /// A sound server `name` of `cpu_millis` and `pace`.
    pub fn new(name: &str, cpu_millis: u32, pace: f64, kind: &str) -> Self {
        let labels: SmallVec<[Arc<str>; 2]> = smallvec![Arc::from(kind)];
        Self {
            entry: server_model::ServerEntry {
                id: Arc::from(name),
                service: Arc::from("order-desk"),
                address: Arc::from(format!("{name}:1")),
                failure_domain: Arc::from("here"),
                draining: false,
                cpu_millis,
                memory_mb: 32_768,
                gpus: 0,
                labels,
                incarnation: 1,
                sequence: 1,
            },
            mode: ServerMode::Healthy,
            slowdown_factor: pace,
            runs: BTreeMap::new(),
            token: 0,
            lease_ms: 0,
            ends: Vec::new(),
            ends_listed: 0,
            started_at: time::Duration::ZERO,
            history: Vec::new(),
            peak_cpu_millis: 0,
        }
    }

    /// Its steady clock, in ms.
    pub fn clock_ms(&self, now: time::Duration) -> u64 {
        u64::try_from(now.saturating_sub(self.started_at).as_millis()).unwrap_or(u64::MAX)
    }

    /// Processor in use, in thousandths of a core.
    pub fn used_cpu_millis(&self) -> u32 {
        self.runs.values().map(|run| run.cpu_millis).sum()
    }

    /// Starts a new life under the same id.
    pub fn restart(&mut self, now: time::Duration) {
        self.entry.incarnation += 1;
        self.entry.sequence += 1;
        for (task, run) in std::mem::take(&mut self.runs) {
            self.record(&task, &run, now, None);
        }
        self.token = 0;
        self.lease_ms = 0;
        self.ends.clear();
        self.ends_listed = 0;
        self.started_at = now;
    }

    /// Ends what is over at `now`.
    pub fn advance(&mut self, now: time::Duration) {
        let lapsed = self.clock_ms(now) > self.lease_ms;
        let over: Vec<job_model::TaskName> = self
            .runs
            .iter()
            .filter(|(_, run)| lapsed || run.ends_at <= now)
            .map(|(task, _)| task.clone())
            .collect();
        let lease_end = self.started_at + time::Duration::from_millis(self.lease_ms);
        for task in over {
            if let Some(run) = self.runs.remove(&task) {
                let in_lease = run.ends_at <= lease_end || !lapsed;
                let end = match () {
                    () if in_lease && run.fails => server_model::RunEnd::Failed,
                    () if in_lease => server_model::RunEnd::Done,
                    () => server_model::RunEnd::LeaseExpired,
                };
                let until = if in_lease { run.ends_at } else { lease_end };
                self.record(&task, &run, until, Some(end));
                self.list_end(task, run.run_id, end);
            }
        }
    }

    fn record(
        &mut self,
        task: &job_model::TaskName,
        run: &FakeRun,
        until: time::Duration,
        end: Option<server_model::RunEnd>,
    ) {
        self.history.push(RunRecord {
            task: task.clone(),
            run_id: run.run_id,
            started_at: run.started_at,
            ended_at: until,
            end,
        });
    }

    fn list_end(&mut self, task: job_model::TaskName, run_id: u64, end: server_model::RunEnd) {
        self.ends_listed += 1;
        self.ends.push(server_model::ReportedEnd {
            sequence: self.ends_listed,
            task,
            run_id,
            end,
        });
    }

    /// Carries out a start.
    pub fn start(
        &mut self,
        order: &server_model::StartOrder,
        truth: TaskProfile,
        now: time::Duration,
    ) -> server_model::StartOutcome {
        self.advance(now);
        let clock_ms = self.clock_ms(now);
        if order.token < self.token {
            return server_model::StartOutcome::Fenced;
        }
        self.token = order.token;
        if order.lease_deadline_ms < clock_ms {
            return server_model::StartOutcome::DeadlinePassed;
        }
        self.lease_ms = self.lease_ms.max(order.lease_deadline_ms);
        let (pace, fails) = match self.mode {
            ServerMode::Slow(times) => (self.slowdown_factor * times, truth.always_fails),
            ServerMode::Hanging => (1e4, truth.always_fails),
            ServerMode::Failing => (0.1, true),
            ServerMode::Healthy | ServerMode::Unreachable | ServerMode::DelayedStarts(_) => {
                (self.slowdown_factor, truth.always_fails)
            }
        };
        self.runs.insert(
            order.task.clone(),
            FakeRun {
                run_id: order.run_id,
                cpu_millis: truth.cpu_millis,
                ends_at: now + truth.nominal_run_time.mul_f64(pace),
                fails,
                started_at: now,
            },
        );
        self.peak_cpu_millis = self.peak_cpu_millis.max(self.used_cpu_millis());
        server_model::StartOutcome::Started { clock_ms }
    }

    /// Carries out a stop.
    pub fn stop(&mut self, order: &server_model::StopOrder, now: time::Duration) {
        self.advance(now);
        let known = self
            .runs
            .get(&order.task)
            .is_some_and(|run| run.run_id == order.run_id);
        if order.token >= self.token
            && known
            && let Some(run) = self.runs.remove(&order.task)
        {
            self.record(&order.task, &run, now, Some(server_model::RunEnd::Stopped));
            self.list_end(
                order.task.clone(),
                order.run_id,
                server_model::RunEnd::Stopped,
            );
        }
    }

    /// Takes in a hold's token, lease and acknowledgement; false if it is fenced off.
    pub fn apply_hold(&mut self, order: &server_model::HoldOrder, now: time::Duration) -> bool {
        self.advance(now);
        if order.token < self.token {
            return false;
        }
        self.token = order.token;
        self.lease_ms = self.lease_ms.max(order.lease_deadline_ms.unwrap_or(0));
        self.ends
            .retain(|end| end.sequence > order.acknowledged_end_sequence);
        true
    }

    /// Whether a hold that acknowledges `acknowledged` has ends to list.
    pub fn has_unacknowledged_ends(&self, acknowledged: u64) -> bool {
        self.ends.iter().any(|end| end.sequence > acknowledged)
    }

    /// Whether `token` is below the highest that was seen.
    pub fn is_fenced(&self, token: u64) -> bool {
        token < self.token
    }

    /// The lists at `now`.
    pub fn report(&self, now: time::Duration) -> server_model::HoldReport {
        server_model::HoldReport {
            clock_ms: self.clock_ms(now),
            unreadable_count: 0,
            incarnation: Some(self.entry.incarnation),
            running: self
                .runs
                .iter()
                .map(|(task, run)| server_model::ReportedRun {
                    task: task.clone(),
                    run_id: run.run_id,
                    percent: percent(run, now),
                })
                .collect(),
            finished: self.ends.clone(),
        }
    }

    /// When the next run ends by itself or by its lease.
    pub fn next_run_end(&self) -> Option<time::Duration> {
        let lease = self.started_at + time::Duration::from_millis(self.lease_ms + 1);
        self.runs.values().map(|run| run.ends_at.min(lease)).min()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to 0 to 100"
)]
fn percent(run: &FakeRun, now: time::Duration) -> u8 {
    let total = run.ends_at.saturating_sub(run.started_at).as_secs_f64();
    let done = now.saturating_sub(run.started_at).as_secs_f64();
    (100.0 * done / total.max(1e-6)).clamp(0.0, 100.0) as u8
}
