//! Test of several leaders in a large failure domain.

use std::time;

use crate::test_platform;

/// Number of servers for which a failure domain needs two leaders: one leads at most 200.
const SERVER_COUNT: usize = 210;
/// Time in which no claim may be lost to a newer one. A lost server is claimed back after a delay
/// of at most 300 ms if all processes are reachable.
const OBSERVATION_TIME: time::Duration = time::Duration::from_millis(1_500);

async fn held_server_counts(nodes: &[test_platform::TestNode]) -> Vec<u32> {
    let mut held_counts = Vec::new();
    for node in nodes {
        held_counts.push(node.gauge_value("held_servers").await.unwrap_or(0));
    }
    held_counts
}

/// Returns the number of claims that all processes together have lost to newer claims.
async fn lost_claim_count(nodes: &[test_platform::TestNode]) -> usize {
    let mut count = 0;
    for node in nodes {
        let text = node.metrics_text().await;
        count += text
            .lines()
            .filter(|line| line.contains("kind=\"fenced\""))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok())
            .sum::<usize>();
    }
    count
}

#[tokio::test(flavor = "multi_thread")]
async fn two_leaders_divide_a_large_domain_and_a_lost_leader_is_replaced() {
    let platform = test_platform::TestPlatform::start_with_servers(&["north"], SERVER_COUNT).await;
    let mut nodes = Vec::new();
    for number in 0..6 {
        nodes.push(
            platform
                .start_ready_node(&format!("n{number}"), "north")
                .await,
        );
    }
    test_platform::wait_until("two leaders to hold all servers", async || {
        let held_counts = held_server_counts(&nodes).await;
        let leader_count = held_counts.iter().filter(|count| **count > 0).count();
        leader_count == 2
            && held_counts.iter().sum::<u32>()
                == u32::try_from(SERVER_COUNT).expect("server count should fit into u32")
    })
    .await;
    let lost_claims_before = lost_claim_count(&nodes).await;
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(
        lost_claim_count(&nodes).await,
        lost_claims_before,
        "servers should keep their leaders"
    );
    for number in 0..24_u64 {
        let node = &nodes[usize::try_from(number % 6).expect("index should fit into usize")];
        let (status, _) = node.submit(&format!("{number:016x}"), "20", 2).await;
        assert_eq!(status, 200);
    }
    let mut started = platform.started_tasks();
    assert_eq!(started.len(), 48);
    started.dedup();
    assert_eq!(started.len(), 48, "each task should have started once");
    let held_counts = held_server_counts(&nodes).await;
    let leader_index = held_counts
        .iter()
        .position(|count| *count > 0)
        .expect("some process should lead");
    let standby_index = (0..6)
        .find(|number| held_counts[*number] == 0)
        .expect("some process should not lead");
    let mut leader = nodes.remove(leader_index);
    let standby = &nodes[if standby_index > leader_index {
        standby_index - 1
    } else {
        standby_index
    }];
    // Both leaders run some of these jobs. The next leader goes on with those of the lost one.
    let ids: Vec<String> = (24..40_u64)
        .map(|number| format!("{number:016x}"))
        .collect();
    let jobs = test_platform::submit_concurrently(standby, &ids, "700", 2);
    let leader_loss = async {
        test_platform::wait_until("all runs to start", async || {
            platform.started_tasks().len() == 48 + 32
        })
        .await;
        leader.kill();
    };
    let (statuses, ()) = tokio::join!(jobs, leader_loss);
    assert_eq!(statuses, vec![200; 16]);
    let mut started = platform.started_tasks();
    assert_eq!(
        started.len(),
        48 + 32,
        "the next leader should adopt the runs and start none again"
    );
    started.dedup();
    assert_eq!(started.len(), 48 + 32, "each task should have started once");
    test_platform::wait_until("remaining processes to hold all servers", async || {
        held_server_counts(&nodes).await.iter().sum::<u32>()
            == u32::try_from(SERVER_COUNT).expect("server count should fit into u32")
    })
    .await;
}
