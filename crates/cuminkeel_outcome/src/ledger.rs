//! The outcome policy of an entry.

mod drain;
mod inbox;
mod opening;
mod passing;
mod serving;

use std::{collections, sync};

use cuminkeel_types::{job, names, outcome, time};
use rand::SeedableRng;

use crate::{
    answer, digest, event, farewell, issuer, key, message, record, relay, rules, settings, stats,
    timer, witness,
};

/// Seed of the generator that draws job identities.
pub type LedgerSeed = [u8; 32];

/// Decides which submissions start, and answers each truthfully.
///
/// The process is authority for the keys that it issues, witness and heir for
/// keys of others that name it, and passes on requests with all other keys.
#[derive(Debug)]
pub struct OutcomeLedger {
    settings: settings::LedgerSettings,
    rng: rand::rngs::StdRng,
    peers: Vec<event::PeerEntry>,
    members: collections::HashSet<names::IncarnationId>,
    issuer: issuer::KeyIssuer,
    records: record::RecordTable,
    answers: answer::AnswerQueue,
    /// Own keys up to this position are forgotten unless a record says otherwise.
    floor: u64,
    /// Positions that become the floor once their retention has passed.
    floors: collections::VecDeque<(time::TimePoint, u64)>,
    witness: witness::WitnessTable,
    farewells: farewell::FarewellTable,
    relays: collections::BTreeMap<event::TicketId, relay::KeyRelay>,
    /// Jobs without a key: who waits, and how many outputs are complete.
    direct: collections::HashMap<names::JobId, (event::TicketId, usize)>,
    /// Requests that wait for a reply.
    waiting: collections::HashSet<event::TicketId>,
    draining: Option<drain::DrainState>,
    timers: timer::TimerQueue,
    purge_set: bool,
    stats: stats::OutcomeStats,
}

/// One call of the policy: the time and the actions so far.
#[derive(Debug)]
struct LedgerTurn<'a> {
    now: time::TimePoint,
    actions: &'a mut Vec<event::OutcomeAction>,
}

impl OutcomeLedger {
    /// A ledger for one process start. The seed must come from the system's
    /// generator, since job identities must not be guessed.
    pub fn new(settings: settings::LedgerSettings, seed: LedgerSeed) -> Self {
        let limits = &settings.limits;
        let witness_limits = witness::WitnessLimits {
            retention: limits.key_lifetime + limits.record_retention,
            inheritance: limits.key_lifetime,
            marks: limits.witness_marks,
            authorities: limits.witness_authorities,
        };
        Self {
            rng: rand::rngs::StdRng::from_seed(seed),
            peers: Vec::new(),
            members: collections::HashSet::new(),
            issuer: issuer::KeyIssuer::new(
                settings.incarnation,
                settings.rack.clone(),
                limits.key_lifetime,
            ),
            records: record::RecordTable::default(),
            answers: answer::AnswerQueue::default(),
            floor: 0,
            floors: collections::VecDeque::new(),
            farewells: farewell::FarewellTable::default(),
            witness: witness::WitnessTable::new(witness_limits, settings.rules),
            relays: collections::BTreeMap::new(),
            direct: collections::HashMap::new(),
            waiting: collections::HashSet::new(),
            draining: None,
            timers: timer::TimerQueue::default(),
            purge_set: false,
            stats: stats::OutcomeStats::default(),
            settings,
        }
    }

    /// Counts since the process started.
    pub fn stats(&self) -> stats::OutcomeStats {
        self.stats
    }

    /// Requests that wait for a reply.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Keys remembered as authority or heir, and as witness.
    pub fn remembered_keys(&self) -> (usize, usize) {
        (self.records.len(), self.witness.marks())
    }

    fn keeps(&self, rule: rules::OutcomeRule) -> bool {
        self.settings.rules.keeps(rule)
    }

    /// Whether another process is a peer or a member. A wrong answer costs
    /// time or a refusal, never a second start.
    fn is_live(&self, incarnation: names::IncarnationId) -> bool {
        self.is_peer(incarnation) || self.members.contains(&incarnation)
    }

    fn is_peer(&self, incarnation: names::IncarnationId) -> bool {
        self.peers
            .iter()
            .any(|peer| peer.incarnation == incarnation)
    }

    fn issue_keys(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        ticket: event::TicketId,
        customer: &names::CustomerName,
        count: u32,
    ) {
        self.waiting.insert(ticket);
        if count == 0 {
            let refusal = answer::failed(
                outcome::RefusalCode::BadRequest,
                outcome::RunStatus::NotRun,
                "the number of keys must be at least 1",
            );
            return self.reply(turn, ticket, refusal);
        }
        if self.draining.is_some() {
            let refusal = answer::not_run_retry(
                outcome::RefusalCode::Draining,
                "this entry is leaving and issues no more keys; ask again",
            );
            return self.reply(turn, ticket, refusal);
        }
        let count = count.min(self.settings.limits.keys_per_request);
        let keys = self.issuer.issue(turn.now, customer, count, &self.peers);
        let keys: Vec<_> = keys
            .iter()
            .map(|key| self.settings.sealer.seal(key))
            .collect();
        self.stats.keys_issued += u64::from(count);
        self.waiting.remove(&ticket);
        turn.actions
            .push(event::OutcomeAction::KeysIssued { ticket, keys });
    }

    fn submit(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        ticket: event::TicketId,
        token: Option<sync::Arc<str>>,
        spec: sync::Arc<job::JobSpec>,
    ) {
        match token {
            Some(token) => {
                let customer = spec.customer.clone();
                let deadline = turn.now + spec.deadline;
                let request = message::KeyRequest::Submit(spec);
                self.call(turn, ticket, &customer, token, request, deadline);
            }
            None if spec.idempotent => self.start_direct(turn, ticket, spec),
            None => {
                self.waiting.insert(ticket);
                let refusal = answer::failed(
                    outcome::RefusalCode::KeyRequired,
                    outcome::RunStatus::NotRun,
                    "a non-idempotent job needs a submission key; fetch one and submit again",
                );
                self.reply(turn, ticket, refusal);
            }
        }
    }

    /// Takes in a request with a key from a caller of this entry.
    fn call(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        ticket: event::TicketId,
        customer: &names::CustomerName,
        token: sync::Arc<str>,
        request: message::KeyRequest,
        deadline: time::TimePoint,
    ) {
        self.waiting.insert(ticket);
        let bound = self.keeps(rules::OutcomeRule::BindCustomer);
        let key = match self.settings.sealer.open(&token) {
            Ok(key) if key.customer == *customer || !bound => key,
            Ok(_) => {
                let detail = "the key belongs to another customer";
                return self.refuse_key(turn, ticket, outcome::RunStatus::NotRun, detail);
            }
            Err(error) if error.is_never_issued() => {
                let detail = error.to_string();
                return self.refuse_key(turn, ticket, outcome::RunStatus::NotRun, &detail);
            }
            // A process with another mesh key may have run the key's job.
            Err(error) => {
                let detail = error.to_string();
                return self.refuse_key(turn, ticket, outcome::RunStatus::Unknown, &detail);
            }
        };
        let call = relay::KeyCall {
            digest: request.digest(),
            key,
            token,
            request,
            deadline,
        };
        let known = self.records.get(call.key.id).is_some();
        if known || call.key.id.authority == self.settings.incarnation || self.offers(turn, &call) {
            self.serve(turn, call, record::KeyWaiter::Local(ticket));
        } else {
            self.pass_on(turn, ticket, call);
        }
    }

    fn refuse_key(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        ticket: event::TicketId,
        ran: outcome::RunStatus,
        detail: &str,
    ) {
        let refusal = answer::failed(outcome::RefusalCode::KeyInvalid, ran, detail);
        self.reply(turn, ticket, refusal);
    }

    fn start_direct(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        ticket: event::TicketId,
        spec: sync::Arc<job::JobSpec>,
    ) {
        let job = self.draw_job();
        self.waiting.insert(ticket);
        self.direct.insert(job, (ticket, spec.tasks.len()));
        let respond_by = turn.now + spec.deadline + self.settings.limits.dispatch_grace;
        self.set_deadline(respond_by, ticket);
        self.stats.jobs_started += 1;
        turn.actions.push(event::OutcomeAction::StartJob {
            job,
            spec,
            ticket: Some(ticket),
        });
    }

    fn draw_job(&mut self) -> names::JobId {
        use rand::RngExt;
        names::JobId(self.rng.random())
    }

    /// Replies to a waiting request, once.
    fn reply(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        ticket: event::TicketId,
        answer: outcome::JobAnswer,
    ) {
        let waited = if self.keeps(rules::OutcomeRule::AnswerOnce) {
            self.waiting.remove(&ticket)
        } else {
            self.waiting.contains(&ticket)
        };
        self.relays.remove(&ticket);
        if waited {
            self.stats.count_reply(&answer);
            turn.actions
                .push(event::OutcomeAction::Reply { ticket, answer });
        }
    }

    fn set_deadline(&mut self, at: time::TimePoint, ticket: event::TicketId) {
        if self.keeps(rules::OutcomeRule::AnswerDeadline) {
            self.timers.set(at, timer::TimerTopic::Ticket(ticket));
        }
    }

    fn expire_ticket(&mut self, turn: &mut LedgerTurn<'_>, ticket: event::TicketId) {
        if self.waiting.contains(&ticket) {
            let refusal = answer::failed(
                outcome::RefusalCode::DeadlineExceeded,
                outcome::RunStatus::Unknown,
                "no answer by the deadline; submit again with the same key to learn the outcome",
            );
            self.reply(turn, ticket, refusal);
        }
    }

    fn send(
        &mut self,
        turn: &mut LedgerTurn<'_>,
        to: names::IncarnationId,
        message: &message::PeerMessage,
    ) {
        if let Ok(payload) = message.encode() {
            self.stats.count_message(message);
            turn.actions
                .push(event::OutcomeAction::SendPeer { to, payload });
        }
    }

    fn change_peers(&mut self, turn: &mut LedgerTurn<'_>, peers: Vec<event::PeerEntry>) {
        self.peers = peers;
        self.review_liveness(turn);
    }

    fn change_members(&mut self, turn: &mut LedgerTurn<'_>, members: Vec<names::IncarnationId>) {
        self.members = members.into_iter().collect();
        self.review_liveness(turn);
    }

    fn review_liveness(&mut self, turn: &mut LedgerTurn<'_>) {
        self.close_unwitnessed(turn);
        self.hurry_relays(turn);
        self.drop_lost_heirs(turn);
    }

    fn run_timers(&mut self, turn: &mut LedgerTurn<'_>) {
        while let Some(topic) = self.timers.pop_due(turn.now) {
            match topic {
                timer::TimerTopic::Opening(key) => self.tend_opening(turn, key),
                timer::TimerTopic::Relay(ticket) => self.tend_relay(turn, ticket),
                timer::TimerTopic::Ticket(ticket) => self.expire_ticket(turn, ticket),
                timer::TimerTopic::Handover(witness) => self.tend_handover(turn, witness),
                timer::TimerTopic::Farewell => self.tend_farewell(turn),
                timer::TimerTopic::Purge => self.purge(turn.now),
            }
        }
    }

    fn set_purge(&mut self, now: time::TimePoint) {
        if !self.purge_set {
            self.purge_set = true;
            let at = now + self.settings.limits.purge_interval;
            self.timers.set(at, timer::TimerTopic::Purge);
        }
    }

    fn purge(&mut self, now: time::TimePoint) {
        self.purge_set = false;
        let retention = self.settings.limits.record_retention;
        self.floors
            .push_back((now, self.issuer.expired_through(now)));
        while let Some((since, floor)) = self.floors.front().copied()
            && now.since(since) >= retention
        {
            self.floor = self.floor.max(floor);
            self.floors.pop_front();
        }
        let (own, floor) = (self.settings.incarnation, self.floor);
        self.records.purge(|key, settled_at| {
            let inherited = key.authority != own;
            (inherited && now.since(settled_at) >= retention)
                || (!inherited && key.sequence <= floor)
        });
        self.drop_answers(now);
        self.witness.purge(now);
        let limits = &self.settings.limits;
        let lifetime = limits.key_lifetime + limits.record_retention;
        self.farewells.purge(now - lifetime, limits.farewells);
        self.issuer.purge(now);
    }

    /// Whether the witness table would let this process open the key as heir.
    fn offers(&self, turn: &LedgerTurn<'_>, call: &relay::KeyCall) -> bool {
        call.key.witness == Some(self.settings.incarnation)
            && self.witness.offers(turn.now, call.key.id)
    }
}

impl event::OutcomePolicy for OutcomeLedger {
    fn handle(
        &mut self,
        now: time::TimePoint,
        event: event::OutcomeEvent,
        actions: &mut Vec<event::OutcomeAction>,
    ) {
        let turn = &mut LedgerTurn { now, actions };
        self.set_purge(now);
        match event {
            event::OutcomeEvent::KeysRequested {
                ticket,
                customer,
                count,
            } => self.issue_keys(turn, ticket, &customer, count),
            event::OutcomeEvent::Submitted { ticket, key, spec } => {
                self.submit(turn, ticket, key, spec);
            }
            event::OutcomeEvent::CancelRequested {
                ticket,
                customer,
                key,
                deadline,
            } => {
                let request = message::KeyRequest::Cancel;
                self.call(turn, ticket, &customer, key, request, now + deadline);
            }
            event::OutcomeEvent::JobFinished { job, answer } => {
                self.finish_job(turn, job, answer);
            }
            event::OutcomeEvent::PeerMessage { from, payload } => {
                self.receive(turn, from, &payload);
            }
            event::OutcomeEvent::PeersChanged(peers) => self.change_peers(turn, peers),
            event::OutcomeEvent::MembersChanged(members) => self.change_members(turn, members),
            event::OutcomeEvent::DrainStarted => self.start_drain(turn),
            event::OutcomeEvent::WakeupDue => {}
        }
        self.run_timers(turn);
        self.advance_drain(turn);
    }

    fn next_wakeup(&self) -> Option<time::TimePoint> {
        self.timers.next()
    }
}

/// Whether an answer is whole for a job of `tasks` tasks.
fn is_whole(answer: &outcome::JobAnswer, tasks: usize) -> bool {
    match answer {
        outcome::JobAnswer::Complete { outputs } => outputs.len() == tasks,
        outcome::JobAnswer::Failed(_) => true,
    }
}

/// The answer itself if it is whole, else a failure.
fn whole_answer(
    answer: outcome::JobAnswer,
    tasks: usize,
    rules: rules::RuleSet,
) -> outcome::JobAnswer {
    if is_whole(&answer, tasks) || !rules.keeps(rules::OutcomeRule::WholeAnswer) {
        return answer;
    }
    answer::failed(
        outcome::RefusalCode::Internal,
        outcome::RunStatus::Ran,
        "the job's answer was not whole and was dropped",
    )
}

/// Whether a request fits the job that a key was used for.
fn fits(used_for: Option<digest::JobDigest>, asked: Option<digest::JobDigest>) -> bool {
    match (used_for, asked) {
        (Some(used_for), Some(asked)) => used_for == asked,
        _ => true,
    }
}

/// The record identity of a key of this process.
fn own_key(authority: names::IncarnationId, sequence: u64) -> key::KeyId {
    key::KeyId {
        authority,
        sequence,
    }
}
