//! Callers: submit jobs over HTTP and follow the resubmission protocol.

use std::{collections, fmt, net, sync, time};

use cuminkeel_types::outcome;
use http_body_util::BodyExt;
use hyper_util::{client::legacy, rt};
use serde::{Deserialize, Serialize};

use crate::{backend, balancer, sync_lock};

use super::{work_body, workload};

/// Submission keys fetched at once.
const KEYS_PER_FETCH: u32 = 50;
/// Submissions of one job at most.
const MAX_SUBMISSIONS: u32 = 4;
/// Wait before a resubmission without a retry time of the entry.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(30);
/// Time after the deadline that a caller still waits for its answer.
const DEADLINE_GRACE: time::Duration = time::Duration::from_secs(1);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

type RequestBody = http_body_util::Full<bytes::Bytes>;

/// Body of `POST /v1/jobs`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SubmitBody {
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Key of a job that is not idempotent.
    pub submission_key: Option<sync::Arc<str>>,
    /// Time for the answer.
    pub deadline_ms: u64,
    /// The tasks.
    pub tasks: Vec<SubmitTask>,
    /// Whether the answer is awaited.
    pub wait: bool,
}

/// A task of [`SubmitBody`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SubmitTask {
    /// Class.
    pub class: &'static str,
    /// Declared size, in thousandths of a core.
    pub size_millicores: u32,
    /// Declared run time.
    pub declared_ms: u64,
    /// Input.
    pub payload: sync::Arc<str>,
}

#[derive(Debug, Deserialize)]
struct JobBody {
    #[serde(default)]
    job: Option<String>,
    #[serde(default)]
    state: Option<String>,
    #[serde(default)]
    outputs: Option<Vec<Option<String>>>,
}

#[derive(Debug, Deserialize)]
struct RefusalBody {
    code: outcome::RefusalCode,
    ran: outcome::RunStatus,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct KeysBody {
    keys: Vec<sync::Arc<str>>,
}

/// What one request led to.
#[derive(Clone, Debug, PartialEq)]
pub enum CallAnswer {
    /// Status 200 with all outputs.
    Complete(Vec<Option<String>>),
    /// The job runs; fetch its answer under this name.
    Pending(String),
    /// A typed refusal or failure.
    Refused {
        /// Reason.
        code: outcome::RefusalCode,
        /// Whether anything ran.
        ran: outcome::RunStatus,
        /// When to try again.
        retry_after: Option<time::Duration>,
    },
    /// No connection could be made.
    NoConnection,
    /// The connection broke after the request may have left.
    Broken,
    /// No answer in time.
    NoAnswer,
    /// An answer that is none of these.
    Malformed(u16),
    /// No entry is offered.
    NoEntry,
}

/// One submission of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Submission {
    /// Payload digests, by task.
    pub digests: Vec<sync::Arc<str>>,
    /// Whether it was refused as not run.
    pub not_run: bool,
}

/// What a job led to in the end.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRecord {
    /// Position of the job in the plan.
    pub job: usize,
    /// Last answer.
    pub answer: CallAnswer,
    /// The submissions, in order.
    pub submissions: Vec<Submission>,
    /// Time from the first request to the last answer.
    pub response: time::Duration,
    /// Time by which the first request left late.
    pub lag: time::Duration,
    /// Ledger time at which a cancellation was acknowledged.
    pub cancelled: Option<time::Duration>,
}

/// Callers of one run.
pub struct CallerPool {
    client: legacy::Client<legacy::connect::HttpConnector, RequestBody>,
    balancer: sync::Arc<balancer::EntryBalancer>,
    ledger: sync::Arc<backend::ledger::StartLedger>,
    api_keys: Vec<sync::Arc<str>>,
    submission_keys: Vec<tokio::sync::Mutex<collections::VecDeque<sync::Arc<str>>>>,
    run_token: u64,
    answers: sync::Mutex<collections::BTreeMap<String, u64>>,
}

impl fmt::Debug for CallerPool {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CallerPool")
            .field("customers", &self.api_keys.len())
            .finish_non_exhaustive()
    }
}

impl CallerPool {
    /// Callers with one API key for each customer.
    pub fn new(
        balancer: sync::Arc<balancer::EntryBalancer>,
        ledger: sync::Arc<backend::ledger::StartLedger>,
        api_keys: Vec<sync::Arc<str>>,
        run_token: u64,
    ) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        let submission_keys = api_keys
            .iter()
            .map(|_| tokio::sync::Mutex::default())
            .collect();
        Self {
            client,
            balancer,
            ledger,
            api_keys,
            submission_keys,
            run_token,
            answers: sync::Mutex::default(),
        }
    }

    /// Answers by kind, over all requests.
    pub fn answer_counts(&self) -> collections::BTreeMap<String, u64> {
        sync_lock::lock(&self.answers).clone()
    }

    /// Submits a job and follows it to its last answer.
    pub async fn run_job(
        &self,
        position: usize,
        job: &workload::JobPlan,
        start: tokio::time::Instant,
    ) -> JobRecord {
        let sent = tokio::time::Instant::now();
        let mut attempt = JobAttempt {
            pool: self,
            position,
            job,
            start,
            submissions: Vec::new(),
            cancelled: None,
            key: None,
            unsettled: false,
        };
        let limit = job.deadline + DEADLINE_GRACE;
        let answer = tokio::time::timeout(limit, attempt.follow(sent))
            .await
            .unwrap_or(CallAnswer::NoAnswer);
        JobRecord {
            job: position,
            answer,
            response: sent.elapsed(),
            lag: sent.saturating_duration_since(start + job.arrival),
            submissions: attempt.submissions,
            cancelled: attempt.cancelled,
        }
    }

    /// Sends one request and reads its answer.
    async fn call(
        &self,
        entry: net::SocketAddr,
        customer: usize,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
    ) -> CallAnswer {
        let answer = match self.exchange(entry, customer, method, path, body).await {
            Ok((status, bytes)) => parsed_answer(status, &bytes),
            Err(answer) => answer,
        };
        self.count(&answer);
        answer
    }

    async fn exchange(
        &self,
        entry: net::SocketAddr,
        customer: usize,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(http::StatusCode, bytes::Bytes), CallAnswer> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(
                http::header::AUTHORIZATION,
                format!("Bearer {}", self.api_keys[customer]),
            )
            .body(RequestBody::from(body))
            .map_err(|_| CallAnswer::NoEntry)?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                self.balancer.mark_unreachable(entry);
                CallAnswer::NoConnection
            } else {
                CallAnswer::Broken
            }
        })?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let bytes = body.map_err(|_| CallAnswer::Broken)?.to_bytes();
        Ok((status, bytes))
    }

    fn count(&self, answer: &CallAnswer) {
        let kind = match answer {
            CallAnswer::Refused { code, ran, .. } => format!("{code}/{ran}"),
            CallAnswer::Complete(_) => "complete".to_owned(),
            CallAnswer::Pending(_) => "pending".to_owned(),
            CallAnswer::Malformed(status) => format!("malformed_{status}"),
            other => format!("{other:?}"),
        };
        *sync_lock::lock(&self.answers).entry(kind).or_insert(0) += 1;
    }

    /// Forgets the keys of a batch of which one was refused: its entry is gone
    /// or leaving.
    async fn drop_keys(&self, customer: usize) {
        self.submission_keys[customer].lock().await.clear();
    }

    /// Takes a submission key, fetching more when none is left.
    async fn submission_key(&self, customer: usize) -> Option<sync::Arc<str>> {
        let mut keys = self.submission_keys[customer].lock().await;
        if keys.is_empty() {
            let entry = self.balancer.pick()?.first;
            let body = format!("{{\"count\":{KEYS_PER_FETCH}}}").into_bytes();
            let fetched = self
                .exchange(entry, customer, http::Method::POST, "/v1/keys", body)
                .await;
            if let Ok((_status, bytes)) = fetched
                && let Ok(body) = serde_json::from_slice::<KeysBody>(&bytes)
            {
                keys.extend(body.keys);
            }
        }
        keys.pop_front()
    }
}

/// One job on its way.
struct JobAttempt<'a> {
    pool: &'a CallerPool,
    position: usize,
    job: &'a workload::JobPlan,
    start: tokio::time::Instant,
    submissions: Vec<Submission>,
    cancelled: Option<time::Duration>,
    key: Option<sync::Arc<str>>,
    unsettled: bool,
}

/// What a caller does after an answer.
enum NextStep {
    Finish,
    Resubmit {
        fresh_key: bool,
        delay: time::Duration,
    },
}

impl JobAttempt<'_> {
    /// Submits until there is a last answer.
    async fn follow(&mut self, sent: tokio::time::Instant) -> CallAnswer {
        let mut submission = 1;
        loop {
            let answer = self.submit(sent).await;
            match Self::next_step(&answer) {
                NextStep::Resubmit { fresh_key, delay }
                    if submission < MAX_SUBMISSIONS
                        && sent.elapsed() + delay < self.job.deadline =>
                {
                    submission += 1;
                    if fresh_key {
                        self.key = None;
                        self.pool.drop_keys(self.job.customer).await;
                    }
                    tokio::time::sleep(delay).await;
                }
                _ => return answer,
            }
        }
    }

    fn next_step(answer: &CallAnswer) -> NextStep {
        use outcome::{RefusalCode, RunStatus};
        match answer {
            // With the same key, if the job is not idempotent.
            CallAnswer::NoConnection | CallAnswer::NoEntry | CallAnswer::Broken => {
                resubmit(false, RETRY_DELAY)
            }
            CallAnswer::Refused {
                code,
                ran: RunStatus::NotRun,
                retry_after,
            } => {
                let delay = retry_after.unwrap_or(RETRY_DELAY);
                match code {
                    RefusalCode::KeyClosed
                    | RefusalCode::KeyInvalid
                    | RefusalCode::KeyUnresolved => resubmit(true, delay),
                    RefusalCode::Draining | RefusalCode::NoConfiguration => resubmit(false, delay),
                    _ => NextStep::Finish,
                }
            }
            CallAnswer::Refused {
                code,
                ran: RunStatus::Unknown,
                retry_after: Some(delay),
            } if is_about_request(*code) => resubmit(false, *delay),
            _ => NextStep::Finish,
        }
    }

    async fn submit(&mut self, sent: tokio::time::Instant) -> CallAnswer {
        if !self.job.idempotent && self.key.is_none() {
            self.key = self.pool.submission_key(self.job.customer).await;
            if self.key.is_none() {
                return CallAnswer::NoConnection;
            }
        }
        let Some(pick) = self.pool.balancer.pick() else {
            return CallAnswer::NoEntry;
        };
        let body = self.body(sent);
        let bytes = serde_json::to_vec(&body).unwrap_or_default();
        let first = self.post(pick.first, bytes.clone());
        let answer = match pick.second.filter(|_| !self.job.idempotent) {
            None => first.await,
            Some(second) => {
                let (first, second) = tokio::join!(first, self.post(second, bytes));
                better_answer(first, second)
            }
        };
        let answer = match answer {
            CallAnswer::Pending(job) => self.fetch(pick.first, &job).await,
            answer => answer,
        };
        let answer = self.settled(answer);
        self.note_not_run(&answer);
        answer
    }

    /// A refusal of one request says nothing of an earlier request with the
    /// same key that got no answer.
    fn settled(&mut self, answer: CallAnswer) -> CallAnswer {
        match answer {
            CallAnswer::Broken | CallAnswer::NoAnswer | CallAnswer::Malformed(_) => {
                self.unsettled = true;
                answer
            }
            CallAnswer::Refused {
                code,
                ran: outcome::RunStatus::NotRun,
                retry_after,
            } if self.unsettled && !self.job.idempotent && is_about_request(code) => {
                CallAnswer::Refused {
                    code,
                    ran: outcome::RunStatus::Unknown,
                    retry_after,
                }
            }
            answer => answer,
        }
    }

    fn note_not_run(&mut self, answer: &CallAnswer) {
        if let Some(submission) = self.submissions.last_mut() {
            submission.not_run = matches!(
                answer,
                CallAnswer::Refused {
                    ran: outcome::RunStatus::NotRun,
                    ..
                }
            );
        }
    }

    async fn post(&self, entry: net::SocketAddr, body: Vec<u8>) -> CallAnswer {
        let customer = self.job.customer;
        self.pool
            .call(entry, customer, http::Method::POST, "/v1/jobs", body)
            .await
    }

    /// The request; what is not idempotent keeps its payloads when it is sent
    /// again under its key, everything else gets new ones.
    fn body(&mut self, sent: tokio::time::Instant) -> SubmitBody {
        let attempt = if self.job.idempotent {
            self.submissions.len()
        } else {
            0
        };
        let tasks: Vec<SubmitTask> = (0..self.job.tasks.len())
            .map(|task| {
                work_body::submit_task(self.pool.run_token, self.position, attempt, task, self.job)
            })
            .collect();
        let digests = tasks
            .iter()
            .map(|task| backend::wire::payload_digest(&task.payload).into())
            .collect();
        self.submissions.push(Submission {
            digests,
            not_run: false,
        });
        let time_left = self.job.deadline.saturating_sub(sent.elapsed());
        SubmitBody {
            idempotent: self.job.idempotent,
            submission_key: self.key.clone(),
            deadline_ms: u64::try_from(time_left.as_millis())
                .unwrap_or(u64::MAX)
                .max(1),
            tasks,
            wait: self.job.cancel_at.is_none(),
        }
    }

    /// Waits for the answer of a job that was not awaited, and cancels it at its time.
    async fn fetch(&mut self, entry: net::SocketAddr, job: &str) -> CallAnswer {
        let cancel_at = self.job.cancel_at.map(|at| self.start + at);
        loop {
            let wait = cancel_at.filter(|_| self.cancelled.is_none());
            let span = wait.map_or(DEADLINE_GRACE, |at| {
                at.saturating_duration_since(tokio::time::Instant::now())
            });
            let wait_ms = span.min(DEADLINE_GRACE).as_millis();
            let path = format!("/v1/jobs/{job}?wait_ms={wait_ms}");
            let answer = self.get(entry, &path).await;
            match answer {
                CallAnswer::Pending(_) => {}
                answer => return answer,
            }
            if wait.is_some_and(|at| at <= tokio::time::Instant::now()) {
                self.cancel(entry, job).await;
            }
        }
    }

    async fn get(&self, entry: net::SocketAddr, path: &str) -> CallAnswer {
        let customer = self.job.customer;
        self.pool
            .call(entry, customer, http::Method::GET, path, Vec::new())
            .await
    }

    async fn cancel(&mut self, entry: net::SocketAddr, job: &str) {
        let customer = self.job.customer;
        let path = format!("/v1/jobs/{job}");
        let deleted = self
            .pool
            .exchange(entry, customer, http::Method::DELETE, &path, Vec::new())
            .await;
        if deleted.is_ok_and(|(status, _)| status.is_success()) {
            self.cancelled = Some(self.pool.ledger.elapsed());
        }
    }
}

/// Whether a code refuses a request before its key is looked at.
const fn is_about_request(code: outcome::RefusalCode) -> bool {
    matches!(
        code,
        outcome::RefusalCode::Busy
            | outcome::RefusalCode::Draining
            | outcome::RefusalCode::NoConfiguration
    )
}

fn resubmit(fresh_key: bool, delay: time::Duration) -> NextStep {
    NextStep::Resubmit { fresh_key, delay }
}

/// Of two answers to the same request, the one that tells more.
fn better_answer(first: CallAnswer, second: CallAnswer) -> CallAnswer {
    let rank = |answer: &CallAnswer| match answer {
        CallAnswer::Complete(_) => 0,
        CallAnswer::Pending(_) => 1,
        CallAnswer::Refused {
            ran: outcome::RunStatus::Ran,
            ..
        } => 2,
        CallAnswer::Refused {
            ran: outcome::RunStatus::Unknown,
            ..
        } => 3,
        CallAnswer::Broken | CallAnswer::NoAnswer | CallAnswer::Malformed(_) => 4,
        CallAnswer::Refused { .. } => 5,
        CallAnswer::NoConnection | CallAnswer::NoEntry => 6,
    };
    if rank(&second) < rank(&first) {
        second
    } else {
        first
    }
}

fn parsed_answer(status: http::StatusCode, bytes: &[u8]) -> CallAnswer {
    if !status.is_success() {
        return match serde_json::from_slice::<RefusalBody>(bytes) {
            Ok(body) => CallAnswer::Refused {
                code: body.code,
                ran: body.ran,
                retry_after: body.retry_after_ms.map(time::Duration::from_millis),
            },
            Err(_) => CallAnswer::Malformed(status.as_u16()),
        };
    }
    match serde_json::from_slice::<JobBody>(bytes) {
        Ok(JobBody {
            outputs: Some(outputs),
            state,
            ..
        }) if state.as_deref().is_none_or(|state| state == "complete") => {
            CallAnswer::Complete(outputs)
        }
        Ok(JobBody { job: Some(job), .. }) => CallAnswer::Pending(job),
        _ => CallAnswer::Malformed(status.as_u16()),
    }
}
