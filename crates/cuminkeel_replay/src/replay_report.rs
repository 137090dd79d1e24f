//! Worth earned under a load pattern by several sets of policies, and an upper bound on it.

use std::{collections::HashMap, time};

use cuminkeel_dispatch::{job_model, settings};

use crate::{load_bound, load_pattern, pool_simulation};

/// Worth of a late answer as a share of the job's worth.
const LATE_WORTH_SHARE: f64 = 0.2;
/// Multiple of the objective after which an answer is worth nothing.
const LATE_OBJECTIVE_MULTIPLE: u32 = 3;
/// Virtual time before the first arrival, in which the pool claims all servers.
const WARM_UP_TIME: time::Duration = time::Duration::from_secs(1);
/// Time after which a refused caller counts as held: it was not told at once.
pub const HELD_AFTER: time::Duration = time::Duration::from_millis(50);
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
    pub end_counts: EndCounts,
}

/// Numbers of jobs by how they ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndCounts {
    /// Answered within their objective.
    pub in_time: usize,
    /// Answered after their objective.
    pub late: usize,
    /// Refused on arrival, or within [`HELD_AFTER`] of it.
    pub refused: usize,
    /// Refused on arrival while healthy servers had room for all of their tasks.
    pub refused_with_room: usize,
    /// Admitted, and refused later than [`HELD_AFTER`] without a start.
    pub held: usize,
    /// Sum of the times for which the held jobs waited, in ms.
    pub held_ms: u64,
    /// Started and not completed.
    pub given_up: usize,
}

/// Replays each of `patterns` with all compared policies.
pub fn compare(patterns: &[load_pattern::LoadPattern]) -> Vec<PatternRow> {
    patterns
        .iter()
        .map(|pattern| {
            let reports: Vec<ReplayReport> = compared_policies()
                .into_iter()
                .map(|(_, policies)| replay(pattern, policies))
                .collect();
            PatternRow {
                pattern: pattern.name,
                worth_shares: reports.iter().map(|report| report.worth_share).collect(),
                bound: worth_bound(pattern),
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

/// Returns an upper bound on the worth that any policies can earn under `pattern`, as a share
/// of the worth offered. The head of `load_bound.rs` describes the method.
pub fn worth_bound(pattern: &load_pattern::LoadPattern) -> f64 {
    let late_worth = load_bound::LateWorth {
        worth_share: LATE_WORTH_SHARE,
        objective_multiple: LATE_OBJECTIVE_MULTIPLE,
    };
    load_bound::worth_bound(pattern, late_worth)
}

/// Result of the replay of one pattern.
#[derive(Clone, Debug)]
pub struct ReplayReport {
    /// Worth earned as a share of the worth offered by all answered jobs. A late answer earns a
    /// part of the job's worth; a job whose tasks always fail earns its worth by being answered as
    /// failed.
    pub worth_share: f64,
    /// Worth earned as a share of the worth offered by all answered jobs, for each of
    /// [`JOB_CLASSES`](load_pattern::JOB_CLASSES).
    pub class_worth_shares: [f64; 3],
    /// Refused jobs as a share of all jobs, including those without an answer.
    pub refused_share: f64,
    /// Numbers of jobs by how they ended.
    pub end_counts: EndCounts,
    /// Invariant violations in the replay.
    pub violations: Vec<pool_simulation::InvariantViolation>,
}

/// Returns the worth that a job has earned: all of it if the response time is within the objective,
/// `LATE_WORTH_SHARE` of it up to `LATE_OBJECTIVE_MULTIPLE` times the objective, nothing after that.
/// A job whose tasks always fail earns its worth by being answered as failed. Arrival times count
/// from the end of `warm_up_time`.
pub(crate) fn earned_worth(
    arrival: &load_pattern::JobArrival,
    answer: &pool_simulation::CallerAnswer,
    warm_up_time: time::Duration,
) -> f64 {
    let objective = arrival
        .offer
        .spec
        .objective(arrival.task_profile.nominal_run_time);
    let response_time = answer.at.saturating_sub(warm_up_time + arrival.at);
    let expected_end = if arrival.task_profile.always_fails {
        job_model::JobEnd::Failed(job_model::FailureReason::AttemptsExhausted)
    } else {
        job_model::JobEnd::Completed
    };
    match () {
        () if answer.end != expected_end => 0.0,
        () if response_time <= objective => arrival.worth,
        () if response_time <= objective * LATE_OBJECTIVE_MULTIPLE => {
            arrival.worth * LATE_WORTH_SHARE
        }
        () => 0.0,
    }
}

/// Replays `pattern` through one pool that follows `policies`.
pub fn replay(
    pattern: &load_pattern::LoadPattern,
    policies: settings::PoolPolicies,
) -> ReplayReport {
    summarise(pattern, &run_pattern(pattern, policies), WARM_UP_TIME)
}

/// Replays `pattern` through one pool that follows `policies`, and returns the simulation with its
/// decisions and answers.
pub fn run_pattern(
    pattern: &load_pattern::LoadPattern,
    policies: settings::PoolPolicies,
) -> pool_simulation::PoolSimulation {
    let servers = pattern.servers.clone();
    let server_ids: Vec<_> = servers
        .iter()
        .map(|server| server.entry.id.clone())
        .collect();
    let mut simulation = pool_simulation::PoolSimulation::new(1, servers, policies);
    simulation.lead(0);
    simulation.run_until(WARM_UP_TIME);
    let mut mode_changes = pattern.mode_changes.iter().peekable();
    for arrival in &pattern.arrivals {
        while let Some(change) = mode_changes.next_if(|change| change.at <= arrival.at) {
            simulation.run_until(WARM_UP_TIME + change.at);
            simulation.server_mut(&server_ids[change.server]).mode = change.mode;
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
) -> ReplayReport {
    let answers_by_job: HashMap<&str, &pool_simulation::CallerAnswer> = simulation
        .answers
        .iter()
        .map(|answer| (&*answer.job, answer))
        .collect();
    let mut offered = [0.0; 3];
    let mut earned = [0.0; 3];
    let mut refused_count = 0_usize;
    let mut end_counts = EndCounts {
        refused_with_room: simulation.refused_with_room.len(),
        ..EndCounts::default()
    };
    for arrival in &pattern.arrivals {
        let Some(answer) = answers_by_job.get(&*arrival.offer.spec.id) else {
            continue;
        };
        offered[arrival.class] += arrival.worth;
        earned[arrival.class] += earned_worth(arrival, answer, warm_up_time);
        if matches!(answer.end, job_model::JobEnd::Refused { .. }) {
            refused_count += 1;
        }
        let response_time = answer.at.saturating_sub(warm_up_time + arrival.at);
        let nominal_run_time = arrival.task_profile.nominal_run_time;
        let is_late = response_time > arrival.offer.spec.objective(nominal_run_time);
        match &answer.end {
            job_model::JobEnd::Completed if is_late => end_counts.late += 1,
            job_model::JobEnd::Completed => end_counts.in_time += 1,
            job_model::JobEnd::Refused { .. } if response_time > HELD_AFTER => {
                end_counts.held += 1;
                end_counts.held_ms += u64::try_from(response_time.as_millis()).unwrap_or(u64::MAX);
            }
            job_model::JobEnd::Refused { .. } => end_counts.refused += 1,
            _ => end_counts.given_up += 1,
        }
    }
    let total_offered: f64 = offered.iter().sum();
    ReplayReport {
        worth_share: earned.iter().sum::<f64>() / total_offered.max(f64::MIN_POSITIVE),
        class_worth_shares: std::array::from_fn(|class| {
            earned[class] / offered[class].max(f64::MIN_POSITIVE)
        }),
        refused_share: refused_count as f64 / pattern.arrivals.len().max(1) as f64,
        end_counts,
        violations: simulation.violations.clone(),
    }
}
