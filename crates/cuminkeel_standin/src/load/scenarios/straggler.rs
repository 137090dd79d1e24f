//! Scenario `straggler`: a server in each failure domain becomes ten times slower.

use crate::backend::faults;

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str = "one server of each failure domain becomes ten times slower";

/// Begin of the fault, as a share of the run.
const FAULT_AT: f64 = 0.3;
/// Factor on the run times.
const SLOW_FACTOR: f64 = 10.0;

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(base::MODERATE_LOAD);
    plan.script = (0..base::DOMAINS)
        .map(|domain| {
            let server = domain * base::SERVERS_PER_DOMAIN;
            let fault = Some(faults::BackendFault::Slow {
                factor: SLOW_FACTOR,
            });
            base::step(FAULT_AT, plan::SiteAction::ServerFault(server, fault))
        })
        .collect();
    plan
}
