//! The fold of the edit stream into the lists.

use std::{collections, sync};

use cuminkeel_types::names;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{chain, edit, lists, record, removed, rules, verdict};

/// Recent edits whose verdict is kept, to answer for one that is sent again.
///
/// Beyond it an edit sent again meets a row version that was used up, and so is
/// in conflict; it is never accepted twice.
pub const RECENT_EDITS: usize = 1_024;

/// The record is not the next one.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("record {found} was applied where {expected} is next")]
pub struct OrderError {
    /// Next offset of the fold.
    pub expected: u64,
    /// Offset of the record.
    pub found: u64,
}

/// One record and what became of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FoldedRecord {
    /// Its offset.
    pub offset: u64,
    /// Its edit, if the record shows one.
    pub id: Option<edit::EditId>,
    /// What became of it.
    pub verdict: verdict::EditVerdict,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct RecentEdit {
    id: edit::EditId,
    offset: u64,
    summary: verdict::VerdictSummary,
}

/// State of the fold at one offset. Its serialized form depends on the folded
/// records only, so two entries at one offset write the same snapshot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigFold {
    lists: sync::Arc<lists::ConfigLists>,
    chain: chain::ChainDigest,
    removed_plans: removed::RemovedRows<names::PlanName>,
    removed_customers: removed::RemovedRows<names::CustomerName>,
    recent: collections::VecDeque<RecentEdit>,
}

impl ConfigFold {
    /// Offset of the next record.
    pub fn offset(&self) -> u64 {
        self.lists.offset
    }

    /// Digest of all records before [`Self::offset`].
    pub fn chain(&self) -> chain::ChainDigest {
        self.chain
    }

    /// The lists at [`Self::offset`].
    pub fn lists(&self) -> &sync::Arc<lists::ConfigLists> {
        &self.lists
    }

    /// The row as it stands, and the version that an edit must be based on.
    pub fn row(&self, key: &edit::RowKey) -> verdict::RowState {
        match key {
            edit::RowKey::Plan(name) => match self.lists.plans.get(name) {
                Some(row) => verdict::RowState::Plan(row.clone()),
                None => verdict::RowState::Absent {
                    version: self.removed_plans.version(name),
                },
            },
            edit::RowKey::Customer(name) => match self.lists.customers.get(name) {
                Some(row) => verdict::RowState::Customer(row.clone()),
                None => verdict::RowState::Absent {
                    version: self.removed_customers.version(name),
                },
            },
        }
    }

    /// The verdict on a recent edit: its offset and what became of it.
    pub fn recent_verdict(&self, id: edit::EditId) -> Option<(u64, verdict::VerdictSummary)> {
        let recent = self.recent.iter().rev().find(|recent| recent.id == id)?;
        Some((recent.offset, recent.summary))
    }

    /// Applies the record at `offset`. Any bytes get a verdict.
    ///
    /// # Errors
    /// The offset is not [`Self::offset`]; nothing changes.
    pub fn apply(&mut self, offset: u64, payload: &[u8]) -> Result<FoldedRecord, OrderError> {
        let expected = self.offset();
        if offset != expected {
            let found = offset;
            return Err(OrderError { expected, found });
        }
        let decoded = record::decode_edit(payload);
        let id = match &decoded {
            Ok(record) => Some(record.id),
            Err(fault) => fault.id(),
        };
        let verdict = self.judge(id, decoded);
        self.chain = self.chain.extend(offset, payload);
        sync::Arc::make_mut(&mut self.lists).offset = offset.saturating_add(1);
        self.remember(offset, id, &verdict);
        Ok(FoldedRecord {
            offset,
            id,
            verdict,
        })
    }

    /// Whether no row of `older` stands here in an older version.
    pub fn extends(&self, older: &Self) -> bool {
        let plans = older.lists.plans.keys().cloned().map(edit::RowKey::Plan);
        let customers = older.lists.customers.keys().cloned();
        let mut keys = plans.chain(customers.map(edit::RowKey::Customer));
        self.offset() >= older.offset()
            && keys.all(|key| self.row(&key).version() >= older.row(&key).version())
    }

    fn judge(
        &mut self,
        id: Option<edit::EditId>,
        decoded: Result<edit::EditRecord, record::RecordFault>,
    ) -> verdict::EditVerdict {
        if let Some((offset, first)) = id.and_then(|id| self.recent_verdict(id)) {
            return verdict::EditVerdict::Duplicate { offset, first };
        }
        let record = match decoded {
            Ok(record) => record,
            Err(fault) => {
                let reason = rules::judge_fault(&fault);
                return verdict::EditVerdict::Refused { reason };
            }
        };
        let standing = self.row(&record.edit.key());
        match rules::judge_edit(&record.edit, &self.lists) {
            _ if standing.version() != record.based_on => {
                verdict::EditVerdict::Conflict { winner: standing }
            }
            Some(reason) => verdict::EditVerdict::Refused { reason },
            None => {
                let version = standing.version().next();
                self.accept(record.edit, version);
                verdict::EditVerdict::Accepted { version }
            }
        }
    }

    fn accept(&mut self, edit: edit::ListEdit, version: edit::RowVersion) {
        let lists = sync::Arc::make_mut(&mut self.lists);
        match edit {
            edit::ListEdit::PutPlan(draft) => {
                self.removed_plans.remove(&draft.name);
                let row = draft.into_row(version);
                lists.plans.insert(row.name.clone(), row);
            }
            edit::ListEdit::RemovePlan(name) => {
                lists.plans.remove(&name);
                self.removed_plans.insert(name, version);
            }
            edit::ListEdit::PutCustomer(draft) => {
                self.removed_customers.remove(&draft.name);
                let row = draft.into_row(version);
                lists.customers.insert(row.name.clone(), row);
            }
            edit::ListEdit::RemoveCustomer(name) => {
                lists.customers.remove(&name);
                self.removed_customers.insert(name, version);
            }
        }
    }

    fn remember(&mut self, offset: u64, id: Option<edit::EditId>, verdict: &verdict::EditVerdict) {
        let known = matches!(verdict, verdict::EditVerdict::Duplicate { .. });
        let Some(id) = id.filter(|_| !known) else {
            return;
        };
        let summary = verdict.summary();
        self.recent.push_back(RecentEdit {
            id,
            offset,
            summary,
        });
        while self.recent.len() > RECENT_EDITS {
            self.recent.pop_front();
        }
    }
}
