//! Hands out submission keys and remembers when they expire.

use std::collections;

use cuminkeel_types::{names, time};

use crate::{event, key};

/// Issues the keys of one authority.
#[derive(Debug)]
pub struct KeyIssuer {
    authority: names::IncarnationId,
    rack: names::RackName,
    lifetime: std::time::Duration,
    last_sequence: u64,
    rotation: usize,
    batches: collections::VecDeque<KeyBatch>,
    expired_through: u64,
    /// When the last key that names a witness expires.
    witnesses: collections::BTreeMap<names::IncarnationId, time::TimePoint>,
}

#[derive(Clone, Copy, Debug)]
struct KeyBatch {
    last_sequence: u64,
    expires_at: time::TimePoint,
}

impl KeyIssuer {
    /// An issuer that has issued nothing.
    pub fn new(
        authority: names::IncarnationId,
        rack: names::RackName,
        lifetime: std::time::Duration,
    ) -> Self {
        Self {
            authority,
            rack,
            lifetime,
            last_sequence: 0,
            rotation: 0,
            batches: collections::VecDeque::new(),
            expired_through: 0,
            witnesses: collections::BTreeMap::new(),
        }
    }

    /// Issues `count` keys. Peers in other racks are taken as witnesses in
    /// turn; those of the own rack only if there is no other.
    pub fn issue(
        &mut self,
        now: time::TimePoint,
        customer: &names::CustomerName,
        count: u32,
        peers: &[event::PeerEntry],
    ) -> Vec<key::SubmissionKey> {
        let expires_at = now + self.lifetime;
        let other_racks: Vec<_> = peers.iter().filter(|peer| peer.rack != self.rack).collect();
        let candidates = match other_racks.as_slice() {
            [] => peers.iter().collect(),
            [_, ..] => other_racks,
        };
        let keys = (0..count)
            .map(|_| self.next_key(customer, expires_at, &candidates))
            .collect();
        self.batches.push_back(KeyBatch {
            last_sequence: self.last_sequence,
            expires_at,
        });
        keys
    }

    fn next_key(
        &mut self,
        customer: &names::CustomerName,
        expires_at: time::TimePoint,
        candidates: &[&event::PeerEntry],
    ) -> key::SubmissionKey {
        self.last_sequence += 1;
        self.rotation = self.rotation.wrapping_add(1);
        let witness = match candidates.len() {
            0 => None,
            count => candidates
                .get(self.rotation % count)
                .map(|peer| peer.incarnation),
        };
        if let Some(witness) = witness {
            self.witnesses.insert(witness, expires_at);
        }
        key::SubmissionKey {
            id: key::KeyId {
                authority: self.authority,
                sequence: self.last_sequence,
            },
            witness,
            customer: customer.clone(),
            expires_at,
        }
    }

    /// Position up to which all keys have expired.
    pub fn expired_through(&mut self, now: time::TimePoint) -> u64 {
        while let Some(batch) = self.batches.front()
            && batch.expires_at <= now
        {
            self.expired_through = batch.last_sequence;
            self.batches.pop_front();
        }
        self.expired_through
    }

    /// Witnesses that unexpired keys name.
    pub fn witnesses(&self, now: time::TimePoint) -> Vec<names::IncarnationId> {
        self.witnesses
            .iter()
            .filter(|(_, expires_at)| **expires_at > now)
            .map(|(witness, _)| *witness)
            .collect()
    }

    /// Forgets witnesses that only expired keys name.
    pub fn purge(&mut self, now: time::TimePoint) {
        self.witnesses.retain(|_, expires_at| *expires_at > now);
    }
}
