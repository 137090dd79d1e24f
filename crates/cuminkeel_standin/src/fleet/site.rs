//! The whole deployment.

use std::{net, sync, time};

use cuminkeel_config::{edit, record};
use cuminkeel_entry::telemetry;
use cuminkeel_platform::border;
use cuminkeel_types::names;

use super::{caller, entries, error};
use crate::{backend, platform};

/// A backend server of the deployment.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Its failure domain.
    pub domain: sync::Arc<str>,
    /// Its rack.
    pub rack: sync::Arc<str>,
    /// Partner firm that it belongs to.
    pub partner: sync::Arc<str>,
    /// Its settings.
    pub settings: backend::BackendSettings,
}

/// A customer of the deployment, with a plan of its own.
#[derive(Clone, Debug)]
pub struct SiteCustomer {
    /// Its name; its plan has the same.
    pub name: sync::Arc<str>,
    /// Its API key.
    pub api_key: sync::Arc<str>,
    /// Weight of its plan.
    pub weight: u32,
    /// Tasks at once.
    pub max_concurrent_tasks: u32,
    /// Task starts per second.
    pub max_task_starts_per_second: u32,
}

/// What to start.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Settings of the platform.
    pub platform: platform::PlatformSettings,
    /// Failure domains.
    pub domains: Vec<sync::Arc<str>>,
    /// Entries in each failure domain.
    pub entries_per_domain: u32,
    /// Backend servers.
    pub servers: Vec<ServerPlan>,
    /// Customers.
    pub customers: Vec<SiteCustomer>,
    /// Name of the dispatch policy.
    pub policy: sync::Arc<str>,
    /// Weight of response time.
    pub response_weight: u32,
    /// Weight of messages.
    pub message_weight: u32,
    /// Seed of everything that is drawn at random.
    pub seed: u64,
}

/// A running deployment. Dropping it ends the stand-ins.
#[derive(Debug)]
pub struct LoopbackSite {
    /// The platform.
    pub platform: platform::PlatformStandin,
    /// Starts on all backend servers.
    pub ledger: sync::Arc<backend::ledger::StartLedger>,
    /// The backend servers, in the order of the plan.
    pub servers: Vec<backend::BackendStandin>,
    /// The entries.
    pub entries: Vec<entries::FleetEntry>,
    plan: SitePlan,
    log: slog::Logger,
}

/// Longest time for the entries to see the lists, the servers and each other.
const READY_LIMIT: time::Duration = time::Duration::from_secs(20);
/// Pause between two looks.
const READY_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Stream that the operators' edits are appended to.
const EDIT_STREAM: &str = "config";
/// Longest call of the interface.
const CALL_LIMIT: time::Duration = time::Duration::from_secs(2);

impl LoopbackSite {
    /// Starts everything and waits until the entries are ready.
    ///
    /// # Errors
    /// [`error::FleetError`].
    pub async fn start(
        plan: SitePlan,
        traces: telemetry::TraceSource,
        log: slog::Logger,
    ) -> Result<Self, error::FleetError> {
        let platform = platform::PlatformStandin::start(plan.platform)?;
        let ledger = sync::Arc::new(backend::ledger::StartLedger::default());
        let servers = start_servers(&plan, &platform, &ledger)?;
        let mut site = Self {
            platform,
            ledger,
            servers,
            entries: Vec::new(),
            plan,
            log,
        };
        site.write_lists().await?;
        site.publish_servers();
        for plan in site.entry_plans() {
            site.add_entry(plan, traces.clone()).await?;
        }
        site.wait_ready().await?;
        Ok(site)
    }

    /// What the site was started from.
    pub fn plan(&self) -> &SitePlan {
        &self.plan
    }

    /// Starts one more entry and puts it on the VM list.
    ///
    /// # Errors
    /// [`error::FleetError::Entry`].
    pub async fn add_entry(
        &mut self,
        plan: entries::EntryPlan,
        traces: telemetry::TraceSource,
    ) -> Result<(), error::FleetError> {
        let entry = entries::FleetEntry::start(plan, traces, self.log.clone()).await?;
        let record = entry.vm_record();
        self.platform.edit_vms(|vms| {
            vms.retain(|vm| vm.name != record.name);
            vms.push(record);
        });
        self.entries.push(entry);
        Ok(())
    }

    /// Plans of the entries in the order of failure domains.
    pub fn entry_plans(&self) -> Vec<entries::EntryPlan> {
        let mut plans = Vec::new();
        for domain in &self.plan.domains {
            for seat in 0..self.plan.entries_per_domain {
                plans.push(entries::EntryPlan {
                    vm: format!("{domain}-entry-{seat}").into(),
                    domain: sync::Arc::clone(domain),
                    rack: format!("{domain}-rack-{seat}").into(),
                    policy: sync::Arc::clone(&self.plan.policy),
                    response_weight: self.plan.response_weight,
                    message_weight: self.plan.message_weight,
                    seats_per_domain: self.plan.entries_per_domain,
                    domains: self.plan.domains.clone(),
                    platform: self.platform.address(),
                    seed: self
                        .plan
                        .seed
                        .wrapping_mul(1_000)
                        .wrapping_add(u64::try_from(plans.len()).unwrap_or(0)),
                });
            }
        }
        plans
    }

    /// Addresses that callers reach, in the order of entries.
    pub fn api_addresses(&self) -> Vec<net::SocketAddr> {
        self.entries.iter().map(|entry| entry.api).collect()
    }

    /// A caller with a customer's key.
    pub fn caller(&self, customer: &SiteCustomer) -> caller::JobCaller {
        caller::JobCaller::new(&*customer.api_key)
    }

    /// Stops all entries at once.
    pub async fn stop(&self) {
        for entry in &self.entries {
            entry.daemon.stop().await;
        }
    }

    async fn write_lists(&self) -> Result<(), error::FleetError> {
        let platform = cuminkeel_platform::client::PlatformSettings::new(self.platform.address());
        let store = cuminkeel_platform::client::HttpPlatform::new(platform);
        let edits = self.plan.customers.iter().flat_map(customer_edits);
        for (position, edit) in edits.enumerate() {
            let record = edit::EditRecord {
                id: edit::EditId(u128::try_from(position).unwrap_or(0) + 1),
                based_on: edit::RowVersion::default(),
                edit,
            };
            let bytes = record::encode_edit(&record, border::MAX_RECORD_BYTES)?;
            border::LogStore::append(&store, EDIT_STREAM, &bytes).await?;
        }
        Ok(())
    }

    fn publish_servers(&self) {
        let records = self
            .plan
            .servers
            .iter()
            .zip(&self.servers)
            .map(|(plan, server)| server.vm_record(&plan.domain, &plan.rack, &plan.partner))
            .collect();
        self.platform.set_vms(records);
    }

    /// Waits until each entry has the lists, its servers and all other entries.
    ///
    /// # Errors
    /// [`error::FleetError::NotReady`].
    pub async fn wait_ready(&self) -> Result<(), error::FleetError> {
        let end = tokio::time::Instant::now() + READY_LIMIT;
        for entry in &self.entries {
            while !self.is_ready(entry).await {
                if tokio::time::Instant::now() > end {
                    return Err(error::FleetError::NotReady);
                }
                tokio::time::sleep(READY_PAUSE).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, entry: &entries::FleetEntry) -> bool {
        let caller = caller::JobCaller::new("");
        let Ok(status) = caller.status(entry.api, CALL_LIMIT).await else {
            return false;
        };
        let edits = u64::try_from(self.plan.customers.len() * 2).unwrap_or(u64::MAX);
        let has_servers = status
            .dispatch
            .get("servers")
            .and_then(serde_json::Value::as_array)
            .is_some_and(|servers| !servers.is_empty());
        status.config_offset >= edits
            && status.members.len() + 1 == self.entries.len()
            && status.seats > 0
            && has_servers
    }
}

fn start_servers(
    plan: &SitePlan,
    platform: &platform::PlatformStandin,
    ledger: &sync::Arc<backend::ledger::StartLedger>,
) -> Result<Vec<backend::BackendStandin>, error::FleetError> {
    let mut servers = Vec::new();
    for server in &plan.servers {
        let ledger = sync::Arc::clone(ledger);
        let server = backend::BackendStandin::start(server.settings.clone(), ledger)?;
        platform.add_usage_source(server.usage_source());
        servers.push(server);
    }
    Ok(servers)
}

fn customer_edits(customer: &SiteCustomer) -> [edit::ListEdit; 2] {
    let digest = blake3::hash(customer.api_key.as_bytes()).to_hex();
    let plan = names::PlanName::new(sync::Arc::clone(&customer.name));
    [
        edit::ListEdit::PutPlan(edit::PlanDraft {
            name: plan.clone(),
            weight: customer.weight,
            max_concurrent_tasks: customer.max_concurrent_tasks,
            max_task_starts_per_second: customer.max_task_starts_per_second,
            classes: Vec::new(),
        }),
        edit::ListEdit::PutCustomer(edit::CustomerDraft {
            name: names::CustomerName::new(sync::Arc::clone(&customer.name)),
            plan,
            key_digests: vec![digest.to_string()],
        }),
    ]
}
