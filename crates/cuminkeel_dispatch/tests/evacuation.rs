//! Tests of the evacuation state and of the time since which the local failure domain is evacuated.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{evacuation, pool};

fn record(offset: u64, domain: &str, is_evacuated: bool) -> evacuation::EvacuationRecord {
    evacuation::EvacuationRecord {
        offset,
        domain: Arc::from(domain),
        is_evacuated,
        is_decodable: true,
    }
}

fn state(as_of: u64, domains: &[&str]) -> evacuation::EvacuationState {
    evacuation::EvacuationState {
        as_of,
        domains: domains.iter().map(|domain| Arc::from(*domain)).collect(),
    }
}

fn seconds(count: u64) -> time::Duration {
    time::Duration::from_secs(count)
}

fn northern_tracker() -> evacuation::EvacuationTracker {
    evacuation::EvacuationTracker::new(Arc::from("north"))
}

/// Guards against a cancellation that is lost because a key changed while the pages of a snapshot
/// were read, and against a set that is left from before the snapshot.
#[test]
fn records_from_the_first_page_of_a_snapshot_on_win_over_the_snapshot() {
    // The domain was evacuated at offset 11, after the first page, and taken back at offset 12.
    let snapshot = evacuation::EvacuationState::from_snapshot(10, &[record(11, "north", true)]);
    assert_eq!(snapshot, state(10, &["north"]));
    let records = [record(11, "north", true), record(12, "north", false)];
    assert_eq!(snapshot.with_records(&records, 13), state(13, &[]));
    // Deleted at offset 11, so the page that would have had the key has not; written again later.
    let snapshot = evacuation::EvacuationState::from_snapshot(10, &[]);
    let records = [record(11, "north", false), record(12, "north", true)];
    assert_eq!(snapshot.with_records(&records, 13), state(13, &["north"]));
}

/// Guards against a record that is read again, after a newer state came from a peer, and undoes it.
#[test]
fn records_before_the_state_change_nothing() {
    let known = state(12, &["south"]);
    let records = [record(10, "north", true), record(11, "south", false)];
    assert_eq!(known.with_records(&records, 12), known);
    let records = [record(11, "south", false), record(12, "north", true)];
    assert_eq!(
        known.with_records(&records, 13),
        state(13, &["north", "south"])
    );
    assert_eq!(known.with_records(&[], 9), known);
}

#[test]
fn changes_name_each_domain_that_differs() {
    let changes = state(1, &["east", "north"]).changes_to(&state(2, &["north", "south"]));
    let change = |domain: &str, is_evacuated| evacuation::DomainChange {
        domain: Arc::from(domain),
        is_evacuated,
    };
    assert_eq!(changes, [change("east", false), change("south", true)]);
}

/// Guards against a stale read of the store, or a peer that is behind, that cancels an evacuation.
#[test]
fn older_snapshots_and_peer_states_are_ignored() {
    let mut tracker = northern_tracker();
    tracker.apply_snapshot(5, &[record(4, "north", true)], seconds(1));
    assert!(tracker.apply_snapshot(4, &[], seconds(2)).is_empty());
    let from_peer = tracker.apply_peer_state(state(3, &["south"]), seconds(2));
    assert!(from_peer.is_empty());
    assert_eq!(*tracker.state(), state(5, &["north"]));
    assert!(tracker.local_start().is_some());
}

/// Guards against a pool that starts tasks because it takes an evacuation of unknown age for a new
/// one.
#[test]
fn age_of_the_evacuation_is_known_only_after_a_state_without_it() {
    let evacuated = [record(4, "north", true)];
    let mut tracker = northern_tracker();
    tracker.apply_snapshot(5, &evacuated, seconds(1));
    assert_eq!(
        tracker.local_start(),
        Some(pool::EvacuationStart::Unknown),
        "in the first snapshot"
    );
    let mut tracker = northern_tracker();
    tracker.apply_peer_state(state(0, &[]), seconds(1));
    tracker.apply_peer_state(state(5, &["north"]), seconds(2));
    assert_eq!(
        tracker.local_start(),
        Some(pool::EvacuationStart::Unknown),
        "a peer that has not read the log tells nothing"
    );
    let mut tracker = northern_tracker();
    tracker.apply_snapshot(0, &[], seconds(1));
    tracker.apply_records(&[record(0, "north", true)], 1, seconds(2));
    let learnt = Some(pool::EvacuationStart::LearntAt(seconds(2)));
    assert_eq!(tracker.local_start(), learnt, "after an empty log");
    let mut tracker = northern_tracker();
    tracker.apply_peer_state(state(3, &["south"]), seconds(1));
    tracker.apply_peer_state(state(5, &["north"]), seconds(2));
    assert_eq!(tracker.local_start(), learnt, "after a peer's state");
}

/// Guards against a repeated request that gives the pool more time to start tasks.
#[test]
fn start_of_the_evacuation_changes_only_with_the_evacuation() {
    let mut tracker = northern_tracker();
    tracker.apply_snapshot(5, &[], seconds(1));
    tracker.apply_records(&[record(5, "north", true)], 6, seconds(2));
    let learnt = Some(pool::EvacuationStart::LearntAt(seconds(2)));
    let changes = tracker.apply_records(&[record(6, "north", true)], 7, seconds(3));
    assert!(changes.is_empty());
    assert_eq!(tracker.local_start(), learnt);
    let rewritten = [record(7, "north", false), record(8, "north", true)];
    tracker.apply_records(&rewritten, 9, seconds(4));
    assert_eq!(tracker.local_start(), learnt);
    tracker.apply_records(&[record(9, "north", false)], 10, seconds(5));
    assert_eq!(tracker.local_start(), None);
    tracker.apply_records(&[record(10, "north", true)], 11, seconds(6));
    assert_eq!(
        tracker.local_start(),
        Some(pool::EvacuationStart::LearntAt(seconds(6)))
    );
}
