//! Scenario `cancel-wave`: most jobs of a while are cancelled at once.

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str = "70% of the jobs of a fifth of the run are cancelled at once";

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(1.2);
    plan.workload.cancel = Some(plan::CancelPlan {
        from: 0.4,
        at: 0.6,
        share: 0.7,
    });
    plan
}
