//! Log records from which the cause of overlapping runs of a task can be told.

use std::{collections::BTreeMap, sync::Arc, time};

use super::{ServerPool, claims, inherited_runs::TAKEOVER_TIME};
use crate::{job_model, pool_action, server_model, server_slot};

/// Time for which the removal of a registry entry counts as recent at a takeover: longer than a lease and
/// the interval at which a standby reads the registry together.
const RECENT_REMOVAL_TIME: time::Duration = time::Duration::from_secs(10);

/// Interval of the records of the servers for which all jobs wait.
const TAKEOVER_WAIT_LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Maximum number of such servers that are recorded at a time.
const MAX_LOGGED_WAITS: usize = 8;

/// What allows a pool to start tasks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartEvidence {
    /// Outcome of the decision: which proof there is that no inherited run is unknown.
    pub(super) outcome: &'static str,
    /// Number of servers whose runs are unknown, or were reported before another pool claimed servers.
    pub(super) unreported_count: usize,
    /// Time since this pool began to lead.
    pub(super) led_time: time::Duration,
}

/// Times at which registry entries were removed, by server.
#[derive(Clone, Debug, Default)]
pub(super) struct RemovedEntries(BTreeMap<Arc<str>, time::Duration>);

impl RemovedEntries {
    fn record(&mut self, server: &str, now: time::Duration) {
        self.prune(now);
        self.0.insert(Arc::from(server), now);
    }

    fn prune(&mut self, now: time::Duration) {
        self.0.retain(|_, at| now < *at + RECENT_REMOVAL_TIME);
    }
}

impl ServerPool {
    /// Returns what allows this pool to start tasks at `now`.
    pub(super) fn start_evidence(&self, now: time::Duration) -> StartEvidence {
        let unreported_count = self.unreported_servers(now).count();
        let outcome = match () {
            () if !self.knows_all_servers(now) => "registry_incomplete",
            () if unreported_count == 0 => "servers_reported",
            // They were registered after this pool took over, so they had no runs then.
            () if now < self.inherited_unresolved_until => "servers_added",
            () => "leases_expired",
        };
        StartEvidence {
            outcome,
            unreported_count,
            led_time: self
                .leading_since
                .map_or(time::Duration::ZERO, |since| now.saturating_sub(since)),
        }
    }

    /// Sets how the process reads the registry, for the record of the next takeover.
    pub fn set_registry_view(&mut self, view: server_model::RegistryView) {
        self.registry_view = view;
    }

    /// Records that this pool takes over servers, and what it knows of them.
    pub(super) fn record_takeover(&mut self, now: time::Duration) {
        self.removed_entries.prune(now);
        let registered_count = self.servers.values().filter(|slot| slot.registered).count();
        let inputs = [
            ("servers", claims::count_input(registered_count)),
            (
                "unlisted",
                claims::count_input(self.servers.len() - registered_count),
            ),
            (
                "recent_removals",
                claims::count_input(self.removed_entries.0.len()),
            ),
            (
                "registry_age_ms",
                pool_action::whole_ms(now.saturating_sub(self.registry_read_at)),
            ),
            ("epoch", i64::try_from(self.epoch).unwrap_or(i64::MAX)),
            (
                "held_removals",
                claims::count_input(self.registry_view.held_removals),
            ),
            (
                "registry_since_ms",
                self.registry_view
                    .first_read_at
                    .map_or(-1, |first| pool_action::whole_ms(now.saturating_sub(first))),
            ),
            (
                "history_asked",
                claims::count_input(self.registry_view.history_asked),
            ),
            (
                "history_read",
                claims::count_input(self.registry_view.history_read),
            ),
        ];
        self.record_decision(
            pool_action::DecisionKind::Takeover,
            None,
            None,
            "began",
            inputs,
        );
    }

    /// Records for which servers all jobs wait, while a takeover takes longer than the claims of servers that respond.
    pub(super) fn record_takeover_wait(&mut self, now: time::Duration) {
        let is_due = self
            .takeover_wait_logged_at
            .is_none_or(|at| now >= at + TAKEOVER_WAIT_LOG_INTERVAL);
        let Some(since) = self
            .leading_since
            .filter(|since| is_due && now > *since + TAKEOVER_TIME)
        else {
            return;
        };
        if self.takeover_resolved(now) {
            return;
        }
        self.takeover_wait_logged_at = Some(now);
        let waits: Vec<_> = self
            .unreported_servers(now)
            .filter(|(_, slot)| now < slot.inherited_runs_until)
            .take(MAX_LOGGED_WAITS)
            .map(|(id, slot)| {
                let due_in = slot.inherited_runs_until.saturating_sub(now);
                let inputs = [
                    ("led_ms", pool_action::whole_ms(now.saturating_sub(since))),
                    ("due_in_ms", pool_action::whole_ms(due_in)),
                    ("tries", i64::from(slot.claim_attempts)),
                    ("refused", i64::from(slot.refused_claims)),
                    ("rejected", i64::from(slot.rejected_orders)),
                ];
                (Arc::clone(id), slot.claim_state.name(), inputs)
            })
            .collect();
        for (id, outcome, inputs) in waits {
            let kind = pool_action::DecisionKind::TakeoverWaiting;
            self.record_decision(kind, None, Some(id), outcome, inputs);
        }
    }

    /// Records that the entry of `server` was removed, and which runs the server still has.
    pub(super) fn record_removed_entry(&mut self, server: &str) {
        let now = self.last_active_at;
        self.removed_entries.record(server, now);
        let Some(slot) = self.servers.get(server) else {
            return;
        };
        let id = Arc::clone(&slot.entry.id);
        let runs: Vec<(job_model::TaskName, u64, bool)> = slot
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), run.run_id, run.has_job))
            .collect();
        for (task, run_id, has_job) in runs {
            let inputs = [("run", run_input(run_id)), ("has_job", i64::from(has_job))];
            self.record_run_decision(
                pool_action::DecisionKind::RunUnlisted,
                &id,
                &task,
                "entry_removed",
                inputs,
            );
        }
    }

    /// Records that a run is ordered to stop, the first time or again.
    pub(super) fn record_stop_order(
        &mut self,
        server: &Arc<str>,
        task: &job_model::TaskName,
        cause: &'static str,
    ) {
        let now = self.last_active_at;
        let Some(slot) = self.servers.get_mut(server) else {
            return;
        };
        let run_count = slot.runs.len();
        let Some(run) = slot.runs.get_mut(task) else {
            return;
        };
        let since_stop = run.evidence.time_since_stop(now).unwrap_or_default();
        let kind = match run.evidence.record_stop(now) {
            0 => pool_action::DecisionKind::Stopping,
            _ => pool_action::DecisionKind::StopRepeated,
        };
        let inputs = [
            ("runs", claims::count_input(run_count)),
            ("run", run_input(run.run_id)),
            ("since_stop_ms", pool_action::whole_ms(since_stop)),
        ];
        self.record_run_decision(kind, server, task, cause, inputs);
    }

    /// Records that the stop of `order` got no response or was rejected.
    pub(super) fn record_unconfirmed_stop(
        &mut self,
        order: &server_model::StopOrder,
        now: time::Duration,
    ) {
        let run = self
            .servers
            .get(&order.server)
            .and_then(|slot| slot.runs.get(&order.task))
            .filter(|run| run.run_id == order.run_id);
        // Without the run, its end was reported before the stop timed out.
        let (outcome, since_stop, stop_count) = match run {
            Some(run) => (
                "unanswered",
                run.evidence.time_since_stop(now),
                run.evidence.stop_count(),
            ),
            None => ("already_ended", None, 0),
        };
        let inputs = [
            ("run", run_input(order.run_id)),
            (
                "since_stop_ms",
                pool_action::whole_ms(since_stop.unwrap_or_default()),
            ),
            ("stops", i64::from(stop_count)),
        ];
        self.record_run_decision(
            pool_action::DecisionKind::StopUnconfirmed,
            &order.server,
            &order.task,
            outcome,
            inputs,
        );
    }

    /// Records the runs of server `id` that were ordered to stop and that its response to a hold sent at
    /// `sent_at` still has.
    pub(super) fn record_stopped_runs(
        &mut self,
        id: &Arc<str>,
        report: &server_model::HoldReport,
        sent_at: time::Duration,
        now: time::Duration,
    ) {
        let stop_time = self.settings.stop_time;
        for reported in &report.running {
            let run = self
                .servers
                .get_mut(id)
                .and_then(|slot| slot.runs.get_mut(&reported.task))
                .filter(|run| run.run_id == reported.run_id);
            let Some(run) = run else {
                continue;
            };
            let Some(since_stop) = run.evidence.take_reported_log(sent_at, stop_time, now) else {
                continue;
            };
            let inputs = [
                ("run", run_input(reported.run_id)),
                ("since_stop_ms", pool_action::whole_ms(since_stop)),
                ("stops", i64::from(run.evidence.stop_count())),
                ("percent", i64::from(reported.percent)),
            ];
            self.record_run_decision(
                pool_action::DecisionKind::StopUnconfirmed,
                id,
                &reported.task,
                "still_running",
                inputs,
            );
        }
    }

    /// Records, once for each run, that the leases on server `id` are renewed for other runs and keep a
    /// run that no job uses.
    pub(super) fn record_lease_renewal(&mut self, id: &Arc<str>, now: time::Duration) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        let used_count = slot.runs.values().filter(|run| run.has_job).count();
        let mut records: Vec<(job_model::TaskName, &'static str, u64, time::Duration)> = Vec::new();
        for (task, run) in slot.runs.iter_mut().filter(|(_, run)| !run.has_job) {
            let outcome = match run.phase {
                server_slot::RunPhase::Stopping => "stopping",
                _ if run.evidence.is_inherited() => "inherited",
                server_slot::RunPhase::Starting | server_slot::RunPhase::Running => "abandoned",
            };
            if run.evidence.take_lease_log() {
                let unused_time = run.evidence.unused_time(now);
                records.push((task.clone(), outcome, run.run_id, unused_time));
            }
        }
        for (task, outcome, run_id, unused_time) in records {
            let inputs = [
                ("run", run_input(run_id)),
                ("unused_ms", pool_action::whole_ms(unused_time)),
                ("used_runs", claims::count_input(used_count)),
            ];
            let kind = pool_action::DecisionKind::LeaseExtended;
            self.record_run_decision(kind, id, &task, outcome, inputs);
        }
    }

    fn record_run_decision<const N: usize>(
        &mut self,
        kind: pool_action::DecisionKind,
        server: &Arc<str>,
        task: &job_model::TaskName,
        outcome: &'static str,
        inputs: [(&'static str, i64); N],
    ) {
        let request = Some(Arc::from(task.to_string()));
        let server = Some(Arc::clone(server));
        self.record_decision(kind, request, server, outcome, inputs);
    }
}

fn run_input(run_id: u64) -> i64 {
    i64::try_from(run_id).unwrap_or(i64::MAX)
}
