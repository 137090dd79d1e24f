//! `cuminkeel status`: what an entry sees.

use std::{net, process, time};

use argh::FromArgs;
use cuminkeel_entry::api;
use cuminkeel_standin::fleet;

use crate::error;

/// Show what an entry sees: configuration, members, servers, queues.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusCommand {
    /// address of the entry's interface, such as 127.0.0.1:8080
    #[argh(option)]
    entry: net::SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

const CALL_LIMIT: time::Duration = time::Duration::from_secs(5);

pub(crate) fn run(command: &StatusCommand) -> Result<process::ExitCode, error::CommandError> {
    let caller = fleet::JobCaller::new("");
    let status = super::runtime()?.block_on(caller.status(command.entry, CALL_LIMIT))?;
    if command.json {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print_table(&status);
    }
    Ok(process::ExitCode::SUCCESS)
}

fn print_table(status: &api::StatusBody) {
    let age = status
        .config_age_ms
        .map_or_else(|| "never".to_owned(), |age| format!("{age} ms ago"));
    println!("vm              {}", status.vm);
    println!("failure domain  {}", status.failure_domain);
    println!("incarnation     {}", status.incarnation);
    println!("config offset   {} (newest {age})", status.config_offset);
    println!("seats           {}", status.seats);
    println!("draining        {}", status.draining);
    println!("waiting         {}", status.waiting_requests);
    println!("members         {}", status.members.len());
    for member in &status.members {
        let leaving = if member.leaving { " leaving" } else { "" };
        println!("  {} in {}{leaving}", member.vm, member.failure_domain);
    }
    println!("dispatch        {}", status.dispatch);
    let messages = &status.messages;
    println!(
        "attempts        {} ({} not started, {} lost), {} stops, {} probes",
        messages.attempts, messages.not_started, messages.lost, messages.stops, messages.probes
    );
    for (topic, traffic) in &messages.mesh {
        println!(
            "  mesh {topic:<11} {} messages, {} bytes sent",
            traffic.messages_out, traffic.bytes_out
        );
    }
}
