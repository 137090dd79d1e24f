//! Rows of the two lists.

use std::collections;

use cuminkeel_types::names;
use serde::{Deserialize, Serialize};

/// What a plan may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRow {
    /// Name of the plan.
    pub name: names::PlanName,
    /// Version of the row; grows by one with each accepted edit.
    pub version: u64,
    /// Weight in fair queueing, 1 to 1000.
    pub weight: u32,
    /// Tasks at once, over all entries and domains.
    pub max_concurrent_tasks: u32,
    /// Task starts per second, over all entries and domains.
    pub max_task_starts_per_second: u32,
    /// Classes of task that the plan may use; empty means all.
    pub classes: Vec<names::ClassName>,
}

/// A customer and its plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerRow {
    /// Name of the customer.
    pub name: names::CustomerName,
    /// Version of the row; grows by one with each accepted edit.
    pub version: u64,
    /// Plan of the customer.
    pub plan: names::PlanName,
    /// BLAKE3 digests of the API keys that authenticate the customer, in hex.
    pub key_digests: Vec<String>,
}

/// Both lists at one offset of the configuration stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigLists {
    /// Offset after the last record folded in.
    pub offset: u64,
    /// Plans by name.
    pub plans: collections::BTreeMap<names::PlanName, PlanRow>,
    /// Customers by name.
    pub customers: collections::BTreeMap<names::CustomerName, CustomerRow>,
}
