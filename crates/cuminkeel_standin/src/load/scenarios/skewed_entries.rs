//! Scenario `skewed-entries`: most requests reach one entry of each failure domain.

use crate::balancer;

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str =
    "most requests reach one entry of each failure domain; one customer wants more than its limit";

/// Weights of the entries of each failure domain.
const ENTRY_WEIGHTS: [u32; base::ENTRIES_PER_DOMAIN] = [8, 1, 1];
/// Concurrent tasks of the limited customer; it wants about twice as many.
const NARROW_LIMIT: u32 = 24;

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(0.8);
    plan.site.spread = balancer::BalancerSpread::Weighted(ENTRY_WEIGHTS.repeat(base::DOMAINS));
    plan.customers = vec![
        plan::CustomerPlan {
            max_concurrent: NARROW_LIMIT,
            ..base::customer("narrow-desk", 2)
        },
        base::customer("wide-desk", 1),
    ];
    plan
}
