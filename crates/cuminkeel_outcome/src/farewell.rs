//! What processes that have left told of keys before they went.

use std::collections;

use cuminkeel_types::{names, time};

use crate::{key, message};

/// Farewells of other processes, kept for a time.
#[derive(Debug, Default)]
pub struct FarewellTable {
    farewells: collections::BTreeMap<names::IncarnationId, KeptFarewell>,
}

#[derive(Debug)]
struct KeptFarewell {
    kept_at: time::TimePoint,
    own: collections::BTreeMap<u64, message::KeyFate>,
    witnessed: collections::BTreeMap<names::IncarnationId, WitnessedView>,
    all_listed: bool,
}

#[derive(Debug)]
struct WitnessedView {
    floor: u64,
    fates: collections::BTreeMap<u64, message::KeyFate>,
}

impl FarewellTable {
    /// Keeps a farewell; repeats change nothing.
    pub fn keep(
        &mut self,
        now: time::TimePoint,
        from: names::IncarnationId,
        farewell: message::KeyFarewell,
    ) {
        let views = farewell.witnessed.into_iter().map(|keys| {
            let view = WitnessedView {
                floor: keys.floor,
                fates: keys.fates.into_iter().collect(),
            };
            (keys.authority, view)
        });
        let kept = KeptFarewell {
            kept_at: now,
            own: farewell.own.into_iter().collect(),
            witnessed: views.collect(),
            all_listed: farewell.all_listed,
        };
        self.farewells.entry(from).or_insert(kept);
    }

    /// The last word on a key, if its authority or witness has left one.
    pub fn fate(&self, key: &key::SubmissionKey) -> Option<message::KeyFate> {
        let told = self
            .farewells
            .get(&key.id.authority)
            .and_then(|farewell| farewell.own.get(&key.id.sequence).copied());
        let witnessed = key
            .witness
            .and_then(|witness| self.farewells.get(&witness))
            .and_then(|farewell| farewell.witnessed(key.id));
        told.or(witnessed)
    }

    /// Forgets farewells kept before a time, and the oldest beyond `most`.
    pub fn purge(&mut self, before: time::TimePoint, most: usize) {
        self.farewells.retain(|_, kept| kept.kept_at >= before);
        while self.farewells.len() > most {
            let oldest = self.farewells.iter().min_by_key(|(_, kept)| kept.kept_at);
            let Some(process) = oldest.map(|(process, _)| *process) else {
                return;
            };
            self.farewells.remove(&process);
        }
    }
}

impl KeptFarewell {
    fn witnessed(&self, key: key::KeyId) -> Option<message::KeyFate> {
        match self.witnessed.get(&key.authority) {
            Some(view) => match view.fates.get(&key.sequence) {
                Some(fate) => Some(*fate),
                None if key.sequence > view.floor => Some(message::KeyFate::Closed),
                None => None,
            },
            None if self.all_listed => Some(message::KeyFate::Closed),
            None => None,
        }
    }
}
