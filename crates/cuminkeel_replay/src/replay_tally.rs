//! What callers got in a replay: worth, ends of jobs, and the work that was done for them.

use std::{collections::HashMap, sync::Arc, time};

use cuminkeel_dispatch::{job_model, server_model};

use crate::{fake_server, load_pattern, pool_simulation};

/// Worth of a late answer as a share of the job's worth.
pub const LATE_WORTH_SHARE: f64 = 0.2;
/// Multiple of the objective after which an answer is worth nothing.
pub const LATE_OBJECTIVE_MULTIPLE: u32 = 3;
/// Time after which a refused caller counts as held: it was not told at once.
pub const HELD_AFTER: time::Duration = time::Duration::from_millis(50);

/// Numbers of jobs by how they ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndCounts {
    /// Answered within their objective.
    pub in_time: usize,
    /// Answered after their objective.
    pub late: usize,
    /// Late jobs by cause.
    pub late_causes: LateCauses,
    /// Refused on arrival, or within [`HELD_AFTER`] of it.
    pub refused: usize,
    /// Refused on arrival while healthy servers had room for all of their tasks.
    pub refused_with_room: usize,
    /// Admitted, and refused later than [`HELD_AFTER`] without a start.
    pub held: usize,
    /// Sum of the times for which the held jobs waited, in ms.
    pub held_ms: u64,
    /// Started and not completed, or without an answer.
    pub given_up: usize,
}

/// Numbers of late jobs by cause. A start counts as late if a run of the job's usual time on a server with a
/// slowdown factor of 1 would miss the objective.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LateCauses {
    /// The first task started late.
    pub waited: usize,
    /// The first task started in time, and the last one late.
    pub spread: usize,
    /// All tasks started in time, and a run took longer than usual.
    pub slow_run: usize,
}

/// Processor time of runs, in core seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkDone {
    /// For jobs that were answered within their objective.
    pub in_time: f64,
    /// For jobs that were answered late.
    pub late: f64,
    /// For jobs that were not completed, and runs that were lost or repeated.
    pub lost: f64,
}

impl WorkDone {
    /// Returns the share of the work that was not done for answers in time.
    pub fn wasted_share(&self) -> f64 {
        let wasted = self.late + self.lost;
        wasted / (self.in_time + wasted).max(f64::MIN_POSITIVE)
    }
}

/// Result of a replay.
#[derive(Clone, Debug)]
pub struct ReplayReport {
    /// Worth earned as a share of the worth offered by all jobs. A late answer earns a
    /// part of the job's worth; a job whose tasks always fail earns its worth by being answered as
    /// failed.
    pub worth_share: f64,
    /// Worth earned as a share of the worth offered by all jobs, for each of
    /// [`JOB_CLASSES`](load_pattern::JOB_CLASSES).
    pub class_worth_shares: [f64; 3],
    /// The same for the callers of each failure domain.
    pub domain_worth_shares: Vec<f64>,
    /// Share of the jobs that earned worth, for the callers of each failure domain.
    pub domain_served_shares: Vec<f64>,
    /// Refused jobs as a share of all jobs.
    pub refused_share: f64,
    /// Numbers of jobs by how they ended.
    pub end_counts: EndCounts,
    /// Work of all runs.
    pub work: WorkDone,
    /// Invariant violations in the replay.
    pub violations: Vec<pool_simulation::InvariantViolation>,
}

/// Worth offered and earned.
#[derive(Clone, Copy, Debug, Default)]
struct WorthSum {
    offered: f64,
    earned: f64,
}

impl WorthSum {
    fn add(&mut self, offered: f64, earned: f64) {
        self.offered += offered;
        self.earned += earned;
    }

    fn share(&self) -> f64 {
        self.earned / self.offered.max(f64::MIN_POSITIVE)
    }
}

/// Runs of one job.
#[derive(Clone, Copy, Debug)]
struct JobRuns {
    first_start: time::Duration,
    /// Start of the last run that completed its task.
    last_start: time::Duration,
    done_time: time::Duration,
    other_time: time::Duration,
}

/// Sums over the jobs of a replay.
#[derive(Clone, Debug)]
pub struct ReplayTally {
    warm_up_time: time::Duration,
    runs: HashMap<Arc<str>, JobRuns>,
    classes: [WorthSum; 3],
    domains: Vec<WorthSum>,
    jobs: Vec<WorthSum>,
    end_counts: EndCounts,
    work: WorkDone,
}

impl ReplayTally {
    /// Returns an empty tally. Arrival times count from the end of `warm_up_time`.
    pub fn new(domain_count: usize, warm_up_time: time::Duration) -> Self {
        Self {
            warm_up_time,
            runs: HashMap::new(),
            classes: Default::default(),
            domains: vec![WorthSum::default(); domain_count],
            jobs: vec![WorthSum::default(); domain_count],
            end_counts: EndCounts::default(),
            work: WorkDone::default(),
        }
    }

    /// Adds the ended runs of `servers`. Precedes the jobs.
    pub fn add_history<'a>(&mut self, servers: impl Iterator<Item = &'a fake_server::FakeServer>) {
        for run in servers.flat_map(|server| &server.history) {
            let time = run.ended_at.saturating_sub(run.started_at);
            let is_done = run.end == Some(server_model::RunEnd::Done);
            let runs = self
                .runs
                .entry(Arc::clone(&run.task.job))
                .or_insert(JobRuns {
                    first_start: run.started_at,
                    last_start: time::Duration::ZERO,
                    done_time: time::Duration::ZERO,
                    other_time: time::Duration::ZERO,
                });
            runs.first_start = runs.first_start.min(run.started_at);
            if is_done {
                runs.last_start = runs.last_start.max(run.started_at);
                runs.done_time += time;
            } else {
                runs.other_time += time;
            }
        }
    }

    /// Adds a job of the callers of `domain` with its answer, if it has one.
    pub fn add_job(
        &mut self,
        domain: usize,
        arrival: &load_pattern::JobArrival,
        answer: Option<&pool_simulation::CallerAnswer>,
    ) {
        let earned = answer.map_or(0.0, |answer| {
            earned_worth(arrival, answer, self.warm_up_time)
        });
        self.classes[arrival.class].add(arrival.worth, earned);
        self.domains[domain].add(arrival.worth, earned);
        self.jobs[domain].add(1.0, if earned > 0.0 { 1.0 } else { 0.0 });
        let Some(answer) = answer else {
            self.end_counts.given_up += 1;
            return;
        };
        let arrived_at = self.warm_up_time + arrival.at;
        let response_time = answer.at.saturating_sub(arrived_at);
        let nominal_run_time = arrival.task_profile.nominal_run_time;
        let objective = arrival.offer.spec.objective(nominal_run_time);
        let is_late = response_time > objective;
        let runs = self.runs.get(&answer.job).copied();
        let counts = &mut self.end_counts;
        match &answer.end {
            job_model::JobEnd::Completed if is_late => {
                counts.late += 1;
                let latest_start = arrived_at + objective.saturating_sub(nominal_run_time);
                match runs {
                    Some(runs) if runs.first_start > latest_start => counts.late_causes.waited += 1,
                    Some(runs) if runs.last_start > latest_start => counts.late_causes.spread += 1,
                    Some(_) | None => counts.late_causes.slow_run += 1,
                }
            }
            job_model::JobEnd::Completed => counts.in_time += 1,
            job_model::JobEnd::Refused { .. } if response_time > HELD_AFTER => {
                counts.held += 1;
                counts.held_ms += u64::try_from(response_time.as_millis()).unwrap_or(u64::MAX);
            }
            job_model::JobEnd::Refused { .. } => counts.refused += 1,
            _ => counts.given_up += 1,
        }
        let Some(runs) = runs else {
            return;
        };
        let cores = f64::from(arrival.task_profile.cpu_millis) / 1e3;
        let done_work = runs.done_time.as_secs_f64() * cores;
        self.work.lost += runs.other_time.as_secs_f64() * cores;
        match answer.end {
            job_model::JobEnd::Completed if is_late => self.work.late += done_work,
            job_model::JobEnd::Completed => self.work.in_time += done_work,
            _ => self.work.lost += done_work,
        }
    }

    /// Returns the result, with what the simulations observed.
    pub fn report(
        self,
        refused_with_room: usize,
        violations: Vec<pool_simulation::InvariantViolation>,
    ) -> ReplayReport {
        let end_counts = EndCounts {
            refused_with_room,
            ..self.end_counts
        };
        let mut total = WorthSum::default();
        for class in &self.classes {
            total.add(class.offered, class.earned);
        }
        let job_count: f64 = self.jobs.iter().map(|jobs| jobs.offered).sum();
        let refused_count = end_counts.refused + end_counts.held;
        ReplayReport {
            worth_share: total.share(),
            class_worth_shares: self.classes.map(|class| class.share()),
            domain_worth_shares: self.domains.iter().map(WorthSum::share).collect(),
            domain_served_shares: self.jobs.iter().map(WorthSum::share).collect(),
            refused_share: refused_count as f64 / job_count.max(1.0),
            end_counts,
            work: self.work,
            violations,
        }
    }
}

/// Returns the worth that a job has earned: all of it if the response time is within the objective,
/// `LATE_WORTH_SHARE` of it up to `LATE_OBJECTIVE_MULTIPLE` times the objective, nothing after that.
/// A job whose tasks always fail earns its worth by being answered as failed. Arrival times count
/// from the end of `warm_up_time`.
fn earned_worth(
    arrival: &load_pattern::JobArrival,
    answer: &pool_simulation::CallerAnswer,
    warm_up_time: time::Duration,
) -> f64 {
    let objective = arrival
        .offer
        .spec
        .objective(arrival.task_profile.nominal_run_time);
    let response_time = answer.at.saturating_sub(warm_up_time + arrival.at);
    let expected_end = if arrival.task_profile.always_fails {
        job_model::JobEnd::Failed(job_model::FailureReason::AttemptsExhausted)
    } else {
        job_model::JobEnd::Completed
    };
    match () {
        () if answer.end != expected_end => 0.0,
        () if response_time <= objective => arrival.worth,
        () if response_time <= objective * LATE_OBJECTIVE_MULTIPLE => {
            arrival.worth * LATE_WORTH_SHARE
        }
        () => 0.0,
    }
}
