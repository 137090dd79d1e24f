//! State of a backend server in its pool: claim, leases, runs and free capacity.

use std::{collections::BTreeMap, sync::Arc, time};

use smallvec::SmallVec;

use crate::{health, job_model, leadership, run_evidence, server_model};

/// Largest drift of a server's monotonic clock that the platform allows, in percent.
const MAX_CLOCK_DRIFT_PERCENT: u32 = 2;
/// Longest duration of a lease, in percent of the stated one. A clock that is slow by 2 % stretches a lease
/// by 1 / 0.98, which is above 2 %, so one more percent is added.
const MAX_STRETCHED_LEASE_PERCENT: u32 = 100 + MAX_CLOCK_DRIFT_PERCENT + 1;
/// Added to the time at which an unresponsive server's leases count as expired: the server
/// needs time to kill the runs.
const LEASE_EXPIRY_MARGIN: time::Duration = time::Duration::from_millis(50);

/// Time for which a server that stopped responding may do so again: a few restarts of some seconds each.
const UNSTEADY_TIME: time::Duration = time::Duration::from_secs(10);
/// Shortest time for which a server that rejects orders falsely gets no run: some leases.
const MIN_DISTRUST_TIME: time::Duration = time::Duration::from_secs(5);
/// Longest such time: an operator who has mended the server sees it used within a minute.
const MAX_DISTRUST_TIME: time::Duration = time::Duration::from_mins(1);
/// Capacity counted for a run of unknown size: more than any server has.
pub const UNKNOWN_CAPACITY: u32 = u32::MAX;

/// Divisor of a run's elapsed time for the conservative lower bound of its remaining time: run
/// times vary by two fifths around the expected ones, so a run can go on past its expected end.
const MIN_REMAINING_DIVISOR: u32 = 4;

/// Claim state of a server. Starts and stops are ordered only on held servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// The pool has no claim on the server.
    Unclaimed,
    /// A first claim is in progress.
    Claiming,
    /// The claim was granted: the pool's token is the highest that the server has seen.
    Held,
    /// An order to the held server went unanswered, another server responded, a stop was rejected,
    /// or the address of the held server changed; a new claim is in progress.
    Suspect,
}

impl ClaimState {
    /// Returns the name of the state in log records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unclaimed => "unclaimed",
            Self::Claiming => "claiming",
            Self::Held => "held",
            Self::Suspect => "suspect",
        }
    }

    /// Whether the runs on the server are known, because a claim was granted.
    pub fn knows_runs(self) -> bool {
        match self {
            Self::Held | Self::Suspect => true,
            Self::Unclaimed | Self::Claiming => false,
        }
    }
}

/// Phase of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// The start was ordered; it may or may not take effect.
    Starting,
    /// The server has the run.
    Running,
    /// A stop was ordered.
    Stopping,
}

/// Incarnation of a server that has ended, or may have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedIncarnation {
    /// Number of the incarnation; 0 if unknown.
    pub incarnation: u64,
    /// Whether the server was draining.
    pub was_draining: bool,
}

/// A held server stopped responding.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerLoss {
    /// Time at which this was noticed.
    pub at: time::Duration,
    /// Whether the server had a run that was tried alone.
    pub was_reserved: bool,
    /// Jobs with runs on the server.
    pub jobs: SmallVec<[Arc<str>; 4]>,
}

impl ServerLoss {
    /// Whether neither loss can have the cause of the other: no job has runs on both servers, and no run was
    /// tried alone. Trials begin at the same moments.
    pub fn is_independent_of(&self, other: &Self) -> bool {
        !self.was_reserved
            && !other.was_reserved
            && !self.jobs.iter().any(|job| other.jobs.contains(job))
    }
}

/// Run that may use capacity of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRun {
    /// Id of the run, unique for its task.
    pub run_id: u64,
    /// Processor counted for the run, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory counted for the run, in MB.
    pub memory_mb: u32,
    /// Number of accelerators counted for the run.
    pub gpus: u32,
    /// Phase of the run.
    pub phase: RunPhase,
    /// Fencing token of the start, or of the latest claim that reported the run.
    pub token: u64,
    /// Whether no other run may be started beside it, as its task may crash the server.
    pub is_isolated: bool,
    /// Whether a job of the pool uses the run; false for a run that no job has adopted, whose job
    /// was abandoned, or that is to stop.
    pub has_job: bool,
    /// Time from which the run's elapsed time counts: its start was ordered, the inherited run was
    /// first reported or the run's job was abandoned, whichever was last.
    pub ordered_at: time::Duration,
    /// Progress of the run at `ordered_at`, in percent.
    pub initial_percent: u8,
    /// Whether `ordered_at` is the time of the start, so that the elapsed time is the run time.
    pub is_start_known: bool,
    /// Time at which the server first confirmed the run.
    pub confirmed_at: Option<time::Duration>,
    /// Caller's estimate of the run time; zero for an inherited run until a job adopts it.
    pub estimate: time::Duration,
    /// Nominal run time; zero for an inherited run until a job adopts it.
    pub nominal_run_time: time::Duration,
    /// Expected time from `ordered_at` to the end of the run; zero for an inherited run until a job
    /// adopts it.
    pub expected_run_time: time::Duration,
    /// Time of the next check for progress.
    pub progress_check_at: time::Duration,
    /// What the log shows of the run while no job uses it; decides nothing.
    pub evidence: run_evidence::RunEvidence,
    /// Time by which the run has to be over unless its job is confirmed until then, as of the last renewal
    /// of its lease: its caller may send the job to another pool after that. `None` for an inherited run
    /// that no job has adopted: its lease is not to be renewed.
    pub lease_bound: Option<time::Duration>,
}

impl ServerRun {
    /// Returns the time that the run is expected to go on.
    pub fn expected_remaining(&self, now: time::Duration) -> time::Duration {
        let elapsed = now.saturating_sub(self.ordered_at);
        self.expected_run_time.saturating_sub(elapsed)
    }

    /// Returns the time that the run is expected to go on, but at least a part of its elapsed
    /// time, so that an overdue run does not count as about to end.
    pub fn conservative_remaining(&self, now: time::Duration) -> time::Duration {
        let elapsed = now.saturating_sub(self.ordered_at);
        self.expected_remaining(now)
            .max(elapsed / MIN_REMAINING_DIVISOR)
    }
}

/// Capacity of a server that its runs leave free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreeCapacity {
    /// Processor, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory, in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub gpus: u32,
}

impl FreeCapacity {
    /// Whether it suffices for a task of `step`.
    pub fn fits(&self, step: &job_model::StepSpec) -> bool {
        self.cpu_millis >= step.cpu_millis
            && self.memory_mb >= step.memory_mb
            && self.gpus >= step.gpus
    }

    /// Returns what a task of `step` leaves free.
    #[must_use]
    pub fn without(self, step: &job_model::StepSpec) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(step.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(step.memory_mb),
            gpus: self.gpus.saturating_sub(step.gpus),
        }
    }
}

/// Reading of a server's monotonic clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockReading {
    /// The server's clock, in ms.
    pub clock_ms: u64,
    /// Time at which the response with the reading arrived.
    pub received_at: time::Duration,
}

/// Backend server in a pool.
#[derive(Clone, Debug)]
pub struct ServerSlot {
    /// Hash of the server's id.
    pub id_hash: u64,
    /// Latest registry entry of the server.
    pub entry: server_model::ServerEntry,
    /// Whether the server is registered.
    pub registered: bool,
    /// Time since which the server has had a registry entry, or had its last one.
    pub listed_since: time::Duration,
    /// Time since which the server has had no registry entry; `None` while it is registered.
    pub unlisted_since: Option<time::Duration>,
    /// Time until which a server that lost its registry entry may still have runs of a leader which doesn't know
    /// of that; zero if it is registered, or runs nothing.
    pub unlisted_runs_until: time::Duration,
    /// Claim state of the server.
    pub claim_state: ClaimState,
    /// Fencing token of the latest claim attempt, or zero.
    pub token: u64,
    /// Number of the latest hold; outcomes of earlier ones are ignored.
    pub hold_number: u64,
    /// Sequence number up to which reported ends have been processed.
    pub processed_end_sequence: u64,
    /// Latest reading of the server's clock; without one, no run is started.
    pub clock: Option<ClockReading>,
    /// Latest lease expiry that was sent to the server, on the server's clock, in ms; 0 if none
    /// was sent since the first claim began or the server restarted.
    pub lease_expiry_ms: u64,
    /// Time since which the lease has not been renewed in full, as the server has a run that no job uses, or
    /// `None` if it was.
    pub lease_withheld_since: Option<time::Duration>,
    /// Runs that may use the server's capacity.
    pub runs: BTreeMap<job_model::TaskName, ServerRun>,
    /// Health of the server.
    pub health: health::ServerHealth,
    /// Time at which the current claim began; not updated by a restart that a hold report shows.
    pub claim_started_at: time::Duration,
    /// Number of attempts of the current claim.
    pub claim_attempts: u32,
    /// Number of attempts of the current claim that were refused as no process accepted connections.
    pub refused_claims: u32,
    /// Number of orders that the server has rejected for their token since it granted a claim.
    pub rejected_orders: u32,
    /// Number of different tokens that the server has rejected in the current first claim.
    pub rejected_tokens: u32,
    /// Number of times that the server has rejected a hold or a start with the token in `token`.
    pub token_rejections: u32,
    /// Number of times that the present incarnation of the server was found to reject orders although it had seen
    /// no higher token.
    pub false_rejections: u32,
    /// Time until which no run is started on the server, as it rejected orders falsely.
    pub distrusted_until: time::Duration,
    /// Whether an attempt of the current claim got no response.
    pub claim_unanswered: bool,
    /// Time since which the server has been left to another pool, or `None` if this pool claims it.
    pub left_since: Option<time::Duration>,
    /// Time until which no run is started on the server, as it did not respond for a while.
    pub settles_at: time::Duration,
    /// Time of the next attempt of the claim; `None` while an attempt is outstanding or none is
    /// needed.
    pub next_claim_at: Option<time::Duration>,
    /// Time at which the outstanding hold was sent.
    pub hold_sent_at: time::Duration,
    /// Time at which the hold was sent that the latest report answers.
    pub reported_at: time::Duration,
    /// Time until which the server may have inherited runs that make all jobs wait: it was registered when this
    /// pool took over, or lost to another pool since, and the leases have not expired by then.
    pub inherited_runs_until: time::Duration,
    /// Time by which the runs have expired that the server had when this pool released it; zero if it had
    /// none. Until then the server counts, even if the registry has lost its entry.
    pub released_runs_until: time::Duration,
    /// Incarnation of the server that `processed_end_sequence`, `clock` and `runs` belong to; 0 if
    /// unknown.
    pub incarnation: u64,
    /// Latest time that the server stopped responding while it was held, or restarted.
    pub latest_loss: Option<ServerLoss>,
    /// Incarnation before the latest restart, until a report shows which runs were lost with it.
    pub restart: Option<EndedIncarnation>,
    /// Expected run time as a multiple of the nominal one, as of the pool's last update of all factors or the
    /// last run that ended here.
    pub slowdown_factor: f64,
    /// Time from which the server is warm, as of the first read of its latest registry entry; `None`
    /// before that. When an entry is read again, its remaining time has partly passed.
    warm_at: Option<time::Duration>,
}

impl ServerSlot {
    /// Whether a job uses a run on the server. Leases are renewed only then: each leader that claims
    /// the server in turn would otherwise keep runs that no caller waits for.
    pub fn has_runs_with_job(&self) -> bool {
        self.runs.values().any(|run| run.has_job)
    }

    /// Creates a slot for a registered server that is not claimed.
    pub fn new(entry: server_model::ServerEntry) -> Self {
        Self {
            incarnation: entry.incarnation,
            id_hash: leadership::id_hash(&entry.id),
            entry,
            registered: true,
            listed_since: time::Duration::ZERO,
            unlisted_since: None,
            unlisted_runs_until: time::Duration::ZERO,
            claim_state: ClaimState::Unclaimed,
            token: 0,
            hold_number: 0,
            processed_end_sequence: 0,
            clock: None,
            lease_expiry_ms: 0,
            lease_withheld_since: None,
            runs: BTreeMap::new(),
            health: health::ServerHealth::default(),
            claim_started_at: time::Duration::ZERO,
            claim_attempts: 0,
            refused_claims: 0,
            rejected_orders: 0,
            rejected_tokens: 0,
            token_rejections: 0,
            false_rejections: 0,
            distrusted_until: time::Duration::ZERO,
            claim_unanswered: false,
            left_since: None,
            settles_at: time::Duration::ZERO,
            next_claim_at: None,
            hold_sent_at: time::Duration::ZERO,
            reported_at: time::Duration::ZERO,
            inherited_runs_until: time::Duration::ZERO,
            released_runs_until: time::Duration::ZERO,
            latest_loss: None,
            restart: None,
            slowdown_factor: 1.0,
            warm_at: None,
        }
    }

    /// Returns the shard of the server.
    pub fn shard(&self) -> u8 {
        leadership::shard_of_hash(self.id_hash)
    }

    /// Whether the server may have runs that a takeover has to find: it is registered, had runs when
    /// this pool released it, or lost its registry entry lately.
    pub fn counts_for_takeover(&self, now: time::Duration) -> bool {
        self.delays_takeover(now) || now < self.unlisted_runs_until
    }

    /// Whether all jobs wait for the runs on the server after a takeover, and not only those that another pool may
    /// have started.
    pub fn delays_takeover(&self, now: time::Duration) -> bool {
        self.registered || now < self.released_runs_until
    }

    /// Whether leases may be renewed on the server: it is registered, or lost its entry within
    /// `unlisted_time` without having said that it leaves.
    pub fn may_renew_leases(&self, unlisted_time: time::Duration, now: time::Duration) -> bool {
        self.unlisted_since
            .is_none_or(|since| !self.entry.draining && now < since + unlisted_time)
    }

    /// Whether the registry entry is of the incarnation that the server last reported. Another incarnation may be of
    /// another kind and have another capacity.
    pub fn has_current_entry(&self) -> bool {
        self.entry.incarnation == 0 || self.entry.incarnation == self.incarnation
    }

    /// Whether new runs may be ordered on the server.
    pub fn is_usable(&self, now: time::Duration) -> bool {
        self.claim_state == ClaimState::Held
            && self.registered
            && self.has_current_entry()
            && !self.entry.draining
            && self.clock.is_some()
            && now >= self.distrusted_until
            && self.health.accepts_run(now, self.runs.len())
    }

    /// Sets the token of the next claim attempts.
    pub fn set_token(&mut self, token: u64) {
        self.token = token;
        self.token_rejections = 0;
    }

    /// Whether the server is asked with the same token again, as it rejected an order although no other process is
    /// known to have claimed it.
    pub fn is_rejection_checked(&self) -> bool {
        self.claim_state == ClaimState::Suspect
            && self.token_rejections > 0
            && !self.is_unreliable()
    }

    /// Whether the present incarnation of the server has rejected orders although it had seen no higher token. That
    /// it rejects one more does not show that another process has claimed it.
    pub fn is_unreliable(&self) -> bool {
        self.false_rejections > 0
    }

    /// Whether a report of `incarnation` under the present token shows that the server has rejected that token
    /// falsely: the highest token that it has seen never falls before it restarts.
    pub fn contradicts_rejection(&self, incarnation: Option<u64>) -> bool {
        self.token_rejections > 0 && self.incarnation != 0 && incarnation == Some(self.incarnation)
    }

    /// Records that the server rejected an order falsely. It gets no run until it has been reliable for a time, which
    /// doubles each time that it is used again too early. Returns that time.
    pub fn record_false_rejection(&mut self, now: time::Duration) -> time::Duration {
        if now >= self.distrusted_until {
            self.false_rejections = self.false_rejections.saturating_add(1);
        }
        let doublings = self.false_rejections.saturating_sub(1).min(16);
        let distrust_time = (MIN_DISTRUST_TIME * (1 << doublings)).min(MAX_DISTRUST_TIME);
        self.distrusted_until = now + distrust_time;
        distrust_time
    }

    /// Sets the incarnation of the server. What an earlier one rejected says nothing of a new one, which has seen no
    /// token.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            self.token_rejections = 0;
            self.false_rejections = 0;
            self.distrusted_until = time::Duration::ZERO;
        }
    }

    /// Replaces the registry entry by `entry`, which was read at `now`.
    pub fn replace_entry(&mut self, entry: server_model::ServerEntry, now: time::Duration) {
        let warm_at = now + entry.cold_remaining;
        let is_read_again =
            (entry.incarnation, entry.sequence) == (self.entry.incarnation, self.entry.sequence);
        self.warm_at = match self.warm_at {
            Some(earlier) if is_read_again => Some(earlier.min(warm_at)),
            _ => Some(warm_at),
        };
        self.entry = entry;
    }

    /// Whether the server is still slow after its start.
    pub fn is_cold(&self, now: time::Duration) -> bool {
        self.warm_at.is_some_and(|warm_at| now < warm_at)
    }

    /// Records that the server stopped responding, or has restarted.
    pub fn record_loss(&mut self, now: time::Duration) {
        self.latest_loss = Some(ServerLoss {
            at: now,
            was_reserved: self.is_reserved(),
            jobs: self.runs.keys().map(|task| Arc::clone(&task.job)).collect(),
        });
    }

    /// Whether the server stopped responding lately, so that it may do so again by itself.
    pub fn was_lost_recently(&self, now: time::Duration) -> bool {
        self.latest_loss
            .as_ref()
            .is_some_and(|loss| now < loss.at + UNSTEADY_TIME)
    }

    /// Whether a run has the server for itself.
    pub fn is_reserved(&self) -> bool {
        self.runs.values().any(|run| run.is_isolated)
    }

    /// Whether the server may start one more task beside its runs: a cold one runs one at a time.
    ///
    /// Load pattern: a failure domain is taken back with all of its servers cold, while its callers are at
    /// full load. Every server would get as many tasks as fit within milliseconds, and all of them would
    /// be slow.
    pub fn accepts_task_while_cold(&self, now: time::Duration) -> bool {
        self.runs.is_empty() || !self.is_cold(now)
    }

    /// Returns the free processor that a new task may use, in thousandths of a core.
    pub fn startable_cpu_millis(&self, now: time::Duration) -> u32 {
        if self.accepts_task_while_cold(now) && !self.is_reserved() {
            self.free_cpu_millis()
        } else {
            0
        }
    }

    /// Returns the number of tasks of `cpu_millis` thousandths of a core that could start now.
    pub fn startable_tasks(&self, cpu_millis: u32, now: time::Duration) -> u32 {
        let max_tasks = if self.is_cold(now) { 1 } else { u32::MAX };
        (self.startable_cpu_millis(now) / cpu_millis.max(1)).min(max_tasks)
    }

    /// Returns the free processor, in thousandths of a core.
    pub fn free_cpu_millis(&self) -> u32 {
        free_capacity(self.entry.cpu_millis, self.used_cpu_millis())
    }

    /// Whether the runs use more processor than the server has, as its capacity has shrunk.
    pub fn is_overcommitted(&self) -> bool {
        self.used_cpu_millis() > u64::from(self.entry.cpu_millis)
    }

    fn used_cpu_millis(&self) -> u64 {
        let used = self.runs.values().map(|run| u64::from(run.cpu_millis));
        used.sum()
    }

    /// Returns the number of runs whose starts have not been answered.
    pub fn open_starts(&self) -> usize {
        let runs = self.runs.values();
        runs.filter(|run| run.phase == RunPhase::Starting).count()
    }

    /// Returns the capacity that its runs leave free.
    pub fn free_capacity(&self) -> FreeCapacity {
        let (mut cpu_millis, mut memory_mb, mut gpus) = (0, 0, 0);
        for run in self.runs.values() {
            cpu_millis += u64::from(run.cpu_millis);
            memory_mb += u64::from(run.memory_mb);
            gpus += u64::from(run.gpus);
        }
        FreeCapacity {
            cpu_millis: free_capacity(self.entry.cpu_millis, cpu_millis),
            memory_mb: free_capacity(self.entry.memory_mb, memory_mb),
            gpus: free_capacity(self.entry.gpus, gpus),
        }
    }

    /// Whether the server could run a task of `step` if it had no other runs.
    pub fn could_run(&self, step: &job_model::StepSpec) -> bool {
        self.entry.cpu_millis >= step.cpu_millis
            && self.entry.memory_mb >= step.memory_mb
            && self.entry.gpus >= step.gpus
            && step
                .required_label
                .as_ref()
                .is_none_or(|label| self.entry.labels.contains(label))
    }

    /// Returns the kind of the server: its first label, empty without labels.
    pub fn kind(&self) -> Arc<str> {
        self.entry
            .labels
            .first()
            .map_or_else(|| Arc::from(""), Arc::clone)
    }

    /// Returns the label that tells the kind of the server, as [`Self::kind`].
    pub fn kind_label(&self) -> &str {
        self.entry.labels.first().map_or("", |label| &**label)
    }

    /// Returns the expiry of a lease that lasts `lease` from now on, on the server's clock, in ms.
    /// `None` without a clock reading.
    pub fn next_lease_expiry_ms(&self, now: time::Duration, lease: time::Duration) -> Option<u64> {
        self.clock.map(|reading| {
            let until_expiry = now.saturating_sub(reading.received_at) + lease;
            reading.clock_ms + u64::try_from(until_expiry.as_millis()).unwrap_or(u64::MAX / 2)
        })
    }

    /// Returns the time until a lease expires that ends at `expiry_ms` on the server's clock. Zero without a
    /// clock reading.
    pub fn time_to_lease_expiry(&self, expiry_ms: u64, now: time::Duration) -> time::Duration {
        let now_ms = self.next_lease_expiry_ms(now, time::Duration::ZERO);
        time::Duration::from_millis(now_ms.map_or(0, |now_ms| expiry_ms.saturating_sub(now_ms)))
    }

    /// Returns the time from which an unresponsive server can have no run left. The server's
    /// clock may be slow, so a lease may last longer than stated. Without a clock reading, the leases
    /// count as renewed for `max_lease` when the current claim began.
    pub fn leases_expire_at(&self, max_lease: time::Duration) -> time::Duration {
        let (granted_at, lease_ms) = match self.clock {
            Some(reading) => (
                reading.received_at,
                self.lease_expiry_ms.saturating_sub(reading.clock_ms),
            ),
            None => (
                self.claim_started_at,
                u64::try_from(max_lease.as_millis()).unwrap_or(u64::MAX / 128),
            ),
        };
        let max_lease_ms = lease_ms * u64::from(MAX_STRETCHED_LEASE_PERCENT) / 100;
        granted_at + time::Duration::from_millis(max_lease_ms) + LEASE_EXPIRY_MARGIN
    }

    /// Returns the latest expiry of a lease, on the server's clock, in ms, with which no run is left at
    /// `time`. `None` without a clock reading.
    pub fn lease_expiry_before_ms(&self, time: time::Duration) -> Option<u64> {
        self.clock.map(|reading| {
            let time_left = time.saturating_sub(reading.received_at + LEASE_EXPIRY_MARGIN);
            let lease = time_left * 100 / MAX_STRETCHED_LEASE_PERCENT;
            reading.clock_ms + u64::try_from(lease.as_millis()).unwrap_or(u64::MAX / 2)
        })
    }

    /// Whether no lease that was granted on the server lasts beyond `bound`. A run that starts gets the lease
    /// that the server has already.
    pub fn leases_end_by(&self, bound: time::Duration) -> bool {
        self.lease_expiry_before_ms(bound)
            .is_some_and(|latest_ms| self.lease_expiry_ms <= latest_ms)
    }

    /// Returns the earliest time at which a run of a job is checked for progress.
    pub fn next_progress_check(&self) -> Option<time::Duration> {
        self.runs
            .values()
            .filter(|run| run.has_job)
            .map(|run| run.progress_check_at)
            .min()
    }
}

fn free_capacity(capacity: u32, used: u64) -> u32 {
    u32::try_from(u64::from(capacity).saturating_sub(used)).unwrap_or(0)
}
