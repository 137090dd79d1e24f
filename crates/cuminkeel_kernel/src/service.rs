//! What a service has to offer the kernel.

use std::{fmt, sync, time};

use derive_more::Display;

use crate::{error, registry};

/// Name under which a service is found.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceName(sync::Arc<str>);

impl ServiceName {
    /// Wraps a name.
    pub fn new(name: impl Into<sync::Arc<str>>) -> Self {
        Self(name.into())
    }
}

impl From<&str> for ServiceName {
    fn from(name: &str) -> Self {
        Self::new(name)
    }
}

/// How much of its work a service had to leave when it was drained.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DrainReport {
    /// Pieces of work that were not finished at the limit.
    pub unfinished: usize,
}

/// A part of the process with a life of its own.
#[async_trait::async_trait]
pub trait KernelService: fmt::Debug + Send + Sync {
    /// Name under which it is reported.
    fn name(&self) -> ServiceName;

    /// Begins work and publishes what others may find in `registry`.
    ///
    /// # Errors
    /// The service can't work; the kernel stops the services started before it.
    async fn start(&self, registry: &registry::ServiceRegistry) -> Result<(), error::ServiceError>;

    /// Takes no new work and finishes the accepted, for `limit` at most.
    async fn drain(&self, limit: time::Duration) -> DrainReport;

    /// Ends at once.
    async fn stop(&self);
}
