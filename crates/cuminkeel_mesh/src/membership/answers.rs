//! What a process does about the messages of others.

use std::{net, time};

use cuminkeel_types::{names, time as clock};

use super::{decision, gossip, message, standing, table};

const FRESH_MILLIS: u64 = 250;
const OBITUARY_INTERVAL: time::Duration = time::Duration::from_millis(20);
const SETTLED_AFTER: time::Duration = time::Duration::from_secs(10);

impl decision::MembershipCore {
    pub(super) fn answer(
        &mut self,
        now: clock::TimePoint,
        from: names::IncarnationId,
        message: message::MembershipMessage,
    ) {
        match message {
            message::MembershipMessage::Heartbeat | message::MembershipMessage::Ack => {}
            message::MembershipMessage::Ping => self.send(from, message::MembershipMessage::Ack),
            message::MembershipMessage::Inquiry { target, suspected } => {
                self.answer_inquiry(now, from, target, suspected);
            }
            message::MembershipMessage::Heard { target, age_millis } => {
                let age = time::Duration::from_millis(u64::from(age_millis));
                self.hear(now, target, now - age);
            }
            message::MembershipMessage::Digest { domains } => {
                self.compare_digests(now, from, &domains);
            }
            message::MembershipMessage::Sync { wanted, states } => {
                self.take_states(now, from, states);
                self.send_wanted(from, &wanted);
            }
            message::MembershipMessage::Join { state } => self.answer_join(now, from, &state),
            message::MembershipMessage::Introduce => self.introduce(from),
            message::MembershipMessage::Ask => self.answer_ask(now, from),
            message::MembershipMessage::Answer { verdict } => match verdict {
                message::MemberVerdict::Member => self.standing.confirm(from),
                message::MemberVerdict::Gone | message::MemberVerdict::Unknown => self.reject(now),
            },
        }
    }

    /// Tells those who inquired that a process was heard.
    pub(super) fn answer_relays(
        &mut self,
        now: clock::TimePoint,
        target: names::IncarnationId,
        heard: clock::TimePoint,
    ) {
        if self.relays.is_empty() {
            return;
        }
        let answered =
            |relay: &mut decision::ProbeRelay| relay.target == target && relay.since <= heard;
        let answered: Vec<_> = self.relays.extract_if(.., answered).collect();
        let age_millis = gossip::age_millis(now, heard);
        for relay in answered {
            let heard = message::MembershipMessage::Heard { target, age_millis };
            self.send(relay.requester, heard);
        }
    }

    /// Shows a process that it was declared gone.
    pub(super) fn send_obituary(&mut self, now: clock::TimePoint, to: names::IncarnationId) {
        let state = self.table.tombstone(to).cloned();
        if let Some(state) = state.filter(|_| now >= self.due.obituary) {
            self.due.obituary = now + OBITUARY_INTERVAL;
            self.send_states(to, &[state]);
        }
    }

    /// Asks a process that is not known to introduce itself.
    pub(super) fn ask_introduction(
        &mut self,
        now: clock::TimePoint,
        incarnation: names::IncarnationId,
        address: net::SocketAddr,
    ) {
        if now >= self.due.obituary {
            self.due.obituary = now + OBITUARY_INTERVAL;
            let target = decision::MessageTarget::Process {
                incarnation,
                address,
            };
            let message = message::MembershipMessage::Introduce;
            self.actions
                .push(decision::MembershipAction::Send { target, message });
        }
    }

    /// Starts to ask peers whether this process is still a member.
    pub(super) fn ask_standing(&mut self, now: clock::TimePoint) {
        let local = self.local.record.incarnation;
        let mut peers = self.ring.observers_of(local, self.settings.observers);
        peers.extend(self.ring.observed_by(local, self.settings.observers));
        if peers.is_empty() {
            let others = self.members().map(|record| record.incarnation);
            peers = others.take(self.settings.observers).collect();
        }
        peers.sort_unstable();
        peers.dedup();
        self.standing.ask(now, peers);
    }

    pub(super) fn ask_due(&mut self, now: clock::TimePoint) {
        for peer in self.standing.due(now) {
            self.send(peer, message::MembershipMessage::Ask);
        }
    }

    fn answer_inquiry(
        &mut self,
        now: clock::TimePoint,
        from: names::IncarnationId,
        target: names::IncarnationId,
        suspected: bool,
    ) {
        if target == self.local.record.incarnation {
            return;
        }
        if let Some(state) = self.table.tombstone(target).cloned() {
            self.send_states(from, &[state]);
            return;
        }
        match self.contacts.get(&target) {
            Some(&heard) if now.since(heard) < time::Duration::from_millis(FRESH_MILLIS) => {
                let age_millis = gossip::age_millis(now, heard);
                self.send(
                    from,
                    message::MembershipMessage::Heard { target, age_millis },
                );
            }
            _ => {
                self.relays.push(decision::ProbeRelay {
                    target,
                    requester: from,
                    since: now,
                });
                self.send(target, message::MembershipMessage::Ping);
            }
        }
        let watch = self.watches.get_mut(&target).filter(|_| suspected);
        if let Some(watch) = watch {
            watch.second(now);
        }
    }

    fn take_states(
        &mut self,
        now: clock::TimePoint,
        from: names::IncarnationId,
        states: Vec<message::MemberState>,
    ) {
        let mut corrections = Vec::new();
        for state in states {
            match self.take_state(now, state) {
                table::MergeOutcome::Outdated { newer } => corrections.push(newer),
                _ if !self.standing.is_active() => return,
                table::MergeOutcome::Known
                | table::MergeOutcome::Refused
                | table::MergeOutcome::Taken { .. } => {}
            }
        }
        self.send_states(from, &corrections);
        if self.standing() == standing::MemberStanding::Joining && corrections.is_empty() {
            self.standing
                .change(now, standing::MemberStanding::Confirmed);
        }
    }

    fn take_state(
        &mut self,
        now: clock::TimePoint,
        state: message::MemberState,
    ) -> table::MergeOutcome {
        let local = &self.local.record;
        let is_local = state.record.incarnation == local.incarnation;
        let is_rival = !is_local && state.record.vm == local.vm;
        let is_newer = table::order(&state) > table::order(&self.local);
        match self.standing() {
            _ if is_local && state.status == message::MemberStatus::Gone => {
                self.reject(now);
                table::MergeOutcome::Known
            }
            _ if is_local => table::MergeOutcome::Known,
            standing::MemberStanding::Joining if is_rival && is_newer => {
                self.outrank(now, &state);
                self.absorb(now, state)
            }
            _ if is_rival && is_newer => {
                self.reject(now);
                table::MergeOutcome::Known
            }
            _ => self.absorb(now, state),
        }
    }

    /// Takes a generation above that of an earlier process of the same VM name.
    fn outrank(&mut self, now: clock::TimePoint, rival: &message::MemberState) {
        self.local.generation = rival.generation.saturating_add(1);
        self.table.merge(now, self.local.clone());
        self.news.push(self.local.clone());
        self.local_news = true;
        self.due.seed = now;
    }

    fn send_wanted(&mut self, to: names::IncarnationId, wanted: &[u32]) {
        for &domain in wanted {
            let states = self.table.domain_states(domain);
            self.send_states(to, &states);
        }
    }

    fn answer_join(
        &mut self,
        now: clock::TimePoint,
        from: names::IncarnationId,
        state: &message::MemberState,
    ) {
        if state.record.incarnation != from {
            return;
        }
        match self.take_state(now, state.clone()) {
            table::MergeOutcome::Outdated { newer } => {
                self.send_to(from, state.record.address, &[newer]);
            }
            table::MergeOutcome::Refused => {}
            table::MergeOutcome::Known | table::MergeOutcome::Taken { .. } => {
                self.hear(now, from, now);
                let states: Vec<_> = self.table.iter().cloned().collect();
                self.send_to(from, state.record.address, &states);
                let digest = self.digest(now);
                self.send(from, digest);
            }
        }
    }

    fn send_to(
        &mut self,
        incarnation: names::IncarnationId,
        address: net::SocketAddr,
        states: &[message::MemberState],
    ) {
        for states in states.chunks(message::MAX_STATES_PER_MESSAGE) {
            let target = decision::MessageTarget::Process {
                incarnation,
                address,
            };
            let message = message::MembershipMessage::Sync {
                wanted: Vec::new(),
                states: states.to_vec(),
            };
            self.actions
                .push(decision::MembershipAction::Send { target, message });
        }
    }

    fn introduce(&mut self, to: names::IncarnationId) {
        let state = self.local.clone();
        self.send(to, message::MembershipMessage::Join { state });
    }

    fn answer_ask(&mut self, now: clock::TimePoint, from: names::IncarnationId) {
        let settled = self.standing() == standing::MemberStanding::Confirmed
            && self.standing.age(now) >= SETTLED_AFTER;
        if self.was_hidden(now, from) {
            self.declare_gone(now, from);
        }
        let verdict = match (self.table.get(from), self.table.tombstone(from)) {
            (Some(_), _) => message::MemberVerdict::Member,
            (None, Some(_)) => message::MemberVerdict::Gone,
            (None, None) if settled => message::MemberVerdict::Unknown,
            (None, None) => return,
        };
        self.send(from, message::MembershipMessage::Answer { verdict });
    }
}
