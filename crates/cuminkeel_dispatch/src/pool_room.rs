//! Summary of the tasks that a pool could start now, for processes that may offer it jobs.

use std::time;

use serde::{Deserialize, Serialize};

/// Number of bins into which usable servers are divided by their free processor.
pub const BIN_COUNT: usize = 16;

/// Room in a pool: the free processor of its usable servers, and the wait beyond that.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolRoom {
    /// Processor of the largest usable server, in thousandths of a core.
    pub largest_cpu_millis: u32,
    /// Number of usable servers by free processor. Servers in bin `i` have at least `i + 1`
    /// sixteenths of `largest_cpu_millis` free; those with less than one sixteenth are left out.
    pub server_counts: [u16; BIN_COUNT],
    /// Forecast time until a task of typical size that is queued now would start, in ms.
    pub queue_wait_ms: u32,
}

impl PoolRoom {
    /// Returns the room of servers, each given by its free processor and its capacity, in
    /// thousandths of a core.
    pub fn from_servers(
        servers: impl Iterator<Item = (u32, u32)> + Clone,
        queue_wait: time::Duration,
    ) -> Self {
        let largest_cpu_millis = servers
            .clone()
            .map(|(_, capacity)| capacity)
            .max()
            .unwrap_or(0);
        let mut room = Self {
            largest_cpu_millis,
            server_counts: [0; BIN_COUNT],
            queue_wait_ms: u32::try_from(queue_wait.as_millis()).unwrap_or(u32::MAX),
        };
        for (free_cpu_millis, _) in servers {
            let sixteenths = u64::from(free_cpu_millis) * BIN_COUNT as u64
                / u64::from(largest_cpu_millis.max(1));
            let bin = usize::try_from(sixteenths)
                .unwrap_or(BIN_COUNT)
                .min(BIN_COUNT)
                .checked_sub(1);
            if let Some(count) = bin.and_then(|bin| room.server_counts.get_mut(bin)) {
                *count = count.saturating_add(1);
            }
        }
        room
    }

    /// Returns how many tasks of `cpu_millis` thousandths of a core could start now, at least. A
    /// server counts with the lower bound of its bin.
    pub fn startable_tasks(&self, cpu_millis: u32) -> u32 {
        let needed = u64::from(cpu_millis.max(1));
        let tasks: u64 = (1_u64..)
            .zip(self.server_counts)
            .map(|(sixteenths, count)| {
                let free = u64::from(self.largest_cpu_millis) * sixteenths / BIN_COUNT as u64;
                free / needed * u64::from(count)
            })
            .sum();
        u32::try_from(tasks).unwrap_or(u32::MAX)
    }
}
