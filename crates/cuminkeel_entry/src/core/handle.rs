//! The side of the decision loop that other parts of the entry hold.

use std::{sync, time};

use cuminkeel_types::{job, names, outcome};
use derive_more::{Display, Error};
use opentelemetry::Context;
use tokio::sync::{mpsc, oneshot};

use super::message;

/// The loop has ended; nothing was done.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the entry is stopping")]
pub struct CoreStopped;

impl From<CoreStopped> for outcome::Refusal {
    fn from(stopped: CoreStopped) -> Self {
        Self {
            code: outcome::RefusalCode::Internal,
            ran: outcome::RunStatus::Unknown,
            retry_after: None,
            detail: stopped.to_string().into(),
        }
    }
}

/// Receivers for a job that was submitted.
#[derive(Debug)]
pub struct PendingJob {
    /// Yields the job's identity once it was started on this entry.
    pub started: oneshot::Receiver<names::JobId>,
    /// Yields the final answer.
    pub reply: oneshot::Receiver<message::JobReply>,
}

/// Sends messages to the decision loop.
#[derive(Clone, Debug)]
pub struct CoreHandle {
    sender: mpsc::Sender<message::CoreMessage>,
}

impl CoreHandle {
    pub(super) fn new(sender: mpsc::Sender<message::CoreMessage>) -> Self {
        Self { sender }
    }

    /// Queues a message, waiting for room.
    ///
    /// # Errors
    /// [`CoreStopped`].
    pub async fn send(&self, message: message::CoreMessage) -> Result<(), CoreStopped> {
        self.sender.send(message).await.map_err(|_| CoreStopped)
    }

    /// Queues a message that may be dropped when there is no room, as peers'
    /// messages may. Returns whether it was queued.
    pub fn offer(&self, message: message::CoreMessage) -> bool {
        self.sender.try_send(message).is_ok()
    }

    /// Asks for submission keys.
    ///
    /// # Errors
    /// The refusal of the outcome policy.
    pub async fn request_keys(
        &self,
        customer: names::CustomerName,
        count: u32,
    ) -> Result<Vec<sync::Arc<str>>, outcome::Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(message::CoreMessage::RequestKeys {
            customer,
            count,
            reply,
        })
        .await?;
        answer.await.map_err(|_| CoreStopped)?
    }

    /// Submits a job.
    ///
    /// # Errors
    /// [`CoreStopped`]: the job was not taken.
    pub async fn submit(
        &self,
        key: Option<sync::Arc<str>>,
        spec: sync::Arc<job::JobSpec>,
        trace: Context,
    ) -> Result<PendingJob, CoreStopped> {
        let (started_sender, started) = oneshot::channel();
        let (reply_sender, reply) = oneshot::channel();
        self.send(message::CoreMessage::Submit {
            key,
            spec,
            trace,
            started: started_sender,
            reply: reply_sender,
        })
        .await?;
        Ok(PendingJob { started, reply })
    }

    /// Looks at a job; the receiver yields its final answer.
    ///
    /// # Errors
    /// [`CoreStopped`].
    pub async fn look(
        &self,
        customer: names::CustomerName,
        job: names::JobId,
    ) -> Result<
        (
            Option<message::JobView>,
            oneshot::Receiver<outcome::JobAnswer>,
        ),
        CoreStopped,
    > {
        let (finished, answer) = oneshot::channel();
        let (reply, view) = oneshot::channel();
        self.send(message::CoreMessage::Look {
            customer,
            job,
            finished,
            reply,
        })
        .await?;
        let view = view.await.map_err(|_| CoreStopped)?;
        Ok((view, answer))
    }

    /// Cancels a job. Returns whether there is such a job of this customer.
    ///
    /// # Errors
    /// [`CoreStopped`].
    pub async fn cancel(
        &self,
        customer: names::CustomerName,
        job: names::JobId,
    ) -> Result<bool, CoreStopped> {
        let (reply, found) = oneshot::channel();
        self.send(message::CoreMessage::Cancel {
            customer,
            job,
            reply,
        })
        .await?;
        found.await.map_err(|_| CoreStopped)
    }

    /// Cancels the job of a submission key; the receiver yields its final answer.
    ///
    /// # Errors
    /// [`CoreStopped`].
    pub async fn cancel_key(
        &self,
        customer: names::CustomerName,
        key: sync::Arc<str>,
        deadline: time::Duration,
    ) -> Result<oneshot::Receiver<message::JobReply>, CoreStopped> {
        let (reply, answer) = oneshot::channel();
        self.send(message::CoreMessage::CancelKey {
            customer,
            key,
            deadline,
            reply,
        })
        .await?;
        Ok(answer)
    }

    /// Refuses new jobs and waits until the accepted are answered.
    ///
    /// # Errors
    /// [`CoreStopped`].
    pub async fn drain(&self) -> Result<(), CoreStopped> {
        let (finished, done) = oneshot::channel();
        self.send(message::CoreMessage::Drain { finished }).await?;
        done.await.map_err(|_| CoreStopped)
    }

    /// The state of the loop.
    ///
    /// # Errors
    /// [`CoreStopped`].
    pub async fn status(&self) -> Result<message::CoreStatus, CoreStopped> {
        let (reply, status) = oneshot::channel();
        self.send(message::CoreMessage::Status { reply }).await?;
        status.await.map_err(|_| CoreStopped)
    }
}
