//! Traces: one span for each hop of a job.

use std::{collections, sync, time};

use cuminkeel_types::outcome;
use derive_more::{Display, Error};
use opentelemetry::{
    Context, KeyValue,
    propagation::TextMapPropagator,
    trace::{self, TraceContextExt, Tracer, TracerProvider},
};
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::{propagation, trace as sdk};

use crate::{backend, settings};

/// Header of the W3C trace context.
const TRACEPARENT: &str = "traceparent";

/// Why traces can't be exported.
#[derive(Debug, Display, Error)]
#[display("can't export traces: {source}")]
pub struct TraceError {
    source: opentelemetry_otlp::ExporterBuildError,
}

/// Keeps the export of traces alive; flush it before the process ends.
#[derive(Clone, Debug)]
pub struct TraceExport {
    provider: sdk::SdkTracerProvider,
}

impl TraceExport {
    /// Exports to an OTLP collector.
    ///
    /// # Errors
    /// The collector's address can't be used.
    pub fn to_collector(settings: &settings::TelemetrySettings) -> Result<Self, TraceError> {
        let exporter = opentelemetry_otlp::SpanExporter::builder()
            .with_http()
            .with_endpoint(format!("{}/v1/traces", settings.otlp_endpoint))
            .build()
            .map_err(|source| TraceError { source })?;
        let share = f64::from(settings.traces_per_thousand) / 1_000.0;
        let sampler = sdk::Sampler::ParentBased(Box::new(sdk::Sampler::TraceIdRatioBased(share)));
        let provider = sdk::SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_sampler(sampler)
            .build();
        Ok(Self { provider })
    }

    /// Exports each span at once to any exporter, as tests do.
    pub fn to_exporter(exporter: impl sdk::SpanExporter + 'static) -> Self {
        let provider = sdk::SdkTracerProvider::builder()
            .with_simple_exporter(exporter)
            .build();
        Self { provider }
    }

    /// Where spans are made.
    pub fn source(&self) -> TraceSource {
        TraceSource {
            tracer: Some(sync::Arc::new(self.provider.tracer("cuminkeel"))),
        }
    }

    /// Sends what is left.
    pub fn flush(&self) {
        // Nobody is left to tell when the last export fails.
        let _ = self.provider.shutdown();
    }
}

/// Makes spans; makes none, at no cost, when traces are off.
#[derive(Clone, Debug, Default)]
pub struct TraceSource {
    tracer: Option<sync::Arc<sdk::SdkTracer>>,
}

impl TraceSource {
    /// A source that makes no spans.
    pub fn off() -> Self {
        Self::default()
    }

    /// The span of receiving a request, below the caller's own span if it sent one.
    pub fn receive_span(&self, name: &'static str, caller: Option<&str>) -> Context {
        let parent = caller.map_or_else(Context::new, context_of);
        self.start(name, trace::SpanKind::Server, &parent, None)
    }

    /// The span of a request that another entry passed on.
    pub fn forward_span(&self, sender: Option<&str>) -> Context {
        let parent = sender.map_or_else(Context::new, context_of);
        self.start("forward", trace::SpanKind::Server, &parent, None)
    }

    /// Records the span of a task's wait in the queue, which ends now.
    pub fn record_queue_span(&self, job: &Context, since: time::SystemTime) {
        if self.tracer.is_none() {
            return;
        }
        let span = self.start("queue", trace::SpanKind::Internal, job, Some(since));
        span.span().end();
    }

    /// The span of a call to a backend server.
    pub fn backend_span(&self, call: &backend::TaskCall) -> Context {
        let span = self.start("backend_call", trace::SpanKind::Client, &call.trace, None);
        if self.tracer.is_some() {
            let span = span.span();
            span.set_attribute(KeyValue::new("server", call.server.to_string()));
            span.set_attribute(KeyValue::new("task", i64::from(call.task.task.0)));
        }
        span
    }

    fn start(
        &self,
        name: &'static str,
        kind: trace::SpanKind,
        parent: &Context,
        since: Option<time::SystemTime>,
    ) -> Context {
        let Some(tracer) = &self.tracer else {
            return parent.clone();
        };
        let mut builder = tracer.span_builder(name).with_kind(kind);
        if let Some(since) = since {
            builder = builder.with_start_time(since);
        }
        let span = builder.start_with_context(&**tracer, parent);
        parent.with_span(span)
    }
}

/// Notes the identity of a job on the span of its receipt.
pub fn span_of_job(span: &Context, job: cuminkeel_types::names::JobId) {
    if span.span().is_recording() {
        span.span()
            .set_attribute(KeyValue::new("job", job.to_string()));
    }
}

/// Ends a span.
pub fn end_span(span: &Context) {
    span.span().end();
}

/// Ends the span of a call to a backend server.
pub fn end_backend_span(span: &Context, outcome: &outcome::TaskOutcome) {
    let word = match outcome {
        outcome::TaskOutcome::Done { .. } => "done",
        outcome::TaskOutcome::NotStarted { .. } => "not_started",
        outcome::TaskOutcome::Failed { .. } => "failed",
        outcome::TaskOutcome::Lost { .. } => "lost",
    };
    let span = span.span();
    if span.is_recording() {
        span.set_attribute(KeyValue::new("outcome", word));
        span.end();
    }
}

/// The header that passes a span on; none if the context has no span.
pub fn traceparent(span: &Context) -> Option<String> {
    let mut carrier = collections::HashMap::new();
    propagation::TraceContextPropagator::new().inject_context(span, &mut carrier);
    carrier.remove(TRACEPARENT)
}

fn context_of(header: &str) -> Context {
    let carrier = collections::HashMap::from([(TRACEPARENT.to_owned(), header.to_owned())]);
    propagation::TraceContextPropagator::new().extract(&carrier)
}
