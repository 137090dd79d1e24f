//! A fleet of minimal entries that spray tasks at random, and can be told to
//! break a promise, so that the load tool has something to find.

use std::{collections, net, sync, sync::atomic, time};

use cuminkeel_platform::border::{self, LogStore, VmDirectory};
use cuminkeel_platform::client;
use cuminkeel_standin::backend::wire;
use cuminkeel_standin::http_listener::{self, ConnectionReset, ConnectionSwitch, Reply};
use cuminkeel_standin::load::fleet;
use cuminkeel_types::names;
use http_body_util::BodyExt;
use hyper_util::{client::legacy, rt};
use serde_json::json;

/// Numbers that one entry may give to jobs and keys.
const NUMBERS_PER_ENTRY: u64 = 1 << 32;
/// First number of the next entry.
static FIRST_NUMBERS: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// The promise that the entries break.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lie {
    None,
    StartsTwice,
    RefusesAfterStart,
    LeavesOutOutputs,
    SwapsOutputs,
}

#[derive(Debug)]
pub struct ToyFactory(pub Lie);

#[derive(Debug, Default)]
struct Members {
    running: sync::Mutex<collections::HashMap<names::VmName, ToyEntry>>,
}

#[derive(Debug)]
struct ToyEntry {
    _listener: http_listener::HttpListener,
    platform: sync::Arc<client::HttpPlatform>,
}

#[derive(Debug)]
struct ToyFleet {
    lie: Lie,
    members: Members,
}

#[async_trait::async_trait]
impl fleet::FleetFactory for ToyFactory {
    async fn open(
        &self,
        _settings: fleet::FleetSettings,
    ) -> Result<sync::Arc<dyn fleet::EntryFleet>, fleet::FleetError> {
        Ok(sync::Arc::new(ToyFleet {
            lie: self.0,
            members: Members::default(),
        }))
    }
}

impl ToyFleet {
    fn end(&self, vm: &names::VmName) {
        self.members.running.lock().expect("lock").remove(vm);
    }
}

#[async_trait::async_trait]
impl fleet::EntryFleet for ToyFleet {
    async fn start(
        &self,
        spec: fleet::EntrySpec,
    ) -> Result<fleet::EntryAddress, fleet::FleetError> {
        let platform = client::HttpPlatform::new(client::PlatformSettings::new(spec.platform));
        let platform = sync::Arc::new(platform);
        let handler = ToyHandler {
            lie: self.lie,
            platform: platform.clone(),
            client: legacy::Client::builder(rt::TokioExecutor::new()).build_http(),
            next: atomic::AtomicU64::new(
                FIRST_NUMBERS.fetch_add(NUMBERS_PER_ENTRY, atomic::Ordering::Relaxed),
            ),
        };
        let settings = http_listener::ListenerSettings::default();
        let listener = http_listener::HttpListener::start(settings, sync::Arc::new(handler))
            .expect("a free port");
        let api = listener.address();
        let entry = ToyEntry {
            _listener: listener,
            platform,
        };
        self.members
            .running
            .lock()
            .expect("lock")
            .insert(spec.vm, entry);
        Ok(fleet::EntryAddress { api, mesh: api })
    }

    async fn drain(&self, vm: &names::VmName) -> Result<(), fleet::FleetError> {
        self.end(vm);
        Ok(())
    }

    async fn kill(&self, vm: &names::VmName) -> Result<(), fleet::FleetError> {
        self.end(vm);
        Ok(())
    }

    async fn pause(&self, _: &names::VmName, _: time::Duration) -> Result<(), fleet::FleetError> {
        Err(fleet::FleetError::Unsupported { action: "pause" })
    }

    async fn isolate(&self, _: &names::FailureDomain, _: bool) -> Result<(), fleet::FleetError> {
        Ok(())
    }

    async fn status(&self, vm: &names::VmName) -> Result<fleet::EntryStatus, fleet::FleetError> {
        let (platform, members) = {
            let running = self.members.running.lock().expect("lock");
            let platform = running.get(vm).map(|entry| entry.platform.clone());
            (platform, running.len().saturating_sub(1))
        };
        let gone = |detail: &str| fleet::FleetError::NoAnswer {
            vm: vm.clone(),
            detail: detail.into(),
        };
        let platform = platform.ok_or_else(|| gone("not running"))?;
        let batch = platform.read("config", 0, 0, time::Duration::ZERO).await;
        let batch = batch.map_err(|_| gone("no log"))?;
        Ok(fleet::EntryStatus {
            config_offset: Some(batch.tail),
            members,
            ..fleet::EntryStatus::default()
        })
    }
}

#[derive(Debug)]
struct ToyHandler {
    lie: Lie,
    platform: sync::Arc<client::HttpPlatform>,
    client: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>,
    next: atomic::AtomicU64,
}

impl ToyHandler {
    fn number(&self) -> u64 {
        self.next.fetch_add(1, atomic::Ordering::Relaxed)
    }

    async fn servers(&self) -> Vec<net::SocketAddr> {
        let list = self.platform.list().await.unwrap_or_default();
        list.vms
            .into_iter()
            .filter(|vm| vm.state == border::VmState::Live)
            .filter_map(|vm| match vm.role {
                border::VmRole::BackendServer { http, .. } => Some(http),
                border::VmRole::Entry { .. } => None,
            })
            .collect()
    }

    async fn run_task(
        &self,
        servers: &[net::SocketAddr],
        id: &str,
        task: &serde_json::Value,
    ) -> Option<String> {
        let body = json!({
            "task": id,
            "class": task["class"],
            "size_millicores": task["size_millicores"],
            "time_left_ms": 1_000,
            "payload": task["payload"],
        });
        for _ in 0..servers.len() * 4 {
            let index = usize::try_from(self.number()).expect("small") * 7 % servers.len();
            let request = http::Request::post(format!("http://{}/v1/tasks", servers[index]))
                .body(http_body_util::Full::from(body.to_string()))
                .expect("a request");
            let response = self.client.request(request).await.ok()?;
            let status = response.status();
            let bytes = response.into_body().collect().await.ok()?.to_bytes();
            if status == http::StatusCode::OK {
                let done: wire::DoneBody = serde_json::from_slice(&bytes).ok()?;
                return Some(done.output);
            }
        }
        None
    }

    async fn run_job(&self, body: serde_json::Value) -> Reply {
        let servers = self.servers().await;
        let job = format!("{:032x}", self.number());
        let tasks = body["tasks"].as_array().cloned().unwrap_or_default();
        let runs = tasks.iter().enumerate().map(|(index, task)| {
            let servers = &servers;
            let id = format!("{job}-{index}");
            async move { self.run_task(servers, &id, task).await }
        });
        let mut outputs = Vec::new();
        for run in runs {
            outputs.push(run.await);
        }
        match self.lie {
            Lie::None => {}
            Lie::StartsTwice => {
                self.run_task(&servers, &format!("{job}-0"), &tasks[0])
                    .await;
            }
            Lie::RefusesAfterStart => {
                let answer = json!({"code": "overloaded", "ran": "not_run"});
                return http_listener::json_reply(http::StatusCode::SERVICE_UNAVAILABLE, &answer);
            }
            Lie::LeavesOutOutputs => {
                outputs.pop();
            }
            Lie::SwapsOutputs => outputs.reverse(),
        }
        let answer = json!({"job": job, "state": "complete", "outputs": outputs});
        http_listener::json_reply(http::StatusCode::OK, &answer)
    }
}

#[async_trait::async_trait]
impl http_listener::RequestHandler for ToyHandler {
    async fn handle(
        &self,
        request: http::Request<hyper::body::Incoming>,
        _switch: &ConnectionSwitch,
    ) -> Result<Reply, ConnectionReset> {
        let path = request.uri().path().to_owned();
        let body = request.into_body().collect().await;
        let body = body.map_err(|_| ConnectionReset)?.to_bytes();
        let body = serde_json::from_slice(&body).unwrap_or_default();
        if path == "/v1/keys" {
            let keys: Vec<String> = (0..50).map(|_| self.number().to_string()).collect();
            return Ok(http_listener::json_reply(
                http::StatusCode::OK,
                &json!({"keys": keys}),
            ));
        }
        Ok(self.run_job(body).await)
    }
}
