//! Plans, statistics and pages of experiments.

use std::{fs, path};

use cuminkeel::{experiment_page, policy_experiment};

fn read(name: &str, text: &str) -> Result<policy_experiment::ExperimentPlan, String> {
    let path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the plan is written");
    policy_experiment::ExperimentPlan::read(&path).map_err(|error| error.to_string())
}

#[test]
fn unusable_plans_are_rejected_with_file_and_field() {
    let cases = [
        ("field", "first_seed: 1\nseed: 2\nvariants: []\n", "line 2"),
        (
            "policy",
            "first_seed: 1\nseeds: 2\nvariants:\n  - name: a\n    policies: { pool: { queue: random } }\n",
            "line 5",
        ),
        (
            "none",
            "first_seed: 1\nseeds: 2\nvariants: []\n",
            "`variants` is empty",
        ),
        (
            "seeds",
            "first_seed: 1\nseeds: 0\nvariants:\n  - name: a\n",
            "`seeds` is 0",
        ),
        (
            "twice",
            "first_seed: 1\nseeds: 1\nvariants:\n  - name: a\n  - name: a\n",
            "`variants` has `a` twice",
        ),
        (
            "scenario",
            "first_seed: 1\nseeds: 1\nscenarios: [calm]\nvariants:\n  - name: a\n",
            "`scenarios` has `calm`",
        ),
    ];
    for (name, text, expected) in cases {
        let file = format!("experiment-{name}.yaml");
        let error = read(&file, text).expect_err("the plan is rejected");
        assert!(error.contains(expected), "{name}: {error}");
        assert!(error.contains(&file), "{name}: {error}");
    }
}

/// Guards against variants that are compared on different arrivals: the same policies under two names have no
/// difference, and first fit earns less on each seed.
#[test]
fn variants_are_paired_by_seed() {
    let plan = read(
        "experiment-paired.yaml",
        "first_seed: 1\nseeds: 3\nscenarios: [shared overload]\nvariants:\n  - name: production\n  \
         - name: again\n  - name: first\n    policies: { pool: { placement: first_fit } }\n",
    )
    .expect("the plan is valid");
    let tables = policy_experiment::run(&plan, &|| {});
    let names: Vec<&str> = tables.iter().map(|table| table.scenario).collect();
    assert_eq!(names, ["shared overload", "mean of all"]);
    let [production, again, first] = &tables[0].rows[..] else {
        panic!("expected three rows, got {}", tables[0].rows.len());
    };
    assert_eq!(
        again.worth_change.low.to_bits(),
        again.worth_change.high.to_bits()
    );
    assert!(!again.worth_change.differs_from_zero());
    assert!(first.worth_change.high < 0.0, "{:?}", first.worth_change);
    assert!((first.worth - production.worth - first.worth_change.mean).abs() < 1e-9);
    assert!(production.worth <= tables[0].bound);
    assert_eq!(production.violations, 0);
    let page = experiment_page::render(&tables).expect("the page renders");
    assert!(page.contains("<h2>shared overload</h2>") && page.contains("<svg"));
    assert!(experiment_page::render_text(&tables).contains("again"));
}

#[test]
fn interval_covers_the_mean_and_shrinks_with_the_spread() {
    let wide = policy_experiment::MeanInterval::bootstrap(&[0.1, 0.5, -0.3, 0.2, 0.4]);
    let narrow = policy_experiment::MeanInterval::bootstrap(&[0.18, 0.2, 0.16, 0.18, 0.18]);
    for interval in [wide, narrow] {
        assert!(interval.low <= interval.mean && interval.mean <= interval.high);
    }
    assert!((wide.mean - narrow.mean).abs() < 1e-9);
    assert!(narrow.high - narrow.low < wide.high - wide.low);
    assert!(!wide.differs_from_zero() && narrow.differs_from_zero());
}
