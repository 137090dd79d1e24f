//! `cuminkeel standin`: stand-ins of the platform and of backend servers.

use std::{net, process, sync};

use argh::FromArgs;
use cuminkeel_standin::{backend, control, platform};
use tokio::signal::unix;

use crate::error;

/// Run stand-ins of the platform and of backend servers until SIGTERM or
/// SIGINT, for trials with entries as processes of their own.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "standin")]
pub(crate) struct StandinCommand {
    /// failure domain; repeat for more
    #[argh(option)]
    domain: Vec<String>,
    /// backend servers in each failure domain
    #[argh(option, default = "3")]
    servers: usize,
    /// tasks at once on each server
    #[argh(option, default = "8")]
    slots: u32,
    /// address of the control interface
    #[argh(
        option,
        default = "net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))"
    )]
    control: net::SocketAddr,
}

pub(crate) fn run(command: &StandinCommand) -> Result<process::ExitCode, error::CommandError> {
    super::runtime()?.block_on(serve(command))
}

async fn serve(command: &StandinCommand) -> Result<process::ExitCode, error::CommandError> {
    let platform = platform::PlatformStandin::start(platform::PlatformSettings::default())?;
    let platform = sync::Arc::new(platform);
    let ledger = sync::Arc::new(backend::ledger::StartLedger::default());
    let mut servers = Vec::new();
    for domain in &command.domain {
        for number in 0..command.servers {
            let settings = backend::BackendSettings {
                name: format!("{domain}-server-{number}").into(),
                slots: command.slots,
                ..backend::BackendSettings::default()
            };
            let server = backend::BackendStandin::start(settings, sync::Arc::clone(&ledger))?;
            let rack = format!("{domain}-rack-{number}");
            let record = server.vm_record(domain, &rack, "partner");
            platform.edit_vms(|vms| vms.push(record));
            platform.add_usage_source(server.usage_source());
            servers.push(server);
        }
    }
    let desk = control::ControlDesk::start(command.control, sync::Arc::clone(&platform), ledger)?;
    let addresses = serde_json::json!({
        "platform": platform.address(),
        "control": desk.address(),
    });
    println!("{addresses}");
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(process::ExitCode::SUCCESS)
}
