//! The dropshot server.

use std::{net, sync, sync::atomic, time};

use cuminkeel_mesh::{border, transport::counters};
use cuminkeel_types::{names, outcome};
use derive_more::{Display, Error};
use tokio::sync as tokio_sync;

use super::{body, endpoints, extract};
use crate::{clock, config_feed, config_view, core, job_relay, services, settings, telemetry};

/// Time after which a caller should try again when an entry is busy.
const BUSY_RETRY: time::Duration = time::Duration::from_millis(100);

/// What the endpoints need.
#[derive(Debug)]
pub struct ApiContext {
    /// Limits.
    pub settings: settings::ApiSettings,
    /// The decision loop.
    pub core: core::CoreHandle,
    /// The lists in force.
    pub config: sync::Arc<dyn config_feed::ConfigSource>,
    /// Finds jobs that other entries run.
    pub jobs: sync::Arc<job_relay::JobRelay>,
    /// Other entries.
    pub mesh: sync::Arc<dyn border::MeshPort>,
    /// Traffic of the mesh.
    pub mesh_probe: sync::Arc<dyn services::mesh::MeshProbe>,
    /// Counts of messages to backend servers.
    pub messages: sync::Arc<telemetry::MessageCounters>,
    /// Makes spans.
    pub traces: telemetry::TraceSource,
    /// Records metrics.
    pub metrics: telemetry::MetricsSource,
    /// This entry's shares of the allowances.
    pub allowance: sync::Arc<services::allowance::AllowanceDesk>,
    /// The process's clock.
    pub clock: clock::MonotonicClock,
    /// Bounds the requests at once.
    pub permits: tokio_sync::Semaphore,
    /// Whether new jobs are taken.
    pub accepting: atomic::AtomicBool,
}

/// The context as dropshot holds it.
pub(super) type SharedContext = sync::Arc<ApiContext>;

impl ApiContext {
    pub(super) fn admit(
        &self,
        operation: &'static str,
    ) -> Result<tokio_sync::SemaphorePermit<'_>, outcome::Refusal> {
        self.metrics.count_request(operation);
        self.permits.try_acquire().map_err(|_| {
            outcome::Refusal::not_run(
                outcome::RefusalCode::Busy,
                "this entry serves as many requests as it may; try again or use another",
            )
            .retry_after(BUSY_RETRY)
        })
    }

    pub(super) fn view(&self) -> sync::Arc<config_view::ConfigView> {
        self.config.view()
    }

    pub(super) fn authenticate(
        &self,
        headers: &http::HeaderMap,
    ) -> Result<names::CustomerName, outcome::Refusal> {
        let api_key = extract::api_key(headers)?;
        self.view().authenticate(api_key)
    }

    /// Whether the balancer should offer this entry: it has the lists and does
    /// not leave.
    pub(super) fn is_accepting(&self) -> bool {
        self.accepting.load(atomic::Ordering::Acquire) && self.view().lists().offset > 0
    }

    fn message_counts(&self) -> body::MessagesBody {
        let counters = self.mesh_probe.traffic();
        let mesh = counters::TOPICS.iter().map(|topic| {
            let traffic = counters.topic(*topic);
            let body = body::TrafficBody {
                messages_out: traffic.messages_out,
                bytes_out: traffic.bytes_out,
                messages_in: traffic.messages_in,
                bytes_in: traffic.bytes_in,
            };
            (topic.to_string().to_lowercase(), body)
        });
        let backend = self.messages.read();
        body::MessagesBody {
            attempts: backend.attempts,
            not_started: backend.not_started,
            lost: backend.lost,
            stops: backend.stops,
            probes: backend.probes,
            mesh: mesh.collect(),
            mesh_drops: counters.drops.iter().sum(),
        }
    }

    pub(super) fn status_body(&self, core: &core::CoreStatus) -> body::StatusBody {
        let local = self.mesh.local();
        let members = self.mesh.members().iter().map(member_body).collect();
        body::StatusBody {
            vm: local.vm.to_string(),
            failure_domain: local.domain.to_string(),
            incarnation: local.incarnation.to_string(),
            config_offset: self.view().lists().offset,
            config_age_ms: self.config.age().map(millis),
            seats: u64::try_from(self.allowance.usable_seats(self.clock.now())).unwrap_or(0),
            draining: core.draining,
            waiting_requests: u64::try_from(core.waiting_requests).unwrap_or(u64::MAX),
            members,
            dispatch: serde_json::to_value(&core.dispatch).unwrap_or_default(),
            messages: self.message_counts(),
        }
    }
}

impl extract::BodyLimits for SharedContext {
    fn body_timeout(&self) -> time::Duration {
        self.settings.body_timeout
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn member_body(member: &border::MemberRecord) -> body::MemberBody {
    body::MemberBody {
        vm: member.vm.to_string(),
        failure_domain: member.domain.to_string(),
        incarnation: member.incarnation.to_string(),
        leaving: member.leaving,
    }
}

/// Why the interface can't be served.
#[derive(Debug, Display, Error)]
pub enum ApiServerError {
    /// An endpoint's description is at fault.
    #[display("endpoint can't be registered: {source}")]
    Endpoint {
        /// The failure.
        source: dropshot::ApiDescriptionRegisterError,
    },
    /// The server can't listen.
    #[display("can't serve callers: {source}")]
    Listen {
        /// The failure.
        source: dropshot::BuildError,
    },
    /// The document can't be written.
    #[display("can't write the OpenAPI document: {source}")]
    Document {
        /// The failure.
        source: serde_json::Error,
    },
}

/// The running server.
#[derive(derive_more::Debug)]
pub struct ApiServer {
    #[debug("{}", server.local_addr())]
    server: dropshot::HttpServer<SharedContext>,
}

impl ApiServer {
    /// Starts to listen.
    ///
    /// # Errors
    /// [`ApiServerError`].
    pub fn start(context: SharedContext, log: &slog::Logger) -> Result<Self, ApiServerError> {
        let config = dropshot::ConfigDropshot {
            bind_address: context.settings.address,
            default_request_body_max_bytes: context.settings.max_body_bytes,
            // A job goes on when its caller hangs up; only a cancel ends it.
            default_handler_task_mode: dropshot::HandlerTaskMode::Detached,
            ..dropshot::ConfigDropshot::default()
        };
        let tls = context
            .settings
            .tls
            .as_ref()
            .map(|tls| dropshot::ConfigTls::AsFile {
                cert_file: (&*tls.certificate_file).into(),
                key_file: (&*tls.key_file).into(),
            });
        let server = dropshot::ServerBuilder::new(description()?, context, log.clone())
            .config(config)
            .tls(tls)
            .start()
            .map_err(|source| ApiServerError::Listen { source })?;
        Ok(Self { server })
    }

    /// Address that is listened on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.local_addr()
    }

    /// Stops listening and finishes the open requests.
    pub async fn close(self) {
        // The only failure is that of a server that has stopped already.
        let _ = self.server.close().await;
    }
}

fn description() -> Result<dropshot::ApiDescription<SharedContext>, ApiServerError> {
    let mut api = dropshot::ApiDescription::new();
    let registered = api
        .register(endpoints::submit_job)
        .and_then(|()| api.register(endpoints::fetch_job))
        .and_then(|()| api.register(endpoints::cancel_job))
        .and_then(|()| api.register(endpoints::issue_keys))
        .and_then(|()| api.register(endpoints::cancel_key))
        .and_then(|()| api.register(endpoints::health))
        .and_then(|()| api.register(endpoints::status));
    registered.map_err(|source| ApiServerError::Endpoint { source })?;
    Ok(api)
}

/// The OpenAPI document of the interface, as JSON text.
///
/// # Errors
/// [`ApiServerError::Endpoint`] or [`ApiServerError::Document`].
pub fn openapi_document() -> Result<String, ApiServerError> {
    let version = semver::Version::new(1, 0, 0);
    let document = description()?
        .openapi("cuminkeel", version)
        .json()
        .map_err(|source| ApiServerError::Document { source })?;
    let text = serde_json::to_string_pretty(&document)
        .map_err(|source| ApiServerError::Document { source })?;
    Ok(text + "\n")
}
