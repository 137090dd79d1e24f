//! Starts, drains and stops the services of a process.

use std::{sync, time};

use crate::{error, registry, service};

/// What a service left unfinished.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceReport {
    /// The service.
    pub name: service::ServiceName,
    /// What it left.
    pub report: service::DrainReport,
}

/// Runs services in the order in which they were added.
#[derive(Debug)]
pub struct ServiceKernel {
    registry: registry::ServiceRegistry,
    services: Vec<sync::Arc<dyn service::KernelService>>,
    log: slog::Logger,
}

impl ServiceKernel {
    /// A kernel without services.
    pub fn new(log: slog::Logger) -> Self {
        Self {
            registry: registry::ServiceRegistry::default(),
            services: Vec::new(),
            log,
        }
    }

    /// Where the services publish and find their parts.
    pub fn registry(&self) -> &registry::ServiceRegistry {
        &self.registry
    }

    /// Adds a service behind those added before.
    ///
    /// # Errors
    /// [`error::KernelError::NameTaken`].
    pub fn add(
        &mut self,
        service: sync::Arc<dyn service::KernelService>,
    ) -> Result<(), error::KernelError> {
        let name = service.name();
        if self.services.iter().any(|other| other.name() == name) {
            return Err(error::KernelError::NameTaken { name });
        }
        self.services.push(service);
        Ok(())
    }

    /// Starts all services in order. If one fails, stops those before it in reverse.
    ///
    /// # Errors
    /// [`error::KernelError::StartFailed`].
    pub async fn start(&self) -> Result<(), error::KernelError> {
        for (position, service) in self.services.iter().enumerate() {
            let started = service.start(&self.registry).await;
            let Err(source) = started else {
                slog::debug!(self.log, "service started"; "service" => %service.name());
                continue;
            };
            slog::error!(self.log, "service did not start"; "service" => %service.name(), "error" => %source);
            self.stop_first(position).await;
            return Err(error::KernelError::StartFailed {
                name: service.name(),
                source,
            });
        }
        Ok(())
    }

    /// Drains all services in reverse order within `limit` in total, and
    /// returns what each left unfinished.
    pub async fn drain(&self, limit: time::Duration) -> Vec<ServiceReport> {
        let end = tokio::time::Instant::now() + limit;
        let mut reports = Vec::new();
        for service in self.services.iter().rev() {
            let left = end.saturating_duration_since(tokio::time::Instant::now());
            let report = service.drain(left).await;
            slog::info!(self.log, "service drained"; "service" => %service.name(), "unfinished" => report.unfinished);
            reports.push(ServiceReport {
                name: service.name(),
                report,
            });
        }
        reports
    }

    /// Stops all services in reverse order.
    pub async fn stop(&self) {
        self.stop_first(self.services.len()).await;
    }

    async fn stop_first(&self, count: usize) {
        for service in self.services[..count].iter().rev() {
            service.stop().await;
            slog::debug!(self.log, "service stopped"; "service" => %service.name());
        }
    }
}
