//! Jobs, their steps and tasks, and the outcomes of jobs.
//!
//! Three points in time matter to the caller of a job. The job should end by its objective.
//! From its expiry on, which is a multiple of the objective after its arrival, its answer has
//! no value any more. At its deadline, which is not before the expiry, the caller stops waiting.

use std::{sync::Arc, time};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Name of one task of a job. Its text form is `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskName {
    /// Id of the job, chosen by its caller.
    pub job: Arc<str>,
    /// Number of the repetition of a repeated job. Repeated jobs are unsupported, so the
    /// occurrence of this pool's tasks is always 0.
    pub occurrence: u32,
    /// Position of the step in the job.
    pub step: u16,
    /// Position of the task in the step.
    pub index: u16,
}

/// Error for a text that is not a task name.
#[derive(Debug, Display, Error)]
#[display("`{text}` is not a task name; expected JOB.OCCURRENCE.STEP.INDEX")]
pub struct TaskNameError {
    /// The text as received.
    #[error(not(source))]
    pub text: Box<str>,
}

impl TaskName {
    /// Parses the text form.
    ///
    /// # Errors
    ///
    /// Returns an error if the text does not have four parts, or if one of the last three is
    /// not a number in range.
    pub fn parse(text: &str) -> Result<Self, TaskNameError> {
        let mut parts = text.rsplitn(4, '.');
        let index = parts.next().and_then(|part| part.parse().ok());
        let step = parts.next().and_then(|part| part.parse().ok());
        let occurrence = parts.next().and_then(|part| part.parse().ok());
        match (parts.next(), occurrence, step, index) {
            (Some(job), Some(occurrence), Some(step), Some(index)) => Ok(Self {
                job: Arc::from(job),
                occurrence,
                step,
                index,
            }),
            _ => Err(TaskNameError { text: text.into() }),
        }
    }
}

/// Largest stretch factor that counts, so that a sum of times from a damaged offer does not overflow.
const MAX_STRETCH_FACTOR: f64 = 1_000.0;

/// Step of a job: its tasks and what they require of a server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StepSpec {
    /// Number of tasks; all tasks of a step are alike.
    pub task_count: u16,
    /// Processor that a task uses, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory that a task uses, in MB.
    pub memory_mb: u32,
    /// Number of accelerators that a task uses.
    pub gpus: u32,
    /// The caller's rough estimate of a task's run time, in ms.
    pub estimate_ms: u32,
    /// Positions of the steps that must complete before this one starts.
    pub depends_on: SmallVec<[u16; 4]>,
    /// Label that a server must have to run the tasks.
    pub required_label: Option<Arc<str>>,
    /// Rack on which the tasks run fastest.
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of tasks of this step that run on one server at a time.
    pub max_per_server: Option<u16>,
}

/// A job as its caller submitted it, with the rules of its route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// Id chosen by the caller; a resent job has the same id.
    pub id: Arc<str>,
    /// Route on which the job was submitted.
    pub route: Arc<str>,
    /// Service whose servers run the job.
    pub service: Arc<str>,
    /// Text that every task receives.
    pub payload: Arc<str>,
    /// Steps of the job; a step depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which the task and its job have failed.
    pub max_attempts: u32,
    /// Factor of the critical path in the response time objective.
    pub stretch_factor: f64,
    /// Constant part of the response time objective, added to the stretched critical path, in ms.
    pub target_latency_ms: u32,
}

impl StepSpec {
    /// Returns the caller's estimate of a task's run time, at least 1 ms.
    pub fn estimate(&self) -> time::Duration {
        time::Duration::from_millis(u64::from(self.estimate_ms.max(1)))
    }
}

impl JobSpec {
    /// Returns the run time of the longest chain of dependent steps. `run_times` holds the
    /// run time of a task of each step.
    pub fn critical_path(&self, run_times: &[time::Duration]) -> time::Duration {
        let mut ends: SmallVec<[time::Duration; 4]> = SmallVec::new();
        for (step, run_time) in self.steps.iter().zip(run_times) {
            let ready = step
                .depends_on
                .iter()
                .filter_map(|position| ends.get(usize::from(*position)))
                .max()
                .copied()
                .unwrap_or_default();
            ends.push(ready + *run_time);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the response time objective for a job with this critical path:
    /// `critical_path * stretch_factor + target_latency_ms`.
    pub fn objective(&self, critical_path: time::Duration) -> time::Duration {
        // Not a number counts as 1.
        let stretch_factor = match self.stretch_factor {
            factor if factor >= 1.0 => factor.min(MAX_STRETCH_FACTOR),
            _ => 1.0,
        };
        critical_path.mul_f64(stretch_factor)
            + time::Duration::from_millis(u64::from(self.target_latency_ms))
    }

    /// Returns the processor of all tasks that depend on no others, in thousandths of a core.
    pub fn ready_cpu_millis(&self) -> u32 {
        self.steps
            .iter()
            .filter(|step| step.depends_on.is_empty())
            .map(|step| step.cpu_millis.saturating_mul(u32::from(step.task_count)))
            .fold(0, u32::saturating_add)
    }

    /// Returns the processor of the smallest task, in thousandths of a core.
    pub fn min_cpu_millis(&self) -> u32 {
        let cpu_millis = self.steps.iter().map(|step| step.cpu_millis);
        cpu_millis.min().unwrap_or(0)
    }

    /// Returns the number of tasks of all steps.
    pub fn task_count(&self) -> usize {
        self.steps
            .iter()
            .map(|step| usize::from(step.task_count))
            .sum()
    }
}

/// Connection over which a process offers jobs to a pool. The default stands for offers of the pool's own
/// process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OfferSession(pub u64);

impl OfferSession {
    /// Whether the offers come from the process of the pool.
    pub fn is_own_process(self) -> bool {
        self == Self::default()
    }
}

/// Offer of a job to a pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobOffer {
    /// The job.
    pub spec: Arc<JobSpec>,
    /// Time since the coordinator had read the whole request.
    pub age: time::Duration,
    /// Time until the caller stops waiting, less the time reserved for sending the answer.
    pub time_to_deadline: time::Duration,
    /// Whether another pool may have started tasks of the job.
    pub may_have_started: bool,
    /// Terms on which the job is offered.
    pub terms: OfferTerms,
    /// Time at which the offer was sent, on the clock of the process whose pool receives it. It is
    /// not part of the frame: the receiving process sets it.
    #[serde(skip)]
    pub sent_at: time::Duration,
    /// Name of the VM whose process offers the job. It is not part of the frame: the receiving process
    /// sets it.
    #[serde(skip)]
    pub source: Arc<str>,
    /// Connection over which the offer came. It is not part of the frame: the receiving process sets
    /// it.
    #[serde(skip)]
    pub session: OfferSession,
    /// Whether the job was lost only with the pool to which it is offered here, whose process has not restarted
    /// since: the connection to it broke. A frame of its own tells it.
    #[serde(skip)]
    pub is_resumed: bool,
}

impl JobOffer {
    /// Returns the offer as received from the process of the VM `source` over `session`, sent at `sent_at`
    /// on the clock of the receiving process.
    #[must_use]
    pub fn received(
        mut self,
        source: &Arc<str>,
        session: OfferSession,
        sent_at: time::Duration,
    ) -> Self {
        self.source = Arc::clone(source);
        self.session = session;
        self.sent_at = sent_at;
        self
    }
}

/// Condition under which a pool should admit an offered job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OfferTerms {
    /// Admit it if it is forecast to start almost at once and to end by its objective; otherwise
    /// another pool may have capacity.
    AtOnce,
    /// Admit it if it is forecast to end before its expiry, even after its objective: no other
    /// pool has capacity.
    Useful,
}

/// Reason why a pool refused a job.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
pub enum RefusalReason {
    /// Because of the queue, the job is forecast to start or end too late for the offer's terms.
    #[display("queue_too_long")]
    QueueTooLong,
    /// At least one task can run on no server of the pool.
    #[display("no_suitable_server")]
    NoSuitableServer,
    /// The job waited in the queue and can no longer end before its expiry.
    #[display("expired_in_queue")]
    ExpiredInQueue,
    /// No leader admitted or refused the job within the time for which a job waits for one, or a new
    /// leader does not know yet what its servers run.
    #[display("no_pool")]
    NoPool,
    /// The failure domain of the pool is evacuated, so it starts no tasks.
    #[display("evacuated")]
    Evacuated,
    /// Another process has offered the job here and, after a refusal, may be offering it to other
    /// pools, so a copy of it may run there.
    #[display("copy_elsewhere")]
    CopyElsewhere,
}

/// Reason why a job failed.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
pub enum FailureReason {
    /// A task reached the route's limit of failed runs.
    #[display("attempts_exhausted")]
    AttemptsExhausted,
    /// Tasks ran or may have run, and the job can no longer end before its expiry, or has
    /// reached its deadline.
    #[display("out_of_time")]
    OutOfTime,
    /// The pool that had the job was lost, and the next leader of its servers did not admit the job, was not
    /// asked, or could not have ended it in time after the leases of the lost pool. Runs of the job may continue, so it was offered to no other pool.
    #[display("pool_lost")]
    PoolLost,
    /// The caller withdrew the job.
    #[display("withdrawn")]
    Withdrawn,
    /// Servers crashed under a task of the job, which is not started again.
    #[display("servers_crashed")]
    ServersCrashed,
}

/// Outcome of a job in a pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum JobEnd {
    /// All tasks are done.
    Completed,
    /// The job failed for good; some of its tasks may have run.
    Failed(FailureReason),
    /// The pool refused the job: none of its tasks has run in this pool, and none will.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which the caller should submit the job again, with jitter.
        retry_after: time::Duration,
    },
    /// The pool stepped down or released a server with runs of the job; the next leader is
    /// responsible for the job.
    PoolLost,
    /// The process is not a leader of its failure domain and did not admit the job, or stepped down before any task
    /// was placed, or the job was not sent to it.
    NotLeader,
}
