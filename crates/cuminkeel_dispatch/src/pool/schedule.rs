//! Placing waiting tasks on servers.

use std::{sync::Arc, time};

use super::{ServerPool, TaskPhase, claims};
use crate::{
    health, job_model, job_order, pool_action, server_model, server_slot, settings, task_placement,
};

/// A run is checked for progress after this many times its expected run time:
/// estimates are off by up to two fifths, either way.
const CHECK_AFTER: f64 = 2.0;
/// Added to the time of that check, for short tasks.
const CHECK_MARGIN: time::Duration = time::Duration::from_millis(60);

impl ServerPool {
    /// Starts waiting tasks where there is room, in the order of the queue.
    pub(super) fn schedule(&mut self, now: time::Duration) {
        self.look_at(now);
        let mut most_free = self.most_free(now);
        if most_free == 0 || self.queue.is_empty() {
            return;
        }
        let positions: Vec<job_order::QueuePosition> = self.queue.iter().cloned().collect();
        for position in positions {
            if most_free == 0 {
                return;
            }
            if self.place_job(&position, now) {
                most_free = self.most_free(now);
            }
        }
    }

    fn most_free(&self, now: time::Duration) -> u32 {
        self.servers
            .values()
            .filter(|slot| slot.is_usable(now))
            .map(server_slot::ServerSlot::free_cpu_millis)
            .max()
            .unwrap_or(0)
    }

    /// Places what fits of one job; returns whether anything was placed.
    fn place_job(&mut self, position: &job_order::QueuePosition, now: time::Duration) -> bool {
        let Some(job) = self.jobs.get(&position.job) else {
            self.queue.remove(position);
            return false;
        };
        if job.maybe_elsewhere && !self.is_settled(now) {
            return false;
        }
        let ready: Vec<usize> = job
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.phase == TaskPhase::Waiting && is_ready(job, task))
            .map(|(position, _)| position)
            .collect();
        let mut placed = false;
        for task in ready {
            // Tasks of a step are alike: where one doesn't fit, the others don't either.
            if !self.place_task(&position.job, task, now) {
                break;
            }
            placed = true;
        }
        let waiting = self.jobs.get(&position.job).is_some_and(|job| {
            job.tasks
                .iter()
                .any(|task| task.phase == TaskPhase::Waiting)
        });
        if !waiting {
            self.queue.remove(position);
        }
        placed
    }

    /// Whether runs of a former owner of its shards can't be unknown any more.
    fn is_settled(&self, now: time::Duration) -> bool {
        let all_known = self.servers.iter().all(|(id, slot)| {
            !slot.registered || slot.claim_state.knows_runs() || !self.shards.contains_id(id)
        });
        now >= self.unsettled_until || (all_known && now >= self.registry_sure_at)
    }

    fn place_task(&mut self, job_id: &Arc<str>, position: usize, now: time::Duration) -> bool {
        let Some(job) = self.jobs.get(job_id) else {
            return false;
        };
        let (Some(task), Some(step)) = (
            job.tasks.get(position),
            job.tasks
                .get(position)
                .and_then(|task| job.spec.steps.get(usize::from(task.name.step))),
        ) else {
            return false;
        };
        let run_time = job
            .run_times
            .get(usize::from(task.name.step))
            .copied()
            .unwrap_or_else(|| step.estimate());
        let Some((server, pace)) = self.choose_server(job_id, position, run_time, now) else {
            return false;
        };
        let (name, run_id) = (task.name.clone(), task.next_run);
        let payload = Arc::clone(&job.spec.payload);
        let expected = run_time.mul_f64(pace);
        let run = server_slot::ServerRun {
            run_id,
            cpu_millis: step.cpu_millis,
            memory_mb: step.memory_mb,
            gpus: step.gpus,
            phase: server_slot::RunPhase::Starting,
            token: 0,
            has_job: true,
            ordered_at: now,
            confirmed_at: None,
            estimate: step.estimate(),
            nominal_run_time: run_time,
            expected_run_time: expected,
            progress_check_at: now + expected.mul_f64(CHECK_AFTER) + CHECK_MARGIN,
        };
        let inputs = [
            (
                "wait_ms",
                pool_action::whole_ms(now.saturating_sub(job.arrived)),
            ),
            ("expected_ms", pool_action::whole_ms(expected)),
            ("run", i64::try_from(run_id).unwrap_or(i64::MAX)),
        ];
        let Some(order) = self.order_start(&server, &name, run, payload, now) else {
            return false;
        };
        let request = Arc::from(name.to_string());
        self.note(
            pool_action::DecisionKind::Placed,
            Some(request),
            Some(Arc::clone(&server)),
            "ordered",
            inputs,
        );
        self.run_places.insert(name, Arc::clone(&server));
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.started = true;
            if let Some(task) = job.tasks.get_mut(position) {
                task.phase = TaskPhase::Placed { server, run_id };
                task.next_run = run_id + 1;
            }
        }
        self.actions.push(pool_action::PoolAction::Start(order));
        true
    }

    fn order_start(
        &mut self,
        server: &Arc<str>,
        name: &job_model::TaskName,
        mut run: server_slot::ServerRun,
        payload: Arc<str>,
        now: time::Duration,
    ) -> Option<server_model::StartOrder> {
        let lease = self.settings.lease;
        let slot = self.servers.get_mut(server)?;
        let lease_deadline_ms = slot.next_lease_deadline_ms(now, lease)?;
        slot.lease_deadline_ms = slot.lease_deadline_ms.max(lease_deadline_ms);
        run.token = slot.token;
        let order = server_model::StartOrder {
            server: Arc::clone(server),
            address: Arc::clone(&slot.entry.address),
            task: name.clone(),
            run_id: run.run_id,
            payload,
            lease_deadline_ms,
            token: slot.token,
        };
        slot.runs.insert(name.clone(), run);
        Some(order)
    }

    /// The server on which a task costs least, with its pace.
    fn choose_server(
        &self,
        job_id: &Arc<str>,
        position: usize,
        run_time: time::Duration,
        now: time::Duration,
    ) -> Option<(Arc<str>, f64)> {
        let job = self.jobs.get(job_id)?;
        let task = job.tasks.get(position)?;
        let step = job.spec.steps.get(usize::from(task.name.step))?;
        let mut best: Option<(f64, &Arc<str>, f64)> = None;
        for (id, slot) in &self.servers {
            let excluded = slot.entry.service != job.spec.service
                || !slot.is_usable(now)
                || !slot.fits(step)
                || !slot.could_run(step)
                || task.avoid.contains(id)
                || (task.failures > 0 && slot.health.is_on_probation())
                || !admits_another(slot, &task.name, step);
            if excluded {
                continue;
            }
            let pace = self.slowdown_factor(slot, now);
            let option = task_placement::PlacementOption {
                free_cpu_millis: slot.free_cpu_millis(),
                slowdown_factor: pace,
                is_data_local: step
                    .data_rack
                    .as_ref()
                    .is_none_or(|rack| slot.entry.labels.contains(rack)),
            };
            let cost = match self.settings.policies.placement {
                settings::PlacementPolicy::LeastCost => {
                    task_placement::placement_cost(&option, step.cpu_millis, self.typical_cpu)
                }
                settings::PlacementPolicy::FirstFit => 0.0,
            };
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, id, pace));
            }
        }
        let (_, id, pace) = best?;
        let choice = task_placement::WaitEstimate {
            end_here: now + run_time.mul_f64(pace),
            end_on_fastest: now + run_time.mul_f64(self.fastest_pace(&job.spec.service, now)),
            objective_at: job.objective_at,
        };
        let waits = self.settings.policies.placement == settings::PlacementPolicy::LeastCost
            && task_placement::should_wait_for_faster(&choice);
        (!waits).then(|| (Arc::clone(id), pace))
    }

    /// Least pace of the usable servers of `service`.
    fn fastest_pace(&self, service: &str, now: time::Duration) -> f64 {
        self.servers
            .values()
            .filter(|slot| &*slot.entry.service == service && slot.is_usable(now))
            .map(|slot| self.slowdown_factor(slot, now))
            .fold(f64::MAX, f64::min)
    }

    pub(super) fn slowdown_factor(
        &self,
        slot: &server_slot::ServerSlot,
        now: time::Duration,
    ) -> f64 {
        let unknown = health::KindSlowdown::default();
        let kind = self.kinds.get(&slot.kind()).unwrap_or(&unknown);
        slot.health.slowdown_factor(now, kind)
    }

    /// Orders a run to stop; its room counts as used until its end is listed.
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
        let held = slot.claim_state == server_slot::ClaimState::Held;
        let Some(run) = slot.runs.get_mut(task) else {
            return;
        };
        run.has_job = false;
        if run.phase == server_slot::RunPhase::Stopping || !held {
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
        let inputs = [
            ("runs", claims::as_count(slot.runs.len())),
            ("", 0),
            ("", 0),
        ];
        let request = Some(Arc::from(task.to_string()));
        self.note(
            pool_action::DecisionKind::Stopping,
            request,
            Some(Arc::clone(server)),
            cause,
            inputs,
        );
        self.actions.push(pool_action::PoolAction::Stop(order));
    }
}

/// Whether `step` allows one more of its tasks on the server.
fn admits_another(
    slot: &server_slot::ServerSlot,
    name: &job_model::TaskName,
    step: &job_model::StepSpec,
) -> bool {
    step.max_per_server.is_none_or(|most| {
        let same_step = slot
            .runs
            .keys()
            .filter(|other| other.job == name.job && other.step == name.step)
            .count();
        same_step < usize::from(most)
    })
}

fn is_ready(job: &super::JobEntry, task: &super::TaskEntry) -> bool {
    let Some(step) = job.spec.steps.get(usize::from(task.name.step)) else {
        return false;
    };
    step.depends_on.iter().all(|earlier| {
        job.tasks
            .iter()
            .filter(|other| other.name.step == *earlier)
            .all(|other| other.phase == TaskPhase::Done)
    })
}
