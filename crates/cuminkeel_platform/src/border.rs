//! Traits of the platform's services and their errors.

use std::{fmt, net, sync, time};

use cuminkeel_types::names;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Largest record that the log takes, in bytes.
pub const MAX_RECORD_BYTES: usize = 64 * 1024;

/// One record of a log stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRecord {
    /// Position in the stream; grows by one.
    pub offset: u64,
    /// The bytes as appended.
    pub payload: sync::Arc<[u8]>,
}

/// A piece of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogBatch {
    /// Records in order, from the offset asked for.
    pub records: Vec<LogRecord>,
    /// Offset of the oldest record still kept.
    pub head: u64,
    /// Offset that the next append gets.
    pub tail: u64,
}

/// Why a platform call failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// The service did not answer or answered that it is down; for an append,
    /// the record may or may not have been written.
    #[display("platform unavailable: {detail}")]
    Unavailable {
        /// What was seen.
        detail: sync::Arc<str>,
    },
    /// The service refused the append before writing it.
    #[display("append refused, nothing written: {detail}")]
    AppendRefused {
        /// Why.
        detail: sync::Arc<str>,
    },
    /// The offset is older than the oldest record kept.
    #[display("offset {asked} is trimmed; the log starts at {head}")]
    Trimmed {
        /// The offset asked for.
        asked: u64,
        /// Oldest offset kept.
        head: u64,
    },
    /// The answer does not follow the protocol.
    #[display("malformed platform answer: {detail}")]
    Malformed {
        /// What was wrong.
        detail: sync::Arc<str>,
    },
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// Will be taken away.
    Leaving,
}

/// What a VM is for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum VmRole {
    /// Runs an entry.
    Entry {
        /// Address of the mesh.
        mesh: net::SocketAddr,
        /// Address of the callers' API.
        api: net::SocketAddr,
    },
    /// Runs a backend server.
    BackendServer {
        /// Address of its HTTP service.
        http: net::SocketAddr,
        /// Tasks at once.
        slots: u32,
        /// Connections at once, over all entries.
        max_connections: u32,
        /// Largest task, in thousandths of a core.
        max_size_millicores: u32,
    },
}

/// One row of the VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRecord {
    /// Name of the VM.
    pub name: sync::Arc<str>,
    /// Failure domain.
    pub domain: names::FailureDomain,
    /// Rack.
    pub rack: names::RackName,
    /// Partner firm that it belongs to.
    pub partner: names::PartnerName,
    /// Live or leaving.
    pub state: VmState,
    /// What it is for.
    pub role: VmRole,
}

/// The VM list at some time in the near past.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Grows with each change.
    pub version: u64,
    /// The rows.
    pub vms: Vec<VmRecord>,
}

/// Usage of one backend server at some time in the near past.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageRecord {
    /// Name of the VM.
    pub name: sync::Arc<str>,
    /// Tasks running when the report was made.
    pub busy_slots: u32,
    /// Age of the report.
    pub age: time::Duration,
}

/// The platform's append-only log.
#[async_trait::async_trait]
pub trait LogStore: fmt::Debug + Send + Sync {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    /// After [`PlatformError::Unavailable`] the record may have been written.
    async fn append(&self, stream: &str, payload: &[u8]) -> Result<u64, PlatformError>;

    /// Reads up to `limit` records from `offset`. Waits up to `wait` for the
    /// first record past the tail.
    ///
    /// # Errors
    /// Any [`PlatformError`] but [`PlatformError::AppendRefused`].
    async fn read(
        &self,
        stream: &str,
        offset: u64,
        limit: usize,
        wait: time::Duration,
    ) -> Result<LogBatch, PlatformError>;
}

/// The platform's list of VMs and their usage.
#[async_trait::async_trait]
pub trait VmDirectory: fmt::Debug + Send + Sync {
    /// The list as the platform knows it now.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`] or [`PlatformError::Malformed`].
    async fn list(&self) -> Result<VmList, PlatformError>;

    /// Usage of all backend servers.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`] or [`PlatformError::Malformed`].
    async fn usage(&self) -> Result<Vec<UsageRecord>, PlatformError>;
}
