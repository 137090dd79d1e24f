//! Faults from outside, in series and overlapping.

use std::time;

use cuminkeel_replay::fake_server;
use platform_emulator::emulated_store;
use rand::{RngExt, rngs::StdRng};
use rustix::process::Signal;

use crate::{proxy, site};

/// A fault as it was injected.
#[derive(Clone, Debug)]
pub struct Fault {
    #[expect(dead_code, reason = "shown when a promise is broken")]
    pub at: time::Duration,
    #[expect(dead_code, reason = "shown when a promise is broken")]
    pub what: String,
    /// Position of the process that was paused.
    pub paused: Option<usize>,
}

/// Something that ends a fault later.
enum Repair {
    StartNode(usize),
    ResumeNode(usize),
    MendServer(usize),
    MendStore,
    MendProxy(usize),
}

/// Injects faults for `length`.
pub async fn inject(
    site: &mut site::SoakSite,
    random: &mut StdRng,
    length: time::Duration,
) -> Vec<Fault> {
    let begun = time::Instant::now();
    let mut faults = Vec::new();
    let mut repairs: Vec<(time::Duration, Repair)> = Vec::new();
    // Processes find each other first.
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    while begun.elapsed() < length {
        let now = begun.elapsed();
        let (due, later) = repairs.into_iter().partition(|(at, _)| *at <= now);
        repairs = later;
        for (_, repair) in due {
            mend(site, repair).await;
        }
        if random.random_bool(0.25) {
            let (what, repair) = strike(site, random).await;
            let paused = match repair {
                Some(Repair::ResumeNode(node)) => Some(node),
                _ => None,
            };
            faults.push(Fault {
                at: now,
                what,
                paused,
            });
            let lasts = time::Duration::from_millis(random.random_range(200..2_500));
            repairs.extend(repair.map(|repair| (now + lasts, repair)));
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    for (_, repair) in repairs {
        mend(site, repair).await;
    }
    faults
}

async fn strike(site: &mut site::SoakSite, random: &mut StdRng) -> (String, Option<Repair>) {
    let node = random.random_range(0..site.nodes.len());
    let server = random.random_range(0..site.servers.len());
    let name = site.nodes[node].name;
    match random.random_range(0..16) {
        0 => {
            site.nodes[node].signal(Signal::KILL);
            site.nodes[node].ended().await;
            (format!("kill {name}"), Some(Repair::StartNode(node)))
        }
        1 => {
            site.nodes[node].signal(Signal::TERM);
            (format!("stop {name}"), Some(Repair::StartNode(node)))
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
            (format!("store {mode:?}"), Some(Repair::MendStore))
        }
        7 => {
            for topic in ["keyed.op", "keyed.servers", "keyed.peers"] {
                site.store.compact(topic);
            }
            (String::from("compact the store"), None)
        }
        8 => {
            let version = random.random_range(2..1_000);
            site.configure(version);
            (format!("configuration {version}"), None)
        }
        9..=12 => {
            let count = site.proxies().count();
            let number = random.random_range(0..count);
            let delay = time::Duration::from_millis(random.random_range(5..200));
            let mode = match random.random_range(0..5) {
                0 => proxy::ProxyMode::Delay(delay),
                1 => proxy::ProxyMode::SilentUp,
                2 => proxy::ProxyMode::SilentDown,
                3 => proxy::ProxyMode::Silent,
                _ => proxy::ProxyMode::Reset,
            };
            set_proxy(site, number, mode);
            (
                format!("proxy {number} {mode:?}"),
                Some(Repair::MendProxy(number)),
            )
        }
        _ => {
            let late = time::Duration::from_millis(random.random_range(300..3_000));
            let mode = match random.random_range(0..5) {
                0 => fake_server::ServerMode::Unreachable,
                1 => fake_server::ServerMode::Hanging,
                2 => fake_server::ServerMode::Failing,
                3 => fake_server::ServerMode::Slow(5.0),
                _ => fake_server::ServerMode::DelayedStarts(late),
            };
            site.servers[server].set_mode(mode);
            (
                format!("server {server} {mode:?}"),
                Some(Repair::MendServer(server)),
            )
        }
    }
}

async fn mend(site: &mut site::SoakSite, repair: Repair) {
    match repair {
        Repair::StartNode(node) => {
            // A paused process can't end by itself.
            site.nodes[node].signal(Signal::CONT);
            site.nodes[node].signal(Signal::TERM);
            site.nodes[node].ended().await;
            site.nodes[node].start();
        }
        Repair::ResumeNode(node) => site.nodes[node].signal(Signal::CONT),
        Repair::MendServer(server) => {
            site.servers[server].set_mode(fake_server::ServerMode::Healthy);
        }
        Repair::MendStore => site.store.set_mode(emulated_store::StoreMode::Up),
        Repair::MendProxy(number) => set_proxy(site, number, proxy::ProxyMode::Pass),
    }
}

/// Numbers of the proxies: 0 for the store, then the servers, then the links.
fn set_proxy(site: &site::SoakSite, number: usize, mode: proxy::ProxyMode) {
    if let Some(proxy) = site.proxies().nth(number) {
        proxy.set_mode(mode);
    }
}
