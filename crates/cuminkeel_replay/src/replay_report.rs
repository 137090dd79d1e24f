//! What a pattern was worth under some rules, beside what it could be worth.

use std::{collections::HashMap, time};

use cuminkeel_dispatch::{job_model, settings};

use crate::{load_bound, load_pattern, pool_simulation};

/// Share of the worth that a late answer has.
const LATE_SHARE: f64 = 0.2;
/// Answers later than this many objectives are worth nothing.
const LATE_OBJECTIVES: u32 = 3;
/// Time for what is under way at the end of a pattern.
const CLEARING_TIME: time::Duration = time::Duration::from_secs(5);

/// Rules that are compared, by name.
pub fn compared_policies() -> [(&'static str, settings::PoolPolicies); 4] {
    let ours = settings::PoolPolicies::default();
    [
        ("cuminkeel", ours),
        (
            "arrival order",
            settings::PoolPolicies {
                queue: settings::QueuePolicy::Arrival,
                ..ours
            },
        ),
        (
            "take all",
            settings::PoolPolicies {
                admission: settings::AdmissionPolicy::AdmitAll,
                ..ours
            },
        ),
        (
            "first fit",
            settings::PoolPolicies {
                placement: settings::PlacementPolicy::FirstFit,
                ..ours
            },
        ),
    ]
}

/// Load patterns of the users' worst days.
pub fn worst_pattern_specs(seed: u64) -> Vec<load_pattern::PatternSpec> {
    use crate::fake_server::ServerMode;

    let calm = load_pattern::PatternSpec {
        name: "ordinary second",
        seed,
        jobs_per_s: 47.0,
        burst: None,
        faulty_servers: None,
        always_failing_share: 0.0,
    };
    vec![
        calm,
        load_pattern::PatternSpec {
            name: "burst of all",
            burst: Some((None, 1.8)),
            ..calm
        },
        load_pattern::PatternSpec {
            name: "burst of long jobs",
            burst: Some((Some(1), 4.0)),
            ..calm
        },
        load_pattern::PatternSpec {
            name: "servers cut off",
            faulty_servers: Some((3, ServerMode::Unreachable)),
            ..calm
        },
        load_pattern::PatternSpec {
            name: "servers slow",
            faulty_servers: Some((3, ServerMode::Slow(6.5))),
            ..calm
        },
        load_pattern::PatternSpec {
            name: "servers hang",
            faulty_servers: Some((2, ServerMode::Hanging)),
            ..calm
        },
        load_pattern::PatternSpec {
            name: "servers fail all",
            faulty_servers: Some((2, ServerMode::Failing)),
            ..calm
        },
        load_pattern::PatternSpec {
            name: "hopeless jobs",
            always_failing_share: 0.05,
            ..calm
        },
    ]
}

/// Worth of one pattern under all compared rules.
#[derive(Clone, Debug)]
pub struct PatternRow {
    /// Name of the pattern.
    pub pattern: &'static str,
    /// Worth under each of [`compared_policies`], in their order.
    pub worth_shares: Vec<f64>,
    /// Upper bound on the worth.
    pub bound: f64,
}

/// Replays `patterns` under all compared rules.
pub fn compare(patterns: &[load_pattern::PatternSpec]) -> Vec<PatternRow> {
    patterns
        .iter()
        .map(|spec| {
            let pattern = load_pattern::draw(spec);
            let reports: Vec<ReplayReport> = compared_policies()
                .into_iter()
                .map(|(_, rules)| replay(&pattern, rules))
                .collect();
            PatternRow {
                pattern: spec.name,
                worth_shares: reports.iter().map(|report| report.worth_share).collect(),
                bound: worth_bound(&pattern),
            }
        })
        .collect()
}

/// Upper bound on the worth that any rules can earn under `pattern`; how it is computed is said in `load_bound.rs`.
pub fn worth_bound(pattern: &load_pattern::LoadPattern) -> f64 {
    let terms = load_bound::LateWorth {
        worth_share: LATE_SHARE,
        objective_multiple: LATE_OBJECTIVES,
    };
    load_bound::worth_bound(pattern, terms)
}

/// Result of one replay.
#[derive(Clone, Debug)]
pub struct ReplayReport {
    /// Worth earned as a share of the worth offered by jobs that can be done.
    pub worth_share: f64,
    /// The same for each class.
    pub class_worth_shares: [f64; 3],
    /// Share of the jobs that were refused.
    pub refused_share: f64,
    /// Broken promises.
    pub violations: Vec<pool_simulation::InvariantViolation>,
}

/// Worth that a job has earned; its arrival is counted from `lead_time`.
pub(crate) fn earned_worth(
    arrival: &load_pattern::JobArrival,
    outcome: &pool_simulation::JobOutcome,
    lead_time: time::Duration,
) -> f64 {
    let objective = arrival
        .ticket
        .spec
        .objective(arrival.task_profile.nominal_run_time);
    let took = outcome.at.saturating_sub(lead_time + arrival.at);
    let expected_end = if arrival.task_profile.always_fails {
        job_model::JobEnd::Failed(job_model::FailureReason::AttemptsExhausted)
    } else {
        job_model::JobEnd::Completed
    };
    match () {
        () if outcome.end != expected_end => 0.0,
        () if took <= objective => arrival.worth,
        () if took <= objective * LATE_OBJECTIVES => arrival.worth * LATE_SHARE,
        () => 0.0,
    }
}

/// Replays `pattern` through one pool by `rules`.
pub fn replay(pattern: &load_pattern::LoadPattern, rules: settings::PoolPolicies) -> ReplayReport {
    let servers = load_pattern::domain_servers();
    let names: Vec<_> = servers
        .iter()
        .map(|server| server.entry.id.clone())
        .collect();
    let mut world = pool_simulation::PoolSimulation::new(1, servers, rules);
    world.lead(0);
    let lead_time = time::Duration::from_secs(1);
    world.run_until(lead_time);
    let mut faults = pattern.faults.iter().peekable();
    for arrival in &pattern.arrivals {
        while let Some(fault) = faults.next_if(|fault| fault.at <= arrival.at) {
            world.run_until(lead_time + fault.at);
            world.server_mut(&names[fault.server]).mode = fault.mode;
        }
        world.run_until(lead_time + arrival.at);
        world.submit(0, &arrival.ticket, arrival.task_profile);
    }
    world.run_until(lead_time + load_pattern::PATTERN_DURATION + CLEARING_TIME);
    summarise(pattern, &world, lead_time)
}

fn summarise(
    pattern: &load_pattern::LoadPattern,
    world: &pool_simulation::PoolSimulation,
    lead_time: time::Duration,
) -> ReplayReport {
    let ends: HashMap<&str, &pool_simulation::JobOutcome> = world
        .outcomes
        .iter()
        .map(|outcome| (&*outcome.job, outcome))
        .collect();
    let mut owed = [0.0; 3];
    let mut earned = [0.0; 3];
    let mut refused = 0_usize;
    for arrival in &pattern.arrivals {
        let Some(outcome) = ends.get(&*arrival.ticket.spec.id) else {
            continue;
        };
        owed[arrival.class] += arrival.worth;
        earned[arrival.class] += earned_worth(arrival, outcome, lead_time);
        if matches!(outcome.end, job_model::JobEnd::Refused { .. }) {
            refused += 1;
        }
    }
    let total: f64 = owed.iter().sum();
    ReplayReport {
        worth_share: earned.iter().sum::<f64>() / total.max(f64::MIN_POSITIVE),
        class_worth_shares: std::array::from_fn(|class| {
            earned[class] / owed[class].max(f64::MIN_POSITIVE)
        }),
        refused_share: refused as f64 / pattern.arrivals.len().max(1) as f64,
        violations: world.violations.clone(),
    }
}
