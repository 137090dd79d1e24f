//! Reader of the store's topic for the configuration, and what all readers of the store share.

use std::{sync::Arc, time};

use platform_adapter::store;

use crate::node_state;

/// Time allowed for a response of the store in addition to the requested wait: the store may
/// be slower than usual by a factor of 60.
pub(crate) const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Wait that a configuration read requests, as a percentage of `config_apply`, the time in which a
/// new configuration must be in force. If that is 2 s, an unanswered read and the pause after it
/// take 0.7 + 0.6 + 0.25 s, which leaves time for another read.
const CONFIG_READ_WAIT_PERCENT: u32 = 35;
/// Pause after a failed request to the store.
pub(crate) const RETRY_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Returns a client of the store named in the settings.
pub(crate) fn client(node: &node_state::NodeState) -> store::StoreClient {
    store::StoreClient::new(&node.settings.store_address, STORE_TIMEOUT)
}

/// Records a failed request to the store; only the first of consecutive failures is logged.
pub(crate) fn record_failure(
    node: &node_state::NodeState,
    feed: &'static str,
    consecutive_failures: &mut u32,
    error: &store::StoreError,
) {
    *consecutive_failures += 1;
    if *consecutive_failures == 1 {
        slog::warn!(node.logger, "store_lost"; "feed" => feed, "error" => %error);
    }
    node.metrics.count_store_failure(feed);
}

/// Records a successful request to the store, and logs the number of unreadable records in its
/// response.
pub(crate) fn record_success(
    node: &node_state::NodeState,
    feed: &'static str,
    consecutive_failures: &mut u32,
    batch: &store::RecordBatch,
) {
    if batch.unreadable_count > 0 {
        slog::warn!(node.logger, "records_unreadable"; "feed" => feed,
            "records" => batch.unreadable_count);
    }
    if *consecutive_failures > 0 {
        slog::info!(node.logger, "store_regained"; "feed" => feed,
            "failures" => *consecutive_failures);
    }
    *consecutive_failures = 0;
}

/// Adopts each new configuration and each change of the evacuations from the store until the process
/// ends.
pub async fn follow_config(node: Arc<node_state::NodeState>) {
    let store = client(&node);
    let wait = node.settings.config_apply * CONFIG_READ_WAIT_PERCENT / 100;
    let mut offset = None;
    let mut consecutive_failures = 0;
    loop {
        let batch = match offset {
            None => store.read_newest(store::OPERATOR_TOPIC).await,
            Some(offset) => store.read_from(store::OPERATOR_TOPIC, offset, wait).await,
        };
        match batch {
            Ok(batch) => {
                record_success(&node, "config", &mut consecutive_failures, &batch);
                let evacuation_records = batch.evacuation_records();
                match offset {
                    None => {
                        node.adopt_evacuation_snapshot(batch.next_offset, &evacuation_records);
                    }
                    Some(_) => {
                        node.apply_evacuation_records(&evacuation_records, batch.next_offset);
                    }
                }
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
            Err(error) => {
                record_failure(&node, "config", &mut consecutive_failures, &error);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
