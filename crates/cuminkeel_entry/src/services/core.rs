//! Runs the decision loop and links it with the mesh.

use std::{sync, time};

use cuminkeel_dispatch::{event, factory};
use cuminkeel_kernel::{error, registry, service};
use cuminkeel_mesh::border;
use cuminkeel_outcome::event as outcome_event;
use cuminkeel_types::names as types;
use tokio::{
    sync::{self as tokio_sync, watch},
    task,
};

use super::{allowance, names};
use crate::{backend, clock, config_feed, core, settings, telemetry};

/// Seed of a process's identity and choices.
pub type EntrySeed = [u8; 32];

/// Makes the outcome policy of an entry.
pub trait OutcomeFactory: std::fmt::Debug + Send + Sync {
    /// A policy for this process.
    fn make(
        &self,
        local: &border::MemberRecord,
        settings: &settings::EntrySettings,
        seed: EntrySeed,
    ) -> Box<dyn outcome_event::OutcomePolicy>;
}

/// Makes the product's own outcome policy.
#[derive(Clone, Debug, Default)]
pub struct LedgerFactory;

impl OutcomeFactory for LedgerFactory {
    fn make(
        &self,
        local: &border::MemberRecord,
        settings: &settings::EntrySettings,
        seed: EntrySeed,
    ) -> Box<dyn outcome_event::OutcomePolicy> {
        let secret = settings.mesh.secrets.first().map_or("", |secret| &**secret);
        let settings = cuminkeel_outcome::settings::LedgerSettings::new(
            local.incarnation,
            local.rack.clone(),
            secret.as_bytes(),
        );
        Box::new(cuminkeel_outcome::ledger::OutcomeLedger::new(
            settings, seed,
        ))
    }
}

/// The service.
#[derive(Debug)]
pub struct CoreService {
    settings: sync::Arc<settings::EntrySettings>,
    clock: clock::MonotonicClock,
    traces: telemetry::TraceSource,
    messages: sync::Arc<telemetry::MessageCounters>,
    outcomes: sync::Arc<dyn OutcomeFactory>,
    seed: EntrySeed,
    running: tokio_sync::Mutex<Option<RunningCore>>,
}

#[derive(Debug)]
struct RunningCore {
    handle: core::CoreHandle,
    tasks: Vec<task::JoinHandle<()>>,
}

impl CoreService {
    /// A service that is not started.
    pub fn new(
        settings: sync::Arc<settings::EntrySettings>,
        clock: clock::MonotonicClock,
        traces: telemetry::TraceSource,
        messages: sync::Arc<telemetry::MessageCounters>,
        outcomes: sync::Arc<dyn OutcomeFactory>,
        seed: EntrySeed,
    ) -> Self {
        Self {
            settings,
            clock,
            traces,
            messages,
            outcomes,
            seed,
            running: tokio_sync::Mutex::default(),
        }
    }

    fn policy(
        &self,
        local: &border::MemberRecord,
        desk: &allowance::AllowanceDesk,
    ) -> Result<Box<dyn cuminkeel_dispatch::policy::DispatchPolicy>, factory::PolicyError> {
        let dispatch = &self.settings.dispatch;
        let policy_settings = factory::PolicySettings {
            local: event::SiblingEntry {
                vm: local.vm.clone(),
                incarnation: local.incarnation,
            },
            domain: local.domain.clone(),
            response_weight: f64::from(dispatch.response_weight),
            message_weight: f64::from(dispatch.message_weight),
        };
        let gate = Box::new(desk.gate());
        let seed = u64::from_le_bytes(self.seed[..8].try_into().unwrap_or_default());
        factory::policy_by_name(&dispatch.policy, &policy_settings, gate, seed)
    }
}

#[async_trait::async_trait]
impl service::KernelService for CoreService {
    fn name(&self) -> service::ServiceName {
        names::CORE.into()
    }

    async fn start(&self, registry: &registry::ServiceRegistry) -> Result<(), error::ServiceError> {
        let failed = |failure: error::KernelError| error::ServiceError::new(failure);
        let mesh = registry
            .find::<dyn border::MeshPort>(names::MESH)
            .map_err(failed)?;
        let config = registry
            .find::<dyn config_feed::ConfigSource>(names::CONFIG)
            .map_err(failed)?;
        let desk = registry
            .find::<allowance::AllowanceDesk>(names::ALLOWANCE)
            .map_err(failed)?;
        let local = mesh.local();
        let backend = sync::Arc::new(backend::BackendClient::new(
            self.settings.backend.clone(),
            self.traces.clone(),
            sync::Arc::clone(&self.messages),
        ));
        let parts = core::CoreParts {
            clock: self.clock,
            outcome: self.outcomes.make(&local, &self.settings, self.seed),
            dispatch: self
                .policy(&local, &desk)
                .map_err(error::ServiceError::new)?,
            mesh: sync::Arc::clone(&mesh),
            traces: self.traces.clone(),
            backend: sync::Arc::clone(&backend) as sync::Arc<dyn backend::TaskSender>,
        };
        let (decision_loop, handle) = core::DecisionLoop::new(parts);
        let rejected = link_mesh(&mesh, &handle);
        let tasks = vec![
            tokio::spawn(decision_loop.run()),
            tokio::spawn(feed_terms(config, handle.clone())),
        ];
        registry
            .publish(names::CORE, sync::Arc::new(handle.clone()))
            .map_err(failed)?;
        registry.publish(names::BACKEND, backend).map_err(failed)?;
        registry
            .publish(names::REJECTION, sync::Arc::new(rejected))
            .map_err(failed)?;
        *self.running.lock().await = Some(RunningCore { handle, tasks });
        Ok(())
    }

    async fn drain(&self, limit: time::Duration) -> service::DrainReport {
        let running = self.running.lock().await;
        let Some(running) = running.as_ref() else {
            return service::DrainReport::default();
        };
        let drained = tokio::time::timeout(limit, running.handle.drain()).await;
        if let Ok(Ok(())) = drained {
            return service::DrainReport::default();
        }
        let status = running.handle.status().await.unwrap_or_default();
        service::DrainReport {
            unfinished: status.dispatch.jobs.max(status.waiting_requests),
        }
    }

    async fn stop(&self) {
        if let Some(running) = self.running.lock().await.take() {
            for task in running.tasks {
                task.abort();
            }
        }
    }
}

/// Tells the loop of each change of the lists.
async fn feed_terms(config: sync::Arc<dyn config_feed::ConfigSource>, handle: core::CoreHandle) {
    let mut changes = config.subscribe();
    loop {
        let terms = changes.borrow_and_update().terms();
        let told = handle.send(core::CoreMessage::TermsChanged(terms)).await;
        if told.is_err() || changes.changed().await.is_err() {
            return;
        }
    }
}

/// Links the loop with the mesh; the receiver turns true once the other entries
/// have declared this process gone.
fn link_mesh(
    mesh: &sync::Arc<dyn border::MeshPort>,
    handle: &core::CoreHandle,
) -> watch::Receiver<bool> {
    let (sender, rejected) = watch::channel(false);
    let link = sync::Arc::new(MeshLink {
        mesh: sync::Arc::downgrade(mesh),
        handle: handle.clone(),
        rejected: sender,
    });
    let dispatch = sync::Arc::new(DispatchListener(handle.clone()));
    let outcome = sync::Arc::new(OutcomeListener(handle.clone()));
    mesh.listen(border::MeshTopic::Dispatch, dispatch);
    mesh.listen(border::MeshTopic::Outcome, outcome);
    link.tell_peers();
    mesh.watch(link);
    rejected
}

/// Tells the loop which entries of its failure domain live.
#[derive(Debug)]
struct MeshLink {
    mesh: sync::Weak<dyn border::MeshPort>,
    handle: core::CoreHandle,
    rejected: watch::Sender<bool>,
}

impl MeshLink {
    fn tell_peers(&self) {
        let Some(mesh) = self.mesh.upgrade() else {
            return;
        };
        let domain = mesh.local().domain;
        let members = mesh.members();
        let all = members.iter().map(|member| member.incarnation).collect();
        self.handle.offer(core::CoreMessage::MembersChanged(all));
        let peers = members
            .into_iter()
            .filter(|member| member.domain == domain && !member.leaving)
            .map(|member| outcome_event::PeerEntry {
                vm: member.vm,
                incarnation: member.incarnation,
                rack: member.rack,
            })
            .collect();
        self.handle.offer(core::CoreMessage::PeersChanged(peers));
    }
}

impl border::MemberWatcher for MeshLink {
    fn on_change(&self, event: &border::MemberEvent) {
        if *event == border::MemberEvent::SelfRejected {
            self.rejected.send_replace(true);
        }
        self.tell_peers();
    }
}

#[derive(Debug)]
struct DispatchListener(core::CoreHandle);

impl border::MeshListener for DispatchListener {
    fn on_message(&self, from: &border::MemberRecord, payload: &[u8]) {
        self.0.offer(core::CoreMessage::SiblingMessage {
            from: event::SiblingEntry {
                vm: from.vm.clone(),
                incarnation: from.incarnation,
            },
            payload: payload.to_vec(),
        });
    }
}

#[derive(Debug)]
struct OutcomeListener(core::CoreHandle);

impl border::MeshListener for OutcomeListener {
    fn on_message(&self, from: &border::MemberRecord, payload: &[u8]) {
        let from: types::IncarnationId = from.incarnation;
        self.0.offer(core::CoreMessage::OutcomeMessage {
            from,
            payload: payload.to_vec(),
        });
    }
}
