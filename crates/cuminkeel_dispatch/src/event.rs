//! What a dispatch policy is told and what it asks its shell to do.

use std::{sync, time};

use cuminkeel_types::{job, names, outcome};
use serde::{Deserialize, Serialize};

/// What is known of a backend server from the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerRecord {
    /// Name of the server.
    pub name: names::ServerName,
    /// Failure domain that it stands in.
    pub domain: names::FailureDomain,
    /// Rack that it stands in.
    pub rack: names::RackName,
    /// Tasks it runs at the same time, over all entries.
    pub slots: u32,
    /// Largest task that fits, in thousandths of a core.
    pub max_size_millicores: u32,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
}

/// What a plan grants, as far as dispatch needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerTerms {
    /// The customer.
    pub customer: names::CustomerName,
    /// Weight in fair queueing, relative to other customers.
    pub weight: u32,
    /// Tasks at once over all entries; none if unlimited.
    pub max_concurrent: Option<u32>,
    /// Task starts per second over all entries; none if unlimited.
    pub max_starts_per_second: Option<u32>,
}

/// Another live entry of the same failure domain.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SiblingEntry {
    /// Name of its VM.
    pub vm: names::VmName,
    /// Its process.
    pub incarnation: names::IncarnationId,
}

/// A job that passed the checks of the API and of its submission key.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// Identity of the submission.
    pub id: names::JobId,
    /// The job; `deadline` counts from the event's time.
    pub spec: sync::Arc<job::JobSpec>,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchEvent {
    /// A job was accepted for dispatch.
    JobSubmitted(JobRequest),
    /// The caller cancelled a job.
    JobCancelled(names::JobId),
    /// An attempt ended.
    TaskEnded {
        /// The task.
        task: outcome::TaskKey,
        /// Server of the attempt.
        server: names::ServerName,
        /// How it ended.
        outcome: outcome::TaskOutcome,
    },
    /// An answer of a server told how many of its slots were in use when it was
    /// sent, over all entries. Comes before the event of the answer itself.
    ServerReported {
        /// The server.
        server: names::ServerName,
        /// Slots in use, without the task that the answer belongs to.
        busy: u32,
    },
    /// The backend servers that this entry may use, whole, after any change.
    ServersChanged(Vec<ServerRecord>),
    /// All customers' terms, whole, after any change.
    TermsChanged(Vec<CustomerTerms>),
    /// The live entries of this failure domain without this one, after any change.
    SiblingsChanged(Vec<SiblingEntry>),
    /// A message of a sibling's policy.
    SiblingMessage {
        /// Sender.
        from: SiblingEntry,
        /// Encoded message, the policy's own format.
        payload: Vec<u8>,
    },
    /// A probe was answered or given up.
    ServerProbed {
        /// The probe, as numbered by [`DispatchAction::ProbeServer`].
        probe: u64,
        /// The server probed.
        server: names::ServerName,
        /// Slots in use; none if the probe got no answer in time.
        busy: Option<u32>,
    },
    /// This entry was told to leave: refuse new jobs, finish the accepted.
    DrainStarted,
    /// The time named by [`crate::policy::DispatchPolicy::next_wakeup`] has come.
    WakeupDue,
}

/// Something that the shell must do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Send a task to a server, once.
    StartTask {
        /// The task.
        task: outcome::TaskKey,
        /// Where to.
        server: names::ServerName,
        /// Time left until the job's deadline.
        time_left: time::Duration,
    },
    /// Ask a server once to stop a started task.
    StopTask {
        /// The task.
        task: outcome::TaskKey,
        /// Where it runs.
        server: names::ServerName,
    },
    /// The final answer of a job. Nothing else follows for this job but
    /// [`DispatchAction::StopTask`].
    FinishJob {
        /// The job.
        job: names::JobId,
        /// Its answer.
        answer: outcome::JobAnswer,
    },
    /// Ask a server for its usage, once. The answer, or the lack of one within a
    /// few milliseconds, comes back as [`DispatchEvent::ServerProbed`].
    ProbeServer {
        /// Number of the probe, unique within the policy.
        probe: u64,
        /// Whom to ask.
        server: names::ServerName,
    },
    /// Send a message to a sibling's policy.
    SendSibling {
        /// Receiver.
        to: SiblingEntry,
        /// Encoded message.
        payload: Vec<u8>,
    },
}
