//! A run's results as a table for people.

use super::report;

/// One line for each policy and load.
pub fn table(report: &report::ScenarioReport) -> String {
    let mut lines = vec![
        format!(
            "{} on {}, seed {}, {} s for each policy",
            report.scenario, report.deployment, report.seed, report.seconds
        ),
        format!(
            "{:>5} {:17} {:>6} {:>8} {:>7} {:>7} {:>7} {:>8} {:>8} {:>7} {:>8} {:>7} {:>10}",
            "load",
            "policy",
            "jobs",
            "complete",
            "failed",
            "refused",
            "unknown",
            "ratio50",
            "ratio99",
            "wasted",
            "fairness",
            "goodput",
            "violations"
        ),
    ];
    lines.extend(
        report
            .policies
            .iter()
            .map(|policy| line(report.load, policy)),
    );
    for load in &report.further_loads {
        lines.extend(load.policies.iter().map(|policy| line(load.load, policy)));
    }
    lines.join("\n")
}

fn line(load: f64, policy: &report::PolicyReport) -> String {
    let outcome = &policy.outcome;
    let violations = outcome.duplicate_starts
        + outcome.false_not_run
        + outcome.partial_answers
        + outcome.crossed_answers;
    format!(
        "{:>5.2} {:17} {:>6} {:>8} {:>7} {:>7} {:>7} {:>8.3} {:>8.3} {:>7.3} {:>8.3} {:>7.3} {:>10}",
        load,
        policy.policy,
        outcome.jobs,
        outcome.complete,
        outcome.failed,
        outcome.refused,
        outcome.unknown,
        outcome.response_ratio_p50.unwrap_or(f64::NAN),
        outcome.response_ratio_p99.unwrap_or(f64::NAN),
        policy.messages.wasted_messages_per_task,
        outcome.fairness,
        outcome.goodput_share,
        violations
    )
}
