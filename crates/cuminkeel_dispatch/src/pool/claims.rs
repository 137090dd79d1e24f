//! Registration of servers, and claims on them.

use std::{collections::BTreeSet, sync::Arc, time};

use super::{INHERITED_RUN_GRACE, NO_INPUTS, ServerPool, crashes};
use crate::{claim_token, job_model, leadership, pool_action, server_model, server_slot};

/// Half of the pause before the first repeated claim attempt on an unresponsive server; the pause
/// doubles with each attempt.
const CLAIM_BACKOFF_UNIT: time::Duration = time::Duration::from_millis(10);
/// Longest pause between claim attempts on an unresponsive server: the longest time until a server
/// that responds again is used again.
const MAX_CLAIM_BACKOFF: time::Duration = time::Duration::from_millis(400);
/// Number of attempts of a claim that renew the leases of a server, so that one or two lost
/// responses lose no run.
const MAX_RENEWING_CLAIM_ATTEMPTS: u32 = 2;
/// Shortest pause before a claim attempt on a server that refused several.
const MIN_REFUSED_BACKOFF: time::Duration = time::Duration::from_millis(60);
/// Mean interval of claim attempts over all servers that refuse connections, up to forty: with more, each is
/// asked every [`MAX_CLAIM_BACKOFF`].
const REFUSED_CLAIM_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Number of outstanding first claims up to which new ones are begun. More would time out in this
/// process itself if it has a small share of a core.
const MAX_FIRST_CLAIMS_IN_FLIGHT: usize = 64;

/// Time after the removal of a registry entry for which a leader may go on to use the server, as it can't read the
/// registry either. Takeovers ask the server for its runs as long.
const UNLISTED_RUN_TIME: time::Duration = time::Duration::from_secs(10);

impl ServerPool {
    /// Applies a new or changed registry entry.
    pub fn apply_registry_entry(&mut self, entry: server_model::ServerEntry, now: time::Duration) {
        self.step_down_after_pause(now);
        let id = Arc::clone(&entry.id);
        if !self.services.contains(&entry.service) {
            self.services.push(Arc::clone(&entry.service));
        }
        let is_draining = entry.draining;
        let is_new = !self.servers.contains_key(&id);
        // Leases that another leader granted there end when those on the other servers do.
        let inherited_runs_until = match self.leading_since {
            Some(since) if is_new && !self.takeover_resolved(now) => {
                self.inherited_expiry(since.max(self.foreign_claim_at))
            }
            Some(_) | None => time::Duration::ZERO,
        };
        let slot = self
            .servers
            .entry(Arc::clone(&id))
            .or_insert_with(|| server_slot::ServerSlot::new(entry.clone()));
        if is_new {
            slot.inherited_runs_until = inherited_runs_until;
            self.record_replaced_servers(&entry, now);
        }
        let Some(slot) = self.servers.get_mut(&id) else {
            return;
        };
        // Stale reads of the registry return earlier states of the same incarnation.
        let is_stale =
            (entry.incarnation, entry.sequence) < (slot.entry.incarnation, slot.entry.sequence);
        let availability_changed = is_new || !slot.registered || slot.entry.draining != is_draining;
        if is_stale {
            return;
        }
        let address_changed = slot.entry.address != entry.address;
        // Incarnation 0 stands for one that is unknown. The entry may be older than the last report.
        let lost_incarnation = slot.incarnation;
        let has_restarted = lost_incarnation != 0 && entry.incarnation > lost_incarnation;
        slot.set_incarnation(slot.incarnation.max(entry.incarnation));
        if is_new || !slot.registered {
            slot.listed_since = now;
        }
        slot.registered = true;
        slot.unlisted_since = None;
        slot.unlisted_runs_until = time::Duration::ZERO;
        let was_draining = slot.entry.draining;
        let is_same_kind = slot.entry.labels.first() == entry.labels.first();
        slot.replace_entry(entry, now);
        if slot.claim_state != server_slot::ClaimState::Unclaimed
            && (address_changed || has_restarted)
        {
            // During a first claim, the runs on the server stay unknown.
            if slot.claim_state == server_slot::ClaimState::Held {
                slot.claim_state = server_slot::ClaimState::Suspect;
                slot.claim_started_at = now;
            }
            // Starts under the earlier token may still arrive.
            slot.set_token(self.token_source.successor(slot.token));
            if has_restarted {
                self.record_restart(&id, lost_incarnation, was_draining, now);
            }
            self.send_claim_attempt(&id, now);
        }
        if is_new || !is_same_kind {
            self.invalidate_speeds();
        }
        if availability_changed {
            let outcome = if is_draining { "draining" } else { "ready" };
            self.record_decision(
                pool_action::DecisionKind::ServerRegistered,
                None,
                Some(id),
                outcome,
                NO_INPUTS,
            );
        }
    }

    /// Applies the removal of the registry entry of `server`.
    pub fn remove_registry_entry(&mut self, server: &str) {
        self.record_removed_entry(server);
        let Some(slot) = self.servers.get_mut(server) else {
            return;
        };
        slot.registered = false;
        slot.unlisted_since.get_or_insert(self.last_active_at);
        // Its leader may be cut off from the registry, as the server is. That it drained may be out of date:
        // it may have been replaced under its id since.
        if !slot.claim_state.knows_runs() {
            slot.unlisted_runs_until = self.last_active_at + UNLISTED_RUN_TIME;
        }
        let id = Arc::clone(&slot.entry.id);
        let inputs = [("runs", count_input(slot.runs.len())), ("", 0), ("", 0)];
        if slot.runs.is_empty() && !slot.counts_for_takeover(self.last_active_at) {
            self.servers.remove(server);
        }
        self.record_decision(
            pool_action::DecisionKind::ServerUnregistered,
            None,
            Some(id),
            "unlisted",
            inputs,
        );
    }

    /// Claims and releases servers so that the pool, which leads `shards`, holds those in
    /// `wanted`.
    pub fn reconcile_claims(
        &mut self,
        wanted: &BTreeSet<Arc<str>>,
        shards: leadership::ShardSet,
        now: time::Duration,
    ) {
        self.step_down_after_pause(now);
        self.update_shards(shards, !wanted.is_empty(), now);
        // An unregistered server stays claimed until its runs have ended.
        let released: Vec<Arc<str>> = self
            .servers
            .iter()
            .filter(|(id, slot)| {
                slot.claim_state != server_slot::ClaimState::Unclaimed
                    && !wanted.contains(*id)
                    && slot.registered
            })
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in released {
            self.release_server(&id, now, "given_up");
        }
        self.update_left_servers(wanted, now);
        let in_flight = self
            .servers
            .values()
            .filter(|slot| {
                slot.claim_state == server_slot::ClaimState::Claiming
                    && slot.next_claim_at.is_none()
            })
            .count();
        // The remaining servers are claimed at the next reconciliation.
        let due: Vec<Arc<str>> = wanted
            .iter()
            .filter(|id| {
                self.servers
                    .get(*id)
                    .is_some_and(|slot| slot.claim_state == server_slot::ClaimState::Unclaimed)
            })
            .take(MAX_FIRST_CLAIMS_IN_FLIGHT.saturating_sub(in_flight))
            .cloned()
            .collect();
        for id in due {
            self.begin_claim(&id, now);
        }
    }

    fn begin_claim(&mut self, id: &Arc<str>, now: time::Duration) {
        // Another leader may have renewed leases there until now, if this pool had lost the server to it.
        let was_lost = self
            .servers
            .get(id)
            .is_some_and(|slot| slot.token != 0 && now < slot.inherited_runs_until);
        if was_lost || self.is_taking_over(now) {
            self.mark_inherited(id, now);
        }
        if let Some(slot) = self.servers.get_mut(id) {
            slot.claim_state = server_slot::ClaimState::Claiming;
            slot.claim_started_at = now;
            slot.claim_attempts = 0;
            slot.refused_claims = 0;
            slot.claim_unanswered = false;
            slot.rejected_tokens = 0;
            // If another claim was made since the server started, it rejects this one and tells its clock.
            match slot.token {
                0 => {
                    let server_time_ms = claim_token::server_time_ms(slot.incarnation, 0);
                    slot.set_token(self.token_source.at(server_time_ms));
                }
                // A server that grants the token for which it was given up has rejected it falsely.
                _ if slot.token_rejections > 0 => {}
                token => slot.set_token(self.token_source.successor(token)),
            }
            slot.processed_end_sequence = 0;
            slot.clock = None;
            slot.lease_expiry_ms = 0;
        }
        self.send_claim_attempt(id, now);
    }

    /// Claims server `id` anew with the next token after the one that it granted.
    pub(super) fn claim_again(&mut self, id: &Arc<str>, now: time::Duration) {
        if let Some(slot) = self.servers.get_mut(id) {
            slot.set_token(self.token_source.successor(slot.token));
        }
        self.send_claim_attempt(id, now);
    }

    /// Begins the claim on server `id` anew, which has granted a token that it had rejected. Orders which this pool sent
    /// under that token, before it gave the server up or in the meantime, may still arrive: the next token fences
    /// them, and only the report on that one shows which runs the server has.
    pub(super) fn restart_claim(&mut self, id: &Arc<str>, now: time::Duration) {
        if let Some(slot) = self.servers.get_mut(id) {
            slot.claim_started_at = now;
            slot.claim_attempts = 0;
            slot.rejected_tokens = 0;
        }
        self.claim_again(id, now);
    }

    /// Sends an attempt to claim server `id`. An attempt that got no response is repeated with its token: a missing
    /// response says nothing about tokens.
    pub(super) fn send_claim_attempt(&mut self, id: &Arc<str>, now: time::Duration) {
        self.hold_count += 1;
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        let token = slot.token;
        slot.hold_number = self.hold_count;
        slot.claim_attempts += 1;
        slot.next_claim_at = None;
        slot.hold_sent_at = now;
        // The tasks of an unresponsive server can start elsewhere only after its leases have
        // expired, so later attempts do not renew them.
        let renews_lease =
            slot.claim_attempts <= MAX_RENEWING_CLAIM_ATTEMPTS && slot.has_runs_with_job();
        let renewed_expiry_ms = renews_lease
            .then(|| self.renewed_lease_expiry_ms(id, now))
            .flatten();
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        slot.lease_expiry_ms = slot.lease_expiry_ms.max(renewed_expiry_ms.unwrap_or(0));
        let renews_leases = renewed_expiry_ms.is_some();
        let order = server_model::HoldOrder {
            number: slot.hold_number,
            server: Arc::clone(id),
            address: Arc::clone(&slot.entry.address),
            token,
            acknowledged_end_sequence: slot.processed_end_sequence,
            lease_expiry_ms: renewed_expiry_ms,
            wait: time::Duration::ZERO,
            fresh_connection: true,
            pause: time::Duration::ZERO,
        };
        let inputs = [
            ("epoch", epoch_input(token)),
            ("tries", i64::from(slot.claim_attempts)),
            ("runs", count_input(slot.runs.len())),
        ];
        if slot.claim_attempts == 1 {
            self.record_decision(
                pool_action::DecisionKind::Claiming,
                None,
                Some(Arc::clone(id)),
                "sent",
                inputs,
            );
        }
        if renews_leases {
            self.record_lease_renewal(id, now);
        }
        self.actions.push(pool_action::PoolAction::Hold(order));
    }

    /// Returns the longest pause between claim attempts on servers that refuse connections. Such an attempt
    /// costs little, and a crashed server is back at some time within seconds.
    fn max_refused_backoff(&self) -> time::Duration {
        let refusing_servers = self.servers.values().filter(|slot| slot.refused_claims > 0);
        let refusing_count = u32::try_from(refusing_servers.count()).unwrap_or(u32::MAX);
        (REFUSED_CLAIM_INTERVAL * refusing_count).clamp(MIN_REFUSED_BACKOFF, MAX_CLAIM_BACKOFF)
    }

    /// Handles an order to server `id` that got no response or one of another server, or a stop
    /// that was rejected: claims a held server again, or schedules the next attempt of a claim in
    /// progress.
    pub(super) fn handle_failed_order(
        &mut self,
        id: &Arc<str>,
        now: time::Duration,
        cause: &'static str,
    ) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        match slot.claim_state {
            server_slot::ClaimState::Held => {
                slot.claim_state = server_slot::ClaimState::Suspect;
                slot.claim_started_at = now;
                slot.claim_attempts = 0;
                slot.refused_claims = 0;
                let inputs = [("runs", count_input(slot.runs.len())), ("", 0), ("", 0)];
                self.record_decision(
                    pool_action::DecisionKind::Suspect,
                    None,
                    Some(Arc::clone(id)),
                    cause,
                    inputs,
                );
                self.claim_again(id, now);
            }
            server_slot::ClaimState::Claiming | server_slot::ClaimState::Suspect => {
                slot.claim_unanswered = true;
                let backoff = CLAIM_BACKOFF_UNIT * 2_u32.saturating_pow(slot.claim_attempts.min(6));
                let max_backoff = if slot.refused_claims > 0 {
                    self.max_refused_backoff()
                } else {
                    MAX_CLAIM_BACKOFF
                };
                if let Some(slot) = self.servers.get_mut(id) {
                    slot.next_claim_at = Some(now + backoff.min(max_backoff));
                }
            }
            server_slot::ClaimState::Unclaimed => {}
        }
    }

    /// Releases server `id`, leaves its runs to the server's next leader and abandons their jobs.
    /// The decision is logged as `fenced`, whatever the cause.
    pub(super) fn release_server(
        &mut self,
        id: &Arc<str>,
        now: time::Duration,
        cause: &'static str,
    ) {
        let released_runs_until = self.inherited_expiry(now);
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        slot.claim_state = server_slot::ClaimState::Unclaimed;
        slot.next_claim_at = None;
        let runs = std::mem::take(&mut slot.runs);
        if !runs.is_empty() {
            slot.released_runs_until = released_runs_until;
        }
        self.mark_inherited(id, now);
        let inputs = [("runs", count_input(runs.len())), ("", 0), ("", 0)];
        self.record_decision(
            pool_action::DecisionKind::Fenced,
            None,
            Some(Arc::clone(id)),
            cause,
            inputs,
        );
        let jobs: BTreeSet<Arc<str>> = runs.keys().map(|task| Arc::clone(&task.job)).collect();
        for task in runs.keys() {
            self.remove_run_server(id, task);
        }
        for job in jobs {
            self.abandon_job(&job, now);
        }
    }

    /// Releases all servers and abandons all jobs, for which the next leader is responsible. `cause`
    /// goes into the decision log.
    pub fn step_down(&mut self, now: time::Duration, cause: &'static str) {
        let ids: Vec<Arc<str>> = self.servers.keys().cloned().collect();
        for id in ids {
            let is_claimed = self
                .servers
                .get(&id)
                .is_some_and(|slot| slot.claim_state != server_slot::ClaimState::Unclaimed);
            if is_claimed {
                self.release_server(&id, now, cause);
            }
        }
        let jobs: Vec<Arc<str>> = self.jobs.keys().cloned().collect();
        for job in jobs {
            self.abandon_job(&job, now);
        }
        self.update_service_waits(now);
        self.leading_since = None;
        self.record_decision(
            pool_action::DecisionKind::Released,
            None,
            None,
            cause,
            NO_INPUTS,
        );
    }

    pub(super) fn retry_claims(&mut self, now: time::Duration) {
        let due: Vec<Arc<str>> = self
            .servers
            .iter()
            .filter(|(_, slot)| slot.next_claim_at.is_some_and(|at| at <= now))
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in due {
            self.send_claim_attempt(&id, now);
        }
    }

    /// Ends the runs of unresponsive servers whose leases have expired.
    pub(super) fn expire_leases(&mut self, now: time::Duration) {
        let expired: Vec<Arc<str>> = self
            .servers
            .iter()
            .filter(|(_, slot)| {
                slot.claim_state == server_slot::ClaimState::Suspect
                    && !slot.runs.is_empty()
                    && slot.leases_expire_at(self.settings.max_lease) <= now
            })
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in expired {
            self.record_shared_loss(&id, now);
            let Some(slot) = self.servers.get_mut(&id) else {
                continue;
            };
            let runs = std::mem::take(&mut slot.runs);
            let inputs = [
                ("runs", count_input(runs.len())),
                (
                    "silent_ms",
                    pool_action::whole_ms(now.saturating_sub(slot.claim_started_at)),
                ),
                ("refused", i64::from(slot.refused_claims)),
            ];
            let cause = if slot.refused_claims > 0 {
                crashes::LossCause::Refused
            } else {
                crashes::LossCause::Silent
            };
            let beside = runs.len().saturating_sub(1);
            self.record_decision(
                pool_action::DecisionKind::LeasesExpired,
                None,
                Some(Arc::clone(&id)),
                "lapsed",
                inputs,
            );
            for (task, run) in runs {
                self.log_lost_run(&id, &task, cause, beside);
                self.end_run(&id, &task, &run, server_model::RunEnd::Lost, now);
            }
            self.remove_if_unregistered(&id);
        }
    }

    /// Stops runs without a job on held servers once `INHERITED_RUN_GRACE` has passed since their
    /// `ordered_at`: inherited runs that no coordinator has submitted the job of, runs of abandoned
    /// jobs, and runs whose job ended while the server was not held.
    pub(super) fn stop_runs_without_job(&mut self, now: time::Duration) {
        let unwanted_runs: Vec<(Arc<str>, job_model::TaskName)> = self
            .servers
            .iter()
            .filter(|(_, slot)| slot.claim_state == server_slot::ClaimState::Held)
            .flat_map(|(id, slot)| {
                slot.runs
                    .iter()
                    .filter(|(_, run)| {
                        !run.has_job
                            && run.phase == server_slot::RunPhase::Running
                            && now.saturating_sub(run.ordered_at) > INHERITED_RUN_GRACE
                    })
                    .map(|(task, _)| (Arc::clone(id), task.clone()))
            })
            .collect();
        for (id, task) in unwanted_runs {
            self.stop_run(&id, &task, "nobody_waits");
        }
    }

    /// Removes server `id`, whose claim shows that it is gone, if it is not registered.
    pub(super) fn remove_gone_server(&mut self, id: &Arc<str>) {
        if let Some(slot) = self.servers.get_mut(id) {
            slot.unlisted_runs_until = time::Duration::ZERO;
        }
        self.remove_if_unregistered(id);
    }

    /// Removes server `id` if it is not registered and has no runs.
    pub(super) fn remove_if_unregistered(&mut self, id: &Arc<str>) {
        let is_removable = self
            .servers
            .get(id)
            .is_some_and(|slot| !slot.registered && slot.runs.is_empty());
        if is_removable {
            self.servers.remove(id);
        }
    }
}

/// Returns the epoch of `token` as an input of a decision record.
pub(super) fn epoch_input(token: u64) -> i64 {
    i64::try_from(claim_token::epoch(token)).unwrap_or(i64::MAX)
}

/// Returns a count as an input of a decision record.
pub(super) fn count_input(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
