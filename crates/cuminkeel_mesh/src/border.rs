//! What services of an entry see of the mesh.

use std::{fmt, net, sync};

use cuminkeel_types::names;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Service on the receiving entry that a message is for.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum MeshTopic {
    /// Membership itself.
    Membership,
    /// Configuration records passed on.
    Config,
    /// Dispatch policies of one failure domain.
    Dispatch,
    /// Outcome policies of one failure domain.
    Outcome,
    /// Allowance shares.
    Allowance,
    /// Look-ups of jobs that another entry runs.
    Jobs,
}

/// What a member has told of itself.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberRecord {
    /// Name of its VM.
    pub vm: names::VmName,
    /// Its process.
    pub incarnation: names::IncarnationId,
    /// Its failure domain.
    pub domain: names::FailureDomain,
    /// Its rack.
    pub rack: names::RackName,
    /// Address for UDP and TCP; the port is the same for both.
    pub address: net::SocketAddr,
    /// Whether it has announced that it leaves.
    pub leaving: bool,
}

/// A change of membership, as told to listeners.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// A process was seen for the first time, or its record changed.
    Updated(MemberRecord),
    /// A process is no longer a member: it left, failed or was replaced.
    Gone(names::IncarnationId),
    /// This process was thought dead by others, since `incarnation` was declared gone.
    SelfRejected,
}

/// Why a message could not be sent. None of these prove that a message sent
/// earlier did or did not arrive.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum MeshError {
    /// The process is not a member.
    #[display("no such member")]
    UnknownMember,
    /// The message is larger than the mesh carries.
    #[display("message too large")]
    TooLarge,
    /// The outgoing queue to the member is full.
    #[display("outgoing queue full")]
    QueueFull,
    /// The mesh is stopped.
    #[display("mesh stopped")]
    Stopped,
}

pub use crate::membership::standing::MemberStanding;

/// Sends messages and shows the members. Messages may be lost, doubled and
/// reordered; a message is never altered, and its sender is proved.
pub trait MeshPort: fmt::Debug + Send + Sync {
    /// Record of this process.
    fn local(&self) -> MemberRecord;

    /// All other processes now thought alive, in all failure domains.
    fn members(&self) -> Vec<MemberRecord>;

    /// Whether this process may act as a member. After a pause it turns
    /// [`MemberStanding::Unsure`] at once, before any task of the mesh has run;
    /// then it must not start what another may have taken over.
    fn standing(&self) -> MemberStanding {
        MemberStanding::Confirmed
    }

    /// Queues a message. Small ones go by UDP, others by TCP.
    ///
    /// # Errors
    /// The message was not queued.
    fn send(
        &self,
        to: names::IncarnationId,
        topic: MeshTopic,
        payload: Vec<u8>,
    ) -> Result<(), MeshError>;

    /// Registers the service that receives a topic's messages.
    fn listen(&self, topic: MeshTopic, listener: sync::Arc<dyn MeshListener>);

    /// Registers a service that is told of membership changes.
    fn watch(&self, watcher: sync::Arc<dyn MemberWatcher>);
}

/// Receives messages of one topic. Called on the mesh's task: must not block.
pub trait MeshListener: fmt::Debug + Send + Sync {
    /// Takes one message from a proved sender.
    fn on_message(&self, from: &MemberRecord, payload: &[u8]);
}

/// Is told of changes of membership. Must not block.
pub trait MemberWatcher: fmt::Debug + Send + Sync {
    /// Takes one change.
    fn on_change(&self, event: &MemberEvent);
}
