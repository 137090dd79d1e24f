//! Discovery of peers through the store's peer list, which has a record of each process, and
//! through the seeds of the settings.

use std::{sync::Arc, time};

use platform_adapter::store;

use crate::{link_frame, link_reconciler, node_state, peer_link, store_feed};

/// Interval of reads of the peer list. Peers report only leaders; other processes become known
/// from the list, or when they dial this process.
const PEER_LIST_POLL_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Queries the seeds, adds the record of this process to the store's peer list, and then polls the
/// list for peers and removes abandoned records, until the process is about to stop.
pub async fn discover_peers(node: Arc<node_state::NodeState>) {
    tokio::spawn(query_seeds(Arc::clone(&node)));
    let store = store_feed::client(&node);
    let mut consecutive_failures = 0;
    let mut has_own_record = false;
    let mut offset = None;
    let hello = match serde_json::to_vec(&node.hello) {
        Ok(hello) => hello,
        Err(error) => {
            slog::error!(node.logger, "peer_entry_unwritable"; "error" => %error);
            return;
        }
    };
    while !node.is_leaving() {
        if !has_own_record {
            let appended = store
                .append_record(store::PEERS_TOPIC, &node.hello.name, Some(&hello))
                .await;
            match appended {
                Ok(()) => has_own_record = true,
                Err(error) => {
                    store_feed::record_failure(&node, "peers", &mut consecutive_failures, &error);
                }
            }
        }
        let batch = match offset {
            None => store.read_newest(store::PEERS_TOPIC).await,
            Some(offset) => {
                store
                    .read_from(store::PEERS_TOPIC, offset, time::Duration::ZERO)
                    .await
            }
        };
        match batch {
            Ok(batch) => {
                store_feed::record_success(&node, "peers", &mut consecutive_failures, &batch);
                offset = Some(batch.next_offset);
                // A leader may have removed the record of this process as abandoned; it is then
                // appended again.
                has_own_record &= !is_removed(&node.hello.name, &batch.records);
                for record in batch.records {
                    apply_record(&node, &record);
                }
                link_reconciler::reconcile_links(&node);
                node.mark_peer_list_read();
            }
            Err(store::StoreError::OffsetDeleted) => {
                offset = None;
                continue;
            }
            Err(error) => {
                store_feed::record_failure(&node, "peers", &mut consecutive_failures, &error);
            }
        }
        remove_abandoned_records(&node, &store).await;
        let pause = if has_own_record && consecutive_failures == 0 {
            PEER_LIST_POLL_INTERVAL
        } else {
            store_feed::RETRY_PAUSE
        };
        tokio::time::sleep(pause).await;
    }
}

/// Removes the record of this process from the store's peer list. A failure is logged; the record
/// may then stay.
pub async fn remove_own_record(node: Arc<node_state::NodeState>) {
    let result = store_feed::client(&node)
        .append_record(store::PEERS_TOPIC, &node.hello.name, None)
        .await;
    if let Err(error) = result {
        slog::warn!(node.logger, "peer_entry_left"; "error" => %error);
    }
}

/// Returns whether the newest of `records` with key `name` removes the peer record.
fn is_removed(name: &str, records: &[store::KeyedRecord]) -> bool {
    records
        .iter()
        .rfind(|record| &*record.key == name)
        .is_some_and(|record| record.value.is_none())
}

/// If this process holds servers, removes the records of the abandoned peers of its failure
/// domain, so that replaced VMs don't accumulate in the list. A failure is logged.
async fn remove_abandoned_records(node: &Arc<node_state::NodeState>, store: &store::StoreClient) {
    if node.own_status().held_servers == 0 {
        return;
    }
    let abandoned = node
        .peers()
        .abandoned(&node.hello.failure_domain, node.now());
    for name in abandoned {
        match store.append_record(store::PEERS_TOPIC, &name, None).await {
            Ok(()) => slog::info!(node.logger, "peer_abandoned"; "peer" => &*name),
            Err(error) => {
                slog::warn!(node.logger, "peer_entry_left"; "peer" => &*name, "error" => %error);
            }
        }
    }
}

fn apply_record(node: &Arc<node_state::NodeState>, record: &store::KeyedRecord) {
    let Some(value) = &record.value else {
        node.peers().remove_unless_connected(&record.key);
        return;
    };
    match serde_json::from_slice::<link_frame::PeerHello>(value) {
        // A process writes only under its own name: another writer must not replace its address.
        Ok(hello) if hello.name != record.key => {
            slog::info!(node.logger, "peer_entry_ignored"; "peer" => &*record.key,
                "error" => "the record names another process than its key");
        }
        Ok(hello) => {
            let is_known = node
                .peers()
                .get(&hello.name)
                .is_some_and(|peer| peer.hello.boot == hello.boot);
            if !is_known {
                node_state::upsert_peer(node, hello);
            }
        }
        Err(error) => {
            slog::info!(node.logger, "peer_entry_ignored"; "peer" => &*record.key, "error" => %error);
        }
    }
}

/// Adds the processes at the seed addresses of the settings, which may be out of date, so that
/// peers are known while the store is unavailable. Logs `seed_silent` for any failure.
async fn query_seeds(node: Arc<node_state::NodeState>) {
    for seed in &node.settings.seeds {
        if *seed == node.settings.link_address {
            continue;
        }
        match peer_link::request_hello(&node, seed).await {
            Ok(hello) => node_state::upsert_peer(&node, hello),
            Err(error) => {
                slog::info!(node.logger, "seed_silent"; "address" => &**seed, "error" => %error);
            }
        }
    }
}
