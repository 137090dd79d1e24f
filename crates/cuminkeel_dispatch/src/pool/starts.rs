//! What servers answer to starts and stops.

use std::{sync::Arc, time};

use super::{NO_INPUTS, ServerPool};
use crate::{pool_action, server_model, server_slot};

/// Numbers skipped when a server has used up a run's number.
const SKIPPED_RUNS: u64 = 16;

impl ServerPool {
    /// A start was answered, or wasn't in time.
    pub fn apply_start_outcome(
        &mut self,
        order: &server_model::StartOrder,
        verdict: server_model::StartOutcome,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get_mut(&order.server) else {
            return;
        };
        let newer_claim = order.token < slot.token;
        let Some(run) = slot.runs.get_mut(&order.task) else {
            return;
        };
        if run.run_id != order.run_id
            || (run.phase == server_slot::RunPhase::Running && run.confirmed_at.is_some())
        {
            return;
        }
        match verdict {
            server_model::StartOutcome::Started { clock_ms } => {
                run.confirmed_at = Some(now);
                if run.phase == server_slot::RunPhase::Starting {
                    run.phase = server_slot::RunPhase::Running;
                }
                read_clock(slot, clock_ms, now);
            }
            server_model::StartOutcome::Unanswered => {
                self.suspect(&order.server, now, "start_unanswered");
            }
            server_model::StartOutcome::Fenced if !newer_claim => self.fenced(&order.server, now),
            server_model::StartOutcome::Fenced
            | server_model::StartOutcome::StaleRunId
            | server_model::StartOutcome::DeadlinePassed
            | server_model::StartOutcome::NoCapacity
            | server_model::StartOutcome::Unhealthy
            | server_model::StartOutcome::OtherServer
            | server_model::StartOutcome::Malformed => self.start_denied(order, verdict, now),
        }
    }

    fn start_denied(
        &mut self,
        order: &server_model::StartOrder,
        verdict: server_model::StartOutcome,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get_mut(&order.server) else {
            return;
        };
        slot.runs.remove(&order.task);
        let outcome = match verdict {
            server_model::StartOutcome::Unhealthy | server_model::StartOutcome::NoCapacity => {
                slot.health.eject(now);
                "unhealthy_or_full"
            }
            server_model::StartOutcome::OtherServer => {
                slot.health.eject(now);
                "other_server"
            }
            server_model::StartOutcome::DeadlinePassed => {
                // The clock reading is off; the next hold brings a new one.
                slot.clock = None;
                "too_late"
            }
            server_model::StartOutcome::StaleRunId => "run_too_old",
            server_model::StartOutcome::Malformed => "malformed",
            _ => "fenced_by_newer_claim",
        };
        self.run_places.remove(&order.task);
        let request = Some(Arc::from(order.task.to_string()));
        let server = Some(Arc::clone(&order.server));
        self.note(
            pool_action::DecisionKind::StartDenied,
            request,
            server,
            outcome,
            NO_INPUTS,
        );
        let skipped = if verdict == server_model::StartOutcome::StaleRunId {
            SKIPPED_RUNS
        } else {
            0
        };
        if verdict == server_model::StartOutcome::Malformed {
            self.task_failed(&order.server, &order.task, order.run_id, now);
        } else {
            self.requeue(&order.task, order.run_id, skipped);
        }
        self.schedule(now);
    }

    /// A stop was answered, or wasn't in time.
    pub fn apply_stop_outcome(
        &mut self,
        order: &server_model::StopOrder,
        verdict: server_model::StopOutcome,
        now: time::Duration,
    ) {
        if verdict == server_model::StopOutcome::Unanswered {
            self.suspect(&order.server, now, "stop_unanswered");
        }
    }
}

/// Takes in a reading of the server's clock; an older one on another connection is ignored.
pub(super) fn read_clock(slot: &mut server_slot::ServerSlot, clock_ms: u64, now: time::Duration) {
    let newer = slot
        .clock
        .is_none_or(|reading| clock_ms >= reading.clock_ms);
    if newer {
        slot.clock = Some(server_slot::ClockReading {
            clock_ms,
            received_at: now,
        });
    }
}
