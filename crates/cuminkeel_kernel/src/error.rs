//! Failures of services and of the kernel.

use std::{error, sync};

use derive_more::{Display, Error};

use crate::service;

/// Why a service could not start.
#[derive(Debug, Display)]
#[display("{cause}")]
pub struct ServiceError {
    /// The service's own typed failure.
    pub cause: Box<dyn error::Error + Send + Sync>,
}

impl ServiceError {
    /// Wraps a service's own failure.
    pub fn new(cause: impl error::Error + Send + Sync + 'static) -> Self {
        Self {
            cause: Box::new(cause),
        }
    }
}

impl error::Error for ServiceError {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        Some(&*self.cause)
    }
}

/// Failures of the kernel.
#[derive(Debug, Display, Error)]
pub enum KernelError {
    /// Two services have one name.
    #[display("two services are named {name}")]
    NameTaken {
        /// The name.
        name: service::ServiceName,
    },
    /// Nothing is published under the name.
    #[display("no service publishes {name}; is it registered before the service that needs it?")]
    NotFound {
        /// The name.
        name: service::ServiceName,
    },
    /// Something else is published under the name.
    #[display("{name} is not a {wanted}")]
    WrongType {
        /// The name.
        name: service::ServiceName,
        /// Type asked for.
        wanted: sync::Arc<str>,
    },
    /// A service failed to start; those before it were stopped.
    #[display("service {name} did not start: {source}")]
    StartFailed {
        /// The service.
        name: service::ServiceName,
        /// Its failure.
        source: ServiceError,
    },
}
