//! The lists in force on this entry, indexed for look-ups by each request.

use std::{collections, sync, time};

use cuminkeel_config::lists;
use cuminkeel_dispatch::event;
use cuminkeel_types::{job, names, outcome};

/// Time after which a caller should try again when an entry has no lists yet.
const NO_CONFIGURATION_RETRY: time::Duration = time::Duration::from_secs(1);

/// The lists at one offset, with an index of API keys.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    lists: sync::Arc<lists::ConfigLists>,
    customers_by_digest: collections::HashMap<String, names::CustomerName>,
}

impl ConfigView {
    /// Indexes the lists.
    pub fn new(lists: sync::Arc<lists::ConfigLists>) -> Self {
        let customers_by_digest = lists
            .customers
            .values()
            .flat_map(|row| {
                row.key_digests
                    .iter()
                    .map(|digest| (digest.clone(), row.name.clone()))
            })
            .collect();
        Self {
            lists,
            customers_by_digest,
        }
    }

    /// The lists themselves.
    pub fn lists(&self) -> &sync::Arc<lists::ConfigLists> {
        &self.lists
    }

    /// Finds the customer whose API key this is.
    ///
    /// # Errors
    /// `no_configuration` before the first lists arrived, else `unauthorized`.
    pub fn authenticate(&self, api_key: &str) -> Result<names::CustomerName, outcome::Refusal> {
        let digest = blake3::hash(api_key.as_bytes()).to_hex();
        match self.customers_by_digest.get(digest.as_str()) {
            Some(customer) => Ok(customer.clone()),
            None if self.lists.offset == 0 => Err(outcome::Refusal::not_run(
                outcome::RefusalCode::NoConfiguration,
                "this entry has not read the customers' list yet",
            )
            .retry_after(NO_CONFIGURATION_RETRY)),
            None => Err(outcome::Refusal::not_run(
                outcome::RefusalCode::Unauthorized,
                "the API key matches no customer; send it as `authorization: Bearer KEY`",
            )),
        }
    }

    /// Checks that the customer's plan allows every task of a job.
    ///
    /// # Errors
    /// `not_in_plan`, naming the first task that is not allowed.
    pub fn check_plan(&self, spec: &job::JobSpec) -> Result<(), outcome::Refusal> {
        let plan = self
            .lists
            .customers
            .get(&spec.customer)
            .and_then(|customer| self.lists.plans.get(&customer.plan));
        let Some(plan) = plan else {
            return Err(outcome::Refusal::not_run(
                outcome::RefusalCode::NotInPlan,
                "the customer has no plan",
            ));
        };
        let refused = spec
            .tasks
            .iter()
            .enumerate()
            .find(|(_, task)| !plan.classes.is_empty() && !plan.classes.contains(&task.class));
        match refused {
            None => Ok(()),
            Some((position, task)) => Err(outcome::Refusal::not_run(
                outcome::RefusalCode::NotInPlan,
                format!(
                    "tasks[{position}].class: plan {} does not include class {}",
                    plan.name, task.class
                ),
            )),
        }
    }

    /// The terms of all customers, for dispatch.
    pub fn terms(&self) -> Vec<event::CustomerTerms> {
        self.lists
            .customers
            .values()
            .filter_map(|customer| {
                let plan = self.lists.plans.get(&customer.plan)?;
                Some(event::CustomerTerms {
                    customer: customer.name.clone(),
                    weight: plan.weight,
                    max_concurrent: Some(plan.max_concurrent_tasks),
                    max_starts_per_second: Some(plan.max_task_starts_per_second),
                })
            })
            .collect()
    }
}
