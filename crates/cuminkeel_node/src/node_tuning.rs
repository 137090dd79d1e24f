//! Settings of our own beside those that the platform writes: what an operator may tune.

use std::{fs, io, path, time};

use derive_more::{Display, Error};
use serde::Deserialize;

/// Port of the counters on the VM's address.
const METRICS_PORT: u16 = 9464;
/// Time for the answer to a start or a stop: forty round trips inside a failure domain. A
/// new claim follows, which settles in one round trip what became of the order.
const ORDER_TIMEOUT_MS: u32 = 40;
/// Time for the answer to a hold, beyond what it asks the server to wait.
const HOLD_TIMEOUT_MS: u32 = 80;
/// How long a job waits for a leader of its failure domain to be found.
const LEADER_WAIT_MS: u32 = 1_500;
/// Log lines that may wait to be written: a second at ten times the lines of a full load.
const LOG_BUFFER_KIB: u32 = 2_048;

/// Least severe lines that are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Also decisions on requests that are served.
    #[default]
    Debug,
    /// Decisions on requests that are not, and beliefs.
    Info,
    /// Lost dependencies and what can't be read.
    Warning,
}

/// What an operator may tune. Durations are in ms.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct NodeTuning {
    /// Port of the counters.
    pub metrics_port: u16,
    /// Time for the answer to a start or a stop of a run.
    pub order_timeout_ms: u32,
    /// Time for the answer to a hold, beyond what it asks the server to wait.
    pub hold_timeout_ms: u32,
    /// How long a job waits for a leader of its failure domain to be found.
    pub leader_wait_ms: u32,
    /// Least severe lines that are written.
    pub log_level: LogLevel,
    /// Log lines that may wait to be written, in KiB.
    pub log_buffer_kib: u32,
}

impl Default for NodeTuning {
    fn default() -> Self {
        Self {
            metrics_port: METRICS_PORT,
            order_timeout_ms: ORDER_TIMEOUT_MS,
            hold_timeout_ms: HOLD_TIMEOUT_MS,
            leader_wait_ms: LEADER_WAIT_MS,
            log_level: LogLevel::default(),
            log_buffer_kib: LOG_BUFFER_KIB,
        }
    }
}

/// Why a file can't be used.
#[derive(Debug, Display, Error)]
pub enum TuningError {
    /// The file can't be read.
    #[display("can't read {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: path::PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// The file is no YAML of the known fields.
    #[display("{}: {source}", path.display())]
    Malformed {
        /// Path of the file.
        path: path::PathBuf,
        /// Error with line and column.
        source: Box<serde_saphyr::Error>,
    },
    /// A value is out of its range.
    #[display("{}: `{field}` is {value} {unit}; use {least} to {most}", path.display())]
    OutOfRange {
        /// Path of the file.
        path: path::PathBuf,
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: u32,
        /// Unit of the value.
        unit: &'static str,
        /// Least allowed value.
        least: u32,
        /// Largest allowed value.
        most: u32,
    },
}

impl NodeTuning {
    /// Reads the YAML file at `path`; what it doesn't name keeps its default.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, has an unknown field or a value out of its range.
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
        tuning.check(path)?;
        Ok(tuning)
    }

    fn check(&self, path: &path::Path) -> Result<(), TuningError> {
        let ranges = [
            ("metrics_port", u32::from(self.metrics_port), "", 1, 65_535),
            ("order_timeout_ms", self.order_timeout_ms, "ms", 5, 1_000),
            ("hold_timeout_ms", self.hold_timeout_ms, "ms", 5, 1_000),
            ("leader_wait_ms", self.leader_wait_ms, "ms", 100, 10_000),
            ("log_buffer_kib", self.log_buffer_kib, "KiB", 64, 65_536),
        ];
        for (field, value, unit, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(TuningError::OutOfRange {
                    path: path.into(),
                    field,
                    value,
                    unit,
                    least,
                    most,
                });
            }
        }
        Ok(())
    }

    /// Time for the answer to a start or a stop of a run.
    pub fn order_timeout(&self) -> time::Duration {
        time::Duration::from_millis(u64::from(self.order_timeout_ms))
    }

    /// Time for the answer to a hold, beyond what it asks the server to wait.
    pub fn hold_timeout(&self) -> time::Duration {
        time::Duration::from_millis(u64::from(self.hold_timeout_ms))
    }

    /// How long a job waits for a leader of its failure domain to be found.
    pub fn leader_wait(&self) -> time::Duration {
        time::Duration::from_millis(u64::from(self.leader_wait_ms))
    }

    /// Bytes of log lines that may wait to be written.
    pub fn log_buffer_bytes(&self) -> usize {
        usize::try_from(self.log_buffer_kib).map_or(usize::MAX, |kib| kib * 1024)
    }
}
