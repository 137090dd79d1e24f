//! Reader of the registry of backend servers, in the store or through peers that the store serves.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time,
};

use cuminkeel_dispatch::{pool_action, read_progress, registry_replica, server_model, settings};
use platform_adapter::{registry, store};

use crate::{link_reconciler, node_state, pool_driver, registry_source, store_feed};

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
    store: Arc<store::StoreClient>,
    /// Servers of the local failure domain with an entry, or with a removal that is pending, and whether
    /// they are draining.
    registered: BTreeMap<Arc<str>, bool>,
    /// Servers of them that declare figures which are not believed.
    implausible: BTreeSet<Arc<str>>,
    pending_removals: PendingRemovals,
    /// Changes of `pending_removals` that are not logged yet.
    held_removals: HeldRemovals,
    view: server_model::RegistryView,
    /// Peer that told the newest records, while the store turns this process away.
    relay: Option<Arc<str>>,
    /// Whether the store does not have the records behind the known ones, so that a snapshot has to be read.
    needs_snapshot: bool,
    /// Whether a peer told the newest records, and the store has not told since that it has them.
    offset_is_told: bool,
}

/// Passes changes of the registry of backend servers to the pool until the process ends.
pub async fn follow_registry(node: Arc<node_state::NodeState>) {
    let store = Arc::new(store_feed::client(&node));
    let mut store_source = registry_source::StoreSource::new(&node, &store);
    let mut peer_source = registry_source::PeerSource::new(&node);
    let mut feed = RegistryFeed {
        node,
        store,
        registered: BTreeMap::new(),
        implausible: BTreeSet::new(),
        pending_removals: PendingRemovals::default(),
        held_removals: HeldRemovals::default(),
        view: server_model::RegistryView::default(),
        relay: None,
        needs_snapshot: false,
        offset_is_told: false,
    };
    loop {
        feed.wait_until_needed().await;
        let offset = feed.next_offset().filter(|_| !feed.needs_snapshot);
        match feed.read(&mut store_source, offset).await {
            Ok(true) => {}
            Ok(false) => continue,
            Err(registry_source::SourceFailure::OffsetUnknown) => {
                feed.needs_snapshot = true;
                continue;
            }
            Err(registry_source::SourceFailure::Unavailable) => {
                feed.read_through_peers(&mut peer_source).await;
                feed.log_age_change();
                tokio::time::sleep(store_feed::RETRY_PAUSE).await;
                continue;
            }
        }
        feed.log_age_change();
        let now = feed.node.now();
        let is_relied_on =
            feed.node.own_status().held_servers > 0 || feed.node.is_asked_for_registry(now);
        let pause = if is_relied_on {
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
    fn next_offset(&self) -> Option<u64> {
        self.node.registry().progress().next_offset()
    }

    /// Reads the records from `offset` on, or a snapshot, from `source`. Returns whether they reach the end of the log.
    async fn read(
        &mut self,
        source: &mut dyn registry_source::RegistrySource,
        offset: Option<u64>,
    ) -> Result<bool, registry_source::SourceFailure> {
        let batch = source.read(offset).await?;
        if batch.origin == registry_source::BatchOrigin::Store {
            if self.is_told_beyond(&batch) {
                return Err(registry_source::SourceFailure::OffsetUnknown);
            }
            self.needs_snapshot = false;
            self.offset_is_told = false;
        }
        let is_complete = batch.next_offset >= batch.end_offset;
        self.apply_batch(batch).await;
        Ok(is_complete)
    }

    /// Whether a peer has told records that the store, which told `batch`, does not have.
    fn is_told_beyond(&self, batch: &registry_source::RegistryBatch) -> bool {
        let is_beyond = self.offset_is_told
            && !batch.is_snapshot
            && self.node.registry().is_ahead_of(batch.end_offset);
        if is_beyond {
            slog::warn!(self.node.logger, "registry_offset_unknown"; "offset" => self.next_offset(),
                "end_offset" => batch.end_offset);
        }
        is_beyond
    }

    /// Asks peers for the records that the store, which has just turned this process away, has not told.
    async fn read_through_peers(&mut self, peers: &mut dyn registry_source::RegistrySource) {
        // What a peer has read before does not show that the store missed no renewal since.
        self.pending_removals.record_outage(self.node.now());
        let offset = self.next_offset();
        if self.read(peers, offset).await.is_err() {
            self.relay = None;
        }
    }

    /// Applies what a source has told, unless more is known already.
    async fn apply_batch(&mut self, batch: registry_source::RegistryBatch) {
        let now = self.node.now();
        let known_offset = self.next_offset();
        self.record_origin(&batch, now);
        if batch.origin != registry_source::BatchOrigin::Store {
            if self.node.registry().is_ahead_of(batch.next_offset) {
                return;
            }
            self.offset_is_told |= known_offset != Some(batch.next_offset);
        }
        let is_new = batch.is_snapshot || known_offset != Some(batch.next_offset);
        if is_new {
            let lacks_earlier_entries = batch.is_snapshot || self.registered.is_empty();
            if lacks_earlier_entries && self.entries_may_be_missing(&batch).await {
                self.node
                    .pool
                    .apply_registry_change(pool_driver::RegistryChange::IncompleteUntil(
                        now + settings::REREGISTRATION_GRACE,
                    ));
            }
        }
        if batch.is_snapshot {
            self.node.registry().begin_snapshot(batch.next_offset);
        }
        // The pool may take over as soon as it has the entries.
        self.publish_view(now);
        self.apply_records(batch.records, batch.is_snapshot, now);
        self.log_held_removals(now);
        self.publish_view(now);
        let mut registry = self.node.registry();
        registry
            .progress_mut()
            .set_next_offset(Some(batch.next_offset));
        if batch.next_offset >= batch.end_offset {
            registry.progress_mut().record_read(batch.read_at);
            drop(registry);
            self.node
                .pool
                .apply_registry_change(pool_driver::RegistryChange::Read(batch.read_at));
        }
    }

    /// Records who told the newest records.
    fn record_origin(&mut self, batch: &registry_source::RegistryBatch, now: time::Duration) {
        let registry_source::BatchOrigin::Peer { name, is_fresh } = &batch.origin else {
            self.relay = None;
            return;
        };
        match (is_fresh, &self.relay) {
            (true, Some(relay)) if relay == name => {}
            (true, _) => {
                slog::info!(self.node.logger, "registry_relayed"; "peer" => &**name,
                    "age_ms" => pool_action::whole_ms(now.saturating_sub(batch.read_at)),
                    "from_offset" => self.next_offset(), "offset" => batch.next_offset,
                    "records" => batch.records.len());
                self.relay = Some(Arc::clone(name));
            }
            (false, _) => self.relay = None,
        }
    }

    /// Whether servers that live may be missing from `batch`, of which this process has not read the records
    /// before it: an outage of the store, or between it and the servers, may just have emptied it. The
    /// records before it show entries that lapsed; without them nothing is known. Peers don't have them.
    async fn entries_may_be_missing(&mut self, batch: &registry_source::RegistryBatch) -> bool {
        if batch.origin != registry_source::BatchOrigin::Store {
            return true;
        }
        let end_offset = batch.next_offset;
        let record_count =
            u64::try_from(batch.records.len() * HISTORY_RECORDS_PER_SERVER).unwrap_or(u64::MAX);
        let first_offset = end_offset.saturating_sub(record_count);
        let asked_count = usize::try_from(end_offset - first_offset).unwrap_or(usize::MAX);
        self.view.history_asked = asked_count;
        self.view.history_read = 0;
        match self
            .store
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
        records: Vec<registry_replica::RegistryRecord>,
        is_snapshot: bool,
        now: time::Duration,
    ) {
        let mut records_by_server: BTreeMap<Arc<str>, Vec<registry_replica::RegistryRecord>> =
            BTreeMap::new();
        for record in records {
            let server = Arc::clone(&record.server);
            records_by_server.entry(server).or_default().push(record);
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
        for (server, records) in records_by_server {
            self.apply_server_records(&server, records, now);
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
        records: Vec<registry_replica::RegistryRecord>,
        now: time::Duration,
    ) {
        let mut removed_at = None;
        for record in records.into_iter().rev() {
            if self.node.registry().includes(server, record.offset) {
                break;
            }
            if record.value.is_none() {
                removed_at = removed_at.max(Some(record.offset));
            } else if self.apply_entry(record) {
                break;
            }
        }
        if let Some(offset) = removed_at {
            self.node.registry().apply_removal(server, offset);
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
    fn log_age_change(&self) {
        let now = self.node.now();
        let mut registry = self.node.registry();
        let change = registry.progress_mut().check_age(now);
        let offset = registry.progress().next_offset();
        drop(registry);
        match change {
            Some(read_progress::AgeChange::Stale { age }) => {
                slog::warn!(self.node.logger, "registry_stale"; "age_ms" => pool_action::whole_ms(age),
                    "offset" => offset, "held_servers" => self.node.own_status().held_servers);
            }
            Some(read_progress::AgeChange::Regained { gap }) => {
                slog::info!(self.node.logger, "registry_regained"; "gap_ms" => pool_action::whole_ms(gap),
                    "offset" => offset, "relay" => self.relay.as_deref().unwrap_or(""));
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

    /// Applies the record of an entry. Returns whether it can be decoded.
    fn apply_entry(&mut self, record: registry_replica::RegistryRecord) -> bool {
        let server = Arc::clone(&record.server);
        let value = record.value.as_deref().unwrap_or_default();
        let bounded = match registry::decode_bounded_entry(&server, value) {
            Ok(bounded) => bounded,
            Err(error) => {
                slog::info!(self.node.logger, "registry_entry_ignored";
                    "server" => &*server, "error" => %error);
                self.node.metrics.count_ignored_entry();
                return false;
            }
        };
        let entry = bounded.entry;
        self.node
            .registry()
            .apply_entry(record, &entry.failure_domain);
        if entry.failure_domain == self.node.hello.failure_domain {
            self.record_implausible_figures(&server, &bounded.implausible_figures);
            if self.pending_removals.record_registered(&server) {
                self.held_removals.cancelled.push(Arc::clone(&server));
            }
            self.registered.insert(server, entry.draining);
            self.node
                .pool
                .apply_registry_change(pool_driver::RegistryChange::Updated(entry));
        }
        true
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
