//! One job's spans, across two entries and a backend server.

use std::{collections, time};

use cuminkeel_entry::telemetry;
use cuminkeel_standin::fleet;
use opentelemetry::trace;
use opentelemetry_sdk::trace as sdk;

use crate::support;

const LIMIT: time::Duration = time::Duration::from_secs(10);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_forwarded_job_has_one_span_for_each_hop() {
    let exporter = sdk::InMemorySpanExporter::default();
    let export = telemetry::TraceExport::to_exporter(exporter.clone());
    let site = support::start_traced(support::site_plan(2), export.source()).await;
    let caller = fleet::JobCaller::new(support::API_KEY);
    let [authority, other] = site.api_addresses()[..] else {
        panic!("two entries were planned");
    };
    let keys = caller.keys(authority, 1, LIMIT).await.expect("a key");
    let submission = support::submission(1, 10, keys.into_iter().next());
    let result = caller.submit(other, &submission, LIMIT).await;
    assert!(
        matches!(result, Ok(fleet::JobResult::Answered(_))),
        "{result:?}"
    );
    site.stop().await;

    let spans = exporter.get_finished_spans().expect("the exporter works");
    let traces: collections::BTreeSet<_> = spans
        .iter()
        .map(|span| span.span_context.trace_id().to_string())
        .collect();
    assert_eq!(traces.len(), 1, "one job, one trace: {traces:?}");
    let chain = [
        ("receive", None),
        ("forward", Some("receive")),
        ("queue", Some("forward")),
        ("backend_call", Some("forward")),
    ];
    for (name, parent) in chain {
        let span = only(&spans, name);
        let wanted = parent.map_or(trace::SpanId::INVALID, |parent| {
            only(&spans, parent).span_context.span_id()
        });
        assert_eq!(span.parent_span_id, wanted, "parent of {name}");
    }
}

fn only<'a>(spans: &'a [sdk::SpanData], name: &str) -> &'a sdk::SpanData {
    let mut found = spans.iter().filter(|span| span.name == name);
    let span = found.next().unwrap_or_else(|| panic!("no span {name}"));
    assert!(found.next().is_none(), "two spans {name}");
    span
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_callers_trace_goes_on() {
    let exporter = sdk::InMemorySpanExporter::default();
    let export = telemetry::TraceExport::to_exporter(exporter.clone());
    let caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let span = export.source().receive_span("receive", Some(caller));
    let passed_on = telemetry::traceparent(&span).expect("a span to pass on");
    assert!(passed_on.starts_with("00-0af7651916cd43dd8448eb211c80319c-"));
    assert!(!passed_on.contains("b7ad6b7169203331"), "{passed_on}");
    telemetry::end_span(&span);
    let spans = exporter.get_finished_spans().expect("the exporter works");
    assert_eq!(spans[0].parent_span_id.to_string(), "b7ad6b7169203331");
}

#[test]
fn traces_that_are_off_make_no_spans() {
    let span = telemetry::TraceSource::off().receive_span("receive", None);
    assert_eq!(telemetry::traceparent(&span), None);
}
