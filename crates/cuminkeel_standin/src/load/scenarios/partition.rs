//! Scenario `partition`: a failure domain is cut off from the platform and the others.

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str =
    "one failure domain is cut off from the platform and from the others for half of the run";

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(base::MODERATE_LOAD);
    plan.site.double_every = 10;
    plan.script = vec![
        base::step(0.25, plan::SiteAction::CutDomain(0, true)),
        base::step(0.75, plan::SiteAction::CutDomain(0, false)),
    ];
    plan
}
