//! Limits on the connections of a process, derived from the size of its machine.
//!
//! The memory is divided once, so that the process stays within it if all connections hold what they may: the
//! heads and bodies of unfinished messages, and what lies unread in the receive queues. A third is left for the
//! decisions, the jobs and the log.

use crate::connection_budget;

/// Size of the receive queue of an accepted connection, in bytes. The largest legal head fits.
pub const RECEIVE_QUEUE_BYTES: usize = 32 * 1_024;
/// Memory of a connection of a caller: its state, a read buffer that has grown to twice the largest legal head, or
/// one of half that size and [`connection_budget::FREE_BYTES`] of a body, and its receive queue.
const CALLER_CONNECTION_BYTES: usize = 40 * 1_024 + RECEIVE_QUEUE_BYTES;
/// Memory of a connection of a peer: its state, a read buffer of 8 KiB, a short frame and its receive queue.
const LINK_CONNECTION_BYTES: usize = 16 * 1_024 + RECEIVE_QUEUE_BYTES;
/// Share of the memory for connections of callers, in percent.
const CALLER_CONNECTIONS_PERCENT: usize = 40;
/// Share of the memory for what unfinished requests hold beyond their free bytes, in percent.
const CALLER_BYTES_PERCENT: usize = 12;
/// Share of the memory for connections of peers, in percent: 195 on a machine of 120 MB.
const LINK_CONNECTIONS_PERCENT: usize = 8;
/// Share of the memory for what unfinished frames hold beyond their free bytes, in percent.
const LINK_BYTES_PERCENT: usize = 6;
/// Minimum of that share, in bytes: one frame of the largest size.
const MIN_LINK_BYTES: usize = 4 * 1_024 * 1_024;
/// Connections for readiness probes, and as many for readers of the metrics. The platform has one.
const PROBE_CONNECTIONS: usize = 16;
/// Bytes that unfinished probes hold beyond their free bytes.
const PROBE_BYTES: usize = 128 * 1_024;
/// Descriptors for files, which the platform reserves.
const FILE_DESCRIPTORS: usize = 200;
/// Share of the other descriptors for callers, in percent. The rest is for servers, peers and the store.
const CALLER_DESCRIPTORS_PERCENT: usize = 60;
/// Share of the other descriptors for peers, in percent.
const LINK_DESCRIPTORS_PERCENT: usize = 15;
/// Bytes of a MB in the size of a machine.
const BYTES_PER_MB: usize = 1_000_000;

/// Size of the machine of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MachineSize {
    /// Memory of the process, in MB.
    pub memory_mb: u32,
    /// Descriptors of the process.
    pub descriptors: u32,
}

/// Limits on the connections of each listener of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerLimits {
    /// Connections of callers.
    pub callers: connection_budget::BudgetLimits,
    /// Connections of peers.
    pub links: connection_budget::BudgetLimits,
    /// Connections for readiness probes, and as many for readers of the metrics.
    pub probes: connection_budget::BudgetLimits,
}

impl MachineSize {
    /// Returns the limits with which a process on this machine stays within its memory and descriptors.
    pub fn listener_limits(&self) -> ListenerLimits {
        let memory_bytes = as_usize(self.memory_mb).saturating_mul(BYTES_PER_MB);
        let sockets = as_usize(self.descriptors).saturating_sub(FILE_DESCRIPTORS);
        let connections = |memory_percent: usize, connection_bytes: usize, descriptors_percent| {
            let by_memory = memory_bytes / 100 * memory_percent / connection_bytes;
            by_memory.min(sockets * descriptors_percent / 100).max(1)
        };
        ListenerLimits {
            callers: connection_budget::BudgetLimits {
                max_connections: connections(
                    CALLER_CONNECTIONS_PERCENT,
                    CALLER_CONNECTION_BYTES,
                    CALLER_DESCRIPTORS_PERCENT,
                ),
                max_held_bytes: memory_bytes / 100 * CALLER_BYTES_PERCENT,
            },
            links: connection_budget::BudgetLimits {
                max_connections: connections(
                    LINK_CONNECTIONS_PERCENT,
                    LINK_CONNECTION_BYTES,
                    LINK_DESCRIPTORS_PERCENT,
                ),
                max_held_bytes: (memory_bytes / 100 * LINK_BYTES_PERCENT).max(MIN_LINK_BYTES),
            },
            probes: connection_budget::BudgetLimits {
                max_connections: PROBE_CONNECTIONS,
                max_held_bytes: PROBE_BYTES,
            },
        }
    }
}

fn as_usize(value: u32) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
