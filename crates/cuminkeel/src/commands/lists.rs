//! `cuminkeel plan` and `cuminkeel customer`: edit the two lists.

use std::{net, process, time};

use cuminkeel::operator;
use cuminkeel_platform::{border, client};
use cuminkeel_standin::fleet;
use cuminkeel_types::names;
use tokio::task;

use crate::error;

/// Longest time for one entry to answer.
const PROBE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Runs `cuminkeel plan`.
pub(crate) fn run_plan(
    command: operator::plan::PlanCommand,
    platform: Option<net::SocketAddr>,
) -> Result<process::ExitCode, error::CommandError> {
    let desk = OperatorDesk::open(platform)?;
    super::runtime()?.block_on(operator::plan::run(command, desk.context()))?;
    Ok(process::ExitCode::SUCCESS)
}

/// Runs `cuminkeel customer`.
pub(crate) fn run_customer(
    command: operator::customer::CustomerCommand,
    platform: Option<net::SocketAddr>,
) -> Result<process::ExitCode, error::CommandError> {
    let desk = OperatorDesk::open(platform)?;
    super::runtime()?.block_on(operator::customer::run(command, desk.context()))?;
    Ok(process::ExitCode::SUCCESS)
}

/// What the commands work on.
#[derive(Debug)]
struct OperatorDesk {
    platform: client::HttpPlatform,
    probe: StatusProbe,
    output: TerminalOutput,
}

impl OperatorDesk {
    fn open(platform: Option<net::SocketAddr>) -> Result<Self, error::CommandError> {
        let address = platform.ok_or(error::CommandError::NoPlatform)?;
        let settings = client::PlatformSettings::new(address);
        Ok(Self {
            platform: client::HttpPlatform::new(settings.clone()),
            probe: StatusProbe {
                directory: client::HttpPlatform::new(settings),
                caller: fleet::JobCaller::new(""),
            },
            output: TerminalOutput,
        })
    }

    fn context(&self) -> operator::OperatorContext<'_> {
        operator::OperatorContext {
            log: &self.platform,
            probe: &self.probe,
            output: &self.output,
        }
    }
}

/// Asks the entries on the VM list for their status.
#[derive(Debug)]
struct StatusProbe {
    directory: client::HttpPlatform,
    caller: fleet::JobCaller,
}

#[async_trait::async_trait]
impl operator::in_force::EntryProbe for StatusProbe {
    async fn offsets(
        &self,
    ) -> Result<Vec<operator::in_force::EntryOffset>, operator::in_force::ProbeError> {
        let list = border::VmDirectory::list(&self.directory)
            .await
            .map_err(|_| operator::in_force::ProbeError)?;
        let mut calls = task::JoinSet::new();
        for vm in list.vms {
            let border::VmRole::Entry { api, .. } = vm.role else {
                continue;
            };
            let caller = self.caller.clone();
            calls.spawn(async move {
                let status = caller.status(api, PROBE_LIMIT).await;
                operator::in_force::EntryOffset {
                    vm: names::VmName::new(vm.name),
                    offset: status.ok().map(|status| status.config_offset),
                }
            });
        }
        Ok(calls.join_all().await)
    }
}

/// Results to standard output, progress to standard error.
#[derive(Debug)]
struct TerminalOutput;

impl operator::OperatorOutput for TerminalOutput {
    fn result(&self, line: &str) {
        println!("{line}");
    }

    fn progress(&self, line: &str) {
        eprintln!("{line}");
    }
}
