//! Followers through faults of the log and the network.

use std::time;

use cuminkeel_config::{edit, fold, follower, peer, schedule, snapshot};
use cuminkeel_types::time::TimePoint;
use follower::{FollowerEvent, FollowerFault};
use proptest::{prelude::*, test_runner};

use crate::{
    cluster::{self, FollowerCluster, LogAnswer},
    support,
};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn edit_plan(cluster: &mut FollowerCluster, id: u128) {
    let last = cluster.reference.last().expect("never empty");
    let based_on = last.row(&edit::RowKey::Plan("gold".into())).version();
    let weight = u32::try_from(id % 1_000).expect("small") + 1;
    cluster.append(&support::bytes(
        id,
        based_on.0,
        support::plan("gold", weight),
    ));
}

#[test]
fn a_domain_cut_off_from_the_platform_gets_edits_from_peers() {
    let domains: Vec<usize> = (0..117).map(|entry| entry % 6).collect();
    let mut cluster = FollowerCluster::new(&domains);
    edit_plan(&mut cluster, 1);
    cluster.run(SECOND);
    for node in &mut cluster.nodes {
        node.reaches_log = node.domain == 0;
    }
    let start = cluster.now;
    let mut delays = Vec::new();
    for id in 2..30 {
        edit_plan(&mut cluster, id);
        let written = cluster.now;
        let tail = cluster.log.edits.tail();
        while !(0..117).all(|index| cluster.offset(index) == Some(tail)) {
            cluster.run(time::Duration::from_millis(50));
        }
        delays.push(cluster.now.since(written));
    }
    delays.sort();
    let sent: usize = cluster.nodes.iter().map(|node| node.sent_bytes).sum();
    let rate = sent as f64 / 117.0 / cluster.now.since(start).as_secs_f64();
    println!(
        "in force after {:?} (median), {:?} (worst); {rate:.0} B/s a node",
        delays[14], delays[27]
    );
    assert!(delays[27] < 12 * SECOND);
    let ages = cluster
        .nodes
        .iter()
        .map(|node| node.follower.status(cluster.now).age);
    assert!(ages.flatten().max().expect("confirmed") < 12 * SECOND);
}

#[test]
fn a_new_entry_starts_from_a_peer_of_its_domain() {
    let mut cluster = FollowerCluster::new(&[0, 0, 1]);
    for id in 1..50 {
        edit_plan(&mut cluster, id);
    }
    cluster.run(SECOND);
    cluster.cut_domains = vec![0];
    cluster.nodes[0].reaches_log = false;
    cluster.nodes[1].reaches_log = false;
    cluster.restart(1);
    cluster.run(3 * SECOND);
    assert_eq!(cluster.offset(1), Some(49));
}

#[test]
fn a_domain_cut_off_entirely_serves_on_says_its_age_and_catches_up() {
    let mut cluster = FollowerCluster::new(&[0, 0, 1]);
    edit_plan(&mut cluster, 1);
    cluster.run(SECOND);
    cluster.cut_domains = vec![0];
    cluster.nodes[0].reaches_log = false;
    cluster.nodes[1].reaches_log = false;
    edit_plan(&mut cluster, 2);
    cluster.run(60 * SECOND);
    let status = cluster.nodes[0].follower.status(cluster.now);
    assert_eq!(status.offset, Some(1));
    assert!(status.age.expect("confirmed before") >= 59 * SECOND);
    assert!(!status.log_reachable);
    cluster.cut_domains.clear();
    cluster.run(3 * SECOND);
    assert_eq!(cluster.offset(0), Some(2));
    assert_eq!(cluster.offset(1), Some(2));
}

#[test]
fn all_entries_restarted_during_an_outage_recover_by_themselves() {
    let mut cluster = FollowerCluster::new(&[0, 1, 2]);
    edit_plan(&mut cluster, 1);
    cluster.run(SECOND);
    for index in 0..3 {
        cluster.nodes[index].reaches_log = false;
        cluster.restart(index);
    }
    cluster.run(30 * SECOND);
    for index in 0..3 {
        assert_eq!(cluster.offset(index), None, "nothing to serve with");
        cluster.nodes[index].reaches_log = true;
    }
    cluster.run(5 * SECOND);
    for index in 0..3 {
        assert_eq!(cluster.offset(index), Some(1));
    }
}

#[test]
fn snapshots_outlive_the_retention() {
    let mut cluster = FollowerCluster::new(&[0, 1]);
    for id in 1..100 {
        edit_plan(&mut cluster, id);
    }
    cluster.run(2 * cluster::RETENTION);
    let tail = cluster.log.edits.tail();
    cluster.log.edits.trim(tail);
    let kept = cluster.log.snapshots.tail();
    cluster.log.snapshots.trim(kept / 2);
    for index in 0..2 {
        cluster.restart(index);
    }
    cluster.run(2 * SECOND);
    for index in 0..2 {
        assert_eq!(cluster.offset(index), Some(99));
    }
}

#[test]
fn a_trimmed_head_without_snapshot_is_told() {
    let mut cluster = FollowerCluster::new(&[0]);
    for id in 1..10 {
        edit_plan(&mut cluster, id);
    }
    cluster.log.edits.trim(5);
    cluster.run(2 * SECOND);
    assert_eq!(cluster.offset(0), None);
    assert!(
        cluster.nodes[0]
            .faults
            .contains(&FollowerFault::NoStart { head: 5 })
    );
}

#[test]
fn a_slow_reader_passed_by_the_head_takes_the_snapshot() {
    let mut cluster = FollowerCluster::new(&[0, 1]);
    edit_plan(&mut cluster, 1);
    cluster.run(SECOND);
    cluster.nodes[1].reaches_log = false;
    cluster.cut_domains = vec![1];
    for id in 2..40 {
        edit_plan(&mut cluster, id);
    }
    cluster.run(cluster::RETENTION);
    cluster.log.edits.trim(39);
    cluster.nodes[1].reaches_log = true;
    cluster.run(6 * SECOND);
    assert_eq!(cluster.offset(1), Some(39));
}

#[test]
fn records_of_another_history_are_refused() {
    let mut cluster = FollowerCluster::new(&[0, 1]);
    edit_plan(&mut cluster, 1);
    cluster.run(SECOND);
    let forged = support::bytes(9, 0, support::plan("tin", 1));
    let mut other = fold::ConfigFold::default();
    other.apply(0, &forged).expect("in order");
    let at = peer::ChainPoint {
        offset: other.offset(),
        chain: other.chain(),
    };
    let from = cluster.nodes[0].incarnation;
    let start = peer::ChainPoint {
        offset: 0,
        chain: fold::ConfigFold::default().chain(),
    };
    let forged_next = support::bytes(10, 0, support::plan("zinc", 1));
    let messages = [
        (
            "announcement",
            peer::PeerMessage::Announce {
                at,
                age_millis: None,
            },
        ),
        (
            "records",
            peer::PeerMessage::Records {
                at,
                records: vec![forged_next],
            },
        ),
        (
            "overlap",
            peer::PeerMessage::Records {
                at: start,
                records: vec![forged.clone(), forged],
            },
        ),
        (
            "request",
            peer::PeerMessage::Records {
                at,
                records: vec![Vec::new()],
            },
        ),
    ];
    for (name, message) in messages {
        cluster.nodes[1].faults.clear();
        let payload = peer::encode_peer(&message).expect("small");
        cluster.feed(1, FollowerEvent::PeerMessage { from, payload });
        assert_eq!(
            cluster.nodes[1].faults,
            [FollowerFault::Diverged { offset: 1 }],
            "{name}"
        );
        assert_eq!(cluster.offset(1), Some(1), "{name}");
    }
}

#[test]
fn few_entries_write_each_snapshot() {
    const ENTRIES: u64 = 117;
    let retention = time::Duration::from_hours(1);
    // Time from the decision to write until others see the snapshot.
    let delay = time::Duration::from_millis(500);
    let start = TimePoint::ZERO;
    let schedules =
        (0..ENTRIES).map(|seed| schedule::SnapshotSchedule::new(start, retention, seed));
    let mut schedules: Vec<_> = schedules.collect();
    let mut writes: Vec<TimePoint> = Vec::new();
    let end = start + 20 * retention;
    let mut now = start;
    while now < end {
        let seen = writes
            .iter()
            .rev()
            .find(|write| **write + delay <= now)
            .copied();
        let mut wrote = 0;
        for schedule in &mut schedules {
            match seen {
                _ if !schedule.is_due(now, 1) => {}
                Some(seen) if seen > schedule.seen_at() => schedule.snapshot_seen(now, 1),
                _ => {
                    schedule.snapshot_seen(now, 1);
                    wrote += 1;
                }
            }
        }
        writes.extend(std::iter::repeat_n(now, wrote));
        now = now + time::Duration::from_millis(100);
    }
    let gaps = writes.windows(2).map(|pair| pair[1].since(pair[0]));
    assert!(gaps.max().expect("many writes") <= retention / 2);
    let per_retention = writes.len() / 20;
    println!("{per_retention} snapshots per retention by {ENTRIES} entries");
    assert!(
        (4..=12).contains(&per_retention),
        "{per_retention} per retention"
    );
}

#[test]
fn any_bytes_decode_or_fail() {
    let config = test_runner::Config {
        cases: 2_000,
        rng_seed: test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let whole = snapshot::encode_snapshot(&fold::ConfigFold::default(), 400).expect("small");
    let edit = support::bytes(1, 0, support::plan("gold", 1));
    let bytes = prop::collection::vec(any::<u8>(), 0..80);
    let flips = (any::<prop::sample::Index>(), 1..=255_u8);
    let mut runner = test_runner::TestRunner::new(config);
    let result = runner.run(&(bytes, flips), |(bytes, (at, flip))| {
        let _ = cuminkeel_config::record::decode_edit(&bytes);
        let _ = peer::decode_peer(&bytes);
        let _ = snapshot::decode_part(&bytes);
        for good in [&edit, &whole[0]] {
            let mut bad = good.clone();
            bad[at.index(good.len())] ^= flip;
            prop_assert!(cuminkeel_config::record::decode_edit(&bad).is_err());
            prop_assert!(snapshot::decode_part(&bad).is_err());
        }
        Ok(())
    });
    result.expect("no input panics, no damage passes");
}

#[derive(Clone, Debug)]
enum Step {
    Edit { row: u8, stale: bool, remove: bool },
    Retry(prop::sample::Index),
    Junk(Vec<u8>),
    Trim(prop::sample::Index),
    Log(usize, LogAnswer),
    Snapshots(usize, bool),
    Part(usize, bool),
    Pass(u64),
    Mail { index: usize, keep: bool },
    Lose(prop::sample::Index),
    Restart(usize),
    Reach(usize, bool),
    Cut(Vec<usize>),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = 0..4_usize;
    let answer = prop_oneof![
        3 => Just(LogAnswer::Fresh),
        1 => (0..6_u64).prop_map(LogAnswer::Stale),
        1 => Just(LogAnswer::Down),
    ];
    let step = prop_oneof![
        8 => (0..5_u8, prop::bool::weighted(0.3), prop::bool::weighted(0.2))
            .prop_map(|(row, stale, remove)| Step::Edit { row, stale, remove }),
        2 => any::<prop::sample::Index>().prop_map(Step::Retry),
        1 => prop::collection::vec(any::<u8>(), 0..40).prop_map(Step::Junk),
        2 => any::<prop::sample::Index>().prop_map(Step::Trim),
        16 => (node.clone(), answer).prop_map(|(node, answer)| Step::Log(node, answer)),
        8 => (node.clone(), prop::bool::weighted(0.8)).prop_map(|(node, up)| Step::Snapshots(node, up)),
        8 => (node.clone(), prop::bool::weighted(0.9)).prop_map(|(node, up)| Step::Part(node, up)),
        8 => (10..9_000_u64).prop_map(Step::Pass),
        24 => (any::<usize>(), prop::bool::weighted(0.2)).prop_map(|(index, keep)| Step::Mail { index, keep }),
        3 => any::<prop::sample::Index>().prop_map(Step::Lose),
        1 => node.clone().prop_map(Step::Restart),
        2 => (node, any::<bool>()).prop_map(|(node, up)| Step::Reach(node, up)),
        1 => prop::collection::vec(0..2_usize, 0..2).prop_map(Step::Cut),
    ];
    prop::collection::vec(step, 1..250)
}

#[derive(Default)]
struct StepRunner {
    sent: Vec<Vec<u8>>,
}

impl StepRunner {
    fn edit(&mut self, cluster: &mut FollowerCluster, row: u8, stale: bool, remove: bool) {
        let name = format!("row-{row}");
        let customer = row < 2;
        let key = if customer {
            edit::RowKey::Customer(name.as_str().into())
        } else {
            edit::RowKey::Plan(name.as_str().into())
        };
        let last = cluster.reference.last().expect("never empty");
        let version = last.row(&key).version().0;
        let edit = match remove {
            true if customer => edit::ListEdit::RemoveCustomer(name.as_str().into()),
            true => edit::ListEdit::RemovePlan(name.as_str().into()),
            false if customer => support::customer(&name, "row-2"),
            false => support::plan(&name, u32::from(row) + 1),
        };
        let id = self.sent.len() as u128;
        let bytes = support::bytes(id, version.saturating_sub(u64::from(stale)), edit);
        cluster.append(&bytes);
        self.sent.push(bytes);
    }

    fn take(&mut self, cluster: &mut FollowerCluster, step: Step) {
        match step {
            Step::Edit { row, stale, remove } => self.edit(cluster, row, stale, remove),
            Step::Retry(index) if !self.sent.is_empty() => {
                cluster.append(&self.sent[index.index(self.sent.len())]);
            }
            Step::Junk(bytes) => cluster.append(&bytes),
            Step::Trim(index) => {
                // The log keeps what no whole snapshot holds.
                let limit = usize::try_from(snapshot_offset(cluster)).expect("small");
                cluster.log.edits.trim(index.index(limit + 1) as u64);
            }
            Step::Log(node, answer) => cluster.answer_log(node, answer),
            Step::Snapshots(node, up) => cluster.answer_snapshots(node, up),
            Step::Part(node, up) => cluster.write_part(node, up),
            Step::Pass(millis) => cluster.advance(time::Duration::from_millis(millis)),
            Step::Mail { index, keep } => cluster.deliver(index, keep),
            Step::Lose(index) if !cluster.mail.is_empty() => {
                let index = index.index(cluster.mail.len());
                drop(cluster.mail.remove(index));
            }
            Step::Retry(_) | Step::Lose(_) => {}
            Step::Restart(node) => cluster.restart(node),
            Step::Reach(node, up) => cluster.nodes[node].reaches_log = up,
            Step::Cut(domains) => cluster.cut_domains = domains,
        }
    }
}

fn snapshot_offset(cluster: &FollowerCluster) -> u64 {
    let mut assembler = snapshot::SnapshotAssembler::default();
    let mut newest = 0;
    for offset in 0..cluster.log.snapshots.tail() {
        let part = snapshot::decode_part(cluster.log.snapshots.record(offset));
        let fold = assembler.insert(part.expect("only parts are written"));
        newest = newest.max(fold.map_or(0, |fold| fold.offset()));
    }
    newest
}

/// Every edit is accepted at most once, and versions only grow.
fn check_reference(cluster: &FollowerCluster) {
    for pair in cluster.reference.windows(2) {
        assert!(pair[1].extends(&pair[0]));
    }
}

#[test]
fn followers_agree_through_any_schedule() {
    let config = test_runner::Config {
        cases: 400,
        rng_seed: test_runner::RngSeed::Fixed(61),
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    let result = runner.run(&steps(), |steps| {
        let mut cluster = FollowerCluster::new(&[0, 0, 1, 1]);
        let mut step_runner = StepRunner::default();
        for step in steps {
            step_runner.take(&mut cluster, step);
        }
        check_reference(&cluster);
        cluster.cut_domains.clear();
        for node in &mut cluster.nodes {
            node.reaches_log = true;
        }
        cluster.run(20 * SECOND);
        for index in 0..4 {
            prop_assert_eq!(cluster.offset(index), Some(cluster.log.edits.tail()));
            let faults = &cluster.nodes[index].faults;
            let diverged = |fault: &FollowerFault| matches!(fault, FollowerFault::Diverged { .. });
            prop_assert!(!faults.iter().any(diverged), "{faults:?}");
        }
        Ok(())
    });
    result.expect("followers agree");
}
