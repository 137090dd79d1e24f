//! An upper bound on what any policy can earn under a load pattern.
//!
//! The servers' processor is taken as one fluid that can be divided at will, jobs can be
//! served in part, and everything is known in advance. What is left binds all policies: a
//! job can use only what there is between its arrival and its objective. Such schedules
//! form a polymatroid, so that filling it greedily by worth for each unit of processor is
//! optimal (Edmonds, 1970).

use std::{
    cmp,
    collections::{BTreeMap, BinaryHeap},
    time,
};

use crate::{fake_server, load_pattern};

/// Length of a slot of time, in ms; arrivals and objectives are rounded outwards.
const SLOT_MS: u64 = 20;
/// Halvings by which the part of a job is found that still fits.
const SHARE_HALVINGS: u32 = 4;

/// Work that has to be done between two slots.
#[derive(Clone, Copy, Debug)]
struct WorkItem {
    from: usize,
    until: usize,
    /// Processor in thousandths of a core, times ms.
    work: f64,
    worth: f64,
}

/// What a job may earn: `late_share` of its worth until `late_objectives` times its objective.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LateTerms {
    pub(crate) late_share: f64,
    pub(crate) late_objectives: u32,
}

/// Largest worth that can be earned, as a share of what `pattern` offers.
pub(crate) fn worth_bound(pattern: &load_pattern::LoadPattern, terms: LateTerms) -> f64 {
    let offered: f64 = pattern.arrivals.iter().map(|arrival| arrival.worth).sum();
    let mut items = Vec::new();
    let mut earned = 0.0;
    for arrival in &pattern.arrivals {
        // A job that can't be done has earned its worth once it has failed.
        if arrival.task_profile.always_fails {
            earned += arrival.worth;
            continue;
        }
        let objective = arrival
            .ticket
            .spec
            .objective(arrival.task_profile.nominal_run_time);
        let item = |length: time::Duration, worth| WorkItem {
            from: slot_before(arrival.at),
            until: slot_before(arrival.at + length) + 1,
            work: arrival.task_profile.nominal_run_time.as_secs_f64()
                * 1e3
                * f64::from(arrival.task_profile.cpu_millis)
                * arrival.ticket.spec.task_count() as f64,
            worth,
        };
        items.push(item(objective, arrival.worth));
        items.push(item(
            objective * terms.late_objectives,
            arrival.worth * terms.late_share,
        ));
    }
    items.sort_by(|one, other| (other.worth * one.work).total_cmp(&(one.worth * other.work)));
    let horizon = items.iter().map(|item| item.until).max().unwrap_or(0);
    let capacity = slot_capacity(pattern, horizon);
    let mut taken: Vec<WorkItem> = Vec::new();
    for item in items {
        let (fits, bound) = fitting_share(&taken, item, &capacity);
        earned += item.worth * bound;
        if fits > 0.0 {
            taken.push(WorkItem {
                work: item.work * fits,
                ..item
            });
        }
    }
    (earned / offered.max(f64::MIN_POSITIVE)).min(1.0)
}

fn slot_before(at: time::Duration) -> usize {
    usize::try_from(at.as_millis() / u128::from(SLOT_MS)).unwrap_or(usize::MAX)
}

/// Work that the servers can do in each slot.
fn slot_capacity(pattern: &load_pattern::LoadPattern, horizon: usize) -> Vec<f64> {
    let servers = load_pattern::domain_servers();
    let mut modes: BTreeMap<usize, fake_server::ServerMode> = BTreeMap::new();
    let mut faults = pattern.faults.iter().peekable();
    (0..horizon)
        .map(|slot| {
            while let Some(fault) = faults.next_if(|fault| slot_before(fault.at) < slot) {
                modes.insert(fault.server, fault.mode);
            }
            let rate: f64 = servers
                .iter()
                .enumerate()
                .map(|(number, server)| {
                    let full = f64::from(server.entry.cpu_millis) / server.slowdown_factor;
                    match modes.get(&number) {
                        Some(fake_server::ServerMode::Slow(times)) => full / times,
                        Some(
                            fake_server::ServerMode::Unreachable
                            | fake_server::ServerMode::Failing
                            | fake_server::ServerMode::Hanging,
                        ) => 0.0,
                        Some(
                            fake_server::ServerMode::DelayedStarts(_)
                            | fake_server::ServerMode::Healthy,
                        )
                        | None => full,
                    }
                })
                .sum();
            rate * SLOT_MS as f64
        })
        .collect()
}

/// Share of `item` that can be done beside all of `taken`, and a bound above it.
fn fitting_share(taken: &[WorkItem], item: WorkItem, capacity: &[f64]) -> (f64, f64) {
    let fits = |share: f64| {
        let part = WorkItem {
            work: item.work * share,
            ..item
        };
        is_feasible(taken.iter().copied().chain([part]), capacity)
    };
    if fits(1.0) {
        return (1.0, 1.0);
    }
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..SHARE_HALVINGS {
        let middle = f64::midpoint(low, high);
        if fits(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    (low, high)
}

/// Whether all work can be done in time: the item with the earliest end goes first, which
/// fails only where every order does.
fn is_feasible(items: impl Iterator<Item = WorkItem>, capacity: &[f64]) -> bool {
    let mut arriving: Vec<WorkItem> = items.collect();
    arriving.sort_by_key(|item| cmp::Reverse(item.from));
    let mut open: BinaryHeap<cmp::Reverse<(usize, usize)>> = BinaryHeap::new();
    let mut left: Vec<f64> = Vec::with_capacity(arriving.len());
    for (slot, room) in capacity.iter().enumerate() {
        while let Some(item) = arriving.pop_if(|item| item.from <= slot) {
            open.push(cmp::Reverse((item.until, left.len())));
            left.push(item.work);
        }
        let mut room = *room;
        while let Some(cmp::Reverse((until, number))) = open.peek().copied() {
            if until <= slot {
                return false;
            }
            let used = left[number].min(room);
            left[number] -= used;
            room -= used;
            if left[number] > 0.0 {
                break;
            }
            open.pop();
        }
    }
    open.is_empty() && arriving.is_empty()
}
