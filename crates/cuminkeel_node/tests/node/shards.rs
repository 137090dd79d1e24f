//! Several leaders in a large failure domain.

use std::time;

use crate::test_platform;

/// Servers for which a domain needs two leaders.
const SERVERS: usize = 210;
/// Longer than a server that was given up takes to be claimed again.
const QUIET_TIME: time::Duration = time::Duration::from_millis(1_500);

async fn held_servers(nodes: &[test_platform::TestNode]) -> Vec<u32> {
    let mut held = Vec::new();
    for node in nodes {
        held.push(node.gauge("held_servers").await.unwrap_or(0));
    }
    held
}

/// Claims that were lost or given up, over all processes.
async fn changes_of_owner(nodes: &[test_platform::TestNode]) -> usize {
    let mut count = 0;
    for node in nodes {
        let text = node.metrics().await;
        count += text
            .lines()
            .filter(|line| line.contains("kind=\"fenced\""))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok())
            .sum::<usize>();
    }
    count
}

#[tokio::test(flavor = "multi_thread")]
async fn two_leaders_divide_a_large_domain_and_one_takes_over_from_the_other() {
    let site = test_platform::TestSite::with_servers(&["north"], SERVERS).await;
    let mut nodes = Vec::new();
    for number in 0..6 {
        nodes.push(site.ready_node(&format!("n{number}"), "north").await);
    }
    test_platform::eventually("two leaders", async || {
        let held = held_servers(&nodes).await;
        let leaders = held.iter().filter(|count| **count > 0).count();
        leaders == 2 && held.iter().sum::<u32>() == u32::try_from(SERVERS).expect("few")
    })
    .await;
    let before = changes_of_owner(&nodes).await;
    tokio::time::sleep(QUIET_TIME).await;
    assert_eq!(changes_of_owner(&nodes).await, before, "owners stay");
    for number in 0..24_u64 {
        let node = &nodes[usize::try_from(number % 6).expect("few")];
        let (status, _) = node.submit(&format!("{number:016x}"), "20", 2).await;
        assert_eq!(status, 200);
    }
    let mut started = site.started_tasks();
    assert_eq!(started.len(), 48);
    started.dedup();
    assert_eq!(started.len(), 48, "each task once");
    let held = held_servers(&nodes).await;
    let lost = held.iter().position(|count| *count > 0).expect("a leader");
    let survivor = (0..6)
        .find(|number| held[*number] == 0)
        .expect("a follower");
    let mut leader = nodes.remove(lost);
    let caller = &nodes[if survivor > lost {
        survivor - 1
    } else {
        survivor
    }];
    // Jobs of both leaders; those of the lost one go on at its successor.
    let ids: Vec<String> = (24..40_u64)
        .map(|number| format!("{number:016x}"))
        .collect();
    let jobs = test_platform::submit_all(caller, &ids, "700", 2);
    let kill = async {
        test_platform::eventually("all starts", async || site.started_tasks().len() == 48 + 32)
            .await;
        leader.kill();
    };
    let (statuses, ()) = tokio::join!(jobs, kill);
    assert_eq!(statuses, vec![200; 16]);
    let mut started = site.started_tasks();
    assert_eq!(started.len(), 48 + 32, "runs were taken over");
    started.dedup();
    assert_eq!(started.len(), 48 + 32, "each task once");
    test_platform::eventually("another leader", async || {
        held_servers(&nodes).await.iter().sum::<u32>() == u32::try_from(SERVERS).expect("few")
    })
    .await;
}
