//! Records of seats on the platform's log, and their fold.

use std::{collections, sync};

use cuminkeel_types::names;
use serde::{Deserialize, Serialize};

use super::settings;

/// Log stream of the seats.
pub const SEAT_STREAM: &str = "allowance-seats";

const FORMAT: u8 = 1;

/// A seat in the hands of one holder after another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SeatEpoch {
    /// The seat.
    pub seat: settings::SeatId,
    /// Grows by one with each holder.
    pub epoch: u64,
}

/// Why a claim may be made.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimBasis {
    /// Nobody holds the seat.
    Vacant,
    /// Holders of these seats no longer vouch for the holder.
    Consents(Vec<SeatEpoch>),
    /// The claimant runs in the place of the holder, whose process is gone.
    SamePlace,
    /// The holder handed the seat over.
    Handover,
}

/// One record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SeatRecord {
    /// Takes a seat.
    Claim {
        /// The seat and its new epoch.
        seat: SeatEpoch,
        /// Who takes it.
        holder: names::IncarnationId,
        /// Where that runs.
        vm: names::VmName,
        /// Why it may.
        basis: ClaimBasis,
    },
    /// Says again who holds a seat, so that it outlives the log's retention.
    Refresh {
        /// The seat and its epoch.
        seat: SeatEpoch,
        /// Who holds it; none if it was released.
        holder: Option<names::IncarnationId>,
        /// Where that runs or ran.
        vm: names::VmName,
    },
    /// Gives a seat up.
    Release {
        /// The seat and its epoch.
        seat: SeatEpoch,
        /// Who held it.
        holder: names::IncarnationId,
    },
    /// Proves to its writer, once read back, what stood before it.
    Heartbeat {
        /// The writer.
        holder: names::IncarnationId,
        /// Number of the heartbeat.
        number: u64,
    },
}

/// Encodes a record.
pub fn encode_seat(record: &SeatRecord) -> Option<Vec<u8>> {
    postcard::to_extend(record, vec![FORMAT]).ok()
}

/// Decodes any bytes; none if they are no record of a known format.
pub fn decode_seat(bytes: &[u8]) -> Option<SeatRecord> {
    match bytes.split_first() {
        Some((&FORMAT, body)) => match postcard::take_from_bytes(body) {
            Ok((record, [])) => Some(record),
            _ => None,
        },
        _ => None,
    }
}

/// Who holds a seat, as far as the log shows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeatHolder {
    /// Epoch of the seat.
    pub epoch: u64,
    /// The holder; none if the seat was released.
    pub holder: Option<names::IncarnationId>,
    /// Where it runs or ran.
    pub vm: names::VmName,
}

/// One record of the stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeatPageRecord {
    /// Position in the stream.
    pub offset: u64,
    /// The bytes as appended.
    pub payload: sync::Arc<[u8]>,
}

/// Fold of the stream: who holds which seat.
#[derive(Debug, Default)]
pub struct SeatTable {
    offset: u64,
    holders: collections::BTreeMap<settings::SeatId, SeatHolder>,
    /// Whether every record since the start of the stream was read.
    complete: bool,
    /// Whether the tail was reached at least once.
    caught_up: bool,
}

impl SeatTable {
    /// Next offset wanted.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Who holds the seat.
    pub fn holder(&self, seat: settings::SeatId) -> Option<&SeatHolder> {
        self.holders.get(&seat)
    }

    /// All seats that were ever held.
    pub fn holders(&self) -> impl Iterator<Item = (settings::SeatId, &SeatHolder)> {
        self.holders.iter().map(|(seat, holder)| (*seat, holder))
    }

    /// Whether it is sure that a seat without holder was never held.
    pub fn knows_all(&self) -> bool {
        self.caught_up && self.complete
    }

    /// Notes the bounds of a page. Records before `head` are lost.
    pub fn note_page(&mut self, head: u64, tail: u64) {
        match head {
            _ if self.offset < head => {
                self.offset = head;
                self.complete = false;
            }
            0 if self.offset == 0 => self.complete = true,
            _ => {}
        }
        self.caught_up |= self.offset >= tail;
    }

    /// Folds the next record; false if it is not the next one.
    pub fn apply(
        &mut self,
        seats: &settings::SeatMap,
        offset: u64,
        record: Option<&SeatRecord>,
    ) -> bool {
        if offset != self.offset {
            return false;
        }
        self.offset = offset.saturating_add(1);
        match record {
            Some(SeatRecord::Claim {
                seat,
                holder,
                vm,
                basis,
            }) if self.accepts(seats, *seat, vm, basis) => {
                self.set(*seat, Some(*holder), vm);
            }
            Some(SeatRecord::Refresh { seat, holder, vm }) => {
                let known = self.holders.get(&seat.seat);
                if seats.contains(seat.seat) && known.is_none_or(|known| known.epoch < seat.epoch) {
                    self.set(*seat, *holder, vm);
                }
            }
            Some(SeatRecord::Release { seat, holder }) => self.release(*seat, *holder),
            _ => {}
        }
        true
    }

    fn accepts(
        &self,
        seats: &settings::SeatMap,
        claim: SeatEpoch,
        vm: &names::VmName,
        basis: &ClaimBasis,
    ) -> bool {
        if !seats.contains(claim.seat) {
            return false;
        }
        let known = self.holders.get(&claim.seat);
        let next = known.map_or(1, |known| known.epoch.saturating_add(1));
        let due = claim.epoch == next;
        match basis {
            ClaimBasis::Vacant => due && known.is_none_or(|known| known.holder.is_none()),
            ClaimBasis::SamePlace => due && known.is_some_and(|known| known.vm == *vm),
            ClaimBasis::Handover => due && known.is_some(),
            ClaimBasis::Consents(votes) => due && self.counts(seats, claim, votes),
        }
    }

    /// Whether the votes of a claim still stand and are enough.
    fn counts(&self, seats: &settings::SeatMap, claim: SeatEpoch, votes: &[SeatEpoch]) -> bool {
        let distinct: collections::BTreeSet<_> = votes.iter().map(|vote| vote.seat).collect();
        let stands = |vote: &SeatEpoch| {
            let known = self.holders.get(&vote.seat);
            vote.seat.domain == claim.seat.domain
                && vote.seat != claim.seat
                && known.is_some_and(|known| known.epoch == vote.epoch && known.holder.is_some())
        };
        distinct.len() == votes.len() && votes.len() >= seats.blocking() && votes.iter().all(stands)
    }

    fn set(&mut self, seat: SeatEpoch, holder: Option<names::IncarnationId>, vm: &names::VmName) {
        let vm = vm.clone();
        let epoch = seat.epoch;
        self.holders
            .insert(seat.seat, SeatHolder { epoch, holder, vm });
    }

    fn release(&mut self, seat: SeatEpoch, holder: names::IncarnationId) {
        match self.holders.get_mut(&seat.seat) {
            Some(known) if known.epoch == seat.epoch && known.holder == Some(holder) => {
                known.holder = None;
            }
            _ => {}
        }
    }
}
