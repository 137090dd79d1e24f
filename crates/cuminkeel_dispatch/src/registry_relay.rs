//! Decisions on what processes tell each other of the registry: which peers a process that the store turns away asks,
//! and how much a process answers.

use std::{cmp, collections::BTreeMap, sync::Arc, time};

use derive_more::{Display, Error};
use smallvec::SmallVec;

use crate::{registry_replica, settings};

/// Age up to which what a peer has read shows that the store serves the peer: the longest interval between two reads,
/// 1.5 s, and the time limit of a read, 0.6 s.
pub const MAX_RELAY_AGE: time::Duration = time::Duration::from_millis(2_100);
/// Time after a request in which the process reads the registry as often as one that holds servers: longer than a
/// process that is turned away takes from one request to the next, 1.5 s.
const ASKED_PERIOD: time::Duration = time::Duration::from_secs(2);
/// Peers of the local failure domain that a process asks after one failed read.
const MAX_LOCAL_PEERS: usize = 2;
/// Peers of other failure domains that it asks after those, in case the store turns the whole domain away.
const MAX_REMOTE_PEERS: usize = 1;

/// Maximum size of an answer, in bytes: over twice the entries of the 850 servers of the target scale at 1 KB each.
const MAX_NEWS_BYTES: u64 = 2 * 1024 * 1024;
/// Bytes of answers that a process sends in a second, on average: eight peers of its domain with the entries of 300
/// servers, 0.3 KB each, that are written anew each second.
const ANSWER_BYTES_PER_S: u64 = 1024 * 1024;
/// Bytes for which an answer counts at least, so that requests which find nothing new are bounded, too.
const MIN_ANSWER_BYTES: u64 = 1_024;

/// Reason for which a process tells a peer nothing of the registry.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum RelayError {
    /// The process has not read the registry.
    #[display("the registry has not been read")]
    Unread,
    /// The answer would be too long for a frame.
    #[display("the answer has {bytes} bytes, expected at most {MAX_NEWS_BYTES}")]
    TooLarge {
        /// Size of the answer, in bytes.
        bytes: u64,
    },
    /// Peers have asked for more than a process answers.
    #[display("peers have asked for more than {ANSWER_BYTES_PER_S} bytes a second")]
    OverBudget,
}

/// Whether a process that a peer has asked should read the registry at once, as its last read is older than those of a
/// process that holds servers become.
pub fn is_read_due(read_age: time::Duration) -> bool {
    read_age > settings::LEADER_POLL_INTERVAL
}

/// Limits of the answers that a process gives.
#[derive(Debug)]
pub struct RelayBudget {
    available_bytes: u64,
    refilled_at: time::Duration,
    asked_at: Option<time::Duration>,
}

impl Default for RelayBudget {
    fn default() -> Self {
        Self {
            available_bytes: MAX_NEWS_BYTES,
            refilled_at: time::Duration::ZERO,
            asked_at: None,
        }
    }
}

impl RelayBudget {
    /// Whether a peer has asked so recently that others rely on what this process reads.
    pub fn is_asked(&self, now: time::Duration) -> bool {
        self.asked_at
            .is_some_and(|asked_at| now < asked_at + ASKED_PERIOD)
    }

    /// Returns what a peer of `failure_domain` is told that asks at `now` for the records from `from_offset` on.
    ///
    /// # Errors
    ///
    /// Fails if nothing is known, or if the answer exceeds a limit.
    pub fn answer(
        &mut self,
        replica: &registry_replica::RegistryReplica,
        from_offset: Option<u64>,
        failure_domain: &str,
        now: time::Duration,
    ) -> Result<registry_replica::RegistryNews, RelayError> {
        self.asked_at = Some(now);
        self.refill(now);
        // Looking for what is new has its cost, also if it is not told.
        self.charge(MIN_ANSWER_BYTES)?;
        let news = replica
            .news_from(from_offset, failure_domain, now)
            .ok_or(RelayError::Unread)?;
        let bytes = u64::try_from(news.frame_bytes()).unwrap_or(u64::MAX);
        if bytes > MAX_NEWS_BYTES {
            return Err(RelayError::TooLarge { bytes });
        }
        self.charge(bytes.saturating_sub(MIN_ANSWER_BYTES))?;
        Ok(news)
    }

    fn charge(&mut self, bytes: u64) -> Result<(), RelayError> {
        self.available_bytes = self
            .available_bytes
            .checked_sub(bytes)
            .ok_or(RelayError::OverBudget)?;
        Ok(())
    }

    fn refill(&mut self, now: time::Duration) {
        let elapsed_ms = now.saturating_sub(self.refilled_at).as_millis();
        let elapsed_ms = u64::try_from(elapsed_ms).unwrap_or(u64::MAX);
        let refill = elapsed_ms.saturating_mul(ANSWER_BYTES_PER_S) / 1_000;
        self.available_bytes = self
            .available_bytes
            .saturating_add(refill)
            .min(MAX_NEWS_BYTES);
        // The part of a millisecond that has not counted counts next time.
        self.refilled_at += time::Duration::from_millis(elapsed_ms);
    }
}

/// Peer that can be asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayPeer {
    /// Name of the peer's VM.
    pub name: Arc<str>,
    /// Processor share of the peer, in thousandths of a core. Those with the most read the registry.
    pub cpu_millis: u32,
    /// Whether the peer is of the local failure domain.
    pub is_local: bool,
}

/// What became of a request to a peer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RelayOutcome {
    /// The peer told what it had read of late.
    #[display("fresh")]
    Fresh,
    /// The peer has not read the registry of late.
    #[display("old")]
    Old,
    /// The peer told nothing.
    #[display("withheld")]
    Withheld,
    /// The peer did not answer in time: it is slow or lost, or runs a release that doesn't know the request.
    #[display("unanswered")]
    Unanswered,
}

/// Last request to a peer.
#[derive(Clone, Copy, Debug)]
struct LastRequest {
    at: time::Duration,
    outcome: RelayOutcome,
}

/// Order in which a process asks its peers.
#[derive(Debug, Default)]
pub struct RelayPlan {
    requests: BTreeMap<Arc<str>, LastRequest>,
}

impl RelayPlan {
    /// Records what became of a request to `peer` at `now`.
    pub fn record_outcome(&mut self, peer: &Arc<str>, outcome: RelayOutcome, now: time::Duration) {
        self.requests
            .insert(Arc::clone(peer), LastRequest { at: now, outcome });
    }

    /// Returns the peers to ask, in their order: first those of the local failure domain. Of each kind, one that told
    /// the newest records last time comes first, then those that were not asked, then those that were asked longest
    /// ago. So each is asked in turn while none can tell.
    pub fn peers_to_ask(&mut self, mut peers: Vec<RelayPeer>) -> SmallVec<[RelayPeer; 3]> {
        self.requests
            .retain(|name, _| peers.iter().any(|peer| peer.name == *name));
        peers.sort_by_cached_key(|peer| {
            let last = self.requests.get(&peer.name);
            let is_fresh = last.is_some_and(|last| last.outcome == RelayOutcome::Fresh);
            (
                cmp::Reverse(is_fresh),
                last.map(|last| last.at),
                cmp::Reverse(peer.cpu_millis),
                Arc::clone(&peer.name),
            )
        });
        let (local, remote): (Vec<_>, Vec<_>) = peers.into_iter().partition(|peer| peer.is_local);
        let local = local.into_iter().take(MAX_LOCAL_PEERS);
        local
            .chain(remote.into_iter().take(MAX_REMOTE_PEERS))
            .collect()
    }
}
