//! The decision loop of an entry: one task that owns the outcome and dispatch
//! policies, feeds them events and carries out their actions.

mod executor;
mod handle;
mod jobs;
mod message;
mod run;

pub use handle::{CoreHandle, CoreStopped, PendingJob};
pub use message::{CoreMessage, CoreStatus, JobReply, JobView};
pub use run::{CoreParts, DecisionLoop};
