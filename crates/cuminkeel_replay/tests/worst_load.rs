//! Load patterns modelled on the users' worst days, replayed with the default policies and the
//! baselines.

use cuminkeel_replay::{domain_replay, load_pattern, replay_report};
use rand::{RngExt, SeedableRng, rngs};

/// Worth share that the users require on a day with faults or overload.
const TARGET_WORTH_SHARE: f64 = 0.66;
const SEEDS: [u64; 3] = [1, 2, 3];

#[test]
fn no_pattern_violates_an_invariant() {
    for seed in SEEDS {
        for spec in replay_report::worst_pattern_specs(seed) {
            let pattern = load_pattern::draw(&spec);
            for (name, policies) in replay_report::compared_policies() {
                let report = replay_report::replay(&pattern, policies);
                assert_eq!(
                    report.violations,
                    [],
                    "pattern {} seed {seed} policies {name}",
                    spec.name
                );
            }
        }
    }
}

#[test]
fn every_pattern_reaches_the_target_worth() {
    for seed in SEEDS {
        for spec in replay_report::worst_pattern_specs(seed) {
            let pattern = load_pattern::draw(&spec);
            let (_, policies) = replay_report::compared_policies()[0];
            let report = replay_report::replay(&pattern, policies);
            println!(
                "{:20} seed {seed} worth {:.3}",
                spec.name, report.worth_share
            );
            assert!(
                report.worth_share >= TARGET_WORTH_SHARE,
                "pattern {} seed {seed}: worth {:.3}, expected at least {TARGET_WORTH_SHARE}",
                spec.name,
                report.worth_share,
            );
        }
    }
}

#[test]
fn no_baseline_earns_more_over_all_patterns() {
    let mut worth_totals = [0.0; 4];
    for seed in SEEDS {
        for spec in replay_report::worst_pattern_specs(seed) {
            let pattern = load_pattern::draw(&spec);
            print!("{:20} seed {seed}", spec.name);
            for (position, (name, policies)) in
                replay_report::compared_policies().into_iter().enumerate()
            {
                let report = replay_report::replay(&pattern, policies);
                worth_totals[position] += report.worth_share;
                print!(
                    "  {name} {:.3} (by class {:.2} {:.2} {:.2}; refused {:.2})",
                    report.worth_share,
                    report.class_worth_shares[0],
                    report.class_worth_shares[1],
                    report.class_worth_shares[2],
                    report.refused_share
                );
            }
            println!();
        }
    }
    println!("worth totals by policies: {worth_totals:?}");
    for (position, total) in worth_totals.iter().enumerate().skip(1) {
        let (name, _) = replay_report::compared_policies()[position];
        assert!(
            worth_totals[0] >= *total,
            "baseline {name} earned {total:.3}, the default policies {:.3}",
            worth_totals[0]
        );
    }
}

#[test]
fn replays_of_a_pattern_take_the_same_decisions() {
    for spec in replay_report::worst_pattern_specs(3) {
        let pattern = load_pattern::draw(&spec);
        let (_, policies) = replay_report::compared_policies()[0];
        let first = replay_report::run_pattern(&pattern, policies);
        let second = replay_report::run_pattern(&pattern, policies);
        let differing = first
            .decisions
            .iter()
            .zip(&second.decisions)
            .find(|(one, other)| one != other);
        assert_eq!(differing, None, "pattern {}", spec.name);
        assert_eq!(first.answers, second.answers, "pattern {}", spec.name);
    }
}

#[test]
fn no_policies_earn_more_than_the_bound() {
    for spec in &replay_report::worst_pattern_specs(1) {
        let pattern = load_pattern::draw(spec);
        let bound = replay_report::worth_bound(&[&pattern]);
        assert!(bound <= 1.0, "pattern {}: bound {bound:.3}", spec.name);
        for (name, policies) in replay_report::compared_policies() {
            let report = replay_report::replay(&pattern, policies);
            assert!(
                report.worth_share <= bound,
                "pattern {} policies {name}: worth {:.3} above {bound:.3}",
                spec.name,
                report.worth_share
            );
        }
    }
}

/// Guards against a bound that a policy can exceed, on patterns drawn at random without faults, whose bound
/// is exact.
#[test]
fn no_policies_earn_more_than_the_bound_on_random_patterns() {
    let mut rng = rngs::StdRng::seed_from_u64(1);
    for seed in 0..6 {
        let ordinary = replay_report::worst_pattern_specs(seed)[0];
        let base = load_pattern::PatternSpec {
            jobs_per_s: rng.random_range(10.0..160.0),
            burst: Some((None, rng.random_range(1.0..4.0))),
            ..ordinary
        };
        let pattern = load_pattern::draw_shortage(&load_pattern::ShortageSpec {
            base,
            lost_servers: 0,
            wide_tasks: rng.random(),
            long_run_share: 0.0,
            estimate_divisor: rng.random_range(1..4),
        });
        let bound = replay_report::worth_bound(&[&pattern]);
        for (name, policies) in replay_report::compared_policies() {
            let worth = replay_report::replay(&pattern, policies).worth_share;
            assert!(
                worth <= bound,
                "seed {seed} {name}: {worth:.3} above {bound:.3}"
            );
        }
    }
}

/// Guards against a bound that lets tasks be divided: of two tasks that take a bit more than half of a
/// server, one fits.
#[test]
fn bound_counts_whole_tasks() {
    let ordinary = replay_report::worst_pattern_specs(1)[0];
    let mut pattern = load_pattern::draw(&load_pattern::PatternSpec {
        jobs_per_s: 80.0,
        ..ordinary
    });
    let bound_with = |pattern: &mut load_pattern::LoadPattern, cpu_millis| {
        for arrival in &mut pattern.arrivals {
            arrival.task_profile.cpu_millis = cpu_millis;
        }
        replay_report::worth_bound(&[pattern])
    };
    let half = bound_with(&mut pattern, 8_000);
    let over_half = bound_with(&mut pattern, 8_100);
    assert!(over_half < half - 0.1, "{over_half:.3} and {half:.3}");
}

#[test]
fn spillover_earns_more_in_the_domain_with_a_burst() {
    let mut worth_totals = [0.0; 2];
    for seed in SEEDS {
        // The first domain has the burst; the others have ordinary load.
        let patterns: Vec<load_pattern::LoadPattern> = [(1, 0), (0, 100), (0, 200)]
            .into_iter()
            .map(|(pattern, offset)| {
                load_pattern::draw(&replay_report::worst_pattern_specs(seed + offset)[pattern])
            })
            .collect();
        for (position, spillover_policy) in [
            domain_replay::SpilloverPolicy::RemoteWhenFull,
            domain_replay::SpilloverPolicy::LocalOnly,
        ]
        .into_iter()
        .enumerate()
        {
            let report = domain_replay::replay(&patterns, spillover_policy);
            assert_eq!(
                report.replay.violations,
                [],
                "seed {seed} spillover policy {spillover_policy:?}"
            );
            println!(
                "seed {seed} {spillover_policy:?}: {:.3} {:.3} {:.3}, {} remote jobs",
                report.replay.domain_worth_shares[0],
                report.replay.domain_worth_shares[1],
                report.replay.domain_worth_shares[2],
                report.remote_jobs
            );
            worth_totals[position] += report.replay.domain_worth_shares[0];
            if spillover_policy == domain_replay::SpilloverPolicy::RemoteWhenFull {
                assert!(
                    report.remote_jobs > 0,
                    "expected remote jobs with seed {seed}"
                );
                assert!(
                    report
                        .replay
                        .domain_worth_shares
                        .iter()
                        .all(|worth| *worth >= TARGET_WORTH_SHARE),
                    "seed {seed}: expected a worth share of at least {TARGET_WORTH_SHARE} in each \
                     domain, got {:?}",
                    report.replay.domain_worth_shares
                );
            }
        }
    }
    assert!(
        worth_totals[0] > worth_totals[1],
        "expected more worth in the domain with the burst with spillover, \
         got [with, without] {worth_totals:?}"
    );
}
