//! Division of jobs between leaders that hold servers of the same shards.
//!
//! While the processes of a failure domain can't reach each other, several of them may lead the same
//! shards and hold some servers each. A copy of a job may arrive at each of them, and none knows the runs
//! on the servers of the others. A hash of the job's id therefore makes one registered server the arbiter
//! of the job: only the pool that holds the arbiter starts the job, on any of its servers. The server's
//! fencing token decides which pool that is, as for its runs.

use std::{collections::BTreeSet, sync::Arc, time};

use super::ServerPool;
use crate::{job_model, leadership, retry_advice, server_slot, settings};

/// Time after which the jobs of a server that was left to another pool are ended. A lost server is usually
/// claimed back within 0.3 s. The other pool starts no job for 1.4 s after its claim, of which this pool
/// needs up to 0.5 s to learn of the claim, and the rest to stop its runs.
const LEFT_SERVER_GRACE: time::Duration = time::Duration::from_millis(400);

/// Time after which another pool has read of a new entry: a leader reads the registry again 1.45 s after its last
/// successful read even if the next one fails. Removed entries are remembered for longer.
const LIST_CHANGE_TIME: time::Duration = settings::REREGISTRATION_GRACE;

impl ServerPool {
    /// Records which servers of the led shards are left to other pools, as they are not in `wanted`.
    pub(super) fn update_left_servers(&mut self, wanted: &BTreeSet<Arc<str>>, now: time::Duration) {
        let shards = self.shards;
        for (id, slot) in &mut self.servers {
            let is_left = slot.claim_state == server_slot::ClaimState::Unclaimed
                && slot.registered
                && !wanted.contains(id)
                && shards.contains(slot.shard());
            slot.left_since = is_left.then(|| slot.left_since.unwrap_or(now));
        }
    }

    /// Whether another pool is taken to hold servers of the shards that this pool leads.
    pub(super) fn is_divided(&self) -> bool {
        self.servers
            .values()
            .any(|slot| slot.registered && slot.left_since.is_some())
    }

    /// Whether this pool may start the job `id` while the domain is divided: it holds the job's arbiter, also
    /// by the list of another pool that has not read yet of the latest changes of the registry.
    pub(super) fn holds_arbiter(&self, id: &str) -> bool {
        let now = self.last_active_at;
        let with_removed = self.arbiter_among(id, |slot| slot.counts_for_takeover(now));
        let without_added = self.arbiter_among(id, |slot| {
            slot.registered && now >= slot.listed_since + LIST_CHANGE_TIME
        });
        [with_removed, without_added]
            .into_iter()
            .flatten()
            .all(|slot| {
                slot.claim_state == server_slot::ClaimState::Held
                    && slot.reported_at >= self.foreign_claim_at
            })
    }

    /// Returns the arbiter of the job `id` among the registered servers. All pools with the same registry
    /// agree on it.
    fn arbiter(&self, id: &str) -> Option<&server_slot::ServerSlot> {
        self.arbiter_among(id, |slot| slot.registered)
    }

    /// Returns the server of the led shards with the highest weight for the job `id` (rendezvous hashing)
    /// among those that `is_candidate` accepts.
    fn arbiter_among(
        &self,
        id: &str,
        is_candidate: impl Fn(&server_slot::ServerSlot) -> bool,
    ) -> Option<&server_slot::ServerSlot> {
        let job_hash = leadership::id_hash(id);
        self.servers
            .values()
            .filter(|slot| self.shards.contains(slot.shard()) && is_candidate(slot))
            .max_by_key(|slot| mixed_hash(slot.id_hash ^ job_hash))
    }

    /// Ends the jobs whose arbiter has been left to another pool for [`LEFT_SERVER_GRACE`], as that pool may
    /// start copies of them. Their runs are stopped.
    pub(super) fn end_jobs_of_other_pools(&mut self, now: time::Duration) {
        let is_any_due = self.servers.values().any(|slot| is_left(slot, now));
        if !is_any_due {
            return;
        }
        let due: Vec<(Arc<str>, bool)> = self
            .jobs
            .values()
            .filter(|job| {
                self.arbiter(&job.spec.id)
                    .is_some_and(|slot| is_left(slot, now))
            })
            .map(|job| {
                let may_have_run = job.has_started || job.may_run_elsewhere;
                (Arc::clone(&job.spec.id), may_have_run)
            })
            .collect();
        for (id, may_have_run) in due {
            let end = if may_have_run {
                job_model::JobEnd::Failed(job_model::FailureReason::PoolLost)
            } else {
                job_model::JobEnd::Refused {
                    reason: job_model::RefusalReason::NoPool,
                    retry_after: retry_advice::jittered_retry_after(&id, time::Duration::ZERO),
                }
            };
            self.end_job(&id, &end, now);
        }
    }
}

/// Whether the server has been left to another pool for [`LEFT_SERVER_GRACE`].
fn is_left(slot: &server_slot::ServerSlot, now: time::Duration) -> bool {
    slot.registered
        && slot
            .left_since
            .is_some_and(|since| now >= since + LEFT_SERVER_GRACE)
}

/// Returns a hash of which each bit depends on all bits of `value` (the finalizer of `SplitMix64`).
fn mixed_hash(value: u64) -> u64 {
    let mixed = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
