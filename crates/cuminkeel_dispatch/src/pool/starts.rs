//! What servers answer to starts and stops.

use std::{sync::Arc, time};

use super::{NO_INPUTS, Pool};
use crate::{pool_action, server_model, server_slot};

/// Numbers skipped when a server has used up a run's number.
const SKIPPED_RUNS: u64 = 16;

impl Pool {
    /// A start was answered, or wasn't in time.
    pub fn start_answered(
        &mut self,
        order: &server_model::StartOrder,
        verdict: server_model::StartVerdict,
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
            server_model::StartVerdict::Started { clock_ms } => {
                run.confirmed_at = Some(now);
                if run.phase == server_slot::RunPhase::Starting {
                    run.phase = server_slot::RunPhase::Running;
                }
                read_clock(slot, clock_ms, now);
            }
            server_model::StartVerdict::Unanswered => {
                self.suspect(&order.server, now, "start_unanswered");
            }
            server_model::StartVerdict::Fenced if !newer_claim => self.fenced(&order.server, now),
            server_model::StartVerdict::Fenced
            | server_model::StartVerdict::RunTooOld
            | server_model::StartVerdict::TooLate
            | server_model::StartVerdict::NoRoom
            | server_model::StartVerdict::Unhealthy
            | server_model::StartVerdict::OtherServer
            | server_model::StartVerdict::Malformed => self.start_denied(order, verdict, now),
        }
    }

    fn start_denied(
        &mut self,
        order: &server_model::StartOrder,
        verdict: server_model::StartVerdict,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get_mut(&order.server) else {
            return;
        };
        slot.runs.remove(&order.task);
        let outcome = match verdict {
            server_model::StartVerdict::Unhealthy | server_model::StartVerdict::NoRoom => {
                slot.health.eject(now);
                "unhealthy_or_full"
            }
            server_model::StartVerdict::OtherServer => {
                slot.health.eject(now);
                "other_server"
            }
            server_model::StartVerdict::TooLate => {
                // The clock reading is off; the next hold brings a new one.
                slot.clock = None;
                "too_late"
            }
            server_model::StartVerdict::RunTooOld => "run_too_old",
            server_model::StartVerdict::Malformed => "malformed",
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
        let skipped = if verdict == server_model::StartVerdict::RunTooOld {
            SKIPPED_RUNS
        } else {
            0
        };
        if verdict == server_model::StartVerdict::Malformed {
            self.task_failed(&order.server, &order.task, order.run_id, now);
        } else {
            self.requeue(&order.task, order.run_id, skipped);
        }
        self.schedule(now);
    }

    /// A stop was answered, or wasn't in time.
    pub fn stop_answered(
        &mut self,
        order: &server_model::StopOrder,
        verdict: server_model::StopVerdict,
        now: time::Duration,
    ) {
        if verdict == server_model::StopVerdict::Unanswered {
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
        slot.clock = Some(server_slot::ClockReading { clock_ms, at: now });
    }
}
