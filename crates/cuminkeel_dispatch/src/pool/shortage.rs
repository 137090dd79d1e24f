//! Shortages: times in which jobs of a service become late because they wait for a server.
//!
//! A shortage begins when a waiting job misses its latest start, and ends when no job in time waits for a
//! server of the service any more. Nothing is known of its end. It is expected to go on for as long as jobs have
//! been waiting so far.

use std::{cmp, mem, sync::Arc, time};

use smallvec::SmallVec;

use super::{JobEntry, ServerPool, claims, schedule};
use crate::{job_order, pool_action};

/// Wait of jobs in time for servers of a service.
#[derive(Clone, Debug)]
pub(super) struct ServiceWait {
    service: Arc<str>,
    since: time::Duration,
    /// Whether a job has missed its latest start in this time.
    is_shortage: bool,
}

impl ServerPool {
    /// Updates for which services jobs in time wait for a server, after tasks were placed.
    pub(super) fn update_service_waits(&mut self, now: time::Duration) {
        let mut waiting_services: SmallVec<[Arc<str>; 1]> = SmallVec::new();
        if self.evacuation.is_none() && self.takeover_resolved(now) {
            let jobs = self.queue.iter().take_while(|position| !position.late);
            for job in jobs.filter_map(|position| self.jobs.get(&position.job)) {
                let mut known_services = self.services.iter();
                if known_services.all(|service| waiting_services.contains(service)) {
                    break;
                }
                let service = &job.spec.service;
                if !waiting_services.contains(service)
                    && !job.may_run_elsewhere
                    && schedule::waits_for_server(job)
                {
                    waiting_services.push(Arc::clone(service));
                }
            }
        }
        let (kept, ended): (SmallVec<[ServiceWait; 1]>, SmallVec<[ServiceWait; 1]>) =
            mem::take(&mut self.service_waits)
                .into_iter()
                .partition(|wait| waiting_services.contains(&wait.service));
        self.service_waits = kept;
        for wait in ended.iter().filter(|wait| wait.is_shortage) {
            self.record_shortage(wait, "ended", now);
        }
        for service in waiting_services {
            if !self
                .service_waits
                .iter()
                .any(|wait| wait.service == service)
            {
                self.service_waits.push(ServiceWait {
                    service,
                    since: now,
                    is_shortage: false,
                });
            }
        }
    }

    /// Records that a waiting job of `service` has missed its latest start.
    pub(super) fn record_missed_start(&mut self, service: &Arc<str>, now: time::Duration) {
        let wait = self.service_waits.iter_mut();
        let begun = wait
            .filter(|wait| wait.service == *service && !wait.is_shortage)
            .map(|wait| {
                wait.is_shortage = true;
                wait.clone()
            })
            .next();
        if let Some(wait) = begun {
            self.record_shortage(&wait, "began", now);
        }
    }

    fn record_shortage(&mut self, wait: &ServiceWait, outcome: &'static str, now: time::Duration) {
        let inputs = [
            ("queued", claims::count_input(self.queue.len())),
            (
                "waited_ms",
                pool_action::whole_ms(now.saturating_sub(wait.since)),
            ),
        ];
        self.record_decision(
            pool_action::DecisionKind::Shortage,
            None,
            None,
            outcome,
            inputs,
        );
    }

    /// Returns the time for which the shortage of `service` is expected to go on, or `None` without one.
    pub(super) fn expected_shortage(
        &self,
        service: &str,
        now: time::Duration,
    ) -> Option<time::Duration> {
        self.service_waits
            .iter()
            .find(|wait| wait.is_shortage && &*wait.service == service)
            .map(|wait| now.saturating_sub(wait.since))
    }

    /// Returns the positions of the queue in the order in which jobs are served.
    pub(super) fn service_order(&self, now: time::Duration) -> Vec<job_order::QueuePosition> {
        let mut positions: Vec<job_order::QueuePosition> = self.queue.iter().cloned().collect();
        let is_shortage = self.service_waits.iter().any(|wait| wait.is_shortage);
        if is_shortage && self.settings.policies.shortage_order.is_enabled() {
            let key_of = |position: &job_order::QueuePosition| {
                self.jobs
                    .get(&position.job)
                    .map(|job| self.shortage_key(job, now))
            };
            let mut keyed: Vec<_> = positions
                .into_iter()
                .map(|position| (key_of(&position), position))
                .collect();
            // Equal keys keep the order of the queue.
            keyed.sort_by(|(one, _), (other, _)| {
                one.partial_cmp(other).unwrap_or(cmp::Ordering::Equal)
            });
            positions = keyed.into_iter().map(|(_, position)| position).collect();
        }
        positions
    }

    /// Returns the key of a job. Services don't share servers, so only the order within a service matters.
    fn shortage_key(&self, job: &JobEntry, now: time::Duration) -> job_order::ShortageKey {
        let is_ranked =
            !job.has_started && self.expected_shortage(&job.spec.service, now).is_some();
        job_order::ShortageKey {
            late: job.queue_position.late,
            is_unstarted: is_ranked,
            weighted_size: if is_ranked { job.weighted_size } else { 0.0 },
        }
    }
}
