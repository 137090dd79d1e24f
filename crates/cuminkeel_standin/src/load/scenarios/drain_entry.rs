//! Scenario `drain-entry`: an entry of each failure domain is drained under load.

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str = "one entry of each failure domain is drained under load";

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(0.6);
    plan.site.double_every = 10;
    plan.script = [0.3, 0.5, 0.7]
        .into_iter()
        .enumerate()
        .map(|(domain, at)| {
            let entry = domain * base::ENTRIES_PER_DOMAIN;
            base::step(at, plan::SiteAction::DrainEntry(entry))
        })
        .collect();
    plan
}
