//! Watches the entries' states during a run.

use std::{collections, sync, time};

use cuminkeel_types::names;

use crate::sync_lock;

use super::{fleet, site};

/// Time between two looks without edits.
pub(super) const SLOW_POLL: time::Duration = time::Duration::from_millis(250);
/// Time between two looks with edits; also the resolution of times in force.
pub(super) const FAST_POLL: time::Duration = time::Duration::from_millis(20);

/// An offset that an entry was first seen at.
#[derive(Clone, Copy, Debug)]
pub(super) struct OffsetSighting {
    pub(super) at: tokio::time::Instant,
    pub(super) offset: u64,
}

/// What was seen of one entry.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryTrace {
    pub(super) last: fleet::EntryStatus,
    pub(super) offsets: Vec<OffsetSighting>,
    pub(super) reverts: u64,
}

impl EntryTrace {
    fn take(&mut self, status: fleet::EntryStatus, at: tokio::time::Instant) {
        if let Some(offset) = status.config_offset {
            match self.offsets.last() {
                Some(last) if offset < last.offset => self.reverts += 1,
                Some(last) if offset == last.offset => {}
                _ => self.offsets.push(OffsetSighting { at, offset }),
            }
        }
        self.last = status;
    }
}

/// Traces of all entries that ever ran.
#[derive(Debug, Default)]
pub(super) struct EntryWatch {
    traces: sync::Mutex<collections::BTreeMap<names::VmName, EntryTrace>>,
}

impl EntryWatch {
    /// Looks at all running entries again and again; ends with its task.
    pub(super) async fn run(
        self: sync::Arc<Self>,
        site: sync::Arc<site::LoadSite>,
        period: time::Duration,
    ) {
        loop {
            self.look(&site).await;
            tokio::time::sleep(period).await;
        }
    }

    /// Looks at all running entries once.
    pub(super) async fn look(&self, site: &sync::Arc<site::LoadSite>) {
        let mut looks = tokio::task::JoinSet::new();
        for entry in site.running() {
            let fleet = site.fleet.clone();
            looks.spawn(async move {
                let status = fleet.status(&entry.vm).await;
                (entry.vm, status, tokio::time::Instant::now())
            });
        }
        while let Some(look) = looks.join_next().await {
            if let Ok((vm, Ok(status), at)) = look {
                let mut traces = sync_lock::lock(&self.traces);
                traces.entry(vm).or_default().take(status, at);
            }
        }
    }

    /// What was seen of each entry.
    pub(super) fn traces(&self) -> collections::BTreeMap<names::VmName, EntryTrace> {
        sync_lock::lock(&self.traces).clone()
    }
}
