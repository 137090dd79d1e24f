//! Checks of each reply against what has started, and its counts.

use cuminkeel_outcome::event;
use cuminkeel_types::{names, outcome};

use super::{
    callers,
    world::{MILLI, Promise, Submission, World},
};

impl World {
    pub fn check_reply(
        &mut self,
        place: usize,
        id: (names::IncarnationId, event::TicketId),
        answer: outcome::JobAnswer,
    ) {
        let now = self.now;
        let grace = u64::try_from(self.limits.dispatch_grace.as_micros()).unwrap_or(0) + MILLI;
        let Some(process) = &mut self.places[place] else {
            return;
        };
        let clock = process.clock(now).as_micros();
        let woke_at = process.woke_at;
        let Some(ticket) = self.tickets.get_mut(&id) else {
            return;
        };
        let (submission, cancels) = (ticket.submission, ticket.cancels);
        let deadline = ticket.deadline;
        if std::mem::replace(&mut ticket.replied, true) {
            self.violate(Promise::AnsweredTwice, submission);
        }
        if clock > deadline.max(woke_at) + grace {
            self.violate(Promise::AnsweredLate, submission);
        }
        self.check_truth(submission, cancels, &answer);
        self.count(submission, &answer);
        self.replies.push((submission, answer));
    }

    pub fn check_truth(
        &mut self,
        submission: Submission,
        cancels: bool,
        answer: &outcome::JobAnswer,
    ) {
        let any_started = self
            .started
            .iter()
            .any(|start| start.token == submission.token);
        match answer {
            outcome::JobAnswer::Complete { outputs } if !cancels => {
                let expected: Vec<_> = (0..callers::task_count(submission))
                    .map(|index| callers::output_of(submission, index))
                    .collect();
                if *outputs != expected {
                    self.violate(Promise::WrongAnswer, submission);
                }
            }
            outcome::JobAnswer::Complete { .. } => {}
            outcome::JobAnswer::Failed(refusal) => match refusal.ran {
                outcome::RunStatus::NotRun if cancels => {
                    self.cancelled.insert(submission.token);
                    if any_started {
                        self.violate(Promise::FalseNotRun, submission);
                    }
                }
                outcome::RunStatus::NotRun => {
                    self.denied.insert(submission);
                    if self.started.contains(&submission) {
                        self.violate(Promise::FalseNotRun, submission);
                    }
                }
                outcome::RunStatus::Ran if !any_started => {
                    self.violate(Promise::FalseRan, submission);
                }
                outcome::RunStatus::Ran | outcome::RunStatus::Unknown => {}
            },
        }
    }

    pub fn count(&mut self, submission: Submission, answer: &outcome::JobAnswer) {
        let counter = match answer {
            outcome::JobAnswer::Complete { .. } => &mut self.counts.complete,
            outcome::JobAnswer::Failed(refusal) => match refusal.ran {
                outcome::RunStatus::NotRun => &mut self.counts.not_run,
                outcome::RunStatus::Unknown => &mut self.counts.unknown,
                outcome::RunStatus::Ran => &mut self.counts.ran,
            },
        };
        *counter += 1;
        let authority = self
            .tokens
            .get(submission.token)
            .map(|token| token.authority);
        if authority.is_some_and(|authority| self.crashed.contains(&authority)) {
            self.counts.crashed += 1;
            let unknown = matches!(
                answer,
                outcome::JobAnswer::Failed(refusal) if refusal.ran == outcome::RunStatus::Unknown
            );
            self.counts.crashed_unknown += u64::from(unknown);
        }
    }
}
