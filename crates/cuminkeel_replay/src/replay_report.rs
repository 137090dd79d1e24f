//! Worth earned under a load pattern by several sets of policies, and an upper bound on it.

use std::{collections::HashMap, time};

use cuminkeel_dispatch::settings;

use crate::{fault_schedule, load_bound, load_pattern, pool_simulation, replay_tally};

/// Virtual time before the first arrival, in which the pool claims all servers.
const WARM_UP_TIME: time::Duration = time::Duration::from_secs(1);
/// Time after the end of a pattern, in which the remaining jobs end.
const COOL_DOWN_TIME: time::Duration = time::Duration::from_secs(5);

/// Returns the sets of policies that are compared, by name. The first has the default
/// policies; each of the others replaces one of them by its baseline.
pub fn compared_policies() -> [(&'static str, settings::PoolPolicies); 4] {
    let default_policies = settings::PoolPolicies::default();
    [
        ("cuminkeel", default_policies),
        (
            "arrival order",
            settings::PoolPolicies {
                queue: settings::QueuePolicy::Arrival,
                ..default_policies
            },
        ),
        (
            "take all",
            settings::PoolPolicies {
                admission: settings::AdmissionPolicy::AdmitAll,
                ..default_policies
            },
        ),
        (
            "first fit",
            settings::PoolPolicies {
                placement: settings::PlacementPolicy::FirstFit,
                ..default_policies
            },
        ),
    ]
}

/// Returns the specs of the load patterns modelled on the users' worst days, each of
/// [`PATTERN_DURATION`](load_pattern::PATTERN_DURATION). The first pattern has no burst and no
/// faults; the others differ from it in one point each.
pub fn worst_pattern_specs(seed: u64) -> Vec<load_pattern::PatternSpec> {
    use crate::fake_server::ServerMode;

    let ordinary = load_pattern::PatternSpec {
        name: "ordinary second",
        seed,
        jobs_per_s: 47.0,
        size: 1,
        mix: load_pattern::ORDER_DESK_MIX,
        burst: None,
        faulty_servers: None,
        always_failing_share: 0.0,
    };
    vec![
        ordinary,
        load_pattern::PatternSpec {
            name: "burst of all",
            burst: Some((None, 1.8)),
            ..ordinary
        },
        load_pattern::PatternSpec {
            name: "burst of long jobs",
            // Class 1 is `price`, which has the longest run times.
            burst: Some((Some(1), 4.0)),
            ..ordinary
        },
        load_pattern::PatternSpec {
            name: "servers cut off",
            faulty_servers: Some((3, ServerMode::Unreachable)),
            ..ordinary
        },
        load_pattern::PatternSpec {
            name: "servers slow",
            faulty_servers: Some((3, ServerMode::Slow(6.5))),
            ..ordinary
        },
        load_pattern::PatternSpec {
            name: "servers hang",
            faulty_servers: Some((2, ServerMode::Hanging)),
            ..ordinary
        },
        load_pattern::PatternSpec {
            name: "servers fail all",
            faulty_servers: Some((2, ServerMode::Failing)),
            ..ordinary
        },
        load_pattern::PatternSpec {
            name: "hopeless jobs",
            always_failing_share: 0.05,
            ..ordinary
        },
    ]
}

/// Returns the specs of the shortages, modelled on the days of the two customers with hard load:
/// shared overload of 2.2 times with an eighth of the servers gone; wide tasks; these with a long tail
/// of run times; and estimates that are five times too short.
pub fn shortage_specs(seed: u64) -> [load_pattern::ShortageSpec; 4] {
    let overload = |name, load_factor: f64| load_pattern::PatternSpec {
        name,
        seed,
        jobs_per_s: 47.0 * load_factor,
        size: 1,
        mix: load_pattern::ORDER_DESK_MIX,
        burst: None,
        faulty_servers: None,
        always_failing_share: 0.0,
    };
    let shared_overload = load_pattern::ShortageSpec {
        base: overload("shared overload", 2.2),
        lost_servers: 2,
        wide_tasks: false,
        long_run_share: 0.0,
        estimate_divisor: 1,
    };
    [
        shared_overload,
        load_pattern::ShortageSpec {
            base: overload("wide tasks", 1.5),
            lost_servers: 0,
            wide_tasks: true,
            ..shared_overload
        },
        load_pattern::ShortageSpec {
            base: overload("long tail", 2.2),
            wide_tasks: true,
            long_run_share: 0.03,
            ..shared_overload
        },
        load_pattern::ShortageSpec {
            base: overload("short estimates", 1.5),
            lost_servers: 0,
            estimate_divisor: 5,
            ..shared_overload
        },
    ]
}

/// Draws the pattern or the shortage with this name for a failure domain of `size`, or returns `None` if none
/// has that name.
pub fn draw_named(name: &str, seed: u64, size: usize) -> Option<load_pattern::LoadPattern> {
    let mut specs = worst_pattern_specs(seed).into_iter();
    if let Some(spec) = specs.find(|spec| spec.name == name) {
        return Some(load_pattern::draw(&load_pattern::PatternSpec {
            size,
            ..spec
        }));
    }
    let mut shortages = shortage_specs(seed).into_iter();
    let shortage = shortages.find(|shortage| shortage.base.name == name)?;
    Some(load_pattern::draw_shortage(&load_pattern::ShortageSpec {
        base: load_pattern::PatternSpec {
            size,
            ..shortage.base
        },
        ..shortage
    }))
}

/// Draws the patterns of `specs` and `shortages`, in this order.
pub fn draw_all(
    specs: &[load_pattern::PatternSpec],
    shortages: &[load_pattern::ShortageSpec],
) -> Vec<load_pattern::LoadPattern> {
    let drawn = specs.iter().map(load_pattern::draw);
    drawn
        .chain(shortages.iter().map(load_pattern::draw_shortage))
        .collect()
}

/// Worth earned under one pattern by all compared policies.
#[derive(Clone, Debug)]
pub struct PatternRow {
    /// Name of the pattern.
    pub pattern: &'static str,
    /// Share of the worth earned by each of [`compared_policies`], in their order.
    pub worth_shares: Vec<f64>,
    /// Upper bound on the share of the worth that any policies can earn.
    pub bound: f64,
    /// Worth share of each of [`JOB_CLASSES`](load_pattern::JOB_CLASSES) with the default policies.
    pub class_worth_shares: [f64; 3],
    /// Ends of the jobs with the default policies.
    pub end_counts: replay_tally::EndCounts,
}

/// Replays each of `patterns` with all compared policies.
pub fn compare(patterns: &[load_pattern::LoadPattern]) -> Vec<PatternRow> {
    patterns
        .iter()
        .map(|pattern| {
            let reports: Vec<replay_tally::ReplayReport> = compared_policies()
                .into_iter()
                .map(|(_, policies)| replay(pattern, policies))
                .collect();
            PatternRow {
                pattern: pattern.name,
                worth_shares: reports.iter().map(|report| report.worth_share).collect(),
                bound: worth_bound(&[pattern]),
                class_worth_shares: reports
                    .first()
                    .map(|report| report.class_worth_shares)
                    .unwrap_or_default(),
                end_counts: reports
                    .first()
                    .map(|report| report.end_counts)
                    .unwrap_or_default(),
            }
        })
        .collect()
}

/// Returns an upper bound on the worth that any policies can earn under `patterns`, each of a failure
/// domain, as a share of the worth offered. The head of `load_bound.rs` describes the method.
pub fn worth_bound(patterns: &[&load_pattern::LoadPattern]) -> f64 {
    let late_worth = load_bound::LateWorth {
        worth_share: replay_tally::LATE_WORTH_SHARE,
        objective_multiple: replay_tally::LATE_OBJECTIVE_MULTIPLE,
    };
    load_bound::worth_bound(patterns, late_worth)
}

/// Replays `pattern` through one pool that follows `policies`.
pub fn replay(
    pattern: &load_pattern::LoadPattern,
    policies: settings::PoolPolicies,
) -> replay_tally::ReplayReport {
    summarise(pattern, &run_pattern(pattern, policies), WARM_UP_TIME)
}

/// Replays `pattern` through one pool that follows `policies`, and returns the simulation with its
/// decisions and answers.
pub fn run_pattern(
    pattern: &load_pattern::LoadPattern,
    policies: settings::PoolPolicies,
) -> pool_simulation::PoolSimulation {
    let mut simulation = pool_simulation::PoolSimulation::new(1, pattern.servers.clone(), policies);
    simulation.lead_all(0);
    simulation.run_until(WARM_UP_TIME);
    let mut faults = fault_schedule::FaultSchedule::new(pattern);
    for arrival in &pattern.arrivals {
        while let Some(at) = faults.next_at(arrival.at) {
            simulation.run_until(WARM_UP_TIME + at);
            faults.apply_due(&mut simulation, at);
        }
        simulation.run_until(WARM_UP_TIME + arrival.at);
        simulation.submit(0, &arrival.offer, arrival.task_profile);
    }
    simulation.run_until(WARM_UP_TIME + load_pattern::PATTERN_DURATION + COOL_DOWN_TIME);
    simulation
}

fn summarise(
    pattern: &load_pattern::LoadPattern,
    simulation: &pool_simulation::PoolSimulation,
    warm_up_time: time::Duration,
) -> replay_tally::ReplayReport {
    let answers_by_job: HashMap<&str, &pool_simulation::CallerAnswer> = simulation
        .answers
        .iter()
        .map(|answer| (&*answer.job, answer))
        .collect();
    let mut tally = replay_tally::ReplayTally::new(1, warm_up_time);
    tally.add_history(simulation.servers.values());
    for arrival in &pattern.arrivals {
        let answer = answers_by_job.get(&*arrival.offer.spec.id).copied();
        tally.add_job(0, arrival, answer);
    }
    tally.report(
        simulation.refused_with_room.len(),
        simulation.violations.clone(),
    )
}
