//! Admission control: forecasts whether an offered job would end in time.

use std::time;

use super::{JobEntry, ServerPool, TaskPhase};
use crate::{capacity_forecast, job_model, server_slot, settings};

/// Divisor of a job's slack: its start may wait for this part of the slack where another pool
/// may have capacity. More urgent jobs will be placed before it, so the forecast start is a
/// lower bound.
const AT_ONCE_SLACK_DIVISOR: u32 = 4;
/// Largest slowdown factor in a forecast, so that times stay finite without any usable server.
const MAX_FORECAST_SLOWDOWN: f64 = 10.0;

impl ServerPool {
    /// Returns why `job` has to be refused and the time until its last task would start, or
    /// `None` if it is admitted.
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
        if self
            .servers
            .values()
            .filter(claimed_for_service)
            .any(|slot| slot.claim_state == server_slot::ClaimState::Claiming)
            && now < self.inherited_unresolved_until
        {
            return None;
        }
        let (mut forecast, slowdown) = self.forecast(job, terms, now);
        for position in self.queue.range(..&job.queue_position) {
            if let Some(ahead) = self.jobs.get(&position.job) {
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
        let ends_in_time = now + start + critical_path <= job.objective_at;
        let is_admitted = match terms {
            job_model::OfferTerms::AtOnce => {
                let slack = job.objective_at.saturating_sub(now + critical_path);
                ends_in_time && start <= slack / AT_ONCE_SLACK_DIVISOR
            }
            // A late job is queued behind all jobs that can still end in time, also those that
            // arrive after it, so its wait counts twice.
            job_model::OfferTerms::Useful => {
                ends_in_time || now + start * 2 + critical_path <= job.expires_at
            }
        };
        (!is_admitted).then_some((job_model::RefusalReason::QueueTooLong, start))
    }

    /// Returns the forecast capacity of the servers that can run `job` in time, or of all if none
    /// can, and the lowest slowdown factor among them.
    fn forecast(
        &self,
        job: &JobEntry,
        terms: job_model::OfferTerms,
        now: time::Duration,
    ) -> (capacity_forecast::CapacityForecast, f64) {
        let usable_servers = || {
            self.servers
                .values()
                .filter(|slot| slot.entry.service == job.spec.service && slot.is_usable(now))
                .map(|slot| (slot, self.slowdown_factor(slot, now)))
        };
        let ends_in_time =
            |slowdown: f64| now + job.critical_path.mul_f64(slowdown) <= job.objective_at;
        let any_ends_in_time = usable_servers().any(|(_, slowdown)| ends_in_time(slowdown));
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
        for (slot, slowdown) in usable_servers() {
            if any_ends_in_time && !ends_in_time(slowdown) {
                continue;
            }
            min_slowdown = min_slowdown.min(slowdown);
            for _ in 0..slot.free_cpu_millis() / max_task_cpu_millis {
                forecast.add_capacity(time::Duration::ZERO);
            }
            for run in slot.runs.values().filter(|run| run.has_job) {
                let remaining = match terms {
                    job_model::OfferTerms::AtOnce => run.conservative_remaining(now),
                    job_model::OfferTerms::Useful => run.expected_remaining(now),
                };
                forecast.add_capacity(remaining);
            }
        }
        (forecast, min_slowdown.min(MAX_FORECAST_SLOWDOWN))
    }
}

/// Returns the tasks of `job` that wait for capacity, with their mean expected run time.
fn queued_work(job: &JobEntry) -> capacity_forecast::QueuedWork {
    let mut task_count = 0;
    let mut total_run_time = time::Duration::ZERO;
    for task in &job.tasks {
        if task.phase == TaskPhase::Waiting
            && let Some(run_time) = job.nominal_run_times.get(usize::from(task.name.step))
        {
            task_count += 1;
            total_run_time += *run_time;
        }
    }
    capacity_forecast::QueuedWork {
        task_count,
        run_time: total_run_time / u32::try_from(task_count.max(1)).unwrap_or(u32::MAX),
    }
}
