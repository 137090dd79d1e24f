//! What processes do together.

use std::sync::Arc;

use cuminkeel_dispatch::{job_model, leadership};
use cuminkeel_node::{link_frame, node_state, node_tuning, peer_link, peer_table, pool_driver};

use crate::test_platform;

#[tokio::test(flavor = "multi_thread")]
async fn a_job_runs_through_any_process_of_its_domain() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let first = site.ready_node("n1", "north").await;
    let second = site.ready_node("n2", "north").await;
    for (number, node) in [&first, &second, &first, &second].into_iter().enumerate() {
        let id = format!("{number:016x}");
        assert_eq!(node.submit(&id, "20", 2).await.0, 200);
    }
    assert_eq!(site.started_tasks().len(), 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_reaches_a_process_that_the_store_turns_away() {
    let site = test_platform::TestSite::start(&["north"]).await;
    let first = site.ready_node("n1", "north").await;
    let second = site.ready_node("n2", "north").await;
    // The second process has lost the store; a newer version reaches the first only.
    site.configure(2, "/newer/");
    for node in [&first, &second] {
        test_platform::eventually("the new route", async || {
            node.call("GET", "/newer/", "").await.0 == 200
        })
        .await;
        assert_eq!(node.call("GET", test_platform::PREFIX, "").await.0, 404);
    }
    site.configure(1, test_platform::PREFIX);
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    for node in [&first, &second] {
        assert_eq!(node.call("GET", "/newer/", "").await.0, 200, "never back");
        assert_eq!(node.call("GET", test_platform::PREFIX, "").await.0, 404);
    }
}

fn south_starts(site: &test_platform::TestSite) -> usize {
    site.servers[2..]
        .iter()
        .map(|server| server.started_runs().len())
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_domain_uses_the_room_of_another() {
    let site = test_platform::TestSite::start(&["north", "south"]).await;
    site.configure_target(2, test_platform::PREFIX, 400);
    let north = site.ready_node("n1", "north").await;
    let _south = site.ready_node("s1", "south").await;
    // Two servers of sixteen cores take 32 tasks of one core; what comes beside them goes
    // south as soon as the north has heard of the room there.
    test_platform::eventually("starts in the south", async || {
        let (first, second) = (test_platform::random_id(), test_platform::random_id());
        let filling = north.submit(&first, "700", 32);
        let beside = async {
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            north.submit(&second, "50", 8).await
        };
        let (filling, beside) = tokio::join!(filling, beside);
        assert_eq!((filling.0, beside.0), (200, 200));
        south_starts(&site) >= 8
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn only_leaders_are_linked_to_all_of_a_domain() {
    let site = test_platform::TestSite::start(&["north", "south"]).await;
    let mut nodes = Vec::new();
    for number in 0..8 {
        nodes.push(site.ready_node(&format!("n{number}"), "north").await);
    }
    let mut south = Vec::new();
    for number in 0..3 {
        south.push(site.ready_node(&format!("s{number}"), "south").await);
    }
    test_platform::eventually("one leader of each domain", async || {
        let mut held = Vec::new();
        for node in nodes.iter().chain(&south) {
            held.push(node.gauge("held_servers").await.unwrap_or(0));
        }
        held.iter().filter(|count| **count == 2).count() == 2
            && held.iter().filter(|count| **count == 0).count() == 9
    })
    .await;
    // Three that might lead next, and two leaders, who may be among them.
    for node in &nodes {
        test_platform::eventually("few links", async || {
            let leads = node.gauge("held_servers").await == Some(2);
            let linked = node.gauge("linked_peers").await.unwrap_or(0);
            if leads {
                linked >= 7
            } else {
                (2..=5).contains(&linked)
            }
        })
        .await;
    }
}

fn hello(name: &str, address: &str) -> link_frame::PeerHello {
    link_frame::PeerHello {
        name: Arc::from(name),
        failure_domain: Arc::from("north"),
        link_address: Arc::from(address),
        cpu_millis: 900,
        boot: 1,
    }
}

#[test]
fn a_peer_that_never_answered_is_not_taken_for_reachable() {
    let mut peers = peer_table::PeerTable::default();
    peers.insert(peer_table::PeerEntry::new(hello("n1", "127.0.0.1:1")));
    let members = peers.domain_members("north", std::time::Duration::from_millis(10));
    assert_eq!(leadership::choose_leader(&members), None);
}

#[test]
fn a_peer_is_abandoned_after_ten_minutes_of_dials_in_vain() {
    let minutes = |count: u64| std::time::Duration::from_secs(60 * count);
    let mut peers = peer_table::PeerTable::default();
    peers.insert(peer_table::PeerEntry::new(hello("n1", "127.0.0.1:1")));
    // The process has run for an hour when it first dials the peer.
    let peer = peers.get_mut("n1").expect("a peer");
    peer.record_link_failure(minutes(60));
    assert!(peers.abandoned("north", minutes(69)).is_empty());
    assert_eq!(peers.abandoned("north", minutes(70)), [Arc::from("n1")]);
    let peer = peers.get_mut("n1").expect("a peer");
    peer.record_connected();
    peer.connected = false;
    peer.record_link_failure(minutes(80));
    assert!(peers.abandoned("north", minutes(85)).is_empty(), "anew");
}

#[tokio::test]
async fn a_job_for_a_link_that_is_down_was_not_sent() {
    let site = test_platform::TestSite::unconfigured(&["north"]).await;
    let (pool, _inbox) = pool_driver::PoolHandle::new();
    let node = Arc::new(node_state::NodeState::new(
        site.settings("n0", "north"),
        node_tuning::NodeTuning::default(),
        hello("n0", "127.0.0.1:2"),
        slog::Logger::root(slog::Discard, slog::o!()),
        pool,
    ));
    let link = peer_link::start_link(&node, &hello("n1", "127.0.0.1:1"));
    let spec = job_model::JobSpec {
        id: Arc::from("00000000000000d1"),
        route: Arc::from("orders"),
        service: Arc::from("order-desk"),
        payload: Arc::from(""),
        steps: Vec::new(),
        priority: 0,
        max_attempts: 1,
        stretch_factor: 1.0,
        target_latency_ms: 0,
    };
    let mut job = link.submit(job_model::JobTicket {
        spec: Arc::new(spec),
        age: std::time::Duration::ZERO,
        time_to_deadline: test_platform::PATIENCE,
        may_have_started: false,
        terms: job_model::OfferTerms::Useful,
    });
    let end = job
        .wait_for_end()
        .await
        .expect("an end, as nothing was lost");
    assert_eq!(end, job_model::JobEnd::NotLeader);
}
