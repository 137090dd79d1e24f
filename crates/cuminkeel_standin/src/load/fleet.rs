//! Border between the load tool and the entries that it loads.

use std::{collections, fmt, net, sync, time};

use cuminkeel_types::names;
use derive_more::{Display, Error};

/// What all entries of one run share.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Name of the dispatch policy.
    pub policy: sync::Arc<str>,
    /// Weight of response time.
    pub response_weight: u32,
    /// Weight of wasted messages.
    pub message_weight: u32,
    /// Seed of the entries' generators.
    pub seed: u64,
}

/// One entry to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySpec {
    /// Name of its VM.
    pub vm: names::VmName,
    /// Its failure domain.
    pub domain: names::FailureDomain,
    /// Its rack.
    pub rack: names::RackName,
    /// Platform address that it uses.
    pub platform: net::SocketAddr,
}

/// Where a started entry listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryAddress {
    /// Callers' API.
    pub api: net::SocketAddr,
    /// Mesh.
    pub mesh: net::SocketAddr,
}

/// What an entry tells of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryStatus {
    /// Offset up to which the entry has folded the lists; none without configuration.
    pub config_offset: Option<u64>,
    /// Other entries that it thinks alive.
    pub members: usize,
    /// Messages to other entries for tasks and jobs since the start, by kind.
    pub task_messages: collections::BTreeMap<String, u64>,
    /// Messages for membership and configuration since the start.
    pub control_messages: u64,
    /// Bytes of those messages.
    pub control_bytes: u64,
}

/// Why an entry could not be started or asked.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum FleetError {
    /// The entry did not start.
    #[display("entry {vm} did not start: {detail}")]
    StartFailed {
        /// Its VM.
        vm: names::VmName,
        /// Why.
        detail: sync::Arc<str>,
    },
    /// The entry is not running or did not answer.
    #[display("entry {vm} does not answer: {detail}")]
    NoAnswer {
        /// Its VM.
        vm: names::VmName,
        /// What was seen.
        detail: sync::Arc<str>,
    },
    /// The fleet can't do this to an entry.
    #[display("the fleet does not support {action}")]
    Unsupported {
        /// What was asked.
        action: &'static str,
    },
}

/// The entries of one run, in this process.
#[async_trait::async_trait]
pub trait EntryFleet: fmt::Debug + Send + Sync {
    /// Starts an entry and returns once it listens.
    ///
    /// # Errors
    /// [`FleetError::StartFailed`].
    async fn start(&self, spec: EntrySpec) -> Result<EntryAddress, FleetError>;

    /// Stops an entry gracefully and returns when it has ended.
    ///
    /// # Errors
    /// [`FleetError::NoAnswer`] if it is not running.
    async fn drain(&self, vm: &names::VmName) -> Result<(), FleetError>;

    /// Ends an entry at once, as a crash does.
    ///
    /// # Errors
    /// [`FleetError::NoAnswer`] if it is not running.
    async fn kill(&self, vm: &names::VmName) -> Result<(), FleetError>;

    /// Stops an entry's reading, deciding and sending for `span`, as a
    /// suspended VM does, and returns at once.
    ///
    /// # Errors
    /// [`FleetError::Unsupported`] or [`FleetError::NoAnswer`].
    async fn pause(&self, vm: &names::VmName, span: time::Duration) -> Result<(), FleetError>;

    /// Cuts the entries of a failure domain off from those of all others, or
    /// heals the cut.
    ///
    /// # Errors
    /// [`FleetError::Unsupported`].
    async fn isolate(
        &self,
        domain: &names::FailureDomain,
        isolated: bool,
    ) -> Result<(), FleetError>;

    /// Asks an entry for its state.
    ///
    /// # Errors
    /// [`FleetError::NoAnswer`].
    async fn status(&self, vm: &names::VmName) -> Result<EntryStatus, FleetError>;
}

/// Makes a fleet for each run.
#[async_trait::async_trait]
pub trait FleetFactory: fmt::Debug + Send + Sync {
    /// A fleet without entries.
    ///
    /// # Errors
    /// The policy is unknown or nothing can be started.
    async fn open(&self, settings: FleetSettings) -> Result<sync::Arc<dyn EntryFleet>, FleetError>;
}
