//! What servers list in answer to holds.

use std::{collections::HashSet, sync::Arc, time};

use super::{FOREIGN_GRACE, NO_INPUTS, ServerPool, TaskPhase, claims, starts};
use crate::{job_model, overdue_run, pool_action, server_model, server_slot};

/// Shortest wait of a hold, so that checks of overdue runs don't become a loop.
const MIN_HOLD_WAIT: time::Duration = time::Duration::from_millis(40);

impl ServerPool {
    /// A hold was answered, or wasn't in time.
    pub fn apply_hold_outcome(
        &mut self,
        order: &server_model::HoldOrder,
        verdict: server_model::HoldOutcome,
        now: time::Duration,
    ) {
        let id = &order.server;
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        if slot.token != order.token || slot.claim_state == server_slot::ClaimState::Unclaimed {
            return;
        }
        match verdict {
            server_model::HoldOutcome::Reported(report) => {
                self.take_report(id, &report, now);
                // A new claim meanwhile has a hold of its own.
                let same_claim = self
                    .servers
                    .get(id)
                    .is_some_and(|slot| slot.token == order.token);
                if same_claim {
                    self.next_hold(id, now);
                }
                self.schedule(now);
            }
            server_model::HoldOutcome::Fenced => self.fenced(id, now),
            server_model::HoldOutcome::OtherServer => {
                slot.health.eject(now);
                self.suspect(id, now, "other_server");
            }
            server_model::HoldOutcome::Unanswered => self.suspect(id, now, "hold_unanswered"),
        }
    }

    fn take_report(
        &mut self,
        id: &Arc<str>,
        report: &server_model::HoldReport,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        let reborn = report
            .incarnation
            .is_some_and(|born| born != slot.incarnation && slot.incarnation != 0);
        if let Some(born) = report.incarnation {
            slot.incarnation = born;
        }
        let sent_at = slot.hold_sent_at;
        let mut over = Vec::new();
        if reborn {
            over.extend(std::mem::take(&mut slot.runs));
            slot.processed_end_sequence = 0;
            slot.lease_deadline_ms = 0;
            slot.clock = None;
        }
        starts::read_clock(slot, report.clock_ms, now);
        if slot.claim_state != server_slot::ClaimState::Held {
            self.grant_claim(id, report.running.len(), now);
        }
        if reborn {
            let inputs = [("runs", claims::as_count(over.len())), ("", 0), ("", 0)];
            self.note(
                pool_action::DecisionKind::Restarted,
                None,
                Some(Arc::clone(id)),
                "runs_lost",
                inputs,
            );
            for (task, run) in over {
                self.end_run(id, &task, &run, server_model::RunEnd::LeaseExpired, now);
            }
            // Orders of the former life may still arrive: a new token shuts them out.
            self.claim(id, now);
        }
        self.take_ends(id, &report.finished, now);
        self.take_running(id, report, sent_at, now);
        self.drop_if_gone(id);
    }

    /// The server has listed its runs in answer to a claim.
    fn grant_claim(&mut self, id: &Arc<str>, running: usize, now: time::Duration) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        slot.claim_state = server_slot::ClaimState::Held;
        let inputs = [
            ("tries", i64::from(slot.claim_attempts)),
            (
                "after_ms",
                pool_action::whole_ms(now.saturating_sub(slot.claim_started_at)),
            ),
            ("running", claims::as_count(running)),
        ];
        slot.claim_attempts = 0;
        let epoch = slot.token >> super::TOKEN_NONCE_BITS;
        self.epoch = self.epoch.max(epoch);
        self.note(
            pool_action::DecisionKind::Held,
            None,
            Some(Arc::clone(id)),
            "granted",
            inputs,
        );
    }

    fn take_ends(
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
            let known = slot
                .runs
                .get(&end.task)
                .is_some_and(|run| run.run_id == end.run_id);
            match slot.runs.remove(&end.task) {
                Some(run) if known => self.end_run(id, &end.task, &run, end.end, now),
                Some(run) => {
                    slot.runs.insert(end.task.clone(), run);
                }
                None => self.take_foreign_end(end, now),
            }
        }
    }

    /// An end of a former owner's run; a job that came from there may wait for it.
    fn take_foreign_end(&mut self, end: &server_model::ReportedEnd, now: time::Duration) {
        let waiting = self
            .jobs
            .get_mut(&end.task.job)
            .filter(|job| job.maybe_elsewhere)
            .and_then(|job| {
                job.tasks
                    .iter_mut()
                    .find(|task| task.name == end.task && task.phase == TaskPhase::Waiting)
            });
        match waiting {
            Some(task) if end.end == server_model::RunEnd::Done => {
                task.phase = TaskPhase::Done;
                self.finish_if_done(&end.task.job, now);
            }
            Some(_) => {}
            None => {
                let until = now + FOREIGN_GRACE;
                self.foreign_ends.insert(end.task.clone(), (end.end, until));
            }
        }
    }

    fn take_running(
        &mut self,
        id: &Arc<str>,
        report: &server_model::HoldReport,
        sent_at: time::Duration,
        now: time::Duration,
    ) {
        let listed: HashSet<(&job_model::TaskName, u64)> = report
            .running
            .iter()
            .map(|run| (&run.task, run.run_id))
            .collect();
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        // A run that isn't listed is over if the hold left after the server had it,
        // and can't begin any more if the hold carried a newer token.
        let token = slot.token;
        let gone: Vec<job_model::TaskName> = slot
            .runs
            .iter()
            .filter(|(task, run)| {
                !listed.contains(&(*task, run.run_id))
                    && (run.confirmed_at.is_some_and(|at| at < sent_at) || run.token < token)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in gone {
            let run = self
                .servers
                .get_mut(id)
                .and_then(|slot| slot.runs.remove(&task));
            if let Some(run) = run {
                self.end_run(id, &task, &run, server_model::RunEnd::LeaseExpired, now);
            }
        }
        for run in &report.running {
            self.take_listed_run(id, run, now);
        }
        self.check_progress(id, report, now);
    }

    fn take_listed_run(
        &mut self,
        id: &Arc<str>,
        listed: &server_model::ReportedRun,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        match slot.runs.get_mut(&listed.task) {
            Some(run) if run.run_id == listed.run_id => {
                if run.phase == server_slot::RunPhase::Starting {
                    run.phase = server_slot::RunPhase::Running;
                }
                run.confirmed_at.get_or_insert(now);
                // It belongs to the latest claim from here on.
                run.token = slot.token;
            }
            Some(_) => {}
            None => {
                // How much it uses is unknown, so it counts for the whole server.
                let run = server_slot::ServerRun {
                    run_id: listed.run_id,
                    cpu_millis: slot.entry.cpu_millis,
                    memory_mb: slot.entry.memory_mb,
                    gpus: slot.entry.gpus,
                    phase: server_slot::RunPhase::Running,
                    token: slot.token,
                    has_job: false,
                    ordered_at: now,
                    confirmed_at: Some(now),
                    estimate: time::Duration::ZERO,
                    nominal_run_time: time::Duration::ZERO,
                    expected_run_time: time::Duration::ZERO,
                    progress_check_at: now + self.settings.max_lease,
                };
                slot.runs.insert(listed.task.clone(), run);
                self.run_places.insert(listed.task.clone(), Arc::clone(id));
                let adopted = self.adopt_listed_run(&listed.task);
                let outcome = if adopted { "adopted" } else { "unknown" };
                let request = Some(Arc::from(listed.task.to_string()));
                let server = Some(Arc::clone(id));
                self.note(
                    pool_action::DecisionKind::ForeignRun,
                    request,
                    server,
                    outcome,
                    NO_INPUTS,
                );
            }
        }
    }

    /// Stops overdue runs that would end sooner elsewhere.
    fn check_progress(
        &mut self,
        id: &Arc<str>,
        report: &server_model::HoldReport,
        now: time::Duration,
    ) {
        for listed in &report.running {
            let Some(slot) = self.servers.get_mut(id) else {
                return;
            };
            let Some(run) = slot.runs.get_mut(&listed.task) else {
                continue;
            };
            if !run.has_job
                || run.phase != server_slot::RunPhase::Running
                || now < run.progress_check_at
            {
                continue;
            }
            run.progress_check_at = now + run.nominal_run_time.max(MIN_HOLD_WAIT);
            let job = self.jobs.get(&listed.task.job);
            let task = job.and_then(|job| job.tasks.iter().find(|task| task.name == listed.task));
            let overdue = overdue_run::OverdueRun {
                elapsed: now.saturating_sub(run.ordered_at),
                percent: listed.percent,
                restart_time: run.nominal_run_time + self.settings.stop_time,
                time_left: job.map_or(time::Duration::ZERO, |job| {
                    job.useless_at.saturating_sub(now)
                }),
                reschedules: task.map_or(0, |task| task.moves),
            };
            let verdict = overdue.action();
            if verdict != overdue_run::OverdueAction::Wait {
                self.move_run(id, &listed.task, &overdue, verdict, now);
            }
        }
    }

    fn move_run(
        &mut self,
        id: &Arc<str>,
        name: &job_model::TaskName,
        overdue: &overdue_run::OverdueRun,
        verdict: overdue_run::OverdueAction,
        now: time::Duration,
    ) {
        if verdict == overdue_run::OverdueAction::RescheduleAndEject
            && let Some(slot) = self.servers.get_mut(id)
        {
            slot.health.eject(now);
            let inputs = [
                ("elapsed_ms", pool_action::whole_ms(overdue.elapsed)),
                ("percent", i64::from(overdue.percent)),
                ("restart_ms", pool_action::whole_ms(overdue.restart_time)),
            ];
            let server = Some(Arc::clone(id));
            self.note(
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
            .and_then(|job| job.tasks.iter_mut().find(|task| task.name == *name));
        if let Some(task) = task {
            task.moves += 1;
        }
        self.stop_run(id, name, "overdue");
    }

    fn next_hold(&mut self, id: &Arc<str>, now: time::Duration) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        if slot.claim_state != server_slot::ClaimState::Held {
            return;
        }
        let lease_deadline_ms = slot.next_lease_deadline_ms(now, self.settings.lease);
        slot.lease_deadline_ms = slot.lease_deadline_ms.max(lease_deadline_ms.unwrap_or(0));
        let check_in = slot
            .next_progress_check()
            .map_or(self.settings.hold_wait, |at| at.saturating_sub(now));
        slot.hold_sent_at = now;
        let order = server_model::HoldOrder {
            server: Arc::clone(id),
            address: Arc::clone(&slot.entry.address),
            token: slot.token,
            acknowledged_end_sequence: slot.processed_end_sequence,
            lease_deadline_ms,
            wait: check_in.clamp(MIN_HOLD_WAIT, self.settings.hold_wait),
            fresh_connection: false,
        };
        self.actions.push(pool_action::PoolAction::Hold(order));
    }
}
