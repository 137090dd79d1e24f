//! Assigns observers to the processes of one failure domain.

use cuminkeel_types::names;

use super::table;

/// Observers of one process, or the processes that one observes.
pub type RingNeighbours = smallvec::SmallVec<[names::IncarnationId; 4]>;

/// The processes of one failure domain in the order of their hashes.
///
/// Each process is observed by its successors, so that an equal share of the
/// work falls to everyone and racks are mixed.
#[derive(Clone, Debug, Default)]
pub struct DomainRing {
    order: Vec<names::IncarnationId>,
}

impl DomainRing {
    /// Makes a ring of distinct processes.
    pub fn new(members: impl IntoIterator<Item = names::IncarnationId>) -> Self {
        let mut order: Vec<names::IncarnationId> = members.into_iter().collect();
        order.sort_by_key(|incarnation| (table::mix(incarnation.0), *incarnation));
        Self { order }
    }

    /// Number of processes.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether there are no processes.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// All processes.
    pub fn members(&self) -> &[names::IncarnationId] {
        &self.order
    }

    /// The `count` processes that observe `incarnation`.
    pub fn observers_of(&self, incarnation: names::IncarnationId, count: usize) -> RingNeighbours {
        self.neighbours(incarnation, count, |at, step, length| (at + step) % length)
    }

    /// The processes for which `incarnation` is one of `count` observers.
    pub fn observed_by(&self, incarnation: names::IncarnationId, count: usize) -> RingNeighbours {
        self.neighbours(incarnation, count, |at, step, length| {
            (at + length - step) % length
        })
    }

    fn neighbours(
        &self,
        incarnation: names::IncarnationId,
        count: usize,
        position: impl Fn(usize, usize, usize) -> usize,
    ) -> RingNeighbours {
        let at = self.order.iter().position(|&member| member == incarnation);
        let Some(at) = at else {
            return RingNeighbours::new();
        };
        let length = self.order.len();
        (1..=count.min(length - 1))
            .map(|step| self.order[position(at, step, length)])
            .collect()
    }
}
