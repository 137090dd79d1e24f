//! Benchmarks of logging a decision and of encoding the metrics for a scrape.

use std::{hint, sync::Arc, time};

use criterion::{Criterion, criterion_group, criterion_main};
use cuminkeel_dispatch::{offer_plan, pool_action};
use cuminkeel_node::{node_metrics, process_log};

/// Number of lines after which the buffer is emptied, so that it never fills up.
const LINES_PER_BATCH: usize = 1_000;
/// Number of routes in the largest configuration of the users' sites.
const ROUTE_COUNT: usize = 360;

fn bench_decision_line(criterion: &mut Criterion) {
    let buffer = Arc::new(process_log::LogBuffer::default());
    let logger = process_log::buffered_logger(&buffer, &Arc::from("edge-gebze-1"));
    let decision = pool_action::DecisionRecord {
        kind: pool_action::DecisionKind::Placed,
        request: Some(Arc::from("5c0e7a21d94b36f8.0.1.17")),
        server: Some(Arc::from("i-7f3a91c2")),
        outcome: "servers_reported",
        inputs: [
            ("wait_ms", 12),
            ("expected_ms", 60),
            ("run", 1),
            ("epoch", 4_160),
            ("unreported", 0),
            ("led_ms", 90_000),
            ("may_have_started", 0),
            ("", 0),
            ("", 0),
            ("", 0),
        ],
    };
    let mut line_count = 0;
    criterion.bench_function("decision line", |bencher| {
        bencher.iter(|| {
            process_log::log_decision(&logger, &decision);
            line_count += 1;
            if line_count % LINES_PER_BATCH == 0 {
                hint::black_box(buffer.take_lines());
            }
        });
    });
}

fn bench_scrape(criterion: &mut Criterion) {
    let metrics = node_metrics::NodeMetrics::default();
    for number in 0..ROUTE_COUNT {
        let route = Arc::from(format!("route-{number}"));
        metrics.count_answer(
            &route,
            &offer_plan::JobAnswer::Completed,
            time::Duration::from_millis(150),
        );
    }
    criterion.bench_function("scrape", |bencher| {
        bencher.iter(|| hint::black_box(metrics.encode()));
    });
}

criterion_group!(benches, bench_decision_line, bench_scrape);
criterion_main!(benches);
