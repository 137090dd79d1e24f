//! Versions of rows that were removed.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::edit;

/// Removed rows whose version is kept by name, for each list.
pub(crate) const MAX_REMOVED_ROWS: usize = 1_024;

/// Versions of removed rows. Bounded: the row with the lowest version is
/// dropped first, and all absent rows count at least from its version on, so a
/// version never comes twice under one name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct RemovedRows<N: Ord> {
    versions: collections::BTreeMap<N, edit::RowVersion>,
    floor: edit::RowVersion,
}

impl<N: Ord> Default for RemovedRows<N> {
    fn default() -> Self {
        Self {
            versions: collections::BTreeMap::new(),
            floor: edit::RowVersion::default(),
        }
    }
}

impl<N: Clone + Ord> RemovedRows<N> {
    /// Version that an edit of the absent row must be based on.
    pub(crate) fn version(&self, name: &N) -> edit::RowVersion {
        let version = self.versions.get(name).copied().unwrap_or_default();
        version.max(self.floor)
    }

    /// Notes a removal.
    pub(crate) fn insert(&mut self, name: N, version: edit::RowVersion) {
        self.versions.insert(name, version);
        if self.versions.len() > MAX_REMOVED_ROWS {
            self.drop_lowest();
        }
    }

    /// Forgets a name that stands again.
    pub(crate) fn remove(&mut self, name: &N) {
        self.versions.remove(name);
    }

    fn drop_lowest(&mut self) {
        let lowest = self.versions.iter().min_by_key(|(_, version)| **version);
        let Some((name, version)) = lowest.map(|(name, version)| (name.clone(), *version)) else {
            return;
        };
        self.versions.remove(&name);
        self.floor = self.floor.max(version);
    }
}
