//! Tests of offers to pools of other failure domains, and of the room that these send.

use std::time;

use cuminkeel_dispatch::{offer_plan::PoolDirectory, pool_room};
use cuminkeel_node::{link_frame, node_state, peer_update, sent_state};

use crate::{peers, test_platform};

/// Body of a job whose second task waits for the first one, which takes 2.5 s.
const JOB_WITH_WAITING_TASK: &str = r#"{"spec":"2500","best_effort":true,"job_steps":[
    {"count":1,"cpu":1000,"mem_mb":1,"estimate_ms":2500},
    {"count":1,"cpu":1000,"mem_mb":1,"estimate_ms":2500,"depends_on":[0]}]}"#;

fn room(queue_wait_ms: u32) -> pool_room::PoolRoom {
    let servers = [(8_000, 16_000), (16_000, 16_000)].into_iter();
    let queue_wait = time::Duration::from_millis(u64::from(queue_wait_ms));
    pool_room::PoolRoom::from_servers(servers, queue_wait)
}

/// Guards against domains that count as full because a task waits there for an earlier step.
#[tokio::test(flavor = "multi_thread")]
async fn job_spills_to_a_domain_with_room_and_a_queued_job() {
    let platform = test_platform::TestPlatform::start(&["north", "south"]).await;
    let south = platform.start_ready_node("s1", "south").await;
    let north = platform.start_ready_node("n1", "north").await;
    for server in ["north-server-0", "north-server-1"] {
        platform.store.put("keyed.servers", server, "");
    }
    test_platform::wait_until("a job of the north to run in the south", async || {
        north.gauge_value("held_servers").await == Some(0)
            && north.submit(&test_platform::random_id(), "20", 1).await.0 == 200
    })
    .await;
    let path = format!("{}{}", test_platform::PREFIX, test_platform::random_id());
    let long_job = south.send("POST", &path, JOB_WITH_WAITING_TASK);
    let spilled_job = async {
        // The next status says that a job is queued.
        tokio::time::sleep(time::Duration::from_millis(1_500)).await;
        assert_eq!(south.gauge_value("queued_jobs").await, Some(1));
        north.submit(&test_platform::random_id(), "20", 1).await.0
    };
    tokio::select! {
        status = spilled_job => assert_eq!(status, 200),
        answer = long_job => panic!("the job in the south should take longer: {answer:?}"),
    }
}

/// Guards against traffic that says nothing new: room goes only to processes that offer jobs to the pool
/// of another domain, and only if it has changed on the connection.
#[tokio::test]
async fn room_is_sent_to_other_domains_when_it_has_changed() {
    let node = peers::idle_node().await;
    node.set_pool_status(link_frame::PeerStatus {
        held_servers: 2,
        shards: cuminkeel_dispatch::leadership::ShardSet::ALL,
        ..link_frame::PeerStatus::default()
    });
    let mut to_north = sent_state::SentState::default();
    let mut to_south = sent_state::SentState::default();
    assert_eq!(to_south.room_change(&node, "south"), None);
    node.set_pool_room(room(0));
    assert_eq!(to_north.room_change(&node, "north"), None);
    let frame = Some(link_frame::LinkFrame::Room(room(0)));
    assert_eq!(to_south.room_change(&node, "south"), frame);
    assert_eq!(to_south.room_change(&node, "south"), None);
    node.set_pool_room(pool_room::PoolRoom::default());
    let frame = Some(link_frame::LinkFrame::Room(pool_room::PoolRoom::default()));
    assert_eq!(to_south.room_change(&node, "south"), frame);
}

/// Guards against a cost of the updates that grows unnoticed: they are priced between domains.
#[test]
fn room_frame_is_small() {
    let full_room = pool_room::PoolRoom {
        largest_cpu_millis: 96_000,
        server_counts: [100; pool_room::BIN_COUNT],
        queue_wait_ms: 9_999,
    };
    let mut buffer = Vec::new();
    link_frame::encode_frame(&link_frame::LinkFrame::Room(full_room), &mut buffer)
        .expect("frame should be encoded");
    assert_eq!(buffer.len(), 27);
}

/// Guards against an update that was read late and replaces a newer one, and against the room of a
/// process that has restarted since.
#[tokio::test]
async fn room_of_a_peer_is_judged_by_its_send_time_and_ends_with_the_process() {
    let ms = time::Duration::from_millis;
    let node = peers::idle_node().await;
    let hello = peers::hello("s1", "127.0.0.1:3");
    node_state::upsert_peer(&node, hello.clone());
    let room_of_peer = || node.peers().get("s1").and_then(|peer| peer.room);
    peer_update::apply_room(&node, "s1", room(100), ms(2_000));
    peer_update::apply_room(&node, "s1", room(200), ms(1_000));
    assert_eq!(room_of_peer(), Some(room(100)));
    peer_update::apply_room(&node, "s1", room(300), ms(3_000));
    assert_eq!(room_of_peer(), Some(room(300)));
    let restarted = link_frame::PeerHello { boot: 2, ..hello };
    node_state::upsert_peer(&node, restarted);
    assert_eq!(room_of_peer(), None);
    assert!(node.other_pools().is_empty());
}
