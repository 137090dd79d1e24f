//! Metrics by OpenTelemetry, exported over OTLP when the settings say so.

use std::sync;

use derive_more::{Display, Error};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::metrics as sdk;

use super::messages;
use crate::settings;

/// Why metrics can't be exported.
#[derive(Debug, Display, Error)]
#[display("can't export metrics: {source}")]
pub struct MetricsError {
    source: opentelemetry_otlp::ExporterBuildError,
}

/// Keeps the export of metrics alive.
#[derive(Clone, Debug)]
pub struct MetricsExport {
    provider: sdk::SdkMeterProvider,
}

impl MetricsExport {
    /// Exports to an OTLP collector.
    ///
    /// # Errors
    /// The collector's address can't be used.
    pub fn to_collector(settings: &settings::TelemetrySettings) -> Result<Self, MetricsError> {
        let exporter = opentelemetry_otlp::MetricExporter::builder()
            .with_http()
            .with_endpoint(format!("{}/v1/metrics", settings.otlp_endpoint))
            .build()
            .map_err(|source| MetricsError { source })?;
        let reader = sdk::PeriodicReader::builder(exporter)
            .with_interval(settings.metrics_interval)
            .build();
        let provider = sdk::SdkMeterProvider::builder().with_reader(reader).build();
        Ok(Self { provider })
    }

    /// Where measurements are recorded.
    pub fn meter(&self) -> Meter {
        self.provider.meter("cuminkeel")
    }

    /// Sends what is left.
    pub fn flush(&self) {
        // Nobody is left to tell when the last export fails.
        let _ = self.provider.shutdown();
    }
}

/// Instruments of an entry; without effect when metrics are off.
#[derive(Clone, Debug)]
pub struct MetricsSource {
    requests: Counter<u64>,
    refusals: Counter<u64>,
    response_seconds: Histogram<f64>,
}

impl MetricsSource {
    /// Instruments on a meter.
    pub fn new(meter: &Meter, counters: &sync::Arc<messages::MessageCounters>) -> Self {
        observe_messages(meter, counters);
        Self {
            requests: meter
                .u64_counter("cuminkeel.requests")
                .with_description("Requests of callers")
                .build(),
            refusals: meter
                .u64_counter("cuminkeel.refusals")
                .with_description("Requests refused and jobs failed, by code and run status")
                .build(),
            response_seconds: meter
                .f64_histogram("cuminkeel.response")
                .with_unit("s")
                .with_description("Time from the receipt of a job to its answer")
                .build(),
        }
    }

    /// Instruments that record nothing.
    pub fn off() -> Self {
        let provider = opentelemetry::metrics::NoopMeterProvider::new();
        let meter = provider.meter("cuminkeel");
        Self::new(&meter, &sync::Arc::default())
    }

    /// Counts a request.
    pub fn count_request(&self, operation: &'static str) {
        self.requests
            .add(1, &[KeyValue::new("operation", operation)]);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, refusal: &cuminkeel_types::outcome::Refusal) {
        let attributes = [
            KeyValue::new("code", refusal.code.to_string()),
            KeyValue::new("ran", refusal.ran.to_string()),
        ];
        self.refusals.add(1, &attributes);
    }

    /// Records the time that a job took.
    pub fn record_response(&self, elapsed: std::time::Duration) {
        self.response_seconds.record(elapsed.as_secs_f64(), &[]);
    }
}

fn observe_messages(meter: &Meter, counters: &sync::Arc<messages::MessageCounters>) {
    let counters = sync::Arc::clone(counters);
    let _ = meter
        .u64_observable_counter("cuminkeel.backend_messages")
        .with_description("Messages to backend servers, by kind")
        .with_callback(move |observer| {
            let counts = counters.read();
            let kinds = [
                ("attempt", counts.attempts),
                ("not_started", counts.not_started),
                ("lost", counts.lost),
                ("stop", counts.stops),
                ("probe", counts.probes),
            ];
            for (kind, value) in kinds {
                observer.observe(value, &[KeyValue::new("kind", kind)]);
            }
        })
        .build();
}
