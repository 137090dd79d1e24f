//! Entries, network, dispatchers and callers, driven by one queue of events.
//!
//! Every reply and every start is checked when it happens.

use std::{collections, fmt, sync};

use cuminkeel_outcome::event::OutcomePolicy;
use cuminkeel_outcome::{answer, event, rules, settings};
use cuminkeel_types::{names, outcome};
use derive_more::Display;
use rand::{RngExt, SeedableRng};

use super::process;

pub const MESH_KEY: &[u8] = b"model";
pub const MILLI: u64 = 1_000;

/// What is submitted: a job under a key (or none), by a customer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Submission {
    /// Index of the key; jobs without a key count on from a million.
    pub token: usize,
    /// Which of the jobs that callers send with this key.
    pub variant: u8,
    pub customer: u8,
}

impl Submission {
    pub fn new(token: usize, variant: u8, customer: u8) -> Self {
        Self {
            token,
            variant,
            customer,
        }
    }
}

/// A call with a key, made at a place.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyCall {
    pub place: usize,
    pub token: usize,
    pub variant: u8,
    pub stranger: bool,
    pub wait_millis: u64,
}

/// Something that a schedule does at a time; most name a place first.
#[derive(Clone, Copy, Debug)]
pub enum Command {
    /// Fetches keys for a customer: place, customer, count.
    Fetch(usize, u8, usize),
    Submit(KeyCall),
    Cancel(KeyCall),
    SubmitDirect(usize, u64),
    Crash(usize),
    /// Crashes after so many actions of the next event that has more.
    CrashWithin(usize, usize),
    Start(usize),
    /// Pauses a process; its clock stands still, or runs on.
    Pause(usize, bool),
    Resume(usize),
    /// Loses messages from one place to another.
    Block(usize, usize),
    Unblock(usize, usize),
    /// Takes the second out of the first one's view of the members.
    Suspect(usize, usize),
    Unsuspect(usize, usize),
    Drain(usize),
    /// Sets a clock forward by milliseconds.
    StepClock(usize, u64),
}

#[derive(Clone, Debug)]
pub enum Happening {
    Deliver {
        to: names::IncarnationId,
        from: names::IncarnationId,
        payload: Vec<u8>,
    },
    Wake(names::IncarnationId),
    TaskSent(names::IncarnationId, names::JobId),
    JobEnds(names::IncarnationId, names::JobId),
    View(names::IncarnationId),
    Command(Command),
}

/// Shares of messages in thousandths, and the dispatchers' manners.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    pub lost: u32,
    pub doubled: u32,
    pub slow: u32,
    pub very_late: u32,
    pub crossed: u32,
    /// Jobs that do not simply complete, among them partial answers.
    pub troubled_jobs: u32,
    /// Run time of each job; drawn if zero.
    pub run_millis: u64,
}

/// A promise to callers that was broken for a submission.
#[derive(Clone, Copy, Debug, Display)]
#[display("{promise} {submission:?}")]
pub struct Violation {
    pub promise: Promise,
    pub submission: Submission,
}

/// How a promise is broken.
#[derive(Clone, Copy, Debug, Display)]
pub enum Promise {
    DoubledStart,
    ForeignStart,
    StartAfterNotRun,
    FalseNotRun,
    FalseRan,
    WrongAnswer,
    AnsweredTwice,
    AnsweredLate,
    NeverAnswered,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub complete: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub ran: u64,
    /// Replies for keys whose authority had crashed, and the unknown among them.
    pub crashed: u64,
    pub crashed_unknown: u64,
    /// Unknown replies for keys whose job was never sent to a server.
    pub unknown_unsent: u64,
    pub messages: u64,
    pub starts: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Self) {
        self.complete += other.complete;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.ran += other.ran;
        self.crashed += other.crashed;
        self.crashed_unknown += other.crashed_unknown;
        self.unknown_unsent += other.unknown_unsent;
        self.messages += other.messages;
        self.starts += other.starts;
    }
}

#[derive(Debug)]
pub struct Ticket {
    pub submission: Submission,
    pub cancels: bool,
    pub deadline: u64,
    pub replied: bool,
}

#[derive(Debug)]
pub struct Token {
    pub text: sync::Arc<str>,
    pub customer: u8,
    pub authority: names::IncarnationId,
}

pub struct World {
    pub now: u64,
    pub weather: Weather,
    pub limits: settings::LedgerLimits,
    pub rules: rules::RuleSet,
    pub tokens: Vec<Token>,
    pub violations: Vec<Violation>,
    pub counts: Counts,
    pub replies: Vec<(Submission, outcome::JobAnswer)>,
    pub places: Vec<Option<process::Process>>,
    pub rng: rand::rngs::StdRng,
    pub queue: collections::BTreeMap<(u64, u64), Happening>,
    pub serial: u64,
    pub tickets: collections::BTreeMap<(names::IncarnationId, event::TicketId), Ticket>,
    pub admitted: collections::BTreeMap<usize, u32>,
    pub started: collections::BTreeSet<Submission>,
    pub denied: collections::BTreeSet<Submission>,
    pub cancelled: collections::BTreeSet<usize>,
    pub blocked: collections::BTreeSet<(usize, usize)>,
    pub crash_within: collections::BTreeMap<usize, usize>,
    pub places_of: collections::BTreeMap<names::IncarnationId, usize>,
    pub crashed: collections::BTreeSet<names::IncarnationId>,
    pub directs: usize,
}

impl fmt::Debug for World {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("World").finish_non_exhaustive()
    }
}

impl World {
    pub fn new(
        seed: u64,
        entries: usize,
        limits: settings::LedgerLimits,
        rules: rules::RuleSet,
    ) -> Self {
        let mut world = Self {
            now: 0,
            weather: Weather::default(),
            limits,
            rules,
            tokens: Vec::new(),
            violations: Vec::new(),
            counts: Counts::default(),
            replies: Vec::new(),
            places: Vec::new(),
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            queue: collections::BTreeMap::new(),
            serial: 0,
            tickets: collections::BTreeMap::new(),
            admitted: collections::BTreeMap::new(),
            started: collections::BTreeSet::new(),
            denied: collections::BTreeSet::new(),
            cancelled: collections::BTreeSet::new(),
            blocked: collections::BTreeSet::new(),
            crash_within: collections::BTreeMap::new(),
            places_of: collections::BTreeMap::new(),
            crashed: collections::BTreeSet::new(),
            directs: 0,
        };
        world.places.resize_with(entries, || None);
        for place in 0..entries {
            world.start(place);
        }
        for place in 0..entries {
            world.show_view(place);
        }
        world
    }

    /// Adds a command to the schedule.
    pub fn at(&mut self, millis: u64, command: Command) {
        self.push(millis * MILLI, Happening::Command(command));
    }

    /// Runs everything up to a time.
    pub fn run_until(&mut self, millis: u64) {
        let end = millis * MILLI;
        while let Some(((at, _), _)) = self.queue.first_key_value()
            && *at <= end
        {
            if let Some(((at, _), happening)) = self.queue.pop_first() {
                self.now = self.now.max(at);
                self.happen(happening);
            }
        }
        self.now = self.now.max(end);
    }

    /// Checks that every request of a living entry was answered.
    pub fn check_end(&mut self) {
        let living: collections::BTreeSet<_> = self
            .places
            .iter()
            .flatten()
            .map(|process| process.incarnation)
            .collect();
        let stranded: Vec<_> = self
            .tickets
            .iter()
            .filter(|((incarnation, _), ticket)| !ticket.replied && living.contains(incarnation))
            .map(|(_, ticket)| ticket.submission)
            .collect();
        for submission in stranded {
            self.violate(Promise::NeverAnswered, submission);
        }
        self.count_unsent();
    }

    fn count_unsent(&mut self) {
        let sent: collections::BTreeSet<_> = self.started.iter().map(|sent| sent.token).collect();
        let unknown =
            |answer: &outcome::JobAnswer| answer::ran(answer) == outcome::RunStatus::Unknown;
        let unsent = self
            .replies
            .iter()
            .filter(|(submission, answer)| unknown(answer) && !sent.contains(&submission.token));
        self.counts.unknown_unsent = unsent.count() as u64;
    }

    /// Takes the next or the last message out of the network.
    pub fn take_message(&mut self, last: bool) -> Option<Happening> {
        let mut messages = self
            .queue
            .iter()
            .filter(|(_, happening)| matches!(happening, Happening::Deliver { .. }))
            .map(|(position, _)| *position);
        let position = if last {
            messages.next_back()?
        } else {
            messages.next()?
        };
        self.now = self.now.max(position.0);
        self.queue.remove(&position)
    }

    /// Lets time pass while the network holds its messages back.
    pub fn pass_time(&mut self, millis: u64) {
        let held: Vec<_> = std::iter::from_fn(|| self.take_message(false)).collect();
        self.run_until(self.now / MILLI + millis);
        for message in held {
            self.push(self.now, message);
        }
    }

    pub fn push(&mut self, at: u64, happening: Happening) {
        self.serial += 1;
        self.queue
            .insert((at.max(self.now), self.serial), happening);
    }

    pub fn violate(&mut self, promise: Promise, submission: Submission) {
        self.violations.push(Violation {
            promise,
            submission,
        });
    }

    pub fn chance(&mut self, permille: u32) -> bool {
        permille > 0 && self.rng.random_range(0..1_000) < permille
    }

    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        self.rng.random_range(low..=high)
    }

    pub fn place_of(&self, incarnation: names::IncarnationId) -> Option<usize> {
        let place = *self.places_of.get(&incarnation)?;
        let process = self.places[place].as_ref()?;
        (process.incarnation == incarnation).then_some(place)
    }

    pub fn happen(&mut self, happening: Happening) {
        let whom = match &happening {
            Happening::Deliver { to, .. } => *to,
            Happening::Wake(whom)
            | Happening::TaskSent(whom, _)
            | Happening::JobEnds(whom, _)
            | Happening::View(whom) => *whom,
            Happening::Command(command) => return self.obey(command),
        };
        let Some(place) = self.place_of(whom) else {
            return;
        };
        match &mut self.places[place] {
            Some(process) if process.paused => return process.held.push(happening),
            _ => {}
        }
        match happening {
            Happening::Deliver { from, payload, .. } => {
                self.feed(place, event::OutcomeEvent::PeerMessage { from, payload });
            }
            Happening::Wake(_) => self.wake(place),
            Happening::TaskSent(_, job) => self.task_sent(place, job),
            Happening::JobEnds(_, job) => self.job_ends(place, job),
            Happening::View(_) => self.show_view(place),
            Happening::Command(_) => {}
        }
    }

    pub fn obey(&mut self, command: &Command) {
        match *command {
            Command::Fetch(place, customer, count) => self.fetch_keys(place, customer, count),
            Command::Submit(call) => self.submit(call),
            Command::Cancel(call) => self.cancel(call),
            Command::SubmitDirect(place, wait_millis) => self.submit_direct(place, wait_millis),
            Command::Crash(place) => self.crash(place, true),
            Command::CrashWithin(place, actions) => {
                self.crash_within.insert(place, actions);
            }
            Command::Start(place) => self.restart(place),
            Command::Pause(place, clock_stands) => {
                if let Some(process) = &mut self.places[place] {
                    process.pause(self.now, clock_stands);
                }
            }
            Command::Resume(place) => self.resume(place),
            Command::Block(from, to) => {
                self.blocked.insert((from, to));
            }
            Command::Unblock(from, to) => {
                self.blocked.remove(&(from, to));
            }
            Command::Suspect(by, whom) => self.suspect(by, whom, true),
            Command::Unsuspect(by, whom) => self.suspect(by, whom, false),
            Command::Drain(place) => self.drain(place),
            Command::StepClock(place, millis) => {
                if let Some(process) = &mut self.places[place] {
                    process.step_clock(self.now, millis * MILLI);
                }
                self.feed_running(place, event::OutcomeEvent::WakeupDue);
            }
        }
    }

    /// Passes an event to a process unless it is paused or gone.
    pub fn feed_running(&mut self, place: usize, event: event::OutcomeEvent) {
        match &self.places[place] {
            Some(process) if !process.paused => self.feed(place, event),
            _ => {}
        }
    }

    pub fn feed(&mut self, place: usize, event: event::OutcomeEvent) {
        let Some(process) = &mut self.places[place] else {
            return;
        };
        let clock = process.clock(self.now);
        let mut actions = Vec::new();
        process.ledger.handle(clock, event, &mut actions);
        let from = process.incarnation;
        let cut = match self.crash_within.get(&place) {
            Some(cut) if actions.len() > *cut => self.crash_within.remove(&place),
            _ => None,
        };
        actions.truncate(cut.unwrap_or(usize::MAX));
        for action in actions {
            self.act(place, from, action);
        }
        match &self.places[place] {
            Some(_) if cut.is_some() => self.crash(place, true),
            Some(process) if process.is_finished() => {
                self.crash(place, false);
                let start = Happening::Command(Command::Start(place));
                self.push(self.now + 50 * MILLI, start);
            }
            _ => self.set_wake(place),
        }
    }

    pub fn set_wake(&mut self, place: usize) {
        let now = self.now;
        let Some(process) = &mut self.places[place] else {
            return;
        };
        let Some(at) = process.ledger.next_wakeup() else {
            return;
        };
        let due = now + process.wait_for(now, at);
        if process.wake_set.is_none_or(|set| set > due) {
            process.wake_set = Some(due);
            let whom = process.incarnation;
            self.push(due, Happening::Wake(whom));
        }
    }

    pub fn wake(&mut self, place: usize) {
        if let Some(process) = &mut self.places[place] {
            process.wake_set = None;
        }
        self.feed(place, event::OutcomeEvent::WakeupDue);
    }

    pub fn act(&mut self, place: usize, from: names::IncarnationId, action: event::OutcomeAction) {
        match action {
            event::OutcomeAction::KeysIssued { ticket, keys } => self.keep_keys(from, ticket, keys),
            event::OutcomeAction::StartJob { job, spec, .. } => self.admit(place, job, &spec),
            event::OutcomeAction::CancelJob { job } => self.cancel_job(place, job),
            event::OutcomeAction::Reply { ticket, answer } => {
                self.check_reply(place, (from, ticket), answer);
            }
            event::OutcomeAction::SendPeer { to, payload } => {
                self.transmit(place, from, to, &payload);
            }
            event::OutcomeAction::DrainFinished => {
                if let Some(process) = &mut self.places[place] {
                    process.standing = process::Standing::Parted;
                }
            }
        }
    }
}
