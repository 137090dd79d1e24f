//! Admission control: forecasts whether an offered job would meet its objective or, if no other pool
//! has capacity, end before its expiry.

use std::time;

use smallvec::SmallVec;

use super::{JobEntry, ServerPool, TaskPhase};
use crate::{capacity_forecast, job_model, server_slot, settings};

/// Divisor of a job's slack: an `AtOnce` offer is admitted only if its forecast wait is at most
/// this part of the slack, as another pool may have capacity. The forecast start is a lower bound:
/// more urgent jobs that arrive later are placed before it.
const AT_ONCE_SLACK_DIVISOR: u32 = 4;
/// Largest slowdown factor in a forecast, so that times stay finite without any usable server. It
/// also bounds the factor of slow servers, which may be up to about 12.
const MAX_FORECAST_SLOWDOWN: f64 = 10.0;

impl ServerPool {
    /// Returns why `job` has to be refused and the time until its last task could start if its
    /// caller returned then, which is zero for `NoSuitableServer`, or `None` if the job is admitted.
    pub(super) fn predicted_refusal(
        &self,
        job: &JobEntry,
        terms: job_model::OfferTerms,
        now: time::Duration,
    ) -> Option<(job_model::RefusalReason, time::Duration)> {
        let claimed_for_service = |slot: &&server_slot::ServerSlot| {
            slot.claim_state != server_slot::ClaimState::Unclaimed
                && slot.entry.service == job.spec.service
                && slot.registered
        };
        if self.settings.policies.admission == settings::AdmissionPolicy::AdmitAll {
            return None;
        }
        if !self.takeover_resolved(now) {
            return self.refusal_during_takeover(job, now);
        }
        let has_suitable_servers = job.spec.steps.iter().all(|step| {
            self.servers
                .values()
                .filter(claimed_for_service)
                .any(|slot| slot.could_run(step))
        });
        if !has_suitable_servers {
            return Some((
                job_model::RefusalReason::NoSuitableServer,
                time::Duration::ZERO,
            ));
        }
        // The forecast covers only usable servers, so it is too pessimistic while first claims of
        // other servers are in progress or about to begin. Until `inherited_unresolved_until`, the
        // job is then admitted without a forecast.
        if now < self.inherited_unresolved_until && self.awaits_claims(&job.spec.service) {
            return None;
        }
        let (mut forecast, slowdown) = self.forecast(job, terms, now);
        let mut forecast_without_queue = forecast.clone();
        for position in self.queue.range(..&job.queue_position) {
            if let Some(ahead) = self.jobs.get(&position.job)
                && !self.waits_for_earlier_runs(ahead, now)
            {
                let _start = forecast.reserve(queued_work(ahead));
            }
        }
        let Some(start) = forecast.reserve(queued_work(job)) else {
            return Some((
                job_model::RefusalReason::NoSuitableServer,
                time::Duration::ZERO,
            ));
        };
        let critical_path = job.critical_path.mul_f64(slowdown);
        let end = now.saturating_add(start).saturating_add(critical_path);
        let meets_objective = end <= job.objective_at;
        let is_admitted = match terms {
            job_model::OfferTerms::AtOnce => {
                let slack = job.objective_at.saturating_sub(now + critical_path);
                meets_objective && start <= slack / AT_ONCE_SLACK_DIVISOR
            }
            // A late job is queued behind all jobs that can still meet their objective, also those
            // that arrive after it, so its wait is assumed to be twice the forecast one.
            job_model::OfferTerms::Useful => {
                let end = now
                    .saturating_add(start.saturating_mul(2))
                    .saturating_add(critical_path);
                meets_objective || end <= job.expires_at
            }
        };
        if is_admitted {
            return None;
        }
        // All queued jobs have started or expired by then, so a caller need not wait for longer.
        let queue_ends_in = self
            .queue
            .iter()
            .filter_map(|position| self.jobs.get(&position.job))
            .map(|queued| queued.expires_at.saturating_sub(now))
            .max()
            .unwrap_or_default();
        let start_without_queue = forecast_without_queue
            .reserve(queued_work(job))
            .unwrap_or_default();
        let wait = start.min(queue_ends_in.max(start_without_queue));
        Some((job_model::RefusalReason::QueueTooLong, wait))
    }

    /// Whether first claims of registered servers of `service` are in progress or about to begin.
    pub(super) fn awaits_claims(&self, service: &str) -> bool {
        self.servers.iter().any(|(id, slot)| {
            slot.registered
                && &*slot.entry.service == service
                && match slot.claim_state {
                    server_slot::ClaimState::Claiming => true,
                    server_slot::ClaimState::Unclaimed => self.shards.contains_id(id),
                    server_slot::ClaimState::Held | server_slot::ClaimState::Suspect => false,
                }
        })
    }

    /// Returns the refusal of a job offered while runs of previous leaders may be unknown. A copy of
    /// the job may run here, so the reason is one after which no other pool is tried. A job that
    /// another pool may have started is admitted if any server could run it, as its runs may be found.
    pub(super) fn refusal_during_takeover(
        &self,
        job: &JobEntry,
        now: time::Duration,
    ) -> Option<(job_model::RefusalReason, time::Duration)> {
        let is_registered_for_service = |slot: &&server_slot::ServerSlot| {
            slot.registered && slot.entry.service == job.spec.service
        };
        let has_suitable_servers = job.spec.steps.iter().all(|step| {
            self.servers
                .values()
                .filter(is_registered_for_service)
                .any(|slot| slot.could_run(step))
        });
        let wait = self.expected_takeover_wait(now);
        let can_end = now + wait + job.critical_path < job.expires_at;
        let is_admitted = has_suitable_servers && (can_end || job.may_run_elsewhere);
        (!is_admitted).then_some((job_model::RefusalReason::NoPool, wait))
    }

    /// Returns the forecast capacity of the usable servers on which `job` could meet its objective
    /// if it started now, or of all usable servers if there are none, and the lowest slowdown factor
    /// among them.
    fn forecast(
        &self,
        job: &JobEntry,
        terms: job_model::OfferTerms,
        now: time::Duration,
    ) -> (capacity_forecast::CapacityForecast, f64) {
        let usable_servers: Vec<(&server_slot::ServerSlot, f64)> = self
            .servers
            .values()
            .filter(|slot| slot.entry.service == job.spec.service && slot.is_usable(now))
            .map(|slot| (slot, slot.slowdown_factor))
            .collect();
        let could_meet_objective =
            |slowdown: f64| now + job.critical_path.mul_f64(slowdown) <= job.objective_at;
        let any_could_meet_objective = usable_servers
            .iter()
            .any(|(_, slowdown)| could_meet_objective(*slowdown));
        let mut min_slowdown = f64::MAX;
        let mut forecast = capacity_forecast::CapacityForecast::default();
        let max_task_cpu_millis = job
            .spec
            .steps
            .iter()
            .map(|step| step.cpu_millis)
            .max()
            .unwrap_or(0)
            .max(1);
        for (slot, slowdown) in usable_servers {
            if any_could_meet_objective && !could_meet_objective(slowdown) {
                continue;
            }
            min_slowdown = min_slowdown.min(slowdown);
            let startable_tasks = slot.startable_tasks(max_task_cpu_millis, now);
            forecast.add_equal_capacities(u64::from(startable_tasks), time::Duration::ZERO);
            let mut remaining_times: SmallVec<[time::Duration; 8]> = slot
                .runs
                .values()
                .filter(|run| run.has_job)
                .map(|run| match terms {
                    job_model::OfferTerms::AtOnce => run.conservative_remaining(now),
                    job_model::OfferTerms::Useful => run.expected_remaining(now),
                })
                .collect();
            if slot.is_overcommitted() {
                // The first runs that end leave no room, as the capacity has shrunk below what is in use.
                let task_count = slot.entry.cpu_millis / max_task_cpu_millis;
                remaining_times.sort_unstable_by(|earlier, later| later.cmp(earlier));
                remaining_times.truncate(usize::try_from(task_count).unwrap_or(usize::MAX));
            }
            for remaining in remaining_times {
                forecast.add_capacity(remaining);
            }
        }
        (forecast, min_slowdown.min(MAX_FORECAST_SLOWDOWN))
    }
}

/// Returns the tasks of `job` that have no run and whose earlier steps are done, with their mean nominal run
/// time. The tasks of later steps use no capacity before, and the critical path of the job includes them.
pub(super) fn queued_work(job: &JobEntry) -> capacity_forecast::QueuedWork {
    let ready_steps = job.ready_steps();
    let mut task_count = 0;
    let mut total_run_time = time::Duration::ZERO;
    for task in job
        .tasks
        .iter()
        .filter(|task| task.phase == TaskPhase::Waiting)
    {
        let step = usize::from(task.name.step);
        if let (Some(true), Some(run_time)) =
            (ready_steps.get(step), job.nominal_run_times.get(step))
        {
            task_count += 1;
            total_run_time = total_run_time.saturating_add(*run_time);
        }
    }
    capacity_forecast::QueuedWork {
        task_count,
        run_time: total_run_time / u32::try_from(task_count.max(1)).unwrap_or(u32::MAX),
    }
}
