//! Command line of `cuminkeel-node`: parses the arguments and runs one subcommand.

use std::{env, net, path, process::ExitCode, sync::Arc};

use argh::FromArgs;
use cuminkeel_node::{explain, node_tuning, process, request_cause};
use derive_more::{Display, Error, From};
use platform_adapter::settings;

/// Dispatcher process for sub-second jobs, run on an entry VM of the platform.
#[derive(Debug, FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(ServeCommand),
    Check(CheckCommand),
    Explain(ExplainCommand),
}

/// Serve callers until SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
struct ServeCommand {
    /// path of the platform's settings file (default: the path in `$CUMINKEEL_NODE_FILE`)
    #[argh(option)]
    settings: Option<path::PathBuf>,
    /// address at which other processes reach this one, if it differs from the one in the settings
    #[argh(option)]
    advertise: Option<net::SocketAddr>,
    /// path of the YAML tuning file (example: examples/tuning.yaml)
    #[argh(option)]
    tuning: Option<path::PathBuf>,
}

/// Check the platform's settings file or a tuning file, and print the values read.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// path of the platform's settings file (default: the path in `$CUMINKEEL_NODE_FILE`)
    #[argh(option)]
    settings: Option<path::PathBuf>,
    /// path of a YAML tuning file; the settings file is then checked only if --settings is given
    #[argh(option)]
    tuning: Option<path::PathBuf>,
}

/// Show the log lines of one request from the log files of all processes, and the cause of its
/// outcome.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
struct ExplainCommand {
    /// id of the request, as chosen by the caller
    #[argh(positional)]
    request: String,
    /// log files of the processes
    #[argh(positional)]
    files: Vec<path::PathBuf>,
    /// print the log lines as JSON, without the cause
    #[argh(switch)]
    json: bool,
}

#[derive(Debug, Display, Error, From)]
enum CommandError {
    #[display("{_0}")]
    Process(process::ProcessError),
    #[display("{_0}")]
    Settings(settings::SettingsError),
    #[display("{_0}")]
    Tuning(node_tuning::TuningError),
    #[display("can't create the async runtime: {_0}")]
    Runtime(std::io::Error),
    #[display(
        "no settings file given: use --settings or set {}",
        settings::SETTINGS_VARIABLE
    )]
    NoSettings,
    #[display("{_0}")]
    Explain(explain::ExplainError),
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Serve(command) => serve(command),
        Command::Check(command) => check(command),
        Command::Explain(command) => explain_request(&command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cuminkeel-node: {error}");
            ExitCode::FAILURE
        }
    }
}

fn settings_path(given: Option<path::PathBuf>) -> Result<path::PathBuf, CommandError> {
    given
        .or_else(|| env::var_os(settings::SETTINGS_VARIABLE).map(path::PathBuf::from))
        .ok_or(CommandError::NoSettings)
}

fn serve(command: ServeCommand) -> Result<(), CommandError> {
    let path = settings_path(command.settings)?;
    let options = process::StartOptions {
        advertised_address: command
            .advertise
            .map(|address| Arc::from(address.to_string())),
        tuning: read_tuning(command.tuning.as_deref())?,
    };
    // An entry VM has at most one core, so one thread runs all decisions and all I/O.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(process::run(&path, options))?;
    Ok(())
}

fn read_tuning(path: Option<&path::Path>) -> Result<node_tuning::NodeTuning, CommandError> {
    let tuning = path.map(node_tuning::NodeTuning::read).transpose()?;
    Ok(tuning.unwrap_or_default())
}

fn check(command: CheckCommand) -> Result<(), CommandError> {
    if let Some(path) = &command.tuning {
        println!("{:#?}", node_tuning::NodeTuning::read(path)?);
    }
    if command.tuning.is_none() || command.settings.is_some() {
        let path = settings_path(command.settings)?;
        println!("{:#?}", settings::ProcessSettings::read(&path)?);
    }
    Ok(())
}

fn explain_request(command: &ExplainCommand) -> Result<(), CommandError> {
    let lines = explain::explain(&command.request, &command.files)?;
    if command.json {
        for line in &lines {
            println!("{}", line.fields);
        }
    } else {
        print!("{}", explain::render_table(&lines));
        println!("cause: {}", request_cause::find_cause(&lines));
    }
    Ok(())
}
