//! The fake dispatcher of each entry, with the backend servers behind it.

use cuminkeel_outcome::event;
use cuminkeel_types::{job, names, outcome};

use super::{
    callers,
    process::{FakeJob, JobFate},
    world::{Happening, MILLI, Promise, World},
};

impl World {
    pub fn admit(&mut self, place: usize, job: names::JobId, spec: &job::JobSpec) {
        let submission = callers::submission_of(spec);
        self.counts.starts += 1;
        let admissions = self.admitted.entry(submission.token).or_insert(0);
        *admissions += 1;
        if *admissions > 1 {
            self.violate(Promise::DoubledStart, submission);
        }
        let owner = self
            .tokens
            .get(submission.token)
            .map(|token| token.customer);
        if owner.is_some_and(|owner| owner != submission.customer) {
            self.violate(Promise::ForeignStart, submission);
        }
        if self.denied.contains(&submission) || self.cancelled.contains(&submission.token) {
            self.violate(Promise::StartAfterNotRun, submission);
        }
        let fate = self.draw_fate();
        let tasks = spec.tasks.len();
        let now = self.now;
        let deadline = u64::try_from(spec.deadline.as_micros()).unwrap_or(u64::MAX);
        let sent_after = self.between(0, 5 * MILLI);
        let fixed = self.weather.run_millis * MILLI;
        let run_time = match fate {
            JobFate::Complete if fixed > 0 => fixed,
            JobFate::Overloaded => 0,
            JobFate::Lost => deadline,
            JobFate::Complete | JobFate::Partial | JobFate::Fails => {
                self.between(MILLI, 300 * MILLI)
            }
        };
        let Some(process) = &mut self.places[place] else {
            return;
        };
        process.jobs.insert(
            job,
            FakeJob {
                submission,
                tasks,
                fate,
                sent: false,
            },
        );
        let whom = process.incarnation;
        if fate != JobFate::Overloaded {
            self.push(now + sent_after, Happening::TaskSent(whom, job));
        }
        let ends_after = (sent_after + run_time).min(deadline);
        self.push(now + ends_after, Happening::JobEnds(whom, job));
    }

    pub fn draw_fate(&mut self) -> JobFate {
        if !self.chance(self.weather.troubled_jobs) {
            return JobFate::Complete;
        }
        match self.between(0, 3) {
            0 => JobFate::Partial,
            1 => JobFate::Fails,
            2 => JobFate::Lost,
            _ => JobFate::Overloaded,
        }
    }

    pub fn task_sent(&mut self, place: usize, job: names::JobId) {
        let sent = self.places[place]
            .as_mut()
            .and_then(|process| process.jobs.get_mut(&job))
            .map(|job| {
                job.sent = true;
                job.submission
            });
        if let Some(submission) = sent {
            self.started.insert(submission);
        }
    }

    pub fn job_ends(&mut self, place: usize, job: names::JobId) {
        let ended = self.places[place]
            .as_mut()
            .and_then(|process| process.jobs.remove(&job));
        let Some(ended) = ended else {
            return;
        };
        let outputs = |count: usize| outcome::JobAnswer::Complete {
            outputs: (0..count)
                .map(|index| callers::output_of(ended.submission, index))
                .collect(),
        };
        let answer = match ended.fate {
            _ if !ended.sent => {
                refusal(outcome::RefusalCode::Overloaded, outcome::RunStatus::NotRun)
            }
            JobFate::Complete => outputs(ended.tasks),
            JobFate::Partial => outputs(ended.tasks - 1),
            JobFate::Fails => refusal(outcome::RefusalCode::TaskFailed, outcome::RunStatus::Ran),
            JobFate::Lost | JobFate::Overloaded => {
                refusal(outcome::RefusalCode::TaskLost, outcome::RunStatus::Unknown)
            }
        };
        self.feed(place, event::OutcomeEvent::JobFinished { job, answer });
        // A second answer to the same job, and a different one.
        let answer = refusal(outcome::RefusalCode::Overloaded, outcome::RunStatus::NotRun);
        self.feed(place, event::OutcomeEvent::JobFinished { job, answer });
    }

    pub fn cancel_job(&mut self, place: usize, job: names::JobId) {
        let removed = self.places[place]
            .as_mut()
            .and_then(|process| process.jobs.remove(&job));
        if let Some(removed) = removed {
            let ran = if removed.sent {
                outcome::RunStatus::Unknown
            } else {
                outcome::RunStatus::NotRun
            };
            let answer = refusal(outcome::RefusalCode::Cancelled, ran);
            self.feed(place, event::OutcomeEvent::JobFinished { job, answer });
        }
    }
}

pub fn refusal(code: outcome::RefusalCode, ran: outcome::RunStatus) -> outcome::JobAnswer {
    outcome::JobAnswer::Failed(outcome::Refusal {
        code,
        ran,
        retry_after: None,
        detail: "".into(),
    })
}
