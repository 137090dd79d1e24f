//! Calls to the log as the configuration's state machines want them answered.

use std::time;

use cuminkeel_config::{EDIT_STREAM, page};
use cuminkeel_platform::border::{self, LogStore};

/// Records asked for at once.
const PAGE_RECORDS: usize = 256;
/// Time for which a read waits for a new record.
const READ_WAIT: time::Duration = time::Duration::from_millis(200);
/// Longest wait for any answer.
const CALL_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Whether an append stands on the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AppendAnswer {
    Written { offset: u64 },
    NotWritten,
    Unknown,
}

pub(super) async fn read(
    log: &dyn LogStore,
    stream: &str,
    offset: u64,
    wait: bool,
) -> Result<page::LogPage, page::ReadFault> {
    let wait = if wait {
        READ_WAIT
    } else {
        time::Duration::ZERO
    };
    let call = log.read(stream, offset, PAGE_RECORDS, wait);
    match tokio::time::timeout(CALL_LIMIT, call).await {
        Ok(Ok(batch)) => Ok(to_page(batch)),
        Ok(Err(border::PlatformError::Trimmed { head, .. })) => {
            Err(page::ReadFault::Trimmed { head })
        }
        Ok(Err(_)) | Err(_) => Err(page::ReadFault::Unavailable),
    }
}

pub(super) async fn append(log: &dyn LogStore, payload: &[u8]) -> AppendAnswer {
    let call = log.append(EDIT_STREAM, payload);
    match tokio::time::timeout(CALL_LIMIT, call).await {
        Ok(Ok(offset)) => AppendAnswer::Written { offset },
        Ok(Err(border::PlatformError::AppendRefused { .. })) => AppendAnswer::NotWritten,
        Ok(Err(_)) | Err(_) => AppendAnswer::Unknown,
    }
}

fn to_page(batch: border::LogBatch) -> page::LogPage {
    let records = batch.records.into_iter().map(|record| page::PageRecord {
        offset: record.offset,
        payload: record.payload,
    });
    page::LogPage {
        records: records.collect(),
        head: batch.head,
        tail: batch.tail,
    }
}
