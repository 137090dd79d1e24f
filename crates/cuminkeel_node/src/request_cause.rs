//! Cause of a request's outcome, derived from its log lines alone.

use derive_more::Display;

use crate::explain;

/// Slowdown factor above which a run counts as slow. Callers' estimates, on which expected run
/// times are based, are off by two fifths.
const MIN_SLOWDOWN_FACTOR: u64 = 2;

/// State of the stop of a run, as far as the log lines before the next run of its task show it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum FirstStop {
    /// No stop was ordered.
    #[display("not ordered")]
    NotOrdered,
    /// A stop was ordered, and no line shows that it failed.
    #[display("ordered")]
    Ordered,
    /// A stop got no response or was rejected, or the run was reported after it.
    #[display("unconfirmed")]
    Unconfirmed,
}

/// Cause of a request's outcome.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RequestCause {
    /// No line shows that a process received or answered the request.
    #[display(
        "no log line shows that a process received the request; check that one did, and that it logs at level debug"
    )]
    Unknown,
    /// The process that received the request from its caller logged no answer.
    #[display(
        "the process on {node} received the request and logged no answer; check whether it ended"
    )]
    Unanswered {
        /// Name of the VM on which that process runs.
        node: String,
    },
    /// The request was refused.
    #[display("refused by {node}: {reason}")]
    Refused {
        /// Name of the VM whose process logged the last `refused` line or, without one, the last
        /// `offered` line or the answer.
        node: String,
        /// Logged reason of the refusal.
        reason: String,
    },
    /// A pool refused the request or ended it because its failure domain was evacuated. Another pool
    /// may have run the request.
    #[display(
        "refused or ended by {pool} because its failure domain was evacuated; answer or last refusal: {outcome}"
    )]
    Evacuated {
        /// Name of the VM on which that pool ran.
        pool: String,
        /// Answer to the caller, or the logged reason of the last refusal.
        outcome: String,
    },
    /// A task was placed on two servers, and no line shows that the first run ended before the
    /// second was placed.
    #[display(
        "no log line shows that the run of {task} on {first_server} ended before {node} placed it on {second_server} {after_ms} ms later; servers whose runs it did not know: {unreported}; copies of the request received: {received}; start allowed by: {allowed_by}; stop of the first run: {first_stop}"
    )]
    OverlappingRuns {
        /// Name of the task.
        task: String,
        /// Server on which the task was placed first.
        first_server: String,
        /// Server on which the task was placed next.
        second_server: String,
        /// Name of the VM whose process placed the second run.
        node: String,
        /// Time from the first placement to the second, in ms.
        after_ms: u64,
        /// Number of servers of which the pool did not know the runs when it placed the second.
        unreported: u64,
        /// Number of times that the request was received from its caller.
        received: usize,
        /// Logged outcome of the second placement: what allowed it.
        allowed_by: String,
        /// Logged state of the stop of the first run when the second was placed.
        first_stop: FirstStop,
    },
    /// The server pool that handled the request, or the connection to it, was lost; another pool
    /// continued the request, or none did.
    #[display("the server pool on {pool} was lost while it handled the request")]
    PoolLost {
        /// Name of the VM on which that pool ran.
        pool: String,
    },
    /// Servers crashed under a task of the request, which was given up.
    #[display("given up by {node}, as servers crashed under one of its tasks: {servers}")]
    ServersCrashed {
        /// Name of the VM whose process logged the end.
        node: String,
        /// Names of the servers that were lost with runs of the request, in order of time.
        servers: String,
    },
    /// A run ended before its work was done.
    #[display("a run on {server} ended with outcome {outcome} after {elapsed_ms} ms")]
    RunIncomplete {
        /// Name of the backend server.
        server: String,
        /// Logged outcome of the run.
        outcome: String,
        /// Time from the start order of the run to its end, in ms.
        elapsed_ms: u64,
    },
    /// A run took more than `MIN_SLOWDOWN_FACTOR` times its expected time.
    #[display("a run on {server} took {elapsed_ms} ms instead of the expected {expected_ms} ms")]
    SlowRun {
        /// Name of the backend server.
        server: String,
        /// Time from the start order of the run to its end, in ms.
        elapsed_ms: u64,
        /// Expected time of the run, in ms.
        expected_ms: u64,
    },
    /// The time from the job's arrival to the start order of one of its tasks was longer than its
    /// longest run. Besides waits for capacity, it contains earlier steps and runs of the job.
    #[display("a task was placed {wait_ms} ms after the job arrived, longer than any run took")]
    LatePlacement {
        /// Longest time from the job's arrival to the start order of one of its tasks, in ms.
        wait_ms: u64,
    },
    /// The job failed, and none of its tasks was placed on a server.
    #[display(
        "none of its tasks was placed on a server before {node} ended the job as {outcome}; check that a process of the domain led and that servers were free"
    )]
    NeverPlaced {
        /// Name of the VM whose process logged the end.
        node: String,
        /// Logged end of the job, or the answer.
        outcome: String,
    },
    /// The job failed while runs of its tasks went on.
    #[display("{node} ended the job as {outcome} while {unfinished} of its runs went on")]
    RunsUnfinished {
        /// Name of the VM whose process logged the end.
        node: String,
        /// Logged end of the job, or the answer.
        outcome: String,
        /// Number of runs that were ordered and of which no end is logged.
        unfinished: usize,
    },
    /// The job failed, and no line shows a lost, slow or unfinished run.
    #[display("{node} ended the job as {outcome}, and no log line shows why")]
    FailedOtherwise {
        /// Name of the VM whose process logged the end.
        node: String,
        /// Logged end of the job, or the answer.
        outcome: String,
    },
    /// The job was completed, and no line shows a loss or a delay.
    #[display("no log line shows a loss or a delay")]
    NoneFound,
}

/// Finds the cause of a request's outcome in its lines, which are in order of time. Overlapping
/// runs of a task take precedence over crashed servers, and these over a refusal or a lost pool, then an evacuation, then an incomplete
/// run, then a slow run, then a late placement. A refusal by all pools is due to the evacuation if one
/// of them refused for it. Each outcome other than completed has a cause.
pub fn find_cause(lines: &[explain::ExplainedLine]) -> RequestCause {
    overlapping_runs(lines)
        .or_else(|| crashed_servers(lines))
        .unwrap_or_else(|| find_cause_without_overlap(lines))
}

fn crashed_servers(lines: &[explain::ExplainedLine]) -> Option<RequestCause> {
    let end = lines
        .iter()
        .find(|line| line.message == "job_ended" && line.outcome == "servers_crashed")?;
    let servers: Vec<String> = lines
        .iter()
        .filter(|line| line.message == "run_lost")
        .map(|line| string_field(line, "server"))
        .collect();
    Some(RequestCause::ServersCrashed {
        node: end.node.clone(),
        servers: servers.join(", "),
    })
}

/// Finds the first task that was placed on two servers without a line between them that ends the
/// first run or rejects its start.
fn overlapping_runs(lines: &[explain::ExplainedLine]) -> Option<RequestCause> {
    let mut open_placements: Vec<&explain::ExplainedLine> = Vec::new();
    let received = lines.iter().filter(|line| line.message == "received");
    for line in lines {
        let is_same_task = |placed: &explain::ExplainedLine| {
            string_field(placed, "request") == string_field(line, "request")
        };
        let is_same_server = |placed: &explain::ExplainedLine| {
            string_field(placed, "server") == string_field(line, "server")
        };
        match &*line.message {
            "run_ended" | "start_denied" => {
                open_placements.retain(|placed| !is_same_task(placed) || !is_same_server(placed));
            }
            "placed" => {
                let first = open_placements
                    .iter()
                    .find(|placed| is_same_task(placed) && !is_same_server(placed));
                if let Some(first) = first {
                    return Some(RequestCause::OverlappingRuns {
                        task: string_field(line, "request"),
                        first_server: string_field(first, "server"),
                        second_server: string_field(line, "server"),
                        node: line.node.clone(),
                        after_ms: line.at_ms.saturating_sub(first.at_ms),
                        unreported: u64_field(line, "unreported"),
                        received: received.count(),
                        allowed_by: line.outcome.clone(),
                        first_stop: stop_state(lines, first, line),
                    });
                }
                open_placements.push(line);
            }
            _ => {}
        }
    }
    None
}

/// Returns the state of the stop of the run that `first` placed, as of the line `second`.
fn stop_state(
    lines: &[explain::ExplainedLine],
    first: &explain::ExplainedLine,
    second: &explain::ExplainedLine,
) -> FirstStop {
    let stop_lines: Vec<&str> = lines
        .iter()
        .take_while(|line| !std::ptr::eq(*line, second))
        .skip_while(|line| !std::ptr::eq(*line, first))
        .filter(|line| {
            ["request", "server"]
                .iter()
                .all(|field| string_field(line, field) == string_field(first, field))
        })
        .map(|line| &*line.message)
        .collect();
    match () {
        () if stop_lines.contains(&"stop_unconfirmed") => FirstStop::Unconfirmed,
        () if stop_lines.contains(&"stopping") => FirstStop::Ordered,
        () => FirstStop::NotOrdered,
    }
}

fn find_cause_without_overlap(lines: &[explain::ExplainedLine]) -> RequestCause {
    let last_with_message = |message: &str| lines.iter().rfind(|line| line.message == message);
    let answer_line = last_with_message("answered");
    let pool_loss = lines.iter().find(|line| {
        line.message == "offered" && (line.outcome == "None" || line.outcome.contains("PoolLost"))
    });
    let evacuated_pool = evacuated_pool(lines);
    let incomplete_run = lines
        .iter()
        .find(|line| line.message == "run_ended" && line.outcome != "done");
    let slow_run = lines.iter().find(|line| {
        line.message == "run_ended"
            && u64_field(line, "elapsed_ms") > u64_field(line, "expected_ms") * MIN_SLOWDOWN_FACTOR
    });
    let refusal_line = || last_with_message("refused").or_else(|| last_with_message("offered"));
    match answer_line {
        None => last_with_message("received").map_or(RequestCause::Unknown, |line| {
            RequestCause::Unanswered {
                node: line.node.clone(),
            }
        }),
        Some(answer) if answer.outcome.starts_with("Refused") => {
            let refusal = refusal_line().unwrap_or(answer);
            let (node, reason) = (refusal.node.clone(), refusal.outcome.clone());
            match evacuated_pool {
                Some(pool) => RequestCause::Evacuated {
                    pool,
                    outcome: reason,
                },
                None => RequestCause::Refused { node, reason },
            }
        }
        Some(answer) => match (pool_loss, evacuated_pool, incomplete_run, slow_run) {
            (Some(line), ..) => RequestCause::PoolLost {
                pool: string_field(line, "pool"),
            },
            (None, Some(pool), ..) => RequestCause::Evacuated {
                pool,
                outcome: answer.outcome.clone(),
            },
            (None, None, Some(line), _) => RequestCause::RunIncomplete {
                server: string_field(line, "server"),
                outcome: line.outcome.clone(),
                elapsed_ms: u64_field(line, "elapsed_ms"),
            },
            (None, None, None, Some(line)) => RequestCause::SlowRun {
                server: string_field(line, "server"),
                elapsed_ms: u64_field(line, "elapsed_ms"),
                expected_ms: u64_field(line, "expected_ms"),
            },
            (None, None, None, None) => placement_cause(lines, answer),
        },
    }
}

/// Returns the VM of the first pool that refused the request, or ended it, because of an evacuation. Its
/// own line says so; without its log, the line of the process that offered the request does.
fn evacuated_pool(lines: &[explain::ExplainedLine]) -> Option<String> {
    lines.iter().find_map(|line| match &*line.message {
        "refused" | "job_ended" if line.outcome == "evacuated" => Some(line.node.clone()),
        "offered" if line.outcome.contains("reason: Evacuated") => Some(string_field(line, "pool")),
        _ => None,
    })
}

fn placement_cause(
    lines: &[explain::ExplainedLine],
    answer: &explain::ExplainedLine,
) -> RequestCause {
    let longest = |message: &str, field: &str| {
        lines
            .iter()
            .filter(|line| line.message == message)
            .map(|line| u64_field(line, field))
            .max()
            .unwrap_or(0)
    };
    let line_count = |message: &str| lines.iter().filter(|line| line.message == message).count();
    let wait_ms = longest("placed", "wait_ms");
    let is_completed = answer.outcome == "completed";
    let end = lines
        .iter()
        .rfind(|line| line.message == "job_ended")
        .unwrap_or(answer);
    let (node, outcome) = (end.node.clone(), end.outcome.clone());
    let unfinished = line_count("placed").saturating_sub(line_count("run_ended"));
    match () {
        () if !is_completed && line_count("placed") == 0 => {
            RequestCause::NeverPlaced { node, outcome }
        }
        () if wait_ms > longest("run_ended", "elapsed_ms") => {
            RequestCause::LatePlacement { wait_ms }
        }
        () if is_completed => RequestCause::NoneFound,
        () if unfinished > 0 => RequestCause::RunsUnfinished {
            node,
            outcome,
            unfinished,
        },
        () => RequestCause::FailedOtherwise { node, outcome },
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
