//! Load patterns with a shortage for their whole duration, replayed with the default policies.

use cuminkeel_replay::{load_pattern, replay_report};

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
