//! What the store says: configuration, registry of backend servers, peers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time,
};

use platform_adapter::{registry, store};

use crate::{link_frame, node_state, peer_link, pool_driver};

/// Time for the store's answer beyond what was asked to wait: it may be slow by a factor of 60.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Part of the time for a configuration to be in force, in percent, for which a read waits.
/// A silent connection is given up `STORE_TIMEOUT` later, and there is time for another read.
const CONFIG_WAIT_PERCENT: u32 = 35;
/// Pause after a failed call.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Time between reads of the registry by the process that leads: a draining server gets
/// no work after two seconds.
const LEADER_POLL: time::Duration = time::Duration::from_millis(600);
/// Time between reads of the registry by the others.
const FOLLOWER_POLL: time::Duration = time::Duration::from_millis(1_500);
/// Time after an outage of the store in which lapsed entries may come back; a platform bound
/// of two seconds, and a poll.
const LAPSE_GRACE: time::Duration = time::Duration::from_millis(2_600);
/// Time between looks for processes that nobody has introduced.
const PEER_POLL: time::Duration = time::Duration::from_secs(10);

fn client(node: &node_state::Node) -> store::StoreClient {
    store::StoreClient::new(&node.settings.store_address, STORE_TIMEOUT)
}

fn note_failure(
    node: &node_state::Node,
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
fn note_success(
    node: &node_state::Node,
    what: &'static str,
    failures: &mut u32,
    batch: &store::RecordBatch,
) {
    if batch.unreadable > 0 {
        slog::warn!(node.logger, "records_unreadable"; "feed" => what,
            "records" => batch.unreadable);
    }
    if *failures > 0 {
        slog::info!(node.logger, "store_regained"; "feed" => what, "failures" => *failures);
    }
    *failures = 0;
}

/// Follows the operator's configuration.
pub async fn follow_config(node: Arc<node_state::Node>) {
    let store = client(&node);
    let wait = node.settings.config_apply * CONFIG_WAIT_PERCENT / 100;
    let mut offset = None;
    let mut failures = 0;
    loop {
        let batch = match offset {
            None => store.newest(store::OPERATOR_TOPIC).await,
            Some(offset) => store.read(store::OPERATOR_TOPIC, offset, wait).await,
        };
        match batch {
            Ok(batch) => {
                note_success(&node, "config", &mut failures, &batch);
                offset = Some(batch.next_offset);
                for record in batch.records {
                    if &*record.key == store::CONFIG_KEY
                        && let Some(value) = record.value
                    {
                        node.offer_config(value, "store");
                    }
                }
            }
            Err(store::StoreError::Deleted) => offset = None,
            Err(failure) => {
                note_failure(&node, "config", &mut failures, &failure);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Entries that the store dropped while it may not have heard from their servers.
#[derive(Debug, Default)]
pub struct LapsedEntries {
    away_until: Option<time::Duration>,
    missing: BTreeMap<Arc<str>, time::Duration>,
}

impl LapsedEntries {
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
    node: Arc<node_state::Node>,
    known: BTreeSet<Arc<str>>,
    lapsed: LapsedEntries,
}

/// Follows the registry of backend servers.
pub async fn follow_registry(node: Arc<node_state::Node>) {
    let store = client(&node);
    let mut offset = None;
    let mut failures = 0;
    let mut feed = RegistryFeed {
        node,
        known: BTreeSet::new(),
        lapsed: LapsedEntries::default(),
    };
    loop {
        feed.wait_for_office().await;
        let snapshot = offset.is_none();
        let batch = match offset {
            None => store.newest(store::REGISTRY_TOPIC).await,
            Some(offset) => {
                store
                    .read(store::REGISTRY_TOPIC, offset, time::Duration::ZERO)
                    .await
            }
        };
        let now = feed.node.now();
        match batch {
            Ok(batch) => {
                note_success(&feed.node, "registry", &mut failures, &batch);
                offset = Some(batch.next_offset);
                if feed.known.is_empty() {
                    // Before the start the store may have been away, or servers cut off from it.
                    feed.node
                        .pool
                        .change_registry(pool_driver::RegistryChange::Doubtful(now + LAPSE_GRACE));
                }
                feed.take_records(batch.records, snapshot, now);
            }
            Err(store::StoreError::Deleted) => {
                offset = None;
                continue;
            }
            Err(failure) => {
                note_failure(&feed.node, "registry", &mut failures, &failure);
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
        while !node_state::reads_registry(node) {
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
                    .change_registry(pool_driver::RegistryChange::Listed(entry));
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
            .change_registry(pool_driver::RegistryChange::Unlisted(Arc::clone(server)));
    }
}

/// Announces this process to its peers and finds those that it hasn't met.
pub async fn find_peers(node: Arc<node_state::Node>) {
    tokio::spawn(ask_seeds(Arc::clone(&node)));
    let store = client(&node);
    let mut failures = 0;
    let mut announced = false;
    let mut offset = None;
    let hello = match serde_json::to_vec(&node.hello) {
        Ok(hello) => hello,
        Err(failure) => {
            slog::error!(node.logger, "peer_entry_unwritable"; "error" => %failure);
            return;
        }
    };
    while !node.is_leaving() {
        if !announced {
            let appended = store
                .append_keyed(store::PEERS_TOPIC, &node.hello.name, Some(&hello))
                .await;
            match appended {
                Ok(()) => announced = true,
                Err(failure) => note_failure(&node, "peers", &mut failures, &failure),
            }
        }
        let batch = match offset {
            None => store.newest(store::PEERS_TOPIC).await,
            Some(offset) => {
                store
                    .read(store::PEERS_TOPIC, offset, time::Duration::ZERO)
                    .await
            }
        };
        match batch {
            Ok(batch) => {
                note_success(&node, "peers", &mut failures, &batch);
                offset = Some(batch.next_offset);
                // An entry that was taken for abandoned is written anew.
                announced &= !is_dropped(&node.hello.name, &batch.records);
                for record in batch.records {
                    learn_record(&node, &record);
                }
                node_state::plan_links(&node);
                node.note_peers_listed();
            }
            Err(store::StoreError::Deleted) => {
                offset = None;
                continue;
            }
            Err(failure) => note_failure(&node, "peers", &mut failures, &failure),
        }
        drop_abandoned(&node, &store).await;
        let pause = if announced && failures == 0 {
            PEER_POLL
        } else {
            RETRY_PAUSE
        };
        tokio::time::sleep(pause).await;
    }
}

/// Takes the entry of this process out of the list of peers.
pub async fn retire_peer(node: Arc<node_state::Node>) {
    let retired = client(&node)
        .append_keyed(store::PEERS_TOPIC, &node.hello.name, None)
        .await;
    if let Err(failure) = retired {
        slog::warn!(node.logger, "peer_entry_left"; "error" => %failure);
    }
}

/// Whether the newest of `records` with key `name` drops it.
fn is_dropped(name: &str, records: &[store::KeyedRecord]) -> bool {
    records
        .iter()
        .rfind(|record| &*record.key == name)
        .is_some_and(|record| record.value.is_none())
}

/// Takes the entries of VMs that are gone for good out of the list, so that it stays as
/// long as the deployment is large.
async fn drop_abandoned(node: &Arc<node_state::Node>, store: &store::StoreClient) {
    if node.own_status().held_servers == 0 {
        return;
    }
    let abandoned = node
        .peers()
        .abandoned(&node.hello.failure_domain, node.now());
    for name in abandoned {
        match store.append_keyed(store::PEERS_TOPIC, &name, None).await {
            Ok(()) => slog::info!(node.logger, "peer_abandoned"; "peer" => &*name),
            Err(failure) => {
                slog::warn!(node.logger, "peer_entry_left"; "peer" => &*name, "error" => %failure);
            }
        }
    }
}

fn learn_record(node: &Arc<node_state::Node>, record: &store::KeyedRecord) {
    let Some(value) = &record.value else {
        node.peers().forget_silent(&record.key);
        return;
    };
    match serde_json::from_slice::<link_frame::PeerHello>(value) {
        Ok(hello) => {
            let known = node
                .peers()
                .get(&hello.name)
                .is_some_and(|peer| peer.hello.boot == hello.boot);
            if !known {
                node_state::learn_peer(node, hello);
            }
        }
        Err(failure) => {
            slog::info!(node.logger, "peer_entry_ignored"; "peer" => &*record.key, "error" => %failure);
        }
    }
}

/// Seeds help while the store is away; they may be stale.
async fn ask_seeds(node: Arc<node_state::Node>) {
    for seed in &node.settings.seeds {
        if *seed == node.settings.link_address {
            continue;
        }
        match peer_link::ask_hello(&node, seed).await {
            Ok(hello) => node_state::learn_peer(&node, hello),
            Err(failure) => {
                slog::info!(node.logger, "seed_silent"; "address" => &**seed, "error" => %failure);
            }
        }
    }
}
