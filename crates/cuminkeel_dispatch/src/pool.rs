//! The state machine of a pool: jobs, servers, and what happens between them.

mod claims;
mod forecasts;
mod jobs;
mod reports;
mod run_ends;
mod schedule;
mod starts;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time,
};

use smallvec::SmallVec;

use crate::{
    health, job_model, job_order, leadership, pool_action, run_time_model, server_model,
    server_slot, settings,
};

/// Bits of a token that tell processes apart; the rest is the epoch.
const TOKEN_NONCE_BITS: u32 = 20;
/// Highest epoch, so that tokens stay exact as JSON numbers (53 bits).
const MAX_EPOCH: u64 = (1 << (53 - TOKEN_NONCE_BITS)) - 1;
/// Time for coordinators to ask for runs that a new leader found: two retries of a link.
const FOREIGN_GRACE: time::Duration = time::Duration::from_millis(400);
/// Longest time between two looks at the time after which this pool still leads for certain:
/// peers take over from a silent leader after 600 ms at the earliest.
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(400);

/// Where a task stands.
#[derive(Clone, Debug, Eq, PartialEq)]
enum TaskPhase {
    /// It waits for room.
    Waiting,
    /// A run of it is on a server.
    Placed { server: Arc<str>, run_id: u64 },
    /// It is done.
    Done,
}

/// A task of a job in the pool.
#[derive(Clone, Debug)]
struct TaskEntry {
    name: job_model::TaskName,
    phase: TaskPhase,
    failures: u32,
    moves: u32,
    next_run: u64,
    avoid: SmallVec<[Arc<str>; 2]>,
}

/// A job in the pool.
#[derive(Clone, Debug)]
struct JobEntry {
    spec: Arc<job_model::JobSpec>,
    waiters: SmallVec<[pool_action::WaiterId; 1]>,
    tasks: Vec<TaskEntry>,
    position: job_order::QueuePosition,
    /// Expected run time of a task of each step.
    run_times: SmallVec<[time::Duration; 1]>,
    /// Expected run time of the longest chain of steps.
    chain: time::Duration,
    arrived: time::Duration,
    objective_at: time::Duration,
    /// When an answer is worth nothing any more, from the estimates.
    useless_at: time::Duration,
    /// When its caller stops waiting.
    deadline_at: time::Duration,
    /// Whether some task may have run here.
    started: bool,
    /// Whether another pool may have runs of it.
    maybe_elsewhere: bool,
}

/// Load of a pool, for other processes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Servers held.
    pub held_servers: u32,
    /// Free processor on usable servers, in thousandths of a core.
    pub free_cpu_millis: u32,
    /// Processor of usable servers, in thousandths of a core.
    pub total_cpu_millis: u32,
    /// Jobs with tasks that wait for room.
    pub queued_jobs: u32,
}

/// The pool of a failure domain's servers.
#[derive(Debug)]
pub struct ServerPool {
    settings: settings::PoolSettings,
    nonce: u64,
    epoch: u64,
    servers: BTreeMap<Arc<str>, server_slot::ServerSlot>,
    kinds: HashMap<Arc<str>, health::KindSlowdown>,
    estimates: HashMap<Arc<str>, run_time_model::RunTimeModel>,
    jobs: HashMap<Arc<str>, JobEntry>,
    queue: BTreeSet<job_order::QueuePosition>,
    run_places: HashMap<job_model::TaskName, Arc<str>>,
    arrivals: u64,
    /// Shards of the domain that this pool leads.
    shards: leadership::ShardSet,
    /// Until when runs of another pool may be unknown here.
    unsettled_until: time::Duration,
    /// Until when servers may be missing in the registry that run something.
    registry_sure_at: time::Duration,
    /// Ends that a former owner's coordinator may still ask for.
    foreign_ends: HashMap<job_model::TaskName, (server_model::RunEnd, time::Duration)>,
    /// Mean processor of recent tasks, in thousandths of a core.
    typical_cpu: u32,
    /// When this pool last looked at the time.
    looked_at: time::Duration,
    actions: Vec<pool_action::PoolAction>,
}

impl ServerPool {
    /// A pool without servers. `nonce` must differ between processes.
    pub fn new(settings: settings::PoolSettings, nonce: u64) -> Self {
        Self {
            settings,
            nonce: nonce & ((1 << TOKEN_NONCE_BITS) - 1),
            epoch: 0,
            servers: BTreeMap::new(),
            kinds: HashMap::new(),
            estimates: HashMap::new(),
            jobs: HashMap::new(),
            queue: BTreeSet::new(),
            run_places: HashMap::new(),
            arrivals: 0,
            shards: leadership::ShardSet::ALL,
            unsettled_until: time::Duration::ZERO,
            registry_sure_at: time::Duration::ZERO,
            foreign_ends: HashMap::new(),
            typical_cpu: 0,
            looked_at: time::Duration::ZERO,
            actions: Vec::new(),
        }
    }

    /// What has to be done, oldest first.
    pub fn take_actions(&mut self) -> Vec<pool_action::PoolAction> {
        std::mem::take(&mut self.actions)
    }

    /// Highest epoch that this pool knows.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes in an epoch that another process uses.
    pub fn observe_epoch(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch.min(MAX_EPOCH));
    }

    /// Entries of servers that run something may be missing in the registry until then.
    pub fn mark_registry_incomplete(&mut self, until: time::Duration) {
        self.registry_sure_at = self.registry_sure_at.max(until);
    }

    /// Load of the pool at `now`.
    pub fn load(&self, now: time::Duration) -> PoolLoad {
        let mut load = PoolLoad::default();
        for slot in self.servers.values() {
            if slot.claim_state == server_slot::ClaimState::Held {
                load.held_servers += 1;
            }
            if slot.is_usable(now) {
                load.free_cpu_millis += slot.free_cpu_millis();
                load.total_cpu_millis += slot.entry.cpu_millis;
            }
        }
        load.queued_jobs = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        load
    }

    /// Jobs of `route` of which no task has started.
    pub fn pending_job_count(&self, route: &str) -> usize {
        self.jobs
            .values()
            .filter(|job| &*job.spec.route == route && !job.started)
            .count()
    }

    /// Ids of the servers that the registry lists.
    pub fn registered_servers(&self) -> impl Iterator<Item = &Arc<str>> {
        self.servers
            .iter()
            .filter(|(_, slot)| slot.registered)
            .map(|(id, _)| id)
    }

    /// Whether this pool is allowed to give orders to `server`, as far as it knows.
    pub fn claim_state(&self, server: &str) -> Option<server_slot::ClaimState> {
        self.servers.get(server).map(|slot| slot.claim_state)
    }

    /// Whether anything waits for a timer.
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

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: time::Duration) {
        self.look_at(now);
        self.retry_claims(now);
        self.expire_leases(now);
        self.stop_foreign_runs(now);
        self.foreign_ends.retain(|_, (_, until)| now < *until);
        self.expire_jobs(now);
        self.schedule(now);
    }

    /// Steps down after a pause in which another process may have led: what waits here may
    /// run there. The next look at the peers decides who leads.
    fn look_at(&mut self, now: time::Duration) {
        let paused = now.saturating_sub(self.looked_at);
        self.looked_at = now;
        let leads = self
            .servers
            .values()
            .any(|slot| slot.claim_state != server_slot::ClaimState::Unclaimed);
        if paused > LONGEST_PAUSE && leads {
            self.step_down(now, "was_paused");
        }
    }

    fn note(
        &mut self,
        kind: pool_action::DecisionKind,
        request: Option<Arc<str>>,
        server: Option<Arc<str>>,
        outcome: &'static str,
        inputs: [(&'static str, i64); 3],
    ) {
        self.actions.push(pool_action::PoolAction::LogDecision(
            pool_action::DecisionRecord {
                kind,
                request,
                server,
                outcome,
                inputs,
            },
        ));
    }
}

/// Inputs of a note that has none.
const NO_INPUTS: [(&str, i64); 3] = [("", 0), ("", 0), ("", 0)];
