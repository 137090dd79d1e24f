//! Scenario `steady`: equal servers at 60% and 85% load.

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str = "equal servers at 60% and 85% load";

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(0.6);
    plan.site = base::site(&[1.0; base::SERVERS_PER_DOMAIN]);
    plan.workload.loads = vec![0.6, 0.85];
    plan
}
