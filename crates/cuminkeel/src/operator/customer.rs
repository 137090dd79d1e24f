//! `cuminkeel customer`: customers, their plans and keys.

use std::time;

use argh::FromArgs;
use cuminkeel_config::{change, edit, lists};

use super::{EditOptions, OperatorContext, api_key, default_timeout, error, list_reader, run_edit};

/// Show or edit the customers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "customer")]
pub struct CustomerCommand {
    #[argh(subcommand)]
    action: CustomerAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum CustomerAction {
    Set(CustomerSet),
    Remove(CustomerRemove),
    List(CustomerList),
}

/// Add a customer, or set fields of one; fields not given stay as they are.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
struct CustomerSet {
    /// name of the customer
    #[argh(positional)]
    name: String,
    /// its plan
    #[argh(option)]
    plan: Option<String>,
    /// BLAKE3 digest of a key to accept, 64 hexadecimal digits; may be repeated
    #[argh(option)]
    key_digest: Vec<String>,
    /// digest of a key to accept no longer; may be repeated
    #[argh(option)]
    drop_key_digest: Vec<String>,
    /// draw a key, show it once and accept it
    #[argh(switch)]
    new_key: bool,
    /// id of an earlier try of this edit, to settle it
    #[argh(option)]
    edit_id: Option<edit::EditId>,
    /// edit only if the row has this version
    #[argh(option)]
    if_version: Option<u64>,
    /// wait until every entry reports the edit in force
    #[argh(switch)]
    wait: bool,
    /// seconds after which to give up
    #[argh(option, default = "default_timeout()")]
    timeout: u64,
}

/// Remove a customer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
struct CustomerRemove {
    /// name of the customer
    #[argh(positional)]
    name: String,
    /// id of an earlier try of this edit, to settle it
    #[argh(option)]
    edit_id: Option<edit::EditId>,
    /// edit only if the row has this version
    #[argh(option)]
    if_version: Option<u64>,
    /// wait until every entry reports the edit in force
    #[argh(switch)]
    wait: bool,
    /// seconds after which to give up
    #[argh(option, default = "default_timeout()")]
    timeout: u64,
}

/// Show all customers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct CustomerList {
    /// seconds after which to give up
    #[argh(option, default = "default_timeout()")]
    timeout: u64,
}

/// Runs the command.
///
/// # Errors
/// The edit is not known to be accepted, or not in force where that was asked.
pub async fn run(
    command: CustomerCommand,
    context: OperatorContext<'_>,
) -> Result<(), error::OperatorError> {
    match command.action {
        CustomerAction::Set(set) => {
            let options = set.options();
            if set.new_key && options.id.is_some() {
                return Err(error::OperatorError::NewKeyForOldEdit);
            }
            let key = set.new_key.then(api_key::ApiKey::generate);
            if let Some(key) = &key {
                let digest = key.digest();
                let line = format!("key {key} digest {digest} (accepted once the edit is)");
                context.output.result(&line);
            }
            let digest = key.map(|key| key.digest());
            run_edit(context, set.into_change(digest), options).await
        }
        CustomerAction::Remove(remove) => {
            let options = remove.options();
            let change = change::RowChange::RemoveCustomer(remove.name.as_str().into());
            run_edit(context, change, options).await
        }
        CustomerAction::List(list) => {
            let patience = time::Duration::from_secs(list.timeout);
            let lists = list_reader::read(context.log, patience).await?;
            for row in lists.customers.values() {
                context.output.result(&describe(row));
            }
            Ok(())
        }
    }
}

impl CustomerSet {
    fn options(&self) -> EditOptions {
        EditOptions {
            id: self.edit_id,
            based_on: self.if_version,
            wait: self.wait,
            timeout: time::Duration::from_secs(self.timeout),
        }
    }

    fn into_change(self, new_digest: Option<String>) -> change::RowChange {
        let mut added_digests = self.key_digest;
        added_digests.extend(new_digest);
        change::RowChange::SetCustomer(change::CustomerChange {
            name: self.name.as_str().into(),
            plan: self.plan.as_deref().map(Into::into),
            added_digests,
            dropped_digests: self.drop_key_digest,
        })
    }
}

impl CustomerRemove {
    fn options(&self) -> EditOptions {
        EditOptions {
            id: self.edit_id,
            based_on: self.if_version,
            wait: self.wait,
            timeout: time::Duration::from_secs(self.timeout),
        }
    }
}

/// One line that shows a customer.
pub(super) fn describe(row: &lists::CustomerRow) -> String {
    format!(
        "customer {} version {} plan {} keys {}",
        row.name,
        row.version,
        row.plan,
        row.key_digests.join(","),
    )
}
