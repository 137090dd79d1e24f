//! Cause of a request's outcome, derived from its log lines alone.

use derive_more::Display;

use crate::explain;

/// Slowdown factor above which a run counts as slow; estimates are off by two fifths.
const MIN_SLOWDOWN_FACTOR: u64 = 2;

/// Cause of a request's outcome.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RequestCause {
    /// No log line is about the request.
    #[display(
        "no process logged a line about the request; check that one of these processes received it"
    )]
    Unknown,
    /// The process that received the request from its caller logged no answer.
    #[display("{node} received the request and logged no answer; check whether that process ended")]
    Unanswered {
        /// Name of the VM on which that process runs.
        node: String,
    },
    /// The request was refused.
    #[display("refused by {node}: {reason}")]
    Refused {
        /// Name of the VM whose process made the last decision on the request.
        node: String,
        /// Logged reason of the refusal.
        reason: String,
    },
    /// The server pool that handled the request was lost; another pool continued it, or none did.
    #[display("the server pool on {pool} was lost while it handled the request")]
    PoolLost {
        /// Name of the VM on which that pool ran.
        pool: String,
    },
    /// A run ended before its work was done.
    #[display("a run on {server} ended with outcome {outcome} after {elapsed_ms} ms")]
    RunIncomplete {
        /// Name of the backend server.
        server: String,
        /// Logged outcome of the run.
        outcome: String,
        /// Time from the start of the run to its end, in ms.
        elapsed_ms: u64,
    },
    /// A run took more than `MIN_SLOWDOWN_FACTOR` times its expected time.
    #[display("a run on {server} took {elapsed_ms} ms instead of the expected {expected_ms} ms")]
    SlowRun {
        /// Name of the backend server.
        server: String,
        /// Time from the start of the run to its end, in ms.
        elapsed_ms: u64,
        /// Expected time of the run, in ms.
        expected_ms: u64,
    },
    /// A task waited for capacity longer than the longest run took.
    #[display("a task waited {wait_ms} ms for capacity")]
    WaitedForCapacity {
        /// Longest wait of a task, in ms.
        wait_ms: u64,
    },
    /// The request was served, and no line shows a loss or a delay.
    #[display("served without loss or delay")]
    Served,
}

/// Finds the cause of a request's outcome in its lines, which are in order of time. Causes that
/// lose a request take precedence over causes that delay it.
pub fn find_cause(lines: &[explain::ExplainedLine]) -> RequestCause {
    let last_with_message = |message: &str| lines.iter().rfind(|line| line.message == message);
    let answer_line = last_with_message("answered");
    let pool_loss = lines.iter().find(|line| {
        line.message == "offered" && (line.outcome == "None" || line.outcome.contains("PoolLost"))
    });
    let incomplete_run = lines
        .iter()
        .find(|line| line.message == "run_ended" && line.outcome != "done");
    let slow_run = lines.iter().find(|line| {
        line.message == "run_ended"
            && u64_field(line, "elapsed_ms") > u64_field(line, "expected_ms") * MIN_SLOWDOWN_FACTOR
    });
    let last_decision = || last_with_message("refused").or_else(|| last_with_message("offered"));
    match answer_line {
        None => last_with_message("received").map_or(RequestCause::Unknown, |line| {
            RequestCause::Unanswered {
                node: line.node.clone(),
            }
        }),
        Some(answer) if answer.outcome.starts_with("Refused") => {
            let decision = last_decision().unwrap_or(answer);
            RequestCause::Refused {
                node: decision.node.clone(),
                reason: decision.outcome.clone(),
            }
        }
        Some(_) => match (pool_loss, incomplete_run, slow_run) {
            (Some(line), ..) => RequestCause::PoolLost {
                pool: string_field(line, "pool"),
            },
            (None, Some(line), _) => RequestCause::RunIncomplete {
                server: string_field(line, "server"),
                outcome: line.outcome.clone(),
                elapsed_ms: u64_field(line, "elapsed_ms"),
            },
            (None, None, Some(line)) => RequestCause::SlowRun {
                server: string_field(line, "server"),
                elapsed_ms: u64_field(line, "elapsed_ms"),
                expected_ms: u64_field(line, "expected_ms"),
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
            .map(|line| u64_field(line, field))
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

fn u64_field(line: &explain::ExplainedLine, field: &str) -> u64 {
    let value = line.fields.get(field);
    value.and_then(serde_json::Value::as_u64).unwrap_or(0)
}

fn string_field(line: &explain::ExplainedLine, field: &str) -> String {
    let value = line.fields.get(field);
    value
        .and_then(serde_json::Value::as_str)
        .unwrap_or_default()
        .to_owned()
}
