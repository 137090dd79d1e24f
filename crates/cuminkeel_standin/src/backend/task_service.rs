//! Routes of the backend contract.

use std::{future, sync};

use http_body_util::BodyExt;
use hyper::body;

use super::{
    faults::BackendFault,
    server_state::{self, AdmitError, RunEnding},
    wire,
};
use crate::http_listener::{self, ConnectionReset, ConnectionSwitch, Reply};

/// Largest request body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Factor on the run time without a fault.
const NORMAL_FACTOR: f64 = 1.0;

/// Answers the requests of one server.
#[derive(Debug)]
pub(super) struct TaskService {
    state: sync::Arc<server_state::ServerState>,
}

impl TaskService {
    pub(super) fn new(state: sync::Arc<server_state::ServerState>) -> Self {
        Self { state }
    }

    async fn submit(
        &self,
        request: http::Request<body::Incoming>,
        switch: &ConnectionSwitch,
    ) -> Result<Reply, ConnectionReset> {
        let ledger = self.state.ledger();
        ledger.count(|counts| counts.requests += 1);
        let fault = self.state.next_fault();
        if matches!(fault, Some(BackendFault::ResetWhileReading)) {
            ledger.count(|counts| counts.lost_requests += 1);
            return Err(ConnectionReset);
        }
        let Some(body) = task_body(request).await else {
            return Ok(status_reply(http::StatusCode::BAD_REQUEST));
        };
        match fault {
            Some(BackendFault::ResetAfterRead) => {
                ledger.count(|counts| counts.lost_requests += 1);
                Err(ConnectionReset)
            }
            Some(BackendFault::SilentWithoutStart) => {
                ledger.count(|counts| counts.lost_requests += 1);
                future::pending().await
            }
            Some(BackendFault::Refuse(reason)) => Ok(self.refusal(&body, reason)),
            Some(BackendFault::Slow { factor }) => self.start(&body, factor, fault, switch).await,
            _ => self.start(&body, NORMAL_FACTOR, fault, switch).await,
        }
    }

    async fn start(
        &self,
        body: &wire::TaskBody,
        factor: f64,
        fault: Option<BackendFault>,
        switch: &ConnectionSwitch,
    ) -> Result<Reply, ConnectionReset> {
        let running = match self.state.admit(body, factor) {
            Ok(running) => running,
            Err(AdmitError::Refused(reason)) => return Ok(self.refusal(body, reason)),
            Err(AdmitError::Duplicate) => return Ok(self.duplicate(body)),
        };
        if matches!(fault, Some(BackendFault::FailAll)) {
            self.state.fail(&running);
            return Ok(self.failure(body, wire::FailureReason::Failed));
        }
        // Goes on when the caller's connection ends.
        let state = self.state.clone();
        let run = tokio::spawn(async move { state.run(running).await });
        match fault {
            Some(BackendFault::ResetAfterStart) => return Err(ConnectionReset),
            Some(BackendFault::SilentAfterStart) => future::pending().await,
            _ => {}
        }
        let Ok((running, ending)) = run.await else {
            return Err(ConnectionReset);
        };
        match ending {
            RunEnding::Failed => Ok(self.failure(body, wire::FailureReason::Failed)),
            RunEnding::Stopped => Ok(self.failure(body, wire::FailureReason::Stopped)),
            RunEnding::Done => {
                let done = running.done_body(self.state.busy_slots());
                Ok(self.done(done, fault, switch).await)
            }
        }
    }

    async fn done(
        &self,
        mut done: wire::DoneBody,
        fault: Option<BackendFault>,
        switch: &ConnectionSwitch,
    ) -> Reply {
        self.state.ledger().count(|counts| counts.answers += 1);
        match fault {
            Some(BackendFault::AnswerLate { delay }) => tokio::time::sleep(delay).await,
            Some(BackendFault::AnswerTwice) => switch.repeat_answer(),
            Some(BackendFault::AnswerCrossed) => {
                done.task = format!("{}-crossed", done.task).into();
                done.output = wire::payload_digest("another payload");
            }
            Some(BackendFault::AnswerMalformed) => {
                return http_listener::raw_reply(http::StatusCode::OK, "{\"task\": ");
            }
            _ => {}
        }
        http_listener::json_reply(http::StatusCode::OK, &done)
    }

    fn refusal(&self, body: &wire::TaskBody, reason: wire::RefusalReason) -> Reply {
        self.state.ledger().count(|counts| match reason {
            wire::RefusalReason::SlotsFull => counts.refused_full += 1,
            wire::RefusalReason::Leaving => counts.refused_leaving += 1,
            wire::RefusalReason::TooLarge => counts.refused_large += 1,
        });
        let answer = wire::RefusalBody {
            task: body.task.clone(),
            reason,
            busy: self.state.busy_slots(),
        };
        http_listener::json_reply(http::StatusCode::SERVICE_UNAVAILABLE, &answer)
    }

    fn duplicate(&self, body: &wire::TaskBody) -> Reply {
        self.state.ledger().count(|counts| counts.duplicates += 1);
        let answer = failure_body(
            body,
            wire::FailureReason::Duplicate,
            self.state.busy_slots(),
        );
        http_listener::json_reply(http::StatusCode::CONFLICT, &answer)
    }

    fn failure(&self, body: &wire::TaskBody, reason: wire::FailureReason) -> Reply {
        self.state.ledger().count(|counts| counts.answers += 1);
        let answer = failure_body(body, reason, self.state.busy_slots());
        http_listener::json_reply(http::StatusCode::INTERNAL_SERVER_ERROR, &answer)
    }

    fn stop(&self, task: &str) -> Reply {
        self.state.ledger().count(|counts| counts.stops += 1);
        self.state.stop(task);
        status_reply(http::StatusCode::NO_CONTENT)
    }

    fn usage(&self) -> Reply {
        self.state.ledger().count(|counts| counts.usage_reads += 1);
        http_listener::json_reply(http::StatusCode::OK, &self.state.usage())
    }
}

#[async_trait::async_trait]
impl http_listener::RequestHandler for TaskService {
    async fn handle(
        &self,
        request: http::Request<body::Incoming>,
        switch: &ConnectionSwitch,
    ) -> Result<Reply, ConnectionReset> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.strip_prefix("/v1/tasks/")) {
            (&http::Method::POST, None) if path == "/v1/tasks" => {
                self.submit(request, switch).await
            }
            (&http::Method::DELETE, Some(task)) => Ok(self.stop(task)),
            (&http::Method::GET, None) if path == "/v1/usage" => Ok(self.usage()),
            _ => Ok(status_reply(http::StatusCode::NOT_FOUND)),
        }
    }
}

async fn task_body(request: http::Request<body::Incoming>) -> Option<wire::TaskBody> {
    let body = http_body_util::Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

fn failure_body(
    body: &wire::TaskBody,
    reason: wire::FailureReason,
    busy: u32,
) -> wire::FailureBody {
    wire::FailureBody {
        busy,
        task: body.task.clone(),
        reason,
        detail: "stand-in".to_owned(),
    }
}

fn status_reply(status: http::StatusCode) -> Reply {
    http_listener::raw_reply(status, Vec::new())
}
