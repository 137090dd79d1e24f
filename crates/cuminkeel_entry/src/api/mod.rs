//! The callers' HTTP interface, by dropshot.

mod body;
mod endpoints;
mod error;
mod extract;
mod server;
mod submit;

pub use body::{
    CancelBody, ErrorBody, HealthBody, JobBody, JobStateWord, JobSubmission, KeyRequest, KeysBody,
    MemberBody, MessagesBody, StatusBody, TaskSubmission, TrafficBody,
};
pub use error::ApiError;
pub use server::{ApiContext, ApiServer, ApiServerError, openapi_document};
