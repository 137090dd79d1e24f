//! The list of processes in the store, and the seeds of the settings.

use std::{sync::Arc, time};

use platform_adapter::store;

use crate::{link_frame, link_reconciler, node_state, peer_link, store_feed};

/// Time between looks for processes that nobody has introduced.
const PEER_POLL: time::Duration = time::Duration::from_secs(10);

/// Announces this process to its peers and finds those that it hasn't met.
pub async fn find_peers(node: Arc<node_state::NodeState>) {
    tokio::spawn(ask_seeds(Arc::clone(&node)));
    let store = store_feed::client(&node);
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
                .append_record(store::PEERS_TOPIC, &node.hello.name, Some(&hello))
                .await;
            match appended {
                Ok(()) => announced = true,
                Err(failure) => store_feed::record_failure(&node, "peers", &mut failures, &failure),
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
                store_feed::record_success(&node, "peers", &mut failures, &batch);
                offset = Some(batch.next_offset);
                // An entry that was taken for abandoned is written anew.
                announced &= !is_dropped(&node.hello.name, &batch.records);
                for record in batch.records {
                    learn_record(&node, &record);
                }
                link_reconciler::reconcile_links(&node);
                node.mark_peer_list_read();
            }
            Err(store::StoreError::OffsetDeleted) => {
                offset = None;
                continue;
            }
            Err(failure) => store_feed::record_failure(&node, "peers", &mut failures, &failure),
        }
        drop_abandoned(&node, &store).await;
        let pause = if announced && failures == 0 {
            PEER_POLL
        } else {
            store_feed::RETRY_PAUSE
        };
        tokio::time::sleep(pause).await;
    }
}

/// Takes the entry of this process out of the list of peers.
pub async fn retire_peer(node: Arc<node_state::NodeState>) {
    let retired = store_feed::client(&node)
        .append_record(store::PEERS_TOPIC, &node.hello.name, None)
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
async fn drop_abandoned(node: &Arc<node_state::NodeState>, store: &store::StoreClient) {
    if node.own_status().held_servers == 0 {
        return;
    }
    let abandoned = node
        .peers()
        .abandoned(&node.hello.failure_domain, node.now());
    for name in abandoned {
        match store.append_record(store::PEERS_TOPIC, &name, None).await {
            Ok(()) => slog::info!(node.logger, "peer_abandoned"; "peer" => &*name),
            Err(failure) => {
                slog::warn!(node.logger, "peer_entry_left"; "peer" => &*name, "error" => %failure);
            }
        }
    }
}

fn learn_record(node: &Arc<node_state::NodeState>, record: &store::KeyedRecord) {
    let Some(value) = &record.value else {
        node.peers().remove_unlinked(&record.key);
        return;
    };
    match serde_json::from_slice::<link_frame::PeerHello>(value) {
        Ok(hello) => {
            let known = node
                .peers()
                .get(&hello.name)
                .is_some_and(|peer| peer.hello.boot == hello.boot);
            if !known {
                node_state::upsert_peer(node, hello);
            }
        }
        Err(failure) => {
            slog::info!(node.logger, "peer_entry_ignored"; "peer" => &*record.key, "error" => %failure);
        }
    }
}

/// Seeds help while the store is away; they may be stale.
async fn ask_seeds(node: Arc<node_state::NodeState>) {
    for seed in &node.settings.seeds {
        if *seed == node.settings.link_address {
            continue;
        }
        match peer_link::ask_hello(&node, seed).await {
            Ok(hello) => node_state::upsert_peer(&node, hello),
            Err(failure) => {
                slog::info!(node.logger, "seed_silent"; "address" => &**seed, "error" => %failure);
            }
        }
    }
}
