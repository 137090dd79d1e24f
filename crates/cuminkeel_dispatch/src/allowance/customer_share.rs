//! One customer's units on one entry: lent, borrowed and used.

use std::{collections, time};

use cuminkeel_types::{names, time::TimePoint};

use super::{message::ShareUnits, settings, start_bucket};

/// Units lent by one grant.
#[derive(Clone, Copy, Debug)]
struct LentGrant {
    units: ShareUnits,
    tasks_until: TimePoint,
    starts_until: TimePoint,
}

/// What one borrower may still use.
#[derive(Clone, Debug, Default)]
struct LentUnits {
    last_number: u64,
    grants: smallvec::SmallVec<[LentGrant; 2]>,
    /// When it last got less than it wanted.
    unmet_at: Option<TimePoint>,
}

impl LentUnits {
    /// The borrower uses one of its grants, so the greatest counts.
    fn outstanding(&self, now: TimePoint) -> ShareUnits {
        let grants = self.grants.iter().map(|grant| ShareUnits {
            tasks: if grant.tasks_until > now {
                grant.units.tasks
            } else {
                0
            },
            starts: if grant.starts_until > now {
                grant.units.starts
            } else {
                0
            },
        });
        grants.fold(ShareUnits::NONE, ShareUnits::max)
    }
}

/// What one lender granted.
#[derive(Clone, Copy, Debug)]
pub(super) struct BorrowedUnits {
    /// Number of the last request.
    pub(super) number: u64,
    /// When that was sent.
    pub(super) sent_at: TimePoint,
    /// Whether its answer is still awaited.
    pub(super) pending: bool,
    /// What it wanted.
    pub(super) wanted: ShareUnits,
    /// What may be used until `until`.
    pub(super) units: ShareUnits,
    /// End of the grant.
    pub(super) until: TimePoint,
    /// Tasks that may still run on this lender's units, until `held_until`.
    pub(super) held: u32,
    /// When all tasks that were started on the units have ended.
    pub(super) held_until: TimePoint,
}

impl BorrowedUnits {
    /// Tasks that may still run on the units.
    pub(super) fn held(&self, now: TimePoint) -> u32 {
        if self.held_until > now { self.held } else { 0 }
    }
}

/// How much the customer's tasks on this entry need.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandTrack {
    /// Units wanted, own ones included.
    pub(super) target: ShareUnits,
    /// Growth of the target at the next refusal.
    step: ShareUnits,
    /// Whether a start was refused since the target last grew.
    refused: (bool, bool),
    /// Whether a start was refused since the last look.
    refused_lately: (bool, bool),
    /// Whether a start was refused between the last two looks.
    refused_before: (bool, bool),
    peak_running: u32,
    starts: u32,
    looked_at: TimePoint,
}

/// A customer's state.
#[derive(Debug)]
pub(super) struct CustomerShare {
    pub(super) max_tasks: Option<u32>,
    pub(super) max_starts: Option<u32>,
    pub(super) running: u32,
    pub(super) demand: DemandTrack,
    pub(super) borrowed: collections::BTreeMap<names::IncarnationId, BorrowedUnits>,
    /// Lenders that had nothing, and until when they are not asked again.
    pub(super) refusals: collections::BTreeMap<names::IncarnationId, TimePoint>,
    /// Lenders that told of free units since they were last asked.
    pub(super) offers: collections::BTreeSet<names::IncarnationId>,
    /// No lender is asked for more before this.
    pub(super) next_pull: TimePoint,
    pub(super) pull_delay: time::Duration,
    pub(super) fanout: usize,
    pub(super) next_recall: TimePoint,
    lent: collections::BTreeMap<names::IncarnationId, LentUnits>,
    bucket: start_bucket::StartBucket,
}

impl CustomerShare {
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            max_tasks: None,
            max_starts: None,
            running: 0,
            demand: DemandTrack::default(),
            borrowed: collections::BTreeMap::new(),
            refusals: collections::BTreeMap::new(),
            offers: collections::BTreeSet::new(),
            next_pull: now,
            pull_delay: super::lending::FIRST_PULL_DELAY,
            fanout: super::lending::FIRST_FANOUT,
            next_recall: now,
            lent: collections::BTreeMap::new(),
            bucket: start_bucket::StartBucket::new(now),
        }
    }

    /// The plan's limits; none where unlimited counts as no units.
    pub(super) fn limits(&self) -> ShareUnits {
        ShareUnits {
            tasks: self.max_tasks.unwrap_or(0),
            starts: self.max_starts.unwrap_or(0),
        }
    }

    pub(super) fn lent_total(&self, now: TimePoint) -> ShareUnits {
        let lent = self.lent.values().map(|lent| lent.outstanding(now));
        lent.fold(ShareUnits::NONE, ShareUnits::plus)
    }

    pub(super) fn borrowed_total(&self, now: TimePoint) -> ShareUnits {
        let borrowed = self.borrowed.values().filter(|loan| loan.until > now);
        let units = borrowed.map(|loan| loan.units);
        units.fold(ShareUnits::NONE, ShareUnits::plus)
    }

    /// Tasks that may still run on borrowed units.
    pub(super) fn held_total(&self, now: TimePoint) -> u32 {
        let held = self.borrowed.values().map(|loan| loan.held(now));
        held.fold(0, u32::saturating_add)
    }

    /// Running tasks that the own units do not cover.
    pub(super) fn uncovered(&self, now: TimePoint, own: ShareUnits) -> u32 {
        let lent = self.lent_total(now);
        self.running
            .saturating_add(lent.tasks)
            .saturating_sub(own.tasks)
    }

    /// Units that this entry may use now, given those of its seats.
    pub(super) fn usable(&self, now: TimePoint, own: ShareUnits) -> ShareUnits {
        own.plus(self.borrowed_total(now))
            .minus(self.lent_total(now))
    }

    /// Borrowers that hold units now.
    pub(super) fn borrowers(&self, now: TimePoint) -> Vec<names::IncarnationId> {
        let holding = self
            .lent
            .iter()
            .filter(|(_, lent)| !lent.outstanding(now).is_none());
        holding.map(|(borrower, _)| *borrower).collect()
    }

    pub(super) fn fill(&mut self, now: TimePoint, own: ShareUnits) {
        let rate = self.usable(now, own).starts;
        self.bucket.fill(now, rate);
    }

    /// Takes one start out of the share.
    pub(super) fn try_start(&mut self, now: TimePoint, own: ShareUnits) -> bool {
        self.fill(now, own);
        let usable = self.usable(now, own);
        let no_task = self.max_tasks.is_some() && self.running >= usable.tasks;
        let no_start = self.max_starts.is_some() && !self.bucket.has_start();
        if no_task || no_start {
            self.demand.note_refusal(no_task, no_start);
            return false;
        }
        if self.max_starts.is_some() {
            self.bucket.take();
        }
        self.running += 1;
        self.demand.note_start(self.running);
        true
    }

    pub(super) fn add_starts(&mut self, micro_starts: u64) {
        self.bucket.add(micro_starts);
    }

    pub(super) fn micros_to_start(&self, rate: u32) -> Option<u64> {
        self.bucket.micros_to_start(rate)
    }

    /// Answers a borrower's request; none if it is an old one.
    pub(super) fn grant(
        &mut self,
        now: TimePoint,
        own: ShareUnits,
        request: &LoanRequest,
    ) -> Option<(ShareUnits, u64)> {
        self.fill(now, own);
        let reserved = self.reserved(now);
        let rivals = self.rivals(now, request.borrower);
        let lent = self.lent.entry(request.borrower).or_default();
        if request.number <= lent.last_number {
            return None;
        }
        lent.last_number = request.number;
        lent.grants.retain(|grant| grant.tasks_until > now);
        for grant in &mut lent.grants {
            grant.units = grant.units.min(request.keep);
        }
        let kept = lent.outstanding(now);
        let taken = self.lent_total(now).plus(reserved);
        let free = own.plus(kept).minus(taken);
        let free = match rivals {
            0 => free,
            rivals => ShareUnits {
                tasks: free.tasks.div_ceil(rivals + 1),
                starts: free.starts.div_ceil(rivals + 1),
            },
        };
        // An entry that is short itself lends nothing new: units that go round
        // between hungry entries serve nobody.
        let short = self.demand.is_short();
        let free = ShareUnits {
            tasks: if short.0 {
                free.tasks.min(kept.tasks)
            } else {
                free.tasks
            },
            starts: if short.1 {
                free.starts.min(kept.starts)
            } else {
                free.starts
            },
        };
        let units = request.want.min(free);
        let rate = own.minus(self.lent_total(now)).starts;
        let given = units.starts.saturating_sub(kept.starts);
        let micro_starts = self.bucket.split(given, rate);
        let lent = self.lent.entry(request.borrower).or_default();
        lent.unmet_at = (units != request.want).then_some(now);
        if !units.is_none() {
            let end = now + settings::stretched(request.term);
            lent.grants.push(LentGrant {
                units,
                tasks_until: end + settings::stretched(request.max_task_time),
                starts_until: end,
            });
        }
        Some((units, micro_starts))
    }

    /// Borrowers that lately got too little, if there are units for them now.
    /// Each is named once.
    pub(super) fn take_unmet(
        &mut self,
        now: TimePoint,
        own: ShareUnits,
    ) -> Vec<names::IncarnationId> {
        let free = own.minus(self.lent_total(now).plus(self.reserved(now)));
        let short = self.demand.is_short();
        if free.is_none() || short.0 || short.1 {
            return Vec::new();
        }
        let lately = |at: TimePoint| now.since(at) < super::lending::OFFER_TIME;
        let unmet = self
            .lent
            .iter_mut()
            .filter(|(_, lent)| lent.unmet_at.is_some_and(lately));
        let unmet = unmet.map(|(borrower, lent)| {
            lent.unmet_at = None;
            *borrower
        });
        unmet.collect()
    }

    /// Units that this entry keeps for its own tasks.
    fn reserved(&self, now: TimePoint) -> ShareUnits {
        let wanted = self.demand.target.minus(self.borrowed_total(now));
        let running = self.running.saturating_sub(self.held_total(now));
        ShareUnits {
            tasks: wanted.tasks.max(running),
            starts: wanted.starts,
        }
    }

    /// Other borrowers that lately got less than they wanted.
    fn rivals(&self, now: TimePoint, borrower: names::IncarnationId) -> u32 {
        let unmet = self.lent.iter().filter(|(other, lent)| {
            let lately = |at: TimePoint| now.since(at) < super::lending::UNMET_TIME;
            **other != borrower && lent.unmet_at.is_some_and(lately)
        });
        u32::try_from(unmet.count()).unwrap_or(u32::MAX - 1)
    }

    /// Forgets loans that are over.
    pub(super) fn forget_old(&mut self, now: TimePoint) {
        let old = super::lending::FORGET_TIME;
        self.lent.retain(|_, lent| {
            lent.grants.retain(|grant| grant.tasks_until > now);
            let unmet = lent.unmet_at.is_some_and(|at| now.since(at) < old);
            unmet || !lent.grants.is_empty()
        });
        self.borrowed.retain(|_, loan| {
            loan.until.max(loan.held_until) > now || now.since(loan.sent_at) < old
        });
        self.refusals.retain(|_, until| *until > now);
    }
}

/// A request as a lender judges it.
#[derive(Clone, Debug)]
pub(super) struct LoanRequest {
    pub(super) borrower: names::IncarnationId,
    pub(super) number: u64,
    pub(super) keep: ShareUnits,
    pub(super) want: ShareUnits,
    pub(super) term: time::Duration,
    pub(super) max_task_time: time::Duration,
}

impl DemandTrack {
    fn note_refusal(&mut self, no_task: bool, no_start: bool) {
        self.refused.0 |= no_task;
        self.refused.1 |= no_start;
        self.refused_lately.0 |= no_task;
        self.refused_lately.1 |= no_start;
    }

    fn note_start(&mut self, running: u32) {
        self.peak_running = self.peak_running.max(running);
        self.starts += 1;
    }

    /// Whether a refusal waits for an answer.
    pub(super) fn is_urgent(&self) -> bool {
        self.refused.0 || self.refused.1
    }

    /// Whether a start was refused since the last look.
    pub(super) fn was_refused(&self) -> bool {
        self.refused_lately.0 || self.refused_lately.1
    }

    /// Whether tasks, and whether starts, are short here.
    fn is_short(&self) -> (bool, bool) {
        let tasks = self.refused_lately.0 || self.refused_before.0;
        let starts = self.refused_lately.1 || self.refused_before.1;
        (tasks, starts)
    }

    /// Raises the target after refusals, each time by twice as much.
    pub(super) fn grow(&mut self, usable: ShareUnits, limits: ShareUnits) {
        if self.refused.0 {
            self.step.tasks = self.step.tasks.saturating_mul(2).max(1);
            let target = usable.tasks.saturating_add(self.step.tasks);
            self.target.tasks = self.target.tasks.max(target).min(limits.tasks);
        }
        if self.refused.1 {
            self.step.starts = self.step.starts.saturating_mul(2).max(1);
            let target = usable.starts.saturating_add(self.step.starts);
            self.target.starts = self.target.starts.max(target).min(limits.starts);
        }
        self.refused = (false, false);
    }

    /// Sets the target to what was used since the last look, unless starts were
    /// refused.
    pub(super) fn settle(&mut self, now: TimePoint, running: u32) {
        let seconds = now.since(self.looked_at).as_secs_f64().max(0.1);
        if !self.refused_lately.0 {
            self.target.tasks = self.peak_running.max(running);
            self.step.tasks = 0;
        }
        if !self.refused_lately.1 {
            self.target.starts = per_second(self.starts, seconds);
            self.step.starts = 0;
        }
        self.peak_running = running;
        self.starts = 0;
        self.refused_before = self.refused_lately;
        self.refused_lately = (false, false);
        self.looked_at = now;
    }
}

/// Rate to keep for a number of starts, with a quarter to spare.
fn per_second(starts: u32, seconds: f64) -> u32 {
    let rate = (f64::from(starts) / seconds * 1.25).ceil();
    if rate >= f64::from(u32::MAX) {
        return u32::MAX;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate is whole, not negative and below the bound checked above"
    )]
    {
        rate as u32
    }
}
