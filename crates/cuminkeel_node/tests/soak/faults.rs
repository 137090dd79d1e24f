//! Random external faults, which may overlap.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time,
};

use cuminkeel_replay::fake_server;
use platform_emulator::{emulated_store, loopback_proxy};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rustix::process::Signal;

use crate::{parameters, site};

/// Time for the processes to discover each other, in which no faults start.
pub const DISCOVERY_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Faults that were injected since the start of a run.
pub struct FaultLog {
    pub started_at: time::Instant,
    /// Times since the start, with descriptions.
    faults: Mutex<Vec<(time::Duration, String)>>,
}

impl FaultLog {
    pub fn start() -> Self {
        Self {
            started_at: time::Instant::now(),
            faults: Mutex::new(Vec::new()),
        }
    }

    pub fn record(&self, description: String) {
        self.lock_faults()
            .push((self.started_at.elapsed(), description));
    }

    pub fn lock_faults(&self) -> MutexGuard<'_, Vec<(time::Duration, String)>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Action that ends a fault.
enum Repair {
    RestartNode(usize),
    ResumeNode(usize),
    RestoreServer(usize),
    RestoreStore,
    RestoreProxy(usize),
    ReplaceServer(usize),
    RestoreEntry(usize),
    EndRejections(usize),
}

/// Distinguishes the random numbers of the later kinds of faults from those of the first kinds, so
/// that an old seed still draws the same faults of the first kinds.
const LATER_KINDS_SEED: u64 = 0x6c61_7465_7221;
/// Distinguishes the random numbers of lost registry entries from the others.
const LOST_ENTRIES_SEED: u64 = 0x656e_7472_6965;
/// Distinguishes the random numbers of freezes from the others.
const FREEZES_SEED: u64 = 0x6672_6565_7a65;
/// Distinguishes the random numbers of false rejections from the others.
const REJECTIONS_SEED: u64 = 0x7265_6a65_6374;
/// Distinguishes the random numbers of late orders from the others.
const LATE_ORDERS_SEED: u64 = 0x6f72_6465_7273;
/// Number of configurations in a storm.
const STORM_CONFIGS: u64 = 10;

/// Injects random faults for `parameters.fault_phase`, then ends those that remain.
pub async fn inject_faults(
    site: &site::SoakSite,
    fault_log: &FaultLog,
    seed: u64,
    parameters: &parameters::SoakParameters,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut later_random = StdRng::seed_from_u64(seed ^ LATER_KINDS_SEED);
    let mut entry_random = StdRng::seed_from_u64(seed ^ LOST_ENTRIES_SEED);
    let mut freeze_random = StdRng::seed_from_u64(seed ^ FREEZES_SEED);
    let mut rejection_random = StdRng::seed_from_u64(seed ^ REJECTIONS_SEED);
    let mut repairs: Vec<(time::Duration, Repair)> = Vec::new();
    tokio::time::sleep(DISCOVERY_TIME).await;
    for (server, number) in site.servers.iter().zip(0_u64..) {
        let order_seed = seed ^ LATE_ORDERS_SEED ^ (number << 48);
        server.set_late_orders(parameters.late_order_share, order_seed);
    }
    while fault_log.started_at.elapsed() < parameters.fault_phase {
        let now = fault_log.started_at.elapsed();
        let (due, pending) = repairs.into_iter().partition(|(at, _)| *at <= now);
        repairs = pending;
        for (_, repair) in due {
            repair_fault(site, repair).await;
        }
        let mut injected = Vec::new();
        if random.random_bool(parameters.scaled_probability(0.25)) {
            let fault = inject_one(site, &mut random).await;
            let fault_duration = time::Duration::from_millis(random.random_range(200..2_500));
            injected.push((fault, fault_duration));
        }
        if later_random.random_bool(parameters.scaled_probability(0.1)) {
            let fault = inject_later_kind(site, &mut later_random).await;
            let fault_duration = time::Duration::from_millis(later_random.random_range(200..2_500));
            injected.push((fault, fault_duration));
        }
        if entry_random.random_bool(parameters.lost_entry_probability) {
            let server = entry_random.random_range(0..site.servers.len());
            let fault_duration =
                time::Duration::from_millis(entry_random.random_range(1_000..6_000));
            site.servers[server].set_reaches_store(false, &site.store);
            let description = format!("server {server} loses its entry for {fault_duration:?}");
            injected.push((
                (description, Some(Repair::RestoreEntry(server))),
                fault_duration,
            ));
        }
        if freeze_random.random_bool(parameters.freeze_probability) {
            let node = freeze_random.random_range(0..site.nodes.len());
            let fault_duration =
                time::Duration::from_millis(freeze_random.random_range(300..3_500));
            site.nodes[node].signal(Signal::STOP);
            let description = format!("{} freezes for {fault_duration:?}", site.nodes[node].name);
            injected.push((
                (description, Some(Repair::ResumeNode(node))),
                fault_duration,
            ));
        }
        if rejection_random.random_bool(parameters.rejection_probability) {
            let fault = inject_rejections(site, &mut rejection_random);
            let fault_duration =
                time::Duration::from_millis(rejection_random.random_range(200..6_000));
            injected.push((fault, fault_duration));
        }
        for ((description, repair), fault_duration) in injected {
            fault_log.record(description);
            repairs.extend(repair.map(|repair| (now + fault_duration, repair)));
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    for (_, repair) in repairs {
        repair_fault(site, repair).await;
    }
}

/// Injects one random fault. Returns its description, and its repair unless it ends by itself.
async fn inject_one(site: &site::SoakSite, random: &mut StdRng) -> (String, Option<Repair>) {
    let node = random.random_range(0..site.nodes.len());
    let server = random.random_range(0..site.servers.len());
    let name = &site.nodes[node].name;
    match random.random_range(0..16) {
        0 => {
            site.nodes[node].signal(Signal::KILL);
            site.nodes[node].wait_for_exit().await;
            (format!("kill {name}"), Some(Repair::RestartNode(node)))
        }
        1 => {
            site.nodes[node].signal(Signal::TERM);
            (format!("stop {name}"), Some(Repair::RestartNode(node)))
        }
        2 | 3 => {
            site.nodes[node].signal(Signal::STOP);
            (format!("pause {name}"), Some(Repair::ResumeNode(node)))
        }
        4 => {
            site.nodes[node].signal(Signal::HUP);
            (format!("reload {name}"), None)
        }
        5 => {
            site.servers[server].restart(&site.store);
            (format!("restart server {server}"), None)
        }
        6 => {
            let mode = match random.random_range(0..3) {
                0 => emulated_store::StoreMode::Unavailable,
                1 => emulated_store::StoreMode::Unresponsive,
                _ => emulated_store::StoreMode::DropsResponses,
            };
            site.store.set_mode(mode);
            (format!("store {mode:?}"), Some(Repair::RestoreStore))
        }
        7 => {
            for topic in ["keyed.op", "keyed.servers", "keyed.peers"] {
                site.store.compact(topic);
            }
            (String::from("compact the store"), None)
        }
        8 => {
            let version = random.random_range(2..1_000);
            site.write_config(version);
            (format!("configuration {version}"), None)
        }
        9..=12 => {
            let proxy_index = random.random_range(0..site.proxy_count());
            let delay = time::Duration::from_millis(random.random_range(5..200));
            let mode = match random.random_range(0..5) {
                0 => loopback_proxy::ProxyMode::Delay(delay),
                1 => loopback_proxy::ProxyMode::StallUpstream,
                2 => loopback_proxy::ProxyMode::StallDownstream,
                3 => loopback_proxy::ProxyMode::StallBoth,
                _ => loopback_proxy::ProxyMode::Reset,
            };
            site.set_proxy_mode(proxy_index, mode);
            (
                format!("proxy {proxy_index} {mode:?}"),
                Some(Repair::RestoreProxy(proxy_index)),
            )
        }
        _ => {
            let start_delay = time::Duration::from_millis(random.random_range(300..3_000));
            let mode = match random.random_range(0..5) {
                0 => fake_server::ServerMode::Unreachable,
                1 => fake_server::ServerMode::Hanging,
                2 => fake_server::ServerMode::Failing,
                3 => fake_server::ServerMode::Slow(5.0),
                _ => fake_server::ServerMode::DelayedStarts(start_delay),
            };
            site.servers[server].set_mode(mode);
            (
                format!("server {server} {mode:?}"),
                Some(Repair::RestoreServer(server)),
            )
        }
    }
}

/// Injects one random fault of the kinds that were added later. Returns the same as [`inject_one`].
async fn inject_later_kind(site: &site::SoakSite, random: &mut StdRng) -> (String, Option<Repair>) {
    let server = random.random_range(0..site.servers.len());
    match random.random_range(0..4) {
        0 => {
            site.servers[server].set_mode(fake_server::ServerMode::StartAnswersLost);
            (
                format!("server {server} loses the answers of starts"),
                Some(Repair::RestoreServer(server)),
            )
        }
        1 => {
            let first_version = random.random_range(2..1_000);
            for version in first_version..first_version + STORM_CONFIGS {
                site.write_config(version);
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
            (
                format!("storm of configurations from {first_version}"),
                None,
            )
        }
        2 => {
            site.servers[server].set_draining(true, &site.store);
            (
                format!("server {server} drains and is replaced"),
                Some(Repair::ReplaceServer(server)),
            )
        }
        _ => {
            site.set_all_proxy_modes(loopback_proxy::ProxyMode::Reset);
            tokio::time::sleep(time::Duration::from_millis(20)).await;
            site.set_all_proxy_modes(loopback_proxy::ProxyMode::Forward);
            (String::from("reset all connections"), None)
        }
    }
}

/// Lets one server reject orders for no reason. Returns the same as [`inject_one`].
fn inject_rejections(site: &site::SoakSite, random: &mut StdRng) -> (String, Option<Repair>) {
    let server = random.random_range(0..site.servers.len());
    let rejection = match random.random_range(0..4) {
        0 => fake_server::OrderRejection::All,
        1 => fake_server::OrderRejection::Starts,
        2 => fake_server::OrderRejection::OneIn(random.random_range(2..6)),
        _ => fake_server::OrderRejection::Spells {
            period: time::Duration::from_millis(random.random_range(300..1_500)),
            length: time::Duration::from_millis(random.random_range(50..300)),
        },
    };
    site.servers[server].set_rejection(rejection);
    (
        format!("server {server} rejects orders: {rejection:?}"),
        Some(Repair::EndRejections(server)),
    )
}

async fn repair_fault(site: &site::SoakSite, repair: Repair) {
    match repair {
        Repair::RestartNode(node) => {
            // Another fault may have paused the process; it would handle SIGTERM only after
            // SIGCONT.
            site.nodes[node].signal(Signal::CONT);
            site.nodes[node].signal(Signal::TERM);
            site.nodes[node].wait_for_exit().await;
            site.nodes[node].start();
        }
        Repair::ResumeNode(node) => site.nodes[node].signal(Signal::CONT),
        Repair::RestoreServer(server) => {
            site.servers[server].set_mode(fake_server::ServerMode::Healthy);
        }
        Repair::ReplaceServer(server) => {
            site.servers[server].restart(&site.store);
            site.servers[server].set_draining(false, &site.store);
        }
        Repair::RestoreEntry(server) => {
            site.servers[server].set_reaches_store(true, &site.store);
        }
        Repair::EndRejections(server) => {
            site.servers[server].set_rejection(fake_server::OrderRejection::None);
        }
        Repair::RestoreStore => site.store.set_mode(emulated_store::StoreMode::Up),
        Repair::RestoreProxy(index) => {
            site.set_proxy_mode(index, loopback_proxy::ProxyMode::Forward);
        }
    }
}
