//! Bodies of requests and answers.

use std::collections;

use cuminkeel_types::{job, outcome};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A job to run.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmission {
    /// Whether a second run of the whole job would do no harm. Without it a
    /// submission key is required.
    #[serde(default)]
    pub idempotent: bool,
    /// A key from `POST /v1/keys`. The same key with the same job, sent to any
    /// entry any number of times, runs at most once.
    #[serde(default)]
    pub submission_key: Option<String>,
    /// Milliseconds from receipt after which an answer is of no use.
    pub deadline_ms: u64,
    /// Whether the answer is awaited; otherwise fetch it by the job's identity.
    #[serde(default = "yes")]
    pub wait: bool,
    /// The tasks, 1 to 850.
    pub tasks: Vec<TaskSubmission>,
}

fn yes() -> bool {
    true
}

/// One task of a job.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSubmission {
    /// Class of the task; run times are learnt for each class.
    pub class: String,
    /// Processor share, in thousandths of a core.
    pub size_millicores: u32,
    /// Run time that the caller expects, in milliseconds.
    pub declared_ms: u64,
    /// Opaque input.
    pub payload: String,
}

/// Whether a job is answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStateWord {
    /// Not answered yet.
    Running,
    /// Answered whole.
    Complete,
}

/// A job, with its outputs once it is complete.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct JobBody {
    /// Identity of the job; none if another entry runs it.
    pub job: Option<String>,
    /// Whether it is answered.
    pub state: JobStateWord,
    /// One output for each task, in order; none while the job runs.
    pub outputs: Option<Vec<String>>,
}

/// Asks for submission keys.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRequest {
    /// How many keys.
    pub count: u32,
}

/// Submission keys, each for one job.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct KeysBody {
    /// The keys.
    pub keys: Vec<String>,
}

/// Confirms a cancellation.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct CancelBody {
    /// Identity of the job.
    pub job: String,
}

/// Whether the balancer should offer this entry.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct HealthBody {
    /// Whether new jobs are taken.
    pub accepting: bool,
}

/// What an entry sees. Free in form, for `cuminkeel status`.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct StatusBody {
    /// Name of the VM.
    pub vm: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Process start, in hex.
    pub incarnation: String,
    /// Offset of the configuration stream in force.
    pub config_offset: u64,
    /// Milliseconds since the lists were last known to be the newest.
    pub config_age_ms: Option<u64>,
    /// Seats, each a share of every allowance, that this entry may use.
    pub seats: u64,
    /// Whether new jobs are refused.
    pub draining: bool,
    /// Requests that wait for an answer.
    pub waiting_requests: u64,
    /// Other entries thought alive.
    pub members: Vec<MemberBody>,
    /// Queues, servers and customers of the dispatch policy.
    pub dispatch: serde_json::Value,
    /// Counts of messages since the start.
    pub messages: MessagesBody,
}

/// Counts of messages since the start.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct MessagesBody {
    /// Attempts to run a task on a backend server.
    pub attempts: u64,
    /// Attempts that were refused before start or never sent.
    pub not_started: u64,
    /// Attempts without a usable answer.
    pub lost: u64,
    /// Requests to stop a task.
    pub stops: u64,
    /// Questions for a server's load.
    pub probes: u64,
    /// Traffic between entries by topic.
    pub mesh: collections::BTreeMap<String, TrafficBody>,
    /// Frames between entries that were dropped.
    pub mesh_drops: u64,
}

/// Traffic of one topic between entries.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, Serialize)]
pub struct TrafficBody {
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Messages received.
    pub messages_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
}

/// Another entry.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct MemberBody {
    /// Name of the VM.
    pub vm: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Process start, in hex.
    pub incarnation: String,
    /// Whether it leaves.
    pub leaving: bool,
}

/// Every refusal and failure.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct ErrorBody {
    /// Typed reason, such as `overloaded`.
    pub code: String,
    /// Whether anything ran: `not_run`, `unknown` or `ran`.
    pub ran: String,
    /// Milliseconds after which to try again; none if that is of no use.
    pub retry_after_ms: Option<u64>,
    /// What, where, and how to mend it.
    pub detail: String,
    /// Identity of the job, if it has one.
    pub job: Option<String>,
}

impl JobSubmission {
    /// Checks the rules of the interface and makes a job of it.
    ///
    /// # Errors
    /// `bad_request`, naming the field.
    pub fn into_spec(
        self,
        customer: cuminkeel_types::names::CustomerName,
        max_deadline: std::time::Duration,
    ) -> Result<job::JobSpec, outcome::Refusal> {
        let deadline = std::time::Duration::from_millis(self.deadline_ms);
        if deadline.is_zero() || deadline > max_deadline {
            let most = max_deadline.as_millis();
            return Err(bad_request(format!("deadline_ms must be from 1 to {most}")));
        }
        if self.tasks.is_empty() || self.tasks.len() > job::MAX_TASKS_PER_JOB {
            return Err(bad_request(format!(
                "tasks must hold 1 to {} tasks, not {}",
                job::MAX_TASKS_PER_JOB,
                self.tasks.len()
            )));
        }
        let tasks = self
            .tasks
            .into_iter()
            .enumerate()
            .map(|(position, task)| task.into_spec(position))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(job::JobSpec {
            customer,
            idempotent: self.idempotent,
            deadline,
            tasks,
            trace_parent: None,
        })
    }
}

impl TaskSubmission {
    fn into_spec(self, position: usize) -> Result<job::TaskSpec, outcome::Refusal> {
        if self.class.is_empty() {
            return Err(bad_request(format!(
                "tasks[{position}].class must not be empty"
            )));
        }
        if self.size_millicores == 0 {
            return Err(bad_request(format!(
                "tasks[{position}].size_millicores must be at least 1"
            )));
        }
        Ok(job::TaskSpec {
            class: cuminkeel_types::names::ClassName::new(self.class),
            size_millicores: self.size_millicores,
            declared_run_time: std::time::Duration::from_millis(self.declared_ms),
            payload: self.payload.into(),
        })
    }
}

fn bad_request(detail: String) -> outcome::Refusal {
    outcome::Refusal::not_run(outcome::RefusalCode::BadRequest, detail)
}
