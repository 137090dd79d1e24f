//! Edits of the two lists.

use cuminkeel_types::names;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::lists;

/// Identifies one edit. Drawn at random by the operator's command and kept when
/// the edit is sent again.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:032x}")]
pub struct EditId(pub u128);

/// The text is not 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("an edit id is 32 hexadecimal digits")]
pub struct EditIdError;

impl std::str::FromStr for EditId {
    type Err = EditIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match u128::from_str_radix(text, 16) {
            Ok(id) if text.len() == 32 => Ok(Self(id)),
            _ => Err(EditIdError),
        }
    }
}

/// Version of a row; zero if the row never existed.
///
/// A removal counts as a version too, so each accepted edit of a name uses up
/// exactly one version and no edit can be accepted twice.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct RowVersion(pub u64);

impl RowVersion {
    /// The version that the next accepted edit gets.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// A plan as an edit sets it; the fold adds the version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanDraft {
    /// Name of the plan.
    pub name: names::PlanName,
    /// Weight in fair queueing.
    pub weight: u32,
    /// Tasks at once, over all entries and domains.
    pub max_concurrent_tasks: u32,
    /// Task starts per second, over all entries and domains.
    pub max_task_starts_per_second: u32,
    /// Classes of task that the plan may use; empty means all.
    pub classes: Vec<names::ClassName>,
}

impl PlanDraft {
    /// The row that this draft becomes.
    pub fn into_row(self, version: RowVersion) -> lists::PlanRow {
        lists::PlanRow {
            name: self.name,
            version: version.0,
            weight: self.weight,
            max_concurrent_tasks: self.max_concurrent_tasks,
            max_task_starts_per_second: self.max_task_starts_per_second,
            classes: self.classes,
        }
    }
}

/// A customer as an edit sets it; the fold adds the version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CustomerDraft {
    /// Name of the customer.
    pub name: names::CustomerName,
    /// Plan of the customer.
    pub plan: names::PlanName,
    /// BLAKE3 digests of the API keys, in lower-case hex.
    pub key_digests: Vec<String>,
}

impl CustomerDraft {
    /// The row that this draft becomes.
    pub fn into_row(self, version: RowVersion) -> lists::CustomerRow {
        lists::CustomerRow {
            name: self.name,
            version: version.0,
            plan: self.plan,
            key_digests: self.key_digests,
        }
    }
}

/// A change of one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ListEdit {
    /// Adds or replaces a plan.
    PutPlan(PlanDraft),
    /// Removes a plan that no customer has.
    RemovePlan(names::PlanName),
    /// Adds or replaces a customer.
    PutCustomer(CustomerDraft),
    /// Removes a customer.
    RemoveCustomer(names::CustomerName),
}

/// A row's list and name.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RowKey {
    /// A row of the plans' list.
    #[display("plan {_0}")]
    Plan(names::PlanName),
    /// A row of the customers' list.
    #[display("customer {_0}")]
    Customer(names::CustomerName),
}

impl ListEdit {
    /// The row that the edit changes.
    pub fn key(&self) -> RowKey {
        match self {
            Self::PutPlan(draft) => RowKey::Plan(draft.name.clone()),
            Self::RemovePlan(name) => RowKey::Plan(name.clone()),
            Self::PutCustomer(draft) => RowKey::Customer(draft.name.clone()),
            Self::RemoveCustomer(name) => RowKey::Customer(name.clone()),
        }
    }
}

/// One edit as it stands on the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EditRecord {
    /// Identity of the edit.
    pub id: EditId,
    /// Version of the row that the operator saw; see [`RowVersion`].
    pub based_on: RowVersion,
    /// The change.
    pub edit: ListEdit,
}
