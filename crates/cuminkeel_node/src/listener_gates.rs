//! Gates of all listeners of a process, and the time limits of their connections.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{connection_budget, machine_limits};
use platform_adapter::routing;

use crate::{connection_gate, node_metrics};

/// Factor from a time limit that callers keep to that after which their connections are closed: what they sent in
/// time may have been delayed on its way.
const TIME_LIMIT_FACTOR: u32 = 2;
/// Time limits of connections of peers, for readiness probes and for readers of the metrics. Peers and the platform
/// send at least once in some seconds.
const INTERNAL_TIME_LIMITS: connection_budget::TimeLimits = connection_budget::TimeLimits {
    head: time::Duration::from_secs(6),
    idle: time::Duration::from_secs(30),
};

/// Connections of each listener of the process.
#[derive(Debug)]
pub struct ListenerGates {
    /// Connections of callers.
    pub callers: Arc<connection_gate::ConnectionGate>,
    /// Connections of peers.
    pub links: Arc<connection_gate::ConnectionGate>,
    /// Connections for readiness probes.
    pub readiness: Arc<connection_gate::ConnectionGate>,
    /// Connections of readers of the metrics.
    pub metrics: Arc<connection_gate::ConnectionGate>,
}

impl ListenerGates {
    /// Creates the gates without connections.
    pub fn new(
        limits: &machine_limits::ListenerLimits,
        metrics: &node_metrics::NodeMetrics,
        logger: &slog::Logger,
    ) -> Self {
        let gate = |listener, limits| {
            let metrics = metrics.listener(listener);
            let gate =
                connection_gate::ConnectionGate::new(listener, limits, metrics, logger.clone());
            Arc::new(gate)
        };
        Self {
            callers: gate("callers", limits.callers),
            links: gate("links", limits.links),
            readiness: gate("readiness", limits.probes),
            metrics: gate("metrics", limits.probes),
        }
    }

    /// Closes connections that have exceeded a time limit. `limits` are those of callers. Called at intervals of
    /// [`connection_gate::CHECK_INTERVAL`].
    pub fn close_overdue(&self, now: time::Duration, limits: &routing::RequestLimits) {
        let caller_limits = connection_budget::TimeLimits {
            head: limits.head_timeout * TIME_LIMIT_FACTOR,
            idle: limits.idle_timeout * TIME_LIMIT_FACTOR,
        };
        self.callers.close_overdue(now, &caller_limits);
        for gate in [&self.links, &self.readiness, &self.metrics] {
            gate.close_overdue(now, &INTERNAL_TIME_LIMITS);
        }
    }
}
