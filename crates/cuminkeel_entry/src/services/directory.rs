//! Follows the platform's VM list.

use std::{collections, sync, time};

use cuminkeel_dispatch::event;
use cuminkeel_kernel::{error, registry, service};
use cuminkeel_platform::border as platform;
use cuminkeel_types::names as types;
use tokio::{sync as tokio_sync, task};

use super::{mesh, names};
use crate::{backend, core, settings};

/// The service.
#[derive(Debug)]
pub struct DirectoryService {
    settings: sync::Arc<settings::EntrySettings>,
    log: slog::Logger,
    task: tokio_sync::Mutex<Option<task::JoinHandle<()>>>,
}

impl DirectoryService {
    /// A service that is not started.
    pub fn new(settings: sync::Arc<settings::EntrySettings>, log: slog::Logger) -> Self {
        Self {
            settings,
            log,
            task: tokio_sync::Mutex::default(),
        }
    }
}

#[async_trait::async_trait]
impl service::KernelService for DirectoryService {
    fn name(&self) -> service::ServiceName {
        "directory_watch".into()
    }

    async fn start(&self, registry: &registry::ServiceRegistry) -> Result<(), error::ServiceError> {
        let failed = |failure: error::KernelError| error::ServiceError::new(failure);
        let watch = DirectoryWatch {
            directory: registry
                .find::<dyn platform::VmDirectory>(names::DIRECTORY)
                .map_err(failed)?,
            core: registry.find(names::CORE).map_err(failed)?,
            backend: registry.find(names::BACKEND).map_err(failed)?,
            seeds: registry
                .find::<dyn mesh::SeedSink>(names::SEEDS)
                .map_err(failed)?,
            settings: sync::Arc::clone(&self.settings),
            log: self.log.clone(),
            servers: Vec::new(),
        };
        *self.task.lock().await = Some(tokio::spawn(watch.run()));
        Ok(())
    }

    async fn drain(&self, _limit: time::Duration) -> service::DrainReport {
        service::DrainReport::default()
    }

    async fn stop(&self) {
        if let Some(task) = self.task.lock().await.take() {
            task.abort();
        }
    }
}

/// Reads the list again and again.
#[derive(Debug)]
struct DirectoryWatch {
    directory: sync::Arc<dyn platform::VmDirectory>,
    core: sync::Arc<core::CoreHandle>,
    backend: sync::Arc<backend::BackendClient>,
    seeds: sync::Arc<dyn mesh::SeedSink>,
    settings: sync::Arc<settings::EntrySettings>,
    log: slog::Logger,
    servers: Vec<event::ServerRecord>,
}

impl DirectoryWatch {
    async fn run(mut self) {
        let mut available = true;
        loop {
            match self.directory.list().await {
                Ok(list) => {
                    available = true;
                    self.apply(&list).await;
                }
                Err(failure) => {
                    if available {
                        slog::warn!(self.log, "VM list unavailable; keeping the last one"; "error" => %failure);
                    }
                    available = false;
                }
            }
            tokio::time::sleep(self.settings.platform.vm_list_interval).await;
        }
    }

    async fn apply(&mut self, list: &platform::VmList) {
        self.seeds.set_seeds(entry_addresses(list));
        let entries = self.settings.dispatch.seats_per_domain;
        self.backend.set_servers(&server_addresses(list, entries));
        let servers = server_records(list);
        if servers == self.servers {
            return;
        }
        self.servers.clone_from(&servers);
        // A stopped loop has nobody left to tell.
        let _ = self
            .core
            .send(core::CoreMessage::ServersChanged(servers))
            .await;
    }
}

fn entry_addresses(list: &platform::VmList) -> Vec<std::net::SocketAddr> {
    list.vms
        .iter()
        .filter_map(|vm| match &vm.role {
            platform::VmRole::Entry { mesh, .. } => Some(*mesh),
            platform::VmRole::BackendServer { .. } => None,
        })
        .collect()
}

fn server_addresses(
    list: &platform::VmList,
    entries_per_domain: u32,
) -> collections::BTreeMap<types::ServerName, backend::ServerAddress> {
    list.vms
        .iter()
        .filter_map(|vm| match &vm.role {
            platform::VmRole::BackendServer {
                http,
                max_connections,
                ..
            } => {
                let share = max_connections / entries_per_domain.max(1);
                let address = backend::ServerAddress {
                    http: *http,
                    max_connections: usize::try_from(share).unwrap_or(usize::MAX),
                };
                Some((types::ServerName::new(vm.name.clone()), address))
            }
            platform::VmRole::Entry { .. } => None,
        })
        .collect()
}

fn server_records(list: &platform::VmList) -> Vec<event::ServerRecord> {
    list.vms
        .iter()
        .filter_map(|vm| match &vm.role {
            platform::VmRole::BackendServer {
                slots,
                max_size_millicores,
                ..
            } => Some(event::ServerRecord {
                name: types::ServerName::new(vm.name.clone()),
                domain: vm.domain.clone(),
                rack: vm.rack.clone(),
                slots: *slots,
                max_size_millicores: *max_size_millicores,
                leaving: vm.state == platform::VmState::Leaving,
            }),
            platform::VmRole::Entry { .. } => None,
        })
        .collect()
}
