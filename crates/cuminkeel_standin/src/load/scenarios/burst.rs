//! Scenario `burst`: four times the arrivals for a tenth of the run.

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str = "four times the arrivals for a tenth of the run, from 40% load";

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(0.4);
    plan.workload.burst = Some(plan::BurstPlan {
        from: 0.5,
        to: 0.6,
        factor: 4.0,
    });
    plan
}
