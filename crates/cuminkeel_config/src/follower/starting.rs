//! Reading and writing the snapshot stream.

use cuminkeel_types::time::TimePoint;

use super::{ConfigFollower, FollowerAction, FollowerFault, ReadState};
use crate::{page, peer, snapshot};

impl ConfigFollower {
    /// Reads the snapshot stream at `due`, from its oldest record if this entry
    /// has not read it yet.
    pub(super) fn seek_start(&mut self, due: TimePoint) {
        self.seeking_start = true;
        if self.snapshot_read != ReadState::Reading {
            self.snapshot_read = ReadState::Paused(due);
        }
    }

    /// When to look for a newer snapshot and write one if there is none.
    pub(super) fn snapshot_due(&self) -> Option<TimePoint> {
        let schedule = self.schedule.as_ref()?;
        let offset = self.fold.as_ref()?.offset();
        let settled = self.snapshot_read == ReadState::Idle && self.log_reachable && self.in_force;
        (settled && offset > 0).then(|| schedule.due(offset))
    }

    /// Starts a pass over the snapshot stream when a snapshot is due.
    pub(super) fn look_for_snapshots(&mut self, now: TimePoint) {
        if self.snapshot_due().is_some_and(|due| due <= now) {
            self.snapshot_read = ReadState::Paused(now);
        }
    }

    pub(super) fn read_snapshots(&mut self, actions: &mut Vec<FollowerAction>) {
        self.snapshot_read = ReadState::Reading;
        let offset = self.snapshot_offset;
        actions.push(FollowerAction::ReadSnapshots { offset });
    }

    pub(super) fn snapshot_page(
        &mut self,
        now: TimePoint,
        page: page::LogPage,
        actions: &mut Vec<FollowerAction>,
    ) {
        if self.snapshot_read != ReadState::Reading {
            return;
        }
        let progress = !page.records.is_empty();
        for record in page.records {
            self.snapshot_offset = self.snapshot_offset.max(record.offset.saturating_add(1));
            let complete = match snapshot::decode_part(&record.payload) {
                Ok(part) => self.log_assembler.insert(part),
                Err(_) => None,
            };
            if let Some(fold) = complete {
                if self.own_snapshot != Some(record.offset) {
                    self.snapshot_stands(now, fold.offset());
                }
                self.adopt_from_log(fold, actions);
            }
        }
        if progress && self.snapshot_offset < page.tail {
            self.snapshot_read = ReadState::Paused(now);
        } else {
            self.finish_pass(now, actions);
        }
    }

    fn adopt_from_log(
        &mut self,
        newer: crate::fold::ConfigFold,
        actions: &mut Vec<FollowerAction>,
    ) {
        let at = peer::ChainPoint {
            offset: newer.offset(),
            chain: newer.chain(),
        };
        let read = self.log_at.map_or(0, |at| at.offset);
        let known = self.history.chain_at(at.offset);
        match known {
            Some(chain) if chain != at.chain => {
                let offset = at.offset;
                self.report(FollowerFault::Diverged { offset }, actions);
            }
            // A snapshot ahead of the log position is taken only to start.
            _ if !self.seeking_start || at.offset <= read => {}
            Some(_) => self.log_at = Some(at),
            None if self.adopt(newer, actions) => self.log_at = Some(at),
            None => {}
        }
    }

    fn finish_pass(&mut self, now: TimePoint, actions: &mut Vec<FollowerAction>) {
        self.snapshot_read = ReadState::Idle;
        if self.log_read == ReadState::Idle {
            self.log_read = ReadState::Paused(now);
            return;
        }
        self.seeking_start = false;
        let due = match (&self.schedule, &self.fold) {
            (Some(schedule), Some(fold)) => schedule.is_due(now, fold.offset()),
            _ => false,
        };
        if due {
            self.write_snapshot(now, actions);
        }
    }

    fn write_snapshot(&mut self, now: TimePoint, actions: &mut Vec<FollowerAction>) {
        let Some(fold) = &self.fold else {
            return;
        };
        let offset = fold.offset();
        match snapshot::encode_snapshot(fold, self.settings.max_record_bytes) {
            Ok(parts) => actions.push(FollowerAction::AppendSnapshot { offset, parts }),
            Err(_) => self.report(FollowerFault::SnapshotTooLarge, actions),
        }
        self.snapshot_append_failed(now);
    }

    pub(super) fn snapshots_failed(&mut self, now: TimePoint, fault: page::ReadFault) {
        if self.snapshot_read != ReadState::Reading {
            return;
        }
        match fault {
            page::ReadFault::Trimmed { head } if head > self.snapshot_offset => {
                self.snapshot_offset = head;
                self.snapshot_read = ReadState::Paused(now);
            }
            _ => self.snapshot_read = ReadState::Paused(self.draw_retry(now)),
        }
    }

    pub(super) fn snapshot_stands(&mut self, now: TimePoint, offset: u64) {
        if let Some(schedule) = &mut self.schedule {
            schedule.snapshot_seen(now, offset);
        }
    }

    pub(super) fn snapshot_append_failed(&mut self, now: TimePoint) {
        if let Some(schedule) = &mut self.schedule {
            schedule.write_failed(now);
        }
    }
}
