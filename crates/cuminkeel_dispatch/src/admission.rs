//! Which jobs to refuse before anything of them starts.

use std::time;

use cuminkeel_types::outcome;

/// Expected run times of the longest task that must fit before the deadline.
const LONGEST_MARGIN: f64 = 2.5;
/// Expected waiting times that must fit before the deadline, since shorter jobs
/// that arrive later go first.
const WAIT_MARGIN: f64 = 2.0;
/// The same for the time that the job's own tasks take up all slots.
const OWN_WORK_MARGIN: f64 = 1.3;
/// Shortest time after which a refused caller may try again.
const MIN_RETRY: time::Duration = time::Duration::from_millis(100);
/// Longest time after which a refused caller is told to try again.
const MAX_RETRY: time::Duration = time::Duration::from_secs(10);

/// What is known of a job when it arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobOutlook {
    /// Time from now to the deadline, in seconds.
    pub deadline_secs: f64,
    /// Expected run time of all its tasks, in seconds of an average slot.
    pub work_secs: f64,
    /// Expected run time of its longest task on an average server, in seconds.
    pub longest_secs: f64,
    /// Largest declared size.
    pub size: u32,
    /// A run time that its longest class has never gone below, if known.
    pub impossible_secs: Option<f64>,
    /// Work that is served before the job is done, its own included, in
    /// seconds of an average slot.
    pub ahead_secs: f64,
    /// Its customer's waiting work and its own, in seconds of an average slot.
    pub own_ahead_secs: f64,
    /// Tasks that the customer's allowance permits at once; none if unlimited.
    pub share: Option<u32>,
}

/// What the servers can do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolOutlook {
    /// Seconds of an average slot that all usable slots serve in one second.
    pub capacity: f64,
    /// Usable slots.
    pub usable: u32,
    /// Largest task that any server takes; zero if no server is known.
    pub max_size: u32,
}

/// Refuses a job that can't be answered in time, or none.
pub fn refusal(job: &JobOutlook, pool: &PoolOutlook) -> Option<outcome::Refusal> {
    match (job, pool) {
        _ if pool.max_size == 0 => Some(overloaded("no backend server is known yet", 1.0)),
        _ if job.size > pool.max_size => Some(outcome::Refusal::not_run(
            outcome::RefusalCode::NeverRunnable,
            format!(
                "a task of {} millicores fits no backend server; the largest takes {}",
                job.size, pool.max_size
            ),
        )),
        _ if job
            .impossible_secs
            .is_some_and(|secs| secs > job.deadline_secs) =>
        {
            Some(outcome::Refusal::not_run(
                outcome::RefusalCode::NeverRunnable,
                "the deadline is shorter than the fastest run of this class",
            ))
        }
        _ if pool.usable == 0 => Some(overloaded("no backend server takes work now", 1.0)),
        _ => allowance_refusal(job, pool).or_else(|| overload_refusal(job, pool)),
    }
}

fn allowance_refusal(job: &JobOutlook, pool: &PoolOutlook) -> Option<outcome::Refusal> {
    let share = job.share?;
    let slowness = f64::from(pool.usable) / pool.capacity;
    let wait = job.own_ahead_secs * slowness / f64::from(share.max(1));
    let late = wait + job.longest_secs * slowness - job.deadline_secs;
    let exhausted = share == 0 || late > 0.0;
    exhausted.then(|| {
        let detail = "the plan's tasks at once are used up beyond the deadline";
        let code = outcome::RefusalCode::AllowanceExhausted;
        outcome::Refusal::not_run(code, detail).retry_after(retry_time(late))
    })
}

fn overload_refusal(job: &JobOutlook, pool: &PoolOutlook) -> Option<outcome::Refusal> {
    let wait = job.ahead_secs / pool.capacity;
    let others_wait = (job.ahead_secs - job.work_secs).max(0.0) / pool.capacity;
    let own_wait = job.work_secs / pool.capacity;
    let cautious_wait = others_wait * WAIT_MARGIN + own_wait * OWN_WORK_MARGIN;
    let late = cautious_wait + cautious_run_secs(job.longest_secs, pool) - job.deadline_secs;
    let queue_ahead = job.ahead_secs > job.work_secs;
    let is_late = late > 0.0 && (queue_ahead || wait > job.deadline_secs);
    let detail = "the work already queued leaves no time before the deadline";
    is_late.then(|| overloaded(detail, late))
}

/// Time to keep for a run of `longest_secs` on an average server.
fn cautious_run_secs(longest_secs: f64, pool: &PoolOutlook) -> f64 {
    let slowness = f64::from(pool.usable) / pool.capacity.max(f64::MIN_POSITIVE);
    longest_secs * slowness * LONGEST_MARGIN
}

/// The refusal of a job that would be late, by the seconds that it would be late.
pub fn overloaded(detail: &str, late_secs: f64) -> outcome::Refusal {
    outcome::Refusal::not_run(outcome::RefusalCode::Overloaded, detail)
        .retry_after(retry_time(late_secs))
}

fn retry_time(late_secs: f64) -> time::Duration {
    let secs = late_secs.clamp(MIN_RETRY.as_secs_f64(), MAX_RETRY.as_secs_f64());
    time::Duration::from_secs_f64(secs)
}
