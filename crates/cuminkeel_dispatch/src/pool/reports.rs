//! Hold outcomes: reported runs, reported ends and restarts of servers.

use std::{collections::HashSet, sync::Arc, time};

use super::{
    INHERITED_RUN_GRACE, NO_INPUTS, ServerPool, TaskPhase, claims, crashes,
    inherited_runs::TAKEOVER_TIME, starts,
};
use crate::{
    claim_token, crash_ledger, job_model, overdue_run, pool_action, run_evidence, server_model,
    server_slot, settings,
};

/// Number of runs up to which a report is short, so that the next hold follows at once.
const SHORT_REPORT_RUNS: usize = 64;
/// Pause before a hold for each run beyond that, so that the cost of all reports grows with the runs and not with their
/// square.
const PAUSE_PER_LISTED_RUN: time::Duration = time::Duration::from_micros(25);
/// Longest pause before a hold; a small part of a lease.
const MAX_HOLD_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Shortest wait of a hold and shortest interval between progress checks of a run, so that due
/// checks do not cause a busy loop of holds.
const MIN_HOLD_WAIT: time::Duration = time::Duration::from_millis(40);

impl ServerPool {
    /// Applies the outcome of a hold, a timeout included.
    pub fn apply_hold_outcome(
        &mut self,
        order: &server_model::HoldOrder,
        outcome: server_model::HoldOutcome,
        now: time::Duration,
    ) {
        self.step_down_after_pause(now);
        let id = &order.server;
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        let is_outdated = slot.hold_number != order.number;
        if is_outdated || slot.claim_state == server_slot::ClaimState::Unclaimed {
            return;
        }
        // A single order that goes unanswered is no loss: the claim that follows it is answered.
        let is_failed_claim =
            slot.claim_state == server_slot::ClaimState::Suspect && slot.claim_attempts == 1;
        let is_first_claim = slot.claim_state == server_slot::ClaimState::Claiming;
        let shows_absence = matches!(
            outcome,
            server_model::HoldOutcome::OtherServer | server_model::HoldOutcome::Refused
        );
        let is_answered = matches!(
            outcome,
            server_model::HoldOutcome::Reported(_) | server_model::HoldOutcome::Fenced { .. }
        );
        if slot.is_rejection_checked() && !is_answered {
            self.lose_server(id, now);
            return;
        }
        match outcome {
            server_model::HoldOutcome::Reported(report) => {
                self.apply_hold_report(id, &report, now);
                // If the report led to a new claim, that claim has already sent its own hold.
                let is_latest_hold = self
                    .servers
                    .get(id)
                    .is_some_and(|slot| slot.hold_number == order.number);
                if is_latest_hold {
                    self.send_next_hold(id, now);
                }
                self.needs_placement = true;
            }
            server_model::HoldOutcome::Fenced { clock_ms } => {
                self.handle_fenced_order(id, clock_ms, now);
            }
            server_model::HoldOutcome::OtherServer => {
                slot.health.eject(now);
                self.handle_failed_order(id, now, "other_server");
                self.record_server_replacement(id, now);
            }
            server_model::HoldOutcome::Refused => {
                slot.refused_claims += 1;
                self.handle_failed_order(id, now, "hold_refused");
                if is_failed_claim {
                    self.record_silence(id, now);
                }
                self.record_server_refusal(id, now);
                self.end_doomed_jobs(id, now);
            }
            server_model::HoldOutcome::Unanswered => {
                self.handle_failed_order(id, now, "hold_unanswered");
                if is_failed_claim {
                    self.record_silence(id, now);
                }
            }
        }
        if is_first_claim && shows_absence {
            self.remove_gone_server(id);
        }
    }

    fn apply_hold_report(
        &mut self,
        id: &Arc<str>,
        report: &server_model::HoldReport,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        // Incarnation 0 stands for a registry entry without a start time.
        let has_restarted = report
            .incarnation
            .is_some_and(|incarnation| incarnation != slot.incarnation && slot.incarnation != 0);
        let was_rejected = slot.token_rejections > 0;
        let is_rejection_false = slot.contradicts_rejection(report.incarnation);
        let lost_incarnation = slot.incarnation;
        if let Some(incarnation) = report.incarnation {
            slot.set_incarnation(incarnation);
        }
        let sent_at = slot.hold_sent_at;
        let was_draining = slot.entry.draining;
        if has_restarted {
            self.record_restart(id, lost_incarnation, was_draining, now);
        }
        if self.crash_ledger.has_open_losses(id) {
            self.record_server_response(id, report, sent_at, now);
        }
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        starts::record_clock(slot, report.clock_ms, self.settings.max_lease, now);
        if was_rejected {
            if is_rejection_false {
                self.distrust_server(id, now);
            }
            self.restart_claim(id, now);
            return;
        }
        slot.reported_at = sent_at;
        slot.token_rejections = 0;
        if slot.claim_state != server_slot::ClaimState::Held {
            self.mark_held(id, report.running.len(), now);
        }
        self.apply_reported_ends(id, &report.finished, now);
        self.apply_reported_runs(id, report, sent_at, now);
        if let Some(slot) = self.servers.get_mut(id) {
            // After a restart, the report on a newer token shows which of the remaining runs are lost.
            slot.restart = slot.restart.filter(|_| has_restarted);
        }
        if has_restarted {
            // Starts that were sent to the previous incarnation may still arrive. A new token fences
            // them, and the report on it shows which of the remaining runs the server has.
            self.claim_again(id, now);
        }
        self.remove_if_unregistered(id);
    }

    /// Discards what is known of the previous incarnation of server `id`. Its runs remain until a
    /// report shows which of them the new incarnation has: some may have been started on it.
    pub(super) fn record_restart(
        &mut self,
        id: &Arc<str>,
        lost_incarnation: u64,
        was_draining: bool,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        slot.record_loss(now);
        slot.restart = Some(server_slot::EndedIncarnation {
            incarnation: lost_incarnation,
            was_draining,
        });
        slot.processed_end_sequence = 0;
        slot.lease_expiry_ms = 0;
        slot.clock = None;
        let has_current_entry = slot.has_current_entry();
        let inputs = [
            ("runs", claims::count_input(slot.runs.len())),
            ("entry_read", i64::from(has_current_entry)),
            ("", 0),
        ];
        self.record_decision(
            pool_action::DecisionKind::Restarted,
            None,
            Some(Arc::clone(id)),
            "runs_unknown",
            inputs,
        );
        if !has_current_entry {
            self.actions.push(pool_action::PoolAction::ReadRegistry);
        }
    }

    /// Records that server `id` has granted the claim.
    fn mark_held(&mut self, id: &Arc<str>, running: usize, now: time::Duration) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        // A claim that took long may have been granted because its epoch outgrew that of another pool.
        let is_late_first_claim = slot.claim_state == server_slot::ClaimState::Claiming
            && now > slot.claim_started_at + TAKEOVER_TIME;
        let sent_at = slot.hold_sent_at;
        if slot.claim_state == server_slot::ClaimState::Claiming
            && let Some(reading) = slot.clock
        {
            // The previous leader may have renewed the leases just before.
            let max_lease_ms =
                u64::try_from(self.settings.max_lease.as_millis()).unwrap_or(u64::MAX / 2);
            slot.lease_expiry_ms = slot.lease_expiry_ms.max(reading.clock_ms + max_lease_ms);
            // The first token on a server that nobody had claimed is that of its start. From the next hold on, the
            // token is that of this claim, so that a claim which was made before can't outbid it.
            let server_time_ms = claim_token::server_time_ms(slot.incarnation, reading.clock_ms);
            slot.set_token(self.token_source.at(server_time_ms).max(slot.token));
        }
        slot.claim_state = server_slot::ClaimState::Held;
        slot.released_runs_until = time::Duration::ZERO;
        let inputs = [
            ("tries", i64::from(slot.claim_attempts)),
            (
                "after_ms",
                pool_action::whole_ms(now.saturating_sub(slot.claim_started_at)),
            ),
            ("running", claims::count_input(running)),
        ];
        slot.claim_attempts = 0;
        slot.refused_claims = 0;
        slot.rejected_orders = 0;
        slot.rejected_tokens = 0;
        let has_restarted = slot.restart.is_some();
        let was_unresponsive = std::mem::take(&mut slot.claim_unanswered);
        let epoch = claim_token::epoch(slot.token);
        self.epoch = self.epoch.max(epoch);
        self.record_decision(
            pool_action::DecisionKind::Held,
            None,
            Some(Arc::clone(id)),
            "granted",
            inputs,
        );
        if is_late_first_claim {
            self.record_foreign_claim(sent_at);
        }
        // A restart explains why the server did not respond. Without one, this process may have been cut off.
        if was_unresponsive && !has_restarted {
            self.settle_server(id, now);
        }
    }

    fn apply_reported_ends(
        &mut self,
        id: &Arc<str>,
        ends: &[server_model::ReportedEnd],
        now: time::Duration,
    ) {
        for end in ends {
            let Some(slot) = self.servers.get_mut(id) else {
                return;
            };
            if end.sequence <= slot.processed_end_sequence {
                continue;
            }
            slot.processed_end_sequence = end.sequence;
            let is_known_run = slot
                .runs
                .get(&end.task)
                .is_some_and(|run| run.run_id == end.run_id);
            match slot.runs.remove(&end.task) {
                Some(run) if is_known_run => {
                    self.record_survival(id, &end.task, run.run_id, now);
                    self.end_run(id, &end.task, &run, end.end, now);
                }
                // Another run of the task has ended; the one in the slot goes on.
                Some(run) => {
                    slot.runs.insert(end.task.clone(), run);
                }
                None => self.record_inherited_end(end, now),
            }
        }
    }

    /// Applies the end of an inherited run to the job that waits for its task, or keeps it for a
    /// job that may still be submitted here.
    fn record_inherited_end(&mut self, end: &server_model::ReportedEnd, now: time::Duration) {
        let waiting = self
            .jobs
            .get_mut(&end.task.job)
            .filter(|job| job.may_run_elsewhere)
            .and_then(|job| {
                job.tasks
                    .iter_mut()
                    .find(|task| task.name == end.task && task.phase == TaskPhase::Waiting)
            });
        match waiting {
            Some(task) if end.end == server_model::RunEnd::Done => {
                task.phase = TaskPhase::Done;
                self.complete_if_done(&end.task.job, now);
            }
            // After any other end the task stays queued.
            Some(_) => {}
            None => {
                let kept_until = now + INHERITED_RUN_GRACE;
                self.inherited_ends
                    .insert(end.task.clone(), (end.end, kept_until));
            }
        }
    }

    fn apply_reported_runs(
        &mut self,
        id: &Arc<str>,
        report: &server_model::HoldReport,
        sent_at: time::Duration,
        now: time::Duration,
    ) {
        let reported_runs: HashSet<(&job_model::TaskName, u64)> = report
            .running
            .iter()
            .map(|run| (&run.task, run.run_id))
            .collect();
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        // A run that is not reported has ended if the hold was sent after the server was known to
        // have the run, and can no longer start if the hold carried a newer token. It is lost.
        let token = slot.token;
        let missing_runs: Vec<job_model::TaskName> = slot
            .runs
            .iter()
            .filter(|(task, run)| {
                !reported_runs.contains(&(*task, run.run_id))
                    && (run.confirmed_at.is_some_and(|at| at < sent_at) || run.token < token)
            })
            .map(|(task, _)| task.clone())
            .collect();
        let beside = slot.runs.len().saturating_sub(1);
        let cause = match slot.restart {
            Some(_) => crashes::LossCause::Restarted,
            None => crashes::LossCause::NotReported,
        };
        if let Some(restart) = slot.restart {
            let evidence = crash_ledger::LossEvidence::Restarted;
            self.record_losses(id, restart, &missing_runs, evidence, now);
        }
        for task in missing_runs {
            let run = self
                .servers
                .get_mut(id)
                .and_then(|slot| slot.runs.remove(&task));
            if let Some(run) = run {
                if cause == crashes::LossCause::NotReported {
                    self.record_survival(id, &task, run.run_id, now);
                }
                self.log_lost_run(id, &task, cause, beside);
                self.end_run(id, &task, &run, server_model::RunEnd::Lost, now);
            }
        }
        for run in &report.running {
            self.apply_reported_run(id, run, now);
        }
        self.record_stopped_runs(id, report, sent_at, now);
        self.reschedule_overdue_runs(id, report, now);
    }

    fn apply_reported_run(
        &mut self,
        id: &Arc<str>,
        reported: &server_model::ReportedRun,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        match slot.runs.get_mut(&reported.task) {
            Some(run) if run.run_id == reported.run_id => {
                // The server has granted a later claim since the stop was sent, and still has the run. From
                // now on the stop is fenced, if it was lost on its way.
                let is_stop_lost =
                    run.phase == server_slot::RunPhase::Stopping && run.token < slot.token;
                if run.phase == server_slot::RunPhase::Starting || is_stop_lost {
                    run.phase = server_slot::RunPhase::Running;
                }
                run.confirmed_at.get_or_insert(now);
                // The run is now covered by the token of the latest claim.
                run.token = slot.token;
                if is_stop_lost {
                    self.stop_run(id, &reported.task, "stop_lost");
                }
            }
            Some(_) => {}
            None => {
                // The capacity that the run uses is unknown, so it counts as all of the server, also if that
                // grows.
                let run = server_slot::ServerRun {
                    run_id: reported.run_id,
                    cpu_millis: server_slot::UNKNOWN_CAPACITY,
                    memory_mb: server_slot::UNKNOWN_CAPACITY,
                    gpus: server_slot::UNKNOWN_CAPACITY,
                    phase: server_slot::RunPhase::Running,
                    token: slot.token,
                    is_isolated: false,
                    has_job: false,
                    ordered_at: now,
                    initial_percent: reported.percent,
                    is_start_known: false,
                    confirmed_at: Some(now),
                    // Zero: unknown.
                    estimate: time::Duration::ZERO,
                    nominal_run_time: time::Duration::ZERO,
                    expected_run_time: time::Duration::ZERO,
                    progress_check_at: now + self.settings.max_lease,
                    evidence: run_evidence::RunEvidence::inherited(now),
                    lease_bound: None,
                };
                slot.runs.insert(reported.task.clone(), run);
                self.run_servers
                    .insert(reported.task.clone(), Arc::clone(id));
                let is_adopted = self.adopt_reported_run(&reported.task);
                let outcome = if is_adopted { "adopted" } else { "unknown" };
                let request = Some(Arc::from(reported.task.to_string()));
                let server = Some(Arc::clone(id));
                self.record_decision(
                    pool_action::DecisionKind::InheritedRun,
                    request,
                    server,
                    outcome,
                    NO_INPUTS,
                );
            }
        }
    }

    /// Stops overdue runs whose tasks would probably end sooner if started again. The tasks are placed
    /// anew, possibly on the same server.
    fn reschedule_overdue_runs(
        &mut self,
        id: &Arc<str>,
        report: &server_model::HoldReport,
        now: time::Duration,
    ) {
        // The tasks might not be allowed to start again.
        if self.evacuation.is_some() || !self.settings.policies.overdue_reschedules.is_enabled() {
            return;
        }
        for reported in &report.running {
            let Some(slot) = self.servers.get_mut(id) else {
                return;
            };
            let Some(run) = slot.runs.get_mut(&reported.task) else {
                continue;
            };
            if !run.has_job
                || run.phase != server_slot::RunPhase::Running
                || now < run.progress_check_at
            {
                continue;
            }
            run.progress_check_at = now + run.nominal_run_time.max(MIN_HOLD_WAIT);
            let job = self.jobs.get(&reported.task.job);
            let task = job.and_then(|job| job.tasks.get(job.task_position(&reported.task)?));
            let overdue = overdue_run::OverdueRun {
                elapsed: now.saturating_sub(run.ordered_at),
                percent: reported.percent,
                reschedule_time: run.nominal_run_time + self.settings.stop_time,
                time_to_expiry: job.map_or(time::Duration::ZERO, |job| {
                    job.expires_at.saturating_sub(now)
                }),
                reschedules: task.map_or(0, |task| task.reschedules),
            };
            let action = overdue.action();
            if action != overdue_run::OverdueAction::Wait {
                self.reschedule_run(id, &reported.task, &overdue, action, now);
            }
        }
    }

    fn reschedule_run(
        &mut self,
        id: &Arc<str>,
        name: &job_model::TaskName,
        overdue: &overdue_run::OverdueRun,
        action: overdue_run::OverdueAction,
        now: time::Duration,
    ) {
        if action == overdue_run::OverdueAction::RescheduleAndEject
            && self.settings.policies.ejection.is_enabled()
            && let Some(slot) = self.servers.get_mut(id)
        {
            slot.health.eject(now);
            let inputs = [
                ("elapsed_ms", pool_action::whole_ms(overdue.elapsed)),
                ("percent", i64::from(overdue.percent)),
                ("restart_ms", pool_action::whole_ms(overdue.reschedule_time)),
            ];
            let server = Some(Arc::clone(id));
            self.record_decision(
                pool_action::DecisionKind::Ejected,
                None,
                server,
                "no_progress",
                inputs,
            );
        }
        let task = self
            .jobs
            .get_mut(&name.job)
            .and_then(|job| job.task_mut(name));
        if let Some(task) = task {
            task.reschedules += 1;
        }
        self.stop_run(id, name, "overdue");
    }

    fn send_next_hold(&mut self, id: &Arc<str>, now: time::Duration) {
        self.hold_count += 1;
        let hold_number = self.hold_count;
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        if slot.claim_state != server_slot::ClaimState::Held {
            return;
        }
        let renews_lease = slot.has_runs_with_job();
        let lease_expiry_ms = renews_lease
            .then(|| self.renewed_lease_expiry_ms(id, now))
            .flatten();
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        slot.lease_expiry_ms = slot.lease_expiry_ms.max(lease_expiry_ms.unwrap_or(0));
        let until_check = slot
            .next_progress_check()
            .map_or(self.settings.hold_wait, |at| at.saturating_sub(now));
        // A lease that a bound shortens has to be renewed before it expires.
        let until_renewal = match lease_expiry_ms {
            Some(expiry_ms) => {
                slot.time_to_lease_expiry(expiry_ms, now) / settings::HOLDS_PER_LEASE
            }
            None if renews_lease => MIN_HOLD_WAIT,
            None => self.settings.hold_wait,
        };
        slot.hold_sent_at = now;
        slot.hold_number = hold_number;
        let wait = match () {
            // What the server reported before another pool claimed servers has to be confirmed at once.
            () if slot.reported_at < self.foreign_claim_at => time::Duration::ZERO,
            // The lease is renewed as soon as a job adopts a run.
            () if slot.runs.values().any(|run| !run.has_job) => MIN_HOLD_WAIT,
            () => until_check
                .min(until_renewal)
                .clamp(MIN_HOLD_WAIT, self.settings.hold_wait),
        };
        let order = server_model::HoldOrder {
            number: hold_number,
            server: Arc::clone(id),
            address: Arc::clone(&slot.entry.address),
            token: slot.token,
            acknowledged_end_sequence: slot.processed_end_sequence,
            lease_expiry_ms,
            wait,
            fresh_connection: false,
            pause: hold_pause(slot.runs.len()),
        };
        if lease_expiry_ms.is_some() {
            self.record_lease_renewal(id, now);
        }
        self.actions.push(pool_action::PoolAction::Hold(order));
    }
}

/// Returns the pause before the next hold of a server with `run_count` runs. A server with many runs answers each hold at
/// once, as some run has always just ended, and each report lists the others.
fn hold_pause(run_count: usize) -> time::Duration {
    let long_part = run_count.saturating_sub(SHORT_REPORT_RUNS);
    (PAUSE_PER_LISTED_RUN * u32::try_from(long_part).unwrap_or(u32::MAX)).min(MAX_HOLD_PAUSE)
}
