//! Load patterns with a shortage for their whole duration, replayed with the default policies.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time,
};

use cuminkeel_dispatch::{job_model, pool_action, settings};
use cuminkeel_replay::{load_pattern, pool_simulation, replay_report};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Guards against overlapping runs, overcommitted servers and starts of refused jobs in a shortage.
#[test]
fn no_shortage_violates_an_invariant() {
    for seed in SEEDS {
        for spec in replay_report::shortage_specs(seed) {
            let pattern = load_pattern::draw_shortage(&spec);
            for (name, policies) in replay_report::compared_policies() {
                let report = replay_report::replay(&pattern, policies);
                assert_eq!(
                    report.violations,
                    [],
                    "pattern {} seed {seed} policies {name}",
                    pattern.name
                );
            }
        }
    }
}

/// Returns the ids of the jobs that were refused after they had been queued, by the label of their end.
fn refused_from_queue(
    simulation: &pool_simulation::PoolSimulation,
    label: &str,
) -> BTreeSet<Arc<str>> {
    simulation
        .decisions
        .iter()
        .filter(|(_, record)| {
            record.kind == pool_action::DecisionKind::JobEnded && record.outcome == label
        })
        .filter_map(|(_, record)| record.request.clone())
        .collect()
}

/// Guards against callers that are held until their job expires, although the queue shows before that
/// it can't be served.
#[test]
fn waiting_jobs_that_cannot_be_served_are_refused_before_they_expire() {
    for seed in SEEDS {
        for spec in replay_report::shortage_specs(seed) {
            let pattern = load_pattern::draw_shortage(&spec);
            let simulation =
                replay_report::run_pattern(&pattern, settings::PoolPolicies::default());
            let early_count = refused_from_queue(&simulation, "queue_too_long").len();
            let expired_count = refused_from_queue(&simulation, "expired_in_queue").len();
            assert!(
                early_count > expired_count,
                "pattern {} seed {seed}: {early_count} jobs refused by the review, {expired_count} \
                 after their expiry",
                pattern.name
            );
        }
    }
}

/// Guards against a review that refuses jobs, or defers them, in a pool which has capacity for all: its
/// decisions are those of a pool that admits everything and reviews nothing.
#[test]
fn pool_below_capacity_decides_as_without_a_review() {
    for seed in SEEDS {
        let spec = load_pattern::PatternSpec {
            jobs_per_s: 15.0,
            ..replay_report::worst_pattern_specs(seed)[0]
        };
        let pattern = load_pattern::draw(&spec);
        let reviewed = replay_report::run_pattern(&pattern, settings::PoolPolicies::default());
        let unreviewed = replay_report::run_pattern(
            &pattern,
            settings::PoolPolicies {
                admission: settings::AdmissionPolicy::AdmitAll,
                ..settings::PoolPolicies::default()
            },
        );
        assert_eq!(reviewed.answers, unreviewed.answers, "seed {seed}");
        assert_eq!(reviewed.decisions, unreviewed.decisions, "seed {seed}");
    }
}

/// Worth of the shortages, as the mean of the four patterns and three seeds, when late jobs took
/// servers that jobs in time were waiting for.
const WORTH_WITHOUT_DEFERRAL: f64 = 0.526;

/// Guards against late jobs that take servers from jobs which can still meet their objective.
#[test]
fn late_jobs_leave_servers_to_jobs_in_time() {
    let mut worths = Vec::new();
    for seed in SEEDS {
        for spec in replay_report::shortage_specs(seed) {
            let pattern = load_pattern::draw_shortage(&spec);
            let report = replay_report::replay(&pattern, settings::PoolPolicies::default());
            worths.push(report.worth_share);
        }
    }
    let mean_worth = worths.iter().sum::<f64>() / 12.0;
    assert!(
        mean_worth > WORTH_WITHOUT_DEFERRAL + 0.01,
        "mean worth {mean_worth:.3}"
    );
}

/// Sums of the ends of jobs over the patterns with estimates as on ordinary days, for all seeds.
fn end_sums(policies: settings::PoolPolicies) -> BTreeMap<&'static str, f64> {
    let mut sums = BTreeMap::new();
    for seed in SEEDS {
        for spec in &replay_report::shortage_specs(seed)[..3] {
            let pattern = load_pattern::draw_shortage(spec);
            let counts = replay_report::replay(&pattern, policies).end_counts;
            for (name, count) in [
                ("in time", counts.in_time),
                ("spread", counts.late_causes.spread),
                ("held", counts.held),
                (
                    "held ms",
                    usize::try_from(counts.held_ms).unwrap_or(usize::MAX),
                ),
            ] {
                *sums.entry(name).or_insert(0.0) += count as f64;
            }
        }
    }
    sums
}

/// Guards against an order in which each job of a shortage starts at its latest start: its tasks then end too
/// late one by one, and their work is wasted.
#[test]
fn more_callers_are_answered_in_time_if_jobs_in_progress_and_small_ones_go_first() {
    let with_order = end_sums(settings::PoolPolicies::default());
    // Early refusals shorten the queue, so they hide a part of what its order costs.
    let by_latest_start = end_sums(settings::PoolPolicies {
        shortage_order: settings::MechanismState::Disabled,
        shortage_refusal: settings::MechanismState::Disabled,
        ..settings::PoolPolicies::default()
    });
    println!("with the order of a shortage {with_order:?}, by latest start {by_latest_start:?}");
    assert!(with_order["in time"] > 1.1 * by_latest_start["in time"]);
    assert!(with_order["spread"] < 0.5 * by_latest_start["spread"]);
}

/// Guards against callers that are held although their jobs are late and the shortage goes on.
#[test]
fn late_jobs_are_refused_early_in_a_shortage() {
    let early = end_sums(settings::PoolPolicies::default());
    let late = end_sums(settings::PoolPolicies {
        shortage_refusal: settings::MechanismState::Disabled,
        ..settings::PoolPolicies::default()
    });
    println!("with early refusals {early:?}, without {late:?}");
    // Objectives of two of the three classes are 0.16 and 0.38 s on average.
    let mean_wait_ms = |sums: &BTreeMap<&str, f64>| sums["held ms"] / sums["held"];
    assert!(mean_wait_ms(&early) < 200.0);
    assert!(mean_wait_ms(&early) < 0.5 * mean_wait_ms(&late));
    assert!(early["in time"] > 0.97 * late["in time"]);
}

/// Guards against large jobs that starve behind small ones: in each class, the largest tenth is completed at
/// least half as often as all jobs.
#[test]
fn large_jobs_are_served_in_a_shortage() {
    let mut sizes: [Vec<(f64, bool)>; 3] = Default::default();
    for seed in 1..=8 {
        let spec = replay_report::shortage_specs(seed)[0];
        let pattern = load_pattern::draw_shortage(&spec);
        let simulation = replay_report::run_pattern(&pattern, settings::PoolPolicies::default());
        let completed: BTreeSet<&str> = simulation
            .answers
            .iter()
            .filter(|answer| answer.end == job_model::JobEnd::Completed)
            .map(|answer| &*answer.job)
            .collect();
        for arrival in &pattern.arrivals {
            let job = &arrival.offer.spec;
            let run_time = arrival.task_profile.nominal_run_time.as_secs_f64();
            let size = run_time * job.task_count() as f64;
            sizes[arrival.class].push((size, completed.contains(&*job.id)));
        }
    }
    for (class, jobs) in sizes.iter_mut().enumerate() {
        jobs.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        let share = |jobs: &[(f64, bool)]| {
            let completed = jobs.iter().filter(|(_, completed)| *completed).count();
            completed as f64 / jobs.len().max(1) as f64
        };
        let largest = &jobs[..jobs.len() / 10];
        println!(
            "class {class}: largest {:.3}, all {:.3}",
            share(largest),
            share(jobs)
        );
        assert!(share(largest) >= 0.5 * share(jobs), "class {class}");
    }
}

/// Guards against a shortage that is declared while there is room, or that never ends. At a third of the usual
/// load, a job with more tasks than there are fast servers may still wait for them.
#[test]
fn shortage_begins_with_late_jobs_and_ends_with_the_queue() {
    let total_time = |pattern: &load_pattern::LoadPattern| {
        let simulation = replay_report::run_pattern(pattern, settings::PoolPolicies::default());
        let decisions = simulation.decisions.iter();
        let changes: Vec<_> = decisions
            .filter(|(_, record)| record.kind == pool_action::DecisionKind::Shortage)
            .map(|(at, record)| (*at, record.outcome))
            .collect();
        let times = changes.chunks(2).map(|change| {
            let [(began_at, "began"), (ended_at, "ended")] = change else {
                panic!("expected a beginning and an end, got {change:?}");
            };
            ended_at.saturating_sub(*began_at)
        });
        times.sum::<time::Duration>()
    };
    for seed in SEEDS {
        let calm = load_pattern::PatternSpec {
            jobs_per_s: 15.0,
            ..replay_report::worst_pattern_specs(seed)[0]
        };
        let calm_time = total_time(&load_pattern::draw(&calm));
        let short = load_pattern::draw_shortage(&replay_report::shortage_specs(seed)[0]);
        let short_time = total_time(&short);
        println!("seed {seed}: shortage for {calm_time:?} and {short_time:?}");
        assert!(
            calm_time < load_pattern::PATTERN_DURATION / 50,
            "{calm_time:?}"
        );
        assert!(
            short_time > load_pattern::PATTERN_DURATION / 2,
            "{short_time:?}"
        );
    }
}

/// Guards against servers that are ejected for the failures of one job. No server is faulty here.
#[test]
fn failing_jobs_cost_no_servers() {
    let mut worths = [0.0; 2];
    for seed in 1..=6 {
        let spec = replay_report::worst_pattern_specs(seed)[7];
        assert_eq!(spec.name, "hopeless jobs");
        let pattern = load_pattern::draw(&spec);
        for (worth, ejection) in worths.iter_mut().zip([
            settings::MechanismState::Enabled,
            settings::MechanismState::Disabled,
        ]) {
            let policies = settings::PoolPolicies {
                ejection,
                ..settings::PoolPolicies::default()
            };
            *worth += replay_report::replay(&pattern, policies).worth_share / 6.0;
        }
    }
    println!("worth with and without ejection: {worths:?}");
    assert!(worths[0] > worths[1] - 0.015, "{worths:?}");
}

/// Guards against a pool that takes a shortage along into its next leadership: it would count the time in
/// between as waiting, and refuse the first late jobs as if the shortage had lasted since then.
#[test]
fn shortage_ends_when_its_pool_steps_down() {
    let pattern = load_pattern::draw_shortage(&replay_report::shortage_specs(1)[0]);
    let policies = settings::PoolPolicies::default();
    let mut simulation = pool_simulation::PoolSimulation::new(1, pattern.servers.clone(), policies);
    simulation.lead(0);
    simulation.run_until(time::Duration::from_secs(1));
    let last_outcome = |simulation: &pool_simulation::PoolSimulation| {
        let mut decisions = simulation.decisions.iter().rev();
        decisions
            .find(|(_, record)| record.kind == pool_action::DecisionKind::Shortage)
            .map(|(_, record)| record.outcome)
    };
    let mut arrivals = pattern.arrivals.iter();
    while last_outcome(&simulation) != Some("began") {
        let arrival = arrivals.next().expect("the pool has a shortage");
        simulation.run_until(time::Duration::from_secs(1) + arrival.at);
        simulation.submit(0, &arrival.offer, arrival.task_profile);
    }
    simulation.step_down(0);
    assert_eq!(last_outcome(&simulation), Some("ended"));
}
