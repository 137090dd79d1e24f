//! Starts, ends and pauses of processes, and what the others see of them.

use cuminkeel_outcome::{event, settings};
use cuminkeel_types::names;
use rand::RngExt;

use super::{
    process,
    world::{Happening, MESH_KEY, MILLI, World},
};

impl World {
    pub fn start(&mut self, place: usize) {
        let incarnation = names::IncarnationId(self.rng.random());
        let rack = names::RackName::new(format!("rack-{}", place % 2));
        let mut settings = settings::LedgerSettings::new(incarnation, rack, MESH_KEY);
        settings.limits = self.limits.clone();
        settings.rules = self.rules;
        let rate = self.between(900, 1_100);
        self.places[place] = Some(process::Process::new(settings, self.now, rate));
        self.places_of.insert(incarnation, place);
    }

    pub fn restart(&mut self, place: usize) {
        if self.places[place].is_none() {
            self.start(place);
            self.show_view(place);
            self.spread_views();
        }
    }

    pub fn crash(&mut self, place: usize, abrupt: bool) {
        self.crash_within.remove(&place);
        if let Some(process) = self.places[place].take() {
            if abrupt {
                self.crashed.insert(process.incarnation);
            }
            self.tickets
                .retain(|(incarnation, _), _| *incarnation != process.incarnation);
            self.spread_views();
        }
    }

    pub fn drain(&mut self, place: usize) {
        match &mut self.places[place] {
            Some(process) if !process.paused && process.standing == process::Standing::Serving => {
                process.standing = process::Standing::Leaving;
            }
            _ => return,
        }
        self.spread_views();
        self.feed(place, event::OutcomeEvent::DrainStarted);
        self.feed(place, event::OutcomeEvent::DrainStarted);
    }

    pub fn resume(&mut self, place: usize) {
        let now = self.now;
        let held = match &mut self.places[place] {
            Some(process) if process.paused => process.resume(now),
            _ => return,
        };
        for happening in held {
            self.push(now, happening);
        }
        self.feed(place, event::OutcomeEvent::WakeupDue);
    }

    pub fn suspect(&mut self, by: usize, whom: usize, suspected: bool) {
        let Some(process) = &mut self.places[by] else {
            return;
        };
        if suspected {
            process.suspects.insert(whom);
        } else {
            process.suspects.remove(&whom);
        }
        let incarnation = process.incarnation;
        self.push(self.now, Happening::View(incarnation));
    }

    /// Lets every process see the membership, each after a delay of its own.
    pub fn spread_views(&mut self) {
        let living: Vec<_> = self
            .places
            .iter()
            .flatten()
            .map(|process| process.incarnation)
            .collect();
        for incarnation in living {
            let lag = self.between(1, 800) * MILLI;
            self.push(self.now + lag, Happening::View(incarnation));
        }
    }

    pub fn show_view(&mut self, place: usize) {
        let Some(viewer) = &self.places[place] else {
            return;
        };
        let seen = (0..self.places.len())
            .filter(|other| *other != place && !viewer.suspects.contains(other))
            .filter_map(|other| Some((other, self.places[other].as_ref()?)));
        let (mut peers, mut members) = (Vec::new(), Vec::new());
        for (other, process) in seen {
            members.push(process.incarnation);
            if process.standing == process::Standing::Serving {
                peers.push(event::PeerEntry {
                    vm: names::VmName::new(format!("vm-{other}")),
                    incarnation: process.incarnation,
                    rack: names::RackName::new(format!("rack-{}", other % 2)),
                });
            }
        }
        self.feed(place, event::OutcomeEvent::MembersChanged(members));
        self.feed(place, event::OutcomeEvent::PeersChanged(peers));
    }
}
