//! Compares what callers were told with what the backend servers started.

use std::{collections, sync, time};

use cuminkeel_types::outcome;

use crate::backend::{ledger, wire};

use super::{caller, plan, report, stats, workload};

/// Time after its listing as leaving for which a server may still get starts.
const LEAVING_GRACE: time::Duration = time::Duration::from_secs(3);
/// Time after a server fault that is not judged.
const FAULT_GRACE: time::Duration = time::Duration::from_secs(1);

/// Everything that a run left behind.
#[derive(Debug)]
pub struct RunTrace<'a> {
    /// Customers as planned.
    pub customers: &'a [plan::CustomerPlan],
    /// Jobs as drawn.
    pub jobs: &'a [workload::JobPlan],
    /// What became of them.
    pub records: &'a [caller::JobRecord],
    /// What was started.
    pub starts: &'a [ledger::StartRecord],
    /// Ideal response of each job on all servers and on those of one domain.
    pub ideals: &'a [JobIdeal],
    /// Ledger time of the first arrival.
    pub begin: time::Duration,
    /// Times from `begin` between which results are measured.
    pub window: (time::Duration, time::Duration),
    /// Network time of an ideal response that the measured one includes.
    pub overhead: time::Duration,
    /// Network time of both the ideal and the measured response.
    pub client_round_trip: time::Duration,
    /// Work per second of all servers.
    pub capacity: f64,
    /// Time from `begin` of the first server fault.
    pub server_fault: Option<time::Duration>,
    /// Ledger times at which servers were listed as leaving.
    pub leaving: &'a collections::HashMap<sync::Arc<str>, time::Duration>,
}

/// Ideal run time of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobIdeal {
    /// On all servers.
    pub fleet: time::Duration,
    /// On those of one failure domain.
    pub domain: time::Duration,
}

/// All checks and figures of a run but messages.
pub fn outcome_report(trace: &RunTrace<'_>) -> report::OutcomeReport {
    let index = DigestIndex::new(trace);
    let mut report = report::OutcomeReport {
        jobs: trace.records.len() as u64,
        ..report::OutcomeReport::default()
    };
    for record in trace.records {
        count_answer(&mut report, record);
        check_record(&mut report, record, &index);
    }
    report.duplicate_starts = duplicate_starts(trace, &index);
    report.starts_on_leaving = starts_on_leaving(trace);
    report.lost_share_after_fault = lost_share(trace);
    fill_ratios(&mut report, trace);
    fill_allowances(&mut report, trace, &index);
    report.goodput_share = goodput_share(trace);
    report
}

/// Job and starts of each payload digest.
struct DigestIndex<'a> {
    jobs: collections::HashMap<&'a str, usize>,
    starts: collections::HashMap<&'a str, Vec<&'a ledger::StartRecord>>,
}

impl<'a> DigestIndex<'a> {
    fn new(trace: &RunTrace<'a>) -> Self {
        let mut jobs = collections::HashMap::new();
        for record in trace.records {
            for digest in record.submissions.iter().flat_map(|one| &one.digests) {
                jobs.insert(&**digest, record.job);
            }
        }
        let mut starts: collections::HashMap<&str, Vec<_>> = collections::HashMap::new();
        for start in trace.starts {
            starts.entry(&start.digest).or_default().push(start);
        }
        Self { jobs, starts }
    }

    fn starts(&self, digest: &str) -> &[&'a ledger::StartRecord] {
        self.starts.get(digest).map_or(&[], Vec::as_slice)
    }

    fn any_started(&self, submission: &caller::Submission) -> bool {
        submission
            .digests
            .iter()
            .any(|digest| !self.starts(digest).is_empty())
    }
}

fn count_answer(report: &mut report::OutcomeReport, record: &caller::JobRecord) {
    match &record.answer {
        caller::CallAnswer::Complete(_) => report.complete += 1,
        caller::CallAnswer::Refused {
            ran: outcome::RunStatus::Ran,
            ..
        } => report.failed += 1,
        caller::CallAnswer::Refused {
            ran: outcome::RunStatus::NotRun,
            ..
        }
        | caller::CallAnswer::NoConnection
        | caller::CallAnswer::NoEntry => report.refused += 1,
        caller::CallAnswer::NoAnswer => {
            report.unknown += 1;
            report.stranded += 1;
        }
        _ => report.unknown += 1,
    }
}

fn check_record(
    report: &mut report::OutcomeReport,
    record: &caller::JobRecord,
    index: &DigestIndex<'_>,
) {
    report.false_not_run += false_refusals(record, index);
    if let (caller::CallAnswer::Complete(outputs), Some(submission)) =
        (&record.answer, record.submissions.last())
    {
        let missing =
            outputs.len() != submission.digests.len() || outputs.iter().any(Option::is_none);
        report.partial_answers += u64::from(missing);
        report.crossed_answers += u64::from(is_crossed(outputs, &submission.digests));
    }
    if let Some(cancelled) = record.cancelled {
        let late = record
            .submissions
            .iter()
            .flat_map(|submission| &submission.digests)
            .flat_map(|digest| index.starts(digest))
            .filter(|start| start.started > cancelled);
        report.starts_after_cancel += late.count() as u64;
    }
}

/// Submissions refused as not run of which something started. Submissions of
/// one key are one and the same, so that only its last answer counts.
fn false_refusals(record: &caller::JobRecord, index: &DigestIndex<'_>) -> u64 {
    let same_payloads = record
        .submissions
        .windows(2)
        .any(|pair| pair[0].digests == pair[1].digests);
    let judged: &[caller::Submission] = match record.submissions.split_last() {
        Some((last, _)) if same_payloads => std::slice::from_ref(last),
        _ => &record.submissions,
    };
    let untrue = judged
        .iter()
        .filter(|submission| submission.not_run && index.any_started(submission));
    untrue.count() as u64
}

fn is_crossed(outputs: &[Option<String>], digests: &[sync::Arc<str>]) -> bool {
    outputs.iter().zip(digests).any(|(output, digest)| {
        output
            .as_deref()
            .is_some_and(|output| wire::output_digest(output) != &**digest)
    })
}

/// Starts beyond the first under one identity, and those of one payload that
/// is not idempotent.
fn duplicate_starts(trace: &RunTrace<'_>, index: &DigestIndex<'_>) -> u64 {
    let mut tasks = collections::HashSet::new();
    let mut payloads = collections::HashSet::new();
    let mut twice = 0;
    for start in trace.starts {
        let single = index
            .jobs
            .get(&*start.digest)
            .is_some_and(|job| !trace.jobs[*job].idempotent);
        let new_task = tasks.insert(&*start.task);
        let new_payload = payloads.insert(&*start.digest);
        twice += u64::from(!new_task || (single && !new_payload));
    }
    twice
}

fn starts_on_leaving(trace: &RunTrace<'_>) -> u64 {
    let late = trace.starts.iter().filter(|start| {
        trace
            .leaving
            .get(&start.server)
            .is_some_and(|listed| start.started > *listed + LEAVING_GRACE)
    });
    late.count() as u64
}

fn lost_share(trace: &RunTrace<'_>) -> Option<f64> {
    let from = trace.begin + trace.server_fault? + FAULT_GRACE;
    let judged = || trace.starts.iter().filter(|start| start.started >= from);
    let lost = judged().filter(|start| start.ending == ledger::StartEnding::Failed);
    let all = judged().count();
    (all > 0).then(|| lost.count() as f64 / all as f64)
}

fn is_measured(trace: &RunTrace<'_>, at: time::Duration) -> bool {
    at >= trace.window.0 && at < trace.window.1
}

fn fill_ratios(report: &mut report::OutcomeReport, trace: &RunTrace<'_>) {
    let complete: Vec<_> = trace
        .records
        .iter()
        .filter(|record| is_measured(trace, trace.jobs[record.job].arrival))
        .filter(|record| matches!(record.answer, caller::CallAnswer::Complete(_)))
        .collect();
    let ratio = |record: &caller::JobRecord, ideal: time::Duration| {
        let measured = record.response + trace.client_round_trip;
        let ideal = ideal + trace.overhead + trace.client_round_trip;
        measured.as_secs_f64() / ideal.as_secs_f64()
    };
    let fleet = stats::ValueHistogram::of(
        complete
            .iter()
            .map(|record| ratio(record, trace.ideals[record.job].fleet)),
    );
    let domain = stats::ValueHistogram::of(
        complete
            .iter()
            .map(|record| ratio(record, trace.ideals[record.job].domain)),
    );
    let millis = stats::ValueHistogram::of(
        complete
            .iter()
            .map(|record| (record.response + trace.client_round_trip).as_secs_f64() * 1_000.0),
    );
    report.response_ratio_p50 = fleet.quantile(0.5);
    report.response_ratio_p99 = fleet.quantile(0.99);
    report.response_ratio_domain_p50 = domain.quantile(0.5);
    report.response_ratio_domain_p99 = domain.quantile(0.99);
    report.response_ms_p50 = millis.quantile(0.5);
    report.response_ms_p99 = millis.quantile(0.99);
}

fn fill_allowances(
    report: &mut report::OutcomeReport,
    trace: &RunTrace<'_>,
    index: &DigestIndex<'_>,
) {
    let (from, to) = (
        (trace.begin + trace.window.0).as_secs_f64(),
        (trace.begin + trace.window.1).as_secs_f64(),
    );
    let mut shares = Vec::new();
    for (position, customer) in trace.customers.iter().enumerate() {
        let intervals: Vec<(f64, f64)> = trace
            .starts
            .iter()
            .filter(|start| {
                let job = index.jobs.get(&*start.digest);
                job.is_some_and(|job| trace.jobs[*job].customer == position)
            })
            .map(|start| {
                let ended = start.ended.map_or(to, |ended| ended.as_secs_f64());
                (start.started.as_secs_f64(), ended)
            })
            .collect();
        let points: Vec<f64> = intervals.iter().map(|interval| interval.0).collect();
        let (peak, _) = stats::concurrency(&intervals);
        let measured = clipped(&intervals, from, to);
        let (_, slot_seconds) = stats::concurrency(&measured);
        let starts = stats::peak_per_second(&points) as u64;
        let limit = u64::from(customer.max_starts_per_second);
        report.allowance_overshoot = report
            .allowance_overshoot
            .max(peak.saturating_sub(customer.max_concurrent));
        report.start_rate_overshoot = report
            .start_rate_overshoot
            .max(starts.saturating_sub(limit));
        let used = slot_seconds / (f64::from(customer.max_concurrent) * (to - from));
        report.allowance_used_share = report.allowance_used_share.max(used);
        shares.push(slot_seconds / f64::from(customer.weight));
    }
    report.fairness = stats::jain_index(&shares);
}

/// The parts of the intervals within a window.
fn clipped(intervals: &[(f64, f64)], from: f64, to: f64) -> Vec<(f64, f64)> {
    intervals
        .iter()
        .map(|(start, end)| (start.max(from), end.min(to)))
        .filter(|(start, end)| start < end)
        .collect()
}

fn goodput_share(trace: &RunTrace<'_>) -> f64 {
    let work = |job: usize| trace.jobs[job].work().as_secs_f64();
    let offered: f64 = trace
        .jobs
        .iter()
        .filter(|job| is_measured(trace, job.arrival))
        .map(|job| job.work().as_secs_f64())
        .sum();
    let done: f64 = trace
        .records
        .iter()
        .filter(|record| matches!(record.answer, caller::CallAnswer::Complete(_)))
        .filter(|record| record.response <= trace.jobs[record.job].deadline)
        .filter(|record| is_measured(trace, trace.jobs[record.job].arrival + record.response))
        .map(|record| work(record.job))
        .sum();
    let span = trace.window.1.saturating_sub(trace.window.0).as_secs_f64();
    done / offered.min(trace.capacity * span)
}
