//! Series of faults that overlap each other and the single faults.

use std::{sync::Arc, time};

use platform_emulator::{client_crowd, emulated_store, loopback_proxy};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use rustix::process::Signal;
use tokio::task;

use crate::{faults, parameters, site};

/// Distinguishes the random numbers of the series from those of the single faults, so that an old
/// seed still draws the same single faults.
const SERIES_SEED: u64 = 0x7365_7269_6573;

/// Distinguishes the random numbers of leaders that are lost in turn from those of the other series.
const LOST_LEADERS_SEED: u64 = 0x6c6f_7374;
/// Distinguishes the random numbers of restarts beside refused connections from those of the other series.
const REFUSALS_SEED: u64 = 0x7265_6675_7365;
/// Distinguishes the random numbers of processes that are turned away from those of the other series.
const TURNED_AWAY_SEED: u64 = 0x7475_726e_6564;
/// Ways in which the store turns a process away.
const WAYS_OF_TURNING_AWAY: [emulated_store::StoreMode; 5] = [
    emulated_store::StoreMode::Unavailable,
    emulated_store::StoreMode::RateLimited,
    emulated_store::StoreMode::Resets,
    emulated_store::StoreMode::Unresponsive,
    emulated_store::StoreMode::DropsResponses,
];
/// Distinguishes the random numbers of crowds from the others.
const CROWDS_SEED: u64 = 0x6372_6f77_6473;
/// Share of the servers that refuse connections during the restarts.
const REFUSING_SHARE: f64 = 0.17;
/// Time for which they do: a first claim makes some fifty attempts in it.
const REFUSAL_TIME: time::Duration = time::Duration::from_millis(3_800);
/// Share of the orders that are late in a spell.
const SPELL_SHARE: f64 = 0.055;
/// Longest time that a domain may be without a leader before a series of lost leaders ends.
const LEADER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Starts `parameters.series_count` tasks, each of which injects one series of faults after the
/// other until the end of `parameters.fault_phase`. A series that has begun is finished.
pub fn start_series(
    site: &Arc<site::SoakSite>,
    fault_log: &Arc<faults::FaultLog>,
    seed: u64,
    parameters: &parameters::SoakParameters,
) -> task::JoinSet<()> {
    let mut series = task::JoinSet::new();
    for number in 0..parameters.series_count {
        let random = StdRng::seed_from_u64(seed ^ SERIES_SEED ^ (number << 56));
        series.spawn(inject_series(
            Arc::clone(site),
            Arc::clone(fault_log),
            random,
            *parameters,
        ));
    }
    for number in 0..parameters.lost_leader_series {
        let random = StdRng::seed_from_u64(seed ^ LOST_LEADERS_SEED ^ (number << 56));
        series.spawn(inject_lost_leaders(
            Arc::clone(site),
            Arc::clone(fault_log),
            random,
            parameters.fault_phase,
        ));
    }
    for number in 0..parameters.refusal_series {
        let random = StdRng::seed_from_u64(seed ^ REFUSALS_SEED ^ (number << 56));
        series.spawn(inject_refusals(
            Arc::clone(site),
            Arc::clone(fault_log),
            random,
            *parameters,
        ));
    }
    for number in 0..parameters.turned_away_series {
        let random = StdRng::seed_from_u64(seed ^ TURNED_AWAY_SEED ^ (number << 56));
        series.spawn(inject_spells(
            Arc::clone(site),
            Arc::clone(fault_log),
            random,
            parameters.fault_phase,
        ));
    }
    if parameters.crowd_size > 0 {
        series.spawn(inject_crowds(
            Arc::clone(site),
            Arc::clone(fault_log),
            StdRng::seed_from_u64(seed ^ CROWDS_SEED),
            *parameters,
        ));
    }
    series
}

/// Opens connections that hold requests open at one process after the other.
async fn inject_crowds(
    site: Arc<site::SoakSite>,
    fault_log: Arc<faults::FaultLog>,
    mut random: StdRng,
    parameters: parameters::SoakParameters,
) {
    let route = client_crowd::CallerRoute {
        host: Arc::from(site::ROUTE_HOST),
        path_prefix: Arc::from(site::ROUTE_PREFIX),
    };
    tokio::time::sleep(faults::DISCOVERY_TIME).await;
    while fault_log.started_at.elapsed() < parameters.fault_phase {
        let node = &site.nodes[random.random_range(0..site.nodes.len())];
        let kinds = client_crowd::CrowdKind::ALL;
        let kind = kinds[random.random_range(0..kinds.len())];
        let count = parameters.crowd_size;
        fault_log.record(format!("{count} clients at {}: {kind}", node.name));
        let message = kind.message(&route);
        let crowd = client_crowd::ClientCrowd::open(&node.caller_address, count, &message);
        tokio::time::sleep(random_ms(&mut random, 300..2_000)).await;
        crowd.leave().await;
    }
}

/// Lets the store turn processes away in spells, in each of which it serves one process of each domain, while servers
/// change and some of the others are lost.
async fn inject_spells(
    site: Arc<site::SoakSite>,
    fault_log: Arc<faults::FaultLog>,
    mut random: StdRng,
    fault_phase: time::Duration,
) {
    tokio::time::sleep(faults::DISCOVERY_TIME).await;
    while fault_log.started_at.elapsed() < fault_phase {
        let mut away = Vec::new();
        for domain in 0..site.domain_count {
            let mut members = site.domain_nodes(domain);
            // A served leader would need no peer.
            members.sort_by_key(|node| site.nodes[*node].leads_now());
            let served = random.random_range(0..members.len() - 1);
            members.remove(served);
            away.extend(members);
        }
        for node in &away {
            let mode = *WAYS_OF_TURNING_AWAY
                .choose(&mut random)
                .expect("there are several ways");
            site.nodes[*node].store_view.set_view_mode(mode);
            fault_log.record(format!(
                "{} is turned away: {mode:?}",
                site.nodes[*node].name
            ));
        }
        let spell_end = time::Instant::now() + random_ms(&mut random, 6_000..11_000);
        while time::Instant::now() < spell_end {
            let description = change_servers(&site, &away, &mut random).await;
            fault_log.record(description);
            tokio::time::sleep(random_ms(&mut random, 200..1_500)).await;
        }
        for node in &away {
            site.nodes[*node]
                .store_view
                .set_view_mode(emulated_store::StoreMode::Up);
        }
        for server in &site.servers {
            server.set_capacity(site::SERVER_CPU_MILLIS, &site.store);
        }
        fault_log.record(String::from(
            "all are served, and the servers have their capacity again",
        ));
        tokio::time::sleep(random_ms(&mut random, 1_000..3_000)).await;
    }
}

/// Changes what one server declares, or restarts a process that is turned away. Returns a description.
async fn change_servers(site: &site::SoakSite, away: &[usize], random: &mut StdRng) -> String {
    let index = random.random_range(0..site.servers.len());
    let server = &site.servers[index];
    match random.random_range(0..10) {
        0 => {
            let is_draining = random.random_bool(0.4);
            server.set_draining(is_draining, &site.store);
            format!("server {index} drains: {is_draining}")
        }
        1 => {
            let reaches_store = random.random_bool(0.6);
            server.set_reaches_store(reaches_store, &site.store);
            format!("server {index} has an entry: {reaches_store}")
        }
        2 => {
            let node = &site.nodes[*away.choose(random).expect("some are turned away")];
            node.signal(Signal::KILL);
            node.wait_for_exit().await;
            node.start();
            format!("{} is killed and starts again", node.name)
        }
        _ => {
            let capacity = *[12_000, 8_800, 5_000]
                .choose(random)
                .expect("there are several");
            server.set_capacity(capacity, &site.store);
            format!("server {index} has {capacity}")
        }
    }
}

/// Restarts all processes in turn beside servers that refuse connections, then lets orders be late in spells.
async fn inject_refusals(
    site: Arc<site::SoakSite>,
    fault_log: Arc<faults::FaultLog>,
    mut random: StdRng,
    parameters: parameters::SoakParameters,
) {
    tokio::time::sleep(faults::DISCOVERY_TIME).await;
    while fault_log.started_at.elapsed() < parameters.fault_phase {
        for _ in 0..random.random_range(1..=3) {
            let mut refusing: Vec<usize> = (0..site.servers.len()).collect();
            refusing.retain(|_| random.random_bool(REFUSING_SHARE));
            fault_log.record(format!(
                "rolling restart of all, servers {refusing:?} refuse connections"
            ));
            let nodes = (0..site.nodes.len()).collect();
            let restarts = restart_in_turn(&site, nodes, &mut random);
            tokio::join!(restarts, refuse_connections(&site, &refusing));
        }
        for _ in 0..random.random_range(2..=4) {
            let order_seed = random.random();
            fault_log.record(String::from("orders are late"));
            set_late_orders(&site, SPELL_SHARE, order_seed);
            tokio::time::sleep(random_ms(&mut random, 400..2_000)).await;
            set_late_orders(&site, parameters.late_order_share, order_seed);
            tokio::time::sleep(random_ms(&mut random, 100..500)).await;
        }
    }
}

async fn refuse_connections(site: &site::SoakSite, servers: &[usize]) {
    let set_mode = |mode| {
        for server in servers {
            site.server_proxies[*server].set_mode(mode);
            for path in site.paths_to_server(*server) {
                path.set_mode(mode);
            }
        }
    };
    set_mode(loopback_proxy::ProxyMode::Refuse);
    tokio::time::sleep(REFUSAL_TIME).await;
    set_mode(loopback_proxy::ProxyMode::Forward);
}

fn set_late_orders(site: &site::SoakSite, share: f64, order_seed: u64) {
    for (server, number) in site.servers.iter().zip(0_u64..) {
        server.set_late_orders(share, order_seed ^ (number << 48));
    }
}

async fn inject_lost_leaders(
    site: Arc<site::SoakSite>,
    fault_log: Arc<faults::FaultLog>,
    mut random: StdRng,
    fault_phase: time::Duration,
) {
    tokio::time::sleep(faults::DISCOVERY_TIME).await;
    while fault_log.started_at.elapsed() < fault_phase {
        tokio::time::sleep(random_ms(&mut random, 500..3_000)).await;
        let domain = random.random_range(0..site.domain_count);
        let count = random.random_range(2..5);
        fault_log.record(format!(
            "{count} leaders of domain {domain} are lost in turn"
        ));
        lose_leaders(&site, domain, count, &mut random).await;
    }
}

/// Kills a leader of `domain` and each of its successors before it has led for 0.35 s; each starts again.
async fn lose_leaders(
    site: &Arc<site::SoakSite>,
    domain: usize,
    count: usize,
    random: &mut StdRng,
) {
    let mut returning = task::JoinSet::new();
    for _ in 0..count {
        let leads = |node: &usize| site.nodes[*node].leads_now();
        let deadline = time::Instant::now() + LEADER_TIMEOUT;
        let leader = loop {
            let leader = site.domain_nodes(domain).into_iter().find(leads);
            if leader.is_some() || time::Instant::now() > deadline {
                break leader;
            }
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        };
        let Some(leader) = leader else {
            break;
        };
        tokio::time::sleep(random_ms(random, 100..350)).await;
        site.nodes[leader].signal(Signal::KILL);
        site.nodes[leader].wait_for_exit().await;
        let absence = random_ms(random, 200..800);
        let site = Arc::clone(site);
        returning.spawn(async move {
            tokio::time::sleep(absence).await;
            site.nodes[leader].start();
        });
    }
    returning.join_all().await;
}

async fn inject_series(
    site: Arc<site::SoakSite>,
    fault_log: Arc<faults::FaultLog>,
    mut random: StdRng,
    parameters: parameters::SoakParameters,
) {
    tokio::time::sleep(faults::DISCOVERY_TIME).await;
    while fault_log.started_at.elapsed() < parameters.fault_phase {
        tokio::time::sleep(random_ms(&mut random, 0..600)).await;
        let node = random.random_range(0..site.nodes.len());
        let domain = random.random_range(0..site.domain_count);
        let duration = random_ms(&mut random, 500..4_000);
        let name = &site.nodes[node].name;
        let kind = loop {
            let kind = random.random_range(0..parameters::SERIES_KIND_COUNT);
            if parameters.draws_series(kind) {
                break kind;
            }
        };
        match kind {
            0 => {
                fault_log.record(format!("starve {name} for {duration:?}"));
                starve(&site, vec![node], &mut random, duration).await;
            }
            1 => {
                let mut nodes = site.domain_nodes(domain);
                nodes.truncate(nodes.len().div_ceil(2));
                fault_log.record(format!("starve half of domain {domain} for {duration:?}"));
                starve(&site, nodes, &mut random, duration).await;
            }
            2 => {
                fault_log.record(format!("kill leaders of domain {domain} for {duration:?}"));
                kill_leaders(&site, domain, &mut random, duration).await;
            }
            3 => {
                let nodes = if random.random_bool(0.5) {
                    (0..site.nodes.len()).collect()
                } else {
                    site.domain_nodes(domain)
                };
                fault_log.record(format!("rolling restart of {nodes:?}"));
                restart_in_turn(&site, nodes, &mut random).await;
            }
            4 => {
                fault_log.record(format!("isolate {name} for {duration:?}"));
                let keeps_store = random.random_bool(0.5);
                isolate(&site, node, keeps_store, duration).await;
            }
            _ => {
                fault_log.record(format!("split domain {domain} for {duration:?}"));
                split_domain(&site, domain, duration).await;
            }
        }
    }
}

fn random_ms(random: &mut StdRng, range: std::ops::Range<u64>) -> time::Duration {
    time::Duration::from_millis(random.random_range(range))
}

/// Pauses each of `nodes` again and again, independently of the others.
async fn starve(
    site: &Arc<site::SoakSite>,
    nodes: Vec<usize>,
    random: &mut StdRng,
    duration: time::Duration,
) {
    let deadline = time::Instant::now() + duration;
    let mut starved = task::JoinSet::new();
    for node in nodes {
        let site = Arc::clone(site);
        let mut random = StdRng::seed_from_u64(random.random());
        starved.spawn(async move {
            while time::Instant::now() < deadline {
                site.nodes[node].signal(Signal::STOP);
                tokio::time::sleep(random_ms(&mut random, 20..400)).await;
                site.nodes[node].signal(Signal::CONT);
                tokio::time::sleep(random_ms(&mut random, 5..150)).await;
            }
        });
    }
    starved.join_all().await;
}

/// Kills, stops or pauses a leader of `domain`, then the next one; each returns after a while.
async fn kill_leaders(
    site: &Arc<site::SoakSite>,
    domain: usize,
    random: &mut StdRng,
    duration: time::Duration,
) {
    let deadline = time::Instant::now() + duration;
    let mut returning = task::JoinSet::new();
    while time::Instant::now() < deadline {
        let mut leaders = site.domain_nodes(domain);
        leaders.retain(|node| site.nodes[*node].is_leader());
        if let Some(leader) = leaders.choose(random).copied() {
            let signal = *[Signal::KILL, Signal::TERM, Signal::STOP]
                .choose(random)
                .expect("array should not be empty");
            let absence = random_ms(random, 50..1_500);
            let site = Arc::clone(site);
            site.nodes[leader].signal(signal);
            returning.spawn(async move {
                tokio::time::sleep(absence).await;
                site.nodes[leader].signal(Signal::CONT);
                if signal != Signal::STOP {
                    site.nodes[leader].wait_for_exit().await;
                    site.nodes[leader].start();
                }
            });
        }
        tokio::time::sleep(random_ms(random, 50..1_200)).await;
    }
    returning.join_all().await;
}

/// Stops one process after the other, also before the previous one has started again.
async fn restart_in_turn(site: &Arc<site::SoakSite>, nodes: Vec<usize>, random: &mut StdRng) {
    let mut restarting = task::JoinSet::new();
    let longest_interval = 4_000 / nodes.len() as u64 + 100;
    for node in nodes {
        site.nodes[node].signal(Signal::TERM);
        let absence = random_ms(random, 0..600);
        let site = Arc::clone(site);
        restarting.spawn(async move {
            site.nodes[node].wait_for_exit().await;
            tokio::time::sleep(absence).await;
            site.nodes[node].start();
        });
        tokio::time::sleep(random_ms(random, 50..longest_interval)).await;
    }
    restarting.join_all().await;
}

/// Stalls the paths between one process and the servers, and the links that others opened to it.
async fn isolate(site: &site::SoakSite, node: usize, keeps_store: bool, duration: time::Duration) {
    let node = &site.nodes[node];
    let set_mode = |mode| {
        node.link_proxy.set_mode(mode);
        for path in &node.server_paths {
            path.set_mode(mode);
        }
        if !keeps_store {
            node.store_proxy.set_mode(mode);
        }
    };
    set_mode(loopback_proxy::ProxyMode::StallBoth);
    tokio::time::sleep(duration).await;
    set_mode(loopback_proxy::ProxyMode::Forward);
}

/// Stalls all links between the processes of a domain; each process still reaches the servers.
async fn split_domain(site: &site::SoakSite, domain: usize, duration: time::Duration) {
    for mode in [
        loopback_proxy::ProxyMode::StallBoth,
        loopback_proxy::ProxyMode::Forward,
    ] {
        for node in site.domain_nodes(domain) {
            site.nodes[node].link_proxy.set_mode(mode);
        }
        if mode == loopback_proxy::ProxyMode::StallBoth {
            tokio::time::sleep(duration).await;
        }
    }
}
