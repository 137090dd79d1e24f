//! Tests of what processes tell each other of the registry, and whom they ask.

use std::{collections::BTreeMap, sync::Arc, time};

use cuminkeel_dispatch::{registry_relay, registry_replica};
use proptest::prelude::*;

const DOMAIN: &str = "north";

fn ms(milliseconds: u64) -> time::Duration {
    time::Duration::from_millis(milliseconds)
}

fn record(offset: u64, server: u8, value: Option<u8>) -> registry_replica::RegistryRecord {
    registry_replica::RegistryRecord {
        offset,
        server: Arc::from(format!("s{server}")),
        value: value.map(|value| Arc::from([value])),
    }
}

/// Applies what a process does with records that a source has told.
fn apply(
    replica: &mut registry_replica::RegistryReplica,
    records: &[registry_replica::RegistryRecord],
    next_offset: u64,
    read_at: time::Duration,
) {
    for record in records {
        if replica.includes(&record.server, record.offset) {
            continue;
        }
        match record.value {
            Some(_) => replica.apply_entry(record.clone(), &Arc::from(DOMAIN)),
            None => replica.apply_removal(&record.server, record.offset),
        }
    }
    replica.progress_mut().set_next_offset(Some(next_offset));
    replica.progress_mut().record_read(read_at);
}

/// Applies news unless more is known, as a process does.
fn apply_news(
    replica: &mut registry_replica::RegistryReplica,
    news: &registry_replica::RegistryNews,
    read_at: time::Duration,
) {
    if replica.is_ahead_of(news.next_offset) {
        return;
    }
    if news.is_snapshot {
        replica.begin_snapshot(news.next_offset);
    }
    apply(replica, &news.records, news.next_offset, read_at);
}

/// Returns the entries that live, with their offsets.
fn entries(replica: &registry_replica::RegistryReplica) -> Vec<registry_replica::RegistryRecord> {
    let news = replica.news_from(None, DOMAIN, ms(0));
    news.map_or_else(Vec::new, |news| news.records)
}

/// Returns the entries that live after the first `end` records of `log`.
fn entries_of_log(
    log: &[registry_replica::RegistryRecord],
    end: usize,
) -> Vec<registry_replica::RegistryRecord> {
    let mut newest = BTreeMap::new();
    for record in &log[..end] {
        newest.insert(Arc::clone(&record.server), record.clone());
    }
    let mut entries: Vec<_> = newest.into_values().collect();
    entries.retain(|record| record.value.is_some());
    entries.sort_by_key(|record| record.offset);
    entries
}

/// Step of a process, by its index among three.
#[derive(Clone, Debug)]
enum ReadStep {
    /// Reads the store, which has this share of the log by then, in percent.
    Store { process: usize },
    /// Asks a peer for what it has not read.
    Ask { process: usize, peer: usize },
    /// Gets an answer of the past once more, or late.
    Late { process: usize, answer: usize },
    /// Restarts without anything.
    Restart { process: usize },
    /// The store gets one more record.
    Append,
}

fn any_step() -> impl Strategy<Value = ReadStep> {
    prop_oneof![
        3 => Just(ReadStep::Append),
        2 => (0..3_usize).prop_map(|process| ReadStep::Store { process }),
        4 => (0..3_usize, 0..3_usize).prop_map(|(process, peer)| ReadStep::Ask { process, peer }),
        2 => (0..3_usize, 0..64_usize).prop_map(|(process, answer)| ReadStep::Late { process, answer }),
        1 => (0..3_usize).prop_map(|process| ReadStep::Restart { process }),
    ]
}

proptest! {
    /// Whatever is read of the store and through peers, in any order, lost, doubled or late: what a process knows is
    /// the state of the log at some offset, which never goes back while it lives, and in the end that of the store.
    #[test]
    fn knowledge_is_always_that_of_one_offset_and_never_goes_back(
        changes in prop::collection::vec((0..4_u8, prop::option::of(any::<u8>())), 1..60),
        steps in prop::collection::vec(any_step(), 1..120),
    ) {
        let log: Vec<_> = changes
            .iter()
            .zip(0..)
            .map(|((server, value), offset)| record(offset, *server, *value))
            .collect();
        let mut stored = 0;
        let mut replicas = vec![registry_replica::RegistryReplica::default(); 3];
        let mut known_offsets = [None; 3];
        let mut answers = Vec::new();
        for (step, now) in steps.into_iter().zip(1..) {
            let now = ms(now);
            match step {
                ReadStep::Append => stored = (stored + 1).min(log.len()),
                ReadStep::Store { process } => read_store(&mut replicas[process], &log, stored, now),
                ReadStep::Ask { process, peer } => {
                    let from_offset = replicas[process].progress().next_offset();
                    if let Some(news) = replicas[peer].news_from(from_offset, DOMAIN, now) {
                        apply_news(&mut replicas[process], &news, now.saturating_sub(news.read_age));
                        answers.push((from_offset, news));
                    }
                }
                ReadStep::Late { process, answer } => {
                    // An answer belongs to one request, which asked from an offset that the process knew.
                    let known = replicas[process].progress().next_offset();
                    if let Some((from_offset, news)) = answers.get(answer)
                        && (news.is_snapshot || from_offset.is_some_and(|from| known >= Some(from)))
                    {
                        apply_news(&mut replicas[process], news, ms(0));
                    }
                }
                ReadStep::Restart { process } => {
                    replicas[process] = registry_replica::RegistryReplica::default();
                    known_offsets[process] = None;
                }
            }
            for (replica, known_offset) in replicas.iter().zip(&mut known_offsets) {
                let next_offset = replica.progress().next_offset();
                prop_assert!(next_offset >= *known_offset);
                *known_offset = next_offset;
                let end = usize::try_from(next_offset.unwrap_or(0)).expect("the log is short");
                prop_assert_eq!(entries(replica), entries_of_log(&log, end));
            }
        }
        for replica in &mut replicas {
            read_store(replica, &log, log.len(), ms(1_000));
            prop_assert_eq!(entries(replica), entries_of_log(&log, log.len()));
        }
    }
}

fn read_store(
    replica: &mut registry_replica::RegistryReplica,
    log: &[registry_replica::RegistryRecord],
    stored: usize,
    now: time::Duration,
) {
    let end = u64::try_from(stored).expect("the log is short");
    let Some(next_offset) = replica.progress().next_offset() else {
        replica.begin_snapshot(end);
        apply(replica, &entries_of_log(log, stored), end, now);
        return;
    };
    let first = usize::try_from(next_offset).expect("the log is short");
    apply(replica, &log[first..stored], end, now);
}

/// A removal that was forgotten must not leave a server in use at a peer that asks from an earlier offset.
#[test]
fn peer_that_asks_from_before_a_forgotten_removal_gets_a_snapshot() {
    let mut replica = registry_replica::RegistryReplica::default();
    let server_count = 2_000_u64;
    let mut records = Vec::new();
    for number in 0..server_count {
        for (offset, value) in [(2 * number, Some(Arc::from([1]))), (2 * number + 1, None)] {
            records.push(registry_replica::RegistryRecord {
                offset,
                server: Arc::from(format!("s{number}")),
                value,
            });
        }
    }
    apply(&mut replica, &records, 2 * server_count, ms(5));
    let from_start = replica.news_from(Some(1), DOMAIN, ms(5));
    assert!(from_start.is_some_and(|news| news.is_snapshot && news.records.is_empty()));
    let from_late = replica.news_from(Some(2 * server_count - 1), DOMAIN, ms(5));
    assert!(from_late.is_some_and(|news| !news.is_snapshot && news.records.len() == 1));
    assert!(
        replica
            .news_from(None, "south", ms(5))
            .is_some_and(|news| news.records.is_empty())
    );
}

/// An age that a peer told must not count from when its answer was read.
#[test]
fn news_tell_the_age_of_the_read() {
    let mut replica = registry_replica::RegistryReplica::default();
    assert!(replica.news_from(None, DOMAIN, ms(1)).is_none());
    apply(&mut replica, &[record(0, 1, Some(1))], 1, ms(400));
    let news = replica
        .news_from(Some(1), DOMAIN, ms(1_000))
        .expect("the registry was read");
    assert_eq!(news.read_age, ms(600));
    assert!(news.records.is_empty() && !news.is_snapshot);
}

/// Anyone who reaches the listener of links can ask, so that what is answered needs a bound.
#[test]
fn answers_are_bounded_in_size_and_in_bytes_a_second() {
    let mut replica = registry_replica::RegistryReplica::default();
    let mut budget = registry_relay::RelayBudget::default();
    let unread = budget.answer(&replica, None, DOMAIN, ms(1));
    assert_eq!(unread, Err(registry_relay::RelayError::Unread));
    let mut large = record(0, 1, Some(1));
    large.value = Some(Arc::from(vec![1; 300_000]));
    apply(&mut replica, &[large], 1, ms(1));
    let mut answered = 0;
    for milliseconds in (1..=10_000).step_by(50) {
        answered += usize::from(
            budget
                .answer(&replica, None, DOMAIN, ms(milliseconds))
                .is_ok(),
        );
    }
    // 2 MiB at once and 1 MiB in each of ten seconds, of 300,000 bytes each.
    assert!((38..=42).contains(&answered), "{answered}");
    let mut endless = record(1, 2, Some(1));
    endless.value = Some(Arc::from(vec![1; 3_000_000]));
    apply(&mut replica, &[endless], 2, ms(2));
    let too_large = budget.answer(&replica, None, DOMAIN, ms(60_000));
    assert!(matches!(
        too_large,
        Err(registry_relay::RelayError::TooLarge { .. })
    ));
    // What is new since then is short.
    assert!(budget.answer(&replica, Some(2), DOMAIN, ms(60_000)).is_ok());
}

/// Requests that get no answer cost the search for one, which needs a bound, too.
#[test]
fn requests_are_bounded_that_find_nothing_or_too_much() {
    let mut replica = registry_replica::RegistryReplica::default();
    let mut endless = record(0, 1, Some(1));
    endless.value = Some(Arc::from(vec![1; 3_000_000]));
    apply(&mut replica, &[endless], 1, ms(1));
    for from_offset in [None, Some(1)] {
        let mut budget = registry_relay::RelayBudget::default();
        let mut searched = 0;
        for _ in 0..10_000 {
            let answer = budget.answer(&replica, from_offset, DOMAIN, ms(1));
            searched += usize::from(answer != Err(registry_relay::RelayError::OverBudget));
        }
        // 2 MiB at 1 KiB each.
        assert_eq!(searched, 2_048, "from {from_offset:?}");
    }
}

/// The process that is asked has to read as often as one that holds servers, or the leader's knowledge is out of date.
#[test]
fn process_counts_as_asked_for_two_seconds() {
    let replica = registry_replica::RegistryReplica::default();
    let mut budget = registry_relay::RelayBudget::default();
    assert!(!budget.is_asked(ms(0)));
    let _unread = budget.answer(&replica, None, DOMAIN, ms(1_000));
    assert!(budget.is_asked(ms(2_999)));
    assert!(!budget.is_asked(ms(3_000)));
}

fn peer(name: &str, cpu_millis: u32, is_local: bool) -> registry_relay::RelayPeer {
    registry_relay::RelayPeer {
        name: Arc::from(name),
        cpu_millis,
        is_local,
    }
}

fn names(plan: &mut registry_relay::RelayPlan, peers: &[registry_relay::RelayPeer]) -> Vec<String> {
    let asked = plan.peers_to_ask(peers.to_vec());
    asked.iter().map(|peer| peer.name.to_string()).collect()
}

/// A peer that is turned away as well, or runs an earlier release, must not be asked for ever while another could tell.
#[test]
fn peers_are_asked_in_turn_until_one_tells_what_it_has_read_of_late() {
    let mut plan = registry_relay::RelayPlan::default();
    let peers = [
        peer("n2", 250, true),
        peer("n3", 500, true),
        peer("n4", 250, true),
        peer("s1", 500, false),
        peer("s2", 250, false),
    ];
    assert_eq!(names(&mut plan, &peers), ["n3", "n2", "s1"]);
    let outcome = registry_relay::RelayOutcome::Unanswered;
    for (name, at) in [("n3", 1), ("n2", 2), ("s1", 3)] {
        plan.record_outcome(&Arc::from(name), outcome, ms(at));
    }
    assert_eq!(names(&mut plan, &peers), ["n4", "n3", "s2"]);
    let fresh = registry_relay::RelayOutcome::Fresh;
    plan.record_outcome(&Arc::from("n4"), fresh, ms(4));
    assert_eq!(names(&mut plan, &peers), ["n4", "n3", "s2"]);
    // A peer that is gone is forgotten.
    assert_eq!(names(&mut plan, &peers[..2]), ["n3", "n2"]);
    assert_eq!(names(&mut plan, &peers), ["n4", "n3", "s1"]);
}
