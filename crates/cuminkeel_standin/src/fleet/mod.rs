//! A small deployment in this process, on loopback: stand-ins of the platform
//! and of backend servers, and real entries.

mod caller;
mod entries;
mod error;
mod protocol;
mod site;

pub use caller::{CallError, JobCaller, JobResult};
pub use entries::{EntryPlan, FleetEntry};
pub use error::FleetError;
pub use protocol::{ProtocolEnd, ProtocolRun, run_job};
pub use site::{LoopbackSite, ServerPlan, SiteCustomer, SitePlan};
