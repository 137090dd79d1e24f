//! Choice among the entries on the caller's side, in the place of the
//! platform's balancer.

use std::{net, sync};

use cuminkeel_platform::border;
use rand::{RngExt, SeedableRng, rngs};

use crate::{platform, sync_lock};

/// How requests are spread.
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerSpread {
    /// One after the other.
    RoundRobin,
    /// At random, in proportion to a weight for each entry in the order of the
    /// VM list; entries without a weight get none.
    Weighted(Vec<u32>),
}

/// Picks entries from the platform's VM list, without those that leave and
/// those that did not take a connection.
#[derive(Debug)]
pub struct EntryBalancer {
    platform: sync::Arc<platform::PlatformStandin>,
    spread: BalancerSpread,
    double_every: u64,
    state: sync::Mutex<BalancerState>,
}

#[derive(Debug)]
struct BalancerState {
    picks: u64,
    unreachable: Vec<net::SocketAddr>,
    rng: rngs::StdRng,
}

/// Where one request goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BalancerPick {
    /// The entry.
    pub first: net::SocketAddr,
    /// Another entry that gets the same request as well.
    pub second: Option<net::SocketAddr>,
}

impl EntryBalancer {
    /// A balancer that sends each `double_every`-th request to two entries; 0
    /// means never.
    pub fn new(
        platform: sync::Arc<platform::PlatformStandin>,
        spread: BalancerSpread,
        double_every: u64,
        seed: u64,
    ) -> Self {
        let state = BalancerState {
            picks: 0,
            unreachable: Vec::new(),
            rng: rngs::StdRng::seed_from_u64(seed),
        };
        Self {
            platform,
            spread,
            double_every,
            state: sync::Mutex::new(state),
        }
    }

    /// Picks for one request; none if no entry is offered.
    pub fn pick(&self) -> Option<BalancerPick> {
        let entries = self.offered();
        let mut state = sync_lock::lock(&self.state);
        state.picks += 1;
        let first = self.choose(&entries, &mut state)?;
        let doubled = self.double_every > 0 && state.picks.is_multiple_of(self.double_every);
        let others: Vec<OfferedEntry> = entries
            .into_iter()
            .filter(|entry| doubled && entry.api != first)
            .collect();
        let second = self.choose(&others, &mut state);
        Some(BalancerPick { first, second })
    }

    /// Notes that an entry did not take a connection, as a health check would.
    pub fn mark_unreachable(&self, api: net::SocketAddr) {
        let mut state = sync_lock::lock(&self.state);
        if !state.unreachable.contains(&api) {
            state.unreachable.push(api);
        }
    }

    /// Offers an entry again.
    pub fn mark_reachable(&self, api: net::SocketAddr) {
        sync_lock::lock(&self.state)
            .unreachable
            .retain(|address| *address != api);
    }

    /// Entries that are listed as live and take connections.
    fn offered(&self) -> Vec<OfferedEntry> {
        let unreachable = sync_lock::lock(&self.state).unreachable.clone();
        self.platform
            .visible_vms()
            .vms
            .iter()
            .filter_map(listed_entry)
            .enumerate()
            .map(|(position, (api, state))| (OfferedEntry { position, api }, state))
            .filter(|(entry, state)| {
                *state == border::VmState::Live && !unreachable.contains(&entry.api)
            })
            .map(|(entry, _live)| entry)
            .collect()
    }

    fn choose(
        &self,
        entries: &[OfferedEntry],
        state: &mut BalancerState,
    ) -> Option<net::SocketAddr> {
        if entries.is_empty() {
            return None;
        }
        match &self.spread {
            BalancerSpread::RoundRobin => {
                let index = state.picks % entries.len() as u64;
                let index = usize::try_from(index).unwrap_or_default();
                entries.get(index).map(|entry| entry.api)
            }
            BalancerSpread::Weighted(weights) => choose_weighted(entries, weights, state),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct OfferedEntry {
    position: usize,
    api: net::SocketAddr,
}

fn listed_entry(vm: &border::VmRecord) -> Option<(net::SocketAddr, border::VmState)> {
    match vm.role {
        border::VmRole::Entry { api, .. } => Some((api, vm.state)),
        border::VmRole::BackendServer { .. } => None,
    }
}

fn choose_weighted(
    entries: &[OfferedEntry],
    weights: &[u32],
    state: &mut BalancerState,
) -> Option<net::SocketAddr> {
    let weight = |entry: &OfferedEntry| weights.get(entry.position).copied().unwrap_or_default();
    let total: u32 = entries.iter().map(weight).sum();
    if total == 0 {
        return entries.first().map(|entry| entry.api);
    }
    let mut rest = state.rng.random_range(0..total);
    for entry in entries {
        match weight(entry) {
            weight if rest < weight => return Some(entry.api),
            weight => rest -= weight,
        }
    }
    None
}
