//! Placement of waiting tasks on servers, and stops of runs.

use std::{sync::Arc, time};

use smallvec::SmallVec;

use super::{ServerPool, TaskEntry, TaskPhase, claims, crashes, open_servers};
use crate::{
    crash_ledger, job_model, job_order, pool_action, run_evidence, server_model, server_slot,
    settings, task_placement,
};

/// Multiple of the expected run time after which a run is checked for progress. Estimates are off
/// by up to two fifths in either direction, so a run without a fault seldom takes as long.
const PROGRESS_CHECK_FACTOR: f64 = 2.0;
/// Added to the time until the progress check, so that short tasks are not checked too early.
const PROGRESS_CHECK_MARGIN: time::Duration = time::Duration::from_millis(60);

/// Share of the usable servers that may be used for single runs at a time, as a divisor: these servers do a
/// third of the work that they could.
const RESERVED_SERVERS_DIVISOR: usize = 8;

/// Maximum number of tasks that one pass over the queue places. What a process reads waits meanwhile, and a pass of
/// over `MAX_PAUSE` would count as a pause of the process.
const MAX_PLACEMENTS_PER_PASS: usize = 64;

/// Rank of a server for a task; the lowest is best.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct PlacementRank {
    /// Whether the server may go down by itself, so that a task which may crash its server would be taken
    /// for the cause.
    is_unsteady: bool,
    is_cold: bool,
    cost: f64,
}

impl ServerPool {
    /// Places waiting tasks on servers with free capacity, in the order in which jobs are served. No job is
    /// placed while servers may have inherited runs that this pool does not know: its caller may have
    /// sent it again, and the run of the first copy may go on there.
    ///
    /// Late jobs start only while no other job of their service waits for a server: their runs would
    /// occupy servers that the next job in time needs. Tasks that may crash their server come last of all:
    /// each needs a server for itself, and they have lost so much time that they are late already.
    ///
    /// A pass that ends at its maximum of placements leaves the rest to the next one.
    pub(super) fn schedule(&mut self, now: time::Duration) {
        self.end_evacuated_jobs(now);
        self.placements_left = MAX_PLACEMENTS_PER_PASS;
        self.place_waiting_tasks(now);
        if self.placements_left == 0 {
            self.needs_placement = true;
        } else {
            self.update_service_waits(now);
        }
    }

    fn place_waiting_tasks(&mut self, now: time::Duration) {
        if self.queue.is_empty() || !self.takeover_resolved(now) || self.is_rejection_checked() {
            return;
        }
        let mut open_servers = self.open_servers(now);
        // Spares the order of a long queue while the pool is full.
        let smallest_task = self.queue.iter().map(|position| position.min_cpu_millis);
        if open_servers.is_full_for(smallest_task.min().unwrap_or(0)) {
            return;
        }
        let is_divided = self.is_divided();
        // Reads all servers, so only if a job needs it.
        let mut run_knowledge = None;
        // Services of which a job that can still meet its objective waits for a server.
        let mut contended_services: SmallVec<[Arc<str>; 1]> = SmallVec::new();
        let mut suspected_positions = Vec::new();
        for position in self.service_order(now) {
            if self.placements_left == 0 {
                return;
            }
            let is_full = open_servers.is_full_for(position.min_cpu_millis);
            let tells_contention =
                !position.late && contended_services.len() < open_servers.service_count();
            if is_full && !tells_contention {
                continue;
            }
            let Some(job) = self.jobs.get(&position.job) else {
                self.queue.remove(&position);
                continue;
            };
            let service = Arc::clone(&job.spec.service);
            let is_deferred = self.settings.policies.deferral.is_enabled()
                && position.late
                && contended_services.contains(&service);
            if is_deferred {
                continue;
            }
            let waits_for_reports = job.may_run_elsewhere && {
                let knowledge = *run_knowledge.get_or_insert_with(|| self.run_knowledge(now));
                !self.lost_job_resolved(knowledge, job.admitted_at, now)
            };
            let is_of_another_pool = is_divided && !self.holds_arbiter(&position.job);
            if waits_for_reports
                || self.waits_for_earlier_runs(job, now)
                || is_of_another_pool
                || !self.may_start_tasks(job, now)
            {
                continue;
            }
            if !is_full {
                let unsuspected = crash_ledger::TaskVerdict::Unsuspected;
                self.place_job(&position, unsuspected, &mut open_servers, now);
            }
            let Some(job) = self.jobs.get(&position.job) else {
                continue;
            };
            let is_newly_contended = tells_contention
                && open_servers.has_service(&service)
                && !contended_services.contains(&service)
                && waits_for_server(job);
            if is_newly_contended {
                contended_services.push(service);
            }
            if has_suspected_task(job) {
                suspected_positions.push(position);
            }
        }
        self.place_suspected_tasks(
            &suspected_positions,
            &contended_services,
            &mut open_servers,
            now,
        );
    }

    /// Whether another process may have claimed servers of this pool, which the answer of one will show within a round trip.
    fn is_rejection_checked(&self) -> bool {
        let mut servers = self.servers.values();
        servers.any(server_slot::ServerSlot::is_rejection_checked)
    }

    /// Places tasks that may crash their server, in the order of the queue, each alone on a server.
    fn place_suspected_tasks(
        &mut self,
        positions: &[job_order::QueuePosition],
        contended_services: &[Arc<str>],
        open_servers: &mut open_servers::OpenServers,
        now: time::Duration,
    ) {
        for position in positions {
            let is_contended = self
                .jobs
                .get(&position.job)
                .is_none_or(|job| contended_services.contains(&job.spec.service));
            if !is_contended {
                let verdict = crash_ledger::TaskVerdict::TryAlone;
                self.place_job(position, verdict, open_servers, now);
            }
        }
    }

    /// Whether one more server may be used for a single run.
    fn may_reserve_server(&self, now: time::Duration) -> bool {
        let usable = self.servers.values().filter(|slot| slot.is_usable(now));
        let (reserved, others): (Vec<_>, Vec<_>) = usable.partition(|slot| slot.is_reserved());
        let usable_count = reserved.len() + others.len();
        reserved.len() < usable_count.div_ceil(RESERVED_SERVERS_DIVISOR)
    }

    /// Places ready tasks with `verdict` of one job until one can't be placed.
    fn place_job(
        &mut self,
        position: &job_order::QueuePosition,
        verdict: crash_ledger::TaskVerdict,
        open_servers: &mut open_servers::OpenServers,
        now: time::Duration,
    ) {
        let Some(job) = self.jobs.get(&position.job) else {
            self.queue.remove(position);
            return;
        };
        // No step ends while tasks are placed.
        let ready_steps = job.ready_steps();
        let mut next_task = next_ready_task(job, &ready_steps, verdict, 0);
        while let Some(task_index) = next_task {
            if self.placements_left == 0 {
                return;
            }
            let is_suspected = verdict == crash_ledger::TaskVerdict::TryAlone;
            if is_suspected && !self.may_reserve_server(now) {
                return;
            }
            // Tasks of a step are alike: if one can't be placed, the others seldom can. Ready tasks of
            // other steps are not tried either.
            if !self.place_task(&position.job, task_index, open_servers, now) {
                return;
            }
            next_task = self
                .jobs
                .get(&position.job)
                .and_then(|job| next_ready_task(job, &ready_steps, verdict, task_index + 1));
        }
        let has_waiting_tasks = self.jobs.get(&position.job).is_some_and(|job| {
            job.tasks
                .iter()
                .any(|task| task.phase == TaskPhase::Waiting)
        });
        if !has_waiting_tasks {
            self.queue.remove(position);
        }
    }

    fn place_task(
        &mut self,
        job_id: &Arc<str>,
        task_index: usize,
        open_servers: &mut open_servers::OpenServers,
        now: time::Duration,
    ) -> bool {
        let Some(job) = self.jobs.get(job_id) else {
            return false;
        };
        let spec = Arc::clone(&job.spec);
        let step_of = |task: &TaskEntry| spec.steps.get(usize::from(task.name.step));
        let task = job.tasks.get(task_index);
        let (Some(task), Some(step)) = (task, task.and_then(step_of)) else {
            return false;
        };
        let run_time = job
            .nominal_run_times
            .get(usize::from(task.name.step))
            .copied()
            .unwrap_or_else(|| step.estimate());
        let compared_servers = open_servers.with_room(step.cpu_millis).count();
        self.placement_reads += u64::try_from(compared_servers).unwrap_or(u64::MAX);
        let Some((server, slowdown)) =
            self.choose_server(job_id, task_index, run_time, open_servers, now)
        else {
            return false;
        };
        let (name, run_id) = (task.name.clone(), task.next_run_id);
        let payload = Arc::clone(&job.spec.payload);
        let expected_run_time = run_time.mul_f64(slowdown);
        let is_isolated = task.verdict != crash_ledger::TaskVerdict::Unsuspected;
        let run = server_slot::ServerRun {
            run_id,
            cpu_millis: step.cpu_millis,
            memory_mb: step.memory_mb,
            gpus: step.gpus,
            phase: server_slot::RunPhase::Starting,
            // Set by `new_start_order`.
            token: 0,
            is_isolated,
            has_job: true,
            ordered_at: now,
            initial_percent: 0,
            is_start_known: true,
            confirmed_at: None,
            estimate: step.estimate(),
            nominal_run_time: run_time,
            expected_run_time,
            progress_check_at: now
                + expected_run_time.mul_f64(PROGRESS_CHECK_FACTOR)
                + PROGRESS_CHECK_MARGIN,
            evidence: run_evidence::RunEvidence::default(),
            lease_bound: self.lease_bound(job_id, now),
        };
        let wait = now.saturating_sub(job.arrived_at);
        let may_run_elsewhere = job.may_run_elsewhere;
        let evidence = open_servers.evidence();
        let since_admission = now.saturating_sub(job.admitted_at);
        let renewed_expiry_ms = open_servers.renewed_expiry_ms(&server);
        let Some(order) =
            self.new_start_order(&server, &name, run, payload, renewed_expiry_ms, now)
        else {
            return false;
        };
        let epoch = claims::epoch_input(order.token);
        let inputs = [
            ("wait_ms", pool_action::whole_ms(wait)),
            ("expected_ms", pool_action::whole_ms(expected_run_time)),
            ("run", i64::try_from(run_id).unwrap_or(i64::MAX)),
            ("epoch", epoch),
            ("unreported", claims::count_input(evidence.unreported_count)),
            ("led_ms", pool_action::whole_ms(evidence.led_time)),
            ("may_have_started", i64::from(may_run_elsewhere)),
            ("admitted_ms", pool_action::whole_ms(since_admission)),
        ];
        let request = Arc::from(name.to_string());
        self.record_decision(
            pool_action::DecisionKind::Placed,
            Some(request),
            Some(Arc::clone(&server)),
            evidence.outcome,
            inputs,
        );
        if is_isolated {
            self.record_trial(&server, &name, now);
        }
        self.run_servers.insert(name, Arc::clone(&server));
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.has_started = true;
            if let Some(task) = job.tasks.get_mut(task_index) {
                task.phase = TaskPhase::Placed { server, run_id };
                task.next_run_id = run_id + 1;
            }
        }
        let takes_more = !is_isolated
            && self
                .servers
                .get(&order.server)
                .is_some_and(|slot| slot.is_usable(now) && !slot.is_cold(now));
        open_servers.record_placement(&order.server, step, order.lease_expiry_ms, takes_more);
        self.actions.push(pool_action::PoolAction::Start(order));
        self.placements_left = self.placements_left.saturating_sub(1);
        true
    }

    /// Adds `run` to the server and returns the order to start it, or `None` if its lease can't last until the next
    /// renewal. `renewed_expiry_ms` is the expiry with which an earlier start of the same pass has renewed it.
    fn new_start_order(
        &mut self,
        server: &Arc<str>,
        name: &job_model::TaskName,
        mut run: server_slot::ServerRun,
        payload: Arc<str>,
        renewed_expiry_ms: Option<u64>,
        now: time::Duration,
    ) -> Option<server_model::StartOrder> {
        let slot = self.servers.get_mut(server)?;
        run.token = slot.token;
        let bound = run.lease_bound;
        slot.runs.insert(name.clone(), run);
        let lease_expiry_ms = match renewed_expiry_ms {
            // The other runs have been considered at the same moment.
            Some(expiry_ms) => bound
                .and_then(|bound| slot.lease_expiry_before_ms(bound))
                .map(|latest_ms| expiry_ms.min(latest_ms)),
            None => self.renewed_lease_expiry_ms(server, now),
        };
        let slot = self.servers.get_mut(server)?;
        // The lease has to last until the next renewal.
        let min_expiry_ms = slot.next_lease_expiry_ms(now, self.settings.hold_wait);
        let run = slot.runs.get_mut(name)?;
        let Some(lease_expiry_ms) = lease_expiry_ms.filter(|_| lease_expiry_ms >= min_expiry_ms)
        else {
            slot.runs.remove(name);
            return None;
        };
        let run_id = run.run_id;
        slot.lease_expiry_ms = slot.lease_expiry_ms.max(lease_expiry_ms);
        Some(server_model::StartOrder {
            server: Arc::clone(server),
            address: Arc::clone(&slot.entry.address),
            task: name.clone(),
            run_id,
            payload,
            lease_expiry_ms,
            token: slot.token,
        })
    }

    /// Returns the server with the lowest placement cost for a task, a cold one only if no warm one fits,
    /// with its slowdown factor, or `None` if no server fits or the task should wait for a faster one.
    fn choose_server(
        &self,
        job_id: &Arc<str>,
        task_index: usize,
        run_time: time::Duration,
        open_servers: &open_servers::OpenServers,
        now: time::Duration,
    ) -> Option<(Arc<str>, f64)> {
        let job = self.jobs.get(job_id)?;
        let task = job.tasks.get(task_index)?;
        let step = job.spec.steps.get(usize::from(task.name.step))?;
        let is_suspected = task.verdict != crash_ledger::TaskVerdict::Unsuspected;
        let lease_bound = self.lease_bound(job_id, now)?;
        let mut cheapest: Option<(PlacementRank, &Arc<str>, f64)> = None;
        for open_server in open_servers.with_room_for(step) {
            let id = &open_server.id;
            let Some(slot) = self.servers.get(id) else {
                continue;
            };
            let slowdown = slot.slowdown_factor;
            let is_excluded = slot.entry.service != job.spec.service
                || !slot.is_usable(now)
                || !slot.leases_end_by(lease_bound)
                || !crashes::allows_start(task.verdict, slot)
                || !slot.could_run(step)
                || task.avoided_servers.contains(id)
                || (task.failures > 0 && slot.health.is_on_probation())
                || !allows_another_task(slot, &task.name, step);
            if is_excluded {
                continue;
            }
            let option = task_placement::PlacementOption {
                free_cpu_millis: open_server.free.cpu_millis,
                slowdown_factor: slowdown,
                is_data_local: step
                    .data_rack
                    .as_ref()
                    .is_none_or(|rack| slot.entry.labels.contains(rack)),
            };
            let cost = match self.settings.policies.placement {
                settings::PlacementPolicy::LeastCost => task_placement::placement_cost(
                    &option,
                    step.cpu_millis,
                    self.typical_cpu_millis,
                ),
                settings::PlacementPolicy::FirstFit => 0.0,
            };
            let rank = PlacementRank {
                is_unsteady: is_suspected && slot.was_lost_recently(now),
                is_cold: slot.is_cold(now),
                cost,
            };
            let is_cheapest = cheapest.is_none_or(|(lowest_rank, ..)| rank < lowest_rank);
            // Checked last, as it looks up the jobs of all runs on the server.
            if is_cheapest && self.can_renew_leases_on(open_server, slot, now) {
                cheapest = Some((rank, id, slowdown));
            }
        }
        let (_, id, slowdown) = cheapest?;
        let comparison = task_placement::FasterServerComparison {
            end_on_cheapest: now + run_time.mul_f64(slowdown),
            end_on_fastest: now + run_time.mul_f64(open_servers.min_slowdown(&job.spec.service)),
            objective_at: job.objective_at,
        };
        let should_wait = self.settings.policies.faster_server_wait.is_enabled()
            && self.settings.policies.placement == settings::PlacementPolicy::LeastCost
            && task_placement::should_wait_for_faster(&comparison);
        (!should_wait).then(|| (Arc::clone(id), slowdown))
    }

    /// Orders a run to stop; its capacity counts as used until its end is reported. On a server that
    /// is not held, the run only loses its job; `stop_runs_without_job` stops it later.
    pub(super) fn stop_run(
        &mut self,
        server: &Arc<str>,
        task: &job_model::TaskName,
        cause: &'static str,
    ) {
        let Some(slot) = self.servers.get_mut(server) else {
            return;
        };
        let (token, address) = (slot.token, Arc::clone(&slot.entry.address));
        let is_held = slot.claim_state == server_slot::ClaimState::Held;
        let Some(run) = slot.runs.get_mut(task) else {
            return;
        };
        run.has_job = false;
        run.evidence.record_unused(self.last_active_at);
        if run.phase == server_slot::RunPhase::Stopping || !is_held {
            return;
        }
        run.phase = server_slot::RunPhase::Stopping;
        let order = server_model::StopOrder {
            server: Arc::clone(server),
            address,
            task: task.clone(),
            run_id: run.run_id,
            token,
        };
        self.record_stop_order(server, task, cause);
        self.actions.push(pool_action::PoolAction::Stop(order));
    }
}

/// Returns whether the limit per server of `step` allows one more of its tasks on the server.
fn allows_another_task(
    slot: &server_slot::ServerSlot,
    name: &job_model::TaskName,
    step: &job_model::StepSpec,
) -> bool {
    step.max_per_server.is_none_or(|max_tasks| {
        let task = |index| job_model::TaskName {
            index,
            ..name.clone()
        };
        let same_step_count = slot.runs.range(task(0)..=task(u16::MAX)).count();
        same_step_count < usize::from(max_tasks)
    })
}

/// Whether `job` waits for a server that late jobs of its service could occupy: it has a ready task, which
/// any server with enough processor and memory could run.
pub(super) fn waits_for_server(job: &super::JobEntry) -> bool {
    let verdict = crash_ledger::TaskVerdict::Unsuspected;
    next_ready_task(job, &job.ready_steps(), verdict, 0)
        .and_then(|index| job.tasks.get(index))
        .and_then(|task| job.spec.steps.get(usize::from(task.name.step)))
        .is_some_and(|step| {
            step.gpus == 0 && step.required_label.is_none() && step.max_per_server.is_none()
        })
}

/// Whether `job` has a ready task that may be started alone on a server.
fn has_suspected_task(job: &super::JobEntry) -> bool {
    let verdict = crash_ledger::TaskVerdict::TryAlone;
    next_ready_task(job, &job.ready_steps(), verdict, 0).is_some()
}

/// Returns the index of the first task with `verdict` from `start` on that waits and whose step is ready.
fn next_ready_task(
    job: &super::JobEntry,
    ready_steps: &[bool],
    verdict: crash_ledger::TaskVerdict,
    start: usize,
) -> Option<usize> {
    let ready = |task: &TaskEntry| {
        task.phase == TaskPhase::Waiting
            && task.verdict == verdict
            && ready_steps.get(usize::from(task.name.step)) == Some(&true)
    };
    let tasks = job.tasks.get(start..)?;
    tasks.iter().position(ready).map(|offset| start + offset)
}
