//! Reader of the store's topic for the registry of backend servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time,
};

use cuminkeel_dispatch::{pool_action, read_progress, server_model, settings};
use platform_adapter::{registry, store};

use crate::{link_reconciler, node_state, pool_driver, store_feed};

/// Interval between reads of the registry by a process that holds no servers.
const STANDBY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(1_500);

/// Number of records before a first snapshot that are read for each of its servers. A server writes one
/// in each heartbeat interval, so these are of about the last four in which the store was up. Entries that
/// lapsed earlier are not found.
const HISTORY_RECORDS_PER_SERVER: usize = 4;

/// Maximum number of servers that one log line names. After an outage of the store, the entries of all servers
/// of a failure domain may be removed at once.
const MAX_LOGGED_SERVERS: usize = 64;

/// Servers whose registry entries the store removed during or soon after an outage, when it may
/// have missed that the servers renewed them.
#[derive(Debug, Default)]
pub struct PendingRemovals {
    last_outage: Option<time::Duration>,
    removal_due: BTreeMap<Arc<str>, time::Duration>,
}

impl PendingRemovals {
    /// Records that a request to the store failed at `now`.
    pub fn record_outage(&mut self, now: time::Duration) {
        self.last_outage = Some(now);
    }

    /// Records that the store removed the entry of `server`. Returns whether the removal takes
    /// effect now, because there was no recent outage.
    pub fn record_removal(&mut self, server: &Arc<str>, now: time::Duration) -> bool {
        match self.last_outage {
            Some(outage) if now < outage + settings::REREGISTRATION_GRACE => {
                self.removal_due
                    .insert(Arc::clone(server), outage + settings::REREGISTRATION_GRACE);
                false
            }
            _ => true,
        }
    }

    /// Records that the store has an entry of `server` again. Returns whether its removal was held back.
    pub fn record_registered(&mut self, server: &str) -> bool {
        self.removal_due.remove(server).is_some()
    }

    /// Whether the removal of `server` is held back.
    pub fn contains(&self, server: &str) -> bool {
        self.removal_due.contains_key(server)
    }

    /// Returns the number of removals that are held back.
    pub fn len(&self) -> usize {
        self.removal_due.len()
    }

    /// Whether no removal is held back.
    pub fn is_empty(&self) -> bool {
        self.removal_due.is_empty()
    }

    /// Returns the time of the last failed request, after which removals are held back.
    pub fn last_outage(&self) -> Option<time::Duration> {
        self.last_outage
    }

    /// Removes and returns the servers that have not registered again in time.
    pub fn take_confirmed(&mut self, now: time::Duration) -> Vec<Arc<str>> {
        let confirmed: Vec<Arc<str>> = self
            .removal_due
            .iter()
            .filter(|(_, due)| **due <= now)
            .map(|(server, _)| Arc::clone(server))
            .collect();
        for server in &confirmed {
            self.removal_due.remove(server);
        }
        confirmed
    }
}

/// Whether entries of servers that live may be missing from a snapshot, if `asked_count` records before it were asked
/// for, and `read_count` of them were read, after which the entries of `lapsed_count` servers had lapsed.
pub fn shows_missing_entries(asked_count: usize, read_count: usize, lapsed_count: usize) -> bool {
    read_count == 0 || read_count < asked_count || lapsed_count > 0
}

/// Servers of one batch of records whose removals are held back, or were until then.
#[derive(Debug, Default)]
struct HeldRemovals {
    begun: Vec<Arc<str>>,
    cancelled: Vec<Arc<str>>,
    applied: Vec<Arc<str>>,
}

struct RegistryFeed {
    node: Arc<node_state::NodeState>,
    /// Servers of the local failure domain with an entry, or with a removal that is pending, and whether
    /// they are draining.
    registered: BTreeMap<Arc<str>, bool>,
    /// Servers of them that declare figures which are not believed.
    implausible: BTreeSet<Arc<str>>,
    pending_removals: PendingRemovals,
    /// Changes of `pending_removals` that are not logged yet.
    held_removals: HeldRemovals,
    view: server_model::RegistryView,
}

/// Passes changes of the registry of backend servers to the pool until the process ends.
pub async fn follow_registry(node: Arc<node_state::NodeState>) {
    let store = store_feed::client(&node);
    let mut offset = None;
    let mut consecutive_failures = 0;
    let mut feed = RegistryFeed {
        node,
        registered: BTreeMap::new(),
        implausible: BTreeSet::new(),
        pending_removals: PendingRemovals::default(),
        held_removals: HeldRemovals::default(),
        view: server_model::RegistryView::default(),
    };
    loop {
        feed.wait_until_needed().await;
        feed.log_age_change(consecutive_failures);
        let is_snapshot = offset.is_none();
        let started_at = feed.node.now();
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
                store_feed::record_success(
                    &feed.node,
                    "registry",
                    &mut consecutive_failures,
                    &batch,
                );
                offset = Some(batch.next_offset);
                let lacks_earlier_entries = is_snapshot || feed.registered.is_empty();
                if lacks_earlier_entries && feed.entries_may_be_missing(&store, &batch).await {
                    feed.node.pool.apply_registry_change(
                        pool_driver::RegistryChange::IncompleteUntil(
                            now + settings::REREGISTRATION_GRACE,
                        ),
                    );
                }
                // The pool may take over as soon as it has the entries.
                feed.publish_view(now);
                feed.apply_records(batch.records, is_snapshot, now);
                feed.log_held_removals(now);
                feed.publish_view(now);
                feed.node
                    .registry_progress()
                    .set_next_offset(Some(batch.next_offset));
                if batch.next_offset < batch.end_offset {
                    // The response has as many records as fit, so the entries read are not the newest.
                    continue;
                }
                feed.node.registry_progress().record_read(started_at);
                feed.node
                    .pool
                    .apply_registry_change(pool_driver::RegistryChange::Read(started_at));
            }
            Err(store::StoreError::OffsetDeleted) => {
                offset = None;
                continue;
            }
            Err(error) => {
                store_feed::record_failure(
                    &feed.node,
                    "registry",
                    &mut consecutive_failures,
                    &error,
                );
                feed.pending_removals.record_outage(now);
                tokio::time::sleep(store_feed::RETRY_PAUSE).await;
                continue;
            }
        }
        let holds_servers = feed.node.own_status().held_servers > 0;
        let pause = if holds_servers {
            settings::LEADER_POLL_INTERVAL
        } else {
            STANDBY_POLL_INTERVAL
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = feed.node.registry_read_requested() => {}
        }
    }
}

/// Returns the servers of `failure_domain` whose entries were removed according to `history`, records of
/// the registry in their order, and not written again. Left out are servers that had announced that
/// they would leave. A server counts as one of the domain if the history doesn't show its domain.
pub fn lapsed_servers<'a>(
    history: &'a [store::KeyedRecord],
    failure_domain: &str,
) -> Vec<&'a Arc<str>> {
    let mut last_entries: BTreeMap<&Arc<str>, server_model::ServerEntry> = BTreeMap::new();
    let mut removed: BTreeSet<&Arc<str>> = BTreeSet::new();
    for record in history {
        let entry = record
            .value
            .as_ref()
            .map(|value| registry::decode_entry(&record.key, value));
        match entry {
            Some(Ok(entry)) => {
                removed.remove(&record.key);
                last_entries.insert(&record.key, entry);
            }
            // An entry that can't be decoded names no server to use.
            Some(Err(_)) => {}
            None => {
                removed.insert(&record.key);
            }
        }
    }
    removed
        .into_iter()
        .filter(|server| {
            last_entries
                .get(*server)
                .is_none_or(|entry| &*entry.failure_domain == failure_domain && !entry.draining)
        })
        .collect()
}

/// Returns the names of `servers` for a log line, at most [`MAX_LOGGED_SERVERS`] of them.
fn name_list<S: AsRef<str>>(servers: &[S]) -> String {
    let names: Vec<&str> = servers
        .iter()
        .take(MAX_LOGGED_SERVERS)
        .map(AsRef::as_ref)
        .collect();
    names.join(",")
}

impl RegistryFeed {
    /// Whether servers that live may be missing from `snapshot`, of which this process has not read the records
    /// before it: an outage of the store, or between it and the servers, may just have emptied it. The
    /// records before the snapshot show entries that lapsed; without them nothing is known.
    async fn entries_may_be_missing(
        &mut self,
        store: &store::StoreClient,
        snapshot: &store::RecordBatch,
    ) -> bool {
        let end_offset = snapshot.next_offset;
        let record_count =
            u64::try_from(snapshot.records.len() * HISTORY_RECORDS_PER_SERVER).unwrap_or(u64::MAX);
        let first_offset = end_offset.saturating_sub(record_count);
        let asked_count = usize::try_from(end_offset - first_offset).unwrap_or(usize::MAX);
        self.view.history_asked = asked_count;
        self.view.history_read = 0;
        match store
            .read_range(store::REGISTRY_TOPIC, first_offset, end_offset)
            .await
        {
            Ok(history) => {
                let lapsed = lapsed_servers(&history, &self.node.hello.failure_domain);
                slog::info!(self.node.logger, "registry_history"; "asked" => asked_count,
                    "records" => history.len(), "lapsed_servers" => lapsed.len(),
                    "servers" => name_list(&lapsed));
                self.view.history_read = history.len();
                shows_missing_entries(asked_count, history.len(), lapsed.len())
            }
            Err(error) => {
                slog::info!(self.node.logger, "registry_history_unread"; "error" => %error);
                true
            }
        }
    }

    /// Waits until this process leads or may soon lead. Other processes don't read the registry,
    /// which limits the load on the store.
    async fn wait_until_needed(&self) {
        let node = &self.node;
        let mut changes = node.peer_changes();
        while !link_reconciler::should_read_registry(node) {
            // An error means that the process ends.
            let _changed = changes.changed().await;
        }
    }

    fn apply_records(
        &mut self,
        records: Vec<store::KeyedRecord>,
        is_snapshot: bool,
        now: time::Duration,
    ) {
        let mut records_by_server: BTreeMap<Arc<str>, Vec<Option<bytes::Bytes>>> = BTreeMap::new();
        for record in records {
            let server_records = records_by_server.entry(record.key).or_default();
            server_records.push(record.value);
        }
        if is_snapshot {
            let missing: Vec<Arc<str>> = self
                .registered
                .keys()
                .filter(|server| !records_by_server.contains_key(*server))
                .cloned()
                .collect();
            for server in missing {
                self.handle_removed_entry(&server, now);
            }
        }
        for (server, values) in records_by_server {
            self.apply_server_records(&server, values, now);
        }
        for server in self.pending_removals.take_confirmed(now) {
            self.remove_server(&server);
            self.held_removals.applied.push(server);
        }
    }

    /// Applies the records of `server` in one batch, in their order; without a value, a record removes the entry. Only
    /// the last entry counts, also if it was removed later: a process that has read it may use the server.
    fn apply_server_records(
        &mut self,
        server: &Arc<str>,
        values: Vec<Option<bytes::Bytes>>,
        now: time::Duration,
    ) {
        let mut is_removed = false;
        for value in values.into_iter().rev() {
            match value {
                None => is_removed = true,
                Some(value) if self.apply_entry(server, &value) => break,
                Some(_) => {}
            }
        }
        if is_removed {
            self.handle_removed_entry(server, now);
        }
    }

    /// Logs the removals that the last batch of records held back, cancelled or let take effect.
    fn log_held_removals(&mut self, now: time::Duration) {
        let held = std::mem::take(&mut self.held_removals);
        let last_outage = self.pending_removals.last_outage().unwrap_or_default();
        let since_failure = now.saturating_sub(last_outage);
        if !held.begun.is_empty() {
            let time_left = settings::REREGISTRATION_GRACE.saturating_sub(since_failure);
            slog::info!(self.node.logger, "removals_held_back"; "count" => held.begun.len(),
                "servers" => name_list(&held.begun), "failed_read_ms" => pool_action::whole_ms(since_failure),
                "due_in_ms" => pool_action::whole_ms(time_left));
        }
        for (outcome, servers) in [("cancelled", held.cancelled), ("applied", held.applied)] {
            if !servers.is_empty() {
                slog::info!(self.node.logger, "held_removals_ended"; "outcome" => outcome,
                    "count" => servers.len(), "servers" => name_list(&servers),
                    "failed_read_ms" => pool_action::whole_ms(since_failure));
            }
        }
        let held_count = self.pending_removals.len();
        self.node.metrics.set_held_removals_gauge(held_count);
    }

    /// Logs whether what this process knows of the registry has become out of date, or is up to date again.
    fn log_age_change(&self, failures: u32) {
        let now = self.node.now();
        let mut progress = self.node.registry_progress();
        let change = progress.check_age(now);
        let offset = progress.next_offset();
        drop(progress);
        match change {
            Some(read_progress::AgeChange::Stale { age }) => {
                slog::warn!(self.node.logger, "registry_stale"; "age_ms" => pool_action::whole_ms(age),
                    "offset" => offset, "failures" => failures, "held_servers" => self.node.own_status().held_servers);
            }
            Some(read_progress::AgeChange::Regained { gap }) => {
                slog::info!(self.node.logger, "registry_regained"; "gap_ms" => pool_action::whole_ms(gap),
                    "offset" => offset);
            }
            None => {}
        }
    }

    /// Tells the pool how the registry is read, if that has changed.
    fn publish_view(&mut self, now: time::Duration) {
        let view = server_model::RegistryView {
            first_read_at: Some(self.view.first_read_at.unwrap_or(now)),
            held_removals: self.pending_removals.len(),
            ..self.view
        };
        if view != self.view {
            self.view = view;
            self.node
                .pool
                .apply_registry_change(pool_driver::RegistryChange::View(view));
        }
    }

    /// Applies an entry of `server`. Returns whether it can be decoded.
    fn apply_entry(&mut self, server: &Arc<str>, value: &[u8]) -> bool {
        match registry::decode_bounded_entry(server, value) {
            Ok(bounded) if bounded.entry.failure_domain == self.node.hello.failure_domain => {
                self.record_implausible_figures(server, &bounded.implausible_figures);
                let entry = bounded.entry;
                if self.pending_removals.record_registered(server) {
                    self.held_removals.cancelled.push(Arc::clone(server));
                }
                self.registered.insert(Arc::clone(server), entry.draining);
                self.node
                    .pool
                    .apply_registry_change(pool_driver::RegistryChange::Updated(entry));
                true
            }
            Ok(_) => true,
            Err(error) => {
                slog::info!(self.node.logger, "registry_entry_ignored";
                    "server" => &**server, "error" => %error);
                self.node.metrics.count_ignored_entry();
                false
            }
        }
    }

    /// Logs the figures of a server that are not believed, once while it declares any.
    fn record_implausible_figures(
        &mut self,
        server: &Arc<str>,
        figures: &[registry::ImplausibleFigure],
    ) {
        if figures.is_empty() {
            self.forget_implausible(server);
        } else if self.implausible.insert(Arc::clone(server)) {
            for figure in figures {
                slog::warn!(self.node.logger, "server_figures_implausible"; "server" => &**server,
                    "field" => figure.field, "declared" => figure.declared, "counted" => figure.counted);
            }
            self.node
                .metrics
                .set_implausible_gauge(self.implausible.len());
        }
    }

    fn forget_implausible(&mut self, server: &Arc<str>) {
        if self.implausible.remove(server) {
            self.node
                .metrics
                .set_implausible_gauge(self.implausible.len());
        }
    }

    fn handle_removed_entry(&mut self, server: &Arc<str>, now: time::Duration) {
        let Some(is_draining) = self.registered.get(server).copied() else {
            return;
        };
        let was_held_back = self.pending_removals.contains(server);
        if !self.pending_removals.record_removal(server, now) {
            if !was_held_back {
                self.held_removals.begun.push(Arc::clone(server));
            }
            return;
        }
        if !is_draining {
            // The server may only be cut off from the store, and run tasks of the leader until their end.
            self.node
                .pool
                .apply_registry_change(pool_driver::RegistryChange::IncompleteUntil(
                    now + settings::REREGISTRATION_GRACE,
                ));
        }
        self.remove_server(server);
    }

    fn remove_server(&mut self, server: &Arc<str>) {
        self.registered.remove(server);
        self.forget_implausible(server);
        self.node
            .pool
            .apply_registry_change(pool_driver::RegistryChange::Removed(Arc::clone(server)));
    }
}
