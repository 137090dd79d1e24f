//! The arithmetic of the load tool: ideal, statistics, drawn jobs, and the
//! checks of answers against the ledger.

use std::{collections, sync, time};

use cuminkeel_standin::backend::{ledger, wire};
use cuminkeel_standin::load::{
    caller, catalog, checks, deployment, ideal, plan, report, scenarios::base, stats, workload,
};
use cuminkeel_types::outcome;

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn options(seed: u64) -> plan::LoadOptions {
    plan::LoadOptions {
        deployment: deployment::Deployment::Anadolu,
        seed,
        span: time::Duration::from_secs(20),
    }
}

#[test]
fn the_ideal_uses_the_fastest_slots_first() {
    let cases: [(&str, &[u64], &[f64], u64); 7] = [
        ("one task, equal slots", &[100], &[1.0, 1.0], 100),
        ("one task, fastest slot", &[100], &[2.0, 1.5, 1.0], 100),
        ("two tasks, two speeds", &[100, 100], &[1.0, 3.0], 200),
        ("two tasks, second slot pays", &[100, 100], &[1.0, 1.5], 150),
        ("longest on the fastest", &[100, 200], &[1.0, 2.0], 200),
        (
            "more tasks than slots",
            &[100, 100, 100, 100],
            &[1.0, 1.0],
            200,
        ),
        ("no task", &[], &[1.0], 0),
    ];
    for (name, work, slowness, expected) in cases {
        let work: Vec<_> = work.iter().copied().map(millis).collect();
        assert_eq!(
            ideal::job_finish(&work, slowness),
            millis(expected),
            "{name}"
        );
    }
}

#[test]
fn jains_index_of_known_shares() {
    let cases: [(&[f64], f64); 5] = [
        (&[1.0, 1.0, 1.0, 1.0], 1.0),
        (&[1.0, 0.0, 0.0, 0.0], 0.25),
        (&[2.0, 1.0], 0.9),
        (&[0.0, 0.0], 1.0),
        (&[5.0], 1.0),
    ];
    for (shares, expected) in cases {
        assert!(
            (stats::jain_index(shares) - expected).abs() < 1e-9,
            "{shares:?}"
        );
    }
}

#[test]
fn concurrency_and_rates_of_known_intervals() {
    let cases: [(&[(f64, f64)], u32); 4] = [
        (&[], 0),
        (&[(0.0, 1.0), (1.0, 2.0)], 1),
        (&[(0.0, 1.5), (1.0, 2.0), (1.2, 1.3)], 3),
        (&[(0.0, 1.0), (0.0, 1.0)], 2),
    ];
    for (intervals, peak) in cases {
        assert_eq!(stats::concurrency(intervals).0, peak, "{intervals:?}");
    }
    assert_eq!(stats::peak_per_second(&[0.0, 0.5, 0.99, 1.0, 1.4]), 4);
    assert_eq!(stats::peak_per_second(&[]), 0);
}

#[test]
fn quantiles_of_known_values() {
    let histogram = stats::ValueHistogram::of((1..=100).map(f64::from));
    for (share, expected) in [(0.5, 50.0), (0.99, 99.0), (1.0, 100.0)] {
        let value = histogram.quantile(share).expect("values");
        assert!(
            (value - expected).abs() / expected < 0.002,
            "{share}: {value}"
        );
    }
    assert_eq!(stats::ValueHistogram::of([]).quantile(0.5), None);
}

#[test]
fn drawn_jobs_offer_the_load_and_follow_the_seed() {
    let plan = base::scenario(0.6);
    let draw =
        |seed| workload::draw_jobs(&plan.workload, &plan.customers, 0.6, 60.0, &options(seed));
    let jobs = draw(7);
    assert_eq!(jobs, draw(7));
    assert_ne!(jobs, draw(8));
    let offered: f64 = jobs.iter().map(|job| job.work().as_secs_f64()).sum();
    let expected = 0.6 * 60.0 * options(7).span.as_secs_f64();
    assert!(
        (offered / expected - 1.0).abs() < 0.1,
        "{offered} of {expected}"
    );
    assert!(
        jobs.windows(2)
            .all(|pair| pair[0].arrival <= pair[1].arrival)
    );
    assert!(jobs.iter().any(|job| !job.idempotent));
}

#[test]
fn a_burst_brings_its_factor_of_arrivals() {
    let mut plan = base::scenario(0.6);
    plan.workload.burst = Some(plan::BurstPlan {
        from: 0.5,
        to: 0.75,
        factor: 4.0,
    });
    let jobs = workload::draw_jobs(&plan.workload, &plan.customers, 0.6, 60.0, &options(1));
    let span = options(1).span;
    let within = |from: f64, to: f64| {
        let range = span.mul_f64(from)..span.mul_f64(to);
        jobs.iter()
            .filter(|job| range.contains(&job.arrival))
            .count() as f64
    };
    let factor = within(0.5, 0.75) / within(0.25, 0.5);
    assert!((3.2..4.8).contains(&factor), "{factor}");
}

#[test]
fn every_scenario_has_a_sound_plan() {
    let mut names = collections::HashSet::new();
    for scenario in catalog::SCENARIOS {
        assert!(
            names.insert(scenario.name),
            "{} stands twice",
            scenario.name
        );
        let plan = (scenario.plan)(&options(1));
        assert!(!plan.workload.loads.is_empty(), "{}", scenario.name);
        assert!(
            plan.script.is_sorted_by(|left, right| left.at <= right.at),
            "{}",
            scenario.name
        );
        for step in &plan.script {
            assert!((0.0..1.0).contains(&step.at), "{}: {step:?}", scenario.name);
        }
    }
    assert_eq!(catalog::find("burst").expect("known").name, "burst");
    assert!(catalog::find("glue").is_err());
}

const TASKS: usize = 2;

fn digest(name: &str) -> sync::Arc<str> {
    wire::payload_digest(name).into()
}

fn record(answer: caller::CallAnswer, submissions: &[(&str, bool)]) -> caller::JobRecord {
    let submissions = submissions
        .iter()
        .map(|(name, not_run)| caller::Submission {
            digests: (0..TASKS)
                .map(|task| digest(&format!("{name}-{task}")))
                .collect(),
            not_run: *not_run,
        })
        .collect();
    caller::JobRecord {
        job: 0,
        answer,
        submissions,
        response: millis(240),
        lag: time::Duration::ZERO,
        cancelled: None,
    }
}

fn start(task: &str, payload: &str, started: u64) -> ledger::StartRecord {
    ledger::StartRecord {
        task: task.into(),
        digest: digest(payload),
        server: "server-0".into(),
        started: millis(started),
        ended: Some(millis(started + 100)),
        ending: ledger::StartEnding::Done,
    }
}

fn refused(ran: outcome::RunStatus) -> caller::CallAnswer {
    caller::CallAnswer::Refused {
        code: outcome::RefusalCode::Overloaded,
        ran,
        retry_after: None,
    }
}

fn complete(payloads: &[&str]) -> caller::CallAnswer {
    let output = |payload: &&str| Some(format!("{}:xx", wire::payload_digest(payload)));
    caller::CallAnswer::Complete(payloads.iter().map(output).collect())
}

/// Runs the checks over one job of two tasks of 100 ms.
fn judge(
    idempotent: bool,
    record: caller::JobRecord,
    starts: &[ledger::StartRecord],
) -> report::OutcomeReport {
    let task = workload::TaskPlan {
        work: millis(100),
        declared: millis(100),
        size_millicores: 1,
    };
    let job = workload::JobPlan {
        arrival: millis(10),
        customer: 0,
        class: "price",
        idempotent,
        deadline: millis(1_000),
        cancel_at: None,
        tasks: vec![task; TASKS],
    };
    let customers = [plan::CustomerPlan {
        max_concurrent: 1,
        max_starts_per_second: 1,
        ..base::customer("desk", 1)
    }];
    let trace = checks::RunTrace {
        customers: &customers,
        jobs: &[job],
        records: &[record],
        starts,
        ideals: &[checks::JobIdeal {
            fleet: millis(100),
            domain: millis(200),
        }],
        begin: time::Duration::ZERO,
        window: (time::Duration::ZERO, millis(1_000)),
        overhead: millis(10),
        client_round_trip: millis(10),
        capacity: 10.0,
        server_fault: None,
        leaving: &collections::HashMap::from([("server-0".into(), millis(0))]),
    };
    checks::outcome_report(&trace)
}

#[test]
fn answers_are_counted_by_what_they_prove() {
    let cases = [
        ("complete", complete(&["a-0", "a-1"]), [1, 0, 0, 0, 0]),
        ("ran", refused(outcome::RunStatus::Ran), [0, 1, 0, 0, 0]),
        (
            "not run",
            refused(outcome::RunStatus::NotRun),
            [0, 0, 1, 0, 0],
        ),
        (
            "unknown",
            refused(outcome::RunStatus::Unknown),
            [0, 0, 0, 1, 0],
        ),
        (
            "no connection",
            caller::CallAnswer::NoConnection,
            [0, 0, 1, 0, 0],
        ),
        ("broken", caller::CallAnswer::Broken, [0, 0, 0, 1, 0]),
        (
            "malformed",
            caller::CallAnswer::Malformed(500),
            [0, 0, 0, 1, 0],
        ),
        ("no answer", caller::CallAnswer::NoAnswer, [0, 0, 0, 1, 1]),
    ];
    for (name, answer, expected) in cases {
        let report = judge(true, record(answer, &[("a", false)]), &[]);
        let found = [
            report.complete,
            report.failed,
            report.refused,
            report.unknown,
            report.stranded,
        ];
        assert_eq!(found, expected, "{name}");
    }
}

#[test]
fn untrue_refusals_are_found() {
    let not_run = || refused(outcome::RunStatus::NotRun);
    let ran = [start("1-0", "a-1", 50)];
    let again = [start("1-0", "b-1", 50)];
    let cases: [(&str, bool, caller::JobRecord, &[ledger::StartRecord], u64); 6] = [
        ("true", true, record(not_run(), &[("a", true)]), &[], 0),
        ("untrue", true, record(not_run(), &[("a", true)]), &ran, 1),
        (
            "said unknown",
            true,
            record(not_run(), &[("a", false)]),
            &ran,
            0,
        ),
        (
            "first of two",
            true,
            record(complete(&[]), &[("a", true), ("b", false)]),
            &ran,
            1,
        ),
        (
            "second ran",
            true,
            record(complete(&[]), &[("a", true), ("b", false)]),
            &again,
            0,
        ),
        (
            "same key ran later",
            false,
            record(complete(&[]), &[("a", true), ("a", false)]),
            &ran,
            0,
        ),
    ];
    for (name, idempotent, record, starts, expected) in cases {
        assert_eq!(
            judge(idempotent, record, starts).false_not_run,
            expected,
            "{name}"
        );
    }
}

#[test]
fn doubled_starts_are_found() {
    let once = [start("1-0", "a-0", 0), start("1-1", "a-1", 0)];
    let same_task = [start("1-0", "a-0", 0), start("1-0", "a-0", 300)];
    let other_task = [start("1-0", "a-0", 0), start("2-0", "a-0", 300)];
    let cases: [(&str, bool, &[ledger::StartRecord], u64); 5] = [
        ("once", true, &once, 0),
        ("same task", true, &same_task, 1),
        ("idempotent under two names", true, &other_task, 0),
        ("not idempotent under two names", false, &other_task, 1),
        ("not idempotent, once", false, &once, 0),
    ];
    for (name, idempotent, starts, expected) in cases {
        let record = record(complete(&["a-0", "a-1"]), &[("a", false)]);
        assert_eq!(
            judge(idempotent, record, starts).duplicate_starts,
            expected,
            "{name}"
        );
    }
}

#[test]
fn partial_and_crossed_answers_are_found() {
    let cases: [(&str, &[&str], u64, u64); 5] = [
        ("whole", &["a-0", "a-1"], 0, 0),
        ("one missing", &["a-0"], 1, 0),
        ("none", &[], 1, 0),
        ("swapped", &["a-1", "a-0"], 0, 1),
        ("another's", &["a-0", "b-1"], 0, 1),
    ];
    for (name, outputs, partial, crossed) in cases {
        let report = judge(true, record(complete(outputs), &[("a", false)]), &[]);
        assert_eq!(report.partial_answers, partial, "{name}");
        assert_eq!(report.crossed_answers, crossed, "{name}");
    }
}

#[test]
fn times_and_shares_of_a_known_run() {
    let starts = [start("1-0", "a-0", 20), start("1-1", "a-1", 50)];
    let mut known = record(complete(&["a-0", "a-1"]), &[("a", false)]);
    known.cancelled = Some(millis(40));
    let report = judge(true, known, &starts);
    let close = |value: Option<f64>, expected: f64| {
        assert!(
            (value.expect("measured") - expected).abs() < 0.01,
            "{value:?}"
        );
    };
    // 240 ms and 10 ms of network, over 100 or 200 ms and 20 ms of network.
    close(report.response_ratio_p50, 250.0 / 120.0);
    close(report.response_ratio_domain_p50, 250.0 / 220.0);
    assert_eq!(report.allowance_overshoot, 1, "two at once, one allowed");
    assert_eq!(
        report.start_rate_overshoot, 1,
        "two in a second, one allowed"
    );
    assert_eq!(report.starts_after_cancel, 1);
    assert_eq!(report.starts_on_leaving, 0, "within the grace");
    close(Some(report.goodput_share), 1.0);
    close(Some(report.allowance_used_share), 0.2);
}
