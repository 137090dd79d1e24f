//! Scenario `large-jobs`: jobs of 100 to 850 tasks among short ones.

use std::time;

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str = "jobs of 100 to 850 tasks among short ones";

/// Time for the answer to a large job.
const LARGE_DEADLINE: time::Duration = time::Duration::from_secs(20);

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(0.5);
    plan.workload.shapes.push(plan::JobShape {
        class: "catalogue",
        share: 1,
        tasks: 100..=850,
        work_millis: 50..=100,
        declared_factor: 0.5..=2.0,
        size_millicores: 250..=1_000,
        idempotent: true,
        deadline: LARGE_DEADLINE,
    });
    for shape in &mut plan.workload.shapes {
        if shape.class != "catalogue" {
            shape.share *= 20;
        }
    }
    plan
}
