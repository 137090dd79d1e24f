//! Keys that this process serves as their authority or as the authority's heir.

use std::sync;

use cuminkeel_types::{job, names, outcome, time};

use super::{LedgerTurn, OutcomeLedger, fits, whole_answer};
use crate::{answer, event, key, message, record, relay, rules, witness};

/// Largest part of the time to the deadline that passing an answer on may take.
const MARGIN_DIVISOR: u32 = 4;

impl OutcomeLedger {
    /// Handles a request whose key this process may serve.
    pub(super) fn serve(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        call: relay::KeyCall,
        waiter: record::KeyWaiter,
    ) {
        let seen = self.records.get(call.key.id).is_some();
        if seen && self.keeps(rules::OutcomeRule::OpenOnce) {
            self.join(turn, &call, waiter);
        } else if call.key.id.authority == self.settings.incarnation {
            self.serve_own(turn, call, waiter);
        } else {
            self.serve_inherited(turn, &call, waiter);
        }
    }

    fn serve_own(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        call: relay::KeyCall,
        waiter: record::KeyWaiter,
    ) {
        let forgotten =
            call.key.id.sequence <= self.floor && self.keeps(rules::OutcomeRule::FloorAuthority);
        let frozen = self.keeps(rules::OutcomeRule::FreezeHandover);
        match call.key.witness {
            _ if forgotten => {
                let refusal = answer::unresolved("the key is too old; its fate is forgotten");
                self.respond(turn, call.key.id, waiter, refusal);
            }
            Some(heir) if frozen && self.hands_over_to(heir) => {
                self.pass_to_heir(turn, call, waiter, heir);
            }
            _ if call.key.expires_at <= turn.now => {
                let refusal = answer::closed(outcome::RefusalCode::KeyClosed);
                self.respond(turn, call.key.id, waiter, refusal);
            }
            Some(witness) => self.begin_opening(turn, &call, waiter, witness),
            None => self.begin_alone(turn, &call, waiter),
        }
    }

    pub(super) fn serve_inherited(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        call: &relay::KeyCall,
        waiter: record::KeyWaiter,
    ) {
        let named = call.key.witness == Some(self.settings.incarnation);
        let verdict = if named {
            self.witness.claim(turn.now, call.key.id)
        } else {
            witness::ClaimVerdict::NotInherited
        };
        let refusal = match (verdict, waiter) {
            (witness::ClaimVerdict::Granted, _) => return self.begin_alone(turn, call, waiter),
            (
                witness::ClaimVerdict::NotInherited,
                record::KeyWaiter::Remote { entry, ticket, .. },
            ) => {
                let key = call.key.id;
                return self.send(
                    turn,
                    entry,
                    &message::PeerMessage::NotServed { ticket, key },
                );
            }
            (witness::ClaimVerdict::NotInherited, record::KeyWaiter::Local(_)) => {
                self.close_here(turn.now, call.key.id)
            }
            (witness::ClaimVerdict::Closed, _) => answer::closed(outcome::RefusalCode::KeyClosed),
            (witness::ClaimVerdict::Opened, _) => {
                answer::unresolved("the key was opened by a process that has left")
            }
            (witness::ClaimVerdict::Forgotten, _) => {
                answer::unresolved("the key is too old; its fate is forgotten")
            }
        };
        self.respond(turn, call.key.id, waiter, refusal);
    }

    /// Closes a key in this process's own witness table.
    fn close_here(&mut self, now: time::TimePoint, key: key::KeyId) -> outcome::JobAnswer {
        match self.witness.close(now, key) {
            message::CloseVerdict::Closed => answer::closed(outcome::RefusalCode::KeyClosed),
            message::CloseVerdict::Opened
            | message::CloseVerdict::Ended(_)
            | message::CloseVerdict::Forgotten
            | message::CloseVerdict::Served => answer::unresolved("the key's fate can't be proved"),
        }
    }

    /// Adds a request to a key that was seen before.
    fn join(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        call: &relay::KeyCall,
        waiter: record::KeyWaiter,
    ) {
        let bound = self.keeps(rules::OutcomeRule::BindDigest);
        let id = call.key.id;
        let Some(record) = self.records.get(id) else {
            return;
        };
        let settled = match &record.state {
            _ if bound && !fits(record.digest, call.digest) => Some(answer::failed(
                outcome::RefusalCode::KeyReused,
                outcome::RunStatus::NotRun,
                "the key was used for a different job; this job did not run",
            )),
            record::KeyState::Finished(kept) => Some(kept.to_answer()),
            record::KeyState::Closed(code) => Some(answer::closed(*code)),
            record::KeyState::Opening(_) | record::KeyState::Running { .. } => None,
        };
        if let Some(answer) = settled {
            return self.respond(turn, id, waiter, answer);
        }
        self.add_waiter(turn, id, waiter);
        if let record::KeyWaiter::Local(ticket) = waiter {
            self.set_deadline(call.deadline, ticket);
        }
        if call.request == message::KeyRequest::Cancel {
            self.cancel(turn, id);
        }
    }

    /// Cancels the job of a key that is not settled: closes the key if the job
    /// has not started, else asks once for the job to be cancelled.
    fn cancel(&mut self, turn: &mut LedgerTurn<'_>, key: key::KeyId) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        match record.state {
            record::KeyState::Opening(_) => {
                self.close_key(turn, key, outcome::RefusalCode::Cancelled);
            }
            record::KeyState::Running { job, .. } if !record.cancelled => {
                record.cancelled = true;
                turn.actions.push(event::OutcomeAction::CancelJob { job });
            }
            _ => {}
        }
    }

    /// Tells another entry how its request stands.
    pub(super) fn report(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        key: key::KeyId,
        waiter: record::KeyWaiter,
    ) {
        match self.records.get(key).map(|record| &record.state) {
            Some(record::KeyState::Finished(kept)) => {
                let answer = kept.to_answer();
                self.respond(turn, key, waiter, answer);
            }
            Some(record::KeyState::Closed(code)) => {
                let answer = answer::closed(*code);
                self.respond(turn, key, waiter, answer);
            }
            Some(record::KeyState::Opening(_) | record::KeyState::Running { .. }) => {
                self.add_waiter(turn, key, waiter);
            }
            None => {}
        }
    }

    fn add_waiter(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        key: key::KeyId,
        waiter: record::KeyWaiter,
    ) {
        let most_remote = self.settings.limits.remote_waiters;
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let remote = record
            .waiters
            .iter()
            .filter(|waiter| matches!(waiter, record::KeyWaiter::Remote { .. }))
            .count();
        match waiter {
            _ if record.waiters.contains(&waiter) => {}
            // The other entry learns the answer by its next inquiry.
            record::KeyWaiter::Remote { .. } if remote >= most_remote => {}
            record::KeyWaiter::Remote { .. } | record::KeyWaiter::Local(_) => {
                record.waiters.push(waiter);
            }
        }
        if let record::KeyWaiter::Remote { entry, ticket, .. } = waiter {
            self.send(turn, entry, &message::PeerMessage::Accepted { ticket, key });
        }
    }

    /// Records an unseen key and its first waiter.
    pub(super) fn add_record(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        call: &relay::KeyCall,
        waiter: record::KeyWaiter,
        state: record::KeyState,
    ) {
        let key = call.key.id;
        self.trim_records();
        self.records.insert(
            key,
            record::KeyRecord {
                digest: call.digest,
                witness: call.key.witness,
                state,
                waiters: Vec::new(),
                cancelled: false,
                settled_at: None,
            },
        );
        if let record::KeyWaiter::Local(ticket) = waiter {
            let respond_by = call.deadline + self.settings.limits.dispatch_grace;
            self.set_deadline(respond_by, ticket);
        }
        self.add_waiter(turn, key, waiter);
    }

    /// Forgets the oldest settled keys so that another fits.
    fn trim_records(&mut self) {
        while self.records.len() >= self.settings.limits.key_records
            && let Some(key) = self.records.first_settled()
        {
            if key.authority == self.settings.incarnation {
                self.floor = self.floor.max(key.sequence);
            }
            self.records.remove_settled(key);
        }
    }

    /// Opens a key without a witness: the authority had no peer, or this
    /// process is its heir.
    fn begin_alone(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        call: &relay::KeyCall,
        waiter: record::KeyWaiter,
    ) {
        let closed = record::KeyState::Closed(outcome::RefusalCode::Cancelled);
        self.add_record(turn, call, waiter, closed);
        match &call.request {
            message::KeyRequest::Submit(spec) => {
                self.start_job(turn, call.key.id, spec, call.deadline);
            }
            message::KeyRequest::Cancel => {
                self.close_key(turn, call.key.id, outcome::RefusalCode::Cancelled);
            }
        }
    }

    /// Starts the job of a recorded key, unless its deadline has passed.
    pub(super) fn start_job(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        key: key::KeyId,
        spec: &job::JobSpec,
        deadline: time::TimePoint,
    ) {
        let time_left = deadline.since(turn.now);
        if time_left.is_zero() {
            return self.close_key(turn, key, outcome::RefusalCode::KeyClosed);
        }
        let Some(record) = self.records.get(key) else {
            return;
        };
        let ticket = record.waiters.iter().find_map(|waiter| match waiter {
            record::KeyWaiter::Local(ticket) => Some(*ticket),
            record::KeyWaiter::Remote { .. } => None,
        });
        let margin = match ticket {
            Some(_) => std::time::Duration::ZERO,
            None => (time_left / MARGIN_DIVISOR).min(self.settings.limits.relay_margin),
        };
        let job = self.draw_job();
        self.records.run(key, job, spec.tasks.len());
        self.stats.jobs_started += 1;
        turn.actions.push(event::OutcomeAction::StartJob {
            job,
            spec: sync::Arc::new(job::JobSpec {
                deadline: time_left.saturating_sub(margin),
                ..spec.clone()
            }),
            ticket,
        });
    }

    /// Closes a recorded key whose job has not started, for good.
    pub(super) fn close_key(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        key: key::KeyId,
        code: outcome::RefusalCode,
    ) {
        let lasting = self.keeps(rules::OutcomeRule::CloseUnwitnessed);
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        record.state = record::KeyState::Closed(code);
        record.settled_at = Some(turn.now);
        let waiters = std::mem::take(&mut record.waiters);
        for waiter in waiters {
            self.respond(turn, key, waiter, answer::closed(code));
        }
        if !lasting && code == outcome::RefusalCode::KeyUnresolved {
            self.records.remove_settled(key);
        }
    }

    /// Takes in the final answer of a job.
    pub(super) fn finish_job(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        job: names::JobId,
        answer: outcome::JobAnswer,
    ) {
        let rules = self.settings.rules;
        if let Some((ticket, tasks)) = self.direct.remove(&job) {
            return self.reply(turn, ticket, whole_answer(answer, tasks, rules));
        }
        let Some(key) = self.records.finish(job) else {
            return;
        };
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let answer = match record.state {
            record::KeyState::Running { tasks, .. } => whole_answer(answer, tasks, rules),
            _ => answer,
        };
        let kept = answer::KeptAnswer::Whole(sync::Arc::new(answer.clone()));
        record.state = record::KeyState::Finished(kept);
        record.settled_at = Some(turn.now);
        let waiters = std::mem::take(&mut record.waiters);
        self.answers.push(turn.now, key, &answer);
        for waiter in waiters {
            self.respond(turn, key, waiter, answer.clone());
        }
        self.drop_answers(turn.now);
    }

    /// Drops kept answers that are too old or too much.
    pub(super) fn drop_answers(&mut self, now: time::TimePoint) {
        let limits = &self.settings.limits;
        while let Some(key) =
            self.answers
                .pop_excess(now, limits.answer_retention, limits.answer_bytes)
        {
            if let Some(record) = self.records.get_mut(key)
                && let record::KeyState::Finished(kept) = &record.state
            {
                let dropped = answer::KeptAnswer::Dropped(kept.ran());
                record.state = record::KeyState::Finished(dropped);
            }
        }
    }

    /// Gives an answer to a request of this or another entry.
    pub(super) fn respond(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        key: key::KeyId,
        waiter: record::KeyWaiter,
        answer: outcome::JobAnswer,
    ) {
        match waiter {
            record::KeyWaiter::Local(ticket) => self.reply(turn, ticket, answer),
            record::KeyWaiter::Remote {
                entry,
                ticket,
                digest,
            } => {
                let message = message::PeerMessage::Answer {
                    ticket,
                    key,
                    digest,
                    answer,
                };
                self.send(turn, entry, &message);
            }
        }
    }
}
