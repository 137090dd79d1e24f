//! Orders that servers reject for their fencing token: because another process has claimed the server, or for no reason.

use std::{sync::Arc, time};

use super::{ServerPool, claims};
use crate::{claim_token, pool_action, server_slot};

/// Pause before the next attempt on a server that rejected the token of its own time; it doubles with each token.
const MIN_REJECTED_BACKOFF: time::Duration = time::Duration::from_millis(100);
/// Longest pause while higher tokens are left. With two attempts after each pause the server gets ten orders a second.
const MAX_REJECTED_BACKOFF: time::Duration = time::Duration::from_millis(400);
/// Longest pause on a server that rejects the highest token.
const MAX_UNCLAIMABLE_BACKOFF: time::Duration = time::Duration::from_secs(5);
/// Number of times that a held server is asked again with the token that it rejected, before another process is taken to
/// have claimed it: one that rejects some orders for no reason seldom rejects as many in a row.
const MAX_REJECTION_CHECKS: u32 = 2;

impl ServerPool {
    /// Handles a hold or a start that server `id` rejected because it has seen a higher token. `clock_ms` is the server's
    /// clock, if the response has it.
    pub(super) fn handle_fenced_order(
        &mut self,
        id: &Arc<str>,
        clock_ms: Option<u64>,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        if slot.claim_state == server_slot::ClaimState::Unclaimed {
            return;
        }
        slot.rejected_orders = slot.rejected_orders.saturating_add(1);
        slot.token_rejections = slot.token_rejections.saturating_add(1);
        match slot.claim_state {
            server_slot::ClaimState::Claiming => self.handle_rejected_claim(id, clock_ms, now),
            // It may have been claimed by another process all the same, which a first claim outbids.
            server_slot::ClaimState::Suspect if slot.is_unreliable() && slot.runs.is_empty() => {
                slot.claim_state = server_slot::ClaimState::Claiming;
                slot.claim_started_at = now;
                slot.rejected_tokens = 0;
                self.distrust_server(id, now);
                self.handle_rejected_claim(id, clock_ms, now);
            }
            _ if slot.is_unreliable() => {
                self.distrust_server(id, now);
                self.handle_failed_order(id, now, "rejected");
            }
            _ if slot.token_rejections <= MAX_REJECTION_CHECKS => self.check_rejection(id, now),
            _ => self.lose_server(id, now),
        }
    }

    /// Handles the rejection of a first claim: repeats it with a higher token, after the first few tokens with a
    /// pause and once more with the same token. A server that grants that one has rejected it falsely.
    ///
    /// It costs the domain this server only: no rejection renews the time for which jobs wait for its runs.
    fn handle_rejected_claim(&mut self, id: &Arc<str>, clock_ms: Option<u64>, now: time::Duration) {
        let told_epoch = self.told_epoch;
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        let is_new_token = slot.token_rejections == 1;
        if is_new_token {
            slot.rejected_tokens = slot.rejected_tokens.saturating_add(1);
        }
        let rejected_tokens = slot.rejected_tokens;
        let is_expected = rejected_tokens <= claim_token::EXPECTED_REJECTIONS;
        let rejection = claim_token::ClaimRejection {
            token: slot.token,
            count: rejected_tokens,
            server_time_ms: claim_token::server_time_ms(
                slot.incarnation,
                clock_ms.unwrap_or_default(),
            ),
            told_epoch,
        };
        let next_token = self.token_source.after_rejection(&rejection);
        match next_token {
            Some(token) if is_expected || !is_new_token => {
                slot.set_token(token);
                // The other process may have claimed further servers.
                if is_new_token
                    && !slot.is_unreliable()
                    && rejected_tokens == claim_token::EXPECTED_REJECTIONS
                    && !self.is_taking_over(now)
                {
                    self.record_fenced_order(now);
                }
                self.send_claim_attempt(id, now);
            }
            Some(_) => {
                let doublings =
                    rejected_tokens.saturating_sub(claim_token::EXPECTED_REJECTIONS + 1);
                slot.next_claim_at =
                    Some(now + doubled(MIN_REJECTED_BACKOFF, doublings).min(MAX_REJECTED_BACKOFF));
                if rejected_tokens == claim_token::EXPECTED_REJECTIONS + 1 {
                    self.record_rejected_claim(id, "outbid", now);
                }
            }
            None => {
                let doublings = slot.token_rejections.saturating_sub(1);
                slot.next_claim_at = Some(
                    now + doubled(MAX_REJECTED_BACKOFF, doublings).min(MAX_UNCLAIMABLE_BACKOFF),
                );
                if is_new_token {
                    self.record_rejected_claim(id, "no_higher_token", now);
                }
            }
        }
    }

    fn record_rejected_claim(&mut self, id: &Arc<str>, outcome: &'static str, now: time::Duration) {
        let Some(slot) = self.servers.get(id) else {
            return;
        };
        let inputs = [
            ("epoch", claims::epoch_input(slot.token)),
            ("rejected", i64::from(slot.rejected_orders)),
            (
                "after_ms",
                pool_action::whole_ms(now.saturating_sub(slot.claim_started_at)),
            ),
        ];
        let kind = pool_action::DecisionKind::ClaimRejected;
        self.record_decision(kind, None, Some(Arc::clone(id)), outcome, inputs);
    }

    /// Asks held server `id` again with the token of the order that it rejected: only a server that another process has
    /// claimed rejects it again. Until it has answered, no task is started on any server.
    fn check_rejection(&mut self, id: &Arc<str>, now: time::Duration) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        if slot.claim_state == server_slot::ClaimState::Held {
            slot.claim_state = server_slot::ClaimState::Suspect;
            slot.claim_started_at = now;
            slot.claim_attempts = 0;
            slot.refused_claims = 0;
            let inputs = [
                ("runs", claims::count_input(slot.runs.len())),
                ("", 0),
                ("", 0),
            ];
            let kind = pool_action::DecisionKind::Suspect;
            self.record_decision(kind, None, Some(Arc::clone(id)), "rejected", inputs);
        }
        self.send_claim_attempt(id, now);
    }

    /// Records that server `id` rejected orders although it had seen no higher token, which costs its room for a while.
    pub(super) fn distrust_server(&mut self, id: &Arc<str>, now: time::Duration) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        let was_distrusted = now < slot.distrusted_until;
        let distrust_time = slot.record_false_rejection(now);
        if was_distrusted {
            return;
        }
        let inputs = [
            ("rejected", i64::from(slot.rejected_orders)),
            ("times", i64::from(slot.false_rejections)),
            ("for_ms", pool_action::whole_ms(distrust_time)),
        ];
        let kind = pool_action::DecisionKind::Distrusted;
        self.record_decision(kind, None, Some(Arc::clone(id)), "rejects_falsely", inputs);
    }

    /// Gives up server `id`, which another process has claimed.
    pub(super) fn lose_server(&mut self, id: &Arc<str>, now: time::Duration) {
        self.release_server(id, now, "fenced");
        if let Some(slot) = self.servers.get_mut(id) {
            slot.left_since = Some(now);
        }
        self.record_fenced_order(now);
        // Another pool has claimed the server and may run any job that is queued here.
        for job in self.jobs.values_mut() {
            job.may_run_elsewhere = true;
        }
        self.actions.push(pool_action::PoolAction::LostServer {
            server: Arc::clone(id),
        });
    }
}

/// Returns `duration` doubled this many times, up to some days.
fn doubled(duration: time::Duration, doublings: u32) -> time::Duration {
    duration * (1 << doublings.min(16))
}
