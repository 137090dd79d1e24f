//! `cuminkeel crowd`: opens a crowd of connections that hold requests open.

use std::{process, sync::Arc, time};

use argh::FromArgs;
use cuminkeel::crowd_test;
use platform_emulator::client_crowd;

use crate::error;

/// Open connections that hold requests open at a process of your deployment, and send ordinary calls beside them. Kinds: bodies,
/// body-pieces, large-chunks, small-chunks, tiny-chunks, byte-chunks, long-heads, head-pieces, endless-heads,
/// empty-lines, silent; all of them by default.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "crowd")]
pub(crate) struct CrowdCommand {
    /// kinds of connections
    #[argh(positional)]
    kinds: Vec<String>,
    /// IP and port on which the process serves callers
    #[argh(option)]
    address: String,
    /// host of a route of the configuration
    #[argh(option)]
    host: String,
    /// path prefix of that route
    #[argh(option)]
    path_prefix: String,
    /// number of connections
    #[argh(option, default = "1500")]
    connections: usize,
    /// seconds for which the crowd stays
    #[argh(option, default = "20")]
    seconds: u64,
    /// one kind after the other, with all connections each
    #[argh(switch)]
    in_turns: bool,
    /// print one JSON object instead of a line
    #[argh(switch)]
    json: bool,
}

pub(crate) fn run(command: &CrowdCommand) -> Result<process::ExitCode, error::CommandError> {
    let named = command.kinds.iter().map(|name| {
        client_crowd::CrowdKind::from_name(name)
            .ok_or_else(|| error::CommandError::UnknownCrowd { name: name.clone() })
    });
    let mut kinds = named.collect::<Result<Vec<_>, _>>()?;
    if kinds.is_empty() {
        kinds.extend(client_crowd::CrowdKind::ALL);
    }
    let plan = crowd_test::CrowdTestPlan {
        address: Arc::from(&*command.address),
        route: client_crowd::CallerRoute {
            host: Arc::from(&*command.host),
            path_prefix: Arc::from(&*command.path_prefix),
        },
        kinds,
        order: if command.in_turns {
            crowd_test::CrowdOrder::InTurns
        } else {
            crowd_test::CrowdOrder::Mixed
        },
        connections: command.connections,
        duration: time::Duration::from_secs(command.seconds),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(crowd_test::run(&plan));
    if command.json {
        println!("{}", serde_json::to_string_pretty(&result)?);
    } else {
        println!("{result}");
    }
    Ok(process::ExitCode::SUCCESS)
}
