//! Runs that are lost with their servers: evidence of crashes, and jobs that are given up for them.

use std::{collections::BTreeMap, sync::Arc, time};

use super::{JobEntry, ServerPool, TaskEntry, TaskPhase, claims};
use crate::{crash_ledger, job_model, pool_action, server_model, server_slot};

/// Number of refused claims after which a server is taken for crashed, some 60 ms after the first.
const MIN_REFUSALS: u32 = 3;

/// What showed that a run was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LossCause {
    /// The leases expired while no process accepted connections at the server's address.
    Refused,
    /// The leases expired while the server did not respond.
    Silent,
    /// The server has restarted.
    Restarted,
    /// The server responds and does not have the run.
    NotReported,
}

impl LossCause {
    fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Silent => "silent",
            Self::Restarted => "restarted",
            Self::NotReported => "not_reported",
        }
    }
}

impl ServerPool {
    /// Records that all runs on server `id`, which does not respond, may be lost with it.
    pub(super) fn record_silence(&mut self, id: &Arc<str>, now: time::Duration) {
        let Some(slot) = self.servers.get_mut(id) else {
            return;
        };
        slot.record_loss(now);
        self.record_all_losses(id, crash_ledger::LossEvidence::Silent, now);
    }

    /// Records that the runs on server `id`, whose leases have expired, have a cause outside of them if
    /// other servers were lost at the same moment.
    pub(super) fn record_shared_loss(&mut self, id: &Arc<str>, now: time::Duration) {
        let Some(slot) = self.servers.get(id) else {
            return;
        };
        let Some(loss) = &slot.latest_loss else {
            return;
        };
        let is_silent = slot.refused_claims == 0;
        let others = self.servers.iter().filter(|(other, slot)| {
            *other != id && slot.claim_state == server_slot::ClaimState::Suspect
        });
        let independent_losses = others
            .filter_map(|(_, other)| other.latest_loss.as_ref())
            .filter(|other| other.is_independent_of(loss))
            .map(|other| other.at);
        let server_count = self.servers.len();
        let is_shared =
            crash_ledger::is_shared_loss(loss.at, is_silent, independent_losses, server_count);
        if is_shared {
            self.record_all_losses(id, crash_ledger::LossEvidence::Shared, now);
        }
    }

    fn record_all_losses(
        &mut self,
        id: &Arc<str>,
        evidence: crash_ledger::LossEvidence,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get(id) else {
            return;
        };
        let ended = server_slot::EndedIncarnation {
            incarnation: slot.incarnation,
            was_draining: slot.entry.draining,
        };
        let tasks: Vec<job_model::TaskName> = slot.runs.keys().cloned().collect();
        self.record_losses(id, ended, &tasks, evidence, now);
    }

    /// Records that the runs of `tasks` on server `id` are lost, or may be, with one of its incarnations.
    /// A draining server is stopped by its operator, so its end says nothing of its runs.
    pub(super) fn record_losses(
        &mut self,
        id: &Arc<str>,
        ended: server_slot::EndedIncarnation,
        tasks: &[job_model::TaskName],
        evidence: crash_ledger::LossEvidence,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get(id) else {
            return;
        };
        if ended.was_draining {
            return;
        }
        let neighbours = u16::try_from(slot.runs.len().saturating_sub(1)).unwrap_or(u16::MAX);
        let losses: Vec<crash_ledger::LostRun> = tasks
            .iter()
            .filter_map(|task| slot.runs.get_key_value(task))
            .map(|(task, run)| crash_ledger::LostRun {
                task: task.clone(),
                run_id: run.run_id,
                server: Arc::clone(id),
                incarnation: ended.incarnation,
                neighbours,
                evidence,
            })
            .collect();
        for lost_run in losses {
            if self.crash_ledger.record(&lost_run, now) {
                self.apply_loss(&lost_run, now);
                self.actions
                    .push(pool_action::PoolAction::ShareLoss(lost_run));
            }
        }
    }

    /// Records that the run of `task` was ordered to start alone on server `id`, so that it counts if this
    /// process is lost together with the server.
    pub(super) fn record_trial(
        &mut self,
        id: &Arc<str>,
        task: &job_model::TaskName,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get(id) else {
            return;
        };
        let ended = server_slot::EndedIncarnation {
            incarnation: slot.incarnation,
            was_draining: slot.entry.draining,
        };
        let evidence = crash_ledger::LossEvidence::Started;
        self.record_losses(id, ended, std::slice::from_ref(task), evidence, now);
    }

    /// Records that server `id` reported the end of the run of `task`, or doesn't have it any more, in the
    /// incarnation that ran it: the server has survived the run.
    pub(super) fn record_survival(
        &mut self,
        id: &Arc<str>,
        task: &job_model::TaskName,
        run_id: u64,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get(id) else {
            return;
        };
        let changed = self
            .crash_ledger
            .record_survival(id, slot.incarnation, task, run_id);
        self.apply_evidence(changed, now);
    }

    /// Records that server `id` responded with `report` to a hold that was sent at `sent_at`.
    pub(super) fn record_server_response(
        &mut self,
        id: &Arc<str>,
        report: &server_model::HoldReport,
        sent_at: time::Duration,
        now: time::Duration,
    ) {
        let Some(slot) = self.servers.get(id) else {
            return;
        };
        let incarnation = report.incarnation.unwrap_or(0);
        // A start may still be on its way.
        let goes_on = |lost_run: &crash_ledger::LostRun| {
            let is_known = slot
                .runs
                .get(&lost_run.task)
                .is_some_and(|run| run.run_id == lost_run.run_id);
            let mut reported = report.running.iter();
            is_known
                || reported.any(|run| run.task == lost_run.task && run.run_id == lost_run.run_id)
        };
        let changed = self
            .crash_ledger
            .record_response(id, incarnation, sent_at, goes_on);
        self.apply_evidence(changed, now);
    }

    /// Records that no process accepts connections at the address of server `id`.
    pub(super) fn record_server_refusal(&mut self, id: &Arc<str>, now: time::Duration) {
        let Some(slot) = self.servers.get(id) else {
            return;
        };
        let changed = self.crash_ledger.record_refusal(id, slot.incarnation);
        self.apply_evidence(changed, now);
    }

    /// Records that another server responds at the address of server `id`, which has ended.
    pub(super) fn record_server_replacement(&mut self, id: &Arc<str>, now: time::Duration) {
        let changed = self.crash_ledger.record_replacement(id);
        self.apply_evidence(changed, now);
    }

    /// Records that the server of the new registry entry `entry` has taken the place of those that had its
    /// address before.
    pub(super) fn record_replaced_servers(
        &mut self,
        entry: &server_model::ServerEntry,
        now: time::Duration,
    ) {
        let replaced: Vec<Arc<str>> = self
            .servers
            .iter()
            .filter(|(id, slot)| slot.entry.address == entry.address && **id != entry.id)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in replaced {
            self.record_server_replacement(&id, now);
        }
    }

    /// Applies losses that another process has recorded, and returns those that are news here.
    pub fn merge_losses(
        &mut self,
        mut losses: Vec<crash_ledger::LostRun>,
        now: time::Duration,
    ) -> Vec<crash_ledger::LostRun> {
        losses.retain(|lost_run| self.crash_ledger.record(lost_run, now));
        for lost_run in &losses {
            if self.jobs.contains_key(&lost_run.task.job) {
                self.apply_loss(lost_run, now);
            }
        }
        losses
    }

    fn apply_evidence(&mut self, changed: Vec<crash_ledger::LostRun>, now: time::Duration) {
        for lost_run in changed {
            self.apply_loss(&lost_run, now);
            self.actions
                .push(pool_action::PoolAction::ShareLoss(lost_run));
        }
    }

    /// Updates the task of a loss that is new or has new evidence.
    fn apply_loss(&mut self, lost_run: &crash_ledger::LostRun, now: time::Duration) {
        let verdict = self.crash_ledger.verdict(&lost_run.task);
        if let Some(task) = self.task_mut(&lost_run.task) {
            task.verdict = verdict;
        }
        self.record_decision(
            pool_action::DecisionKind::LossEvidence,
            Some(Arc::from(lost_run.task.to_string())),
            Some(Arc::clone(&lost_run.server)),
            evidence_label(lost_run.evidence),
            [
                (
                    "losses",
                    claims::count_input(self.crash_ledger.loss_count(&lost_run.task)),
                ),
                ("beside", i64::from(lost_run.neighbours)),
            ],
        );
        self.end_given_up_job(&lost_run.task.job, now);
    }

    /// Ends `job` if it is to be given up for the servers that crashed under one of its tasks. A task whose
    /// run may go on is not given up yet.
    pub(super) fn end_given_up_job(&mut self, job: &Arc<str>, now: time::Duration) {
        if self.jobs.get(job).is_some_and(is_given_up) {
            let reason = job_model::FailureReason::ServersCrashed;
            self.end_job(job, &job_model::JobEnd::Failed(reason), now);
        }
    }

    /// Ends jobs with a run on server `id`, which refuses connections, that are to be given up or can't end in
    /// time any more: a task is not started again before the leases on the server have expired.
    pub(super) fn end_doomed_jobs(&mut self, id: &Arc<str>, now: time::Duration) {
        let Some(slot) = self.servers.get(id) else {
            return;
        };
        if slot.refused_claims < MIN_REFUSALS {
            return;
        }
        let restart_at = slot.leases_expire_at(self.settings.max_lease).max(now);
        let mut doomed: BTreeMap<Arc<str>, job_model::FailureReason> = BTreeMap::new();
        for name in slot.runs.keys() {
            let Some(job) = self.jobs.get(&name.job) else {
                continue;
            };
            let verdict = self.crash_ledger.verdict(name);
            let reason = match () {
                () if verdict == crash_ledger::TaskVerdict::GiveUp => {
                    job_model::FailureReason::ServersCrashed
                }
                () if restart_at + job.critical_path >= job.expires_at => {
                    job_model::FailureReason::OutOfTime
                }
                () => continue,
            };
            doomed.insert(Arc::clone(&name.job), reason);
        }
        for (job, reason) in doomed {
            self.end_job(&job, &job_model::JobEnd::Failed(reason), now);
        }
    }

    /// Logs that the run of `task` on server `id` is lost while `beside` other runs were there.
    pub(super) fn log_lost_run(
        &mut self,
        id: &Arc<str>,
        task: &job_model::TaskName,
        cause: LossCause,
        beside: usize,
    ) {
        let inputs = [
            ("beside", claims::count_input(beside)),
            (
                "losses",
                claims::count_input(self.crash_ledger.loss_count(task)),
            ),
        ];
        self.record_decision(
            pool_action::DecisionKind::RunLost,
            Some(Arc::from(task.to_string())),
            Some(Arc::clone(id)),
            cause.label(),
            inputs,
        );
    }

    /// Returns the entry of `name`, if the pool has its job.
    fn task_mut(&mut self, name: &job_model::TaskName) -> Option<&mut TaskEntry> {
        let job = self.jobs.get_mut(&name.job)?;
        job.tasks.iter_mut().find(|task| task.name == *name)
    }
}

/// Whether a task of `job` that has no run is not to be started again.
pub(super) fn is_given_up(job: &JobEntry) -> bool {
    job.tasks.iter().any(|task| {
        task.phase == TaskPhase::Waiting && task.verdict == crash_ledger::TaskVerdict::GiveUp
    })
}

/// Whether a task with `verdict` may be started on the server of `slot`.
pub(super) fn allows_start(
    verdict: crash_ledger::TaskVerdict,
    slot: &server_slot::ServerSlot,
) -> bool {
    match verdict {
        crash_ledger::TaskVerdict::Unsuspected => true,
        crash_ledger::TaskVerdict::TryAlone => slot.runs.is_empty(),
        crash_ledger::TaskVerdict::AwaitEvidence | crash_ledger::TaskVerdict::GiveUp => false,
    }
}

fn evidence_label(evidence: crash_ledger::LossEvidence) -> &'static str {
    match evidence {
        crash_ledger::LossEvidence::Started => "started",
        crash_ledger::LossEvidence::Silent => "silent",
        crash_ledger::LossEvidence::Refused => "refused",
        crash_ledger::LossEvidence::Restarted => "restarted",
        crash_ledger::LossEvidence::Shared => "shared",
        crash_ledger::LossEvidence::Survived => "survived",
    }
}
