//! Scenario `crash-entry`: entries crash, one is suspended, and crashed ones are replaced.

use std::time;

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str =
    "two entries crash, one is suspended for 3 s, and the crashed are replaced";

/// Time for which an entry is suspended.
const PAUSE: time::Duration = time::Duration::from_secs(3);

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    let mut plan = base::scenario(base::MODERATE_LOAD);
    plan.site.double_every = 10;
    plan.script = vec![
        base::step(0.2, plan::SiteAction::KillEntry(0)),
        base::step(
            0.3,
            plan::SiteAction::PauseEntry(base::ENTRIES_PER_DOMAIN, PAUSE),
        ),
        base::step(0.4, plan::SiteAction::ReplaceEntry(0)),
        base::step(
            0.6,
            plan::SiteAction::KillEntry(2 * base::ENTRIES_PER_DOMAIN),
        ),
        base::step(
            0.8,
            plan::SiteAction::ReplaceEntry(2 * base::ENTRIES_PER_DOMAIN),
        ),
    ];
    plan
}
