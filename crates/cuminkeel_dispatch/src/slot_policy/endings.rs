//! What follows from ended attempts, cancels and deadlines.

use std::time;

use cuminkeel_types::{names, outcome, time as clock};

use super::SlotPolicy;
use crate::{event, fair_queue, job_table, server_health, server_pool, speed_model};

/// A task that outlived its deadline shows a silent server only if it ran for
/// this many times its expected run time.
const SILENT_RATIO: f64 = 3.0;

/// Messages that a refused attempt wastes: the request and the refusal.
const REFUSAL_MESSAGES: f64 = 2.0;

/// An ended attempt, with its names resolved.
struct EndedAttempt {
    customer: fair_queue::CustomerIndex,
    class: speed_model::ClassIndex,
    size: u32,
    declared: time::Duration,
    server: Option<server_pool::ServerIndex>,
    elapsed: time::Duration,
    verdict: job_table::EndVerdict,
}

impl SlotPolicy {
    /// Takes in the end of an attempt.
    pub(super) fn end_task(
        &mut self,
        now: clock::TimePoint,
        key: &outcome::TaskKey,
        server: &names::ServerName,
        outcome: &outcome::TaskOutcome,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        let Some(ended) = self.table.end(key, server, outcome, actions) else {
            return;
        };
        let attempt = self.account(now, key, &ended);
        let retried = ended.verdict == job_table::EndVerdict::Retry;
        let charged = ended.running.charged.as_secs_f64();
        if !retried {
            let correction = attempt.elapsed.as_secs_f64() - charged;
            self.queue.correct(attempt.customer, correction);
        }
        match outcome {
            outcome::TaskOutcome::Done { .. } => self.note_done(now, &attempt),
            outcome::TaskOutcome::NotStarted { cause } => self.note_refused(now, &attempt, *cause),
            outcome::TaskOutcome::Failed { .. } | outcome::TaskOutcome::Lost { .. } => {
                self.note_failed(now, &attempt);
            }
        }
        self.settle_job(key.job, ended.verdict);
        if retried {
            self.retry(now, key, attempt.size, charged, actions);
        }
    }

    fn account(
        &mut self,
        now: clock::TimePoint,
        key: &outcome::TaskKey,
        ended: &job_table::EndedTask,
    ) -> EndedAttempt {
        let running = &ended.running;
        let customer = self.queue.customer(&running.spec.customer);
        let task = &running.spec.tasks[key.task.0 as usize];
        let server = self.pool.index(&running.server);
        if let Some(server) = server {
            self.pool.end(now, server, running.started);
        }
        self.queue.count_running(customer, false);
        self.gate.on_end(now, &running.spec.customer);
        self.unblock(customer);
        EndedAttempt {
            customer,
            class: self.model.find(&task.class),
            size: task.size_millicores,
            declared: task.declared_run_time,
            server,
            elapsed: now.since(running.started),
            verdict: ended.verdict,
        }
    }

    fn unblock(&mut self, customer: fair_queue::CustomerIndex) {
        if self.queue.is_blocked(customer) {
            self.queue.set_blocked(customer, false);
            self.blocked.retain(|(_, blocked)| *blocked != customer);
        }
    }

    fn note_done(&mut self, now: clock::TimePoint, attempt: &EndedAttempt) {
        let Some(server) = attempt.server else {
            return;
        };
        let (customer, class) = (attempt.customer, attempt.class);
        let effect = self.fits.effect(customer, class, attempt.declared);
        let factor = self.pool.server(server).speed.class_factor(class).exp();
        let average_secs = attempt.elapsed.as_secs_f64() / factor;
        self.fits
            .observe(customer, class, attempt.declared, average_secs);
        let model = &mut self.model;
        self.pool.on_done(now, server, |speed| {
            model.observe(class, speed, attempt.elapsed, effect);
        });
        self.rates
            .observe(customer, class, server.as_usize(), false);
    }

    /// Weighs a failure, unless this entry itself had the task stopped.
    fn note_failed(&mut self, now: clock::TimePoint, attempt: &EndedAttempt) {
        let Some(server) = attempt.server else {
            return;
        };
        if attempt.verdict == job_table::EndVerdict::Orphaned {
            return;
        }
        let usual_rate = self.rates.rate(attempt.customer, attempt.class);
        let evidence = server_health::FailureEvidence::Task { usual_rate };
        self.pool.on_failure(now, server, evidence);
        let at = server.as_usize();
        self.rates
            .observe(attempt.customer, attempt.class, at, true);
    }

    fn note_refused(
        &mut self,
        now: clock::TimePoint,
        attempt: &EndedAttempt,
        cause: outcome::NotStartedCause,
    ) {
        let Some(server) = attempt.server else {
            return;
        };
        if cause != outcome::NotStartedCause::NotSent {
            self.lending.on_waste(REFUSAL_MESSAGES);
        }
        match cause {
            outcome::NotStartedCause::SlotsFull => self.pool.on_slots_full(now, server),
            outcome::NotStartedCause::Leaving => self.pool.on_leaving(now, server),
            outcome::NotStartedCause::TooLarge => self.pool.on_too_large(server, attempt.size),
            outcome::NotStartedCause::NoConnection => {
                self.pool.on_slots_full(now, server);
                let evidence = server_health::FailureEvidence::NoConnection;
                self.pool.on_failure(now, server, evidence);
            }
            outcome::NotStartedCause::NotSent => {}
        }
    }

    /// Fails a job at its caller's wish.
    pub(super) fn cancel(&mut self, job: names::JobId, actions: &mut Vec<event::DispatchAction>) {
        let code = outcome::RefusalCode::Cancelled;
        self.table
            .fail(job, code, "cancelled by the caller", actions);
        self.forget_job(job);
    }

    /// Fails the jobs whose deadline has come.
    pub(super) fn expire(
        &mut self,
        now: clock::TimePoint,
        actions: &mut Vec<event::DispatchAction>,
    ) {
        for job in self.table.expired(now) {
            let first_stop = actions.len();
            let code = outcome::RefusalCode::DeadlineExceeded;
            self.table
                .fail(job, code, "the deadline passed first", actions);
            self.forget_job(job);
            self.note_silent(now, &actions[first_stop..]);
        }
    }

    /// Weighs tasks that were stopped at their deadline far beyond their
    /// expected run time, on servers that ended nothing since.
    fn note_silent(&mut self, now: clock::TimePoint, stops: &[event::DispatchAction]) {
        for action in stops {
            let event::DispatchAction::StopTask { task, server } = action else {
                continue;
            };
            let (Some(running), Some(server)) = (self.table.running(task), self.pool.index(server))
            else {
                continue;
            };
            let class = self
                .model
                .class(&running.spec.tasks[task.task.0 as usize].class);
            let expected = self.model.run_secs(class, &self.pool.server(server).speed);
            let elapsed = now.since(running.started).as_secs_f64();
            if elapsed > expected * SILENT_RATIO && self.pool.is_silent(server, running.started) {
                let evidence = server_health::FailureEvidence::Silence;
                self.pool.on_failure(now, server, evidence);
            }
        }
    }
}
