//! Limits on the size of a job, which are checked before any work is done for it.
//!
//! What a job costs the processes grows with its tasks and dependencies, not with the bytes of its request: a
//! step of a few bytes can stand for thousands of tasks, and each start carries the whole payload.

use derive_more::{Display, Error};

use crate::job_model;

/// Twice the tasks of the largest job at the target scale, 850.
const MAX_TASKS: u32 = 1_700;
/// Eight dependencies for each task of the largest job.
const MAX_DEPENDENCIES: u32 = 8 * MAX_TASKS;
/// Longest payload that the platform's job format allows, in bytes.
const MAX_PAYLOAD_BYTES: u32 = 4_000;

/// Size of the largest job that is admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobLimits {
    /// Maximum number of tasks of a job. Each step has at least one, so this bounds its steps, too.
    pub max_tasks: u32,
    /// Maximum number of dependencies between the steps of a job.
    pub max_dependencies: u32,
    /// Maximum length of the text that each task receives, in bytes.
    pub max_payload_bytes: u32,
}

impl Default for JobLimits {
    fn default() -> Self {
        Self {
            max_tasks: MAX_TASKS,
            max_dependencies: MAX_DEPENDENCIES,
            max_payload_bytes: MAX_PAYLOAD_BYTES,
        }
    }
}

/// Error for a job that exceeds a limit. It is never run.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum JobLimitError {
    /// The job has too many tasks.
    #[display("the job has over {limit} tasks; split it into several jobs")]
    TooManyTasks {
        /// Maximum number of tasks.
        limit: u32,
    },
    /// The steps of the job have too many dependencies.
    #[display(
        "the steps of the job have over {limit} dependencies; merge steps whose tasks are alike"
    )]
    TooManyDependencies {
        /// Maximum number of dependencies.
        limit: u32,
    },
    /// The payload of the job is too long.
    #[display("the payload has over {limit} bytes; send a reference to the data")]
    PayloadTooLong {
        /// Maximum length of the payload in bytes.
        limit: u32,
    },
}

impl JobLimitError {
    /// Returns the name of the exceeded limit in answers, log lines and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::TooManyTasks { .. } => "too_many_tasks",
            Self::TooManyDependencies { .. } => "too_many_dependencies",
            Self::PayloadTooLong { .. } => "payload_too_long",
        }
    }
}

/// Size of the part of a job that has been read.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobSize {
    tasks: u64,
    dependencies: u64,
}

impl JobSize {
    /// Adds a step, which counts as at least one task.
    ///
    /// # Errors
    ///
    /// Returns an error if the job exceeds `limits` with this step.
    pub fn add_step(
        &mut self,
        task_count: u64,
        dependency_count: usize,
        limits: &JobLimits,
    ) -> Result<(), JobLimitError> {
        self.tasks = self.tasks.saturating_add(task_count.max(1));
        self.dependencies = self
            .dependencies
            .saturating_add(u64::try_from(dependency_count).unwrap_or(u64::MAX));
        match () {
            () if self.tasks > u64::from(limits.max_tasks) => Err(JobLimitError::TooManyTasks {
                limit: limits.max_tasks,
            }),
            () if self.dependencies > u64::from(limits.max_dependencies) => {
                Err(JobLimitError::TooManyDependencies {
                    limit: limits.max_dependencies,
                })
            }
            () => Ok(()),
        }
    }
}

impl JobLimits {
    /// Checks the length of a payload.
    ///
    /// # Errors
    ///
    /// Returns an error if it exceeds the limit.
    pub fn check_payload(&self, payload: &str) -> Result<(), JobLimitError> {
        let limit = self.max_payload_bytes;
        if u64::try_from(payload.len()).unwrap_or(u64::MAX) > u64::from(limit) {
            return Err(JobLimitError::PayloadTooLong { limit });
        }
        Ok(())
    }

    /// Checks the size of `spec`, at a cost that does not depend on its number of tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if `spec` exceeds a limit.
    pub fn check(&self, spec: &job_model::JobSpec) -> Result<(), JobLimitError> {
        self.check_payload(&spec.payload)?;
        let mut size = JobSize::default();
        for step in &spec.steps {
            size.add_step(u64::from(step.task_count), step.depends_on.len(), self)?;
        }
        Ok(())
    }
}
