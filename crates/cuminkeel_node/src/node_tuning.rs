//! Settings that an operator may tune, in addition to those that the platform writes.

use std::{fs, io, path, time};

use cuminkeel_dispatch::job_limits;
use derive_more::{Display, Error};
use serde::Deserialize;

/// Port of the metrics endpoint on the VM's address.
const METRICS_PORT: u16 = 9464;
/// Timeout of a start or stop order: forty round trips inside a failure domain. After a timeout
/// the pool claims the server again, which determines the outcome of the order in one round trip.
const ORDER_TIMEOUT_MS: u32 = 40;
/// Timeout of a hold, in addition to the wait that it requests of the server.
const HOLD_TIMEOUT_MS: u32 = 80;
/// Maximum time that a job waits for a leader of its failure domain.
const LEADER_WAIT_MS: u32 = 1_500;
/// Capacity of the log buffer: the lines of one second at ten times the rate of a full load.
const LOG_BUFFER_KIB: u32 = 2_048;

/// Minimum severity of the log lines that are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// All lines, including routine decisions on requests that are served.
    #[default]
    Debug,
    /// Decisions on requests that are not served, and changes of peers, servers, leadership and
    /// configuration.
    Info,
    /// Lost dependencies and unreadable input.
    Warning,
}

/// Settings that an operator may tune. Durations are in ms.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct NodeTuning {
    /// Port of the metrics endpoint.
    pub metrics_port: u16,
    /// Timeout of a start or stop order, in ms.
    pub order_timeout_ms: u32,
    /// Timeout of a hold, in addition to the wait that it requests of the server, in ms.
    pub hold_timeout_ms: u32,
    /// Maximum time that a job waits for a leader of its failure domain, in ms.
    pub leader_wait_ms: u32,
    /// Minimum severity of the log lines that are written.
    pub log_level: LogLevel,
    /// Capacity of the log buffer, in KiB.
    pub log_buffer_kib: u32,
    /// Maximum number of tasks of a job.
    pub max_job_tasks: u32,
    /// Maximum number of dependencies between the steps of a job.
    pub max_job_dependencies: u32,
    /// Maximum length of the payload of a job, in bytes.
    pub max_payload_bytes: u32,
}

impl Default for NodeTuning {
    fn default() -> Self {
        let limits = job_limits::JobLimits::default();
        Self {
            metrics_port: METRICS_PORT,
            order_timeout_ms: ORDER_TIMEOUT_MS,
            hold_timeout_ms: HOLD_TIMEOUT_MS,
            leader_wait_ms: LEADER_WAIT_MS,
            log_level: LogLevel::default(),
            log_buffer_kib: LOG_BUFFER_KIB,
            max_job_tasks: limits.max_tasks,
            max_job_dependencies: limits.max_dependencies,
            max_payload_bytes: limits.max_payload_bytes,
        }
    }
}

/// Error of reading a tuning file.
#[derive(Debug, Display, Error)]
pub enum TuningError {
    /// The file can't be read.
    #[display("can't read tuning file {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: path::PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// The file is not valid YAML or has an unknown field or a value of a wrong type.
    #[display("malformed tuning file {}: {source}", path.display())]
    Malformed {
        /// Path of the file.
        path: path::PathBuf,
        /// Error of the YAML parser, with line and column.
        source: Box<serde_saphyr::Error>,
    },
    /// A value is outside its range.
    #[display("{}: `{field}` is {value} {unit}; use {min} to {max}", path.display())]
    OutOfRange {
        /// Path of the file.
        path: path::PathBuf,
        /// Name of the field.
        field: &'static str,
        /// Value in the file.
        value: u32,
        /// Unit of the value; empty if it has none.
        unit: &'static str,
        /// Minimum allowed value.
        min: u32,
        /// Maximum allowed value.
        max: u32,
    },
}

impl NodeTuning {
    /// Reads the YAML file at `path`; fields that it doesn't contain keep their defaults.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, isn't valid YAML, has an unknown field, or has a
    /// value of a wrong type or outside its range.
    pub fn read(path: &path::Path) -> Result<Self, TuningError> {
        let text = fs::read_to_string(path).map_err(|source| TuningError::Unreadable {
            path: path.into(),
            source,
        })?;
        let tuning: Self =
            serde_saphyr::from_str(&text).map_err(|source| TuningError::Malformed {
                path: path.into(),
                source: Box::new(source),
            })?;
        tuning.check_ranges(path)?;
        Ok(tuning)
    }

    fn check_ranges(&self, path: &path::Path) -> Result<(), TuningError> {
        let ranges = [
            ("metrics_port", u32::from(self.metrics_port), "", 1, 65_535),
            ("order_timeout_ms", self.order_timeout_ms, "ms", 5, 1_000),
            ("hold_timeout_ms", self.hold_timeout_ms, "ms", 5, 1_000),
            ("leader_wait_ms", self.leader_wait_ms, "ms", 100, 10_000),
            ("log_buffer_kib", self.log_buffer_kib, "KiB", 64, 65_536),
            // The index of a task has 16 bits.
            ("max_job_tasks", self.max_job_tasks, "tasks", 1, 65_535),
            (
                "max_job_dependencies",
                self.max_job_dependencies,
                "",
                0,
                524_280,
            ),
            (
                "max_payload_bytes",
                self.max_payload_bytes,
                "bytes",
                0,
                1_048_576,
            ),
        ];
        for (field, value, unit, min, max) in ranges {
            if !(min..=max).contains(&value) {
                return Err(TuningError::OutOfRange {
                    path: path.into(),
                    field,
                    value,
                    unit,
                    min,
                    max,
                });
            }
        }
        Ok(())
    }

    /// Returns the timeout of a start or stop order.
    pub fn order_timeout(&self) -> time::Duration {
        time::Duration::from_millis(u64::from(self.order_timeout_ms))
    }

    /// Returns the timeout of a hold, in addition to the wait that it requests of the server.
    pub fn hold_timeout(&self) -> time::Duration {
        time::Duration::from_millis(u64::from(self.hold_timeout_ms))
    }

    /// Returns the maximum time that a job waits for a leader of its failure domain.
    pub fn leader_wait(&self) -> time::Duration {
        time::Duration::from_millis(u64::from(self.leader_wait_ms))
    }

    /// Returns the size of the largest job that is admitted.
    pub fn job_limits(&self) -> job_limits::JobLimits {
        job_limits::JobLimits {
            max_tasks: self.max_job_tasks,
            max_dependencies: self.max_job_dependencies,
            max_payload_bytes: self.max_payload_bytes,
        }
    }

    /// Returns the capacity of the log buffer, in bytes.
    pub fn log_buffer_bytes(&self) -> usize {
        usize::try_from(self.log_buffer_kib).map_or(usize::MAX, |kib| kib * 1024)
    }
}
