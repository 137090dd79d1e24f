//! Tests of the state of evacuations: how it reaches the processes, and what survives losses.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{evacuation, job_model};
use cuminkeel_node::link_frame;
use platform_adapter::settings;
use platform_emulator::{emulated_store, loopback_proxy};

use crate::{peers, test_platform};

const OPERATOR_TOPIC: &str = "keyed.op";

/// Waits until `node` knows of `count` evacuated domains.
async fn wait_for_evacuated_domains(node: &test_platform::TestNode, count: u32) {
    let description = format!(
        "{} to know of {count} evacuated domains",
        node.settings.node_name
    );
    test_platform::wait_until(&description, async || {
        node.gauge_value("evacuated_domains").await == Some(count)
    })
    .await;
}

/// Waits until a read of the operator's topic by `node` has failed. A read that was open when the store
/// became unreachable may still return a record.
async fn wait_for_failed_read(node: &test_platform::TestNode) {
    test_platform::wait_until("a read of the operator's topic to fail", async || {
        let metrics = node.metrics_text().await;
        metrics.contains("cuminkeel_store_failures_total{reason=\"config\"}")
    })
    .await;
}

/// Log lines of evacuations that a process has written since the last call, as domain, outcome and
/// origin.
fn take_changes(node: &test_platform::TestNode) -> Vec<[String; 3]> {
    take_lines(node, "evacuation_changed")
        .iter()
        .map(|line| {
            ["domain", "outcome", "origin"]
                .map(|field| line[field].as_str().unwrap_or_default().to_owned())
        })
        .collect()
}

fn take_lines(node: &test_platform::TestNode, message: &str) -> Vec<serde_json::Value> {
    String::from_utf8_lossy(&node.take_log())
        .lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter(|line| line["msg"] == message)
        .collect()
}

fn change(domain: &str, outcome: &str, origin: &str) -> [String; 3] {
    [domain, outcome, origin].map(String::from)
}

/// Process whose access to the store is through a proxy that tests can cut.
async fn start_behind_proxy(
    platform: &test_platform::TestPlatform,
    name: &str,
    domain: &str,
) -> (test_platform::TestNode, loopback_proxy::LoopbackProxy) {
    let proxy = loopback_proxy::LoopbackProxy::start(&platform.store.address())
        .await
        .expect("a port should be free");
    let settings = settings::ProcessSettings {
        store_address: Arc::clone(&proxy.address),
        ..platform.node_settings(name, domain)
    };
    let node = test_platform::TestNode::start(settings);
    node.wait_until_ready().await;
    (node, proxy)
}

/// Next state that the process sends over the connection.
async fn next_state(peer: &mut peers::RawPeer) -> evacuation::EvacuationState {
    peer.read_until(|frame| match frame {
        link_frame::LinkFrame::Evacuations(state) => Some(state),
        _ => None,
    })
    .await
}

/// Status that the process sends over a new connection.
async fn current_status(node: &test_platform::TestNode) -> link_frame::PeerStatus {
    let mut peer = peers::RawPeer::connect(&node.settings.link_address).await;
    peer.read_until(|frame| match frame {
        link_frame::LinkFrame::Status(status) => Some(status),
        _ => None,
    })
    .await
}

/// Guards against an evacuation that some process does not know of, and one that never ends.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_and_its_end_reach_all_processes() {
    let platform = test_platform::TestPlatform::start(&["north", "south"]).await;
    let nodes = [
        platform.start_ready_node("n1", "north").await,
        platform.start_ready_node("n2", "north").await,
        platform.start_ready_node("s1", "south").await,
    ];
    platform.store.evacuate("north");
    for node in &nodes {
        wait_for_evacuated_domains(node, 1).await;
    }
    platform.store.cancel_evacuation("north");
    for node in &nodes {
        wait_for_evacuated_domains(node, 0).await;
        let changes = take_changes(node);
        assert_eq!(changes.len(), 2, "{changes:?}");
        assert_eq!(changes[0][..2], change("north", "evacuated", "")[..2]);
        assert_eq!(changes[1][..2], change("north", "cancelled", "")[..2]);
    }
}

/// Guards against free capacity that a pool reports although it will start nothing, and against a
/// process that is taken out of service because its domain is evacuated.
#[tokio::test(flavor = "multi_thread")]
async fn process_of_an_evacuated_domain_is_ready_and_reports_no_free_processor() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    test_platform::wait_until("both servers to be free", async || {
        current_status(&node).await.free_cpu_millis == 32_000
    })
    .await;
    platform.store.evacuate("north");
    wait_for_evacuated_domains(&node, 1).await;
    let status = current_status(&node).await;
    assert_eq!((status.free_cpu_millis, status.held_servers), (0, 2));
    assert_eq!(node.readiness_status().await, 200);
    platform.store.cancel_evacuation("north");
    wait_for_evacuated_domains(&node, 0).await;
    // The pool publishes its free processor when it has applied the end of the evacuation.
    test_platform::wait_until("both servers to be free again", async || {
        current_status(&node).await.free_cpu_millis == 32_000
    })
    .await;
}

/// Guards against tasks that start in an evacuated domain because its leader is cut off from the
/// store, whichever side has opened the link.
#[tokio::test(flavor = "multi_thread")]
async fn process_without_the_store_learns_of_the_evacuation_from_its_peers() {
    let platform = test_platform::TestPlatform::start(&["north", "south"]).await;
    let (cut_off, proxy) = start_behind_proxy(&platform, "n1", "north").await;
    let south = platform.start_ready_node("s1", "south").await;
    for node in [&cut_off, &south] {
        test_platform::wait_until("the processes to be linked", async || {
            node.gauge_value("linked_peers").await == Some(1)
        })
        .await;
    }
    proxy.set_mode(loopback_proxy::ProxyMode::Reset);
    wait_for_failed_read(&cut_off).await;
    platform.store.evacuate("north");
    wait_for_evacuated_domains(&cut_off, 1).await;
    platform.store.cancel_evacuation("north");
    wait_for_evacuated_domains(&cut_off, 0).await;
    assert_eq!(
        take_changes(&cut_off),
        [
            change("north", "evacuated", "peer"),
            change("north", "cancelled", "peer")
        ]
    );
    // The records are read again when the store is back, and must not undo the newer state.
    proxy.set_mode(loopback_proxy::ProxyMode::Forward);
    platform.write_config(2, "/newer/");
    test_platform::wait_until("new route to be served", async || {
        cut_off.send("GET", "/newer/", "").await.0 == 200
    })
    .await;
    assert!(take_changes(&cut_off).is_empty());
}

/// Guards against a process that starts tasks after its restart, which it knows nothing from before.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_process_knows_of_the_evacuation() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut node = platform.start_ready_node("n1", "north").await;
    platform.store.evacuate("north");
    wait_for_evacuated_domains(&node, 1).await;
    node.kill();
    let node = test_platform::TestNode::start(node.settings.clone());
    node.wait_until_ready().await;
    wait_for_evacuated_domains(&node, 1).await;
    assert_eq!(take_changes(&node), [change("north", "evacuated", "store")]);
}

/// Guards against a count of requests: one deletion ends the evacuation, however often its key was
/// written.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_request_changes_nothing() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    platform.store.evacuate("north");
    wait_for_evacuated_domains(&node, 1).await;
    platform.store.evacuate("north");
    platform.store.cancel_evacuation("north");
    wait_for_evacuated_domains(&node, 0).await;
    platform.store.cancel_evacuation("north");
    platform.store.evacuate("north");
    wait_for_evacuated_domains(&node, 1).await;
    let outcomes: Vec<String> = take_changes(&node)
        .into_iter()
        .map(|[_, outcome, _]| outcome)
        .collect();
    assert_eq!(outcomes, ["evacuated", "cancelled", "evacuated"]);
}

/// Guards against one evacuation that replaces or ends another.
#[tokio::test(flavor = "multi_thread")]
async fn two_domains_are_evacuated_independently() {
    let platform = test_platform::TestPlatform::start(&["north", "south"]).await;
    let north = platform.start_ready_node("n1", "north").await;
    let south = platform.start_ready_node("s1", "south").await;
    platform.store.evacuate("north");
    platform.store.evacuate("south");
    for node in [&north, &south] {
        wait_for_evacuated_domains(node, 2).await;
    }
    platform.store.cancel_evacuation("north");
    for (node, free_cpu_millis) in [(&north, 32_000), (&south, 0)] {
        wait_for_evacuated_domains(node, 1).await;
        // The pool publishes its free processor when it has applied the change.
        test_platform::wait_until("the free processor of each domain", async || {
            current_status(node).await.free_cpu_millis == free_cpu_millis
        })
        .await;
    }
}

/// Guards against a mistyped name that nobody notices, or that stops another domain.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_of_an_unknown_domain_is_logged_and_stops_nothing() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let settings = settings::ProcessSettings {
        regions: [(Arc::from("north"), Arc::from("tx"))].into(),
        ..platform.node_settings("n1", "north")
    };
    let node = test_platform::TestNode::start(settings);
    node.wait_until_ready().await;
    platform.store.evacuate("nroth");
    wait_for_evacuated_domains(&node, 1).await;
    let unknown = take_lines(&node, "evacuation_unknown_domain");
    assert_eq!(unknown.len(), 1);
    assert_eq!(unknown[0]["domain"], "nroth");
    assert_eq!(node.submit("00000000000000a1", "20", 1).await.0, 200);
    platform.store.evacuate("north");
    wait_for_evacuated_domains(&node, 2).await;
    assert!(take_lines(&node, "evacuation_unknown_domain").is_empty());
}

/// Guards against an evacuation that is not obeyed because of its value.
#[tokio::test(flavor = "multi_thread")]
async fn undecodable_value_evacuates_the_domain_and_is_logged() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    platform
        .store
        .put(OPERATOR_TOPIC, "evacuate/north", "until friday");
    wait_for_evacuated_domains(&node, 1).await;
    let unreadable = take_lines(&node, "evacuation_unreadable");
    assert_eq!(unreadable.len(), 1);
    assert_eq!(unreadable[0]["domain"], "north");
}

/// Guards against an evacuation that never ends because the record of its end was dropped.
#[tokio::test(flavor = "multi_thread")]
async fn end_of_the_evacuation_is_found_after_the_store_dropped_its_history() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    platform.store.evacuate("north");
    platform.store.evacuate("south");
    wait_for_evacuated_domains(&node, 2).await;
    platform
        .store
        .set_mode(emulated_store::StoreMode::Unavailable);
    wait_for_failed_read(&node).await;
    platform.store.cancel_evacuation("north");
    platform.store.compact(OPERATOR_TOPIC);
    platform.store.set_mode(emulated_store::StoreMode::Up);
    wait_for_evacuated_domains(&node, 1).await;
    assert!(take_changes(&node).contains(&change("north", "cancelled", "store")));
}

/// Guards against a successor that starts tasks because it can't read the store after the loss of
/// the leader.
#[tokio::test(flavor = "multi_thread")]
async fn next_leader_knows_of_the_evacuation_without_the_store() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut leader = platform.start_ready_node("n1", "north").await;
    let standby = platform.start_ready_node("n2", "north").await;
    platform.store.evacuate("north");
    wait_for_evacuated_domains(&standby, 1).await;
    platform
        .store
        .set_mode(emulated_store::StoreMode::Unavailable);
    leader.kill();
    test_platform::wait_until("the standby to hold the servers", async || {
        standby.gauge_value("held_servers").await == Some(2)
    })
    .await;
    let status = current_status(&standby).await;
    assert_eq!((status.free_cpu_millis, status.held_servers), (0, 2));
}

/// Guards against a peer that was cut off, and whose state cancels a newer evacuation; it is corrected
/// instead.
#[tokio::test(flavor = "multi_thread")]
async fn older_state_of_a_peer_is_answered_with_the_newer_one() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let mut peer = peers::RawPeer::connect(&node.settings.link_address).await;
    platform.store.evacuate("north");
    let newer = next_state(&mut peer).await;
    assert!(newer.contains("north") && newer.as_of >= 2, "{newer:?}");
    let older = evacuation::EvacuationState {
        as_of: 1,
        domains: [Arc::from("south")].into(),
    };
    peer.send(&[link_frame::LinkFrame::Evacuations(older)])
        .await;
    assert_eq!(next_state(&mut peer).await.domains, newer.domains);
    assert_eq!(node.gauge_value("evacuated_domains").await, Some(1));
    // A state that the process can't have read yet is newer.
    let newest = evacuation::EvacuationState {
        as_of: 1_000,
        domains: [Arc::from("east"), Arc::from("west")].into(),
    };
    peer.send(&[link_frame::LinkFrame::Evacuations(newest)])
        .await;
    wait_for_evacuated_domains(&node, 2).await;
}

/// Guards against two processes that send each other different states of one offset forever. Their
/// snapshots differ if a key changed while the pages were read.
#[tokio::test(flavor = "multi_thread")]
async fn differing_state_of_the_same_offset_is_not_answered() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let mut peer = peers::RawPeer::connect(&node.settings.link_address).await;
    let newest = evacuation::EvacuationState {
        as_of: 1_000,
        domains: [Arc::from("north")].into(),
    };
    let same_offset = evacuation::EvacuationState {
        as_of: 1_000,
        ..evacuation::EvacuationState::default()
    };
    for state in [newest, same_offset] {
        peer.send(&[link_frame::LinkFrame::Evacuations(state)])
            .await;
    }
    for _ in 0..3 {
        let request = link_frame::LinkFrame::Status(link_frame::PeerStatus::default());
        peer.send(&[request]).await;
    }
    let mut statuses = 0;
    peer.read_until(|frame| match frame {
        link_frame::LinkFrame::Evacuations(state) => panic!("unexpected {state:?}"),
        link_frame::LinkFrame::Status(_) => {
            statuses += 1;
            // The first status was sent with the hello.
            (statuses == 4).then_some(())
        }
        _ => None,
    })
    .await;
    assert_eq!(node.gauge_value("evacuated_domains").await, Some(1));
}

/// Guards against a process that learns of an evacuation only from a change after its link is up, in
/// either direction of the link.
#[tokio::test(flavor = "multi_thread")]
async fn state_is_the_first_frame_after_the_hello_in_both_directions() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    platform.store.evacuate("north");
    wait_for_evacuated_domains(&node, 1).await;
    let is_state = |frame: &link_frame::LinkFrame| matches!(frame, link_frame::LinkFrame::Evacuations(state) if state.contains("north"));
    let mut accepted = tokio::net::TcpStream::connect(&*node.settings.link_address)
        .await
        .expect("process should accept the connection");
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port should be free");
    let address = listener.local_addr().expect("bound address").to_string();
    // The process dials the peer whose hello it gets, as that is of its own domain.
    let hello = link_frame::LinkFrame::Hello(peers::hello("n2", &address));
    link_frame::write_frames(&mut accepted, &[hello])
        .await
        .expect("hello should be sent");
    let (dialled, _) = tokio::time::timeout(test_platform::TEST_TIMEOUT, listener.accept())
        .await
        .expect("process should dial the peer")
        .expect("connection should be accepted");
    for mut stream in [accepted, dialled] {
        let first = link_frame::read_frame(&mut stream).await;
        assert!(
            matches!(first, Ok(link_frame::LinkFrame::Hello(_))),
            "{first:?}"
        );
        let second = link_frame::read_frame(&mut stream).await.expect("a frame");
        assert!(is_state(&second), "{second:?}");
    }
}

/// Guards against a reason that an earlier release can't decode, which would end its link and all its
/// jobs there.
#[test]
fn peer_without_a_frame_of_the_new_format_gets_earlier_reasons() {
    let end = |reason| job_model::JobEnd::Refused {
        reason,
        retry_after: time::Duration::from_secs(1),
    };
    let cases = [
        (
            job_model::RefusalReason::Evacuated,
            job_model::RefusalReason::NoSuitableServer,
        ),
        (
            job_model::RefusalReason::CopyElsewhere,
            job_model::RefusalReason::NoPool,
        ),
        (
            job_model::RefusalReason::QueueTooLong,
            job_model::RefusalReason::QueueTooLong,
        ),
    ];
    for (reason, earlier_reason) in cases {
        let release = link_frame::PeerRelease::default();
        release.record_frame(&link_frame::LinkFrame::Withdraw { submission_id: 1 });
        let frame = |reason| link_frame::LinkFrame::End {
            submission_id: 1,
            end: end(reason),
        };
        assert_eq!(release.end_frame(1, end(reason)), frame(earlier_reason));
        let state = evacuation::EvacuationState::default();
        release.record_frame(&link_frame::LinkFrame::Evacuations(state));
        assert_eq!(release.end_frame(1, end(reason)), frame(reason));
    }
}
