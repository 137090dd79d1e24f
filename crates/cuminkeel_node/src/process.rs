//! The process from its start to its end.

use std::{io, path, sync::Arc, time};

use derive_more::{Display, Error};
use platform_adapter::settings;
use tokio::{
    net,
    signal::unix,
    sync::{mpsc, watch},
};

use crate::{
    decision_log, frontend, link_frame, link_listener, link_reconciler, node_state, node_tuning,
    peer_discovery, pool_driver, store_feed,
};

/// Tries to bind an address that a former process may still hold.
const BIND_TRIES: u32 = 20;
/// Pause between two of them.
const BIND_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Share of the grace of a stop, in percent, in which new requests are still
/// expected: the balancer's probes take two seconds to miss.
const SERVE_PERCENT: u32 = 50;
/// Share of the grace, in percent, after which the process ends whatever is open.
const END_PERCENT: u32 = 92;
/// Time between looks at the settings file, which may change without a signal.
const SETTINGS_POLL: time::Duration = time::Duration::from_secs(2);

/// Why a process ended by itself.
#[derive(Debug, Display, Error)]
pub enum ProcessError {
    /// The settings can't be used.
    #[display("{source}")]
    Settings {
        /// What is wrong with them.
        source: settings::SettingsError,
    },
    /// An address can't be bound.
    #[display("can't bind {address}: {source}")]
    Bind {
        /// The address.
        address: Arc<str>,
        /// Error of the socket.
        source: io::Error,
    },
    /// Signals or threads can't be set up.
    #[display("can't set up the process: {source}")]
    Setup {
        /// Error of the system.
        source: io::Error,
    },
}

impl From<settings::SettingsError> for ProcessError {
    fn from(source: settings::SettingsError) -> Self {
        Self::Settings { source }
    }
}

impl From<io::Error> for ProcessError {
    fn from(source: io::Error) -> Self {
        Self::Setup { source }
    }
}

/// What the system asks of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessSignal {
    /// Finish what is in progress and end.
    Stop,
    /// The settings file has changed.
    Reload,
}

/// What a process is given at its start beside the platform's settings.
#[derive(Clone, Debug, Default)]
pub struct StartOptions {
    /// Address at which peers dial it, where that isn't the one that it listens on for links.
    pub advertised: Option<Arc<str>>,
    /// Settings of our own.
    pub tuning: node_tuning::NodeTuning,
}

/// Runs the process until SIGTERM.
///
/// # Errors
///
/// Fails when the settings, an address or the system's means can't be used.
pub async fn run(settings_path: &path::Path, options: StartOptions) -> Result<(), ProcessError> {
    let settings = settings::ProcessSettings::read(settings_path)?;
    let buffer = Arc::new(decision_log::LogBuffer::new(&options.tuning));
    let logger = decision_log::buffered_logger(&buffer, &settings.node_name);
    decision_log::start_writer(&buffer)?;
    let mut term = unix::signal(unix::SignalKind::terminate())?;
    let mut hup = unix::signal(unix::SignalKind::hangup())?;
    let (signals, inbox) = mpsc::channel(4);
    tokio::spawn(async move {
        loop {
            let signal = tokio::select! {
                _ = term.recv() => ProcessSignal::Stop,
                _ = hup.recv() => ProcessSignal::Reload,
            };
            if signals.send(signal).await.is_err() {
                return;
            }
        }
    });
    let result = serve(settings, Some(settings_path), options, logger, inbox).await;
    decision_log::write_waiting(&buffer);
    result
}

/// Runs the process until `signals` says stop or ends. Changes of the settings are looked
/// for at `settings_path`, if there is one.
///
/// # Errors
///
/// Fails when an address can't be bound.
pub async fn serve(
    settings: settings::ProcessSettings,
    settings_path: Option<&path::Path>,
    options: StartOptions,
    logger: slog::Logger,
    mut signals: mpsc::Receiver<ProcessSignal>,
) -> Result<(), ProcessError> {
    let callers = bind(&settings.caller_address).await?;
    let ready = bind(&settings.ready_address).await?;
    let links = bind(&settings.link_address).await?;
    let hello = link_frame::PeerHello {
        name: Arc::clone(&settings.node_name),
        failure_domain: Arc::clone(&settings.failure_domain),
        link_address: options
            .advertised
            .unwrap_or_else(|| Arc::clone(&settings.link_address)),
        cpu_millis: whole_millis(settings.cpu_share),
        boot: rand::random(),
    };
    slog::info!(logger, "started"; "domain" => &*hello.failure_domain,
        "boot" => hello.boot, "cpu_millis" => hello.cpu_millis, "version" => env!("CARGO_PKG_VERSION"));
    let (pool, inbox) = pool_driver::PoolHandle::new();
    let node = Arc::new(node_state::NodeState::new(
        settings,
        options.tuning,
        hello,
        logger,
        pool,
    ));
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(pool_driver::run_pool(Arc::clone(&node), inbox));
    tokio::spawn(store_feed::follow_config(Arc::clone(&node)));
    tokio::spawn(store_feed::follow_registry(Arc::clone(&node)));
    tokio::spawn(peer_discovery::find_peers(Arc::clone(&node)));
    tokio::spawn(link_reconciler::run_link_reconciler(Arc::clone(&node)));
    tokio::spawn(link_listener::accept_links(Arc::clone(&node), links));
    tokio::spawn(frontend::serve_readiness(Arc::clone(&node), ready));
    let taking = tokio::spawn(frontend::serve_callers(
        Arc::clone(&node),
        callers,
        stopping,
    ));
    serve_metrics(&node).await;
    let mut polls = tokio::time::interval(SETTINGS_POLL);
    loop {
        tokio::select! {
            signal = signals.recv() => match signal {
                Some(ProcessSignal::Reload) => reload(&node, settings_path, "signal"),
                Some(ProcessSignal::Stop) | None => break,
            },
            _ = polls.tick() => reload(&node, settings_path, "poll"),
        }
    }
    stop_gracefully(&node, &stop, &taking).await;
    Ok(())
}

async fn bind(address: &Arc<str>) -> Result<net::TcpListener, ProcessError> {
    let mut tries = 0;
    loop {
        tries += 1;
        match net::TcpListener::bind(&**address).await {
            Ok(listener) => return Ok(listener),
            Err(_) if tries < BIND_TRIES => tokio::time::sleep(BIND_PAUSE).await,
            Err(source) => {
                return Err(ProcessError::Bind {
                    address: Arc::clone(address),
                    source,
                });
            }
        }
    }
}

/// The counters are no reason not to serve.
async fn serve_metrics(node: &Arc<node_state::NodeState>) {
    let address = format!("{}:{}", node.settings.ip, node.tuning.metrics_port);
    match net::TcpListener::bind(&address).await {
        Ok(listener) => {
            tokio::spawn(frontend::serve_metrics(Arc::clone(node), listener));
        }
        Err(failure) => {
            slog::warn!(node.logger, "metrics_unbound"; "address" => address, "error" => %failure);
        }
    }
}

fn reload(node: &node_state::NodeState, path: Option<&path::Path>, cause: &'static str) {
    let Some(path) = path else {
        return;
    };
    match settings::ProcessSettings::read(path) {
        Ok(settings) if settings == node.settings => {
            if cause == "signal" {
                slog::info!(node.logger, "settings_unchanged"; "cause" => cause);
            }
        }
        // Addresses and limits are taken up at the next start.
        Ok(_) => slog::info!(node.logger, "settings_changed"; "cause" => cause),
        Err(failure) => {
            slog::warn!(node.logger, "settings_unusable"; "cause" => cause, "error" => %failure);
        }
    }
}

async fn stop_gracefully(
    node: &Arc<node_state::NodeState>,
    stop: &watch::Sender<bool>,
    taking: &tokio::task::JoinHandle<()>,
) {
    let grace = node.settings.stop_grace;
    slog::info!(node.logger, "stopping"; "grace_ms" => u64::try_from(grace.as_millis()).unwrap_or(0));
    node.set_leaving();
    tokio::spawn(peer_discovery::retire_peer(Arc::clone(node)));
    let begun = tokio::time::Instant::now();
    tokio::time::sleep(grace * SERVE_PERCENT / 100).await;
    taking.abort();
    stop.send_replace(true);
    let end = begun + grace * END_PERCENT / 100;
    while tokio::time::Instant::now() < end && node.metrics.has_connections() {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    slog::info!(node.logger, "stopped"; "took_ms" => u64::try_from(begun.elapsed().as_millis()).unwrap_or(0),
        "clean" => !node.metrics.has_connections());
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a range of u32"
)]
fn whole_millis(share: f64) -> u32 {
    (share * 1e3).clamp(0.0, 1e6) as u32
}
