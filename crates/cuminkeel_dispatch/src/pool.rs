//! State machine of a server pool: its jobs, its servers and the runs of jobs on servers.
//!
//! A job is submitted by its coordinator, the process that received the caller's request.
//! An inherited run is one that the pool of a previous leader started.

mod admission;
mod claims;
mod crashes;
mod divided_domain;
mod earlier_runs;
mod evacuated;
mod evidence;
mod inherited_runs;
mod jobs;
mod lease_bounds;
mod open_servers;
mod queue_review;
mod queue_wait;
mod rejections;
mod released_jobs;
mod reports;
mod run_ends;
mod schedule;
mod server_speeds;
mod shortage;
mod starts;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time,
};

use smallvec::SmallVec;

use crate::{
    claim_token, crash_ledger, health, job_model, job_order, leadership, pool_action, pool_room,
    run_time_model, server_model, server_slot, settings,
};

/// Time that coordinators have to resubmit the jobs of runs that a new leader found: two dials of
/// a broken link, with their pauses and timeouts.
const INHERITED_RUN_GRACE: time::Duration = time::Duration::from_millis(400);
/// Longest interval between two calls into this pool after which it certainly still leads:
/// peers replace an unresponsive leader after 600 ms at the earliest.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(400);

#[derive(Clone, Debug, Eq, PartialEq)]
enum TaskPhase {
    /// The task has no run: it waits for earlier steps, for capacity, or until inherited runs are
    /// resolved.
    Waiting,
    /// A run of the task was ordered or adopted on a server.
    Placed {
        server: Arc<str>,
        run_id: u64,
    },
    Done,
}

#[derive(Clone, Debug)]
struct TaskEntry {
    name: job_model::TaskName,
    phase: TaskPhase,
    failures: u32,
    /// How the task may be started in view of the servers that were lost under it.
    verdict: crash_ledger::TaskVerdict,
    /// Number of times that an overdue run of the task was rescheduled.
    reschedules: u32,
    next_run_id: u64,
    /// Servers on which the task failed; it is not placed there again.
    avoided_servers: SmallVec<[Arc<str>; 2]>,
}

#[derive(Clone, Debug)]
struct JobEntry {
    spec: Arc<job_model::JobSpec>,
    waiters: SmallVec<[released_jobs::JobWaiter; 1]>,
    tasks: Vec<TaskEntry>,
    queue_position: job_order::QueuePosition,
    /// Nominal run time of a task, for each step.
    nominal_run_times: SmallVec<[time::Duration; 1]>,
    /// Nominal run time of the longest chain of dependent steps.
    critical_path: time::Duration,
    /// Time at which this pool admitted the job.
    admitted_at: time::Duration,
    /// Time at which the coordinator had read the whole request of the caller.
    arrived_at: time::Duration,
    objective_at: time::Duration,
    /// Time from which an answer has no value any more, derived from the nominal run times; not
    /// after `deadline_at`.
    expires_at: time::Duration,
    /// Time at which the caller stops waiting, less the time reserved for sending the answer.
    deadline_at: time::Duration,
    /// Whether a task of the job may have run in this pool.
    has_started: bool,
    /// Whether another pool may have runs of the job.
    may_run_elsewhere: bool,
    /// Size relative to the route's usual one, weighted by a lottery; decides in a shortage.
    weighted_size: f64,
}

impl JobEntry {
    /// Returns for each step whether all steps that it depends on are done.
    fn ready_steps(&self) -> SmallVec<[bool; 4]> {
        let mut unfinished_steps: SmallVec<[bool; 4]> =
            SmallVec::from_elem(false, self.spec.steps.len());
        let unfinished_tasks = self
            .tasks
            .iter()
            .filter(|task| task.phase != TaskPhase::Done);
        for task in unfinished_tasks {
            if let Some(is_unfinished) = unfinished_steps.get_mut(usize::from(task.name.step)) {
                *is_unfinished = true;
            }
        }
        let is_unfinished = |step: &u16| {
            let step = usize::from(*step);
            unfinished_steps.get(step).copied().unwrap_or_default()
        };
        let steps = self.spec.steps.iter();
        steps
            .map(|step| !step.depends_on.iter().any(is_unfinished))
            .collect()
    }

    /// Returns the index of a task in `tasks`, which are in the order of their steps and indices.
    fn task_position(&self, name: &job_model::TaskName) -> Option<usize> {
        let earlier_steps = self.spec.steps.get(..usize::from(name.step))?;
        let first: usize = earlier_steps
            .iter()
            .map(|step| usize::from(step.task_count))
            .sum();
        let position = first + usize::from(name.index);
        let task = self.tasks.get(position)?;
        (task.name == *name).then_some(position)
    }

    fn task_mut(&mut self, name: &job_model::TaskName) -> Option<&mut TaskEntry> {
        let position = self.task_position(name)?;
        self.tasks.get_mut(position)
    }
}

/// Time since which the failure domain of a pool has been evacuated, as far as its process knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationStart {
    /// The process learnt of the evacuation at this time, soon after the operator's request.
    LearntAt(time::Duration),
    /// The evacuation was in force when the process first read the log, so it may be of any age.
    Unknown,
}

/// Load of a pool, as reported to other processes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Number of servers that this pool holds.
    pub held_servers: u32,
    /// Free processor capacity of usable servers, in thousandths of a core; 0 while the failure domain
    /// is evacuated.
    pub free_cpu_millis: u32,
    /// Total processor capacity of usable servers, in thousandths of a core.
    pub total_cpu_millis: u32,
    /// Number of queued jobs; they have tasks without a run.
    pub queued_jobs: u32,
}

/// State machine of a leader of a failure domain: claims backend servers, queues jobs and places
/// their tasks.
#[derive(Debug)]
pub struct ServerPool {
    settings: settings::PoolSettings,
    /// Source of the fencing tokens.
    token_source: claim_token::TokenSource,
    /// Highest epoch of the claims that were granted to this pool.
    epoch: u64,
    /// Highest epoch that other processes have told.
    told_epoch: u64,
    /// Number of holds ordered so far.
    hold_count: u64,
    /// Servers by id.
    servers: BTreeMap<Arc<str>, server_slot::ServerSlot>,
    /// Services of the servers that this pool has known.
    services: SmallVec<[Arc<str>; 1]>,
    /// Slowdowns by kind of server.
    kind_slowdowns: HashMap<Arc<str>, health::KindSlowdown>,
    /// Time until which the slowdown factors in the slots of all servers are recent enough.
    speeds_valid_until: time::Duration,
    /// Run time models by route.
    run_time_models: HashMap<Arc<str>, run_time_model::RunTimeModel>,
    /// Jobs by id. The order of the ids decides which of several jobs is handled first.
    jobs: BTreeMap<Arc<str>, JobEntry>,
    queue: BTreeSet<job_order::QueuePosition>,
    /// Server of each run.
    run_servers: HashMap<job_model::TaskName, Arc<str>>,
    /// Number of jobs offered so far, refused ones included.
    arrival_count: u64,
    /// Shards of the failure domain's servers that this pool leads.
    shards: leadership::ShardSet,
    /// Shards of the servers whose runs have to be known before tasks start: those in `shards`, and those
    /// that this pool has given up before the runs there were known.
    takeover_shards: leadership::ShardSet,
    /// Time until which servers may have inherited runs that this pool does not know.
    inherited_unresolved_until: time::Duration,
    /// Time until which servers with runs may be missing from the registry.
    registry_complete_at: time::Duration,
    /// Time at which this pool last learnt that another pool claims its servers. What servers reported
    /// before may have changed since.
    foreign_claim_at: time::Duration,
    /// Time of the latest change after which this pool leads some shards of its failure domain, but not all. The
    /// servers of the other shards may have runs of jobs that it is offered. `None` before the first one.
    shards_divided_at: Option<time::Duration>,
    /// Start of the latest read of the registry that has been applied.
    registry_read_at: time::Duration,
    /// Registry entries that were removed lately.
    removed_entries: evidence::RemovedEntries,
    /// How the process reads the registry; decides nothing.
    registry_view: server_model::RegistryView,
    /// Time of the latest log records of the servers for which all jobs wait.
    takeover_wait_logged_at: Option<time::Duration>,
    /// Time at which this pool last began to lead shards, or `None` while it leads none.
    leading_since: Option<time::Duration>,
    /// Runs that lost pools may have started on any server.
    earlier_runs: earlier_runs::EarlierRuns,
    /// Reported ends of inherited runs, each with the time until which it is kept, as a coordinator
    /// may still resubmit the job.
    inherited_ends: HashMap<job_model::TaskName, (server_model::RunEnd, time::Duration)>,
    /// Refused jobs that may be offered to other pools.
    released_jobs: released_jobs::ReleasedJobs,
    /// Latest signs of the coordinators in other processes.
    session_signs: lease_bounds::SessionSigns,
    /// Runs that were lost with their servers, in this pool and in others.
    crash_ledger: crash_ledger::CrashLedger,
    /// Moving average of the processor demand of a task over the steps of admitted jobs, in
    /// thousandths of a core.
    typical_cpu_millis: u32,
    /// Number of servers that were compared for tasks.
    placement_reads: u64,
    /// Start of the evacuation of the pool's failure domain, or `None` if it isn't evacuated.
    evacuation: Option<EvacuationStart>,
    /// Usual sizes of jobs by route.
    usual_sizes: HashMap<Arc<str>, job_order::UsualSize>,
    /// Services of which jobs in time wait for a server.
    service_waits: SmallVec<[shortage::ServiceWait; 1]>,
    /// Time of the next review of the queue.
    next_review_at: time::Duration,
    /// Time of the last call that checked for a pause.
    last_active_at: time::Duration,
    /// Whether waiting tasks are to be placed before actions are taken.
    needs_placement: bool,
    /// Number of tasks that the current pass over the queue may still place.
    placements_left: usize,
    actions: Vec<pool_action::PoolAction>,
}

impl ServerPool {
    /// Creates a pool without servers. The low 20 bits of `process_id` go into its fencing tokens
    /// and must differ between processes.
    pub fn new(settings: settings::PoolSettings, process_id: u64) -> Self {
        Self {
            settings,
            token_source: claim_token::TokenSource::new(process_id),
            epoch: 0,
            told_epoch: 0,
            hold_count: 0,
            servers: BTreeMap::new(),
            services: SmallVec::new(),
            kind_slowdowns: HashMap::new(),
            speeds_valid_until: time::Duration::ZERO,
            run_time_models: HashMap::new(),
            jobs: BTreeMap::new(),
            queue: BTreeSet::new(),
            run_servers: HashMap::new(),
            arrival_count: 0,
            shards: leadership::ShardSet::ALL,
            takeover_shards: leadership::ShardSet::ALL,
            inherited_unresolved_until: time::Duration::ZERO,
            registry_complete_at: time::Duration::ZERO,
            foreign_claim_at: time::Duration::ZERO,
            shards_divided_at: None,
            registry_read_at: time::Duration::ZERO,
            removed_entries: evidence::RemovedEntries::default(),
            registry_view: server_model::RegistryView::default(),
            takeover_wait_logged_at: None,
            leading_since: None,
            earlier_runs: earlier_runs::EarlierRuns::default(),
            inherited_ends: HashMap::new(),
            released_jobs: released_jobs::ReleasedJobs::default(),
            session_signs: lease_bounds::SessionSigns::default(),
            crash_ledger: crash_ledger::CrashLedger::default(),
            typical_cpu_millis: 0,
            placement_reads: 0,
            evacuation: None,
            usual_sizes: HashMap::new(),
            service_waits: SmallVec::new(),
            next_review_at: time::Duration::ZERO,
            last_active_at: time::Duration::ZERO,
            needs_placement: false,
            placements_left: 0,
            actions: Vec::new(),
        }
    }

    /// Places waiting tasks if anything has changed that they may depend on, and returns the pending actions,
    /// oldest first.
    ///
    /// To be called once after a batch of events: a pass over the queue costs as much after many events as after
    /// one.
    pub fn take_actions(&mut self, now: time::Duration) -> Vec<pool_action::PoolAction> {
        // The process may have been paused since the last event of the batch.
        self.step_down_after_pause(now);
        if std::mem::take(&mut self.needs_placement) {
            self.schedule(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Whether [`Self::take_actions`] has left tasks to place, so it has to be called again soon.
    pub fn has_placements_left(&self) -> bool {
        self.needs_placement
    }

    /// Returns the highest epoch of the claims that were granted to this pool. What others told is not passed on.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records an epoch that another process has told; one that no process can use is ignored. It says nothing of any
    /// one server, so it counts only for servers that reject the tokens of their own time.
    pub fn observe_epoch(&mut self, epoch: u64) {
        if is_epoch(epoch) {
            self.told_epoch = self.told_epoch.max(epoch);
        }
    }

    /// Records that servers with runs may be missing from the registry until `until`.
    pub fn mark_registry_incomplete(&mut self, until: time::Duration) {
        self.registry_complete_at = self.registry_complete_at.max(until);
    }

    /// Records that a read of the registry which began at `started_at` has been applied.
    pub fn record_registry_read(&mut self, started_at: time::Duration) {
        self.registry_read_at = self.registry_read_at.max(started_at);
    }

    /// Returns the number of servers that this pool claims and that rejected its latest orders for their token, or were
    /// found to do so for no reason.
    pub fn rejecting_server_count(&self) -> usize {
        let servers = self.servers.values();
        servers
            .filter(|slot| slot.claim_state != server_slot::ClaimState::Unclaimed)
            .filter(|slot| slot.rejected_orders > 0 || slot.is_unreliable())
            .count()
    }

    /// Returns the load of the pool at `now`.
    pub fn load(&self, now: time::Duration) -> PoolLoad {
        let mut load = PoolLoad::default();
        for slot in self.servers.values() {
            if slot.claim_state == server_slot::ClaimState::Held {
                load.held_servers += 1;
            }
            if slot.is_usable(now) {
                // Servers declare their capacity themselves, so the sum can exceed the type of the status.
                let (free, total) = (&mut load.free_cpu_millis, &mut load.total_cpu_millis);
                *free = free.saturating_add(slot.startable_cpu_millis(now));
                *total = total.saturating_add(slot.entry.cpu_millis);
            }
        }
        if self.evacuation.is_some() {
            load.free_cpu_millis = 0;
        }
        load.queued_jobs = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        load
    }

    /// Returns what the pool could start at `now`.
    pub fn room(&self, now: time::Duration) -> pool_room::PoolRoom {
        if self.evacuation.is_some() {
            return pool_room::PoolRoom::default();
        }
        let servers = self
            .servers
            .values()
            .filter(|slot| slot.is_usable(now))
            .map(|slot| (slot.startable_cpu_millis(now), slot.entry.cpu_millis));
        pool_room::PoolRoom::from_servers(servers, self.typical_wait(now))
    }

    /// Returns the number of jobs of `route` of which no task has started.
    pub fn pending_job_count(&self, route: &str) -> usize {
        self.jobs
            .values()
            .filter(|job| &*job.spec.route == route && !job.has_started)
            .count()
    }

    /// Returns how many servers were compared for tasks so far, each as often as it was; the main cost of
    /// scheduling.
    pub fn placement_reads(&self) -> u64 {
        self.placement_reads
    }

    /// Returns the ids of the registered servers.
    pub fn registered_servers(&self) -> impl Iterator<Item = &Arc<str>> {
        self.servers
            .iter()
            .filter(|(_, slot)| slot.registered)
            .map(|(id, _)| id)
    }

    /// Returns the ids of the servers that a leader claims: the registered ones, and those without an entry
    /// that may still have runs which this pool started.
    pub fn claimable_servers(&self, now: time::Duration) -> impl Iterator<Item = &Arc<str>> {
        self.servers
            .iter()
            .filter(move |(_, slot)| slot.counts_for_takeover(now))
            .map(|(id, _)| id)
    }

    /// Returns the claim state of `server`, or `None` for an unknown server.
    pub fn claim_state(&self, server: &str) -> Option<server_slot::ClaimState> {
        self.servers.get(server).map(|slot| slot.claim_state)
    }

    /// Returns whether a timed action may become due, so [`Self::tick`] has to be called.
    pub fn needs_tick(&self) -> bool {
        !self.jobs.is_empty()
            || self.servers.values().any(|slot| {
                !slot.runs.is_empty()
                    || matches!(
                        slot.claim_state,
                        server_slot::ClaimState::Claiming | server_slot::ClaimState::Suspect
                    )
            })
    }

    /// Performs everything that is due at `now`: steps down after a pause, repeats claims, ends runs
    /// with expired leases, stops runs without a job, ends expired jobs, demotes late ones, reviews the
    /// queue and places tasks.
    pub fn tick(&mut self, now: time::Duration) {
        self.step_down_after_pause(now);
        self.retry_claims(now);
        self.expire_leases(now);
        self.expire_inherited_runs(now);
        self.record_takeover_wait(now);
        self.stop_runs_without_job(now);
        self.inherited_ends.retain(|_, (_, until)| now < *until);
        self.earlier_runs.prune(now);
        self.released_jobs.prune(now);
        self.prune_session_signs(now);
        self.crash_ledger.prune(now);
        self.end_jobs_of_other_pools(now);
        self.expire_jobs(now);
        self.review_queue(now);
        self.needs_placement = true;
    }

    /// Steps down after a pause of the process in which another process may have become leader:
    /// jobs queued here may run there. The process decides whether it leads when it next reconciles
    /// leadership with its peers.
    ///
    /// Each call that can change claims, runs or jobs begins with this one, so that nothing that
    /// waited in a socket during the pause is applied to claims from before it. Returns whether the
    /// pool stepped down.
    pub fn step_down_after_pause(&mut self, now: time::Duration) -> bool {
        let pause = now.saturating_sub(self.last_active_at);
        self.last_active_at = now;
        let steps_down = pause > MAX_PAUSE
            && self
                .servers
                .values()
                .any(|slot| slot.claim_state != server_slot::ClaimState::Unclaimed);
        if steps_down {
            self.step_down(now, "was_paused");
        }
        steps_down
    }

    fn record_decision<const N: usize>(
        &mut self,
        kind: pool_action::DecisionKind,
        request: Option<Arc<str>>,
        server: Option<Arc<str>>,
        outcome: &'static str,
        inputs: [(&'static str, i64); N],
    ) {
        const { assert!(N <= pool_action::INPUT_COUNT, "too many inputs") };
        let mut padded_inputs = [("", 0); pool_action::INPUT_COUNT];
        for (place, input) in padded_inputs.iter_mut().zip(inputs) {
            *place = input;
        }
        self.actions.push(pool_action::PoolAction::LogDecision(
            pool_action::DecisionRecord {
                kind,
                request,
                server,
                outcome,
                inputs: padded_inputs,
            },
        ));
    }
}

/// Whether `epoch` can be that of a fencing token.
pub fn is_epoch(epoch: u64) -> bool {
    epoch <= claim_token::MAX_EPOCH
}

/// Inputs of a decision record without inputs.
const NO_INPUTS: [(&str, i64); 0] = [];
