//! The way of one request, read from the log files of all processes.

use std::{fs, io, path};

use derive_more::{Display, Error};
use serde_json::Value;

/// Why log files can't be read.
#[derive(Debug, Display, Error)]
#[display("can't read log file {}: {source}", path.display())]
pub struct ExplainError {
    /// Path of the file.
    pub path: path::PathBuf,
    /// Error of the file system.
    pub source: io::Error,
}

/// A line that touches the request.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainedLine {
    /// Time of day in Unix ms, as the process that wrote it saw it.
    pub at_ms: u64,
    /// VM of that process.
    pub node: String,
    /// What was decided.
    pub message: String,
    /// Outcome or cause.
    pub outcome: String,
    /// All fields of the line.
    pub fields: Value,
}

/// Names that have columns of their own.
const OWN_COLUMNS: [&str; 8] = [
    "at_ms", "level", "msg", "node", "outcome", "request", "server", "t_ms",
];

/// Lines of the files on `request`, in order of time.
///
/// # Errors
///
/// Fails when a file can't be read. Lines that aren't JSON are passed over.
pub fn explain(request: &str, files: &[path::PathBuf]) -> Result<Vec<ExplainedLine>, ExplainError> {
    let mut lines = Vec::new();
    for path in files {
        let bytes = fs::read(path).map_err(|source| ExplainError {
            path: path.clone(),
            source,
        })?;
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(|line| read_line(request, line)));
    }
    // Clocks of VMs differ by little; lines of one process keep their order.
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines)
}

fn read_line(request: &str, line: &str) -> Option<ExplainedLine> {
    // Collectors may put their own time and name before the object.
    let object = line.get(line.find('{')?..)?;
    let fields: Value = serde_json::from_str(object).ok()?;
    let name = fields.get("request")?.as_str()?;
    let own = name == request
        || name
            .strip_prefix(request)
            .is_some_and(|rest| rest.starts_with('.'));
    let text = |key: &str| {
        let value = fields.get(key);
        value.and_then(Value::as_str).unwrap_or_default().to_owned()
    };
    own.then(|| ExplainedLine {
        at_ms: fields.get("at_ms").and_then(Value::as_u64).unwrap_or(0),
        node: text("node"),
        message: text("msg"),
        outcome: text("outcome"),
        fields: fields.clone(),
    })
}

/// The lines as a table, with the time since the first.
pub fn render_table(lines: &[ExplainedLine]) -> String {
    let mut table =
        String::from("     ms  node                 decision      outcome              inputs\n");
    let first = lines.first().map_or(0, |line| line.at_ms);
    for line in lines {
        let since = line.at_ms.saturating_sub(first);
        let row = format!(
            "{since:>7}  {:20} {:13} {:20} {}\n",
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
            .filter(|(key, _)| !OWN_COLUMNS.contains(&key.as_str()))
            .map(|(key, value)| format!("{key}={value}")),
    );
    inputs.join(" ")
}
