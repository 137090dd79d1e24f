//! Policies, lease times and limits of a pool.

use std::time;

use serde::Deserialize;

use crate::job_limits;

/// Order in which queued jobs are served.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// By the latest start that meets the objective.
    #[default]
    LeastSlack,
    /// By arrival; a baseline for comparison.
    Arrival,
}

/// Rule for admitting jobs to the queue.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionPolicy {
    /// Admits jobs whose forecast start and end meet the terms of their offers.
    #[default]
    Forecast,
    /// Admits all jobs; a baseline for comparison.
    AdmitAll,
}

/// Choice of the server for a task among those with enough capacity.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Server with the least placement cost.
    #[default]
    LeastCost,
    /// First server by id; a baseline for comparison.
    FirstFit,
}

/// Whether a mechanism is in use.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum MechanismState {
    /// As in production.
    #[default]
    Enabled,
    /// Left out, to measure what the mechanism is worth.
    Disabled,
}

impl MechanismState {
    /// Whether the mechanism is in use.
    pub fn is_enabled(self) -> bool {
        self == Self::Enabled
    }
}

/// Policies of a pool. The defaults are for production; the others serve as baselines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct PoolPolicies {
    /// Order in which queued jobs are served.
    pub queue: QueuePolicy,
    /// Rule for admitting jobs to the queue.
    pub admission: AdmissionPolicy,
    /// Choice of the server for a task.
    pub placement: PlacementPolicy,
    /// Jobs that have missed their latest start are served after all others.
    pub demotion: MechanismState,
    /// Late jobs start only while no job in time waits for a server.
    pub deferral: MechanismState,
    /// Waiting jobs that can't be served before they expire are refused.
    pub queue_review: MechanismState,
    /// Tasks wait for a faster server if they would miss their objective on a slow one.
    pub faster_server_wait: MechanismState,
    /// Run times are forecast from past runs of the route, not only from the caller's estimate.
    pub learned_run_times: MechanismState,
    /// Servers are told apart by the speed of their past runs.
    pub learned_speeds: MechanismState,
    /// Overdue runs are stopped and their tasks placed anew.
    pub overdue_reschedules: MechanismState,
    /// Servers that fail runs are not used for a while.
    pub ejection: MechanismState,
    /// In a shortage, jobs in progress are served first, and small jobs before large ones.
    pub shortage_order: MechanismState,
    /// In a shortage, late jobs are refused that it is expected to outlast.
    pub shortage_refusal: MechanismState,
}

/// Policies, lease times and limits of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolSettings {
    /// Longest lease that any process requests; within the limit from the platform's settings.
    pub max_lease: time::Duration,
    /// Lease that start and hold orders request; below `max_lease`, so that the server never
    /// shortens it.
    pub lease: time::Duration,
    /// Longest time that a stopped run takes to end; a limit from the platform's settings.
    pub stop_time: time::Duration,
    /// Longest time for which a server delays its response to a hold; two fit into a lease.
    pub hold_wait: time::Duration,
    /// Time within which no task may start any more in an evacuated failure domain; `None` in
    /// deployments without evacuations.
    pub evacuation_bound: Option<time::Duration>,
    /// Shortest time after a lost answer after which a caller sends its job again, to any process.
    pub resend_delay: time::Duration,
    /// Time for which an offer of a refused job from another process is refused, as the first process may
    /// be offering it to other pools.
    pub release_time: time::Duration,
    /// Size of the largest job that is admitted.
    pub job_limits: job_limits::JobLimits,
    /// Policies for queueing, admission and placement.
    pub policies: PoolPolicies,
}

/// Time after the removal of a server's registry entry, or an outage of the store, in which the server may
/// register again: two seconds, the platform's bound for it, and one [`LEADER_POLL_INTERVAL`]. A process that
/// takes over starts no task in that time, unless the server has reported its runs.
pub const REREGISTRATION_GRACE: time::Duration = time::Duration::from_millis(2_600);
/// Interval between reads of the registry by a process that holds servers: a server must get
/// no more work two seconds after it starts draining. If a read fails after its timeout of 0.6 s, the
/// next one starts after a pause of 0.25 s, 1.45 s after the last successful one.
pub const LEADER_POLL_INTERVAL: time::Duration = time::Duration::from_millis(600);

/// Number of longest hold waits per lease: after one, half of the lease is left for a late or
/// repeated renewal.
pub(crate) const HOLDS_PER_LEASE: u32 = 2;
/// Time for which a refused job may be offered by its source only, in percent of the time after which
/// callers send a job again. Copies arrive at the same instant or after that time. Of 1.3 s it leaves
/// 0.91 s: a caller that returns after the shortest `Retry-After`, 1 s, is not taken for a copy.
const RELEASE_PERCENT: u32 = 70;
/// Share of the longest lease that is requested, in percent.
const LEASE_PERCENT: u32 = 80;
/// Longest lease in percent of the time after which callers send a job again: 1 s of 1.3 s. A server whose
/// lease outlasts the bound of a job gets no task of it, so longer leases would keep servers unused.
const MAX_LEASE_PERCENT: u32 = 77;

impl PoolSettings {
    /// Creates settings for servers that grant leases of up to `max_lease` and stop runs within
    /// `stop_time`, and for callers that send a job again `resend_delay` after a lost answer, with the
    /// default policies and without evacuations.
    pub fn new(
        max_lease: time::Duration,
        stop_time: time::Duration,
        resend_delay: time::Duration,
    ) -> Self {
        let max_lease = max_lease.min(resend_delay * MAX_LEASE_PERCENT / 100);
        let lease = max_lease * LEASE_PERCENT / 100;
        Self {
            max_lease,
            lease,
            stop_time,
            hold_wait: lease / HOLDS_PER_LEASE,
            evacuation_bound: None,
            resend_delay,
            release_time: resend_delay * RELEASE_PERCENT / 100,
            job_limits: job_limits::JobLimits::default(),
            policies: PoolPolicies::default(),
        }
    }

    /// Returns the time for which leases are renewed on a server that has lost its registry entry. The next
    /// leader does not know the server, so its runs have to be over within [`REREGISTRATION_GRACE`]; the
    /// holder may learn of the removal later than the others by one [`LEADER_POLL_INTERVAL`].
    pub fn unlisted_lease_time(&self) -> time::Duration {
        REREGISTRATION_GRACE.saturating_sub(LEADER_POLL_INTERVAL + self.max_lease)
    }
}
