//! Scenario `rolling-replace`: every entry is replaced, one after the other, under edits.

use std::time;

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str = "every entry is replaced, one after the other, under edits";

/// Begin and span of the replacements, as shares of the run.
const FIRST_AT: f64 = 0.1;
/// Share of the run that the replacements take.
const SPAN: f64 = 0.8;

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(0.4);
    let entries = base::DOMAINS * base::ENTRIES_PER_DOMAIN;
    for entry in 0..entries {
        let at = FIRST_AT + SPAN * entry as f64 / entries as f64;
        plan.script
            .push(base::step(at, plan::SiteAction::DrainEntry(entry)));
        plan.script
            .push(base::step(at, plan::SiteAction::ReplaceEntry(entry)));
    }
    plan.edits = Some(plan::EditPlan {
        operators: 2,
        rows: 2,
        interval: time::Duration::from_millis(200),
    });
    plan
}
