//! Scenario `overload`: twice the work that the servers can do.

use super::super::plan;
use super::base;

/// What the scenario does.
pub const SUMMARY: &str = "twice the work that the servers can do";

/// Plan of the scenario.
pub fn plan(_options: &plan::LoadOptions) -> plan::ScenarioPlan {
    base::scenario(2.0)
}
