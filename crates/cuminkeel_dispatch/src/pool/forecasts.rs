//! Whether a job that is offered would end in time.

use std::time;

use super::{JobEntry, ServerPool, TaskPhase};
use crate::{admission, job_model, server_slot, settings};

/// Part of a job's slack that its start may wait where another pool may have room: more
/// urgent jobs will come before it, so the forecast is a lower bound.
const PROMPT_SHARE: u32 = 4;
/// Largest pace that a forecast counts with, so that times stay finite without any server.
const MAX_FORECAST_PACE: f64 = 10.0;

impl ServerPool {
    /// Why the job would not end in time, and when its last task would start.
    pub(super) fn foretell_refusal(
        &self,
        job: &JobEntry,
        terms: job_model::OfferTerms,
        now: time::Duration,
    ) -> Option<(job_model::RefusalReason, time::Duration)> {
        let in_service = |slot: &&server_slot::ServerSlot| {
            slot.claim_state != server_slot::ClaimState::Unclaimed
                && slot.entry.service == job.spec.service
                && slot.registered
        };
        if self.settings.policies.admission == settings::AdmissionPolicy::AdmitAll {
            return None;
        }
        let suitable = job.spec.steps.iter().all(|step| {
            self.servers
                .values()
                .filter(in_service)
                .any(|slot| slot.could_run(step))
        });
        if !suitable {
            return Some((
                job_model::RefusalReason::NoSuitableServer,
                time::Duration::ZERO,
            ));
        }
        if self
            .servers
            .values()
            .filter(in_service)
            .any(|slot| slot.claim_state == server_slot::ClaimState::Claiming)
            && now < self.unsettled_until
        {
            return None;
        }
        let (mut forecast, pace) = self.forecast(job, terms, now);
        for position in self.queue.range(..&job.position) {
            if let Some(ahead) = self.jobs.get(&position.job) {
                let _planned = forecast.schedule(waiting_work(ahead));
            }
        }
        let Some(start) = forecast.schedule(waiting_work(job)) else {
            return Some((
                job_model::RefusalReason::NoSuitableServer,
                time::Duration::ZERO,
            ));
        };
        let chain = job.chain.mul_f64(pace);
        let in_time = now + start + chain <= job.objective_at;
        let taken = match terms {
            job_model::OfferTerms::AtOnce => {
                let slack = job.objective_at.saturating_sub(now + chain);
                in_time && start <= slack / PROMPT_SHARE
            }
            // A late job stands behind all that arrives in time, so its wait counts twice.
            job_model::OfferTerms::Useful => in_time || now + start * 2 + chain <= job.useless_at,
        };
        (!taken).then_some((job_model::RefusalReason::QueueTooLong, start))
    }

    /// Room on the servers that can run the job in time, or on all if none can,
    /// with the least pace of these.
    fn forecast(
        &self,
        job: &JobEntry,
        terms: job_model::OfferTerms,
        now: time::Duration,
    ) -> (admission::CapacityForecast, f64) {
        let in_service = || {
            self.servers
                .values()
                .filter(|slot| slot.entry.service == job.spec.service && slot.is_usable(now))
                .map(|slot| (slot, self.slowdown_factor(slot, now)))
        };
        let in_time = |pace: f64| now + job.chain.mul_f64(pace) <= job.objective_at;
        let any_in_time = in_service().any(|(_, pace)| in_time(pace));
        let mut least_pace = f64::MAX;
        let mut forecast = admission::CapacityForecast::default();
        let cpu = job
            .spec
            .steps
            .iter()
            .map(|step| step.cpu_millis)
            .max()
            .unwrap_or(0)
            .max(1);
        for (slot, pace) in in_service() {
            if any_in_time && !in_time(pace) {
                continue;
            }
            least_pace = least_pace.min(pace);
            for _ in 0..slot.free_cpu_millis() / cpu {
                forecast.add_task_slot(time::Duration::ZERO);
            }
            for run in slot.runs.values().filter(|run| run.has_job) {
                let rest = match terms {
                    job_model::OfferTerms::AtOnce => run.conservative_remaining(now),
                    job_model::OfferTerms::Useful => run.expected_remaining(now),
                };
                forecast.add_task_slot(rest);
            }
        }
        (forecast, least_pace.min(MAX_FORECAST_PACE))
    }
}

/// The part of a job that waits for room.
fn waiting_work(job: &JobEntry) -> admission::QueuedWork {
    let mut tasks = 0;
    let mut total = time::Duration::ZERO;
    for task in &job.tasks {
        if task.phase == TaskPhase::Waiting
            && let Some(run_time) = job.run_times.get(usize::from(task.name.step))
        {
            tasks += 1;
            total += *run_time;
        }
    }
    admission::QueuedWork {
        tasks,
        run_time: total / u32::try_from(tasks.max(1)).unwrap_or(u32::MAX),
    }
}
