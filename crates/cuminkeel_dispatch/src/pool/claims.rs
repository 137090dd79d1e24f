//! Servers entering and leaving the pool, and the claims on them.

use std::{collections::BTreeSet, sync::Arc, time};

use super::{FOREIGN_GRACE, MAX_EPOCH, NO_INPUTS, ServerPool, TOKEN_NONCE_BITS};
use crate::{job_model, leadership, pool_action, server_model, server_slot};

/// Pause before the first repeated claim; doubled each time.
const MIN_CLAIM_PAUSE: time::Duration = time::Duration::from_millis(10);
/// Longest pause between claims of a silent server: it is used again this long after it is back.
const MAX_CLAIM_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Claims of a silent server that renew its leases: one lost answer or two lose no run.
const RENEWING_CLAIMS: u32 = 2;
/// Step of the epoch by which a server is taken over: beyond the single steps of a former owner
/// that lost touch for some seconds, so that it is turned away and learns of it.
const TAKEOVER_STEP: u64 = 64;
/// Doublings of that step: a billion at most, an eighth of all epochs.
const MAX_DOUBLINGS: u32 = 24;
/// Claims that may wait for their answers: on a small share of a core more would time out
/// in the process itself.
const MAX_CLAIMS_IN_FLIGHT: usize = 64;
/// Claims in a row after which a server that turns them away is left alone for a while.
const MAX_FENCED_TRIES: u32 = 40;

impl ServerPool {
    /// The registry lists `entry`, new or changed.
    pub fn apply_registry_entry(&mut self, entry: server_model::ServerEntry, now: time::Duration) {
        let id = Arc::clone(&entry.id);
        let draining = entry.draining;
        let new = !self.servers.contains_key(&id);
        let slot = self
            .servers
            .entry(Arc::clone(&id))
            .or_insert_with(|| server_slot::ServerSlot::new(entry.clone()));
        // Stale reads of the registry show former states of the same life.
        let stale =
            (entry.incarnation, entry.sequence) < (slot.entry.incarnation, slot.entry.sequence);
        let news = new || !slot.registered || slot.entry.draining != draining;
        if stale {
            return;
        }
        let moved = slot.entry.address != entry.address;
        slot.registered = true;
        slot.entry = entry;
        if moved && slot.claim_state != server_slot::ClaimState::Unclaimed {
            slot.claim_state = server_slot::ClaimState::Suspect;
            self.claim(&id, now);
        }
        if news {
            let outcome = if draining { "draining" } else { "ready" };
            self.note(
                pool_action::DecisionKind::ServerListed,
                None,
                Some(id),
                outcome,
                NO_INPUTS,
            );
        }
    }

    /// The registry lists `server` no more.
    pub fn remove_registry_entry(&mut self, server: &str) {
        let Some(slot) = self.servers.get_mut(server) else {
            return;
        };
        slot.registered = false;
        let id = Arc::clone(&slot.entry.id);
        let inputs = [("runs", as_count(slot.runs.len())), ("", 0), ("", 0)];
        if slot.runs.is_empty() {
            self.servers.remove(server);
        }
        self.note(
            pool_action::DecisionKind::ServerGone,
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
        self.shards = shards;
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
            self.release(&id, now, "given_up");
        }
        let in_flight = self
            .servers
            .values()
            .filter(|slot| {
                slot.claim_state == server_slot::ClaimState::Claiming
                    && slot.next_claim_at.is_none()
            })
            .count();
        // The others follow at the next look.
        let due: Vec<Arc<str>> = wanted
            .iter()
            .filter(|id| {
                self.servers
                    .get(*id)
                    .is_some_and(|slot| slot.claim_state == server_slot::ClaimState::Unclaimed)
            })
            .take(MAX_CLAIMS_IN_FLIGHT.saturating_sub(in_flight))
            .cloned()
            .collect();
        for id in due {
            self.begin_claim(&id, now);
        }
    }

    fn begin_claim(&mut self, id: &Arc<str>, now: time::Duration) {
        self.unsettle(now);
        if let Some(slot) = self.servers.get_mut(id) {
            slot.claim_state = server_slot::ClaimState::Claiming;
            slot.claim_started_at = now;
            slot.claim_attempts = 0;
            slot.processed_end_sequence = 0;
            slot.clock = None;
            slot.lease_deadline_ms = 0;
        }
        self.claim(id, now);
    }

    /// From `now` on there are runs that this pool can't list: their leases run out,
    /// or their next owner stops them.
    fn unsettle(&mut self, now: time::Duration) {
        let settled = now + self.settings.max_lease + FOREIGN_GRACE;
        self.unsettled_until = self.unsettled_until.max(settled);
    }

    /// Sends a hold with a token higher than all before.
    pub(super) fn claim(&mut self, id: &Arc<str>, now: time::Duration) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        // A server that turns claims away has seen a higher epoch: the step doubles.
        let step = match slot.claim_state {
            server_slot::ClaimState::Claiming => {
                TAKEOVER_STEP << slot.claim_attempts.min(MAX_DOUBLINGS)
            }
            _ => 1,
        };
        let seen = (slot.token >> TOKEN_NONCE_BITS).max(self.epoch);
        let epoch = seen.saturating_add(step).min(MAX_EPOCH);
        slot.token = (epoch << TOKEN_NONCE_BITS) | self.nonce;
        slot.claim_attempts += 1;
        slot.next_claim_at = None;
        slot.hold_sent_at = now;
        // A silent server's leases have to run out for its tasks to start elsewhere.
        let deadline = slot
            .next_lease_deadline_ms(now, self.settings.lease)
            .filter(|_| slot.claim_attempts <= RENEWING_CLAIMS);
        slot.lease_deadline_ms = slot.lease_deadline_ms.max(deadline.unwrap_or(0));
        let order = server_model::HoldOrder {
            server: Arc::clone(id),
            address: Arc::clone(&slot.entry.address),
            token: slot.token,
            acknowledged_end_sequence: slot.processed_end_sequence,
            lease_deadline_ms: deadline,
            wait: time::Duration::ZERO,
            fresh_connection: true,
        };
        let inputs = [
            ("epoch", i64::try_from(epoch).unwrap_or(i64::MAX)),
            ("tries", i64::from(slot.claim_attempts)),
            ("runs", as_count(slot.runs.len())),
        ];
        if slot.claim_attempts == 1 {
            self.note(
                pool_action::DecisionKind::Claiming,
                None,
                Some(Arc::clone(id)),
                "sent",
                inputs,
            );
        }
        self.actions.push(pool_action::PoolAction::Hold(order));
    }

    /// An order to `id` went unanswered.
    pub(super) fn suspect(&mut self, id: &Arc<str>, now: time::Duration, cause: &'static str) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        match slot.claim_state {
            server_slot::ClaimState::Held => {
                slot.claim_state = server_slot::ClaimState::Suspect;
                slot.claim_started_at = now;
                slot.claim_attempts = 0;
                let inputs = [("runs", as_count(slot.runs.len())), ("", 0), ("", 0)];
                self.note(
                    pool_action::DecisionKind::Suspect,
                    None,
                    Some(Arc::clone(id)),
                    cause,
                    inputs,
                );
                self.claim(id, now);
            }
            server_slot::ClaimState::Claiming | server_slot::ClaimState::Suspect => {
                let pause = MIN_CLAIM_PAUSE * 2_u32.saturating_pow(slot.claim_attempts.min(6));
                slot.next_claim_at = Some(now + pause.min(MAX_CLAIM_PAUSE));
            }
            server_slot::ClaimState::Unclaimed => {}
        }
    }

    /// A hold was turned away for its token.
    pub(super) fn fenced(&mut self, id: &Arc<str>, now: time::Duration) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        match slot.claim_state {
            server_slot::ClaimState::Claiming if slot.claim_attempts < MAX_FENCED_TRIES => {
                self.claim(id, now);
            }
            server_slot::ClaimState::Unclaimed => {}
            server_slot::ClaimState::Claiming
            | server_slot::ClaimState::Held
            | server_slot::ClaimState::Suspect => {
                self.release(id, now, "fenced");
                // Another pool has acted meanwhile; it may run any job that waits here.
                for job in self.jobs.values_mut() {
                    job.maybe_elsewhere = true;
                }
                self.actions.push(pool_action::PoolAction::LostServer {
                    server: Arc::clone(id),
                });
            }
        }
    }

    /// Gives up `id`; its runs are left to the next owner.
    fn release(&mut self, id: &Arc<str>, now: time::Duration, cause: &'static str) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        slot.claim_state = server_slot::ClaimState::Unclaimed;
        slot.next_claim_at = None;
        let runs = std::mem::take(&mut slot.runs);
        self.unsettle(now);
        let inputs = [("runs", as_count(runs.len())), ("", 0), ("", 0)];
        self.note(
            pool_action::DecisionKind::Fenced,
            None,
            Some(Arc::clone(id)),
            cause,
            inputs,
        );
        let jobs: BTreeSet<Arc<str>> = runs.keys().map(|task| Arc::clone(&task.job)).collect();
        for task in runs.keys() {
            self.run_places.remove(task);
        }
        for job in jobs {
            self.abandon_job(&job, now);
        }
    }

    /// Gives up everything: the jobs belong to the next leader.
    pub fn step_down(&mut self, now: time::Duration, cause: &'static str) {
        let ids: Vec<Arc<str>> = self.servers.keys().cloned().collect();
        for id in ids {
            let held = self
                .servers
                .get(&id)
                .is_some_and(|slot| slot.claim_state != server_slot::ClaimState::Unclaimed);
            if held {
                self.release(&id, now, cause);
            }
        }
        let jobs: Vec<Arc<str>> = self.jobs.keys().cloned().collect();
        for job in jobs {
            self.abandon_job(&job, now);
        }
        self.note(
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
            self.claim(&id, now);
        }
    }

    /// Ends the runs of silent servers whose leases are over.
    pub(super) fn expire_leases(&mut self, now: time::Duration) {
        let lapsed: Vec<Arc<str>> = self
            .servers
            .iter()
            .filter(|(_, slot)| {
                slot.claim_state == server_slot::ClaimState::Suspect
                    && !slot.runs.is_empty()
                    && slot.leases_expire_at().is_some_and(|at| at <= now)
            })
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in lapsed {
            let Some(slot) = self.servers.get_mut(&id) else {
                continue;
            };
            let runs = std::mem::take(&mut slot.runs);
            let inputs = [
                ("runs", as_count(runs.len())),
                (
                    "silent_ms",
                    pool_action::whole_ms(now.saturating_sub(slot.claim_started_at)),
                ),
                ("", 0),
            ];
            self.note(
                pool_action::DecisionKind::LeasesExpired,
                None,
                Some(Arc::clone(&id)),
                "lapsed",
                inputs,
            );
            for (task, run) in runs {
                self.end_run(&id, &task, &run, server_model::RunEnd::LeaseExpired, now);
            }
            self.drop_if_gone(&id);
        }
    }

    /// Stops runs of former owners that no coordinator has asked for.
    pub(super) fn stop_foreign_runs(&mut self, now: time::Duration) {
        let stray: Vec<(Arc<str>, job_model::TaskName)> = self
            .servers
            .iter()
            .filter(|(_, slot)| slot.claim_state == server_slot::ClaimState::Held)
            .flat_map(|(id, slot)| {
                slot.runs
                    .iter()
                    .filter(|(_, run)| {
                        !run.has_job
                            && run.phase == server_slot::RunPhase::Running
                            && now.saturating_sub(run.ordered_at) > FOREIGN_GRACE
                    })
                    .map(|(task, _)| (Arc::clone(id), task.clone()))
            })
            .collect();
        for (id, task) in stray {
            self.stop_run(&id, &task, "nobody_waits");
        }
    }

    pub(super) fn drop_if_gone(&mut self, id: &Arc<str>) {
        let gone = self
            .servers
            .get(id)
            .is_some_and(|slot| !slot.registered && slot.runs.is_empty());
        if gone {
            self.servers.remove(id);
        }
    }
}

pub(super) fn as_count(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
