//! Which task goes to which server, and which waits for a faster one.

use std::{collections, time};

use cuminkeel_types::{names, outcome, time as clock};

use super::SlotPolicy;
use crate::{admission, event, fair_queue, job_table, server_pool};

/// Faster servers are waited for only if they take at most this share of the
/// run time of the server that is free.
const WORTH_WAITING_RATIO: f64 = 0.85;
/// Share of the time saved on a faster server that may be spent waiting for it.
const WAIT_SHARE: f64 = 0.05;
/// The same share if the free server is much slower than those waited for.
const SLOW_WAIT_SHARE: f64 = 0.3;
/// Ratio of run times from which a server is much slower.
const MUCH_SLOWER_RATIO: f64 = 1.9;
/// Share of the time until a job's ideal end that a task's expected run time may
/// take up on a slower server.
const SLACK_SHARE: f64 = 0.85;
/// Share of the fast slots that the longest jobs leave free for shorter ones.
const FAST_RESERVE_SHARE: f64 = 0.1;
/// A job is given up if this share of a task's expected run time on the fastest
/// server is more than the time left.
const DOOMED_SHARE: f64 = 0.8;
/// Most tasks that wait outside the fair order for a faster or larger server.
const MAX_HELD: usize = 512;
/// Held tasks that are looked at in one pass.
const HELD_LOOKS: usize = 4;
/// Pause of a customer that its allowance stopped, if no time is known.
const BLOCKED_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Share of the running tasks that is asked for on top of the queue.
const ASK_HEADROOM_SHARE: u32 = 8;

/// A task whose turn came while only slow servers, or none that it fits, were free.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldTask {
    customer: fair_queue::CustomerIndex,
    rank: fair_queue::JobRank,
    task: fair_queue::QueuedTask,
    behind: usize,
}

impl HeldTask {
    fn key(&self) -> outcome::TaskKey {
        outcome::TaskKey {
            job: self.rank.1,
            task: self.task.task,
        }
    }
}

impl From<fair_queue::NextTask> for HeldTask {
    fn from(next: fair_queue::NextTask) -> Self {
        Self {
            customer: next.customer,
            rank: next.rank,
            task: next.task,
            behind: next.behind,
        }
    }
}

/// Tasks that wait outside the fair order, in the order of their turns.
#[derive(Debug, Default)]
pub(super) struct HeldTasks {
    /// Wait for a faster server.
    faster: collections::VecDeque<HeldTask>,
    /// Fit no server that was free.
    larger: collections::VecDeque<HeldTask>,
}

impl HeldTasks {
    pub(super) fn len(&self) -> usize {
        self.faster.len() + self.larger.len()
    }

    pub(super) fn work_secs(&self) -> f64 {
        let held = self.faster.iter().chain(&self.larger);
        held.map(|held| held.task.secs).sum()
    }
}

/// What became of a task whose turn it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Placement {
    Started,
    /// A faster server is worth waiting for.
    WaitFaster,
    /// No free server takes the size.
    WaitLarger,
    /// The customer's allowance is used up.
    Blocked,
    /// The job was open no more, or was shed.
    Dropped,
}

impl SlotPolicy {
    /// Starts all tasks that should start now.
    pub(super) fn place_tasks(
        &mut self,
        now: clock::TimePoint,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        self.place_larger(now, actions);
        self.place_faster(now, actions);
        while self.pool.has_free() && self.held.len() < MAX_HELD {
            let Some(next) = self.queue.peek() else {
                break;
            };
            let held = HeldTask::from(next);
            self.queue.take(&next);
            match self.place(now, &held, self.held.faster.len(), actions) {
                Placement::WaitFaster => self.held.faster.push_back(held),
                Placement::WaitLarger => self.held.larger.push_back(held),
                result => self.settle_taken(now, &held, result),
            }
        }
    }

    fn place_larger(&mut self, now: clock::TimePoint, actions: &mut Vec<event::DispatchAction>) {
        for _ in 0..self.held.larger.len().min(HELD_LOOKS) {
            let Some(held) = self.held.larger.pop_front() else {
                break;
            };
            match self.place(now, &held, 0, actions) {
                Placement::WaitFaster | Placement::WaitLarger => self.held.larger.push_back(held),
                result => self.settle_taken(now, &held, result),
            }
        }
    }

    fn place_faster(&mut self, now: clock::TimePoint, actions: &mut Vec<event::DispatchAction>) {
        let mut at = 0;
        while at < HELD_LOOKS && self.pool.has_free() {
            let Some(held) = self.held.faster.get(at).copied() else {
                break;
            };
            match self.place(now, &held, at, actions) {
                Placement::WaitFaster => at += 1,
                Placement::WaitLarger => {
                    self.held.faster.remove(at);
                    self.held.larger.push_back(held);
                }
                result => {
                    self.held.faster.remove(at);
                    self.settle_taken(now, &held, result);
                }
            }
        }
    }

    /// Undoes or completes the accounts of a task that was taken from the queue.
    fn settle_taken(&mut self, now: clock::TimePoint, held: &HeldTask, result: Placement) {
        match result {
            Placement::Blocked => {
                self.queue.put_back(held.customer, held.rank, held.task);
                self.block(now, held.customer);
            }
            Placement::Dropped => self.queue.correct(held.customer, -held.task.secs),
            Placement::Started | Placement::WaitFaster | Placement::WaitLarger => {}
        }
    }

    fn block(&mut self, now: clock::TimePoint, customer: fair_queue::CustomerIndex) {
        if self.queue.is_blocked(customer) {
            return;
        }
        let ready = self.gate.next_ready(now, self.queue.name(customer));
        let due = ready
            .filter(|ready| *ready > now)
            .unwrap_or(now + BLOCKED_PAUSE);
        self.queue.set_blocked(customer, true);
        self.blocked.insert((due, customer));
    }

    fn place(
        &mut self,
        now: clock::TimePoint,
        held: &HeldTask,
        position: usize,
        actions: &mut Vec<event::DispatchAction>,
    ) -> Placement {
        let key = held.key();
        let Some(record) = self
            .table
            .job(key.job)
            .filter(|_| self.table.is_waiting(&key))
        else {
            return Placement::Dropped;
        };
        let Some(need) = self.need(now, record, held) else {
            return Placement::Dropped;
        };
        let time_left = record.deadline.since(now).as_secs_f64();
        if let Some(trial) = self.pool.trial(now, &need, time_left) {
            return self.start(now, held, trial, actions);
        }
        let Some(offer) = self.offer(now, &need) else {
            return Placement::WaitLarger;
        };
        let best_secs = offer.run_secs * self.best_ratio(&offer);
        if best_secs * DOOMED_SHARE > time_left {
            self.give_up(key.job, best_secs - time_left, actions);
            return Placement::Dropped;
        }
        let too_slow = offer.run_secs > time_left && best_secs < offer.run_secs;
        let wants_faster = offer.run_secs > need.slack_secs;
        if too_slow || wants_faster && self.should_wait(&offer, position + held.behind) {
            return Placement::WaitFaster;
        }
        self.start(now, held, offer, actions)
    }

    fn need(
        &self,
        now: clock::TimePoint,
        record: &job_table::JobRecord,
        held: &HeldTask,
    ) -> Option<server_pool::TaskNeed> {
        let key = held.key();
        let spec = record.spec.tasks.get(key.task.0 as usize)?;
        let place = self.places.get(&key.job)?;
        let slack = place.ideal_end.since(now).as_secs_f64();
        Some(server_pool::TaskNeed {
            class: self.model.find(&spec.class),
            mean_secs: held.task.secs,
            size: spec.size_millicores,
            may_prove: record.spec.tasks.len() == 1 || now >= self.trials_open,
            slack_secs: slack * SLACK_SHARE,
            reserve_share: place.length_rank * FAST_RESERVE_SHARE,
        })
    }

    /// A server that is fast enough not to hold up the job, or else the fastest.
    fn offer(
        &self,
        now: clock::TimePoint,
        need: &server_pool::TaskNeed,
    ) -> Option<server_pool::ServerOffer> {
        let spare = self.pool.slowest_within(now, need);
        spare.or_else(|| self.pool.fastest(now, need))
    }

    /// Whether a faster server is likely to come free soon enough, with
    /// `ahead` tasks that would take such servers first.
    fn should_wait(&self, offer: &server_pool::ServerOffer, ahead: usize) -> bool {
        let faster = self
            .pool
            .buckets()
            .faster(offer.bucket, WORTH_WAITING_RATIO);
        if faster.release_rate <= 0.0 {
            return false;
        }
        let releases = faster.release_rate / self.model.mix_secs();
        let wait_secs = (ahead + 1) as f64 / releases;
        let there_secs = offer.run_secs * faster.factor / offer.bucket.factor();
        let much_slower = offer.run_secs > there_secs * MUCH_SLOWER_RATIO;
        let share = if much_slower {
            SLOW_WAIT_SHARE
        } else {
            WAIT_SHARE
        };
        wait_secs < share * (offer.run_secs - there_secs)
    }

    fn start(
        &mut self,
        now: clock::TimePoint,
        held: &HeldTask,
        offer: server_pool::ServerOffer,
        actions: &mut Vec<event::DispatchAction>,
    ) -> Placement {
        if !self.gate.try_start(now, self.queue.name(held.customer)) {
            return Placement::Blocked;
        }
        let server = self.pool.server(offer.server).record.name.clone();
        let charged = time::Duration::from_secs_f64(held.task.secs);
        self.table
            .start(now, &held.key(), &server, charged, actions);
        self.pool.start(now, offer.server, offer.run_secs);
        self.queue.count_running(held.customer, true);
        self.lending.on_start();
        self.retries.on_start();
        Placement::Started
    }

    /// Run time on the fastest server, relative to that of an offer.
    fn best_ratio(&self, offer: &server_pool::ServerOffer) -> f64 {
        (self.pool.buckets().best_factor() / offer.bucket.factor()).min(1.0)
    }

    /// Fails a job that would be late even on the fastest server.
    fn give_up(
        &mut self,
        job: names::JobId,
        late_secs: f64,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        let refusal = admission::overloaded("the time left is too short for a run", late_secs);
        self.table.fail_for(job, refusal, actions);
        self.forget_job(job);
    }

    /// Takes a job's waiting tasks out of the queue.
    pub(super) fn forget_job(&mut self, job: names::JobId) {
        if let Some(place) = self.places.remove(&job) {
            self.queue.remove_job(place.customer, place.rank);
        }
    }

    /// Asks a sibling for slots if tasks wait while no slot is free.
    pub(super) fn ask_for_slots(
        &mut self,
        now: clock::TimePoint,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        let queued = self.queue.ready_tasks();
        if queued == 0 || self.pool.has_free() {
            return;
        }
        let queued = u32::try_from(queued).unwrap_or(u32::MAX);
        let headroom = self.pool.buckets().running() / ASK_HEADROOM_SHARE;
        let wanted = queued.saturating_add(headroom);
        self.lending.ask(now, wanted, actions);
    }

    /// Notes what the job table says of an ended attempt's job.
    pub(super) fn settle_job(&mut self, job: names::JobId, verdict: job_table::EndVerdict) {
        if verdict == job_table::EndVerdict::Finished {
            self.forget_job(job);
        }
    }
}
