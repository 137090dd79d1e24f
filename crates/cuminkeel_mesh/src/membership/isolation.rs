//! Keeps a process that is itself cut off from declaring the others gone.
//!
//! A process that hears neither most of its failure domain nor any other domain
//! hides the silent ones from its view but does not fence them, so that those on
//! the larger side of a cut go on when it heals. They fence the cut-off process.

use cuminkeel_types::{names, time};
use rand::seq::IndexedRandom;

use super::{decision, message};

const SURVEYED_FOREIGNERS: usize = 2;
const LARGEST_EVEN_SPLIT: usize = 2;

impl decision::MembershipCore {
    /// Pings the whole failure domain and a few members of others, to tell
    /// whether a silent process or this one is cut off.
    pub(super) fn survey(&mut self, now: time::TimePoint) {
        if now < self.due.survey {
            return;
        }
        self.due.survey = now + self.settings.probe_interval;
        let local = &self.local.record;
        let near = self.ring.members().iter().copied();
        let near = near.filter(|peer| *peer != local.incarnation);
        let foreigners = self.foreigners();
        let far = foreigners.sample(&mut self.rng, SURVEYED_FOREIGNERS);
        let surveyed: Vec<names::IncarnationId> = near.chain(far.copied()).collect();
        for peer in surveyed {
            self.send(peer, message::MembershipMessage::Ping);
        }
    }

    /// Whether this process hears neither most of its domain nor another domain.
    /// One of two entries of a site with one domain can't tell, and is not.
    pub(super) fn is_isolated(&self, now: time::TimePoint) -> bool {
        let is_heard = |peer: &&names::IncarnationId| self.is_heard(now, **peer);
        let size = self.ring.len();
        let heard = self.ring.members().iter().filter(is_heard).count() + 1;
        let foreigners = self.foreigners();
        let tells = !foreigners.is_empty() || size > LARGEST_EVEN_SPLIT;
        tells && 2 * heard <= size && !foreigners.iter().any(|peer| is_heard(&peer))
    }

    /// Hides all silent processes of the domain until they are heard again.
    pub(super) fn hide_silent(&mut self, now: time::TimePoint) {
        self.isolated = true;
        let local = self.local.record.incarnation;
        let others = self.ring.members().iter().copied();
        let silent = others.filter(|&peer| peer != local && !self.is_heard(now, peer));
        let silent: Vec<names::IncarnationId> = silent.collect();
        for peer in silent {
            self.stale_view |= self.hidden.insert(peer);
        }
    }

    /// Shows a process again that was hidden. It is remembered for a while, in
    /// case it was paused and asks whether it was thought dead.
    pub(super) fn reveal(&mut self, now: time::TimePoint, target: names::IncarnationId) {
        if self.hidden.remove(&target) {
            self.stale_view = true;
            self.revealed.push((target, now));
            self.isolated = !self.hidden.is_empty();
        }
    }

    /// Whether a process was hidden until just now.
    pub(super) fn was_hidden(&self, now: time::TimePoint, target: names::IncarnationId) -> bool {
        let recent = self.settings.alone_after;
        let mut revealed = self.revealed.iter();
        revealed.any(|&(peer, at)| peer == target && now.since(at) < recent)
    }

    fn is_heard(&self, now: time::TimePoint, peer: names::IncarnationId) -> bool {
        let heard = self.contacts.get(&peer);
        heard.is_some_and(|&heard| now.since(heard) < self.settings.suspect_after)
    }

    fn foreigners(&self) -> Vec<names::IncarnationId> {
        let local = &self.local.record;
        let records = self.table.iter().map(|state| &state.record);
        let foreign = records.filter(|record| record.domain != local.domain);
        foreign.map(|record| record.incarnation).collect()
    }
}
