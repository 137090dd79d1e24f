//! Carries out the faults of a load pattern on the servers of a simulation.

use std::{sync::Arc, time};

use crate::{fake_server, load_pattern, pool_simulation};

/// Time after which a server whose new capacity is registered starts to use it: orders that the pool sent
/// before it learnt of the change arrive first.
const CAPACITY_CHANGE_DELAY: time::Duration = time::Duration::from_millis(1);

/// What happens to a server.
#[derive(Clone, Copy, Debug)]
enum ServerFault {
    Mode(fake_server::ServerMode),
    RegisteredCapacity(u32),
}

/// Faults that have not been carried out, in order of time.
#[derive(Clone, Debug)]
pub(crate) struct FaultSchedule {
    server_ids: Vec<Arc<str>>,
    faults: Vec<(time::Duration, usize, ServerFault)>,
    next: usize,
}

impl FaultSchedule {
    pub(crate) fn new(pattern: &load_pattern::LoadPattern) -> Self {
        let modes = pattern
            .mode_changes
            .iter()
            .map(|change| (change.at, change.server, ServerFault::Mode(change.mode)));
        let capacities = pattern.capacity_changes.iter().map(|change| {
            let fault = ServerFault::RegisteredCapacity(change.cpu_millis);
            (change.at, change.server, fault)
        });
        let mut faults: Vec<_> = modes.chain(capacities).collect();
        faults.sort_by_key(|(at, ..)| *at);
        let server_ids = pattern.servers.iter();
        Self {
            server_ids: server_ids.map(|server| server.entry.id.clone()).collect(),
            faults,
            next: 0,
        }
    }

    /// Returns the time of the next fault, from the start of the pattern, if it is due by `until`.
    pub(crate) fn next_at(&self, until: time::Duration) -> Option<time::Duration> {
        let (at, ..) = self.faults.get(self.next)?;
        (*at <= until).then_some(*at)
    }

    /// Carries out all faults that are due by `until`, a time from the start of the pattern.
    pub(crate) fn apply_due(
        &mut self,
        simulation: &mut pool_simulation::PoolSimulation,
        until: time::Duration,
    ) {
        while let Some((at, server, fault)) = self.faults.get(self.next).copied()
            && at <= until
        {
            self.next += 1;
            let id = &*self.server_ids[server];
            match fault {
                ServerFault::Mode(mode) => simulation.server_mut(id).mode = mode,
                ServerFault::RegisteredCapacity(cpu_millis) => {
                    simulation.resize_server(id, cpu_millis, CAPACITY_CHANGE_DELAY);
                }
            }
        }
    }
}
