//! One address of the platform, which can be cut off on its own.

use std::{future, io, net, sync};

use hyper::body;

use super::{PlatformSettings, PlatformStandin, PlatformState, log_service};
use crate::{http_listener, sync_lock};

/// Whether the platform can be reached through a gate.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum GateState {
    /// Requests go through.
    #[default]
    Open,
    /// Requests are read and never answered, as in a network partition.
    Cut,
    /// Connections are reset.
    Reset,
}

/// A running gate. Dropping it closes its port.
#[derive(Debug)]
pub struct PlatformGate {
    listener: http_listener::HttpListener,
    gate_state: sync::Arc<sync::Mutex<GateState>>,
}

impl PlatformGate {
    pub(super) fn open(
        settings: &PlatformSettings,
        state: sync::Arc<PlatformState>,
    ) -> io::Result<Self> {
        let gate_state = sync::Arc::<sync::Mutex<GateState>>::default();
        let handler = GateHandler {
            service: log_service::PlatformService::new(state),
            gate_state: gate_state.clone(),
        };
        let settings = PlatformStandin::listener_settings(settings);
        let listener = http_listener::HttpListener::start(settings, sync::Arc::new(handler))?;
        Ok(Self {
            listener,
            gate_state,
        })
    }

    /// Address of this gate.
    pub fn address(&self) -> net::SocketAddr {
        self.listener.address()
    }

    /// Opens or cuts the gate, also for requests now waiting.
    pub fn set(&self, state: GateState) {
        *sync_lock::lock(&self.gate_state) = state;
    }

    /// Counts of connections.
    pub fn connections(&self) -> &http_listener::ConnectionCounts {
        self.listener.counts()
    }
}

#[derive(Debug)]
struct GateHandler {
    service: log_service::PlatformService,
    gate_state: sync::Arc<sync::Mutex<GateState>>,
}

impl GateHandler {
    /// Holds up or breaks what must not pass.
    async fn pass(&self) -> Result<(), http_listener::ConnectionReset> {
        let state = *sync_lock::lock(&self.gate_state);
        match state {
            GateState::Open => Ok(()),
            GateState::Cut => future::pending().await,
            GateState::Reset => Err(http_listener::ConnectionReset),
        }
    }
}

#[async_trait::async_trait]
impl http_listener::RequestHandler for GateHandler {
    async fn handle(
        &self,
        request: http::Request<body::Incoming>,
        _switch: &http_listener::ConnectionSwitch,
    ) -> Result<http_listener::Reply, http_listener::ConnectionReset> {
        self.pass().await?;
        let reply = self.service.answer(request).await?;
        self.pass().await?;
        Ok(reply)
    }
}
