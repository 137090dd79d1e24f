//! Losses of runs with their servers that this process passes on to its peers.

use std::{collections::VecDeque, sync::Arc, time};

use cuminkeel_dispatch::crash_ledger;

/// Maximum number of losses in one frame, about 45 KB. The rest follows with the next status.
const MAX_LOSSES_PER_FRAME: usize = 512;

#[derive(Clone, Debug)]
struct NewsEntry {
    /// Position in the order in which this process learnt of the losses.
    number: u64,
    lost_run: crash_ledger::LostRun,
    /// Name of the VM of the peer that sent the loss; `None` if the pool of this process recorded it.
    source: Option<Arc<str>>,
    recorded_at: time::Duration,
}

/// Losses in the order in which this process learnt of them, for as long as they count.
#[derive(Debug, Default)]
pub struct LossNews {
    entries: VecDeque<NewsEntry>,
    last_number: u64,
}

/// Position up to which a peer was sent the losses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NewsPosition {
    /// Number of the last loss of the pool of this process.
    own: u64,
    /// Number of the last loss that another peer has sent.
    foreign: u64,
}

impl LossNews {
    /// Adds a loss that is news to this process.
    pub fn push(
        &mut self,
        lost_run: crash_ledger::LostRun,
        source: Option<&Arc<str>>,
        now: time::Duration,
    ) {
        let is_outdated =
            |entry: &NewsEntry| now >= entry.recorded_at + crash_ledger::LOSS_RETENTION;
        while self.entries.len() >= crash_ledger::MAX_TASKS
            || self.entries.front().is_some_and(is_outdated)
        {
            self.entries.pop_front();
        }
        self.last_number += 1;
        self.entries.push_back(NewsEntry {
            number: self.last_number,
            lost_run,
            source: source.cloned(),
            recorded_at: now,
        });
    }

    /// Returns the losses behind `position` that `peer` has to be told of, and advances the position. Losses
    /// that other peers sent are passed on by leaders only, as each leader is linked to all members of its
    /// failure domain.
    pub fn next_losses(
        &self,
        position: &mut NewsPosition,
        peer: &str,
        is_leader: bool,
    ) -> Vec<crash_ledger::LostRun> {
        let mut losses = Vec::new();
        let sent_to_all = if is_leader {
            position.own.min(position.foreign)
        } else {
            position.own
        };
        let first = self
            .entries
            .partition_point(|entry| entry.number <= sent_to_all);
        for entry in self.entries.range(first..) {
            if losses.len() >= MAX_LOSSES_PER_FRAME {
                return losses;
            }
            let (sent, is_wanted) = match &entry.source {
                None => (&mut position.own, true),
                Some(_) if !is_leader => continue,
                Some(source) => (&mut position.foreign, **source != *peer),
            };
            if entry.number <= *sent {
                continue;
            }
            *sent = entry.number;
            if is_wanted {
                losses.push(entry.lost_run.clone());
            }
        }
        position.own = self.last_number;
        if is_leader {
            position.foreign = self.last_number;
        }
        losses
    }
}
