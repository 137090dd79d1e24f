//! What an experiment showed.

use std::{fmt::Write, time};

use cuminkeel_replay::{load_pattern, run_audit};
use derive_more::Display;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::{CallOutcome, CallRecord, LoadTestPlan, local_site};

/// Longest response that is told apart, in ms.
const MAX_RESPONSE_MS: u64 = 60_000;
/// Digits by which responses are told apart.
const RESPONSE_DIGITS: u8 = 3;

/// A promise that was broken.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InvariantViolation {
    /// Two runs of a task at the same time.
    #[display("task {_0} ran twice at a time")]
    #[serde(rename = "run_twice")]
    OverlappingRuns(String),
    /// More on a server than it has.
    #[display("server {_0} was over its capacity")]
    OverCapacity(String),
    /// Completed without all tasks.
    #[display("job {_0} was answered as completed and is not")]
    Partial(String),
    /// A refused job has run.
    #[display("job {_0} was refused and has run")]
    RanThoughRefused(String),
}

/// Results of one class of jobs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassRow {
    /// Name of its route.
    pub class: &'static str,
    /// Jobs.
    pub jobs: usize,
    /// Completed within 1.6 times their work and 60 ms.
    pub in_time: usize,
    /// Completed later.
    pub late: usize,
    /// Failed.
    pub failed: usize,
    /// Refused.
    pub refused: usize,
    /// Without an answer.
    pub unanswered: usize,
    /// Median time to completion, in ms.
    pub p50_ms: u64,
    /// 99th percentile of it.
    pub p99_ms: u64,
}

/// Result of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadResult {
    /// Name of the pattern.
    pub pattern: &'static str,
    /// Its seed.
    pub seed: u64,
    /// Processes.
    pub processes: u16,
    /// Results by class.
    pub classes: Vec<ClassRow>,
    /// Worth earned as a share of the worth offered by jobs that can be done.
    pub worth: f64,
    /// Promises that were broken.
    #[serde(rename = "broken")]
    pub violations: Vec<InvariantViolation>,
}

impl LoadResult {
    /// The result as a table.
    pub fn render_table(&self) -> String {
        let mut table = format!(
            "{}, seed {}, {} processes\n{:8}{:>6}{:>9}{:>6}{:>8}{:>9}{:>11}{:>8}{:>8}\n",
            self.pattern,
            self.seed,
            self.processes,
            "class",
            "jobs",
            "in time",
            "late",
            "failed",
            "refused",
            "no answer",
            "p50 ms",
            "p99 ms",
        );
        for row in &self.classes {
            // A string takes whatever is written.
            let _infallible = writeln!(
                table,
                "{:8}{:>6}{:>9}{:>6}{:>8}{:>9}{:>11}{:>8}{:>8}",
                row.class,
                row.jobs,
                row.in_time,
                row.late,
                row.failed,
                row.refused,
                row.unanswered,
                row.p50_ms,
                row.p99_ms,
            );
        }
        let _infallible = writeln!(
            table,
            "worth {:.3}; {} promises broken",
            self.worth,
            self.violations.len()
        );
        for promise in &self.violations {
            let _infallible = writeln!(table, "  {promise}");
        }
        table
    }
}

fn objective(arrival: &load_pattern::JobArrival) -> time::Duration {
    arrival
        .ticket
        .spec
        .objective(arrival.task_profile.nominal_run_time)
}

/// Judges what callers and servers saw.
pub(super) fn evaluate(
    plan: &LoadTestPlan,
    answers: &[CallRecord],
    records: &[local_site::ServerRecord],
) -> LoadResult {
    let doable = || {
        answers
            .iter()
            .filter(|call| !call.arrival.task_profile.always_fails)
    };
    let offered: f64 = doable().map(|call| call.arrival.worth).sum();
    let earned: f64 = doable()
        .filter(|call| is_in_time(call))
        .map(|call| call.arrival.worth)
        .sum();
    LoadResult {
        pattern: plan.pattern.name,
        seed: plan.pattern.seed,
        processes: plan.process_count,
        classes: (0..load_pattern::JOB_CLASSES.len())
            .map(|class| class_row(class, answers))
            .collect(),
        worth: if offered > 0.0 { earned / offered } else { 0.0 },
        violations: broken_promises(answers, records),
    }
}

fn is_in_time(call: &CallRecord) -> bool {
    call.outcome == CallOutcome::Completed && call.response_time <= objective(&call.arrival)
}

fn class_row(class: usize, answers: &[CallRecord]) -> ClassRow {
    let calls: Vec<&CallRecord> = answers
        .iter()
        .filter(|call| call.arrival.class == class)
        .collect();
    let count = |outcome| calls.iter().filter(|call| call.outcome == outcome).count();
    let in_time = calls.iter().filter(|call| is_in_time(call)).count();
    let mut responses = Histogram::<u64>::new_with_max(MAX_RESPONSE_MS, RESPONSE_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are constants that the histogram takes"));
    for call in calls
        .iter()
        .filter(|call| call.outcome == CallOutcome::Completed)
    {
        responses
            .saturating_record(u64::try_from(call.response_time.as_millis()).unwrap_or(u64::MAX));
    }
    ClassRow {
        class: load_pattern::JOB_CLASSES[class].route,
        jobs: calls.len(),
        in_time,
        late: count(CallOutcome::Completed) - in_time,
        failed: count(CallOutcome::Failed),
        refused: count(CallOutcome::Refused),
        unanswered: count(CallOutcome::Unanswered),
        p50_ms: responses.value_at_quantile(0.5),
        p99_ms: responses.value_at_quantile(0.99),
    }
}

fn broken_promises(
    answers: &[CallRecord],
    records: &[local_site::ServerRecord],
) -> Vec<InvariantViolation> {
    let mut broken = Vec::new();
    let mut audit = run_audit::RunAudit::default();
    for record in records {
        if record.peak_cpu_millis > record.cpu_millis {
            broken.push(InvariantViolation::OverCapacity(record.name.clone()));
        }
        audit.add(record.runs.iter().cloned());
    }
    for [run, _] in audit.overlapping_runs() {
        broken.push(InvariantViolation::OverlappingRuns(run.task.to_string()));
    }
    for call in answers {
        let spec = &call.arrival.ticket.spec;
        let job = String::from(&*spec.id);
        match call.outcome {
            CallOutcome::Completed if audit.done_task_count(&job) < spec.task_count() => {
                broken.push(InvariantViolation::Partial(job));
            }
            CallOutcome::Refused if audit.runs_of(&job).next().is_some() => {
                broken.push(InvariantViolation::RanThoughRefused(job));
            }
            _ => {}
        }
    }
    broken
}
