//! Waits until the entries report an offset in force.

use std::{fmt, time};

use cuminkeel_types::names;
use derive_more::{Display, Error};

use super::OperatorContext;

/// Time between two rounds of questions.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// What one entry answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryOffset {
    /// VM of the entry.
    pub vm: names::VmName,
    /// `config_offset` of its status: the offset after the last record in
    /// force; none if it did not answer or has no lists.
    pub offset: Option<u64>,
}

/// The entries can't be asked.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the list of entries can't be had")]
pub struct ProbeError;

/// Asks entries for their offset.
#[async_trait::async_trait]
pub trait EntryProbe: fmt::Debug + Send + Sync {
    /// Asks every entry of the VM list at once, each for a short time only.
    ///
    /// # Errors
    /// The entries are not known.
    async fn offsets(&self) -> Result<Vec<EntryOffset>, ProbeError>;
}

/// Why an accepted edit is not known to be in force everywhere.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum WaitError {
    /// The list of entries could not be had in time.
    #[display("accepted, but the list of entries can't be had")]
    NoEntries,
    /// Some entries lag or do not answer.
    #[display("accepted, but not shown in force by: {}", join(entries))]
    Behind {
        /// The entries.
        entries: Vec<EntryOffset>,
    },
}

/// Waits until each entry shows that the record at `offset` is in force.
///
/// # Errors
/// Not all did within `limit`.
pub async fn wait(
    context: OperatorContext<'_>,
    offset: u64,
    limit: time::Duration,
) -> Result<(), WaitError> {
    let started = time::Instant::now();
    let mut shown = usize::MAX;
    loop {
        let answers = context.probe.offsets().await;
        let round = judge_round(offset, answers);
        match &round {
            Ok(entries) if entries.is_empty() => return Ok(()),
            _ if started.elapsed() >= limit => {}
            Ok(entries) => {
                if shown != entries.len() {
                    let line = format!("waiting for {}", join(entries));
                    context.output.progress(&line);
                }
                shown = entries.len();
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            Err(_) => {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
        }
        let entries = round?;
        return Err(WaitError::Behind { entries });
    }
}

/// The entries that do not show the record at `offset` in force.
fn judge_round(
    offset: u64,
    answers: Result<Vec<EntryOffset>, ProbeError>,
) -> Result<Vec<EntryOffset>, WaitError> {
    match answers {
        Ok(answers) if answers.is_empty() => Err(WaitError::NoEntries),
        Ok(answers) => {
            let behind = answers
                .into_iter()
                .filter(|entry| entry.offset <= Some(offset));
            Ok(behind.collect())
        }
        Err(ProbeError) => Err(WaitError::NoEntries),
    }
}

fn join(entries: &[EntryOffset]) -> String {
    let lines = entries.iter().map(|entry| match entry.offset {
        Some(offset) => format!("{} (at {offset})", entry.vm),
        None => format!("{} (no answer)", entry.vm),
    });
    lines.collect::<Vec<_>>().join(", ")
}
