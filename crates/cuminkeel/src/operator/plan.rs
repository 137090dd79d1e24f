//! `cuminkeel plan`: what each plan may use.

use std::time;

use argh::FromArgs;
use cuminkeel_config::{change, edit, lists};

use super::{EditOptions, OperatorContext, default_timeout, error, list_reader, run_edit};

/// Show or edit the plans.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanCommand {
    #[argh(subcommand)]
    action: PlanAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum PlanAction {
    Set(PlanSet),
    Remove(PlanRemove),
    List(PlanList),
}

/// Add a plan, or set fields of one; fields not given stay as they are.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
struct PlanSet {
    /// name of the plan
    #[argh(positional)]
    name: String,
    /// weight in fair queueing, 1 to 1000
    #[argh(option)]
    weight: Option<u32>,
    /// tasks at once, over all entries and domains
    #[argh(option)]
    max_concurrent: Option<u32>,
    /// task starts per second, over all entries and domains
    #[argh(option)]
    max_starts_per_second: Option<u32>,
    /// class that the plan may use; repeat for more, none given leaves all
    #[argh(option)]
    class: Vec<String>,
    /// allow all classes again
    #[argh(switch)]
    all_classes: bool,
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

/// Remove a plan that no customer has.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
struct PlanRemove {
    /// name of the plan
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

/// Show all plans.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct PlanList {
    /// seconds after which to give up
    #[argh(option, default = "default_timeout()")]
    timeout: u64,
}

/// Runs the command.
///
/// # Errors
/// The edit is not known to be accepted, or not in force where that was asked.
pub async fn run(
    command: PlanCommand,
    context: OperatorContext<'_>,
) -> Result<(), error::OperatorError> {
    match command.action {
        PlanAction::Set(set) => {
            let options = set.options();
            run_edit(context, set.into_change(), options).await
        }
        PlanAction::Remove(remove) => {
            let options = remove.options();
            let change = change::RowChange::RemovePlan(remove.name.as_str().into());
            run_edit(context, change, options).await
        }
        PlanAction::List(list) => {
            let patience = time::Duration::from_secs(list.timeout);
            let lists = list_reader::read(context.log, patience).await?;
            for row in lists.plans.values() {
                context.output.result(&describe(row));
            }
            Ok(())
        }
    }
}

impl PlanSet {
    fn options(&self) -> EditOptions {
        EditOptions {
            id: self.edit_id,
            based_on: self.if_version,
            wait: self.wait,
            timeout: time::Duration::from_secs(self.timeout),
        }
    }

    fn into_change(self) -> change::RowChange {
        let named = !self.class.is_empty() || self.all_classes;
        let classes = self.class.iter().map(|class| class.as_str().into());
        change::RowChange::SetPlan(change::PlanChange {
            name: self.name.as_str().into(),
            weight: self.weight,
            max_concurrent_tasks: self.max_concurrent,
            max_task_starts_per_second: self.max_starts_per_second,
            classes: named.then(|| classes.collect()),
        })
    }
}

impl PlanRemove {
    fn options(&self) -> EditOptions {
        EditOptions {
            id: self.edit_id,
            based_on: self.if_version,
            wait: self.wait,
            timeout: time::Duration::from_secs(self.timeout),
        }
    }
}

/// One line that shows a plan.
pub(super) fn describe(row: &lists::PlanRow) -> String {
    let classes = match row.classes.as_slice() {
        [] => "all".to_owned(),
        classes => classes
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join(","),
    };
    format!(
        "plan {} version {} weight {} max-concurrent {} max-starts-per-second {} classes {classes}",
        row.name, row.version, row.weight, row.max_concurrent_tasks, row.max_task_starts_per_second,
    )
}
