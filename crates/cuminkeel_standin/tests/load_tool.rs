//! The load tool end to end, with minimal entries that keep or break one
//! promise each.

mod toy_fleet;

use std::time;

use cuminkeel_standin::load::{deployment, plan, report, run};
use toy_fleet::{Lie, ToyFactory};

const SPAN: time::Duration = time::Duration::from_millis(600);

async fn measure(scenario: &str, lie: Lie) -> report::PolicyReport {
    let options = plan::LoadOptions {
        deployment: deployment::Deployment::Perekat,
        seed: 1,
        span: SPAN,
    };
    let report = run::run_policies(scenario, options, &ToyFactory(lie), &["cuminkeel"]).await;
    let report = report.expect("a run");
    assert_eq!(report.scenario, scenario);
    report.policies.into_iter().next().expect("one policy")
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_keep_their_promises_pass() {
    let policy = measure("burst", Lie::None).await;
    let outcome = &policy.outcome;
    assert!(outcome.jobs > 10, "{outcome:?}");
    assert_eq!(outcome.complete, outcome.jobs, "{policy:?}");
    let violations = [
        outcome.duplicate_starts,
        outcome.false_not_run,
        outcome.partial_answers,
        outcome.crossed_answers,
    ];
    assert_eq!(violations, [0; 4]);
    assert!(outcome.response_ratio_p50 >= Some(0.9), "{outcome:?}");
    assert!(policy.messages.task_starts >= outcome.jobs);
}

#[tokio::test(flavor = "multi_thread")]
async fn each_broken_promise_is_found() {
    type Violation = fn(&report::OutcomeReport) -> u64;
    let cases: [(Lie, Violation); 4] = [
        (Lie::StartsTwice, |outcome| outcome.duplicate_starts),
        (Lie::RefusesAfterStart, |outcome| outcome.false_not_run),
        (Lie::LeavesOutOutputs, |outcome| outcome.partial_answers),
        (Lie::SwapsOutputs, |outcome| outcome.crossed_answers),
    ];
    let mut runs = tokio::task::JoinSet::new();
    for (lie, violation) in cases {
        runs.spawn(async move {
            let policy = measure("burst", lie).await;
            assert!(violation(&policy.outcome) > 0, "{lie:?}: {policy:?}");
        });
    }
    runs.join_all().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn edits_are_timed_until_they_are_in_force() {
    let policy = measure("config-race", Lie::None).await;
    let config = policy.config.expect("a scenario with edits");
    assert!(config.edits_accepted > 0, "{config:?}");
    assert_eq!((config.reverts, config.lost_edits), (0, 0), "{config:?}");
    assert!(config.in_force_ms_max.is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_report_has_the_agreed_fields() {
    let policy = measure("rolling-replace", Lie::None).await;
    let json = serde_json::to_value(&policy).expect("json");
    let fields = [
        "policy",
        "jobs",
        "complete",
        "failed",
        "refused",
        "unknown",
        "duplicate_starts",
        "false_not_run",
        "partial_answers",
        "crossed_answers",
        "response_ratio_p50",
        "response_ratio_p99",
        "wasted_messages_per_task",
        "allowance_overshoot",
        "fairness",
        "goodput_share",
        "in_force_ms_p50",
        "in_force_ms_p99",
        "in_force_ms_max",
        "reverts",
        "lost_edits",
        "control_bytes_per_second",
        "control_core_share",
        "control_memory_bytes",
    ];
    for field in fields {
        assert!(json.get(field).is_some(), "{field} is missing");
    }
}
