//! Real entries as the load tool's fleet, each with a runtime of its own.
//!
//! One thread runs all of an entry. Blocking it suspends the entry as a
//! suspended VM is, and shutting its runtime down ends it as a crash does.

use std::{collections, fmt, net, sync, thread, time};

use cuminkeel_entry::{api, services, telemetry};
use cuminkeel_mesh::{border, transport};
use cuminkeel_types::names;
use tokio::runtime;

use crate::{fleet as loopback, sync_lock};

use super::{deployment, fleet};

/// Longest wait for an entry's status.
const STATUS_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Topics whose messages serve tasks and jobs.
const TASK_TOPICS: [border::MeshTopic; 4] = [
    border::MeshTopic::Dispatch,
    border::MeshTopic::Outcome,
    border::MeshTopic::Allowance,
    border::MeshTopic::Jobs,
];
/// Topics whose messages serve membership and configuration.
const CONTROL_TOPICS: [border::MeshTopic; 2] =
    [border::MeshTopic::Membership, border::MeshTopic::Config];

/// Makes fleets of real entries.
#[derive(Clone, Debug)]
pub struct LoopbackFactory {
    /// The deployment, for its failure domains.
    pub deployment: deployment::Deployment,
    /// Seats for entries in each failure domain.
    pub seats_per_domain: u32,
    /// Logger of the entries.
    pub log: slog::Logger,
}

#[async_trait::async_trait]
impl fleet::FleetFactory for LoopbackFactory {
    async fn open(
        &self,
        settings: fleet::FleetSettings,
    ) -> Result<sync::Arc<dyn fleet::EntryFleet>, fleet::FleetError> {
        Ok(sync::Arc::new(LoopbackFleet {
            factory: self.clone(),
            settings,
            caller: loopback::JobCaller::new(String::new()),
            entries: sync::Mutex::default(),
            isolated: sync::Mutex::default(),
            started: sync::Mutex::default(),
        }))
    }
}

/// One entry and the runtime that it alone uses.
struct LoopbackEntry {
    runtime: runtime::Runtime,
    entry: sync::Arc<loopback::FleetEntry>,
    probe: sync::Arc<dyn services::mesh::MeshProbe>,
}

impl fmt::Debug for LoopbackEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("LoopbackEntry")
            .field("vm", &self.entry.plan.vm)
            .finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct LoopbackFleet {
    factory: LoopbackFactory,
    settings: fleet::FleetSettings,
    caller: loopback::JobCaller,
    entries: sync::Mutex<collections::HashMap<names::VmName, LoopbackEntry>>,
    isolated: sync::Mutex<collections::HashSet<names::FailureDomain>>,
    started: sync::Mutex<u64>,
}

impl LoopbackFleet {
    fn entry_plan(&self, spec: &fleet::EntrySpec) -> loopback::EntryPlan {
        let mut started = sync_lock::lock(&self.started);
        *started += 1;
        let domains = self.factory.deployment.domains();
        loopback::EntryPlan {
            vm: spec.vm.as_str().into(),
            domain: spec.domain.as_str().into(),
            rack: spec.rack.as_str().into(),
            policy: self.settings.policy.clone(),
            response_weight: self.settings.response_weight,
            message_weight: self.settings.message_weight,
            seats_per_domain: self.factory.seats_per_domain,
            domains: domains.into_iter().map(sync::Arc::from).collect(),
            platform: spec.platform,
            seed: self
                .settings
                .seed
                .wrapping_mul(1_000)
                .wrapping_add(*started),
        }
    }

    fn take(&self, vm: &names::VmName) -> Result<LoopbackEntry, fleet::FleetError> {
        let entry = sync_lock::lock(&self.entries).remove(vm);
        entry.ok_or_else(|| no_answer(vm, "not running"))
    }

    /// Cuts every link between a domain that is isolated and another.
    fn set_links(&self) {
        let isolated = sync_lock::lock(&self.isolated).clone();
        let entries = sync_lock::lock(&self.entries);
        for local in entries.values() {
            let cut = entries
                .values()
                .filter(|other| is_cut(&isolated, local, other))
                .map(|other| other.entry.mesh)
                .collect();
            local.probe.cut_links(cut);
        }
    }

    fn reach(
        &self,
        vm: &names::VmName,
    ) -> Option<(net::SocketAddr, sync::Arc<dyn services::mesh::MeshProbe>)> {
        let entries = sync_lock::lock(&self.entries);
        let entry = entries.get(vm)?;
        Some((entry.entry.api, entry.probe.clone()))
    }
}

#[async_trait::async_trait]
impl fleet::EntryFleet for LoopbackFleet {
    async fn start(
        &self,
        spec: fleet::EntrySpec,
    ) -> Result<fleet::EntryAddress, fleet::FleetError> {
        let failed = |detail: String| fleet::FleetError::StartFailed {
            vm: spec.vm.clone(),
            detail: detail.into(),
        };
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .map_err(|error| failed(error.to_string()))?;
        let starting = loopback::FleetEntry::start(
            self.entry_plan(&spec),
            telemetry::TraceSource::off(),
            self.factory.log.clone(),
        );
        let started = runtime.spawn(starting).await;
        let entry = started
            .map_err(|error| failed(error.to_string()))?
            .map_err(|error| failed(error.to_string()))?;
        let probe = entry
            .daemon
            .mesh_probe()
            .map_err(|error| failed(error.to_string()))?;
        let address = fleet::EntryAddress {
            api: entry.api,
            mesh: entry.mesh,
        };
        let running = LoopbackEntry {
            runtime,
            entry: sync::Arc::new(entry),
            probe,
        };
        sync_lock::lock(&self.entries).insert(spec.vm, running);
        self.set_links();
        Ok(address)
    }

    async fn drain(&self, vm: &names::VmName) -> Result<(), fleet::FleetError> {
        let entry = self.take(vm)?;
        let draining = entry.entry.clone();
        let drained = entry
            .runtime
            .spawn(async move { draining.daemon.drain().await })
            .await;
        entry.runtime.shutdown_background();
        drained
            .map(|_reports| ())
            .map_err(|error| no_answer(vm, &error.to_string()))
    }

    async fn kill(&self, vm: &names::VmName) -> Result<(), fleet::FleetError> {
        self.take(vm)?.runtime.shutdown_background();
        Ok(())
    }

    async fn pause(
        &self,
        vm: &names::VmName,
        span: time::Duration,
    ) -> Result<(), fleet::FleetError> {
        let entries = sync_lock::lock(&self.entries);
        let entry = entries
            .get(vm)
            .ok_or_else(|| no_answer(vm, "not running"))?;
        entry.runtime.spawn(async move { thread::sleep(span) });
        Ok(())
    }

    async fn isolate(
        &self,
        domain: &names::FailureDomain,
        isolated: bool,
    ) -> Result<(), fleet::FleetError> {
        let mut domains = sync_lock::lock(&self.isolated);
        if isolated {
            domains.insert(domain.clone());
        } else {
            domains.remove(domain);
        }
        drop(domains);
        self.set_links();
        Ok(())
    }

    async fn status(&self, vm: &names::VmName) -> Result<fleet::EntryStatus, fleet::FleetError> {
        let (api, probe) = self.reach(vm).ok_or_else(|| no_answer(vm, "not running"))?;
        let status = self
            .caller
            .status(api, STATUS_LIMIT)
            .await
            .map_err(|error| no_answer(vm, &error.to_string()))?;
        Ok(entry_status(&status, &probe.traffic()))
    }
}

impl Drop for LoopbackFleet {
    fn drop(&mut self) {
        for (_vm, entry) in sync_lock::lock(&self.entries).drain() {
            entry.runtime.shutdown_background();
        }
    }
}

fn is_cut(
    isolated: &collections::HashSet<names::FailureDomain>,
    local: &LoopbackEntry,
    other: &LoopbackEntry,
) -> bool {
    let domain = |entry: &LoopbackEntry| names::FailureDomain::from(&*entry.entry.plan.domain);
    let (local, other) = (domain(local), domain(other));
    local != other && (isolated.contains(&local) || isolated.contains(&other))
}

fn no_answer(vm: &names::VmName, detail: &str) -> fleet::FleetError {
    fleet::FleetError::NoAnswer {
        vm: vm.clone(),
        detail: detail.into(),
    }
}

fn entry_status(
    status: &api::StatusBody,
    traffic: &transport::counters::MeshCounters,
) -> fleet::EntryStatus {
    let task_messages = TASK_TOPICS
        .iter()
        .map(|topic| {
            let name = format!("{topic:?}").to_lowercase();
            (name, traffic.topic(*topic).messages_out)
        })
        .collect();
    let control = CONTROL_TOPICS.map(|topic| traffic.topic(topic));
    fleet::EntryStatus {
        config_offset: Some(status.config_offset).filter(|offset| *offset > 0),
        members: status.members.len(),
        task_messages,
        control_messages: control.iter().map(|topic| topic.messages_out).sum(),
        control_bytes: control
            .iter()
            .map(|topic| topic.bytes_out + topic.bytes_in)
            .sum(),
    }
}
