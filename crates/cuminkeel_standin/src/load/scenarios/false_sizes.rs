//! Scenario `false-sizes`: declared run times from a twentieth to twenty times the true ones.

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str = "declared run times from a twentieth to twenty times the true ones";

/// Plan of the scenario.
pub fn plan(options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(0.6);
    for shape in &mut plan.workload.shapes {
        shape.declared_factor = 0.05..=20.0;
        shape.size_millicores = 10..=options.deployment.max_size_millicores();
    }
    plan
}
