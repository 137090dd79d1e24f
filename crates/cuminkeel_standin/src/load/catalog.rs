//! The table of all scenarios.

use super::{error, plan, scenarios};

/// One scenario.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioEntry {
    /// Name on the command line.
    pub name: &'static str,
    /// What it does, in a line.
    pub summary: &'static str,
    /// Makes its plan.
    pub plan: fn(&plan::LoadOptions) -> plan::ScenarioPlan,
}

macro_rules! entry {
    ($name:literal, $module:ident) => {
        ScenarioEntry {
            name: $name,
            summary: scenarios::$module::SUMMARY,
            plan: scenarios::$module::plan,
        }
    };
}

/// All scenarios, in the order in which they are listed.
pub const SCENARIOS: [ScenarioEntry; 19] = [
    entry!("steady", steady),
    entry!("mixed-speed", mixed_speed),
    entry!("burst", burst),
    entry!("large-jobs", large_jobs),
    entry!("rival-desks", rival_desks),
    entry!("false-sizes", false_sizes),
    entry!("black-hole", black_hole),
    entry!("straggler", straggler),
    entry!("overload", overload),
    entry!("skewed-entries", skewed_entries),
    entry!("cancel-wave", cancel_wave),
    entry!("drain-entry", drain_entry),
    entry!("crash-entry", crash_entry),
    entry!("partner-leaves", partner_leaves),
    entry!("partition", partition),
    entry!("log-outage", log_outage),
    entry!("config-race", config_race),
    entry!("lost-acks", lost_acks),
    entry!("rolling-replace", rolling_replace),
];

/// Finds a scenario by its name.
///
/// # Errors
/// [`error::LoadError::UnknownScenario`].
pub fn find(name: &str) -> Result<ScenarioEntry, error::LoadError> {
    SCENARIOS
        .iter()
        .find(|scenario| scenario.name == name)
        .copied()
        .ok_or_else(|| error::LoadError::UnknownScenario { name: name.into() })
}
