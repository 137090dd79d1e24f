//! The worst load, replayed through the product's rules and the baselines.

use cuminkeel_replay::{domain_replay, load_pattern, replay_report};

/// Share of the offered worth that the users ask for on a day with trouble.
const TARGET_WORTH: f64 = 0.66;
const SEEDS: [u64; 3] = [1, 2, 3];

#[test]
fn no_promise_is_broken_under_any_pattern() {
    for seed in SEEDS {
        for spec in replay_report::worst_pattern_specs(seed) {
            let pattern = load_pattern::draw(&spec);
            for (name, rules) in replay_report::compared_policies() {
                let report = replay_report::replay(&pattern, rules);
                assert_eq!(
                    report.violations,
                    [],
                    "pattern {} seed {seed} rules {name}",
                    spec.name
                );
            }
        }
    }
}

#[test]
fn every_pattern_keeps_the_target() {
    for seed in SEEDS {
        for spec in replay_report::worst_pattern_specs(seed) {
            let pattern = load_pattern::draw(&spec);
            let (_, rules) = replay_report::compared_policies()[0];
            let report = replay_report::replay(&pattern, rules);
            println!(
                "{:20} seed {seed} worth {:.3}",
                spec.name, report.worth_share
            );
            assert!(
                report.worth_share >= TARGET_WORTH,
                "pattern {} seed {seed}: worth {:.3}",
                spec.name,
                report.worth_share,
            );
        }
    }
}

#[test]
fn the_rules_beat_each_baseline_over_all_patterns() {
    let mut totals = [0.0; 4];
    for seed in SEEDS {
        for spec in replay_report::worst_pattern_specs(seed) {
            let pattern = load_pattern::draw(&spec);
            print!("{:20} seed {seed}", spec.name);
            for (position, (name, rules)) in
                replay_report::compared_policies().into_iter().enumerate()
            {
                let report = replay_report::replay(&pattern, rules);
                totals[position] += report.worth_share;
                print!(
                    "  {name} {:.3} ({:.2} {:.2} {:.2}; refused {:.2})",
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
    println!("{totals:?}");
    for (position, total) in totals.iter().enumerate().skip(1) {
        let (name, _) = replay_report::compared_policies()[position];
        assert!(
            totals[0] >= *total,
            "{name}: {total:.3} against {:.3}",
            totals[0]
        );
    }
}

#[test]
fn a_replay_repeats() {
    let specs = replay_report::worst_pattern_specs(7);
    let pattern = load_pattern::draw(&specs[1]);
    let (_, rules) = replay_report::compared_policies()[0];
    let first = replay_report::replay(&pattern, rules);
    let second = replay_report::replay(&pattern, rules);
    assert_eq!(first.worth_share.to_bits(), second.worth_share.to_bits());
}

#[test]
fn no_rules_beat_the_bound() {
    for spec in &replay_report::worst_pattern_specs(1)[..4] {
        let pattern = load_pattern::draw(spec);
        let bound = replay_report::worth_bound(&pattern);
        assert!(bound <= 1.0, "pattern {}: bound {bound:.3}", spec.name);
        for (name, rules) in replay_report::compared_policies() {
            let report = replay_report::replay(&pattern, rules);
            assert!(
                report.worth_share <= bound,
                "pattern {} rules {name}: worth {:.3} above {bound:.3}",
                spec.name,
                report.worth_share
            );
        }
    }
}

#[test]
fn a_burst_in_one_domain_is_served_where_room_is() {
    let mut totals = [0.0; 2];
    for seed in SEEDS {
        // The first domain has the burst; the others are as on any second.
        let patterns: Vec<load_pattern::LoadPattern> = [(1, 0), (0, 100), (0, 200)]
            .into_iter()
            .map(|(pattern, offset)| {
                load_pattern::draw(&replay_report::worst_pattern_specs(seed + offset)[pattern])
            })
            .collect();
        for (position, rule) in [
            domain_replay::SpilloverPolicy::RemoteWhenFull,
            domain_replay::SpilloverPolicy::LocalOnly,
        ]
        .into_iter()
        .enumerate()
        {
            let report = domain_replay::replay(&patterns, rule);
            assert_eq!(report.violations, [], "seed {seed} rule {rule:?}");
            println!(
                "seed {seed} {rule:?}: {:.3} {:.3} {:.3}, {} spilled",
                report.worth_share[0],
                report.worth_share[1],
                report.worth_share[2],
                report.remote_jobs
            );
            totals[position] += report.worth_share[0];
            if rule == domain_replay::SpilloverPolicy::RemoteWhenFull {
                assert!(report.remote_jobs > 0, "seed {seed}");
                assert!(
                    report
                        .worth_share
                        .iter()
                        .all(|worth| *worth >= TARGET_WORTH),
                    "seed {seed}: {:?}",
                    report.worth_share
                );
            }
        }
    }
    assert!(totals[0] > totals[1], "{totals:?}");
}
