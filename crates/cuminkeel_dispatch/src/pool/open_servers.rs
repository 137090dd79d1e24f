//! Servers on which tasks can start, gathered once for each pass over the queue.
//!
//! While a pool is full, one or two of its servers have room at a time. A pass that read all servers for each
//! waiting task would take most of the processor of the leader of a large failure domain.

use std::{cell::Cell, sync::Arc, time};

use smallvec::SmallVec;

use super::{ServerPool, evidence};
use crate::{job_model, server_slot};

/// Maximum number of starts of a server that are not answered. Sent at once, the starts of a job of 850 tasks take
/// longer than their timeout, and after one that seems unanswered, a new claim fences the others.
pub(super) const MAX_OPEN_STARTS: usize = 32;

/// Server with room. What is read from all of its runs is kept for the pass.
#[derive(Clone, Debug)]
pub(super) struct OpenServer {
    pub(super) id: Arc<str>,
    pub(super) free: server_slot::FreeCapacity,
    open_starts: usize,
    /// Whether its leases can be renewed; `None` until a task needs it.
    renews_leases: Cell<Option<bool>>,
    /// Expiry of the lease that the latest start of the pass has renewed, on the server's clock, in ms.
    renewed_expiry_ms: Option<u64>,
}

impl OpenServer {
    fn new(id: &Arc<str>, slot: &server_slot::ServerSlot) -> Self {
        Self {
            id: Arc::clone(id),
            free: slot.free_capacity(),
            open_starts: slot.open_starts(),
            renews_leases: Cell::new(None),
            renewed_expiry_ms: None,
        }
    }
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
    /// Returns the servers with at least `cpu_millis` thousandths of a core free.
    pub(super) fn with_room(&self, cpu_millis: u32) -> impl Iterator<Item = &OpenServer> {
        self.servers
            .iter()
            .filter(move |server| server.free.cpu_millis >= cpu_millis)
    }

    /// Returns the servers whose free capacity suffices for a task of `step`.
    pub(super) fn with_room_for(
        &self,
        step: &job_model::StepSpec,
    ) -> impl Iterator<Item = &OpenServer> {
        self.servers.iter().filter(|server| server.free.fits(step))
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
        if now >= slot.settles_at && slot.startable_cpu_millis(now) > 0 {
            let server = OpenServer::new(id, slot);
            if server.open_starts < MAX_OPEN_STARTS {
                self.servers.push(server);
            }
        }
    }

    /// Returns the expiry of the lease that the latest start of this pass on server `id` has renewed, on the server's
    /// clock, in ms.
    pub(super) fn renewed_expiry_ms(&self, id: &str) -> Option<u64> {
        let mut servers = self.servers.iter();
        servers.find(|server| *server.id == *id)?.renewed_expiry_ms
    }

    /// Counts a task of `step` that was placed on server `id`, which has renewed its lease until `expiry_ms`. Removes
    /// the server if it takes no further task in this pass.
    pub(super) fn record_placement(
        &mut self,
        id: &Arc<str>,
        step: &job_model::StepSpec,
        expiry_ms: u64,
        takes_more: bool,
    ) {
        let Some(position) = self.servers.iter().position(|server| server.id == *id) else {
            return;
        };
        let Some(server) = self.servers.get_mut(position) else {
            return;
        };
        server.free = server.free.without(step);
        server.open_starts += 1;
        server.renewed_expiry_ms = Some(expiry_ms);
        let is_full = server.free.cpu_millis == 0 || server.open_starts >= MAX_OPEN_STARTS;
        if is_full || !takes_more {
            self.servers.remove(position);
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

    /// Whether the leases on a server with room can be renewed for as long as a hold takes.
    pub(super) fn can_renew_leases_on(
        &self,
        server: &OpenServer,
        slot: &server_slot::ServerSlot,
        now: time::Duration,
    ) -> bool {
        server.renews_leases.get().unwrap_or_else(|| {
            let can_renew = self.can_renew_leases(slot, self.settings.hold_wait, now);
            server.renews_leases.set(Some(can_renew));
            can_renew
        })
    }
}
