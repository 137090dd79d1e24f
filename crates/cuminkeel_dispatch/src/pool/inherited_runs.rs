//! Tracks whether the runs that previous leaders started are known. Until then, no task is started.
//!
//! Only the servers know what runs. A job that is offered as new may be a copy whose first run goes on:
//! its caller may have sent it again, to a process that knows nothing of the first copy.

use std::{sync::Arc, time};

use super::{INHERITED_RUN_GRACE, ServerPool, TaskPhase};
use crate::{job_model, leadership, pool_action, server_slot};

/// Time in which claims and a read of the registry are answered unless a server, or the store, is
/// unresponsive: the time limits of both are shorter.
pub(super) const TAKEOVER_TIME: time::Duration = time::Duration::from_millis(200);
/// Added to the longest wait of a hold for the time within which a response to it arrives or its server
/// counts as unresponsive.
const HOLD_RESPONSE_MARGIN: time::Duration = time::Duration::from_millis(100);

/// Longest time between the moments at which two leaders learn that shards move between them: four intervals of
/// the statuses to one of several leaders, after which a link without statuses counts as lost.
const MAX_DIVISION_DELAY: time::Duration = time::Duration::from_millis(1_200);

/// What a pool knows of the runs on the servers of its shards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunKnowledge {
    /// All servers are known, and each has reported its runs since another pool last claimed one.
    Complete,
    /// A server may have runs that it has not reported to this pool.
    Incomplete,
    /// A server is left to another pool, which may start runs there and renew their leases.
    HeldElsewhere,
}

impl ServerPool {
    /// Sets the shards that this pool leads. Begins a takeover if it led none before, if it gains some, or
    /// if it has no claim on any server and wants one.
    pub(super) fn update_shards(
        &mut self,
        shards: leadership::ShardSet,
        wants_servers: bool,
        now: time::Duration,
    ) {
        let led_all_before = self.leading_since.is_some() && self.shards.covers(shards);
        let has_claims = self
            .servers
            .values()
            .any(|slot| slot.claim_state != server_slot::ClaimState::Unclaimed);
        let gives_up_shards = self.leading_since.is_some() && !shards.covers(self.shards);
        let was_resolved = self.takeover_resolved(now);
        if self.shards != shards && shards != leadership::ShardSet::ALL {
            self.shards_divided_at = Some(now);
        }
        self.shards = shards;
        self.takeover_shards = if was_resolved || self.leading_since.is_none() {
            shards
        } else {
            self.takeover_shards.union(shards)
        };
        if gives_up_shards {
            self.end_jobs_of_given_up_shards(now);
        }
        if !led_all_before || (wants_servers && !has_claims) {
            self.leading_since = Some(now);
            self.mark_all_inherited(now);
            self.record_takeover(now);
            self.actions.push(pool_action::PoolAction::ReadRegistry);
        }
    }

    /// Ends jobs that another pool may have started: their runs may be on servers of shards that this
    /// pool has given up, whose next leader knows nothing of the jobs. Jobs with all their tasks placed or
    /// done are kept.
    fn end_jobs_of_given_up_shards(&mut self, now: time::Duration) {
        let ended: Vec<Arc<str>> = self
            .jobs
            .values()
            .filter(|job| job.may_run_elsewhere)
            .filter(|job| {
                job.tasks
                    .iter()
                    .any(|task| task.phase == TaskPhase::Waiting)
            })
            .map(|job| Arc::clone(&job.spec.id))
            .collect();
        for id in ended {
            let end = job_model::JobEnd::Failed(job_model::FailureReason::PoolLost);
            self.end_job(&id, &end, now);
        }
    }

    /// Records that all servers that can delay a takeover may have runs that this pool does not know.
    fn mark_all_inherited(&mut self, now: time::Duration) {
        let expires_at = self.inherited_expiry(now);
        for slot in self.servers.values_mut() {
            slot.inherited_runs_until = if slot.delays_takeover(now) {
                expires_at
            } else {
                time::Duration::ZERO
            };
        }
        self.inherited_unresolved_until = self.inherited_unresolved_until.max(expires_at);
    }

    /// Records that server `id` may have runs that this pool does not know. The wait for other servers goes on as
    /// it was: events that concern one server don't renew it.
    pub(super) fn mark_inherited(&mut self, id: &str, now: time::Duration) {
        let expires_at = self.inherited_expiry(now);
        if let Some(slot) = self.servers.get_mut(id) {
            slot.inherited_runs_until = expires_at;
        }
        self.inherited_unresolved_until = self.inherited_unresolved_until.max(expires_at);
    }

    /// Removes servers without an entry in the registry whose runs have expired. Once those on all servers have,
    /// only the servers of the led shards count.
    pub(super) fn expire_inherited_runs(&mut self, now: time::Duration) {
        self.servers.retain(|_, slot| {
            slot.counts_for_takeover(now) || !slot.runs.is_empty() || slot.claim_state.knows_runs()
        });
        if now >= self.inherited_unresolved_until {
            self.takeover_shards = self.shards;
        }
    }

    /// Records that another pool claimed a server of this one until `at`. It may have claimed others,
    /// too, which a hold that waits at them doesn't show.
    pub(super) fn record_foreign_claim(&mut self, at: time::Duration) {
        self.foreign_claim_at = self.foreign_claim_at.max(at);
    }

    /// Records that an order of this pool was fenced at `now`. The other pool may have claimed further
    /// servers and run copies of any job there, so all servers have to report again.
    pub(super) fn record_fenced_order(&mut self, now: time::Duration) {
        self.record_foreign_claim(now);
        self.mark_all_inherited(now);
    }

    /// Whether a takeover began less than [`TAKEOVER_TIME`] ago, so that the claims of all its servers
    /// were sent at about the same time.
    pub(super) fn is_taking_over(&self, now: time::Duration) -> bool {
        self.leading_since
            .is_some_and(|since| now <= since + TAKEOVER_TIME)
    }

    /// Returns the time by which runs that are unknown at `since` have expired: their leases have, or
    /// the next leader of their server has stopped them.
    pub(super) fn inherited_expiry(&self, since: time::Duration) -> time::Duration {
        since + self.settings.max_lease + INHERITED_RUN_GRACE
    }

    /// Returns whether any job may be started: all inherited runs on registered servers are known or
    /// expired, and so are those of servers that were missing from the registry when this pool took
    /// over its shards.
    pub(super) fn takeover_resolved(&self, now: time::Duration) -> bool {
        let has_expired = |since| now >= self.inherited_expiry(since);
        let registry_resolved =
            self.knows_all_servers(now) || self.leading_since.is_some_and(has_expired);
        let claims_resolved = now >= self.inherited_unresolved_until
            || self
                .unreported_servers(now)
                .all(|(_, slot)| now >= slot.inherited_runs_until);
        registry_resolved && claims_resolved
    }

    /// Lets server `id`, which responds again, get no runs until each hold that waits at another server has
    /// been answered. Another pool may have claimed the other servers meanwhile and started jobs there
    /// that are queued here, too, and this pool may have outbid its claim on server `id`.
    pub(super) fn settle_server(&mut self, id: &Arc<str>, now: time::Duration) {
        let holds_others = self
            .servers
            .iter()
            .any(|(other, slot)| other != id && slot.claim_state == server_slot::ClaimState::Held);
        if holds_others && let Some(slot) = self.servers.get_mut(id) {
            slot.settles_at = now + self.settings.hold_wait + HOLD_RESPONSE_MARGIN;
        }
    }

    /// Returns the time until tasks can probably be started after a takeover: zero while the claims and
    /// the read of the registry that began it have had no time to be answered, then the time until
    /// unknown runs have expired.
    pub(super) fn expected_takeover_wait(&self, now: time::Duration) -> time::Duration {
        match self.leading_since {
            Some(since) if now > since + TAKEOVER_TIME => self
                .unreported_servers(now)
                .map(|(_, slot)| slot.inherited_runs_until.saturating_sub(now))
                .max()
                .unwrap_or_default(),
            Some(_) | None => time::Duration::ZERO,
        }
    }

    /// Returns what is known of the runs on the servers of the shards that this pool leads.
    pub(super) fn run_knowledge(&self, now: time::Duration) -> RunKnowledge {
        let mut knows_all = self.knows_all_servers(now) && !self.was_divided_lately(now);
        for (id, slot) in &self.servers {
            if !slot.counts_for_takeover(now) || !self.shards.contains_id(id) {
                continue;
            }
            match slot.claim_state {
                server_slot::ClaimState::Unclaimed if slot.registered => {
                    return RunKnowledge::HeldElsewhere;
                }
                server_slot::ClaimState::Held if slot.reported_at >= self.foreign_claim_at => {}
                // Another pool may have claimed a server that does not respond to this one.
                server_slot::ClaimState::Unclaimed
                | server_slot::ClaimState::Held
                | server_slot::ClaimState::Claiming
                | server_slot::ClaimState::Suspect => knows_all = false,
            }
        }
        if knows_all {
            RunKnowledge::Complete
        } else {
            RunKnowledge::Incomplete
        }
    }

    /// Returns whether a job admitted at `admitted_at` may be started although another pool may have
    /// started it. In addition to [`Self::takeover_resolved`], all registered servers have reported, also
    /// those added later, or the runs there have expired. While another pool holds one of them, it can
    /// renew the leases of its runs, so the job is not started.
    pub(super) fn lost_job_resolved(
        &self,
        knowledge: RunKnowledge,
        admitted_at: time::Duration,
        now: time::Duration,
    ) -> bool {
        match knowledge {
            RunKnowledge::Complete => true,
            RunKnowledge::Incomplete => {
                now >= self.inherited_expiry(admitted_at.max(self.foreign_claim_at))
            }
            RunKnowledge::HeldElsewhere => false,
        }
    }

    /// Whether shards moved between this pool and another that lives, so that runs of a job which either
    /// had may be on servers of the other. The other may learn of it later, and jobs be offered again after that.
    fn was_divided_lately(&self, now: time::Duration) -> bool {
        self.shards_divided_at
            .is_some_and(|at| now < self.inherited_expiry(at) + MAX_DIVISION_DELAY)
    }

    /// Whether the registry was read since this pool began to lead, so that servers which registered
    /// shortly before are known, and no server with runs may be missing from it.
    pub(super) fn knows_all_servers(&self, now: time::Duration) -> bool {
        now >= self.registry_complete_at
            && self
                .leading_since
                .is_some_and(|since| self.registry_read_at >= since)
    }

    /// Returns the servers of the shards that this pool leads whose runs are unknown: registered ones, and
    /// those that this pool released with runs after the registry had lost their entry.
    pub(super) fn unreported_servers(
        &self,
        now: time::Duration,
    ) -> impl Iterator<Item = (&Arc<str>, &server_slot::ServerSlot)> {
        self.servers.iter().filter(move |(id, slot)| {
            let is_reported =
                slot.claim_state.knows_runs() && slot.reported_at >= self.foreign_claim_at;
            slot.counts_for_takeover(now) && !is_reported && self.takeover_shards.contains_id(id)
        })
    }
}
