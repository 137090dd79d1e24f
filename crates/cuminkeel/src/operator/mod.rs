//! Operators' commands on the two lists.
//!
//! A command ends well only when its edit is known to be accepted. After a lost
//! answer the edit is looked up on the log by its id.

pub mod api_key;
pub mod customer;
pub mod edit_runner;
pub mod error;
pub mod in_force;
pub mod list_reader;
mod log_calls;
pub mod plan;

use std::{fmt, time};

use cuminkeel_config::{change, edit};
use cuminkeel_platform::border;

/// What the commands work on.
#[derive(Clone, Copy, Debug)]
pub struct OperatorContext<'a> {
    /// The platform's log.
    pub log: &'a dyn border::LogStore,
    /// Asks entries for their offset.
    pub probe: &'a dyn in_force::EntryProbe,
    /// Takes what is shown.
    pub output: &'a dyn OperatorOutput,
}

/// Takes what a command shows.
pub trait OperatorOutput: fmt::Debug + Send + Sync {
    /// A line of the result, for standard output.
    fn result(&self, line: &str);

    /// A line of progress, for standard error.
    fn progress(&self, line: &str);
}

/// Options that all edits have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EditOptions {
    pub(crate) id: Option<edit::EditId>,
    pub(crate) based_on: Option<u64>,
    pub(crate) wait: bool,
    pub(crate) timeout: time::Duration,
}

/// Makes one edit, shows where it stands, and waits for the entries if asked to.
async fn run_edit(
    context: OperatorContext<'_>,
    change: change::RowChange,
    options: EditOptions,
) -> Result<(), error::OperatorError> {
    let id = options
        .id
        .unwrap_or_else(|| edit::EditId(rand::random::<u128>()));
    let key = change.key();
    context.output.progress(&format!("edit {id}"));
    let request = edit_runner::EditRequest {
        id,
        based_on: options.based_on.map(edit::RowVersion),
        change,
        patience: options.timeout,
    };
    let accepted = edit_runner::run(context.log, request).await?;
    let (version, offset) = (accepted.version, accepted.offset);
    let line = format!("{key} accepted as version {version} at offset {offset}, edit {id}");
    context.output.result(&line);
    if options.wait {
        in_force::wait(context, offset, options.timeout).await?;
        let line = format!("offset {offset} is in force on all entries");
        context.output.result(&line);
    }
    Ok(())
}

/// Default of `--timeout`, in seconds.
const fn default_timeout() -> u64 {
    30
}
