//! Jobs and tasks as callers submit them.

use std::{sync, time};

use serde::{Deserialize, Serialize};

use crate::names;

/// Most tasks that one job may hold.
pub const MAX_TASKS_PER_JOB: usize = 850;

/// One task of a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskSpec {
    /// Class of the task; run times are learnt per class and server.
    pub class: names::ClassName,
    /// Processor share that the caller declares, in thousandths of a core.
    pub size_millicores: u32,
    /// Run time that the caller declares. Often far off.
    pub declared_run_time: time::Duration,
    /// Opaque input, passed to the backend server as it is.
    pub payload: sync::Arc<str>,
}

/// One job as an entry has accepted it for checking.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// Customer that submitted the job, taken from the caller's key.
    pub customer: names::CustomerName,
    /// Whether a second run of the whole job would do no harm.
    pub idempotent: bool,
    /// Time from receipt after which an answer is of no use.
    pub deadline: time::Duration,
    /// The tasks, 1 to [`MAX_TASKS_PER_JOB`].
    pub tasks: Vec<TaskSpec>,
    /// W3C `traceparent` of the hop that received the job. No part of the
    /// job's identity: a resubmission may come with another.
    pub trace_parent: Option<sync::Arc<str>>,
}
