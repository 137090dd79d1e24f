//! `cuminkeel submit`: run one job with the callers' protocol.

use std::{io::Read, net, process, time};

use argh::FromArgs;
use cuminkeel_entry::api;
use cuminkeel_standin::fleet;

use crate::error;

/// Submit a job through any of the entries, again with the same key when no
/// answer comes, and print its answer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct SubmitCommand {
    /// address of an entry or balancer; repeat for more
    #[argh(option)]
    entry: Vec<net::SocketAddr>,
    /// path of a file that holds the API key
    #[argh(option)]
    api_key_file: String,
    /// path of the job as JSON, or - for standard input
    #[argh(option)]
    job: String,
    /// seconds after which to give up
    #[argh(option, default = "60")]
    timeout: u64,
}

/// Exit status when the job was refused or failed.
const REFUSED_STATUS: u8 = 1;
/// Exit status when it is not known whether the job ran.
const UNKNOWN_STATUS: u8 = 3;

pub(crate) fn run(command: &SubmitCommand) -> Result<process::ExitCode, error::CommandError> {
    let api_key = read_file(&command.api_key_file)?;
    let submission: api::JobSubmission = serde_json::from_str(&read_file(&command.job)?)?;
    let caller = fleet::JobCaller::new(api_key.trim());
    let entries = || command.entry.clone();
    let patience = time::Duration::from_secs(command.timeout);
    let running = fleet::run_job(&caller, &entries, 0, &submission, patience);
    let run = super::runtime()?.block_on(running);
    match run.end {
        fleet::ProtocolEnd::Complete(body) => {
            println!("{}", serde_json::to_string_pretty(&body)?);
            Ok(process::ExitCode::SUCCESS)
        }
        fleet::ProtocolEnd::Refused(body) => {
            println!("{}", serde_json::to_string_pretty(&body)?);
            let unknown = body.ran == "unknown";
            Ok(if unknown {
                UNKNOWN_STATUS
            } else {
                REFUSED_STATUS
            }
            .into())
        }
        fleet::ProtocolEnd::NoAnswer => {
            eprintln!("cuminkeel: no entry gave an answer in time");
            Ok(UNKNOWN_STATUS.into())
        }
    }
}

fn read_file(path: &str) -> Result<String, error::CommandError> {
    let read = match path {
        "-" => {
            let mut text = String::new();
            std::io::stdin().read_to_string(&mut text).map(|_| text)
        }
        path => std::fs::read_to_string(path),
    };
    read.map_err(|source| error::CommandError::File {
        path: path.into(),
        source,
    })
}
