//! Entry point of the `cuminkeel` program: parses the arguments and runs one command.

mod args;
mod commands;
mod error;

use std::process;

fn main() -> process::ExitCode {
    let arguments: args::Arguments = argh::from_env();
    match commands::run(arguments.command) {
        Ok(exit_code) => exit_code,
        Err(error) => {
            eprintln!("cuminkeel: {error}");
            error.exit_code()
        }
    }
}
