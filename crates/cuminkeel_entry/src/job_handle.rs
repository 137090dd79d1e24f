//! The identity of a job as callers see it: the job and the process that runs it.

use std::{fmt, str};

use cuminkeel_types::names;
use derive_more::{Display, Error};

/// Hex digits of the process.
const OWNER_DIGITS: usize = 16;
/// Hex digits of the job.
const JOB_DIGITS: usize = 32;

/// Names a job for any entry: 16 hex digits of the process that runs it, then
/// 32 of the job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobHandle {
    /// The process that runs the job.
    pub owner: names::IncarnationId,
    /// The job.
    pub job: names::JobId,
}

/// The text is not a job's identity.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("a job's identity is 48 lower-case hex digits, as answered by POST /v1/jobs")]
pub struct JobHandleError;

impl fmt::Display for JobHandle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}{}", self.owner, self.job)
    }
}

impl str::FromStr for JobHandle {
    type Err = JobHandleError;

    fn from_str(text: &str) -> Result<Self, JobHandleError> {
        let is_hex = text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if !is_hex || text.len() != OWNER_DIGITS + JOB_DIGITS {
            return Err(JobHandleError);
        }
        let (owner, job) = text.split_at(OWNER_DIGITS);
        let owner = u64::from_str_radix(owner, 16).map_err(|_| JobHandleError)?;
        let job = u128::from_str_radix(job, 16).map_err(|_| JobHandleError)?;
        Ok(Self {
            owner: names::IncarnationId(owner),
            job: names::JobId(job),
        })
    }
}
