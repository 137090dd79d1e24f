//! What a process sends of itself: heartbeats, probes, digests and news.

use std::net;

use cuminkeel_types::{names, time};
use rand::seq::{IndexedRandom, SliceRandom};

use super::{decision, domains, message, standing, table};

const NEWS_FANOUT: usize = 4;
const ORIGIN_FANOUT: usize = 32;
const ORIGIN_REPEATS: u32 = 2;
const JOIN_SEEDS: usize = 3;
const SETTLED_SEED_FACTOR: u32 = 10;

impl decision::MembershipCore {
    pub(super) fn send_heartbeats(&mut self, now: time::TimePoint) {
        if now < self.due.heartbeat {
            return;
        }
        self.due.heartbeat = now + self.settings.heartbeat;
        let local = self.local.record.incarnation;
        for observer in self.ring.observers_of(local, self.settings.observers) {
            self.send(observer, message::MembershipMessage::Heartbeat);
        }
    }

    pub(super) fn probe(&mut self, target: names::IncarnationId, suspected: bool) {
        self.counters.probes += 1;
        self.send(target, message::MembershipMessage::Ping);
        let local = self.local.record.incarnation;
        let others = |peer: &names::IncarnationId| *peer != local && *peer != target;
        let candidates: Vec<_> = self.ring.members().iter().copied().filter(others).collect();
        let count = self.settings.probe_relays;
        let mut relays: Vec<_> = candidates.sample(&mut self.rng, count).copied().collect();
        if suspected {
            let observers = self.ring.observers_of(target, self.settings.observers);
            relays.extend(observers.into_iter().filter(others));
            relays.sort_unstable();
            relays.dedup();
        }
        for relay in relays {
            let inquiry = message::MembershipMessage::Inquiry { target, suspected };
            self.send(relay, inquiry);
        }
    }

    pub(super) fn send_digests(&mut self, now: time::TimePoint) {
        if now < self.due.digest {
            return;
        }
        self.due.digest = now + self.settings.digest;
        let near = self.random_peers(1, |core, record| record.domain == core.local.record.domain);
        let far = self.random_far_peer();
        let digest = self.digest(now);
        for peer in near.into_iter().chain(far) {
            self.send(peer, digest.clone());
        }
    }

    pub(super) fn digest(&self, now: time::TimePoint) -> message::MembershipMessage {
        let digests = self.table.digests().iter();
        let domains = digests.map(|(domain, &members)| message::DomainDigest {
            domain: table::domain_key(domain),
            members,
            age_millis: match domain {
                local if *local == self.local.record.domain => 0,
                foreign => self.domains.age_millis(now, foreign),
            },
        });
        message::MembershipMessage::Digest {
            domains: domains.take(message::MAX_DOMAINS_PER_DIGEST).collect(),
        }
    }

    pub(super) fn contact_seeds(&mut self, now: time::TimePoint) {
        if now < self.due.seed || self.seeds.is_empty() {
            return;
        }
        let searching =
            self.standing() == standing::MemberStanding::Joining || self.members().next().is_none();
        let (count, factor) = if searching {
            (JOIN_SEEDS, 1)
        } else {
            (1, SETTLED_SEED_FACTOR)
        };
        self.due.seed = now + self.settings.seed_interval * factor;
        let is_member = |seed: &net::SocketAddr| {
            !searching && self.members().any(|record| record.address == *seed)
        };
        let seeds = self.seeds.iter().copied();
        let strangers: Vec<_> = seeds.filter(|seed| !is_member(seed)).collect();
        let chosen: Vec<_> = strangers.sample(&mut self.rng, count).copied().collect();
        for address in chosen {
            let target = decision::MessageTarget::Address(address);
            let message = message::MembershipMessage::Join {
                state: self.local.clone(),
            };
            self.actions
                .push(decision::MembershipAction::Send { target, message });
        }
    }

    /// Passes on what was learnt since the last tick: widely if this process is
    /// the origin, else to a few.
    pub(super) fn spread_news(&mut self) {
        let mut news = std::mem::take(&mut self.news);
        let mut fanout = NEWS_FANOUT;
        let repeats = std::mem::take(&mut self.repeats);
        if std::mem::take(&mut self.local_news) {
            let first = news.iter().cloned();
            self.repeats = first.map(|state| (state, ORIGIN_REPEATS)).collect();
            fanout = ORIGIN_FANOUT;
        }
        for (state, left) in repeats.into_iter().filter(|(_, left)| *left > 0) {
            self.repeats.push((state.clone(), left - 1));
            news.push(state);
            fanout = ORIGIN_FANOUT;
        }
        if news.is_empty() {
            return;
        }
        let mut peers = self.random_peers(fanout, |core, record| {
            record.domain == core.local.record.domain
        });
        let foreign: Vec<_> = self.domains.iter().cloned().collect();
        for domain in foreign {
            peers.extend(self.random_peers(1, |_, record| record.domain == domain));
        }
        for peer in peers {
            self.send_states(peer, &news);
        }
    }

    /// Sends states in messages that fit a datagram each.
    pub(super) fn send_states(
        &mut self,
        to: names::IncarnationId,
        states: &[message::MemberState],
    ) {
        for states in states.chunks(message::MAX_STATES_PER_DATAGRAM) {
            let sync = message::MembershipMessage::Sync {
                wanted: Vec::new(),
                states: states.to_vec(),
            };
            self.send(to, sync);
        }
    }

    fn random_far_peer(&mut self) -> Option<names::IncarnationId> {
        let mut foreign: Vec<_> = self.domains.iter().cloned().collect();
        foreign.shuffle(&mut self.rng);
        foreign.into_iter().find_map(|domain| {
            let peers = self.random_peers(1, |_, record| record.domain == domain);
            peers.first().copied()
        })
    }

    fn random_peers(
        &mut self,
        count: usize,
        wanted: impl Fn(&Self, &crate::border::MemberRecord) -> bool,
    ) -> Vec<names::IncarnationId> {
        let local = self.local.record.incarnation;
        let records = self.table.iter().map(|state| &state.record);
        let peers: Vec<_> = records
            .filter(|record| record.incarnation != local && wanted(self, record))
            .map(|record| record.incarnation)
            .collect();
        peers.sample(&mut self.rng, count).copied().collect()
    }

    /// Asks the peers for the domains whose digests differ, once in a while.
    pub(super) fn compare_digests(
        &mut self,
        now: time::TimePoint,
        from: names::IncarnationId,
        digests: &[message::DomainDigest],
    ) {
        for digest in digests {
            self.domains.hear_of(now, digest.domain, digest.age_millis);
        }
        let known: Vec<(u32, u64)> = self
            .table
            .digests()
            .iter()
            .map(|(domain, &members)| (table::domain_key(domain), members))
            .collect();
        let differs =
            |digest: &&message::DomainDigest| !known.contains(&(digest.domain, digest.members));
        let wanted: Vec<u32> = digests.iter().filter(differs).map(|it| it.domain).collect();
        if wanted.is_empty() || now < self.due.sync {
            return;
        }
        self.due.sync = now + self.settings.digest / 4;
        let states: Vec<_> = wanted
            .iter()
            .flat_map(|&domain| self.table.domain_states(domain))
            .collect();
        self.send_states(from, &states);
        let states = Vec::new();
        self.send(from, message::MembershipMessage::Sync { wanted, states });
    }
}

/// Age as messages carry it, rounded up.
pub(super) fn age_millis(now: time::TimePoint, heard: time::TimePoint) -> u32 {
    let age = now.since(heard).as_millis() + 1;
    u32::try_from(age).map_or(domains::NEVER_HEARD_MILLIS, |age| age)
}
