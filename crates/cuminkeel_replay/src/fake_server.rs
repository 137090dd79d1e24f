//! A backend server that follows the platform's rules for orders, leases and fencing tokens,
//! without a socket.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time,
};

use cuminkeel_dispatch::{job_model, server_model};
use smallvec::{SmallVec, smallvec};

/// Factor on the run time of long runs, as the first of the two customers with a shortage has it.
pub const LONG_RUN_FACTOR: f64 = 7.0;

/// Longest lease that a server grants; orders that ask for a longer one get this. All deployments known so far have
/// this limit in their settings.
pub const MAX_LEASE: time::Duration = time::Duration::from_secs(1);

/// Unix time in ms at which the first incarnation of a server starts, which is the origin of `now`.
pub const FIRST_INCARNATION: u64 = 1_800_000_000_000;

/// Behaviour of a server: healthy or with one kind of fault. `Slow`, `Hanging` and `Failing` apply
/// to runs that start in this mode; a run in progress keeps its end when the mode changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerMode {
    /// Runs take their usual time and every order is answered.
    Healthy,
    /// Runs take this many times as long as on the same server when healthy.
    Slow(f64),
    /// Runs hang: each takes 10,000 times as long as its task's nominal run time.
    Hanging,
    /// Each run fails after a tenth of its task's nominal run time.
    Failing,
    /// No order reaches the server and no response leaves it; runs go on until they end or
    /// their lease expires.
    Unreachable,
    /// The server has crashed: its runs are lost, and connections to it are refused until it restarts.
    Crashed,
    /// Starts stay unanswered and are carried out after this delay. In a `PoolSimulation` the first
    /// start is delayed and makes the server healthy; an emulated server delays every start.
    DelayedStarts(time::Duration),
    /// Starts are carried out, and their answers are lost.
    StartAnswersLost,
}

/// Orders that a faulty server rejects for their fencing token, whichever token they have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OrderRejection {
    /// The server rejects only orders with too low a token.
    None,
    /// All orders.
    All,
    /// All orders, with this delay of the response.
    Late(time::Duration),
    /// Starts; holds and stops are carried out.
    Starts,
    /// All orders in the first `length` of each `period`.
    Spells {
        /// Time from the beginning of one spell to that of the next.
        period: time::Duration,
        /// Duration of a spell.
        length: time::Duration,
    },
    /// Each order with the probability of 1 in this many, drawn by the time of its arrival.
    OneIn(u64),
}

/// A run in progress on a fake server.
#[derive(Clone, Debug)]
pub struct FakeRun {
    /// Id of the run.
    pub run_id: u64,
    /// Processor in use by the run, in thousandths of a core.
    pub cpu_millis: u32,
    /// Time at which the run ends unless it is stopped or its lease expires before.
    pub ends_at: time::Duration,
    /// Whether the run ends as failed.
    pub fails: bool,
    /// Time of the start.
    pub started_at: time::Duration,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// Id of the server.
    pub server: Arc<str>,
    /// Task of the run.
    pub task: job_model::TaskName,
    /// Id of the run.
    pub run_id: u64,
    /// Time of the start.
    pub started_at: time::Duration,
    /// Time of the end.
    pub ended_at: time::Duration,
    /// How the run ended; `None` for a run that was lost in a restart of its server.
    pub end: Option<server_model::RunEnd>,
}

/// Actual resource use and result of a task, which its start order doesn't contain.
#[derive(Clone, Copy, Debug)]
pub struct TaskProfile {
    /// Processor in use by each run, in thousandths of a core.
    pub cpu_millis: u32,
    /// Run time on a server with a slowdown factor of 1.
    pub nominal_run_time: time::Duration,
    /// Whether every run of the task fails.
    pub always_fails: bool,
}

/// A backend server whose methods take the present time, from which it derives its own clock.
#[derive(Clone, Debug)]
pub struct FakeServer {
    /// Registry entry of the server.
    pub entry: server_model::ServerEntry,
    /// Behaviour of the server.
    pub mode: ServerMode,
    /// Run time as a multiple of the nominal run time.
    pub slowdown_factor: f64,
    /// Orders that the server rejects for no reason.
    pub rejection: OrderRejection,
    /// Whether the server tells 0 or 2^53 - 1 in place of its clock, in turn.
    pub tells_odd_clock: bool,
    /// Number of orders that have reached the server.
    pub order_count: u64,
    /// Share of the runs that take [`LONG_RUN_FACTOR`] times as long, drawn by task and run id.
    pub long_run_share: f64,
    /// Runs in progress, by task.
    pub runs: BTreeMap<job_model::TaskName, FakeRun>,
    /// Tasks of which a run was started here beside another one.
    pub overlapping_tasks: Vec<job_model::TaskName>,
    /// Highest fencing token that an order had.
    highest_token: u64,
    /// Highest id of a stopped or ended run of each task; lower and equal ones are not started.
    highest_ended_runs: BTreeMap<job_model::TaskName, u64>,
    /// Time at which the leases of all runs expire, on the server's clock.
    lease_expiry_ms: u64,
    /// Ended runs that no hold has acknowledged.
    unacknowledged_ends: Vec<server_model::ReportedEnd>,
    last_end_sequence: u64,
    /// Start of the present incarnation.
    incarnation_started_at: time::Duration,
    /// Runs that have ended.
    pub history: Vec<RunRecord>,
    /// Most processor in use at any time, in thousandths of a core.
    pub peak_cpu_millis: u32,
}

impl FakeServer {
    /// Returns a healthy server `server_id` that runs nothing. `label` is its only label.
    pub fn new(server_id: &str, cpu_millis: u32, slowdown_factor: f64, label: &str) -> Self {
        let labels: SmallVec<[Arc<str>; 2]> = smallvec![Arc::from(label)];
        Self {
            entry: server_model::ServerEntry {
                id: Arc::from(server_id),
                service: Arc::from("order-desk"),
                address: Arc::from(format!("{server_id}:1")),
                failure_domain: Arc::from("here"),
                draining: false,
                cpu_millis,
                memory_mb: 32_768,
                gpus: 0,
                labels,
                incarnation: FIRST_INCARNATION,
                sequence: 1,
                cold_remaining: time::Duration::ZERO,
            },
            mode: ServerMode::Healthy,
            slowdown_factor,
            rejection: OrderRejection::None,
            tells_odd_clock: false,
            order_count: 0,
            long_run_share: 0.0,
            runs: BTreeMap::new(),
            overlapping_tasks: Vec::new(),
            highest_token: 0,
            highest_ended_runs: BTreeMap::new(),
            lease_expiry_ms: 0,
            unacknowledged_ends: Vec::new(),
            last_end_sequence: 0,
            incarnation_started_at: time::Duration::ZERO,
            history: Vec::new(),
            peak_cpu_millis: 0,
        }
    }

    /// Returns the server's monotonic clock: the time since its incarnation started, in ms.
    pub fn clock_ms(&self, now: time::Duration) -> u64 {
        u64::try_from(now.saturating_sub(self.incarnation_started_at).as_millis())
            .unwrap_or(u64::MAX)
    }

    /// Returns the clock that the server tells.
    pub fn told_clock_ms(&self, now: time::Duration) -> u64 {
        match self.order_count % 2 {
            0 if self.tells_odd_clock => 0,
            _ if self.tells_odd_clock => (1 << 53) - 1,
            _ => self.clock_ms(now),
        }
    }

    /// Returns the processor in use, in thousandths of a core.
    pub fn used_cpu_millis(&self) -> u32 {
        self.runs.values().map(|run| run.cpu_millis).sum()
    }

    /// Crashes the server, which loses its runs. In `mode`, no order reaches it until it is restarted.
    pub fn crash(&mut self, mode: ServerMode, now: time::Duration) {
        self.advance(now);
        for (task, run) in std::mem::take(&mut self.runs) {
            self.record_run(&task, &run, now, None);
        }
        self.mode = mode;
    }

    /// Restarts the server under the same id: starts a new incarnation, in which the runs,
    /// the leases and the fencing token of the previous one are lost.
    pub fn restart(&mut self, now: time::Duration) {
        // Records the ends of the runs that ended before.
        self.advance(now);
        let started_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX / 2);
        self.entry.incarnation = (FIRST_INCARNATION + started_ms).max(self.entry.incarnation + 1);
        self.entry.sequence += 1;
        for (task, run) in std::mem::take(&mut self.runs) {
            self.record_run(&task, &run, now, None);
        }
        self.highest_token = 0;
        self.highest_ended_runs.clear();
        self.lease_expiry_ms = 0;
        self.unacknowledged_ends.clear();
        self.last_end_sequence = 0;
        self.incarnation_started_at = now;
    }

    /// Ends the runs that have finished by `now`, or all runs if their leases have expired.
    pub fn advance(&mut self, now: time::Duration) {
        let lease_expired = self.clock_ms(now) > self.lease_expiry_ms;
        let ended_tasks: Vec<job_model::TaskName> = self
            .runs
            .iter()
            .filter(|(_, run)| lease_expired || run.ends_at <= now)
            .map(|(task, _)| task.clone())
            .collect();
        let lease_expires_at =
            self.incarnation_started_at + time::Duration::from_millis(self.lease_expiry_ms);
        for task in ended_tasks {
            if let Some(run) = self.runs.remove(&task) {
                let ended_within_lease = run.ends_at <= lease_expires_at || !lease_expired;
                let end = match () {
                    () if ended_within_lease && run.fails => server_model::RunEnd::Failed,
                    () if ended_within_lease => server_model::RunEnd::Done,
                    () => server_model::RunEnd::Lost,
                };
                let ended_at = if ended_within_lease {
                    run.ends_at
                } else {
                    lease_expires_at
                };
                self.record_run(&task, &run, ended_at, Some(end));
                self.add_reported_end(task, run.run_id, end);
            }
        }
    }

    fn record_run(
        &mut self,
        task: &job_model::TaskName,
        run: &FakeRun,
        ended_at: time::Duration,
        end: Option<server_model::RunEnd>,
    ) {
        self.reject_runs_up_to(task, run.run_id);
        self.history.push(RunRecord {
            server: Arc::clone(&self.entry.id),
            task: task.clone(),
            run_id: run.run_id,
            started_at: run.started_at,
            ended_at,
            end,
        });
    }

    fn reject_runs_up_to(&mut self, task: &job_model::TaskName, run_id: u64) {
        let highest = self.highest_ended_runs.entry(task.clone()).or_default();
        *highest = run_id.max(*highest);
    }

    fn add_reported_end(
        &mut self,
        task: job_model::TaskName,
        run_id: u64,
        end: server_model::RunEnd,
    ) {
        self.last_end_sequence += 1;
        self.unacknowledged_ends.push(server_model::ReportedEnd {
            sequence: self.last_end_sequence,
            task,
            run_id,
            end,
        });
    }

    /// Carries out a start order, unless its fencing token is too low, the lease that it requests has
    /// already expired, or the same or a later run of the task was stopped or has ended here.
    pub fn start(
        &mut self,
        order: &server_model::StartOrder,
        profile: TaskProfile,
        now: time::Duration,
    ) -> server_model::StartOutcome {
        self.advance(now);
        self.order_count += 1;
        let clock_ms = self.clock_ms(now);
        if self.rejects_order(now) || self.rejection == OrderRejection::Starts {
            return server_model::StartOutcome::Fenced;
        }
        if order.token < self.highest_token {
            return server_model::StartOutcome::Fenced;
        }
        self.highest_token = order.token;
        if order.lease_expiry_ms < clock_ms {
            return server_model::StartOutcome::ArrivedLate;
        }
        self.extend_lease(order.lease_expiry_ms, clock_ms);
        let runs_here = |run: &FakeRun| run.run_id == order.run_id;
        if self.runs.get(&order.task).is_some_and(runs_here) {
            return server_model::StartOutcome::Started {
                clock_ms: self.told_clock_ms(now),
            };
        }
        let highest_ended = self.highest_ended_runs.get(&order.task);
        if highest_ended.is_some_and(|ended| order.run_id <= *ended) {
            return server_model::StartOutcome::StaleRunId;
        }
        let (slowdown_factor, fails) = match self.mode {
            ServerMode::Slow(factor) => (self.slowdown_factor * factor, profile.always_fails),
            ServerMode::Hanging => (1e4, profile.always_fails),
            ServerMode::Failing => (0.1, true),
            ServerMode::Healthy
            | ServerMode::Crashed
            | ServerMode::Unreachable
            | ServerMode::DelayedStarts(_)
            | ServerMode::StartAnswersLost => (self.slowdown_factor, profile.always_fails),
        };
        let slowdown_factor = if self.is_long_run(order) {
            slowdown_factor * LONG_RUN_FACTOR
        } else {
            slowdown_factor
        };
        let run = FakeRun {
            run_id: order.run_id,
            cpu_millis: profile.cpu_millis,
            ends_at: now + profile.nominal_run_time.mul_f64(slowdown_factor),
            fails,
            started_at: now,
        };
        if let Some(earlier) = self.runs.insert(order.task.clone(), run) {
            // Servers run both, so the history has the end that the earlier one would have by itself.
            self.overlapping_tasks.push(order.task.clone());
            let end = Some(server_model::RunEnd::Lost);
            self.record_run(&order.task, &earlier, earlier.ends_at, end);
        }
        self.peak_cpu_millis = self.peak_cpu_millis.max(self.used_cpu_millis());
        server_model::StartOutcome::Started {
            clock_ms: self.told_clock_ms(now),
        }
    }

    /// Whether the server rejects any order that arrives at `now`.
    pub fn rejects_order(&self, now: time::Duration) -> bool {
        match self.rejection {
            OrderRejection::None | OrderRejection::Starts => false,
            OrderRejection::All | OrderRejection::Late(_) => true,
            OrderRejection::Spells { period, length } => {
                now.as_nanos() % period.as_nanos().max(1) < length.as_nanos()
            }
            OrderRejection::OneIn(count) => {
                let mut hasher = DefaultHasher::new();
                (now, self.order_count).hash(&mut hasher);
                hasher.finish().is_multiple_of(count)
            }
        }
    }

    /// Returns the delay of the responses to the orders that the server rejects for no reason.
    pub fn rejection_delay(&self) -> time::Duration {
        match self.rejection {
            OrderRejection::Late(delay) => delay,
            _ => time::Duration::ZERO,
        }
    }

    /// Sets the highest fencing token that the server has seen.
    pub fn set_highest_token(&mut self, token: u64) {
        self.highest_token = token;
    }

    /// Returns the highest fencing token that an order had.
    pub fn highest_token(&self) -> u64 {
        self.highest_token
    }

    /// Extends the lease to `requested_expiry_ms`, or to [`MAX_LEASE`] from now if that is earlier.
    fn extend_lease(&mut self, requested_expiry_ms: u64, clock_ms: u64) {
        let max_lease_ms = u64::try_from(MAX_LEASE.as_millis()).unwrap_or(u64::MAX / 2);
        let granted_expiry_ms = requested_expiry_ms.min(clock_ms + max_lease_ms);
        self.lease_expiry_ms = self.lease_expiry_ms.max(granted_expiry_ms);
    }

    fn is_long_run(&self, order: &server_model::StartOrder) -> bool {
        let mut hasher = DefaultHasher::new();
        (&order.task, order.run_id).hash(&mut hasher);
        let draw = f64::from(u32::try_from(hasher.finish() >> 32).unwrap_or(u32::MAX));
        draw < self.long_run_share * f64::from(u32::MAX)
    }

    /// Carries out a stop order: ends the run, or rejects its start if that comes later. Returns false,
    /// and does nothing, if the fencing token is too low.
    pub fn stop(&mut self, order: &server_model::StopOrder, now: time::Duration) -> bool {
        self.advance(now);
        self.order_count += 1;
        if self.rejects_order(now) || order.token < self.highest_token {
            return false;
        }
        self.highest_token = order.token;
        self.reject_runs_up_to(&order.task, order.run_id);
        let runs_here = self
            .runs
            .get(&order.task)
            .is_some_and(|run| run.run_id == order.run_id);
        if runs_here && let Some(run) = self.runs.remove(&order.task) {
            self.record_run(&order.task, &run, now, Some(server_model::RunEnd::Stopped));
            self.add_reported_end(
                order.task.clone(),
                order.run_id,
                server_model::RunEnd::Stopped,
            );
        }
        true
    }

    /// Applies a hold's fencing token, lease and acknowledgement. Returns false, and applies
    /// nothing, if the token is too low.
    pub fn apply_hold(&mut self, order: &server_model::HoldOrder, now: time::Duration) -> bool {
        self.advance(now);
        self.order_count += 1;
        if self.rejects_order(now) || order.token < self.highest_token {
            return false;
        }
        self.highest_token = order.token;
        if let Some(requested_expiry_ms) = order.lease_expiry_ms {
            self.extend_lease(requested_expiry_ms, self.clock_ms(now));
        }
        self.unacknowledged_ends
            .retain(|end| end.sequence > order.acknowledged_end_sequence);
        true
    }

    /// Whether there are ended runs to report to a hold that acknowledges all ends up to the
    /// sequence number `acknowledged`.
    pub fn has_unacknowledged_ends(&self, acknowledged: u64) -> bool {
        self.unacknowledged_ends
            .iter()
            .any(|end| end.sequence > acknowledged)
    }

    /// Whether `token` is below the highest fencing token that an order had.
    pub fn is_stale_token(&self, token: u64) -> bool {
        token < self.highest_token
    }

    /// Returns the hold report at `now`.
    pub fn report(&self, now: time::Duration) -> server_model::HoldReport {
        server_model::HoldReport {
            clock_ms: self.told_clock_ms(now),
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
            finished: self.unacknowledged_ends.clone(),
        }
    }

    /// Returns the time at which the next run ends or is first without a lease, if any run is in
    /// progress.
    pub fn next_run_end(&self) -> Option<time::Duration> {
        let first_time_without_lease =
            self.incarnation_started_at + time::Duration::from_millis(self.lease_expiry_ms + 1);
        self.runs
            .values()
            .map(|run| run.ends_at.min(first_time_without_lease))
            .min()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to 0 to 100"
)]
fn percent(run: &FakeRun, now: time::Duration) -> u8 {
    let total_s = run.ends_at.saturating_sub(run.started_at).as_secs_f64();
    let elapsed_s = now.saturating_sub(run.started_at).as_secs_f64();
    (100.0 * elapsed_s / total_s.max(1e-6)).clamp(0.0, 100.0) as u8
}
