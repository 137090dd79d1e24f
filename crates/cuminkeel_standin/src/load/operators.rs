//! Operators that edit the lists during a run, and the referee of their edits.

use std::{sync, time};

use cuminkeel_config as config;
use cuminkeel_config::{edit, verdict};
use cuminkeel_platform::border::{self, LogStore};
use cuminkeel_platform::client;
use rand::{RngExt, SeedableRng, rngs};

use crate::sync_lock;

use super::{lists, plan, site};

/// Time for which an operator looks for a lost edit before sending it again.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Time between two looks.
const SETTLE_POLL: time::Duration = time::Duration::from_millis(10);
/// Times that an operator sends one edit.
const MAX_SENDS: u32 = 20;

/// The first place of an accepted edit on the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcceptedEdit {
    pub(super) offset: u64,
    pub(super) at: tokio::time::Instant,
}

/// What became of the operators' edits.
#[derive(Clone, Debug, Default)]
pub(super) struct EditTally {
    pub(super) accepted: Vec<AcceptedEdit>,
    pub(super) conflicting: u64,
    pub(super) unsettled: u64,
}

/// Folds the log as it really is, whatever faults its answers have.
#[derive(Debug, Default)]
struct Referee {
    fold: config::fold::ConfigFold,
}

impl Referee {
    fn catch_up(&mut self, site: &site::LoadSite) {
        for record in site.platform.records(config::EDIT_STREAM) {
            if record.offset >= self.fold.offset() {
                // In order: the stand-in's records have no gaps.
                let _folded = self.fold.apply(record.offset, &record.payload);
            }
        }
    }
}

/// A generator that no other part of the run draws from, so that no edit gets
/// the id of another.
fn operator_rng(seed: u64, operator: usize) -> rngs::StdRng {
    let digest = blake3::hash(format!("operator {operator} of run {seed}").as_bytes());
    rngs::StdRng::from_seed(*digest.as_bytes())
}

/// Operators and their referee.
#[derive(Debug)]
pub(super) struct OperatorDesk {
    site: sync::Arc<site::LoadSite>,
    client: client::HttpPlatform,
    referee: sync::Mutex<Referee>,
    tally: sync::Mutex<EditTally>,
}

impl OperatorDesk {
    pub(super) fn new(site: sync::Arc<site::LoadSite>) -> Self {
        let address = site.platform.address();
        Self {
            client: client::HttpPlatform::new(client::PlatformSettings::new(address)),
            referee: sync::Mutex::default(),
            tally: sync::Mutex::default(),
            site,
        }
    }

    /// What became of the edits so far.
    pub(super) fn tally(&self) -> EditTally {
        sync_lock::lock(&self.tally).clone()
    }

    /// One operator's edits until the end of the run.
    pub(super) async fn operate(
        self: sync::Arc<Self>,
        operator: usize,
        plan: plan::EditPlan,
        start: tokio::time::Instant,
    ) {
        let mut rng = operator_rng(self.site.options.seed, operator);
        let end = start + self.site.options.span;
        let mut number = 0_usize;
        while tokio::time::Instant::now() < end {
            let row = (operator + number) % plan.rows;
            let record = self.next_edit(row, &mut rng);
            self.settle(&record).await;
            number += 1;
            tokio::time::sleep(plan.interval).await;
        }
    }

    /// An edit of a row as it stands.
    fn next_edit(&self, row: usize, rng: &mut rngs::StdRng) -> edit::EditRecord {
        let name = format!("edited-{row}");
        let key = edit::RowKey::Plan(name.as_str().into());
        let mut referee = sync_lock::lock(&self.referee);
        referee.catch_up(&self.site);
        edit::EditRecord {
            id: edit::EditId(rng.random()),
            based_on: referee.fold.row(&key).version(),
            edit: edit::ListEdit::PutPlan(edit::PlanDraft {
                name: name.as_str().into(),
                weight: rng.random_range(1..=100),
                max_concurrent_tasks: rng.random_range(1..=1_000),
                max_task_starts_per_second: rng.random_range(1..=1_000),
                classes: Vec::new(),
            }),
        }
    }

    /// Sends an edit until its verdict is known.
    async fn settle(&self, record: &edit::EditRecord) {
        let Ok(payload) = lists::encoded(record) else {
            return;
        };
        for _ in 0..MAX_SENDS {
            let written = self.client.append(config::EDIT_STREAM, &payload).await;
            match written {
                Err(border::PlatformError::AppendRefused { .. }) => {
                    tokio::time::sleep(SETTLE_TIMEOUT).await;
                }
                _ => {
                    if self.find_verdict(record.id).await {
                        return;
                    }
                }
            }
        }
        sync_lock::lock(&self.tally).unsettled += 1;
    }

    /// Looks for an edit on the log and counts its verdict.
    async fn find_verdict(&self, id: edit::EditId) -> bool {
        let deadline = tokio::time::Instant::now() + SETTLE_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if let Some((offset, verdict)) = self.verdict(id) {
                self.count(offset, verdict);
                return true;
            }
            tokio::time::sleep(SETTLE_POLL).await;
        }
        false
    }

    fn verdict(&self, id: edit::EditId) -> Option<(u64, verdict::VerdictSummary)> {
        let mut referee = sync_lock::lock(&self.referee);
        referee.catch_up(&self.site);
        referee.fold.recent_verdict(id)
    }

    fn count(&self, offset: u64, verdict: verdict::VerdictSummary) {
        let now = tokio::time::Instant::now();
        let age = self.site.platform.record_age(config::EDIT_STREAM, offset);
        let at = age.and_then(|age| now.checked_sub(age)).unwrap_or(now);
        let mut tally = sync_lock::lock(&self.tally);
        match verdict {
            verdict::VerdictSummary::Accepted { .. } => {
                tally.accepted.push(AcceptedEdit { offset, at });
            }
            _ => tally.conflicting += 1,
        }
    }
}
