//! Start of the process, checks of its settings file, and graceful stop.

use std::{io, path, sync::Arc, time};

use cuminkeel_dispatch::machine_limits;
use derive_more::{Display, Error};
use platform_adapter::settings;
use tokio::{
    net,
    signal::unix,
    sync::{mpsc, watch},
};

use crate::{
    connection_gate, frontend, link_frame, link_listener, link_reconciler, node_state, node_tuning,
    peer_discovery, pool_driver, probe_listener, process_log, registry_feed, store_feed,
};

/// Maximum number of attempts to bind an address, to which a previous process may still be bound.
const MAX_BIND_ATTEMPTS: u32 = 20;
const BIND_RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Percentage of the stop grace period in which the process still accepts new requests: the
/// load balancer sends them until its readiness probes have failed for two seconds, which fits
/// in half of a grace period of at least four seconds.
const SERVE_GRACE_PERCENT: u32 = 50;
/// Percentage of the stop grace period after which the process exits even if connections
/// are open.
const EXIT_GRACE_PERCENT: u32 = 92;
/// Time before the exit at which callers that still wait are answered, so that the answers reach them: a
/// few round trips, and the delay of a process with a tenth of a core.
const LAST_ANSWER_TIME: time::Duration = time::Duration::from_millis(200);
/// Timeout of the removal of the own record from the store's peer list, the last request before the
/// process exits.
const RECORD_REMOVAL_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Interval between reads of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Error that ends the process.
#[derive(Debug, Display, Error)]
pub enum ProcessError {
    /// The settings file is unreadable or invalid.
    #[display("{source}")]
    Settings {
        /// Error of the settings file.
        source: settings::SettingsError,
    },
    /// Binding an address failed.
    #[display("failed to bind {address}: {source}")]
    Bind {
        /// Address that could not be bound.
        address: Arc<str>,
        /// Error of the bind call.
        source: io::Error,
    },
    /// Installing a signal handler or starting the log writer failed.
    #[display("failed to set up signal handlers or the log writer: {source}")]
    Setup {
        /// Error of the operating system.
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

/// Request of the platform to the running process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessSignal {
    /// Finish open requests and exit.
    Stop,
    /// Check the settings file for changes.
    CheckSettings,
}

/// Start options of a process that the platform's settings do not contain.
#[derive(Clone, Debug, Default)]
pub struct StartOptions {
    /// Address at which peers dial this process, if it differs from its link address.
    pub advertised_address: Option<Arc<str>>,
    /// Values of the tuning file, or the defaults.
    pub tuning: node_tuning::NodeTuning,
}

/// Runs the process until SIGTERM. On SIGHUP it checks the settings file for changes.
///
/// # Errors
///
/// Returns an error if the settings are unusable, an address can't be bound, or the signal
/// handlers or the log writer can't be set up.
pub async fn run(settings_path: &path::Path, options: StartOptions) -> Result<(), ProcessError> {
    let settings = settings::ProcessSettings::read(settings_path)?;
    let buffer = Arc::new(process_log::LogBuffer::new(&options.tuning));
    let logger = process_log::buffered_logger(&buffer, &settings.node_name);
    process_log::start_writer(&buffer)?;
    let mut sigterm = unix::signal(unix::SignalKind::terminate())?;
    let mut sighup = unix::signal(unix::SignalKind::hangup())?;
    let (signal_sender, signal_receiver) = mpsc::channel(4);
    tokio::spawn(async move {
        loop {
            let signal = tokio::select! {
                _ = sigterm.recv() => ProcessSignal::Stop,
                _ = sighup.recv() => ProcessSignal::CheckSettings,
            };
            if signal_sender.send(signal).await.is_err() {
                return;
            }
        }
    });
    let result = serve(
        settings,
        Some(settings_path),
        options,
        logger,
        signal_receiver,
    )
    .await;
    process_log::write_pending(&buffer);
    result
}

/// Runs the process until `signal_receiver` yields [`ProcessSignal::Stop`] or is closed. If
/// `settings_path` is given, that file is polled for changes.
///
/// # Errors
///
/// Returns an error if the address for callers, readiness probes or links can't be bound.
pub async fn serve(
    settings: settings::ProcessSettings,
    settings_path: Option<&path::Path>,
    options: StartOptions,
    logger: slog::Logger,
    mut signal_receiver: mpsc::Receiver<ProcessSignal>,
) -> Result<(), ProcessError> {
    let caller_listener = bind(&settings.caller_address).await?;
    let ready_listener = bind(&settings.ready_address).await?;
    let peer_listener = bind(&settings.link_address).await?;
    for listener in [&caller_listener, &ready_listener, &peer_listener] {
        limit_receive_queue(listener, &logger);
    }
    let hello = link_frame::PeerHello {
        name: Arc::clone(&settings.node_name),
        failure_domain: Arc::clone(&settings.failure_domain),
        link_address: options
            .advertised_address
            .unwrap_or_else(|| Arc::clone(&settings.link_address)),
        cpu_millis: cpu_millis_of_share(settings.cpu_share),
        boot: rand::random(),
    };
    slog::info!(logger, "started"; "domain" => &*hello.failure_domain,
        "boot" => hello.boot, "cpu_millis" => hello.cpu_millis, "version" => env!("CARGO_PKG_VERSION"));
    let (pool, pool_inbox) = pool_driver::PoolHandle::new();
    let node = Arc::new(node_state::NodeState::new(
        settings,
        options.tuning,
        hello,
        logger,
        pool,
    ));
    let (stop_sender, stop_receiver) = watch::channel(false);
    tokio::spawn(pool_driver::run_pool(Arc::clone(&node), pool_inbox));
    tokio::spawn(store_feed::follow_config(Arc::clone(&node)));
    tokio::spawn(registry_feed::follow_registry(Arc::clone(&node)));
    tokio::spawn(peer_discovery::discover_peers(Arc::clone(&node)));
    tokio::spawn(link_reconciler::run_link_reconciler(Arc::clone(&node)));
    tokio::spawn(link_listener::accept_connections(
        Arc::clone(&node),
        peer_listener,
    ));
    tokio::spawn(probe_listener::serve_readiness(
        Arc::clone(&node),
        ready_listener,
    ));
    let caller_task = tokio::spawn(frontend::serve_callers(
        Arc::clone(&node),
        caller_listener,
        stop_receiver,
    ));
    serve_metrics(&node).await;
    tokio::spawn(close_overdue_connections(Arc::clone(&node)));
    let mut settings_timer = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    loop {
        tokio::select! {
            signal = signal_receiver.recv() => match signal {
                Some(ProcessSignal::CheckSettings) => check_settings(&node, settings_path, "signal"),
                Some(ProcessSignal::Stop) | None => break,
            },
            _ = settings_timer.tick() => check_settings(&node, settings_path, "poll"),
        }
    }
    stop_gracefully(&node, &stop_sender, &caller_task).await;
    Ok(())
}

async fn bind(address: &Arc<str>) -> Result<net::TcpListener, ProcessError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match net::TcpListener::bind(&**address).await {
            Ok(listener) => return Ok(listener),
            Err(_) if attempts < MAX_BIND_ATTEMPTS => tokio::time::sleep(BIND_RETRY_PAUSE).await,
            Err(source) => {
                return Err(ProcessError::Bind {
                    address: Arc::clone(address),
                    source,
                });
            }
        }
    }
}

/// Closes connections that have exceeded a time limit, until the process ends.
async fn close_overdue_connections(node: Arc<node_state::NodeState>) {
    let mut timer = tokio::time::interval(connection_gate::CHECK_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        node.gates.close_overdue(node.now(), &node.request_limits());
    }
}

/// Sets the size of the receive queues of the connections that `listener` will accept.
fn limit_receive_queue(listener: &net::TcpListener, logger: &slog::Logger) {
    // The kernel doubles the value, for its own data on what is queued.
    let size = machine_limits::RECEIVE_QUEUE_BYTES / 2;
    if let Err(error) = rustix::net::sockopt::set_socket_recv_buffer_size(listener, size) {
        slog::warn!(logger, "receive_queue_unlimited"; "error" => %error);
    }
}

/// Starts the metrics endpoint. A failure to bind it is only logged, as callers can be served
/// without it.
async fn serve_metrics(node: &Arc<node_state::NodeState>) {
    let address = format!("{}:{}", node.settings.ip, node.tuning.metrics_port);
    match net::TcpListener::bind(&address).await {
        Ok(listener) => {
            limit_receive_queue(&listener, &node.logger);
            tokio::spawn(probe_listener::serve_metrics(Arc::clone(node), listener));
        }
        Err(error) => {
            slog::warn!(node.logger, "metrics_unbound"; "address" => address, "error" => %error);
        }
    }
}

fn check_settings(node: &node_state::NodeState, path: Option<&path::Path>, cause: &'static str) {
    let Some(path) = path else {
        return;
    };
    match settings::ProcessSettings::read(path) {
        Ok(settings) if settings == node.settings => {
            if cause == "signal" {
                slog::info!(node.logger, "settings_unchanged"; "cause" => cause);
            }
        }
        // Changed settings take effect at the next start.
        Ok(_) => slog::info!(node.logger, "settings_changed"; "cause" => cause),
        Err(error) => {
            slog::warn!(node.logger, "settings_unusable"; "cause" => cause, "error" => %error);
        }
    }
}

async fn stop_gracefully(
    node: &Arc<node_state::NodeState>,
    stop_sender: &watch::Sender<bool>,
    caller_task: &tokio::task::JoinHandle<()>,
) {
    let grace = node.settings.stop_grace;
    slog::info!(node.logger, "stopping"; "grace_ms" => u64::try_from(grace.as_millis()).unwrap_or(0));
    node.set_leaving();
    let started_at = tokio::time::Instant::now();
    tokio::time::sleep(grace * SERVE_GRACE_PERCENT / 100).await;
    caller_task.abort();
    stop_sender.send_replace(true);
    let deadline = started_at + grace * EXIT_GRACE_PERCENT / 100;
    let answers_due = deadline - LAST_ANSWER_TIME;
    while tokio::time::Instant::now() < deadline && node.metrics.has_connections() {
        if tokio::time::Instant::now() >= answers_due {
            node.set_exit_near();
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    // A process that starts until then finds this one, which may still lead.
    let removal = peer_discovery::remove_own_record(Arc::clone(node));
    if tokio::time::timeout(RECORD_REMOVAL_TIMEOUT, removal)
        .await
        .is_err()
    {
        slog::warn!(node.logger, "peer_entry_left"; "error" => "no response from the store");
    }
    slog::info!(node.logger, "stopped"; "took_ms" => u64::try_from(started_at.elapsed().as_millis()).unwrap_or(0),
        "clean" => !node.metrics.has_connections());
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a range of u32"
)]
fn cpu_millis_of_share(share: f64) -> u32 {
    (share * 1e3).clamp(0.0, 1e6) as u32
}
