//! `cuminkeel openapi`: the document of the callers' interface.

use std::process;

use argh::FromArgs;
use cuminkeel_entry::api;

use crate::error;

/// Print the OpenAPI document of the callers' interface.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "openapi")]
pub(crate) struct OpenapiCommand {}

pub(crate) fn run(_command: &OpenapiCommand) -> Result<process::ExitCode, error::CommandError> {
    print!("{}", api::openapi_document()?);
    Ok(process::ExitCode::SUCCESS)
}
