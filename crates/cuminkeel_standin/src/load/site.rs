//! The site of one run: platform, backend servers and entries.

use std::{collections, sync, time};

use cuminkeel_config as config;
use cuminkeel_platform::border::{self, LogStore};
use cuminkeel_platform::client;
use cuminkeel_types::names;

use crate::{backend, platform, sync_lock};

use super::{error, fleet, lists, plan};

/// Longest wait for the entries to be ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Time between two looks at the entries.
const READY_POLL: time::Duration = time::Duration::from_millis(50);
/// Time that the entries have after that before jobs arrive, to take their
/// seats in the allowances.
const SETTLE_SPAN: time::Duration = time::Duration::from_secs(2);
/// Servers in a rack.
const SERVERS_PER_RACK: usize = 8;
/// Partner firm of the entries.
const ENTRY_PARTNER: &str = "own";

/// One entry as the site knows it.
#[derive(Clone, Debug)]
pub(super) struct SiteEntry {
    pub(super) vm: names::VmName,
    pub(super) domain: usize,
    pub(super) running: bool,
    pub(super) started: tokio::time::Instant,
    generation: u32,
}

/// Everything that a run talks to.
#[derive(Debug)]
pub(super) struct LoadSite {
    pub(super) plan: plan::SitePlan,
    pub(super) options: plan::LoadOptions,
    pub(super) platform: sync::Arc<platform::PlatformStandin>,
    pub(super) gates: Vec<platform::gate::PlatformGate>,
    pub(super) servers: Vec<backend::BackendStandin>,
    pub(super) ledger: sync::Arc<backend::ledger::StartLedger>,
    pub(super) fleet: sync::Arc<dyn fleet::EntryFleet>,
    pub(super) entries: sync::Mutex<Vec<SiteEntry>>,
    pub(super) leaving: sync::Mutex<collections::HashMap<sync::Arc<str>, time::Duration>>,
    pub(super) faults: sync::Mutex<Vec<String>>,
    config_records: u64,
}

impl LoadSite {
    /// Starts everything and waits until the entries are ready.
    pub(super) async fn start(
        plan: &plan::SitePlan,
        options: plan::LoadOptions,
        edits: &[config::edit::EditRecord],
        fleet: sync::Arc<dyn fleet::EntryFleet>,
    ) -> Result<Self, error::LoadError> {
        let settings = platform::PlatformSettings {
            list_lag: time::Duration::ZERO,
            ..platform::PlatformSettings::default()
        };
        let platform = platform::PlatformStandin::start(settings)?;
        publish(&platform, edits).await?;
        let gates = options
            .deployment
            .domains()
            .iter()
            .map(|_| platform.open_gate())
            .collect::<Result<_, _>>()?;
        let ledger = sync::Arc::<backend::ledger::StartLedger>::default();
        let servers = start_servers(plan, options, &ledger)?;
        let site = Self {
            plan: plan.clone(),
            options,
            platform: sync::Arc::new(platform),
            gates,
            servers,
            ledger,
            fleet,
            entries: sync::Mutex::default(),
            leaving: sync::Mutex::default(),
            faults: sync::Mutex::default(),
            config_records: edits.len() as u64,
        };
        site.list_servers();
        site.start_entries().await?;
        site.wait_ready().await;
        tokio::time::sleep(SETTLE_SPAN).await;
        site.platform.set_list_lag(plan.list_lag);
        Ok(site)
    }

    fn list_servers(&self) {
        let domains = self.options.deployment.domains();
        let rows = self.servers.iter().zip(&self.plan.servers).enumerate().map(
            |(position, (server, plan))| {
                let rack = format!("rack-{}", position / SERVERS_PER_RACK);
                server.vm_record(domains[plan.domain], &rack, plan.partner)
            },
        );
        self.platform.set_vms(rows.collect());
        for server in &self.servers {
            self.platform.add_usage_source(server.usage_source());
        }
    }

    async fn start_entries(&self) -> Result<(), error::LoadError> {
        for domain in 0..self.options.deployment.domains().len() {
            for _ in 0..self.plan.entries_per_domain {
                let position = sync_lock::lock(&self.entries).len();
                self.start_entry(position, domain, 0).await?;
            }
        }
        Ok(())
    }

    /// Starts the entry at a position and lists it.
    pub(super) async fn start_entry(
        &self,
        position: usize,
        domain: usize,
        generation: u32,
    ) -> Result<(), fleet::FleetError> {
        let domain_name = self.options.deployment.domains()[domain];
        let vm = names::VmName::new(format!("entry-{position}-{generation}"));
        let spec = fleet::EntrySpec {
            vm: vm.clone(),
            domain: domain_name.into(),
            rack: "rack-entries".into(),
            platform: self.gates[domain].address(),
        };
        let address = self.fleet.start(spec).await?;
        let entry = SiteEntry {
            vm: vm.clone(),
            domain,
            running: true,
            started: tokio::time::Instant::now(),
            generation,
        };
        let mut entries = sync_lock::lock(&self.entries);
        match entries.get_mut(position) {
            Some(slot) => *slot = entry,
            None => entries.push(entry),
        }
        drop(entries);
        self.platform
            .edit_vms(|vms| vms.push(entry_record(&vm, domain_name, address)));
        Ok(())
    }

    /// Starts a new entry in the place of one that ended.
    pub(super) async fn replace_entry(&self, position: usize) -> Result<(), fleet::FleetError> {
        let old = sync_lock::lock(&self.entries)[position].clone();
        self.start_entry(position, old.domain, old.generation + 1)
            .await
    }

    /// Entries that run now.
    pub(super) fn running(&self) -> Vec<SiteEntry> {
        let entries = sync_lock::lock(&self.entries);
        entries
            .iter()
            .filter(|entry| entry.running)
            .cloned()
            .collect()
    }

    /// Notes a fault of the run itself.
    pub(super) fn note(&self, fault: impl std::fmt::Display) {
        sync_lock::lock(&self.faults).push(fault.to_string());
    }

    async fn wait_ready(&self) {
        let wanted = self.running().len().saturating_sub(1);
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        loop {
            let mut ready = true;
            for entry in self.running() {
                let status = self.fleet.status(&entry.vm).await.unwrap_or_default();
                ready &= status.config_offset >= Some(self.config_records);
                ready &= status.members >= wanted;
            }
            if ready {
                return;
            }
            if tokio::time::Instant::now() >= deadline {
                self.note("the entries were not ready within 10 s");
                return;
            }
            tokio::time::sleep(READY_POLL).await;
        }
    }

    /// Work per second of all servers.
    pub(super) fn capacity(&self) -> f64 {
        let speed = |server: &plan::ServerPlan| f64::from(self.plan.slots) / server.slowness;
        self.plan.servers.iter().map(speed).sum()
    }

    /// Slowness of each slot, of all domains or of one.
    pub(super) fn slot_slowness(&self, domain: Option<usize>) -> Vec<f64> {
        self.plan
            .servers
            .iter()
            .filter(|server| domain.is_none_or(|domain| server.domain == domain))
            .flat_map(|server| (0..self.plan.slots).map(|_| server.slowness))
            .collect()
    }
}

async fn publish(
    platform: &platform::PlatformStandin,
    edits: &[config::edit::EditRecord],
) -> Result<(), error::LoadError> {
    let client = client::HttpPlatform::new(client::PlatformSettings::new(platform.address()));
    for edit in edits {
        let payload = lists::encoded(edit)?;
        client.append(config::EDIT_STREAM, &payload).await?;
    }
    Ok(())
}

fn start_servers(
    plan: &plan::SitePlan,
    options: plan::LoadOptions,
    ledger: &sync::Arc<backend::ledger::StartLedger>,
) -> Result<Vec<backend::BackendStandin>, error::LoadError> {
    let mut servers = Vec::with_capacity(plan.servers.len());
    for (position, server) in plan.servers.iter().enumerate() {
        let settings = backend::BackendSettings {
            name: format!("server-{position}").into(),
            slots: plan.slots,
            max_connections: plan.max_connections,
            max_size_millicores: options.deployment.max_size_millicores(),
            slowness: server.slowness,
            one_way_latency: time::Duration::ZERO,
        };
        servers.push(backend::BackendStandin::start(settings, ledger.clone())?);
    }
    Ok(servers)
}

fn entry_record(
    vm: &names::VmName,
    domain: &str,
    address: fleet::EntryAddress,
) -> border::VmRecord {
    border::VmRecord {
        name: vm.as_str().into(),
        domain: domain.into(),
        rack: "rack-entries".into(),
        partner: ENTRY_PARTNER.into(),
        state: border::VmState::Live,
        role: border::VmRole::Entry {
            mesh: address.mesh,
            api: address.api,
        },
    }
}
