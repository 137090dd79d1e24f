//! States of all known processes, and how two views of them merge.
//!
//! A merge is commutative and idempotent: within an incarnation the further
//! [`message::MemberStatus`] wins, and among the incarnations of one VM name the
//! highest generation does. [`message::MemberStatus::Gone`] is final.

use std::collections;

use cuminkeel_types::{names, time};

use super::message;

/// Most gone processes that are remembered.
pub const MAX_TOMBSTONES: usize = 1_024;
/// Most processes that are known at a time.
pub const MAX_MEMBERS: usize = 1_024;
/// Most gone processes of a domain that are sent when views differ.
pub const MAX_TOMBSTONES_PER_SYNC: usize = 16;

/// What came of merging a state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// Nothing new.
    Known,
    /// The state is new and was taken.
    Taken {
        /// Earlier process of the same VM that is gone with it.
        replaced: Option<message::MemberState>,
    },
    /// The state is out of date; `newer` shows why.
    Outdated {
        /// The state that overrules it.
        newer: message::MemberState,
    },
    /// The table is full.
    Refused,
}

#[derive(Clone, Debug)]
struct Tombstone {
    state: message::MemberState,
    buried: time::TimePoint,
}

/// States of all known processes, this one included.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: collections::BTreeMap<names::IncarnationId, message::MemberState>,
    tombstones: collections::BTreeMap<names::IncarnationId, Tombstone>,
    digests: collections::BTreeMap<names::FailureDomain, u64>,
}

impl MemberTable {
    /// State of a process that is not gone.
    pub fn get(&self, incarnation: names::IncarnationId) -> Option<&message::MemberState> {
        self.members.get(&incarnation)
    }

    /// State of a process that is gone.
    pub fn tombstone(&self, incarnation: names::IncarnationId) -> Option<&message::MemberState> {
        self.tombstones.get(&incarnation).map(|tomb| &tomb.state)
    }

    /// All processes that are not gone.
    pub fn iter(&self) -> impl Iterator<Item = &message::MemberState> {
        self.members.values()
    }

    /// Hash of the states in each failure domain.
    pub fn digests(&self) -> &collections::BTreeMap<names::FailureDomain, u64> {
        &self.digests
    }

    /// States of a domain to send to a peer whose view differs.
    pub fn domain_states(&self, domain: u32) -> Vec<message::MemberState> {
        let lies_in = |state: &&message::MemberState| domain_key(&state.record.domain) == domain;
        let mut buried: Vec<&Tombstone> = self
            .tombstones
            .values()
            .filter(|tomb| lies_in(&&tomb.state))
            .collect();
        buried.sort_by_key(|tomb| std::cmp::Reverse(tomb.buried));
        let buried = buried.into_iter().map(|tomb| &tomb.state);
        self.members
            .values()
            .filter(lies_in)
            .chain(buried.take(MAX_TOMBSTONES_PER_SYNC))
            .cloned()
            .collect()
    }

    /// Takes a state into the table if it is news.
    pub fn merge(&mut self, now: time::TimePoint, state: message::MemberState) -> MergeOutcome {
        let incarnation = state.record.incarnation;
        match (
            self.tombstones.get(&incarnation),
            self.members.get(&incarnation),
        ) {
            (Some(_), _) if state.status == message::MemberStatus::Gone => MergeOutcome::Known,
            (Some(tomb), _) => MergeOutcome::Outdated {
                newer: tomb.state.clone(),
            },
            (None, Some(known)) if !supersedes(&state, known) => MergeOutcome::Known,
            (None, Some(_)) => self.take(now, state, None),
            (None, None) if state.status == message::MemberStatus::Gone => {
                let replaced = self.earlier_process(&state);
                self.take(now, state, replaced)
            }
            (None, None) => self.merge_unknown(now, state),
        }
    }

    /// Forgets a process without declaring it gone.
    pub fn forget(&mut self, incarnation: names::IncarnationId) {
        if let Some(state) = self.members.remove(&incarnation) {
            self.toggle_digest(&state);
        }
    }

    /// Drops tombstones that were set before `horizon`.
    pub fn expire_tombstones(&mut self, horizon: time::TimePoint) {
        self.tombstones.retain(|_, tomb| tomb.buried >= horizon);
    }

    fn merge_unknown(&mut self, now: time::TimePoint, state: message::MemberState) -> MergeOutcome {
        let rivals = self.tombstones.values().map(|tomb| &tomb.state);
        let newer = rivals
            .chain(self.members.values())
            .filter(|rival| rival.record.vm == state.record.vm)
            .find(|rival| order(rival) > order(&state));
        if let Some(newer) = newer {
            return MergeOutcome::Outdated {
                newer: newer.clone(),
            };
        }
        if self.members.len() >= MAX_MEMBERS {
            return MergeOutcome::Refused;
        }
        let replaced = self.earlier_process(&state);
        self.take(now, state, replaced)
    }

    /// The process of the same VM that `state` overrules.
    fn earlier_process(&self, state: &message::MemberState) -> Option<message::MemberState> {
        let of_same_vm = |rival: &&message::MemberState| rival.record.vm == state.record.vm;
        let mut rivals = self.members.values().filter(of_same_vm);
        rivals.find(|rival| order(rival) < order(state)).cloned()
    }

    fn take(
        &mut self,
        now: time::TimePoint,
        state: message::MemberState,
        replaced: Option<message::MemberState>,
    ) -> MergeOutcome {
        let replaced = replaced.map(|mut state| {
            state.status = message::MemberStatus::Gone;
            state
        });
        if let Some(state) = &replaced {
            self.bury(now, state.clone());
        }
        match state.status {
            message::MemberStatus::Gone => self.bury(now, state),
            message::MemberStatus::Live | message::MemberStatus::Leaving => self.insert(state),
        }
        MergeOutcome::Taken { replaced }
    }

    fn insert(&mut self, mut state: message::MemberState) {
        state.record.leaving = state.status != message::MemberStatus::Live;
        self.toggle_digest(&state);
        let earlier = self.members.insert(state.record.incarnation, state);
        if let Some(earlier) = earlier {
            self.toggle_digest(&earlier);
        }
    }

    fn bury(&mut self, now: time::TimePoint, state: message::MemberState) {
        self.forget(state.record.incarnation);
        if self.tombstones.len() >= MAX_TOMBSTONES {
            let oldest = self.tombstones.iter().min_by_key(|(_, tomb)| tomb.buried);
            let oldest = oldest.map(|(&incarnation, _)| incarnation);
            oldest.map(|incarnation| self.tombstones.remove(&incarnation));
        }
        let tomb = Tombstone { state, buried: now };
        self.tombstones.insert(tomb.state.record.incarnation, tomb);
    }

    fn toggle_digest(&mut self, state: &message::MemberState) {
        let digest = self.digests.entry(state.record.domain.clone()).or_default();
        *digest ^= state_hash(state);
        if *digest == 0 {
            self.digests.remove(&state.record.domain);
        }
    }
}

/// Hash of a failure domain's name, as digests carry it.
pub fn domain_key(domain: &names::FailureDomain) -> u32 {
    let [a, b, c, d, ..] = *blake3::hash(domain.as_str().as_bytes()).as_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Orders the processes of one VM name.
pub fn order(state: &message::MemberState) -> (u64, names::IncarnationId) {
    (state.generation, state.record.incarnation)
}

/// Spreads the bits of an identifier: the finaliser of `SplitMix64`.
pub const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn supersedes(state: &message::MemberState, known: &message::MemberState) -> bool {
    (state.status, state.generation) > (known.status, known.generation)
}

fn state_hash(state: &message::MemberState) -> u64 {
    let identity = mix(state.record.incarnation.0);
    mix(identity ^ state.generation ^ ((state.status as u64) << 62))
}
