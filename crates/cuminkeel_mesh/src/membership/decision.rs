//! The membership decisions of one process.

use std::{collections, net, time};

use cuminkeel_types::{names, time as clock};
use rand::{SeedableRng, rngs};

use super::{domains, message, ring, settings, standing, table, watch};
use crate::border;

const MAX_RELAYS: usize = 64;
const RELAY_MILLIS: u64 = 500;
const CLEANUP_INTERVAL: time::Duration = time::Duration::from_mins(1);

/// Where a message goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageTarget {
    /// One process at an address.
    Process {
        /// The process.
        incarnation: names::IncarnationId,
        /// Its address.
        address: net::SocketAddr,
    },
    /// Whichever process has the address.
    Address(net::SocketAddr),
}

/// What the caller is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Send a message.
    Send {
        /// Where to.
        target: MessageTarget,
        /// What.
        message: message::MembershipMessage,
    },
    /// Tell the watchers.
    Tell(border::MemberEvent),
}

/// The sender of a frame, as membership sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SenderStanding {
    /// A process that is not known to be gone.
    Member,
    /// A process that was declared gone or replaced.
    Gone,
    /// Not known.
    Stranger,
}

/// Counts of decisions since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MembershipCounters {
    /// Probes of silent processes.
    pub probes: u64,
    /// Suspicions begun.
    pub suspicions: u64,
    /// Suspicions that were refuted.
    pub refutations: u64,
    /// Processes that this one declared gone.
    pub declarations: u64,
    /// Pauses of this process that were noticed.
    pub pauses: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct ProbeRelay {
    pub(super) target: names::IncarnationId,
    pub(super) requester: names::IncarnationId,
    pub(super) since: clock::TimePoint,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DueTimes {
    pub(super) heartbeat: clock::TimePoint,
    pub(super) digest: clock::TimePoint,
    pub(super) seed: clock::TimePoint,
    pub(super) sync: clock::TimePoint,
    pub(super) obituary: clock::TimePoint,
    pub(super) survey: clock::TimePoint,
    cleanup: clock::TimePoint,
}

/// Membership as one process sees it. All inputs take the present time and
/// return what to do.
#[derive(Debug)]
pub struct MembershipCore {
    pub(super) settings: settings::MembershipSettings,
    pub(super) rng: rngs::StdRng,
    pub(super) local: message::MemberState,
    pub(super) table: table::MemberTable,
    pub(super) ring: ring::DomainRing,
    pub(super) contacts: collections::BTreeMap<names::IncarnationId, clock::TimePoint>,
    pub(super) watches: collections::BTreeMap<names::IncarnationId, watch::PeerWatch>,
    pub(super) health: watch::LocalHealth,
    pub(super) domains: domains::DomainContacts,
    pub(super) standing: standing::StandingMonitor,
    pub(super) relays: Vec<ProbeRelay>,
    pub(super) seeds: Vec<net::SocketAddr>,
    pub(super) due: DueTimes,
    pub(super) news: Vec<message::MemberState>,
    pub(super) local_news: bool,
    /// News of this process's own that is sent again, and how often.
    pub(super) repeats: Vec<(message::MemberState, u32)>,
    pub(super) counters: MembershipCounters,
    pub(super) visible: collections::BTreeMap<names::IncarnationId, border::MemberRecord>,
    /// Silent processes that this one, being cut off, has not declared gone.
    pub(super) hidden: collections::BTreeSet<names::IncarnationId>,
    pub(super) revealed: Vec<(names::IncarnationId, clock::TimePoint)>,
    pub(super) isolated: bool,
    pub(super) stale_view: bool,
    pub(super) last_tick: clock::TimePoint,
    pub(super) last_wall: clock::WallTime,
    pub(super) actions: Vec<MembershipAction>,
}

impl MembershipCore {
    /// Membership of a process that starts. `started` orders the processes of
    /// one VM name; if it is wrong the process finds a higher one when it joins.
    pub fn new(
        settings: settings::MembershipSettings,
        record: border::MemberRecord,
        started: clock::WallTime,
        seed: u64,
        now: clock::TimePoint,
    ) -> Self {
        let local = message::MemberState {
            record,
            generation: started.0,
            status: message::MemberStatus::Live,
        };
        let mut core = Self {
            settings,
            rng: rngs::StdRng::seed_from_u64(seed),
            table: table::MemberTable::default(),
            ring: ring::DomainRing::default(),
            contacts: collections::BTreeMap::new(),
            watches: collections::BTreeMap::new(),
            health: watch::LocalHealth::default(),
            domains: domains::DomainContacts::default(),
            standing: standing::StandingMonitor::new(now),
            relays: Vec::new(),
            seeds: Vec::new(),
            due: DueTimes::default(),
            news: Vec::new(),
            local_news: false,
            repeats: Vec::new(),
            counters: MembershipCounters::default(),
            visible: collections::BTreeMap::new(),
            hidden: collections::BTreeSet::new(),
            revealed: Vec::new(),
            isolated: false,
            stale_view: true,
            last_tick: now,
            last_wall: started,
            actions: Vec::new(),
            local,
        };
        core.table.merge(now, core.local.clone());
        core.refresh_ring(now);
        core
    }

    /// Record of this process.
    pub const fn local(&self) -> &border::MemberRecord {
        &self.local.record
    }

    /// Standing of this process at its last input.
    pub const fn standing(&self) -> standing::MemberStanding {
        self.standing.standing()
    }

    /// Counts of decisions.
    pub const fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// All other processes that are thought alive and reachable.
    pub fn members(&self) -> impl Iterator<Item = &border::MemberRecord> {
        self.visible.values()
    }

    /// Record of a member.
    pub fn member(&self, incarnation: names::IncarnationId) -> Option<&border::MemberRecord> {
        self.visible.get(&incarnation)
    }

    /// Whether anything is still known of a process, be it alive or gone.
    pub fn remembers(&self, incarnation: names::IncarnationId) -> bool {
        self.table.get(incarnation).is_some() || self.table.tombstone(incarnation).is_some()
    }

    /// Sets the addresses at which entries are said to be.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = net::SocketAddr>) {
        let local = self.local.record.address;
        self.seeds = seeds.into_iter().filter(|seed| *seed != local).collect();
    }

    /// Does what is due. To be called once in each tick interval.
    pub fn on_tick(
        &mut self,
        now: clock::TimePoint,
        wall: clock::WallTime,
    ) -> Vec<MembershipAction> {
        self.notice_pause(now, wall);
        if self.standing.is_active() {
            self.ask_due(now);
            self.standing.settle(now, &self.settings);
            self.send_heartbeats(now);
            self.step_watches(now);
            self.send_digests(now);
            self.contact_seeds(now);
            self.clean_up(now);
            self.spread_news();
        }
        self.finish(now)
    }

    /// Takes note of an authenticated frame, before its content.
    pub fn on_contact(
        &mut self,
        now: clock::TimePoint,
        from: names::IncarnationId,
        address: net::SocketAddr,
    ) -> (SenderStanding, Vec<MembershipAction>) {
        self.notice_pause(now, self.last_wall);
        let standing = match (self.table.get(from), self.table.tombstone(from)) {
            (Some(_), _) => SenderStanding::Member,
            (None, Some(_)) => SenderStanding::Gone,
            (None, None) => SenderStanding::Stranger,
        };
        match standing {
            SenderStanding::Member => self.hear(now, from, now),
            SenderStanding::Gone if self.standing.is_active() => self.send_obituary(now, from),
            SenderStanding::Stranger if self.standing.is_active() => {
                self.ask_introduction(now, from, address);
            }
            SenderStanding::Gone | SenderStanding::Stranger => {}
        }
        (standing, self.finish(now))
    }

    /// Takes a message of a sender that was passed to [`Self::on_contact`].
    pub fn on_message(
        &mut self,
        now: clock::TimePoint,
        from: names::IncarnationId,
        message: message::MembershipMessage,
    ) -> Vec<MembershipAction> {
        if self.standing.is_active() {
            self.answer(now, from, message);
        }
        self.finish(now)
    }

    /// Announces that this process leaves, and goes on serving what it has begun.
    pub fn leave(&mut self, now: clock::TimePoint) -> Vec<MembershipAction> {
        self.announce(now, message::MemberStatus::Leaving)
    }

    /// Announces that this process has stopped. Nothing is sent afterwards.
    pub fn stop(&mut self, now: clock::TimePoint) -> Vec<MembershipAction> {
        let mut actions = self.announce(now, message::MemberStatus::Gone);
        if self.standing.is_active() {
            self.standing.change(now, standing::MemberStanding::Stopped);
        }
        actions.append(&mut self.finish(now));
        actions
    }

    fn announce(
        &mut self,
        now: clock::TimePoint,
        status: message::MemberStatus,
    ) -> Vec<MembershipAction> {
        if self.standing.is_active() && self.local.status < status {
            self.local.status = status;
            self.local.record.leaving = true;
            self.table.merge(now, self.local.clone());
            self.news.push(self.local.clone());
            self.local_news = true;
            self.spread_news();
        }
        self.finish(now)
    }

    /// Takes a state into the table, and passes it on if it was news.
    pub(super) fn absorb(
        &mut self,
        now: clock::TimePoint,
        state: message::MemberState,
    ) -> table::MergeOutcome {
        let outcome = self.table.merge(now, state.clone());
        if let table::MergeOutcome::Taken { replaced } = &outcome {
            if state.record.domain != self.local.record.domain {
                self.domains.learn(&state.record.domain);
            }
            self.news.extend(replaced.clone());
            self.news.push(state);
            self.refresh_ring(now);
            self.stale_view = true;
        }
        outcome
    }

    /// Ends the membership of this process.
    pub(super) fn reject(&mut self, now: clock::TimePoint) {
        if self.standing.is_active() {
            self.standing
                .change(now, standing::MemberStanding::Rejected);
            self.news.clear();
            self.actions.clear();
            let event = border::MemberEvent::SelfRejected;
            self.actions.push(MembershipAction::Tell(event));
        }
    }

    pub(super) fn send(&mut self, to: names::IncarnationId, message: message::MembershipMessage) {
        let known = self.table.get(to).or_else(|| self.table.tombstone(to));
        if let Some(state) = known {
            let target = MessageTarget::Process {
                incarnation: to,
                address: state.record.address,
            };
            self.actions
                .push(MembershipAction::Send { target, message });
        }
    }

    fn clean_up(&mut self, now: clock::TimePoint) {
        let relay_life = time::Duration::from_millis(RELAY_MILLIS);
        self.relays
            .retain(|relay| now.since(relay.since) < relay_life);
        self.relays.truncate(MAX_RELAYS);
        if now < self.due.cleanup {
            return;
        }
        self.due.cleanup = now + CLEANUP_INTERVAL;
        if now.since(clock::TimePoint::ZERO) > self.settings.tombstone {
            self.table.expire_tombstones(now - self.settings.tombstone);
        }
        let forgotten: Vec<names::IncarnationId> = self
            .table
            .iter()
            .filter(|state| state.record.domain != self.local.record.domain)
            .filter(|state| {
                self.domains
                    .is_forgotten(now, &state.record.domain, &self.settings)
            })
            .map(|state| state.record.incarnation)
            .collect();
        for incarnation in forgotten {
            self.table.forget(incarnation);
        }
        let table = &self.table;
        self.contacts.retain(|peer, _| table.get(*peer).is_some());
        self.hidden.retain(|peer| table.get(*peer).is_some());
        self.revealed.clear();
    }

    /// Tells the watchers what has changed, and returns all actions.
    fn finish(&mut self, now: clock::TimePoint) -> Vec<MembershipAction> {
        if self.standing.is_active()
            && (self.stale_view || self.domains.have_changed(now, &self.settings))
        {
            self.stale_view = false;
            self.refresh_view(now);
        }
        std::mem::take(&mut self.actions)
    }

    fn refresh_view(&mut self, now: clock::TimePoint) {
        let local = &self.local.record;
        let wanted: collections::BTreeMap<_, _> = self
            .table
            .iter()
            .map(|state| &state.record)
            .filter(|record| record.incarnation != local.incarnation)
            .filter(|record| {
                (record.domain == local.domain && !self.hidden.contains(&record.incarnation))
                    || self
                        .domains
                        .is_reachable(now, &record.domain, &self.settings)
            })
            .map(|record| (record.incarnation, record.clone()))
            .collect();
        let earlier = std::mem::replace(&mut self.visible, wanted);
        let gone = earlier
            .keys()
            .filter(|peer| !self.visible.contains_key(peer));
        let gone = gone.map(|&peer| border::MemberEvent::Gone(peer));
        let updated = self.visible.iter();
        let updated = updated.filter(|(peer, record)| earlier.get(peer) != Some(record));
        let updated = updated.map(|(_, record)| border::MemberEvent::Updated(record.clone()));
        let events = gone.chain(updated).map(MembershipAction::Tell);
        self.actions.extend(events);
    }
}
