//! Which of the free servers takes a task.

use cuminkeel_types::time as clock;

use super::{FreeKey, ServerIndex, ServerPool};
use crate::{speed_buckets, speed_model};

/// Free servers that are compared for one task.
const COMPARED_SERVERS: usize = 4;
/// Free servers that are looked at for one task before a pass ends.
const LOOKED_AT_SERVERS: usize = 32;
/// Servers count as equally fast if they take at most this ratio of run time.
const SAME_SPEED_RATIO: f64 = 1.2;

/// Expected run times that must fit before the deadline of a task used for a trial.
const TRIAL_MARGIN: f64 = 3.0;

/// What a task needs of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskNeed {
    /// Class of the task.
    pub class: speed_model::ClassIndex,
    /// Expected run time on an average server, in seconds.
    pub mean_secs: f64,
    /// Declared size.
    pub size: u32,
    /// Whether it may go to a server that has to prove itself.
    pub may_prove: bool,
    /// Time in which it may run without holding up its job, in seconds.
    pub slack_secs: f64,
    /// Share of the fast slots that is kept free for shorter jobs.
    pub reserve_share: f64,
}

/// A free server for one task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerOffer {
    /// The server.
    pub server: ServerIndex,
    /// Its speed bucket.
    pub bucket: speed_buckets::SpeedBucket,
    /// Expected run time of the task there, in seconds.
    pub run_secs: f64,
}

impl ServerPool {
    /// A free server on trial, for a task that may prove it and has time to spare.
    pub fn trial(
        &self,
        now: clock::TimePoint,
        need: &TaskNeed,
        time_left_secs: f64,
    ) -> Option<ServerOffer> {
        if !need.may_prove {
            return None;
        }
        let keys = self
            .on_trial
            .iter()
            .filter_map(|index| self.server(*index).free_key);
        keys.filter(|key| self.takes(now, key, need))
            .map(|key| self.offer(&key, need))
            .find(|offer| offer.run_secs * TRIAL_MARGIN < time_left_secs)
    }

    /// The slowest free server that ends a task within its slack, if any.
    pub fn slowest_within(&self, now: clock::TimePoint, need: &TaskNeed) -> Option<ServerOffer> {
        let ratio = need.slack_secs / need.mean_secs;
        let slowest = speed_buckets::SpeedBucket::of(ratio.max(f64::MIN_POSITIVE).ln());
        let within = self
            .free
            .range(..=(slowest, u32::MAX, ServerIndex(u32::MAX)));
        within
            .rev()
            .take(LOOKED_AT_SERVERS)
            .filter(|key| self.takes(now, key, need))
            .take(COMPARED_SERVERS)
            .map(|key| self.offer(key, need))
            .find(|offer| offer.run_secs <= need.slack_secs)
    }

    /// The free server where a task ends soonest, of the few that are fastest
    /// for all classes. Servers with silent overdue tasks are passed over.
    pub fn fastest(&self, now: clock::TimePoint, need: &TaskNeed) -> Option<ServerOffer> {
        let offer = self.fastest_from(now, need, None)?;
        let limit = offer.bucket.slower_by(SAME_SPEED_RATIO);
        let alike = self.buckets.up_to(limit);
        let reserved = f64::from(alike.usable) * need.reserve_share;
        if f64::from(alike.free()) > reserved {
            return Some(offer);
        }
        self.fastest_from(now, need, Some(limit)).or(Some(offer))
    }

    fn fastest_from(
        &self,
        now: clock::TimePoint,
        need: &TaskNeed,
        beyond: Option<speed_buckets::SpeedBucket>,
    ) -> Option<ServerOffer> {
        let from = beyond.map_or(
            speed_buckets::SpeedBucket::FASTEST,
            speed_buckets::SpeedBucket::next,
        );
        self.free
            .range((from, 0, ServerIndex(0))..)
            .filter(|key| self.takes(now, key, need))
            .take(COMPARED_SERVERS)
            .map(|key| self.offer(key, need))
            .min_by(|a, b| a.run_secs.total_cmp(&b.run_secs))
    }

    fn takes(&self, now: clock::TimePoint, key: &FreeKey, need: &TaskNeed) -> bool {
        let server = self.server(key.2);
        need.size <= server.record.max_size_millicores
            && (need.may_prove || !server.is_on_probation())
            && !server.is_overdue(now)
    }

    fn offer(&self, key: &FreeKey, need: &TaskNeed) -> ServerOffer {
        ServerOffer {
            server: key.2,
            bucket: key.0,
            run_secs: need.mean_secs * self.server(key.2).speed.class_factor(need.class).exp(),
        }
    }
}
