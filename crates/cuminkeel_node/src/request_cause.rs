//! Why a request ended as it did, from its log lines alone.

use derive_more::Display;

use crate::explain;

/// A run counts as slow from this many times its expected time on: estimates are off by two
/// fifths.
const SLOW_FACTOR: u64 = 2;

/// What decided how a request ended.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RequestCause {
    /// No line on it.
    #[display("no process wrote a line on it; was it sent to one of these?")]
    Unknown,
    /// The process that had its caller wrote no answer.
    #[display("{node} took it and wrote no answer; look for the end of that process")]
    Unanswered {
        /// VM of the process.
        node: String,
    },
    /// Turned away.
    #[display("refused by {node}: {reason}")]
    Refused {
        /// VM of the process that decided it last.
        node: String,
        /// Reason as logged.
        reason: String,
    },
    /// The pool that had it was lost, and another went on with it, or none.
    #[display("the pool on {pool} was lost while it had the request")]
    PoolLost {
        /// VM of that pool.
        pool: String,
    },
    /// A run ended without its work done.
    #[display("a run on {server} ended as {end} after {elapsed_ms} ms")]
    RunIncomplete {
        /// The backend server.
        server: String,
        /// How the run ended.
        end: String,
        /// Its age.
        elapsed_ms: u64,
    },
    /// A run took far longer than expected.
    #[display("a run on {server} took {elapsed_ms} ms where {expected_ms} were expected")]
    SlowRun {
        /// The backend server.
        server: String,
        /// Its time.
        elapsed_ms: u64,
        /// What was expected.
        expected_ms: u64,
    },
    /// It waited for room longer than it ran.
    #[display("it waited {wait_ms} ms for room")]
    WaitedForCapacity {
        /// Longest wait of a task.
        wait_ms: u64,
    },
    /// Nothing stands out.
    #[display("served without a hitch")]
    Served,
}

/// The cause, from the lines of one request in order of time. What loses a request goes
/// before what delays it.
pub fn find_cause(lines: &[explain::ExplainedLine]) -> RequestCause {
    let last_of = |message: &str| lines.iter().rfind(|line| line.message == message);
    let answered = last_of("answered");
    let lost_pool = lines.iter().find(|line| {
        line.message == "offered" && (line.outcome == "None" || line.outcome.contains("PoolLost"))
    });
    let lost_run = lines
        .iter()
        .find(|line| line.message == "run_ended" && line.outcome != "done");
    let slow_run = lines.iter().find(|line| {
        line.message == "run_ended"
            && number(line, "elapsed_ms") > number(line, "expected_ms") * SLOW_FACTOR
    });
    let refused = || last_of("refused").or_else(|| last_of("offered"));
    match answered {
        None => {
            last_of("received").map_or(RequestCause::Unknown, |line| RequestCause::Unanswered {
                node: line.node.clone(),
            })
        }
        Some(answer) if answer.outcome.starts_with("Refused") => {
            let decided = refused().unwrap_or(answer);
            RequestCause::Refused {
                node: decided.node.clone(),
                reason: decided.outcome.clone(),
            }
        }
        Some(_) => match (lost_pool, lost_run, slow_run) {
            (Some(line), ..) => RequestCause::PoolLost {
                pool: text(line, "pool"),
            },
            (None, Some(line), _) => RequestCause::RunIncomplete {
                server: text(line, "server"),
                end: line.outcome.clone(),
                elapsed_ms: number(line, "elapsed_ms"),
            },
            (None, None, Some(line)) => RequestCause::SlowRun {
                server: text(line, "server"),
                elapsed_ms: number(line, "elapsed_ms"),
                expected_ms: number(line, "expected_ms"),
            },
            (None, None, None) => longest_wait(lines),
        },
    }
}

fn longest_wait(lines: &[explain::ExplainedLine]) -> RequestCause {
    let longest = |message: &str, field: &str| {
        lines
            .iter()
            .filter(|line| line.message == message)
            .map(|line| number(line, field))
            .max()
            .unwrap_or(0)
    };
    let wait_ms = longest("placed", "wait_ms");
    if wait_ms > longest("run_ended", "elapsed_ms") {
        RequestCause::WaitedForCapacity { wait_ms }
    } else {
        RequestCause::Served
    }
}

fn number(line: &explain::ExplainedLine, field: &str) -> u64 {
    let value = line.fields.get(field);
    value.and_then(serde_json::Value::as_u64).unwrap_or(0)
}

fn text(line: &explain::ExplainedLine, field: &str) -> String {
    let value = line.fields.get(field);
    value
        .and_then(serde_json::Value::as_str)
        .unwrap_or_default()
        .to_owned()
}
