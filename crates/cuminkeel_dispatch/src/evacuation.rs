//! Failure domains that the operator has evacuated: no task may start on their backend servers.

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

/// Evacuated failure domains as of an offset of the operator's log.
///
/// The offsets order all states: a state with a higher one is newer, wherever it comes from.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationState {
    /// Offset of the log up to which all records are included; 0 if the log was not read.
    pub as_of: u64,
    /// Names of the evacuated failure domains.
    pub domains: BTreeSet<Arc<str>>,
}

impl EvacuationState {
    /// Whether `failure_domain` is evacuated.
    pub fn contains(&self, failure_domain: &str) -> bool {
        self.domains.contains(failure_domain)
    }

    /// Replaces the state by `candidate` if that is newer. Returns whether the set of domains has
    /// changed.
    pub fn adopt_newer(&mut self, candidate: Self) -> bool {
        if candidate.as_of <= self.as_of {
            return false;
        }
        let has_changed = candidate.domains != self.domains;
        *self = candidate;
        has_changed
    }
}
