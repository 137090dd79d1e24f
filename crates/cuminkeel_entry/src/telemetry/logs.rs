//! Structured logs.

use std::io;

use slog::Drain;

use crate::settings;

/// Log lines that may wait to be written; more are dropped and counted.
const LOG_QUEUE_LINES: usize = 4_096;

/// A logger that writes to standard error, without blocking its callers.
pub fn root_logger(settings: &settings::LogSettings) -> slog::Logger {
    let level = match settings.level {
        settings::LogLevel::Debug => slog::Level::Debug,
        settings::LogLevel::Info => slog::Level::Info,
        settings::LogLevel::Warning => slog::Level::Warning,
        settings::LogLevel::Error => slog::Level::Error,
    };
    match settings.format {
        settings::LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            queued(slog::LevelFilter::new(drain, level).fuse())
        }
        settings::LogFormat::Json => {
            let drain = slog_json::Json::default(io::stderr()).fuse();
            queued(slog::LevelFilter::new(drain, level).fuse())
        }
    }
}

fn queued<D>(drain: D) -> slog::Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let queue = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_LINES)
        .build()
        .fuse();
    slog::Logger::root(queue, slog::o!())
}
