//! A control interface for stand-ins that run as a process of their own: rows
//! of the VM list, and what the backend servers started.

use std::{io, net, sync};

use cuminkeel_platform::border;
use http_body_util::BodyExt;
use hyper::body;
use serde::{Deserialize, Serialize};

use crate::{backend, http_listener, platform};

/// What the backend servers did so far.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerSummary {
    /// Starts of tasks.
    pub starts: usize,
    /// Payloads that were started more than once.
    pub doubled: usize,
    /// Tasks running now.
    pub running: usize,
    /// Refusals before a start.
    pub refusals: u64,
}

impl LedgerSummary {
    fn of(ledger: &backend::ledger::StartLedger) -> Self {
        let starts = ledger.starts();
        let by_digest = ledger.starts_by_digest();
        Self {
            running: starts.iter().filter(|start| start.ended.is_none()).count(),
            starts: starts.len(),
            doubled: by_digest.values().filter(|count| **count > 1).count(),
            refusals: ledger.counts().refusals(),
        }
    }
}

/// The control interface. Dropping it ends it.
#[derive(Debug)]
pub struct ControlDesk {
    listener: http_listener::HttpListener,
}

impl ControlDesk {
    /// Starts to listen on `address`.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn start(
        address: net::SocketAddr,
        platform: sync::Arc<platform::PlatformStandin>,
        ledger: sync::Arc<backend::ledger::StartLedger>,
    ) -> io::Result<Self> {
        let settings = http_listener::ListenerSettings {
            address,
            ..http_listener::ListenerSettings::default()
        };
        let handler = sync::Arc::new(ControlHandler { platform, ledger });
        let listener = http_listener::HttpListener::start(settings, handler)?;
        Ok(Self { listener })
    }

    /// Address that is listened on.
    pub fn address(&self) -> net::SocketAddr {
        self.listener.address()
    }
}

#[derive(Debug)]
struct ControlHandler {
    platform: sync::Arc<platform::PlatformStandin>,
    ledger: sync::Arc<backend::ledger::StartLedger>,
}

impl ControlHandler {
    async fn put_vm(&self, body: body::Incoming) -> http::StatusCode {
        let Ok(collected) = body.collect().await else {
            return http::StatusCode::BAD_REQUEST;
        };
        let parsed = serde_json::from_slice::<border::VmRecord>(&collected.to_bytes());
        let Ok(record) = parsed else {
            return http::StatusCode::BAD_REQUEST;
        };
        self.platform.edit_vms(|vms| {
            vms.retain(|vm| vm.name != record.name);
            vms.push(record);
        });
        http::StatusCode::OK
    }
}

#[async_trait::async_trait]
impl http_listener::RequestHandler for ControlHandler {
    async fn handle(
        &self,
        request: http::Request<body::Incoming>,
        _switch: &http_listener::ConnectionSwitch,
    ) -> Result<http_listener::Reply, http_listener::ConnectionReset> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&http::Method::POST, "/vms") => {
                let status = self.put_vm(request.into_body()).await;
                Ok(http_listener::raw_reply(status, "{}"))
            }
            (&http::Method::GET, "/ledger") => {
                let summary = LedgerSummary::of(&self.ledger);
                Ok(http_listener::json_reply(http::StatusCode::OK, &summary))
            }
            _ => Ok(http_listener::raw_reply(http::StatusCode::NOT_FOUND, "{}")),
        }
    }
}
