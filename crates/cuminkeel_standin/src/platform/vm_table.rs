//! The lagging VM list and the lagging usage reports.

use std::{sync, time};

use cuminkeel_platform::{border, wire};
use cuminkeel_types::time as point;

use super::UsageSource;

#[derive(Debug)]
struct TimedList {
    since: point::TimePoint,
    list: border::VmList,
}

/// All versions of the VM list and the one shown.
#[derive(Debug)]
pub struct VmTable {
    versions: Vec<TimedList>,
    lag: time::Duration,
    frozen: Option<border::VmList>,
}

impl VmTable {
    /// An empty list.
    pub fn new(lag: time::Duration) -> Self {
        Self {
            versions: Vec::new(),
            lag,
            frozen: None,
        }
    }

    /// Sets the age of what is shown.
    pub fn set_lag(&mut self, lag: time::Duration) {
        self.lag = lag;
    }

    /// Replaces the rows. The first rows are shown at once, later ones after the lag.
    pub fn set(&mut self, now: point::TimePoint, vms: Vec<border::VmRecord>) {
        let version = self.versions.last().map_or(1, |last| last.list.version + 1);
        let since = if self.versions.is_empty() {
            point::TimePoint::ZERO
        } else {
            now
        };
        self.versions.push(TimedList {
            since,
            list: border::VmList { version, vms },
        });
    }

    /// The rows as last set.
    pub fn latest(&self) -> Vec<border::VmRecord> {
        self.versions
            .last()
            .map(|last| last.list.vms.clone())
            .unwrap_or_default()
    }

    /// Keeps showing what is shown now, or ends that.
    pub fn freeze(&mut self, now: point::TimePoint, frozen: bool) {
        self.frozen = None;
        if frozen {
            self.frozen = Some(self.visible(now));
        }
    }

    /// The list as it is shown.
    pub fn visible(&self, now: point::TimePoint) -> border::VmList {
        if let Some(list) = &self.frozen {
            return list.clone();
        }
        let shown = |timed: &&TimedList| {
            timed.since == point::TimePoint::ZERO || timed.since + self.lag <= now
        };
        self.versions
            .iter()
            .rev()
            .find(shown)
            .map(|timed| timed.list.clone())
            .unwrap_or_default()
    }
}

/// Sources of usage and the last report.
#[derive(Debug)]
pub struct UsageTable {
    sources: Vec<sync::Arc<dyn UsageSource>>,
    period: time::Duration,
    reported: Option<point::TimePoint>,
    rows: Vec<(sync::Arc<str>, u32)>,
}

impl UsageTable {
    /// A table without sources.
    pub fn new(period: time::Duration) -> Self {
        Self {
            sources: Vec::new(),
            period,
            reported: None,
            rows: Vec::new(),
        }
    }

    /// Adds a VM.
    pub fn add(&mut self, source: sync::Arc<dyn UsageSource>) {
        self.sources.push(source);
    }

    /// The last report, made anew once it is older than the period.
    pub fn report(&mut self, now: point::TimePoint) -> wire::UsageAnswer {
        let reported = match self.reported {
            Some(reported) if now.since(reported) < self.period => reported,
            _ => self.refresh(now),
        };
        let age_ms = u64::try_from(now.since(reported).as_millis()).unwrap_or(u64::MAX);
        let usage = self
            .rows
            .iter()
            .map(|(name, busy_slots)| wire::UsageBody {
                name: name.clone(),
                busy_slots: *busy_slots,
                age_ms,
            })
            .collect();
        wire::UsageAnswer { usage }
    }

    fn refresh(&mut self, now: point::TimePoint) -> point::TimePoint {
        self.rows = self
            .sources
            .iter()
            .map(|source| (source.name(), source.busy_slots()))
            .collect();
        self.reported = Some(now);
        now
    }
}
