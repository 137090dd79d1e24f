//! Review of the queue: refuses waiting jobs that can no longer be served in time, so that their
//! coordinators can try another pool, or their callers know at once.

use std::{sync::Arc, time};

use smallvec::SmallVec;

use super::{JobEntry, ServerPool, admission};
use crate::{capacity_forecast, job_model, job_order, retry_advice, settings};

/// Least time between two reviews. Objectives are 150 ms and more, so a caller that is refused after one
/// interval has time to be served elsewhere.
const REVIEW_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Forecast of the servers of one service.
struct ServiceForecast {
    service: Arc<str>,
    forecast: capacity_forecast::CapacityForecast,
    /// Mean run time on the servers as a multiple of the nominal one.
    mean_slowdown: f64,
}

/// Job that the review refuses.
struct LostJob {
    id: Arc<str>,
    /// Forecast time until its last task could start.
    wait: time::Duration,
}

impl ServerPool {
    /// Refuses queued jobs that are forecast to expire before their last task can start, at most once in
    /// [`REVIEW_INTERVAL`]. Jobs of which anything has started, or may have started elsewhere, are kept.
    pub(super) fn review_queue(&mut self, now: time::Duration) {
        let is_due = now >= self.next_review_at && !self.queue.is_empty();
        if !is_due
            || !self.settings.policies.queue_review.is_enabled()
            || self.settings.policies.admission == settings::AdmissionPolicy::AdmitAll
            || !self.takeover_resolved(now)
        {
            return;
        }
        self.next_review_at = now + REVIEW_INTERVAL;
        self.update_speeds(now);
        let queue_ends_at = self
            .queue
            .iter()
            .filter_map(|position| self.jobs.get(&position.job))
            .map(|job| job.expires_at)
            .max()
            .unwrap_or(now);
        for LostJob { id, wait } in self.lost_jobs(now) {
            // All queued jobs have started or expired by then, so a caller need not wait for longer.
            let wait = wait.min(queue_ends_at.saturating_sub(now));
            let end = job_model::JobEnd::Refused {
                reason: job_model::RefusalReason::QueueTooLong,
                retry_after: retry_advice::jittered_retry_after(&id, wait),
            };
            self.end_job(&id, &end, now);
        }
    }

    /// Returns the queued jobs without a start that are forecast to expire first.
    ///
    /// Overdue runs count as about to end, so that wrong estimates refuse few jobs. Jobs that are forecast
    /// to be demoted are served after all others, and refused in a shortage.
    fn lost_jobs(&self, now: time::Duration) -> Vec<LostJob> {
        let mut forecasts: SmallVec<[ServiceForecast; 1]> = SmallVec::new();
        let mut demoted: Vec<(job_order::QueuePosition, &JobEntry)> = Vec::new();
        let mut lost_jobs = Vec::new();
        let order = self.service_order(now);
        let queued = order.iter().filter_map(|position| {
            let job = self.jobs.get(&position.job)?;
            (!self.waits_for_earlier_runs(job, now)).then_some((position, job))
        });
        for (position, job) in queued {
            if position.late {
                demoted.push((position.clone(), job));
                continue;
            }
            let Some(service) = self.service_forecast(&mut forecasts, job, now) else {
                continue;
            };
            let latest = if job.has_started {
                time::Duration::MAX
            } else {
                position.latest_start.saturating_sub(now)
            };
            let work = scaled_work(job, service.mean_slowdown);
            if service
                .forecast
                .reserve_by(work, latest)
                .is_some_and(|start| start > latest)
            {
                match self.refusable_wait(job, now) {
                    Some(wait) => lost_jobs.push(LostJob {
                        id: Arc::clone(&job.spec.id),
                        wait,
                    }),
                    None => demoted.push((position.demoted(), job)),
                }
            }
        }
        demoted.sort_unstable_by(|(position, _), (other, _)| position.cmp(other));
        for (_, job) in demoted {
            if let Some(wait) = self.outlasting_shortage(job, now) {
                let id = Arc::clone(&job.spec.id);
                lost_jobs.push(LostJob { id, wait });
                continue;
            }
            let Some(service) = self.service_forecast(&mut forecasts, job, now) else {
                continue;
            };
            let latest = if job.has_started || job.may_run_elsewhere {
                time::Duration::MAX
            } else {
                job.expires_at.saturating_sub(now + job.critical_path)
            };
            let work = scaled_work(job, service.mean_slowdown);
            match service.forecast.reserve_by(work, latest) {
                Some(start) if start > latest => lost_jobs.push(LostJob {
                    id: Arc::clone(&job.spec.id),
                    wait: start,
                }),
                Some(_) | None => {}
            }
        }
        lost_jobs
    }

    /// Returns the expected rest of the shortage in which `job` waits, or `None` without one or if the job
    /// must be kept: something of it has started, here or possibly elsewhere.
    fn refusable_wait(&self, job: &JobEntry, now: time::Duration) -> Option<time::Duration> {
        let is_kept = job.has_started || job.may_run_elsewhere;
        if is_kept || !self.settings.policies.shortage_refusal.is_enabled() {
            return None;
        }
        self.expected_shortage(&job.spec.service, now)
    }

    /// Returns the expected rest of a shortage if it outlasts the time in which `job`, which has missed its
    /// latest start, could still start.
    ///
    /// Late jobs are served after all others, and in a shortage others arrive as fast as servers become free. The
    /// forecast counts only jobs that are here.
    fn outlasting_shortage(&self, job: &JobEntry, now: time::Duration) -> Option<time::Duration> {
        let time_left = job.expires_at.saturating_sub(now + job.critical_path);
        self.refusable_wait(job, now)
            .filter(|wait| job.queue_position.late && *wait >= time_left)
    }

    /// Returns the forecast for the service of `job`, or `None` while claims of its servers are in
    /// progress or about to begin, as the forecast covers only usable servers.
    fn service_forecast<'a>(
        &self,
        forecasts: &'a mut SmallVec<[ServiceForecast; 1]>,
        job: &JobEntry,
        now: time::Duration,
    ) -> Option<&'a mut ServiceForecast> {
        let service = &job.spec.service;
        let known = forecasts
            .iter()
            .position(|forecast| forecast.service == *service);
        let position = known.unwrap_or_else(|| {
            forecasts.push(self.new_service_forecast(service, now));
            forecasts.len() - 1
        });
        forecasts
            .get_mut(position)
            .filter(|service| !service.forecast.is_empty())
    }

    fn new_service_forecast(&self, service: &Arc<str>, now: time::Duration) -> ServiceForecast {
        let mut forecast = capacity_forecast::CapacityForecast::default();
        let (mut task_count, mut speed) = (0.0, 0.0);
        let awaits_claims = now < self.inherited_unresolved_until && self.awaits_claims(service);
        let usable_servers = self
            .servers
            .values()
            .filter(|slot| !awaits_claims && slot.entry.service == *service && slot.is_usable(now));
        let typical_cpu_millis = self.typical_cpu_millis.max(1);
        for slot in usable_servers {
            let slowdown = slot.slowdown_factor;
            let free_tasks = slot.free_cpu_millis() / typical_cpu_millis;
            let later_tasks = (slot.entry.cpu_millis / typical_cpu_millis)
                .saturating_sub(free_tasks)
                .saturating_sub(u32::try_from(slot.runs.len()).unwrap_or(u32::MAX));
            let mut last_end = time::Duration::ZERO;
            for run in slot.runs.values() {
                let remaining = run.expected_remaining(now);
                last_end = last_end.max(remaining);
                forecast.add_capacity(remaining);
                task_count += 1.0;
                speed += 1.0 / slowdown;
            }
            for (tasks, free_in) in [(free_tasks, time::Duration::ZERO), (later_tasks, last_end)] {
                forecast.add_equal_capacities(u64::from(tasks), free_in);
                task_count += f64::from(tasks);
                speed += f64::from(tasks) / slowdown;
            }
        }
        ServiceForecast {
            service: Arc::clone(service),
            forecast,
            mean_slowdown: if speed > 0.0 { task_count / speed } else { 1.0 },
        }
    }
}

/// Returns the waiting tasks of `job`, with their mean run time on servers with this slowdown factor.
fn scaled_work(job: &JobEntry, slowdown: f64) -> capacity_forecast::QueuedWork {
    let work = admission::queued_work(job);
    capacity_forecast::QueuedWork {
        run_time: work.run_time.mul_f64(slowdown),
        ..work
    }
}
