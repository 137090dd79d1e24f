//! Scenario `config-race`: operators race with edits of the same rows.

use std::time;

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str = "eight operators race with edits of two rows";

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(0.3);
    plan.edits = Some(plan::EditPlan {
        operators: 8,
        rows: 2,
        interval: time::Duration::from_millis(100),
    });
    plan
}
