//! The load tool over real entries: what was answered agrees with what was
//! started, without faults and when entries crash, pause and are cut off.

use std::time;

use cuminkeel_standin::load::{deployment, entry_fleet, plan, report, run};

const SPAN: time::Duration = time::Duration::from_millis(1_500);

async fn measure(scenario: &str, policy: &str) -> report::PolicyReport {
    let deployment = deployment::Deployment::Perekat;
    let options = plan::LoadOptions {
        deployment,
        seed: 1,
        span: SPAN,
    };
    let fleets = entry_fleet::LoopbackFactory {
        deployment,
        seats_per_domain: 3,
        log: slog::Logger::root(slog::Discard, slog::o!()),
    };
    let report = run::run_policies(scenario, options, &fleets, &[policy]).await;
    let report = report.expect("a run");
    report.policies.into_iter().next().expect("one policy")
}

fn violations(policy: &report::PolicyReport) -> [u64; 4] {
    let outcome = &policy.outcome;
    [
        outcome.duplicate_starts,
        outcome.false_not_run,
        outcome.partial_answers,
        outcome.crossed_answers,
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_agree_with_the_ledger_in_each_fault() {
    for scenario in [
        "burst",
        "crash-entry",
        "drain-entry",
        "partition",
        "cancel-wave",
    ] {
        let policy = measure(scenario, "cuminkeel").await;
        assert_eq!(violations(&policy), [0; 4], "{scenario}: {policy:?}");
        assert!(policy.outcome.complete > 0, "{scenario}: {policy:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_agree_with_the_ledger_for_each_baseline() {
    for name in ["random", "least_known_load", "two_choices"] {
        let policy = measure("burst", name).await;
        assert_eq!(violations(&policy), [0; 4], "{name}: {policy:?}");
        assert!(policy.outcome.complete > 0, "{name}: {policy:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn edits_reach_every_entry_and_none_reverts() {
    let policy = measure("lost-acks", "cuminkeel").await;
    let config = policy.config.expect("a scenario with edits");
    assert!(config.edits_accepted > 0, "{config:?}");
    assert_eq!((config.reverts, config.lost_edits), (0, 0), "{config:?}");
}
