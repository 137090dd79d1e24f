//! Prometheus metrics of the process.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time,
};

use cuminkeel_dispatch::{
    connection_budget, offer_plan, pool_action, read_progress, registry_relay,
};
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter, family, gauge, histogram},
    registry,
};

use crate::link_frame;

/// Upper bounds of the buckets for response times, in seconds: from one network hop to
/// twice the default time to a caller's deadline.
const RESPONSE_BUCKETS_S: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 4.0];

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

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RelayLabels {
    outcome: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ListenerLabels {
    listener: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ClosedLabels {
    listener: &'static str,
    cause: String,
}

type Family<L, M> = family::Family<L, M>;

/// Metrics of the connections of all listeners.
#[derive(Clone, Debug, Default)]
struct ConnectionMetrics {
    open: Family<ListenerLabels, gauge::Gauge>,
    max_open: Family<ListenerLabels, gauge::Gauge>,
    held_bytes: Family<ListenerLabels, gauge::Gauge>,
    max_held_bytes: Family<ListenerLabels, gauge::Gauge>,
    closed: Family<ClosedLabels, counter::Counter>,
}

impl ConnectionMetrics {
    fn register(&self, registry: &mut registry::Registry) {
        let gauges = [
            (
                "open_connections",
                "Open connections, by listener",
                &self.open,
            ),
            (
                "open_connections_limit",
                "Maximum number of open connections, by listener",
                &self.max_open,
            ),
            (
                "held_bytes",
                "Bytes that unfinished messages hold beyond those that each connection is free to hold, by listener",
                &self.held_bytes,
            ),
            (
                "held_bytes_limit",
                "Maximum of the bytes that unfinished messages hold, by listener",
                &self.max_held_bytes,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "connections_closed",
            "Connections that were closed or refused, by listener and cause: connection_limit, byte_limit, slow_head, idle",
            self.closed.clone(),
        );
    }
}

/// Metrics of the connections of one listener.
#[derive(Debug)]
pub struct ListenerMetrics {
    listener: &'static str,
    open: gauge::Gauge,
    held_bytes: gauge::Gauge,
    metrics: ConnectionMetrics,
}

impl ListenerMetrics {
    /// Sets the gauges for the limits.
    pub fn set_limits(&self, limits: &connection_budget::BudgetLimits) {
        let labels = ListenerLabels {
            listener: self.listener,
        };
        let metrics = &self.metrics;
        metrics
            .max_open
            .get_or_create(&labels)
            .set(to_gauge_value(limits.max_connections));
        metrics
            .max_held_bytes
            .get_or_create(&labels)
            .set(to_gauge_value(limits.max_held_bytes));
    }

    /// Sets the gauges for the use of the limits.
    pub fn set_use(&self, budget: &connection_budget::ConnectionBudget) {
        self.open.set(to_gauge_value(budget.connection_count()));
        self.held_bytes.set(to_gauge_value(budget.charged_bytes()));
    }

    /// Counts a connection that was closed or refused.
    pub fn count_closed(&self, cause: connection_budget::CloseCause) {
        let labels = ClosedLabels {
            listener: self.listener,
            cause: cause.to_string(),
        };
        self.metrics.closed.get_or_create(&labels).inc();
    }
}

/// Registry and metrics of the process.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Mutex<registry::Registry>,
    answers: Family<AnswerLabels, counter::Counter>,
    response_times: Family<ReasonLabels, histogram::Histogram>,
    decisions: Family<DecisionLabels, counter::Counter>,
    rejections: Family<ReasonLabels, counter::Counter>,
    store_failures: Family<ReasonLabels, counter::Counter>,
    withdrawn_orphans: counter::Counter,
    ignored_entries: counter::Counter,
    relays: Family<RelayLabels, counter::Counter>,
    withheld_relays: counter::Counter,
    caller_connections: gauge::Gauge,
    connections: ConnectionMetrics,
    state_gauges: StateGauges,
}

/// Gauges for the peers, the server pool and the configuration of the process.
#[derive(Debug, Default)]
struct StateGauges {
    known_peers: gauge::Gauge,
    linked_peers: gauge::Gauge,
    held_servers: gauge::Gauge,
    free_cpu_millis: gauge::Gauge,
    queued_jobs: gauge::Gauge,
    config_version: gauge::Gauge,
    evacuated_domains: gauge::Gauge,
    implausible_servers: gauge::Gauge,
    held_removals: gauge::Gauge,
    fencing_epoch: gauge::Gauge,
    rejecting_servers: gauge::Gauge,
    registry_age_ms: gauge::Gauge,
    registry_offset: gauge::Gauge,
}

impl StateGauges {
    fn register(&self, registry: &mut registry::Registry) {
        let gauges = [
            (
                "known_peers",
                "Peers that this process knows",
                &self.known_peers,
            ),
            (
                "linked_peers",
                "Peers to which this process is connected",
                &self.linked_peers,
            ),
            (
                "held_servers",
                "Backend servers held by the server pool of this process",
                &self.held_servers,
            ),
            (
                "free_cpu_millis",
                "Free processor capacity of the server pool, in thousandths of a core",
                &self.free_cpu_millis,
            ),
            (
                "queued_jobs",
                "Jobs in the server pool with at least one task that has no run",
                &self.queued_jobs,
            ),
            (
                "config_version",
                "Version of the configuration in force",
                &self.config_version,
            ),
            (
                "evacuated_domains",
                "Failure domains that are evacuated, as far as this process knows",
                &self.evacuated_domains,
            ),
            (
                "implausible_servers",
                "Backend servers that declare more than any machine has, as far as this process knows",
                &self.implausible_servers,
            ),
            (
                "held_removals",
                "Backend servers without a registry entry that still count as registered after an outage of the store",
                &self.held_removals,
            ),
            (
                "fencing_epoch",
                "Highest epoch of the fencing tokens granted to this process; 8589934591 stands for tokens beyond 53 bits",
                &self.fencing_epoch,
            ),
            (
                "rejecting_servers",
                "Backend servers that rejected the latest orders of this process for their fencing token",
                &self.rejecting_servers,
            ),
            (
                "registry_age_ms",
                "Age of what this process knows of the registry of backend servers, in ms; -1 before its first read",
                &self.registry_age_ms,
            ),
            (
                "registry_offset",
                "Offset of the registry's log up to which this process knows all records; -1 before its first read",
                &self.registry_offset,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }
}

/// Guard that counts one open connection of a caller until it is dropped.
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
        let response_times: Family<ReasonLabels, histogram::Histogram> =
            Family::new_with_constructor(|| histogram::Histogram::new(RESPONSE_BUCKETS_S));
        let decisions = Family::default();
        let rejections = Family::default();
        let store_failures = Family::default();
        let withdrawn_orphans = counter::Counter::default();
        let ignored_entries = counter::Counter::default();
        let relays = Family::default();
        let withheld_relays = counter::Counter::default();
        let caller_connections = gauge::Gauge::default();
        registry.register(
            "answers",
            "Jobs answered, by route and outcome",
            answers.clone(),
        );
        registry.register_with_unit(
            "response",
            "Time from a job's arrival to its answer, by outcome",
            registry::Unit::Seconds,
            response_times.clone(),
        );
        registry.register(
            "decisions",
            "Decisions of the server pool, by kind and outcome",
            decisions.clone(),
        );
        registry.register(
            "turned_away",
            "Rejected requests, by reason: unconfigured, unknown_route, unsupported, outdated, overloaded, or the limit that a job exceeds",
            rejections.clone(),
        );
        registry.register(
            "store_failures",
            "Failed requests to the store, by feed",
            store_failures.clone(),
        );
        registry.register(
            "orphaned_jobs_withdrawn",
            "Jobs of lost connections of peers that were withdrawn after their grace",
            withdrawn_orphans.clone(),
        );
        registry.register(
            "registry_entries_ignored",
            "Entries of the registry that name no server to use, as another writer left them",
            ignored_entries.clone(),
        );
        registry.register(
            "registry_relays",
            "Requests to peers for the registry, by outcome: fresh, old, withheld, unanswered",
            relays.clone(),
        );
        registry.register(
            "registry_relays_withheld",
            "Requests of peers for the registry that this process could not answer",
            withheld_relays.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            caller_connections.clone(),
        );
        let connections = ConnectionMetrics::default();
        connections.register(&mut registry);
        let state_gauges = StateGauges::default();
        state_gauges.register(&mut registry);
        Self {
            registry: Mutex::new(registry),
            answers,
            response_times,
            decisions,
            rejections,
            store_failures,
            withdrawn_orphans,
            ignored_entries,
            relays,
            withheld_relays,
            caller_connections,
            connections,
            state_gauges,
        }
    }
}

impl NodeMetrics {
    /// Counts an answered job and records its response time.
    pub fn count_answer(
        &self,
        route: &Arc<str>,
        answer: &offer_plan::JobAnswer,
        elapsed: time::Duration,
    ) {
        let outcome = match answer {
            offer_plan::JobAnswer::Completed => "completed",
            offer_plan::JobAnswer::CopyElsewhere | offer_plan::JobAnswer::Failed(_) => "failed",
            offer_plan::JobAnswer::Refused { .. } => "refused",
        };
        let labels = AnswerLabels {
            route: String::from(&**route),
            outcome,
        };
        self.answers.get_or_create(&labels).inc();
        self.response_times
            .get_or_create(&ReasonLabels { reason: outcome })
            .observe(elapsed.as_secs_f64());
    }

    /// Counts a decision of the server pool.
    pub fn count_decision(&self, decision: &pool_action::DecisionRecord) {
        let labels = DecisionLabels {
            kind: decision.kind.to_string(),
            outcome: decision.outcome,
        };
        self.decisions.get_or_create(&labels).inc();
    }

    /// Counts a request that was rejected because this process has no configuration, its route is
    /// unknown, it needs an unsupported feature, it was read too late, its job exceeds a limit, or there is no room
    /// for its body. Others are not counted.
    pub fn count_rejection(&self, reason: &'static str) {
        self.rejections
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts a job of a lost connection of a peer that was withdrawn after its grace.
    pub fn count_withdrawn_orphan(&self) {
        self.withdrawn_orphans.inc();
    }

    /// Counts an entry of the registry that names no server to use.
    pub fn count_ignored_entry(&self) {
        self.ignored_entries.inc();
    }

    /// Counts a request to a peer for the registry.
    pub fn count_relay(&self, outcome: registry_relay::RelayOutcome) {
        let labels = RelayLabels {
            outcome: outcome.to_string(),
        };
        self.relays.get_or_create(&labels).inc();
    }

    /// Counts a request of a peer for the registry that this process could not answer.
    pub fn count_withheld_relay(&self) {
        self.withheld_relays.inc();
    }

    /// Counts a failed request to the store.
    pub fn count_store_failure(&self, feed: &'static str) {
        self.store_failures
            .get_or_create(&ReasonLabels { reason: feed })
            .inc();
    }

    /// Sets the gauges for the known peers and for the connected ones.
    pub fn set_peer_gauges(&self, known: usize, connected: usize) {
        self.state_gauges.known_peers.set(to_gauge_value(known));
        self.state_gauges
            .linked_peers
            .set(to_gauge_value(connected));
    }

    /// Sets the gauges for the server pool.
    pub fn set_pool_gauges(&self, status: &link_frame::PeerStatus) {
        self.state_gauges
            .held_servers
            .set(i64::from(status.held_servers));
        self.state_gauges
            .free_cpu_millis
            .set(i64::from(status.free_cpu_millis));
        self.state_gauges
            .queued_jobs
            .set(i64::from(status.queued_jobs));
    }

    /// Sets the gauges for the claims on servers.
    pub fn set_claim_gauges(&self, epoch: u64, rejecting_servers: usize) {
        self.state_gauges.fencing_epoch.set(to_gauge_value(epoch));
        self.state_gauges
            .rejecting_servers
            .set(to_gauge_value(rejecting_servers));
    }

    /// Sets the gauge for the version of the configuration in force.
    pub fn set_config_gauge(&self, version: u64) {
        self.state_gauges
            .config_version
            .set(to_gauge_value(version));
    }

    /// Sets the gauge for the evacuated failure domains.
    pub fn set_evacuation_gauge(&self, domains: usize) {
        self.state_gauges
            .evacuated_domains
            .set(to_gauge_value(domains));
    }

    /// Sets the gauge for the servers that declare figures which are not believed.
    pub fn set_implausible_gauge(&self, servers: usize) {
        self.state_gauges
            .implausible_servers
            .set(to_gauge_value(servers));
    }

    /// Sets the gauge for the servers whose removal from the registry has not taken effect yet.
    pub fn set_held_removals_gauge(&self, servers: usize) {
        self.state_gauges.held_removals.set(to_gauge_value(servers));
    }

    /// Sets the gauges for what this process knows of the registry at `now`.
    pub fn set_registry_gauges(&self, progress: &read_progress::ReadProgress, now: time::Duration) {
        let age = progress.age(now).map_or(-1, pool_action::whole_ms);
        let offset = progress.next_offset().map_or(-1, to_gauge_value);
        self.state_gauges.registry_age_ms.set(age);
        self.state_gauges.registry_offset.set(offset);
    }

    /// Returns the metrics of the connections of `listener`.
    pub fn listener(&self, listener: &'static str) -> ListenerMetrics {
        let metrics = self.connections.clone();
        let labels = ListenerLabels { listener };
        let open = metrics.open.get_or_create(&labels).clone();
        let held_bytes = metrics.held_bytes.get_or_create(&labels).clone();
        ListenerMetrics {
            listener,
            open,
            held_bytes,
            metrics,
        }
    }

    /// Counts a connection of a caller as open until the returned guard is dropped.
    pub fn track_connection(&self) -> ConnectionGuard {
        self.caller_connections.inc();
        ConnectionGuard(self.caller_connections.clone())
    }

    /// Returns whether callers have open connections.
    pub fn has_connections(&self) -> bool {
        self.caller_connections.get() > 0
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        match text::encode(&mut text, &registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }
}

fn to_gauge_value(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}
