//! Cost of a decision's line and of a scrape.

use std::{hint, sync::Arc, time};

use criterion::{Criterion, criterion_group, criterion_main};
use cuminkeel_dispatch::pool_action;
use cuminkeel_node::{coordinator, decision_log, node_metrics};

/// Lines between two takings of the buffer, so that it never fills.
const LINES_A_BATCH: usize = 1_000;
/// Routes of the largest configuration that the users' sites play.
const ROUTES: usize = 360;

fn decision_line(criterion: &mut Criterion) {
    let buffer = Arc::new(decision_log::LogBuffer::default());
    let logger = decision_log::buffered_logger(&buffer, &Arc::from("edge-gebze-1"));
    let note = pool_action::DecisionRecord {
        kind: pool_action::DecisionKind::Placed,
        request: Some(Arc::from("5c0e7a21d94b36f8.0.1.17")),
        server: Some(Arc::from("i-7f3a91c2")),
        outcome: "ordered",
        inputs: [("wait_ms", 12), ("expected_ms", 60), ("run", 1)],
    };
    let mut count = 0;
    criterion.bench_function("decision line", |bencher| {
        bencher.iter(|| {
            decision_log::log_decision(&logger, &note);
            count += 1;
            if count % LINES_A_BATCH == 0 {
                hint::black_box(buffer.take());
            }
        });
    });
}

fn scrape(criterion: &mut Criterion) {
    let metrics = node_metrics::NodeMetrics::default();
    for number in 0..ROUTES {
        let route = Arc::from(format!("route-{number}"));
        metrics.count_answer(
            &route,
            &coordinator::JobAnswer::Completed,
            time::Duration::from_millis(150),
        );
    }
    criterion.bench_function("scrape", |bencher| {
        bencher.iter(|| hint::black_box(metrics.encode()));
    });
}

criterion_group!(benches, decision_line, scrape);
criterion_main!(benches);
