//! The servers that this entry may use: usable slots, free slots ordered by
//! speed, and what is known of each server's speed and health.

mod choice;
mod pool_server;

use std::{collections, mem, time};

use cuminkeel_types::{names, time as clock};

pub use self::{
    choice::{ServerOffer, TaskNeed},
    pool_server::PoolServer,
};
use crate::{event, policy, server_health, slot_division, speed_buckets, speed_model};

/// Time for which a server's usable slots are cut after it refused a task;
/// doubles with each further refusal until a task is done.
const REFUSED_CUT: time::Duration = time::Duration::from_millis(200);
/// Most doublings of [`REFUSED_CUT`].
const MAX_CUT_DOUBLINGS: u32 = 4;
/// Share of the servers that may be ejected whatever the load.
const MAX_EJECTED_SHARE: f64 = 1.0 / 3.0;
/// Usable slots for each running task that must be left to eject more.
const EJECT_HEADROOM: f64 = 1.25;
/// Time without observations after which a server's learnt speed counts for less.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(30);
/// Time in which the recent peak of running tasks counts for half.
const PEAK_HALF_LIFE: time::Duration = time::Duration::from_secs(1);
/// Weight that observations keep at each such time.
const FORGET_KEPT: f64 = 0.5;

/// Number of a server within one [`ServerPool`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServerIndex(u32);

impl ServerIndex {
    /// The number as an index.
    pub fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// What a server told of its busy slots, and how far to trust it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BusyReport {
    /// Slots in use by all entries, without the task just answered.
    pub busy: u32,
    /// Free slots beyond the own share that are left to others.
    pub margin: u32,
    /// Time for which the report is believed.
    pub believed_for: time::Duration,
}

/// Order of free servers: fastest first, then most free slots.
type FreeKey = (speed_buckets::SpeedBucket, u32, ServerIndex);

/// All servers of one entry.
#[derive(Debug, Default)]
pub struct ServerPool {
    servers: Vec<PoolServer>,
    by_name: collections::HashMap<names::ServerName, ServerIndex>,
    free: collections::BTreeSet<FreeKey>,
    on_trial: collections::BTreeSet<ServerIndex>,
    buckets: speed_buckets::SpeedBuckets,
    timers: collections::BTreeSet<(clock::TimePoint, ServerIndex)>,
    ejected: u32,
    max_size: u32,
    lent: u32,
    peak: RunningPeak,
}

/// The most tasks that ran at once in the recent past; halves with each
/// [`PEAK_HALF_LIFE`].
#[derive(Debug, Default)]
struct RunningPeak {
    running: f64,
    at: clock::TimePoint,
}

impl RunningPeak {
    fn value(&self, now: clock::TimePoint) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64();
        self.running * (-half_lives).exp2()
    }

    fn observe(&mut self, now: clock::TimePoint, running: u32) {
        let running = f64::from(running);
        if running >= self.value(now) {
            *self = Self { running, at: now };
        }
    }
}

impl ServerPool {
    /// Takes in the list of servers and the entries that share them.
    pub fn set_servers(
        &mut self,
        now: clock::TimePoint,
        records: Vec<event::ServerRecord>,
        local: &names::VmName,
        entries: &[names::VmName],
    ) {
        for server in &mut self.servers {
            server.listed = false;
        }
        for record in records {
            let index = self.index_or_insert(&record);
            let server = &mut self.servers[index.as_usize()];
            let back = server.record.leaving && !record.leaving;
            server.refused_leaving &= !back;
            server.record = record;
            server.listed = true;
        }
        self.set_entries(now, local, entries);
        self.set_max_size();
    }

    fn index_or_insert(&mut self, record: &event::ServerRecord) -> ServerIndex {
        if let Some(index) = self.by_name.get(&record.name) {
            return *index;
        }
        let unused = self.servers.iter().position(PoolServer::is_unused);
        let at = unused.unwrap_or(self.servers.len());
        let index = ServerIndex(u32::try_from(at).unwrap_or(u32::MAX));
        let fresh = PoolServer::new(record.clone());
        if let Some(old) = self.servers.get_mut(at) {
            self.by_name.remove(&old.record.name);
            self.free.retain(|(_, _, server)| *server != index);
            let old = mem::replace(old, fresh);
            self.buckets.subtract(old.bucket, old.usable, 0);
            self.ejected -= u32::from(old.is_ejected());
        } else {
            self.servers.push(fresh);
        }
        self.by_name.insert(record.name.clone(), index);
        index
    }

    /// Divides all servers' slots anew among the entries of the domain.
    pub fn set_entries(
        &mut self,
        now: clock::TimePoint,
        local: &names::VmName,
        entries: &[names::VmName],
    ) {
        for server in &mut self.servers {
            let (name, slots) = (&server.record.name, server.record.slots);
            let share = slot_division::local_share(name, slots, local, entries);
            server.share = if server.listed { share } else { 0 };
        }
        self.refresh_all(now);
    }

    /// Recomputes all servers, for changes that touch many.
    pub fn refresh_all(&mut self, now: clock::TimePoint) {
        for index in self.indices() {
            self.refresh(now, index);
        }
    }

    fn indices(&self) -> impl Iterator<Item = ServerIndex> + use<> {
        (0..u32::try_from(self.servers.len()).unwrap_or(u32::MAX)).map(ServerIndex)
    }

    /// Brings the sums and the order of free servers up to date for one server.
    fn refresh(&mut self, now: clock::TimePoint, index: ServerIndex) {
        let server = &mut self.servers[index.as_usize()];
        let usable = server.usable_now(now);
        let bucket = speed_buckets::SpeedBucket::of(server.speed.optimistic_factor());
        let running = server.running();
        if usable != server.usable || bucket != server.bucket {
            self.buckets.subtract(server.bucket, server.usable, running);
            self.buckets.add(bucket, usable, running);
            server.usable = usable;
            server.bucket = bucket;
        }
        if server.is_on_trial() && server.free() > 0 {
            self.on_trial.insert(index);
        } else {
            self.on_trial.remove(&index);
        }
        let in_use = server.record.slots.saturating_sub(server.free());
        let free_key = (server.free() > 0).then_some((bucket, in_use, index));
        if free_key == server.free_key {
            return;
        }
        if let Some(old) = mem::replace(&mut server.free_key, free_key) {
            self.free.remove(&old);
        }
        if let Some(new) = free_key {
            self.free.insert(new);
        }
    }

    /// The number of a server.
    pub fn index(&self, name: &names::ServerName) -> Option<ServerIndex> {
        self.by_name.get(name).copied()
    }

    /// A server.
    pub fn server(&self, index: ServerIndex) -> &PoolServer {
        &self.servers[index.as_usize()]
    }

    /// Notes a start.
    pub fn start(&mut self, now: clock::TimePoint, index: ServerIndex, run_secs: f64) {
        let server = &mut self.servers[index.as_usize()];
        let expected = time::Duration::from_secs_f64(run_secs.clamp(0.0, 3_600.0));
        server.running.push(pool_server::RunningSlot {
            started: now,
            expected_end: now + expected,
        });
        self.buckets.add(server.bucket, 0, 1);
        self.refresh(now, index);
        self.peak.observe(now, self.buckets.running());
    }

    /// Notes an end of a task that was started at `started`.
    pub fn end(&mut self, now: clock::TimePoint, index: ServerIndex, started: clock::TimePoint) {
        let server = &mut self.servers[index.as_usize()];
        if let Some(at) = server
            .running
            .iter()
            .position(|slot| slot.started == started)
        {
            server.running.swap_remove(at);
            self.buckets.subtract(server.bucket, 0, 1);
        }
        self.refresh(now, index);
    }

    /// Takes in a run time and the success that it proves.
    pub fn on_done(
        &mut self,
        now: clock::TimePoint,
        index: ServerIndex,
        learn: impl FnOnce(&mut speed_model::ServerSpeed),
    ) {
        let server = &mut self.servers[index.as_usize()];
        let was_ejected = server.is_ejected();
        server.last_done = now;
        server.refusals = 0;
        server.health.on_success();
        learn(&mut server.speed);
        self.after_health(now, index, was_ejected);
    }

    /// Takes in evidence against a server.
    pub fn on_failure(
        &mut self,
        now: clock::TimePoint,
        index: ServerIndex,
        evidence: server_health::FailureEvidence,
    ) {
        let may_eject = self.may_eject(index);
        let server = &mut self.servers[index.as_usize()];
        let was_ejected = server.is_ejected();
        server.health.on_failure(now, evidence, may_eject);
        self.after_health(now, index, was_ejected);
    }

    /// Whether enough servers are left if this one is ejected.
    fn may_eject(&self, index: ServerIndex) -> bool {
        let listed = f64::from(self.listed_servers());
        let ejected = f64::from(self.ejected + 1);
        let left = self.buckets.usable() - self.server(index).usable;
        let spare = f64::from(left) >= f64::from(self.buckets.running()) * EJECT_HEADROOM;
        let allowed = if spare {
            listed - 1.0
        } else {
            (listed * MAX_EJECTED_SHARE).max(1.0)
        };
        left > 0 && ejected <= allowed
    }

    fn after_health(&mut self, now: clock::TimePoint, index: ServerIndex, was_ejected: bool) {
        let server = &self.servers[index.as_usize()];
        match (was_ejected, server.is_ejected()) {
            (false, true) => self.ejected += 1,
            (true, false) => self.ejected -= 1,
            _ => {}
        }
        if let server_health::HealthState::Ejected { until } = server.health.state() {
            self.timers.insert((until, index));
        }
        self.refresh(now, index);
    }

    fn listed_servers(&self) -> u32 {
        let listed = self.servers.iter().filter(|server| server.listed).count();
        u32::try_from(listed).unwrap_or(u32::MAX)
    }

    /// Cuts a server's usable slots to those in use, since it refused one more.
    pub fn on_slots_full(&mut self, now: clock::TimePoint, index: ServerIndex) {
        let server = &mut self.servers[index.as_usize()];
        server.cut = server.granted().saturating_sub(server.running());
        server.others = server.record.slots.saturating_sub(server.running());
        server.cut_until = now + REFUSED_CUT * (1 << server.refusals.min(MAX_CUT_DOUBLINGS));
        server.refusals += 1;
        self.timers.insert((server.cut_until, index));
        self.refresh(now, index);
    }

    /// Takes in how many slots of a server are in use by all entries.
    pub fn on_report(
        &mut self,
        now: clock::TimePoint,
        name: &names::ServerName,
        report: BusyReport,
    ) {
        let Some(index) = self.index(name) else {
            return;
        };
        let server = &mut self.servers[index.as_usize()];
        let own = server.running().saturating_sub(1);
        server.others = report.busy.saturating_sub(own);
        server.margin = report.margin;
        let believed_until = now + report.believed_for;
        if server.believed_until <= now {
            self.timers.insert((believed_until, index));
        }
        server.believed_until = believed_until;
        self.refresh(now, index);
    }

    /// Gives a server no more work, since it said that it leaves.
    pub fn on_leaving(&mut self, now: clock::TimePoint, index: ServerIndex) {
        self.servers[index.as_usize()].refused_leaving = true;
        self.refresh(now, index);
    }

    /// Lowers a server's largest size, since it refused a task as too large.
    pub fn on_too_large(&mut self, index: ServerIndex, size: u32) {
        let record = &mut self.servers[index.as_usize()].record;
        record.max_size_millicores = record.max_size_millicores.min(size.saturating_sub(1));
        self.set_max_size();
    }

    fn set_max_size(&mut self) {
        let in_use = self.servers.iter().filter(|server| !server.leaves());
        let sizes = in_use.map(|server| server.record.max_size_millicores);
        self.max_size = sizes.max().unwrap_or(0);
    }

    /// Whether no task of the server was done since `since`.
    pub fn is_silent(&self, index: ServerIndex, since: clock::TimePoint) -> bool {
        self.server(index).last_done <= since
    }

    /// Changes a server's slots by a loan given or taken.
    pub fn change_loans(
        &mut self,
        now: clock::TimePoint,
        index: ServerIndex,
        change: impl FnOnce(&mut u32, &mut u32),
    ) {
        let server = &mut self.servers[index.as_usize()];
        let lent = server.lent;
        change(&mut server.lent, &mut server.borrowed);
        self.lent = self.lent + server.lent - lent;
        self.refresh(now, index);
    }

    /// Carries out what is due by time: ends of cuts, begins of trials.
    pub fn on_time(&mut self, now: clock::TimePoint) {
        while let Some((due, index)) = self.timers.first().copied()
            && due <= now
        {
            self.timers.pop_first();
            let server = &mut self.servers[index.as_usize()];
            let was_ejected = server.is_ejected();
            server.health.on_time(now);
            let believed_until = server.believed_until;
            if believed_until > now {
                self.timers.insert((believed_until, index));
            }
            self.after_health(now, index, was_ejected);
        }
    }

    /// When [`ServerPool::on_time`] has something to do next.
    pub fn next_due(&self) -> Option<clock::TimePoint> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Lets the speed of servers without recent observations count for less.
    pub fn forget_unused(&mut self, now: clock::TimePoint) {
        for index in self.indices() {
            let server = &mut self.servers[index.as_usize()];
            if now.since(server.last_done) > FORGET_AFTER {
                server.last_done = now;
                server.speed.forget(FORGET_KEPT);
                self.refresh(now, index);
            }
        }
    }

    /// Sums by speed.
    pub fn buckets(&self) -> &speed_buckets::SpeedBuckets {
        &self.buckets
    }

    /// Slots of the own share that are lent now.
    pub fn lent(&self) -> u32 {
        self.lent
    }

    /// Tasks that ran at once in the recent past beyond those that run now.
    pub fn recent_need(&self, now: clock::TimePoint) -> f64 {
        (self.peak.value(now) - f64::from(self.buckets.running())).max(0.0)
    }

    /// Whether any server has a free slot.
    pub fn has_free(&self) -> bool {
        !self.free.is_empty()
    }

    /// Free servers, fastest first.
    pub fn free_servers(&self) -> impl Iterator<Item = ServerIndex> + '_ {
        self.free.iter().map(|(_, _, index)| *index)
    }

    /// Largest size that any server takes.
    pub fn max_size(&self) -> u32 {
        self.max_size
    }

    /// One line for each server in the list or in use.
    pub fn status(&self) -> Vec<policy::ServerStatus> {
        let shown = self
            .servers
            .iter()
            .filter(|server| server.listed || server.running() > 0);
        shown
            .map(|server| policy::ServerStatus {
                server: server.record.name.clone(),
                usable_slots: server.usable,
                running: server.running(),
                state: server.state(),
                slowness: server.speed.log_factor().exp(),
            })
            .collect()
    }
}
