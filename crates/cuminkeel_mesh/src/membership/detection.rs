//! Hears the processes that are observed, and declares those gone that fall silent.

use std::time;

use cuminkeel_types::{names, time as clock};

use super::{decision, message, ring, standing, watch};

const LATE_TICKS: u32 = 4;

impl decision::MembershipCore {
    /// Takes note that `from` was heard at `heard`.
    pub(super) fn hear(
        &mut self,
        now: clock::TimePoint,
        from: names::IncarnationId,
        heard: clock::TimePoint,
    ) {
        let Some(state) = self.table.get(from) else {
            return;
        };
        if state.record.domain != self.local.record.domain {
            self.domains.hear(&state.record.domain, heard);
            self.stale_view |= !self.visible.contains_key(&from);
        }
        self.reveal(now, from);
        let contact = self.contacts.entry(from).or_insert(heard);
        *contact = heard.max(*contact);
        let watch = self.watches.get_mut(&from);
        if watch.is_some_and(|watch| watch.hear(heard, &self.settings)) {
            self.counters.refutations += 1;
            self.health.worsen(now);
        }
        self.answer_relays(now, from, heard);
    }

    pub(super) fn notice_pause(&mut self, now: clock::TimePoint, wall: clock::WallTime) {
        let gap = now.since(self.last_tick);
        let wall_gap = time::Duration::from_millis(wall.0.saturating_sub(self.last_wall.0));
        self.last_tick = now.max(self.last_tick);
        self.last_wall = wall;
        if gap >= self.settings.tick * LATE_TICKS {
            self.health.worsen(now);
        }
        if gap.max(wall_gap) >= self.settings.pause_gap && self.standing.is_active() {
            self.counters.pauses += 1;
            self.restart_watches(now);
            self.ask_standing(now);
        }
    }

    pub(super) fn restart_watches(&mut self, now: clock::TimePoint) {
        for watch in self.watches.values_mut() {
            *watch = watch::PeerWatch::new(now);
        }
        self.domains.restart(now, &self.settings);
    }

    pub(super) fn step_watches(&mut self, now: clock::TimePoint) {
        self.health.recover(now);
        let mut steps = Vec::new();
        for (&target, watch) in &mut self.watches {
            let was_suspected = watch.is_suspected();
            let step = watch.step(now, &self.settings, &self.health);
            let newly_suspected = watch.is_suspected() && !was_suspected;
            self.counters.suspicions += u64::from(newly_suspected);
            steps.push((target, step));
        }
        for (target, step) in steps {
            match step {
                watch::WatchStep::Wait => {}
                watch::WatchStep::Probe { suspected } => {
                    self.probe(target, suspected);
                    if suspected {
                        self.survey(now);
                    }
                }
                watch::WatchStep::Declare if self.is_isolated(now) => {
                    self.hide_silent(now);
                    self.survey(now);
                }
                watch::WatchStep::Declare if self.isolated => {
                    self.isolated = false;
                    self.restart_watches(now);
                }
                watch::WatchStep::Declare => self.declare_gone(now, target),
            }
        }
    }

    pub(super) fn declare_gone(&mut self, now: clock::TimePoint, target: names::IncarnationId) {
        let may_declare = self.standing.standing() == standing::MemberStanding::Confirmed;
        let Some(state) = self.table.get(target).filter(|_| may_declare) else {
            return;
        };
        let mut state = state.clone();
        state.status = message::MemberStatus::Gone;
        self.counters.declarations += 1;
        self.local_news = true;
        self.absorb(now, state);
    }

    pub(super) fn refresh_ring(&mut self, now: clock::TimePoint) {
        let domain = &self.local.record.domain;
        let members = self.table.iter().map(|state| &state.record);
        let members = members.filter(|record| record.domain == *domain);
        self.ring = ring::DomainRing::new(members.map(|record| record.incarnation));
        let local = self.local.record.incarnation;
        let observed = self.ring.observed_by(local, self.settings.observers);
        self.watches.retain(|peer, _| observed.contains(peer));
        for peer in observed {
            let fresh = || watch::PeerWatch::new(now);
            self.watches.entry(peer).or_insert_with(fresh);
        }
    }
}
