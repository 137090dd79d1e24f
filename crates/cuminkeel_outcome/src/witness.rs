//! What a process remembers of other authorities' keys that name it as witness.
//!
//! The table alone decides between `opened` and `closed`: the first of the two
//! requests that it handles wins, whatever the membership or the clocks say.

use std::{collections, time};

use cuminkeel_types::{names, time as clock};

use crate::{key, message, rules};

/// Bounds of a [`WitnessTable`].
#[derive(Clone, Debug)]
pub struct WitnessLimits {
    /// Time for which one key is remembered.
    pub retention: time::Duration,
    /// Time for which inherited keys can be opened.
    pub inheritance: time::Duration,
    /// Most keys remembered for each authority.
    pub marks: usize,
    /// Most authorities remembered.
    pub authorities: usize,
}

/// Whether an heir may run the job of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// Yes; the key is now opened.
    Granted,
    /// The authority has not handed its keys over, or too long ago.
    NotInherited,
    /// The key is closed: nothing ran, and nothing will.
    Closed,
    /// The key was opened by its authority.
    Opened,
    /// The key's fate is forgotten.
    Forgotten,
}

/// Fate of the keys of all authorities that name this process as witness.
#[derive(Debug)]
pub struct WitnessTable {
    limits: WitnessLimits,
    rules: rules::RuleSet,
    authorities: collections::BTreeMap<names::IncarnationId, AuthorityView>,
    /// The process leaves: it grants and opens no key any more.
    frozen: bool,
    /// Some authority found no place in the table.
    overflowed: bool,
}

/// Fate of one authority's keys.
#[derive(Debug, Default)]
struct AuthorityView {
    /// Keys up to this position are forgotten unless a mark says otherwise.
    floor: u64,
    marks: collections::BTreeMap<u64, KeyMark>,
    inheritance: Option<KeyInheritance>,
}

#[derive(Clone, Copy, Debug)]
struct KeyMark {
    opened: bool,
    since: clock::TimePoint,
}

#[derive(Clone, Copy, Debug)]
struct KeyInheritance {
    expired_through: u64,
    until: clock::TimePoint,
}

impl WitnessTable {
    /// An empty table.
    pub fn new(limits: WitnessLimits, rules: rules::RuleSet) -> Self {
        Self {
            limits,
            rules,
            authorities: collections::BTreeMap::new(),
            frozen: false,
            overflowed: false,
        }
    }

    /// Remembers that an authority is about to start a key's job. False: the
    /// key is closed, forgotten or handed over, and must never be started.
    pub fn open(&mut self, now: clock::TimePoint, key: key::KeyId) -> bool {
        let rules = self.rules;
        let frozen = self.is_frozen();
        let Some(view) = self.view(key.authority) else {
            return false;
        };
        let granted = match view.marks.get(&key.sequence) {
            Some(mark) => mark.opened || !rules.keeps(rules::OutcomeRule::RefuseClosed),
            None => key.sequence > view.floor && view.inheritance.is_none() && !frozen,
        };
        if granted && rules.keeps(rules::OutcomeRule::RememberOpen) {
            view.mark(now, key.sequence, true);
            self.trim(key.authority);
        }
        granted
    }

    /// Closes a key unless it was opened. An inherited key stays open to the
    /// caller, who is told to send the whole request instead.
    pub fn close(&mut self, now: clock::TimePoint, key: key::KeyId) -> message::CloseVerdict {
        let rules = self.rules;
        let frozen = self.is_frozen();
        let Some(view) = self.view(key.authority) else {
            return message::CloseVerdict::Forgotten;
        };
        match view.marks.get(&key.sequence) {
            Some(mark) if mark.opened => return message::CloseVerdict::Opened,
            Some(_) => return message::CloseVerdict::Closed,
            None if view.forgets(key.sequence, rules) => return message::CloseVerdict::Forgotten,
            None if view.inherits(now, key.sequence) && !frozen => {
                return message::CloseVerdict::Served;
            }
            None => {}
        }
        if rules.keeps(rules::OutcomeRule::RememberClose) {
            view.mark(now, key.sequence, false);
            self.trim(key.authority);
        }
        message::CloseVerdict::Closed
    }

    /// Whether [`WitnessTable::claim`] would grant a key.
    pub fn offers(&self, now: clock::TimePoint, key: key::KeyId) -> bool {
        let view = self.authorities.get(&key.authority);
        let frozen = self.is_frozen();
        view.is_some_and(|view| {
            !frozen
                && !view.marks.contains_key(&key.sequence)
                && !view.forgets(key.sequence, self.rules)
                && view.inherits(now, key.sequence)
        })
    }

    /// Opens an inherited key for this process.
    pub fn claim(&mut self, now: clock::TimePoint, key: key::KeyId) -> ClaimVerdict {
        let rules = self.rules;
        let frozen = self.is_frozen();
        let Some(view) = self.view(key.authority) else {
            return ClaimVerdict::Forgotten;
        };
        let mark = view
            .marks
            .get(&key.sequence)
            .filter(|_| rules.keeps(rules::OutcomeRule::HeirRecords));
        match mark {
            Some(mark) if mark.opened => return ClaimVerdict::Opened,
            Some(_) => return ClaimVerdict::Closed,
            None if view.forgets(key.sequence, rules) => return ClaimVerdict::Forgotten,
            None if view.inherits(now, key.sequence) && !frozen => {}
            None => return ClaimVerdict::NotInherited,
        }
        view.mark(now, key.sequence, true);
        self.trim(key.authority);
        ClaimVerdict::Granted
    }

    /// Takes over the remaining keys of a leaving authority. Repeats and late
    /// copies change nothing that was decided since. A frozen table takes over
    /// nothing: others may know already that its unlisted keys never open.
    pub fn inherit(
        &mut self,
        now: clock::TimePoint,
        authority: names::IncarnationId,
        handover: &message::KeyHandover,
    ) {
        let until = now + self.limits.inheritance;
        if self.is_frozen() {
            return;
        }
        let Some(view) = self.view(authority) else {
            return;
        };
        for sequence in &handover.closed {
            // The authority alone could have started the job, so its word goes
            // before the memory of an opening that it announced.
            view.mark(now, *sequence, false);
        }
        for sequence in &handover.opening {
            if !view.marks.contains_key(sequence) && *sequence > view.floor {
                view.mark(now, *sequence, true);
            }
        }
        if view.inheritance.is_none() {
            view.inheritance = Some(KeyInheritance {
                expired_through: handover.expired_through,
                until,
            });
        }
        self.trim(authority);
    }

    /// Grants and opens no key any more, since the process leaves.
    pub fn freeze(&mut self) {
        self.frozen = true;
    }

    fn is_frozen(&self) -> bool {
        self.frozen && self.rules.keeps(rules::OutcomeRule::FreezeWitness)
    }

    /// What a frozen table says of each authority's keys, and whether it lists
    /// all authorities. The latest `most` keys of each authority are listed.
    pub fn farewell(&self, most: usize) -> (Vec<message::WitnessedKeys>, bool) {
        let lists = self.rules.keeps(rules::OutcomeRule::ListOpened);
        let views = self.authorities.iter().map(|(authority, view)| {
            let excess = view.marks.len().saturating_sub(most);
            let dropped = view.marks.keys().take(excess).next_back().copied();
            let fates = view.marks.iter().skip(excess).filter(|_| lists);
            message::WitnessedKeys {
                authority: *authority,
                floor: dropped.map_or(view.floor, |dropped| view.floor.max(dropped)),
                fates: fates
                    .map(|(sequence, mark)| (*sequence, mark.fate()))
                    .collect(),
            }
        });
        (views.collect(), !self.overflowed)
    }

    /// Forgets old marks. What is forgotten is never called unopened again.
    pub fn purge(&mut self, now: clock::TimePoint) {
        let retention = self.limits.retention;
        for view in self.authorities.values_mut() {
            while let Some(entry) = view.marks.first_entry()
                && now.since(entry.get().since) >= retention
            {
                view.floor = view.floor.max(*entry.key());
                entry.remove();
            }
        }
    }

    /// Keys remembered, over all authorities.
    pub fn marks(&self) -> usize {
        self.authorities.values().map(|view| view.marks.len()).sum()
    }

    /// The authority's view; none if the table is full and the authority new.
    fn view(&mut self, authority: names::IncarnationId) -> Option<&mut AuthorityView> {
        let full = self.authorities.len() >= self.limits.authorities;
        match self.authorities.entry(authority) {
            collections::btree_map::Entry::Occupied(entry) => Some(entry.into_mut()),
            collections::btree_map::Entry::Vacant(_) if full => {
                self.overflowed = true;
                None
            }
            collections::btree_map::Entry::Vacant(entry) => {
                Some(entry.insert(AuthorityView::default()))
            }
        }
    }

    fn trim(&mut self, authority: names::IncarnationId) {
        let Some(view) = self.authorities.get_mut(&authority) else {
            return;
        };
        while view.marks.len() > self.limits.marks {
            let Some((sequence, _)) = view.marks.pop_first() else {
                return;
            };
            view.floor = view.floor.max(sequence);
        }
    }
}

impl KeyMark {
    fn fate(self) -> message::KeyFate {
        if self.opened {
            message::KeyFate::Opened
        } else {
            message::KeyFate::Closed
        }
    }
}

impl AuthorityView {
    fn mark(&mut self, now: clock::TimePoint, sequence: u64, opened: bool) {
        let since = self.marks.get(&sequence).map_or(now, |mark| mark.since);
        self.marks.insert(sequence, KeyMark { opened, since });
    }

    fn forgets(&self, sequence: u64, rules: rules::RuleSet) -> bool {
        sequence <= self.floor && rules.keeps(rules::OutcomeRule::DoubtForgotten)
    }

    fn inherits(&self, now: clock::TimePoint, sequence: u64) -> bool {
        self.inheritance.is_some_and(|inheritance| {
            sequence > inheritance.expired_through && now < inheritance.until
        })
    }
}
