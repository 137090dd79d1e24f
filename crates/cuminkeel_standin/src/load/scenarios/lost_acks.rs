//! Scenario `lost-acks`: acks of appends are lost, and records appear twice and late.

use std::time;

use crate::platform::faults;

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str =
    "acks of appends are lost after the write, then records appear twice, then late";

/// Time after which a late record appears.
const LATE: time::Duration = time::Duration::from_millis(300);
/// The faults strike each n-th append.
const APPEND_EVERY: u64 = 2;

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(0.3);
    let fault = |append| {
        plan::SiteAction::PlatformFaults(faults::PlatformFaults {
            append: Some(append),
            append_every: APPEND_EVERY,
            ..faults::PlatformFaults::default()
        })
    };
    plan.script = vec![
        base::step(0.1, fault(faults::AppendFault::AckLostAfterWrite)),
        base::step(0.3, fault(faults::AppendFault::AckLostBeforeWrite)),
        base::step(0.5, fault(faults::AppendFault::WrittenTwice)),
        base::step(0.7, fault(faults::AppendFault::WrittenLate { delay: LATE })),
    ];
    plan.edits = Some(plan::EditPlan {
        operators: 4,
        rows: 3,
        interval: time::Duration::from_millis(100),
    });
    plan
}
