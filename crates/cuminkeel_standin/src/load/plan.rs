//! What a scenario consists of: site, customers, jobs, faults and edits.

use std::{ops, time};

use crate::{backend, balancer, platform};

use super::deployment;

/// What every scenario starts from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadOptions {
    /// Place to imitate.
    pub deployment: deployment::Deployment,
    /// Seed of all generators.
    pub seed: u64,
    /// Time for which jobs arrive, for each policy.
    pub span: time::Duration,
}

/// One kind of job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobShape {
    /// Class of its tasks.
    pub class: &'static str,
    /// Share among the jobs, relative to the other shapes.
    pub share: u32,
    /// Number of tasks.
    pub tasks: ops::RangeInclusive<u32>,
    /// Run time of a task on a server of slowness 1, in milliseconds.
    pub work_millis: ops::RangeInclusive<u64>,
    /// Declared run time relative to the true one, drawn evenly on a
    /// logarithmic scale.
    pub declared_factor: ops::RangeInclusive<f64>,
    /// Declared size, in thousandths of a core.
    pub size_millicores: ops::RangeInclusive<u32>,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Time for the answer.
    pub deadline: time::Duration,
}

/// A time in which more jobs arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurstPlan {
    /// Begin, as a share of the run.
    pub from: f64,
    /// End, as a share of the run.
    pub to: f64,
    /// Arrival rate relative to the base rate.
    pub factor: f64,
}

/// A wave of cancellations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CancelPlan {
    /// Begin of the arrivals it strikes, as a share of the run.
    pub from: f64,
    /// When the wave comes, as a share of the run.
    pub at: f64,
    /// Share of the jobs that are cancelled.
    pub share: f64,
}

/// The jobs of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadPlan {
    /// Offered work relative to the capacity of all servers; a run for each.
    pub loads: Vec<f64>,
    /// The kinds of jobs.
    pub shapes: Vec<JobShape>,
    /// A time in which more arrive.
    pub burst: Option<BurstPlan>,
    /// A wave of cancellations.
    pub cancel: Option<CancelPlan>,
}

/// One customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerPlan {
    /// Name; its plan has the same.
    pub name: &'static str,
    /// Weight of the plan.
    pub weight: u32,
    /// Tasks at once.
    pub max_concurrent: u32,
    /// Task starts per second.
    pub max_starts_per_second: u32,
    /// Share of the offered work, relative to the other customers.
    pub demand: u32,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerPlan {
    /// Position of its failure domain.
    pub domain: usize,
    /// Run time relative to the work.
    pub slowness: f64,
    /// Partner firm that it belongs to.
    pub partner: &'static str,
}

/// Servers and entries.
#[derive(Clone, Debug, PartialEq)]
pub struct SitePlan {
    /// Entries of each failure domain.
    pub entries_per_domain: usize,
    /// All backend servers.
    pub servers: Vec<ServerPlan>,
    /// Slots of each server.
    pub slots: u32,
    /// Connections of each server.
    pub max_connections: usize,
    /// Age of the VM list that entries see.
    pub list_lag: time::Duration,
    /// How requests are spread over the entries.
    pub spread: balancer::BalancerSpread,
    /// Every n-th non-idempotent request goes to two entries; 0 means none.
    pub double_every: u64,
}

/// Something done to the site.
#[derive(Clone, Debug, PartialEq)]
pub enum SiteAction {
    /// Sets or clears a fault of a server, by position.
    ServerFault(usize, Option<backend::faults::BackendFault>),
    /// Lists all servers of a partner as leaving.
    PartnerLeaves(&'static str),
    /// Lists an entry as leaving and stops it gracefully, by position.
    DrainEntry(usize),
    /// Ends an entry as a crash does, by position; it stays listed for the lag.
    KillEntry(usize),
    /// Suspends an entry, by position.
    PauseEntry(usize, time::Duration),
    /// Starts an entry with a new name in the place of one that ended, by position.
    ReplaceEntry(usize),
    /// Cuts a failure domain off from the platform and from other domains, or
    /// heals the cut, by position.
    CutDomain(usize, bool),
    /// Sets the faults of the platform.
    PlatformFaults(platform::faults::PlatformFaults),
}

/// An action and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptStep {
    /// When, as a share of the run.
    pub at: f64,
    /// What.
    pub action: SiteAction,
}

/// Edits of the lists during the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EditPlan {
    /// Operators that edit at the same time.
    pub operators: usize,
    /// Rows that they edit; fewer rows than operators make them race.
    pub rows: usize,
    /// Time from one edit of an operator to its next.
    pub interval: time::Duration,
}

/// A whole scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct ScenarioPlan {
    /// Servers and entries.
    pub site: SitePlan,
    /// The customers.
    pub customers: Vec<CustomerPlan>,
    /// The jobs.
    pub workload: WorkloadPlan,
    /// The faults, in order of time.
    pub script: Vec<ScriptStep>,
    /// Edits of the lists.
    pub edits: Option<EditPlan>,
}
