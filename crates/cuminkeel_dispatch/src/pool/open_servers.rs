//! Servers on which tasks can start, gathered once for each pass over the queue.
//!
//! While a pool is full, one or two of its servers have room at a time. A pass that read all servers for each
//! waiting task would take most of the processor of the leader of a large failure domain.

use std::{sync::Arc, time};

use smallvec::SmallVec;

use super::{ServerPool, evidence};
use crate::server_slot;

/// Server with room, and its free processor in thousandths of a core.
#[derive(Clone, Debug)]
struct OpenServer {
    id: Arc<str>,
    free_cpu_millis: u32,
}

/// Servers with room for a task, in the order of their ids.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenServers {
    servers: SmallVec<[OpenServer; 8]>,
    /// Lowest slowdown factor of the usable servers of each service, with or without room.
    min_slowdowns: SmallVec<[(Arc<str>, f64); 1]>,
    /// What allows the starts of this pass.
    evidence: evidence::StartEvidence,
}

impl OpenServers {
    /// Returns the ids of the servers with at least `cpu_millis` thousandths of a core free.
    pub(super) fn with_room(&self, cpu_millis: u32) -> impl Iterator<Item = &Arc<str>> {
        self.servers
            .iter()
            .filter(move |server| server.free_cpu_millis >= cpu_millis)
            .map(|server| &server.id)
    }

    /// Whether no server has room for a task that uses `cpu_millis` thousandths of a core.
    pub(super) fn is_full_for(&self, cpu_millis: u32) -> bool {
        self.with_room(cpu_millis).next().is_none()
    }

    /// Returns the number of services with a usable server, with or without room.
    pub(super) fn service_count(&self) -> usize {
        self.min_slowdowns.len()
    }

    /// Whether `service` has a usable server, with or without room.
    pub(super) fn has_service(&self, service: &str) -> bool {
        self.min_slowdowns
            .iter()
            .any(|(name, _)| **name == *service)
    }

    /// Returns what allows the starts of this pass.
    pub(super) fn evidence(&self) -> evidence::StartEvidence {
        self.evidence
    }

    /// Returns the lowest slowdown factor of the usable servers of `service`.
    pub(super) fn min_slowdown(&self, service: &str) -> f64 {
        self.min_slowdowns
            .iter()
            .find(|(name, _)| **name == *service)
            .map_or(f64::MAX, |(_, slowdown)| *slowdown)
    }

    fn add(&mut self, id: &Arc<str>, slot: &server_slot::ServerSlot, now: time::Duration) {
        let service = &slot.entry.service;
        let known = self
            .min_slowdowns
            .iter_mut()
            .find(|(name, _)| name == service);
        match known {
            Some((_, slowdown)) => *slowdown = slowdown.min(slot.slowdown_factor),
            None => self
                .min_slowdowns
                .push((Arc::clone(service), slot.slowdown_factor)),
        }
        let free_cpu_millis = slot.startable_cpu_millis(now);
        if free_cpu_millis > 0 && now >= slot.settles_at {
            self.servers.push(OpenServer {
                id: Arc::clone(id),
                free_cpu_millis,
            });
        }
    }

    fn update(&mut self, id: &str, free_cpu_millis: u32) {
        let known = self.servers.iter().position(|server| *server.id == *id);
        match known {
            Some(position) if free_cpu_millis == 0 => {
                self.servers.remove(position);
            }
            Some(position) => {
                if let Some(server) = self.servers.get_mut(position) {
                    server.free_cpu_millis = free_cpu_millis;
                }
            }
            None => {}
        }
    }
}

impl ServerPool {
    /// Returns the servers on which tasks can start at `now`.
    pub(super) fn open_servers(&mut self, now: time::Duration) -> OpenServers {
        self.update_speeds(now);
        let mut open_servers = OpenServers {
            evidence: self.start_evidence(now),
            ..OpenServers::default()
        };
        for (id, slot) in self.servers.iter().filter(|(_, slot)| slot.is_usable(now)) {
            open_servers.add(id, slot, now);
        }
        open_servers
    }

    /// Updates the room of server `id`, on which a task was placed.
    pub(super) fn update_open_server(
        &self,
        open_servers: &mut OpenServers,
        id: &Arc<str>,
        now: time::Duration,
    ) {
        let free_cpu_millis = self
            .servers
            .get(id)
            .filter(|slot| slot.is_usable(now))
            .map_or(0, |slot| slot.startable_cpu_millis(now));
        open_servers.update(id, free_cpu_millis);
    }
}
