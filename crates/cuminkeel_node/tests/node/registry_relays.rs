//! Tests of leaders that the store turns away while it serves their peers.

use std::{collections::BTreeMap, sync::Arc, time};

use platform_emulator::{emulated_server, emulated_store, loopback_proxy};

use crate::test_platform;

/// Time after a change of the registry from which on a leader has to keep to it: the users' bound for a machine that is
/// in touch again, 3 s, and one heartbeat interval of a server, 1.5 s.
const REPORT_BOUND: time::Duration = time::Duration::from_millis(4_500);
/// Processor use of each task, in thousandths of a core.
const TASK_CPU: u32 = 7_000;
const WAYS_OF_TURNING_AWAY: [emulated_store::StoreMode; 5] = [
    emulated_store::StoreMode::Unavailable,
    emulated_store::StoreMode::RateLimited,
    emulated_store::StoreMode::Resets,
    emulated_store::StoreMode::Unresponsive,
    emulated_store::StoreMode::DropsResponses,
];

/// Failure domain of two processes, each with a view of the store of its own. The first one leads.
struct DividedDomain {
    platform: test_platform::TestPlatform,
    views: Vec<emulated_store::EmulatedStore>,
    nodes: Vec<test_platform::TestNode>,
}

impl DividedDomain {
    async fn start() -> Self {
        let platform = test_platform::TestPlatform::start(&["north"]).await;
        let (mut views, mut nodes) = (Vec::new(), Vec::new());
        for name in ["n1", "n2"] {
            let view = platform.store.start_view(BTreeMap::new()).await;
            let view = view.expect("store view should start");
            let mut settings = platform.node_settings(name, "north");
            settings.store_address = Arc::from(view.address());
            let node = test_platform::TestNode::start(settings);
            node.wait_until_ready().await;
            views.push(view);
            nodes.push(node);
        }
        let domain = Self {
            platform,
            views,
            nodes,
        };
        test_platform::wait_until("the first process to lead", async || {
            domain.nodes[0].gauge_value("held_servers").await == Some(2)
                && domain.nodes[0].gauge_value("linked_peers").await == Some(1)
        })
        .await;
        domain
    }

    /// Submits jobs of four tasks to the second process for `length`, four at a time.
    async fn run_load(&self, length: time::Duration) {
        let end = time::Instant::now() + length;
        let body = format!(
            r#"{{"spec":"200:{TASK_CPU}","best_effort":true,"job_steps":[{{"count":4,"cpu":{TASK_CPU},"mem_mb":1,"estimate_ms":200}}]}}"#
        );
        while time::Instant::now() < end {
            let ids = [(); 4].map(|()| test_platform::random_id());
            let [first, second, third, fourth] =
                ids.map(|id| format!("{}{id}", test_platform::PREFIX));
            let node = &self.nodes[1];
            tokio::join!(
                node.send("POST", &first, &body),
                node.send("POST", &second, &body),
                node.send("POST", &third, &body),
                node.send("POST", &fourth, &body)
            );
        }
    }

    fn peak_cpu(&self, server: usize) -> u32 {
        self.platform.servers[server].runs_and_peak_cpu().1
    }
}

/// A leader that goes on with the capacity that it read before overloads servers whose room has shrunk.
#[tokio::test(flavor = "multi_thread")]
async fn leader_that_the_store_turns_away_keeps_to_a_capacity_that_was_withdrawn() {
    for mode in WAYS_OF_TURNING_AWAY {
        let domain = DividedDomain::start().await;
        domain.views[0].set_view_mode(mode);
        domain.platform.servers[0].set_capacity(8_800, &domain.platform.store);
        tokio::time::sleep(REPORT_BOUND).await;
        domain.run_load(time::Duration::from_secs(1)).await;
        assert_eq!(domain.peak_cpu(0), TASK_CPU, "{mode:?}");
        assert_eq!(domain.peak_cpu(1), 2 * TASK_CPU, "{mode:?}");
    }
}

/// A server that leaves must get no more work, and one that has come must get some, also from a leader that can read of
/// neither.
#[tokio::test(flavor = "multi_thread")]
async fn leader_that_the_store_turns_away_learns_of_servers_that_drain_come_and_go() {
    let domain = DividedDomain::start().await;
    let store = &domain.platform.store;
    domain.views[0].set_view_mode(emulated_store::StoreMode::Resets);
    domain.platform.servers[0].drain(store);
    let new_server = emulated_server::EmulatedServer::start("new", "north", 16_000).await;
    let new_server = new_server.expect("server should start");
    new_server.register(store);
    let foreign_server = emulated_server::EmulatedServer::start("foreign", "south", 16_000).await;
    let foreign_server = foreign_server.expect("server should start");
    foreign_server.register(store);
    tokio::time::sleep(REPORT_BOUND).await;
    domain.run_load(time::Duration::from_secs(1)).await;
    assert_eq!(domain.peak_cpu(0), 0);
    assert!(new_server.runs_and_peak_cpu().1 > 0);
    assert!(foreign_server.started_runs().is_empty());
    store.put("keyed.servers", "new", "");
    // The store may have missed that the server renewed its entry, for all that a process knows which is turned away.
    test_platform::wait_until("the removal to be held back", async || {
        domain.nodes[0].gauge_value("held_removals").await == Some(1)
    })
    .await;
    tokio::time::sleep(REPORT_BOUND).await;
    assert_eq!(domain.nodes[0].gauge_value("held_removals").await, Some(0));
    let started = new_server.started_runs().len();
    domain.run_load(time::Duration::from_secs(1)).await;
    assert_eq!(new_server.started_runs().len(), started);
    // What the store tells afterwards goes on where the peer has stopped.
    domain.views[0].set_view_mode(emulated_store::StoreMode::Up);
    domain.platform.servers[0].set_draining(false, store);
    test_platform::wait_until("the server that drained to be used", async || {
        domain.run_load(time::Duration::from_millis(100)).await;
        domain.peak_cpu(0) > 0
    })
    .await;
}

/// A leader that goes on with an old address, or an earlier incarnation, loses the server.
#[tokio::test(flavor = "multi_thread")]
async fn leader_that_the_store_turns_away_learns_a_new_address_and_a_restart() {
    let domain = DividedDomain::start().await;
    let store = &domain.platform.store;
    let server = &domain.platform.servers[0];
    let direct_address = server.address();
    let proxy = loopback_proxy::LoopbackProxy::start(&direct_address).await;
    let proxy = proxy.expect("a port should be free");
    server.set_address(&proxy.address);
    server.register(store);
    test_platform::wait_until("the address of the proxy to be known", async || {
        domain.nodes[0].gauge_value("registry_offset").await == Some(3)
    })
    .await;
    domain.views[0].set_view_mode(emulated_store::StoreMode::RateLimited);
    proxy.set_mode(loopback_proxy::ProxyMode::Refuse);
    server.set_address(&direct_address);
    server.restart(store);
    tokio::time::sleep(REPORT_BOUND).await;
    let started = server.started_runs().len();
    domain.run_load(time::Duration::from_secs(1)).await;
    assert!(server.started_runs().len() > started);
}

/// The process that is asked is the only one that reads, and must not forget what it is turned away from itself.
#[tokio::test(flavor = "multi_thread")]
async fn processes_that_the_store_turns_away_in_turn_learn_from_each_other() {
    let domain = DividedDomain::start().await;
    for (round, capacity) in [8_800, 16_000, 9_000].into_iter().enumerate() {
        let away = round % 2;
        domain.views[1 - away].set_view_mode(emulated_store::StoreMode::Up);
        domain.views[away].set_view_mode(emulated_store::StoreMode::Unavailable);
        domain.platform.servers[0].set_capacity(capacity, &domain.platform.store);
        let end_offset = 3 + u32::try_from(round).expect("there are few rounds");
        for node in &domain.nodes {
            test_platform::wait_until("both to know the newest record", async || {
                node.gauge_value("registry_offset").await == Some(end_offset)
                    && node.gauge_value("registry_age_ms").await < Some(2_000)
            })
            .await;
        }
    }
}

/// While no process is served, asking the others must neither end the service nor pass for a read.
#[tokio::test(flavor = "multi_thread")]
async fn domain_serves_on_while_the_store_turns_all_of_it_away() {
    let domain = DividedDomain::start().await;
    domain
        .platform
        .store
        .set_mode(emulated_store::StoreMode::Unresponsive);
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    for node in &domain.nodes {
        assert!(node.gauge_value("registry_age_ms").await >= Some(2_000));
        let id = test_platform::random_id();
        assert_eq!(node.submit(&id, "100", 2).await.0, 200);
    }
}

/// A peer that tells of records which the store does not have must not keep the process from reading what comes.
#[tokio::test(flavor = "multi_thread")]
async fn store_prevails_over_a_peer_that_told_of_records_which_it_does_not_have() {
    let domain = DividedDomain::start().await;
    let other = test_platform::TestPlatform::start(&["north"]).await;
    for _ in 0..20 {
        other.servers[0].register(&other.store);
    }
    // The second process reads another store, which is far ahead.
    let mut liar = domain.platform.node_settings("n0", "north");
    liar.store_address = Arc::from(other.store.address());
    liar.seeds = vec![Arc::clone(&domain.nodes[0].settings.link_address)];
    let liar = test_platform::TestNode::start(liar);
    liar.wait_until_ready().await;
    test_platform::wait_until("the other store to be read", async || {
        liar.gauge_value("registry_offset").await == Some(22)
            && domain.nodes[0].gauge_value("linked_peers").await >= Some(2)
    })
    .await;
    for view in &domain.views {
        view.set_view_mode(emulated_store::StoreMode::Unavailable);
    }
    test_platform::wait_until("the records of the other store to be told", async || {
        domain.nodes[0].gauge_value("registry_offset").await == Some(22)
    })
    .await;
    drop(liar);
    for view in &domain.views {
        view.set_view_mode(emulated_store::StoreMode::Up);
    }
    for node in &domain.nodes {
        test_platform::wait_until("the store to prevail", async || {
            node.gauge_value("registry_offset").await == Some(2)
        })
        .await;
    }
}
