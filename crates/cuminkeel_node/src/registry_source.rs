//! Sources from which a process learns the records of the registry: the store, and peers that the store serves.

use std::{collections::VecDeque, pin::Pin, sync::Arc, time};

use cuminkeel_dispatch::{registry_relay, registry_replica};
use platform_adapter::store;
use tokio::task;

use crate::{node_state, store_feed};

/// Pause after a request to a peer before the next peer is asked as well. A round trip in a failure domain takes under
/// 1 ms; the rest is for a peer that shares its processor. Three peers are asked well within [`ANSWER_TIMEOUT`].
const NEXT_PEER_DELAY: time::Duration = time::Duration::from_millis(100);
/// Time in which the peers have to answer: as long as the store has.
const ANSWER_TIMEOUT: time::Duration = store_feed::STORE_TIMEOUT;

/// Records that a source told.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryBatch {
    /// Whether `records` has the newest entry of each server. If not, it has the records since the requested offset.
    pub is_snapshot: bool,
    /// Records of the log.
    pub records: Vec<registry_replica::RegistryRecord>,
    /// Offset up to which all records are known then.
    pub next_offset: u64,
    /// Offset behind the last record of the log; a response of the store may have fewer records, as many as fit.
    pub end_offset: u64,
    /// Time at or before which the read began, on the clock of this process.
    pub read_at: time::Duration,
    /// Who told the records.
    pub origin: BatchOrigin,
}

/// Who told records of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchOrigin {
    /// The store.
    Store,
    /// A peer.
    Peer {
        /// Name of the peer's VM.
        name: Arc<str>,
        /// Whether the peer has read the registry of late.
        is_fresh: bool,
    },
}

/// Reason for which a source told nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SourceFailure {
    /// The source has no records from the requested offset on, so a snapshot has to be read.
    OffsetUnknown,
    /// The source did not answer, or can't tell.
    Unavailable,
}

/// Pending read of a source.
pub type PendingBatch<'a> =
    Pin<Box<dyn Future<Output = Result<RegistryBatch, SourceFailure>> + Send + 'a>>;

/// Source of records of the registry.
pub trait RegistrySource: Send {
    /// Reads the records from `from_offset` on, or a snapshot.
    fn read(&mut self, from_offset: Option<u64>) -> PendingBatch<'_>;
}

/// The store as a source.
#[derive(Debug)]
pub struct StoreSource {
    node: Arc<node_state::NodeState>,
    client: Arc<store::StoreClient>,
    consecutive_failures: u32,
}

impl StoreSource {
    /// Creates a source that reads through `client`.
    pub fn new(node: &Arc<node_state::NodeState>, client: &Arc<store::StoreClient>) -> Self {
        Self {
            node: Arc::clone(node),
            client: Arc::clone(client),
            consecutive_failures: 0,
        }
    }

    async fn read_store(
        &mut self,
        from_offset: Option<u64>,
    ) -> Result<RegistryBatch, SourceFailure> {
        let read_at = self.node.now();
        let topic = store::REGISTRY_TOPIC;
        let read = match from_offset {
            None => self.client.read_newest(topic).await,
            Some(offset) => {
                let wait = time::Duration::ZERO;
                self.client.read_from(topic, offset, wait).await
            }
        };
        let failures = &mut self.consecutive_failures;
        match read {
            Ok(batch) => {
                store_feed::record_success(&self.node, "registry", failures, &batch);
                Ok(RegistryBatch {
                    is_snapshot: from_offset.is_none(),
                    records: batch.records.into_iter().map(log_record).collect(),
                    next_offset: batch.next_offset,
                    end_offset: batch.end_offset,
                    read_at,
                    origin: BatchOrigin::Store,
                })
            }
            Err(store::StoreError::OffsetDeleted) => Err(SourceFailure::OffsetUnknown),
            Err(error) => {
                store_feed::record_failure(&self.node, "registry", failures, &error);
                Err(SourceFailure::Unavailable)
            }
        }
    }
}

impl RegistrySource for StoreSource {
    fn read(&mut self, from_offset: Option<u64>) -> PendingBatch<'_> {
        Box::pin(self.read_store(from_offset))
    }
}

fn log_record(record: store::KeyedRecord) -> registry_replica::RegistryRecord {
    registry_replica::RegistryRecord {
        offset: record.offset,
        server: record.key,
        value: record.value.map(|value| Arc::from(&value[..])),
    }
}

/// The linked peers as a source.
#[derive(Debug)]
pub struct PeerSource {
    node: Arc<node_state::NodeState>,
    plan: registry_relay::RelayPlan,
}

/// Peer that was asked, and what it told.
struct PeerAnswer {
    peer: registry_relay::RelayPeer,
    asked_at: time::Duration,
    /// `None` if the peer can't tell.
    news: Result<Option<registry_replica::RegistryNews>, PeerSilence>,
}

/// The peer did not answer in time, or its connection was lost.
struct PeerSilence;

impl PeerSource {
    /// Creates a source that asks the peers to which `node` is linked.
    pub fn new(node: &Arc<node_state::NodeState>) -> Self {
        Self {
            node: Arc::clone(node),
            plan: registry_relay::RelayPlan::default(),
        }
    }

    /// Asks one peer after the other until one tells what it has read of late. If none does, returns the records of the
    /// one that knows most.
    async fn read_peers(
        &mut self,
        from_offset: Option<u64>,
    ) -> Result<RegistryBatch, SourceFailure> {
        let peers = self
            .node
            .peers()
            .relay_peers(&self.node.hello.failure_domain);
        let mut waiting: VecDeque<_> = self.plan.peers_to_ask(peers).into_iter().collect();
        let mut requests = task::JoinSet::new();
        let mut best: Option<RegistryBatch> = None;
        while !waiting.is_empty() || !requests.is_empty() {
            if let Some(peer) = waiting.pop_front() {
                requests.spawn(ask_peer(Arc::clone(&self.node), peer, from_offset));
            }
            let answer = if waiting.is_empty() {
                requests.join_next().await
            } else {
                // Without an answer in this time, the next peer is asked.
                tokio::time::timeout(NEXT_PEER_DELAY, requests.join_next())
                    .await
                    .unwrap_or_default()
            };
            let Some(Ok(answer)) = answer else {
                continue;
            };
            if let Some(batch) = self.record_answer(answer) {
                if matches!(batch.origin, BatchOrigin::Peer { is_fresh: true, .. }) {
                    return Ok(batch);
                }
                if best
                    .as_ref()
                    .is_none_or(|best| best.next_offset < batch.next_offset)
                {
                    best = Some(batch);
                }
            }
        }
        best.ok_or(SourceFailure::Unavailable)
    }

    /// Records what became of a request, and returns what the peer told.
    fn record_answer(&mut self, answer: PeerAnswer) -> Option<RegistryBatch> {
        let now = self.node.now();
        let peer = answer.peer;
        let outcome = match &answer.news {
            Ok(Some(news)) if news.read_age <= registry_relay::MAX_RELAY_AGE => {
                registry_relay::RelayOutcome::Fresh
            }
            Ok(Some(_)) => registry_relay::RelayOutcome::Old,
            Ok(None) => registry_relay::RelayOutcome::Withheld,
            Err(PeerSilence) => registry_relay::RelayOutcome::Unanswered,
        };
        self.plan.record_outcome(&peer.name, outcome, now);
        self.node.metrics.count_relay(outcome);
        let news = answer.news.ok().flatten()?;
        Some(RegistryBatch {
            is_snapshot: news.is_snapshot,
            records: news.records,
            next_offset: news.next_offset,
            end_offset: news.next_offset,
            // The peer answered after it was asked, so its read did not begin before this time.
            read_at: answer.asked_at.saturating_sub(news.read_age),
            origin: BatchOrigin::Peer {
                name: peer.name,
                is_fresh: outcome == registry_relay::RelayOutcome::Fresh,
            },
        })
    }
}

async fn ask_peer(
    node: Arc<node_state::NodeState>,
    peer: registry_relay::RelayPeer,
    from_offset: Option<u64>,
) -> PeerAnswer {
    let asked_at = node.now();
    let link = node
        .peers()
        .get(&peer.name)
        .and_then(|entry| entry.link.clone());
    let news = match link {
        Some(link) => {
            let answer = tokio::time::timeout(ANSWER_TIMEOUT, link.read_registry(from_offset));
            answer.await.ok().and_then(Result::ok).ok_or(PeerSilence)
        }
        None => Err(PeerSilence),
    };
    PeerAnswer {
        peer,
        asked_at,
        news,
    }
}

impl RegistrySource for PeerSource {
    fn read(&mut self, from_offset: Option<u64>) -> PendingBatch<'_> {
        Box::pin(self.read_peers(from_offset))
    }
}
