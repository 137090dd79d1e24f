//! Reading the edit stream.

use std::time;

use cuminkeel_types::time::TimePoint;

use super::{ConfigFollower, FIRST_RETRY, FollowerAction, FollowerFault, ReadState};
use crate::{fold, page, peer};

/// Delay after an empty page, in case the log does not wait for records.
const IDLE_PAUSE: time::Duration = time::Duration::from_millis(20);

impl ConfigFollower {
    pub(super) fn read_log(&mut self, actions: &mut Vec<FollowerAction>) {
        let offset = self.log_at.map_or(0, |at| at.offset);
        // Without lists in force the answer is needed even if it is empty.
        let wait = self.in_force && self.log_reachable;
        self.log_read = ReadState::Reading;
        actions.push(FollowerAction::ReadLog { offset, wait });
    }

    pub(super) fn log_page(
        &mut self,
        now: TimePoint,
        page: &page::LogPage,
        actions: &mut Vec<FollowerAction>,
    ) {
        if self.log_read != ReadState::Reading {
            return;
        }
        self.log_reachable = true;
        let expected = self.log_at.map_or(0, |at| at.offset);
        if page.head > expected {
            return self.log_trimmed(now, page.head, actions);
        }
        self.seeking_start = false;
        if self.fold.is_none() {
            self.adopt(fold::ConfigFold::default(), actions);
        }
        if self.log_at.is_none() {
            let start = fold::ConfigFold::default();
            self.log_at = Some(peer::ChainPoint {
                offset: start.offset(),
                chain: start.chain(),
            });
        }
        let whole = self.take_records(page, actions);
        self.finish_page(now, whole, page, actions);
    }

    /// Takes in the records of a page; false if it does not continue.
    fn take_records(&mut self, page: &page::LogPage, actions: &mut Vec<FollowerAction>) -> bool {
        for record in &page.records {
            let Some(at) = self.log_at else {
                return false;
            };
            if record.offset != at.offset {
                let expected = at.offset;
                let found = record.offset;
                self.report(FollowerFault::OffsetGap { expected, found }, actions);
                return false;
            }
            self.take_record(at, record, actions);
        }
        true
    }

    fn take_record(
        &mut self,
        at: peer::ChainPoint,
        record: &page::PageRecord,
        actions: &mut Vec<FollowerAction>,
    ) {
        let after = peer::ChainPoint {
            offset: at.offset + 1,
            chain: at.chain.extend(at.offset, &record.payload),
        };
        self.log_at = Some(after);
        match self.position() {
            Some(position) if position.offset > at.offset => {
                let known = self.history.chain_at(after.offset);
                if known.is_some_and(|chain| chain != after.chain) {
                    let offset = after.offset;
                    self.report(FollowerFault::Diverged { offset }, actions);
                }
            }
            _ => self.apply(record.payload.clone(), actions),
        }
    }

    fn finish_page(
        &mut self,
        now: TimePoint,
        whole: bool,
        page: &page::LogPage,
        actions: &mut Vec<FollowerAction>,
    ) {
        let tail = page.tail;
        let read = self.log_at.map_or(0, |at| at.offset);
        let folded = self.position().map_or(0, |at| at.offset);
        let stale = tail < read;
        if stale {
            let offset = read;
            self.report(FollowerFault::LogBehind { tail, offset }, actions);
        }
        if whole && read == tail && tail >= folded {
            self.confirmed_at = Some(now);
            self.in_force = true;
        }
        let due = match page.records.is_empty() {
            _ if stale || !whole => self.draw_retry(now),
            true if read < tail => self.draw_retry(now),
            empty => {
                self.retry = FIRST_RETRY;
                now + if empty {
                    IDLE_PAUSE
                } else {
                    time::Duration::ZERO
                }
            }
        };
        self.log_read = ReadState::Paused(due);
    }

    pub(super) fn log_failed(
        &mut self,
        now: TimePoint,
        fault: page::ReadFault,
        actions: &mut Vec<FollowerAction>,
    ) {
        if self.log_read != ReadState::Reading {
            return;
        }
        match fault {
            page::ReadFault::Trimmed { head } => {
                self.log_reachable = true;
                self.log_trimmed(now, head, actions);
            }
            page::ReadFault::Unavailable => {
                self.log_reachable = false;
                self.in_force = self.in_force || self.position().is_some_and(|at| at.offset > 0);
                self.log_read = ReadState::Paused(self.draw_retry(now));
            }
        }
    }

    /// Goes on from a later position: what peers told, or a snapshot.
    fn log_trimmed(&mut self, now: TimePoint, head: u64, actions: &mut Vec<FollowerAction>) {
        let read = self.log_at.map_or(0, |at| at.offset);
        let due = self.draw_retry(now);
        let position = self.position().filter(|at| at.offset >= head);
        match position {
            _ if self.log_at.is_some() && head <= read => self.log_read = ReadState::Paused(due),
            Some(position) => {
                self.log_at = Some(position);
                self.log_read = ReadState::Paused(now);
            }
            None => {
                if self.seeking_start {
                    self.report(FollowerFault::NoStart { head }, actions);
                }
                self.log_read = ReadState::Idle;
                self.seek_start(due);
            }
        }
    }
}
