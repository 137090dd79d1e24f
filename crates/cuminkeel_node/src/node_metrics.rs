//! Counters and histograms of the process.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time,
};

use cuminkeel_dispatch::pool_action;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter, family, gauge, histogram},
    registry,
};

use crate::{coordinator, link_frame};

/// Upper bounds of the response times' buckets, in seconds: from a hop to a caller's deadline.
const RESPONSE_BUCKETS: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 4.0];

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct AnswerLabels {
    route: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct DecisionLabels {
    kind: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ReasonLabels {
    reason: &'static str,
}

type Family<L, M> = family::Family<L, M>;

/// Counters and histograms of the process.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Mutex<registry::Registry>,
    answers: Family<AnswerLabels, counter::Counter>,
    responses: Family<ReasonLabels, histogram::Histogram>,
    decisions: Family<DecisionLabels, counter::Counter>,
    refusals: Family<ReasonLabels, counter::Counter>,
    store_failures: Family<ReasonLabels, counter::Counter>,
    connections: gauge::Gauge,
    state: StateGauges,
}

/// Gauges of what the process believes and owns.
#[derive(Debug, Default)]
struct StateGauges {
    known_peers: gauge::Gauge,
    linked_peers: gauge::Gauge,
    held_servers: gauge::Gauge,
    free_cpu: gauge::Gauge,
    queued_jobs: gauge::Gauge,
    config_version: gauge::Gauge,
}

impl StateGauges {
    fn register(&self, registry: &mut registry::Registry) {
        let gauges = [
            (
                "known_peers",
                "Processes that this one knows of",
                &self.known_peers,
            ),
            (
                "linked_peers",
                "Processes that it has a link to",
                &self.linked_peers,
            ),
            (
                "held_servers",
                "Backend servers that its pool holds",
                &self.held_servers,
            ),
            (
                "free_cpu_millis",
                "Free processor of its pool, in thousandths of a core",
                &self.free_cpu,
            ),
            (
                "queued_jobs",
                "Jobs in its pool with tasks that wait for room",
                &self.queued_jobs,
            ),
            (
                "config_version",
                "Version of the configuration in force",
                &self.config_version,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }
}

/// An open connection of a caller, as counted.
#[derive(Debug)]
pub struct ConnectionGuard(gauge::Gauge);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        let mut registry = registry::Registry::with_prefix("cuminkeel");
        let answers = Family::default();
        let responses: Family<ReasonLabels, histogram::Histogram> =
            Family::new_with_constructor(|| histogram::Histogram::new(RESPONSE_BUCKETS));
        let decisions = Family::default();
        let refusals = Family::default();
        let store_failures = Family::default();
        let connections = gauge::Gauge::default();
        registry.register(
            "answers",
            "Jobs answered, by route and outcome",
            answers.clone(),
        );
        registry.register_with_unit(
            "response",
            "Time from a job's arrival to its answer, by outcome",
            registry::Unit::Seconds,
            responses.clone(),
        );
        registry.register("decisions", "Decisions of the pool", decisions.clone());
        registry.register(
            "turned_away",
            "Calls turned away before the pool",
            refusals.clone(),
        );
        registry.register(
            "store_failures",
            "Calls of the store without an answer, by feed",
            store_failures.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            connections.clone(),
        );
        let state = StateGauges::default();
        state.register(&mut registry);
        Self {
            registry: Mutex::new(registry),
            answers,
            responses,
            decisions,
            refusals,
            store_failures,
            connections,
            state,
        }
    }
}

impl NodeMetrics {
    /// Counts an answered job.
    pub fn count_answer(
        &self,
        route: &Arc<str>,
        answer: &coordinator::JobAnswer,
        took: time::Duration,
    ) {
        let outcome = match answer {
            coordinator::JobAnswer::Completed => "completed",
            coordinator::JobAnswer::Failed(_) => "failed",
            coordinator::JobAnswer::Refused { .. } => "refused",
        };
        let labels = AnswerLabels {
            route: String::from(&**route),
            outcome,
        };
        self.answers.get_or_create(&labels).inc();
        self.responses
            .get_or_create(&ReasonLabels { reason: outcome })
            .observe(took.as_secs_f64());
    }

    /// Counts a decision of the pool.
    pub fn count_decision(&self, note: &pool_action::DecisionRecord) {
        let labels = DecisionLabels {
            kind: note.kind.to_string(),
            outcome: note.outcome,
        };
        self.decisions.get_or_create(&labels).inc();
    }

    /// Counts a call that was turned away before it reached a pool.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a call of the store without an answer.
    pub fn count_store_failure(&self, feed: &'static str) {
        self.store_failures
            .get_or_create(&ReasonLabels { reason: feed })
            .inc();
    }

    /// Shows the number of peers.
    pub fn set_peer_gauges(&self, known: usize, linked: usize) {
        self.state.known_peers.set(whole(known));
        self.state.linked_peers.set(whole(linked));
    }

    /// Shows the state of the pool.
    pub fn set_pool_gauges(&self, status: &link_frame::PeerStatus) {
        self.state.held_servers.set(i64::from(status.held_servers));
        self.state.free_cpu.set(i64::from(status.free_cpu_millis));
        self.state.queued_jobs.set(i64::from(status.queued_jobs));
    }

    /// Shows the version of the configuration in force.
    pub fn set_config_gauge(&self, version: u64) {
        self.state.config_version.set(whole(version));
    }

    /// Counts a connection of a caller until the result is dropped.
    pub fn track_connection(&self) -> ConnectionGuard {
        self.connections.inc();
        ConnectionGuard(self.connections.clone())
    }

    /// Whether callers have open connections.
    pub fn has_connections(&self) -> bool {
        self.connections.get() > 0
    }

    /// All of it in the text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        match text::encode(&mut text, &registry) {
            Ok(()) => text,
            Err(failure) => format!("# {failure}\n"),
        }
    }
}

fn whole(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}
