//! Scenario `rival-desks`: four customers of equal weight, all above their fair share.

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str =
    "four customers of equal weight at 200% load, one of them with twice the demand of each other";

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(2.0);
    plan.customers = vec![
        base::customer("own-desk", 2),
        base::customer("rival-desk-1", 1),
        base::customer("rival-desk-2", 1),
        base::customer("rival-desk-3", 1),
    ];
    plan
}
