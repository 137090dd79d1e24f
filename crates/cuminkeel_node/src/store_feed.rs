//! What the store says: configuration, registry of backend servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time,
};

use platform_adapter::{registry, store};

use crate::{link_reconciler, node_state, pool_driver};

/// Time for the store's answer beyond what was asked to wait: it may be slow by a factor of 60.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Part of the time for a configuration to be in force, in percent, for which a read waits.
/// A silent connection is given up `STORE_TIMEOUT` later, and there is time for another read.
const CONFIG_WAIT_PERCENT: u32 = 35;
/// Pause after a failed call.
pub(crate) const RETRY_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Time between reads of the registry by the process that leads: a draining server gets
/// no work after two seconds.
const LEADER_POLL: time::Duration = time::Duration::from_millis(600);
/// Time between reads of the registry by the others.
const FOLLOWER_POLL: time::Duration = time::Duration::from_millis(1_500);
/// Time after an outage of the store in which lapsed entries may come back; a platform bound
/// of two seconds, and a poll.
const LAPSE_GRACE: time::Duration = time::Duration::from_millis(2_600);

/// The store of this deployment.
pub(crate) fn client(node: &node_state::NodeState) -> store::StoreClient {
    store::StoreClient::new(&node.settings.store_address, STORE_TIMEOUT)
}

/// Notes a call without an answer.
pub(crate) fn record_failure(
    node: &node_state::NodeState,
    what: &'static str,
    failures: &mut u32,
    failure: &store::StoreError,
) {
    *failures += 1;
    if *failures == 1 {
        slog::warn!(node.logger, "store_lost"; "feed" => what, "error" => %failure);
    }
    node.metrics.count_store_failure(what);
}

/// Notes an answer, and what of it can't be read.
pub(crate) fn record_success(
    node: &node_state::NodeState,
    what: &'static str,
    failures: &mut u32,
    batch: &store::RecordBatch,
) {
    if batch.unreadable_count > 0 {
        slog::warn!(node.logger, "records_unreadable"; "feed" => what,
            "records" => batch.unreadable_count);
    }
    if *failures > 0 {
        slog::info!(node.logger, "store_regained"; "feed" => what, "failures" => *failures);
    }
    *failures = 0;
}

/// Follows the operator's configuration.
pub async fn follow_config(node: Arc<node_state::NodeState>) {
    let store = client(&node);
    let wait = node.settings.config_apply * CONFIG_WAIT_PERCENT / 100;
    let mut offset = None;
    let mut failures = 0;
    loop {
        let batch = match offset {
            None => store.read_newest(store::OPERATOR_TOPIC).await,
            Some(offset) => store.read_from(store::OPERATOR_TOPIC, offset, wait).await,
        };
        match batch {
            Ok(batch) => {
                record_success(&node, "config", &mut failures, &batch);
                offset = Some(batch.next_offset);
                for record in batch.records {
                    if &*record.key == store::CONFIG_KEY
                        && let Some(value) = record.value
                    {
                        node.adopt_newer_config(value, "store");
                    }
                }
            }
            Err(store::StoreError::OffsetDeleted) => offset = None,
            Err(failure) => {
                record_failure(&node, "config", &mut failures, &failure);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Entries that the store dropped while it may not have heard from their servers.
#[derive(Debug, Default)]
pub struct PendingRemovals {
    away_until: Option<time::Duration>,
    missing: BTreeMap<Arc<str>, time::Duration>,
}

impl PendingRemovals {
    /// The store didn't answer at `now`.
    pub fn note_outage(&mut self, now: time::Duration) {
        self.away_until = Some(now);
    }

    /// An entry was dropped; returns whether its server is gone for certain.
    pub fn note_dropped(&mut self, server: &Arc<str>, now: time::Duration) -> bool {
        match self.away_until {
            Some(until) if now < until + LAPSE_GRACE => {
                self.missing.insert(Arc::clone(server), until + LAPSE_GRACE);
                false
            }
            _ => true,
        }
    }

    /// An entry is back.
    pub fn note_listed(&mut self, server: &str) {
        self.missing.remove(server);
    }

    /// Servers whose entries have not come back in time.
    pub fn take_gone(&mut self, now: time::Duration) -> Vec<Arc<str>> {
        let gone: Vec<Arc<str>> = self
            .missing
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(server, _)| Arc::clone(server))
            .collect();
        for server in &gone {
            self.missing.remove(server);
        }
        gone
    }
}

struct RegistryFeed {
    node: Arc<node_state::NodeState>,
    known: BTreeSet<Arc<str>>,
    lapsed: PendingRemovals,
}

/// Follows the registry of backend servers.
pub async fn follow_registry(node: Arc<node_state::NodeState>) {
    let store = client(&node);
    let mut offset = None;
    let mut failures = 0;
    let mut feed = RegistryFeed {
        node,
        known: BTreeSet::new(),
        lapsed: PendingRemovals::default(),
    };
    loop {
        feed.wait_for_office().await;
        let snapshot = offset.is_none();
        let batch = match offset {
            None => store.read_newest(store::REGISTRY_TOPIC).await,
            Some(offset) => {
                store
                    .read_from(store::REGISTRY_TOPIC, offset, time::Duration::ZERO)
                    .await
            }
        };
        let now = feed.node.now();
        match batch {
            Ok(batch) => {
                record_success(&feed.node, "registry", &mut failures, &batch);
                offset = Some(batch.next_offset);
                if feed.known.is_empty() {
                    // Before the start the store may have been away, or servers cut off from it.
                    feed.node.pool.apply_registry_change(
                        pool_driver::RegistryChange::IncompleteUntil(now + LAPSE_GRACE),
                    );
                }
                feed.take_records(batch.records, snapshot, now);
            }
            Err(store::StoreError::OffsetDeleted) => {
                offset = None;
                continue;
            }
            Err(failure) => {
                record_failure(&feed.node, "registry", &mut failures, &failure);
                feed.lapsed.note_outage(now);
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        }
        let leads = feed.node.own_status().held_servers > 0;
        tokio::time::sleep(if leads { LEADER_POLL } else { FOLLOWER_POLL }).await;
    }
}

impl RegistryFeed {
    /// Waits until this process leads or may soon lead. Others spare the store their reads.
    async fn wait_for_office(&self) {
        let node = &self.node;
        let mut changes = node.peer_changes();
        while !link_reconciler::should_read_registry(node) {
            // An error means that the process ends.
            let _changed = changes.changed().await;
        }
    }

    fn take_records(
        &mut self,
        records: Vec<store::KeyedRecord>,
        snapshot: bool,
        now: time::Duration,
    ) {
        // Only the newest record of a key counts.
        let newest: BTreeMap<Arc<str>, Option<bytes::Bytes>> = records
            .into_iter()
            .map(|record| (record.key, record.value))
            .collect();
        if snapshot {
            let missing: Vec<Arc<str>> = self
                .known
                .iter()
                .filter(|server| !newest.contains_key(*server))
                .cloned()
                .collect();
            for server in missing {
                self.drop_entry(&server, now);
            }
        }
        for (server, value) in newest {
            match value {
                Some(value) => self.take_entry(&server, &value),
                None => self.drop_entry(&server, now),
            }
        }
        for server in self.lapsed.take_gone(now) {
            self.unlist(&server);
        }
    }

    fn take_entry(&mut self, server: &Arc<str>, value: &[u8]) {
        match registry::decode_entry(server, value) {
            Ok(entry) if entry.failure_domain == self.node.hello.failure_domain => {
                self.lapsed.note_listed(server);
                self.known.insert(Arc::clone(server));
                self.node
                    .pool
                    .apply_registry_change(pool_driver::RegistryChange::Updated(entry));
            }
            Ok(_) => {}
            Err(failure) => {
                slog::info!(self.node.logger, "registry_entry_ignored";
                    "server" => &**server, "error" => %failure);
            }
        }
    }

    fn drop_entry(&mut self, server: &Arc<str>, now: time::Duration) {
        if self.known.contains(server) && self.lapsed.note_dropped(server, now) {
            self.unlist(server);
        }
    }

    fn unlist(&mut self, server: &Arc<str>) {
        self.known.remove(server);
        self.node
            .pool
            .apply_registry_change(pool_driver::RegistryChange::Removed(Arc::clone(server)));
    }
}
