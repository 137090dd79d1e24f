//! Outcomes of start and stop orders.

use std::{sync::Arc, time};

use super::{NO_INPUTS, ServerPool, open_servers};
use crate::{pool_action, server_model, server_slot};

/// Number of run ids skipped after a server has rejected one as stale.
const SKIPPED_RUN_IDS: u64 = 16;

impl ServerPool {
    /// Applies the outcome of a start, a timeout included.
    pub fn apply_start_outcome(
        &mut self,
        order: &server_model::StartOrder,
        outcome: server_model::StartOutcome,
        now: time::Duration,
    ) {
        self.step_down_after_pause(now);
        let Some(slot) = self.servers.get_mut(&order.server) else {
            return;
        };
        // A claim sent after the order can fence it.
        let is_stale = order.token < slot.token;
        let Some(run) = slot.runs.get_mut(&order.task) else {
            return;
        };
        // Ignores the outcome for an earlier run of the task, which may have had the same id under an earlier claim,
        // and for a run that a hold report has confirmed.
        if (run.run_id, run.token) != (order.run_id, order.token)
            || (run.phase == server_slot::RunPhase::Running && run.confirmed_at.is_some())
        {
            return;
        }
        match outcome {
            server_model::StartOutcome::Started { clock_ms } => {
                run.confirmed_at = Some(now);
                if run.phase == server_slot::RunPhase::Starting {
                    run.phase = server_slot::RunPhase::Running;
                }
                record_clock(slot, clock_ms, self.settings.max_lease, now);
                if slot.open_starts() + 1 == open_servers::MAX_OPEN_STARTS {
                    self.needs_placement = true;
                }
            }
            server_model::StartOutcome::Unanswered => {
                self.handle_failed_order(&order.server, now, "start_unanswered");
            }
            server_model::StartOutcome::Fenced if !is_stale => {
                self.apply_fenced_start(order, now);
            }
            server_model::StartOutcome::Fenced
            | server_model::StartOutcome::StaleRunId
            | server_model::StartOutcome::ArrivedLate
            | server_model::StartOutcome::NoCapacity
            | server_model::StartOutcome::Unhealthy
            | server_model::StartOutcome::OtherServer
            | server_model::StartOutcome::Malformed => self.apply_rejection(order, outcome, now),
        }
    }

    /// Applies the rejection of a start under the latest token: either another process has claimed the server, or the
    /// server rejects the start for no reason.
    fn apply_fenced_start(&mut self, order: &server_model::StartOrder, now: time::Duration) {
        self.apply_rejection(order, server_model::StartOutcome::Fenced, now);
        let Some(slot) = self.servers.get(&order.server) else {
            return;
        };
        match slot.claim_state {
            server_slot::ClaimState::Held if slot.is_unreliable() => {
                self.distrust_server(&order.server, now);
            }
            server_slot::ClaimState::Held => self.handle_fenced_order(&order.server, None, now),
            // A claim is in progress, which shows whether another process has claimed the server.
            server_slot::ClaimState::Unclaimed
            | server_slot::ClaimState::Claiming
            | server_slot::ClaimState::Suspect => {}
        }
    }

    fn apply_rejection(
        &mut self,
        order: &server_model::StartOrder,
        outcome: server_model::StartOutcome,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get_mut(&order.server) else {
            return;
        };
        slot.runs.remove(&order.task);
        let cause = match outcome {
            server_model::StartOutcome::Unhealthy | server_model::StartOutcome::NoCapacity => {
                slot.health.eject(now);
                "unhealthy_or_full"
            }
            server_model::StartOutcome::OtherServer => {
                slot.health.eject(now);
                "other_server"
            }
            server_model::StartOutcome::ArrivedLate => {
                // The clock reading may be wrong. The server gets no more runs until a later response
                // brings a new one.
                slot.clock = None;
                "too_late"
            }
            server_model::StartOutcome::StaleRunId => "run_too_old",
            server_model::StartOutcome::Malformed => "malformed",
            _ if order.token < slot.token => "fenced_by_newer_claim",
            _ => "fenced",
        };
        self.remove_run_server(&order.server, &order.task);
        // A trial counts as a loss from its order on; this one has not begun.
        self.record_survival(&order.server, &order.task, order.run_id, now);
        let request = Some(Arc::from(order.task.to_string()));
        let server = Some(Arc::clone(&order.server));
        self.record_decision(
            pool_action::DecisionKind::StartRejected,
            request,
            server,
            cause,
            NO_INPUTS,
        );
        let skipped_run_ids = if outcome == server_model::StartOutcome::StaleRunId {
            SKIPPED_RUN_IDS
        } else {
            0
        };
        if outcome == server_model::StartOutcome::Malformed {
            self.fail_task(&order.server, &order.task, order.run_id, now);
        } else {
            self.requeue(&order.server, &order.task, order.run_id, skipped_run_ids);
        }
        self.needs_placement = true;
    }

    /// Applies the outcome of a stop, a timeout included.
    pub fn apply_stop_outcome(
        &mut self,
        order: &server_model::StopOrder,
        outcome: server_model::StopOutcome,
        now: time::Duration,
    ) {
        self.step_down_after_pause(now);
        if outcome == server_model::StopOutcome::Accepted {
            return;
        }
        self.record_unconfirmed_stop(order, now);
        // A claim that was made since shows whether the server still has the run, and fences the stop.
        let is_latest_claim = self
            .servers
            .get(&order.server)
            .is_some_and(|slot| slot.token == order.token);
        if is_latest_claim {
            self.handle_failed_order(&order.server, now, "stop_unanswered");
        }
    }
}

/// Records a reading of the server's clock; ignores one older than the latest reading, which can
/// arrive late on another connection.
pub(super) fn record_clock(
    slot: &mut server_slot::ServerSlot,
    clock_ms: u64,
    max_lease: time::Duration,
    now: time::Duration,
) {
    // Starts that were sent before the restart was known asked for leases on the earlier clock, which the server
    // has cut to the longest one.
    let may_have_leases = slot.restart.is_some() && slot.clock.is_none() && !slot.runs.is_empty();
    if may_have_leases {
        let max_lease_ms = u64::try_from(max_lease.as_millis()).unwrap_or(u64::MAX / 2);
        slot.lease_expiry_ms = slot.lease_expiry_ms.max(clock_ms + max_lease_ms);
    }
    let is_newer = slot
        .clock
        .is_none_or(|reading| clock_ms >= reading.clock_ms);
    if is_newer {
        slot.clock = Some(server_slot::ClockReading {
            clock_ms,
            received_at: now,
        });
    }
}
