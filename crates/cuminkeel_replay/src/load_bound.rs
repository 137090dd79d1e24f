//! An upper bound on what any policy can earn under load patterns.
//!
//! The bound relaxes the problem: the capacity of all servers of all failure domains is one divisible
//! resource, jobs can be served in part, and all arrivals and faults are known in advance. Two constraints
//! remain, and they hold for every policy:
//!
//! - A job can only use capacity that is available between its arrival and the last time at which an
//!   answer earns the worth (arrival plus objective, or later for a late answer).
//! - A server holds whole tasks: two tasks of half a server and a bit more don't fit. Each task is weighed by
//!   a dual feasible function of its share of the server, whose sum over the tasks that fit on a server
//!   is at most 1 (Fekete and Schepers, 2001; Lueker, 1983). Servers of several kinds are made one resource by
//!   a price for each kind; a task counts with the kind on which it is cheapest.
//!
//! The feasible schedules form a polymatroid, so the greedy algorithm, which serves jobs in order of worth
//! per unit of capacity, is optimal (Edmonds, 1970). The bound is the least over several weights, of which
//! one is the plain processor.
//!
//! Under server faults the bound is approximate: a change of a server's mode takes effect in the
//! slot after the one in which it happens, and it also changes the speed of runs in progress, which
//! keep their end in a simulation.

use std::{
    cmp,
    collections::{BTreeMap, BinaryHeap},
    time,
};

use crate::{fake_server, load_pattern};

/// Length of a time slot. Arrivals are rounded down to slots, and arrivals plus objectives
/// up, which can only raise the bound.
const SLOT_DURATION_MS: u64 = 20;
/// Bisection steps of the search for the largest share of a job that can still be done.
const BISECTION_STEPS: u32 = 4;

/// Work that has to be done in a range of slots to earn its worth.
#[derive(Clone, Copy, Debug)]
struct WorkItem {
    first_slot: usize,
    /// First slot after the range.
    end_slot: usize,
    /// Capacity, in the unit of the weights, times ms.
    work: f64,
    worth: f64,
}

/// Worth of a late answer: `worth_share` of the job's worth if the response time is at most
/// `objective_multiple` times the objective, otherwise nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LateWorth {
    pub(crate) worth_share: f64,
    pub(crate) objective_multiple: u32,
}

/// Shares of the dual feasible function that counts whole tasks in the weight of a task; the rest is its
/// processor.
const WHOLE_TASK_SHARES: [f64; 3] = [0.0, 0.5, 1.0];

/// Kind of servers for the bound: capacity and speed.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ServerKind {
    cpu_millis: u32,
    slowdown_factor: f64,
}

/// Weight of tasks, and price of servers.
#[derive(Clone, Debug)]
struct TaskWeights {
    kinds: Vec<ServerKind>,
    typical_cpu_millis: u32,
    whole_task_share: f64,
}

impl TaskWeights {
    /// Returns the weight of a task on a server of `kind`, 1 for one that fills it, or `None` if it doesn't fit.
    fn weight(&self, kind: ServerKind, cpu_millis: u32) -> Option<f64> {
        let share = f64::from(cpu_millis) / f64::from(kind.cpu_millis.max(1));
        let typical_count = (kind.cpu_millis / self.typical_cpu_millis.max(1)).max(1);
        // Compared as integers, so that an exact part of the server is not rounded.
        let parts = u64::from(cpu_millis) * u64::from(typical_count + 1);
        let capacity = u64::from(kind.cpu_millis.max(1));
        let whole_tasks = match () {
            () if parts % capacity == 0 => share,
            () => (parts / capacity) as f64 / f64::from(typical_count),
        };
        (cpu_millis <= kind.cpu_millis)
            .then_some(self.whole_task_share * whole_tasks + (1.0 - self.whole_task_share) * share)
    }

    /// Returns the capacity that a server of `kind` provides in each unit of time: the typical tasks that fill it,
    /// by the time that each takes.
    fn rate(&self, kind: ServerKind) -> f64 {
        let typical = self.typical_cpu_millis.min(kind.cpu_millis);
        self.weight(kind, typical).map_or(0.0, |weight| {
            1.0 / (weight.max(f64::MIN_POSITIVE) * kind.slowdown_factor)
        })
    }

    /// Returns the least capacity that a task needs for each unit of its nominal run time; 0 if it fits on no
    /// server.
    fn need(&self, cpu_millis: u32) -> f64 {
        let needs = self.kinds.iter().filter_map(|kind| {
            let weight = self.weight(*kind, cpu_millis)?;
            Some(weight * kind.slowdown_factor * self.rate(*kind))
        });
        needs.min_by(f64::total_cmp).unwrap_or(0.0)
    }
}

/// Returns an upper bound on the worth that can be earned, as a share of the worth that `patterns`, which
/// run at the same time, offer together.
pub(crate) fn worth_bound(patterns: &[&load_pattern::LoadPattern], late_worth: LateWorth) -> f64 {
    let bounds = WHOLE_TASK_SHARES.map(|share| bound_by_weights(patterns, late_worth, share));
    bounds.into_iter().fold(1.0, f64::min)
}

fn bound_by_weights(
    patterns: &[&load_pattern::LoadPattern],
    late_worth: LateWorth,
    whole_task_share: f64,
) -> f64 {
    let weights = task_weights(patterns, whole_task_share);
    let arrivals = patterns.iter().flat_map(|pattern| &pattern.arrivals);
    let offered: f64 = arrivals.clone().map(|arrival| arrival.worth).sum();
    let mut items = Vec::new();
    let mut earned = 0.0;
    for arrival in arrivals {
        let nominal_run_time = arrival.task_profile.nominal_run_time;
        let work = weights.need(arrival.task_profile.cpu_millis)
            * nominal_run_time.as_secs_f64()
            * 1e3
            * arrival.offer.spec.task_count() as f64;
        // A job that always fails earns its worth once it is answered as failed, so it counts
        // as earned without any work.
        if arrival.task_profile.always_fails || work <= 0.0 {
            earned += arrival.worth;
            continue;
        }
        let objective = arrival.offer.spec.objective(nominal_run_time);
        let work_item = |time_limit: time::Duration, worth| WorkItem {
            first_slot: slot_containing(arrival.at),
            end_slot: slot_containing(arrival.at + time_limit) + 1,
            work,
            worth,
        };
        // A job counts as two independent items: answered within its objective, and answered late.
        // A schedule earns the worth of only one of them, so this can only raise the bound.
        items.push(work_item(objective, arrival.worth));
        items.push(work_item(
            objective * late_worth.objective_multiple,
            arrival.worth * late_worth.worth_share,
        ));
    }
    // By descending worth per work, compared by cross-multiplication.
    items.sort_by(|one, other| (other.worth * one.work).total_cmp(&(one.worth * other.work)));
    let horizon = items.iter().map(|item| item.end_slot).max().unwrap_or(0);
    let mut capacity = vec![0.0; horizon];
    for pattern in patterns {
        add_slot_capacity(&mut capacity, pattern, &weights);
    }
    let mut accepted: Vec<WorkItem> = Vec::new();
    for item in items {
        let (feasible_share, share_bound) = find_feasible_share(&accepted, item, &capacity);
        earned += item.worth * share_bound;
        if feasible_share > 0.0 {
            accepted.push(WorkItem {
                work: item.work * feasible_share,
                ..item
            });
        }
    }
    (earned / offered.max(f64::MIN_POSITIVE)).min(1.0)
}

fn task_weights(patterns: &[&load_pattern::LoadPattern], whole_task_share: f64) -> TaskWeights {
    let mut kinds: Vec<ServerKind> = Vec::new();
    for pattern in patterns {
        let initial = pattern.servers.iter().map(|server| ServerKind {
            cpu_millis: server.entry.cpu_millis,
            slowdown_factor: server.slowdown_factor,
        });
        let resized = pattern.capacity_changes.iter().map(|change| ServerKind {
            cpu_millis: change.cpu_millis,
            slowdown_factor: pattern.servers[change.server].slowdown_factor,
        });
        for kind in initial.chain(resized) {
            if !kinds.contains(&kind) {
                kinds.push(kind);
            }
        }
    }
    let demands = patterns.iter().flat_map(|pattern| &pattern.arrivals);
    let mut demands: Vec<u32> = demands
        .map(|arrival| arrival.task_profile.cpu_millis)
        .collect();
    demands.sort_unstable();
    TaskWeights {
        kinds,
        typical_cpu_millis: demands.get(demands.len() / 2).copied().unwrap_or(1),
        whole_task_share,
    }
}

fn slot_containing(at: time::Duration) -> usize {
    usize::try_from(at.as_millis() / u128::from(SLOT_DURATION_MS)).unwrap_or(usize::MAX)
}

/// Adds the work on successful runs that all servers of `pattern` together can do in each slot.
fn add_slot_capacity(
    capacity: &mut [f64],
    pattern: &load_pattern::LoadPattern,
    weights: &TaskWeights,
) {
    let mut modes: BTreeMap<usize, fake_server::ServerMode> = BTreeMap::new();
    let mut sizes: BTreeMap<usize, u32> = BTreeMap::new();
    let mut mode_changes = pattern.mode_changes.iter().peekable();
    let mut capacity_changes = pattern.capacity_changes.iter().peekable();
    for (slot, slot_capacity) in capacity.iter_mut().enumerate() {
        while let Some(change) = mode_changes.next_if(|change| slot_containing(change.at) < slot) {
            modes.insert(change.server, change.mode);
        }
        while let Some(change) =
            capacity_changes.next_if(|change| slot_containing(change.at) < slot)
        {
            sizes.insert(change.server, change.cpu_millis);
        }
        let rates = pattern.servers.iter().enumerate().map(|(index, server)| {
            let full_rate = weights.rate(ServerKind {
                cpu_millis: sizes
                    .get(&index)
                    .copied()
                    .unwrap_or(server.entry.cpu_millis),
                slowdown_factor: server.slowdown_factor,
            });
            match modes.get(&index) {
                Some(fake_server::ServerMode::Slow(factor)) => full_rate / factor,
                Some(
                    fake_server::ServerMode::Unreachable
                    | fake_server::ServerMode::Crashed
                    | fake_server::ServerMode::Failing
                    | fake_server::ServerMode::Hanging,
                ) => 0.0,
                Some(
                    fake_server::ServerMode::DelayedStarts(_)
                    | fake_server::ServerMode::Healthy
                    | fake_server::ServerMode::StartAnswersLost,
                )
                | None => full_rate,
            }
        });
        *slot_capacity += rates.sum::<f64>() * SLOT_DURATION_MS as f64;
    }
}

/// Returns a share of `item` that can be done in addition to all of `accepted`, and an upper
/// bound on the largest such share.
fn find_feasible_share(accepted: &[WorkItem], item: WorkItem, capacity: &[f64]) -> (f64, f64) {
    let is_feasible_share = |share: f64| {
        let part = WorkItem {
            work: item.work * share,
            ..item
        };
        is_feasible(accepted.iter().copied().chain([part]), capacity)
    };
    if is_feasible_share(1.0) {
        return (1.0, 1.0);
    }
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if is_feasible_share(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    (low, high)
}

/// Whether all items can be done before their `end_slot`. Serves the item with the earliest
/// `end_slot` first (EDF scheduling), which fails only if every other order fails too.
fn is_feasible(items: impl Iterator<Item = WorkItem>, capacity: &[f64]) -> bool {
    let mut upcoming: Vec<WorkItem> = items.collect();
    upcoming.sort_by_key(|item| cmp::Reverse(item.first_slot));
    let mut pending: BinaryHeap<cmp::Reverse<(usize, usize)>> = BinaryHeap::new();
    let mut remaining_work: Vec<f64> = Vec::with_capacity(upcoming.len());
    for (slot, available_work) in capacity.iter().enumerate() {
        while let Some(item) = upcoming.pop_if(|item| item.first_slot <= slot) {
            pending.push(cmp::Reverse((item.end_slot, remaining_work.len())));
            remaining_work.push(item.work);
        }
        let mut available_work = *available_work;
        while let Some(cmp::Reverse((end_slot, index))) = pending.peek().copied() {
            if end_slot <= slot {
                return false;
            }
            let done_work = remaining_work[index].min(available_work);
            remaining_work[index] -= done_work;
            available_work -= done_work;
            if remaining_work[index] > 0.0 {
                break;
            }
            pending.pop();
        }
    }
    pending.is_empty() && upcoming.is_empty()
}
