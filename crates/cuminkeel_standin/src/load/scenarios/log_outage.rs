//! Scenario `log-outage`: the platform is down for a third of the run, with edits before and after.

use std::time;

use crate::platform::faults;

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str = "the platform is down for a third of the run, with edits all the time";

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(base::MODERATE_LOAD);
    let outage = faults::PlatformFaults {
        outage: true,
        ..faults::PlatformFaults::default()
    };
    plan.script = vec![
        base::step(0.3, plan::SiteAction::PlatformFaults(outage)),
        base::step(
            0.6,
            plan::SiteAction::PlatformFaults(faults::PlatformFaults::default()),
        ),
    ];
    plan.edits = Some(plan::EditPlan {
        operators: 2,
        rows: 2,
        interval: time::Duration::from_millis(100),
    });
    plan
}
