//! Changes as operators state them, before they know the row.

use cuminkeel_types::names;
use derive_more::{Display, Error};

use crate::{edit, verdict};

/// Fields of a plan to set; none leaves a field as it stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanChange {
    /// Name of the plan.
    pub name: names::PlanName,
    /// See [`edit::PlanDraft::weight`].
    pub weight: Option<u32>,
    /// See [`edit::PlanDraft::max_concurrent_tasks`].
    pub max_concurrent_tasks: Option<u32>,
    /// See [`edit::PlanDraft::max_task_starts_per_second`].
    pub max_task_starts_per_second: Option<u32>,
    /// See [`edit::PlanDraft::classes`].
    pub classes: Option<Vec<names::ClassName>>,
}

/// Fields of a customer to set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CustomerChange {
    /// Name of the customer.
    pub name: names::CustomerName,
    /// Its plan; none leaves it as it stands.
    pub plan: Option<names::PlanName>,
    /// Key digests to add.
    pub added_digests: Vec<String>,
    /// Key digests to drop.
    pub dropped_digests: Vec<String>,
}

/// A change of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowChange {
    /// Adds a plan or sets fields of it.
    SetPlan(PlanChange),
    /// Removes a plan.
    RemovePlan(names::PlanName),
    /// Adds a customer or sets fields of it.
    SetCustomer(CustomerChange),
    /// Removes a customer.
    RemoveCustomer(names::CustomerName),
}

/// Why a change can't become an edit.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum ChangeError {
    /// A new row needs a field that was not given.
    #[display("a new row needs {field}")]
    MissingField {
        /// The field.
        field: ChangeField,
    },
}

/// A field that a new row needs.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ChangeField {
    /// Tasks at once.
    #[display("--max-concurrent")]
    MaxConcurrent,
    /// Task starts per second.
    #[display("--max-starts-per-second")]
    MaxStartsPerSecond,
    /// Plan of a customer.
    #[display("--plan")]
    Plan,
}

/// Weight of a new plan when none is given.
const DEFAULT_WEIGHT: u32 = 1;

impl RowChange {
    /// The row that it changes.
    pub fn key(&self) -> edit::RowKey {
        match self {
            Self::SetPlan(change) => edit::RowKey::Plan(change.name.clone()),
            Self::RemovePlan(name) => edit::RowKey::Plan(name.clone()),
            Self::SetCustomer(change) => edit::RowKey::Customer(change.name.clone()),
            Self::RemoveCustomer(name) => edit::RowKey::Customer(name.clone()),
        }
    }

    /// The edit that makes this change to the row as it stands.
    ///
    /// # Errors
    /// [`ChangeError::MissingField`] for a new row that lacks a field.
    pub fn resolve(&self, standing: &verdict::RowState) -> Result<edit::ListEdit, ChangeError> {
        match self {
            Self::SetPlan(change) => change.resolve(standing).map(edit::ListEdit::PutPlan),
            Self::RemovePlan(name) => Ok(edit::ListEdit::RemovePlan(name.clone())),
            Self::SetCustomer(change) => change.resolve(standing).map(edit::ListEdit::PutCustomer),
            Self::RemoveCustomer(name) => Ok(edit::ListEdit::RemoveCustomer(name.clone())),
        }
    }
}

impl PlanChange {
    fn resolve(&self, standing: &verdict::RowState) -> Result<edit::PlanDraft, ChangeError> {
        let row = match standing {
            verdict::RowState::Plan(row) => Some(row),
            _ => None,
        };
        let concurrent = row.map(|row| row.max_concurrent_tasks);
        let starts = row.map(|row| row.max_task_starts_per_second);
        let weight = row.map(|row| row.weight);
        let classes = row.map(|row| row.classes.clone());
        Ok(edit::PlanDraft {
            name: self.name.clone(),
            weight: self.weight.or(weight).unwrap_or(DEFAULT_WEIGHT),
            max_concurrent_tasks: needed(
                self.max_concurrent_tasks.or(concurrent),
                ChangeField::MaxConcurrent,
            )?,
            max_task_starts_per_second: needed(
                self.max_task_starts_per_second.or(starts),
                ChangeField::MaxStartsPerSecond,
            )?,
            classes: self.classes.clone().or(classes).unwrap_or_default(),
        })
    }
}

impl CustomerChange {
    fn resolve(&self, standing: &verdict::RowState) -> Result<edit::CustomerDraft, ChangeError> {
        let row = match standing {
            verdict::RowState::Customer(row) => Some(row),
            _ => None,
        };
        let plan = self.plan.clone().or(row.map(|row| row.plan.clone()));
        let mut key_digests = row.map(|row| row.key_digests.clone()).unwrap_or_default();
        key_digests.retain(|digest| !self.dropped_digests.contains(digest));
        for digest in &self.added_digests {
            if !key_digests.contains(digest) {
                key_digests.push(digest.clone());
            }
        }
        Ok(edit::CustomerDraft {
            name: self.name.clone(),
            plan: needed(plan, ChangeField::Plan)?,
            key_digests,
        })
    }
}

fn needed<T>(value: Option<T>, field: ChangeField) -> Result<T, ChangeError> {
    value.ok_or(ChangeError::MissingField { field })
}
