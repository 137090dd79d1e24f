//! Log lines of one request, collected from the log files of all processes.

use std::{fs, io, path};

use derive_more::{Display, Error};
use serde_json::Value;

/// Error of reading a log file.
#[derive(Debug, Display, Error)]
#[display("can't read log file {}: {source}", path.display())]
pub struct ExplainError {
    /// Path of the file.
    pub path: path::PathBuf,
    /// Error of the file system.
    pub source: io::Error,
}

/// Log line about the request or one of its tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainedLine {
    /// Wall-clock time of the process that wrote the line, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Name of the VM on which that process runs.
    pub node: String,
    /// Message of the line, such as the kind of a decision.
    pub message: String,
    /// Outcome; empty if the line has none.
    pub outcome: String,
    /// All fields of the line.
    pub fields: Value,
}

/// Fields that the table does not show as `KEY=VALUE`: they have a column of their own, are shown
/// without their key, or are left out.
const NON_INPUT_FIELDS: [&str; 8] = [
    "at_ms", "level", "msg", "node", "outcome", "request", "server", "t_ms",
];

/// Reads the lines about `request` from the files, in order of time. Lines that aren't JSON
/// objects are skipped.
///
/// # Errors
///
/// Returns an error if a file can't be read.
pub fn explain(request: &str, files: &[path::PathBuf]) -> Result<Vec<ExplainedLine>, ExplainError> {
    let mut lines = Vec::new();
    for path in files {
        let bytes = fs::read(path).map_err(|source| ExplainError {
            path: path.clone(),
            source,
        })?;
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(|line| parse_line(request, line)));
    }
    // The clocks of the VMs differ by little. The sort is stable, so lines of one process keep
    // their order.
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines)
}

fn parse_line(request: &str, line: &str) -> Option<ExplainedLine> {
    // Log collectors may put their own timestamp and host name before the object.
    let object = line.get(line.find('{')?..)?;
    let fields: Value = serde_json::from_str(object).ok()?;
    let id = fields.get("request")?.as_str()?;
    let matches_request = id == request
        || id
            .strip_prefix(request)
            .is_some_and(|suffix| suffix.starts_with('.'));
    let text = |key: &str| {
        let value = fields.get(key);
        value.and_then(Value::as_str).unwrap_or_default().to_owned()
    };
    matches_request.then(|| ExplainedLine {
        at_ms: fields.get("at_ms").and_then(Value::as_u64).unwrap_or(0),
        node: text("node"),
        message: text("msg"),
        outcome: text("outcome"),
        fields: fields.clone(),
    })
}

/// Renders the lines as a table, with the time since the first line.
pub fn render_table(lines: &[ExplainedLine]) -> String {
    let mut table = String::from(
        "     ms  node                 decision         outcome              inputs\n",
    );
    let first_ms = lines.first().map_or(0, |line| line.at_ms);
    for line in lines {
        let elapsed_ms = line.at_ms.saturating_sub(first_ms);
        let row = format!(
            "{elapsed_ms:>7}  {:20} {:16} {:20} {}\n",
            line.node,
            line.message,
            line.outcome,
            render_inputs(line)
        );
        table.push_str(&row);
    }
    table
}

fn render_inputs(line: &ExplainedLine) -> String {
    let Some(fields) = line.fields.as_object() else {
        return String::new();
    };
    let mut inputs: Vec<String> = ["request", "server"]
        .iter()
        .filter_map(|key| fields.get(*key).and_then(Value::as_str))
        .map(str::to_owned)
        .collect();
    inputs.extend(
        fields
            .iter()
            .filter(|(key, _)| !NON_INPUT_FIELDS.contains(&key.as_str()))
            .map(|(key, value)| format!("{key}={value}")),
    );
    inputs.join(" ")
}
