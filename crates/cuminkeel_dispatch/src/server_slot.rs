//! A backend server as its pool knows it: room, leases, claims.

use std::{collections::BTreeMap, sync::Arc, time};

use crate::{health, job_model, server_model};

/// A server's steady clock may run this much slow, in percent; a platform bound.
const CLOCK_DRIFT_PERCENT: u32 = 2;
/// Added to the time after which a silent server's leases count as over, for the kill itself.
const LAPSE_MARGIN: time::Duration = time::Duration::from_millis(50);

/// Part of the time a run took so far for which it goes on at least: run times spread by
/// two fifths around what is expected of them.
const OVERDUE_REST: u32 = 4;

/// Whether the pool may give orders to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// Not this pool's.
    Unclaimed,
    /// A first claim is under way.
    Claiming,
    /// This pool's token is the highest that the server has seen.
    Held,
    /// It was held, and an order went unanswered; a new claim is under way.
    Suspect,
}

impl ClaimState {
    /// Whether every run that may be on the server is known to the pool.
    pub fn knows_runs(self) -> bool {
        match self {
            Self::Held | Self::Suspect => true,
            Self::Unclaimed | Self::Claiming => false,
        }
    }
}

/// Where a run stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// The order is on its way; it may or may not act.
    Starting,
    /// The server has it.
    Running,
    /// A stop was ordered.
    Stopping,
}

/// A run that may use room on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRun {
    /// Number of the run.
    pub run_id: u64,
    /// Processor counted for it, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory counted for it, in MB.
    pub memory_mb: u32,
    /// Accelerators counted for it.
    pub gpus: u32,
    /// Where it stands.
    pub phase: RunPhase,
    /// Token of its start.
    pub token: u64,
    /// Whether a job of this pool waits for it.
    pub has_job: bool,
    /// When it was ordered or found.
    pub ordered_at: time::Duration,
    /// When the server was first known to have it.
    pub confirmed_at: Option<time::Duration>,
    /// The caller's estimate of its run time.
    pub estimate: time::Duration,
    /// Expected run time on a server of usual pace.
    pub nominal_run_time: time::Duration,
    /// Expected run time on this server.
    pub expected_run_time: time::Duration,
    /// When it is checked for missing progress.
    pub progress_check_at: time::Duration,
}

impl ServerRun {
    /// Time that the run is expected to go on.
    pub fn expected_remaining(&self, now: time::Duration) -> time::Duration {
        let elapsed = now.saturating_sub(self.ordered_at);
        self.expected_run_time.saturating_sub(elapsed)
    }

    /// The same; an overdue run goes on for a part of what it took so far.
    pub fn conservative_remaining(&self, now: time::Duration) -> time::Duration {
        let elapsed = now.saturating_sub(self.ordered_at);
        self.expected_remaining(now).max(elapsed / OVERDUE_REST)
    }
}

/// Reading of a server's steady clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockReading {
    /// The server's clock, in ms.
    pub clock_ms: u64,
    /// When the answer with it arrived.
    pub received_at: time::Duration,
}

/// A backend server in a pool.
#[derive(Clone, Debug)]
pub struct ServerSlot {
    /// The registry's entry.
    pub entry: server_model::ServerEntry,
    /// Whether the registry lists it.
    pub registered: bool,
    /// Whether orders may be given.
    pub claim_state: ClaimState,
    /// Token of the latest claim.
    pub token: u64,
    /// Ends up to this number are taken in.
    pub processed_end_sequence: u64,
    /// Latest reading of its clock.
    pub clock: Option<ClockReading>,
    /// Latest end of a lease that was sent to it, on its clock.
    pub lease_deadline_ms: u64,
    /// Runs that may use its room.
    pub runs: BTreeMap<job_model::TaskName, ServerRun>,
    /// Evidence on its health.
    pub health: health::ServerHealth,
    /// When the current claim began.
    pub claim_started_at: time::Duration,
    /// Claims since the server last answered.
    pub claim_attempts: u32,
    /// When to claim again.
    pub next_claim_at: Option<time::Duration>,
    /// When the outstanding hold was sent.
    pub hold_sent_at: time::Duration,
    /// Start of the server's life that `processed_end_sequence`, `clock` and `runs` belong to.
    pub incarnation: u64,
}

impl ServerSlot {
    /// A server that is not held.
    pub fn new(entry: server_model::ServerEntry) -> Self {
        Self {
            incarnation: entry.incarnation,
            entry,
            registered: true,
            claim_state: ClaimState::Unclaimed,
            token: 0,
            processed_end_sequence: 0,
            clock: None,
            lease_deadline_ms: 0,
            runs: BTreeMap::new(),
            health: health::ServerHealth::default(),
            claim_started_at: time::Duration::ZERO,
            claim_attempts: 0,
            next_claim_at: None,
            hold_sent_at: time::Duration::ZERO,
        }
    }

    /// Whether new runs may be ordered.
    pub fn is_usable(&self, now: time::Duration) -> bool {
        self.claim_state == ClaimState::Held
            && self.registered
            && !self.entry.draining
            && self.clock.is_some()
            && self.health.accepts_run(now, self.runs.len())
    }

    /// Free processor, in thousandths of a core.
    pub fn free_cpu_millis(&self) -> u32 {
        let used = self.runs.values().map(|run| u64::from(run.cpu_millis));
        remaining(self.entry.cpu_millis, used.sum())
    }

    /// Whether a task of `step` fits beside what runs.
    pub fn fits(&self, step: &job_model::StepSpec) -> bool {
        let memory = self.runs.values().map(|run| u64::from(run.memory_mb));
        let gpus = self.runs.values().map(|run| u64::from(run.gpus));
        self.free_cpu_millis() >= step.cpu_millis
            && remaining(self.entry.memory_mb, memory.sum()) >= step.memory_mb
            && remaining(self.entry.gpus, gpus.sum()) >= step.gpus
    }

    /// Whether a task of `step` could run here if nothing else did.
    pub fn could_run(&self, step: &job_model::StepSpec) -> bool {
        self.entry.cpu_millis >= step.cpu_millis
            && self.entry.memory_mb >= step.memory_mb
            && self.entry.gpus >= step.gpus
            && step
                .required_label
                .as_ref()
                .is_none_or(|label| self.entry.labels.contains(label))
    }

    /// Kind of the server: its first label.
    pub fn kind(&self) -> Arc<str> {
        self.entry
            .labels
            .first()
            .map_or_else(|| Arc::from(""), Arc::clone)
    }

    /// End of a lease of `lease` from now, on the server's clock.
    pub fn next_lease_deadline_ms(
        &self,
        now: time::Duration,
        lease: time::Duration,
    ) -> Option<u64> {
        self.clock.map(|reading| {
            let since = now.saturating_sub(reading.received_at) + lease;
            reading.clock_ms + u64::try_from(since.as_millis()).unwrap_or(u64::MAX / 2)
        })
    }

    /// Time from which no run can be left on a server that doesn't answer. The
    /// server's clock may be slow, so the lease may last longer than it says.
    pub fn leases_expire_at(&self) -> Option<time::Duration> {
        let reading = self.clock?;
        let left = self.lease_deadline_ms.saturating_sub(reading.clock_ms);
        let stretched = left * u64::from(100 + CLOCK_DRIFT_PERCENT + 1) / 100;
        Some(reading.received_at + time::Duration::from_millis(stretched) + LAPSE_MARGIN)
    }

    /// Earliest time at which a run is checked for missing progress.
    pub fn next_progress_check(&self) -> Option<time::Duration> {
        self.runs
            .values()
            .filter(|run| run.has_job)
            .map(|run| run.progress_check_at)
            .min()
    }
}

fn remaining(capacity: u32, used: u64) -> u32 {
    u32::try_from(u64::from(capacity).saturating_sub(used)).unwrap_or(0)
}
