//! Seats, times and the local process, the same on all entries but the last.

use std::time;

use cuminkeel_types::names;
use serde::{Deserialize, Serialize};

/// Time for which a seat may be used after the last proof that it still belongs
/// to its holder.
pub const SEAT_VALID: time::Duration = time::Duration::from_secs(3);
/// Time between two rounds of proofs.
pub const VOUCH_INTERVAL: time::Duration = time::Duration::from_millis(1_200);
/// Time between two looks at claims and handovers under way.
pub const CLAIM_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Time for which a loan within a failure domain lasts.
pub const NEAR_LOAN_TERM: time::Duration = time::Duration::from_secs(2);
/// Time for which a loan between failure domains lasts.
pub const FAR_LOAN_TERM: time::Duration = time::Duration::from_secs(4);
/// Largest deviation of a clock's rate, in thousandths.
pub const MAX_DRIFT_PERMILLE: u32 = 10;

/// A share of every allowance: a failure domain and a number within it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SeatId {
    /// Position of the failure domain in [`SeatMap`].
    pub domain: u16,
    /// Number within the failure domain.
    pub index: u16,
}

/// All seats. Must be the same in the settings of all entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeatMap {
    domains: Vec<names::FailureDomain>,
    seats_per_domain: u16,
}

impl SeatMap {
    /// Seats of these failure domains, in any order.
    pub fn new(mut domains: Vec<names::FailureDomain>, seats_per_domain: u16) -> Self {
        domains.sort();
        domains.dedup();
        Self {
            domains,
            seats_per_domain: seats_per_domain.max(1),
        }
    }

    /// Position of a failure domain; none if it has no seats.
    pub fn domain(&self, name: &names::FailureDomain) -> Option<u16> {
        let position = self.domains.binary_search(name).ok()?;
        u16::try_from(position).ok()
    }

    /// Seats of one failure domain.
    pub fn seats_per_domain(&self) -> u16 {
        self.seats_per_domain
    }

    /// Seats of all failure domains.
    pub fn total(&self) -> u32 {
        let domains = u32::try_from(self.domains.len()).unwrap_or(u32::MAX);
        domains.saturating_mul(u32::from(self.seats_per_domain))
    }

    /// Whether the seat exists.
    pub fn contains(&self, seat: SeatId) -> bool {
        usize::from(seat.domain) < self.domains.len() && seat.index < self.seats_per_domain
    }

    /// Position of a seat among all seats; the seats of a number stand together,
    /// so that consecutive positions lie in different domains.
    pub fn position(&self, seat: SeatId) -> u32 {
        let domains = u32::try_from(self.domains.len()).unwrap_or(u32::MAX);
        u32::from(seat.index) * domains + u32::from(seat.domain)
    }

    /// Votes that prove a seat: more than half of its domain's seats.
    pub fn majority(&self) -> usize {
        usize::from(self.seats_per_domain) / 2 + 1
    }

    /// Votes after which the others can no longer prove a seat.
    pub fn blocking(&self) -> usize {
        usize::from(self.seats_per_domain) - self.majority() + 1
    }
}

/// A live entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShareMember {
    /// Its process.
    pub incarnation: names::IncarnationId,
    /// Its VM.
    pub vm: names::VmName,
    /// Its failure domain.
    pub domain: names::FailureDomain,
}

/// Settings of one entry's ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerSettings {
    /// This entry.
    pub local: ShareMember,
    /// All seats.
    pub seats: SeatMap,
    /// Longest time from the permit of a start to the task's end.
    pub max_task_time: time::Duration,
    /// Time after which a seat's record is written again, well below the log's
    /// retention.
    pub refresh_interval: time::Duration,
}

/// A span that is at least `span` by every clock within the drift bound.
pub(super) fn stretched(span: time::Duration) -> time::Duration {
    // Two clocks may deviate in opposite directions.
    span + span * (2 * MAX_DRIFT_PERMILLE + 1) / 1_000
}
