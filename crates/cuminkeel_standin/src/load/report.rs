//! The JSON object that a run prints.

use std::collections;

use serde::Serialize;

/// Results of one scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScenarioReport {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Name of the deployment.
    pub deployment: String,
    /// Time for which jobs arrived, in seconds, for each policy.
    pub seconds: f64,
    /// Offered work relative to capacity in `policies`.
    pub load: f64,
    /// Our policy first, then the baselines.
    pub policies: Vec<PolicyReport>,
    /// The same at further loads.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub further_loads: Vec<LoadReport>,
}

/// Results at another load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Offered work relative to capacity.
    pub load: f64,
    /// Our policy first, then the baselines.
    pub policies: Vec<PolicyReport>,
}

/// Results of one policy.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PolicyReport {
    /// Name of the policy.
    pub policy: String,
    /// Answers, checks against the ledger, times and shares.
    #[serde(flatten)]
    pub outcome: OutcomeReport,
    /// Messages.
    #[serde(flatten)]
    pub messages: MessageReport,
    /// Configuration; on our policy of a scenario with edits.
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    pub config: Option<ConfigReport>,
    /// The harness and the machine.
    pub harness: HarnessReport,
    /// Answers of the entries by kind.
    pub answers: collections::BTreeMap<String, u64>,
}

/// Answers, checks against the ledger, times and shares.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OutcomeReport {
    /// Jobs submitted.
    pub jobs: u64,
    /// Jobs with a whole answer.
    pub complete: u64,
    /// Jobs that ran and gave no answer.
    pub failed: u64,
    /// Jobs refused as not run.
    pub refused: u64,
    /// Jobs of which nothing is proved.
    pub unknown: u64,
    /// Starts beyond the first of a task, or of a job that is not idempotent.
    pub duplicate_starts: u64,
    /// Submissions refused as not run of which something started.
    pub false_not_run: u64,
    /// Whole answers without an output for each task.
    pub partial_answers: u64,
    /// Whole answers with another task's output.
    pub crossed_answers: u64,
    /// Jobs without any answer by their deadline and a second.
    pub stranded: u64,
    /// Response relative to the ideal on all servers, median.
    pub response_ratio_p50: Option<f64>,
    /// The same, 99th percentile.
    pub response_ratio_p99: Option<f64>,
    /// Response relative to the ideal on the servers of one failure domain, median.
    pub response_ratio_domain_p50: Option<f64>,
    /// The same, 99th percentile.
    pub response_ratio_domain_p99: Option<f64>,
    /// Response of whole answers, in milliseconds, median.
    pub response_ms_p50: Option<f64>,
    /// The same, 99th percentile.
    pub response_ms_p99: Option<f64>,
    /// Most tasks of a customer at once beyond its plan.
    pub allowance_overshoot: u32,
    /// Most starts of a customer in any second beyond its plan.
    pub start_rate_overshoot: u64,
    /// Largest share of its concurrent tasks that a customer used, on average.
    pub allowance_used_share: f64,
    /// Jain's index over the customers' slot-time by weight.
    pub fairness: f64,
    /// Work of jobs answered whole, relative to the lesser of offered and capacity.
    pub goodput_share: f64,
    /// Share of tasks that failed among those started a second after the first
    /// server fault; none without one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost_share_after_fault: Option<f64>,
    /// Starts of a job after its cancellation was acknowledged.
    pub starts_after_cancel: u64,
    /// Starts on a server more than 3 s after it was listed as leaving.
    pub starts_on_leaving: u64,
}

/// Messages of one policy.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MessageReport {
    /// Messages that are neither a task's one request nor its one answer, per
    /// task started, without membership and configuration.
    pub wasted_messages_per_task: f64,
    /// Tasks started.
    pub task_starts: u64,
    /// Refusals by backend servers.
    pub server_refusals: u64,
    /// Requests to stop a task.
    pub stops: u64,
    /// Messages between entries for tasks and jobs, by kind.
    pub entry_messages: collections::BTreeMap<String, u64>,
    /// Connections refused by backend servers for their limit.
    pub connections_over_limit: u64,
    /// Bytes for membership and configuration, per second and entry.
    pub control_bytes_per_second: f64,
}

/// Configuration under edits.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ConfigReport {
    /// Edits accepted.
    pub edits_accepted: u64,
    /// Edits that lost against another.
    pub edits_conflicting: u64,
    /// Edits whose fate the operator never learnt.
    pub edits_unsettled: u64,
    /// Time from an edit's place on the log to its being in force on the last
    /// entry, in milliseconds, median.
    pub in_force_ms_p50: Option<f64>,
    /// The same, 99th percentile.
    pub in_force_ms_p99: Option<f64>,
    /// The same, worst.
    pub in_force_ms_max: Option<f64>,
    /// Log offset of the edit that took longest.
    pub slowest_edit_offset: Option<u64>,
    /// Times that an entry showed an older state than before.
    pub reverts: u64,
    /// Accepted edits that an entry alive at the end does not have.
    pub lost_edits: u64,
    /// Share of a core of the whole process without jobs, per entry; the
    /// stand-ins are in it.
    pub control_core_share: f64,
    /// Growth of resident memory by the entries, per entry.
    pub control_memory_bytes: u64,
}

/// The harness and the machine during a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct HarnessReport {
    /// Time that a direct call of a server takes beyond its run time, median;
    /// part of the ideal.
    pub overhead_ms: f64,
    /// Time by which requests left late, 99th percentile.
    pub send_lag_ms_p99: f64,
    /// Cores used by this process during the run.
    pub process_cores: f64,
    /// Cores of the machine.
    pub machine_cores: usize,
    /// Share of the machine's processor time that was used, by all processes.
    pub machine_busy_share: f64,
    /// Whether requests left more than 20 ms late or the machine was more than
    /// 80% busy: then processor time may have bounded the result.
    pub processor_bound: bool,
    /// Faults of the run itself, such as an action that the fleet refused.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<String>,
}
