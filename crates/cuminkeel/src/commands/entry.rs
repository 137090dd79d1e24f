//! `cuminkeel entry`: the daemon.

use std::{process, sync, time};

use argh::FromArgs;
use cuminkeel_entry::{daemon, services, settings, telemetry};
use cuminkeel_platform::{border, client};
use tokio::signal::unix;

use super::check;
use crate::error;

/// Run an entry until SIGTERM or SIGINT; a second signal ends it at once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct EntryCommand {
    /// path of the settings file
    #[argh(option)]
    settings: String,
}

/// Tries to start before giving up.
const START_TRIES: u32 = 10;
/// Pause between two tries to start.
const START_PAUSE: time::Duration = time::Duration::from_millis(300);
/// Exit status when work was left at the end of a drain.
const UNFINISHED_STATUS: u8 = 3;

pub(crate) fn run(command: &EntryCommand) -> Result<process::ExitCode, error::CommandError> {
    let settings = check::read_settings(&command.settings)?;
    super::runtime()?.block_on(serve(settings))
}

/// Exports that must be flushed before the process ends.
#[derive(Debug, Default)]
struct Exports {
    traces: Option<telemetry::TraceExport>,
    metrics: Option<telemetry::MetricsExport>,
}

impl Exports {
    fn start(settings: &settings::EntrySettings) -> Result<Self, error::CommandError> {
        let Some(settings) = &settings.telemetry else {
            return Ok(Self::default());
        };
        Ok(Self {
            traces: Some(telemetry::TraceExport::to_collector(settings)?),
            metrics: Some(telemetry::MetricsExport::to_collector(settings)?),
        })
    }

    fn flush(&self) {
        if let Some(traces) = &self.traces {
            traces.flush();
        }
        if let Some(metrics) = &self.metrics {
            metrics.flush();
        }
    }
}

/// Signals that end the entry.
#[derive(Debug)]
struct StopSignals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
}

impl StopSignals {
    fn listen() -> Result<Self, error::CommandError> {
        Ok(Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

async fn serve(
    mut settings: settings::EntrySettings,
) -> Result<process::ExitCode, error::CommandError> {
    let log = telemetry::root_logger(&settings.log);
    let exports = Exports::start(&settings)?;
    let mut signals = StopSignals::listen()?;
    let code = loop {
        let daemon = start(&settings, &exports, &log).await?;
        // A process that starts anew keeps the addresses that others know.
        settings.api.address = daemon.api_address()?;
        settings.mesh.address = daemon.mesh_address()?;
        slog::info!(log, "entry started";
            "api" => %settings.api.address, "mesh" => %settings.mesh.address,
            "incarnation" => %daemon.incarnation());
        tokio::select! {
            () = signals.next() => break stop(&daemon, &mut signals, &log).await,
            rejected = daemon.rejected() => rejected?,
        }
        slog::warn!(
            log,
            "the other entries declared this process gone; starting anew"
        );
        report_drain(&log, &daemon.drain().await);
    };
    exports.flush();
    Ok(code)
}

/// Starts an entry. Its addresses may still be held for a moment by the one
/// before it, so a failed start is tried again.
async fn start(
    settings: &settings::EntrySettings,
    exports: &Exports,
    log: &slog::Logger,
) -> Result<daemon::EntryDaemon, error::CommandError> {
    let mut tries = 1;
    loop {
        let parts = parts(settings.clone(), exports, log);
        match daemon::EntryDaemon::start(parts).await {
            Ok(daemon) => return Ok(daemon),
            Err(failure) if tries >= START_TRIES => return Err(failure.into()),
            Err(failure) => {
                slog::warn!(log, "entry did not start; trying again"; "error" => %failure);
            }
        }
        tries += 1;
        tokio::time::sleep(START_PAUSE).await;
    }
}

/// Drains the entry; a second signal ends it at once.
async fn stop(
    daemon: &daemon::EntryDaemon,
    signals: &mut StopSignals,
    log: &slog::Logger,
) -> process::ExitCode {
    slog::info!(log, "draining; a second signal ends the entry at once");
    tokio::select! {
        reports = daemon.drain() => report_drain(log, &reports),
        () = signals.next() => end_now(log, daemon).await,
    }
}

fn parts(
    settings: settings::EntrySettings,
    exports: &Exports,
    log: &slog::Logger,
) -> daemon::EntryParts {
    let platform = client::PlatformSettings {
        request_timeout: settings.platform.timeout,
        ..client::PlatformSettings::new(settings.platform.address)
    };
    let platform = sync::Arc::new(client::HttpPlatform::new(platform));
    let messages = sync::Arc::default();
    let traces = exports
        .traces
        .as_ref()
        .map_or_else(telemetry::TraceSource::off, telemetry::TraceExport::source);
    let metrics = match &exports.metrics {
        Some(export) => telemetry::MetricsSource::new(&export.meter(), &messages),
        None => telemetry::MetricsSource::off(),
    };
    daemon::EntryParts {
        settings,
        log_store: sync::Arc::clone(&platform) as sync::Arc<dyn border::LogStore>,
        directory: platform as sync::Arc<dyn border::VmDirectory>,
        outcomes: sync::Arc::new(services::core::LedgerFactory),
        traces,
        metrics,
        messages,
        seed: rand::random(),
        log: log.clone(),
    }
}

fn report_drain(
    log: &slog::Logger,
    reports: &[cuminkeel_kernel::runner::ServiceReport],
) -> process::ExitCode {
    let unfinished: usize = reports.iter().map(|report| report.report.unfinished).sum();
    slog::info!(log, "entry stopped"; "unfinished" => unfinished);
    if unfinished == 0 {
        process::ExitCode::SUCCESS
    } else {
        UNFINISHED_STATUS.into()
    }
}

async fn end_now(log: &slog::Logger, daemon: &daemon::EntryDaemon) -> process::ExitCode {
    let unfinished = daemon.unfinished().await;
    slog::warn!(log, "entry ended before its drain"; "unfinished" => unfinished);
    daemon.stop().await;
    UNFINISHED_STATUS.into()
}
