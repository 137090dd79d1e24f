//! Looks up and cancels jobs that another entry runs.
//!
//! A balancer sends each request to any entry, so an entry that is asked for
//! another's job passes the question on. Questions may be lost: they are
//! repeated, and both kinds may be answered twice without harm.

use std::{collections, sync, sync::atomic, time};

use cuminkeel_mesh::border;
use cuminkeel_types::{names, outcome};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{core, job_handle};

/// Version of the messages.
const FORMAT: u8 = 1;
/// Time between two sendings of one question.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time for a question that does not wait for the job.
const ANSWER_MARGIN: time::Duration = time::Duration::from_secs(1);

/// What is asked about a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobInquiry {
    /// Its state, waiting for its answer up to this time.
    Fetch(time::Duration),
    /// To cancel it.
    Cancel,
}

/// What is known of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobFinding {
    /// No such job of this customer.
    Unknown,
    /// Not answered yet.
    Running,
    /// Answered whole.
    Complete(Vec<sync::Arc<str>>),
    /// Refused or failed.
    Failed(outcome::Refusal),
    /// Will be cancelled.
    Cancelling,
}

#[derive(Debug, Deserialize, Serialize)]
enum RelayMessage {
    Ask {
        number: u64,
        customer: names::CustomerName,
        job: names::JobId,
        inquiry: JobInquiry,
    },
    Tell {
        number: u64,
        finding: JobFinding,
    },
}

impl From<outcome::JobAnswer> for JobFinding {
    fn from(answer: outcome::JobAnswer) -> Self {
        match answer {
            outcome::JobAnswer::Complete { outputs } => Self::Complete(outputs),
            outcome::JobAnswer::Failed(refusal) => Self::Failed(refusal),
        }
    }
}

/// Asks this entry's decision loop or another entry about jobs.
#[derive(Debug)]
pub struct JobRelay {
    mesh: sync::Arc<dyn border::MeshPort>,
    core: core::CoreHandle,
    next_number: atomic::AtomicU64,
    questions: sync::Mutex<collections::HashMap<u64, oneshot::Sender<JobFinding>>>,
}

impl JobRelay {
    /// A relay that also answers other entries' questions.
    pub fn start(
        mesh: &sync::Arc<dyn border::MeshPort>,
        core: core::CoreHandle,
    ) -> sync::Arc<Self> {
        let relay = sync::Arc::new(Self {
            mesh: sync::Arc::clone(mesh),
            core,
            next_number: atomic::AtomicU64::new(0),
            questions: sync::Mutex::default(),
        });
        let listener = RelayListener(sync::Arc::downgrade(&relay));
        mesh.listen(border::MeshTopic::Jobs, sync::Arc::new(listener));
        relay
    }

    /// Asks whoever runs the job.
    pub async fn ask(
        &self,
        customer: names::CustomerName,
        handle: job_handle::JobHandle,
        inquiry: JobInquiry,
    ) -> JobFinding {
        if handle.owner == self.mesh.local().incarnation {
            return self.ask_core(customer, handle.job, inquiry).await;
        }
        self.ask_peer(customer, handle, inquiry).await
    }

    async fn ask_core(
        &self,
        customer: names::CustomerName,
        job: names::JobId,
        inquiry: JobInquiry,
    ) -> JobFinding {
        match inquiry {
            JobInquiry::Fetch(wait) => self.fetch(customer, job, wait).await,
            JobInquiry::Cancel => match self.core.cancel(customer, job).await {
                Ok(true) => JobFinding::Cancelling,
                Ok(false) => JobFinding::Unknown,
                Err(stopped) => JobFinding::Failed(stopped.into()),
            },
        }
    }

    async fn fetch(
        &self,
        customer: names::CustomerName,
        job: names::JobId,
        wait: time::Duration,
    ) -> JobFinding {
        let (view, answer) = match self.core.look(customer, job).await {
            Ok(looked) => looked,
            Err(stopped) => return JobFinding::Failed(stopped.into()),
        };
        match view {
            None => JobFinding::Unknown,
            Some(core::JobView::Finished(answer)) => answer.into(),
            Some(core::JobView::Running) => match tokio::time::timeout(wait, answer).await {
                Ok(Ok(answer)) => answer.into(),
                Ok(Err(_)) => JobFinding::Failed(core::CoreStopped.into()),
                Err(_) => JobFinding::Running,
            },
        }
    }

    async fn ask_peer(
        &self,
        customer: names::CustomerName,
        handle: job_handle::JobHandle,
        inquiry: JobInquiry,
    ) -> JobFinding {
        let number = self.next_number.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, mut finding) = oneshot::channel();
        self.lock_questions().insert(number, sender);
        let message = RelayMessage::Ask {
            number,
            customer,
            job: handle.job,
            inquiry,
        };
        let limit = match inquiry {
            JobInquiry::Fetch(wait) => wait + ANSWER_MARGIN,
            JobInquiry::Cancel => ANSWER_MARGIN,
        };
        let repeating = async {
            loop {
                if !self.send(handle.owner, &message) {
                    return JobFinding::Unknown;
                }
                let told = tokio::time::timeout(REPEAT_INTERVAL, &mut finding).await;
                if let Ok(told) = told {
                    return told.unwrap_or(JobFinding::Unknown);
                }
            }
        };
        let found = tokio::time::timeout(limit, repeating).await;
        self.lock_questions().remove(&number);
        found.unwrap_or(JobFinding::Unknown)
    }

    /// Sends a message; false if the receiver is no member.
    fn send(&self, to: names::IncarnationId, message: &RelayMessage) -> bool {
        let Ok(payload) = postcard::to_stdvec(&(FORMAT, message)) else {
            return false;
        };
        let sent = self.mesh.send(to, border::MeshTopic::Jobs, payload);
        !matches!(sent, Err(border::MeshError::UnknownMember))
    }

    fn lock_questions(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<u64, oneshot::Sender<JobFinding>>> {
        self.questions
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn take(self: sync::Arc<Self>, from: names::IncarnationId, payload: &[u8]) {
        let Ok((FORMAT, message)) = postcard::from_bytes::<(u8, RelayMessage)>(payload) else {
            return;
        };
        match message {
            RelayMessage::Ask {
                number,
                customer,
                job,
                inquiry,
            } => {
                tokio::spawn(async move {
                    let finding = self.ask_core(customer, job, inquiry).await;
                    self.send(from, &RelayMessage::Tell { number, finding });
                });
            }
            RelayMessage::Tell { number, finding } => {
                if let Some(question) = self.lock_questions().remove(&number) {
                    // An asker that is gone has stopped waiting.
                    let _ = question.send(finding);
                }
            }
        }
    }
}

#[derive(Debug)]
struct RelayListener(sync::Weak<JobRelay>);

impl border::MeshListener for RelayListener {
    fn on_message(&self, from: &border::MemberRecord, payload: &[u8]) {
        if let Some(relay) = self.0.upgrade() {
            relay.take(from.incarnation, payload);
        }
    }
}
