//! Tests of jobs that their callers send again while the first run of a task goes on.

use std::{sync::Arc, time};

use cuminkeel_replay::run_audit;
use platform_adapter::settings;
use platform_emulator::{emulated_server, loopback_proxy};

use crate::{peers, test_platform};

const JOB: &str = "00000000000000f1";
/// Run time of the job's only task, in ms.
const RUN_MS: u32 = 3_000;
/// Longest lease in tests in which the leases must not expire before a run ends.
const LONG_LEASE: time::Duration = time::Duration::from_secs(6);
/// Time after which a caller sends a job again, from the platform's settings.
const RETRANSMIT_TIME: time::Duration = time::Duration::from_millis(1_300);

/// Starts a process with [`LONG_LEASE`] and waits until it is ready.
async fn start_node_with_long_lease(
    platform: &test_platform::TestPlatform,
    name: &str,
    domain: &str,
) -> test_platform::TestNode {
    let node = test_platform::TestNode::start(settings::ProcessSettings {
        max_lease: LONG_LEASE,
        ..platform.node_settings(name, domain)
    });
    node.wait_until_ready().await;
    node
}

/// Offers the job to `node` as a process that then falls silent, as if its VM had lost power. It may
/// have been paused before, so that its caller sends the job again at any time after the offer.
/// Returns the process and the index of the server that runs the job's task.
async fn offer_from_silent_process(
    platform: &test_platform::TestPlatform,
    node: &test_platform::TestNode,
) -> (peers::RawPeer, usize) {
    // A leader that has just started may let jobs wait until it knows all servers.
    let first_id = test_platform::random_id();
    assert_eq!(node.submit(&first_id, "20", 1).await.0, 200);
    let mut silent_process = peers::RawPeer::connect(&node.settings.link_address).await;
    silent_process
        .send_offer(time::Duration::ZERO, peers::offer_of_one_task(JOB, RUN_MS))
        .await;
    let mut server_index = None;
    test_platform::wait_until("the first run to start", async || {
        server_index = platform.servers.iter().position(has_started_job);
        server_index.is_some()
    })
    .await;
    let server_index = server_index.expect("one server should run the task");
    (silent_process, server_index)
}

fn has_started_job(server: &emulated_server::EmulatedServer) -> bool {
    server
        .started_runs()
        .iter()
        .any(|(task, _)| task.starts_with(JOB))
}

/// Sends the job again, through `node`; returns the status of the answer.
async fn send_again(node: &test_platform::TestNode) -> u16 {
    node.submit(JOB, &RUN_MS.to_string(), 1).await.0
}

/// Waits until the log of `node` has a line with `message`.
async fn wait_for_log_line(node: &test_platform::TestNode, message: &str) {
    let pattern = format!("\"msg\":\"{message}\"");
    test_platform::wait_until("a line in the log", async || {
        String::from_utf8_lossy(&node.take_log()).contains(&pattern)
    })
    .await;
}

/// Waits until all runs have ended, and panics if two runs of a task overlapped.
async fn assert_no_overlapping_runs(platform: &test_platform::TestPlatform) {
    test_platform::wait_until("all runs to end", async || {
        platform
            .servers
            .iter()
            .all(|server| server.runs_and_peak_cpu().0.len() == server.started_runs().len())
    })
    .await;
    let mut audit = run_audit::RunAudit::default();
    for server in &platform.servers {
        audit.add(server.runs_and_peak_cpu().0);
    }
    assert_eq!(audit.overlapping_runs(), Vec::<[_; 2]>::new());
}

/// The new leader holds one server, and the other, which runs the task, has not answered its claim.
#[tokio::test(flavor = "multi_thread")]
async fn resent_job_does_not_overlap_a_run_on_a_server_that_is_not_yet_claimed() {
    let platform = test_platform::TestPlatform::start_unconfigured(&["north"]).await;
    platform.write_config(1, test_platform::PREFIX);
    let mut proxies = Vec::new();
    for server in &platform.servers {
        let proxy = loopback_proxy::LoopbackProxy::start(&server.address())
            .await
            .expect("proxy should start");
        server.set_address(&Arc::clone(&proxy.address));
        server.register(&platform.store);
        proxies.push(proxy);
    }
    let mut leader = start_node_with_long_lease(&platform, "n1", "north").await;
    let standby = start_node_with_long_lease(&platform, "n2", "north").await;
    let (_silent_process, server_index) = offer_from_silent_process(&platform, &leader).await;
    proxies[server_index].set_mode(loopback_proxy::ProxyMode::StallDownstream);
    leader.kill();
    test_platform::wait_until("one server to be held by the new leader", async || {
        standby.gauge_value("held_servers").await == Some(1)
    })
    .await;
    let late_claim = async {
        wait_for_log_line(&standby, "queued").await;
        proxies[server_index].set_mode(loopback_proxy::ProxyMode::Forward);
    };
    let (status, ()) = tokio::join!(send_again(&standby), late_claim);
    assert_eq!(status, 200);
    assert_no_overlapping_runs(&platform).await;
}

/// The new leader has just started, and the server that runs the task is missing from the first
/// registry that it reads.
#[tokio::test(flavor = "multi_thread")]
async fn resent_job_does_not_overlap_a_run_on_a_server_that_is_not_yet_registered() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut leader = start_node_with_long_lease(&platform, "n1", "north").await;
    let (_silent_process, server_index) = offer_from_silent_process(&platform, &leader).await;
    let server_id = format!("north-server-{server_index}");
    platform.store.put("keyed.servers", &server_id, "");
    let standby = start_node_with_long_lease(&platform, "n2", "north").await;
    leader.kill();
    test_platform::wait_until("one server to be held by the new leader", async || {
        standby.gauge_value("held_servers").await == Some(1)
    })
    .await;
    let late_entry = async {
        wait_for_log_line(&standby, "queued").await;
        platform.servers[server_index].register(&platform.store);
    };
    let (status, ()) = tokio::join!(send_again(&standby), late_entry);
    assert_eq!(status, 200);
    assert_no_overlapping_runs(&platform).await;
}

/// The entry of the server that runs the task has lapsed, because the server can't reach the store, when
/// the leader is lost.
#[tokio::test(flavor = "multi_thread")]
async fn resent_job_does_not_overlap_a_run_on_a_server_whose_entry_has_lapsed() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut leader = start_node_with_long_lease(&platform, "n1", "north").await;
    let standby = start_node_with_long_lease(&platform, "n2", "north").await;
    let (_silent_process, server_index) = offer_from_silent_process(&platform, &leader).await;
    let server_id = format!("north-server-{server_index}");
    platform.store.put("keyed.servers", &server_id, "");
    wait_for_log_line(&standby, "server_gone").await;
    leader.kill();
    test_platform::wait_until("one server to be held by the new leader", async || {
        standby.gauge_value("held_servers").await == Some(1)
    })
    .await;
    let late_entry = async {
        wait_for_log_line(&standby, "queued").await;
        platform.servers[server_index].register(&platform.store);
    };
    let (status, ()) = tokio::join!(send_again(&standby), late_entry);
    assert_eq!(status, 200);
    assert_no_overlapping_runs(&platform).await;
}

/// A server has registered since the standby last read the registry, and the leader has started the task
/// on it.
#[tokio::test(flavor = "multi_thread")]
async fn resent_job_does_not_overlap_a_run_on_a_server_that_only_the_previous_leader_had_read() {
    let mut platform = test_platform::TestPlatform::start(&["north"]).await;
    let mut leader = start_node_with_long_lease(&platform, "n1", "north").await;
    let store_proxy = loopback_proxy::LoopbackProxy::start(&platform.store.address())
        .await
        .expect("proxy should start");
    let standby = test_platform::TestNode::start(settings::ProcessSettings {
        store_address: Arc::clone(&store_proxy.address),
        max_lease: LONG_LEASE,
        ..platform.node_settings("n2", "north")
    });
    standby.wait_until_ready().await;
    store_proxy.set_mode(loopback_proxy::ProxyMode::StallBoth);
    let added = emulated_server::EmulatedServer::start("north-server-2", "north", 16_000)
        .await
        .expect("server should start");
    // The leader starts the task on the new server, as the others drain.
    for server in &platform.servers {
        server.set_draining(true, &platform.store);
    }
    added.register(&platform.store);
    platform.servers.push(added);
    test_platform::wait_until("the leader to hold the new server", async || {
        leader.gauge_value("held_servers").await == Some(3)
    })
    .await;
    let (_silent_process, server_index) = offer_from_silent_process(&platform, &leader).await;
    assert_eq!(server_index, 2);
    leader.kill();
    test_platform::wait_until(
        "the new leader to hold the servers that it knows",
        async || standby.gauge_value("held_servers").await == Some(2),
    )
    .await;
    let late_read = async {
        wait_for_log_line(&standby, "queued").await;
        store_proxy.set_mode(loopback_proxy::ProxyMode::Forward);
    };
    let (status, ()) = tokio::join!(send_again(&standby), late_read);
    assert_eq!(status, 200);
    assert_no_overlapping_runs(&platform).await;
}

/// The VM of the job's first coordinator lost power, so its connections are never reset.
#[tokio::test(flavor = "multi_thread")]
async fn job_resent_to_its_domain_does_not_overlap_its_run_in_another_domain() {
    let platform = test_platform::TestPlatform::start(&["north", "south"]).await;
    let north = platform.start_ready_node("n1", "north").await;
    let south = platform.start_ready_node("s1", "south").await;
    let (_silent_process, server_index) = offer_from_silent_process(&platform, &south).await;
    assert!(
        server_index >= 2,
        "a server of the south should run the task"
    );
    tokio::time::sleep(RETRANSMIT_TIME).await;
    assert_eq!(send_again(&north).await, 200);
    assert_no_overlapping_runs(&platform).await;
}

/// The new leader of the job's domain has not read that the domain has servers, so it refuses the job.
#[tokio::test(flavor = "multi_thread")]
async fn job_refused_by_a_leader_without_servers_does_not_overlap_its_inherited_run() {
    let platform = test_platform::TestPlatform::start(&["north", "south"]).await;
    let mut leader = start_node_with_long_lease(&platform, "n1", "north").await;
    let _south = start_node_with_long_lease(&platform, "s1", "south").await;
    let (_silent_process, server_index) = offer_from_silent_process(&platform, &leader).await;
    assert!(
        server_index < 2,
        "a server of the north should run the task"
    );
    for server_id in ["north-server-0", "north-server-1"] {
        platform.store.put("keyed.servers", server_id, "");
    }
    let standby = start_node_with_long_lease(&platform, "n2", "north").await;
    test_platform::wait_until("links to both leaders", async || {
        standby.gauge_value("linked_peers").await == Some(2)
    })
    .await;
    leader.kill();
    wait_for_log_line(&standby, "leadership").await;
    let status = send_again(&standby).await;
    assert!(matches!(status, 200 | 502 | 503), "{status}");
    assert_no_overlapping_runs(&platform).await;
}

/// The first copy runs in another domain because its own had no server. The second reaches the same
/// process when its domain has servers again, so the home pool would admit it.
#[tokio::test(flavor = "multi_thread")]
async fn copy_in_one_process_waits_for_the_answer_of_the_first() {
    let platform = test_platform::TestPlatform::start(&["north", "south"]).await;
    let _south = start_node_with_long_lease(&platform, "s1", "south").await;
    let north = start_node_with_long_lease(&platform, "n1", "north").await;
    for server in ["north-server-0", "north-server-1"] {
        platform.store.put("keyed.servers", server, "");
    }
    test_platform::wait_until("a job of the north to run in the south", async || {
        north.gauge_value("held_servers").await == Some(0)
            && north.submit(&test_platform::random_id(), "20", 1).await.0 == 200
    })
    .await;
    let second_copy = async {
        test_platform::wait_until("the first copy to run", async || {
            platform.servers.iter().any(has_started_job)
        })
        .await;
        for server in &platform.servers {
            server.register(&platform.store);
        }
        test_platform::wait_until("the north to hold servers", async || {
            north.gauge_value("held_servers").await == Some(2)
        })
        .await;
        send_again(&north).await
    };
    let (first_status, second_status) = tokio::join!(send_again(&north), second_copy);
    assert_eq!((first_status, second_status), (200, 200));
    assert_no_overlapping_runs(&platform).await;
}

/// A caller that leaves must not take the answer from another that waits for a copy of its job.
#[tokio::test(flavor = "multi_thread")]
async fn copy_is_answered_after_the_caller_of_the_first_has_left() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = Arc::new(start_node_with_long_lease(&platform, "n1", "north").await);
    let first_copy = tokio::spawn({
        let node = Arc::clone(&node);
        async move { send_again(&node).await }
    });
    test_platform::wait_until("the first copy to run", async || {
        platform.servers.iter().any(has_started_job)
    })
    .await;
    let first_leaves = async {
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        first_copy.abort();
    };
    let (status, ()) = tokio::join!(send_again(&node), first_leaves);
    assert_eq!(status, 200);
    assert_eq!(platform.started_tasks().len(), 1);
    assert_no_overlapping_runs(&platform).await;
}

/// The run of a job that nobody waits for any more must end.
#[tokio::test(flavor = "multi_thread")]
async fn job_is_withdrawn_after_the_callers_of_all_copies_have_left() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = Arc::new(start_node_with_long_lease(&platform, "n1", "north").await);
    let copies = [(); 2].map(|()| {
        let node = Arc::clone(&node);
        tokio::spawn(async move { send_again(&node).await })
    });
    test_platform::wait_until("the job to run", async || {
        platform.servers.iter().any(has_started_job)
    })
    .await;
    for copy in &copies {
        copy.abort();
    }
    test_platform::wait_until("the run to end", async || {
        !platform.ended_runs_without_overlap().is_empty()
    })
    .await;
    assert_eq!(
        platform.ended_runs_without_overlap()[0].end,
        Some(cuminkeel_dispatch::server_model::RunEnd::Stopped)
    );
}
