//! Scenario `partner-leaves`: the partner firm of half of the servers leaves.

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str = "the partner firm of half of the servers leaves";

/// Partner firm that leaves.
const LEAVING_PARTNER: &str = "partner-b";

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(0.35);
    for (position, server) in plan.site.servers.iter_mut().enumerate() {
        if position % 2 == 1 {
            server.partner = LEAVING_PARTNER;
        }
    }
    plan.script = vec![base::step(
        0.25,
        plan::SiteAction::PartnerLeaves(LEAVING_PARTNER),
    )];
    plan
}
