//! The `cuminkeel` program: reads its arguments and runs one command.

mod args;
mod commands;
mod error;

use std::process;

fn main() -> process::ExitCode {
    let arguments: args::Arguments = argh::from_env();
    match commands::run(arguments.command) {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("cuminkeel: {failure}");
            failure.exit_code()
        }
    }
}
