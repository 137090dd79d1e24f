//! Scenario `black-hole`: a server in each failure domain fails all it starts, at once.

use crate::backend::faults;

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str = "one server of each failure domain fails all it starts, at once";

/// Begin of the fault, as a share of the run.
const FAULT_AT: f64 = 0.3;

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(base::MODERATE_LOAD);
    plan.script = (0..base::DOMAINS)
        .map(|domain| {
            let server = domain * base::SERVERS_PER_DOMAIN;
            let fault = Some(faults::BackendFault::FailAll);
            base::step(FAULT_AT, plan::SiteAction::ServerFault(server, fault))
        })
        .collect();
    plan
}
