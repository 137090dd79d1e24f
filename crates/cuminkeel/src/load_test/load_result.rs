//! Result of a load test: jobs by class, worth, and violated invariants.

use std::{fmt::Write, time};

use cuminkeel_replay::{load_pattern, run_audit};
use derive_more::Display;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::{CallOutcome, CallRecord, LoadTestPlan, local_deployment};

/// Upper limit of recorded response times, in ms.
const MAX_RESPONSE_TIME_MS: u64 = 60_000;
/// Number of significant digits of recorded response times.
const RESPONSE_TIME_DIGITS: u8 = 3;

/// Violation of an invariant, found in the records of callers and servers at the end of a load
/// test.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InvariantViolation {
    /// Two runs of a task overlapped.
    #[display("runs of task {_0} overlapped")]
    #[serde(rename = "run_twice")]
    OverlappingRuns(String),
    /// Runs used more processor than the server has.
    #[display("server {_0} exceeded its processor capacity")]
    OverCapacity(String),
    /// A job was answered as completed, but at the end of the test not all of its tasks are done.
    #[display("job {_0} was answered as completed, but not all of its tasks are done")]
    #[serde(rename = "partial")]
    CompletedWithoutAllTasks(String),
    /// A task of a refused job has run.
    #[display("job {_0} was refused but has run")]
    #[serde(rename = "ran_though_refused")]
    RefusedJobRan(String),
}

/// Results of one job class. Times are those of completed jobs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassRow {
    /// Name of the class's route.
    pub class: &'static str,
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of jobs completed within their objective: 1.6 times the nominal run time plus
    /// 60 ms.
    pub in_time: usize,
    /// Number of jobs completed after their objective.
    pub late: usize,
    /// Number of jobs that failed or whose request was rejected.
    pub failed: usize,
    /// Number of refused jobs.
    pub refused: usize,
    /// Number of jobs without an answer.
    pub unanswered: usize,
    /// Median response time, in ms.
    pub p50_ms: u64,
    /// 99th percentile of the response time, in ms.
    pub p99_ms: u64,
}

/// Result of a load test.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadResult {
    /// Name of the load pattern.
    pub pattern: &'static str,
    /// Seed of the load pattern.
    pub seed: u64,
    /// Number of processes.
    pub processes: u16,
    /// Number of backend servers.
    pub servers: usize,
    /// Processor time that each process used per submitted job, in microseconds, in the order of their names.
    pub processor_us_per_job: Vec<u64>,
    /// Median and 99th percentile of the response time of refused jobs, in ms.
    pub refusal_ms: [u64; 2],
    /// Results per job class.
    pub classes: Vec<ClassRow>,
    /// Worth of the jobs completed within their objective, as a share of the worth of all jobs
    /// except those whose tasks always fail. Not comparable with the worth share of a simulation,
    /// which counts those jobs and a part of the worth of late answers.
    pub worth: f64,
    /// Violated invariants.
    #[serde(rename = "broken")]
    pub violations: Vec<InvariantViolation>,
}

impl LoadResult {
    /// Renders the result as a text table.
    pub fn render_table(&self) -> String {
        let mut table = format!(
            "{}, seed {}, {} servers, {} processes\n{:8}{:>6}{:>9}{:>6}{:>8}{:>9}{:>11}{:>8}{:>8}\n",
            self.pattern,
            self.seed,
            self.servers,
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
            // Writing to a `String` never fails.
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
            "processor per job, each process: {:?} us; refused after {} ms (median), {} ms (99 of 100)",
            self.processor_us_per_job, self.refusal_ms[0], self.refusal_ms[1],
        );
        let _infallible = writeln!(
            table,
            "worth {:.3}; {} invariant violations",
            self.worth,
            self.violations.len()
        );
        for violation in &self.violations {
            let _infallible = writeln!(table, "  {violation}");
        }
        table
    }
}

fn objective(arrival: &load_pattern::JobArrival) -> time::Duration {
    arrival
        .offer
        .spec
        .objective(arrival.task_profile.nominal_run_time)
}

/// Evaluates the records of callers and servers.
pub(super) fn evaluate(
    plan: &LoadTestPlan,
    call_records: &[CallRecord],
    server_records: &[local_deployment::ServerRecord],
    processor_times: &[time::Duration],
) -> LoadResult {
    let job_count = call_records.len().max(1) as u128;
    let refusal_times = response_times(call_records.iter(), CallOutcome::Refused);
    let feasible = || {
        call_records
            .iter()
            .filter(|call| !call.arrival.task_profile.always_fails)
    };
    let offered: f64 = feasible().map(|call| call.arrival.worth).sum();
    let earned: f64 = feasible()
        .filter(|call| is_in_time(call))
        .map(|call| call.arrival.worth)
        .sum();
    LoadResult {
        pattern: plan.pattern.name,
        seed: plan.seed,
        processes: plan.process_count,
        servers: server_records.len(),
        processor_us_per_job: processor_times
            .iter()
            .map(|used| u64::try_from(used.as_micros() / job_count).unwrap_or(u64::MAX))
            .collect(),
        refusal_ms: [0.5, 0.99].map(|quantile| refusal_times.value_at_quantile(quantile)),
        classes: (0..load_pattern::JOB_CLASSES.len())
            .map(|class| class_row(class, call_records))
            .collect(),
        worth: if offered > 0.0 { earned / offered } else { 0.0 },
        violations: find_violations(call_records, server_records),
    }
}

fn is_in_time(call: &CallRecord) -> bool {
    call.outcome == CallOutcome::Completed && call.response_time <= objective(&call.arrival)
}

fn class_row(class: usize, call_records: &[CallRecord]) -> ClassRow {
    let calls: Vec<&CallRecord> = call_records
        .iter()
        .filter(|call| call.arrival.class == class)
        .collect();
    let count = |outcome| calls.iter().filter(|call| call.outcome == outcome).count();
    let in_time = calls.iter().filter(|call| is_in_time(call)).count();
    let response_times = response_times(calls.iter().copied(), CallOutcome::Completed);
    ClassRow {
        class: load_pattern::JOB_CLASSES[class].route,
        jobs: calls.len(),
        in_time,
        late: count(CallOutcome::Completed) - in_time,
        failed: count(CallOutcome::Failed),
        refused: count(CallOutcome::Refused),
        unanswered: count(CallOutcome::Unanswered),
        p50_ms: response_times.value_at_quantile(0.5),
        p99_ms: response_times.value_at_quantile(0.99),
    }
}

/// Returns the response times of the calls with `outcome`, in ms.
fn response_times<'a>(
    calls: impl Iterator<Item = &'a CallRecord>,
    outcome: CallOutcome,
) -> Histogram<u64> {
    let mut response_times =
        Histogram::<u64>::new_with_max(MAX_RESPONSE_TIME_MS, RESPONSE_TIME_DIGITS)
            .unwrap_or_else(|_| unreachable!("the histogram accepts these constant bounds"));
    for call in calls.filter(|call| call.outcome == outcome) {
        response_times
            .saturating_record(u64::try_from(call.response_time.as_millis()).unwrap_or(u64::MAX));
    }
    response_times
}

fn find_violations(
    call_records: &[CallRecord],
    server_records: &[local_deployment::ServerRecord],
) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    let mut audit = run_audit::RunAudit::default();
    for record in server_records {
        if record.peak_cpu_millis > record.cpu_millis {
            violations.push(InvariantViolation::OverCapacity(record.name.clone()));
        }
        audit.add(record.runs.iter().cloned());
    }
    for [run, _] in audit.overlapping_runs() {
        violations.push(InvariantViolation::OverlappingRuns(run.task.to_string()));
    }
    for call in call_records {
        let spec = &call.arrival.offer.spec;
        let job = String::from(&*spec.id);
        match call.outcome {
            CallOutcome::Completed if audit.done_task_count(&job) < spec.task_count() => {
                violations.push(InvariantViolation::CompletedWithoutAllTasks(job));
            }
            CallOutcome::Refused if audit.runs_of(&job).next().is_some() => {
                violations.push(InvariantViolation::RefusedJobRan(job));
            }
            _ => {}
        }
    }
    violations
}
