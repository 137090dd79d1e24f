//! Processor time of a pool for jobs of many small tasks, from their submission to their end, beside the same number
//! of tasks in jobs of one.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time,
};

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use cuminkeel_dispatch::{job_model, leadership, pool, pool_action, server_model, settings};
use smallvec::SmallVec;

/// Servers of a failure domain in the issue that reports the cost.
const SERVER_COUNT: usize = 8;
/// Ends that a report brings at most: a server answers a hold at the first end.
const ENDS_PER_REPORT: usize = 8;
/// Numbers of tasks of a job, up to the largest at the target scale.
const TASK_COUNTS: [u16; 4] = [1, 50, 200, 850];
/// Numbers of jobs of 850 tasks at once.
const JOB_COUNTS: [usize; 3] = [1, 5, 20];

fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

#[derive(Clone, Debug, Default)]
struct FakeRuns {
    running: Vec<server_model::ReportedRun>,
    last_sequence: u64,
}

/// Pool whose servers carry out orders at once, and end runs in the order of their starts.
#[derive(Debug)]
struct DrivenPool {
    pool: pool::ServerPool,
    now: time::Duration,
    holds: BTreeMap<Arc<str>, server_model::HoldOrder>,
    runs: BTreeMap<Arc<str>, FakeRuns>,
    ended_jobs: usize,
}

impl DrivenPool {
    fn new() -> Self {
        let pool_settings = settings::PoolSettings::new(ms(1_000), ms(50), ms(1_300));
        let mut pool = pool::ServerPool::new(pool_settings, 1);
        let mut ids = BTreeSet::new();
        for number in 0..SERVER_COUNT {
            let id: Arc<str> = Arc::from(format!("s{number}"));
            let entry = server_model::ServerEntry {
                id: Arc::clone(&id),
                service: Arc::from("desk"),
                address: Arc::from(format!("s{number}:1")),
                failure_domain: Arc::from("here"),
                draining: false,
                cpu_millis: 16_000,
                memory_mb: 32_768,
                gpus: 0,
                labels: SmallVec::new(),
                incarnation: 1,
                sequence: 1,
                cold_remaining: time::Duration::ZERO,
            };
            pool.apply_registry_entry(entry, ms(1));
            ids.insert(id);
        }
        pool.reconcile_claims(&ids, leadership::ShardSet::ALL, ms(1));
        pool.record_registry_read(ms(1));
        let mut driven = Self {
            pool,
            now: ms(1),
            holds: BTreeMap::new(),
            runs: BTreeMap::new(),
            ended_jobs: 0,
        };
        driven.carry_out_actions();
        driven.report_all();
        driven
    }

    fn submit(&mut self, number: usize, task_count: u16) {
        let step = job_model::StepSpec {
            task_count,
            cpu_millis: 1,
            memory_mb: 1,
            gpus: 0,
            estimate_ms: 60,
            depends_on: SmallVec::new(),
            required_label: None,
            data_rack: None,
            max_per_server: None,
        };
        let offer = job_model::JobOffer {
            spec: Arc::new(job_model::JobSpec {
                id: Arc::from(format!("{number:016x}")),
                route: Arc::from("route"),
                service: Arc::from("desk"),
                payload: Arc::from("60"),
                steps: vec![step],
                priority: 0,
                max_attempts: 2,
                stretch_factor: 1.6,
                target_latency_ms: 5_000,
            }),
            age: time::Duration::ZERO,
            time_to_deadline: ms(8_000),
            may_have_started: false,
            terms: job_model::OfferTerms::Useful,
            sent_at: self.now,
            source: Arc::from("vm"),
            session: job_model::OfferSession::default(),
            is_resumed: false,
        };
        let waiter = pool_action::WaiterId(u64::try_from(number).unwrap_or(0) + 1);
        self.pool.submit(&offer, waiter, self.now);
    }

    /// Carries out all actions of the pool; starts are answered in one batch, as a process reads them.
    fn carry_out_actions(&mut self) {
        loop {
            let actions = self.pool.take_actions(self.now);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    pool_action::PoolAction::Start(order) => {
                        let runs = self.runs.entry(Arc::clone(&order.server)).or_default();
                        runs.running.push(server_model::ReportedRun {
                            task: order.task.clone(),
                            run_id: order.run_id,
                            percent: 0,
                        });
                        let outcome = server_model::StartOutcome::Started {
                            clock_ms: clock_ms(self.now),
                        };
                        self.pool.apply_start_outcome(&order, outcome, self.now);
                    }
                    pool_action::PoolAction::Hold(order) => {
                        self.holds.insert(Arc::clone(&order.server), order);
                    }
                    pool_action::PoolAction::AnswerWaiter { end, .. } => {
                        assert_eq!(end, job_model::JobEnd::Completed);
                        self.ended_jobs += 1;
                    }
                    _ => {}
                }
            }
        }
    }

    /// Answers all open holds, each with some ends.
    fn report_all(&mut self) {
        self.now += ms(1);
        for (server, order) in std::mem::take(&mut self.holds) {
            let runs = self.runs.entry(server).or_default();
            let count = runs.running.len().min(ENDS_PER_REPORT);
            let first_sequence = runs.last_sequence + 1;
            runs.last_sequence += u64::try_from(count).unwrap_or(0);
            let finished = runs
                .running
                .drain(..count)
                .zip(first_sequence..)
                .map(|(run, sequence)| server_model::ReportedEnd {
                    sequence,
                    task: run.task,
                    run_id: run.run_id,
                    end: server_model::RunEnd::Done,
                })
                .collect();
            let report = server_model::HoldReport {
                clock_ms: clock_ms(self.now),
                incarnation: Some(1),
                running: runs.running.clone(),
                finished,
                unreadable_count: 0,
            };
            let outcome = server_model::HoldOutcome::Reported(report);
            self.pool.apply_hold_outcome(&order, outcome, self.now);
        }
        self.carry_out_actions();
    }

    /// Submits jobs and runs until they have ended.
    fn run_jobs(&mut self, job_count: usize, task_count: u16) {
        for number in 0..job_count {
            self.submit(number, task_count);
        }
        self.carry_out_actions();
        while self.ended_jobs < job_count {
            self.report_all();
        }
    }
}

fn clock_ms(now: time::Duration) -> u64 {
    u64::try_from(now.as_millis()).unwrap_or(0) + 1_000
}

fn bench_jobs(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one job, by tasks");
    group.sample_size(10);
    for task_count in TASK_COUNTS {
        group.throughput(Throughput::Elements(u64::from(task_count)));
        group.bench_with_input(
            BenchmarkId::from_parameter(task_count),
            &task_count,
            |bencher, count| {
                bencher.iter_batched_ref(
                    DrivenPool::new,
                    |driven| driven.run_jobs(1, *count),
                    BatchSize::LargeInput,
                );
            },
        );
    }
    group.bench_function("850 jobs of one task", |bencher| {
        bencher.iter_batched_ref(
            DrivenPool::new,
            |driven| driven.run_jobs(850, 1),
            BatchSize::LargeInput,
        );
    });
    group.finish();
    let mut group = criterion.benchmark_group("jobs of 850 tasks at once");
    group.sample_size(10);
    for job_count in JOB_COUNTS {
        group.throughput(Throughput::Elements(
            u64::try_from(job_count).unwrap_or(0) * 850,
        ));
        group.bench_with_input(
            BenchmarkId::from_parameter(job_count),
            &job_count,
            |bencher, count| {
                bencher.iter_batched_ref(
                    DrivenPool::new,
                    |driven| driven.run_jobs(*count, 850),
                    BatchSize::LargeInput,
                );
            },
        );
    }
    group.finish();
}

criterion_group!(benches, bench_jobs);
criterion_main!(benches);
