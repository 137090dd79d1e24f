//! Checked settings of an entry, read from YAML.
//!
//! [`parse`] reports every error at once, each with its line and column.

pub mod error;
mod node;
mod reader;
mod schema;

pub use schema::{
    ApiSettings, BackendSettings, DispatchSettings, EntrySettings, LogFormat, LogLevel,
    LogSettings, MeshSettings, PlatformSettings, TelemetrySettings, TlsSettings,
};

/// Reads settings from YAML text.
///
/// # Errors
/// [`error::SettingsError`] with all errors found, in the order of their lines.
pub fn parse(text: &str) -> Result<EntrySettings, error::SettingsError> {
    let root = node::parse(text)?;
    let mut reader = reader::SettingsReader::default();
    let settings = schema::read(&mut reader, &root);
    match settings {
        Some(settings) if reader.is_clean() => Ok(settings),
        _ => Err(reader.into_error()),
    }
}
